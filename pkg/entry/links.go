package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/wait"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// innerPath is where nodes connect to each other.
const innerPath = "/almondturn/nodes"

// Times of the connections between nodes.
const (
	linkDialTimeout       = 500 * time.Millisecond
	linkHeartbeatInterval = 600 * time.Millisecond
	linkSilenceTimeout    = 1600 * time.Millisecond
	linkRetryDelay        = 200 * time.Millisecond
	// settleTime is how long an owner without a connection is expected back.
	ownerReconnectTime = time.Second
	nodeRemovalDelay   = 3 * time.Second
)

// links are the connections to the owners of the zones, and those that other
// nodes opened to this one.
type links struct {
	node   *Node
	client *http.Client

	mu       sync.Mutex // guards zones, accepted, left, counts and states
	owners   map[fleet.Zone]*ownerLink
	accepted map[fleet.NodeID]*wire.Conn
	// left is when a node's connection ended.
	disconnectedAt map[fleet.NodeID]time.Time
	// counts are the numbers of nodes that the owners of the zones last told.
	nodeCounts   map[fleet.Zone]int
	nodeStates   map[fleet.NodeID]wire.NodeState
	ownerChanged chan struct{} // closed and replaced when an owner changes
	ctx          context.Context
}

// link is the connection to the owner of one zone.
type ownerLink struct {
	zone  fleet.Zone
	owner zoneowner.OwnerRecord
	token uint64
	conn  atomic.Pointer[wire.Conn]
	state atomic.Pointer[wire.ZoneState]
	// down is since when there is no connection.
	downSince atomic.Pointer[time.Time]
	cancel    context.CancelFunc
}

func newLinks(n *Node, dial fleet.DialFunc) *links {
	return &links{
		node:           n,
		client:         &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: n.settings.InnerTLS}},
		owners:         map[fleet.Zone]*ownerLink{},
		accepted:       map[fleet.NodeID]*wire.Conn{},
		disconnectedAt: map[fleet.NodeID]time.Time{},
		nodeCounts:     map[fleet.Zone]int{},
		nodeStates:     map[fleet.NodeID]wire.NodeState{},
		ownerChanged:   make(chan struct{}),
	}
}

// setOwner connects to the owner of a zone unless a later one is known.
func (l *links) setOwner(zone fleet.Zone, r zoneowner.OwnerRecord, token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.owners[zone]
	if old != nil {
		if token < old.token {
			return
		}
		if old.owner == r {
			old.token = token
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	k := &ownerLink{zone: zone, owner: r, token: token, cancel: cancel}
	k.markDown(time.Now())
	l.owners[zone] = k
	if r.Addr != l.node.self.Addr {
		go l.maintain(ctx, k)
	}
	close(l.ownerChanged)
	l.ownerChanged = make(chan struct{})
}

// url returns where a node with an inner address takes connections.
func (l *links) url(addr string) string {
	if l.node.settings.InnerTLS != nil {
		return "wss://" + addr + innerPath
	}
	return "ws://" + addr + innerPath
}

// keep dials the owner until the link is replaced.
func (l *links) maintain(ctx context.Context, k *ownerLink) {
	for ctx.Err() == nil {
		c, err := wire.Dial(ctx, l.url(k.owner.Addr), l.client, l.connConfig(k))
		if err == nil {
			l.serveOwner(ctx, k, c)
		}
		wait.Sleep(ctx, linkRetryDelay)
	}
}

// broken notes that there is no connection.
func (k *ownerLink) markDown(now time.Time) { k.downSince.Store(&now) }

// settling tells whether one of the zones, whose owners have just not answered,
// is worth another question: its owner is connected by now, or about to be,
// because it is new or its connection has just ended. Owners that stay away are
// not waited for.
func (l *links) mayReachOwner(now time.Time, zones []fleet.Zone) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(zones, func(zone fleet.Zone) bool {
		k := l.owners[zone]
		if k == nil || k.owner.Addr == "" {
			return false
		}
		return k.conn.Load() != nil || now.Sub(*k.downSince.Load()) < ownerReconnectTime
	})
}

// serve runs an established connection to an owner.
func (l *links) serveOwner(ctx context.Context, k *ownerLink, c *wire.Conn) {
	stop := context.AfterFunc(ctx, func() { c.Close(wire.ErrClosed) })
	defer stop()
	c.Send(l.node.activeRuns(k.zone))
	c.Send(l.node.nodeState())
	k.conn.Store(c)
	event.OwnerConnected.Log(l.node.log).Str("zone", string(k.zone)).Str("owner", string(k.owner.Node)).Send()
	err := c.Run()
	k.markDown(time.Now())
	k.conn.Store(nil)
	event.OwnerLost.Log(l.node.log).Str("zone", string(k.zone)).Str("owner", string(k.owner.Node)).Err(err).Send()
}

func (l *links) connConfig(k *ownerLink) wire.Config {
	frame, err := wire.Encode(wire.KindOneWay, 0, 0, new(wire.Heartbeat))
	if err != nil {
		frame = nil // without heartbeats, the connection counts as silent
	}
	o := wire.DefaultOptions()
	o.HeartbeatInterval, o.SilenceTimeout, o.HandshakeTimeout = linkHeartbeatInterval, linkSilenceTimeout, linkDialTimeout*2
	return wire.Config{
		Options: o, Self: l.node.self, Secret: l.node.settings.Secret,
		Handler: func(ctx context.Context, from fleet.Node, m wire.Message) wire.Message {
			return l.node.handle(ctx, k, from, m)
		},
		Heartbeat: func() []byte { return frame },
	}
}

// handler accepts the connections of other nodes.
func (l *links) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept(w, r, l.connConfig(nil))
		if err != nil {
			event.MeshHandshakeFailed.Log(l.node.log).Str("remote", r.RemoteAddr).Err(err).Send()
			return
		}
		id := c.Peer().ID
		l.mu.Lock()
		l.accepted[id] = c
		l.mu.Unlock()
		l.serveAccepted(id, c)
	})
}

