// Package buffers bounds the memory that unfinished responses hold on a node, all of them
// together: the starts of events that are not complete yet, and bodies that are read
// completely before they are used. Each response has a limit of its own besides.
package buffers

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// uncountedBytes is the size up to which the buffer of a response is not counted, so that
// ordinary responses change no shared state. It is of the order of the buffers of a
// connection, which every response has.
const uncountedBytes = 16 << 10

// ErrHeldMost means that the unfinished responses of a node held too many bytes, and that
// this one held the most of an event, or was the one that grew while many were being ended.
var ErrHeldMost = errors.New("the unfinished responses hold too much memory, and this one holds the most")

// ErrFull means that the bodies that are being read hold as many bytes as they may.
var ErrFull = errors.New("the bodies that are being read hold too much memory")

// Limit bounds the bytes that its Holders hold together. The zero value has no bound. Its
// methods may be called concurrently.
type Limit struct {
	mu sync.Mutex // guards all below
	// max bounds held, maxBodies the part of it that bodies may hold; 0 for no bound.
	max, maxBodies int
	held           int
	// bodies is the part of held that Holders of bodies hold.
	bodies int
	// ending is what Holders hold that were ended and not released yet; it is no part of
	// held.
	ending int
	// events are the Holders that were set by HoldEvent and hold counted bytes.
	events map[*Holder]struct{}
}

// SetMax sets the bounds: max for all bytes, maxBodies for those of bodies among them.
func (l *Limit) SetMax(max, maxBodies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max, l.maxBodies = max, maxBodies
}

// Held returns the number of bytes that are counted now.
func (l *Limit) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Holder counts the bytes that one response holds. Its methods must not be called
// concurrently, and Release must be called in the end. A nil Holder counts nothing.
type Holder struct {
	limit *Limit
	// end ends the response. It must not call methods of the Limit or of Holders.
	end func()
	// counted is the number of bytes that were last counted.
	counted int
	// held is counted, or 0 if the response was ended; limit.mu guards it.
	held int
	// ending is what the response held when it was ended; limit.mu guards it.
	ending int
	// isBody is true if the bytes are those of a body; limit.mu guards it.
	isBody bool
	ended  atomic.Bool
}

// NewHolder returns a Holder of no bytes. end may be called by another goroutine, to end
// the response if it holds the most; nil if the Holder is for a body only.
func (l *Limit) NewHolder(end func()) *Holder { return &Holder{limit: l, end: end} }

// HoldEvent sets the number of bytes that the response holds of an unfinished event. If all
// responses hold too many, those with the most of an event are ended. It returns
// ErrHeldMost if this one is, or was before. What is being ended may hold half as much
// besides until it is released; beyond that, the response that grows is ended instead.
func (h *Holder) HoldEvent(n int) error {
	n = countedBytes(n)
	if h == nil || n == h.counted && !h.ended.Load() {
		return nil
	}
	l := h.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.ended.Load() {
		return ErrHeldMost
	}
	h.counted = n
	l.set(h, n, false)
	for l.max > 0 && l.held > l.max && len(l.events) > 0 {
		most := l.most()
		if l.ending > 0 && l.ending+most.held > l.max/2 {
			most = h
		}
		l.endEvent(most)
		if most == h {
			return ErrHeldMost
		}
		most.end()
	}
	return nil
}

// endEvent moves the bytes of h to those that are being ended. l.mu must be held.
func (l *Limit) endEvent(h *Holder) {
	h.ending = h.held
	l.ending += h.held
	l.set(h, 0, false)
	h.ended.Store(true)
}

// HoldBody sets the number of bytes that the response holds of a body. It returns ErrFull,
// and counts as before, if bodies would hold too many: a response with a body ends no other.
func (h *Holder) HoldBody(n int) error {
	n = countedBytes(n)
	if h == nil || n == h.counted {
		return nil
	}
	l := h.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	added := n - h.held
	if added > 0 && (l.max > 0 && l.held+added > l.max || l.maxBodies > 0 && l.bodies+added > l.maxBodies) {
		return ErrFull
	}
	h.counted = n
	l.set(h, n, true)
	return nil
}

// Release sets the number of bytes to 0.
func (h *Holder) Release() {
	if h == nil || h.counted == 0 {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.limit.set(h, 0, h.isBody)
	h.limit.ending -= h.ending
	h.counted, h.ending = 0, 0
}

// countedBytes returns the part of n bytes that is counted.
func countedBytes(n int) int {
	if n <= uncountedBytes {
		return 0
	}
	return n
}

// set counts n bytes for h. l.mu must be held.
func (l *Limit) set(h *Holder, n int, isBody bool) {
	l.held += n - h.held
	if isBody {
		l.bodies += n - h.held
	}
	h.held, h.isBody = n, isBody
	switch {
	case isBody:
	case n == 0:
		delete(l.events, h)
	default:
		if l.events == nil {
			l.events = map[*Holder]struct{}{}
		}
		l.events[h] = struct{}{}
	}
}

// most returns the Holder of an event with the most bytes. l.mu must be held, and there
// must be one.
func (l *Limit) most() *Holder {
	var most *Holder
	for h := range l.events {
		if most == nil || h.held > most.held {
			most = h
		}
	}
	return most
}

// firstReadBytes is the size of the first buffer of ReadAll, which doubles when it is full.
const firstReadBytes = 512

// ReadAll reads a body to its end, at most max bytes of it, and counts them for h. It
// returns what it has read with the error of r, nil at the end, or with ErrFull if it must
// hold no more; r then has the rest, as after max bytes.
func (h *Holder) ReadAll(r io.Reader, max int) ([]byte, error) {
	body := make([]byte, 0, min(firstReadBytes, max))
	for len(body) < max {
		if len(body) == cap(body) {
			size := min(2*cap(body), max)
			if err := h.HoldBody(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}
