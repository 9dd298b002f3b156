// Package limiter bounds the large answers that a node gives to other nodes, so
// that many of them at once, as when all nodes start anew, take up neither its
// memory nor its link.
package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the answers through one Limiter.
const (
	// concurrent is the number of answers that are made at once.
	concurrent = 2
	// bytesPerSecond bounds the answers over time, since they wait in the
	// queues of connections after they were made.
	bytesPerSecond = 4 << 20
	// burstBytes is what may go out at once after a quiet time.
	burstBytes = 4 << 20
)

// Limiter lets a bounded number of large answers through. It is safe for
// concurrent use.
type Limiter struct {
	slots chan struct{}
	bytes *rate.Limiter
	now   func() time.Time
}

// New returns a Limiter that reads the clock now.
func New(now func() time.Time) *Limiter {
	return &Limiter{slots: make(chan struct{}, concurrent), bytes: rate.NewLimiter(bytesPerSecond, burstBytes), now: now}
}

// TryAcquire asks for one answer; ok is false when there are too many. Otherwise
// leave must be called with the size of the answer in bytes.
func (g *Limiter) TryAcquire() (leave func(size int), ok bool) {
	if g.bytes.TokensAt(g.now()) <= 0 {
		return nil, false
	}
	select {
	case g.slots <- struct{}{}:
	default:
		return nil, false
	}
	return func(size int) {
		g.bytes.ReserveN(g.now(), min(size, burstBytes))
		<-g.slots
	}, true
}
