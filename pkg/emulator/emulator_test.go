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

// seedsPerPattern is the number of seeds that each pattern runs with.
const seedsPerPattern = 4

// runOnce runs the named pattern with the seed and the policy.
func runOnce(t *testing.T, name string, seed uint64, p Policy) Result {
	c, err := NewConfig(name, seed)
	require.NoError(t, err)
	return Run(c, p)
}

// TestSchedulerRespectsLimitsAndDecidesEveryRequest guards against orders beyond
// a target's memory or adapter slots, grants beyond its slots, and requests that
// are counted in no outcome or in two.
func TestSchedulerRespectsLimitsAndDecidesEveryRequest(t *testing.T) {
	for _, name := range Patterns() {
		for seed := range uint64(seedsPerPattern) {
			r := runOnce(t, name, seed, scheduler.New(0))
			assert.Empty(t, r.Violations, "pattern %s, seed %d", name, seed)
			assert.Equal(t, r.Requests, r.InTime+r.Late+r.Refused+r.Lost, "pattern %s, seed %d: %+v", name, seed, r)
		}
	}
}

// TestSchedulerServesMoreRequestsInTimeThanBaseline compares, for each pattern,
// the number of requests with a first event in time, summed over two seeds.
func TestSchedulerServesMoreRequestsInTimeThanBaseline(t *testing.T) {
	for _, name := range Patterns() {
		withScheduler, withBaseline := 0, 0
		for seed := range uint64(2) {
			withScheduler += runOnce(t, name, seed, scheduler.New(0)).InTime
			withBaseline += runOnce(t, name, seed, NewBaseline()).InTime
		}
		assert.Greater(t, withScheduler, withBaseline, "pattern %s", name)
	}
}

// TestSameSeedGivesSameResult guards against dependence on the order of maps or
// on the wall clock.
func TestSameSeedGivesSameResult(t *testing.T) {
	for _, name := range Patterns() {
		assert.Equal(t, runOnce(t, name, 3, scheduler.New(0)), runOnce(t, name, 3, scheduler.New(0)), name)
	}
}

func TestNewConfigFailsForUnknownPattern(t *testing.T) {
	_, err := NewConfig("no such", 1)
	assert.ErrorContains(t, err, `pattern "no such" does not exist`)
}

func TestSameSeedGivesSameConfig(t *testing.T) {
	a, err := NewConfig("calm", 5)
	require.NoError(t, err)
	b, err := NewConfig("calm", 5)
	require.NoError(t, err)
	assert.Equal(t, a.Arrivals, b.Arrivals)
	assert.Equal(t, a.OnDisk, b.OnDisk)
}

// overcommittingPolicy is a Baseline that also orders loads without regard to
// the targets' memory.
type overcommittingPolicy struct{ *Baseline }

// Step adds an order for one more model to each target. The offset of the model's
// index is arbitrary; the index grows with the number of loaded models, so that
// later orders are for other models.
func (o overcommittingPolicy) Step(now time.Time) []scheduler.Action {
	actions := o.Baseline.Step(now)
	for id, t := range o.targets {
		order := scheduler.Order{Target: id, Operation: scheduler.Load, Model: modelName(len(t.models) + 9), Sequence: t.sequence}
		actions = append(actions, scheduler.SendOrder{Order: order})
	}
	return actions
}

// TestRunRecordsViolationsOfOvercommittingPolicy guards against limit checks
// that never report anything.
func TestRunRecordsViolationsOfOvercommittingPolicy(t *testing.T) {
	r := runOnce(t, "calm", 1, overcommittingPolicy{NewBaseline()})
	assert.NotEmpty(t, r.Violations)
}

// maxLoadCrashes is the number of targets that the loads of one model may crash in a run.
const maxLoadCrashes = 6

// Guards against a model that crashes each target which loads it being loaded on target after
// target, as long as requests wait for it.
func TestLoadsThatCrashTheirTargetsAreBounded(t *testing.T) {
	total := Result{}
	for seed := range uint64(seedsPerPattern) {
		r := runOnce(t, "deadly-loads", seed, scheduler.New(0))
		assert.NotZero(t, r.LoadCrashes, "seed %d", seed)
		assert.LessOrEqual(t, r.LoadCrashes, maxLoadCrashes, "seed %d", seed)
		total.add(r)
	}
	t.Logf("%d crashes; in time %d, late %d, refused %d, lost %d, broken %d", total.LoadCrashes, total.InTime, total.Late, total.Refused, total.Lost, total.Broken)
}

// deafPolicy is a scheduler that is not told of limits.
type deafPolicy struct{ Policy }

// TryGrant implements immediateGranter.
func (p deafPolicy) TryGrant(now time.Time, t scheduler.Ticket) (scheduler.Grant, bool) {
	return p.Policy.(immediateGranter).TryGrant(now, t)
}

// Limits of targets were not counted: a policy that knows none of them had no violation.
func TestRunRecordsViolationsOfAPolicyThatKnowsNoLimits(t *testing.T) {
	r := runOnce(t, "named-limits", 1, deafPolicy{scheduler.New(0)})
	assert.NotEmpty(t, r.Violations)
}

// Keeping to the limits of a third of the targets cost far more requests than those targets
// have lost capacity, as the others took no more.
func TestLimitsCostFewRequests(t *testing.T) {
	kept, deaf := Result{}, Result{}
	for seed := range uint64(seedsPerPattern) {
		kept.add(runOnce(t, "named-limits", seed, scheduler.New(0)))
		deaf.add(runOnce(t, "named-limits", seed, deafPolicy{scheduler.New(0)}))
	}
	t.Logf("kept: in time %d, late %d, refused %d, lost %d; not told: in time %d, late %d, refused %d, lost %d, %d violations", kept.InTime, kept.Late, kept.Refused, kept.Lost, deaf.InTime, deaf.Late, deaf.Refused, deaf.Lost, len(deaf.Violations))
	assert.Empty(t, kept.Violations)
	assert.Greater(t, kept.InTime, deaf.InTime*9/10)
}
