package scheduler

import (
	"slices"
	"strings"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// phase tells what is known of a target's orders.
type phase uint8

const (
	// unread: the target has not been asked for its state yet, or gave an
	// answer that does not fit what was known.
	unread phase = iota
	// idle: the state is known and no order is in progress.
	idle
	// ordering: an order was sent and is not answered.
	ordering
	// loading: an order was accepted and is being carried out.
	loading
	// unsettled: it is not known whether the last order was accepted.
	unsettled
)

// Times of a target's orders.
const (
	// reportInterval is the time between two reports that are asked for
	// while an order is carried out.
	reportInterval = 120 * time.Millisecond
	// reportLag is added to the expected end of an order before the first
	// report, because reports lag.
	reportLag = 70 * time.Millisecond
	// unsettledWait is the time after which a report tells whether an order
	// without an answer was accepted.
	unsettledWait = 400 * time.Millisecond
	// reportRetry is the wait after a report that failed.
	reportRetry = 300 * time.Millisecond
	// suspectTime is how long a target that cannot be reached gets no requests.
	suspectTime = 1200 * time.Millisecond
	// busyTime is how long a target that refused as full gets no requests.
	busyTime = 80 * time.Millisecond
	// adapterLoadTime is the time after which an accepted adapter is used.
	adapterLoadTime = 15 * time.Millisecond
	// probeMargin is added to the expected end of a load before a first run
	// shows whether the model is there; probePause is the wait after a run
	// that showed it is not.
	probeMargin = 15 * time.Millisecond
	probePause  = 60 * time.Millisecond
	// maxProbes is the number of runs that may show the end of one load; after
	// them, only a report does. Each failed one is a send of its request.
	maxProbes = 2
	// unloadTime is the pause between an unload and the next order.
	unloadTime = 45 * time.Millisecond
	// rejectedPause is the pause after an order that was rejected, mostly
	// because the one before it is not finished.
	rejectedPause = 15 * time.Millisecond
	// maxRejections is the number of rejections in a row after which the
	// target is asked for its state.
	maxRejections = 8
	// staleFor is how long reports that are older than what is known are
	// ignored.
	staleFor = 2 * time.Second
	// maxFailures is the number of failed runs in a row that make a target suspect.
	maxFailures = 3
)

// target is the state of one engine.
type target struct {
	info *inventory.Target
	// copies tells from where a model's weights are loaded; those without a
	// copy are missing.
	copies map[string]Source
	phase  phase
	// sequence is the number of orders that the target has accepted.
	sequence uint64
	replicas map[string]*replica
	// order is in progress in the phases ordering, loading and unsettled.
	order      *Order
	orderSince time.Time
	// storePeers is the largest number of loads from the weight store, over all
	// zones, while the one in progress has lasted.
	storePeers int
	// expected is the duration of the order in progress.
	expected time.Duration
	// quietUntil is when the next order may be sent.
	quietUntil time.Time
	// plan is what the target makes room for.
	plan *plan

	asked    bool // a report was asked for and has not come
	reportAt time.Time

	runs, tokens int
	// unstarted is the number of prompt tokens of runs without a first event.
	unstarted int
	// prompts are those that were sent within the last allowed pause
	// between events.
	prompts []sentPrompt
	// probing is set while the first run after a load shows whether the
	// model is there; probeAt is when the next one may.
	probing    bool
	probes     int // since the load was accepted
	probeAt    time.Time
	failures   int
	rejections int
	// unreadSince is when the state became unknown.
	unreadSince  time.Time
	suspectUntil time.Time
	busyUntil    time.Time
}

// replica is a model that a target has loaded.
type replica struct {
	adapters map[string]*adapter
	runs     int
	lastUsed time.Time
	// closing replicas take no new runs, because they are to be unloaded.
	closing bool
	// retiring replicas take no new runs either; see Scheduler.retire.
	retiring bool
	// doubted replicas were said to be missing by an answer to a request. They
	// take no new runs until a report lists them, and still count as memory.
	doubted bool
}

// adapter is an adapter that a target has loaded.
type adapter struct {
	doubted  bool
	runs     int
	lastUsed time.Time
	readyAt  time.Time
}

// plan is a model that is to be loaded once there is room for it.
type plan struct {
	model   string
	source  Source
	victims []string
	since   time.Time
}

func newTarget(info *inventory.Target) *target {
	t := &target{replicas: map[string]*replica{}}
	t.setInfo(info)
	t.setModels(info.Models)
	return t
}

func (t *target) setInfo(info *inventory.Target) {
	t.info = info
	t.copies = make(map[string]Source, len(info.OnDisk)+len(info.InMemory))
	for _, m := range info.OnDisk {
		t.copies[m] = FromDisk
	}
	for _, m := range info.InMemory {
		t.copies[m] = FromMemory
	}
}

// update takes over a newer list entry. While the target's own state is not
// known, the entry tells what it holds.
func (t *target) update(info *inventory.Target) {
	t.setInfo(info)
	if t.phase == unread {
		t.setModels(info.Models)
	}
}

// setModels makes the replicas those of the list and keeps the counts of
// runs. Adapters that are on their way stay.
func (t *target) setModels(models []inventory.LoadedModel) {
	seen := map[string]bool{}
	for _, m := range models {
		seen[m.Name] = true
		r := t.replicas[m.Name]
		if r == nil {
			r = &replica{adapters: map[string]*adapter{}}
			t.replicas[m.Name] = r
		}
		r.doubted = false
		for _, name := range m.Adapters {
			if r.adapters[name] == nil {
				r.adapters[name] = new(adapter)
			}
			r.adapters[name].doubted = false
		}
		for name, a := range r.adapters {
			if a.runs == 0 && !slices.Contains(m.Adapters, name) {
				delete(r.adapters, name)
			}
		}
	}
	for name := range t.replicas {
		if !seen[name] {
			delete(t.replicas, name)
		}
	}
}

// healthy tells whether the target may get requests and orders.
func (t *target) healthy(now time.Time) bool {
	return !t.info.Draining && !now.Before(t.suspectUntil)
}

// usedMB returns the memory that the replicas and the model of an order in
// progress take.
func (t *target) usedMB(e *route.Engine) float64 {
	used := 0.0
	for name, r := range t.replicas {
		m := e.Models[name]
		if m == nil {
			return e.WeightsMB // a model that the configuration does not name
		}
		used += m.WeightsMB + float64(len(r.adapters))*m.AdapterMB
	}
	return used
}

// adapterCount returns the number of adapters that the target holds.
func (t *target) adapterCount() int {
	n := 0
	for _, r := range t.replicas {
		n += len(r.adapters)
	}
	return n
}

// has tells whether a run may start for the model and adapter.
func (t *target) has(now time.Time, model, adapter string) bool {
	r := t.replicas[model]
	if r == nil || r.closing || r.doubted || r.retiring {
		return false
	}
	if adapter == "" {
		return true
	}
	a := r.adapters[adapter]
	return a != nil && !a.doubted && !now.Before(a.readyAt)
}

// nextProbe returns when a run may show that a load has ended; ok is false when
// no load of a model is being carried out, or a probe is.
func (t *target) nextProbe() (at time.Time, ok bool) {
	if t.phase != loading || t.expected <= 0 || t.order.Adapter != "" || t.probing || t.probes >= maxProbes {
		return time.Time{}, false
	}
	at = t.orderSince.Add(t.expected + probeMargin)
	if t.probeAt.After(at) {
		at = t.probeAt
	}
	return at, true
}

// probeable tells whether one run may show that a load has ended, before a
// report does.
func (t *target) probeable(now time.Time, model, adapter string) bool {
	at, ok := t.nextProbe()
	return ok && adapter == "" && t.order.Model == model && !now.Before(at)
}

// confirmed follows the first event of a probe: the load has ended.
func (t *target) confirmed(now time.Time, r *run) {
	t.probing = false
	if t.phase != loading || t.order.Model != r.model {
		return
	}
	t.replicas[r.model] = &replica{adapters: map[string]*adapter{}, lastUsed: now, runs: 1}
	t.phase, t.order, t.plan = idle, nil, nil
}

// occupy counts a run.
func (t *target) occupy(now time.Time, r *run) {
	t.runs++
	t.tokens += r.tokens
	if !r.started {
		t.unstarted += r.input
	}
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	rep.runs++
	rep.lastUsed = now
	if a := rep.adapters[r.adapter]; a != nil {
		a.runs++
		a.lastUsed = now
	}
}

// release takes a run off the counts.
func (t *target) release(now time.Time, r *run) {
	t.runs = max(t.runs-1, 0)
	t.tokens = max(t.tokens-r.tokens, 0)
	if !r.started {
		t.unstarted = max(t.unstarted-r.input, 0)
	}
	if r.probe && !r.started {
		t.probing = false
		t.probeAt = now.Add(probePause)
	}
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	rep.runs = max(rep.runs-1, 0)
	rep.lastUsed = now
	if a := rep.adapters[r.adapter]; a != nil {
		a.runs = max(a.runs-1, 0)
	}
}

// observe draws conclusions from how a run ended.
func (t *target) observe(now time.Time, r *run, o Outcome) {
	switch o {
	case Completed:
		t.failures = 0
	case Unreachable:
		t.suspectUntil = now.Add(suspectTime)
	case Failed:
		t.failures++
		if t.failures >= maxFailures {
			t.failures = 0
			t.suspectUntil = now.Add(suspectTime)
		}
	case Busy:
		if !r.probe {
			t.busyUntil = now.Add(busyTime)
		}
	case NotLoaded:
		if !r.probe {
			t.missing(now, r)
		}
	case Unused:
	}
}

// missing doubts what a target was believed to hold. The memory stays counted
// until a report tells that it is free.
func (t *target) missing(now time.Time, r *run) {
	rep := t.replicas[r.model]
	if rep == nil {
		return
	}
	if a := rep.adapters[r.adapter]; a != nil && !a.doubted {
		a.doubted = true
	} else {
		rep.doubted = true
	}
	t.reportAt = now
}

// doubtful tells whether a report has to settle what the target holds.
func (t *target) doubtful() bool {
	for _, r := range t.replicas {
		if r.doubted {
			return true
		}
		for _, a := range r.adapters {
			if a.doubted {
				return true
			}
		}
	}
	return false
}

// unknown has the target asked for its state before the next order.
func (t *target) unknown(now time.Time) {
	t.phase = unread
	t.order = nil
	t.reportAt = now
	t.unreadSince = now
	t.rejections = 0
}

// rejected follows an order that was not accepted. The next one is sent again
// soon, because reports tell of the end of an order later than the target does.
func (t *target) rejected(now time.Time) {
	t.rejections++
	if t.rejections > maxRejections {
		t.unknown(now)
		return
	}
	t.phase, t.order = idle, nil
	t.quietUntil = now.Add(rejectedPause)
}

// sortTargets puts the targets in order of their identifiers.
func (s *Scheduler) sortTargets() {
	s.sorted = s.sorted[:0]
	for _, t := range s.targets {
		s.sorted = append(s.sorted, t)
	}
	slices.SortFunc(s.sorted, func(a, b *target) int { return strings.Compare(a.info.ID, b.info.ID) })
}
