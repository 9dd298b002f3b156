package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// TestFairQueueSharesPlaces: a greedy team's backlog does not delay another
// team, and classes share by weight.
func TestFairQueueSharesPlaces(t *testing.T) {
	q := newFairQueue()
	add := func(team fleet.Team, class catalog.Class, n int) {
		for i := range n {
			q.push(&waiter{id: fmt.Sprint(team, i), flow: flowID{class: class, team: team}, arrival: uint64(q.size)})
		}
	}
	add("greedy", catalog.ClassStandard, 100)
	add("small", catalog.ClassStandard, 5)
	require.LessOrEqual(t, q.ahead(flowID{class: catalog.ClassInteractive, team: "third"}), 2)
	served := map[fleet.Team]int{}
	for range 10 {
		served[q.pop().flow.team]++
	}
	require.Equal(t, 5, served["small"])

	add("batch", catalog.ClassBatch, 50)
	served = map[fleet.Team]int{}
	for range 50 {
		served[q.pop().flow.team]++
	}
	require.InDelta(t, 40, served["greedy"], 2, "weight 4 against 1")
	w := q.pop()
	q.unpop(w)
	require.Same(t, w, q.pop(), "a request that was put back goes first")
	require.Equal(t, 105+50-61, q.size)
}

func TestAdmission(t *testing.T) {
	loaded := admission{remaining: time.Second, limit: 10, places: 2, service: 100 * time.Millisecond}
	cold := admission{remaining: time.Second, limit: 10, service: 100 * time.Millisecond, load: 3 * time.Second}
	with := func(a admission, change func(*admission)) admission {
		change(&a)
		return a
	}
	for name, c := range map[string]struct {
		a    admission
		want fault.Kind // Internal stands for admitted
	}{
		"in time":             {loaded, fault.Internal},
		"too many ahead":      {with(loaded, func(a *admission) { a.ahead = 18 }), fault.Overloaded},
		"queue full":          {with(loaded, func(a *admission) { a.queued = 10 }), fault.Overloaded},
		"nothing known":       {admission{remaining: time.Second, limit: 10}, fault.Internal},
		"load takes too long": {cold, fault.DeadlineExceeded},
		"load almost done":    {with(cold, func(a *admission) { a.loading = 2500 * time.Millisecond }), fault.Internal},
	} {
		err := c.a.admit()
		if c.want == fault.Internal {
			require.NoError(t, err, name)
			continue
		}
		requireKind(t, c.want, err)
	}
}

func acquire(id string, remaining time.Duration) *wire.Acquire {
	return &wire.Acquire{RequestID: id, Key: testKey, Team: "derwent", RemainingMillis: remaining.Milliseconds()}
}

// busyHome returns a home whose only place is given to the request "held".
func busyHome(t *testing.T) (*Home, fleet.Node) {
	m, dir := newMesh(), newFakeDirectory()
	dir.add(candidate("t1", "a", 1), testKey)
	o := testOptions()
	o.TargetQueue = 0
	n := m.start(t, "n1", "a", o, dir, &fakeSender{send: answerOK}, nil)
	g, err := n.home.Acquire(context.Background(), n.self, acquire("held", time.Minute))
	require.NoError(t, err)
	require.EqualValues(t, "t1", g.Target.ID)
	return n.home, n.self
}

// TestAskingAgainKeepsThePlace: a request that waits longer than one call
// is queued once, and gets the next place.
func TestAskingAgainKeepsThePlace(t *testing.T) {
	h, self := busyHome(t)
	for range 3 {
		g, err := h.Acquire(context.Background(), self, acquire("r1", time.Minute))
		require.NoError(t, err)
		require.True(t, g.Waiting)
		require.Equal(t, 1, h.Waiting())
	}
	h.Release(&wire.GrantEnd{RequestID: "held", Key: testKey, ServiceMillis: 10})
	g, err := h.Acquire(context.Background(), self, acquire("r1", time.Minute))
	require.NoError(t, err)
	require.EqualValues(t, "t1", g.Target.ID)
}

