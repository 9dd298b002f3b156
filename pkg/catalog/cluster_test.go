package catalog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

type fakeClock struct {
	mu  sync.Mutex // guards now
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// zoneKV is the key-value service as one node reaches it.
type zoneKV struct {
	*kv.Store
	c    *cluster
	zone fleet.Zone
}

func (z *zoneKV) up() error {
	if z.c.isCut(z.zone, "platform") {
		return platform.ErrUnavailable
	}
	return nil
}

func (z *zoneKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := z.up(); err != nil {
		return platform.Entry{}, err
	}
	return z.Store.Get(ctx, key)
}

func (z *zoneKV) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if err := z.up(); err != nil {
		return nil, 0, err
	}
	return z.Store.List(ctx, prefix)
}

func (z *zoneKV) CompareAndSwap(ctx context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if err := z.up(); err != nil {
		return 0, err
	}
	return z.Store.CompareAndSwap(ctx, key, value, expect, lease)
}

func (z *zoneKV) Watch(ctx context.Context, prefix string, after platform.Revision) (<-chan platform.WatchEvent, error) {
	if err := z.up(); err != nil {
		return nil, err
	}
	return z.Store.Watch(ctx, prefix, after)
}

// testNode is one node with its catalog service.
type testNode struct {
	node    fleet.Node
	service *Service
	router  *peer.Router
	// highest are the highest revisions seen in force since the start.
	highest map[fleet.Team]platform.Revision
}

// cluster is a set of nodes in zones, with a network that can be cut.
type cluster struct {
	t     testing.TB
	clock *fakeClock
	store *kv.Store
	nodes []*testNode
	opts  Options

	mu  sync.Mutex // guards all below
	cut map[[2]fleet.Zone]bool
	// lost are the directions in which one node's messages to another vanish.
	lost  map[[2]fleet.NodeID]bool
	bytes int
}

func newCluster(t testing.TB, zones, perZone int) *cluster {
	clock := &fakeClock{now: time.Unix(1_700_000_000, 0)}
	c := &cluster{t: t, clock: clock, store: kv.New(clock), opts: testOptions(), cut: map[[2]fleet.Zone]bool{}, lost: map[[2]fleet.NodeID]bool{}}
	for i := range zones * perZone {
		zone := fleet.Zone(fmt.Sprintf("z%d", i%zones))
		c.nodes = append(c.nodes, &testNode{node: fleet.Node{ID: fleet.NodeID(fmt.Sprintf("n%02d", i)), Zone: zone}})
		c.restart(i)
	}
	return c
}

// restart replaces a node's process: it forgets everything.
func (c *cluster) restart(i int) {
	n := c.nodes[i]
	n.router = peer.NewRouter()
	n.highest = map[fleet.Team]platform.Revision{}
	reach := &zoneKV{Store: c.store, c: c, zone: n.node.Zone}
	n.service = New(c.opts, n.node, reach, &testNetwork{c: c, self: n}, n.router, func() *peer.View { return c.viewOf(n) }, c.clock, zerolog.Nop(), &Store{})
}

func (c *cluster) isCut(a, b fleet.Zone) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[[2]fleet.Zone{a, b}]
}

func (c *cluster) setCut(a, b fleet.Zone, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]fleet.Zone{a, b}] = cut
	c.cut[[2]fleet.Zone{b, a}] = cut
}

func (c *cluster) loseOneWay(from, to fleet.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[[2]fleet.NodeID{from, to}] = true
}

func (c *cluster) isLost(from, to fleet.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost[[2]fleet.NodeID{from, to}]
}

func (c *cluster) healAll() {
	c.mu.Lock()
	c.cut = map[[2]fleet.Zone]bool{}
	c.lost = map[[2]fleet.NodeID]bool{}
	c.mu.Unlock()
	c.store.SetFaults(kv.Faults{})
}

func (c *cluster) viewOf(n *testNode) *peer.View {
	v := &peer.View{Self: n.node, PlatformUp: true}
	for _, other := range c.nodes {
		if other.node.Zone == n.node.Zone || !c.isCut(n.node.Zone, other.node.Zone) {
			v.Live = append(v.Live, other.node)
		}
	}
	return v
}

