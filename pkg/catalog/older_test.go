package catalog

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// A node that has just started meets an older service before it has heard of
// its peers: a change through it would be accepted and revert what is in force.
func TestStartingNodeAcceptsNothing(t *testing.T) {
	c := started(t)
	c.mustApply(0, team("a", "s"), 0)
	backup := c.store.Snapshot()
	c.mustApply(0, withReplicas(team("a", "s"), 4), 1)
	c.store.Restore(backup)
	c.restart(3)
	c.nodes[3].service.StepPlatform(context.Background())
	require.EqualValues(t, 1, c.nodes[3].service.Head("a").Revision, "it has only heard of the service")
	_, err := c.apply(3, withReplicas(team("a", "s"), 9), 1)
	require.Equal(t, fault.PlatformUnavailable, fault.KindOf(err))
	c.run(4 * time.Second)
	require.True(t, c.nodes[3].service.Ready())
	require.EqualValues(t, 2, c.nodes[3].service.Head("a").Revision)
}

func TestOlderServiceIsNotFollowed(t *testing.T) {
	c := started(t)
	c.mustApply(0, team("a", "s"), 0)
	c.mustApply(0, team("b", "t"), 0)
	backup := c.store.Snapshot()
	c.mustApply(0, withReplicas(team("a", "s"), 4), 1)
	c.settle(agreeBound)
	c.store.Restore(backup)
	c.restart(7)
	c.run(20 * time.Second)
	for _, n := range c.nodes {
		assert.EqualValues(t, 2, n.service.Head("a").Revision, "%s keeps what was accepted", n.node.ID)
	}
	alarmed := 0
	for _, n := range c.nodes {
		alarmed += len(n.service.Older())
	}
	assert.Equal(t, 6, alarmed, "every watcher raises the alarm, for the one team")
	_, err := c.apply(1, withReplicas(team("a", "s"), 9), 2)
	require.ErrorIs(t, err, ErrPlatformOlder)
	_, err = c.nodes[1].service.Restore(context.Background(), "a", "operator")
	require.NoError(t, err)
	c.run(30 * time.Second)
	require.True(t, c.agree())
	for _, n := range c.nodes {
		assert.Empty(t, n.service.Older())
		assert.EqualValues(t, 3, n.service.Head("a").Revision)
		spec, _ := n.service.Snapshot().Team("a")
		assert.Equal(t, 4, spec.Services[0].Models[0].MaxReplicas)
	}
}

// After a restore from a backup another writer, who knows nothing of what was
// lost, makes the same number of changes and one more.
func TestForkedSubtreeIsNotFollowed(t *testing.T) {
	c := started(t)
	c.mustApply(0, team("a", "s"), 0)
	backup := c.store.Snapshot()
	c.mustApply(0, withReplicas(team("a", "s"), 4), 1)
	c.store.Restore(backup)
	outside := newTestRepository(c.store)
	mustApply(t, outside, withReplicas(team("a", "s"), 7), 1)
	forked := mustApply(t, outside, withReplicas(team("a", "s"), 8), 2)
	c.run(30 * time.Second)
	// A node that started from the service would send it to its peers, too.
	push := &wire.CatalogParts{Heads: []wire.CatalogHead{{Team: "a", Revision: 3, Value: forked.Value}}, Chunks: dataOf(forked.Chunks)}
	for _, n := range c.nodes {
		_, err := n.router.Dispatch(context.Background(), c.nodes[0].node, push)
		require.NoError(t, err)
	}
	require.Equal(t, []fleet.Team{"a"}, c.nodes[0].service.Older())
	for _, n := range c.nodes {
		spec, _ := n.service.Snapshot().Team("a")
		assert.Equal(t, 4, spec.Services[0].Models[0].MaxReplicas, n.node.ID)
	}
}

// Two zones part; one is replaced as a whole and meets an older service. Both
// then have a revision 2, and the difference is seen once they meet.
func TestForkAtTheSameRevisionIsSeen(t *testing.T) {
	c := started(t)
	c.mustApply(0, team("a", "s"), 0)
	backup := c.store.Snapshot()
	c.mustApply(0, withReplicas(team("a", "s"), 4), 1)
	c.store.Restore(backup)
	for _, other := range []fleet.Zone{"z0", "z2"} {
		c.setCut("z1", other, true)
	}
	for _, i := range []int{1, 4, 7} {
		c.restart(i)
	}
	c.run(4 * time.Second)
	c.mustApply(1, withReplicas(team("a", "s"), 9), 1)
	c.healAll()
	before := alarms.Get()
	c.run(3 * time.Second)
	assert.NotEmpty(t, c.nodes[1].service.forks)
	raised := alarms.Get()
	assert.Greater(t, raised, before)
	sums := map[uint64]bool{}
	for _, n := range c.nodes[0].service.InForce(context.Background()) {
		assert.EqualValues(t, 2, n.Revisions["a"])
		sums[n.Sum] = true
	}
	assert.Len(t, sums, 2, "status sees two catalogs")
	c.run(20 * time.Second)
	assert.LessOrEqual(t, alarms.Get(), raised+6, "the alarm is not repeated")
}
