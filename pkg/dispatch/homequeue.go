package dispatch

import (
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// idleQueueLife is how long a queue without requests keeps its averages.
const idleQueueLife = 10 * time.Minute

// replicaQueue is the home's state of one replica key.
type replicaQueue struct {
	home *Home
	key  fleet.ReplicaKey
	// wake tells the loop that a place or a request has come.
	wake chan struct{}

	mu       sync.Mutex // guards all below
	closed   bool
	fair     *fairQueue
	waiters  map[string]*waiter
	grants   map[string]*grantState
	arrivals uint64
	lastUse  time.Time
	service  average

	load         average
	loading      bool
	loadingSince time.Time
	// refusal is the answer until refuseUntil after a failed first load.
	refusal     error
	refuseUntil time.Time
	// scaleOutAfter is the earliest time to ask for a further replica.
	scaleOutAfter time.Time
	// expiredAt and sweptAt are when overdue requests, and places of entry
	// nodes that died, were last looked for.
	expiredAt, sweptAt time.Time
	// toldAt is when the zone was last told that requests wait.
	toldAt time.Time
	// loaded names targets whose load ended but is not in the directory yet.
	loaded map[fleet.TargetID]time.Time
}

func newReplicaQueue(h *Home, k fleet.ReplicaKey) *replicaQueue {
	return &replicaQueue{
		home:    h,
		key:     k,
		wake:    make(chan struct{}, 1),
		fair:    newFairQueue(),
		waiters: map[string]*waiter{},
		grants:  map[string]*grantState{},
		loaded:  map[fleet.TargetID]time.Time{},
		lastUse: h.clock.Now(),
	}
}

func (q *replicaQueue) kick() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// enter returns the request's waiter, a new one or the one it has already.
// Entering twice does not queue twice.
func (q *replicaQueue) enter(from fleet.Node, a *wire.Acquire) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, fault.New(fault.ShuttingDown, "the queue was closed as idle")
	}
	now := q.home.clock.Now()
	q.lastUse = now
	w := q.waiters[a.RequestID]
	if w != nil {
		w.attached++
		return w, nil
	}
	remaining := time.Duration(a.RemainingMillis) * time.Millisecond
	w = &waiter{
		id:       a.RequestID,
		from:     from,
		flow:     flowID{class: catalog.Class(a.Class), team: a.Team},
		deadline: now.Add(remaining),
		since:    now,
		exclude:  a.Exclude,
		attached: 1,
		done:     make(chan struct{}),
	}
	q.discardLocked(a.NotLoaded, now)
	candidates := q.candidatesLocked(now)
	if len(q.waiters) == 0 && q.grantLocked(w, candidates, now) {
		q.waiters[w.id] = w
		return w, nil
	}
	if err := q.recentFailureLocked(len(candidates), now); err != nil {
		return nil, err
	}
	adm := q.admissionLocked(w.flow, remaining, candidates, now)
	if err := adm.admit(); err != nil {
		if len(candidates) == 0 {
			q.startLoadLocked(now, true)
		}
		return nil, err
	}
	q.arrivals++
	w.arrival = q.arrivals
	w.cold = len(candidates) == 0
	q.waiters[w.id] = w
	q.fair.push(w)
	q.kick()
	return w, nil
}

// recentFailureLocked returns the refusal after a load that failed just now:
// requests that ask again do not each start another.
func (q *replicaQueue) recentFailureLocked(loaded int, now time.Time) error {
	if loaded > 0 || q.loading || now.After(q.refuseUntil) {
		return nil
	}
	return q.refusal
}

func (q *replicaQueue) admissionLocked(id flowID, remaining time.Duration, candidates []Candidate, now time.Time) admission {
	a := admission{
		remaining: remaining,
		ahead:     q.fair.ahead(id),
		queued:    q.fair.size,
		limit:     q.home.opts.QueueLimit,
		places:    q.placesOf(candidates),
		service:   q.service.value,
		load:      q.load.value,
	}
	if q.loading {
		a.loading = now.Sub(q.loadingSince)
	}
	return a
}

func (q *replicaQueue) placesOf(candidates []Candidate) int {
	n := 0
	for i := range candidates {
		n += q.home.opts.maxRunning(&candidates[i])
	}
	return n
}

