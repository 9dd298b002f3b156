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
	// factors are the lasting duration factors of the targets. moment is the factor of each target
	// for one second in eight, 0 for none.
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

// paceSimulation is the state of a paceLoad that is being run.
type paceSimulation struct {
	*testZone
	load *paceLoad
	rand *rand.Rand
	// runs are those of each target, in the order of their grants.
	runs                  [][]*simulatedRun
	arrivals              map[Ticket]time.Time
	nextArrival, nextStep time.Time
	inTime, all           int
	decisions             []string
}

// run returns the share of requests whose first event comes within the objective, and
// all decisions in order.
func (l *paceLoad) run(t *testing.T) (inTime float64, decisions []string) {
	var list []*inventory.Target
	for i := range l.factors {
		target := newTestTarget(fmt.Sprint("t", i), []string{"m0"}, nil)
		target.Slots = paceLoadSlots
		list = append(list, target)
	}
	z := newTestZone(t, list...)
	z.services[testService].Engine.Slots, z.services[testService].Engine.CacheTokens = paceLoadSlots, 1_000_000
	s := &paceSimulation{
		testZone: z, load: l, rand: rand.New(rand.NewPCG(l.seed, 11)), runs: make([][]*simulatedRun, len(l.factors)),
		arrivals: map[Ticket]time.Time{}, nextArrival: z.now, nextStep: z.now,
	}
	for ; z.now.Sub(testStart) < paceLoadDuration; z.now = z.now.Add(time.Millisecond) {
		for i := range s.runs {
			s.work(i)
		}
		for !s.nextArrival.After(z.now) {
			s.nextArrival = s.nextArrival.Add(time.Duration(s.rand.ExpFloat64() / l.perSecond * float64(time.Second)))
			s.arrive()
		}
		if !s.nextStep.After(z.now) {
			s.step()
		}
	}
	return float64(s.inTime) / float64(max(s.all, 1)), s.decisions
}

// currentFactor returns the duration factor of a target now.
func (s *paceSimulation) currentFactor(i int) float64 {
	const period, length = 8 * time.Second, time.Second
	phase := time.Duration(i) * period / time.Duration(len(s.load.factors))
	if s.load.moment > 0 && (s.now.Sub(testStart)+phase)%period < length {
		return s.load.moment
	}
	return s.load.factors[i]
}

// work advances the runs of a target by a millisecond.
func (s *paceSimulation) work(i int) {
	f := s.currentFactor(i)
	step, prefilling := time.Duration(float64(time.Millisecond)/f), false
	for _, run := range s.runs[i] {
		switch {
		case run.prefill <= 0:
			run.decode -= step
		case !prefilling:
			prefilling = true
			if run.prefill -= step; run.prefill <= 0 {
				s.count(run.arrived, s.now.Sub(run.arrived) <= s.load.objective)
				s.ObservePace(s.now, run.id, s.load.report(f, s.rand))
				s.RunStarted(s.now, run.id)
			}
		}
		if run.decode <= 0 {
			s.RunEnded(s.now, run.id, Completed)
			s.nextStep = s.now
		}
	}
	s.runs[i] = slices.DeleteFunc(s.runs[i], func(run *simulatedRun) bool { return run.decode <= 0 })
}

// arrive submits a request.
func (s *paceSimulation) arrive() {
	ticket := s.Submit(s.now, Request{
		Service: testService, Model: "m0", InputTokens: promptTokens, OutputTokens: 288, LatencyObjective: s.load.objective,
		ObjectiveAt: s.now.Add(s.load.objective), Deadline: s.now.Add(12 * time.Second), MaxEventInterval: testEventInterval, OtherZonesRefused: true,
	})
	s.arrivals[ticket] = s.now
	if g, ok := s.TryGrant(s.now, ticket); ok {
		s.grant(g)
	} else {
		s.nextStep = s.now
	}
}

// step runs a step of the scheduler.
func (s *paceSimulation) step() {
	for _, a := range s.Step(s.now) {
		switch a := a.(type) {
		case Grant:
			s.grant(a)
		case Refusal:
			s.count(s.arrivals[a.Ticket], false)
			s.decisions = append(s.decisions, fmt.Sprint(s.now.Sub(testStart), a.Ticket, a.Reason, a.RetryAfter, a.Estimate.ExpectedWait))
		default:
			s.t.Fatalf("%#v", a)
		}
	}
	s.nextStep = s.NextStepAt(s.now)
}

// grant begins a run.
func (s *paceSimulation) grant(g Grant) {
	i := int(g.Target[1] - '0')
	s.runs[i] = append(s.runs[i], &simulatedRun{g.Run, s.arrivals[g.Ticket], promptTokens * s.load.perToken, s.load.decode})
	s.decisions = append(s.decisions, fmt.Sprint(s.now.Sub(testStart), g.Ticket, g.Target))
}

// count counts a request that is decided, unless it arrived while the paces were still being learned.
func (s *paceSimulation) count(arrived time.Time, inTime bool) {
	if arrived.Sub(testStart) < paceLoadLearning {
		return
	}
	s.all++
	if inTime {
		s.inTime++
	}
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
