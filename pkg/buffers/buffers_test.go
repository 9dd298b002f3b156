package buffers

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const kB = 1 << 10

// newLimit returns a Limit with the bounds.
func newLimit(max, maxBodies int) *Limit {
	l := new(Limit)
	l.SetMax(max, maxBodies)
	return l
}

// Responses without end together held more than the node had.
func TestHolderWithTheMostIsEndedFirst(t *testing.T) {
	l := newLimit(200*kB, 100*kB)
	ended := map[string]int{}
	newHolder := func(name string) *Holder { return l.NewHolder(func() { ended[name]++ }) }
	small, large, last := newHolder("small"), newHolder("large"), newHolder("last")
	require.NoError(t, small.HoldEvent(40*kB))
	require.NoError(t, large.HoldEvent(110*kB))
	require.NoError(t, last.HoldEvent(60*kB), "the largest is ended instead")
	assert.Equal(t, map[string]int{"large": 1}, ended)
	assert.Equal(t, 100*kB, l.Held(), "what was ended no longer counts")
	require.ErrorIs(t, large.HoldEvent(120*kB), ErrHeldMost)
	require.ErrorIs(t, large.HoldEvent(0), ErrHeldMost, "also after it has let go")
	require.ErrorIs(t, last.HoldEvent(170*kB), ErrHeldMost, "it holds the most itself")
	assert.Equal(t, map[string]int{"large": 1}, ended, "the caller of an error ends it itself")
	for _, h := range []*Holder{small, large, last, last} {
		h.Release()
	}
	assert.Zero(t, l.Held())
}

// Responses that were ended, and had not let go yet, held as much as the node had.
func TestWhatIsBeingEndedIsBounded(t *testing.T) {
	l := newLimit(400*kB, 100*kB)
	var ended, holders []*Holder
	grow := func() error {
		var h *Holder
		h = l.NewHolder(func() { ended = append(ended, h) })
		holders = append(holders, h)
		return h.HoldEvent((100 - len(holders)) * kB) // the older ones hold more
	}
	for range 6 {
		require.NoError(t, grow(), "others are ended")
	}
	require.Len(t, ended, 2)
	require.ErrorIs(t, grow(), ErrHeldMost, "the others have not let go")
	require.Len(t, ended, 2)
	for _, h := range ended {
		h.Release()
	}
	require.ErrorIs(t, holders[6].HoldEvent(1), ErrHeldMost)
	holders[6].Release()
	require.NoError(t, grow())
	require.Len(t, ended, 3)
}

// Events without end ended the bodies of sound targets, or kept them from being read.
func TestBodiesEndNothingAndHoldAPartOnly(t *testing.T) {
	l := newLimit(200*kB, 100*kB)
	event := l.NewHolder(func() { t.Error("a body ended an event") })
	require.NoError(t, event.HoldEvent(60*kB))
	a, b := l.NewHolder(nil), l.NewHolder(nil)
	require.NoError(t, a.HoldBody(60*kB))
	require.ErrorIs(t, b.HoldBody(50*kB), ErrFull, "the part of bodies")
	require.NoError(t, b.HoldBody(40*kB))
	require.NoError(t, event.HoldEvent(100*kB))
	a.Release()
	require.NoError(t, event.HoldEvent(150*kB))
	require.ErrorIs(t, a.HoldBody(20*kB), ErrFull, "the whole")
	require.ErrorIs(t, event.HoldEvent(180*kB), ErrHeldMost, "the body goes on")
	assert.Equal(t, 40*kB, l.Held())
}

func TestSmallBuffersAreNotCounted(t *testing.T) {
	l := newLimit(1, 1)
	h := l.NewHolder(func() {})
	require.NoError(t, h.HoldEvent(uncountedBytes))
	require.NoError(t, h.HoldBody(uncountedBytes))
	assert.Zero(t, l.Held())
	require.ErrorIs(t, h.HoldEvent(uncountedBytes+1), ErrHeldMost)
	require.NoError(t, new(Limit).NewHolder(nil).HoldEvent(1<<40), "no bound")
	var none *Holder
	require.NoError(t, none.HoldEvent(1<<40))
	require.NoError(t, none.HoldBody(1<<40))
	none.Release()
}

// The count drifted from what was held, so that the bound grew or shrank for ever.
func TestCountIsZeroAfterRandomUse(t *testing.T) {
	const goroutines, steps, most = 8, 2000, 64 * kB
	l := newLimit(3*most, most)
	var wg sync.WaitGroup
	for i := range goroutines {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			for range steps / 10 {
				h := l.NewHolder(func() {})
				hold := h.HoldEvent
				if i%2 == 0 {
					hold = h.HoldBody
				}
				for range 10 {
					_ = hold(r.IntN(most)) // refusals are of no concern here
					assert.LessOrEqual(t, l.Held(), 3*most)
				}
				h.Release()
			}
		})
	}
	wg.Wait()
	assert.Zero(t, l.Held())
	assert.Zero(t, l.bodies)
	assert.Zero(t, l.ending)
	assert.Empty(t, l.events)
}

func TestReadAllReturnsTheBodyOrItsStart(t *testing.T) {
	text := strings.Repeat("0123456789", 10_000)
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		in   io.Reader
		max  int
		part int // 0 for the whole body
		err  error
	}{
		"whole":          {strings.NewReader(text), len(text) + 1, 0, nil},
		"byte by byte":   {iotest.OneByteReader(strings.NewReader(text)), len(text) + 1, 0, nil},
		"end with bytes": {iotest.DataErrReader(strings.NewReader(text)), len(text) + 1, 0, nil},
		"too long":       {strings.NewReader(text), 1000, 1000, nil},
		"broken":         {io.MultiReader(strings.NewReader(text[:700]), iotest.ErrReader(broken)), len(text), 700, broken},
	} {
		h := new(Limit).NewHolder(nil)
		got, err := h.ReadAll(c.in, c.max)
		require.ErrorIs(t, err, c.err, name)
		if c.part == 0 {
			c.part = len(text)
		}
		assert.Equal(t, text[:c.part], string(got), name)
	}
}

// A body that could not be held any longer lost the bytes that were read.
func TestReadAllLeavesTheRestWhenNoMoreMayBeHeld(t *testing.T) {
	text := strings.Repeat("0123456789", 10_000)
	l := newLimit(200*kB, 50*kB)
	h, in := l.NewHolder(nil), strings.NewReader(text)
	got, err := h.ReadAll(in, len(text)+1)
	require.ErrorIs(t, err, ErrFull)
	assert.Equal(t, 32*kB, l.Held())
	rest, err := io.ReadAll(in)
	require.NoError(t, err)
	assert.Equal(t, text, string(bytes.Join([][]byte{got, rest}, nil)))
	h.Release()
	assert.Zero(t, l.Held())
}
