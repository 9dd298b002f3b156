package owner

// BudgetOptions set the load budgets of the whole deployment.
type BudgetOptions struct{}

// DefaultBudgetOptions returns the budgets of a small deployment.
func DefaultBudgetOptions() BudgetOptions { return BudgetOptions{} }
