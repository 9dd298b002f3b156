package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/zoneowner"
)

// requestPart returns the part that stands for a request.
func requestPart(digest string) quarantine.Part {
	return quarantine.Part{Service: "desk", ID: digest, Kind: quarantine.WholeRequest}
}

// crashTargets records that a request has crashed a number of targets.
func crashTargets(n *Node, now time.Time, p quarantine.Part, count int) {
	for i := range count {
		n.guard.ledger.RunCrashed(now, quarantine.Crash{Target: fmt.Sprint("t", i)}, "r", []quarantine.Part{p})
	}
}

// committingStore records the transactions, of which the first ones fail.
type committingStore struct {
	idleStore
	mu        sync.Mutex // guards all below
	failures  int
	committed []kv.Transaction
}

// Commit implements Store.
func (s *committingStore) Commit(_ context.Context, c kv.Transaction) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		return 0, kv.ErrOutcomeUnknown
	}
	s.committed = append(s.committed, c)
	return 1, nil
}

// transactions returns the transactions that did not fail.
func (s *committingStore) transactions() []kv.Transaction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed
}

// Guards against evidence that is lost because the key-value service fails while it is written.
func TestEvidenceIsStoredAfterAFailedWrite(t *testing.T) {
	n, log := newIdleNode(t)
	store := &committingStore{failures: 1}
	n.store = store
	crashTargets(n, time.Now(), requestPart("d"), minStoredCrashes)
	n.guard.stored.changed([]quarantine.Part{requestPart("d")})
	require.Eventually(t, func() bool { return len(store.transactions()) == 1 }, 10*time.Second, 10*time.Millisecond)
	put := store.transactions()[0].Put
	require.Len(t, put, 1)
	assert.Equal(t, suspectKey(requestPart("d")), put[0].Key)
	assert.Contains(t, log.String(), "evidence_not_stored")
}

// Guards against a write for each target that crashes for a reason of its own.
func TestEvidenceOfFewCrashesIsNotStored(t *testing.T) {
	n, _ := newIdleNode(t)
	crashTargets(n, time.Now(), requestPart("d"), minStoredCrashes-1)
	n.guard.stored.changed([]quarantine.Part{requestPart("d")})
	assert.Empty(t, n.guard.stored.unwritten)
}

// Guards against a node that starts without what the nodes before it knew.
func TestStoredEvidenceHoldsARequestAtANewNode(t *testing.T) {
	before, _ := newIdleNode(t)
	now := time.Now()
	crashTargets(before, now, requestPart("d"), minStoredCrashes)
	before.guard.stored.unwritten[suspectKey(requestPart("d"))] = requestPart("d")
	change, ok := before.guard.stored.nextChange(now)
	require.True(t, ok)
	after, log := newIdleNode(t)
	after.replaceOwners(change.transaction.Put, 1)
	assert.False(t, after.guard.ledger.Check(now, []quarantine.Part{requestPart("d")}).Allowed)
	crashes, _ := after.guard.ledger.Evidence(requestPart("d"))
	assert.Equal(t, minStoredCrashes, crashes)
	assert.Contains(t, log.String(), "stored_evidence_read")
}

