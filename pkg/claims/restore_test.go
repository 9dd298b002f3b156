package claims

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
)

// restore does on a registry what Run does after each eraCheckInterval, and returns what
// it logs.
func restore(reg *Registry) string {
	var out bytes.Buffer
	log := zerolog.New(&out)
	reg.restoreClaims(testCtx, &log)
	return out.String()
}

// keyedRequest returns a request with a key of its own.
func keyedRequest(key, id string) *Request {
	r := request(id, "seat")
	r.Key = key
	return r
}

// Guards against a second run of a request whose claim was lost when the key-value
// service came back from an older copy.
func TestRepeatedRequestIsNotRunAfterARestore(t *testing.T) {
	want := &Response{Status: 201, ContentType: "application/json", Body: []byte("{}")}
	for name, c := range map[string]struct {
		before, after func(*Registry, *Claim) error // end the first request
		response      *Response
		kind          fault.Kind
	}{
		"completed before": {before: func(reg *Registry, c *Claim) error { return reg.Complete(testCtx, c, want) }, response: want},
		"unknown before":   {before: func(reg *Registry, c *Claim) error { return reg.MarkOutcomeUnknown(testCtx, c) }, kind: fault.OutcomeUnknown},
		"completed after":  {after: func(reg *Registry, c *Claim) error { return reg.Complete(testCtx, c, want) }, response: want},
		"unknown after":    {after: func(reg *Registry, c *Claim) error { return reg.MarkOutcomeUnknown(testCtx, c) }, kind: fault.OutcomeUnknown},
		"running":          {kind: fault.KeyInProgress},
	} {
		for _, inCopy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in copy %t", name, inCopy), func(t *testing.T) {
				store, now := new(kvtest.Store), testStart
				first, second := newRegistry(store, &now), newRegistry(store, &now)
				older := store.Copy()
				claim, _, err := first.Begin(testCtx, request("r1", "seat"))
				require.NoError(t, err)
				if inCopy {
					older = store.Copy()
				}
				if c.before != nil {
					require.NoError(t, c.before(first, claim))
				}
				store.Restore(older)
				if c.after != nil {
					require.NoError(t, c.after(first, claim))
				}
				restore(first)
				restore(second)
				now = now.Add(settleTime)
				again, response, err := second.Begin(testCtx, request("r2", "seat"))
				assert.Nil(t, again)
				assert.Equal(t, c.response, response)
				if c.kind != 0 {
					assert.Equal(t, c.kind, fault.KindOf(err))
				}
			})
		}
	}
}

// Guards against a second run of a request while the node that holds its claim has not
// written it again, also by a node that was started after the restore.
func TestKeysAreRefusedForTheSettleTimeAfterARestore(t *testing.T) {
	for name, running := range map[string]bool{"running node": true, "started after the restore": false} {
		t.Run(name, func(t *testing.T) {
			store, now := new(kvtest.Store), testStart
			holder, other := newRegistry(store, &now), newRegistry(store, &now)
			if running {
				_, _, err := other.Begin(testCtx, keyedRequest("before", "r0"))
				require.NoError(t, err)
			}
			older := store.Copy()
			_, _, err := holder.Begin(testCtx, request("r1", "seat"))
			require.NoError(t, err)
			store.Restore(older)
			_, _, err = other.Begin(testCtx, request("r2", "seat"))
			assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err))
			assert.Equal(t, fault.RunNo, fault.KindOf(err).Response().Run)
			assert.Positive(t, fault.KindOf(err).Response().RetryAfter)
			now = now.Add(settleTime - time.Millisecond)
			_, _, err = other.Begin(testCtx, request("r2", "seat"))
			assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err))
			restore(holder)
			now = now.Add(time.Millisecond)
			_, _, err = other.Begin(testCtx, request("r2", "seat"))
			assert.Equal(t, fault.KeyInProgress, fault.KindOf(err))
			_, _, err = other.Begin(testCtx, keyedRequest("new", "r3"))
			assert.NoError(t, err)
		})
	}
}

// restoringStore is restored when the next transaction is committed: before or after it.
type restoringStore struct {
	*kvtest.Store
	restoreBefore, restoreAfter *kvtest.Copy // nil for no restore
}

func (s *restoringStore) Commit(ctx context.Context, txn kv.Transaction) (kv.Revision, error) {
	before, after := s.restoreBefore, s.restoreAfter
	s.restoreBefore, s.restoreAfter = nil, nil
	if before != nil {
		s.Restore(*before)
	}
	revision, err := s.Store.Commit(ctx, txn)
	if after != nil {
		s.Restore(*after)
	}
	return revision, err
}

