package streamversions

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/streams"
)

// fakeStore is a key-value service with changes of the list of targets that the node has not
// read, and with streams.
type fakeStore struct {
	Store
	changes []kv.WatchEvent
	stored  []kv.Entry
	err     error
	calls   int
}

func (s *fakeStore) Changes(context.Context, string, kv.Revision, time.Duration) ([]kv.WatchEvent, kv.Revision, error) {
	s.calls++
	return s.changes, 0, s.err
}

func (s *fakeStore) List(context.Context, string) ([]kv.Entry, kv.Revision, error) {
	s.calls++
	return s.stored, 0, s.err
}

// fakePeers are owners that give one answer.
type fakePeers struct{ answer OwnersAnswer }

func (fakePeers) TellOwners([]Begun) {}

func (fakePeers) SharingNodes() int                                        { return 1 }
func (fakePeers) Snapshot(func([]kv.Entry) bool) bool                      { return false }
func (p fakePeers) AskOwners(context.Context, string, string) OwnersAnswer { return p.answer }

// fakeTargets is a list of targets whose entries are their software versions.
type fakeTargets struct{}

func (fakeTargets) Prefix() string        { return "servers/" }
func (fakeTargets) Revision() kv.Revision { return 1 }

func (fakeTargets) Decode(e kv.Entry) *inventory.Target {
	return &inventory.Target{ID: e.Key, Service: "llm", SoftwareVersion: string(e.Value)}
}

// newTestTracker returns the tracker of a node whose list of targets has one version, v1, and
// which knows those of the last life.
func newTestTracker(t *testing.T, store *fakeStore, answer OwnersAnswer) *Tracker {
	log := zerolog.Nop()
	tracker := New(Config{
		Store: store, Peers: fakePeers{answer}, Targets: fakeTargets{}, Log: &log,
		IsOwner: func() bool { return false }, Ready: func() bool { return true }, InvalidEntry: func(string, error) {},
	})
	tracker.services = map[string]bool{"llm": true}
	tracker.Observe(inventory.NewTargetSet([]*inventory.Target{{ID: "a", Service: "llm", SoftwareVersion: "v1"}}))
	tracker.history.Include(time.Now(), nil)
	return tracker
}

// appearance is a change of the list by which a target of a version appears.
func appearance(version string) kv.WatchEvent {
	return kv.WatchEvent{Entry: kv.Entry{Key: "b", Value: []byte(version)}}
}

// Guards against a stream that goes on at another software version (ORDER): a node that was cut
// off, or stood still, took the only version in its own list for the only one that has served.
func TestOwnListDoesNotShowWhichVersionIsTheOnlyOne(t *testing.T) {
	versions := func(names ...string) OwnersAnswer {
		out := OwnersAnswer{Versions: map[string]bool{}, Complete: true}
		for _, name := range names {
			out.Versions[name] = true
		}
		return out
	}
	for name, c := range map[string]struct {
		owners OwnersAnswer
		store  fakeStore
		want   Found
		err    error
	}{
		"the owners know of no other":                     {owners: versions("v1"), want: Found{"v1", OnlyVersion}},
		"the owners know of another one":                  {owners: versions("v1", "v2"), err: ErrUnknown},
		"the owners have seen only another one":           {owners: versions("v2"), err: ErrUnknown},
		"an owner knows the stream":                       {owners: OwnersAnswer{Known: true, Origin: streams.Origin{Service: "llm", Version: "v2"}}, want: Found{"v2", FromOwner}},
		"an owner is missing, and the list is current":    {want: Found{"v1", OnlyVersion}},
		"an owner is missing, and the list lacks targets": {store: fakeStore{changes: []kv.WatchEvent{appearance("v2")}}, err: ErrUnknown},
		"targets of another version came and left": {
			store: fakeStore{changes: []kv.WatchEvent{appearance("v2"), {Entry: kv.Entry{Key: "b"}, Deleted: true}}}, err: ErrUnknown,
		},
		"a target of the version was added":                  {store: fakeStore{changes: []kv.WatchEvent{appearance("v1")}}, want: Found{"v1", OnlyVersion}},
		"an owner is missing, and the store does not answer": {store: fakeStore{err: kv.ErrUnavailable}, err: ErrNotRead},
		"the stream is stored": {
			owners: versions("v1", "v2"), want: Found{"v2", FromStore},
			store: fakeStore{stored: []kv.Entry{{Key: streamKey("i", 1), Value: encodeStreams(map[string]streams.Origin{"r": {Service: "llm", Version: "v2"}})}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTestTracker(t, &c.store, c.owners)
				got, err := tracker.Find(t.Context(), Stream{ID: "r", Service: "llm", Deadline: time.Now().Add(4 * time.Second)})
				require.ErrorIs(t, err, c.err)
				assert.Equal(t, c.want, got)
				again, _ := tracker.Find(t.Context(), Stream{ID: "r", Service: "llm", Deadline: time.Now().Add(4 * time.Second)})
				assert.Equal(t, c.want.Version, again.Version)
			})
		})
	}
}

// Guards against the same at a node whose list was replaced, after changes that it can't know of.
func TestReplacedListLeavesTheVersionsOfTheLastLifeOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{stored: []kv.Entry{{Key: versionKey, Value: encodeVersions(map[string][]string{"llm": {"v1", "v2"}})}}}
		tracker := newTestTracker(t, store, OwnersAnswer{})
		tracker.ListReplaced()
		tracker.Observe(inventory.NewTargetSet([]*inventory.Target{{ID: "a", Service: "llm", SoftwareVersion: "v1"}}))
		_, err := tracker.Find(t.Context(), Stream{ID: "r", Service: "llm", Deadline: time.Now().Add(4 * time.Second)})
		require.ErrorIs(t, err, ErrUnknown, "the record has v2, whose targets have left")
	})
}

