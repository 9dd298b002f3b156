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

// The rules of ownership, one by one: a cluster hides what a single rule does,
// because another one often catches what it lets through.

// hall is a network that records what is broadcast.
type hall struct {
	nodes []fleet.Node
	told  []wire.Message
	// single are the messages to one node.
	single map[fleet.NodeID][]wire.Message
}

func (*hall) RequestPeerLease(context.Context, fleet.NodeID, *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error) {
	return new(wire.PeerLeaseResponse), nil
}
func (h *hall) Broadcast(m wire.Message) { h.told = append(h.told, m) }
func (h *hall) Connected() []fleet.Node  { return slices.Clone(h.nodes) }
func (h *hall) NodeCount() int           { return len(h.nodes) + 1 }
func (*hall) OtherZoneStoreLoads() int   { return 0 }
func (h *hall) Send(to fleet.NodeID, m wire.Message) {
	if h.single == nil {
		h.single = map[fleet.NodeID][]wire.Message{}
	}
	h.single[to] = append(h.single[to], m)
}

// The node under test, and another one.
const (
	ownAddr   = "10.0.0.1:1"
	otherAddr = "10.0.0.2:1"
)

func lone(s *kvtest.Store) *Owner {
	log := zerolog.Nop()
	return New(Config{
		Self: fleet.Node{ID: "n1", Zone: testZoneName, Incarnation: "i1", Addr: ownAddr}, CPUCapacity: 1, MinLease: time.Second, HandoverDelay: testPause,
		Zones: []fleet.Zone{testZoneName}, Store: s, Network: new(hall), Log: &log, Version: func() int64 { return 1 }, BootClock: time.Now,
	})
}

const testZoneName = "z"

// tenured gives the owner a tenure whose lease has lapsed.
func (o *Owner) tenured() *tenure {
	ctx, cancel := context.WithCancel(context.Background())
	t := &tenure{token: 1, lease: 1, ctx: ctx, cancel: cancel, waiting: nil}
	o.tenure = t
	return t
}

func writeLast(t *testing.T, s *kvtest.Store, r lastRecord) {
	value, err := json.Marshal(r)
	require.NoError(t, err)
	e, _ := s.Get(t.Context(), LastOwnerKey(testZoneName))
	_, err = s.Commit(t.Context(), kv.Change{
		Expect: map[string]kv.Revision{LastOwnerKey(testZoneName): e.ModRevision},
		Put:    []kv.Entry{{Key: LastOwnerKey(testZoneName), Value: value}},
	})
	require.NoError(t, err)
}

// TestRetakeOnlyWithoutAnOwnerBetween: the lease lapsed and the key is free
// again. If another node was the owner meanwhile, it may have given orders.
func TestRetakeOnlyWithoutAnOwnerBetween(t *testing.T) {
	for last, stays := range map[string]bool{ownAddr: true, otherAddr: false} {
		s := new(kvtest.Store)
		writeLast(t, s, lastRecord{Addr: last})
		o := lone(s)
		o.retake(o.tenured())
		_, err := s.Get(t.Context(), OwnerKey(testZoneName))
		if stays {
			assert.NotNil(t, o.tenure)
			assert.NoError(t, err)
			continue
		}
		assert.Nil(t, o.tenure, "the tenure ends")
		assert.ErrorIs(t, err, kv.ErrNotFound, "and the key is given up")
	}
}

// TestRetakeWhileTheServiceIsAway neither ends the tenure nor extends it.
func TestRetakeWhileTheServiceIsAway(t *testing.T) {
	s := new(kvtest.Store)
	s.SetDown(true)
	o := lone(s)
	tenure := o.tenured()
	o.retake(tenure)
	assert.Same(t, tenure, o.tenure)
	assert.False(t, o.tenure.authority.until(time.Now()).After(time.Now()))
}

// TestPauseOfANewOwner: how long after the taking the first order may come.
func TestPauseOfANewOwner(t *testing.T) {
	taken := time.Unix(1_700_000_000, 0)
	pause := testPause + pauseMargin
	for name, c := range map[string]struct {
		last       lastRecord
		promisedTo string
		want       time.Duration
	}{
		"no owner before":                          {lastRecord{}, "", 0},
		"the same node":                            {lastRecord{Addr: ownAddr}, "", 0},
		"the same node, its own pause not over":    {lastRecord{Addr: ownAddr, Pending: true}, "", pause + leaseTime},
		"another node, which had a promise":        {lastRecord{Addr: otherAddr}, otherAddr, pause},
		"another node without a promise from here": {lastRecord{Addr: otherAddr}, "", pause + leaseTime},
		"a promise to an earlier owner":            {lastRecord{Addr: otherAddr}, "10.0.0.3:1", pause + leaseTime},
		"a planned stop":                           {lastRecord{Addr: otherAddr, Age: testPause / 2}, "", testPause/2 + pauseMargin},
		"a planned stop long after its last order": {lastRecord{Addr: otherAddr, Age: time.Hour}, "", 0},
		"an unreadable record":                     {lastRecord{Addr: "unreadable"}, "", pause + leaseTime},
	} {
		o := lone(new(kvtest.Store))
		o.promisedTo = c.promisedTo
		assert.Equal(t, c.want, o.ordersFrom(c.last, taken).Sub(taken), name)
	}
}

