package owner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// within bounds waits for something that happens in milliseconds.
const within = 20 * time.Second

// site is a zone of nodes with real engines over HTTP.
type site struct {
	t       *testing.T
	store   *kv.Store
	engines map[fleet.TargetID]*engine.Engine
	targets []fleet.Target
	nodes   []*siteNode
	catalog *catalog.Store
	epoch   atomic.Uint64
	up      atomic.Bool
	loads   atomic.Int64

	mu      sync.Mutex // guards all below
	members []fleet.Node
	updates map[fleet.TargetID]wire.TargetUpdate
}

type siteNode struct {
	site   *site
	node   fleet.Node
	router *peer.Router
	svc    *Service
	loader *LoadClient
}

// Record implements engine.Recorder.
func (s *site) Record(r engine.Record) {
	if r.Kind == engine.RecordLoad {
		s.loads.Add(1)
	}
}

// Targets implements Directory.
func (s *site) Targets() ([]fleet.Target, bool) { return s.targets, true }

// Candidates implements Directory.
func (s *site) Candidates(fleet.Zone) []placement.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []placement.Candidate
	for _, u := range s.updates {
		out = append(out, placement.Candidate{Target: u.Target, State: u.State, Unreachable: u.Unreachable, Slots: u.Slots, Draining: u.Draining, Owner: u.Owner})
	}
	return out
}

// VMs implements platform.VMLister.
func (s *site) VMs(context.Context) ([]platform.VM, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.VM
	for _, n := range s.members {
		out = append(out, platform.VM{ID: string(n.ID), Zone: n.Zone, Role: platform.VMEntry})
	}
	return out, 1, nil
}

func (n *siteNode) view() *peer.View {
	s := n.site
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &peer.View{Self: n.node, Epoch: fleet.Epoch(s.epoch.Load()), Live: s.members, PlatformUp: s.up.Load()}
	for _, m := range s.members {
		v.Roster = append(v.Roster, m)
		v.Member = v.Member || m.ID == n.node.ID
	}
	return v
}

// Call implements peer.Network.
func (n *siteNode) Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error) {
	for _, other := range n.site.nodes {
		if other.node.ID == to {
			return other.router.Dispatch(ctx, n.node, m)
		}
	}
	return nil, fault.New(fault.TargetUnreachable, "no node %s", to)
}

// Send implements peer.Network.
func (n *siteNode) Send(to fleet.NodeID, m wire.Message) { _, _ = n.Call(context.Background(), to, m) }

// Broadcast implements peer.Network.
func (n *siteNode) Broadcast(_ fleet.Zone, m wire.Message) {
	if u, ok := m.(*wire.TargetUpdate); ok {
		n.site.mu.Lock()
		n.site.updates[u.Target.ID] = *u
		n.site.mu.Unlock()
	}
}

func newSite(t *testing.T, nodes int, fencing ...bool) *site {
	s := &site{t: t, engines: map[fleet.TargetID]*engine.Engine{}, updates: map[fleet.TargetID]wire.TargetUpdate{}, catalog: &catalog.Store{}}
	s.store = kv.New(platform.SystemClock{})
	s.up.Store(true)
	s.epoch.Store(1)
	s.catalog.Swap(simCatalog([]int{1, 2, 2, -1, 2}))
	s.catalog.Load().Revisions = map[fleet.Team]platform.Revision{"team": 1}
	for i, f := range fencing {
		o := engine.DefaultOptions(fleet.TargetID(fmt.Sprintf("t%d", i)))
		o.ChecksFencing, o.MemoryBytes, o.StateLag = f, 11, 0
		o.LoadRemote, o.LoadDisk, o.LoadMemory = 50*time.Millisecond, 10*time.Millisecond, time.Millisecond
		e := engine.New(o, weights.New(weights.Options{LoadsPerSecond: 1000, FullSpeedLoads: 4}), s)
		srv := httptest.NewServer(e.Handler())
		t.Cleanup(func() { e.Close(); srv.CloseClientConnections(); srv.Close() })
		s.engines[o.Target] = e
		s.targets = append(s.targets, fleet.Target{ID: o.Target, Zone: "a", Kind: fleet.TargetEngine, Addr: strings.TrimPrefix(srv.URL, "http://")})
	}
	for i := range nodes {
		n := &siteNode{site: s, node: fleet.Node{ID: fleet.NodeID(fmt.Sprintf("n%d", i)), Zone: "a"}, router: peer.NewRouter()}
		s.nodes = append(s.nodes, n)
		s.members = append(s.members, n.node)
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (n *siteNode) start() {
	s := n.site
	opts := DefaultOptions()
	opts.OrderLifetime = 300 * time.Millisecond
	n.router.Handle(wire.TypeTargetUpdate, func(context.Context, fleet.Node, wire.Message) (wire.Message, error) { return &wire.Ack{}, nil })
	orders := target.NewOrders(target.DefaultOrderOptions())
	deps := Deps{
		Self: n.node, Clock: platform.SystemClock{}, Logger: zerolog.Nop(), View: n.view, Catalog: s.catalog, KV: s.store, VMs: s,
		Roster:  func(context.Context, fleet.Zone) (fleet.Epoch, error) { return fleet.Epoch(s.epoch.Load()), nil },
		Network: n, Router: n.router, Engines: orders, Directory: s,
	}
	n.svc = New(opts, deps)
	n.loader = NewLoadClient(opts, deps)
	require.NoError(s.t, n.svc.Start(s.t.Context()))
	s.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // no hand-over at the end of the test
		_ = n.svc.Stop(ctx)
		orders.Close()
	})
}

