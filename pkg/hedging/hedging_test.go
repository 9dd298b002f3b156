package hedging

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const objective = 300 * time.Millisecond

// Guards against hedges beyond the operators' ratio: at the start, after a calm time whose budget
// was saved up, and while every request is slow.
func TestHedgesStayWithinTheRatio(t *testing.T) {
	const ratio = 0.05
	h := New()
	assert.False(t, h.Take("s"), "nothing is allowed before the first request")
	for range 10_000 {
		h.RecordRequest("s", ratio)
	}
	taken := 0
	for range 1000 {
		h.RecordRequest("s", ratio)
		if h.Take("s") {
			taken++
		}
	}
	assert.LessOrEqual(t, taken, int(1000*ratio)+maxBudget)
	assert.GreaterOrEqual(t, taken, int(1000*ratio))
	assert.False(t, h.Take("other"), "services don't share a budget")
	h.RecordRequest("none", 0)
	assert.False(t, h.Take("none"))
}

// Guards against a delay that is longer than the objective allows, or that follows a single slow
// or quick answer.
func TestDelayFollowsTheRecentRequestsWithinTheObjective(t *testing.T) {
	h := New()
	_, ok := h.Delay("r", 0)
	assert.False(t, ok)
	delay, ok := h.Delay("r", objective)
	require.True(t, ok)
	assert.Equal(t, objective/2, delay)
	for i := range sampleCount {
		took := 40 * time.Millisecond
		if i%20 == 0 {
			took = 2 * time.Second
		}
		h.RecordTime("r", took)
	}
	delay, _ = h.Delay("r", objective)
	assert.Equal(t, 40*time.Millisecond, delay)
	for range sampleCount {
		h.RecordTime("r", 2*time.Second)
	}
	delay, _ = h.Delay("r", objective)
	assert.Equal(t, objective*3/4, delay)
	delay, _ = h.Delay("r", 0)
	assert.Equal(t, 2*time.Second, delay)
	for i := range 2 * maxRoutes {
		h.RecordTime(string(rune(i)), time.Second)
	}
	assert.LessOrEqual(t, len(h.routes), maxRoutes)
}

// Load: targets that answer in 50 to 70 ms, 5 in 100 times in 600 ms. Guards against hedges of up to a
// tenth of the requests that do not bring the slowest answers within the objective.
func TestHedgingCutsTheSlowestAnswers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	answer := func() time.Duration {
		if random.Float64() < 0.05 {
			return 600 * time.Millisecond
		}
		return 50*time.Millisecond + time.Duration(random.IntN(20))*time.Millisecond
	}
	h := New()
	var without, with []time.Duration
	hedges := 0
	for range 5000 {
		h.RecordRequest("s", 0.1)
		first := answer()
		took := first
		if delay, ok := h.Delay("r", objective); ok && first > delay && h.Take("s") {
			hedges++
			took = min(first, delay+answer())
		}
		h.RecordTime("r", took)
		without, with = append(without, first), append(with, took)
	}
	slices.Sort(without)
	slices.Sort(with)
	p99 := len(with) * 99 / 100
	assert.Equal(t, 600*time.Millisecond, without[p99])
	assert.Less(t, with[p99], objective)
	assert.LessOrEqual(t, hedges, 500+maxBudget)
}