// The price of a list that is replaced, as all nodes do after an outage: one read of the versions
// at each owner, none at the others.
func TestOnlyOwnersReadTheVersionsAfterAReplacedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, owner := range []bool{false, true} {
			store := new(fakeStore)
			tracker := newTestTracker(t, store, OwnersAnswer{})
			tracker.cfg.IsOwner = func() bool { return owner }
			tracker.completeVersions(t.Context(), time.Now())
			assert.Zero(t, store.calls)
			tracker.ListReplaced()
			for range 3 {
				tracker.completeVersions(t.Context(), time.Now())
				time.Sleep(versionRetryInterval)
			}
			assert.Equal(t, owner, store.calls == 1)
			assert.Equal(t, owner, tracker.history.Complete(time.Now()))
		}
	})
}

// The price of a take-up: nothing for a stream in memory, or while the owners know the version.
func TestStreamsThatTheOwnersKnowCostNoCallToTheStore(t *testing.T) {
	store := new(fakeStore)
	tracker := newTestTracker(t, store, OwnersAnswer{Versions: map[string]bool{"v1": true}, Complete: true})
	tracker.Begun("own", streams.Origin{Service: "llm", Version: "v1"})
	tracker.Reported("reported", streams.Origin{Service: "llm", Version: "v1"})
	tracker.ListReplaced()
	for id, source := range map[string]string{"own": FromMemory, "reported": FromMemory, "other": OnlyVersion, "": OnlyVersion} {
		found, err := tracker.Find(t.Context(), Stream{ID: id, Service: "llm", Deadline: time.Now().Add(time.Second)})
		require.NoError(t, err)
		assert.Equal(t, Found{"v1", source}, found, id)
	}
	assert.Zero(t, store.calls)
}

// An owner answers with what it knows of a stream, and with versions only if it knows all.
func TestOwnerAnswersWithAllVersionsOrNone(t *testing.T) {
	tracker := newTestTracker(t, new(fakeStore), OwnersAnswer{})
	tracker.Reported("r", streams.Origin{Service: "llm", Version: "v2"})
	version, known, _ := tracker.Answer("r", "llm")
	assert.True(t, known)
	assert.Equal(t, "v2", version)
	_, known, _ = tracker.Answer("r", "other")
	assert.False(t, known, "of another service")
	_, known, recent := tracker.Answer("", "llm")
	assert.False(t, known)
	assert.Equal(t, []string{"v1"}, recent)
	tracker.ListReplaced()
	_, _, recent = tracker.Answer("s", "llm")
	assert.Nil(t, recent)
}

// Guards against the versions of services whose streams can't be taken up.
func TestOnlyResumableRoutesMatter(t *testing.T) {
	tracker := newTestTracker(t, new(fakeStore), OwnersAnswer{})
	tracker.Configure(new(route.Table), nil)
	tracker.ObserveChanges([]*inventory.Target{{ID: "x", Service: "llm", SoftwareVersion: "v9"}})
	assert.Equal(t, []string{"v1"}, tracker.history.Recent(time.Now(), "llm"))
}

// A caller must not share a call that began before its own: what it asks about may have
// happened in between.
func TestSharedCallBeginsAfterItIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s sharedCall
		began := 0
		call := func(context.Context) error {
			began++
			time.Sleep(time.Second)
			return nil
		}
		var wg sync.WaitGroup
		wg.Go(func() { _ = s.do(t.Context(), call) })
		synctest.Wait()
		for range 5 {
			wg.Go(func() { _ = s.do(t.Context(), call) })
		}
		start := time.Now()
		wg.Wait()
		assert.Equal(t, 2, began, "the five share one")
		assert.Equal(t, 2*time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		require.ErrorIs(t, s.do(ctx, call), context.DeadlineExceeded)
		synctest.Wait()
		time.Sleep(2 * time.Second)
		require.NoError(t, s.do(t.Context(), call))
	})
}

// recordStore is a key-value service with the record of versions.
type recordStore struct {
	fakeStore
	versions map[string][]string
}

func (s *recordStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{Key: versionKey, Value: encodeVersions(s.versions), ModRevision: 1}, nil
}

func (s *recordStore) CompareAndSwap(_ context.Context, _ string, value []byte, _ kv.Revision, _ kv.LeaseID) (kv.Revision, error) {
	s.versions = decodeStreams([]kv.Entry{{Key: versionKey, Value: value}}, nil).versions
	return 2, nil
}

func (*recordStore) Era() kv.Era { return 0 }

// Guards against a record without a version that serves: an owner that had stood still for longer
// than a stream lives removed a version that was back.
func TestOwnerReadsTheListBeforeItRemovesAVersionFromTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &recordStore{versions: map[string][]string{"llm": {"v1", "v2"}}}
		tracker := newTestTracker(t, &store.fakeStore, OwnersAnswer{})
		tracker.cfg.Store = store
		tracker.history.SetLife(minStreamLife)
		tracker.record.update(t.Context(), time.Now())
		time.Sleep(2 * minStreamLife)
		store.err = kv.ErrUnavailable
		tracker.record.update(t.Context(), time.Now())
		assert.Equal(t, []string{"v1", "v2"}, store.versions["llm"], "the list can't be read")
		time.Sleep(2 * versionRetryInterval)
		store.err, store.changes = nil, []kv.WatchEvent{appearance("v2")}
		tracker.record.update(t.Context(), time.Now())
		assert.Equal(t, []string{"v1", "v2"}, store.versions["llm"], "v2 is back")
		store.changes = nil
		time.Sleep(2 * minStreamLife)
		tracker.record.update(t.Context(), time.Now())
		assert.Equal(t, []string{"v1"}, store.versions["llm"])
	})
}