// leave ends one call of the entry node: with the grant, the refusal, or
// leave to ask again.
func (q *replicaQueue) leave(w *waiter) (*wire.Grant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.attached--
	w.detachedAt = q.home.clock.Now()
	if w.err != nil {
		return nil, w.err
	}
	if w.grant == nil {
		return &wire.Grant{Waiting: true, Queued: q.fair.size}, nil
	}
	delete(q.waiters, w.id)
	w.grant.Queued = q.fair.size
	return w.grant, nil
}

// release ends a grant or withdraws a waiting request.
func (q *replicaQueue) release(r *wire.GrantEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if g := q.grants[r.RequestID]; g != nil {
		delete(q.grants, r.RequestID)
		g.target.granted.Add(-1)
	}
	if r.ServiceMillis > 0 {
		q.service.add(time.Duration(r.ServiceMillis) * time.Millisecond)
	}
	if w := q.waiters[r.RequestID]; w != nil && w.grant == nil {
		q.dropLocked(func(o *waiter) bool { return o == w }, fault.New(fault.CallerGone, "withdrawn"))
	}
	delete(q.waiters, r.RequestID)
	q.kick()
}

// discardLocked takes the word of entry nodes that targets have refused the
// replica as not loaded.
func (q *replicaQueue) discardLocked(refused []fleet.TargetID, now time.Time) {
	for _, id := range refused {
		delete(q.loaded, id)
		if c, ok := q.home.dir.Target(id); ok {
			q.home.loads.stale.mark(staleKey{id, q.key}, c.Report, now.Add(q.home.opts.StaleFor))
		}
	}
}

// candidatesLocked returns the loaded targets of the own zone.
func (q *replicaQueue) candidatesLocked(now time.Time) []Candidate {
	zone := q.home.view().Self.Zone
	all := q.home.dir.Loaded(q.key)
	own := make([]Candidate, 0, len(all)+len(q.loaded))
	for _, c := range all {
		if c.Target.Zone == zone && !q.home.loads.stale.active(staleKey{c.Target.ID, q.key}, c.Report, now) {
			own = append(own, c)
			delete(q.loaded, c.Target.ID)
		}
	}
	for id, until := range q.loaded {
		c, ok := q.home.dir.Target(id)
		if !ok || now.After(until) {
			delete(q.loaded, id)
			continue
		}
		own = append(own, c)
	}
	return own
}

// grantLocked gives the waiter a place if there is one.
func (q *replicaQueue) grantLocked(w *waiter, candidates []Candidate, now time.Time) bool {
	ch := choice{zone: q.home.view().Self.Zone, service: q.key.Service, replica: q.key, exclude: w.exclude, now: now}
	c, ok := q.home.loads.choose(candidates, ch)
	if !ok && len(w.exclude) > 0 && q.allExcluded(w, candidates) {
		// Only targets that failed this request before hold the replica.
		ch.exclude = nil
		c, ok = q.home.loads.choose(candidates, ch)
	}
	if !ok {
		return false
	}
	load := q.home.loads.get(c.Target.ID)
	load.granted.Add(1)
	q.grants[w.id] = &grantState{target: load, from: w.from, seenAt: now, expires: w.deadline.Add(q.home.opts.AcquireGrace)}
	w.grant = &wire.Grant{Target: c.Target, Cold: w.cold}
	close(w.done)
	return true
}

func (q *replicaQueue) allExcluded(w *waiter, candidates []Candidate) bool {
	for _, c := range candidates {
		if !slices.Contains(w.exclude, c.Target.ID) {
			return false
		}
	}
	return true
}

// dropLocked refuses the waiting requests for which drop returns true.
func (q *replicaQueue) dropLocked(drop func(*waiter) bool, err error) int {
	n := 0
	q.fair.remove(func(w *waiter) bool {
		if !drop(w) {
			return false
		}
		n++
		w.err = err
		delete(q.waiters, w.id)
		close(w.done)
		return true
	})
	return n
}

func (q *replicaQueue) failAll(err error) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropLocked(func(*waiter) bool { return true }, err)
}
