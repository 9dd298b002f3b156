package teams

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
)

// settingsStore is a store of settings with a repository that knows of no changes in
// force, as on a node that was started after a restore.
type settingsStore struct {
	*kvtest.Store
	t          *testing.T
	repository *Repository
}

func newSettingsStore(t *testing.T) *settingsStore {
	store := new(kvtest.Store)
	return &settingsStore{store, t, NewRepository(store)}
}

// accept applies a change of a team that is based on its accepted revision.
func (s *settingsStore) accept(spec *TeamSpec, author string) *Record {
	s.t.Helper()
	expect := uint64(0)
	if current, err := s.repository.Read(s.t.Context(), spec.Team); err == nil {
		expect = current.Revision
	}
	record, err := s.repository.Apply(s.t.Context(), Change{Spec: spec, Expect: expect, Author: author})
	require.NoError(s.t, err)
	return record
}

// drain sets whether a target is drained.
func (s *settingsStore) drain(target string, drained bool) {
	s.t.Helper()
	require.NoError(s.t, s.repository.Drain(s.t.Context(), target, drained))
}

// settings returns the entries that nodes hold.
func (s *settingsStore) settings() map[string]kv.Entry {
	entries := s.Entries()
	maps.DeleteFunc(entries, func(key string, _ kv.Entry) bool { return !strings.HasPrefix(key, Prefix) })
	return entries
}

// table returns the configuration that nodes decode from the settings.
func (s *settingsStore) table() *route.Table {
	s.t.Helper()
	table, err := NewDecoder().Decode(s.settings())
	require.NoError(s.t, err)
	return table
}

// revisions returns the accepted revision of each team.
func (s *settingsStore) revisions() map[fleet.Team]uint64 { return SnapshotOf(s.table()).Revisions }

// restoreSettings runs a restorer of a node on store, to which the given entries were
// listed after a restore, and returns its log.
func restoreSettings(t *testing.T, store Store, held, listed map[string]kv.Entry) string {
	t.Helper()
	var out bytes.Buffer
	log := zerolog.New(&out)
	synctest.Test(t, func(t *testing.T) {
		NewRestorer(NewRepository(store), &log).Restore(t.Context(), held, listed)
	})
	return out.String()
}

// changed returns a team that differs from teamSpec.
func changed(t *testing.T, maxReplicas int) *TeamSpec {
	return teamSpec(t, "max_replicas: 2", fmt.Sprint("max_replicas: ", maxReplicas))
}

// Guards against accepted settings that are gone after the key-value service came back
// from an older copy.
func TestAcceptedSettingsComeBack(t *testing.T) {
	s := newSettingsStore(t)
	first := s.accept(teamSpec(t), "ann")
	older := s.Copy()
	s.accept(changed(t, 3), "bob")
	accepted := s.accept(changed(t, 4), "eve")
	s.accept(otherTeamSpec(t, "second"), "dan")
	held, inForce := s.settings(), s.table()
	s.Restore(older)
	assert.Equal(t, map[fleet.Team]uint64{"listings": 1}, s.revisions())

	log := restoreSettings(t, s, held, s.settings())
	assert.Equal(t, map[fleet.Team]uint64{"listings": 3, "second": 1}, s.revisions())
	current, err := s.repository.Read(t.Context(), "listings")
	require.NoError(t, err)
	assert.Equal(t, accepted, current)
	assert.Equal(t, inForce.Version, s.table().Version, "the same settings have the same number")
	history, err := s.repository.History(t.Context(), "listings")
	require.NoError(t, err)
	assert.Equal(t, []RevisionInfo{accepted.RevisionInfo, first.RevisionInfo}, history)
	assert.Equal(t, 2, strings.Count(log, `"name":"settings_restored"`), log)
	assert.Contains(t, log, `"previous_era":0,"era":2,"team":"listings","copy_revision":1,"revision":3,"author":"eve"`)
	assert.Contains(t, log, `"name":"settings_history_lost","previous_era":0,"era":2,"team":"listings","from":2,"to":2`)
	assert.Contains(t, log, `"name":"settings_complete","previous_era":0,"era":2,"change":4`)
	assert.NotContains(t, log, "settings_lost")

	repeated, err := s.repository.Apply(t.Context(), Change{Spec: changed(t, 4), Expect: 2, WriteID: accepted.WriteID})
	require.NoError(t, err)
	assert.EqualValues(t, 3, repeated.Revision, "the operator's repeated change is not made twice")
	next := s.accept(changed(t, 5), "ann")
	assert.Greater(t, next.ChangeNumber, inForce.Version)
	assert.Empty(t, restoreSettings(t, s, held, s.settings()), "nothing is left to do")
	assert.EqualValues(t, 4, s.revisions()["listings"])
}

