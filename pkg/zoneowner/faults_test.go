package zoneowner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// testNodes is the number of nodes of the cluster.
const testNodes = 3

// checkOrders fails if two owners sent orders to one target within the
// handover delay, or if a fencing token decreased.
func (c *cluster) checkOrders(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := map[string]receivedOrder{}
	for _, o := range c.orders {
		previous, ok := last[o.target]
		last[o.target] = o
		if !ok {
			continue
		}
		assert.GreaterOrEqual(t, o.token, previous.token, "fencing token of %s after %s at %s", o.sender, previous.sender, o.target)
		if o.sender != previous.sender {
			assert.GreaterOrEqual(t, o.at.Sub(previous.at), testHandoverDelay, "%s after %s at %s", o.sender, previous.sender, o.target)
		}
	}
}

// ownerIndex returns the index of the node that owns the zone, -1 for none.
func (c *cluster) ownerIndex() int {
	for i, o := range c.owners {
		if o != nil && o.IsOwner() {
			return i
		}
	}
	return -1
}

// orderCount returns the number of orders that the targets have received.
func (c *cluster) orderCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.orders)
}

// runCluster runs f against a zone of testNodes nodes in virtual time, then
// stops the nodes and checks their orders.
func runCluster(t *testing.T, f func(ctx context.Context, c *cluster)) {
	runClusterUnchecked(t, f).checkOrders(t)
}

// runClusterUnchecked is runCluster without the check of the orders. It returns the cluster.
func runClusterUnchecked(t *testing.T, f func(ctx context.Context, c *cluster)) *cluster {
	c := newCluster(testNodes)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		for i := range testNodes {
			c.start(ctx, i)
		}
		time.Sleep(2 * time.Second)
		assert.NotEqual(t, -1, c.ownerIndex(), "a node owns the zone")
		assert.Positive(t, c.orderCount(), "the first owner of a zone sends orders without a handover delay")
		f(ctx, c)
		for i := range testNodes {
			c.crash(i)
		}
		cancel()
		time.Sleep(10 * time.Second) // until all goroutines have ended
	})
	return c
}

func TestZoneIsAcquiredAfterOwnerCrash(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		first := c.ownerIndex()
		c.crash(first)
		time.Sleep(3 * time.Second)
		second := c.ownerIndex()
		assert.NotEqual(t, -1, second)
		assert.NotEqual(t, first, second)
		before := c.orderCount()
		time.Sleep(5 * time.Second)
		assert.Greater(t, c.orderCount(), before, "the new owner sends orders")
	})
}

func TestResignationShortensHandover(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.ownerIndex()
		c.owners[first].Resign(ctx)
		before := c.orderCount()
		time.Sleep(time.Second)
		assert.NotEqual(t, -1, c.ownerIndex(), "the zone is acquired before the lease would have expired")
		time.Sleep(testHandoverDelay)
		assert.Greater(t, c.orderCount(), before, "the handover delay counts from the last order")
	})
}

func TestOwnerContinuesWhileStoreIsDown(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		first := c.ownerIndex()
		c.mu.Lock()
		c.store.down = true
		c.mu.Unlock()
		time.Sleep(6 * time.Second)
		assert.Equal(t, first, c.ownerIndex(), "all nodes grant peer leases to the owner")
		before := c.orderCount()
		time.Sleep(2 * time.Second)
		assert.Greater(t, c.orderCount(), before)
		c.mu.Lock()
		c.store.down = false
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, first, c.ownerIndex(), "the owner registers again")
	})
}

func TestOwnerContinuesThroughPeersWhenPartitionedFromStore(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		first := c.ownerIndex()
		c.mu.Lock()
		c.storePartitioned[first] = true
		c.mu.Unlock()
		time.Sleep(6 * time.Second)
		assert.Equal(t, first, c.ownerIndex())
	})
}

