package streams

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const testLife = 20 * time.Second

var testStart = time.Unix(1_700_000_000, 0)

// listed returns versions of one service.
func listed(versions ...string) map[string]map[string]bool {
	out := map[string]map[string]bool{"llm": {}}
	for _, v := range versions {
		out["llm"][v] = true
	}
	return out
}

// A node that has just started took the version that it saw for the only one, although the
// targets of another one had just left.
func TestOnlyVersionIsKnownAfterALifeOrFromTheRecord(t *testing.T) {
	h := NewHistory(testLife)
	_, ok := h.Only(testStart, "llm")
	assert.False(t, ok, "nothing was observed")
	h.Observe(testStart, listed("b"))
	_, ok = h.Only(testStart.Add(testLife-1), "llm")
	assert.False(t, ok, "another version may have left before the start")
	version, ok := h.Only(testStart.Add(testLife), "llm")
	assert.True(t, ok)
	assert.Equal(t, "b", version)

	h = NewHistory(testLife)
	h.Observe(testStart, listed("b"))
	h.Include(testStart.Add(time.Second), map[string][]string{"llm": {"a", "b"}})
	_, ok = h.Only(testStart.Add(time.Second+testLife-1), "llm")
	assert.False(t, ok, "the record has another version")
	_, ok = h.Only(testStart.Add(time.Second+testLife), "llm")
	assert.True(t, ok, "its streams are over")

	h = NewHistory(testLife)
	h.Observe(testStart, listed("b"))
	h.Include(testStart, map[string][]string{"llm": {"b"}})
	version, ok = h.Only(testStart, "llm")
	assert.True(t, ok)
	assert.Equal(t, "b", version)
}

// Streams of a version whose last target had left were taken for those of another one.
func TestVersionStaysRecentForALifeAfterItsTargets(t *testing.T) {
	h := NewHistory(testLife)
	h.Observe(testStart, listed("a"))
	assert.Equal(t, []string{"llm"}, h.Observe(testStart.Add(testLife), listed("a", "b")))
	assert.Empty(t, h.Observe(testStart.Add(testLife), listed("a", "b")), "no change")
	gone := testStart.Add(2 * testLife)
	h.Observe(gone, listed("b"))
	assert.Equal(t, []string{"a", "b"}, h.Recent(gone.Add(testLife-1), "llm"))
	assert.Equal(t, map[string][]string{"llm": {"b"}}, h.All(gone.Add(testLife)))
	assert.Equal(t, []string{"llm"}, h.Observe(gone.Add(testLife), listed("a", "b")), "it is back after a life")
	h.Observe(gone.Add(testLife), listed("b"))
	assert.Empty(t, h.Observe(gone.Add(testLife+1), listed("a", "b")), "it is back at once")
	assert.Equal(t, []string{"a", "b"}, h.Recent(gone.Add(testLife+1), "llm"))
}

// Guards against a version that is overlooked because its targets came and left between two lists.
func TestVersionThatWasSeenInAChangeIsRecent(t *testing.T) {
	h := NewHistory(testLife)
	h.Observe(testStart, listed("a"))
	h.Include(testStart, nil)
	assert.Equal(t, []string{"llm"}, h.Saw(testStart, listed("a", "b")))
	assert.Empty(t, h.Saw(testStart, listed("a", "b")), "no change")
	h.Observe(testStart, listed("a"))
	_, ok := h.Only(testStart.Add(testLife-1), "llm")
	assert.False(t, ok)
	version, ok := h.Only(testStart.Add(testLife), "llm")
	assert.True(t, ok)
	assert.Equal(t, "a", version)
	h.Missed(testStart.Add(testLife))
	_, ok = h.Only(testStart.Add(testLife), "llm")
	assert.False(t, ok, "changes may have been missed")
	_, ok = h.Only(testStart.Add(2*testLife), "llm")
	assert.True(t, ok, "a life later")
}

// A service all of whose targets have gone, and one that nobody listed.
func TestServiceWithoutTargetsHasNoOnlyVersion(t *testing.T) {
	h := NewHistory(testLife)
	h.Observe(testStart, listed("a"))
	h.Observe(testStart, map[string]map[string]bool{})
	version, ok := h.Only(testStart.Add(testLife-1), "llm")
	assert.False(t, ok, version)
	h.Include(testStart, nil)
	version, ok = h.Only(testStart.Add(testLife-1), "llm")
	assert.True(t, ok, "its last version")
	assert.Equal(t, "a", version)
	_, ok = h.Only(testStart.Add(testLife), "llm")
	assert.False(t, ok)
	_, ok = h.Only(testStart, "other")
	assert.False(t, ok)
}

// A stream was sent twice, and the second version replaced that of its first event.
func TestFirstEventDecidesTheOrigin(t *testing.T) {
	l := NewLedger(testLife)
	l.Put(testStart, "r", Origin{"llm", "a"})
	l.Put(testStart, "r", Origin{"llm", "b"})
	o, ok := l.Get(testStart, "r")
	assert.True(t, ok)
	assert.Equal(t, "a", o.Version)
}

// Streams are known for a life, whenever they began, and are forgotten afterwards.
func TestStreamsAreKnownForALife(t *testing.T) {
	for _, begun := range []time.Duration{0, testLife / 2, testLife - 1, testLife} {
		l := NewLedger(testLife)
		l.Put(testStart, "first", Origin{"llm", "a"})
		at := testStart.Add(begun)
		l.Put(at, "r", Origin{"llm", "a"})
		_, ok := l.Get(at.Add(testLife-1), "r")
		assert.True(t, ok, begun)
		_, ok = l.Get(at.Add(2*testLife), "r")
		assert.False(t, ok, begun)
	}
	l := NewLedger(testLife)
	l.Put(testStart, "r", Origin{"llm", "a"})
	_, ok := l.Get(testStart.Add(5*testLife), "r")
	assert.False(t, ok, "nothing was asked meanwhile")
}

// Streams without end would fill the memory.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(testLife)
	for i := range 5 * maxStreams {
		l.Put(testStart, fmt.Sprint(i), Origin{"llm", "a"})
	}
	assert.LessOrEqual(t, len(l.Of(testStart, "llm")), 2*maxStreams)
	_, ok := l.Get(testStart, fmt.Sprint(5*maxStreams-1))
	assert.True(t, ok, "the latest")
	assert.Empty(t, l.Of(testStart, "other"))
}

func TestStreamsAreListedByServiceAndVersion(t *testing.T) {
	assert.Equal(t, map[string]map[string][]string{"llm": {"a": {"r1", "r3"}, "b": {"r2"}}, "other": {"": {"r4"}}}, ByVersion(map[string]Origin{
		"r1": {"llm", "a"}, "r2": {"llm", "b"}, "r3": {"llm", "a"}, "r4": {"other", ""},
	}))
}
