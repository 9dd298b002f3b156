package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/route"
)

func TestLatestStart(t *testing.T) {
	end := time.Now()
	for _, c := range []struct {
		name             string
		untilDeadline    time.Duration // after the end of the stop
		expected         time.Duration
		repeatable       bool
		wantBeforeTheEnd time.Duration
	}{
		{"may be repeated", time.Minute, 2 * time.Second, true, time.Second},
		{"must not be repeated", time.Minute, 2 * time.Second, false, 2 * time.Second},
		{"very short", time.Minute, time.Millisecond, false, minRunTime},
		{"ends with the stop at the latest", 0, time.Minute, false, 0},
		{"ends before the stop", -time.Second, time.Minute, true, time.Second},
		{"never fits", time.Minute, time.Hour, false, time.Hour},
	} {
		got := latestStart(end, end.Add(c.untilDeadline), c.expected, c.repeatable)
		assert.Equal(t, end.Add(-c.wantBeforeTheEnd), got, c.name)
	}
}

func TestRunTimesFollowTheLastRunsOfTheRoute(t *testing.T) {
	var r runTimes
	assert.Equal(t, 3*time.Second, r.expected("a", 100, 20*time.Second), "a share of the timeout without a run")
	for range 100 {
		r.record("a", 100, 2*time.Second)
		r.record("plain", 0, 30*time.Millisecond)
	}
	assert.InDelta(t, 2.0, r.expected("a", 100, time.Minute).Seconds(), 0.01)
	assert.InDelta(t, 1.0, r.expected("a", 25, time.Minute).Seconds(), 0.01, "fewer tokens")
	assert.InDelta(t, 0.03, r.expected("plain", 0, time.Minute).Seconds(), 0.001)
	for range 100 {
		r.record("a", 50, 4*time.Second)
	}
	assert.InDelta(t, 4.0, r.expected("a", 50, time.Minute).Seconds(), 0.01, "the last runs were slower")
	for i := range 2 * maxRunTimeRoutes {
		r.record(fmt.Sprint("route", i), 1, time.Second)
	}
	assert.LessOrEqual(t, len(r.byRoute), maxRunTimeRoutes)
}

// Guards against a stop that tells a client that its request did not run, although a target
// may have run it.
func TestStopRefusesOnlyWhatNoTargetMayHaveRun(t *testing.T) {
	n := new(Node)
	n.untilStop, n.beginStop = context.WithCancel(t.Context())
	n.stopTimes.Store(&stopTimes{begun: time.Now(), end: time.Now()})
	n.beginStop()
	j := &job{Request: &Request{Route: &route.Route{Kind: route.Stream, Resumable: true}}, deadline: time.Now().Add(time.Minute)}
	assert.NotNil(t, n.refuseTooLate(j))
	search, cancel := n.searchContext(t.Context(), j)
	<-search.Done()
	cancel()

	j.possibleRuns = 1
	assert.Nil(t, n.refuseTooLate(j))
	search, cancel = n.searchContext(t.Context(), j)
	defer cancel()
	time.Sleep(50 * time.Millisecond)
	assert.NoError(t, search.Err())
}
