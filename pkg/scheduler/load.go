package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondturn/pkg/route"
)

// Source is where the weights of a load come from.
type Source uint8

// The sources, the fastest first.
const (
	FromMemory Source = iota + 1
	FromDisk
	FromStore
)

// scaleInterval is the time between two looks for crowded models.
const scaleInterval = 100 * time.Millisecond

// leastRuns is the number of runs per replica below which a slow start has
// other causes than the number of requests.
const leastRuns = 6

// Thresholds of placement.
const (
	// crowded is the part of its slots above which a model gets another replica.
	crowded = 0.85
	// usedSlots is the part of its slots that a replica is expected to fill.
	usedSlots = 0.7
	// slowStart is the time to the first event, as a share of the latency
	// objective, above which a model gets another replica, and quickStart
	// that below which a surplus replica may go.
	slowStart  = 0.4
	quickStart = 0.2
	// closeAfter is how long a request waits before replicas with runs are
	// closed to make room for it.
	closeAfter = 300 * time.Millisecond
	// runEstimate is the expected time until a closing replica is empty.
	runEstimate = 1500 * time.Millisecond
	// surplusWeight scales the value of a surplus replica.
	surplusWeight = 0.05
)

// state sums up a model's replicas in the zone.
type state struct {
	usable, runs, coming int
	// blocked is a target that makes room for the model and waits for the
	// end of runs.
	blocked *target
}

func (s *Scheduler) state(now time.Time, k modelKey) state {
	var st state
	for _, t := range s.holders[k] {
		if !t.healthy(now) {
			continue
		}
		if r := t.replicas[k.model]; r != nil && !r.closing && !r.doubted && !r.retiring {
			st.usable++
			st.runs += r.runs
			continue
		}
		if t.plan != nil && t.plan.model == k.model {
			st.coming++
			if t.planBlocked() {
				st.blocked = t
			}
		}
	}
	return st
}

// loadModels begins a load for each queue whose requests find no place, the
// one with the most to win first.
func (s *Scheduler) loadModels(now time.Time, order []*queue) {
	s.findFree(now)
	for _, q := range s.byGain(now, order) {
		if len(s.free) == 0 {
			return // no target takes another order now
		}
		k := q.key.modelKey()
		st := s.state(now, k)
		if st.usable > 0 && (q.key.adapter != "" || s.hasRoom(now, k)) {
			continue
		}
		if st.coming > 0 {
			s.unblock(now, k, st)
			continue
		}
		s.beginLoad(now, k, now.Sub(q.waiters[0].since) >= closeAfter)
	}
}

// lateWeight is what a request that misses its objective counts, beside one
// that meets it.
const lateWeight = 0.15

// byGain orders the queues by what a load of their model wins: the requests
// that it serves, most of all in time, for the memory and the time it takes.
func (s *Scheduler) byGain(now time.Time, order []*queue) []*queue {
	type ranked struct {
		q    *queue
		gain float64
	}
	ranks := make([]ranked, 0, len(order))
	for _, q := range order {
		if len(q.waiters) > 0 {
			ranks = append(ranks, ranked{q, s.gain(now, q)})
		}
	}
	slices.SortStableFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.gain, a.gain) })
	out := make([]*queue, len(ranks))
	for i, r := range ranks {
		out[i] = r.q
	}
	return out
}

func (s *Scheduler) gain(now time.Time, q *queue) float64 {
	svc := s.services[q.key.service]
	if svc == nil || svc.Engine == nil || svc.Engine.Models[q.key.model] == nil {
		return 0
	}
	m := svc.Engine.Models[q.key.model]
	load := m.DiskLoadTime
	if s.copies(now, q.key.modelKey()) == 0 {
		load = s.store.expected(m.LoadTime)
	}
	served := 0.0
	for _, w := range q.waiters {
		if now.Add(load).Before(w.Objective) {
			served++
		} else {
			served += lateWeight
		}
	}
	occupied := load + s.demandOf(q.key.modelKey()).duration()
	return served / (m.WeightsMB * occupied.Seconds())
}

// hasRoom tells whether one of the model's replicas takes another run.
func (s *Scheduler) hasRoom(now time.Time, k modelKey) bool {
	for _, t := range s.holders[k] {
		if t.healthy(now) && t.has(now, k.model, "") && t.runs < s.slots(t) {
			return true
		}
	}
	return false
}

// scaleOut loads another replica of models whose replicas are crowded.
func (s *Scheduler) scaleOut(now time.Time) {
	if now.Sub(s.scaledAt) < scaleInterval {
		return
	}
	s.scaledAt = now
	s.findFree(now)
	for _, k := range s.models() {
		st := s.state(now, k)
		svc := s.services[k.service]
		if st.usable == 0 || st.coming > 0 || svc == nil || svc.Engine == nil {
			continue
		}
		d := s.demandOf(k)
		slow := d.latency > slowStart && st.runs >= leastRuns*st.usable
		if slow || st.usable < s.needed(now, k, svc.Engine) || float64(st.runs) > crowded*float64(svc.Engine.Slots*st.usable) {
			s.beginLoad(now, k, slow || s.isAwaited(k.service, k.model))
			d.latency = min(d.latency, quickStart) // the next replica has to show its effect first
		}
	}
}

