package claim

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
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

type fakeClock struct {
	mu  sync.Mutex
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

// cluster is a few nodes before one key-value service.
type cluster struct {
	clock *fakeClock
	store *kv.Store

	mu    sync.Mutex
	nodes map[fleet.NodeID]*node
	dead  map[fleet.NodeID]bool
	// split gives each node a view in which it is alone.
	split bool
}

type node struct {
	*Client
	cluster *cluster
	self    fleet.Node
	router  *peer.Router
}

func newCluster(t testing.TB, opts Options, ids ...fleet.NodeID) *cluster {
	c := &cluster{clock: &fakeClock{now: time.Unix(1e9, 0)}, nodes: map[fleet.NodeID]*node{}, dead: map[fleet.NodeID]bool{}}
	c.store = kv.New(c.clock)
	for _, id := range ids {
		n := &node{cluster: c, self: fleet.Node{ID: id, Incarnation: "1"}, router: peer.NewRouter()}
		NewWriter(opts, c.clock, zerolog.Nop(), c.store, n.seen).Register(n.router)
		n.Client = NewClient(opts, c.clock, zerolog.Nop(), n, n.seen)
		c.nodes[id] = n
		t.Cleanup(func() {
			c.store.SetFaults(kv.Faults{})
			require.NoError(t, n.Close(context.Background()))
		})
	}
	return c
}

func (n *node) Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error) {
	n.cluster.mu.Lock()
	other, dead := n.cluster.nodes[to], n.cluster.dead[to]
	n.cluster.mu.Unlock()
	if dead {
		return nil, fault.New(fault.OutcomeUnknown, "node %s is dead", to)
	}
	return other.router.Dispatch(ctx, n.self, m)
}

func (n *node) Send(fleet.NodeID, wire.Message)    {}
func (n *node) Broadcast(fleet.Zone, wire.Message) {}

func (n *node) seen() *peer.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	v := &peer.View{Self: n.self}
	for id, other := range n.cluster.nodes {
		if !n.cluster.dead[id] && (!n.cluster.split || other == n) {
			v.Live = append(v.Live, other.self)
		}
	}
	return v
}

func (c *cluster) kill(id fleet.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[id] = true
}

func fastOptions() Options {
	o := DefaultOptions()
	o.OutcomeDelay = 0
	return o
}

func (c *cluster) request(id string) Request {
	return Request{Team: "derwent", Service: "desk", Key: "seat-7", Digest: []byte("digest"), RequestID: id, Deadline: c.clock.Now().Add(time.Minute)}
}

func requireKind(t *testing.T, want fault.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, fault.KindOf(err), "%v", err)
}

func yes(body string) wire.Outcome {
	return wire.Outcome{Status: 200, Run: string(fault.RunYes), Body: []byte(body)}
}

func TestLifeOfAClaim(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1", "n2")
	n1, n2 := c.nodes["n1"], c.nodes["n2"]
	ctx := context.Background()
	first := c.request("r1")
	outcome, err := n1.Begin(ctx, first)
	require.NoError(t, err)
	require.Nil(t, outcome)

	_, err = n2.Begin(ctx, c.request("r2"))
	requireKind(t, fault.KeyInProgress, err)
	other := c.request("r3")
	other.Digest = []byte("another body")
	_, err = n2.Begin(ctx, other)
	requireKind(t, fault.KeyMismatch, err)

	n1.Finish(first, yes("seat held"))
	require.NoError(t, n1.Close(ctx))
	outcome, err = n2.Begin(ctx, c.request("r4"))
	require.NoError(t, err)
	require.Equal(t, "seat held", string(outcome.Body))

	c.clock.advance(25 * time.Hour)
	outcome, err = n2.Begin(ctx, c.request("r5"))
	require.NoError(t, err)
	require.Nil(t, outcome, "the claim has expired")
}

func TestRefusedRequestGivesTheClaimBack(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1")
	n := c.nodes["n1"]
	_, err := n.Begin(context.Background(), c.request("r1"))
	require.NoError(t, err)
	n.Finish(c.request("r1"), wire.Outcome{Run: string(fault.RunNo)})
	outcome, err := n.Begin(context.Background(), c.request("r2"))
	require.NoError(t, err)
	require.Nil(t, outcome)
}

func TestHolderThatRestartedIsDead(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1", "n2")
	_, err := c.nodes["n1"].Begin(context.Background(), c.request("r1"))
	require.NoError(t, err)
	c.mu.Lock()
	c.nodes["n1"].self.Incarnation = "2"
	c.mu.Unlock()
	outcome, err := c.nodes["n2"].Begin(context.Background(), c.request("r2"))
	require.NoError(t, err)
	require.Equal(t, string(fault.RunUnknown), outcome.Run)
}

// TestHolderThatDied: a claim whose holder may have sent the request is
// never given to a request that must not be repeated.
func TestHolderThatDied(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		c := newCluster(t, fastOptions(), "n1", "n2")
		r := c.request("r1")
		r.Idempotent = idempotent
		_, err := c.nodes["n1"].Begin(context.Background(), r)
		require.NoError(t, err)
		c.kill("n1")
		r.RequestID = "r2"
		_, err = c.nodes["n2"].Begin(context.Background(), r)
		requireKind(t, fault.KeyInProgress, err) // it may only be out of sight
		c.clock.advance(fastOptions().DeadAfter + time.Second)
		outcome, err := c.nodes["n2"].Begin(context.Background(), r)
		require.NoError(t, err)
		if idempotent {
			require.Nil(t, outcome)
			continue
		}
		require.Equal(t, string(fault.RunUnknown), outcome.Run)
	}
}

