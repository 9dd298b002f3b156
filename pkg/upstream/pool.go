// Package upstream sends HTTP/1.1 requests to targets over connections that
// it keeps. Unlike http.Transport it never repeats a request by itself, and
// it tells whether a failed one can have reached the target.
package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondturn/fleet"
)

// Limits of kept connections.
const (
	// defaultIdleTimeout is how long an idle connection is used when the target
	// states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a stated idle timeout, so that a request
	// does not cross the target's close.
	idleTimeoutMargin = 600 * time.Millisecond
	// maxIdlePerTarget is the number of idle connections kept to one target.
	maxIdlePerTarget = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Pool keeps idle connections to targets. Its methods may be called
// concurrently.
type Pool struct {
	dialFunc fleet.DialFunc
	// Dialed counts the connections that were opened.
	Dialed atomic.Uint64

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	rawConn       syscall.RawConn
	idleSince time.Time
	idleTimeout   time.Duration
	reused    bool
}

// NewPool returns an empty pool whose connections are opened by dial.
func NewPool(dial fleet.DialFunc) *Pool {
	return &Pool{dialFunc: dial, idle: map[string][]*conn{}}
}

// get returns a kept connection that is idle for less than maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(addr, maxIdle)
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

// popIdle removes the connection that was used last from the pool.
func (p *Pool) popIdle(addr string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := time.Since(c.idleSince)
	if idle >= min(c.idleTimeout, maxIdle) {
		return nil // all others are idle for longer
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.Dialed.Add(1)
	c, err := p.dialFunc(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleTimeout: defaultIdleTimeout}
	if sc, ok := c.(syscall.Conn); ok {
		out.rawConn, _ = sc.SyscallConn() // without it, alive assumes the best
	}
	return out, nil
}

// alive tells whether an idle connection is still dialFunc and holds no bytes
// that nobody asked for.
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
		n, rerr := syscall.Read(int(fd), b[:])
		open = n < 0 && (rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// put keeps a connection for the next request.
func (p *Pool) put(addr string, c *conn) {
	_ = c.SetDeadline(time.Time{}) // a closed connection is found by alive
	c.idleSince = time.Now()
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

// CloseExpired closes connections that are idle for longer than their target keeps them.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleTimeout {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to a target that is gone.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// parseIdleTimeout returns how long a connection may be used after an answer with
// the given Keep-Alive header.
func parseIdleTimeout(keepAlive string) time.Duration {
	for _, field := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || s < 0 {
			return defaultIdleTimeout
		}
		d := time.Duration(s) * time.Second
		return max(d-idleTimeoutMargin, d/4)
	}
	return defaultIdleTimeout
}