func TestIsolatedOwnerStopsBeforeNextOwnerSendsOrders(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		first := c.ownerIndex()
		c.isolate(first, true)
		time.Sleep(4 * time.Second)
		c.mu.Lock()
		others := 0
		for i, o := range c.owners {
			if i != first && o.IsOwner() {
				others++
			}
		}
		c.mu.Unlock()
		assert.Equal(t, 1, others, "one of the other nodes owns the zone")
		c.isolate(first, false)
		time.Sleep(3 * time.Second)
	})
}

// isolate partitions a node from the store and from all other nodes, or
// reconnects it.
func (c *cluster) isolate(i int, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storePartitioned[i] = isolated
	for j := range c.partitioned {
		c.partitioned[i][j], c.partitioned[j][i] = isolated, isolated
	}
}

// All leases are revoked repeatedly, without notifying their owners. runCluster
// checks the orders.
func TestHandoverDelayIsKeptAfterLeasesAreRevoked(t *testing.T) {
	runCluster(t, func(_ context.Context, c *cluster) {
		for range 4 {
			c.store.revokeAllLeases()
			time.Sleep(1700 * time.Millisecond)
		}
	})
}

func TestRestartedOwnerSendsOrdersWithoutDelay(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.ownerIndex()
		for i := range testNodes {
			c.crash(i)
		}
		time.Sleep(300 * time.Millisecond)
		before := c.orderCount()
		c.start(ctx, first)
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, first, c.ownerIndex(), "the restarted owner replaces its own key")
		assert.Greater(t, c.orderCount(), before, "no handover delay after its own orders")
	})
}

// crashAllAndRestartOthers crashes all nodes, lets the owner's lease expire,
// and starts all nodes but the owner, whose index it returns.
func (c *cluster) crashAllAndRestartOthers(ctx context.Context) (owner int) {
	owner = c.ownerIndex()
	for i := range testNodes {
		c.crash(i)
	}
	time.Sleep(2 * time.Second)
	for i := range testNodes {
		if i != owner {
			c.start(ctx, i)
		}
	}
	return owner
}

// All nodes have crashed and the lease has expired. The last owner needs no
// handover delay, so the other nodes wait for it, although it starts last.
func TestLastOwnerIsPreferredAfterAllNodesRestart(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.crashAllAndRestartOthers(ctx)
		time.Sleep(400 * time.Millisecond)
		c.start(ctx, first)
		before := c.orderCount()
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, first, c.ownerIndex())
		assert.Greater(t, c.orderCount(), before, "it sends orders without a handover delay")
	})
}

// The other nodes wait for the last owner for a limited time only.
func TestOtherNodeAcquiresZoneWhenLastOwnerStaysDown(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.crashAllAndRestartOthers(ctx)
		time.Sleep(2 * time.Second)
		assert.NotContains(t, []int{-1, first}, c.ownerIndex())
	})
}

// Guards against an owner that registers again after its key was removed,
// although another node was the owner in between. runCluster checks the orders.
func TestOwnerDoesNotReacquireAfterAnotherOwner(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.ownerIndex()
		other := (first + 1) % testNodes
		c.isolate(first, true)
		time.Sleep(2500 * time.Millisecond) // the lease expires and another node acquires the zone
		for i := range testNodes {
			if i != first {
				c.crash(i)
			}
		}
		c.isolate(first, false)
		time.Sleep(4 * time.Second)
		c.start(ctx, other)
		time.Sleep(5 * time.Second)
	})
}

// Guards against an owner that restarts during its handover delay after another
// owner and sends orders before the delay is over.
func TestRestartedOwnerWaitsForPendingHandoverDelay(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		first := c.ownerIndex()
		c.crash(first)
		time.Sleep(2500 * time.Millisecond)
		second := c.ownerIndex()
		assert.NotEqual(t, -1, second)
		for i := range testNodes {
			c.crash(i)
		}
		before := c.orderCount()
		c.start(ctx, second)
		time.Sleep(time.Second)
		assert.Equal(t, second, c.ownerIndex())
		assert.Equal(t, before, c.orderCount(), "the handover delay is not over")
		time.Sleep(6 * time.Second)
		assert.Greater(t, c.orderCount(), before)
	})
}

