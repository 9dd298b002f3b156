package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
	"almondturn/wire"
)

// heldTarget is a target whose connections are held back until release is called.
type heldTarget struct {
	target   *inventory.Target
	requests atomic.Int32
	dialing  chan struct{}
	release  func()
}

// newHeldTarget starts a target and makes the node connect to it only after release.
func newHeldTarget(t *testing.T, n *Node) *heldTarget {
	h := &heldTarget{dialing: make(chan struct{}, 4)}
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { h.requests.Add(1) }))
	t.Cleanup(s.Close)
	h.target = &inventory.Target{ID: "t1", Service: "s", Zone: "z", Addr: s.Listener.Addr().String(), Incarnation: 1}
	released := make(chan struct{})
	h.release = func() { close(released) }
	n.pool = upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		h.dialing <- struct{}{}
		<-released
		return new(net.Dialer).DialContext(ctx, network, addr)
	})
	return h
}

// newIdleJob returns a job of a request that may be repeated.
func newIdleJob() *job {
	now := time.Now()
	return &job{
		Request: &Request{RequestInfo: RequestInfo{ID: "r1"}, Route: &route.Route{Kind: route.Safe, MaxAttempts: 2}, Method: http.MethodGet, URI: "/"},
		service: "s", arrived: now, deadline: now.Add(5 * time.Second),
	}
}

// A request that waited for its connection was sent although the target had said meanwhile
// that it leaves or wants a pause, was listed as draining, or was removed from the list.
func TestRequestIsWithheldIfTheTargetIsOutWhileItConnects(t *testing.T) {
	for name, leave := range map[string]func(n *Node, target *inventory.Target){
		"it says so": func(n *Node, target *inventory.Target) {
			n.notices.Record(noticeKey(target), notices.Notice{Leaving: true})
		},
		"it asks for a pause": func(n *Node, target *inventory.Target) {
			n.notices.Record(noticeKey(target), notices.Notice{Pause: time.Minute})
		},
		"another node heard it": func(n *Node, _ *inventory.Target) { n.receiveLeaving("n2", leavingMessage("t1", 1)) },
		"it is listed so": func(n *Node, target *inventory.Target) {
			draining := *target
			draining.Draining = true
			n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{&draining}))
		},
		"it is no longer listed": func(n *Node, _ *inventory.Target) {
			n.targetSet.Store(inventory.NewTargetSet(nil))
		},
		"another incarnation is listed": func(n *Node, target *inventory.Target) {
			restarted := *target
			restarted.Incarnation++
			n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{&restarted}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, _ := newIdleNode(t)
			equipNode(n)
			h := newHeldTarget(t, n)
			j := newIdleJob()
			x := n.newExchange(t.Context(), j, assignment{target: h.target, zone: "z"})
			x.begin()
			<-h.dialing
			leave(n, h.target)
			h.release()
			<-x.ended
			require.ErrorIs(t, x.err, errWithheld)
			assert.Zero(t, h.requests.Load())
			assert.True(t, x.failedToContinue(), "a silent stream is not handed over to it")
			u := n.abandon(j, x)
			assert.Equal(t, withheld, u.result.kind)
			assert.Equal(t, wire.RunNotSent, u.result.runOutcome())
			j.addUnused(u)
			assert.Zero(t, j.sends, "nothing was sent")
			assert.Empty(t, j.excluded)
			result := n.classifySendError(t.Context(), j, "t1", x.err)
			assert.Equal(t, withheld, result.kind)
			assert.False(t, result.countsAsFailure())
			assert.Zero(t, j.possibleRuns)
		})
	}
}

// leavingMessage names one target that leaves.
func leavingMessage(target string, incarnation int64) *wire.LeavingTargets {
	return &wire.LeavingTargets{Targets: []wire.TargetIncarnation{{Target: target, Incarnation: incarnation}}}
}

