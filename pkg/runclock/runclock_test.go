package runclock

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Time in which the process did not run was counted as the silence of targets.
func TestClockLeavesOutTheTimeInWhichTheProcessDidNotRun(t *testing.T) {
	start := time.Now()
	c := new(Clock)
	c.last.Store(&reading{at: start})
	at := func(d time.Duration) time.Duration { return c.last.Load().until(start.Add(d)) }
	assert.Equal(t, interval, at(interval))
	c.advance(start.Add(interval))
	assert.Equal(t, interval, at(interval), "a reading doesn't change the time")
	assert.Equal(t, interval+maxGap, at(time.Hour), "suspended")
	c.advance(start.Add(time.Hour))
	assert.Equal(t, interval+maxGap, at(time.Hour))
	assert.Equal(t, 2*interval+maxGap, at(time.Hour+interval), "it goes on")
}

// A clock that stands still would never find a target silent.
func TestClockAdvancesWhileItRuns(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c := New()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	last := c.Now()
	require.Eventually(t, func() bool {
		now := c.Now()
		assert.GreaterOrEqual(t, now, last)
		last = now
		return now > 3*maxGap
	}, 10*time.Second, time.Millisecond)
	cancel()
	<-done
}