// Guards against a request that is sent although its claim was lost before Begin
// returned: another node may have had the key.
func TestRequestIsNotSentIfTheServiceIsRestoredWhileItsKeyIsClaimed(t *testing.T) {
	for name, after := range map[string]bool{"before the write": false, "after the write": true} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			store := &restoringStore{Store: new(kvtest.Store)}
			reg := New(store)
			reg.now = func() time.Time { return now }
			older := store.Copy()
			if after {
				store.restoreAfter = &older
			} else {
				store.restoreBefore = &older
			}
			claim, _, err := reg.Begin(testCtx, request("r1", "seat"))
			assert.Nil(t, claim)
			assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err))
			restore(reg)
			now = now.Add(settleTime)
			claim, _, err = reg.Begin(testCtx, request("r2", "seat"))
			assert.NoError(t, err, "the key is free, because the first request was not run")
			assert.NotNil(t, claim)
		})
	}
}

// unawareStore is the store as a node uses it that learns of a restore by the response to
// its next call. The service may have granted the identifiers of its leases again.
type unawareStore struct {
	*kvtest.Store
	seen kv.Era
}

func (s *unawareStore) Era() kv.Era { return s.seen }

func (s *unawareStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	defer func() { s.seen = s.Store.Era() }()
	return s.Store.Get(ctx, key)
}

func (s *unawareStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	defer func() { s.seen = s.Store.Era() }()
	return s.Store.GrantLease(ctx, ttl)
}

func (s *unawareStore) Commit(ctx context.Context, txn kv.Transaction) (kv.Revision, error) {
	era := s.Store.Era()
	planned := s.seen
	s.seen = era
	for i := range txn.Put {
		txn.Put[i].Lease.Era = era
	}
	revision, err := s.Store.Commit(ctx, txn)
	if err == nil && era != planned {
		return 0, kv.ErrOutcomeUnknown
	}
	return revision, err
}

// Guards against a claim that is given up because a node which has not seen the restore
// has claimed its key for a request that it does not run.
func TestClaimIsRestoredOverThatOfANodeThatHasNotSeenTheRestore(t *testing.T) {
	for name, hasLease := range map[string]bool{"with a lease": true, "without a lease": false} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			store := new(kvtest.Store)
			holder := newRegistry(store, &now)
			unaware := New(&unawareStore{Store: store})
			unaware.now = holder.now
			if hasLease {
				_, _, err := unaware.Begin(testCtx, keyedRequest("other", "r0"))
				require.NoError(t, err)
			}
			older := store.Copy()
			_, _, err := holder.Begin(testCtx, request("r1", "seat"))
			require.NoError(t, err)
			store.Restore(older)
			blocked := &blockingStore{Store: unaware.store, blocked: make(chan struct{}), resume: make(chan struct{})}
			unaware.store = blocked
			result := make(chan error)
			go func() {
				_, _, err := unaware.Begin(testCtx, request("r2", "seat"))
				result <- err
			}()
			select {
			case <-blocked.blocked: // it has written its claim
				assert.Empty(t, restore(newRegistry(store, &now)))
				assert.NotContains(t, restore(holder), "claim_lost")
				close(blocked.resume)
				assert.Equal(t, fault.KeyInProgress, fault.KindOf(<-result), "it finds the holder's claim")
			case err := <-result: // it has seen the restore before
				assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err))
				restore(holder)
			}
			now = now.Add(settleTime)
			_, _, err = newRegistry(store, &now).Begin(testCtx, request("r3", "seat"))
			assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err), "its registry is new")
			_, _, err = holder.Begin(testCtx, request("r3", "seat"))
			assert.Equal(t, fault.KeyInProgress, fault.KindOf(err))
		})
	}
}

// blockingStore blocks after the first transaction was committed.
type blockingStore struct {
	Store
	once            sync.Once
	blocked, resume chan struct{}
}

func (s *blockingStore) Commit(ctx context.Context, txn kv.Transaction) (kv.Revision, error) {
	revision, err := s.Store.Commit(ctx, txn)
	s.once.Do(func() {
		close(s.blocked)
		<-s.resume
	})
	return revision, err
}

