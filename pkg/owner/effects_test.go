package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/target"
	"almondturn/wire"
)

var tea = fleet.ReplicaKey{Service: "listing", Model: "tea", Version: "1"}

const teaBytes = 1 << 30

// newOwner returns a machine that owns a target whose engine ignores fencing
// numbers, in epoch 2, with an empty engine read just before.
func newOwner(h hooks) *Machine {
	m := NewMachine("n2", "t1", DefaultOptions(), FixedKeepAlive(time.Hour))
	m.hooks = h
	m.env = Env{
		Now: time.Unix(1000, 0), Epoch: 2, Owner: true, Platform: true,
		EntryNodes: []fleet.NodeID{"n1", "n2"}, EntryKnown: true, Target: fleet.Target{ID: "t1"},
	}
	m.beginTakeover()
	m.stage = stageReady
	m.engine.known, m.engine.fresh = true, true
	m.engine.state = fleet.TargetState{Incarnation: "first", MemoryBytes: 4 * teaBytes}
	readEngine(m)
	return m
}

// readEngine answers a fence order that was sent now.
func readEngine(m *Machine, loaded ...fleet.ReplicaKey) {
	s := fleet.TargetState{Incarnation: "first", MemoryBytes: 4 * teaBytes}
	for _, k := range loaded {
		s.Replicas = append(s.Replicas, fleet.ReplicaState{Key: k, Phase: fleet.ReplicaLoaded, MemoryBytes: teaBytes})
	}
	m.adoptState(s, &pendingOrder{generation: m.orders.generation, order: target.Order{Sequence: 1 << 20}})
}

// abandonLoad returns a load's call without an outcome.
func abandonLoad(m *Machine) {
	m.send(target.OrderLoad, tea, teaBytes, "")
	for id := range m.orders.pending {
		m.orderReturned(OrderReturned{ID: id, Outcome: OrderUnknown})
	}
}

func rosterCalls(m *Machine) int {
	n := 0
	for _, a := range m.actions {
		if _, ok := a.(ReadRoster); ok {
			n++
		}
	}
	return n
}

// TestSettlementEndsWithALaterState: the former owner's last load succeeded
// after this owner had read the engine (spec/placement.pml, SKIP_SETTLE_SYNC).
func TestSettlementEndsWithALaterState(t *testing.T) {
	for _, skip := range []bool{true, false} {
		m := newOwner(hooks{skipSettleState: skip})
		m.settleAnswered(SettleAnswered{Node: "n1", Settled: &wire.Settled{Epoch: 2}})
		m.env.Now = m.env.Now.Add(2 * m.opts.OrderLifetime)
		m.advanceSettlement()
		require.Equal(t, skip, m.settle.done)
		if skip {
			assert.True(t, m.absent(tea, 0), "the checker's fault: the slot could be removed")
			continue
		}
		readEngine(m, tea)
		m.advanceSettlement()
		require.True(t, m.settle.done)
		assert.False(t, m.absent(tea, 0))
	}
}

// TestDirectHandOverEndsWithALaterState: the same when the former owner alone
// accounts for all orders.
func TestDirectHandOverEndsWithALaterState(t *testing.T) {
	m := newOwner(hooks{})
	m.env.PreviousOwner, m.env.PreviousEpoch = "n1", 1
	m.settleAnswered(SettleAnswered{Node: "n1", Settled: &wire.Settled{Epoch: 2, Owned: 1, Clean: true}})
	m.advanceSettlement()
	require.False(t, m.settle.done)
	readEngine(m)
	m.advanceSettlement()
	require.True(t, m.settle.done)
}

// TestHandedOverLoadIsNotClearedByPresence: FORGET_AMBIGUOUS.
func TestHandedOverLoadIsNotClearedByPresence(t *testing.T) {
	for _, trust := range []bool{true, false} {
		m := newOwner(hooks{trustHandedOver: trust})
		m.settleAnswered(SettleAnswered{Node: "n1", Settled: &wire.Settled{Epoch: 2, Floating: []fleet.ReplicaKey{tea}}})
		m.settle.done = true
		readEngine(m, tea)
		m.advanceEffects()
		m.effectsConfirmed(RosterRead{Op: m.orders.effectCall, Epoch: 2})
		assert.Equal(t, trust, m.orders.floating[tea] == nil)
	}
}

// TestPresenceNeedsARosterRead: a superseded owner sees the replica that its
// successor loaded (PRESENCE_CLEARS).
func TestPresenceNeedsARosterRead(t *testing.T) {
	m := newOwner(hooks{})
	m.settle.done = true
	abandonLoad(m)
	readEngine(m, tea)
	require.NotNil(t, m.orders.floating[tea])
	m.advanceEffects()
	require.Equal(t, 1, rosterCalls(m))
	m.effectsConfirmed(RosterRead{Op: m.orders.effectCall, Epoch: 3})
	assert.NotNil(t, m.orders.floating[tea], "another owner may have loaded it")
	assert.False(t, m.owner)

	m = newOwner(hooks{})
	m.settle.done = true
	abandonLoad(m)
	readEngine(m, tea)
	m.advanceEffects()
	m.effectsConfirmed(RosterRead{Op: m.orders.effectCall, Epoch: 2})
	assert.Nil(t, m.orders.floating[tea])

	m = newOwner(hooks{skipEffectRoster: true})
	m.settle.done = true
	abandonLoad(m)
	readEngine(m, tea)
	m.advanceEffects()
	assert.Nil(t, m.orders.floating[tea], "the checker's fault: cleared without a look at the roster")
}

// TestLoadSentBeforeSettlementIsAmbiguous: PRESENCE_UNSETTLED.
func TestLoadSentBeforeSettlementIsAmbiguous(t *testing.T) {
	for _, trust := range []bool{true, false} {
		m := newOwner(hooks{trustUnsettled: trust})
		abandonLoad(m)
		m.settle.done = true
		readEngine(m, tea)
		m.advanceEffects()
		m.effectsConfirmed(RosterRead{Op: m.orders.effectCall, Epoch: 2})
		assert.Equal(t, trust, m.orders.floating[tea] == nil)
	}
}