// owned waits until every target has a ready owner in the epoch in force.
func (s *site) owned() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, t := range s.targets {
			u, ok := s.updates[t.ID]
			if !ok || uint64(u.Epoch) != s.epoch.Load() || u.Unreachable {
				return false
			}
		}
		return true
	}, within, time.Millisecond)
}

func (s *site) kvCalls() map[string]int { return s.store.Calls() }

func diff(after, before map[string]int) map[string]int {
	out := map[string]int{}
	for k, n := range after {
		if n > before[k] {
			out[k] = n - before[k]
		}
	}
	return out
}

func TestBurstOverManyNodesCausesOneLoad(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			s := newSite(t, 9, fencing, fencing, fencing)
			s.owned()
			before := s.kvCalls()
			const burst = 1000
			var wg sync.WaitGroup
			for i := range burst {
				node := s.nodes[i%len(s.nodes)]
				wg.Go(func() {
					_, err := node.loader.Load(t.Context(), simKeys[0], false)
					assert.NoError(t, err)
				})
			}
			wg.Wait()
			assert.EqualValues(t, 1, s.loads.Load())
			t.Logf("KV calls of a cold start with a new slot: %v", diff(s.kvCalls(), before))
		})
	}
}

func TestColdStartOfBoundReplicaNeedsNoPlatform(t *testing.T) {
	s := newSite(t, 3, true)
	s.owned()
	_, err := s.nodes[0].loader.Load(t.Context(), simKeys[0], false)
	require.NoError(t, err)
	s.engines["t0"].Restart()
	s.up.Store(false)
	s.store.SetFaults(kv.Faults{Down: true})
	before := s.kvCalls()
	require.Eventually(t, func() bool {
		_, err := s.nodes[1].loader.Load(t.Context(), simKeys[0], false)
		return err == nil && s.loads.Load() == 2 // the restart has been seen
	}, within, time.Millisecond)
	_, err = s.nodes[1].loader.Load(t.Context(), simKeys[1], false)
	assert.Equal(t, fault.NoCapacity, fault.KindOf(err), "no slot can be bound")
	assert.Empty(t, diff(s.kvCalls(), before))
}

func TestTakeoverAfterLossOfANode(t *testing.T) {
	s := newSite(t, 3, true, false)
	s.owned()
	for _, k := range []fleet.ReplicaKey{simKeys[0], simKeys[3]} {
		_, err := s.nodes[0].loader.Load(t.Context(), k, false)
		require.NoError(t, err)
	}
	lost, _ := s.nodes[0].view().TargetOwner("t1")
	before := s.kvCalls()
	began := time.Now()
	s.mu.Lock()
	for i, n := range s.members {
		if n.ID == lost {
			s.members = append(s.members[:i:i], s.members[i+1:]...)
			break
		}
	}
	s.epoch.Add(1)
	s.mu.Unlock()
	s.owned()
	t.Logf("takeover in %v, KV calls %v", time.Since(began).Round(time.Millisecond), diff(s.kvCalls(), before))
	_, err := s.nodes[0].loader.Load(t.Context(), simKeys[4], false)
	require.NoError(t, err, "an adapter of a loaded base")
}
