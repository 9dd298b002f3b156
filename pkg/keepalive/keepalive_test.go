package keepalive

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondturn/fleet"
)

// TestMain sets the default seed of the random tests; -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func replicaKey(name string) fleet.ReplicaKey {
	return fleet.ReplicaKey{Service: "listing", Model: name}
}

// histogramOf returns a histogram of the given gaps.
func histogramOf(gaps ...time.Duration) *Histogram {
	var h Histogram
	for _, g := range gaps {
		h.Add(g)
	}
	return &h
}

func TestWindowCoversShortGapsOnly(t *testing.T) {
	o := DefaultOptions()
	cost := Cost{IdleWeight: 0.1, Accelerators: 1, LoadTime: 20 * time.Second, WaitingRequests: 3}
	shortGaps := Decide(histogramOf(30*time.Second, 40*time.Second, 25*time.Second, 6*time.Hour), &Histogram{}, cost, o)
	assert.GreaterOrEqual(t, shortGaps.Window, 40*time.Second)
	assert.Less(t, shortGaps.Window, 5*time.Minute)
	longGaps := Decide(histogramOf(6*time.Hour, 7*time.Hour, 9*time.Hour), &Histogram{}, cost, o)
	assert.Equal(t, o.MinWindow, longGaps.Window)
}

func TestReplicaWithPeriodicRequestsIsLoadedAhead(t *testing.T) {
	o := DefaultOptions()
	o.LoadAhead = true
	cost := Cost{IdleWeight: 0.01, Accelerators: 1, LoadTime: 60 * time.Second, WaitingRequests: 4}
	var h Histogram
	for range 20 {
		h.Add(time.Hour)
	}
	plan := Decide(&h, &Histogram{}, cost, o)
	require.Positive(t, plan.LoadAt)
	assert.Less(t, plan.Window, plan.LoadAt)
	assert.Less(t, plan.LoadAt+cost.LoadTime, time.Hour)
	assert.Greater(t, plan.LoadedUntil, time.Hour)
}

func TestPlanStaysWithinBoundsAndHigherPriceNeverLengthensWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := DefaultOptions()
		o.LoadAhead = rapid.Bool().Draw(t, "ahead")
		var own, prior Histogram
		for _, ms := range rapid.SliceOfN(rapid.Int64Range(0, 4*24*3600*1000), 0, 900).Draw(t, "gaps") {
			own.Add(time.Duration(ms) * time.Millisecond)
			prior.Add(time.Duration(ms/2) * time.Millisecond)
		}
		cost := Cost{
			IdleWeight:      rapid.Float64Range(1e-4, 10).Draw(t, "weight"),
			Accelerators:    rapid.Float64Range(0.001, 8).Draw(t, "accelerators"),
			LoadTime:        time.Duration(rapid.Int64Range(1, 300_000).Draw(t, "load")) * time.Millisecond,
			WaitingRequests: rapid.Float64Range(0, 100).Draw(t, "waiting"),
		}
		plan := Decide(&own, &prior, cost, o)
		require.GreaterOrEqual(t, plan.Window, o.MinWindow)
		require.LessOrEqual(t, plan.Window, o.MaxWindow)
		if plan.LoadAt != 0 {
			require.Greater(t, plan.LoadAt, plan.Window)
			require.Greater(t, plan.LoadedUntil, plan.LoadAt)
		}
		// A plan that loads ahead may have a shorter window and still be loaded for
		// longer in total, so windows are compared without it.
		o.LoadAhead = false
		moreExpensive := cost
		moreExpensive.IdleWeight *= 4
		require.LessOrEqual(t, Decide(&own, &prior, moreExpensive, o).Window, Decide(&own, &prior, cost, o).Window, "a higher price of idle time never makes the window longer")
	})
}

// A rounding error once made the share of remaining gaps negative, and the window
// became the longest allowed.
func TestUnreachedBucketsHaveNoGain(t *testing.T) {
	own := histogramOf(0, 0, 0, time.Second)
	var prior Histogram
	for _, gap := range []time.Duration{0, 0, 0, time.Second / 2} {
		prior.Add(gap)
	}
	cost := Cost{IdleWeight: 0.000244140625, Accelerators: 0.00390625, LoadTime: time.Millisecond, WaitingRequests: 1}
	for range 4 {
		assert.LessOrEqual(t, Decide(own, &prior, cost, DefaultOptions()).Window, 2*time.Second)
		cost.IdleWeight *= 2
	}
}

func TestOldGapsLoseWeight(t *testing.T) {
	var h Histogram
	for range halvingThreshold {
		h.Add(10 * time.Second)
	}
	for range halvingThreshold {
		h.Add(3 * time.Hour)
	}
	assert.Less(t, h.Total(), halvingThreshold+1)
	assert.Greater(t, h.counts[bucketOf(3*time.Hour)], h.counts[bucketOf(10*time.Second)])
}

// A replica with short gaps gets a longer window than one with long gaps, and
// Retain removes the records of all other replicas.
func TestWindowIsLongerForShorterGapsAndRetainRemovesRecords(t *testing.T) {
	p := NewPolicy(DefaultOptions())
	busy, rare := replicaKey("busy"), replicaKey("rare")
	for range 30 {
		p.ObserveGap(busy, 20*time.Second)
		p.ObserveGap(rare, 8*time.Hour)
	}
	p.ObserveLoad(busy, 30*time.Second, 5)
	now := time.Unix(0, 0)
	assert.Greater(t, p.Window(busy, now), p.Window(rare, now))
	p.Retain(func(k fleet.ReplicaKey) bool { return k == busy })
	assert.Len(t, p.records, 1)
}

// BenchmarkPlan measures the cost of one decision and reports the size of a
// replica's record.
func BenchmarkPlan(b *testing.B) {
	for _, replicas := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			p := NewPolicy(DefaultOptions())
			keys := make([]fleet.ReplicaKey, replicas)
			for i := range keys {
				keys[i] = replicaKey(fmt.Sprint(i))
				p.ObserveGap(keys[i], time.Duration(i%4000)*time.Second)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Plan(keys[i%replicas])
				i++
			}
			b.ReportMetric(float64(recordBytes), "B/replica")
		})
	}
}
