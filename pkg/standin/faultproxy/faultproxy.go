// Package faultproxy is a TCP relay between a client and a server whose
// connections tests can delay, silence, cut or refuse.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections from its own address to a server.
type Proxy struct {
	listener net.Listener
	server   string

	refuse atomic.Bool
	delay  atomic.Int64 // nanoseconds before each read is forwarded

	mu    sync.Mutex // guards conns
	conns map[*link]struct{}
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         atomic.Bool // both ways
	deaf           atomic.Bool // from the server to the client
	resume         chan struct{}
	closing        sync.Once
}

// New starts a relay on a loopback port in front of server (host:port).
func New(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{listener: l, server: server, conns: map[*link]struct{}{}}
	go r.accept()
	return r, nil
}

// Addr returns the relay's host:port.
func (r *Proxy) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Proxy) Close() {
	_ = r.listener.Close()
	r.CloseConns()
}

// SetRefuse closes new connections at once while on.
func (r *Proxy) SetRefuse(on bool) { r.refuse.Store(on) }

// StallConns stops forwarding on all open connections, both ways, without
// closing them. New connections work.
func (r *Proxy) StallConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.silent.Store(true)
	}
}

// StallResponses stops forwarding from the server to the client on all open
// connections; the server goes on to hear the client.
func (r *Proxy) StallResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.deaf.Store(true)
	}
}

// SetDelay holds each piece of data back for a time, both ways.
func (r *Proxy) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// CloseConns closes all open connections.
func (r *Proxy) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.conns {
		l.close()
	}
}

// OpenConns returns the number of open connections that are not silent.
func (r *Proxy) OpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for l := range r.conns {
		if !l.silent.Load() {
			n++
		}
	}
	return n
}

func (r *Proxy) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			_ = c.Close()
			continue
		}
		go r.serve(c)
	}
}

func (r *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server, resume: make(chan struct{})}
	r.mu.Lock()
	r.conns[l] = struct{}{}
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { l.copy(server, client, &l.silent, &r.delay) })
	done.Go(func() { l.copy(client, server, &l.deaf, &r.delay) })
	done.Wait()
	l.close()
	r.mu.Lock()
	delete(r.conns, l)
	r.mu.Unlock()
}

// copyBufferBytes is the size of one read of a relayed connection.
const copyBufferBytes = 16 << 10

// copy forwards until an end closes. While silent, or stopped in this
// direction, it reads and forwards nothing, and does not pass a close on.
func (l *link) copy(dst io.Writer, src io.Reader, stopped *atomic.Bool, delay *atomic.Int64) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buf)
		if l.silent.Load() || stopped.Load() {
			<-l.resume
			return
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
	if !l.silent.Load() {
		l.closeConns()
	}
}

func (l *link) closeConns() {
	_ = l.client.Close()
	_ = l.server.Close()
}

func (l *link) close() {
	l.closeConns()
	l.closing.Do(func() { close(l.resume) })
}
