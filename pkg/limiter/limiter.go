// Package limiter bounds the number and the size of the large responses that a
// node sends to other nodes, so that many requests at the same time, as when all
// nodes restart, exhaust neither its memory nor its network link.
package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of one Limiter.
const (
	// maxConcurrent is the number of responses that may be built concurrently.
	maxConcurrent = 2
	// bytesPerSecond is the sustained rate of the responses. The bound on
	// concurrency doesn't replace it, since finished responses wait in the send
	// queues of their connections.
	bytesPerSecond = 4 << 20
	// burstBytes is the number of bytes that may be sent in one burst after a time
	// without responses.
	burstBytes = 4 << 20
)

// Limiter admits a bounded number and rate of large responses. It is safe for
// concurrent use.
type Limiter struct {
	slots chan struct{}
	bytes *rate.Limiter
	now   func() time.Time
}

// New returns a Limiter that reads the time from now.
func New(now func() time.Time) *Limiter {
	return &Limiter{slots: make(chan struct{}, maxConcurrent), bytes: rate.NewLimiter(bytesPerSecond, burstBytes), now: now}
}

// TryAcquire admits one response without waiting. If ok is false, a limit is
// reached and the response must not be built. Otherwise release must be called
// once, with the size of the response in bytes. release charges the size, at most
// burstBytes, since ReserveN charges nothing for more than that. The balance may become
// negative; no response is admitted until it is positive again.
func (l *Limiter) TryAcquire() (release func(size int), ok bool) {
	if l.bytes.TokensAt(l.now()) <= 0 {
		return nil, false
	}
	select {
	case l.slots <- struct{}{}:
	default:
		return nil, false
	}
	return func(size int) {
		l.bytes.ReserveN(l.now(), min(size, burstBytes))
		<-l.slots
	}, true
}
