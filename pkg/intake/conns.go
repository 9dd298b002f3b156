package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

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
	// maxEndingConns is how many idle connections may be ending, which give up their
	// descriptors a little later than new ones take theirs.
	maxEndingConns = 8
	// fruitlessPause is how long no connection is looked for that can be ended after there
	// was none.
	fruitlessPause = 50 * time.Millisecond
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

// HeadLimits bound the head of one request; 0 for no bound.
type HeadLimits struct {
	Bytes int
	Time  time.Duration
}

// Conns bounds the connections of clients, and the heads that are received on them. Its
// methods may be called concurrently.
type Conns struct {
	limits Limits
	// headLimits returns the limits in force.
	headLimits func() HeadLimits
	// report is called for each client that is refused, or whose connection is closed.
	report func(reason Reason, address string)
	now    func() time.Time
	// heads is what incomplete heads hold together, beyond uncountedHeadBytes each.
	heads atomic.Int64

	mu        sync.Mutex // guards all below; it is locked before that of a Conn
	conns     map[*Conn]struct{}
	byAddress map[string]int
	// fruitless is when no connection was found last that could be ended.
	fruitless time.Time
}

// NewConns returns Conns without a connection.
func NewConns(limits Limits, headLimits func() HeadLimits, report func(Reason, string), now func() time.Time) *Conns {
	return &Conns{limits: limits, headLimits: headLimits, report: report, now: now, conns: map[*Conn]struct{}{}, byAddress: map[string]int{}}
}

// Count returns the number of open connections.
func (l *Conns) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Listen returns a listener whose connections are bounded. withTLS is true if the
// connections carry TLS.
func (l *Conns) Listen(inner net.Listener, withTLS bool) net.Listener {
	return &listener{inner, l, withTLS}
}

// listener is the listener that Conns.Listen returns.
type listener struct {
	net.Listener
	conns   *Conns
	withTLS bool
}

// Accept implements net.Listener. Connections beyond the bounds are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.conns.admit(c, l.withTLS); conn != nil {
			return conn, nil
		}
		_ = c.Close()
	}
}

// admit returns the connection, or nil if it must be closed. At a bound it ends another one.
func (l *Conns) admit(c net.Conn, withTLS bool) *Conn {
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	conn := &Conn{Conn: c, conns: l, address: address, withTLS: withTLS, since: l.now()}
	victim, reason, ok := l.add(conn)
	if reason != "" {
		l.report(reason, address)
	}
	if victim != nil {
		victim.evict()
	}
	if !ok {
		return nil
	}
	return conn
}

// add counts a connection unless a bound forbids that; ok is then false. reason is the bound
// that was reached, victim the connection that has to be evicted to keep it.
func (l *Conns) add(c *Conn) (victim *Conn, reason Reason, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sameAddress := l.limits.ConnsPerAddress > 0 && l.byAddress[c.address] >= l.limits.ConnsPerAddress
	switch {
	case sameAddress:
		reason = AddressConnections
	case l.limits.Conns > 0 && len(l.conns) >= l.limits.Conns:
		reason = Connections
	}
	if reason != "" {
		now := l.now()
		if !sameAddress && now.Sub(l.fruitless) < fruitlessPause {
			return nil, reason, false
		}
		address := ""
		if sameAddress {
			address = c.address
		}
		if victim = l.chooseVictim(address, now); victim == nil {
			if !sameAddress {
				l.fruitless = now
			}
			return nil, reason, false
		}
	}
	l.conns[c] = struct{}{}
	l.byAddress[c.address]++
	return victim, reason, true
}

// chooseVictim returns the connection of an address, empty for all, that has stood still the
// longest in the middle of a head or body, or else has been idle the longest, and marks it
// as ending; nil if there is none. mu must be held.
func (l *Conns) chooseVictim(address string, now time.Time) *Conn {
	var stalled, idle *Conn
	stalledFor, idleFor, ending := minEvictStall, minEvictStall, 0
	for c := range l.conns {
		c.mu.Lock()
		still := now.Sub(c.since)
		switch {
		case c.ending:
			ending++
		case address != "" && c.address != address:
		case c.phase == waiting && still >= idleFor:
			idle, idleFor = c, still
		case (c.phase == inHead || c.phase == serving && c.bodyIncomplete) && still >= stalledFor:
			stalled, stalledFor = c, still
		}
		c.mu.Unlock()
	}
	victim := stalled
	if victim == nil {
		victim = idle
	}
	if victim == nil || ending >= maxEndingConns {
		return nil
	}
	victim.mu.Lock()
	victim.ending = true
	victim.mu.Unlock()
	return victim
}

// remove forgets a closed connection.
func (l *Conns) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.byAddress[c.address]--; l.byAddress[c.address] <= 0 {
		delete(l.byAddress, c.address)
	}
}

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
	// headBytes is what has arrived of the head, counted the part of it that is in Conns.heads.
	headBytes, counted int64
	// bodyIncomplete is true while the body of a request is being received.
	bodyIncomplete bool
	// ending is true if the connection was chosen to make room, evicted if it was closed for
	// that, closed once Close was called.
	ending, evicted, closed bool
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

// SetReadDeadline implements net.Conn. While a head arrives, its end is a bound.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inHead && !c.headEnds.IsZero() && (t.IsZero() || t.After(c.headEnds)) {
		t = c.headEnds
	}
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
	c.bodyIncomplete, c.since = incomplete, c.conns.now()
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
	if hasBegun {
		c.beginHead(c.since, c.conns.headLimits())
	}
}

// uncountHead ends the count of a head. mu must be held.
func (c *Conn) uncountHead() {
	c.conns.heads.Add(-c.counted)
	c.headBytes, c.counted = 0, 0
}

// evict makes a connection end that was chosen for that: an idle one at its next read, so
// that a request that arrives at this moment is still served, any other at once.
func (c *Conn) evict() {
	c.mu.Lock()
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
