// Package faultproxy is a TCP proxy in front of a server. Tests make it delay,
// stall, close or refuse connections, and hold back what clients send.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections from its own address to a server. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	server   string

	refuse atomic.Bool  // closes new connections
	delay  atomic.Int64 // nanoseconds by which each piece of data is held back
	hold   *requestHold // of what clients send

	mu    sync.Mutex // guards conns
	conns map[*forwardedConn]struct{}
}

// forwardedConn is one forwarded connection.
type forwardedConn struct {
	client, server   net.Conn
	stalled          atomic.Bool   // both ways
	responsesStalled atomic.Bool   // from the server to the client
	responsesHeld    atomic.Int64  // the same, until this time in Unix nanoseconds
	closed           chan struct{} // closed by close
	closeOnce        sync.Once
}

// New starts a proxy on a free loopback port in front of server, a host:port.
func New(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, server: server, hold: newRequestHold(), conns: map[*forwardedConn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the host:port on which the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseConns()
}

// SetRefuse sets whether new connections are closed immediately.
func (p *Proxy) SetRefuse(on bool) { p.refuse.Store(on) }

// StallConns stops forwarding on all open connections, both ways, without
// closing them. New connections are forwarded.
func (p *Proxy) StallConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.stalled.Store(true)
	}
}

// StallResponses stops forwarding from the server to the client on all open
// connections. The server still receives the client's data.
func (p *Proxy) StallResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.responsesStalled.Store(true)
	}
}

// HoldResponses holds back what the server sends to the client on all open connections for
// d, and then forwards it.
func (p *Proxy) HoldResponses(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(d).UnixNano()
	for c := range p.conns {
		c.responsesHeld.Store(until)
	}
}

// CloseListener makes the proxy refuse new connections. Open ones are served.
func (p *Proxy) CloseListener() { _ = p.listener.Close() }

// SetDelay sets the time by which each piece of data is held back, both ways.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// CloseConns closes all open connections.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

// OpenConns returns the number of open connections that StallConns has not
// stalled.
func (p *Proxy) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if !c.stalled.Load() {
			n++
		}
	}
	return n
}

// accept serves new connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.refuse.Load() {
			_ = client.Close()
			continue
		}
		go p.serve(client)
	}
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &forwardedConn{client: client, server: server, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	// The direction to the server has no flag of its own.
	toServer := &heldWriter{Conn: server, client: client, hold: p.hold, closed: c.closed}
	done.Go(func() { c.copy(toServer, client, &c.stalled, &p.delay, new(atomic.Int64)) })
	done.Go(func() { c.copy(client, server, &c.responsesStalled, &p.delay, &c.responsesHeld) })
	done.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyBufferBytes is the size of the buffer of each direction of a forwarded
// connection.
const copyBufferBytes = 16 << 10

// copy forwards from src to dst until one of them is closed, then closes both.
// Once the connection is stalled, or directionStalled is set, it drops
// the data read last, reads no more, and returns only after close, so that the
// other end doesn't notice a close of src.
func (c *forwardedConn) copy(dst io.Writer, src io.Reader, directionStalled *atomic.Bool, delay, heldUntil *atomic.Int64) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buf)
		if c.stalled.Load() || directionStalled.Load() {
			<-c.closed
			return
		}
		if until := heldUntil.Load(); until > 0 {
			time.Sleep(time.Until(time.Unix(0, until)))
		}
		if d := delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if !c.stalled.Load() { // a connection that was stalled during the write stays open until close
		c.closeSockets()
	}
}

// closeSockets closes the sockets to the client and to the server.
func (c *forwardedConn) closeSockets() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// close closes both sockets and ends copies that are stalled. It may be
// called several times.
func (c *forwardedConn) close() {
	c.closeSockets()
	c.closeOnce.Do(func() { close(c.closed) })
}
