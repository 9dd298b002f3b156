package dispatch

import (
	"math"
	"sync/atomic"
)

// retryBudget bounds retries to a share of the requests. It is filled by
// requests and not by time, so that an outage earns no retries.
type retryBudget struct {
	ratio, burst float64
	tokens       atomic.Uint64 // bits of a float64
}

func (b *retryBudget) init(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.tokens.Store(math.Float64bits(burst))
}

// earn counts a request.
func (b *retryBudget) earn() { b.add(b.ratio) }

// spend takes one retry, and tells whether there was one.
func (b *retryBudget) spend() bool { return b.add(-1) }

// refund returns a retry that was not made.
func (b *retryBudget) refund() { b.add(1) }

func (b *retryBudget) add(n float64) bool {
	for {
		old := b.tokens.Load()
		have := math.Float64frombits(old)
		next := min(b.burst, have+n)
		if next < 0 {
			return false
		}
		if next == have || b.tokens.CompareAndSwap(old, math.Float64bits(next)) {
			return true
		}
	}
}
