package replay

import (
	"slices"
	"sort"
	"time"

	"almondturn/pkg/keepalive"
)

// Planner is a keep-alive policy under evaluation.
type Planner interface {
	// Plan is asked when a replica becomes idle, at the given time.
	Plan(r *Replica, now time.Duration) keepalive.Plan
	// Gap reports the gap that has just ended with an arrival.
	Gap(r *Replica, now, gap time.Duration)
	// Cold reports a load that requests waited for.
	Cold(r *Replica, waiting int)
}

// Result holds the two measures of one replay.
type Result struct {
	// IdleHours is the sum over replicas of the hours loaded, or loading
	// ahead of demand, with no request running or waiting, times the
	// accelerators held.
	IdleHours float64
	// ColdP50, ColdP99 and ColdP999 are percentiles over all requests of
	// the time from arrival until the replica is loaded.
	ColdP50, ColdP99, ColdP999 time.Duration
	// ColdMean is the mean of the same time over all requests.
	ColdMean time.Duration
	Requests int
	// ColdRequests is the number of requests that waited at all.
	ColdRequests int
	// Loads counts loads on demand and ahead of it.
	Loads int
}

// Evaluate replays a trace with one replica per key and no shortage of
// memory, and measures what falls at or after from.
func Evaluate(trace *Trace, planner Planner, from time.Duration) Result {
	e := evaluation{planner: planner, from: from, states: make([]state, len(trace.Replicas))}
	for _, next := range trace.order {
		e.step(&trace.Replicas[next.replica], &e.states[next.replica], next.arrival)
	}
	return e.result()
}

// state is where one replica stands.
type state struct {
	started bool
	// loadedAt is when the current or last demand load completes.
	loadedAt time.Duration
	// idleFrom is when the last request so far has ended.
	idleFrom time.Duration
	// waiting counts the requests that wait for the current demand load.
	waiting int
}

type evaluation struct {
	planner     Planner
	from        time.Duration
	states      []state
	idleSeconds float64
	waits       []time.Duration
	loads       int
}

func (e *evaluation) step(r *Replica, s *state, arrival int) {
	a := r.Requests[arrival]
	if !s.started || a.At > s.idleFrom {
		e.wake(r, s, a.At)
	}
	wait := max(0, s.loadedAt-a.At)
	if wait > 0 {
		s.waiting++
	}
	if a.At >= e.from {
		e.waits = append(e.waits, wait)
	}
	s.idleFrom = max(s.idleFrom, a.At+wait+a.Running)
}

// wake ends an idle gap: it charges the idle time of the plan and starts a
// load unless the plan has the replica loaded.
func (e *evaluation) wake(r *Replica, s *state, now time.Duration) {
	if s.waiting > 0 {
		e.planner.Cold(r, s.waiting)
		s.waiting = 0
	}
	if !s.started {
		s.started = true
		e.demandLoad(s, now, now+r.LoadTime)
		return
	}
	gap := now - s.idleFrom
	plan := e.planner.Plan(r, s.idleFrom)
	idle, ready := charge(plan, gap, r.LoadTime)
	if now >= e.from {
		e.idleSeconds += idle.Seconds() * r.Accelerators
	}
	if plan.LoadAt > 0 && gap > plan.LoadAt {
		e.countLoad(now)
	}
	if ready < 0 {
		e.demandLoad(s, now, now+r.LoadTime)
	} else {
		s.loadedAt = now + ready
	}
	e.planner.Gap(r, now, gap)
}

// charge returns the idle time of a plan over a gap, and how long after the
// gap the replica is loaded, or -1 when it has to be loaded on demand.
func charge(p keepalive.Plan, gap, loadTime time.Duration) (idle, ready time.Duration) {
	if gap <= p.Keep {
		return gap, 0
	}
	if p.LoadAt == 0 || gap <= p.LoadAt {
		return p.Keep, -1
	}
	if gap > p.LoadedUntil {
		return p.Keep + p.LoadedUntil - p.LoadAt, -1
	}
	idle = p.Keep + gap - p.LoadAt
	return idle, max(0, p.LoadAt+loadTime-gap)
}

func (e *evaluation) demandLoad(s *state, now, loadedAt time.Duration) {
	s.loadedAt = loadedAt
	e.countLoad(now)
}

func (e *evaluation) countLoad(now time.Duration) {
	if now >= e.from {
		e.loads++
	}
}

func (e *evaluation) result() Result {
	out := Result{IdleHours: e.idleSeconds / 3600, Requests: len(e.waits), Loads: e.loads}
	if len(e.waits) == 0 {
		return out
	}
	slices.Sort(e.waits)
	at := func(q float64) time.Duration { return e.waits[int(q*float64(len(e.waits)-1))] }
	out.ColdP50, out.ColdP99, out.ColdP999 = at(0.5), at(0.99), at(0.999)
	sum := time.Duration(0)
	for _, w := range e.waits {
		sum += w
	}
	out.ColdMean = sum / time.Duration(len(e.waits))
	warm := sort.Search(len(e.waits), func(i int) bool { return e.waits[i] > 0 })
	out.ColdRequests = len(e.waits) - warm
	return out
}

// Fixed keeps every replica for the same time.
type Fixed time.Duration

// Plan implements Planner.
func (f Fixed) Plan(*Replica, time.Duration) keepalive.Plan {
	return keepalive.Plan{Keep: time.Duration(f)}
}

// Gap implements Planner.
func (Fixed) Gap(*Replica, time.Duration, time.Duration) {}

// Cold implements Planner.
func (Fixed) Cold(*Replica, int) {}

// Clairvoyant returns the least idle hours that any policy can have without
// a single cold request: each gap costs the gap or one load, whichever is
// shorter.
func Clairvoyant(trace *Trace, from time.Duration) Result {
	out := Result{}
	for i := range trace.Replicas {
		r := &trace.Replicas[i]
		idleFrom := time.Duration(-1)
		for _, a := range r.Requests {
			if idleFrom >= 0 && a.At > idleFrom && a.At >= from {
				out.IdleHours += min(a.At-idleFrom, r.LoadTime).Hours() * r.Accelerators
			}
			idleFrom = max(idleFrom, a.At+a.Running)
			if a.At >= from {
				out.Requests++
			}
		}
	}
	return out
}

// Learning adapts keepalive.Policy, which learns during the replay.
type Learning struct{ Policy *keepalive.Policy }

// NewLearning returns a planner with a fresh policy that knows the declared
// accelerators of each replica.
func NewLearning(trace *Trace, o keepalive.Options) Learning {
	p := keepalive.NewPolicy(o)
	for _, r := range trace.Replicas {
		p.Declare(r.Key, r.Accelerators, 0)
	}
	return Learning{Policy: p}
}

// Plan implements Planner.
func (l Learning) Plan(r *Replica, _ time.Duration) keepalive.Plan { return l.Policy.Plan(r.Key) }

// Gap implements Planner.
func (l Learning) Gap(r *Replica, _, gap time.Duration) { l.Policy.Observe(r.Key, gap) }

// Cold implements Planner.
func (l Learning) Cold(r *Replica, waiting int) {
	l.Policy.ObserveLoad(r.Key, r.LoadTime, waiting)
}