// Guards against settings that are not written because the copy is from before the first
// change.
func TestSettingsComeBackIntoAnEmptyService(t *testing.T) {
	s := newSettingsStore(t)
	older := s.Copy()
	s.accept(teamSpec(t), "ann")
	s.drain("t1", true)
	held := s.settings()
	s.Restore(older)
	restoreSettings(t, s, held, s.settings())
	assert.Equal(t, map[fleet.Team]uint64{"listings": 1}, s.revisions())
	assert.True(t, s.table().Drained["t1"])
	assert.EqualValues(t, 2, s.table().Version)
}

// Guards against writes of nodes that have nothing to bring back.
func TestNothingIsWrittenIfNothingIsLost(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	s.drain("t1", true)
	held := s.settings()
	s.drain("t1", false)
	s.Restore(s.Copy())
	before := s.Entries()
	assert.Empty(t, restoreSettings(t, s, held, s.settings()), "the node lags behind the copy")
	assert.Equal(t, before, s.Entries())
}

// Guards against a drained target that receives requests again, and one that never does,
// because the drain or its end is gone.
func TestDrainsComeBackAndEndsOfDrainsAreNotUndone(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	s.drain("undrained", true)
	s.drain("kept", true)
	older := s.Copy()
	s.drain("undrained", false)
	s.drain("drained", true)
	held := s.settings()
	s.Restore(older)
	log := restoreSettings(t, s, held, s.settings())
	assert.Equal(t, map[string]bool{"kept": true, "drained": true}, s.table().Drained)
	assert.EqualValues(t, 5, s.table().Version)
	assert.Contains(t, log, `"target":"drained","draining":true`)
	assert.Contains(t, log, `"target":"undrained","draining":false`)
}

// Guards against settings that are written back over what operators have changed since
// the restore, and against a lost change that nobody is told of.
func TestChangesAfterTheRestoreAreKept(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	s.drain("copied", true)
	older := s.Copy()
	s.accept(changed(t, 3), "bob")
	s.accept(changed(t, 4), "bob")
	s.accept(otherTeamSpec(t, "second"), "dan")
	s.drain("t1", true)
	held, inForce := s.settings(), s.table()
	s.Restore(older)
	s.accept(changed(t, 9), "eve")
	s.drain("copied", false)
	s.drain("t2", true)
	s.drain("t3", true)
	s.drain("t3", false)

	log := restoreSettings(t, s, held, s.settings())
	current, err := s.repository.Read(t.Context(), "listings")
	require.NoError(t, err)
	assert.Equal(t, "eve", current.Author)
	assert.Equal(t, map[fleet.Team]uint64{"listings": 2, "second": 1}, s.revisions())
	assert.Equal(t, map[string]bool{"t1": true, "t2": true}, s.table().Drained)
	assert.Greater(t, s.table().Version, inForce.Version, "nodes that have the former settings in force take this")
	assert.Contains(t, log, `"name":"settings_lost","previous_era":0,"era":2,"team":"listings","revision":3,"author":"bob","why":"`+reasonChangedSince)
	assert.Equal(t, 1, strings.Count(log, "settings_lost"))
	assert.Empty(t, restoreSettings(t, s, held, s.settings()), "other nodes find it done")
}

