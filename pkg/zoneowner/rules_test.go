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
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// The rules of ownership, one by one: a cluster hides what a sent rule does,
// because another one often catches what it lets through.

// fakeNetwork is a network that records what is broadcast.
type fakeNetwork struct {
	nodes      []fleet.Node
	broadcasts []wire.Message
	// sent are the messages to one node.
	sent map[fleet.NodeID][]wire.Message
}

func (*fakeNetwork) RequestPeerLease(context.Context, fleet.NodeID, *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	return new(wire.PeerLeaseResponse), nil
}
func (h *fakeNetwork) Broadcast(m wire.Message) { h.broadcasts = append(h.broadcasts, m) }
func (h *fakeNetwork) Connected() []fleet.Node  { return slices.Clone(h.nodes) }
func (h *fakeNetwork) NodeCount() int           { return len(h.nodes) + 1 }
func (*fakeNetwork) OtherZoneStoreLoads() int   { return 0 }
func (h *fakeNetwork) Send(to fleet.NodeID, m wire.Message) {
	if h.sent == nil {
		h.sent = map[fleet.NodeID][]wire.Message{}
	}
	h.sent[to] = append(h.sent[to], m)
}

// The node under test, and another one.
const (
	ownAddr   = "10.0.0.1:1"
	otherAddr = "10.0.0.2:1"
)

func newSingleOwner(s *kvtest.Store) *Owner {
	log := zerolog.Nop()
	return New(Config{
		Self: fleet.Node{ID: "n1", Zone: testZoneName, Incarnation: "i1", Addr: ownAddr}, CPUCapacity: 1, MinLease: time.Second, HandoverDelay: testHandoverDelay,
		Zones: []fleet.Zone{testZoneName}, Store: s, Network: new(fakeNetwork), Log: &log, Version: func() int64 { return 1 }, BootClock: time.Now,
	})
}

const testZoneName = "z"

// startExpiredTerm gives the ownerIndex a term whose lease has lapsed.
func (o *Owner) startExpiredTerm() *term {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{token: 1, lease: 1, ctx: ctx, cancel: cancel, waiting: nil}
	o.term = t
	return t
}

func writePreviousOwner(t *testing.T, s *kvtest.Store, r previousOwnerRecord) {
	value, err := json.Marshal(r)
	require.NoError(t, err)
	e, _ := s.Get(t.Context(), LastOwnerKey(testZoneName))
	_, err = s.Commit(t.Context(), kv.Change{
		Expect: map[string]kv.Revision{LastOwnerKey(testZoneName): e.ModRevision},
		Put:    []kv.Entry{{Key: LastOwnerKey(testZoneName), Value: value}},
	})
	require.NoError(t, err)
}

// TestReacquireFailsIfAnotherNodeWasOwner: the lease lapsed and the key is free
// again. If another node was the ownerIndex meanwhile, it may have given orders.
func TestReacquireFailsIfAnotherNodeWasOwner(t *testing.T) {
	for last, stays := range map[string]bool{ownAddr: true, otherAddr: false} {
		s := new(kvtest.Store)
		writePreviousOwner(t, s, previousOwnerRecord{Addr: last})
		o := newSingleOwner(s)
		o.reacquire(o.startExpiredTerm())
		_, err := s.Get(t.Context(), OwnerKey(testZoneName))
		if stays {
			assert.NotNil(t, o.term)
			assert.NoError(t, err)
			continue
		}
		assert.Nil(t, o.term, "the tenure ends")
		assert.ErrorIs(t, err, kv.ErrNotFound, "and the key is given up")
	}
}

// TestReacquireKeepsTermWhileStoreIsUnavailable neither ends the term nor extends it.
func TestReacquireKeepsTermWhileStoreIsUnavailable(t *testing.T) {
	s := new(kvtest.Store)
	s.SetDown(true)
	o := newSingleOwner(s)
	tenure := o.startExpiredTerm()
	o.reacquire(tenure)
	assert.Same(t, tenure, o.term)
	assert.False(t, o.term.authority.validUntil(time.Now()).After(time.Now()))
}

