package mesh

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/relay"
	"almondturn/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventually bounds the waits of these tests; none depends on its length.
const eventually = 20 * time.Second

type testNode struct {
	*Mesh
	self   fleet.Node
	router *peer.Router
	up     sync.Map
}

func startNode(t *testing.T, id, zone string, change func(*Options)) *testNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	opts := DefaultOptions()
	opts.Secret = "0123456789abcdef"
	opts.Connection.HeartbeatInterval = 50 * time.Millisecond
	opts.Connection.SilenceTimeout = time.Minute
	opts.ProbeAfter = 30 * time.Second
	if change != nil {
		change(&opts)
	}
	n := &testNode{
		self:   fleet.Node{ID: fleet.NodeID(id), Zone: fleet.Zone(zone), Incarnation: l.Addr().String(), Addr: l.Addr().String()},
		router: peer.NewRouter(),
	}
	n.Mesh, err = New(opts, n.self, n.router, platform.SystemClock{}, zerolog.Nop())
	require.NoError(t, err)
	n.AddObserver(func(node fleet.Node, up bool) { n.up.Store(node.ID, up) })
	mux := http.NewServeMux()
	mux.Handle(Path, n.Handler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	require.NoError(t, n.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventually)
		defer cancel()
		_ = n.Stop(ctx)
		_ = srv.Close()
		<-served
	})
	return n
}

func (n *testNode) waitConnected(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(n.Connected()) == count }, eventually, time.Millisecond)
}

func TestNodesFindEachOtherAndCall(t *testing.T) {
	a := startNode(t, "a", "z1", nil)
	b := startNode(t, "b", "z1", nil)
	b.router.Handle(wire.TypeAcquire, func(_ context.Context, from fleet.Node, _ wire.Message) (wire.Message, error) {
		return nil, fault.New(fault.NoCapacity, "asked by %s", from.ID)
	})
	b.router.Handle(wire.TypeHeartbeat, func(context.Context, fleet.Node, wire.Message) (wire.Message, error) { return nil, nil })
	_, err := a.Call(t.Context(), "b", &wire.Acquire{})
	assert.Equal(t, fault.TargetUnreachable, fault.KindOf(err))

	b.SetPeers([]fleet.Node{a.self, b.self})
	a.waitConnected(t, 1)
	b.waitConnected(t, 1)
	_, err = a.Call(t.Context(), "b", &wire.Acquire{})
	assert.Equal(t, fault.NoCapacity, fault.KindOf(err))
	assert.ErrorContains(t, err, "asked by a")
	_, err = a.Call(t.Context(), "b", &wire.Settle{})
	assert.Equal(t, fault.TargetUnreachable, fault.KindOf(err), "no handler: certainly not handled")
	_, err = a.Call(t.Context(), "b", &wire.Heartbeat{})
	assert.NoError(t, err)
}

func TestSeedAddressAndBroadcastByZone(t *testing.T) {
	a := startNode(t, "a", "z1", nil)
	b := startNode(t, "b", "z1", func(o *Options) { o.Peers = []string{a.self.Addr} })
	c := startNode(t, "c", "z2", func(o *Options) { o.Peers = []string{a.self.Addr} })
	a.waitConnected(t, 2)
	got := make(chan fleet.NodeID, 4)
	for _, n := range []*testNode{b, c} {
		n.router.Handle(wire.TypeLeaving, func(context.Context, fleet.Node, wire.Message) (wire.Message, error) {
			got <- n.self.ID
			return nil, nil
		})
	}
	a.Broadcast("z2", &wire.Leaving{Target: "t"})
	assert.Equal(t, fleet.NodeID("c"), <-got)
	a.Broadcast("", &wire.Leaving{Target: "t"})
	assert.ElementsMatch(t, []fleet.NodeID{"b", "c"}, []fleet.NodeID{<-got, <-got})
}

func TestBothDialAndOneConnectionIsKept(t *testing.T) {
	a := startNode(t, "a", "z1", nil)
	b := startNode(t, "b", "z1", func(o *Options) { o.PassiveDelay = 1 })
	a.SetPeers([]fleet.Node{b.self})
	b.SetPeers([]fleet.Node{a.self})
	a.waitConnected(t, 1)
	b.waitConnected(t, 1)
	require.Eventually(t, func() bool {
		return len((*a.neighbours.Load())["b"].connections()) == 1 && len((*b.neighbours.Load())["a"].connections()) == 1
	}, eventually, time.Millisecond)
}