// candidate is one way to load a model.
type candidate struct {
	t       *target
	source  Source
	time    time.Duration
	victims []string
	cost    float64
}

// beginLoad chooses where to load the model and begins to make room. With
// closing, replicas with runs may be closed for it.
func (s *Scheduler) beginLoad(now time.Time, k modelKey, closing bool) {
	svc := s.services[k.service]
	if svc == nil || svc.Engine == nil {
		return
	}
	m := svc.Engine.Models[k.model]
	if m == nil || m.WeightsMB > svc.Engine.WeightsMB || !s.mayGrow(k) {
		return
	}
	copies := s.copies(now, k)
	best, ok := s.bestCandidate(now, k, m, svc.Engine, copies, false)
	if !ok && closing {
		best, ok = s.bestCandidate(now, k, m, svc.Engine, copies, true)
	}
	if ok {
		s.follow(now, k, best)
	}
}

// follow begins to make room as the candidate says.
func (s *Scheduler) follow(now time.Time, k modelKey, best candidate) {
	s.holders[k] = append(s.holders[k], best.t)
	s.free = slices.DeleteFunc(s.free, func(t *target) bool { return t == best.t })
	clear(s.values)
	best.t.plan = &plan{model: k.model, source: best.source, victims: best.victims, since: now}
	for _, v := range best.victims {
		best.t.replicas[v].closing = true
	}
	s.continueOrder(now, best.t)
}

// copies returns the number of healthy targets that keep a copy of the model.
func (s *Scheduler) copies(now time.Time, k modelKey) int {
	if n, ok := s.copied[k]; ok {
		return n
	}
	n := 0
	for _, t := range s.sorted {
		if t.info.Service == k.service && t.healthy(now) && t.copies[k.model] != 0 {
			n++
		}
	}
	s.copied[k] = n
	return n
}

// findFree finds the targets that may begin to make room for a model, and
// forgets what was computed for the last step.
func (s *Scheduler) findFree(now time.Time) {
	s.free = s.free[:0]
	for _, t := range s.sorted {
		if t.healthy(now) && t.phase == idle && t.plan == nil {
			s.free = append(s.free, t)
		}
	}
	clear(s.values)
	clear(s.copied)
}

// unblock moves a plan that waits for the end of runs to a target that has
// room at once.
func (s *Scheduler) unblock(now time.Time, k modelKey, st state) {
	svc := s.services[k.service]
	if st.blocked == nil || svc == nil || svc.Engine == nil || svc.Engine.Models[k.model] == nil {
		return
	}
	best, ok := s.bestCandidate(now, k, svc.Engine.Models[k.model], svc.Engine, s.copies(now, k), false)
	if !ok {
		return
	}
	st.blocked.abandonPlan()
	s.follow(now, k, best)
}

