package directory

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// toRouter is a network whose only other node answers by a router.
type toRouter struct {
	peer.Network
	router *peer.Router
	calls  int
}

func (n *toRouter) Call(ctx context.Context, _ fleet.NodeID, m wire.Message) (wire.Message, error) {
	n.calls++
	return n.router.Dispatch(ctx, fleet.Node{}, m)
}

func TestMissedUpdatesAreFetchedAndAgesRenewed(t *testing.T) {
	owner, ownerRouter, _ := newDirectory()
	owner.Apply(update("t1", 3, 1, key))
	owner.Apply(update("t2", 3, 7, key))
	d, router, clock := newDirectory()
	d.Apply(update("t1", 3, 1, key))
	d.Apply(update("t2", 3, 6))
	clock.now = clock.now.Add(time.Minute)
	require.True(t, d.Replicas(key)[0].Stale)

	reports := owner.reports("n1")
	require.Len(t, reports.Reports, 2)
	assert.Empty(t, owner.reports("n2").Reports, "only the owner reports")
	_, err := router.Dispatch(context.Background(), fleet.Node{ID: "n1"}, reports)
	require.NoError(t, err)
	net := &toRouter{router: ownerRouter}
	d.fetch(context.Background(), net, <-d.missed)
	assert.Equal(t, 1, net.calls)
	assert.Equal(t, []string{"t1", "t2"}, targetsOf(d.Replicas(key)))
	for _, c := range d.Replicas(key) {
		assert.False(t, c.Stale, c.Target.ID)
	}
	d.refresh("n1", reports)
	assert.Empty(t, d.missed, "nothing is missing any more")
	d.refresh("n0", &wire.TargetRefresh{Reports: []wire.TargetReport{{Target: "t1", Epoch: 2, Sequence: 99}}})
	assert.Empty(t, d.missed, "a former owner's report")
}

func TestOwnerThatHearsNothingReportsNothing(t *testing.T) {
	d, _, clock := newDirectory()
	d.Apply(update("t1", 1, 1, key))
	clock.now = clock.now.Add(time.Minute)
	assert.Empty(t, d.reports("n1").Reports)
}