// TestEarliestOrderAfterHandover: how long after the taking the first order may come.
func TestEarliestOrderAfterHandover(t *testing.T) {
	taken := time.Unix(1_700_000_000, 0)
	pause := testHandoverDelay + handoverMargin
	for name, c := range map[string]struct {
		last       previousOwnerRecord
		promisedTo string
		want       time.Duration
	}{
		"no owner before":                          {previousOwnerRecord{}, "", 0},
		"the same node":                            {previousOwnerRecord{Addr: ownAddr}, "", 0},
		"the same node, its own pause not over":    {previousOwnerRecord{Addr: ownAddr, HandoverPending: true}, "", pause + defaultLeaseTTL},
		"another node, which had a promise":        {previousOwnerRecord{Addr: otherAddr}, otherAddr, pause},
		"another node without a promise from here": {previousOwnerRecord{Addr: otherAddr}, "", pause + defaultLeaseTTL},
		"a promise to an earlier owner":            {previousOwnerRecord{Addr: otherAddr}, "10.0.0.3:1", pause + defaultLeaseTTL},
		"a planned stop":                           {previousOwnerRecord{Addr: otherAddr, LastOrderAge: testHandoverDelay / 2}, "", testHandoverDelay/2 + handoverMargin},
		"a planned stop long after its last order": {previousOwnerRecord{Addr: otherAddr, LastOrderAge: time.Hour}, "", 0},
		"an unreadable record":                     {previousOwnerRecord{Addr: "unreadable"}, "", pause + defaultLeaseTTL},
	} {
		o := newSingleOwner(new(kvtest.Store))
		o.peerLeaseOwnerAddr = c.promisedTo
		assert.Equal(t, c.want, o.earliestOrder(c.last, taken).Sub(taken), name)
	}
}

// TestPeerLeaseIsGrantedOnlyToPreviousOwner: an ownerIndex that does not know of its successor must get
// none, or it would go on beside it.
func TestPeerLeaseIsGrantedOnlyToPreviousOwner(t *testing.T) {
	from := fleet.Node{ID: "n2", Zone: testZoneName, Addr: otherAddr}
	for name, c := range map[string]struct {
		last string
		held ownerKey
		zone fleet.Zone
		own  bool
		want bool
	}{
		"the last owner":                     {last: otherAddr, zone: testZoneName, want: true},
		"an owner that the record names not": {last: "10.0.0.3:1", zone: testZoneName},
		"nobody is known to be the last":     {zone: testZoneName},
		"another zone":                       {last: otherAddr, zone: "y"},
		"a later owner holds the key":        {last: otherAddr, held: ownerKey{OwnerRecord{Addr: "10.0.0.3:1"}, 9}, zone: testZoneName},
		"this node is the owner":             {last: otherAddr, zone: testZoneName, own: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newSingleOwner(new(kvtest.Store))
			o.previousOwnerAddr, o.currentKey, o.keyObserved = c.last, c.held, true
			if c.own {
				o.startExpiredTerm()
			}
			pong := o.GrantPeerLease(from, &wire.PeerLeaseRequest{Zone: c.zone, Token: 5})
			assert.Equal(t, c.want, pong.Granted, name)
			assert.Equal(t, c.want, time.Until(o.peerLeaseUntil) == PeerLeaseTime, "a promise binds this node")
		})
	}
}

// TestPeerLeaseDelaysElection: a node that has peerLeaseGranted does not acquire a free zone.
func TestPeerLeaseDelaysElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		o := newSingleOwner(s)
		o.previousOwnerAddr, o.keyObserved, o.targetsReceived = otherAddr, true, true
		o.services = map[string]*route.Service{}
		pong := o.GrantPeerLease(fleet.Node{Zone: testZoneName, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: testZoneName})
		require.True(t, pong.Granted)
		assert.Equal(t, PeerLeaseTime, o.runElection(t.Context()), "it looks again when the promise is over")
		assert.Empty(t, s.Entries())
	})
}