// Guards against an older request whose claim was released after the copy, and has the
// key again after the restore.
func TestReleasedClaimOfTheCopyDoesNotKeepTheKey(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	released, _, err := reg.Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	older := store.Copy()
	require.NoError(t, reg.Release(testCtx, released))
	claim, _, err := reg.Begin(testCtx, request("r2", "seat"))
	require.NoError(t, err)
	require.NoError(t, reg.Complete(testCtx, claim, &Response{Status: 201}))
	store.Restore(older)
	assert.NotContains(t, restore(reg), "claim_lost")
	now = now.Add(settleTime)
	_, response, err := reg.Begin(testCtx, request("r3", "seat"))
	require.NoError(t, err)
	assert.Equal(t, 201, response.Status)
}

// Guards against a claim of a later era that is overwritten after another restore by the
// one that it has replaced.
func TestLostClaimDoesNotComeBackAfterASecondRestore(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	late, other := newRegistry(store, &now), newRegistry(store, &now)
	older := store.Copy()
	first, _, err := late.Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	store.Restore(older)
	restore(other)
	now = now.Add(settleTime)
	_, _, err = other.Begin(testCtx, request("r2", "seat"))
	require.NoError(t, err)
	store.Restore(store.Copy())
	assert.Contains(t, restore(late), "claim_lost")
	require.ErrorIs(t, late.Complete(testCtx, first, &Response{Status: 201}), ErrLost)
}

// Guards against a key that stays taken after a restore, although the caller was told that
// its request was not run and the key is free.
func TestReleasedClaimOfTheCopyIsReleasedAgain(t *testing.T) {
	for name, fails := range map[string]bool{"at once": false, "after a failure": true} {
		t.Run(name, func(t *testing.T) {
			store, now := new(kvtest.Store), testStart
			reg := newRegistry(store, &now)
			claim, _, err := reg.Begin(testCtx, request("r1", "seat"))
			require.NoError(t, err)
			older := store.Copy()
			require.NoError(t, reg.Release(testCtx, claim))
			store.Restore(older)
			if fails {
				store.SetUnavailable(true)
				restore(reg)
				store.SetUnavailable(false)
			}
			restore(reg)
			assert.Empty(t, store.Entries())
			now = now.Add(settleTime)
			claim, _, err = reg.Begin(testCtx, request("r2", "seat"))
			require.NoError(t, err)
			assert.NotNil(t, claim)
		})
	}
}

// Guards against an entry of a later version that is overwritten, because this one can't
// read it.
func TestClaimThatCannotBeReadIsNotOverwritten(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	older := store.Copy()
	claim, _, err := reg.Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	store.Restore(older)
	_, err = store.CompareAndSwap(testCtx, claim.key, []byte("?"), 0, kv.LeaseID{})
	require.NoError(t, err)
	assert.Contains(t, restore(reg), "claim_lost")
	assert.Equal(t, "?", string(store.Entries()[claim.key].Value))
}

func TestRecordsYieldToThoseOfTheSameOrALaterEra(t *testing.T) {
	for _, c := range []struct {
		stored, own, current kv.Era
		yields               bool
	}{{1, 1, 2, true}, {0, 1, 2, true}, {1, 2, 3, true}, {2, 1, 3, false}, {2, 2, 2, false}, {2, 1, 2, false}} {
		assert.Equal(t, c.yields, (&record{Era: c.stored}).yieldsTo(&record{Era: c.own}, c.current), "%+v", c)
	}
}

// Guards against a claim that is released and comes back.
func TestReleasedClaimIsNotRestored(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	claim, _, err := reg.Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	older := store.Copy()
	store.Restore(older)
	require.NoError(t, reg.Release(testCtx, claim))
	restore(reg)
	now = now.Add(settleTime)
	claim, _, err = reg.Begin(testCtx, request("r2", "seat"))
	require.NoError(t, err)
	assert.NotNil(t, claim)
}

// Guards against a restored claim that takes the key from a request that has claimed
// it since.
func TestClaimOfAnotherRequestIsNotOverwritten(t *testing.T) {
	for name, running := range map[string]bool{"completed": false, "running": true} {
		t.Run(name, func(t *testing.T) {
			store, now := new(kvtest.Store), testStart
			late, other := newRegistry(store, &now), newRegistry(store, &now)
			older := store.Copy()
			first, _, err := late.Begin(testCtx, request("r1", "seat"))
			require.NoError(t, err)
			if !running {
				require.NoError(t, late.Complete(testCtx, first, &Response{Status: 201}))
			}
			store.Restore(older)
			restore(other)
			now = now.Add(settleTime)
			second, _, err := other.Begin(testCtx, request("r2", "seat"))
			require.NoError(t, err, "the first node did not write its claim in time")
			logged := restore(late)
			assert.Contains(t, logged, `"name":"claim_lost"`)
			assert.Contains(t, logged, `"request":"r1"`)
			assert.Empty(t, restore(late), "it is logged once")
			if running {
				require.ErrorIs(t, late.Complete(testCtx, first, &Response{Status: 201}), ErrLost)
			}
			require.NoError(t, other.Complete(testCtx, second, &Response{Status: 202}))
			_, response, err := other.Begin(testCtx, request("r3", "seat"))
			require.NoError(t, err)
			assert.Equal(t, 202, response.Status)
		})
	}
}

