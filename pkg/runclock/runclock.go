// Package runclock measures the time in which the process ran. A process that is suspended, or
// gets no processor, misses what happens meanwhile: it must not take that time for the silence
// of others.
package runclock

import (
	"context"
	"sync/atomic"
	"time"
)

// Times of a clock.
const (
	// interval is the time between two readings of the wall clock.
	interval = 50 * time.Millisecond
	// maxGap is the most that the clock advances between two readings. What is beyond it
	// counts as time in which the process didn't run.
	maxGap = 2 * interval
)

// Clock counts the time in which the process ran since New. Its methods may be called
// concurrently.
type Clock struct{ last atomic.Pointer[reading] }

// reading is one reading of the wall clock.
type reading struct {
	at time.Time
	// ran is the time that was counted until then.
	ran time.Duration
}

// New returns a clock at 0, which advances by maxGap at most until Run is called.
func New() *Clock {
	c := new(Clock)
	c.last.Store(&reading{at: time.Now()})
	return c
}

// Run keeps the clock running until ctx ends.
func (c *Clock) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.advance(time.Now())
		}
	}
}

// advance makes now the last reading. It is called by the goroutine of Run only.
func (c *Clock) advance(now time.Time) { c.last.Store(&reading{now, c.last.Load().until(now)}) }

// Now returns the time in which the process ran so far. It never falls.
func (c *Clock) Now() time.Duration { return c.last.Load().until(time.Now()) }

// until returns what the clock shows at a time after the reading, if there is none since.
func (r *reading) until(now time.Time) time.Duration { return r.ran + min(now.Sub(r.at), maxGap) }