// TestZoneStateIsBroadcastOnlyOnChange: a broadcast goes to every node, so that a
// large deployment bears no more of them than needed.
func TestZoneStateIsBroadcastOnlyOnChange(t *testing.T) {
	o, network, version := newSingleOwner(new(kvtest.Store)), new(fakeNetwork), int64(1)
	o.cfg.Network, o.cfg.Version = network, func() int64 { return version }
	tenure := o.startExpiredTerm()
	tenure.scheduler = scheduler.New(0)
	now := time.Now()
	for range 40 { // 4 s
		o.broadcastState(tenure, now)
		now = now.Add(100 * time.Millisecond)
	}
	require.Len(t, network.broadcasts, 1)
	assert.Equal(t, 1, network.broadcasts[0].(*wire.ZoneState).NodeCount, "the node itself")
	for i := range 3 {
		network.nodes = append(network.nodes, fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", 9-i))})
		now = now.Add(time.Second)
		o.broadcastState(tenure, now)
	}
	whole := 0
	var last wire.Message
	for _, m := range network.broadcasts {
		if _, ok := m.(*wire.ZoneState); ok {
			whole++
		}
		last = m
	}
	require.Len(t, network.broadcasts, 4, "all have to know how many there are")
	assert.LessOrEqual(t, whole, 2, "the others are told of the change alone")
	switch m := last.(type) {
	case *wire.ZoneState:
		assert.Equal(t, 4, m.NodeCount)
	case *wire.ZoneChange:
		assert.Equal(t, 4, m.NodeCount)
	}
	slices.Reverse(network.nodes)
	now = now.Add(time.Second)
	o.broadcastState(tenure, now)
	assert.Len(t, network.broadcasts, 4, "the order of the connections does not matter")
	version = 2
	now = now.Add(time.Second)
	o.broadcastState(tenure, now)
	require.Len(t, network.broadcasts, 5)
	now = now.Add(fullStateInterval)
	o.broadcastState(tenure, now)
	require.Len(t, network.broadcasts, 6)
	assert.IsType(t, new(wire.ZoneState), network.broadcasts[5], "in case a message was dropped")
}

// TestConnectingNodeReceivesFullState, and the changes that follow fit it.
func TestConnectingNodeReceivesFullState(t *testing.T) {
	o, network, version := newSingleOwner(new(kvtest.Store)), new(fakeNetwork), int64(1)
	o.cfg.Network, o.cfg.Version = network, func() int64 { return version }
	tenure := o.startExpiredTerm()
	tenure.scheduler = scheduler.New(0)
	now := time.Now()
	o.broadcastState(tenure, now)
	version = 2
	now = now.Add(minBroadcastInterval)
	o.broadcastState(tenure, now)
	o.AdoptRuns(fleet.Node{ID: "n2", Zone: "other"}, new(wire.ActiveRuns))
	require.Len(t, network.sent["n2"], 1)
	got := network.sent["n2"][0].(*wire.ZoneState)
	assert.EqualValues(t, 2, got.ConfigurationVersion)
	version = 3
	o.broadcastState(tenure, now.Add(minBroadcastInterval))
	change := network.broadcasts[len(network.broadcasts)-1].(*wire.ZoneChange)
	next, ok := got.Apply(change)
	require.True(t, ok)
	assert.EqualValues(t, 3, next.ConfigurationVersion)
}

// TestPreviousOwnerIsPreferredAfterSlowStart: hundreds of nodes that start at once need
// seconds to learn the targets; the ownerIndex before still comes first then.
func TestPreviousOwnerIsPreferredAfterSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		writePreviousOwner(t, s, previousOwnerRecord{Addr: otherAddr})
		o := newSingleOwner(s)
		o.previousOwnerAddr, o.services = otherAddr, map[string]*route.Service{}
		assert.Equal(t, time.Second, o.runElection(t.Context()), "it knows nothing yet")
		time.Sleep(2 * preferenceWindow)
		o.keyObserved, o.targetsReceived = true, true
		began := time.Now()
		o.runElection(t.Context())
		defer o.Abort()
		assert.GreaterOrEqual(t, time.Since(began), previousOwnerPreference)
		assert.True(t, o.IsOwner(), "the owner before stayed away")
	})
}
