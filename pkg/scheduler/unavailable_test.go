package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
)

// An owner granted a slot at a target to a node that had heard that the target leaves, got
// it back unused, and granted it again.
func TestTargetThatANodeDoesNotUseIsNotGrantedToIt(t *testing.T) {
	for _, tryGrant := range []bool{true, false} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
		z.Step(z.now)
		r := z.request("m0")
		r.Unavailable = []Unavailability{{Target: "a"}}
		for range 4 {
			if tryGrant {
				g, ok := z.tryGrant(r)
				require.True(t, ok)
				assert.Equal(t, "b", g.Target)
				continue
			}
			assert.Equal(t, "b", only[Grant](t, z.submitAndStep(r)).Target)
		}
	}
}

// A request of a node that can't use the only target of a model kept those of other nodes
// from it, or stayed in this zone although another may have the model.
func TestRequestThatCannotUseATargetDoesNotBlockOthers(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	blocked := z.request("m0")
	blocked.Unavailable = []Unavailability{{Target: "a"}}
	assertNone[Grant](t, z.submitAndStep(blocked))
	z.now = z.now.Add(10 * time.Millisecond)
	assert.Equal(t, "a", only[Grant](t, z.submitAndStep(z.request("m0"))).Target)
	blocked.OtherZonesRefused = false
	assert.Equal(t, TryOtherZone, only[Refusal](t, z.submitAndStep(blocked)).Reason)
}

// A request for a model whose targets all pause was held until its deadline, or told to come
// back before the pause ends.
func TestRequestInAPauseWaitsOrIsRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		other bool // the other zones have refused it
		want  Refusal
	}{
		{"another zone may have the model", 2 * time.Second, false, Refusal{Reason: TryOtherZone}},
		{"the pause ends after the deadline", 30 * time.Second, true, Refusal{Reason: Overloaded, RetryAfter: 30 * time.Second}},
		{"the pause ends in its time", 2 * time.Second, true, Refusal{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
			r := z.request("m0")
			r.OtherZonesRefused = c.other
			r.Unavailable = []Unavailability{{"a", z.now.Add(c.pause)}}
			actions := z.submitAndStep(r)
			assertNone[Grant](t, actions)
			if c.want.Reason != 0 {
				got := only[Refusal](t, actions)
				assert.Equal(t, c.want.Reason, got.Reason)
				assert.Equal(t, c.want.RetryAfter, got.RetryAfter)
				return
			}
			assertNone[Refusal](t, actions)
			assertNone[Refusal](t, z.stepAfter(c.pause-time.Millisecond))
			assert.Equal(t, "a", only[Grant](t, z.stepAfter(time.Millisecond)).Target, "the pause has ended")
		})
	}
}

// A model whose only target pauses for long was not loaded elsewhere.
func TestModelIsLoadedElsewhereInALongPause(t *testing.T) {
	for pause, loads := range map[time.Duration]bool{500 * time.Millisecond: false, 30 * time.Second: true} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m1", "m2"}, []string{"m0"}))
		r := z.request("m0")
		r.Unavailable = []Unavailability{{"a", z.now.Add(pause)}}
		actions := z.submitAndStep(r)
		assertNone[Refusal](t, actions)
		if !loads {
			assertNone[SendOrder](t, actions)
			continue
		}
		assert.Equal(t, "b", only[SendOrder](t, actions).Order.Target, "memory is freed for it")
	}
}

// While the owner could not send orders yet, a request for a model whose only target pauses
// was told to come back after the pause, although a load elsewhere was to begin sooner.
func TestRequestInALongPauseWaitsForTheOrderWindow(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetOrderWindow(z.now.Add(300*time.Millisecond), z.now.Add(time.Hour))
	r := z.request("m0")
	r.Unavailable = []Unavailability{{"a", z.now.Add(30 * time.Second)}}
	actions := z.submitAndStep(r)
	assertNone[Refusal](t, actions)
	assertNone[SendOrder](t, actions)
	assert.Equal(t, "b", only[SendOrder](t, z.stepAfter(300*time.Millisecond)).Order.Target)
}

// A request was held although no load elsewhere had begun in the time that one takes.
func TestRequestInALongPauseIsNotHeldForALoadThatDoesNotBegin(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", nil, []string{"m0"}))
	z.SetOrderWindow(z.now.Add(time.Hour), z.now.Add(2*time.Hour))
	r := z.request("m0")
	r.Unavailable = []Unavailability{{"a", z.now.Add(30 * time.Second)}}
	got := only[Refusal](t, z.submitAndStep(r))
	assert.Equal(t, Overloaded, got.Reason)
	assert.Equal(t, 30*time.Second, got.RetryAfter)
}

// Requests for an adapter that only a target which pauses for their node has loaded waited
// until their deadline, though another target has the model.
func TestAdapterOfAPausedTargetIsLoadedElsewhere(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	z.targets[0].Models[0].Adapters = []string{"a1"}
	z.ReportReceived(z.now, "a", inventory.Report{Models: z.targets[0].Models})
	r := z.request("m0")
	r.Adapter, r.Unavailable = "a1", []Unavailability{{Target: "a"}}
	order := only[SendOrder](t, z.submitAndStep(r)).Order
	assert.Equal(t, "b", order.Target)
	assert.Equal(t, "a1", order.Adapter)
}

// A stream that may go on only at targets which had just failed was refused as if they all left,
// although they were back in its time.
func TestRequestWaitsForItsTargetsToRecover(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		want bool
	}{"in its time": {8 * time.Second, true}, "not in its time": {suspectTime, false}} {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
			z.Scheduler.targets["b"].suspectUntil = z.now.Add(suspectTime)
			r := z.request("m0")
			r.Unavailable, r.Deadline = []Unavailability{{Target: "a"}}, z.now.Add(c.left)
			ticket := z.Submit(z.now, r)
			refused := false
			for range int(c.left/(100*time.Millisecond)) - 3 {
				for _, action := range z.stepAfter(100 * time.Millisecond) {
					switch action := action.(type) {
					case Grant:
						assert.Equal(t, "b", action.Target)
						assert.True(t, c.want)
						return
					case Refusal:
						refused = refused || action.Ticket == ticket
					case RequestReport:
						z.ReportReceived(z.now, action.Target, inventory.Report{Models: []inventory.LoadedModel{{Name: "m0"}}})
					}
				}
			}
			assert.Equal(t, !c.want, refused)
		})
	}
}
