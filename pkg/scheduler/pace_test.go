package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
	"almondturn/pkg/pace"
)

// paceLoad is a load on engine targets that all have one model, simulated in virtual time. A
// target prefills one prompt after the other, and then sends events at its pace.
type paceLoad struct {
	// factors are the lasting duration factors of the targets; moment is the factor of each for one second in
	// eight, 0 for none.
	factors []float64
	moment  float64
	// perSecond is the rate of requests with prompts of promptTokens, objective the latest first event that is
	// in time.
	perSecond float64
	objective time.Duration
	// perToken is the usual prefill time of a token, decode the usual time of a run after it.
	perToken, decode time.Duration
	// report returns the figure that a target reports for its factor, 0 for none.
	report func(factor float64, r *rand.Rand) int
	seed   uint64
}

const (
	promptTokens     = 826
	paceLoadSlots    = 16
	paceLoadDuration = 60 * time.Second
	// paceLoadLearning is the time at the beginning that is not measured.
	paceLoadLearning = 5 * time.Second
)

func noFigure(float64, *rand.Rand) int { return 0 }

// jitteringFigure reports the factor with a jitter of 20 %.
func jitteringFigure(factor float64, r *rand.Rand) int {
	return int(100 * factor * (0.8 + 0.4*r.Float64()))
}

// simulatedRun is a run at a target. prefill and decode are the times of the work that is left,
// at the usual pace.
type simulatedRun struct {
	id              RunID
	arrived         time.Time
	prefill, decode time.Duration
}

// run returns the share of requests whose first event comes within the objective, and
// all decisions in order.
func (l *paceLoad) run(t *testing.T) (inTime float64, decisions []string) {
	r := rand.New(rand.NewPCG(l.seed, 11))
	var list []*inventory.Target
	for i := range l.factors {
		target := newTestTarget(fmt.Sprint("t", i), []string{"m0"}, nil)
		target.Slots = paceLoadSlots
		list = append(list, target)
	}
	z := newTestZone(t, list...)
	z.services[testService].Engine.Slots, z.services[testService].Engine.CacheTokens = paceLoadSlots, 1_000_000
	factorAt := func(i int) float64 {
		const period, length = 8 * time.Second, time.Second
		phase := time.Duration(i) * period / time.Duration(len(l.factors))
		if l.moment > 0 && (z.now.Sub(testStart)+phase)%period < length {
			return l.moment
		}
		return l.factors[i]
	}
	runs := make([][]*simulatedRun, len(l.factors)) // by target, in the order of their grants
	arrivals := map[Ticket]time.Time{}
	good, all := 0, 0
	count := func(arrived time.Time, inTime bool) {
		if arrived.Sub(testStart) < paceLoadLearning {
			return
		}
		all++
		if inTime {
			good++
		}
	}
	grant := func(g Grant) {
		i := int(g.Target[1] - '0')
		runs[i] = append(runs[i], &simulatedRun{g.Run, arrivals[g.Ticket], promptTokens * l.perToken, l.decode})
		decisions = append(decisions, fmt.Sprint(z.now.Sub(testStart), g.Ticket, g.Target))
	}
	perform := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Grant:
				grant(a)
			case Refusal:
				count(arrivals[a.Ticket], false)
				decisions = append(decisions, fmt.Sprint(z.now.Sub(testStart), a.Ticket, a.Reason, a.RetryAfter, a.Estimate.ExpectedWait))
			default:
				t.Fatalf("%#v", a)
			}
		}
	}
	next, nextStep := z.now, z.now
	for ; z.now.Sub(testStart) < paceLoadDuration; z.now = z.now.Add(time.Millisecond) {
		for i := range runs {
			f := factorAt(i)
			step, prefilling := time.Duration(float64(time.Millisecond)/f), false
			for _, run := range runs[i] {
				switch {
				case run.prefill <= 0:
					run.decode -= step
				case !prefilling:
					prefilling = true
					if run.prefill -= step; run.prefill <= 0 {
						count(run.arrived, z.now.Sub(run.arrived) <= l.objective)
						z.ObservePace(z.now, run.id, l.report(f, r))
						z.RunStarted(z.now, run.id)
					}
				}
				if run.decode <= 0 {
					z.RunEnded(z.now, run.id, Completed)
					nextStep = z.now
				}
			}
			runs[i] = slices.DeleteFunc(runs[i], func(run *simulatedRun) bool { return run.decode <= 0 })
		}
		for !next.After(z.now) {
			next = next.Add(time.Duration(r.ExpFloat64() / l.perSecond * float64(time.Second)))
			ticket := z.Submit(z.now, Request{
				Service: testService, Model: "m0", InputTokens: promptTokens, OutputTokens: 288, LatencyObjective: l.objective,
				ObjectiveAt: z.now.Add(l.objective), Deadline: z.now.Add(12 * time.Second), MaxEventInterval: testEventInterval, OtherZonesRefused: true,
			})
			arrivals[ticket] = z.now
			if g, ok := z.TryGrant(z.now, ticket); ok {
				grant(g)
			} else {
				nextStep = z.now
			}
		}
		if !nextStep.After(z.now) {
			perform(z.Step(z.now))
			nextStep = z.NextStepAt(z.now)
		}
	}
	return float64(good) / float64(max(all, 1)), decisions
}

