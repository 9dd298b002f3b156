package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// tryGrant submits a request and calls TryGrant.
func (z *testZone) tryGrant(r Request) (Grant, bool) {
	return z.TryGrant(z.now, z.Submit(z.now, r))
}

func TestLoadedModelIsGrantedWithoutStep(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m1"}, nil))
	z.Step(z.now)
	g, ok := z.tryGrant(z.request("m1"))
	require.True(t, ok)
	assert.Equal(t, "b", g.Target)
	assert.Zero(t, z.Waiting())
	assert.False(t, z.NeedsStepOnEnd(g.Run), "no request waits")
	z.RunEnded(z.now, g.Run, Completed)
	assert.Zero(t, z.Running())
}

// Each case is a condition in which a request must wait for the next step.
func TestTryGrantFailsIfStepIsNeeded(t *testing.T) {
	for name, prepare := range map[string]func(z *testZone) Request{
		"the model is not loaded": func(z *testZone) Request { return z.request("m5") },
		"the last step was too long ago": func(z *testZone) Request {
			z.now = z.now.Add(maxStepAge)
			return z.request("m0")
		},
		"all slots are in use": func(z *testZone) Request {
			for range 4 {
				only[Grant](z.t, z.submitAndStep(z.request("m0")))
			}
			return z.request("m0")
		},
		"another request waits for the model": func(z *testZone) Request {
			z.Submit(z.now, z.request("m0"))
			return z.request("m0")
		},
		"a request waits for another model of the target": func(z *testZone) Request {
			z.Submit(z.now, z.request("m1"))
			return z.request("m0")
		},
		"the request has failed at a target": func(z *testZone) Request {
			r := z.request("m0")
			r.Exclude = []string{"x"}
			return r
		},
		"the targets have changed": func(z *testZone) Request {
			z.SetTargets(z.now, nil)
			return z.request("m0")
		},
		"the service was removed": func(z *testZone) Request {
			r := z.request("m0")
			z.SetServices(map[string]*route.Service{})
			z.SetTargets(z.now, z.targets)
			return r
		},
		"the target has a plan": func(z *testZone) Request {
			only[SendOrder](z.t, z.submitAndStep(z.request("m5")))
			return z.request("m0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, []string{"m5"}))
			z.Step(z.now)
			r := prepare(z)
			_, ok := z.tryGrant(r)
			assert.False(t, ok)
			assert.Positive(t, z.Waiting(), "the request waits for the next step")
		})
	}
}

// Requests may need the slot or the memory that the end of a run releases.
func TestEndOfRunNeedsStepIfOthersWait(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, nil))
	first := only[Grant](t, z.submitAndStep(z.request("m0")))
	for range 3 {
		only[Grant](t, z.submitAndStep(z.request("m0")))
	}
	assert.False(t, z.NeedsStepOnEnd(first.Run))
	assertNone[Grant](t, z.submitAndStep(z.request("m1")))
	assert.True(t, z.NeedsStepOnEnd(first.Run), "m1 waits for a slot")
	z.RunEnded(z.now, first.Run, Completed)
	only[Grant](t, z.Step(z.now))
}

func TestStartOfProbeNeedsStep(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m5"}))
	o := only[SendOrder](t, z.submitAndStep(z.request("m5"))).Order
	z.OrderResultReceived(z.now, o, OrderAccepted)
	probe := only[Grant](t, z.stepAfter(900*time.Millisecond))
	assert.True(t, z.NeedsStepOnStart(probe.Run))
	z.RunStarted(z.now, probe.Run)
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m5"}}, Sequence: 1})
	later := only[Grant](t, z.submitAndStep(z.request("m5")))
	assert.False(t, z.NeedsStepOnStart(later.Run))
}
