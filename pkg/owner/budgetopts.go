package owner

import (
	"time"

	"almondturn/fleet"
)

// BudgetOptions set the load budgets of the whole deployment, which the
// zones share evenly and lend to each other. The node takes the sizes from
// the deployment's settings.
type BudgetOptions struct {
	// LoadsPerSecond is what the weight store serves.
	LoadsPerSecond float64 `yaml:"-" validate:"gt=0"`
	// ConcurrentLoads is how many loads from it run at full speed.
	ConcurrentLoads int `yaml:"-" validate:"gt=0"`
	// ConcurrentAdapters is how many adapters load at full speed.
	ConcurrentAdapters int `yaml:"-" validate:"gt=0"`
	// Zones are the availability zones that share the budgets.
	Zones []fleet.Zone `yaml:"-"`
	// BorrowInterval is the time between two tries to borrow.
	BorrowInterval time.Duration `yaml:"borrow_interval" validate:"gt=0"`
}

// DefaultBudgetOptions returns the budgets of a small deployment.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{
		LoadsPerSecond:     7,
		ConcurrentLoads:    4,
		ConcurrentAdapters: 30,
		BorrowInterval:     20 * time.Millisecond,
	}
}