// TestLeavingNodeKeepsWaiting: a node that is out of sight because it is
// leaving still waits for its callers' requests.
func TestLeavingNodeKeepsWaiting(t *testing.T) {
	h, _ := busyHome(t)
	leaving := fleet.Node{ID: "n9", Zone: "a", Incarnation: "old"}
	for range 5 { // longer than the sweep's interval
		g, err := h.Acquire(context.Background(), leaving, acquire("r1", time.Minute))
		require.NoError(t, err)
		require.True(t, g.Waiting)
	}
	h.Release(&wire.GrantEnd{RequestID: "held", Key: testKey})
	g, err := h.Acquire(context.Background(), leaving, acquire("r1", time.Minute))
	require.NoError(t, err)
	require.False(t, g.Waiting)
}

// TestPlacesOfDeadNodesComeBack: the places of an entry node that died are
// given to others.
func TestPlacesOfDeadNodesComeBack(t *testing.T) {
	h, self := busyHome(t)
	h.Release(&wire.GrantEnd{RequestID: "held", Key: testKey})
	dead := fleet.Node{ID: "n9", Zone: "a", Incarnation: "old"}
	_, err := h.Acquire(context.Background(), dead, acquire("r1", time.Minute))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		g, err := h.Acquire(context.Background(), self, acquire("r2", time.Minute))
		require.NoError(t, err)
		return !g.Waiting
	}, testTimeout, time.Millisecond)
}

// TestWaitEndsByTheDeadline: a waiting request is refused as not run.
func TestWaitEndsByTheDeadline(t *testing.T) {
	h, self := busyHome(t)
	var err error
	for err == nil {
		_, err = h.Acquire(context.Background(), self, acquire("r1", 100*time.Millisecond))
	}
	requireKind(t, fault.DeadlineExceeded, err)
	require.Zero(t, h.Waiting())
}

// TestSharedTargetKeepsRoomForOthers: a service does not take the places
// that other busy services of the target are due.
func TestSharedTargetKeepsRoomForOthers(t *testing.T) {
	o := DefaultOptions()
	c := candidate("t1", "a", 8)
	require.Equal(t, 10, o.places(&c, "helper"))
	c.State.Replicas = []fleet.ReplicaState{{Key: fleet.ReplicaKey{Service: "other", Model: "m"}, Running: 1}}
	require.Equal(t, 6, o.places(&c, "helper"))
	c.State.Replicas[0].Running = 8
	require.Equal(t, 4, o.places(&c, "helper"), "the even share")
}

// TestCallerThatLeavesIsForgottenAtOnce: its request neither waits on nor
// asks again.
func TestCallerThatLeavesIsForgottenAtOnce(t *testing.T) {
	h, _ := busyHome(t)
	n := h.net.(*testNode)
	n.loads.get("t1").inflight.Add(100) // no place for a direct request
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Do(ctx, modelRequest(time.Hour), &testSink{}) }()
	require.Eventually(t, func() bool { return h.Waiting() == 1 }, testTimeout, time.Millisecond)
	cancel()
	requireKind(t, fault.CallerGone, <-done)
	require.Zero(t, h.Waiting())
}

// TestFailedLoadIsNotRepeatedByEachRequest: requests that ask again after a
// refusal do not start a load each.
func TestFailedLoadIsNotRepeatedByEachRequest(t *testing.T) {
	o := testOptions()
	o.PlacePause = time.Hour
	n := newMesh().start(t, "n1", "a", o, newFakeDirectory(), &fakeSender{send: answerOK}, nil)
	for i := range 20 {
		_, err := n.home.Acquire(context.Background(), n.self, acquire(fmt.Sprint("r", i), time.Minute))
		requireKind(t, fault.NoCapacity, err)
	}
	require.EqualValues(t, 1, n.loader.calls.Load())
}
