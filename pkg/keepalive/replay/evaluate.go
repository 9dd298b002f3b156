package replay

import (
	"slices"
	"sort"
	"time"

	"almondturn/pkg/keepalive"
)

// Planner is a keep-alive policy under evaluation. The argument now is the time
// since midnight of the trace's day 0.
type Planner interface {
	// Plan returns the plan of a replica that becomes idle at the given time.
	Plan(r *Replica, now time.Duration) keepalive.Plan
	// ObserveGap is called for each idle gap when a request ends it.
	ObserveGap(r *Replica, now, gap time.Duration)
	// ObserveLoad is called for each load that requests waited for.
	ObserveLoad(r *Replica, waiting int)
}

// Result holds the measures of one replay, which are idle time and waiting time.
type Result struct {
	// IdleAcceleratorHours is the sum over replicas of the hours in which the
	// replica is loaded, or is loading ahead of demand, with no request running or
	// waiting, times its accelerators.
	IdleAcceleratorHours float64
	// WaitP50, WaitP99 and WaitP999 are percentiles over all requests of the
	// time from arrival until the replica is loaded.
	WaitP50, WaitP99, WaitP999 time.Duration
	// MeanWait is the mean of that time over all requests.
	MeanWait time.Duration
	Requests int
	// ColdRequests is the number of requests that waited for a load.
	ColdRequests int
	// Loads is the number of loads on demand and ahead of demand.
	Loads int
}

// Evaluate replays a trace with one replica per key and enough memory for all of
// them. The result covers requests that arrive, and gaps that end, at or after from.
func Evaluate(trace *Trace, planner Planner, from time.Duration) Result {
	e := evaluation{planner: planner, measureFrom: from, states: make([]replicaState, len(trace.Replicas))}
	for _, next := range trace.requests {
		e.replayRequest(&trace.Replicas[next.replica], &e.states[next.replica], next.request)
	}
	return e.summarize()
}

// replicaState is the state of one replica during a replay.
type replicaState struct {
	started bool
	// loadedAt is when the current or last load is complete, or the end of the last
	// gap if the replica was loaded then.
	loadedAt time.Duration
	// idleFrom is when the last request so far has ended.
	idleFrom time.Duration
	// waiting is the number of requests that wait for the current load on
	// demand.
	waiting int
}

// evaluation is the state of one replay. Measurements start at measureFrom.
type evaluation struct {
	planner     Planner
	measureFrom time.Duration
	states      []replicaState
	idleSeconds float64
	waits       []time.Duration
	loads       int
}

// replayRequest processes the request with the given index.
func (e *evaluation) replayRequest(r *Replica, s *replicaState, request int) {
	a := r.Requests[request]
	if !s.started || a.At > s.idleFrom {
		e.endGap(r, s, a.At)
	}
	wait := max(0, s.loadedAt-a.At)
	if wait > 0 {
		s.waiting++
	}
	if a.At >= e.measureFrom {
		e.waits = append(e.waits, wait)
	}
	s.idleFrom = max(s.idleFrom, a.At+wait+a.RunTime)
}

// endGap ends an idle gap: it adds the idle time of the plan and starts a load
// unless the plan has the replica loaded.
func (e *evaluation) endGap(r *Replica, s *replicaState, now time.Duration) {
	if s.waiting > 0 {
		e.planner.ObserveLoad(r, s.waiting)
		s.waiting = 0
	}
	if !s.started {
		s.started = true
		e.loadOnDemand(s, now, now+r.LoadTime)
		return
	}
	gap := now - s.idleFrom
	plan := e.planner.Plan(r, s.idleFrom)
	idle, ready := gapUsage(plan, gap, r.LoadTime)
	if now >= e.measureFrom {
		e.idleSeconds += idle.Seconds() * r.Accelerators
	}
	if plan.LoadAt > 0 && gap > plan.LoadAt {
		e.countLoad(now)
	}
	if ready < 0 {
		e.loadOnDemand(s, now, now+r.LoadTime)
	} else {
		s.loadedAt = now + ready
	}
	e.planner.ObserveGap(r, now, gap)
}