// Another target at the address of one that leaves, or a new incarnation, was taken for it.
func TestOtherIncarnationIsNotWithheld(t *testing.T) {
	n, _ := newIdleNode(t)
	old := &inventory.Target{ID: "t1", Addr: "a:1", Incarnation: 1}
	n.notices.Record(noticeKey(old), notices.Notice{Leaving: true})
	assert.Error(t, n.mayStillSend(old))
	assert.NoError(t, n.mayStillSend(&inventory.Target{ID: "t1", Addr: "a:1", Incarnation: 2}))
	assert.NoError(t, n.mayStillSend(&inventory.Target{ID: "t2", Addr: "a:1", Incarnation: 1}))
}

// An owner that isn't told of a target that leaves grants it again and again: the request
// must not go round until its deadline.
func TestWithheldAttemptsAreBounded(t *testing.T) {
	n, _ := newIdleNode(t)
	j := newIdleJob()
	tries := 0
	for cr := new(clientResponse); n.prepareRetry(t.Context(), j, cr, sendResult{kind: withheld, err: errTargetLeaves}); tries++ {
		j.sends++
		require.Less(t, tries, 100)
	}
	assert.Equal(t, maxSends, tries)
	assert.Equal(t, obstacleTargets, j.obstacle)
}

// A target without an owner was chosen by its last report although it leaves.
func TestChoiceWithoutAnOwnerLeavesOutTargetsThatLeave(t *testing.T) {
	n, _ := newIdleNode(t)
	leaving := &inventory.Target{ID: "t1", Service: "s", Zone: "z", Incarnation: 1, Models: []inventory.LoadedModel{{Name: "m"}}}
	other := &inventory.Target{ID: "t2", Service: "s", Zone: "y", Incarnation: 1, Models: []inventory.LoadedModel{{Name: "m"}}}
	n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{leaving, other}))
	j := newIdleJob()
	j.Model = "m"
	a, ok := n.chooseByLastReport(j)
	require.True(t, ok)
	assert.Equal(t, "t1", a.target.ID, "the one in this zone")
	n.directory.Put("targets/t1", inventory.Registration{Target: leaving})
	n.directory.Put("targets/t2", inventory.Registration{Target: other})
	n.receiveLeaving("n2", leavingMessage("t1", 1))
	for range 3 {
		a, ok = n.chooseByLastReport(j)
		require.True(t, ok)
		assert.Equal(t, "t2", a.target.ID)
	}
	assert.Equal(t, []wire.UnavailableTarget{{Target: "t1"}}, n.unavailableTargets(&job{service: "s"}), "owners are told")
	assert.Nil(t, n.leavingTargets("y"))
	assert.Equal(t, leavingMessage("t1", 1), n.leavingTargets("z"))
}

// A pause of one target took others out, or was forgotten without an owner.
func TestChoiceWithoutAnOwnerLeavesOutTargetsThatPause(t *testing.T) {
	n, _ := newIdleNode(t)
	paused := &inventory.Target{ID: "t1", Service: "s", Zone: "z", Incarnation: 1, Models: []inventory.LoadedModel{{Name: "m"}}}
	other := &inventory.Target{ID: "t2", Service: "s", Zone: "y", Incarnation: 1, Models: []inventory.LoadedModel{{Name: "m"}}}
	n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{paused, other}))
	n.notices.Record(noticeKey(paused), notices.Notice{Pause: time.Minute})
	j := newIdleJob()
	j.Model = "m"
	for range 3 {
		a, ok := n.chooseByLastReport(j)
		require.True(t, ok)
		assert.Equal(t, "t2", a.target.ID)
	}
	unavailable := n.unavailableTargets(&job{service: "s"})
	require.Len(t, unavailable, 1)
	assert.Equal(t, "t1", unavailable[0].Target)
	assert.InDelta(t, time.Minute.Milliseconds(), unavailable[0].PauseMillis, 2000)
	assert.Nil(t, n.leavingTargets(""), "it binds this node alone")
}

// A target that asked for a pause counted as failed, and got no requests after it either.
func TestRefusalWithAPauseIsNoFailure(t *testing.T) {
	refused := sendResult{kind: notRun, status: http.StatusServiceUnavailable}
	assert.True(t, refused.countsAsFailure())
	refused.paused = true
	assert.False(t, refused.countsAsFailure())
}
