package zoneowner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// The tests of this file check the rules of ownership one by one. A test of a
// cluster hides a fault of one rule, because another rule often prevents its
// effect.

// fakeNetwork is a Network that records messages. It grants no peer leases.
type fakeNetwork struct {
	nodes      []fleet.Node
	broadcasts []wire.Message
	// sent holds the messages to single nodes.
	sent map[fleet.NodeID][]wire.Message
}

func (*fakeNetwork) RequestPeerLease(context.Context, fleet.NodeID, *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	return new(wire.PeerLeaseResponse), nil
}
func (n *fakeNetwork) Broadcast(m wire.Message)     { n.broadcasts = append(n.broadcasts, m) }
func (n *fakeNetwork) Connected() []fleet.Node      { return slices.Clone(n.nodes) }
func (n *fakeNetwork) NodeCount() int               { return len(n.nodes) + 1 }
func (*fakeNetwork) OtherZoneWeightStoreLoads() int { return 0 }
func (n *fakeNetwork) Send(to fleet.NodeID, m wire.Message) {
	if n.sent == nil {
		n.sent = map[fleet.NodeID][]wire.Message{}
	}
	n.sent[to] = append(n.sent[to], m)
}

// Addresses of the node under test and of another node.
const (
	ownAddr   = "10.0.0.1:1"
	otherAddr = "10.0.0.2:1"
)

// newSingleOwner returns an owner with a store, a fakeNetwork and no targets.
func newSingleOwner(s *kvtest.Store) *Owner {
	log := zerolog.Nop()
	return New(Config{
		Self: fleet.Node{ID: "n1", Zone: singleOwnerZone, Incarnation: "i1", Addr: ownAddr}, CPUCapacity: 1, MinLease: time.Second, HandoverDelay: testHandoverDelay,
		Zones: []fleet.Zone{singleOwnerZone}, Store: s, Network: new(fakeNetwork), Log: &log, ConfigurationVersion: func() int64 { return 1 }, BootClock: time.Now,
	})
}

// singleOwnerZone is the zone of newSingleOwner; the cluster has testZone.
const singleOwnerZone = "z"

// startExpiredTerm starts a term whose lease has expired.
func (o *Owner) startExpiredTerm() *term {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{token: 1, lease: kv.LeaseID{ID: 1}, ctx: ctx, cancel: cancel, waiting: nil}
	o.term = t
	return t
}

// writeLastOwner stores the record of the zone's last owner.
func writeLastOwner(t *testing.T, s *kvtest.Store, r lastOwnerRecord) {
	value, err := json.Marshal(r)
	require.NoError(t, err)
	e, _ := s.Get(t.Context(), LastOwnerKey(singleOwnerZone))
	_, err = s.Commit(t.Context(), kv.Transaction{
		Expect: map[string]kv.Revision{LastOwnerKey(singleOwnerZone): e.ModRevision},
		Put:    []kv.Entry{{Key: LastOwnerKey(singleOwnerZone), Value: value}},
	})
	require.NoError(t, err)
}

// The lease has expired and the key does not exist. If another node was the
// owner in between, it may have sent orders.
func TestReacquireFailsIfAnotherNodeWasOwner(t *testing.T) {
	for last, continues := range map[string]bool{ownAddr: true, otherAddr: false} {
		s := new(kvtest.Store)
		writeLastOwner(t, s, lastOwnerRecord{Addr: last})
		o := newSingleOwner(s)
		o.reacquire(o.startExpiredTerm())
		_, err := s.Get(t.Context(), OwnerKey(singleOwnerZone))
		if continues {
			assert.NotNil(t, o.term)
			assert.NoError(t, err)
			continue
		}
		assert.Nil(t, o.term, "the term ends")
		assert.ErrorIs(t, err, kv.ErrNotFound, "the key is released")
	}
}

