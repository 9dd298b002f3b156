// Package simnet is the network between the processes of a trial: pairs of
// hosts can be cut off from each other.
package simnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"almondturn/fleet"
)

// Network decides which hosts reach each other. Hosts are named groups of
// addresses, such as an availability zone or the platform.
type Network struct {
	mu    sync.Mutex // guards all below
	hosts map[string]string
	cut   map[pair]bool
	conns map[*conn]struct{}
}

type pair struct{ a, b string }

// New returns a fabric without cuts.
func New() *Network {
	return &Network{hosts: map[string]string{}, cut: map[pair]bool{}, conns: map[*conn]struct{}{}}
}

// Register tells which host an address belongs to.
func (f *Network) Register(addr, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[addr] = host
}

// Partition cuts two hosts off from each other, both ways. Open connections
// between them are silent from now on, also after Heal; new ones time out.
func (f *Network) Partition(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[pair{a, b}] = true
	f.cut[pair{b, a}] = true
	for c := range f.conns {
		if f.cut[c.ends] {
			c.silent.Store(true)
		}
	}
}

// Heal lets all hosts reach each other again.
func (f *Network) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}

var errCut = errors.New("host unreachable")

// Dialer returns the dial function of a process on the given host.
func (f *Network) Dialer(host string) fleet.DialFunc {
	var d net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if f.isCut(host, addr) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
		}
		inner, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return f.track(inner, host, addr), nil
	}
}

func (f *Network) isCut(host, addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[pair{host, f.hosts[addr]}]
}

func (f *Network) track(inner net.Conn, host, addr string) net.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &conn{Conn: inner, fabric: f, ends: pair{host, f.hosts[addr]}}
	c.silent.Store(f.cut[c.ends])
	f.conns[c] = struct{}{}
	return c
}

// conn is one connection; while silent nothing passes in either direction.
type conn struct {
	net.Conn
	fabric *Network
	ends   pair
	silent atomic.Bool
}

// Read implements net.Conn. Deadlines hold while silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
	return c.Conn.Close()
}
