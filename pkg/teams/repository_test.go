package teams

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
)

// teamSpec returns the team of validYAML after the given replacements, pairs of old and
// new text.
func teamSpec(t *testing.T, edits ...string) *TeamSpec {
	text := strings.NewReplacer(edits...).Replace(validYAML)
	spec, err := ParseTeam("x.yaml", []byte(text))
	require.NoError(t, err)
	return spec
}

// otherTeamSpec returns a team with the given name that shares no service name and no
// API key with teamSpec.
func otherTeamSpec(t *testing.T, name string) *TeamSpec {
	return teamSpec(t, "team: listings", "team: "+name, "listing\n", name+"-service\n", strings.Repeat("a", 64), strings.Repeat("b", 64))
}

// TestHistoryKeepsLastRevisions checks that a team has its accepted revision and the
// last maxHistoryRevisions before it, and that older ones are deleted.
func TestHistoryKeepsLastRevisions(t *testing.T) {
	store := new(kvtest.Store)
	r := NewRepository(store)
	for revision := range uint64(maxHistoryRevisions + 5) {
		record, err := r.Apply(t.Context(), Change{Spec: teamSpec(t), Expect: revision, Author: "ann"})
		require.NoError(t, err)
		assert.Equal(t, revision+1, record.Revision)
	}
	record, err := r.Read(t.Context(), "listings")
	require.NoError(t, err)
	assert.EqualValues(t, maxHistoryRevisions+5, record.Revision)
	history, err := r.History(t.Context(), "listings")
	require.NoError(t, err)
	assert.Len(t, history, maxHistoryRevisions+1)
	assert.EqualValues(t, maxHistoryRevisions+4, history[1].Revision)
	previous, err := r.ReadRevision(t.Context(), "listings", 6)
	require.NoError(t, err)
	assert.EqualValues(t, 6, previous.Revision)
	_, err = r.ReadRevision(t.Context(), "listings", 2)
	assert.Equal(t, fault.UnknownPath, fault.KindOf(err))
	_, err = r.Read(t.Context(), "nobody")
	assert.Equal(t, fault.UnknownPath, fault.KindOf(err))
}

// TestConflictErrorShowsBothSides checks the message for a change that is based on an
// old revision and for a new team that exists already, and the kind of the error for a
// change of a team that doesn't exist.
func TestConflictErrorShowsBothSides(t *testing.T) {
	r := NewRepository(new(kvtest.Store))
	_, err := r.Apply(t.Context(), Change{Spec: teamSpec(t), Author: "ann"})
	require.NoError(t, err)
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t, "max_replicas: 2", "max_replicas: 3"), Expect: 1, Author: "bob"})
	require.NoError(t, err)
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t, "max_replicas: 2", "max_replicas: 9"), Expect: 1, Author: "eve"})
	assert.Equal(t, fault.RevisionConflict, fault.KindOf(err))
	assert.ErrorContains(t, err, "revision 2 (by bob)")
	assert.ErrorContains(t, err, "changed on both sides: services[listing].models[small@1].max_replicas")
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t), Author: "eve"})
	assert.ErrorContains(t, err, "exists already, at revision 2")
	_, err = r.Apply(t.Context(), Change{Spec: otherTeamSpec(t, "new"), Expect: 4})
	assert.Equal(t, fault.RevisionConflict, fault.KindOf(err))
}

// TestNameOfAnotherTeamIsRefused checks that a team can't take the service name or the
// API key of another team, and isn't shown which team has it.
func TestNameOfAnotherTeamIsRefused(t *testing.T) {
	r := NewRepository(new(kvtest.Store))
	_, err := r.Apply(t.Context(), Change{Spec: teamSpec(t)})
	require.NoError(t, err)
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t, "team: listings", "team: second")})
	assert.Equal(t, fault.InvalidCatalog, fault.KindOf(err))
	assert.ErrorContains(t, err, "services[0].name: belongs to another team")
	assert.NotContains(t, err.Error(), "listings", "the other team is not named")
	_, err = r.Apply(t.Context(), Change{Spec: otherTeamSpec(t, "second")})
	require.NoError(t, err)
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t, "team: listings", "team: third", "listing\n", "third-service\n")})
	assert.ErrorContains(t, err, "callers[0].key_sha256")
}

