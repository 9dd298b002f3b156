package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// clock is a clock that tests set.
type clock struct{ time.Time }

// now returns the time that is set.
func (c *clock) now() time.Time { return c.Time }

// errInterrupted is the error of reads of a source that was interrupted.
var errInterrupted = errors.New("interrupted")

// newPipe returns a source that waits for what is written to w, and the function that interrupts
// it. A write returns when its bytes have been read; one of no bytes returns when the source is
// being read.
func newPipe() (r *io.PipeReader, w *io.PipeWriter, interrupt func()) {
	r, w = io.Pipe()
	return r, w, func() { _ = w.CloseWithError(errInterrupted) }
}

// receiveStalled receives a body in the background that stalls after sent bytes of size, and
// returns the channel for the error.
func receiveStalled(b *Bodies, c *clock, sent, size int) <-chan error {
	r, w, interrupt := newPipe()
	body := b.Receive(nil, r, interrupt, c.now)
	done := make(chan error, 1)
	go func() {
		_, err := body.ReadAll(int64(size), 1<<20, 1<<20)
		body.Release()
		done <- err
	}()
	_, _ = w.Write(make([]byte, sent))
	_, _ = w.Write(nil)
	return done
}

// receive receives a complete body, which is not released.
func receive(b *Bodies, c *clock, size int) (*Body, error) {
	body := b.Receive(nil, bytes.NewReader(make([]byte, size)), func() {}, c.now)
	got, err := body.ReadAll(int64(size), 1<<20, 1<<20)
	if err == nil && len(got) != size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// A declared length was allocated before a byte had arrived.
func TestDeclaredLengthHoldsNothing(t *testing.T) {
	b, c := NewBodies(8<<20), &clock{time.Now()}
	done := receiveStalled(b, c, 1<<20-1, 1<<20)
	assert.LessOrEqual(t, b.Held(), int64(1<<20))
	receiveStalled(b, c, 0, 1<<20)
	assert.LessOrEqual(t, b.Held(), int64(1<<20+firstBufferBytes))
	c.Time = c.Add(maxStall)
	b.EndStalled(c.Time)
	require.ErrorIs(t, <-done, ErrStalled)
}

// Guards against bodies that hold more than the bound, against a reserve that large bodies
// use up, and against counts that are not given back.
func TestLargeBodiesLeaveAReserveForSmallOnes(t *testing.T) {
	b, c := NewBodies(1<<20), &clock{time.Now()}
	var held []*Body
	for {
		body, err := receive(b, c, 128<<10)
		if err != nil {
			require.ErrorIs(t, err, ErrFull)
			body.Release()
			break
		}
		held = append(held, body)
	}
	assert.Len(t, held, 6, "three quarters of the bound")
	for range 16 {
		body, err := receive(b, c, 16<<10)
		require.NoError(t, err)
		held = append(held, body)
	}
	_, err := receive(b, c, 64<<10)
	require.ErrorIs(t, err, ErrFull)
	assert.Equal(t, int64(1<<20), b.Held())
	for _, body := range held {
		body.Release()
	}
	assert.Zero(t, b.Held())
}

// Guards against many stalled bodies that keep out all others.
func TestBodyThatIsStalledLongestMakesRoom(t *testing.T) {
	b, c := NewBodies(1<<20), &clock{time.Now()}
	oldest := receiveStalled(b, c, 256<<10-1, 256<<10)
	c.Time = c.Add(100 * time.Millisecond)
	other := receiveStalled(b, c, 256<<10-1, 256<<10)
	_, err := receive(b, c, 512<<10)
	require.ErrorIs(t, err, ErrFull, "none is stalled for minEvictStall")
	c.Time = c.Add(minEvictStall - 50*time.Millisecond)
	_, err = receive(b, c, 512<<10)
	require.NoError(t, err)
	require.ErrorIs(t, <-oldest, ErrFull)
	assert.Empty(t, other)
	c.Time = c.Add(maxStall)
	b.EndStalled(c.Time)
	require.ErrorIs(t, <-other, ErrStalled)
	assert.Equal(t, int64(512<<10), b.Held())
}

// Guards against a body of which a byte arrives now and then, without end.
func TestBodyThatTakesTooLongEnds(t *testing.T) {
	b, c := NewBodies(0), &clock{time.Now()}
	r, w, interrupt := newPipe()
	body := b.Receive(nil, r, interrupt, c.now)
	done := make(chan error, 1)
	go func() {
		_, err := body.ReadAll(-1, 1<<20, 0)
		done <- err
	}()
	for elapsed := time.Duration(0); elapsed < maxBodyTime; elapsed += maxStall / 2 {
		_, err := w.Write([]byte("x"))
		require.NoError(t, err)
		_, _ = w.Write(nil)
		c.Time = c.Add(maxStall / 2)
		b.EndStalled(c.Time)
	}
	require.ErrorIs(t, <-done, ErrStalled)
}

// Guards against a body without a declared length that is cut off at the limit and served.
func TestBodyOverTheLimitIsTooLarge(t *testing.T) {
	b, c := NewBodies(0), &clock{time.Now()}
	for _, size := range []int{99, 100, 101} {
		body := b.Receive(nil, bytes.NewReader(make([]byte, size)), func() {}, c.now)
		got, err := body.ReadAll(-1, 100, 0)
		body.Release()
		if size > 100 {
			require.ErrorIs(t, err, ErrTooLarge)
			continue
		}
		require.NoError(t, err)
		assert.Len(t, got, size)
	}
}

// Guards against parsed heads with many fields that hold memory beyond any bound while their bodies
// are stalled, and against ordinary requests that they keep out.
func TestHeadsCountAndEndWithTheirStalledBodies(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	b := NewBodies(1 << 20)
	var heads []*Head
	for i := range 4 {
		h := b.HoldHead(256<<10, c.now)
		require.NotNil(t, h, i)
		r, _, interrupt := newPipe()
		b.Receive(h, r, interrupt, c.now)
		heads = append(heads, h)
	}
	assert.Nil(t, b.HoldHead(2000, c.now), "none is stalled for long enough")
	c.Time = c.Add(2 * time.Second)
	h := b.HoldHead(2000, c.now)
	require.NotNil(t, h)
	h.Release()
	for _, h := range heads {
		h.Release()
	}
	assert.Zero(t, b.Held())
}
