package dispatch

import (
	"time"

	"almondturn/fleet"
)

// choice tells how to choose among candidates.
type choice struct {
	zone    fleet.Zone
	service fleet.Service
	// replica is what must be loaded; zero for plain services.
	replica fleet.ReplicaKey
	exclude []fleet.TargetID
	// ejected lets targets be chosen that could not be reached just before.
	ejected bool
	now     time.Time
	// share bounds this node's own requests at one target; 0 for none.
	share int
}

// choose returns the candidate with the lowest share of its places in use,
// the own zone first; false when none has a place.
func (l *loadTable) choose(candidates []Candidate, c choice) (*Candidate, bool) {
	var best *Candidate
	bestScore := 0.0
	for i := range candidates {
		cand := &candidates[i]
		if c.excluded(cand.Target.ID) {
			continue
		}
		score, ok := l.score(cand, c)
		if ok && (best == nil || score < bestScore) {
			best, bestScore = cand, score
		}
	}
	return best, best != nil
}

// otherZonePenalty puts targets of other zones behind those of the own one.
const otherZonePenalty = 1000

// score returns the share of the candidate's places in use, and false when
// there is no place.
func (l *loadTable) score(cand *Candidate, c choice) (float64, bool) {
	load := l.get(cand.Target.ID)
	if load.isEjected(c.now) && !c.ejected || l.stale.active(staleKey{cand.Target.ID, c.replica}, cand.Report, c.now) {
		return 0, false
	}
	places := l.opts.places(cand, c.service)
	occupied := load.occupied(cand)
	if occupied >= places {
		return 0, false
	}
	if c.share > 0 && load.inflight.Load() >= int64(max(1, ceilDiv(places, c.share))) {
		return 0, false
	}
	score := float64(occupied) / float64(places)
	if cand.Target.Zone != c.zone {
		score += otherZonePenalty
	}
	return score, true
}

func (c *choice) excluded(id fleet.TargetID) bool {
	for _, e := range c.exclude {
		if e == id {
			return true
		}
	}
	return false
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
