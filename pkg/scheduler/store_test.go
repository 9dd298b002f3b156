package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
)

// Models of the test zone take 6 s to load from the weight store and 0.8 s from a
// disk.

// After targets were replaced, no disk has the weights, and a load from the weight
// store takes longer than clients wait.
func TestRequestIsRefusedIfStoreLoadTakesTooLong(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, nil))
	r := z.request("m5") // with a deadline in 5 s
	actions := z.submitAndStep(r)
	refusal := only[Refusal](t, actions)
	assert.Equal(t, Overloaded, refusal.Reason)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 6*time.Second, "the client may retry when the model is loaded")
	assert.Equal(t, FromWeightStore, only[SendOrder](t, actions).Order.Source, "the load starts nevertheless")
}

func TestRequestWaitsForLoadThatEndsInTime(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, nil))
	r := z.request("m5")
	r.Deadline = z.now.Add(10 * time.Second)
	actions := z.submitAndStep(r)
	assertNone[Refusal](t, actions)
	z.OrderResultReceived(z.now, only[SendOrder](t, actions).Order, OrderAccepted)
	assertNone[Refusal](t, z.stepAfter(2*time.Second))
	late := z.request("m5")
	late.Deadline = z.now.Add(3 * time.Second)
	assert.Equal(t, 4*time.Second, only[Refusal](t, z.submitAndStep(late)).RetryAfter, "the load ends in 4 s")
	assertNone[Refusal](t, z.stepAfter(time.Second))
}

// At most two loads are in progress concurrently; others start after them.
func TestExpectedWaitIncludesLoadsAhead(t *testing.T) {
	var b weightStoreBudget
	assert.Equal(t, 6*time.Second, b.expectedWait(initialStoreLimit, 6*time.Second))
	b.zoneLoads, b.otherZoneLoads = 1, 1
	assert.Equal(t, 9*time.Second, b.expectedWait(1, 6*time.Second))
	b.zoneLoads, b.otherZoneLoads = 0, 0
	assert.Equal(t, 6*time.Second, b.expectedWait(1, 6*time.Second), "no load is in progress")
}

// fakeStore is a weight store that serves capacity loads at full speed and shares
// its throughput among more.
type fakeStore struct {
	capacity   int
	remaining  []float64 // seconds of the loads in progress
	startTicks []int
	peakLoads  []int
}

// TestStoreLimitConvergesToCapacity simulates a store with models always waiting
// for a load, and compares the mean number of concurrent loads in the second half
// of ten minutes with the store's capacity.
func TestStoreLimitConvergesToCapacity(t *testing.T) {
	const declaredSeconds, ticks, tickSeconds = 6.0, 6000, 0.1
	for _, capacity := range []int{1, 4, 12} {
		var b weightStoreBudget
		s := fakeStore{capacity: capacity}
		sum := 0
		for tick := range ticks {
			for len(s.remaining) < b.maxConcurrent() {
				s.remaining, s.startTicks, s.peakLoads = append(s.remaining, declaredSeconds), append(s.startTicks, tick), append(s.peakLoads, len(s.remaining)+1)
			}
			s.advance(&b, tick, tickSeconds, declaredSeconds)
			if tick >= ticks/2 {
				sum += len(s.remaining)
			}
		}
		mean := float64(sum) / (ticks / 2)
		assert.InDelta(t, capacity, mean, 0.5+0.3*float64(capacity), "a store with a capacity of %d loads", capacity)
	}
}

// advance advances the loads by one tick and reports those that end or are overdue
// to the budget.
func (s *fakeStore) advance(b *weightStoreBudget, tick int, tickSeconds, declaredSeconds float64) {
	speed := min(float64(s.capacity)/float64(len(s.remaining)), 1)
	for i := range s.peakLoads {
		s.peakLoads[i] = max(s.peakLoads[i], len(s.remaining))
	}
	for i := 0; i < len(s.remaining); {
		s.remaining[i] -= tickSeconds * speed
		slowdown := float64(tick-s.startTicks[i]) * tickSeconds / declaredSeconds
		if s.remaining[i] > 0 {
			b.lowerLimitIfSaturated(slowdown, s.peakLoads[i])
			i++
			continue
		}
		b.loadFinished(slowdown, s.peakLoads[i])
		s.remaining, s.startTicks, s.peakLoads = append(s.remaining[:i], s.remaining[i+1:]...), append(s.startTicks[:i], s.startTicks[i+1:]...), append(s.peakLoads[:i], s.peakLoads[i+1:]...)
	}
}

func TestStoreLoadsOfOtherZonesCount(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, nil))
	z.SetOtherZoneWeightStoreLoads(initialStoreLimit)
	r := z.request("m5")
	r.Deadline = z.now.Add(time.Minute)
	assertNone[SendOrder](t, z.submitAndStep(r))
	z.SetOtherZoneWeightStoreLoads(0)
	assert.Equal(t, FromWeightStore, only[SendOrder](t, z.Step(z.now)).Order.Source)
	assert.Equal(t, 1, z.StoreLoads())
}

func TestEstimateFollowsSlowStore(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", nil, nil))
	for i, model := range []string{"m4", "m5"} {
		r := z.request(model)
		r.Deadline = z.now.Add(20 * time.Second)
		o := only[SendOrder](t, z.submitAndStep(r)).Order
		z.OrderResultReceived(z.now, o, OrderAccepted)
		z.now = z.now.Add(9 * time.Second) // 1.5 times the declared load time
		var loaded []inventory.LoadedModel
		for _, m := range []string{"m4", "m5"}[:i+1] {
			loaded = append(loaded, inventory.LoadedModel{Name: m})
		}
		z.ReportReceived(z.now, "a", inventory.Report{Models: loaded, Sequence: o.Sequence + 1})
		for _, a := range z.Step(z.now) {
			if g, ok := a.(Grant); ok {
				z.RunEnded(z.now, g.Run, Completed)
			}
		}
	}
	expected := z.weightStore.expectedDuration(6 * time.Second)
	assert.Greater(t, expected, 7*time.Second)
	assert.Less(t, expected, 9*time.Second)
	z.weightStore.loadFinished(600, 1)
	assert.LessOrEqual(t, z.weightStore.expectedDuration(6*time.Second), maxSlowdown*6*time.Second, "the sample of one stalled load is bounded")
}