// gapUsage returns the idle time of a plan in a gap, and the time from the end of
// the gap until the replica is loaded, -1 if it has to be loaded on demand.
func gapUsage(p keepalive.Plan, gap, loadTime time.Duration) (idle, ready time.Duration) {
	if gap <= p.Window {
		return gap, 0
	}
	if p.LoadAt == 0 || gap <= p.LoadAt {
		return p.Window, -1
	}
	if gap > p.LoadedUntil {
		return p.Window + p.LoadedUntil - p.LoadAt, -1
	}
	idle = p.Window + gap - p.LoadAt
	return idle, max(0, p.LoadAt+loadTime-gap)
}

// loadOnDemand starts a load at now that is complete at loadedAt.
func (e *evaluation) loadOnDemand(s *replicaState, now, loadedAt time.Duration) {
	s.loadedAt = loadedAt
	e.countLoad(now)
}

// countLoad counts a load in the measured time.
func (e *evaluation) countLoad(now time.Duration) {
	if now >= e.measureFrom {
		e.loads++
	}
}

// summarize returns the result of the replay.
func (e *evaluation) summarize() Result {
	out := Result{IdleAcceleratorHours: e.idleSeconds / 3600, Requests: len(e.waits), Loads: e.loads}
	if len(e.waits) == 0 {
		return out
	}
	slices.Sort(e.waits)
	percentile := func(q float64) time.Duration { return e.waits[int(q*float64(len(e.waits)-1))] }
	out.WaitP50, out.WaitP99, out.WaitP999 = percentile(0.5), percentile(0.99), percentile(0.999)
	sum := time.Duration(0)
	for _, w := range e.waits {
		sum += w
	}
	out.MeanWait = sum / time.Duration(len(e.waits))
	warmCount := sort.Search(len(e.waits), func(i int) bool { return e.waits[i] > 0 })
	out.ColdRequests = len(e.waits) - warmCount
	return out
}

// FixedWindow is a planner that keeps every replica loaded for the same time.
type FixedWindow time.Duration

// Plan implements Planner.
func (f FixedWindow) Plan(*Replica, time.Duration) keepalive.Plan {
	return keepalive.Plan{Window: time.Duration(f)}
}

// ObserveGap implements Planner and does nothing.
func (FixedWindow) ObserveGap(*Replica, time.Duration, time.Duration) {}

// ObserveLoad implements Planner and does nothing.
func (FixedWindow) ObserveLoad(*Replica, int) {}

// Clairvoyant returns a lower bound of the idle accelerator hours of any policy
// without cold requests: each gap costs the gap or one load, whichever is shorter.
// Only IdleAcceleratorHours and Requests of the result are set.
func Clairvoyant(trace *Trace, from time.Duration) Result {
	out := Result{}
	for i := range trace.Replicas {
		r := &trace.Replicas[i]
		idleFrom := time.Duration(-1)
		for _, a := range r.Requests {
			if idleFrom >= 0 && a.At > idleFrom && a.At >= from {
				out.IdleAcceleratorHours += min(a.At-idleFrom, r.LoadTime).Hours() * r.Accelerators
			}
			idleFrom = max(idleFrom, a.At+a.RunTime)
			if a.At >= from {
				out.Requests++
			}
		}
	}
	return out
}

// PolicyPlanner is a planner that uses a keepalive.Policy and passes all
// observations of the replay to it.
type PolicyPlanner struct{ Policy *keepalive.Policy }

// NewPolicyPlanner returns a planner with a policy that has no observations yet
// but knows the accelerators of each replica.
func NewPolicyPlanner(trace *Trace, o keepalive.Options) PolicyPlanner {
	p := keepalive.NewPolicy(o)
	for _, r := range trace.Replicas {
		p.SetIdleCost(r.Key, r.Accelerators, 0)
	}
	return PolicyPlanner{Policy: p}
}

// Plan implements Planner.
func (p PolicyPlanner) Plan(r *Replica, _ time.Duration) keepalive.Plan { return p.Policy.Plan(r.Key) }

// ObserveGap implements Planner.
func (p PolicyPlanner) ObserveGap(r *Replica, _, gap time.Duration) { p.Policy.ObserveGap(r.Key, gap) }

// ObserveLoad implements Planner.
func (p PolicyPlanner) ObserveLoad(r *Replica, waiting int) {
	p.Policy.ObserveLoad(r.Key, r.LoadTime, waiting)
}
