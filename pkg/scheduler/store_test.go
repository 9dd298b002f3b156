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
	z.Ordered(z.now, one[SendOrder](t, actions).Order, OrderAccepted)
	none[Refusal](t, z.after(2*time.Second))
	late := z.request("m5")
	late.Deadline = z.now.Add(3 * time.Second)
	assert.Equal(t, 4*time.Second, one[Refusal](t, z.submit(late)).RetryAfter, "the load has 4 s to go")
	none[Refusal](t, z.after(time.Second))
}

// TestLoadsBehindOthersAreExpectedLater: the zone loads two at once.
func TestLoadsBehindOthersAreExpectedLater(t *testing.T) {
	var b storeBudget
	now := start
	assert.Equal(t, 6*time.Second, b.wait(now, storeAtOnce, 6*time.Second))
	for range storeAtOnce {
		b.begin(now, 6*time.Second)
	}
	assert.Equal(t, 9*time.Second, b.wait(now, 1, 6*time.Second))
	assert.Equal(t, 6*time.Second, b.wait(now.Add(7*time.Second), 1, 6*time.Second), "they have ended")
}

func TestSlowStoreIsLearned(t *testing.T) {
	z := newZone(t, engine("a", nil, nil))
	for i, model := range []string{"m4", "m5"} {
		r := z.request(model)
		r.Deadline = z.now.Add(20 * time.Second)
		o := one[SendOrder](t, z.submit(r)).Order
		z.Ordered(z.now, o, OrderAccepted)
		z.now = z.now.Add(9 * time.Second) // half as long again as declared
		var loaded []inventory.LoadedModel
		for _, m := range []string{"m4", "m5"}[:i+1] {
			loaded = append(loaded, inventory.LoadedModel{Name: m})
		}
		z.Reported(z.now, "a", inventory.Report{Models: loaded, Sequence: o.Sequence + 1})
		for _, a := range z.Step(z.now) {
			if g, ok := a.(Grant); ok {
				z.Ended(z.now, g.Run, Completed)
			}
		}
	}
	expected := z.store.expected(6 * time.Second)
	assert.Greater(t, expected, 7*time.Second)
	assert.Less(t, expected, 9*time.Second)
	z.store.finished(6*time.Second, time.Hour)
	assert.LessOrEqual(t, z.store.expected(6*time.Second), maxSlowdown*6*time.Second, "one load that hung says little")
}
