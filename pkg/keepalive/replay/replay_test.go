package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"almondturn/pkg/keepalive"
)

const (
	// trainingDays is the number of days before the measured day, in which the
	// policy collects observations.
	trainingDays = 7
	// firstEvaluationSeed is the first of evaluationSeeds consecutive seeds. They
	// differ from seeds 1 to 3, which were used to set the defaults, so that the
	// result is not fitted to them.
	firstEvaluationSeed = 101
	evaluationSeeds     = 5
	// parallelReplays limits the number of cores used.
	parallelReplays = 3
)

// meanResult holds the averages of results over the seeds. Waits p99 and p999 are
// in seconds.
type meanResult struct {
	idleAcceleratorHours, p99, p999, waitMillis, cold, loads float64
}

func average(results []Result) meanResult {
	var m meanResult
	n := float64(len(results))
	for _, r := range results {
		m.idleAcceleratorHours += r.IdleAcceleratorHours / n
		m.p99 += r.WaitP99.Seconds() / n
		m.p999 += r.WaitP999.Seconds() / n
		m.waitMillis += float64(r.MeanWait.Milliseconds()) / n
		m.cold += float64(r.ColdRequests) / n
		m.loads += float64(r.Loads) / n
	}
	return m
}

// generateTraces returns one trace for each evaluation seed.
func generateTraces(s Shape) []*Trace {
	var traces []*Trace
	for seed := range uint64(evaluationSeeds) {
		traces = append(traces, Generate(s, firstEvaluationSeed+seed, trainingDays+1))
	}
	return traces
}

// measurePolicy returns the mean result of a policy over the traces.
func measurePolicy(traces []*Trace, policy func(*Trace) Result) meanResult {
	results := make([]Result, len(traces))
	var group errgroup.Group
	group.SetLimit(parallelReplays)
	for i, trace := range traces {
		group.Go(func() error {
			results[i] = policy(trace)
			return nil
		})
	}
	_ = group.Wait()
	return average(results)
}

// fixedPolicy returns a function that evaluates a fixed keep-alive window on a
// trace.
func fixedPolicy(d time.Duration) func(*Trace) Result {
	return func(t *Trace) Result { return Evaluate(t, FixedWindow(d), trainingDays*day) }
}

// adaptivePolicy returns a function that evaluates a keepalive.Policy, which starts
// without observations, on a trace.
func adaptivePolicy(weight float64, loadAhead bool) func(*Trace) Result {
	return func(t *Trace) Result {
		o := keepalive.DefaultOptions()
		o.IdleWeight, o.LoadAhead = weight, loadAhead
		return Evaluate(t, NewPolicyPlanner(t, o), trainingDays*day)
	}
}

// The policy needs less than 60% of the idle accelerator hours of a fixed window of
// 10 minutes without a longer p99 wait; a lower idle weight shortens the p99 wait
// and still needs fewer hours than a fixed window of an hour.
//
// The test also prints the table of docs/measurements/keepalive.md:
// go test -run TestDayTraces -v ./pkg/keepalive/replay
func TestDayTraces(t *testing.T) {
	for _, s := range []Shape{Derwent(), Rodopi()} {
		traces := generateTraces(s)
		logRow := func(name string, m meanResult) meanResult {
			t.Logf("| %s | %s | %.1f | %.2f | %.2f | %.0f | %.0f | %.0f |", s.Name, name, m.idleAcceleratorHours, m.p99, m.p999, m.waitMillis, m.cold, m.loads)
			return m
		}
		logRow("fixed 1 min", measurePolicy(traces, fixedPolicy(time.Minute)))
		tenMinutes := logRow("fixed 10 min", measurePolicy(traces, fixedPolicy(10*time.Minute)))
		oneHour := logRow("fixed 60 min", measurePolicy(traces, fixedPolicy(time.Hour)))
		policyResult := logRow("policy, idle weight of the deployment", measurePolicy(traces, adaptivePolicy(s.IdleWeight, false)))
		lowWeight := logRow("policy, idle weight 0.07", measurePolicy(traces, adaptivePolicy(0.07, false)))
		logRow("policy, idle weight 0.03", measurePolicy(traces, adaptivePolicy(0.03, false)))
		logRow("policy, idle weight of the deployment, load ahead", measurePolicy(traces, adaptivePolicy(s.IdleWeight, true)))
		optimum := logRow("clairvoyant", measurePolicy(traces, func(t *Trace) Result { return Clairvoyant(t, trainingDays*day) }))

		assert.Less(t, policyResult.idleAcceleratorHours, 0.6*tenMinutes.idleAcceleratorHours, s.Name)
		assert.LessOrEqual(t, policyResult.p99, tenMinutes.p99, s.Name)
		assert.Less(t, lowWeight.p99, policyResult.p99, "a lower idle weight shortens the tail")
		assert.Less(t, lowWeight.idleAcceleratorHours, oneHour.idleAcceleratorHours, s.Name)
		// By its definition, Clairvoyant is a lower bound only for policies without
		// cold requests, and this policy has some.
		assert.Less(t, optimum.idleAcceleratorHours, policyResult.idleAcceleratorHours, "the optimum is a lower bound for every policy")
	}
}

// The trace is small enough to calculate both measures manually.
func TestEvaluateMatchesManualCalculation(t *testing.T) {
	trace := NewTrace([]Replica{{Accelerators: 2, LoadTime: 10 * time.Second, Requests: []Request{
		{At: 0, RunTime: 5 * time.Second},
		{At: 4 * time.Second, RunTime: 5 * time.Second},
		{At: 45 * time.Second, RunTime: 5 * time.Second},
		{At: 200 * time.Second, RunTime: time.Second},
	}}})
	r := Evaluate(trace, FixedWindow(time.Minute), 0)
	// The gaps are 15 to 45 s, kept, and 50 to 200 s, of which 60 s are kept.
	require.InDelta(t, (30+60)*2/3600.0, r.IdleAcceleratorHours, 1e-9)
	require.Equal(t, 3, r.ColdRequests)
	require.Equal(t, 2, r.Loads)
	require.Equal(t, (10+6+0+10)*time.Second/4, r.MeanWait)
	require.InDelta(t, (10+10)*2/3600.0, Clairvoyant(trace, 0).IdleAcceleratorHours, 1e-9)
}
