// Package scheduler decides, for the targets of one availability zone, which
// request runs where, and which model is loaded or unloaded next. It does no
// I/O and reads no clock: the owner of the zone feeds it with requests and
// reports and carries out the actions that Step returns.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/keepalive"
	"almondturn/pkg/route"
)

// Scheduler holds the state of one zone. It is not safe for concurrent use.
type Scheduler struct {
	services map[string]*route.Service
	targets  map[string]*target
	// sorted are the targets in order of their identifiers.
	sorted []*target
	// holders are the targets that have a model loaded or make room for it;
	// Step builds it anew.
	holders map[modelKey][]*target
	// free are the targets that may begin to make room for a model; values
	// and copied hold what was computed since they were found.
	free   []*target
	values map[modelKey]float64
	copied map[modelKey]int
	// awaited counts the requests that wait, by model.
	awaited map[modelKey]int
	// steppedAt is when Step ran last, zero when the targets have changed since.
	steppedAt time.Time
	// scaledAt is when scaleOut ran last.
	scaledAt time.Time
	queues   map[queueKey]*queue
	tickets  map[Ticket]*waiter
	runs     map[RunID]*run
	demand   map[modelKey]*demand
	store    storeBudget
	// gaps are the shortest pauses between events that the routes of a service
	// allow.
	gaps map[string]time.Duration
	// reading is the time that prompts take to be read, by service.
	reading map[string]*readingTime

	// ordersFrom is when the first order may be sent.
	ordersFrom time.Time
	// ordersUntil is when the permission to send orders ends.
	ordersUntil time.Time
	// zone is the scheduler's own, allZones are those that share the limits of
	// replicas; zones is their number.
	zone     fleet.Zone
	allZones []fleet.Zone
	zones    int
	// departed are targets that left the list lately.
	departed []departed
	// keepalive is nil until a service has a price of idle time.
	keepalive *keepalive.Policy

	lastTicket Ticket
	lastRun    RunID
	actions    []Action
}

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// New returns a scheduler without targets. firstRun numbers the runs, so that
// those of an earlier owner are told apart.
func New(firstRun RunID) *Scheduler {
	return &Scheduler{
		services: map[string]*route.Service{},
		targets:  map[string]*target{},
		queues:   map[queueKey]*queue{},
		tickets:  map[Ticket]*waiter{},
		runs:     map[RunID]*run{},
		demand:   map[modelKey]*demand{},
		values:   map[modelKey]float64{},
		copied:   map[modelKey]int{},
		awaited:  map[modelKey]int{},
		gaps:     map[string]time.Duration{},
		reading:  map[string]*readingTime{},
		lastRun:  firstRun,
		zones:    1,
	}
}

// SetServices replaces the configuration of the services.
func (s *Scheduler) SetServices(services map[string]*route.Service) {
	s.services = services
	clear(s.gaps) // routes may allow other pauses now
}

// SetOrderWindow lets orders be sent from and until the given times.
func (s *Scheduler) SetOrderWindow(from, until time.Time) { s.ordersFrom, s.ordersUntil = from, until }

// mayOrder tells whether orders may be sent now.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return !now.Before(s.ordersFrom) && now.Before(s.ordersUntil)
}

// SetTargets replaces the list of targets of the zone. What a target holds
// is learned from its reports; the list tells of starts and departures.
func (s *Scheduler) SetTargets(now time.Time, list []*inventory.Target) {
	seen := make(map[string]bool, len(list))
	for _, info := range list {
		svc := s.services[info.Service]
		if svc == nil || svc.Engine == nil {
			continue
		}
		seen[info.ID] = true
		t := s.targets[info.ID]
		if t == nil || t.info.Incarnation != info.Incarnation {
			t = newTarget(info)
			s.dropRuns(info.ID)
			s.targets[info.ID] = t
		}
		t.update(info)
	}
	for id, t := range s.targets {
		if !seen[id] {
			s.depart(now, t)
			delete(s.targets, id)
			s.dropRuns(id)
		}
	}
	s.sortTargets()
	s.steppedAt = time.Time{}
}

// dropRuns forgets the runs of a target that is gone; their ends may still
// be told and are ignored.
func (s *Scheduler) dropRuns(target string) {
	for id, r := range s.runs {
		if r.target == target {
			delete(s.runs, id)
		}
	}
}

// Submit queues a request. The answer is an action of a later Step.
func (s *Scheduler) Submit(now time.Time, r Request) Ticket {
	s.lastTicket++
	w := &waiter{Request: r, ticket: s.lastTicket, since: now, latency: r.LatencyObjective}
	s.tickets[w.ticket] = w
	key := queueKey{r.Service, r.Model, r.Adapter}
	q := s.queues[key]
	if q == nil {
		q = &queue{key: key}
		s.queues[key] = q
	}
	q.add(w)
	s.noteArrival(now, key.modelKey())
	s.noteGap(r.Service, r.MaxEventInterval)
	s.awaited[key.modelKey()]++
	s.demandOf(key.modelKey()).add(now)
	return w.ticket
}

// Cancel removes a request that no longer waits. It is not an error when the
// request was granted or refused meanwhile.
func (s *Scheduler) Cancel(t Ticket) {
	w := s.tickets[t]
	if w == nil {
		return
	}
	s.remove(w)
}

func (s *Scheduler) remove(w *waiter) {
	delete(s.tickets, w.ticket)
	key := queueKey{w.Service, w.Model, w.Adapter}
	q := s.queues[key]
	q.remove(w)
	if len(q.waiters) == 0 {
		delete(s.queues, key)
	}
	k := key.modelKey()
	s.awaited[k]--
	if s.awaited[k] == 0 {
		delete(s.awaited, k)
	}
}

