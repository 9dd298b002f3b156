package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/wait"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// innerPath is the path at which nodes accept connections of other nodes. The
// word inner refers to the listener and the addresses for other nodes.
const innerPath = "/almondturn/nodes"

// Times of the connections between nodes.
const (
	// linkDialTimeout is half of the timeout for dialing and the handshake
	// together.
	linkDialTimeout = 500 * time.Millisecond
	// linkHeartbeatInterval is the time between two heartbeats on a connection.
	linkHeartbeatInterval = 600 * time.Millisecond
	// linkSilenceTimeout is the time without any message after which a
	// connection is closed.
	linkSilenceTimeout = 1600 * time.Millisecond
	// linkRetryDelay is the delay before the next attempt to connect to an
	// owner, after a failed attempt or the loss of the connection.
	linkRetryDelay = 200 * time.Millisecond
	// ownerReconnectWindow is how long after its connection was lost an owner is
	// expected to reconnect.
	ownerReconnectWindow = time.Second
	// nodeRemovalDelay is how long after its connection was lost a node may
	// reconnect before its runs are removed.
	nodeRemovalDelay = 3 * time.Second
)

// links holds the connections to the owners of the zones, those that other
// nodes opened to this one, and those to seeds. Its methods may be called
// concurrently.
type links struct {
	node   *Node
	client *http.Client

	mu sync.Mutex // guards all below except ctx
	// owners holds the link to the owner of each zone that has, or had, one.
	owners map[fleet.Zone]*ownerLink
	// peers holds, by node, the connections that are not to an owner: those
	// that other nodes opened, and those to seeds.
	peers map[fleet.NodeID]*wire.Conn
	// disconnectedAt is when the connection of a node ended.
	disconnectedAt map[fleet.NodeID]time.Time
	// nodeCounts holds the number of nodes that the owner of each zone last
	// sent.
	nodeCounts map[fleet.Zone]int
	// nodeStates holds the last state of each node in peers.
	nodeStates   map[fleet.NodeID]wire.NodeState
	ownerChanged chan struct{} // closed and replaced when an owner changes
	// ctx ends all links when the node stops.
	ctx context.Context
}

// ownerLink is the connection to the owner of one zone. It is replaced when the
// owner changes.
type ownerLink struct {
	zone  fleet.Zone
	owner zoneowner.OwnerRecord
	// token is the fencing token of the owner; links.mu guards it.
	token uint64
	// conn is nil while there is no connection, and always for this node
	// itself.
	conn atomic.Pointer[wire.Conn]
	// state is the last state of the zone that the owner sent, nil before.
	state atomic.Pointer[wire.ZoneState]
	// stateAt is when state was received.
	stateAt atomic.Pointer[time.Time]
	// downSince is when the connection was lost, or when the link was created.
	downSince atomic.Pointer[time.Time]
	// cancel ends the link.
	cancel context.CancelFunc
}

// newLinks returns links without connections; dial opens new ones. The caller
// must set ctx before use.
func newLinks(n *Node, dial fleet.DialFunc) *links {
	return &links{
		node:           n,
		client:         &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: n.settings.InnerTLS}},
		owners:         map[fleet.Zone]*ownerLink{},
		peers:          map[fleet.NodeID]*wire.Conn{},
		disconnectedAt: map[fleet.NodeID]time.Time{},
		nodeCounts:     map[fleet.Zone]int{},
		nodeStates:     map[fleet.NodeID]wire.NodeState{},
		ownerChanged:   make(chan struct{}),
	}
}

// setOwner records the owner of a zone and starts to connect to it, unless an
// owner with a higher fencing token is known.
func (l *links) setOwner(zone fleet.Zone, r zoneowner.OwnerRecord, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.owners[zone]
	if current != nil {
		if token < current.token {
			return
		}
		if current.owner.SameProcess(r) {
			current.token = token
			return
		}
		current.cancel()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	link := &ownerLink{zone: zone, owner: r, token: token, cancel: cancel}
	link.markDown(time.Now())
	l.owners[zone] = link
	if r.Addr != l.node.self.Addr {
		go l.keepConnected(ctx, link)
	}
	close(l.ownerChanged)
	l.ownerChanged = make(chan struct{})
}

// url returns the WebSocket URL of the node with an inner address.
func (l *links) url(addr string) string {
	if l.node.settings.InnerTLS != nil {
		return "wss://" + addr + innerPath
	}
	return "ws://" + addr + innerPath
}

// keepConnected connects to the owner of a link, and again whenever the
// connection is lost, until the link is replaced.
func (l *links) keepConnected(ctx context.Context, link *ownerLink) {
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, l.url(link.owner.Addr), l.client, l.connConfig(link))
		if err == nil {
			l.serveOwner(ctx, link, c)
		}
		wait.Sleep(ctx, linkRetryDelay)
	}
}

// markDown records that there is no connection.
func (link *ownerLink) markDown(now time.Time) { link.downSince.Store(&now) }

// serveOwner runs an established connection to an owner until it ends. The
// first messages are the runs at targets of the zone, the state of this node, the era
// of the key-value service, the evidence about parts of prompts, the targets of the zone
// that leave, the limits of targets, and the streams that have begun lately.
func (l *links) serveOwner(ctx context.Context, link *ownerLink, c *wire.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close(wire.ErrClosed) })
	defer stop()
	c.Send(l.node.activeRuns(link.zone))
	c.Send(l.node.nodeState())
	l.introduceEra(c)
	if evidence := l.node.guard.all(); evidence != nil {
		c.Send(evidence)
	}
	if leaving := l.node.leavingTargets(link.zone); leaving != nil {
		c.Send(leaving)
	}
	if limits := l.node.targetLimits(); limits != nil {
		c.Send(limits)
	}
	if begun := l.node.streams.Recent(); len(begun) > 0 {
		c.Send(originsMessage(begun))
	}
	link.conn.Store(c)
	event.OwnerConnected.Log(l.node.log).Str("zone", string(link.zone)).Str("owner", string(link.owner.Node)).Send()
	err := c.Run()
	link.markDown(time.Now())
	link.conn.Store(nil)
	event.OwnerLost.Log(l.node.log).Str("zone", string(link.zone)).Str("owner", string(link.owner.Node)).Err(err).Send()
}

