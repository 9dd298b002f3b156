package entry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// budgetShare is the part of the bound that is used; the rest covers nodes
// that are not known of and requests that two windows count differently.
const budgetShare = 0.7

// budgetSteps divides the window of a retryBudget.
const budgetSteps = 10

// retryBudget bounds the repeated sends to one service within a sliding
// window: a share of the requests that this node got for it, and this node's
// part of a number that all nodes share.
type retryBudget struct {
	mu       sync.Mutex // guards all fields
	requests [budgetSteps]int
	repeats  [budgetSteps]int
	step     int64
}

// limits are the figures of a budget on one node.
type limits struct {
	ratio, slack float64
	window       time.Duration
	nodes        int
}

// request counts a request of a client.
func (b *retryBudget) request(now time.Time, l limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	b.requests[b.step%budgetSteps]++
}

// spend counts a repeated send if the budget allows it.
func (b *retryBudget) spend(now time.Time, l limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	if !b.within(l) {
		return false
	}
	b.repeats[b.step%budgetSteps]++
	return true
}

// within tells whether one more repeated send is allowed. b.mu is held.
func (b *retryBudget) within(l limits) bool { return b.unspent(l) >= 1 }

// unspent returns the number of repeated sends that are allowed, with a
// fraction; it is negative when the limits have shrunk. b.mu is held.
func (b *retryBudget) unspent(l limits) float64 {
	requests, repeats := 0, 0
	for i := range budgetSteps {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := budgetShare * (l.ratio*float64(requests) + l.slack/float64(max(l.nodes, 1)))
	return allowed - float64(repeats)
}

// rest returns what is left of the budget, for the metrics.
func (b *retryBudget) rest(now time.Time, l limits) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.unspent(l)
}

// advance empties the steps that have left the window.
func (b *retryBudget) advance(now time.Time, l limits) {
	step := now.UnixNano() / (int64(l.window) / budgetSteps)
	if step-b.step >= budgetSteps {
		b.requests, b.repeats = [budgetSteps]int{}, [budgetSteps]int{}
	} else {
		for s := b.step + 1; s <= step; s++ {
			b.requests[s%budgetSteps], b.repeats[s%budgetSteps] = 0, 0
		}
	}
	b.step = max(b.step, step)
}

// budgets holds one budget per service.
type budgets struct {
	byService sync.Map // service name to *retryBudget
}

func (b *budgets) of(service string) *retryBudget {
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
func (b *retryBudget) left(now time.Time, l limits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.within(l)
}
