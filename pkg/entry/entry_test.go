package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// The log tells apart why a broken request was not sent again.
func TestRetryObstacleNamesTheReason(t *testing.T) {
	resumable := &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}
	for want, j := range map[string]*job{
		"":                 {Request: &Request{Route: resumable}, possibleRuns: 1},
		obstacleAttempts:   {Request: &Request{Route: resumable}, possibleRuns: 2},
		obstacleSends:      {Request: &Request{Route: resumable}, possibleRuns: 1, sends: maxSends},
		obstacleRepeatable: {Request: &Request{Route: &route.Route{Kind: route.Unsafe, MaxAttempts: 2}}, possibleRuns: 1},
	} {
		j.deadline = time.Now().Add(time.Minute)
		assert.Equal(t, want, j.retryObstacle(t.Context(), &clientResponse{started: true, streaming: true}, sendResult{kind: outcomeUnknown}))
		j.deadline = time.Now()
		assert.Equal(t, obstacleTime, j.retryObstacle(t.Context(), &clientResponse{}, sendResult{kind: outcomeUnknown}))
	}
}

// A request ran on one target more than its route allows: its target responded with a
// server error while the next one had the request, which counted only after that.
func TestServerErrorIsNotRetriedBeyondTheRunsOfTheRoute(t *testing.T) {
	j := &job{Request: &Request{Route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}}, deadline: time.Now().Add(time.Minute), possibleRuns: 1}
	assert.Empty(t, j.retryObstacle(t.Context(), &clientResponse{}, sendResult{kind: failedRun}))
	j.addUnused(unusedAttempt{assignment{target: &inventory.Target{ID: "next"}}, sendResult{kind: outcomeUnknown, err: errNotNeeded}})
	assert.Equal(t, obstacleAttempts, j.retryObstacle(t.Context(), &clientResponse{}, sendResult{kind: failedRun}))
}

// A stream that broke after its latency objective was refused a slot under overload, as
// if it had been waiting since its arrival.
func TestObjectiveOfAContinuationCountsFromTheLastEvent(t *testing.T) {
	n := new(Node)
	j := &job{
		Request: &Request{Route: &route.Route{Kind: route.Stream, Resumable: true, LatencyObjective: time.Second, FirstEventTimeout: 3 * time.Second}},
		arrived: time.Now().Add(-10 * time.Second), deadline: time.Now().Add(time.Minute),
	}
	assert.Negative(t, n.slotRequest(j, false).TimeToObjectiveMillis)
	j.lastEventAt = time.Now()
	assert.Positive(t, n.slotRequest(j, false).TimeToObjectiveMillis)
}

// now is the fixed time of the tests.
var now = time.Unix(1_700_000_000, 0)

func TestEventSplitterReturnsCompleteEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for size := 1; size <= len(stream); size++ {
		s := new(eventSplitter)
		out := ""
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			events, err := s.add([]byte(rest[:n]))
			require.NoError(t, err)
			out += string(events)
			rest = rest[n:]
		}
		assert.Equal(t, stream, out, "pieces of %d bytes", size)
		assert.Equal(t, "3", s.lastID)
		assert.Empty(t, s.partial)
	}
}

func TestResumedStreamWithWrongNextIDFails(t *testing.T) {
	for text, ok := range map[string]bool{"id: 5\ndata: x\n\n": true, "id: 4\ndata: x\n\n": false, "id: 6\ndata: x\n\n": false} {
		s := &eventSplitter{lastID: "4", resumed: true}
		_, err := s.add([]byte(text))
		assert.Equal(t, ok, err == nil, text)
	}
}

func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2"), 3)
	f.Add([]byte{}, 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(size, 1)
		s := new(eventSplitter)
		var out []byte
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			events, err := s.add(rest[:n])
			if err != nil {
				return
			}
			out = append(out, events...)
			rest = rest[n:]
		}
		assert.Equal(t, string(text), string(append(out, s.partial...)), "nothing is lost or added")
		assert.NotContains(t, string(s.partial), string(eventEnd), "no complete event is held back")
	})
}