// connConfig returns the configuration of a connection; link is the link that
// it belongs to, nil for one that is not to an owner.
func (l *links) connConfig(link *ownerLink) wire.Config {
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, new(wire.Heartbeat))
	if err != nil {
		frame = nil // without heartbeats, the other end closes the connection
	}
	options := wire.DefaultOptions()
	options.HeartbeatInterval, options.SilenceTimeout, options.HandshakeTimeout = linkHeartbeatInterval, linkSilenceTimeout, linkDialTimeout*2
	return wire.Config{
		Options: options, Self: l.node.self, Secret: l.node.settings.Secret,
		Handler: func(ctx context.Context, from fleet.Node, m wire.Message) wire.Message {
			return l.node.handle(ctx, link, from, m)
		},
		LateResponse: func(m wire.Message) { l.releaseLateGrant(link, m) },
		Heartbeat:    func() []byte { return frame },
	}
}

// releaseLateGrant releases the slot that an owner granted when the request had just been
// canceled. link is the link to the owner, nil for other nodes, which grant none.
func (l *links) releaseLateGrant(link *ownerLink, m wire.Message) {
	resp, ok := m.(*wire.SlotResponse)
	if !ok || link == nil || resp.Refusal != wire.SlotGranted || l.node.hasRun(resp.Run) {
		return
	}
	l.runEnded(link.zone, &wire.RunEnded{Run: resp.Run, Outcome: wire.RunNotSent})
}

// handler returns the HTTP handler that accepts connections of other nodes.
func (l *links) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept(w, r, l.connConfig(nil))
		if err != nil {
			event.MeshHandshakeFailed.Log(l.node.log).Str("remote", r.RemoteAddr).Err(err).Send()
			return
		}
		id := c.Peer().ID
		l.mu.Lock()
		l.peers[id] = c
		l.mu.Unlock()
		l.servePeer(id, c)
	})
}

// removeRunsUnlessConnected removes the runs of a node that has not connected
// again.
func (l *links) removeRunsUnlessConnected(id fleet.NodeID) {
	l.mu.Lock()
	_, connected := l.peers[id]
	l.mu.Unlock()
	if !connected {
		l.node.owner.RemoveNode(id)
	}
}

// RequestPeerLease implements zoneowner.Network. It returns errNoConnection if
// the node is not connected or its response has an unexpected type.
func (l *links) RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	l.mu.Lock()
	c := l.peers[to]
	l.mu.Unlock()
	if c == nil {
		return nil, errNoConnection
	}
	resp, err := c.Call(ctx, m)
	if err != nil {
		return nil, err
	}
	lease, ok := resp.(*wire.PeerLeaseResponse)
	if !ok {
		return nil, errNoConnection
	}
	l.node.observeVersion(lease.ConfigurationVersion)
	return lease, nil
}

// Broadcast implements zoneowner.Network.
func (l *links) Broadcast(m wire.Message) {
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, m)
	if err != nil {
		event.MeshEncodeFailed.Log(l.node.log).Err(err).Send()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.peers {
		c.SendEncoded(frame)
	}
}

// Send implements zoneowner.Network.
func (l *links) Send(to fleet.NodeID, m wire.Message) {
	l.mu.Lock()
	c := l.peers[to]
	l.mu.Unlock()
	if c != nil {
		c.Send(m) // the next full state makes up for a dropped message
	}
}

// Connected implements zoneowner.Network.
func (l *links) Connected() []fleet.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]fleet.Node, 0, len(l.peers))
	for _, c := range l.peers {
		out = append(out, c.Peer())
	}
	return out
}

// errNoConnection is returned for a call to a node that is not connected, and
// for a response of an unexpected type: in both cases, the node cannot be used
// for the call.
var errNoConnection = errors.New("the node is not connected, or sent an unexpected response")

// zoneState returns the state that the owner of a zone last sent, nil if the
// owner is not connected.
func (l *links) zoneState(zone fleet.Zone) *wire.ZoneState {
	if zone == l.node.self.Zone {
		if s := l.node.owner.LastZoneState(); s != nil {
			return s
		}
	}
	link, _ := l.ownerLink(zone)
	if link == nil || link.conn.Load() == nil {
		return nil
	}
	return link.state.Load()
}

// servePeer runs a connection that is not to an owner until it ends.
func (l *links) servePeer(id fleet.NodeID, c *wire.Conn) {
	l.introduceEra(c)
	_ = c.Run() // the reason does not matter: the node that needs the connection dials again
	l.mu.Lock()
	current := l.peers[id] == c
	if current {
		delete(l.peers, id)
		delete(l.nodeStates, id)
		l.disconnectedAt[id] = time.Now()
	}
	l.mu.Unlock()
	if current {
		time.AfterFunc(nodeRemovalDelay, func() { l.removeRunsUnlessConnected(id) })
	}
}

// announceStop notifies the owners that this node is stopping and no longer
// acquires a zone.
func (l *links) announceStop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.owners {
		if c := link.conn.Load(); c != nil {
			c.Send(&wire.Heartbeat{Leaving: true})
		}
	}
}