// Guards against two teams with the same service, which the repository never accepts.
func TestTeamWhoseNameWasTakenAfterTheRestoreIsLost(t *testing.T) {
	s := newSettingsStore(t)
	older := s.Copy()
	s.accept(teamSpec(t), "ann")
	s.accept(otherTeamSpec(t, "third"), "ann")
	held := s.settings()
	s.Restore(older)
	s.accept(teamSpec(t, "team: listings", "team: second"), "eve")
	log := restoreSettings(t, s, held, s.settings())
	assert.Equal(t, map[fleet.Team]uint64{"second": 1, "third": 1}, s.revisions())
	assert.EqualValues(t, 3, s.table().Version, "nodes that have the former settings in force, of number 2, take this")
	assert.Contains(t, log, `"team":"listings","revision":1,"author":"ann","why":"`+reasonNameTaken)
}

// Guards against changes that stay refused after the settings were written again.
func TestChangesAreAcceptedOnceSettingsAreRestored(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	older := s.Copy()
	s.accept(changed(t, 3), "bob")
	held, inForce := s.settings(), s.table().Version
	s.Restore(older)
	s.repository.RequireInForce(func() int64 { return inForce })
	assert.Equal(t, fault.PlatformUnavailable, fault.KindOf(s.repository.Drain(t.Context(), "t1", true)))
	restoreSettings(t, s, held, s.settings())
	record := s.accept(changed(t, 4), "ann")
	assert.EqualValues(t, inForce+1, record.ChangeNumber)
	s.drain("t1", true)
}

// acceptTeams applies changes of n teams.
func (s *settingsStore) acceptTeams(n int) {
	s.t.Helper()
	for i := range n {
		name := fmt.Sprint("team-", i)
		s.accept(teamSpec(s.t, "team: listings", "team: "+name, "listing\n", name+"-service\n", strings.Repeat("a", 64), fmt.Sprintf("ab%062x", i)), "ann")
	}
}

// Guards against transactions that the platform refuses because of their size.
func TestStepsAreBounded(t *testing.T) {
	s := newSettingsStore(t)
	s.acceptTeams(5)
	older := s.Copy()
	s.acceptTeams(80)
	for i := range 40 {
		s.drain(fmt.Sprint("t", i), true)
	}
	held := s.settings()
	s.Restore(older)
	steps, err := PlanRestore(held, s.settings(), s.Era())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(steps), 4)
	for i, step := range steps {
		txn := step.Transaction
		assert.LessOrEqual(t, len(txn.Put)+len(txn.Delete), maxTransactionEntries)
		assert.LessOrEqual(t, len(txn.Expect), maxTransactionEntries)
		assert.Equal(t, s.Entries()[changeCounterKey].ModRevision, txn.Expect[changeCounterKey])
		assert.Equal(t, i == len(steps)-1, step.Change != 0)
	}
	restoreSettings(t, s, held, s.settings())
	assert.Len(t, s.revisions(), 80)
	assert.Len(t, s.table().Drained, 40)
	assert.EqualValues(t, 125, s.table().Version)
}

// Guards against large teams that are written in one transaction.
func TestStepsOfLargeTeamsAreSeparate(t *testing.T) {
	held := map[string]kv.Entry{changeCounterKey: {Key: changeCounterKey, Value: changeCounter{Change: 3}.encode(), ModRevision: 1}}
	for i := range 3 {
		spec := otherTeamSpec(t, fmt.Sprint("team-", i))
		spec.Callers = nil
		for j := range 20_000 { // digests don't compress
			spec.OperatorTokens = append(spec.OperatorTokens, DigestKey(fmt.Sprint(i, "/", j)))
		}
		record := &Record{Spec: spec, ChangeNumber: int64(i + 1)}
		value, err := encodeRecord(record)
		require.NoError(t, err)
		require.Greater(t, len(value), maxTransactionBytes/3)
		held[teamKey(spec.Team)] = kv.Entry{Key: teamKey(spec.Team), Value: value, ModRevision: 1}
	}
	steps, err := PlanRestore(held, nil, 2)
	require.NoError(t, err)
	assert.Len(t, steps, 2)
}

