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
	l.Record(k, Notice{Pause: time.Minute})
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
	assert.Equal(t, 4*time.Second, l.PauseLeft(k.Target))
	assert.True(t, l.Record(k, Notice{Pause: 5 * time.Second}).Pauses, "a longer one prolongs it")
	c.at = c.at.Add(5 * time.Second)
	assert.Zero(t, l.PauseLeft(k.Target))
	assert.Zero(t, l.PauseLeft(k.Target), "the pause ends with its time")
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
	leaving, paused, _ := l.Counts()
	assert.Equal(t, l.maxStates, leaving)
	assert.Zero(t, paused, "a pause that is over is forgotten")
}

// A limit stayed after the target had stopped naming it, or ended by a response to a request
// that had been sent before the target named it.
func TestLatestWordOnALimitCounts(t *testing.T) {
	l, c := newTestLedger()
	k := Key{"t1", 7}
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	c.at = at(5000)
	assert.False(t, l.RecordLimit(k, RateLimit{}, at(0)), "no limit was known")
	assert.True(t, l.RecordLimit(k, RateLimit{true, 5}, at(100)))
	assert.False(t, l.RecordLimit(k, RateLimit{true, 5}, at(200)), "the same")
	assert.False(t, l.RecordLimit(k, RateLimit{}, at(150)), "requested before it was last named")
	assert.False(t, l.RecordLimit(k, RateLimit{true, 9}, at(120)), "older news")
	assert.Equal(t, RateLimit{true, 5}, l.State(k).Limit)
	assert.True(t, l.RecordLimit(k, RateLimit{true, 0}, at(300)), "a limit of 0 is one")
	assert.True(t, l.RecordLimit(k, RateLimit{}, at(400)))
	assert.False(t, l.RecordLimit(k, RateLimit{true, 5}, at(350)), "older news, after its end")
	assert.Empty(t, l.Limits())
	c.at = at(400).Add(limitMemory + time.Millisecond)
	l.RecordLimit(Key{"t2", 7}, RateLimit{true, 1}, c.at)
	assert.Zero(t, l.State(k), "the end is forgotten")
	assert.Len(t, l.Limits(), 1)
}
