package notices

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newTestLedger() (*Ledger, *fakeClock) {
	c := &fakeClock{time.Unix(1000, 0)}
	return NewLedger(c.now), c
}

// A later response without the header made a target that leaves ready again.
func TestLeavingIsForGoodAndForOneIncarnation(t *testing.T) {
	l, c := newTestLedger()
	k := Key{"t1", 7}
	assert.True(t, l.Record(k, Notice{Leaving: true}).Leaves)
	c.at = c.at.Add(time.Hour)
	assert.Zero(t, l.Record(k, Notice{}))
	change := l.Record(k, Notice{Leaving: true, Pause: time.Second})
	assert.False(t, change.Leaves, "it is known")
	assert.True(t, change.Pauses)
	assert.True(t, l.State(k).Leaving)
	assert.Zero(t, l.State(Key{"t1", 8}), "a new incarnation starts without notices")
}

// A shorter pause, asked for in a later response, ended a longer one.
func TestLaterEndOfTwoPausesCounts(t *testing.T) {
	l, c := newTestLedger()
	k := Key{"t1", 7}
	assert.True(t, l.Record(k, Notice{Pause: 5 * time.Second}).Pauses)
	c.at = c.at.Add(time.Second)
	assert.False(t, l.Record(k, Notice{Pause: time.Second}).Pauses)
	assert.Equal(t, 4*time.Second, l.PauseLeft(k))
	assert.True(t, l.Record(k, Notice{Pause: 5 * time.Second}).Pauses, "a longer one prolongs it")
	c.at = c.at.Add(5 * time.Second)
	assert.Zero(t, l.PauseLeft(k))
	assert.False(t, l.State(k).Paused(c.at), "the pause ends with its time")
}

// Notices were kept for ever in a process that lives for months.
func TestLedgerIsBounded(t *testing.T) {
	l, c := newTestLedger()
	l.maxStates = 20
	l.Record(Key{"paused", 1}, Notice{Pause: time.Second})
	c.at = c.at.Add(time.Second)
	for i := range l.maxStates + 10 {
		l.Record(Key{fmt.Sprint("t", i), 1}, Notice{Leaving: true})
		c.at = c.at.Add(time.Millisecond)
	}
	assert.Len(t, l.Leaving(), l.maxStates)
	assert.Zero(t, l.State(Key{"t0", 1}), "the oldest is forgotten")
	assert.True(t, l.State(Key{fmt.Sprint("t", l.maxStates+9), 1}).Leaving)
	leaving, paused := l.Counts()
	assert.Equal(t, l.maxStates, leaving)
	assert.Zero(t, paused, "a pause that is over is forgotten")
}
