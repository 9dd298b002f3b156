package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
	"almondturn/wire"
)

const testTimeout = 10 * time.Second

func TestWarmRequestGoesDirectly(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	dir.add(candidate("t1", "a", 4), testKey)
	n := m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	var s testSink
	r := modelRequest(testTimeout)
	require.NoError(t, n.Do(context.Background(), r, &s))
	require.Equal(t, r.ID+" by t1", string(s.body))
	require.Zero(t, n.loader.calls.Load())
	require.Zero(t, n.loads.get("t1").inflight.Load())
}

// TestBurstOfColdRequestsLoadsOnce: requests arrive at all nodes at once
// and wait for one load.
func TestBurstOfColdRequestsLoadsOnce(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	nodes := make([]*testNode, 0, 3)
	for _, id := range []fleet.NodeID{"n1", "n2", "n3"} {
		n := m.start(t, id, "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
		n.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
			dir.add(candidate("t1", "a", 4), testKey)
			return "t1", nil
		}
		nodes = append(nodes, n)
	}
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			var s testSink
			if err := nodes[i%3].Do(context.Background(), modelRequest(testTimeout), &s); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	home, _ := m.homeOf(t, "a")
	for _, n := range nodes {
		if n == home {
			require.EqualValues(t, 1, n.loader.calls.Load())
		} else {
			require.Zero(t, n.loader.calls.Load(), "only the home asks for a load")
		}
	}
}

// TestHomeThatFailsIsReplaced: the entry node queues at the next home when
// a home is dead, or answers nothing.
func TestHomeThatFailsIsReplaced(t *testing.T) {
	for _, silent := range []bool{false, true} {
		m, dir := newMesh(), newFakeDirectory()
		for _, id := range []fleet.NodeID{"n1", "n2", "n3"} {
			n := m.start(t, id, "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
			n.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
				dir.add(candidate("t1", "a", 4), testKey)
				return "t1", nil
			}
		}
		home, other := m.homeOf(t, "a")
		block := make(chan struct{})
		home.loader.load = func(ctx context.Context, _ fleet.ReplicaKey) (fleet.TargetID, error) {
			close(block)
			<-ctx.Done()
			return "", ctx.Err()
		}
		done := make(chan error)
		go func() { done <- other.Do(context.Background(), modelRequest(testTimeout), &testSink{}) }()
		<-block // the request waits at the home
		m.mu.Lock()
		m.dead[home.self.ID] = !silent
		m.silent[home.self.ID] = silent
		m.mu.Unlock()
		require.NoError(t, <-done)
	}
}

func TestDrainMovesWaitingRequests(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	for _, id := range []fleet.NodeID{"n1", "n2"} {
		n := m.start(t, id, "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
		n.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
			dir.add(candidate("t1", "a", 4), testKey)
			return "t1", nil
		}
	}
	home, other := m.homeOf(t, "a")
	block := make(chan struct{})
	home.loader.load = func(ctx context.Context, _ fleet.ReplicaKey) (fleet.TargetID, error) {
		close(block)
		<-ctx.Done()
		return "", ctx.Err()
	}
	done := make(chan error)
	go func() { done <- other.Do(context.Background(), modelRequest(testTimeout), &testSink{}) }()
	<-block
	require.NoError(t, home.Drain(context.Background()))
	require.NoError(t, <-done)
}

func TestOtherZoneServesWhenOwnCannot(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	own := m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	far := m.start(t, "n2", "b", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	far.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
		dir.add(candidate("t9", "b", 4), testKey)
		return "t9", nil
	}
	var s testSink
	require.NoError(t, own.Do(context.Background(), modelRequest(testTimeout), &s))
	require.Contains(t, string(s.body), "by t9")
}

func TestRefusals(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	n := m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	requireKind(t, fault.NoCapacity, n.Do(context.Background(), modelRequest(100*time.Millisecond), &testSink{}))
	never := modelRequest(testTimeout)
	never.Replica.MaxReplicas = 0
	requireKind(t, fault.NoCapacity, n.Do(context.Background(), never, &testSink{}))
	// Another mesh: the refusal above holds for a short time.
	m, dir = newMesh(), newFakeDirectory()
	n = m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	n.loader.load = func(ctx context.Context, _ fleet.ReplicaKey) (fleet.TargetID, error) {
		<-ctx.Done()
		return "", ctx.Err()
	}
	requireKind(t, fault.DeadlineExceeded, n.Do(context.Background(), modelRequest(60*time.Millisecond), &testSink{}))
	r := modelRequest(testTimeout)
	r.IdempotencyKey = "k"
	requireKind(t, fault.ClaimUnsettled, n.Do(context.Background(), r, &testSink{}))
	r = modelRequest(testTimeout)
	r.Replica.Key, r.Service = fleet.ReplicaKey{}, "desk"
	requireKind(t, fault.NoReplica, n.Do(context.Background(), r, &testSink{}))
}