// TestOnlyOneOfConcurrentTeamsGetsAServiceName applies 6 teams with the same service
// name at the same time. If commits did not expect an unchanged change counter, several
// of the teams could be accepted.
func TestOnlyOneOfConcurrentTeamsGetsAServiceName(t *testing.T) {
	store := new(kvtest.Store)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range 6 {
		spec := teamSpec(t, "team: listings", fmt.Sprint("team: team-", i), strings.Repeat("a", 64), strings.Repeat(string("bcdef0"[i])+"a", 32))
		wg.Go(func() {
			if _, err := NewRepository(store).Apply(t.Context(), Change{Spec: spec}); err == nil {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 1, accepted)
}

// TestDroppedStoreResponsesAreResolved drops the store's response to a commit that took
// effect: Apply and Drain must read it back and not make the change twice. An
// unavailable store is reported as such.
func TestDroppedStoreResponsesAreResolved(t *testing.T) {
	store := new(kvtest.Store)
	r := NewRepository(store)
	store.DropWriteResponses(1)
	record, err := r.Apply(t.Context(), Change{Spec: teamSpec(t)})
	require.NoError(t, err)
	assert.EqualValues(t, 1, record.Revision)
	repeated, err := r.Apply(t.Context(), Change{Spec: teamSpec(t), WriteID: record.WriteID})
	require.NoError(t, err)
	assert.EqualValues(t, 1, repeated.Revision, "the same change is not made twice")
	store.DropWriteResponses(1)
	require.NoError(t, r.Drain(t.Context(), "t1", true))
	store.SetUnavailable(true)
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t), Expect: 1})
	assert.Equal(t, fault.PlatformUnavailable, fault.KindOf(err))
	assert.Equal(t, fault.PlatformUnavailable, fault.KindOf(r.Drain(t.Context(), "t1", false)))
}

// Guards against a change that gets a number under which the nodes have another change in
// force, because the key-value service came back from an older copy: it would never come
// into force.
func TestChangeIsRefusedWhileSettingsInForceAreMissing(t *testing.T) {
	store := new(kvtest.Store)
	r := NewRepository(store)
	_, err := r.Apply(t.Context(), Change{Spec: teamSpec(t)})
	require.NoError(t, err)
	older := store.Copy()
	require.NoError(t, r.Drain(t.Context(), "t1", true))
	store.Restore(older)
	inForce := int64(2)
	r.RequireInForce(func() int64 { return inForce })
	_, err = r.Apply(t.Context(), Change{Spec: teamSpec(t), Expect: 1})
	assert.Equal(t, fault.PlatformUnavailable, fault.KindOf(err))
	assert.True(t, fault.KindOf(err).Response().Retry)
	require.ErrorContains(t, err, "restored from an older copy")
	assert.Equal(t, fault.PlatformUnavailable, fault.KindOf(r.Drain(t.Context(), "t2", true)))
	assert.NotContains(t, store.Entries(), drainPrefix+"t2")
	inForce = 1
	require.NoError(t, r.Drain(t.Context(), "t2", true))
}

// TestDecoderReflectsAppliedChanges checks that each change, drains included, is
// decoded as a newer configuration.
func TestDecoderReflectsAppliedChanges(t *testing.T) {
	store := new(kvtest.Store)
	r, d := NewRepository(store), NewDecoder()
	table, err := d.Decode(store.Entries())
	require.NoError(t, err)
	assert.Nil(t, table)
	for i, spec := range []*TeamSpec{teamSpec(t), otherTeamSpec(t, "second")} {
		_, err := r.Apply(t.Context(), Change{Spec: spec})
		require.NoError(t, err)
		table, err = d.Decode(store.Entries())
		require.NoError(t, err)
		assert.EqualValues(t, i+1, table.Version)
	}
	require.NoError(t, r.Drain(t.Context(), "t1", true))
	drained, err := d.Decode(store.Entries())
	require.NoError(t, err)
	assert.True(t, drained.Drained["t1"])
	assert.Greater(t, drained.Revision, table.Revision, "a drain is a newer configuration")
	require.NoError(t, r.Drain(t.Context(), "t1", false))
	undrained, err := d.Decode(store.Entries())
	require.NoError(t, err)
	assert.False(t, undrained.Drained["t1"])
	assert.Greater(t, undrained.Version, drained.Version)
	model := undrained.Services["listing"].Engine.Models["small@1"]
	assert.Equal(t, 2, model.Replicas.Max)
	assert.Equal(t, 1, model.AdapterReplicas["hobart"].Max)
	identity, ok := SnapshotOf(undrained).Identify("no key")
	assert.False(t, ok, identity)
	assert.Equal(t, map[fleet.Team]uint64{"listings": 1, "second": 1}, SnapshotOf(undrained).Revisions)
}