// Guards against a request being held after a restart although it was answered before.
func TestStoredEvidenceIsDeletedAfterAnAnswer(t *testing.T) {
	n, _ := newIdleNode(t)
	store := new(committingStore)
	n.store = store
	now, key := time.Now(), suspectKey(requestPart("d"))
	crashTargets(n, now, requestPart("d"), minStoredCrashes)
	value := encodeSuspect(now, n.guard.ledger.Records(now, []quarantine.Part{requestPart("d")})[0])
	n.applyOwnerChanges([]kv.WatchEvent{{Entry: kv.Entry{Key: key, Value: value}}})
	n.guard.stored.changed(n.guard.ledger.RunSurvived(now.Add(time.Second), []quarantine.Part{requestPart("d")}))
	require.Eventually(t, func() bool { return len(store.transactions()) == 1 }, 10*time.Second, 10*time.Millisecond)
	assert.Equal(t, []string{key}, store.transactions()[0].Delete)
	require.Eventually(t, func() bool {
		n.guard.stored.mu.Lock()
		defer n.guard.stored.mu.Unlock()
		return len(n.guard.stored.entries) == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against entries that pile up in the key-value service: old and damaged ones, and more
// than maxStoredSuspects.
func TestStoredEvidenceIsBounded(t *testing.T) {
	now := time.Now()
	entry := func(digest string, written time.Time) kv.Entry {
		record := quarantine.Record{Part: requestPart(digest), Crashes: []quarantine.CrashAge{{Crash: quarantine.Crash{Target: "t"}}}}
		return kv.Entry{Key: suspectKey(requestPart(digest)), Value: encodeSuspect(written, record)}
	}
	for name, c := range map[string]struct {
		list    []kv.Entry
		deleted []string
	}{
		"none": {nil, nil},
		"recent, old and damaged": {
			[]kv.Entry{entry("recent", now.Add(-time.Hour)), entry("old", now.Add(-storedTime)), {Key: suspectKeyPrefix + "damaged", Value: []byte("{")}},
			[]string{suspectKeyPrefix + "damaged", suspectKey(requestPart("old"))},
		},
		"too many": {func() (list []kv.Entry) {
			for i := range maxStoredSuspects {
				list = append(list, entry(fmt.Sprint(i), now.Add(time.Duration(i)*time.Minute-24*time.Hour)))
			}
			return list
		}(), []string{suspectKey(requestPart("0"))}},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newIdleNode(t)
			n.replaceOwners(c.list, 1)
			crashTargets(n, now, requestPart("new"), minStoredCrashes)
			n.guard.stored.unwritten[suspectKey(requestPart("new"))] = requestPart("new")
			change, ok := n.guard.stored.nextChange(now)
			require.True(t, ok)
			assert.Len(t, change.transaction.Put, 1)
			assert.Equal(t, c.deleted, change.transaction.Delete)
			n.guard.stored.finish(change, nil)
			assert.Len(t, n.guard.stored.entries, len(c.list)+1-len(c.deleted))
		})
	}
}

// Guards against an entry that a later version or another writer has written stopping the node
// or holding requests.
func TestDamagedStoredEvidenceIsIgnored(t *testing.T) {
	for _, value := range []string{"", "{", `[]`, `{"kind":-1}`, `{"kind":2,"part":"d"}`, `{"crashes":{}}`} {
		n, log := newIdleNode(t)
		n.replaceOwners([]kv.Entry{{Key: suspectKeyPrefix + "x", Value: []byte(value)}}, 1)
		assert.Zero(t, n.guard.ledger.Suspects(), value)
		assert.Contains(t, log.String(), suspectKeyPrefix+"x", value)
	}
}

// Guards against a step of a clock that makes a crash lie in the future, or evidence younger
// than it was.
func TestAgesOfStoredEvidenceAreBounded(t *testing.T) {
	now := time.Now()
	for written, want := range map[time.Time]time.Duration{
		now.Add(time.Hour):              time.Minute,
		now.Add(-time.Hour):             time.Hour + time.Minute,
		now.Add(-10000 * time.Hour):     maxEvidenceAge,
		time.UnixMilli(now.UnixMilli()): time.Minute,
		now.Add(-24 * time.Hour):        24*time.Hour + time.Minute,
		now.Add(-maxEvidenceAge):        maxEvidenceAge,
	} {
		e := suspectEntry{Written: written.UnixMilli(), Crashes: []storedCrash{{AgeMillis: time.Minute.Milliseconds()}}}
		assert.InDelta(t, want, e.record(now).Crashes[0].Age, float64(2*time.Millisecond))
	}
}

// Guards against a failed deletion being forgotten.
func TestFailedChangeOfStoredEvidenceIsMadeAgain(t *testing.T) {
	n, _ := newIdleNode(t)
	s, key := n.guard.stored, suspectKey(requestPart("d"))
	s.entries[key] = time.Now()
	s.unwritten[key] = requestPart("d")
	change, ok := s.nextChange(time.Now())
	require.True(t, ok)
	s.finish(change, errors.New("unavailable"))
	change, ok = s.nextChange(time.Now())
	require.True(t, ok)
	assert.Equal(t, []string{key}, change.transaction.Delete)
	s.finish(change, nil)
	_, ok = s.nextChange(time.Now())
	assert.False(t, ok)
}

// Guards against a request being held after a restart although it was answered: the evidence
// was written, at a node that did not know of the answer yet, after the answer at this one.
func TestStoredEvidenceOfAnAnsweredRequestIsDeleted(t *testing.T) {
	n, _ := newIdleNode(t)
	store := new(committingStore)
	n.store = store
	now, key := time.Now(), suspectKey(requestPart("d"))
	crashTargets(n, now, requestPart("d"), minStoredCrashes)
	value := encodeSuspect(now, n.guard.ledger.Records(now, []quarantine.Part{requestPart("d")})[0])
	n.guard.stored.changed(n.guard.ledger.RunSurvived(now.Add(time.Second), []quarantine.Part{requestPart("d")}))
	n.applyOwnerChanges([]kv.WatchEvent{{Entry: kv.Entry{Key: key, Value: value}}})
	require.Eventually(t, func() bool { return len(store.transactions()) == 1 }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, []string{key}, store.transactions()[0].Delete)
}

// Guards against evidence that all nodes write again and again, as each reads it: a part that
// has survived before, and has crashed targets since, is neither answered nor new.
func TestStoredEvidenceIsNotWrittenAgainWhenItIsRead(t *testing.T) {
	n, _ := newIdleNode(t)
	now, p := time.Now(), requestPart("d")
	crashTargets(n, now.Add(-time.Hour), p, 1)
	n.guard.ledger.RunSurvived(now.Add(-time.Minute), []quarantine.Part{p})
	crashTargets(n, now, p, minStoredCrashes)
	value := encodeSuspect(now, n.guard.ledger.Records(now, []quarantine.Part{p})[0])
	n.applyOwnerChanges([]kv.WatchEvent{{Entry: kv.Entry{Key: suspectKey(p), Value: value}}})
	assert.Empty(t, n.guard.stored.unwritten)
	assert.False(t, n.guard.stored.writing)
}

// Guards against a write to the key-value service for each trial, of which a request that its
// targets refuse begins one each time that it comes.
func TestTrialIsNotStored(t *testing.T) {
	n, _ := newIdleNode(t)
	store := new(committingStore)
	n.store = store
	j := &job{Request: &Request{RequestInfo: RequestInfo{ID: "r"}}, parts: []quarantine.Part{requestPart("d")}}
	crashTargets(n, time.Now().Add(-time.Minute), j.parts[0], minStoredCrashes)
	for range 5 {
		trials, refusal := n.guard.admit(j, "t")
		require.Nil(t, refusal)
		require.Equal(t, j.parts, trials)
		n.guard.ledger.TrialEnded(time.Now(), time.Now(), trials, false)
		n.guard.flush()
	}
	time.Sleep(50 * time.Millisecond)
	assert.Empty(t, store.transactions())
}

// Guards against the owner of a zone being taken for stored evidence, and deleted as damaged.
func TestOwnerOfAZoneIsNoStoredEvidence(t *testing.T) {
	n, _ := newIdleNode(t)
	n.replaceOwners([]kv.Entry{{Key: zoneowner.OwnerKey("suspects"), Value: []byte(`{}`)}}, 1)
	assert.Empty(t, n.guard.stored.entries)
}

// Guards against evidence that counts for ever, as the clock of its writer was ahead.
func TestStoredEvidenceFromTheFutureEnds(t *testing.T) {
	n, _ := newIdleNode(t)
	now := time.Now()
	crashTargets(n, now, requestPart("d"), minStoredCrashes)
	value := encodeSuspect(now.Add(10*storedTime), n.guard.ledger.Records(now, []quarantine.Part{requestPart("d")})[0])
	after, _ := newIdleNode(t)
	after.replaceOwners([]kv.Entry{{Key: suspectKey(requestPart("d")), Value: value}}, 1)
	assert.Zero(t, after.guard.ledger.Suspects())
	after.guard.stored.unwritten["new"] = requestPart("new")
	change, ok := after.guard.stored.nextChange(now)
	require.True(t, ok)
	assert.Contains(t, change.transaction.Delete, suspectKey(requestPart("d")))
}

// Guards against evidence that no node writes, because three targets crashed at the same time
// and each crash was seen by another node.
func TestEvidenceThatSeveralNodesHaveSeenIsStored(t *testing.T) {
	n, _ := newIdleNode(t)
	store := new(committingStore)
	n.store = store
	p := requestPart("d")
	own := &job{Request: &Request{RequestInfo: RequestInfo{ID: "r"}}, parts: []quarantine.Part{p}}
	n.guard.recordCrash(own, assignment{target: &inventory.Target{ID: "own"}}, time.Now(), own.parts)
	other, _ := newIdleNode(t)
	crashTargets(other, time.Now(), p, minStoredCrashes-1)
	n.guard.receive("n2", other.guard.all())
	require.Eventually(t, func() bool { return len(store.transactions()) == 1 }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, suspectKey(p), store.transactions()[0].Put[0].Key)
}

// After a restart of all nodes, the trials that had crashed their targets were counted to the
// round before them, so that a request was sent again soon.
func TestStoredEvidenceKeepsItsRounds(t *testing.T) {
	now := time.Now()
	for rounds, want := range map[int]int{3: 3, 0: 0, -1: 0} {
		record := quarantine.Record{Part: requestPart("d"), Crashes: []quarantine.CrashAge{{Crash: quarantine.Crash{Target: "t"}}}, Rounds: rounds}
		e, err := decodeSuspect(encodeSuspect(now, record))
		require.NoError(t, err)
		assert.Equal(t, want, e.record(now).Rounds)
	}
}
