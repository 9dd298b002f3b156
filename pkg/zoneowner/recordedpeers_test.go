package zoneowner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
)

// stranger is the node that the owner has never met after startWithStranger.
const stranger = 0

// startWithStranger cuts one node off and starts the others again, so that one of these
// becomes the owner and has never met the first.
func (c *cluster) startWithStranger(ctx context.Context) {
	c.cutOff(stranger, true)
	for i := range testNodes {
		if i != stranger {
			c.crash(i)
			c.start(ctx, i)
		}
	}
	time.Sleep(8 * time.Second)
}

// setStorePartitions partitions the nodes for which cut returns true from the store, and
// no other.
func (c *cluster) setStorePartitions(cut func(i int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range testNodes {
		c.storePartitioned[i] = cut(i)
	}
}

// ownsZone reports whether a node owns the zone, whichever other nodes do.
func (c *cluster) ownsZone(i int) bool {
	c.mu.Lock()
	o := c.owners[i]
	c.mu.Unlock()
	return o != nil && o.IsOwner()
}

// Guards against two owners in a partition that outlasts the wait of a node that the
// owner has never met. runCluster checks the orders.
func TestOwnerWithoutTheServiceStopsBeforeAnUnrecordedNodeTakesTheZone(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		c.startWithStranger(ctx)
		owner := c.ownerIndex()
		c.setStorePartitions(func(i int) bool { return i != stranger })
		time.Sleep(maxTimeWithoutLease - 10*time.Second)
		assert.False(t, c.ownsZone(stranger))
		before := c.orderCount()
		time.Sleep(5 * time.Second)
		assert.Greater(t, c.orderCount(), before, "the owner goes on under peer leases")
		time.Sleep(30 * time.Second)
		assert.True(t, c.ownsZone(stranger))
		assert.True(t, c.ownsZone(owner), "it goes on to grant slots")
		c.setStorePartitions(func(int) bool { return false })
		c.cutOff(stranger, false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, stranger, c.ownerIndex())
		assert.False(t, c.ownsZone(owner))
	})
}

// Guards against a zone without an owner after the owner and all nodes that it has
// recorded are lost for good.
func TestUnrecordedNodeTakesTheZoneWhenAllOthersAreLost(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		c.startWithStranger(ctx)
		for i := range testNodes {
			if i != stranger {
				c.crash(i)
			}
		}
		c.cutOff(stranger, false)
		time.Sleep(maxTimeWithoutLease - 5*time.Second)
		assert.False(t, c.ownsZone(stranger))
		before := c.orderCount()
		time.Sleep(20 * time.Second)
		assert.True(t, c.ownsZone(stranger))
		assert.Greater(t, c.orderCount(), before)
	})
}

// Guards against a wait after an owner that has no other node left, as in a zone of one
// node that is replaced.
func TestNodeTakesTheZoneOfAnOwnerWithoutPeers(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		c.startWithStranger(ctx)
		owner := c.ownerIndex()
		for i := range testNodes {
			if i != owner {
				c.crash(i)
			}
		}
		time.Sleep(peerTimeout + 2*time.Second) // the owner gives them up
		c.crash(owner)
		c.cutOff(stranger, false)
		c.start(ctx, stranger)
		time.Sleep(5 * time.Second)
		assert.True(t, c.ownsZone(stranger))
	})
}

// TestOrdersAreApartWhenNodesHaveNotMet partitions nodes from each other and from the store
// at once, and crashes and starts them. runCluster checks the orders.
func TestOrdersAreApartWhenNodesHaveNotMet(t *testing.T) {
	const schedules = 20
	for seed := range uint64(schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(ctx context.Context, c *cluster) {
				r := rand.New(rand.NewPCG(seed, 38))
				for range 25 {
					c.injectPartition(ctx, r)
					time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
					if r.IntN(25) == 0 {
						time.Sleep(maxTimeWithoutLease)
					}
				}
			})
		})
	}
}

// injectPartition cuts a random node off, lets one alone reach the store, reconnects all
// nodes, or crashes or starts one.
func (c *cluster) injectPartition(ctx context.Context, r *rand.Rand) {
	node := r.IntN(testNodes)
	switch r.IntN(7) {
	case 0, 1:
		c.cutOff(node, true)
	case 2:
		c.cutOff(node, false)
	case 3:
		c.setStorePartitions(func(i int) bool { return i != node })
	case 4:
		c.setStorePartitions(func(int) bool { return false })
	case 5:
		c.crash(node)
	case 6:
		for i := range testNodes {
			if c.missing(i) {
				c.start(ctx, i)
			}
		}
	}
}