// faultSchedules is the number of random schedules of faults.
const faultSchedules = 40

// TestRandomFaults injects random partitions, crashes, store outages, dropped
// responses and revoked leases; orders of two nodes never come within the
// handover delay.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSchedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(ctx context.Context, c *cluster) {
				r := rand.New(rand.NewPCG(seed, 3))
				for range 30 {
					c.injectRandomFault(ctx, r)
					time.Sleep(time.Duration(100+r.IntN(1200)) * time.Millisecond)
				}
			})
		})
	}
}

// injectRandomFault crashes, starts, partitions or reconnects a random node,
// or changes the state of the store.
func (c *cluster) injectRandomFault(ctx context.Context, r *rand.Rand) {
	i := r.IntN(testNodes)
	switch r.IntN(8) {
	case 0:
		c.crash(i)
	case 1, 2:
		c.mu.Lock()
		missing := c.owners[i] == nil
		c.mu.Unlock()
		if missing {
			c.start(ctx, i)
		}
	case 3:
		c.mu.Lock()
		c.storePartitioned[i] = !c.storePartitioned[i]
		c.mu.Unlock()
	case 4:
		c.isolate(i, r.IntN(2) == 0)
	case 5:
		c.mu.Lock()
		c.store.down = !c.store.down
		c.mu.Unlock()
	case 6:
		c.store.revokeAllLeases()
	case 7:
		c.mu.Lock()
		c.dropResponses = !c.dropResponses
		c.mu.Unlock()
	}
}

// TestOrdersAreApartWhenOwnersStop stops and crashes owners and starts them again at
// random times, beside partitions. runCluster checks the orders.
func TestOrdersAreApartWhenOwnersStop(t *testing.T) {
	const schedules = 60
	for seed := range uint64(schedules) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, func(ctx context.Context, c *cluster) {
				r := rand.New(rand.NewPCG(seed, 31))
				for range 25 {
					c.injectStop(ctx, r)
					time.Sleep(time.Duration(r.IntN(2500)) * time.Millisecond)
				}
			})
		})
	}
}

// injectStop stops or crashes the owner, or partitions a random node.
func (c *cluster) injectStop(ctx context.Context, r *rand.Rand) {
	node, owner := r.IntN(testNodes), c.ownerIndex()
	switch kind := r.IntN(4); {
	case kind == 0:
		c.cutStore(node)
	case kind == 1:
		c.cutNodes(node, r.IntN(testNodes))
	case owner < 0:
	default:
		if kind == 2 {
			stopCtx, cancel := context.WithTimeout(ctx, time.Second)
			c.owners[owner].Resign(stopCtx)
			cancel()
		}
		c.crash(owner)
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
		c.start(ctx, owner)
	}
}

// Guards against two owners: one that has lost the key-value service and goes on under
// the peer leases of the nodes that it knows, and a node that it has never met, which
// acquires the zone.
func TestOwnerThatNeverMetANode(t *testing.T) {
	runCluster(t, func(ctx context.Context, c *cluster) {
		const stranger = 0
		c.cutOff(stranger, true)
		for i := range testNodes {
			if i != stranger {
				c.crash(i)
				c.start(ctx, i)
			}
		}
		time.Sleep(8 * time.Second)
		c.mu.Lock()
		for i := range testNodes {
			c.storePartitioned[i] = i != stranger
		}
		c.mu.Unlock()
		time.Sleep(12 * time.Second)
	})
}

// cutOff partitions a node from the store and from all other nodes, or ends that.
func (c *cluster) cutOff(node int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storePartitioned[node] = cut
	for i := range testNodes {
		c.partitioned[node][i], c.partitioned[i][node] = cut && i != node, cut && i != node
	}
}
