package entry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// budgetShare is the part of the bound that is used; the rest covers nodes
// that are not known of and requests that two windows count differently.
const usableBudgetShare = 0.7

// budgetSteps divides the window of a retryBudget.
const budgetBuckets = 10

// retryBudget bounds the repeated sends to one service within a sliding
// window: a share of the requests that this node got for it, and this node's
// part of a number that all nodes share.
type retryBudget struct {
	mu       sync.Mutex // guards all fields
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	bucket   int64
}

// limits are the figures of a budget on one node.
type retryLimits struct {
	ratio, slack float64
	window       time.Duration
	nodes        int
}

// request counts a request of a client.
func (b *retryBudget) recordRequest(now time.Time, l retryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	b.requests[b.bucket%budgetBuckets]++
}

// spend counts a repeated send if the budget allows it.
func (b *retryBudget) spend(now time.Time, l retryLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	if !b.allowsRetry(l) {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}

// within tells whether one more repeated send is allowed. b.mu is held.
func (b *retryBudget) allowsRetry(l retryLimits) bool { return b.unspent(l) >= 1 }

// unspent returns the number of repeated sends that are allowed, with a
// fraction; it is negative when the limits have shrunk. b.mu is held.
func (b *retryBudget) unspent(l retryLimits) float64 {
	requests, repeats := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		repeats += b.retries[i]
	}
	allowed := usableBudgetShare * (l.ratio*float64(requests) + l.slack/float64(max(l.nodes, 1)))
	return allowed - float64(repeats)
}

// rest returns what is left of the budget, for the metrics.
func (b *retryBudget) remaining(now time.Time, l retryLimits) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.unspent(l)
}

// advance empties the steps that have left the window.
func (b *retryBudget) advance(now time.Time, l retryLimits) {
	step := now.UnixNano() / (int64(l.window) / budgetBuckets)
	if step-b.bucket >= budgetBuckets {
		b.requests, b.retries = [budgetBuckets]int{}, [budgetBuckets]int{}
	} else {
		for s := b.bucket + 1; s <= step; s++ {
			b.requests[s%budgetBuckets], b.retries[s%budgetBuckets] = 0, 0
		}
	}
	b.bucket = max(b.bucket, step)
}

// budgets holds one budget per service.
type budgets struct {
	byService sync.Map // service name to *retryBudget
}

func (b *budgets) forService(service string) *retryBudget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*retryBudget)
	}
	v, _ := b.byService.LoadOrStore(service, new(retryBudget))
	return v.(*retryBudget)
}

// each calls f for every service, in order.
func (b *budgets) each(f func(service string, b *retryBudget)) {
	byName := map[string]*retryBudget{}
	b.byService.Range(func(service, budget any) bool {
		byName[service.(string)] = budget.(*retryBudget)
		return true
	})
	for _, service := range slices.Sorted(maps.Keys(byName)) {
		f(service, byName[service])
	}
}

// left tells whether spend would allow a repeated send.
func (b *retryBudget) canSpend(now time.Time, l retryLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.allowsRetry(l)
}
