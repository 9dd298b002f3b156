package intake

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBodyBytes is the size up to which a body may use the part of the bound that larger
	// bodies may not.
	smallBodyBytes = 64 << 10
	// largeShare is the share of the bound that larger bodies may hold together.
	largeShare = 3.0 / 4
	// firstBufferBytes is the largest size of the first buffer of a body, whose size doubles
	// when it is full.
	firstBufferBytes = 16 << 10
	// maxEndingShare is the share of the bound that bodies may hold while they are being ended.
	maxEndingShare = 1.0 / 4
)

var (
	// ErrFull means that a body can't be received because bodies hold too much memory.
	ErrFull = errors.New("the bodies of requests hold too much memory")
	// ErrStalled means that a body has made no progress for too long, or has taken too long.
	ErrStalled = errors.New("the body has made no progress, or has taken too long")
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than the limit")
)

// Bodies bounds what the bodies of requests hold together. Its methods may be called
// concurrently.
type Bodies struct {
	max, maxLarge int64

	mu sync.Mutex // guards all below
	// held is what bodies and heads hold, large the part of it of bodies over smallBodyBytes.
	// ending is what those hold in addition that were ended and not released yet.
	held, large, ending int64
	// receiving holds the bodies that are not complete.
	receiving map[*Body]struct{}
}

// NewBodies returns Bodies without a body that may hold max bytes; 0 for no bound.
func NewBodies(max int64) *Bodies {
	return &Bodies{max: max, maxLarge: int64(largeShare * float64(max)), receiving: map[*Body]struct{}{}}
}

// Largest returns the size of the largest body that can be received, 0 for no bound.
func (l *Bodies) Largest() int64 { return l.maxLarge }

// Held returns how many bytes bodies hold, those included that are being ended.
func (l *Bodies) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held + l.ending
}

// Head is what the parsed head of a request holds until the request has ended. Its fields hold more
// memory than they had bytes on the wire.
type Head struct {
	bodies *Bodies
	size   int64
	// ended is true once the body of the request was ended; bodies.mu guards it.
	ended bool
}

// HoldHead counts size bytes for a head. If too much is held, it ends the bodies that have been
// stalled the longest, with their heads. It returns nil if that does not suffice. now is the clock.
func (l *Bodies) HoldHead(size int64, now func() time.Time) *Head {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.max > 0 && l.held+size > l.max {
		if !l.endLongestStalled(nil, now()) {
			return nil
		}
	}
	l.held += size
	return &Head{bodies: l, size: size}
}

// Release records that the head is not needed any more. A nil Head is none.
func (h *Head) Release() {
	if h == nil {
		return
	}
	h.bodies.mu.Lock()
	defer h.bodies.mu.Unlock()
	if h.ended {
		h.bodies.ending -= h.size
	} else {
		h.bodies.held -= h.size
	}
}

// Body is the body of one request. Its methods are called by the goroutine of the request.
type Body struct {
	bodies *Bodies
	source io.Reader
	// interrupt ends a read of source that waits.
	interrupt func()
	begun     time.Time
	// progress is when bytes last arrived, in nanoseconds after begun.
	progress atomic.Int64
	now      func() time.Time

	// held is what is counted for the body, ending what it held when it was ended; bodies.mu
	// guards them, and cause, which is why it was ended.
	held, ending int64
	cause        error
	// head is that of the request, nil for none.
	head *Head
}

