package check

import (
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/standin/engine"
)

// placementJudge follows which replicas each target holds.
type placementJudge struct {
	bounds Bounds
	held   map[fleet.TargetID]map[fleet.ReplicaKey]bool
	counts map[fleet.ReplicaKey]int
	limits limitHistory
	// over is since when a replica exceeds its limit.
	over map[fleet.ReplicaKey]time.Time
	out  []Violation
}

// limitHistory is the changes of each replica's limit by time.
type limitHistory map[fleet.ReplicaKey][]LimitChange

func newLimitHistory(changes []LimitChange) limitHistory {
	h := limitHistory{}
	for _, c := range changes {
		h[c.Key] = append(h[c.Key], c)
	}
	for _, list := range h {
		slices.SortStableFunc(list, func(a, b LimitChange) int { return a.At.Compare(b.At) })
	}
	return h
}

// at returns the limit in force at a time; false before the first change.
func (h limitHistory) at(k fleet.ReplicaKey, at time.Time) (limit int, changed time.Time, ok bool) {
	for _, c := range h[k] {
		if c.At.After(at) {
			break
		}
		limit, changed, ok = c.Max, c.At, true
	}
	return limit, changed, ok
}

// judgePlacement finds replicas beyond their limit and overcommitted memory.
// A target's replicas end with its restart.
func judgePlacement(run Run, b Bounds) []Violation {
	j := &placementJudge{
		bounds: b,
		held:   map[fleet.TargetID]map[fleet.ReplicaKey]bool{},
		counts: map[fleet.ReplicaKey]int{},
		limits: newLimitHistory(run.Limits),
		over:   map[fleet.ReplicaKey]time.Time{},
	}
	for _, r := range run.Targets {
		j.overdue(r.At)
		j.take(r)
	}
	j.overdue(run.End)
	return j.out
}

func (j *placementJudge) take(r engine.Record) {
	if r.MemoryBytes > 0 && r.UsedBytes > r.MemoryBytes {
		j.out = append(j.out, violation(RuleMemory, r.At, "target %s holds %d of %d bytes", r.Target, r.UsedBytes, r.MemoryBytes))
	}
	switch r.Kind {
	case engine.RecordLoad:
		j.load(r)
	case engine.RecordUnload, engine.RecordLoadFailed:
		j.dropWithAdapters(r.Target, r.Key)
	case engine.RecordRestart:
		for k := range j.held[r.Target] {
			j.drop(r.Target, k)
		}
	case engine.RecordLoaded, engine.RecordStale, engine.RecordStart, engine.RecordEnd, engine.RecordLeaving:
	}
}

func (j *placementJudge) load(r engine.Record) {
	if j.held[r.Target] == nil {
		j.held[r.Target] = map[fleet.ReplicaKey]bool{}
	}
	if j.held[r.Target][r.Key] {
		return
	}
	j.held[r.Target][r.Key] = true
	j.counts[r.Key]++
	limit, changed, ok := j.limits.at(r.Key, r.At)
	// A load that an owner ordered before the lowered limit could reach it
	// is surplus, which has to go within the bound.
	if ok && j.counts[r.Key] > limit && !j.wasAllowed(r, changed) {
		j.out = append(j.out, violation(RuleLimit, r.At, "%s: %d replicas, the limit is %d; target %s loaded one more", r.Key, j.counts[r.Key], limit, r.Target))
	}
}

// wasAllowed tells whether the load was within the limit before a change
// that had not been in force for the propagation bound.
func (j *placementJudge) wasAllowed(r engine.Record, changed time.Time) bool {
	if r.At.Sub(changed) > j.bounds.Propagation {
		return false
	}
	before, _, ok := j.limits.at(r.Key, changed.Add(-time.Nanosecond))
	return ok && j.counts[r.Key] <= before
}

// dropWithAdapters ends a replica, and with a base model its adapters.
func (j *placementJudge) dropWithAdapters(t fleet.TargetID, k fleet.ReplicaKey) {
	for held := range j.held[t] {
		if held == k || (k.Adapter == "" && held.Base() == k) {
			j.drop(t, held)
		}
	}
}

func (j *placementJudge) drop(t fleet.TargetID, k fleet.ReplicaKey) {
	if j.held[t][k] {
		delete(j.held[t], k)
		j.counts[k]--
	}
}

// overdue finds replicas that stayed loaded beyond a lowered limit.
func (j *placementJudge) overdue(now time.Time) {
	for k, n := range j.counts {
		limit, changed, ok := j.limits.at(k, now)
		if !ok || n <= limit {
			delete(j.over, k)
			continue
		}
		since, known := j.over[k]
		if !known {
			since = changed
			j.over[k] = since
		}
		if !since.IsZero() && now.Sub(since) > j.bounds.LimitLowered {
			j.out = append(j.out, violation(RuleLimit, now, "%s: %d replicas %s after the limit became %d", k, n, now.Sub(since), limit))
			j.over[k] = time.Time{}
		}
	}
}
