package catalog

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
)

// hookKV runs a hook before each compare-and-swap and before each delete.
type hookKV struct {
	platform.KV
	hook     func(key string)
	onDelete func(key string)
}

func (h *hookKV) Delete(ctx context.Context, key string, expect platform.Revision) error {
	if h.onDelete != nil {
		h.onDelete(key)
	}
	return h.KV.Delete(ctx, key, expect)
}

func (h *hookKV) CompareAndSwap(ctx context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if h.hook != nil {
		h.hook(key)
	}
	return h.KV.CompareAndSwap(ctx, key, value, expect, lease)
}

func testOptions() Options {
	o := DefaultOptions()
	o.WriteRetry = time.Millisecond
	return o
}

func newTestRepository(store platform.KV) *Repository {
	return NewRepository(testOptions(), store, platform.SystemClock{}, nil)
}

func team(name string, services ...string) *TeamSpec {
	spec := &TeamSpec{Team: fleet.Team(name)}
	for _, s := range services {
		spec.Services = append(spec.Services, ServiceSpec{Name: fleet.Service(s), Kind: fleet.TargetEngine, Models: []ModelSpec{{Name: "m", MemoryBytes: 1, MaxReplicas: 1}}})
	}
	return spec
}

func withReplicas(spec *TeamSpec, n int) *TeamSpec {
	spec.Services[0].Models[0].MaxReplicas = n
	return spec
}

func apply(r *Repository, spec *TeamSpec, expect uint64) (*Committed, error) {
	return r.Apply(context.Background(), Change{Spec: spec, Expect: expect, Author: "test"})
}

func mustApply(t testing.TB, r *Repository, spec *TeamSpec, expect uint64) *Committed {
	t.Helper()
	c, err := apply(r, spec, expect)
	require.NoError(t, err)
	return c
}

// checkStored verifies that the head and its whole history can be read, and
// that every service name of a head is claimed by its team.
func checkStored(t *testing.T, store *kv.Store, teams ...fleet.Team) {
	t.Helper()
	r := newTestRepository(store)
	for _, name := range teams {
		spec, head, err := r.Read(context.Background(), name)
		require.NoError(t, err)
		for _, p := range head.History {
			_, err := r.ReadRevision(context.Background(), name, p.Revision)
			require.NoError(t, err, "%s at %d", name, p.Revision)
		}
		for key := range nameKeys(spec) {
			e, err := store.Get(context.Background(), key)
			require.NoError(t, err)
			var claim nameClaim
			require.NoError(t, decMode.Unmarshal(e.Value, &claim))
			require.Equal(t, name, claim.Team)
		}
	}
}

func TestApplyConflictShowsBothSides(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	r := newTestRepository(store)
	require.EqualValues(t, 1, mustApply(t, r, team("a", "s"), 0).Head.Revision)
	require.EqualValues(t, 2, mustApply(t, r, withReplicas(team("a", "s"), 5), 1).Head.Revision)
	_, err := apply(r, withReplicas(team("a", "s", "more"), 7), 1)
	require.Equal(t, fault.RevisionConflict, fault.KindOf(err))
	for _, want := range []string{
		"+++ revision 2 (accepted)\n-services[s].models[m].max_replicas: 1\n+services[s].models[m].max_replicas: 5",
		"+++ yours\n+services[more].class: 0",
		"+services[s].models[m].max_replicas: 7",
		"changed on both sides: services[s].models[m].max_replicas",
	} {
		assert.Contains(t, err.Error(), want)
	}
	again := mustApply(t, r, withReplicas(team("a", "s"), 5), 2)
	assert.True(t, again.Unchanged, "the same subtree makes no new revision")
	checkStored(t, store, "a")
}

func TestApplySettlesLostAnswers(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		store := kv.New(platform.SystemClock{})
		r := newTestRepository(store)
		mustApply(t, r, team("a", "s"), 0)
		store.SetFaults(kv.Faults{LoseAnswers: lost})
		c := mustApply(t, r, withReplicas(team("a", "s", "t"), 3), 1)
		assert.EqualValues(t, 2, c.Head.Revision, "lost %d", lost)
		_, head, err := r.Read(context.Background(), "a")
		require.NoError(t, err)
		assert.EqualValues(t, 2, head.Revision, "accepted exactly once")
		checkStored(t, store, "a")
	}
}

