package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1_700_000_000, 0)

// A target without reports, and one that always reports the usual pace, must be treated as if there
// were no factors: the factor is exactly 1.
func TestFactorOfOrdinaryTargetIsExactlyOne(t *testing.T) {
	var e Estimate
	assert.Equal(t, 1.0, e.Factor(start))
	r := rand.New(rand.NewPCG(1, 1))
	now := start
	for range 2000 {
		now = now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
		e.Observe(now, 1)
		assert.Equal(t, 1.0, e.Factor(now.Add(time.Duration(r.IntN(5000))*time.Millisecond)))
	}
}

// Guards against a factor that loses a permanent difference between rare reports.
func TestPermanentFactorIsKeptBetweenRareReports(t *testing.T) {
	for _, want := range []float64{0.7, 1.7} {
		var e Estimate
		now := start
		for range 10 {
			now = now.Add(4 * time.Second)
			e.Observe(now, want)
		}
		assert.InDelta(t, want, e.Factor(now.Add(4*time.Second)), 0.2*math.Abs(want-1))
	}
}

// Reports of 1.7 with a jitter of 40 % come 50 times a second. Guards against a factor that
// jumps with each report.
func TestFactorIsSmooth(t *testing.T) {
	var e Estimate
	r := rand.New(rand.NewPCG(1, 2))
	now := start
	for i := range 500 {
		now = now.Add(20 * time.Millisecond)
		e.Observe(now, 1.7*(0.6+0.8*r.Float64()))
		if i > 100 {
			assert.InDelta(t, 1.7, e.Factor(now), 0.5)
		}
	}
}

// A target of 0.7 is at 2.5 for one second. Guards against a factor that shows the change too late, or
// keeps it after its end.
func TestTemporaryFactorIsFollowed(t *testing.T) {
	var e Estimate
	now := start
	observe := func(factor float64, times int) {
		for range times {
			now = now.Add(100 * time.Millisecond)
			e.Observe(now, factor)
		}
	}
	observe(0.7, 100)
	observe(2.5, 3)
	assert.Greater(t, e.Factor(now), 1.7, "300 ms after the beginning")
	observe(2.5, 7)
	assert.InDelta(t, 2.5, e.Factor(now), 0.15, "1 s after the beginning")
	assert.Less(t, e.Lasting(now), 1.2)
	assert.Less(t, e.Factor(now.Add(4*time.Second)), 1.2, "without further reports")
	observe(0.7, 5)
	assert.Less(t, e.Factor(now), 0.9, "500 ms after the end")
}

// Guards against old values that are used without end, and against a target that is avoided without
// end because it was slow once.
func TestOldFactorDecaysToOne(t *testing.T) {
	var e Estimate
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		e.Observe(now, 2.5)
	}
	last := e.Factor(now)
	for age := time.Second; age < maxAge; age += time.Second {
		f := e.Factor(now.Add(age))
		assert.LessOrEqual(t, f, last)
		assert.GreaterOrEqual(t, f, 1.0)
		last = f
	}
	assert.Less(t, last, 1.3)
	assert.Equal(t, 1.0, e.Factor(now.Add(maxAge)))
	assert.False(t, e.Known(now.Add(maxAge)))
	var once Estimate
	once.Observe(now, 10)
	assert.Less(t, once.Factor(now.Add(5*time.Second)), 6.0)
}

// Guards against values that make a target's cost negative without bound, infinite or no number.
func TestAbsurdFactorsAreBounded(t *testing.T) {
	var e Estimate
	for i, f := range []float64{math.NaN(), math.Inf(1), -1, 0, 1e300, 1e-300, math.Inf(-1)} {
		now := start.Add(time.Duration(i%3-1) * time.Second) // backwards, too
		e.Observe(now, f)
		for _, d := range []time.Duration{-time.Hour, 0, time.Second, time.Hour} {
			got := e.Factor(now.Add(d))
			assert.True(t, got >= minFactor && got <= maxFactor, "%v after %v", got, f)
		}
	}
}

// Guards against a table that grows without bound, or is full of removed targets, and against
// metrics that grow without bound.
func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 2 * maxTargets {
		table.Observe(start, fmt.Sprint(i), 2)
	}
	assert.Len(t, table.byTarget, maxTargets)
	assertUnknown := func(target string) {
		factor, known := table.Factor(start, target)
		assert.Equal(t, 1.0, factor)
		assert.False(t, known)
	}
	assertUnknown("unknown")
	table.Observe(start.Add(time.Second), "77", 2)
	latest := table.Latest(start.Add(time.Second), 3)
	assert.Len(t, latest, 3)
	assert.Equal(t, "77", latest[2].Target, "the latest report is among them")
	table.Observe(start.Add(maxAge), "new", 2)
	assert.Len(t, table.byTarget, 2, "the old ones were dropped")
	table.Remove("77")
	assertUnknown("77")
}

// For the factor 1 the cost must be the load itself, without rounding.
func TestCostOfOrdinaryTargetIsItsLoad(t *testing.T) {
	for n := range 100 {
		load := float64(n) / 7
		assert.Equal(t, load, Cost(load, 1))
		assert.InDelta(t, load, Cost(load, 1+1e-12), 1e-9)
	}
	assert.Less(t, Cost(0, 0.7), Cost(0, 1.7), "idle targets")
	assert.Less(t, Cost(0.5, 0.7), Cost(0.25, 1.7))
}

// Guards against a load that is lost between rare reports, or kept without end.
func TestExpectedLoadDecays(t *testing.T) {
	var l Load
	assert.Zero(t, l.Expected(start))
	for range 10 {
		l.Observe(start, 6)
	}
	assert.Equal(t, 6.0, l.Expected(start))
	assert.InDelta(t, 3, l.Expected(start.Add(loadHalfLife)), 1e-9)
	assert.Less(t, l.Expected(start.Add(time.Minute)), 0.01)
}