// Loads at targets of 0.7, 0.7 and 1.7, all with moments of 2.5; the objective is 400 ms. Ordering by
// workload alone misses 95 of 100.
//   - Within the capacity: prompts of 826 tokens take 83 ms and runs 683 ms at the usual pace.
//   - Overload: slots start about 80 of 90 requests a second, so that some are refused. Guards against
//     a start rate that takes the moments in which no target is slow for lasting: too few requests
//     were refused, and all of the longer queue came late.
func TestFirstEventsAreInTimeByPace(t *testing.T) {
	three, six := []float64{0.7, 0.7, 1.7}, []float64{0.7, 0.7, 1.7, 0.7, 0.7, 1.7}
	for _, c := range []struct {
		name                  string
		factors               []float64
		perSecond             float64
		perToken, decode      time.Duration
		seeds                 uint64
		maxByCount, minByPace float64
	}{
		{"three targets", three, 18, 100 * time.Microsecond, 600 * time.Millisecond, 4, 0.95, 0.95},
		{"six targets", six, 42, 100 * time.Microsecond, 600 * time.Millisecond, 4, 0.95, 0.95},
		{"overload", six, 90, 50 * time.Microsecond, 1200 * time.Millisecond, 3, 0.8, 0.85},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := paceLoad{
				factors: c.factors, moment: 2.5, perSecond: c.perSecond, objective: 400 * time.Millisecond,
				perToken: c.perToken, decode: c.decode,
			}
			mean := func(report func(float64, *rand.Rand) int) (share float64) {
				l.report = report
				for l.seed = range c.seeds {
					inTime, _ := l.run(t)
					share += inTime / float64(c.seeds)
				}
				return share
			}
			assert.Less(t, mean(noFigure), c.maxByCount, "by workload")
			assert.Greater(t, mean(jitteringFigure), c.minByPace, "by pace")
		})
	}
}

// Targets that always report the usual pace are served like those that report none, whatever
// their speed. Guards against a use of the factor that changes decisions where it is 1. The loads
// have free slots, waits for prefill budgets, and refusals.
func TestUsualPaceChangesNoDecision(t *testing.T) {
	usual := func(float64, *rand.Rand) int { return 100 }
	for _, perSecond := range []float64{12, 24, 60} {
		for _, factors := range [][]float64{{1, 1, 1}, {0.7, 0.7, 1.7}} {
			l := paceLoad{
				factors: factors, moment: 2.5, perSecond: perSecond, objective: 400 * time.Millisecond,
				perToken: 100 * time.Microsecond, decode: 600 * time.Millisecond, report: noFigure,
			}
			_, want := l.run(t)
			l.report = usual
			_, got := l.run(t)
			assert.Equal(t, want, got, "%v a second", perSecond)
		}
	}
}

