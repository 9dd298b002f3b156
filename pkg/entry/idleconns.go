package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"almondturn/pkg/intake"
)

// idleConns holds the clients' connections that wait for their next request.
// Its methods may be called concurrently.
type idleConns struct {
	mu sync.Mutex // guards since
	// since is when each connection became idle.
	since map[net.Conn]time.Time
}

// newIdleConns returns an empty idleConns.
func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// listen returns a listener whose connections are not idle any more as soon as a byte
// of the next request has been read. The server reports that only later, when it has
// read the head of the request.
func (ic *idleConns) listen(l net.Listener) net.Listener { return &idleListener{l, ic} }

// track records a change of a connection's state; it is the ConnState function
// of a server.
func (ic *idleConns) track(c net.Conn, s http.ConnState) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	idle, ok := c.(*idleConn)
	hasBegun := ok && idle.readAhead.Load() // the next request
	if ok && s == http.StateIdle {
		idle.bounded().EndRequest(hasBegun)
	}
	if s == http.StateIdle && !hasBegun {
		ic.since[c] = time.Now()
		return
	}
	delete(ic.since, c)
}

// leave records that a request has begun on a connection. It takes back the end of
// reads that closeOlder may have set meanwhile.
func (ic *idleConns) leave(c net.Conn) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if _, ok := ic.since[c]; ok {
		delete(ic.since, c)
		setReadDeadline(c, time.Time{})
	}
}

// setReadDeadline sets the read deadline of a connection whose state doesn't change by it.
func setReadDeadline(c net.Conn, t time.Time) {
	if idle, ok := c.(*idleConn); ok {
		c = idle.Conn
	}
	_ = c.SetReadDeadline(t)
}

// takeArrived is called when a read of c has failed at its deadline. If the deadline is that
// of closeOlder, it reads what had arrived by then, without waiting, and records that a
// request has begun. It returns 0 if there is nothing.
func (ic *idleConns) takeArrived(c *idleConn, b []byte) int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if _, ok := ic.since[c]; !ok || c.raw == nil {
		return 0
	}
	setReadDeadline(c, time.Time{}) // otherwise the read would fail, too
	n := 0
	err := c.raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), b) // an error, such as EAGAIN, means that there is nothing
		return true
	})
	if err != nil || n <= 0 {
		return 0
	}
	delete(ic.since, c)
	c.bounded().Arrived(n)
	return n
}

// closeOlder ends the connections that have been idle for longer than d. It
// only ends the read that waits for the next request, and the server then
// closes the connection, so that a request that arrives at this moment still
// gets its response. A server that is just about to start this read clears the
// deadline; callers therefore repeat the call.
func (ic *idleConns) closeOlder(d time.Duration) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	now := time.Now()
	for c, since := range ic.since {
		if now.Sub(since) > d {
			setReadDeadline(c, now)
		}
	}
}

// empty reports whether no connection is idle.
func (ic *idleConns) empty() bool {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return len(ic.since) == 0
}

// idleListener is the listener that idleConns.listen returns.
type idleListener struct {
	net.Listener
	conns *idleConns
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	idle := &idleConn{Conn: c, conns: l.conns}
	if sc, ok := c.(syscall.Conn); ok {
		idle.raw, _ = sc.SyscallConn()
	}
	return idle, nil
}

// idleConn is a connection that idleListener accepted.
type idleConn struct {
	net.Conn
	conns *idleConns
	// raw gives access to the socket; nil if the connection has none.
	raw syscall.RawConn
	// readAhead is true if the last read was that of a single byte, by which the server looks
	// for the client's disconnection during a request: it belongs to the next one.
	readAhead atomic.Bool
	// readTimedOut is true if a read of the current request, or after it, has ended at a
	// deadline.
	readTimedOut atomic.Bool
}

// bounded returns the connection with the limits of package intake, nil if it has none.
func (c *idleConn) bounded() *intake.Conn {
	if c == nil {
		return nil
	}
	return intake.ConnOf(c.Conn)
}

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

// withClientConn is the ConnContext function of a server with the listener of
// idleConns.listen.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// clientConn returns the client's connection of a request with the context, nil if
// idleConns.listen did not accept it.
func clientConn(ctx context.Context) *idleConn {
	c, _ := ctx.Value(connKey{}).(*idleConn)
	return c
}

// Read implements net.Conn. A request that had arrived when closeOlder ended the read is
// still returned.
func (c *idleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAhead.Store(len(b) == 1)
		c.conns.leave(c)
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if n := c.conns.takeArrived(c, b); n > 0 {
			return n, nil
		}
		c.readTimedOut.Store(true)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets a time when it begins to read the head
// of a request, of which it may hold all bytes already.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.conns.leave(c)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, as the server does before it closes a connection
// with unread bytes, so that the client still receives the response.
func (c *idleConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