// forget drops the runs of a node that has not connected again.
func (l *links) removeUnlessBack(id fleet.NodeID) {
	l.mu.Lock()
	_, back := l.accepted[id]
	l.mu.Unlock()
	if !back {
		l.node.owner.RemoveNode(id, false)
	}
}

// RequestPeerLease implements zoneowner.Network.
func (l *links) RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	l.mu.Lock()
	c := l.accepted[to]
	l.mu.Unlock()
	if c == nil {
		return nil, errNoConnection
	}
	answer, err := c.Call(ctx, m)
	if err != nil {
		return nil, err
	}
	pong, ok := answer.(*wire.PeerLeaseResponse)
	if !ok {
		return nil, errNoConnection
	}
	l.node.observeVersion(pong.ConfigurationVersion)
	return pong, nil
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
	for _, c := range l.accepted {
		c.SendEncoded(frame)
	}
}

// Send implements zoneowner.Network.
func (l *links) Send(to fleet.NodeID, m wire.Message) {
	l.mu.Lock()
	c := l.accepted[to]
	l.mu.Unlock()
	if c != nil {
		c.Send(m) // a message that is dropped is made good by the next whole state
	}
}

// Connected implements zoneowner.Network.
func (l *links) Connected() []fleet.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]fleet.Node, 0, len(l.accepted))
	for _, c := range l.accepted {
		out = append(out, c.Peer())
	}
	return out
}

// errNoConnection tells that a node is not connected.
var errNoConnection = errors.New("the node is not connected")

// link returns the link to a zone's owner, nil when none is known, and a
// channel that is closed when an owner changes.
func (l *links) ownerLink(zone fleet.Zone) (*ownerLink, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owners[zone], l.ownerChanged
}

// place asks the owner of a zone for a place.
func (l *links) requestSlot(ctx context.Context, zone fleet.Zone, m *wire.SlotRequest) (*wire.SlotResponse, error) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.owner.AcquireSlot(ctx, l.node.self.ID, m), nil
	}
	k, _ := l.ownerLink(zone)
	if k == nil {
		return nil, errNoConnection
	}
	c := k.conn.Load()
	if c == nil {
		return nil, errNoConnection
	}
	answer, err := c.Call(ctx, m)
	if err != nil {
		return nil, err
	}
	placed, ok := answer.(*wire.SlotResponse)
	if !ok {
		return nil, errNoConnection
	}
	return placed, nil
}

// began tells the owner that granted a run that its answer has begun.
func (l *links) runStarted(zone fleet.Zone, m *wire.RunStarted) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		l.node.owner.RunStarted(m)
		return
	}
	if k, _ := l.ownerLink(zone); k != nil {
		if c := k.conn.Load(); c != nil {
			c.Send(m)
		}
	}
}

// ended gives a run back to the owner that granted it.
func (l *links) runEnded(zone fleet.Zone, m *wire.RunEnded) {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		l.node.owner.RunEnded(m)
		return
	}
	if k, _ := l.ownerLink(zone); k != nil {
		if c := k.conn.Load(); c != nil {
			c.Send(m)
		}
	}
}

// state returns what the owner of a zone last told, nil when it is not connected.
func (l *links) zoneState(zone fleet.Zone) *wire.ZoneState {
	if zone == l.node.self.Zone {
		if s := l.node.owner.State(); s != nil {
			return s
		}
	}
	k, _ := l.ownerLink(zone)
	if k == nil || k.conn.Load() == nil {
		return nil
	}
	return k.state.Load()
}

// run serves a connection that is not one to an owner until it ends.
func (l *links) serveAccepted(id fleet.NodeID, c *wire.Conn) {
	_ = c.Run() // the reason does not matter: the other end dials again
	l.mu.Lock()
	current := l.accepted[id] == c
	if current {
		delete(l.accepted, id)
		delete(l.nodeStates, id)
		l.disconnectedAt[id] = time.Now()
	}
	l.mu.Unlock()
	if current {
		time.AfterFunc(nodeRemovalDelay, func() { l.removeUnlessBack(id) })
	}
}

// leave tells the owners that this node takes nothing over any more.
func (l *links) announceLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.owners {
		if c := k.conn.Load(); c != nil {
			c.Send(&wire.Heartbeat{Leaving: true})
		}
	}
}
