package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A process that was killed took the count of its retries with it, and the next one had its
// whole part of the shared retries at once: with a node killed every half second, a service
// got up to 89 more repeats in ten seconds than its budget.
func TestProcessHasNoSharedRetriesInItsFirstWindow(t *testing.T) {
	n, _ := newIdleNode(t)
	n.bounds.Store(&Bounds{RetryRatio: 0.2, RetrySlack: 30, RetryWindow: 10 * time.Second})
	budget := n.budgets.forService("s")
	now := time.Now()
	n.started = now
	assert.False(t, budget.spend(now, n.retryLimits()), "the former process may have made all")
	for range 100 {
		budget.recordRequest(now, n.retryLimits())
	}
	spent := 0
	for budget.spend(now, n.retryLimits()) {
		spent++
	}
	assert.Equal(t, 14, spent, "what its own requests allow")
	n.started = now.Add(-10 * time.Second)
	assert.True(t, budget.spend(now, n.retryLimits()), "a window has passed since the start")
	n.started, n.firstStart = now, true
	assert.True(t, budget.spend(now, n.retryLimits()), "there is no former process")
}