// TestRetriesKeepTheTruth: an attempt that may have run decides the answer,
// whatever comes after it.
func TestRetriesKeepTheTruth(t *testing.T) {
	unknown := &target.SendError{Run: fault.RunUnknown, Err: errors.New("cut")}
	unreachable := &target.SendError{Run: fault.RunNo, Err: errors.New("refused connection")}
	busy := &target.SendError{Run: fault.RunNo, Refused: true, Status: 429, Err: errors.New("busy")}
	for name, c := range map[string]struct {
		idempotent bool
		errs       []error
		want       fault.Kind // Internal stands for success
		sent       int
	}{
		"not run is repeated":            {false, []error{unreachable, nil}, fault.Internal, 2},
		"unknown is not repeated":        {false, []error{unknown}, fault.OutcomeUnknown, 1},
		"unknown lookup is repeated":     {true, []error{unknown, nil}, fault.Internal, 2},
		"unknown then refused":           {true, []error{unknown, busy, busy, busy}, fault.OutcomeUnknown, 4},
		"unreachable throughout":         {false, []error{unreachable, unreachable, unreachable, unreachable}, fault.TargetUnreachable, 4},
		"busy throughout":                {true, []error{busy, busy, busy, busy}, fault.Overloaded, 4},
		"not run, then possibly run":     {false, []error{busy, unknown}, fault.OutcomeUnknown, 2},
		"unknown error counts as unsure": {false, []error{errors.New("odd")}, fault.OutcomeUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			m, dir := newMesh(), newFakeDirectory()
			for _, id := range []fleet.TargetID{"t1", "t2", "t3", "t4"} {
				dir.add(candidate(id, "a", 4), testKey)
			}
			s := &fakeSender{}
			s.send = func(ctx context.Context, tg fleet.Target, x *target.Exchange, to target.Receiver) error {
				if err := c.errs[s.sent.Load()-1]; err != nil {
					return err
				}
				return answerOK(ctx, tg, x, to)
			}
			n := m.start(t, "n1", "a", testOptions(), dir, s, nil)
			r := modelRequest(testTimeout)
			r.Idempotent = c.idempotent
			err := n.Do(context.Background(), r, &testSink{})
			require.EqualValues(t, c.sent, s.sent.Load())
			if c.want == fault.Internal {
				require.NoError(t, err)
				return
			}
			requireKind(t, c.want, err)
		})
	}
}

// TestNoRetryStorm: while every target fails, retries stay a small share of
// the requests, and an outage earns none for later.
func TestNoRetryStorm(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	for _, id := range []fleet.TargetID{"t1", "t2", "t3", "t4"} {
		dir.add(candidate(id, "a", 1000), testKey)
	}
	s := &fakeSender{send: func(context.Context, fleet.Target, *target.Exchange, target.Receiver) error {
		return &target.SendError{Run: fault.RunNo, Refused: true, Status: 503, Err: errors.New("down")}
	}}
	o := testOptions()
	n := m.start(t, "n1", "a", o, dir, s, nil)
	const requests = 1000
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			requireKind(t, fault.NoReplica, n.Do(context.Background(), modelRequest(testTimeout), &testSink{}))
		})
	}
	wg.Wait()
	require.LessOrEqual(t, float64(s.sent.Load()), requests*(1+o.RetryRatio)+o.RetryBurst)
}

// TestRequestThatNoTargetCanGet is refused without a word about the target.
func TestRequestThatNoTargetCanGet(t *testing.T) {
	n := warmNode(t, quickEngine(t), 4)
	r := modelRequest(testTimeout)
	r.Path = "/a%zz"
	requireKind(t, fault.BadRequest, n.Do(context.Background(), r, &testSink{}))
	require.NoError(t, n.Do(context.Background(), modelRequest(testTimeout), &testSink{}), "the target is not avoided")
}

