package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Bounds of one head.
const (
	// headMarginBytes is added to the limit of a head: the HTTP server reads 4 KB ahead, and
	// the limit does not count all separators.
	headMarginBytes = 8 << 10
	// headMarginTime is added to the time of a head, which a busy node begins to read late.
	headMarginTime = time.Second
	// minTLSHeadTime is the least time of a head on a connection with TLS, whose first bytes
	// are those of the handshake.
	minTLSHeadTime = 10 * time.Second
	// uncountedHeadBytes is the size up to which a head is not counted; it is that of the
	// read buffer of each connection.
	uncountedHeadBytes = 4 << 10
	// lingerTime and lingerBytes bound the wait for the rest of a head that is refused, so
	// that the client gets to read the response.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 64 << 10
)

// headTooLarge is the response to a head over the limit. The HTTP server has a limit of its
// own, which can't follow the configuration.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nheader_too_large: the head of the request is too large\n"

var (
	// ErrEvicted is the error of reads of a connection that was closed to make room.
	ErrEvicted = errors.New("the connection was closed to make room for another")
	// errHead is the error of reads of a head beyond a limit.
	errHead = errors.New("the head of the request is beyond a limit")
)

// phase is what a connection is doing.
type phase uint8

const (
	// waiting: no byte of the next head has arrived.
	waiting phase = iota
	// inHead: a part of a head has arrived, or of the empty lines before it.
	inHead
	// serving: the head is complete, and the response is not.
	serving
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	conns   *Conns
	address string
	withTLS bool

	mu    sync.Mutex // guards all below
	phase phase
	// since is when bytes last arrived, or when the phase waiting began.
	since time.Time
	// headEnds is when the head must be complete; zero for no bound.
	headEnds time.Time
	// readAhead is true if a byte of the head arrived before the last response was complete,
	// until the HTTP server sets the next deadline.
	readAhead bool
	// headBytes is what has arrived of the head, counted the part of it that is in Conns.heads.
	headBytes, counted int64
	// bodyIncomplete is true while the body of a request is being received.
	bodyIncomplete bool
	// ending is true if the connection was chosen to make room, at endingSince; evicted if it was
	// closed for that.
	ending, evicted bool
	endingSince     time.Time
	// closed is true once Close was called.
	closed bool
}

// Read implements net.Conn. It bounds the head of a request.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	now := c.conns.now()
	if n > 0 {
		if reason := c.arrived(n, now); reason != "" {
			c.conns.report(reason, c.address)
			c.refuseHead(reason)
			return 0, errHead
		}
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted:
		return n, ErrEvicted
	case c.phase == inHead && errors.Is(err, os.ErrDeadlineExceeded) && !c.headEnds.IsZero() && !now.Before(c.headEnds):
		c.conns.report(HeadTime, c.address)
	}
	return n, err
}

// Arrived records n bytes that were read without Read.
func (c *Conn) Arrived(n int) {
	if c != nil {
		_ = c.arrived(n, c.conns.now()) // the few bytes are within any limit
	}
}

// arrived records n bytes and returns the limit that they exceed, empty for none.
func (c *Conn) arrived(n int, now time.Time) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = now
	if c.phase == serving {
		return ""
	}
	limits := c.conns.headLimits()
	c.beginHead(now, limits)
	c.headBytes += int64(n)
	if limits.Bytes > 0 && c.headBytes > int64(limits.Bytes+headMarginBytes) {
		return HeadBytes
	}
	if added := c.headBytes - uncountedHeadBytes - c.counted; added > 0 {
		c.counted += added
		if held := c.conns.heads.Add(added); c.conns.limits.HeadBytes > 0 && held > c.conns.limits.HeadBytes {
			return HeadMemory
		}
	}
	return ""
}

// beginHead records that a head has begun, if it has not before. mu must be held.
func (c *Conn) beginHead(now time.Time, limits HeadLimits) {
	if c.phase == inHead {
		return
	}
	c.phase, c.ending, c.headEnds = inHead, false, time.Time{}
	if limits.Time <= 0 {
		return
	}
	limit := limits.Time + headMarginTime
	if c.withTLS {
		limit = max(limit, minTLSHeadTime)
	}
	c.headEnds = now.Add(limit)
	_ = c.Conn.SetReadDeadline(c.headEnds) // fails only if the connection is closed
}

// refuseHead responds to a head that is too large, unless the connection has TLS, over which
// the HTTP server responds to the error of the read.
func (c *Conn) refuseHead(reason Reason) {
	if c.withTLS || reason != HeadBytes {
		return
	}
	_ = c.Conn.SetDeadline(c.conns.now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, headTooLarge) // fails only if the client has disconnected, as does the rest
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// SetReadDeadline implements net.Conn. While a head arrives, its end is a bound. The HTTP server
// takes the deadline back at the end of each head, and once before it reads the next.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inHead && !c.headEnds.IsZero() && (t.IsZero() && c.readAhead || t.After(c.headEnds)) {
		t = c.headEnds
	}
	c.readAhead = false
	return c.Conn.SetReadDeadline(t)
}

// BeginRequest records that the head of a request is complete.
func (c *Conn) BeginRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncountHead()
	if c.phase == inHead && !c.headEnds.IsZero() {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
	c.phase, c.ending = serving, false
}

// SetBodyIncomplete records whether the body of the request is being received.
func (c *Conn) SetBodyIncomplete(incomplete bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyIncomplete, c.since, c.ending = incomplete, c.conns.now(), false
}

// EndRequest records that the response is complete. hasBegun is true if a byte of the next
// request has arrived.
func (c *Conn) EndRequest(hasBegun bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.bodyIncomplete, c.headBytes, c.since = waiting, false, 0, c.conns.now()
	if c.readAhead = hasBegun; hasBegun {
		c.beginHead(c.since, c.conns.headLimits())
	}
}

// uncountHead ends the count of a head. mu must be held.
func (c *Conn) uncountHead() {
	c.conns.heads.Add(-c.counted)
	c.headBytes, c.counted = 0, 0
}

// evict ends a connection that chooseVictim has returned: an idle one by the deadline of its read,
// so that a request that arrives at this moment is still served, any other at once.
func (c *Conn) evict() {
	c.mu.Lock()
	if !c.ending { // its request has gone on since it was chosen
		c.mu.Unlock()
		return
	}
	if c.phase == waiting {
		_ = c.Conn.SetReadDeadline(c.conns.now()) // fails only if the connection is closed
		c.mu.Unlock()
		return
	}
	c.evicted = true
	c.mu.Unlock()
	_ = c.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	isFirst := !c.closed
	c.closed = true
	c.uncountHead()
	c.mu.Unlock()
	err := c.Conn.Close()
	if isFirst {
		c.conns.remove(c)
	}
	return err
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
