package placement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondturn/fleet"
)

func limitsAt(revision uint64, v1, v2 int) Limits {
	return Limits{Team: "team", Revision: revision, Max: map[string]int{"1": v1, "2": v2}}
}

// TestRecordNeverGrowsBeyondTheLimits applies random transitions by owners
// whose catalogs differ.
func TestRecordNeverGrowsBeyondTheLimits(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20261204"))
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			l := limitsAt(rapid.Uint64Range(1, 3).Draw(t, "revision"), 0, 0)
			l.Max["1"] = int(l.Revision) - 1 // limits rise with the revision
			l.Max["2"] = 3 - int(l.Revision) // and those of the other version fall
			target := fleet.TargetID(fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "target")))
			version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			before := r
			next, err := step(t, r, l, target, version)
			if err != nil {
				continue
			}
			r = next
			grew := len(r.Slots) > len(before.Slots)
			require.False(t, grew && len(r.Slots) > l.Total(), "bound beyond the total")
			require.False(t, grew && r.count(version, len(r.Slots)) > l.Max[version], "bound beyond the version's limit")
			require.GreaterOrEqual(t, r.LimitRevision, before.LimitRevision)
		}
	})
}

func step(t *rapid.T, r Record, l Limits, target fleet.TargetID, version string) (Record, error) {
	mark := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "mark")
	switch rapid.IntRange(0, 3).Draw(t, "transition") {
	case 0:
		return r.MarkReleasing(target, version, mark, l)
	case 1:
		return r.Remove(target, version, mark)
	}
	return r.Bind(Slot{Target: target, Version: version, MemoryBytes: 1}, l)
}

func TestRemovalNeedsTheOwnMark(t *testing.T) {
	l := limitsAt(1, 2, 0)
	r, err := Record{}.Bind(Slot{Target: "t", Version: "1"}, l)
	require.NoError(t, err)
	r, err = r.MarkReleasing("t", "1", "old owner", l)
	require.NoError(t, err)
	assert.False(t, r.MayLoad("t", "1", 0, l))
	r, err = r.Bind(Slot{Target: "t", Version: "1"}, l) // the new owner takes it back
	require.NoError(t, err)
	r, err = r.MarkReleasing("t", "1", "new owner", l)
	require.NoError(t, err)
	_, err = r.Remove("t", "1", "old owner")
	require.ErrorIs(t, err, ErrNotOurs)
	r, err = r.Remove("t", "1", "new owner")
	require.NoError(t, err)
	assert.Empty(t, r.Slots)
}

func TestLoweredLimitStopsLoadsUntilItIsStampedAndSurplusIsGone(t *testing.T) {
	high, low := limitsAt(1, 2, 0), limitsAt(2, 1, 0)
	r, err := Record{}.Bind(Slot{Target: "a", Version: "1"}, high)
	require.NoError(t, err)
	assert.False(t, r.MayLoad("a", "1", 0, low), "a node with the old limit could still bind")
	r = r.Stamp(low)
	assert.True(t, r.MayLoad("a", "1", 0, low))
	_, err = r.Bind(Slot{Target: "b", Version: "1"}, high)
	require.ErrorIs(t, err, ErrCatalogBehind)

	r, err = Record{}.Bind(Slot{Target: "a", Version: "1"}, high)
	require.NoError(t, err)
	r, err = r.Bind(Slot{Target: "b", Version: "1"}, high)
	require.NoError(t, err)
	r = r.Stamp(low)
	assert.False(t, r.MayLoad("a", "1", 0, low), "the surplus replica may still be loaded")
	assert.False(t, r.Surplus(0, low))
	assert.True(t, r.Surplus(1, low))
}

func TestNewVersionWaitsForSlotsOfTheOld(t *testing.T) {
	r, err := Record{}.Bind(Slot{Target: "a", Version: "1"}, limitsAt(1, 1, 0))
	require.NoError(t, err)
	_, err = r.Bind(Slot{Target: "b", Version: "2"}, limitsAt(2, 0, 1))
	require.ErrorIs(t, err, ErrLimitReached)
}

func TestEvictSparesWhatIsNotNeeded(t *testing.T) {
	key := func(m string) fleet.ReplicaKey { return fleet.ReplicaKey{Service: "s", Model: m} }
	idle := []Idle{
		{Keys: []fleet.ReplicaKey{key("a")}, MemoryBytes: 1, Remaining: -time.Minute},
		{Keys: []fleet.ReplicaKey{key("b")}, MemoryBytes: 5, Remaining: time.Second},
		{Keys: []fleet.ReplicaKey{key("c")}, MemoryBytes: 5, Remaining: time.Hour},
	}
	got, ok := Evict(idle, 5)
	require.True(t, ok)
	assert.Equal(t, []fleet.ReplicaKey{key("b")}, got, "b alone is enough, and c is missed more")
	got, ok = Evict(idle, 10)
	require.True(t, ok)
	assert.Equal(t, []fleet.ReplicaKey{key("b"), key("c")}, got)
	_, ok = Evict(idle, 12)
	assert.False(t, ok)
}

func TestChooseTargetPrefersTheNearestCheckpoint(t *testing.T) {
	key := fleet.ReplicaKey{Service: "s", Model: "m"}
	engine := func(id string, s fleet.TargetState) Candidate {
		s.MemoryBytes = 10 << 30
		return Candidate{Target: fleet.Target{ID: fleet.TargetID(id), Zone: "a", Kind: fleet.TargetEngine}, State: s}
	}
	disk := engine("disk", fleet.TargetState{OnDisk: []string{"m"}})
	memory := engine("memory", fleet.TargetState{InMemory: []string{"m"}})
	remote := engine("remote", fleet.TargetState{})
	leaving := engine("leaving", fleet.TargetState{InMemory: []string{"m"}, Leaving: true})
	full := engine("full", fleet.TargetState{Replicas: []fleet.ReplicaState{{Key: fleet.ReplicaKey{Model: "x"}, Phase: fleet.ReplicaLoaded, MemoryBytes: 8 << 30, Running: 1}}})
	remote.Slots = []fleet.ReplicaKey{key}
	all := []Candidate{remote, leaving, disk, full, memory}
	w := Wanted{Key: key, MemoryBytes: 4 << 30, Zone: "a"}
	assert.Equal(t, []fleet.TargetID{"memory", "disk", "remote"}, ChooseTarget(all, w, DefaultCosts()))
	w.BoundOnly = true
	assert.Equal(t, []fleet.TargetID{"remote"}, ChooseTarget(all, w, DefaultCosts()))
	assert.False(t, Crowded(all, w))
	full.Slots = []fleet.ReplicaKey{key}
	assert.True(t, Crowded([]Candidate{full, memory}, w), "the slot moves rather than another replica")
}

func TestBudgetServesDemandFirstAndLapses(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(10, 1, now)
	b.Ask("prefetch", true)
	b.Ask("demand", false)
	id, ok := b.Next(now, time.Minute)
	require.True(t, ok)
	assert.Equal(t, "demand", id)
	_, ok = b.Next(now, time.Minute)
	assert.False(t, ok, "one at a time")
	assert.False(t, b.Lend("other zone", now, time.Minute), "somebody waits here")
	now = now.Add(2 * time.Minute) // the holder of the permit is gone
	id, ok = b.Next(now, time.Minute)
	require.True(t, ok)
	assert.Equal(t, "prefetch", id)
	b.Return("prefetch")
	assert.True(t, b.Lend("other zone", now, time.Minute))
	assert.Equal(t, 4, Share(4, 3, 0)+Share(4, 3, 1)+Share(4, 3, 2))
}
