// Package mesh connects every node with every other node: one authenticated
// WebSocket connection per pair, dialled again when it ends and replaced by a
// fresh one when it falls silent.
package mesh

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// maxHandshakes bounds the connections that authenticate at the same time.
const maxHandshakes = 256

// Mesh implements peer.Network.
type Mesh struct {
	opts   Options
	self   fleet.Node
	router *peer.Router
	clock  platform.Clock
	log    zerolog.Logger
	stats  wire.Stats
	client *http.Client
	scheme string

	heartbeat  atomic.Pointer[heartbeatSource]
	observers  []Observer // not changed after Start
	handshakes chan struct{}

	neighbours atomic.Pointer[neighbourMap] // copied on write under mu
	mu         sync.Mutex                   // guards changes of neighbours and the fields below
	wanted     map[fleet.NodeID]bool
	running    context.Context // nil before Start and after Stop
	stop       context.CancelFunc
	wg         sync.WaitGroup
}

type neighbourMap map[fleet.NodeID]*neighbour

// Observer is told of nodes that became connected or lost their last
// connection.
type Observer func(node fleet.Node, connected bool)

// New returns a mesh that hands incoming messages to router.
func New(opts Options, self fleet.Node, router *peer.Router, clock platform.Clock, log zerolog.Logger) (*Mesh, error) {
	tlsConfig, err := opts.TLS.Config()
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		opts: opts, self: self, router: router, clock: clock, log: log,
		client:     &http.Client{Transport: &http.Transport{TLSClientConfig: tlsConfig, DialContext: opts.Dial.Or(&net.Dialer{})}},
		scheme:     "ws",
		handshakes: make(chan struct{}, maxHandshakes),
		wanted:     map[fleet.NodeID]bool{},
	}
	if tlsConfig != nil {
		m.scheme = "wss"
	}
	m.neighbours.Store(&neighbourMap{})
	return m, nil
}

// SetHeartbeat sets the source of the heartbeats; call it before Start. A nil
// heartbeat is not sent.
func (m *Mesh) SetHeartbeat(source func() *wire.Heartbeat) {
	m.heartbeat.Store(&heartbeatSource{next: source, maxAge: m.opts.Connection.HeartbeatInterval / 2, clock: m.clock})
}

// AddObserver adds one that is told of connections; call it before Start.
func (m *Mesh) AddObserver(o Observer) { m.observers = append(m.observers, o) }

// Start begins to dial. Stop ends it.
func (m *Mesh) Start(context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	m.running, m.stop = ctx, stop
	for _, addr := range m.opts.Peers {
		m.wg.Go(func() { m.keepSeed(ctx, addr) })
	}
	for _, n := range *m.neighbours.Load() {
		m.wg.Go(func() { m.keep(ctx, n) })
	}
	m.wg.Go(func() { m.reportStats(ctx) })
	return nil
}

func (m *Mesh) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running != nil
}

// Stop writes what is queued, closes all connections and waits until the
// goroutines have ended.
func (m *Mesh) Stop(ctx context.Context) error {
	m.mu.Lock()
	if m.stop != nil {
		m.stop()
	}
	m.running = nil
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range *m.neighbours.Load() {
		for _, c := range n.connections() {
			wg.Go(func() { c.Shutdown(ctx) })
		}
	}
	wg.Wait()
	m.wg.Wait()
	m.client.CloseIdleConnections()
	return nil
}

// SetPeers replaces the nodes that are to be connected besides those that
// connect by themselves.
func (m *Mesh) SetPeers(nodes []fleet.Node) {
	wanted := make(map[fleet.NodeID]bool, len(nodes))
	for _, n := range nodes {
		wanted[n.ID] = true
	}
	m.mu.Lock()
	m.wanted = wanted
	m.mu.Unlock()
	for _, n := range nodes {
		if n.ID != m.self.ID {
			m.neighbour(n).offerAddr(n.Addr)
		}
	}
}