// Guards against claims that are lost because the service fails, or is restored again,
// while they are written.
func TestClaimsAreRestoredInTheEnd(t *testing.T) {
	const count = 3*maxEntriesPerTransaction + 5
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	older := store.Copy()
	for i := range count {
		claim, _, err := reg.Begin(testCtx, keyedRequest(fmt.Sprint(i), fmt.Sprint("r", i)))
		require.NoError(t, err)
		if i%2 == 0 {
			require.NoError(t, reg.Complete(testCtx, claim, &Response{Status: 201}))
		}
	}
	store.Restore(older)
	store.SetUnavailable(true)
	restore(reg)
	store.SetUnavailable(false)
	store.DropWriteResponses(1)
	restore(reg)
	assert.Contains(t, restore(reg)+restore(reg), `"name":"claims_restored"`)
	assert.Len(t, claimKeys(store), count)
	store.Restore(older)
	restore(reg)
	assert.Len(t, claimKeys(store), count, "the second restore lost them again")
	for key, e := range store.Entries() {
		assert.NotZero(t, e.Lease, key)
		assert.Equal(t, store.Era(), e.Lease.Era)
	}
}

// claimKeys returns the keys of all claims in the store.
func claimKeys(s *kvtest.Store) []string {
	var keys []string
	for key := range s.Entries() {
		keys = append(keys, key)
	}
	return keys
}

// Guards against two nodes that write their claims at the same time and get into each
// other's way.
func TestNodesRestoreTheirClaimsAtTheSameTime(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	older := store.Copy()
	var nodes []*Registry
	for i := range 4 {
		reg := newRegistry(store, &now)
		for j := range 50 {
			_, _, err := reg.Begin(testCtx, keyedRequest(fmt.Sprint(i, "/", j), fmt.Sprint(i, "/", j)))
			require.NoError(t, err)
		}
		nodes = append(nodes, reg)
	}
	store.Restore(older)
	done := make(chan string)
	for _, reg := range nodes {
		go func() { done <- restore(reg) }()
	}
	for range nodes {
		assert.NotContains(t, <-done, "claim_lost")
	}
	assert.Len(t, claimKeys(store), 200)
}

// Guards against the first request with a key after a restore, or after the lease was
// lost otherwise, that is refused because of the lease.
func TestLostLeaseIsReplaced(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	_, _, err := reg.Begin(testCtx, keyedRequest("a", "r1"))
	require.NoError(t, err)
	require.NoError(t, store.RevokeLease(testCtx, reg.lease))
	store.Restore(store.Copy())
	restore(reg)
	now = now.Add(settleTime)
	_, _, err = reg.Begin(testCtx, keyedRequest("b", "r2"))
	require.NoError(t, err)
}

// Guards against claims that fill the memory of a node.
func TestRememberedClaimsAreBounded(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	reg := newRegistry(store, &now)
	begin := func(i int) *Claim {
		claim, _, err := reg.Begin(testCtx, keyedRequest(fmt.Sprint(i), fmt.Sprint(i)))
		require.NoError(t, err)
		return claim
	}
	running := begin(-1)
	for i := range maxRecentClaims + 10 {
		require.NoError(t, reg.Complete(testCtx, begin(i), &Response{Status: 200}))
	}
	assert.Len(t, reg.recent.claims, maxRecentClaims+1)
	now = now.Add(recentTime + time.Millisecond)
	require.NoError(t, reg.Complete(testCtx, begin(-2), &Response{Status: 200}))
	assert.Len(t, reg.recent.claims, 2, "the running one and the last one")
	require.NoError(t, reg.Release(testCtx, running))
	assert.Len(t, reg.recent.ended, 2)
	now = now.Add(recentTime + time.Millisecond)
	require.NoError(t, reg.Complete(testCtx, begin(-3), &Response{Status: 200}))
	assert.Len(t, reg.recent.claims, 1)
	assert.Len(t, reg.recent.ended, 1)
}
