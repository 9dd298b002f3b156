package zoneowner

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/customers"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/quota"
	"almondturn/wire"
)

// quotaLimit is the limit of the customer c in the tests.
var quotaLimit = quota.Limit{PerSecond: 1000, Burst: 500}

// setCustomers makes all nodes know the customer c with a limit.
func (c *cluster) setCustomers(t *testing.T, l quota.Limit) {
	table := testTable()
	d, err := customers.NewDirectory([]customers.Entry{{Customer: customers.Customer{Name: "c", Quota: customers.Quota{PerSecond: l.PerSecond, Burst: l.Burst}}}})
	require.NoError(t, err)
	table.Customers = d
	for _, o := range c.owners {
		if o != nil {
			o.SetServices(table)
		}
	}
}

// grant is a number of tokens that an owner granted.
type grant struct {
	at     time.Time
	tokens float64
}

// lease asks all nodes for all tokens every 20 ms, as nodes do that nothing cuts off.
func (c *cluster) lease(d time.Duration) (out []grant) {
	for range int(d / (20 * time.Millisecond)) {
		time.Sleep(20 * time.Millisecond)
		c.mu.Lock()
		owners := append([]*Owner(nil), c.owners...)
		c.mu.Unlock()
		for _, o := range owners {
			if o == nil {
				continue
			}
			r := o.LeaseQuota(&wire.QuotaRequests{Requests: []wire.QuotaRequest{{Customer: "c", Tokens: 1e6, Minimum: 1e6}}})
			if !r.NotOwner {
				out = append(out, grant{time.Now(), r.Responses[0].Granted})
			}
		}
	}
	return out
}

// mostGranted returns the greatest sum of grants in a window and the term before it.
func mostGranted(grants []grant) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, g := range grants {
		for grants[first].at.Before(g.at.Add(-quota.DefaultRule.Window - quota.DefaultRule.Term())) {
			sum -= grants[first].tokens
			first++
		}
		sum += g.tokens
		most = max(most, sum)
	}
	return most
}

// Guards against two owners that grant the share of a zone beside each other, or one after the
// other with the burst again: crashed, cut off, without their lease, or with the key-value
// service down.
func TestOwnersKeepToQuotasThroughFaults(t *testing.T) {
	for seed := range uint64(20) {
		runClusterUnchecked(t, func(ctx context.Context, c *cluster) {
			rng := rand.New(rand.NewPCG(seed, 5))
			var grants []grant
			for range 25 {
				c.injectRandomFault(ctx, rng)
				c.setCustomers(t, quotaLimit)
				grants = append(grants, c.lease(time.Duration(rng.IntN(3000))*time.Millisecond)...)
			}
			assert.LessOrEqual(t, mostGranted(grants), quota.DefaultRule.Allowed(quotaLimit), "seed %d", seed)
		})
	}
}

// Guards against a next owner that grants tokens while the last one still trusts its lease: the
// key-value service was restored from a copy that has neither the lease nor the record of the
// last owner, or the lease was revoked long after the last peer lease.
func TestNextOwnerGrantsNoTokensWhileTheLastOneTrustsItsLease(t *testing.T) {
	for name, loseLease := range map[string]func(c *cluster, older *memStore){
		"restored from a copy of an earlier owner": func(c *cluster, older *memStore) { c.store.restore(older, false) },
		"the same, its lease is back":              func(c *cluster, older *memStore) { c.store.restore(older, true) },
		"restored from a copy without an owner":    func(c *cluster, _ *memStore) { c.store.restore(newMemStore(), false) },
		"revoked":                                  func(c *cluster, _ *memStore) { c.store.revokeAllLeases() },
	} {
		for wait := time.Duration(0); wait < renewInterval; wait += renewInterval / 5 {
			runCluster(t, func(ctx context.Context, c *cluster) {
				first := c.ownerIndex()
				older := c.store.copy()
				c.crash(first)
				time.Sleep(6 * time.Second)
				owner := c.ownerIndex()
				c.start(ctx, first)
				time.Sleep(5*time.Second + wait) // the bucket is full then
				c.setCustomers(t, quotaLimit)
				c.cutOff(owner, true)
				c.setStorePartitions(func(int) bool { return false })
				grants := c.lease(6 * time.Second)
				require.NotEmpty(t, grants, "%s: the owner goes on under its lease", name)
				c.setStorePartitions(func(i int) bool { return i == owner })
				loseLease(c, older)
				before := len(grants)
				grants = append(grants, c.lease(10*time.Second)...)
				assert.Greater(t, len(grants), before, "%s: the next owner grants tokens", name)
				assert.LessOrEqual(t, mostGranted(grants), quota.DefaultRule.Allowed(quotaLimit), "%s, wait %v", name, wait)
			})
		}
	}
}

// The same with random restores beside crashes, partitions and outages.
func TestOwnersKeepToQuotasWhenTheServiceIsRestored(t *testing.T) {
	for seed := range uint64(20) {
		runCluster(t, func(ctx context.Context, c *cluster) {
			rng := rand.New(rand.NewPCG(seed, 42))
			copies := []*memStore{c.store.copy()}
			var grants []grant
			for range 25 {
				c.injectRestoreFault(ctx, rng, &copies)
				c.setCustomers(t, quotaLimit)
				if rng.IntN(3) == 0 {
					time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond) // the bucket fills
				}
				grants = append(grants, c.lease(time.Duration(rng.IntN(3000))*time.Millisecond)...)
			}
			assert.LessOrEqual(t, mostGranted(grants), quota.DefaultRule.Allowed(quotaLimit), "seed %d", seed)
		})
	}
}

// Guards against an owner that grants nothing after a change, and against a bucket that is
// full at the beginning of a term.
func TestNextOwnerGrantsFromAnEmptyBucket(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		c.setCustomers(t, quotaLimit)
		c.lease(time.Second)
		c.crash(c.ownerIndex())
		grants := c.lease(10 * time.Second)
		require.NotEmpty(t, grants)
		assert.Less(t, grants[0].tokens, 30.0, "20 ms of the rate")
		sum := 0.0
		for _, g := range grants {
			sum += g.tokens
		}
		assert.InDelta(t, 1000*grants[len(grants)-1].at.Sub(grants[0].at).Seconds(), sum, 50)
	})
}

// Guards against an owner that was suspended and grants tokens after its authority has ended.
func TestOwnerWithoutAuthorityGrantsNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newSingleOwner(new(kvtest.Store))
		term := o.startExpiredTerm()
		defer term.cancel()
		time.Sleep(time.Second)
		assert.True(t, o.LeaseQuota(&wire.QuotaRequests{Requests: []wire.QuotaRequest{{Customer: "c", Tokens: 1}}}).NotOwner)
	})
}
