package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Candidate is a target of the zone that has a model or plans to load it, as a request finds it.
type Candidate struct {
	Target string
	// Cost orders the targets at which the request can start; the lowest is chosen.
	Cost float64
	// Obstacle is why the request can't start there now, empty if it can.
	Obstacle string
	// Runs is the number of runs, Slots that of slots, and PendingPrefillTokens that of the
	// prompt tokens that wait for prefill.
	Runs, Slots, PendingPrefillTokens int
}

// View is what a request would find.
type View struct {
	// Candidates holds the targets at which the request can start in the order of preference,
	// and then the others.
	Candidates []Candidate
	// Waiting is the number of requests that wait for the model; SinceStep the time since the
	// last step, which rebuilt the list of targets, -1 ms if there was none since they changed.
	Waiting   int
	SinceStep time.Duration
}

// View returns what a request would find if it were submitted now. It changes nothing.
func (s *Scheduler) View(now time.Time, r Request) View {
	k := modelKey{r.Service, r.Model}
	v := View{Waiting: s.waitingByModel[k], SinceStep: -time.Millisecond}
	if !s.lastStepAt.IsZero() {
		v.SinceStep = now.Sub(s.lastStepAt)
	}
	if svc := s.services[r.Service]; svc == nil || svc.Engine == nil {
		return v
	}
	// The functions that decide fill buckets, create the demand of a model and forget old
	// prompts. They get copies of what they change.
	c := *s
	c.demand, c.targetLimits = maps.Clone(s.demand), maps.Clone(s.targetLimits)
	w := &waiter{Request: r, submittedAt: now, latencyObjective: r.LatencyObjective}
	offered := s.candidateTargets(now, k, w)
	for _, t := range s.targetsByModel[k] {
		v.Candidates = append(v.Candidates, c.candidate(now, *t, w, slices.Contains(offered, t)))
	}
	slices.SortStableFunc(v.Candidates, func(a, b Candidate) int {
		if (a.Obstacle == "") != (b.Obstacle == "") {
			return cmp.Compare(len(a.Obstacle), len(b.Obstacle))
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	return v
}

// candidate returns a target as a request finds it. offered is true if candidateTargets returns the
// target. s and t must be copies that may be changed.
func (s *Scheduler) candidate(now time.Time, t target, w *waiter, offered bool) Candidate {
	if l := s.limitOf(&t); l != nil {
		limit, bucket := *l, *l.bucket
		limit.bucket = &bucket
		s.targetLimits[t.info.ID] = &limit
	}
	o := s.startObstacle(now, &t, w)
	if o == noObstacle && !offered {
		o = withheldOrLimited
	}
	return Candidate{
		Target: t.info.ID, Cost: s.startCost(now, &t, w), Obstacle: o.String(), Runs: t.runs, Slots: s.slots(&t), PendingPrefillTokens: t.pendingPrefillTokens,
	}
}
