// Package scheduler decides, for the targets of one availability zone, which
// request runs where, and which model is loaded or unloaded next. It does no
// I/O and reads no clock: the owner of the zone passes in requests, reports and
// the time, and carries out the actions that Step returns.
package scheduler

import (
	"time"

	"almondturn/fleet"
)

// run is a granted request.
type run struct {
	id             RunID
	node           fleet.NodeID
	target         string
	model, adapter string
	tokens         int
	inputTokens    int
	// pendingPrefillTokens is the number of prompt tokens waiting for prefill at
	// the target when the run was granted, including the run's own.
	pendingPrefillTokens int
	// pacedSince is when a target was first skipped for the request because of
	// its prefill budget, zero if none was.
	pacedSince       time.Time
	latencyObjective time.Duration
	grantedAt        time.Time
	started          bool
	// probe is true for a run granted at a target whose load of the model was
	// not yet confirmed.
	probe bool
	// customer and priority are those of the request. They are not known for an adopted run,
	// which an earlier owner granted.
	customer string
	priority int
	adopted  bool
	// factor is the duration factor of the target at the grant, 0 for an adopted run.
	factor float64
}

// RunStarted records the first event of a run's response. It has no effect on
// unknown runs.
func (s *Scheduler) RunStarted(now time.Time, id RunID) {
	r := s.runs[id]
	if r == nil || r.started {
		return
	}
	r.started = true
	t := s.targets[r.target]
	if t == nil {
		return
	}
	t.pendingPrefillTokens = max(t.pendingPrefillTokens-r.inputTokens, 0)
	t.refusals = 0
	s.adapterShown(t, r.model, r.adapter)
	if r.probe {
		if t.phase == modelLoading && t.isLoading(r.model) {
			s.loadSucceeded(queueKey{t.info.Service, r.model, ""}, t.orderSince)
		}
		if o := t.weightStoreLoad(); o != nil && t.phase == modelLoading && o.Model == r.model {
			s.weightStoreLoadFinished(now, t, o)
		}
		t.loadConfirmed(now, r)
		return
	}
	d := s.demandOf(modelKey{t.info.Service, r.model})
	since := r.grantedAt
	if !r.pacedSince.IsZero() {
		since = r.pacedSince // the wait for the prefill budget counts as well
	}
	d.observeStart(now.Sub(since), r.latencyObjective)
	if r.pendingPrefillTokens > 0 {
		s.recordPrefill(modelKey{t.info.Service, r.model}, r.pendingPrefillTokens, s.usualTime(now, t, r))
	}
}

// RunEnded releases the slot of a run. It has no effect on unknown runs.
func (s *Scheduler) RunEnded(now time.Time, id RunID, o Outcome) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	t := s.targets[r.target]
	if t == nil {
		return
	}
	t.removeRun(now, r)
	t.applyOutcome(now, r, o)
	s.returnToLimit(now, t, o)
	s.refundCustomer(t.info.Service, r, o)
	d := s.demandOf(modelKey{t.info.Service, r.model})
	d.idleSince = now
	if o == Completed {
		d.observeEnd(s.usualTime(now, t, r))
	}
}

// AdoptedRun is a run granted by an earlier owner.
type AdoptedRun struct {
	ID                     RunID
	Target, Model, Adapter string
	Tokens                 int
}

// AdoptRuns replaces the runs of a node, so that a new owner knows the runs that
// earlier owners granted. Runs at unknown targets are ignored.
func (s *Scheduler) AdoptRuns(now time.Time, node fleet.NodeID, runs []AdoptedRun) {
	s.RemoveRunsOfNode(now, node)
	for _, a := range runs {
		t := s.targets[a.Target]
		if t == nil {
			continue
		}
		r := &run{id: a.ID, node: node, target: a.Target, model: a.Model, adapter: a.Adapter, tokens: a.Tokens, grantedAt: now, adopted: true}
		s.runs[r.id] = r
		t.addRun(now, r)
	}
}

// RemoveRunsOfNode removes the runs of a node, for example after it has
// disconnected.
func (s *Scheduler) RemoveRunsOfNode(now time.Time, node fleet.NodeID) {
	for id, r := range s.runs {
		if r.node != node {
			continue
		}
		delete(s.runs, id)
		if t := s.targets[r.target]; t != nil {
			t.removeRun(now, r)
		}
	}
}

// removeRunsOf removes the runs of a target that was removed or restarted. Later
// calls of RunStarted and RunEnded for them have no effect.
func (s *Scheduler) removeRunsOf(target string) {
	for id, r := range s.runs {
		if r.target == target {
			delete(s.runs, id)
		}
	}
}

// Running returns the number of runs.
func (s *Scheduler) Running() int { return len(s.runs) }
