package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
)

// spendAll spends retries until the budget allows no more.
func (b *retryBudget) spendAll(now time.Time, l retryLimits) []spentRetry {
	var out []spentRetry
	for {
		r, ok := b.spend(now, l)
		if !ok {
			return out
		}
		out = append(out, r)
	}
}

// newSharingNode returns a node of the zone z, with 30 shared retries in 10 s, that has not
// heard from the owner of a zone.
func newSharingNode(t *testing.T, zones ...fleet.Zone) *Node {
	n, _ := newIdleNode(t)
	equipNode(n)
	n.self.Zone, n.settings.Zones = "z", zones
	clear(n.links.nodeCounts)
	n.bounds.Store(&Bounds{RetryRatio: 0.2, RetrySlack: 30, RetryWindow: 10 * time.Second})
	return n
}

// A process that was killed took the count of its retries with it, and the next one had its
// whole part of the shared retries at once: with a node killed every half second, a service
// got up to 89 more repeats in ten seconds than its budget.
func TestProcessHasNoSharedRetriesInItsFirstWindow(t *testing.T) {
	n := newSharingNode(t)
	n.links.nodeCounts["z"] = 1
	budget := n.budgets.forService("s")
	now := time.Now()
	n.started = now
	assert.Empty(t, budget.spendAll(now, n.retryLimits()), "the former process may have made all")
	for range 100 {
		budget.recordRequest(now, n.retryLimits())
	}
	assert.Len(t, budget.spendAll(now, n.retryLimits()), 14, "what its own requests allow")
	n.started = now.Add(-10 * time.Second)
	assert.True(t, budget.allowsRetry(now, n.retryLimits()), "a window has passed since the start")
	n.started, n.firstStart = now, true
	assert.True(t, budget.allowsRetry(now, n.retryLimits()), "there is no former process")
}

// Retries at the end of a bucket left the window a bucket too soon: up to twice the allowed
// number fell into 9.01 seconds of a window of 10.
func TestRetriesCountForAWholeWindow(t *testing.T) {
	l := retryLimits{slack: 30, window: 10 * time.Second, nodes: 1}
	for _, offset := range []time.Duration{0, time.Millisecond, 500 * time.Millisecond, 999 * time.Millisecond} {
		b := new(retryBudget)
		b.recordRequest(now, l) // the first bucket begins
		spentAt := now.Add(offset)
		assert.Len(t, b.spendAll(spentAt, l), 21)
		for at := spentAt; at.Sub(spentAt) < l.window; at = at.Add(10 * time.Millisecond) {
			if !assert.Empty(t, b.spendAll(at, l), "%s after retries at %s", at.Sub(spentAt), offset) {
				break
			}
		}
		assert.NotEmpty(t, b.spendAll(spentAt.Add(l.window*(budgetBuckets+1)/budgetBuckets), l), "a bucket after the window")
	}
}

// Requests at the begin of a bucket counted for up to a bucket more than the window.
func TestRequestsCountForAtMostAWindow(t *testing.T) {
	l := retryLimits{ratio: 1, window: 10 * time.Second, nodes: 1}
	for _, offset := range []time.Duration{0, time.Millisecond, 500 * time.Millisecond, 999 * time.Millisecond} {
		b := new(retryBudget)
		b.spendAll(now, l)
		for range 100 {
			b.recordRequest(now.Add(offset), l)
		}
		assert.True(t, b.allowsRetry(now.Add(offset+l.window*(budgetBuckets-2)/budgetBuckets), l))
		assert.False(t, b.allowsRetry(now.Add(offset+l.window), l))
	}
}

// A refund took back the newest retry instead of the one that was not made: the older
// one left the window with it, and was counted no more although it had been made.
func TestRefundTakesBackTheRetryThatWasNotMade(t *testing.T) {
	l := retryLimits{slack: 30, window: 10 * time.Second, nodes: 1}
	b := new(retryBudget)
	first := b.spendAll(now, l)[0]
	afterwards := now.Add(5 * time.Second)
	b.refund(afterwards, l, first)
	assert.Len(t, b.spendAll(afterwards, l), 1)
	b.refund(afterwards, l, first)
	assert.Len(t, b.spendAll(afterwards, l), 1)
	assert.Len(t, b.spendAll(now.Add(11*time.Second), l), 19, "both retries of the sixth second count")
}

func TestRetryBudgetGrowsWithRequestsAndTime(t *testing.T) {
	l := retryLimits{ratio: 0.2, slack: 30, window: 10 * time.Second, nodes: 3}
	b := new(retryBudget)
	spent := len(b.spendAll(now, l))
	assert.Equal(t, 7, spent, "0.7 of a third of the slack")
	for range 100 {
		b.recordRequest(now, l)
	}
	spent += len(b.spendAll(now.Add(time.Second), l))
	assert.Equal(t, 21, spent, "another 0.7 of a fifth of the requests")
	assert.False(t, b.allowsRetry(now.Add(5*time.Second), l))
	assert.NotEmpty(t, b.spendAll(now.Add(12*time.Second), l), "the window has elapsed")
}

// TestRetryBudgetHoldsInEveryWindow spends as many retries as it can for 40 s,
// and checks the bound in every window.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	l := retryLimits{ratio: 0.2, slack: 30, window: 10 * time.Second, nodes: 1}
	b := new(retryBudget)
	var requests, retries []time.Time
	for at := now; at.Before(now.Add(40 * time.Second)); at = at.Add(100 * time.Millisecond) {
		b.recordRequest(at, l)
		requests = append(requests, at)
		for range b.spendAll(at, l) {
			retries = append(retries, at)
		}
	}
	for _, from := range requests {
		inWindow := func(list []time.Time) int {
			n := 0
			for _, x := range list {
				if !x.Before(from) && x.Before(from.Add(l.window)) {
					n++
				}
			}
			return n
		}
		// 100 requests arrive per window. Requests from before the window may
		// also allow retries in it; usableBudgetShare leaves room for these.
		assert.LessOrEqual(t, float64(inWindow(retries)), l.ratio*100+l.slack)
	}
}

// After a reload with another window, old retries count for one new window and not
// forever.
func TestRetryBudgetRecoversAfterItsWindowChanges(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 30 * time.Second} {
		l := retryLimits{ratio: 0.2, slack: 30, window: 10 * time.Second, nodes: 1}
		b := new(retryBudget)
		b.spendAll(now, l)
		l.window = window
		assert.False(t, b.allowsRetry(now.Add(time.Millisecond), l), "the retries still count")
		assert.True(t, b.allowsRetry(now.Add(window+window/budgetBuckets), l), "a window of %s has elapsed", window)
	}
}

// A node that was cut off from the others since its start divided the shared retries among
// the nodes that it knew: several such nodes together had more than all of them.
func TestNodeThatIsCutOffHasNoMoreThanItsPartOfTheSharedRetries(t *testing.T) {
	n := newSharingNode(t, "z", "y", "x")
	n.started = time.Now().Add(-time.Minute)
	budget := n.budgets.forService("s")
	assert.Empty(t, budget.spendAll(time.Now(), n.retryLimits()), "it has heard of nobody")
	n.links.nodeCounts["z"] = 2
	assert.Equal(t, 6, n.retryLimits().nodes, "two in its zone, as many in each of the others")
	n.links.nodeCounts["y"] = 5
	assert.Equal(t, 8, n.retryLimits().nodes)
	n.links.nodeCounts["x"] = 5
	assert.Equal(t, 5, n.retryLimits().nodes, "all zones have been heard of")
	assert.Len(t, budget.spendAll(time.Now(), n.retryLimits()), 4)
}