// step lets every node do what is due and checks that no revision in force
// went down.
func (c *cluster) step() {
	for _, n := range c.nodes {
		n.service.StepPlatform(context.Background())
		n.service.StepPeers(context.Background())
	}
	c.checkMonotonic()
}

func (c *cluster) checkMonotonic() {
	for _, n := range c.nodes {
		revisions := n.service.Snapshot().Revisions
		for team, highest := range n.highest {
			require.GreaterOrEqual(c.t, revisions[team], highest, "%s: team %s went down", n.node.ID, team)
		}
		for team, revision := range revisions {
			n.highest[team] = revision
		}
	}
}

// run steps for a fake duration.
func (c *cluster) run(d time.Duration) {
	const tick = 250 * time.Millisecond
	for range d / tick {
		c.step()
		c.clock.advance(tick)
	}
	c.step()
}

// agree tells whether all nodes have the service's heads in force.
func (c *cluster) agree() bool {
	entries, _, err := c.store.List(context.Background(), prefixHead)
	require.NoError(c.t, err)
	for _, e := range entries {
		head, err := decodeHead(e.Value)
		require.NoError(c.t, err)
		for _, n := range c.nodes {
			inForce := n.service.Head(head.Team)
			if inForce == nil || inForce.WriteID != head.WriteID {
				return false
			}
		}
	}
	return true
}

// settle steps until all agree and returns the fake time that it took.
func (c *cluster) settle(bound time.Duration) time.Duration {
	const tick = 250 * time.Millisecond
	for took := time.Duration(0); took <= bound; took += tick {
		c.step()
		if c.agree() {
			return took
		}
		c.clock.advance(tick)
	}
	for _, n := range c.nodes {
		c.t.Logf("%s in %s: %v ready=%t", n.node.ID, n.node.Zone, n.service.Snapshot().Revisions, n.service.Ready())
	}
	require.Fail(c.t, "nodes do not agree", "after %s", bound)
	return bound
}

func (c *cluster) apply(i int, spec *TeamSpec, expect uint64) (*Committed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.nodes[i].service.Apply(ctx, Change{Spec: spec, Expect: expect, Author: "test"})
}

func (c *cluster) mustApply(i int, spec *TeamSpec, expect uint64) {
	c.t.Helper()
	_, err := c.apply(i, spec, expect)
	require.NoError(c.t, err)
}

// testNetwork connects the nodes in process and counts the bytes sent.
type testNetwork struct {
	c    *cluster
	self *testNode
}

func (n *testNetwork) count(m wire.Message) {
	data, err := encMode.Marshal(m)
	require.NoError(n.c.t, err)
	n.c.mu.Lock()
	n.c.bytes += len(data)
	n.c.mu.Unlock()
}

func (n *testNetwork) find(to fleet.NodeID) *testNode {
	for _, other := range n.c.nodes {
		if other.node.ID == to && (other.node.Zone == n.self.node.Zone || !n.c.isCut(n.self.node.Zone, other.node.Zone)) {
			return other
		}
	}
	return nil
}

func (n *testNetwork) Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error) {
	other := n.find(to)
	if other == nil {
		return nil, fault.New(fault.TargetUnreachable, "node %q is cut off", to)
	}
	n.count(m)
	if n.c.isLost(n.self.node.ID, to) {
		return nil, fault.New(fault.OutcomeUnknown, "message to node %q was lost", to)
	}
	answer, err := other.router.Dispatch(ctx, n.self.node, m)
	if err != nil {
		return nil, err
	}
	n.count(answer)
	if n.c.isLost(to, n.self.node.ID) {
		return nil, fault.New(fault.OutcomeUnknown, "answer of node %q was lost", to)
	}
	return answer, nil
}

func (n *testNetwork) Send(to fleet.NodeID, m wire.Message) {
	_, _ = n.Call(context.Background(), to, m)
}

func (n *testNetwork) Broadcast(zone fleet.Zone, m wire.Message) {
	for _, other := range n.c.nodes {
		if other != n.self && (zone == "" || other.node.Zone == zone) {
			n.Send(other.node.ID, m)
		}
	}
}
