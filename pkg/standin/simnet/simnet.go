// Package simnet simulates the network between the parts of a local cluster, in
// which pairs of hosts can be partitioned. The connections are TCP connections on
// loopback.
package simnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"almondturn/fleet"
)

// Network determines which hosts reach each other. A host is a named group of
// addresses, such as an availability zone or the platform. A Network is safe for
// concurrent use.
type Network struct {
	mu          sync.Mutex        // guards all below
	hosts       map[string]string // address to host
	partitioned map[hostPair]bool // both orders of each pair
	conns       map[*conn]struct{}
}

// hostPair holds the hosts of the two ends of a connection.
type hostPair struct{ from, to string }

// New returns a Network without partitions.
func New() *Network {
	return &Network{hosts: map[string]string{}, partitioned: map[hostPair]bool{}, conns: map[*conn]struct{}{}}
}

// Register assigns an address to a host. An address that isn't registered is
// always reachable.
func (n *Network) Register(addr, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = host
}

// Partition blocks the traffic between two hosts, both ways. Connections that are
// open between them stay stalled, also after Heal. New ones fail when their dial
// context ends.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[hostPair{a, b}] = true
	n.partitioned[hostPair{b, a}] = true
	for c := range n.conns {
		if n.partitioned[c.ends] {
			c.stalled.Store(true)
		}
	}
}

// Heal removes all partitions, so that new connections work again.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// errUnreachable is the cause of a failed dial between partitioned hosts.
var errUnreachable = errors.New("host unreachable")

// Dialer returns the dial function of a process on the given host. A dial to a
// partitioned host blocks until its context ends, then returns an error.
func (n *Network) Dialer(host string) fleet.DialFunc {
	var d net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if n.isPartitioned(host, addr) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errUnreachable}
		}
		inner, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return n.track(inner, host, addr), nil
	}
}

// isPartitioned reports whether host can't reach the host of addr.
func (n *Network) isPartitioned(host, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[hostPair{host, n.hosts[addr]}]
}

// track wraps a connection from host to addr, so that Partition can stall it. The
// connection is stalled from the start if Partition was called during the dial.
func (n *Network) track(inner net.Conn, host, addr string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &conn{Conn: inner, network: n, ends: hostPair{host, n.hosts[addr]}}
	c.stalled.Store(n.partitioned[c.ends])
	n.conns[c] = struct{}{}
	return c
}

// conn is one connection between hosts. While it is stalled, no data passes in
// either direction.
type conn struct {
	net.Conn
	network *Network
	ends    hostPair
	stalled atomic.Bool
}

// Read implements net.Conn. While the connection is stalled, it discards what
// arrives; deadlines still apply.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.stalled.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. While the connection is stalled, it drops the data
// and reports success, as a send buffer would.
func (c *conn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The Network no longer tracks the connection then.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
