package mesh

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/wire"
)

// Causes for which a connection is closed by the mesh.
var (
	errReplaced   = errors.New("replaced by a fresh connection")
	errSelf       = errors.New("connected to itself")
	errRestarted  = errors.New("the node has restarted")
	errNotRunning = errors.New("the mesh is stopped")
)

// neighbour is one other node and its connections: one in the long run, two
// while a silent one is being replaced or both ends have dialled.
type neighbour struct {
	id   fleet.NodeID
	best atomic.Pointer[wire.Conn]
	// changed wakes the goroutine that keeps the neighbour connected.
	changed chan struct{}

	mu    sync.Mutex // guards all below
	conns []*held
	addr  string
	lost  time.Time // of the last connection
}

// held is a connection with the time of its establishment.
type held struct {
	*wire.Conn
	since time.Time
}

func (n *neighbour) offerAddr(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr != "" && (n.addr == "" || len(n.conns) == 0) {
		n.addr = addr
	}
}

func (n *neighbour) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

func (n *neighbour) connections() []*wire.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*wire.Conn, len(n.conns))
	for i, c := range n.conns {
		out[i] = c.Conn
	}
	return out
}

func (n *neighbour) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// neighbour returns the state of a node and begins to keep it connected.
func (m *Mesh) neighbour(node fleet.Node) *neighbour {
	if n := (*m.neighbours.Load())[node.ID]; n != nil {
		return n
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.neighbours.Load()
	if n := old[node.ID]; n != nil {
		return n
	}
	n := &neighbour{id: node.ID, addr: node.Addr, changed: make(chan struct{}, 1), lost: m.clock.Now()}
	next := make(neighbourMap, len(old)+1)
	for id, o := range old {
		next[id] = o
	}
	next[node.ID] = n
	m.neighbours.Store(&next)
	if m.running != nil {
		ctx := m.running
		m.wg.Go(func() { m.keep(ctx, n) })
	}
	return n
}

// forget drops a node that nobody names and that has been gone for long. It
// reports whether the node was dropped.
func (m *Mesh) forget(n *neighbour) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.wanted[n.id] || len(n.conns) > 0 || m.clock.Now().Sub(n.lost) < m.opts.ForgetAfter {
		return false
	}
	next := neighbourMap{}
	for id, o := range *m.neighbours.Load() {
		if id != n.id {
			next[id] = o
		}
	}
	m.neighbours.Store(&next)
	return true
}

// adopt takes an authenticated connection in and serves it until it ends.
func (m *Mesh) adopt(c *wire.Conn) {
	if c.Peer().ID == m.self.ID {
		c.Close(errSelf)
		return
	}
	n := m.neighbour(c.Peer())
	first, ok := m.add(n, c)
	if !ok {
		return
	}
	n.wake()
	if first {
		event.MeshConnected.Log(&m.log).Str("node", string(n.id)).Str("zone", string(c.Peer().Zone)).Send()
		m.observe(c.Peer(), true)
	}
}

// add registers the connection and starts to serve it. Connections to an
// earlier incarnation are closed, and silent ones: the fresh one shows that
// the node can be reached.
func (m *Mesh) add(n *neighbour, c *wire.Conn) (first, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		c.Close(errNotRunning)
		return false, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	first = len(n.conns) == 0
	for _, old := range n.conns {
		switch {
		case old.Peer().Incarnation != c.Peer().Incarnation:
			old.Close(errRestarted)
			first = true
		case m.silent(old.Conn):
			m.replace(n, old.Conn)
		}
	}
	n.conns = append(n.conns, &held{Conn: c, since: m.clock.Now()})
	n.addr = c.Peer().Addr
	m.choose(n)
	m.wg.Go(func() {
		err := c.Run()
		m.remove(n, c, err)
	})
	return first, true
}

func (m *Mesh) remove(n *neighbour, c *wire.Conn, cause error) {
	n.mu.Lock()
	n.conns = slices.DeleteFunc(n.conns, func(h *held) bool { return h.Conn == c })
	last := len(n.conns) == 0
	if last {
		n.lost = m.clock.Now()
	}
	m.choose(n)
	n.mu.Unlock()
	n.wake()
	if last {
		event.MeshDisconnected.Log(&m.log).Str("node", string(n.id)).AnErr("cause", cause).Send()
		m.observe(c.Peer(), false)
	}
}

func (m *Mesh) observe(node fleet.Node, connected bool) {
	for _, o := range m.observers {
		o(node, connected)
	}
}

// choose picks the connection to send on: one that is not silent before one
// that is, then one dialled by the lower identifier, then the newest. The
// caller holds n.mu.
func (m *Mesh) choose(n *neighbour) {
	var best *held
	for _, c := range n.conns {
		if isClosed(c.Conn) {
			continue
		}
		if best == nil || m.compare(c, best) > 0 {
			best = c
		}
	}
	if best == nil {
		n.best.Store(nil)
		return
	}
	n.best.Store(best.Conn)
}

func (m *Mesh) compare(a, b *held) int {
	return cmp.Or(
		-compareBool(m.silent(a.Conn), m.silent(b.Conn)),
		compareBool(m.canonical(a.Conn), m.canonical(b.Conn)),
		a.since.Compare(b.since),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (m *Mesh) silent(c *wire.Conn) bool { return c.SilentFor() > m.opts.ProbeAfter }

// canonical tells whether the end with the lower identifier dialled.
func (m *Mesh) canonical(c *wire.Conn) bool {
	return c.Dialed() == (m.self.ID < c.Peer().ID)
}

func isClosed(c *wire.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

func (m *Mesh) replace(n *neighbour, c *wire.Conn) {
	event.MeshReplaced.Log(&m.log).Str("node", string(n.id)).Send()
	c.Close(errReplaced)
}

// retireDuplicates ends silent connections besides one that is not, and
// those that this end dialled besides a canonical one, once no call uses them.
func (m *Mesh) retireDuplicates(ctx context.Context, n *neighbour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.choose(n)
	best := n.best.Load()
	if best == nil || m.silent(best) {
		return
	}
	for _, c := range n.conns {
		if c.Conn != best && m.silent(c.Conn) {
			m.replace(n, c.Conn)
			continue
		}
		old := m.clock.Now().Sub(c.since) > 2*m.opts.Connection.HeartbeatInterval
		if c.Conn != best && m.canonical(best) && c.Dialed() && old && c.Idle() {
			m.wg.Go(func() { c.Shutdown(ctx) })
		}
	}
}