// TestWhoGetsPromises: an owner that does not know of its successor must get
// none, or it would go on beside it.
func TestWhoGetsPromises(t *testing.T) {
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
			o := lone(new(kvtest.Store))
			o.lastAddr, o.held, o.known = c.last, c.held, true
			if c.own {
				o.tenured()
			}
			pong := o.GrantPeerLease(from, &wire.PeerLeaseRequest{Zone: c.zone, Token: 5})
			assert.Equal(t, c.want, pong.Granted, name)
			assert.Equal(t, c.want, time.Until(o.promisedUntil) == PeerLeaseTime, "a promise binds this node")
		})
	}
}

// TestPromiseHoldsBack: a node that has promised does not take a free zone.
func TestPromiseHoldsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		o := lone(s)
		o.lastAddr, o.known, o.ready = otherAddr, true, true
		o.services = map[string]*route.Service{}
		pong := o.GrantPeerLease(fleet.Node{Zone: testZoneName, Addr: otherAddr}, &wire.PeerLeaseRequest{Zone: testZoneName})
		require.True(t, pong.Granted)
		assert.Equal(t, PeerLeaseTime, o.campaign(t.Context()), "it looks again when the promise is over")
		assert.Empty(t, s.Entries())
	})
}

// TestStateIsToldWhenItChanges: a broadcast goes to every node, so that a
// large deployment bears no more of them than needed.
func TestStateIsToldWhenItChanges(t *testing.T) {
	o, network, version := lone(new(kvtest.Store)), new(hall), int64(1)
	o.cfg.Network, o.cfg.Version = network, func() int64 { return version }
	tenure := o.tenured()
	tenure.scheduler = scheduler.New(0)
	now := time.Now()
	for range 40 { // 4 s
		o.tellState(tenure, now)
		now = now.Add(100 * time.Millisecond)
	}
	require.Len(t, network.told, 1)
	assert.Equal(t, 1, network.told[0].(*wire.ZoneState).NodeCount, "the node itself")
	for i := range 3 {
		network.nodes = append(network.nodes, fleet.Node{ID: fleet.NodeID(fmt.Sprint("n", 9-i))})
		now = now.Add(time.Second)
		o.tellState(tenure, now)
	}
	whole := 0
	var last wire.Message
	for _, m := range network.told {
		if _, ok := m.(*wire.ZoneState); ok {
			whole++
		}
		last = m
	}
	require.Len(t, network.told, 4, "all have to know how many there are")
	assert.LessOrEqual(t, whole, 2, "the others are told of the change alone")
	switch m := last.(type) {
	case *wire.ZoneState:
		assert.Equal(t, 4, m.NodeCount)
	case *wire.ZoneChange:
		assert.Equal(t, 4, m.NodeCount)
	}
	slices.Reverse(network.nodes)
	now = now.Add(time.Second)
	o.tellState(tenure, now)
	assert.Len(t, network.told, 4, "the order of the connections does not matter")
	version = 2
	now = now.Add(time.Second)
	o.tellState(tenure, now)
	require.Len(t, network.told, 5)
	now = now.Add(stateRefresh)
	o.tellState(tenure, now)
	require.Len(t, network.told, 6)
	assert.IsType(t, new(wire.ZoneState), network.told[5], "in case a message was dropped")
}

// TestNodeThatConnectsGetsTheWholeState, and the changes that follow fit it.
func TestNodeThatConnectsGetsTheWholeState(t *testing.T) {
	o, network, version := lone(new(kvtest.Store)), new(hall), int64(1)
	o.cfg.Network, o.cfg.Version = network, func() int64 { return version }
	tenure := o.tenured()
	tenure.scheduler = scheduler.New(0)
	now := time.Now()
	o.tellState(tenure, now)
	version = 2
	now = now.Add(stateInterval)
	o.tellState(tenure, now)
	o.AdoptRuns(fleet.Node{ID: "n2", Zone: "other"}, new(wire.ActiveRuns))
	require.Len(t, network.single["n2"], 1)
	got := network.single["n2"][0].(*wire.ZoneState)
	assert.EqualValues(t, 2, got.ConfigurationVersion)
	version = 3
	o.tellState(tenure, now.Add(stateInterval))
	change := network.told[len(network.told)-1].(*wire.ZoneChange)
	next, ok := got.Apply(change)
	require.True(t, ok)
	assert.EqualValues(t, 3, next.ConfigurationVersion)
}

// TestPreferenceHoldsAfterASlowStart: hundreds of nodes that start at once need
// seconds to learn the targets; the owner before still comes first then.
func TestPreferenceHoldsAfterASlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := new(kvtest.Store)
		writeLast(t, s, lastRecord{Addr: otherAddr})
		o := lone(s)
		o.lastAddr, o.services = otherAddr, map[string]*route.Service{}
		assert.Equal(t, time.Second, o.campaign(t.Context()), "it knows nothing yet")
		time.Sleep(2 * freshTime)
		o.known, o.ready = true, true
		began := time.Now()
		o.campaign(t.Context())
		defer o.Abort()
		assert.GreaterOrEqual(t, time.Since(began), preference)
		assert.True(t, o.IsOwner(), "the owner before stayed away")
	})
}
