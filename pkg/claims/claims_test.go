package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
)

// testStart is the time at which the clocks of the tests start.
var testStart = time.Unix(1_700_000_000, 0)

// testCtx is the context of the functions of test cases, which have no parameter for
// one.
var testCtx = context.Background()

// newRegistry returns the registry of one node; its clock reads *now.
func newRegistry(s *kvtest.Store, now *time.Time) *Registry {
	reg := New(s)
	reg.now = func() time.Time { return *now }
	return reg
}

// request returns a request with the key "k" and a deadline after 10 s. Requests
// with the same body have the same digest.
func request(id, body string) *Request {
	return &Request{KeyScope: "bookings", Key: "k", Digest: sha256.Sum256([]byte(body)), RequestID: id, Deadline: testStart.Add(10 * time.Second)}
}

// TestConcurrentBeginsGrantOneClaim sends 20 requests with one key through 20
// nodes at the same time: exactly one of them may run.
func TestConcurrentBeginsGrantOneClaim(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	var wg sync.WaitGroup
	var mu sync.Mutex
	claimed := 0
	for i := range 20 {
		registry := newRegistry(store, &now) // one registry per node
		wg.Go(func() {
			c, response, err := registry.Begin(t.Context(), request(fmt.Sprint("r", i), "seat"))
			mu.Lock()
			defer mu.Unlock()
			if c != nil {
				claimed++
				return
			}
			assert.Nil(t, response)
			assert.Equal(t, fault.KeyInProgress, fault.KindOf(err))
		})
	}
	wg.Wait()
	assert.Equal(t, 1, claimed)
}

// TestSecondBeginDependsOnFirstOutcome checks the result of Begin for a second request
// with the same key after each way in which the first can end, or while it runs.
func TestSecondBeginDependsOnFirstOutcome(t *testing.T) {
	want := &Response{Status: 201, ContentType: "application/json", Body: []byte("{}")}
	for name, c := range map[string]struct {
		end      func(*Registry, *Claim) error
		claimed  bool
		response *Response
		kind     fault.Kind
	}{
		"completed": {end: func(reg *Registry, c *Claim) error { return reg.Complete(testCtx, c, want) }, response: want},
		"not run":   {end: func(reg *Registry, c *Claim) error { return reg.Release(testCtx, c) }, claimed: true},
		"unknown":   {end: func(reg *Registry, c *Claim) error { return reg.MarkOutcomeUnknown(testCtx, c) }, kind: fault.OutcomeUnknown},
		"running":   {end: func(*Registry, *Claim) error { return nil }, kind: fault.KeyInProgress},
	} {
		t.Run(name, func(t *testing.T) {
			store, now := new(kvtest.Store), testStart
			first, _, err := newRegistry(store, &now).Begin(testCtx, request("r1", "seat"))
			require.NoError(t, err)
			require.NoError(t, c.end(newRegistry(store, &now), first))
			second, response, err := newRegistry(store, &now).Begin(testCtx, request("r2", "seat"))
			assert.Equal(t, c.claimed, second != nil)
			assert.Equal(t, c.response, response)
			if c.kind != 0 {
				assert.Equal(t, c.kind, fault.KindOf(err))
			}
		})
	}
}

// TestKeyReusedForDifferentRequestIsMismatch checks that a caller that reuses a key
// by mistake isn't sent the response to another request.
func TestKeyReusedForDifferentRequestIsMismatch(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	registry := newRegistry(store, &now)
	_, _, err := registry.Begin(testCtx, request("r1", "seat 1"))
	require.NoError(t, err)
	_, _, err = registry.Begin(testCtx, request("r2", "seat 2"))
	assert.Equal(t, fault.KeyMismatch, fault.KindOf(err))
}

// TestExpiredClaimHasUnknownOutcome checks that a request whose node died before
// it recorded an outcome is not run a second time.
func TestExpiredClaimHasUnknownOutcome(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	_, _, err := newRegistry(store, &now).Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	now = testStart.Add(10*time.Second + claimGracePeriod + time.Millisecond)
	_, _, err = newRegistry(store, &now).Begin(testCtx, request("r2", "seat"))
	assert.Equal(t, fault.OutcomeUnknown, fault.KindOf(err), "it is never sent a second time")
}

// TestDroppedStoreResponsesAreResolved drops the store's responses to writes that
// took effect: Begin reads its claim back, and a repeated Complete succeeds.
func TestDroppedStoreResponsesAreResolved(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	registry := newRegistry(store, &now)
	store.DropWriteResponses(1)
	c, _, err := registry.Begin(testCtx, request("r1", "seat"))
	require.NoError(t, err)
	require.NotNil(t, c, "the claim was read back")
	store.DropWriteResponses(1)
	require.ErrorIs(t, registry.Complete(testCtx, c, &Response{Status: 200}), kv.ErrOutcomeUnknown)
	require.NoError(t, registry.Complete(testCtx, c, &Response{Status: 200}), "the first attempt took effect")
	_, response, err := registry.Begin(testCtx, request("r2", "seat"))
	require.NoError(t, err)
	assert.Equal(t, 200, response.Status)
}

// TestStoreDownReturnsClaimUnsettled checks that no request runs without a claim.
func TestStoreDownReturnsClaimUnsettled(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	store.SetUnavailable(true)
	_, _, err := newRegistry(store, &now).Begin(testCtx, request("r1", "seat"))
	assert.Equal(t, fault.ClaimUnsettled, fault.KindOf(err))
	assert.Equal(t, fault.RunNo, fault.KindOf(err).Response().Run)
}

// TestClaimsWithinOneHourShareLease makes 5 claims 20 minutes apart, which need two
// leases, and checks that a dropped lease isn't used again.
func TestClaimsWithinOneHourShareLease(t *testing.T) {
	store, now := new(kvtest.Store), testStart
	registry := newRegistry(store, &now)
	leases := map[kv.LeaseID]bool{}
	for i := range 5 {
		r := request("r", "seat")
		r.Key = fmt.Sprint(i)
		c, _, err := registry.Begin(testCtx, r)
		require.NoError(t, err)
		leases[c.lease] = true
		now = now.Add(20 * time.Minute)
	}
	assert.Len(t, leases, 2)
	registry.dropLease(registry.lease)
	c, _, err := registry.Begin(testCtx, request("r", "seat"))
	require.NoError(t, err)
	assert.False(t, leases[c.lease])
}
