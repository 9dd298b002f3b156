package pace

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxTargets bounds the targets of a Table, far above the number that a deployment has.
const maxTargets = 4096

// Table holds the estimates of targets by identifier. The zero value is empty. Its methods may
// be called concurrently.
type Table struct {
	mu       sync.Mutex
	byTarget map[string]*Estimate
}

// Observe adds a factor that a target has reported.
func (t *Table) Observe(now time.Time, target string, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byTarget[target]
	if e == nil {
		if len(t.byTarget) >= maxTargets {
			maps.DeleteFunc(t.byTarget, func(_ string, e *Estimate) bool { return !e.Known(now) })
		}
		if len(t.byTarget) >= maxTargets {
			return
		}
		if t.byTarget == nil {
			t.byTarget = map[string]*Estimate{}
		}
		e = new(Estimate)
		t.byTarget[target] = e
	}
	e.Observe(now, factor)
}

// Factor returns the factor of a target, and whether it is known; otherwise it is 1.
func (t *Table) Factor(now time.Time, target string) (factor float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byTarget[target]; e != nil {
		return e.Factor(now), e.Known(now)
	}
	return 1, false
}

// Remove discards the estimate of a target.
func (t *Table) Remove(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byTarget, target)
}

// TargetFactor is the factor of a target.
type TargetFactor struct {
	Target string
	Factor float64
	Age    time.Duration
}

// Latest returns the factors that are known, at most limit of them: those with the latest
// reports, sorted by target.
func (t *Table) Latest(now time.Time, limit int) []TargetFactor {
	t.mu.Lock()
	var out []TargetFactor
	for id, e := range t.byTarget {
		if e.Known(now) {
			out = append(out, TargetFactor{id, e.Factor(now), e.Age(now)})
		}
	}
	t.mu.Unlock()
	byTarget := func(a, b TargetFactor) int { return cmp.Compare(a.Target, b.Target) }
	slices.SortFunc(out, func(a, b TargetFactor) int { return cmp.Or(cmp.Compare(a.Age, b.Age), byTarget(a, b)) })
	out = out[:min(len(out), limit)]
	slices.SortFunc(out, byTarget)
	return out
}