// TestRestartedEnginesAreLoadedAgain: the directory calls the replica
// loaded on targets that have lost it; the requests wait for a load.
func TestRestartedEnginesAreLoadedAgain(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	dir.add(candidate("t1", "a", 4), testKey)
	dir.add(candidate("t2", "a", 4), testKey)
	var loaded atomic.Bool
	s := &fakeSender{}
	s.send = func(ctx context.Context, tg fleet.Target, x *target.Exchange, to target.Receiver) error {
		if !loaded.Load() || tg.ID != "t1" {
			return &target.SendError{Run: fault.RunNo, Refused: true, Status: 409, Err: errors.New("not loaded")}
		}
		return answerOK(ctx, tg, x, to)
	}
	var nodes []*testNode
	for _, id := range []fleet.NodeID{"n1", "n2"} {
		n := m.start(t, id, "a", testOptions(), dir, s, nil)
		n.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
			loaded.Store(true)
			return "t1", nil
		}
		nodes = append(nodes, n)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			if err := nodes[i%2].Do(context.Background(), modelRequest(testTimeout), &testSink{}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
}

func TestNewerReportEndsStaleMark(t *testing.T) {
	var s staleTable
	now := time.Unix(1, 0)
	k := staleKey{"t1", testKey}
	s.mark(k, 5, now.Add(time.Second))
	require.True(t, s.active(k, 5, now))
	require.False(t, s.active(staleKey{"t2", testKey}, 5, now))
	require.False(t, s.active(k, 6, now), "a newer report counts")
	s.mark(k, 5, now.Add(time.Second))
	require.False(t, s.active(k, 5, now.Add(time.Second)), "the mark lapses")
}

// TestPlaceThatComesLaterIsWaitedFor: no zone has a place at first.
func TestPlaceThatComesLaterIsWaitedFor(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	n := m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	n.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
		if n.loader.calls.Load() < 3 {
			return "", fault.New(fault.NoCapacity, "the memory is taken")
		}
		dir.add(candidate("t1", "a", 4), testKey)
		return "t1", nil
	}
	require.NoError(t, n.Do(context.Background(), modelRequest(testTimeout), &testSink{}))
}

// TestAdapterGoesWhereItsBaseIs: another zone has the base model loaded.
func TestAdapterGoesWhereItsBaseIs(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	own := m.start(t, "n1", "a", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	far := m.start(t, "n2", "b", testOptions(), dir, &fakeSender{send: answerOK}, nil)
	dir.add(candidate("t9", "b", 4), testKey)
	far.loader.load = func(_ context.Context, k fleet.ReplicaKey) (fleet.TargetID, error) {
		dir.add(candidate("t9", "b", 4), k)
		return "t9", nil
	}
	r := modelRequest(testTimeout)
	r.Replica.Key.Adapter = "hobart"
	require.NoError(t, own.Do(context.Background(), r, &testSink{}))
	require.Zero(t, own.loader.calls.Load())
}

// TestWaitingRequestsGoFirst: while requests wait at the home, no node of
// the zone takes freed places by itself.
func TestWaitingRequestsGoFirst(t *testing.T) {
	h, self := busyHome(t)
	other := h.net.(*testNode).mesh.start(t, "n2", "a", testOptions(), h.dir, &fakeSender{send: answerOK}, nil)
	require.Eventually(t, func() bool {
		g, err := h.Acquire(context.Background(), self, acquire("waits", time.Minute))
		require.NoError(t, err)
		require.True(t, g.Waiting)
		return other.congested.active(testKey, time.Now())
	}, testTimeout, time.Millisecond)
	_, ok := other.direct(modelRequest(testTimeout), nil)
	require.False(t, ok)
}

// TestLoadedReplicaElsewhereComesBeforeALoad: the only replica is in
// another zone and busy; the request waits for its place there.
func TestLoadedReplicaElsewhereComesBeforeALoad(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	o := testOptions()
	o.TargetQueue = 0
	own := m.start(t, "n1", "a", o, dir, &fakeSender{send: answerOK}, nil)
	far := m.start(t, "n2", "b", o, dir, &fakeSender{send: answerOK}, nil)
	dir.add(candidate("t9", "b", 1), testKey)
	_, err := far.home.Acquire(context.Background(), far.self, acquire("held", time.Minute))
	require.NoError(t, err)
	own.loads.get("t9").inflight.Add(1) // as the target's report will say
	done := make(chan error)
	go func() { done <- own.Do(context.Background(), modelRequest(testTimeout), &testSink{}) }()
	require.Eventually(t, func() bool { return far.home.Waiting() == 1 }, testTimeout, time.Millisecond)
	far.home.Release(&wire.GrantEnd{RequestID: "held", Key: testKey})
	require.NoError(t, <-done)
	require.Zero(t, own.loader.calls.Load())
}

// TestScaleOutGoesToAnotherZone: the own zone has no room for a further
// replica, its loader answers with the one that is there.
func TestScaleOutGoesToAnotherZone(t *testing.T) {
	m, dir := newMesh(), newFakeDirectory()
	o := testOptions()
	o.TargetQueue = 0
	dir.add(candidate("t1", "a", 1), testKey)
	own := m.start(t, "n1", "a", o, dir, &fakeSender{send: answerOK}, nil)
	far := m.start(t, "n2", "b", o, dir, &fakeSender{send: answerOK}, nil)
	own.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) { return "t1", nil }
	far.loader.load = func(context.Context, fleet.ReplicaKey) (fleet.TargetID, error) {
		dir.add(candidate("t9", "b", 1), testKey)
		return "t9", nil
	}
	_, err := own.home.Acquire(context.Background(), own.self, acquire("held", time.Minute))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, err := own.home.Acquire(context.Background(), own.self, acquire("waits", time.Minute))
		require.NoError(t, err)
		return far.loader.calls.Load() == 1
	}, testTimeout, time.Millisecond)
}
