package dispatch

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
)

// targetLoad is what this node knows of the work at one target that the
// target's last report may not contain yet.
type targetLoad struct {
	// inflight counts the requests that this node has at the target; granted
	// those that it let others, or itself as a home, send.
	inflight atomic.Int64
	granted  atomic.Int64
	// report is the last report seen, ownThen this node's count at that time.
	report  atomic.Uint64
	ownThen atomic.Int64
	// ejected is the time until which the target is avoided, in Unix nanoseconds.
	ejected atomic.Int64
	budget  retryBudget
}

// loadTable holds the load of all targets. Lookups of known targets take
// no lock.
type loadTable struct {
	opts    Options
	targets sync.Map // fleet.TargetID to *targetLoad
	stale   staleTable
}

func (l *loadTable) get(id fleet.TargetID) *targetLoad {
	if t, ok := l.targets.Load(id); ok {
		return t.(*targetLoad)
	}
	fresh := new(targetLoad)
	fresh.budget.init(l.opts.RetryRatio, l.opts.RetryBurst)
	t, _ := l.targets.LoadOrStore(id, fresh)
	return t.(*targetLoad)
}

// occupied estimates the requests at the candidate now: the reported work
// of others plus this node's own count.
func (t *targetLoad) occupied(c *Candidate) int {
	own := t.inflight.Load() + t.granted.Load()
	if c.State == nil {
		return int(own)
	}
	if last := t.report.Load(); last != c.Report && t.report.CompareAndSwap(last, c.Report) {
		// The report is older than its arrival, so that it may contain
		// requests that have ended since.
		t.ownThen.Store(max(own, t.ownThen.Load()/2))
	}
	reported := int64(c.State.Running + c.State.Waiting)
	return int(max(0, reported-t.ownThen.Load()) + own)
}

func (t *targetLoad) eject(now time.Time, d time.Duration) { t.ejected.Store(now.Add(d).UnixNano()) }

func (t *targetLoad) isEjected(now time.Time) bool { return now.UnixNano() < t.ejected.Load() }

// maxRunning returns the number of requests that the candidate runs at once.
func (o *Options) maxRunning(c *Candidate) int {
	if c.State != nil && c.State.MaxRunning > 0 {
		return c.State.MaxRunning
	}
	if c.Target.Kind == fleet.TargetPlain {
		return o.PlainMaxRunning
	}
	return o.DefaultMaxRunning
}

// places returns how many requests of the service may be at the candidate.
// Other services that are busy there keep their even share, or what they
// use and one more when that is less.
func (o *Options) places(c *Candidate, service fleet.Service) int {
	limit := o.maxRunning(c)
	if c.State == nil {
		return limit + o.targetQueue(limit)
	}
	running, services := runningByOthers(c.State, service)
	if services == 0 {
		return limit + o.targetQueue(limit)
	}
	share := max(1, limit/(services+1))
	return max(share, limit-running-services)
}

// targetQueue returns how many requests may wait at a target.
func (o *Options) targetQueue(maxRunning int) int {
	return int(math.Ceil(o.TargetQueue * float64(maxRunning)))
}

// runningByOthers returns the requests of other services and how many other
// services have any.
func runningByOthers(s *fleet.TargetState, service fleet.Service) (running, services int) {
	var last fleet.Service
	for i := range s.Replicas {
		r := &s.Replicas[i]
		if r.Key.Service == service || r.Running == 0 {
			continue
		}
		running += r.Running
		if r.Key.Service != last {
			services++
			last = r.Key.Service
		}
	}
	return running, services
}