// bestCandidate returns the cheapest target for the model. Targets without a
// copy come into question only when no target has one.
func (s *Scheduler) bestCandidate(now time.Time, k modelKey, m *route.Model, e *route.Engine, copies int, closing bool) (candidate, bool) {
	var best candidate
	found := false
	for _, t := range s.free {
		if t.info.Service != k.service || t.plan != nil || t.replicas[k.model] != nil {
			continue
		}
		c := candidate{t: t}
		c.source, c.time = sourceOf(t, m)
		if c.source == FromStore && (copies > 0 || !s.store.allows(now, e, s.zones)) {
			continue
		}
		if !s.makeRoom(now, &c, m, e, closing) {
			continue
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// sourceOf returns where the target takes the weights from, and how long a
// load takes.
func sourceOf(t *target, m *route.Model) (Source, time.Duration) {
	switch t.copies[m.Name] {
	case FromMemory:
		return FromMemory, m.MemoryLoadTime
	case FromDisk:
		return FromDisk, m.DiskLoadTime
	default:
		return FromStore, m.LoadTime
	}
}

// victim is a replica that may be unloaded.
type victim struct {
	model    string
	value    float64
	lastUsed time.Time
	mb       float64
}

// makeRoom chooses the replicas to unload, the least valuable first, and
// sets the candidate's cost in seconds.
func (s *Scheduler) makeRoom(now time.Time, c *candidate, m *route.Model, e *route.Engine, closing bool) bool {
	c.cost = c.time.Seconds()
	missing := m.WeightsMB - (e.WeightsMB - c.t.usedMB(e))
	if missing <= 0 {
		return true
	}
	if !closing && c.t.idleMB(e) < missing {
		return false
	}
	for _, v := range s.victims(now, c.t, m, e, closing) {
		c.victims = append(c.victims, v.model)
		c.cost += v.value
		missing -= v.mb
		if missing <= 0 {
			return true
		}
	}
	return false
}

// idleMB bounds the memory that replicas without runs take.
func (t *target) idleMB(e *route.Engine) float64 {
	mb := 0.0
	for name, r := range t.replicas {
		if m := e.Models[name]; m != nil && r.runs == 0 && !r.closing {
			mb += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	return mb
}

func (s *Scheduler) victims(now time.Time, t *target, m *route.Model, e *route.Engine, closing bool) []victim {
	wanted := s.demandOf(modelKey{t.info.Service, m.Name}).perSecond(now)
	var out []victim
	for name, r := range t.replicas {
		if r.closing || r.runs > 0 && !closing || e.Models[name] == nil || s.isAwaited(t.info.Service, name) {
			continue
		}
		k := modelKey{t.info.Service, name}
		value := s.value(now, k, e)
		if r.runs > 0 {
			if value > wanted {
				continue // more wanted than what it would make room for
			}
			value += runEstimate.Seconds()
		}
		mb := float64(len(r.adapters))*e.Models[name].AdapterMB + e.Models[name].WeightsMB
		out = append(out, victim{model: name, value: value, lastUsed: r.lastUsed, mb: mb})
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model))
	})
	return out
}

// isAwaited tells whether requests wait for the model.
func (s *Scheduler) isAwaited(service, model string) bool {
	return s.awaited[modelKey{service, model}] > 0
}

// value estimates what the loss of one replica costs, in requests per second
// that would have to wait for a load.
func (s *Scheduler) value(now time.Time, k modelKey, e *route.Engine) float64 {
	if v, ok := s.values[k]; ok {
		return v
	}
	v := s.computeValue(now, k, e)
	s.values[k] = v
	return v
}

func (s *Scheduler) computeValue(now time.Time, k modelKey, e *route.Engine) float64 {
	rate := s.demandOf(k).perSecond(now)
	if s.state(now, k).usable > s.needed(now, k, e) && s.demandOf(k).latency < quickStart {
		return surplusWeight * rate
	}
	return rate
}

// needed returns the number of replicas for the model's demand in the zone:
// by Little's law, the requests in progress are the rate times the duration.
func (s *Scheduler) needed(now time.Time, k modelKey, e *route.Engine) int {
	d := s.demandOf(k)
	running := d.perSecond(now) * d.duration().Seconds()
	return max(int(math.Ceil(running/(usedSlots*float64(max(e.Slots, 1))))), 1)
}

// continueOrders sends the next order of each target that makes room.
func (s *Scheduler) continueOrders(now time.Time) {
	for _, t := range s.sorted {
		if t.plan != nil && t.phase == idle {
			s.continueOrder(now, t)
		}
	}
}

// continueOrder unloads the plan's next victim, or loads its model.
func (s *Scheduler) continueOrder(now time.Time, t *target) {
	if now.Before(t.quietUntil) || t.phase != idle {
		return
	}
	p := t.plan
	e := s.services[t.info.Service].Engine
	if e == nil || t.info.Draining || t.replicas[p.model] != nil {
		t.abandonPlan()
		return
	}
	for _, v := range p.victims {
		r := t.replicas[v]
		if r == nil {
			continue
		}
		if r.runs == 0 {
			s.send(now, t, Order{Operation: Unload, Model: v}, 0)
		}
		return
	}
	m := e.Models[p.model]
	if m == nil || t.usedMB(e)+m.WeightsMB > e.WeightsMB || s.overQuota(modelKey{t.info.Service, p.model}) {
		t.abandonPlan()
		return
	}
	source, d := sourceOf(t, m)
	if source == FromStore {
		if !s.store.allows(now, e, s.zones) {
			return
		}
		d = s.store.expected(d)
		s.store.begin(now)
		t.storePeers = s.store.inProgress()
	}
	s.noteLoad(modelKey{t.info.Service, p.model}, d)
	s.send(now, t, Order{Operation: Load, Model: p.model, Source: source}, d)
}

// planBlocked tells whether the target's plan waits for the end of runs.
func (t *target) planBlocked() bool {
	if t.phase != idle || t.plan == nil {
		return false
	}
	for _, v := range t.plan.victims {
		if r := t.replicas[v]; r != nil {
			return r.runs > 0
		}
	}
	return false
}

// plannedMB returns the memory in use once the target's plan is carried out.
func (t *target) plannedMB(e *route.Engine) float64 {
	used := t.usedMB(e)
	if t.plan == nil {
		return used
	}
	for _, v := range t.plan.victims {
		if r, m := t.replicas[v], e.Models[v]; r != nil && m != nil {
			used -= m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
		}
	}
	if m := e.Models[t.plan.model]; m != nil && t.replicas[t.plan.model] == nil {
		used += m.WeightsMB
	}
	return used
}

// abandonPlan opens the replicas that were to make room.
func (t *target) abandonPlan() {
	for _, r := range t.replicas {
		r.closing = false
	}
	t.plan = nil
}

func (s *Scheduler) send(now time.Time, t *target, o Order, expected time.Duration) {
	o.Target, o.Sequence = t.info.ID, t.sequence
	t.order, t.phase = &o, ordering
	t.orderSince, t.expected = now, expected
	s.emit(SendOrder{Order: o})
}
