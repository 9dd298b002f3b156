package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

var key = fleet.ReplicaKey{Service: "s", Model: "m"}

func newDirectory() (*Directory, *peer.Router, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	router := peer.NewRouter()
	return New(DefaultOptions(), router, clock, zerolog.Nop()), router, clock
}

func update(target string, epoch fleet.Epoch, sequence uint64, keys ...fleet.ReplicaKey) *wire.TargetUpdate {
	u := &wire.TargetUpdate{
		Target: fleet.Target{ID: fleet.TargetID(target), Zone: "z1"},
		Owner:  "n1", Epoch: epoch, Sequence: sequence,
	}
	for _, k := range keys {
		u.State.Replicas = append(u.State.Replicas, fleet.ReplicaState{Key: k, Phase: fleet.ReplicaLoaded})
	}
	return u
}

func targetsOf(cs []Candidate) []string {
	var out []string
	for _, c := range cs {
		out = append(out, string(c.Target.ID))
	}
	return out
}

func TestUpdatesAreOrderedByEpochAndSequence(t *testing.T) {
	d, _, _ := newDirectory()
	require.True(t, d.Apply(update("t1", 2, 5, key)))
	assert.Equal(t, []string{"t1"}, targetsOf(d.Replicas(key)))
	assert.False(t, d.Apply(update("t1", 2, 5)), "repeated")
	assert.False(t, d.Apply(update("t1", 2, 4)), "late")
	assert.False(t, d.Apply(update("t1", 1, 99)), "from a former owner")
	second := update("t1", 2, 6)
	second.Owner = "n2"
	assert.False(t, d.Apply(second), "an epoch has one owner")
	assert.Len(t, d.Replicas(key), 1)
	assert.True(t, d.Apply(update("t1", 3, 1)), "a new owner starts its sequence anew")
	assert.Empty(t, d.Replicas(key))
}

func TestLeavingIsTheUnionOfItsSources(t *testing.T) {
	d, _, _ := newDirectory()
	d.Apply(update("t1", 1, 1, key))
	leavingBy := func() string { target, _ := d.Lookup("t1"); return target.LeavingBy }

	d.ApplyLeaving(&wire.Leaving{Target: "t1", Source: SourceOperator})
	assert.Empty(t, d.Replicas(key))
	assert.Equal(t, SourceOperator, leavingBy())
	u := update("t1", 1, 2, key)
	u.State.Leaving = true
	d.Apply(u)
	assert.Equal(t, SourceOperator, leavingBy(), "the first source stays named")
	d.ApplyLeaving(&wire.Leaving{Target: "t1", Source: SourceOperator, Cancelled: true})
	assert.Equal(t, SourceEngine, leavingBy())
	d.Apply(update("t1", 1, 3, key))
	assert.Len(t, d.Replicas(key), 1)
	d.SetTargets([]fleet.Target{{ID: "t1", Zone: "z1", Leaving: true}})
	assert.Equal(t, SourceList, leavingBy())
	d.SetTargets(nil)
	_, ok := d.Lookup("t1")
	assert.False(t, ok)
	assert.Empty(t, d.Replicas(key))
}

func TestDrainBeforeTheTargetIsKnown(t *testing.T) {
	d, router, _ := newDirectory()
	_, err := router.Dispatch(context.Background(), fleet.Node{}, &wire.Leaving{Target: "t1", Source: SourceOperator})
	require.NoError(t, err)
	d.Apply(update("t1", 1, 1, key))
	assert.Empty(t, d.Replicas(key))
	assert.Len(t, d.Drains(), 1)
}

// TestLateDrainDoesNotUndoItsCancellation: a node that missed the
// cancellation greets the others with the drain.
func TestLateDrainDoesNotUndoItsCancellation(t *testing.T) {
	d, _, _ := newDirectory()
	d.Apply(update("t1", 1, 1, key))
	drain := wire.Leaving{Target: "t1", Source: SourceOperator, DecidedUnixMillis: 10}
	cancel := wire.Leaving{Target: "t1", Source: SourceOperator, Cancelled: true, DecidedUnixMillis: 20}
	for _, l := range []wire.Leaving{drain, cancel, drain} {
		d.ApplyLeaving(&l)
	}
	assert.Len(t, d.Replicas(key), 1)
}

func TestEnginesNewsHoldsUntilTheNextUpdate(t *testing.T) {
	d, _, _ := newDirectory()
	d.Apply(update("t1", 1, 1, key))
	d.ApplyLeaving(&wire.Leaving{Target: "t1", Source: SourceEngine})
	assert.Empty(t, d.Replicas(key))
	d.Apply(update("t1", 1, 2, key))
	assert.Len(t, d.Replicas(key), 1)
}