func TestLeastLoadedPlainTargetIsChosen(t *testing.T) {
	target := func(id string, zone fleet.Zone) *inventory.Target {
		return &inventory.Target{ID: id, Zone: zone, Slots: 2}
	}
	near, far := target("near", "a"), target("far", "b")
	l := new(targetUsages)
	all := []*inventory.Target{far, near}
	assert.Equal(t, near, l.acquire(now, all, "a", nil))
	assert.Equal(t, far, l.acquire(now, all, "a", nil), "the near one is half full")
	assert.Equal(t, far, l.acquire(now, all, "a", []string{"near"}))
	l.release(now, "near", sendResult{kind: unreachable})
	l.release(now, "far", sendResult{})
	l.release(now, "far", sendResult{})
	assert.Equal(t, far, l.acquire(now, all, "a", nil), "the near one cannot be reached")
	l.release(now, "far", sendResult{})
	later := now.Add(time.Hour)
	for range 30 {
		l.release(later, "near", sendResult{kind: completed})
		l.release(later, "far", sendResult{kind: failedRun})
	}
	assert.Equal(t, near, l.acquire(later, all, "a", nil))
	draining := target("d", "a")
	draining.Draining = true
	assert.Nil(t, l.acquire(now, []*inventory.Target{draining}, "a", nil))
}

func TestReportedRequestsCountUntilReportMaxAge(t *testing.T) {
	a, b := &inventory.Target{ID: "a", Slots: 4}, &inventory.Target{ID: "b", Slots: 4}
	all := []*inventory.Target{a, b}
	l := new(targetUsages)
	first := l.acquire(now, all, "", nil) // this node prefers it among equals
	other := a
	if first == a {
		other = b
	}
	l.release(now, first.ID, sendResult{info: ResponseInfo{Running: 3, Waiting: 2, Slots: 4}})
	assert.Equal(t, other, l.acquire(now, all, "", nil))
	l.release(now, other.ID, sendResult{})
	assert.Equal(t, first, l.acquire(now.Add(time.Second), all, "", nil), "an old report is ignored")
}

func TestStartDeadlineIsEarlierOfFirstEventTimeoutAndDeadline(t *testing.T) {
	j := &job{arrived: now, deadline: now.Add(20 * time.Second), Request: &Request{Route: &route.Route{Kind: route.Stream, FirstEventTimeout: 8 * time.Second}}}
	assert.Equal(t, now.Add(8*time.Second), j.startDeadline())
	j.lastEventAt = now.Add(9 * time.Second)
	assert.Equal(t, now.Add(17*time.Second), j.startDeadline(), "the client waits from the last event on")
	j.lastEventAt = now.Add(19 * time.Second)
	assert.Equal(t, j.deadline, j.startDeadline(), "at most until the deadline")
	j.lastEventAt = time.Time{}
	j.Route = &route.Route{Kind: route.Unsafe}
	assert.Equal(t, j.deadline, j.startDeadline(), "without a first-event timeout, the client waits until the deadline")
	j.Route = &route.Route{Kind: route.Stream, FirstEventTimeout: 8 * time.Second}
	j.deadline = now.Add(time.Second)
	assert.Equal(t, j.deadline, j.startDeadline())
}

func TestPrepareRetryDependsOnRouteAndResult(t *testing.T) {
	safe := &route.Route{Kind: route.Safe, MaxAttempts: 2}
	unsafe := &route.Route{Kind: route.Unsafe, MaxAttempts: 2}
	resumable := &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}
	stream := &route.Route{Kind: route.Stream, MaxAttempts: 2}
	for _, c := range []struct {
		name         string
		route        *route.Route
		kind         resultKind
		possibleRuns int
		started      bool
		streaming    bool
		want         bool
	}{
		{"unsafe, outcome unknown", unsafe, outcomeUnknown, 1, false, false, false},
		{"unsafe, not run", unsafe, notRun, 0, false, false, true},
		{"unsafe, unreachable", unsafe, unreachable, 0, false, false, true},
		{"safe, outcome unknown", safe, outcomeUnknown, 1, false, false, true},
		{"safe, outcome unknown twice", safe, outcomeUnknown, 2, false, false, false},
		{"safe, part of the response written", safe, outcomeUnknown, 1, true, false, false},
		{"stream, truncated", stream, outcomeUnknown, 1, true, true, false},
		{"resumable stream, truncated", resumable, outcomeUnknown, 1, true, true, true},
		{"resumable, part of another body written", resumable, outcomeUnknown, 1, true, false, false},
		{"completed", safe, completed, 1, true, false, false},
		{"client gone", safe, clientGone, 1, false, false, false},
		{"deadline passed", safe, expired, 1, false, false, false},
	} {
		j := &job{Request: &Request{Route: c.route}, sends: 1, possibleRuns: c.possibleRuns, deadline: time.Now().Add(time.Minute)}
		assert.Equal(t, c.want, new(Node).prepareRetry(t.Context(), j, &clientResponse{started: c.started, streaming: c.streaming}, sendResult{kind: c.kind}), c.name)
	}
}
