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
	// trainingDays precede the measured day; the policy learns in them.
	trainingDays = 7
	// firstReportSeed and reportSeeds name the traces of the reported
	// figures; settings were chosen on seeds 1 to 3.
	firstReportSeed = 101
	reportSeeds     = 5
	// parallelReplays bounds the cores taken.
	parallelReplays = 3
)

// mean holds the averages of results over seeds.
type mean struct {
	idleHours, p99, p999, waitMillis, cold, loads float64
}

func average(results []Result) mean {
	var m mean
	n := float64(len(results))
	for _, r := range results {
		m.idleHours += r.IdleHours / n
		m.p99 += r.ColdP99.Seconds() / n
		m.p999 += r.ColdP999.Seconds() / n
		m.waitMillis += float64(r.ColdMean.Milliseconds()) / n
		m.cold += float64(r.ColdRequests) / n
		m.loads += float64(r.Loads) / n
	}
	return m
}

func generate(s Shape) []*Trace {
	var traces []*Trace
	for seed := range uint64(reportSeeds) {
		traces = append(traces, Generate(s, firstReportSeed+seed, trainingDays+1))
	}
	return traces
}

func measure(traces []*Trace, policy func(*Trace) Result) mean {
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

func fixed(d time.Duration) func(*Trace) Result {
	return func(t *Trace) Result { return Evaluate(t, Fixed(d), trainingDays*day) }
}

func learning(weight float64, loadAhead bool) func(*Trace) Result {
	return func(t *Trace) Result {
		o := keepalive.DefaultOptions()
		o.IdleWeight, o.LoadAhead = weight, loadAhead
		return Evaluate(t, NewLearning(t, o), trainingDays*day)
	}
}

// TestDayTraces is the command of docs/measurements/keepalive.md:
// go test -run TestDayTraces -v ./pkg/keepalive/replay
func TestDayTraces(t *testing.T) {
	for _, s := range []Shape{Derwent(), Rodopi()} {
		traces := generate(s)
		show := func(name string, m mean) mean {
			t.Logf("| %s | %s | %.1f | %.2f | %.2f | %.0f | %.0f | %.0f |", s.Name, name, m.idleHours, m.p99, m.p999, m.waitMillis, m.cold, m.loads)
			return m
		}
		show("fixed 1 min", measure(traces, fixed(time.Minute)))
		ten := show("fixed 10 min", measure(traces, fixed(10*time.Minute)))
		hour := show("fixed 60 min", measure(traces, fixed(time.Hour)))
		chosen := show("policy, idle weight of the deployment", measure(traces, learning(s.IdleWeight, false)))
		tail := show("policy, idle weight 0.07", measure(traces, learning(0.07, false)))
		show("policy, idle weight 0.03", measure(traces, learning(0.03, false)))
		show("policy, idle weight of the deployment, load ahead", measure(traces, learning(s.IdleWeight, true)))
		best := show("clairvoyant", measure(traces, func(t *Trace) Result { return Clairvoyant(t, trainingDays*day) }))

		assert.Less(t, chosen.idleHours, 0.6*ten.idleHours, s.Name)
		assert.LessOrEqual(t, chosen.p99, ten.p99, s.Name)
		assert.Less(t, tail.p99, chosen.p99, "a lower idle weight shortens the tail")
		assert.Less(t, tail.idleHours, hour.idleHours, s.Name)
		assert.Less(t, best.idleHours, chosen.idleHours, "the optimum bounds every policy")
	}
}

// TestEvaluateByHand checks the two measures on a trace small enough to add
// up by hand.
func TestEvaluateByHand(t *testing.T) {
	trace := NewTrace([]Replica{{Accelerators: 2, LoadTime: 10 * time.Second, Requests: []Arrival{
		{At: 0, Running: 5 * time.Second},
		{At: 4 * time.Second, Running: 5 * time.Second},
		{At: 45 * time.Second, Running: 5 * time.Second},
		{At: 200 * time.Second, Running: time.Second},
	}}})
	r := Evaluate(trace, Fixed(time.Minute), 0)
	// The gaps are 15 to 45 s, kept, and 50 to 200 s, of which 60 are kept.
	require.InDelta(t, (30+60)*2/3600.0, r.IdleHours, 1e-9)
	require.Equal(t, 3, r.ColdRequests)
	require.Equal(t, 2, r.Loads)
	require.Equal(t, (10+6+0+10)*time.Second/4, r.ColdMean)
	require.InDelta(t, (10+10)*2/3600.0, Clairvoyant(trace, 0).IdleHours, 1e-9)
}