// missing reports whether a node has crashed and not started again.
func (c *cluster) missing(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owners[i] == nil
}

// Guards against peer leases that count although the write of the nodes that must grant
// them has an unknown outcome.
func TestPeersOfAnUnconfirmedWriteMustAllGrant(t *testing.T) {
	now := time.Now()
	granted := func(ids ...fleet.NodeID) *authority {
		a := new(authority)
		a.leaseRenewed(now.Add(-time.Second), time.Second)
		a.recorded.confirmed([]fleet.NodeID{"n2"})
		for _, id := range ids {
			a.nodeConnected(now, id)
			a.peerLeaseGranted(now, id)
		}
		return a
	}
	authorized := func(a *authority) bool { return a.validUntil(now).After(now) }
	assert.True(t, authorized(granted("n2")))
	assert.False(t, authorized(granted("n3")), "the node in the record has granted none")

	a := granted("n2")
	a.peersWritten([]fleet.NodeID{"n2", "n3"})
	assert.False(t, authorized(a), "the record may name n3")
	a.peersRecorded(now, []fleet.NodeID{"n2"})
	assert.True(t, authorized(a))
	a.peersWritten(nil)
	assert.False(t, authorized(a), "the record may name no node, so that any may acquire the zone")
	a.peersRecorded(now, nil)
	assert.False(t, authorized(a))
}

// Guards against a node whose wait goes on although the owner has registered again.
func TestWaitOfAnUnrecordedNodeBeginsAgainWithTheRecord(t *testing.T) {
	s := new(kvtest.Store)
	o := newSingleOwner(s)
	now := time.Now()
	o.cfg.BootClock = func() time.Time { return now }
	check := func(after time.Duration) error {
		now = now.Add(after)
		lastOwner, revision, err := o.readLastOwner(t.Context())
		require.NoError(t, err)
		return o.checkRecorded(t.Context(), lastOwner, revision)
	}
	record := lastOwnerRecord{Addr: otherAddr, Token: 1, Peers: []fleet.NodeID{"n2", "n3"}}
	writeLastOwner(t, s, record)
	require.ErrorIs(t, check(0), errNotRecorded)
	writeLastOwner(t, s, record)
	require.ErrorIs(t, check(maxTimeWithoutLease), errNotRecorded, "the record was written again")
	putOwnerKey(t, s, OwnerRecord{Node: "n2", Addr: otherAddr, Incarnation: "i2"})
	require.ErrorIs(t, check(maxTimeWithoutLease), errNotRecorded, "the zone has an owner")
	putOwnerKey(t, s, OwnerRecord{})
	require.ErrorIs(t, check(maxTimeWithoutLease-time.Millisecond), errNotRecorded)
	require.NoError(t, check(time.Millisecond))

	writeLastOwner(t, s, lastOwnerRecord{Addr: otherAddr, Token: 1, Peers: []fleet.NodeID{"n1"}})
	require.NoError(t, check(0), "the record names this node")
	writeLastOwner(t, s, lastOwnerRecord{Addr: otherAddr, Token: 1, Peers: []fleet.NodeID{"n2"}, LastOrderAge: time.Second})
	require.NoError(t, check(0), "the owner has resigned")
}

// putOwnerKey stores an owner record without a lease.
func putOwnerKey(t *testing.T, s *kvtest.Store, r OwnerRecord) {
	t.Helper()
	value, err := json.Marshal(r)
	require.NoError(t, err)
	key := OwnerKey(singleOwnerZone)
	e, _ := s.Get(t.Context(), key)
	_, err = s.CompareAndSwap(t.Context(), key, value, e.ModRevision, kv.LeaseID{})
	require.NoError(t, err)
}

// Guards against an owner that registers again and leaves the record as it was, so that
// an unrecorded node takes the zone although the owner has renewed its lease since.
func TestOwnerThatRegistersAgainWritesTheRecord(t *testing.T) {
	s := new(kvtest.Store)
	writeLastOwner(t, s, lastOwnerRecord{Addr: ownAddr, Token: 1, Peers: []fleet.NodeID{"n2"}})
	o := newSingleOwner(s)
	active := o.startExpiredTerm()
	_, before, err := o.readLastOwner(t.Context())
	require.NoError(t, err)
	o.reacquire(active)
	_, after, err := o.readLastOwner(t.Context())
	require.NoError(t, err)
	assert.Greater(t, after, before)
	assert.True(t, active.authority.validUntil(time.Now()).After(time.Now()))
}
