package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxEndingConns bounds the connections that are ending. An idle one gives up its descriptor
	// only after the new connection has taken one.
	maxEndingConns = 8
	// victimSearchPause is the time after a search that found no connection to end until the
	// next one: each search visits all connections.
	victimSearchPause = 50 * time.Millisecond
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
	// noVictimAt is when a search among all connections last found none to end.
	noVictimAt time.Time
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
	if !ok {
		l.report(reason, address)
		return nil
	}
	if victim != nil {
		l.report(reason, victim.address)
		victim.evict()
	}
	return conn
}

// add counts a connection unless a bound forbids that; ok is then false. reason is the bound
// that was reached, victim the connection that has to be evicted to keep it.
func (l *Conns) add(c *Conn) (victim *Conn, reason Reason, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.limits.ConnsPerAddress > 0 && l.byAddress[c.address] >= l.limits.ConnsPerAddress:
		reason = AddressConnections
		victim = l.chooseVictim(c.address, l.now())
	case l.limits.Conns > 0 && len(l.conns) >= l.limits.Conns:
		reason = Connections
		victim = l.chooseVictimOfAll(l.now())
	}
	if reason != "" && victim == nil {
		return nil, reason, false
	}
	l.conns[c] = struct{}{}
	l.byAddress[c.address]++
	return victim, reason, true
}

// chooseVictimOfAll is chooseVictim among all connections. It returns nil within victimSearchPause
// after a search that found none. mu must be held.
func (l *Conns) chooseVictimOfAll(now time.Time) *Conn {
	if now.Sub(l.noVictimAt) < victimSearchPause {
		return nil
	}
	victim := l.chooseVictim("", now)
	if victim == nil {
		l.noVictimAt = now
	}
	return victim
}

// chooseVictim returns the connection of an address, empty for all, that has been stalled the
// longest in the middle of a head or body, or else has been idle the longest, and marks it
// as ending; nil if there is none. mu must be held.
func (l *Conns) chooseVictim(address string, now time.Time) *Conn {
	var stalled, idle *Conn
	stalledFor, idleFor, ending := minEvictStall, minEvictStall, 0
	for c := range l.conns {
		c.mu.Lock()
		unchanged := now.Sub(c.since)
		if c.ending && now.Sub(c.endingSince) >= minEvictStall {
			c.ending = false // it went on, or has to be chosen again
		}
		switch {
		case c.ending:
			ending++
		case address != "" && c.address != address:
		case c.phase == waiting && unchanged >= idleFor:
			idle, idleFor = c, unchanged
		case (c.phase == inHead || c.phase == serving && c.bodyIncomplete) && unchanged >= stalledFor:
			stalled, stalledFor = c, unchanged
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
	victim.ending, victim.endingSince = true, now
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