// Guards against paces that are recorded for a run of another owner, twice for one run, or
// without a figure.
func TestPaceIsObservedOncePerRun(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	g := only[Grant](t, z.submitAndStep(z.request("m0")))
	z.ObservePace(z.now, g.Run+1, 250)
	z.ObservePace(z.now, g.Run, 0)
	z.ObservePace(z.now, g.Run, -70)
	assert.False(t, z.reportsPace)
	z.ObservePace(z.now, g.Run, 250)
	factor := z.factor(z.now, z.Scheduler.targets["a"])
	assert.Greater(t, factor, 1.5)
	z.RunStarted(z.now, g.Run)
	z.now = z.now.Add(10 * time.Millisecond)
	z.ObservePace(z.now, g.Run, 10)
	assert.InDelta(t, factor, z.factor(z.now, z.Scheduler.targets["a"]), 0.02)
	z.SetTargets(z.now, nil)
	z.ObservePace(z.now, g.Run, 70)
}

// setPace makes a target report a pace for some seconds.
func (z *testZone) setPace(id string, percent float64) {
	for range 50 {
		z.now = z.now.Add(100 * time.Millisecond)
		z.Scheduler.targets[id].pace.Observe(z.now, percent/100)
	}
	z.reportsPace = true
}

// Guards against predictions that take all targets for equal.
func TestStartRateFollowsThePaceOfTheTargets(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil), newTestTarget("b", []string{"m0"}, nil))
	for range 8 {
		only[Grant](t, z.submitAndStep(z.request("m0")))
	}
	k := modelKey{testService, "m0"}
	before := z.startRate(z.now, k)
	z.setPace("a", 50)
	z.setPace("b", 200)
	assert.InEpsilon(t, before/2*(1/0.5+1/2.0), z.startRate(z.now, k), 0.1)
	assert.InEpsilon(t, 0.8, z.timeAtReplicas(z.now, k, time.Second, (*pace.Estimate).Factor).Seconds(), 0.1, "2 / (1/0.5 + 1/2)")
}

// Guards against prompts that delay the events of a slow target, and against a fast one that
// gets no more prompts than others.
func TestPrefillBudgetFollowsThePace(t *testing.T) {
	for _, c := range []struct {
		percent float64
		prompts int
	}{{100, 3}, {250, 1}, {50, 4}} {
		z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
		z.services[testService].Engine.CacheTokens = 100_000
		z.trainPrefill()
		z.setPace("a", c.percent)
		granted := 0
		for range 4 { // 50 ms of prefill each at the usual pace; the budget is 180 ms
			z.Submit(z.now, z.promptRequest(2000))
		}
		for _, a := range z.Step(z.now) {
			if _, ok := a.(Grant); ok {
				granted++
			}
		}
		assert.Equal(t, c.prompts, granted, "%v %%", c.percent)
	}
}

// Guards against learning the durations of slow targets as those of all.
func TestDurationsAreLearnedAtTheUsualPace(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	z.setPace("a", 200)
	for range 50 {
		g := only[Grant](t, z.submitAndStep(z.request("m0")))
		z.ObservePace(z.now, g.Run, 200)
		z.RunStarted(z.now, g.Run)
		z.now = z.now.Add(2 * time.Second)
		z.RunEnded(z.now, g.Run, Completed)
	}
	assert.InEpsilon(t, 1.0, z.demandOf(modelKey{testService, "m0"}).runDuration().Seconds(), 0.2)
}

// Guards against replicas that are loaded at slow targets while fast ones are free.
func TestFastTargetIsPreferredForALoad(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, []string{"m0"}), newTestTarget("b", nil, []string{"m0"}))
	z.setPace("a", 170)
	z.setPace("b", 70)
	assert.Equal(t, "b", only[SendOrder](t, z.submitAndStep(z.request("m0"))).Order.Target)
}
