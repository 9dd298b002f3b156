package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/inventory"
)

// Models of the zone take 6 s from the store and 0.8 s from a disk.

// TestModelWithoutACopyIsRefusedAtOnce answers the pattern of targets that were
// replaced: no disk has the weights, and the load takes longer than clients wait.
func TestModelWithoutACopyIsRefusedAtOnce(t *testing.T) {
	z := newZone(t, engine("a", nil, nil))
	r := z.request("m5") // has 5 s
	actions := z.submit(r)
	refusal := one[Refusal](t, actions)
	assert.Equal(t, Overloaded, refusal.Reason)
	assert.GreaterOrEqual(t, refusal.RetryAfter, 6*time.Second, "it may come back when the model is there")
	assert.Equal(t, FromStore, one[SendOrder](t, actions).Order.Source, "the load begins all the same")
}

func TestRequestWaitsForALoadThatComesInTime(t *testing.T) {
	z := newZone(t, engine("a", nil, nil))
	r := z.request("m5")
	r.Deadline = z.now.Add(10 * time.Second)
	actions := z.submit(r)
	none[Refusal](t, actions)
	z.OrderAnswered(z.now, one[SendOrder](t, actions).Order, OrderAccepted)
	none[Refusal](t, z.after(2*time.Second))
	late := z.request("m5")
	late.Deadline = z.now.Add(3 * time.Second)
	assert.Equal(t, 4*time.Second, one[Refusal](t, z.submit(late)).RetryAfter, "the load has 4 s to go")
	none[Refusal](t, z.after(time.Second))
}

// TestLoadsBehindOthersAreExpectedLater: two are loaded at once.
func TestLoadsBehindOthersAreExpectedLater(t *testing.T) {
	var b storeBudget
	assert.Equal(t, 6*time.Second, b.wait(firstStoreLimit, 6*time.Second))
	b.here, b.elsewhere = 1, 1
	assert.Equal(t, 9*time.Second, b.wait(1, 6*time.Second))
	b.here, b.elsewhere = 0, 0
	assert.Equal(t, 6*time.Second, b.wait(1, 6*time.Second), "they have ended")
}

// storeModel is a weight store that carries some loads at full speed and shares
// itself out among more.
type storeModel struct {
	carries int
	left    []float64 // seconds of the loads in progress
	began   []int     // ticks
	peers   []int
}

// TestLimitOfLoadsFindsWhatTheStoreCarries plays a store with models always
// waiting, and counts the loads in progress in the second half of ten minutes.
func TestLimitOfLoadsFindsWhatTheStoreCarries(t *testing.T) {
	const declared, ticks, perTick = 6.0, 6000, 0.1
	for _, carries := range []int{1, 4, 12} {
		var b storeBudget
		m := storeModel{carries: carries}
		sum := 0
		for tick := range ticks {
			for len(m.left) < b.atOnce() {
				m.left, m.began, m.peers = append(m.left, declared), append(m.began, tick), append(m.peers, len(m.left)+1)
			}
			m.step(&b, tick, perTick, declared)
			if tick >= ticks/2 {
				sum += len(m.left)
			}
		}
		mean := float64(sum) / (ticks / 2)
		assert.InDelta(t, carries, mean, 0.5+0.3*float64(carries), "a store that carries %d", carries)
	}
}

func (m *storeModel) step(b *storeBudget, tick int, perTick, declared float64) {
	speed := min(float64(m.carries)/float64(len(m.left)), 1)
	for i := range m.peers {
		m.peers[i] = max(m.peers[i], len(m.left))
	}
	for i := 0; i < len(m.left); {
		m.left[i] -= perTick * speed
		slowdown := float64(tick-m.began[i]) * perTick / declared
		if m.left[i] > 0 {
			b.overdue(slowdown, m.peers[i])
			i++
			continue
		}
		b.finished(slowdown, m.peers[i])
		m.left, m.began, m.peers = append(m.left[:i], m.left[i+1:]...), append(m.began[:i], m.began[i+1:]...), append(m.peers[:i], m.peers[i+1:]...)
	}
}

func TestLoadsOfOtherZonesCount(t *testing.T) {
	z := newZone(t, engine("a", nil, nil))
	z.SetOtherZoneStoreLoads(firstStoreLimit)
	r := z.request("m5")
	r.Deadline = z.now.Add(time.Minute)
	none[SendOrder](t, z.submit(r))
	z.SetOtherZoneStoreLoads(0)
	assert.Equal(t, FromStore, one[SendOrder](t, z.Step(z.now)).Order.Source)
	assert.Equal(t, 1, z.StoreLoads())
}

func TestSlowStoreIsLearned(t *testing.T) {
	z := newZone(t, engine("a", nil, nil))
	for i, model := range []string{"m4", "m5"} {
		r := z.request(model)
		r.Deadline = z.now.Add(20 * time.Second)
		o := one[SendOrder](t, z.submit(r)).Order
		z.OrderAnswered(z.now, o, OrderAccepted)
		z.now = z.now.Add(9 * time.Second) // half as long again as declared
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
	expected := z.store.expected(6 * time.Second)
	assert.Greater(t, expected, 7*time.Second)
	assert.Less(t, expected, 9*time.Second)
	z.store.finished(600, 1)
	assert.LessOrEqual(t, z.store.expected(6*time.Second), maxSlowdown*6*time.Second, "one load that hung says little")
}