// run is one granted request.
type run struct {
	id             RunID
	node           fleet.NodeID
	target         string
	model, adapter string
	tokens         int
	input          int
	// unread is the number of prompt tokens that the target had to read when
	// the run was granted, with its own.
	unread int
	// paced is when the request began to wait for the pacing of prompts, if so.
	paced     time.Time
	objective time.Duration
	since     time.Time
	started   bool
	// probe is the first run after a load that no report has confirmed yet.
	probe bool
}

// RunStarted tells that the answer of a run has begun.
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
	t.unstarted = max(t.unstarted-r.input, 0)
	if r.probe {
		if o := t.storeLoad(); o != nil && t.phase == loading && o.Model == r.model {
			s.storeLoadEnded(now, t, o)
		}
		t.confirmed(now, r)
		return
	}
	d := s.demandOf(modelKey{t.info.Service, r.model})
	since := r.since
	if !r.paced.IsZero() {
		since = r.paced // the wait is the target's doing as well
	}
	d.began(now.Sub(since), r.objective)
	if r.unread > 0 {
		s.learnReading(modelKey{t.info.Service, r.model}, r.unread, now.Sub(r.since))
	}
}

// RunEnded gives the place of a run back.
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
	t.release(now, r)
	t.observe(now, r, o)
	d := s.demandOf(modelKey{t.info.Service, r.model})
	d.idleSince = now
	if o == Completed {
		d.ended(now.Sub(r.since))
	}
}

// AdoptRuns replaces the runs that a node has at the zone's targets; it tells
// a new owner what is in progress.
func (s *Scheduler) AdoptRuns(now time.Time, node fleet.NodeID, runs []AdoptedRun) {
	s.RemoveNode(now, node)
	for _, a := range runs {
		t := s.targets[a.Target]
		if t == nil {
			continue
		}
		r := &run{id: a.ID, node: node, target: a.Target, model: a.Model, adapter: a.Adapter, tokens: a.Tokens, since: now}
		s.runs[r.id] = r
		t.occupy(now, r)
	}
}

// AdoptedRun is a run that another owner has granted.
type AdoptedRun struct {
	ID                     RunID
	Target, Model, Adapter string
	Tokens                 int
}

// RemoveNode forgets the runs of a node that is gone.
func (s *Scheduler) RemoveNode(now time.Time, node fleet.NodeID) {
	for id, r := range s.runs {
		if r.node != node {
			continue
		}
		delete(s.runs, id)
		if t := s.targets[r.target]; t != nil {
			t.release(now, r)
		}
	}
}

// Step takes all decisions that are due and returns what is to be done.
func (s *Scheduler) Step(now time.Time) []Action {
	s.actions = nil
	s.steppedAt = now
	s.index()
	s.forgetDeparted(now)
	s.expire(now)
	s.retire(now)
	s.watchStore(now)
	order := s.byUrgency(now)
	s.grant(now, order)
	s.findFree(now)
	s.refuseUnallowed(now, order)
	s.refuseWithoutCopy(now, order)
	if s.mayOrder(now) {
		s.continueOrders(now)
		s.loadAdapters(now, order)
		s.loadModels(now, order)
		s.scaleOut(now)
		s.unloadRetired(now)
	}
	s.refuseHopeless(now, order)
	s.askReports(now)
	return s.actions
}

// index finds the targets of each model.
func (s *Scheduler) index() {
	s.holders = make(map[modelKey][]*target, len(s.holders))
	for _, t := range s.sorted {
		for model := range t.replicas {
			k := modelKey{t.info.Service, model}
			s.holders[k] = append(s.holders[k], t)
		}
		if t.plan != nil && t.replicas[t.plan.model] == nil {
			k := modelKey{t.info.Service, t.plan.model}
			s.holders[k] = append(s.holders[k], t)
		}
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Summary is what other nodes need to know of the zone.
type Summary struct {
	// Loaded names the models per service that are loaded or being loaded,
	// Full those of them whose replicas have no room, in order.
	Loaded, Full map[string][]string
	// Backlog is the number of models that requests wait for and that are
	// not being loaded yet.
	Backlog int
	// StoreLoads is the number of loads from the weight store in progress.
	StoreLoads int
}

// Summary returns the state of the zone's models.
func (s *Scheduler) Summary(now time.Time) Summary {
	s.index()
	out := Summary{Loaded: map[string][]string{}, Full: map[string][]string{}, StoreLoads: s.StoreLoads()}
	for _, k := range s.models() {
		st := s.state(now, k)
		if st.usable == 0 && st.coming == 0 {
			continue
		}
		out.Loaded[k.service] = append(out.Loaded[k.service], k.model)
		if st.coming == 0 && !s.hasRoom(now, k) {
			out.Full[k.service] = append(out.Full[k.service], k.model)
		}
	}
	waits := map[modelKey]bool{}
	for k := range s.queues {
		if st := s.state(now, k.modelKey()); st.usable == 0 && st.coming == 0 {
			waits[k.modelKey()] = true
		}
	}
	out.Backlog = len(waits)
	return out
}

// models returns the models that a target has loaded or makes room for, in order.
func (s *Scheduler) models() []modelKey {
	keys := make([]modelKey, 0, len(s.holders))
	for k := range s.holders {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b modelKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
	return keys
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.tickets) }

// Running returns the number of runs.
func (s *Scheduler) Running() int { return len(s.runs) }
