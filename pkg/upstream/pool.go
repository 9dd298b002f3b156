// Package upstream sends HTTP/1.1 requests to targets and to the key-value service
// over pooled connections. Unlike http.Transport it never retries a request on its
// own, and its errors report whether the receiver may have received the request. In
// this package, target means either receiver.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/buffers"
)

// Limits of pooled connections.
const (
	// defaultIdleTimeout is how long a connection may stay idle and still be
	// reused if the target sends no usable timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the timeout of a Keep-Alive header.
	maxIdleTimeout = time.Hour
	// idleTimeoutMargin is subtracted from the idle timeout in a Keep-Alive
	// header, so that a request isn't in flight when the target closes the
	// connection.
	idleTimeoutMargin = 600 * time.Millisecond
	// maxIdlePerTarget is the number of idle connections pooled for one target.
	maxIdlePerTarget = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Pool holds idle connections to targets by address. Its methods may be called
// concurrently.
type Pool struct {
	// dialFunc opens new connections.
	dialFunc fleet.DialFunc
	// Dialed counts the attempts to open a connection.
	Dialed atomic.Uint64
	// PassedOver counts the kept connections that were not used for a request because they
	// had carried one with the same identifier.
	PassedOver atomic.Uint64
	// Buffered bounds what callers hold of unfinished responses; it has no bound at first.
	Buffered buffers.Limit

	mu sync.Mutex // guards idle
	// idle holds the idle connections of each address, the one used last at
	// the end.
	idle map[string][]*conn
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	// head limits the size of a response's head; reader reads through it.
	head *headLimiter
	// reader buffers what is read from the connection.
	reader *bufio.Reader
	// rawConn gives access to the socket; nil if the connection has none.
	rawConn syscall.RawConn
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle and still be reused.
	idleTimeout time.Duration
	// reused reports whether the connection came from the pool.
	reused bool
	// carried are the identifiers of the requests that were sent on it.
	carried carriedIDs
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial fleet.DialFunc) *Pool {
	return &Pool{dialFunc: dial, idle: map[string][]*conn{}}
}

// get returns a pooled connection that is still open, has been idle for less than
// maxIdle and its own idle timeout, and has not carried a request whose identifier has the
// hash, or a new one.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration, hash uint64) (*conn, error) {
	for {
		c := p.popIdle(addr, maxIdle, hash)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.alive() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// popIdle removes the most recently used connection to addr that has not carried the
// hash from the pool and returns it. It returns nil if there is none, or if that one has been
// idle for maxIdle or its own idle timeout.
func (p *Pool) popIdle(addr string, maxIdle time.Duration, hash uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		idle := time.Since(c.idleSince)
		if idle >= min(c.idleTimeout, maxIdle) {
			return nil // the others have been idle for longer; a longer idleTimeout of theirs is disregarded
		}
		if c.carried.contains(hash) {
			p.PassedOver.Add(1)
			continue
		}
		p.idle[addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// lingerer is a connection, such as a net.TCPConn, of which it can be chosen what becomes
// of unsent data at its close.
type lingerer interface{ SetLinger(sec int) error }

// dial opens a new connection to addr. When it is closed, or the process ends, it is reset:
// after an ordinary close the kernel would go on sending a request that was given up, which
// could then arrive after later ones.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.Dialed.Add(1)
	c, err := p.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if l, ok := c.(lingerer); ok {
		_ = l.SetLinger(0) // an error means a closed connection, which the exchange detects
	}
	head := &headLimiter{in: c}
	opened := &conn{Conn: c, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), idleTimeout: defaultIdleTimeout}
	if sc, ok := c.(syscall.Conn); ok {
		opened.rawConn, _ = sc.SyscallConn() // without it, alive assumes that the connection is open
	}
	return opened, nil
}

// alive reports whether an idle connection is still open and has received no
// unsolicited bytes. It reads from the socket without blocking: EAGAIN means
// open and empty.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	open := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr := syscall.Read(int(fd), b[:])
		open = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// put returns a connection to the pool, or closes it if maxIdlePerTarget
// connections to addr are idle already.
func (p *Pool) put(addr string, c *conn) {
	_ = c.SetDeadline(time.Time{}) // an error means a closed connection, which alive detects
	c.idleSince = time.Now()
	p.store(addr, c)
}

// putUnused is put for a connection to which nothing was written since get: its idle time
// goes on.
func (p *Pool) putUnused(addr string, c *conn) {
	if !c.reused {
		c.idleSince = time.Now()
	}
	p.store(addr, c)
}

// store adds an idle connection to those of addr, as the one used last.
func (p *Pool) store(addr string, c *conn) {
	p.mu.Lock()
	list := p.idle[addr]
	if len(list) >= maxIdlePerTarget {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[addr] = append(list, c)
	p.mu.Unlock()
}

// CloseExpired closes the connections whose idle timeout has passed. It is to
// be called periodically.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
				continue
			}
			remaining = append(remaining, c)
		}
		p.idle[addr] = remaining
		if len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// CloseIdle closes all idle connections to an address, whose target was removed
// or has stalled.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// parseIdleTimeout returns how long a connection may stay idle after a response
// with the given Keep-Alive header and still be reused. Without a valid timeout
// in the header it returns defaultIdleTimeout.
func parseIdleTimeout(keepAlive string) time.Duration {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return defaultIdleTimeout
		}
		timeout := time.Duration(min(seconds, int(maxIdleTimeout/time.Second))) * time.Second
		// For a short timeout the margin would leave little or nothing.
		return max(timeout-idleTimeoutMargin, timeout/4)
	}
	return defaultIdleTimeout
}