// The answer of the head's write is lost, and before the writer reads back,
// another operator's change is accepted on top.
func TestApplyFindsItsLostWriteInHistory(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hooked := &hookKV{KV: store}
	r := newTestRepository(hooked)
	heads := 0
	hooked.hook = func(key string) {
		if !strings.HasPrefix(key, prefixHead) {
			return
		}
		heads++
		switch heads {
		case 1:
			store.SetFaults(kv.Faults{LoseAnswers: 1})
		case 2:
			mustApply(t, newTestRepository(store), withReplicas(team("a", "s"), 9), 1)
		}
	}
	c, err := r.Apply(context.Background(), Change{Spec: team("a", "s"), WriteID: "w1"})
	require.NoError(t, err)
	revision, ok := c.Head.revisionOf("w1")
	assert.True(t, ok)
	assert.EqualValues(t, 1, revision)
	assert.EqualValues(t, 2, c.Head.Revision)
	spec, err := decodeTeam(dataOf(c.Chunks))
	require.NoError(t, err)
	assert.Equal(t, 9, spec.Services[0].Models[0].MaxReplicas, "what is handed on is the accepted head's content")
}

func TestApplyRepeatedWithSameWriteID(t *testing.T) {
	r := newTestRepository(kv.New(platform.SystemClock{}))
	change := Change{Spec: team("a", "s"), WriteID: "w1"}
	first, err := r.Apply(context.Background(), change)
	require.NoError(t, err)
	second, err := r.Apply(context.Background(), change)
	require.NoError(t, err)
	assert.Equal(t, first.Head.Revision, second.Head.Revision)
}

func TestApplyWhileServiceIsDown(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hooked := &hookKV{KV: store}
	r := newTestRepository(hooked)
	store.SetFaults(kv.Faults{Down: true})
	_, err := apply(r, team("a", "s"), 0)
	require.Equal(t, fault.PlatformUnavailable, fault.KindOf(err))
	store.SetFaults(kv.Faults{})
	hooked.hook = func(key string) {
		if strings.HasPrefix(key, prefixHead) {
			store.SetFaults(kv.Faults{Down: true})
		}
	}
	_, err = apply(r, team("a", "s"), 0)
	require.Equal(t, fault.PlatformUnavailable, fault.KindOf(err))
	store.SetFaults(kv.Faults{})
	hooked.hook = nil
	require.EqualValues(t, 1, mustApply(t, r, team("a", "s"), 0).Head.Revision, "nothing had been accepted")
}

// The head's answer is lost and the service then goes down: the operator is
// told that the outcome is unknown, and a repeat settles it.
func TestApplyOutcomeUnknownIsSettledByRepeat(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	hooked := &hookKV{KV: store}
	r := newTestRepository(hooked)
	ctx, cancel := context.WithCancel(context.Background())
	heads := 0
	hooked.hook = func(key string) {
		if !strings.HasPrefix(key, prefixHead) {
			return
		}
		heads++
		store.SetFaults(kv.Faults{LoseAnswers: 1})
		if heads == 2 {
			store.SetFaults(kv.Faults{Down: true})
			cancel()
		}
	}
	change := Change{Spec: team("a", "s"), WriteID: "w1"}
	_, err := r.Apply(ctx, change)
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
	hooked.hook = nil
	store.SetFaults(kv.Faults{})
	c, err := r.Apply(context.Background(), change)
	require.NoError(t, err)
	assert.EqualValues(t, 1, c.Head.Revision)
}