// TestDamagedEntriesAreRejected checks that a damaged entry is an error that names its
// key, and isn't skipped, which would remove a team from the configuration.
func TestDamagedEntriesAreRejected(t *testing.T) {
	store := new(kvtest.Store)
	_, err := NewRepository(store).Apply(t.Context(), Change{Spec: teamSpec(t)})
	require.NoError(t, err)
	for _, key := range []string{changeCounterKey, teamKey("listings")} {
		entries := store.Entries()
		entries[key] = kv.Entry{Key: key, Value: []byte("not what it should be"), ModRevision: 99}
		_, err := NewDecoder().Decode(entries)
		assert.ErrorContains(t, err, key)
	}
}

// TestLargeTeamFitsIntoOneValue checks that a subtree with 20,000 adapters takes less
// than half of the maximum size of a value.
func TestLargeTeamFitsIntoOneValue(t *testing.T) {
	spec := teamSpec(t)
	model := &spec.Services[0].Models[0]
	for i := range 20_000 {
		model.Adapters = append(model.Adapters, AdapterSpec{Name: fmt.Sprint("adapter-", i), MemoryBytes: 1 << 26, MaxReplicas: 2})
	}
	value, err := encodeRecord(&Record{Spec: spec})
	require.NoError(t, err)
	assert.Less(t, len(value), maxRecordBytes/2)
	record, err := decodeRecord(kv.Entry{Value: value})
	require.NoError(t, err)
	assert.Len(t, record.Spec.Services[0].Models[0].Adapters, 20_001)
}

// failingListStore is a store whose List fails.
type failingListStore struct{ *kvtest.Store }

func (failingListStore) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	return nil, 0, kv.ErrOutcomeUnknown
}

// TestStoreErrorKeepsItsKind checks that an unknown outcome isn't reported as an
// unavailable platform, which would invite the operator to repeat the change.
func TestStoreErrorKeepsItsKind(t *testing.T) {
	r := NewRepository(failingListStore{new(kvtest.Store)})
	_, err := r.Apply(t.Context(), Change{Spec: teamSpec(t)})
	assert.Equal(t, fault.OutcomeUnknown, fault.KindOf(err))
}

// BenchmarkDecodeLargeTeam decodes a subtree with 20,000 adapters, as each node does
// after a change of it.
func BenchmarkDecodeLargeTeam(b *testing.B) {
	spec, err := ParseTeam("x.yaml", []byte(validYAML))
	require.NoError(b, err)
	model := &spec.Services[0].Models[0]
	for i := range 20_000 {
		model.Adapters = append(model.Adapters, AdapterSpec{Name: fmt.Sprint("adapter-", i), MemoryBytes: 1 << 26, MaxReplicas: 2})
	}
	value, err := encodeRecord(&Record{Spec: spec})
	require.NoError(b, err)
	b.ReportMetric(float64(len(value)), "bytes")
	entries := map[string]kv.Entry{
		changeCounterKey:    {Key: changeCounterKey, Value: changeCounter{Change: 1}.encode(), ModRevision: 1},
		teamKey("listings"): {Key: teamKey("listings"), Value: value, ModRevision: 1},
	}
	for b.Loop() {
		_, err := NewDecoder().Decode(entries)
		require.NoError(b, err)
	}
}