// The term ends while its lease is being replaced: the new lease is revoked, so that
// the zone is free at once.
func TestReacquireOfEndedTermReleasesTheKey(t *testing.T) {
	s := new(kvtest.Store)
	o := newSingleOwner(s)
	ended := o.startExpiredTerm()
	o.term = nil
	o.reacquire(ended)
	_, err := s.Get(t.Context(), OwnerKey(singleOwnerZone))
	require.ErrorIs(t, err, kv.ErrNotFound)
	assert.EqualValues(t, 1, ended.token, "an ended term gets no authority")
}

// A node that began to stop while it acquired its zone does not keep the zone.
func TestStoppingNodeBeginsNoTerm(t *testing.T) {
	s := new(kvtest.Store)
	o := newSingleOwner(s)
	o.stopping = true
	require.ErrorIs(t, o.acquire(t.Context(), ownerEntry{}), errStopping)
	assert.False(t, o.IsOwner())
	_, err := s.Get(t.Context(), OwnerKey(singleOwnerZone))
	require.ErrorIs(t, err, kv.ErrNotFound)
}

// The runs of a stopping node keep their slots: the node still serves them.
func TestRunsOfStoppingNodeKeepTheirSlots(t *testing.T) {
	o := newSingleOwner(new(kvtest.Store))
	active := o.startExpiredTerm()
	active.scheduler = scheduler.New(0)
	active.scheduler.SetServices(map[string]*route.Service{"s": {Name: "s", Engine: &route.Engine{Slots: 1, Models: map[string]*route.Model{"m": {Name: "m"}}}}})
	active.scheduler.SetTargets(time.Now(), []*inventory.Target{{ID: "a", Service: "s", Zone: singleOwnerZone}})
	active.scheduler.AdoptRuns(time.Now(), "n2", []scheduler.AdoptedRun{{ID: 1, Target: "a", Model: "m"}})
	o.NodeStopping("n2")
	assert.Equal(t, 1, active.scheduler.Running())
	o.RemoveNode("n2")
	assert.Zero(t, active.scheduler.Running())
}

// While the store is unavailable, the term neither ends nor gets a longer
// lease.
func TestReacquireKeepsTermWhileStoreIsUnavailable(t *testing.T) {
	s := new(kvtest.Store)
	s.SetUnavailable(true)
	o := newSingleOwner(s)
	activeTerm := o.startExpiredTerm()
	o.reacquire(activeTerm)
	assert.Same(t, activeTerm, o.term)
	assert.False(t, o.term.authority.validUntil(time.Now()).After(time.Now()))
}

// The delay between acquiring the zone and the first order depends on what is
// known of the last owner.
func TestEarliestOrderAfterHandover(t *testing.T) {
	acquired := time.Unix(1_700_000_000, 0)
	delay := testHandoverDelay + handoverMargin
	for name, c := range map[string]struct {
		lastOwner      lastOwnerRecord
		peerLeaseOwner string
		want           time.Duration
	}{
		"no owner before": {lastOwnerRecord{}, "", 0},
		"the same node":   {lastOwnerRecord{Addr: ownAddr}, "", 0},
		"the same node, its handover delay not over": {lastOwnerRecord{Addr: ownAddr, HandoverPending: true}, "", delay + defaultLeaseTTL},
		"another node with a peer lease":             {lastOwnerRecord{Addr: otherAddr}, otherAddr, delay},
		"another node without a peer lease":          {lastOwnerRecord{Addr: otherAddr}, "", delay + defaultLeaseTTL},
		"a peer lease of an earlier owner":           {lastOwnerRecord{Addr: otherAddr}, "10.0.0.3:1", delay + defaultLeaseTTL},
		"a planned stop":                             {lastOwnerRecord{Addr: otherAddr, LastOrderAge: testHandoverDelay / 2}, "", testHandoverDelay/2 + handoverMargin},
		"a planned stop long after its last order":   {lastOwnerRecord{Addr: otherAddr, LastOrderAge: time.Hour}, "", 0},
		"an unreadable record":                       {lastOwnerRecord{Addr: "unreadable"}, "", delay + defaultLeaseTTL},
	} {
		o := newSingleOwner(new(kvtest.Store))
		o.peerLeaseOwnerAddr, o.peerLeaseGrantedAt = c.peerLeaseOwner, acquired.Add(-PeerLeaseTTL)
		assert.Equal(t, c.want, o.earliestOrder(c.lastOwner, acquired, kv.FirstEra, acquired).Sub(acquired), name)
	}
}