func TestOutcomeThatNeverCameIsUnknown(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1")
	_, err := c.nodes["n1"].Begin(context.Background(), c.request("r1"))
	require.NoError(t, err)
	c.clock.advance(time.Minute + fastOptions().OutcomeTimeout + time.Second)
	outcome, err := c.nodes["n1"].Begin(context.Background(), c.request("r2"))
	require.NoError(t, err)
	require.Equal(t, string(fault.RunUnknown), outcome.Run)
}

func TestServiceDown(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1")
	n := c.nodes["n1"]
	ctx := context.Background()
	_, err := n.Begin(ctx, c.request("r1"))
	require.NoError(t, err)
	n.Finish(c.request("r1"), yes("held"))
	require.NoError(t, n.Close(ctx))
	c.store.SetFaults(kv.Faults{Down: true})
	c.clock.advance(time.Minute)
	outcome, err := n.Begin(ctx, c.request("r2"))
	require.NoError(t, err)
	require.Equal(t, "held", string(outcome.Body), "a recorded outcome needs no service")
	fresh := c.request("r3")
	fresh.Key = "seat-8"
	_, err = n.Begin(ctx, fresh)
	requireKind(t, fault.ClaimUnsettled, err)
	c.store.SetFaults(kv.Faults{})
}

// TestServiceOlderThanBefore: a service restored from a backup has
// forgotten claims; the range is refused.
func TestServiceOlderThanBefore(t *testing.T) {
	o := fastOptions()
	o.OutcomeTimeout = 10 * time.Millisecond // the claim cannot be given back
	c := newCluster(t, o, "n1")
	backup := c.store.Snapshot()
	_, err := c.nodes["n1"].Begin(context.Background(), c.request("r1"))
	require.NoError(t, err)
	c.store.Restore(backup)
	c.clock.advance(time.Minute)
	_, err = c.nodes["n1"].Begin(context.Background(), c.request("r2"))
	requireKind(t, fault.ClaimUnsettled, err)
}

// TestRefusalGivenBackThroughAnotherWriter: a writer does not answer "in
// progress" from a table that another writer has changed.
func TestRefusalGivenBackThroughAnotherWriter(t *testing.T) {
	c := newCluster(t, fastOptions(), "n1", "n2")
	_, err := c.nodes["n1"].Begin(context.Background(), c.request("r1"))
	require.NoError(t, err)
	c.split = true
	for _, id := range []fleet.NodeID{"n1", "n2"} { // both have the range cached
		_, err = c.nodes[id].Begin(context.Background(), c.request("r2"))
		requireKind(t, fault.KeyInProgress, err)
	}
	c.nodes["n1"].Finish(c.request("r1"), wire.Outcome{Run: string(fault.RunNo)})
	outcome, err := c.nodes["n2"].Begin(context.Background(), c.request("r3"))
	require.NoError(t, err)
	require.Nil(t, outcome)
}

// TestRaceOnOneKey: three nodes that each write the range themselves race
// on one key, with lost answers; at most one request holds it.
func TestRaceOnOneKey(t *testing.T) {
	for round := range 30 {
		c := newCluster(t, fastOptions(), "n1", "n2", "n3")
		c.split = round%2 == 0
		c.store.SetFaults(kv.Faults{LoseAnswers: round % 7})
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted := 0
		for id, n := range c.nodes {
			for i := range 4 {
				r := c.request(fmt.Sprintf("%s-%d", id, i))
				wg.Go(func() {
					outcome, err := n.Begin(context.Background(), r)
					if err == nil && outcome == nil {
						mu.Lock()
						granted++
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		require.LessOrEqual(t, granted, 1, "round %d", round)
	}
}

// TestRangeIsBounded: a full range first gives up kept answers, then
// refuses new keys, and stays below its bound.
func TestRangeIsBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := rules{now: now, retention: time.Hour, limit: 10_000, alive: func(fleet.NodeID, string) bool { return true }}
	tab := newTable()
	unsettled := 0
	for i := range 200 {
		claim := &wire.Claim{Key: fmt.Appendf(nil, "key%29d", i), Body: []byte("b"), RequestID: "r"}
		result, _ := tab.claim(claim, r)
		if result.State == wire.ClaimUnsettled {
			unsettled++
			continue
		}
		tab.finish(&wire.ClaimOutcome{Key: claim.Key, RequestID: "r", Outcome: yes(string(make([]byte, 500)))}, r)
	}
	require.Positive(t, unsettled)
	value, err := tab.encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), r.limit)
	back, err := decodeTable(value)
	require.NoError(t, err)
	require.Len(t, back.entries, 200-unsettled)
	back.prune(now.Add(2 * time.Hour))
	require.Empty(t, back.entries)
	require.Zero(t, back.bytes)
}

// BenchmarkWrites reports the writes to the key-value service for a
// thousand requests, claims and outcomes together, with the service's
// answers after two milliseconds.
func BenchmarkWrites(b *testing.B) {
	for _, concurrent := range []int{1, 64, 1024} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrent), func(b *testing.B) {
			c := newCluster(b, DefaultOptions(), "n1", "n2", "n3")
			c.store.SetFaults(kv.Faults{Delay: 2 * time.Millisecond})
			slots := make(chan struct{}, concurrent)
			var wg sync.WaitGroup
			n := c.nodes["n1"]
			for i := range b.N {
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					r := c.request(fmt.Sprintf("r%d", i))
					r.Key = r.RequestID
					if _, err := n.Begin(context.Background(), r); err != nil {
						b.Error(err)
					}
					n.Finish(r, yes("held"))
				})
			}
			wg.Wait()
			_ = n.Close(context.Background())
			b.ReportMetric(float64(c.store.Calls()["cas"])/float64(b.N)*1000, "writes/1000req")
		})
	}
}