// hookedStore calls beforeCommit with the number of the commit, from 1.
type hookedStore struct {
	*kvtest.Store
	commits      int
	beforeCommit func(commit int)
}

func (s *hookedStore) Commit(ctx context.Context, txn kv.Transaction) (kv.Revision, error) {
	s.commits++
	s.beforeCommit(s.commits)
	return s.Store.Commit(ctx, txn)
}

// Guards against settings of which only a part is written again, because the service
// fails, is restored again, or other changes are made meanwhile.
func TestInterruptedRestoreIsCompleted(t *testing.T) {
	before := newSettingsStore(t)
	before.accept(teamSpec(t), "ann")
	older := before.Copy()
	before.accept(changed(t, 3), "bob")
	before.acceptTeams(70)
	held, inForce := before.settings(), before.table()
	for name, interrupt := range map[string]func(s *settingsStore){
		"restored again":   func(s *settingsStore) { s.Restore(older) },
		"response dropped": func(s *settingsStore) { s.DropWriteResponses(1) },
		"changed":          func(s *settingsStore) { s.drain("t1", true) },
	} {
		for _, commit := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%s at commit %d", name, commit), func(t *testing.T) {
				s := newSettingsStore(t)
				s.Restore(older)
				hooked := &hookedStore{Store: s.Store, beforeCommit: func(i int) {
					if i == commit {
						interrupt(s)
					}
				}}
				log := restoreSettings(t, hooked, held, s.settings())
				assert.Equal(t, SnapshotOf(inForce).Revisions, s.revisions())
				assert.GreaterOrEqual(t, s.table().Version, inForce.Version)
				assert.Contains(t, log, "settings_complete")
				assert.GreaterOrEqual(t, strings.Count(log, `"name":"settings_restored"`), 71)
				assert.NotContains(t, log, "settings_lost")
			})
		}
	}
}

// Guards against settings that are given up while the service fails, and a log line for
// each attempt.
func TestRestoreIsRepeatedWhileTheServiceFails(t *testing.T) {
	s := newSettingsStore(t)
	older := s.Copy()
	s.accept(teamSpec(t), "ann")
	held := s.settings()
	s.Restore(older)
	s.SetUnavailable(true)
	var out bytes.Buffer
	log := zerolog.New(&out)
	synctest.Test(t, func(t *testing.T) {
		time.AfterFunc(time.Minute, func() { s.SetUnavailable(false) })
		NewRestorer(NewRepository(s), &log).Restore(t.Context(), held, nil)
	})
	assert.Equal(t, map[fleet.Team]uint64{"listings": 1}, s.revisions())
	assert.Equal(t, 1, strings.Count(out.String(), "settings_restore_failed"))
}

// Guards against settings that are lost by the second of two restores, at which a node
// was listed the older settings of the first.
func TestSettingsComeBackAfterTwoRestores(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	older := s.Copy()
	s.accept(changed(t, 3), "bob")
	held := s.settings()
	log := zerolog.Nop()
	restorer := NewRestorer(s.repository, &log)
	s.Restore(older)
	listed := s.settings()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	restorer.Restore(canceled, held, listed) // is not done before the second restore
	s.Restore(older)
	synctest.Test(t, func(t *testing.T) { restorer.Restore(t.Context(), listed, s.settings()) })
	assert.Equal(t, map[fleet.Team]uint64{"listings": 2}, s.revisions())

	s.accept(changed(t, 4), "eve")
	held = s.settings()
	s.Restore(older)
	synctest.Test(t, func(t *testing.T) { restorer.Restore(t.Context(), held, s.settings()) })
	assert.Equal(t, map[fleet.Team]uint64{"listings": 3}, s.revisions(), "a change of the second era comes back too")
}

// slowStore is a store whose calls take as long as the delays of a Restorer, so that the
// attempts of several nodes overlap.
type slowStore struct{ *kvtest.Store }

func (s slowStore) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	time.Sleep(rand.N(maxRestoreDelay))
	return s.Store.List(ctx, prefix)
}