// An owner that has not noticed that it was replaced must get no peer lease, or
// both owners would send orders.
func TestPeerLeaseIsGrantedOnlyToLastOwner(t *testing.T) {
	from := fleet.Node{ID: "n2", Zone: singleOwnerZone, Addr: otherAddr}
	for name, c := range map[string]struct {
		lastOwner string
		key       ownerEntry
		zone      fleet.Zone
		isOwner   bool
		want      bool
	}{
		"the last owner":                         {lastOwner: otherAddr, zone: singleOwnerZone, want: true},
		"an owner that the record does not name": {lastOwner: "10.0.0.3:1", zone: singleOwnerZone},
		"no last owner is known":                 {zone: singleOwnerZone},
		"another zone":                           {lastOwner: otherAddr, zone: "y"},
		"a later owner holds the key":            {lastOwner: otherAddr, key: ownerEntry{OwnerRecord{Addr: "10.0.0.3:1"}, 9}, zone: singleOwnerZone},
		"this node is the owner":                 {lastOwner: otherAddr, zone: singleOwnerZone, isOwner: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newSingleOwner(new(kvtest.Store))
			o.lastOwnerAddr, o.currentEntry, o.entryObserved = c.lastOwner, c.key, true
			if c.isOwner {
				o.startExpiredTerm()
			}
			response := o.GrantPeerLease(from, &wire.PeerLeaseRequest{Zone: c.zone, Token: 5})
			assert.Equal(t, c.want, response.Granted, name)
			assert.Equal(t, c.want, time.Until(o.peerLeaseUntil) == PeerLeaseTTL, "a granted peer lease delays this node")
		})
	}
}

// A node that has granted a peer lease does not acquire a free zone.
func TestPeerLeaseDelaysElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		o := newSingleOwner(s)
		o.lastOwnerAddr, o.entryObserved, o.targetsReceived = otherAddr, true, true
		o.services = map[string]*route.Service{}
		response := o.GrantPeerLease(fleet.Node{Zone: singleOwnerZone, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: singleOwnerZone})
		require.True(t, response.Granted)
		assert.Equal(t, PeerLeaseTTL, o.runElection(t.Context()), "the next attempt is due when the peer lease ends")
		assert.Empty(t, s.Entries())
	})
}

