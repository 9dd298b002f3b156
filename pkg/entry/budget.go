package entry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// usableBudgetShare is the share of the configured bound that is used. The
// remainder covers nodes that this one does not know of.
const usableBudgetShare = 0.7

// Parts of the sliding window of a retryBudget.
const (
	// budgetBuckets is the number of equal parts that the window is divided into.
	budgetBuckets = 10
	// ringBuckets is the number of parts that are counted: those of a window that begins
	// at any time, and the current one.
	ringBuckets = budgetBuckets + 1
)

// retryBudget bounds the retries to one service within a sliding window: to a
// share of the requests that this node received for the service, plus this
// node's part of a number of retries that all nodes share. Its methods may be
// called concurrently.
type retryBudget struct {
	mu sync.Mutex // guards all fields
	// requests and retries count per bucket; bucket i is at index i modulo
	// ringBuckets.
	requests [ringBuckets]int
	retries  [ringBuckets]int
	// bucket is the number of the current bucket since begin, in units of window
	// divided by budgetBuckets.
	bucket int64
	// begin is when the first bucket began. The time since then is that of the monotonic
	// clock, which does not step as the time of day does.
	begin  time.Time
	window time.Duration
	// windows counts the changes of window.
	windows int
}

// retryLimits are the limits of a retryBudget on one node.
type retryLimits struct {
	// ratio is the number of retries per request, slack the number of retries
	// in a window that the nodes share in addition.
	ratio, slack float64
	window       time.Duration
	// nodes is the number of nodes that share slack.
	nodes int
}

// spentRetry identifies a retry that spend counted; the zero value is none.
type spentRetry struct {
	bucket  int64
	windows int
}

// recordRequest counts one request of a client, which adds to the budget.
func (b *retryBudget) recordRequest(now time.Time, l retryLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	b.requests[b.bucket%ringBuckets]++
}

// spend counts a retry and returns true if the budget allows it; otherwise it
// counts nothing.
func (b *retryBudget) spend(now time.Time, l retryLimits) (spentRetry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	if !b.allowsRetryLocked(l) {
		return spentRetry{}, false
	}
	b.retries[b.bucket%ringBuckets]++
	return spentRetry{b.bucket, b.windows}, true
}

// refund takes back a retry that spend counted and that was not made, unless it has
// left the window or the window has changed since.
func (b *retryBudget) refund(now time.Time, l retryLimits, r spentRetry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	if r.windows == b.windows && b.bucket-r.bucket < ringBuckets {
		b.retries[r.bucket%ringBuckets]--
	}
}

// allowsRetryLocked is allowsRetry without advance; b.mu must be held.
func (b *retryBudget) allowsRetryLocked(l retryLimits) bool { return b.remainingLocked(l) >= 1 }

// remainingLocked is remaining without advance; b.mu must be held. The result
// may be negative, for example after the limits were lowered. The requests of the oldest
// bucket don't count, a part of which has left the window; the retries do.
func (b *retryBudget) remainingLocked(l retryLimits) float64 {
	requests, retries := 0, 0
	for i := range ringBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	requests -= b.requests[(b.bucket+1)%ringBuckets]
	// The conversions round the products, so that all architectures decide alike.
	shared := l.slack / float64(max(l.nodes, 1))
	allowed := float64(usableBudgetShare * (float64(l.ratio*float64(requests)) + shared))
	return allowed - float64(retries)
}

// remaining returns the number of retries that are still allowed in the window,
// with a fraction, for the metrics.
func (b *retryBudget) remaining(now time.Time, l retryLimits) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.remainingLocked(l)
}

// advance clears the buckets that are no longer in the window. After a change of the
// window, all counts are taken for the bucket before the current one, so that retries of
// the former window still count for one whole new one. b.mu must be held.
func (b *retryBudget) advance(now time.Time, l retryLimits) {
	if l.window != b.window {
		b.changeWindow(now, l.window)
		return
	}
	bucket := max(int64(now.Sub(b.begin)/(b.window/budgetBuckets)), b.bucket)
	for i := b.bucket + 1; i <= min(bucket, b.bucket+ringBuckets); i++ {
		b.requests[i%ringBuckets], b.retries[i%ringBuckets] = 0, 0
	}
	b.bucket = bucket
}

// changeWindow replaces the window. All counts are moved to the bucket that has just ended.
// b.mu must be held.
func (b *retryBudget) changeWindow(now time.Time, window time.Duration) {
	requests, retries := 0, 0
	for i := range ringBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	b.requests, b.retries = [ringBuckets]int{requests}, [ringBuckets]int{retries}
	b.bucket, b.begin, b.window = 1, now.Add(-window/budgetBuckets), window
	b.windows++
}

// budgets holds one retryBudget per service. Its methods may be called
// concurrently.
type budgets struct {
	byService sync.Map // service name to *retryBudget
}

// forService returns the budget of a service, and creates it if needed.
func (b *budgets) forService(service string) *retryBudget {
	if v, ok := b.byService.Load(service); ok {
		return v.(*retryBudget)
	}
	v, _ := b.byService.LoadOrStore(service, new(retryBudget))
	return v.(*retryBudget)
}

// each calls f for the budget of every service, in order of the names.
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

// allowsRetry reports whether spend would allow a retry.
func (b *retryBudget) allowsRetry(now time.Time, l retryLimits) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, l)
	return b.allowsRetryLocked(l)
}

// retryLimits returns the limits of the retry budgets: those of the settings
// that were last loaded, and the current number of nodes. This node has no part of the
// shared retries for one window after the start, because its former process may have made
// all of them just before it ended, nor while it does not know how many nodes share them.
func (n *Node) retryLimits() retryLimits {
	b := n.bounds.Load()
	l := retryLimits{ratio: b.RetryRatio, slack: b.RetrySlack, window: b.RetryWindow, nodes: n.links.sharingNodes()}
	inFirstWindow := !n.firstStart && time.Since(n.started) < b.RetryWindow
	if inFirstWindow || l.nodes == 0 {
		l.slack = 0
	}
	return l
}
