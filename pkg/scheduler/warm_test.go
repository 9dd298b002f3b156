package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// grantAtOnce submits a request and tries to grant it without a step.
func (z *zone) grantAtOnce(r Request) (Grant, bool) {
	return z.TryGrant(z.now, z.Submit(z.now, r))
}

func TestLoadedModelIsGrantedWithoutAStep(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0"}, nil), engine("b", []string{"m1"}, nil))
	z.Step(z.now)
	g, ok := z.grantAtOnce(z.request("m1"))
	require.True(t, ok)
	assert.Equal(t, "b", g.Target)
	assert.Zero(t, z.Waiting())
	assert.False(t, z.NeedsStepOnEnd(g.Run), "nobody waits")
	z.RunEnded(z.now, g.Run, Completed)
	assert.Zero(t, z.Running())
}

// TestWhatNeedsAStep lists what is not granted at once.
func TestWhatNeedsAStep(t *testing.T) {
	for name, prepare := range map[string]func(z *zone) Request{
		"the model is not loaded": func(z *zone) Request { return z.request("m5") },
		"the last step is long ago": func(z *zone) Request {
			z.now = z.now.Add(stepInterval)
			return z.request("m0")
		},
		"all slots are taken": func(z *zone) Request {
			for range 4 {
				one[Grant](z.t, z.submit(z.request("m0")))
			}
			return z.request("m0")
		},
		"another request waits for the model": func(z *zone) Request {
			z.Submit(z.now, z.request("m0"))
			return z.request("m0")
		},
		"another model of the target is waited for": func(z *zone) Request {
			z.Submit(z.now, z.request("m1"))
			return z.request("m0")
		},
		"the request has failed at a target": func(z *zone) Request {
			r := z.request("m0")
			r.Exclude = []string{"x"}
			return r
		},
		"the targets have changed": func(z *zone) Request {
			z.SetTargets(z.now, nil)
			return z.request("m0")
		},
		"the service is gone": func(z *zone) Request {
			r := z.request("m0")
			z.SetServices(map[string]*route.Service{})
			z.SetTargets(z.now, z.targets)
			return r
		},
		"the target makes room": func(z *zone) Request {
			one[SendOrder](z.t, z.submit(z.request("m5")))
			return z.request("m0")
		},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, engine("a", []string{"m0", "m1"}, []string{"m5"}))
			z.Step(z.now)
			r := prepare(z)
			_, ok := z.grantAtOnce(r)
			assert.False(t, ok)
			assert.Positive(t, z.Waiting(), "it waits for the step")
		})
	}
}

// TestEndOfARunThatOthersWaitForMatters: its place, or its target's memory, is needed.
func TestEndOfARunThatOthersWaitForMatters(t *testing.T) {
	z := newZone(t, engine("a", []string{"m0", "m1"}, nil))
	first := one[Grant](t, z.submit(z.request("m0")))
	for range 3 {
		one[Grant](t, z.submit(z.request("m0")))
	}
	assert.False(t, z.NeedsStepOnEnd(first.Run))
	none[Grant](t, z.submit(z.request("m1")))
	assert.True(t, z.NeedsStepOnEnd(first.Run), "m1 waits for a slot")
	z.RunEnded(z.now, first.Run, Completed)
	one[Grant](t, z.Step(z.now))
}

func TestStartOfAProbeMatters(t *testing.T) {
	z := newZone(t, engine("a", nil, []string{"m5"}))
	o := one[SendOrder](t, z.submit(z.request("m5"))).Order
	z.OrderAnswered(z.now, o, OrderAccepted)
	probe := one[Grant](t, z.after(900*time.Millisecond))
	assert.True(t, z.NeedsStepOnStart(probe.Run))
	z.RunStarted(z.now, probe.Run)
	z.ReportReceived(z.now, "a", inventory.Report{Models: []inventory.LoadedModel{{Name: "m5"}}, Sequence: 1})
	later := one[Grant](t, z.submit(z.request("m5")))
	assert.False(t, z.NeedsStepOnStart(later.Run))
}