// A broadcast is sent to every node, so broadcasts must be rare in a large
// deployment.
func TestZoneStateIsBroadcastOnlyOnChangeAndEveryFullStateInterval(t *testing.T) {
	o, network, version := newSingleOwner(new(kvtest.Store)), new(fakeNetwork), int64(1)
	o.cfg.Network, o.cfg.ConfigurationVersion = network, func() int64 { return version }
	activeTerm := o.startExpiredTerm()
	activeTerm.scheduler = scheduler.New(0)
	now := time.Now()
	for range 40 { // 4 s
		o.broadcastState(activeTerm, now)
		now = now.Add(100 * time.Millisecond)
	}
	require.Len(t, network.broadcasts, 1)
	assert.Equal(t, 1, network.broadcasts[0].(*wire.ZoneState).NodeCount, "the count includes the node itself")
	for i := range 3 {
		network.nodes = append(network.nodes, fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", 9-i))})
		now = now.Add(time.Second)
		o.broadcastState(activeTerm, now)
	}
	fullStates := 0
	var last wire.Message
	for _, m := range network.broadcasts {
		if _, ok := m.(*wire.ZoneState); ok {
			fullStates++
		}
		last = m
	}
	require.Len(t, network.broadcasts, 4, "a changed node count is broadcast")
	assert.LessOrEqual(t, fullStates, 2, "other broadcasts contain the change only")
	switch m := last.(type) {
	case *wire.ZoneState:
		assert.Equal(t, 4, m.NodeCount)
	case *wire.ZoneChange:
		assert.Equal(t, 4, m.NodeCount)
	}
	slices.Reverse(network.nodes)
	now = now.Add(time.Second)
	o.broadcastState(activeTerm, now)
	assert.Len(t, network.broadcasts, 4, "the order of the connections does not matter")
	version = 2
	now = now.Add(time.Second)
	o.broadcastState(activeTerm, now)
	require.Len(t, network.broadcasts, 5)
	now = now.Add(fullStateInterval)
	o.broadcastState(activeTerm, now)
	require.Len(t, network.broadcasts, 6)
	assert.IsType(t, new(wire.ZoneState), network.broadcasts[5], "the full state is repeated in case a message was dropped")
}

// A node that connects receives the full state, and the changes that follow
// apply to it.
func TestConnectingNodeReceivesFullState(t *testing.T) {
	o, network, version := newSingleOwner(new(kvtest.Store)), new(fakeNetwork), int64(1)
	o.cfg.Network, o.cfg.ConfigurationVersion = network, func() int64 { return version }
	activeTerm := o.startExpiredTerm()
	activeTerm.scheduler = scheduler.New(0)
	now := time.Now()
	o.broadcastState(activeTerm, now)
	version = 2
	now = now.Add(minBroadcastInterval)
	o.broadcastState(activeTerm, now)
	o.AdoptRuns(fleet.Node{ID: "n2", Zone: "other"}, new(wire.ActiveRuns))
	require.Len(t, network.sent["n2"], 1)
	got := network.sent["n2"][0].(*wire.ZoneState)
	assert.EqualValues(t, 2, got.ConfigurationVersion)
	version = 3
	o.broadcastState(activeTerm, now.Add(minBroadcastInterval))
	change := network.broadcasts[len(network.broadcasts)-1].(*wire.ZoneChange)
	next, ok := got.Apply(change)
	require.True(t, ok)
	assert.EqualValues(t, 3, next.ConfigurationVersion)
}

// When hundreds of nodes start simultaneously, they need seconds to receive
// the targets. The last owner is still preferred then.
func TestLastOwnerIsPreferredAfterSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		writeLastOwner(t, s, lastOwnerRecord{Addr: otherAddr})
		o := newSingleOwner(s)
		o.lastOwnerAddr, o.services = otherAddr, map[string]*route.Service{}
		assert.Equal(t, time.Second, o.runElection(t.Context()), "the node has not received the key and the targets")
		time.Sleep(2 * preferenceWindow)
		o.entryObserved, o.targetsReceived = true, true
		start := time.Now()
		o.runElection(t.Context())
		defer o.Abort()
		assert.GreaterOrEqual(t, time.Since(start), lastOwnerHeadStart)
		assert.True(t, o.IsOwner(), "the last owner did not return")
	})
}

// resignedRecord returns the record that an owner leaves when it resigns. set changes its
// term.
func resignedRecord(t *testing.T, set func(active *term, now time.Time)) lastOwnerRecord {
	t.Helper()
	o := newSingleOwner(new(kvtest.Store))
	set(o.startExpiredTerm(), time.Now())
	o.Resign(t.Context())
	record, _, err := o.readLastOwner(t.Context())
	require.NoError(t, err)
	return record
}

// delayAfter returns how long a node waits with its first order after a record.
func delayAfter(record lastOwnerRecord) time.Duration {
	acquired := time.Now()
	return newSingleOwner(new(kvtest.Store)).earliestOrder(record, time.Time{}, kv.FirstEra, acquired).Sub(acquired)
}

// scheduleTolerance is how much the times of tests without virtual time may differ.
const scheduleTolerance = 300 * time.Millisecond