// Receive returns the body that is read from source. Another goroutine may call interrupt to end a
// read that waits, until ReadAll has returned the body or Release was called. head is that of the
// request, nil for none. now is the clock.
func (l *Bodies) Receive(head *Head, source io.Reader, interrupt func(), now func() time.Time) *Body {
	b := &Body{bodies: l, head: head, source: source, interrupt: interrupt, begun: now(), now: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiving[b] = struct{}{}
	return b
}

// ReadAll returns the whole body, which may have limit bytes. declared is the length that
// the client has declared, negative if it has not. If the body may not be received, the error is
// ErrFull, ErrStalled or ErrTooLarge. After ErrFull, and if the declared length is too large, up to
// maxDiscarded bytes of the rest are discarded, so that the client gets to read the response.
func (b *Body) ReadAll(declared, limit, maxDiscarded int64) ([]byte, error) {
	if declared > limit {
		return nil, b.discard(maxDiscarded, ErrTooLarge)
	}
	buffer, err := b.read(declared, limit)
	switch {
	case errors.Is(err, ErrFull):
		buffer = nil
		b.reserve(0)
		return nil, b.discard(maxDiscarded, ErrFull)
	case err != nil:
		return nil, err
	}
	if err := b.complete(); err != nil {
		return nil, err
	}
	return buffer, nil
}

// read reads the body into a buffer that grows as bytes arrive.
func (b *Body) read(declared, limit int64) ([]byte, error) {
	most := limit + 1 // one byte more shows that the body is too large
	if declared >= 0 {
		most = declared
	}
	var buffer []byte
	for {
		if int64(len(buffer)) == most {
			if declared >= 0 {
				return buffer, nil
			}
			return nil, ErrTooLarge
		}
		if len(buffer) == cap(buffer) {
			size := min(max(2*int64(cap(buffer)), firstBufferBytes), most)
			if err := b.reserve(size); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && (declared < 0 || int64(len(buffer)) == declared) {
			return buffer, nil
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// Read implements io.Reader. It returns the cause if the body was ended.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if n > 0 {
		b.progress.Store(int64(b.now().Sub(b.begun)))
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	if b.cause != nil {
		return n, b.cause
	}
	return n, err
}

// discard reads the rest of the body, at most size bytes, and returns err, or the error of a
// source that has ended early.
func (b *Body) discard(size int64, err error) error {
	_, readErr := io.CopyN(io.Discard, b, size)
	if readErr != nil && !errors.Is(readErr, io.EOF) && !errors.Is(readErr, ErrStalled) && !errors.Is(readErr, ErrFull) {
		return readErr
	}
	return err
}

// reserve counts size bytes for the buffer, in place of those counted before. If bodies would hold
// too much, it ends those that have been stalled the longest. It returns ErrFull if that does not
// suffice, and the cause if this body was ended.
func (b *Body) reserve(size int64) error {
	l := b.bodies
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.cause != nil {
		return b.cause
	}
	for l.max > 0 && size > b.held && !l.hasRoom(b, size) {
		if !l.endLongestStalled(b, b.now()) {
			return ErrFull
		}
	}
	l.count(b, size)
	return nil
}

// hasRoom reports whether a body may hold size bytes. mu must be held.
func (l *Bodies) hasRoom(b *Body, size int64) bool {
	if l.held-b.held+size > l.max {
		return false
	}
	return size <= smallBodyBytes || l.large-largePart(b.held)+size <= l.maxLarge
}

// largePart returns what a body of a size adds to Bodies.large.
func largePart(size int64) int64 {
	if size <= smallBodyBytes {
		return 0
	}
	return size
}

// count counts size bytes for a body, in place of those counted before. mu must be held.
func (l *Bodies) count(b *Body, size int64) {
	l.held += size - b.held
	l.large += largePart(size) - largePart(b.held)
	b.held = size
}

// endLongestStalled ends the body that longestStalled returns, and returns false if there is none or
// those that are being ended hold too much. mu must be held.
func (l *Bodies) endLongestStalled(except *Body, now time.Time) bool {
	victim := l.longestStalled(except, now)
	if victim == nil || l.ending > 0 && float64(l.ending+victim.total()) > maxEndingShare*float64(l.max) {
		return false
	}
	l.end(victim, ErrFull)
	return true
}

// total returns what a body and its head hold. mu must be held.
func (b *Body) total() int64 {
	if b.head == nil {
		return b.held
	}
	return b.held + b.head.size
}

// longestStalled returns the incomplete body that has been stalled the longest among those that
// hold bytes, nil if none has been for minEvictStall. mu must be held.
func (l *Bodies) longestStalled(except *Body, now time.Time) *Body {
	var longest *Body
	longestStall := minEvictStall
	for b := range l.receiving {
		if b == except || b.total() == 0 || b.cause != nil {
			continue
		}
		if stall := b.stall(now); stall >= longestStall {
			longest, longestStall = b, stall
		}
	}
	return longest
}

// stall returns for how long the body has made no progress.
func (b *Body) stall(now time.Time) time.Duration {
	return now.Sub(b.begun) - time.Duration(b.progress.Load())
}

// end ends a body that is being received. mu must be held.
func (l *Bodies) end(b *Body, cause error) {
	b.cause = cause
	b.ending = b.held
	l.ending += b.held
	l.count(b, 0)
	if h := b.head; h != nil && !h.ended {
		h.ended = true
		l.held -= h.size
		l.ending += h.size
	}
	b.interrupt()
}

// EndStalled ends the bodies that have made no progress for too long, or have taken too long.
func (l *Bodies) EndStalled(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for b := range l.receiving {
		if b.cause == nil && (b.stall(now) >= maxStall || now.Sub(b.begun) >= maxBodyTime) {
			l.end(b, ErrStalled)
		}
	}
}

// complete records that the body has been received, so that it is not ended any more. It
// returns the cause if it was ended before.
func (b *Body) complete() error {
	b.bodies.mu.Lock()
	defer b.bodies.mu.Unlock()
	delete(b.bodies.receiving, b)
	return b.cause
}

// Release records that the body is not needed any more. It must be called in the end. A nil Body
// is none.
func (b *Body) Release() {
	if b == nil {
		return
	}
	l := b.bodies
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.receiving, b)
	l.count(b, 0)
	l.ending -= b.ending
	b.ending = 0
}