// Connected returns the nodes that have a connection.
func (m *Mesh) Connected() []fleet.Node {
	var out []fleet.Node
	for _, n := range *m.neighbours.Load() {
		if c := n.best.Load(); c != nil {
			out = append(out, c.Peer())
		}
	}
	return out
}

// Call implements peer.Network.
func (m *Mesh) Call(ctx context.Context, to fleet.NodeID, msg wire.Message) (wire.Message, error) {
	if to == m.self.ID {
		return m.router.Dispatch(ctx, m.self, msg)
	}
	c := m.connection(to)
	if c == nil {
		return nil, fault.New(fault.TargetUnreachable, "node %q is not connected", to)
	}
	answer, err := c.Call(ctx, msg)
	if err != nil {
		return nil, asFault(to, err)
	}
	return answer, nil
}

// Send implements peer.Network.
func (m *Mesh) Send(to fleet.NodeID, msg wire.Message) {
	if to == m.self.ID {
		_, _ = m.router.Dispatch(context.Background(), m.self, msg)
		return
	}
	if c := m.connection(to); c != nil {
		c.Send(msg)
	}
}

// Broadcast implements peer.Network. The message is encoded once.
func (m *Mesh) Broadcast(zone fleet.Zone, msg wire.Message) {
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, msg)
	if err != nil {
		event.MeshEncodeFailed.Log(&m.log).Err(err).Send()
		return
	}
	for _, n := range *m.neighbours.Load() {
		c := n.best.Load()
		if c != nil && (zone == "" || c.Peer().Zone == zone) {
			c.SendEncoded(frame)
		}
	}
}

func (m *Mesh) connection(to fleet.NodeID) *wire.Conn {
	n := (*m.neighbours.Load())[to]
	if n == nil {
		return nil
	}
	return n.best.Load()
}

// Handler accepts the connections of other nodes on the inner listener.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !m.isRunning() {
			http.Error(w, errNotRunning.Error(), http.StatusServiceUnavailable)
			return
		}
		select {
		case m.handshakes <- struct{}{}:
		default:
			http.Error(w, "too many handshakes", http.StatusServiceUnavailable)
			return
		}
		c, err := wire.Accept(w, r, m.config())
		<-m.handshakes
		if err != nil {
			event.MeshHandshakeFailed.Log(&m.log).Str("remote", r.RemoteAddr).Err(err).Send()
			return
		}
		m.adopt(c)
	})
}

func (m *Mesh) config() wire.Config {
	return wire.Config{
		Options:   m.opts.Connection,
		Self:      m.self,
		Secret:    []byte(m.opts.Secret),
		Handler:   m.handle,
		Heartbeat: m.heartbeatFrame,
		Stats:     &m.stats,
	}
}

// handle runs the router's handler and turns its error into a message.
func (m *Mesh) handle(ctx context.Context, from fleet.Node, msg wire.Message) wire.Message {
	answer, err := m.router.Dispatch(ctx, from, msg)
	if err != nil {
		return asMessage(err)
	}
	return answer
}

func (m *Mesh) heartbeatFrame() []byte {
	source := m.heartbeat.Load()
	if source == nil {
		return emptyHeartbeat
	}
	return source.frame()
}

// heartbeatSource encodes one heartbeat for all connections of an interval.
type heartbeatSource struct {
	next   func() *wire.Heartbeat
	maxAge time.Duration
	clock  platform.Clock

	mu      sync.Mutex // guards the cached frame
	cached  []byte
	encoded time.Time
}

var emptyHeartbeat = mustEncode(new(wire.Heartbeat))

func mustEncode(m wire.Message) []byte {
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, m)
	if err != nil {
		panic(fmt.Sprintf("encode message type %d: %v", m.Type(), err))
	}
	return frame
}

func (h *heartbeatSource) frame() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.cached != nil && now.Sub(h.encoded) < h.maxAge {
		return h.cached
	}
	hb := h.next()
	if hb == nil {
		return nil
	}
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, hb)
	if err != nil {
		return emptyHeartbeat
	}
	h.cached, h.encoded = frame, now
	return frame
}