// Guards against an owner that crashes, acquires the zone again and resigns before its
// first order: the next owner sent orders at once.
func TestStopBeforeTheFirstOrderCountsFromTheStartOfTheTerm(t *testing.T) {
	record := resignedRecord(t, func(active *term, now time.Time) { active.ordersFrom = now.Add(-time.Second) })
	assert.InDelta(t, time.Second, record.LastOrderAge, float64(scheduleTolerance))
	record = resignedRecord(t, func(active *term, now time.Time) {
		active.ordersFrom, active.lastOrderAt = now.Add(-time.Minute), now.Add(-2*time.Second)
	})
	assert.InDelta(t, 2*time.Second, record.LastOrderAge, float64(scheduleTolerance))
}

// Guards against an owner that resigns while the owner before it may still send orders: the
// next owner waited for less than the rest of the delay.
func TestStopEarlyInAHandoverDelayLeavesItsRest(t *testing.T) {
	for _, rest := range []time.Duration{time.Second, testHandoverDelay + time.Second} {
		record := resignedRecord(t, func(active *term, now time.Time) { active.ordersFrom = now.Add(rest) })
		record.Addr = otherAddr
		assert.InDelta(t, rest+handoverMargin, delayAfter(record), float64(scheduleTolerance))
	}
}

// Guards against a node that resigns during its handover delay, starts again and sends
// orders at once, because the record names itself.
func TestRestartInAHandoverDelayLeavesItsRest(t *testing.T) {
	const rest = 2 * time.Second
	record := resignedRecord(t, func(active *term, now time.Time) { active.ordersFrom = now.Add(rest) })
	assert.Equal(t, ownAddr, record.Addr)
	assert.InDelta(t, rest+handoverMargin, delayAfter(record), float64(scheduleTolerance))
}

// Guards against an owner that was replaced and, when it resigns, overwrites the record of
// its successor, so that the next owner counts the handover delay from the wrong order.
func TestStopLeavesTheRecordOfALaterOwner(t *testing.T) {
	s := new(kvtest.Store)
	later := lastOwnerRecord{Addr: otherAddr, Token: inEra(1, 200)}
	writeLastOwner(t, s, later)
	o := newSingleOwner(s)
	o.startExpiredTerm().token = inEra(1, 150)
	o.Resign(t.Context())
	record, _, err := o.readLastOwner(t.Context())
	require.NoError(t, err)
	assert.Equal(t, later, record)
}

// Guards against a node that acquires the zone although it has granted a peer lease since
// its attempt began: the owner before it could send orders within the handover delay.
func TestPeerLeaseGrantedDuringAnElectionEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		o := newSingleOwner(s)
		o.cfg.CPUCapacity = 0 // waits maxCapacityDelay
		o.lastOwnerAddr, o.entryObserved, o.targetsReceived = otherAddr, true, true
		o.services = map[string]*route.Service{}
		go func() {
			time.Sleep(maxCapacityDelay / 2)
			assert.True(t, o.GrantPeerLease(fleet.Node{Zone: singleOwnerZone, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: singleOwnerZone}).Granted)
		}()
		o.runElection(t.Context())
		assert.Empty(t, s.Entries())
		assert.False(t, o.IsOwner())
		o.Abort()
	})
}

// leaselessStore grants no leases, and calls onGrantLease when one is asked for.
type leaselessStore struct {
	*kvtest.Store
	onGrantLease func()
}

func (s leaselessStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	s.onGrantLease()
	return kv.LeaseID{}, kv.ErrUnavailable
}

// The same while the node registers as the owner, until that fails.
func TestNodeThatRegistersAsOwnerGrantsNoPeerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSingleOwner(new(kvtest.Store))
		o.lastOwnerAddr, o.entryObserved, o.targetsReceived = otherAddr, true, true
		o.services = map[string]*route.Service{}
		request := func() bool {
			return o.GrantPeerLease(fleet.Node{Zone: singleOwnerZone, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: singleOwnerZone}).Granted
		}
		calls := 0
		o.cfg.Store = leaselessStore{new(kvtest.Store), func() { calls++; assert.False(t, request()) }}
		o.runElection(t.Context())
		assert.Equal(t, 1, calls)
		assert.True(t, request(), "the attempt is over")
	})
}