func (s slowStore) Commit(ctx context.Context, txn kv.Transaction) (kv.Revision, error) {
	time.Sleep(rand.N(maxRestoreDelay))
	return s.Store.Commit(ctx, txn)
}

// Guards against nodes that get into each other's way, and against one that lags behind
// and writes its older settings over those of the others.
func TestNodesRestoreSettingsAtTheSameTime(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	s.drain("t1", true)
	older := s.Copy()
	s.acceptTeams(40)
	s.drain("t2", true)
	lagging := s.settings()
	s.accept(changed(t, 3), "bob")
	s.acceptTeams(10)
	s.drain("t1", false)
	s.drain("t2", false)
	held, inForce := s.settings(), s.table()
	s.Restore(older)
	listed := s.settings()
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		var wg sync.WaitGroup
		for i := range 8 {
			mine := held
			if i%2 == 0 {
				mine = lagging
			}
			wg.Go(func() { NewRestorer(NewRepository(slowStore{s.Store}), &log).Restore(t.Context(), mine, listed) })
		}
		wg.Wait()
	})
	assert.Equal(t, SnapshotOf(inForce).Revisions, s.revisions())
	assert.Empty(t, s.table().Drained)
	assert.Equal(t, inForce.Version, s.table().Version)
	assert.Empty(t, restoreSettings(t, s, lagging, s.settings()), "a lagging node that comes later")
}

// Guards against an older revision that a lagging node writes over a newer one, which
// another node has written in a step that did not change the counter.
func TestStepOfALaggingNodeConflicts(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	older := s.Copy()
	s.accept(changed(t, 3), "bob")
	lagging := s.settings()
	s.accept(changed(t, 4), "bob")
	held := s.settings()
	for i := range maxTransactionEntries {
		for node, entries := range []map[string]kv.Entry{lagging, held} {
			key := drainPrefix + fmt.Sprint("t", i, "/", node) // only the team is in both
			entries[key] = kv.Entry{Key: key, Value: []byte("{}"), ModRevision: 1}
		}
	}
	s.Restore(older)
	steps, err := PlanRestore(held, s.settings(), s.Era())
	require.NoError(t, err)
	late, err := PlanRestore(lagging, s.settings(), s.Era())
	require.NoError(t, err)
	require.Len(t, late, 2)
	_, err = s.Commit(t.Context(), steps[0].Transaction)
	require.NoError(t, err)
	_, err = s.Commit(t.Context(), late[0].Transaction)
	require.ErrorIs(t, err, kv.ErrConflict)
}

// Guards against former revisions that stay in the history for ever, because the
// revisions were skipped at which they are deleted.
func TestHistoryIsBoundedAfterARestore(t *testing.T) {
	s := newSettingsStore(t)
	for i := range maxHistoryRevisions + 5 {
		s.accept(changed(t, i+1), "ann")
	}
	older := s.Copy()
	for i := range 3 {
		s.accept(changed(t, i+1), "ann")
	}
	held := s.settings()
	s.Restore(older)
	restoreSettings(t, s, held, s.settings())
	for i := range maxHistoryRevisions + 5 {
		s.accept(changed(t, i+1), "ann")
	}
	history, err := s.repository.History(t.Context(), "listings")
	require.NoError(t, err)
	assert.Len(t, history, maxHistoryRevisions+1)
}

// Guards against a damaged entry that ends a node, or lets it overwrite the others.
func TestDamagedSettingsAreNotRestored(t *testing.T) {
	s := newSettingsStore(t)
	s.accept(teamSpec(t), "ann")
	damaged := s.settings()
	damaged[teamKey("listings")] = kv.Entry{Key: teamKey("listings"), Value: []byte("x"), ModRevision: 1}
	_, err := PlanRestore(damaged, nil, 2)
	require.ErrorContains(t, err, teamKey("listings"))
	_, err = PlanRestore(s.settings(), damaged, 2)
	require.ErrorContains(t, err, teamKey("listings"))
}