// Operators race on one subtree and on one service name from two teams. Every
// accepted change must follow the one before, and a name has one team.
func TestApplyRaces(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	const writers, rounds = 6, 12
	for i := range writers {
		wg.Go(func() {
			r := newTestRepository(store)
			name := fleet.Team([]string{"a", "b"}[i%2])
			for round := range rounds {
				_, head, err := r.Read(context.Background(), name)
				if err != nil {
					continue
				}
				spec := withReplicas(team(string(name), "own-"+string(name)), i*rounds+round+1)
				if round%2 == 0 {
					spec.Services = append(spec.Services, team("x", "shared").Services...)
				}
				if c, err := apply(r, spec, head.Revision); err == nil && !c.Unchanged {
					mu.Lock()
					key := fmt.Sprintf("%s/%d", name, c.Head.Revision)
					assert.False(t, accepted[key], "two changes accepted as %s", key)
					accepted[key] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	checkStored(t, store, "a", "b")
}

// The collector of one writer meets another writer in flight, at each of its
// writes; whatever is accepted must stay readable.
func TestCollectionSparesConcurrentWriter(t *testing.T) {
	for stop := 1; stop <= 8; stop++ {
		store := kv.New(platform.SystemClock{})
		collecting := testOptions()
		collecting.CollectEvery = 1
		other := NewRepository(collecting, store, platform.SystemClock{}, nil)
		hooked := &hookKV{KV: store}
		r := newTestRepository(hooked)
		mustApply(t, other, team("a", "s"), 0)
		mustApply(t, other, withReplicas(team("a", "s"), 2), 1)
		writes := 0
		hooked.hook = func(string) {
			writes++
			if writes == stop {
				mustApply(t, other, withReplicas(team("a", "s"), 3), 2)
			}
		}
		_, err := apply(r, withReplicas(team("a", "s", "new"), 4), 2)
		if writes >= stop {
			require.Equal(t, fault.RevisionConflict, fault.KindOf(err))
		}
		checkStored(t, store, "a")
		hooked.hook = nil
		_, head, err := r.Read(context.Background(), "a")
		require.NoError(t, err)
		mustApply(t, r, withReplicas(team("a", "s", "new"), 4), head.Revision)
		checkStored(t, store, "a")
	}
}

// A collector is paused before it deletes what it found. Meanwhile another
// writer needs the very same chunk and service name again.
func TestPausedCollectorSparesWhatIsUsedAgain(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	reused := withReplicas(team("a", "s", "again"), 77)
	doomed := &hookKV{KV: store}
	mustApply(t, newTestRepository(store), team("a", "s"), 0)
	doomed.hook = func(key string) {
		if strings.HasPrefix(key, prefixHead) {
			mustApply(t, newTestRepository(store), withReplicas(team("a", "s"), 2), 1)
		}
	}
	_, err := apply(newTestRepository(doomed), reused, 1)
	require.Equal(t, fault.RevisionConflict, fault.KindOf(err), "it leaves a chunk and a claim behind")

	collecting := testOptions()
	collecting.CollectEvery = 1
	paused := &hookKV{KV: store}
	deletes := 0
	paused.onDelete = func(string) {
		deletes++
		if deletes == 1 {
			mustApply(t, newTestRepository(store), reused, 3)
		}
	}
	mustApply(t, NewRepository(collecting, paused, platform.SystemClock{}, nil), withReplicas(team("a", "s"), 3), 2)
	require.Positive(t, deletes, "the collector had something to delete")
	checkStored(t, store, "a")
	spec, _, err := newTestRepository(store).Read(context.Background(), "a")
	require.NoError(t, err)
	assert.Equal(t, reused, spec)
}

func TestCollectionBoundsTheStore(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	r := newTestRepository(store)
	for i := range 120 {
		mustApply(t, r, withReplicas(team("a", "s"), i+1), uint64(i))
	}
	entries, _, err := store.List(context.Background(), prefixChunk)
	require.NoError(t, err)
	// Each remembered revision has a manifest and one chunk of its own.
	assert.LessOrEqual(t, len(entries), 2*(maxHistory+DefaultOptions().CollectEvery)+4)
	checkStored(t, store, "a")
}

func TestServiceNameIsFreeAfterItsTeamGivesItUp(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	r := newTestRepository(store)
	mustApply(t, r, team("a", "s"), 0)
	_, err := apply(r, team("b", "s"), 0)
	require.Equal(t, fault.InvalidCatalog, fault.KindOf(err))
	assert.Contains(t, err.Error(), "services[0].name")
	mustApply(t, r, team("a", "other"), 1)
	mustApply(t, r, team("b", "s"), 0)
	checkStored(t, store, "a", "b")
}

func TestApplyRefusesOlderServiceUntilRestored(t *testing.T) {
	store := kv.New(platform.SystemClock{})
	r := newTestRepository(store)
	mustApply(t, r, team("a", "s"), 0)
	backup := store.Snapshot()
	inForce := mustApply(t, r, withReplicas(team("a", "s", "t"), 8), 1).Head
	store.Restore(backup)
	change := Change{Spec: withReplicas(team("a", "s", "t"), 8), Expect: 1, InForce: inForce}
	_, err := r.Apply(context.Background(), change)
	require.ErrorIs(t, err, ErrPlatformOlder)
	change.Restore, change.Expect = true, inForce.Revision
	c, err := r.Apply(context.Background(), change)
	require.NoError(t, err)
	assert.EqualValues(t, 3, c.Head.Revision)
	assert.Equal(t, relationNewer, compareHeads(c.Head, inForce))
	spec, _, err := r.Read(context.Background(), "a")
	require.NoError(t, err)
	assert.Len(t, spec.Services, 2)
}
