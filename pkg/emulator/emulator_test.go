package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/scheduler"
)

var (
	_ Policy = (*scheduler.Scheduler)(nil)
	_ Policy = (*Baseline)(nil)
)

// seedsPerPattern is the number of seeds that each pattern is played with.
const seedsPerPattern = 4

func playOnce(t *testing.T, name string, seed uint64, p Policy) Result {
	c, err := NewConfig(name, seed)
	require.NoError(t, err)
	return Run(c, p)
}

// TestLimitsHold plays all patterns: no target is ordered to hold more than it
// can, none gets more requests than slots, and every request gets an answer.
func TestLimitsHold(t *testing.T) {
	for _, name := range Patterns() {
		for seed := range uint64(seedsPerPattern) {
			r := playOnce(t, name, seed, scheduler.New(0))
			assert.Empty(t, r.Violations, "pattern %s, seed %d", name, seed)
			assert.Equal(t, r.Requests, r.InTime+r.Late+r.Refused+r.Lost, "pattern %s, seed %d: %+v", name, seed, r)
		}
	}
}

// TestSchedulerBeatsTheBaseline compares the share of requests that begin in
// time, summed over two seeds.
func TestSchedulerBeatsTheBaseline(t *testing.T) {
	for _, name := range Patterns() {
		ours, base := 0, 0
		for seed := range uint64(2) {
			ours += playOnce(t, name, seed, scheduler.New(0)).InTime
			base += playOnce(t, name, seed, NewBaseline()).InTime
		}
		assert.Greater(t, ours, base, "pattern %s", name)
	}
}

// TestRunsRepeat plays a pattern twice with one seed.
func TestRunsRepeat(t *testing.T) {
	for _, name := range Patterns() {
		assert.Equal(t, playOnce(t, name, 3, scheduler.New(0)), playOnce(t, name, 3, scheduler.New(0)), name)
	}
}

func TestUnknownPattern(t *testing.T) {
	_, err := NewConfig("no such", 1)
	assert.ErrorContains(t, err, `pattern "no such" does not exist`)
}

func TestPatternsOfOneSeedAreTheSame(t *testing.T) {
	a, err := NewConfig("calm", 5)
	require.NoError(t, err)
	b, err := NewConfig("calm", 5)
	require.NoError(t, err)
	assert.Equal(t, a.Arrivals, b.Arrivals)
	assert.Equal(t, a.OnDisk, b.OnDisk)
}

// overcommitted is a policy that grants every request at once, wherever it is.
type overcommitted struct{ *Baseline }

// Step orders a load of everything everywhere.
func (o overcommitted) Step(now time.Time) []scheduler.Action {
	actions := o.Baseline.Step(now)
	for id, t := range o.targets {
		order := scheduler.Order{Target: id, Operation: scheduler.Load, Model: modelName(len(t.models) + 9), Sequence: t.sequence}
		actions = append(actions, scheduler.SendOrder{Order: order})
	}
	return actions
}

// TestViolationsAreFound plays a policy that breaks the limits.
func TestViolationsAreFound(t *testing.T) {
	r := playOnce(t, "calm", 1, overcommitted{NewBaseline()})
	assert.NotEmpty(t, r.Violations)
}
