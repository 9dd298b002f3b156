package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// viewState returns what a View must not change, as text.
func viewState(z *testZone) string {
	var out strings.Builder
	fmt.Fprint(&out, z.waitingByModel, z.lastTicket, z.lastRun, len(z.waiters), len(z.queues), len(z.runs), len(z.demand), z.eventIntervals, z.lastStepAt)
	for _, t := range z.sortedTargets {
		fmt.Fprint(&out, t.info.ID, t.runs, t.tokens, t.pendingPrefillTokens, len(t.recentPrompts), t.probing, t.probes, t.busyUntil, t.pace)
		if l := z.targetLimits[t.info.ID]; l != nil {
			fmt.Fprintf(&out, "%+v", *l.bucket)
		}
	}
	return out.String()
}

// Guards against a view that names another target than the next request gets, and against one
// that takes a slot, fills a bucket, forgets prompts or counts demand.
func TestViewAgreesWithTheNextGrantAndChangesNothing(t *testing.T) {
	grant := func(z *testZone, n int, eventInterval time.Duration) {
		for range n {
			r := z.request("m0")
			r.MaxEventInterval = eventInterval
			only[Grant](z.t, z.submitAndStep(r))
		}
	}
	none := map[string]string{"a": "", "b": ""}
	for _, c := range []struct {
		name, model string
		prepare     func(z *testZone)
		obstacles   map[string]string
	}{
		{"idle", "m0", func(*testZone) {}, none},
		{"load", "m0", func(z *testZone) { grant(z, 1, 0) }, none},
		{"no slot", "m0", func(z *testZone) { grant(z, 8, 0) }, map[string]string{"a": "no free slot", "b": "no free slot"}},
		{"limit", "m0", func(z *testZone) { z.SetTargetLimit(z.now, "a", 0, 2) }, map[string]string{"a": withheldOrLimited.String(), "b": ""}},
		{"old prompts", "m0", func(z *testZone) { grant(z, 2, maxStepAge/10) }, none},
		{"no demand yet", "m0", func(z *testZone) {
			grant(z, 2, time.Second)
			clear(z.demand)
		}, none},
		{"not loaded", "m5", func(*testZone) {}, map[string]string{}},
	} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
		z.Step(z.now)
		c.prepare(z)
		z.Step(z.now)
		z.now = z.now.Add(maxStepAge / 2)
		before := viewState(z)
		r := z.request(c.model)
		v := z.View(z.now, r)
		z.View(z.now, Request{Service: "unknown", Model: "m0"})
		assert.Equal(t, before, viewState(z), c.name)
		obstacles := map[string]string{}
		for _, candidate := range v.Candidates {
			obstacles[candidate.Target] = candidate.Obstacle
		}
		assert.Equal(t, c.obstacles, obstacles, c.name)
		assert.Equal(t, maxStepAge/2, v.SinceStep)
		g, ok := z.tryGrant(r)
		require.Equal(t, len(v.Candidates) > 0 && v.Candidates[0].Obstacle == "", ok, c.name)
		if ok {
			assert.Equal(t, g.Target, v.Candidates[0].Target, c.name)
		}
		assert.Less(t, v.SinceStep, time.Second)
	}
}