func TestStoppedNodeIsSeenAtOnceAndRestartIsFollowed(t *testing.T) {
	a := startNode(t, "a", "z1", nil)
	b := startNode(t, "b", "z1", nil)
	a.SetPeers([]fleet.Node{b.self})
	a.waitConnected(t, 1)
	require.NoError(t, b.Stop(t.Context()))
	a.waitConnected(t, 0)
	require.Eventually(t, func() bool { up, _ := a.up.Load(fleet.NodeID("b")); return up == false }, eventually, time.Millisecond)
	again := startNode(t, "b", "z1", nil)
	a.SetPeers([]fleet.Node{again.self})
	a.waitConnected(t, 1)
	assert.Equal(t, again.self.Addr, a.Connected()[0].Addr)
}

// TestSilentConnectionIsReplaced puts a relay between two nodes that loses
// track of the open connection; new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	quick := func(o *Options) {
		o.ProbeAfter = 200 * time.Millisecond
		o.Connection.SilenceTimeout = time.Minute // the probe, not the timeout, must act
	}
	b := startNode(t, "b", "z1", quick)
	r, err := relay.New(b.self.Addr)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	a := startNode(t, "a", "z1", quick)
	for _, n := range []*testNode{a, b} {
		n.router.Handle(wire.TypeHeartbeat, func(context.Context, fleet.Node, wire.Message) (wire.Message, error) { return nil, nil })
	}
	a.SetPeers([]fleet.Node{{ID: "b", Zone: "z1", Addr: r.Addr()}})
	a.waitConnected(t, 1)
	before := a.connection("b")
	r.Silence()
	// After the connection, a knows b's own address; the fresh one goes there.
	require.Eventually(t, func() bool { c := a.connection("b"); return c != nil && c != before }, eventually, time.Millisecond)
	_, err = a.Call(t.Context(), "b", &wire.Heartbeat{})
	require.NoError(t, err)
	<-before.Done()
	up, _ := a.up.Load(fleet.NodeID("b"))
	assert.Equal(t, true, up, "the node was never seen as gone")
}

// TestCallOnSilencedConnectionIsUnknown: a call that was written before the
// connection fell silent has an unknown outcome, never "not sent".
func TestCallOnSilencedConnectionIsUnknown(t *testing.T) {
	quick := func(o *Options) { o.ProbeAfter = 200 * time.Millisecond }
	b := startNode(t, "b", "z1", quick)
	reached := make(chan struct{})
	b.router.Handle(wire.TypeAcquire, func(ctx context.Context, _ fleet.Node, _ wire.Message) (wire.Message, error) {
		close(reached)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	r, err := relay.New(b.self.Addr)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	a := startNode(t, "a", "z1", quick)
	a.SetPeers([]fleet.Node{{ID: "b", Zone: "z1", Addr: r.Addr()}})
	a.waitConnected(t, 1)
	go func() { <-reached; r.Silence() }()
	_, err = a.Call(t.Context(), "b", &wire.Acquire{})
	assert.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
}

// TestAcceptorRetiresItsSilentConnection: only the other end notices the
// silence and dials. The call on the old connection must not wait for the
// silence timeout, a minute here.
func TestAcceptorRetiresItsSilentConnection(t *testing.T) {
	b := startNode(t, "b", "z1", func(o *Options) { o.ProbeAfter = 200 * time.Millisecond })
	started := make(chan struct{}, 1)
	b.router.Handle(wire.TypeAcquire, func(ctx context.Context, _ fleet.Node, _ wire.Message) (wire.Message, error) {
		started <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	r, err := relay.New(b.self.Addr)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	a := startNode(t, "a", "z1", func(o *Options) {
		o.ProbeAfter = 200 * time.Millisecond
		o.Connection.HeartbeatInterval = time.Hour // sends none, and does not look at its neighbours
		o.Connection.SilenceTimeout = 2 * time.Hour
	})
	a.SetPeers([]fleet.Node{{ID: "b", Zone: "z1", Addr: r.Addr()}})
	a.waitConnected(t, 1)
	go func() { <-started; r.Silence() }()
	_, err = a.Call(t.Context(), "b", &wire.Acquire{})
	assert.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
}
