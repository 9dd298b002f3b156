package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/target"
	"almondturn/wire"
)

var testKey = fleet.ReplicaKey{Service: "helper", Model: "m1"}

// fakeDirectory is a Directory that tests write to.
type fakeDirectory struct {
	mu     sync.Mutex
	loaded map[fleet.ReplicaKey][]Candidate
	all    map[fleet.TargetID]Candidate
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{loaded: map[fleet.ReplicaKey][]Candidate{}, all: map[fleet.TargetID]Candidate{}}
}

func candidate(id fleet.TargetID, zone fleet.Zone, maxRunning int) Candidate {
	return Candidate{
		Target: fleet.Target{ID: id, Zone: zone, Addr: string(id), Kind: fleet.TargetEngine},
		State:  &fleet.TargetState{Target: id, MaxRunning: maxRunning},
		Report: 1,
	}
}

// add makes the target known, and loaded with the keys.
func (f *fakeDirectory) add(c Candidate, keys ...fleet.ReplicaKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[c.Target.ID] = c
	for _, k := range keys {
		f.loaded[k] = append(append([]Candidate(nil), f.loaded[k]...), c)
	}
}

func (f *fakeDirectory) Loaded(k fleet.ReplicaKey) []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded[k]
}

func (f *fakeDirectory) Plain(s fleet.Service) []Candidate {
	return f.Loaded(fleet.ReplicaKey{Service: s})
}

func (f *fakeDirectory) Target(id fleet.TargetID) (Candidate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.all[id]
	return c, ok
}

// fakeLoader runs load for each Load call.
type fakeLoader struct {
	calls atomic.Int32
	load  func(ctx context.Context, k fleet.ReplicaKey) (fleet.TargetID, error)
}

func (f *fakeLoader) Load(ctx context.Context, k fleet.ReplicaKey, _ bool) (fleet.TargetID, error) {
	f.calls.Add(1)
	if f.load == nil {
		return "", fault.New(fault.NoCapacity, "no slot")
	}
	return f.load(ctx, k)
}

// mesh connects the nodes of a test.
type mesh struct {
	mu    sync.Mutex
	nodes map[fleet.NodeID]*testNode
	// silent nodes take messages and answer nothing; dead ones refuse.
	silent, dead map[fleet.NodeID]bool
}

type testNode struct {
	*Dispatcher
	self   fleet.Node
	mesh   *mesh
	router *peer.Router
	loader *fakeLoader
}

func (n *testNode) Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error) {
	n.mesh.mu.Lock()
	other, silent, dead := n.mesh.nodes[to], n.mesh.silent[to], n.mesh.dead[to]
	n.mesh.mu.Unlock()
	if dead || other == nil {
		return nil, fault.New(fault.TargetUnreachable, "node %s is down", to)
	}
	if silent {
		<-ctx.Done()
		return nil, fault.New(fault.OutcomeUnknown, "no answer: %w", ctx.Err())
	}
	answer, err := other.router.Dispatch(ctx, n.self, m)
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if n.mesh.dead[to] {
		return nil, fault.New(fault.OutcomeUnknown, "node %s went down", to)
	}
	return answer, err
}

func (n *testNode) Send(to fleet.NodeID, m wire.Message) {
	n.mesh.mu.Lock()
	other, off := n.mesh.nodes[to], n.mesh.silent[to] || n.mesh.dead[to]
	n.mesh.mu.Unlock()
	if other != nil && !off {
		_, _ = other.router.Dispatch(context.Background(), n.self, m)
	}
}

func (n *testNode) Broadcast(zone fleet.Zone, m wire.Message) {
	for _, other := range n.View().Live {
		if other.ID != n.self.ID && other.Zone == zone {
			n.Send(other.ID, m)
		}
	}
}

// View implements the ViewFunc of a node.
func (n *testNode) View() *peer.View {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	v := &peer.View{Self: n.self, Member: true, PlatformUp: true}
	for id, other := range n.mesh.nodes {
		if !n.mesh.dead[id] {
			v.Live = append(v.Live, other.self)
		}
	}
	return v
}

// fakeSender runs send for each exchange and counts them per target.
type fakeSender struct {
	send func(ctx context.Context, t fleet.Target, x *target.Exchange, to target.Receiver) error
	sent atomic.Int32
}

func (f *fakeSender) Do(ctx context.Context, t fleet.Target, x *target.Exchange, to target.Receiver) error {
	f.sent.Add(1)
	return f.send(ctx, t, x, to)
}

func answerOK(_ context.Context, t fleet.Target, x *target.Exchange, to target.Receiver) error {
	to.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
	return to.Write([]byte(x.RequestID + " by " + string(t.ID)))
}

type testSink struct {
	status int
	header http.Header
	body   []byte
}

func (s *testSink) Start(status int, h http.Header) { s.status, s.header = status, h }

func (s *testSink) Write(p []byte) error {
	s.body = append(s.body, p...)
	return nil
}

func newMesh() *mesh {
	return &mesh{nodes: map[fleet.NodeID]*testNode{}, silent: map[fleet.NodeID]bool{}, dead: map[fleet.NodeID]bool{}}
}

// start adds a node to the mesh.
func (m *mesh) start(t testing.TB, id fleet.NodeID, zone fleet.Zone, opts Options, dir Directory, s Sender, claims Claims) *testNode {
	n := &testNode{self: fleet.Node{ID: id, Zone: zone, Incarnation: "i-" + string(id)}, mesh: m, router: peer.NewRouter(), loader: &fakeLoader{}}
	n.Dispatcher = New(opts, Deps{
		Clock: platform.SystemClock{}, Logger: zerolog.Nop(), Directory: dir, Loader: n.loader,
		Network: n, View: n.View, Sender: s, Claims: claims,
	})
	n.Register(n.router)
	m.mu.Lock()
	m.nodes[id] = n
	m.mu.Unlock()
	t.Cleanup(n.Stop)
	return n
}

// homeOf returns the node that is the home of testKey, and one that is not.
func (m *mesh) homeOf(t testing.TB, zone fleet.Zone) (home, other *testNode) {
	for _, n := range m.nodes {
		id, ok := n.View().Home(zone, testKey)
		require.True(t, ok)
		home = m.nodes[id]
		break
	}
	for _, n := range m.nodes {
		if n != home && n.self.Zone == zone {
			return home, n
		}
	}
	return home, nil
}

var requestCount atomic.Int64

func modelRequest(timeout time.Duration) *Request {
	return &Request{
		ID:         fmt.Sprintf("r%d", requestCount.Add(1)),
		Identity:   catalog.Identity{Team: "derwent", Service: testKey.Service},
		Service:    testKey.Service,
		Replica:    catalog.Replica{Key: testKey, MaxReplicas: 2},
		Method:     http.MethodPost,
		Path:       "/v1/chat/completions",
		Idempotent: true,
		Deadline:   time.Now().Add(timeout),
	}
}

func testOptions() Options {
	o := DefaultOptions()
	o.AcquireSlice = 40 * time.Millisecond
	o.AcquireGrace = 40 * time.Millisecond
	o.PumpInterval = time.Millisecond
	o.PlacePause = 4 * time.Millisecond
	o.NodeDeadAfter = 100 * time.Millisecond
	o.RetryDelay = time.Millisecond
	o.RetryMaxDelay = 2 * time.Millisecond
	return o
}

func requireKind(t testing.TB, want fault.Kind, err error) {
	require.Error(t, err)
	require.Equal(t, want, fault.KindOf(err), "%v", err)
}