func TestUnusableReplicasAreNoCandidates(t *testing.T) {
	d, _, clock := newDirectory()
	d.Apply(update("t1", 1, 1, key))
	unreachable := update("t2", 1, 1, key)
	unreachable.Unreachable = true
	d.Apply(unreachable)
	draining := update("t3", 1, 1, key)
	draining.Draining = []fleet.ReplicaKey{key}
	d.Apply(draining)
	loading := update("t4", 1, 1, key)
	loading.State.Replicas[0].Phase = fleet.ReplicaLoading
	d.Apply(loading)
	assert.Equal(t, []string{"t1"}, targetsOf(d.Replicas(key)))
	assert.False(t, d.Replicas(key)[0].Stale)
	clock.now = clock.now.Add(time.Minute)
	assert.True(t, d.Replicas(key)[0].Stale)
	assert.Len(t, d.Targets("z1"), 4)
	assert.Empty(t, d.Targets("z2"))
}

func TestPlainServicesAreFoundByName(t *testing.T) {
	d, _, _ := newDirectory()
	d.SetTargets([]fleet.Target{
		{ID: "p1", Zone: "z1", Kind: fleet.TargetPlain, Service: "desk"},
		{ID: "p2", Zone: "z1", Kind: fleet.TargetPlain, Service: "desk", Leaving: true},
		{ID: "t1", Zone: "z1", Kind: fleet.TargetEngine, Service: "desk"},
	})
	plain := d.Plain("desk")
	require.Len(t, plain, 1)
	assert.Equal(t, fleet.TargetID("p1"), plain[0].ID)
	_, ok := d.Working("p2")
	assert.False(t, ok)
	d.SetTargets(nil)
	assert.Empty(t, d.Plain("desk"))
}

func TestObservationFillsInForAnOwnerThatIsGone(t *testing.T) {
	d, _, clock := newDirectory()
	observe := func(sequence uint64, keys ...fleet.ReplicaKey) bool {
		u := update("t1", 9, sequence, keys...)
		u.Owner, u.Observed = "", true
		return d.Apply(u)
	}
	d.Apply(update("t1", 2, 5))
	assert.False(t, observe(1000, key), "the owner has just reported")
	clock.now = clock.now.Add(6 * time.Second)
	assert.True(t, observe(1000, key))
	assert.Len(t, d.Replicas(key), 1)
	assert.False(t, observe(999), "late")
	assert.False(t, d.Apply(update("t1", 1, 99)), "a former owner")
	assert.True(t, d.isMissedLocked(wire.TargetReport{Target: "t1", Epoch: 2, Sequence: 5}))
	assert.True(t, d.Apply(update("t1", 2, 6)), "the owner is back in the same epoch")
	assert.Empty(t, d.Replicas(key))
}

func TestSubscribersHearOfReplicasAndNotOfLoad(t *testing.T) {
	d, _, _ := newDirectory()
	ch := d.Subscribe()
	d.Apply(update("t1", 1, 1, key))
	require.Len(t, ch, 1)
	<-ch
	u := update("t1", 1, 2, key)
	u.State.Running = 7
	d.Apply(u)
	assert.Empty(t, ch)
	d.Apply(update("t1", 1, 3))
	assert.Len(t, ch, 1)
}

func fill(d *Directory, targets, perTarget int) []fleet.ReplicaKey {
	var keys []fleet.ReplicaKey
	for i := range targets {
		u := update(fmt.Sprintf("t%d", i), 1, 1)
		for j := range perTarget {
			k := fleet.ReplicaKey{Service: "s", Model: "m", Adapter: fmt.Sprintf("a%d", (i*perTarget+j)%20000)}
			keys = append(keys, k)
			u.State.Replicas = append(u.State.Replicas, fleet.ReplicaState{Key: k, Phase: fleet.ReplicaLoaded})
		}
		d.Apply(u)
	}
	return keys
}

func BenchmarkReplicas(b *testing.B) {
	d, _, _ := newDirectory()
	keys := fill(d, 1500, 20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			d.Replicas(keys[i%len(keys)])
		}
	})
}

func BenchmarkApplyLoad(b *testing.B) {
	d, _, _ := newDirectory()
	fill(d, 1500, 20)
	u := update("t7", 1, 1)
	e, _ := d.Lookup("t7")
	u.State.Replicas = e.State.Replicas
	b.ReportAllocs()
	for b.Loop() {
		u.Sequence++
		d.Apply(u)
	}
}
