package scheduler

import (
	"slices"
	"strings"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/pace"
)

// orderPhase says what the scheduler knows about a target's orders.
type orderPhase uint8

const (
	// stateUnknown: the target has not reported its state yet, or has rejected
	// too many orders in a row.
	stateUnknown orderPhase = iota
	// noOrder: the state is known and no order is in progress.
	noOrder
	// orderSent: an order was sent and the response has not arrived.
	orderSent
	// modelLoading: an order to load a model was accepted, and the load is in
	// progress. Other accepted orders are followed by noOrder at once.
	modelLoading
	// orderUnconfirmed: it is unknown whether the last order was accepted.
	orderUnconfirmed
)

// Timing and limits of orders, reports and probes.
const (
	// reportInterval is the time until the next report request while an order is
	// carried out, after an outdated report and after an unload of an adapter.
	reportInterval = 120 * time.Millisecond
	// reportLag is added to the expected end of an order before the first
	// report is requested, because reports lag behind the target's state.
	reportLag = 70 * time.Millisecond
	// unconfirmedWait is the time after which a report shows whether an order
	// without a response was accepted. It is also the time before the order window
	// from which the state of targets is requested.
	unconfirmedWait = 400 * time.Millisecond
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 300 * time.Millisecond
	// suspectTime is how long a target is not healthy after it was unreachable
	// or after maxFailures failed runs.
	suspectTime = 1200 * time.Millisecond
	// busyTime is how long a target that refused a request as full gets no
	// requests. Each further refusal without a run that begins doubles it, up to
	// maxBusyTime.
	busyTime    = 80 * time.Millisecond
	maxBusyTime = 640 * time.Millisecond
	// adapterLoadTime is the time from the acceptance of an adapter's load until
	// runs may use the adapter.
	adapterLoadTime = 15 * time.Millisecond
	// probeMargin is added to the expected end of a load before a first run
	// probes whether the model is loaded. probeRetryDelay is the delay after a
	// probe that found the model missing.
	probeMargin     = 15 * time.Millisecond
	probeRetryDelay = 60 * time.Millisecond
	// maxProbes is the number of probes per load; after them, only a report
	// confirms the load. Each failed probe counts against the retry budget of its
	// request.
	maxProbes = 2
	// unloadDelay is the shortest delay between an accepted unload of a model and the
	// next order, which the target rejects before it has finished the unload; see
	// unloadEstimate.
	unloadDelay = 45 * time.Millisecond
	// rejectedDelay is the delay after a rejected order. The usual cause is that
	// the target has not finished the previous order. Each further rejection in a row
	// doubles it.
	rejectedDelay = 15 * time.Millisecond
	// maxRejections is the number of consecutive rejected orders that are
	// tolerated; after one more, the target's state is requested. With 8, an unload
	// that waited for a run of which the owner did not know cost 9 rejected orders.
	maxRejections = 2
	// minReportInterval is the shortest time between two reports of a target whose
	// state became unknown.
	minReportInterval = 30 * time.Millisecond
	// staleReportWindow is how long reports with a lower sequence than the known
	// one are ignored after the state became unknown.
	staleReportWindow = 2 * time.Second
	// maxFailures is the number of consecutive failed runs that make a target
	// suspect.
	maxFailures = 3
)

// target is the scheduler's view of one target.
type target struct {
	info *inventory.Target
	// localCopies says where a load of each model reads the weights from. Models
	// without a local copy are not in the map.
	localCopies map[string]Source
	phase       orderPhase
	// sequence is the number of orders that the target has accepted.
	sequence uint64
	replicas map[string]*replica
	// order is set in the phases orderSent, modelLoading and orderUnconfirmed.
	// orderSince is when it was sent or, in the phase modelLoading, accepted.
	order      *Order
	orderSince time.Time
	// lateOrders are the loads that the target may carry out later, also those of its former
	// incarnations.
	lateOrders []lateOrder
	// inherited is the order that inheritOrder took from the former incarnation, nil for none.
	inherited *Order
	// peakWeightStoreLoads is the largest number of concurrent loads from the weight
	// store in all zones during this target's load.
	peakWeightStoreLoads int
	// expectedDuration is how long the order in progress is expected to take.
	expectedDuration time.Duration
	// nextOrderAt is the earliest time of the next order.
	nextOrderAt time.Time
	// unload is the last accepted unload of a model until the next accepted order.
	unload pendingUnload
	// plan is the load that the target frees memory for, nil for none.
	plan *loadPlan

	reportRequested bool // and no report has arrived since
	nextReportAt    time.Time

	// runs is the number of runs, and tokens the number of cache tokens that they
	// are expected to use.
	runs, tokens int
	// pendingPrefillTokens is the number of prompt tokens of the runs that wait
	// for prefill, which are those without a first event.
	pendingPrefillTokens int
	// recentPrompts are the prompts granted within the last maximum event interval
	// of the service.
	recentPrompts []grantedPrompt
	// probing is true while a probe is running; probeAt is the earliest time of
	// the next probe.
	probing bool
	probes  int // since the load was accepted
	probeAt time.Time
	// failures, rejections and unsentOrders count consecutive failed runs, rejected orders and
	// orders without a connection.
	failures     int
	rejections   int
	unsentOrders int
	// refusals counts the requests that the target refused as full since a run
	// last began.
	refusals int
	// unknownSince is when the state became unknown.
	unknownSince time.Time
	suspectUntil time.Time
	busyUntil    time.Time
	// pace is how long work takes at the target, as it reports it.
	pace pace.Estimate
}

// replica is a model loaded at a target.
type replica struct {
	adapters map[string]*adapter
	runs     int
	lastUsed time.Time
	// closing is true if the replica gets no new runs because the target's plan
	// unloads it.
	closing bool
	// retiring is true if the replica gets no new runs for another reason; see
	// Scheduler.markRetiring.
	retiring bool
	// unconfirmed is true after a target has responded that the model is not
	// loaded. The replica gets no new runs until a report lists it, and its memory
	// still counts as used.
	unconfirmed bool
}

// adapter is an adapter loaded at a target. readyAt is when runs may use it;
// unconfirmed has the same meaning as in replica. openSince is when its load began, zero
// once a run or a report has shown that it succeeded. loading is true if a report lists the
// adapter as being loaded. mayBeUnloading is true if the target may have accepted an unload of
// the adapter that waits for the end of runs: one that an earlier owner ordered, or one of
// which this owner has not received the response.
type adapter struct {
	unconfirmed    bool
	loading        bool
	mayBeUnloading bool
	runs           int
	lastUsed       time.Time
	readyAt        time.Time
	openSince      time.Time
}

// newTarget returns a target in an unknown state, with the models of its inventory
// entry.
func newTarget(info *inventory.Target) *target {
	t := &target{replicas: map[string]*replica{}}
	t.setInfo(info)
	t.setModels(info.Models)
	return t
}

// inheritOrder keeps the order in progress of the target's former incarnation, nil for
// none, as unconfirmed if this one may have accepted it: the list shows a restart late, and
// an order may arrive after it. A new incarnation accepts only an order that expects none
// before it.
func (t *target) inheritOrder(now time.Time, former *target) {
	if former == nil || former.order == nil || former.order.Sequence != 0 {
		return
	}
	t.order, t.expectedDuration = former.order, former.expectedDuration
	t.inherited = t.order
	t.phase, t.orderSince = orderUnconfirmed, now
	t.nextReportAt = now.Add(unconfirmedWait)
}

// setInfo replaces the inventory entry and derives the local copies from it.
func (t *target) setInfo(info *inventory.Target) {
	t.info = info
	t.localCopies = make(map[string]Source, len(info.OnDisk)+len(info.InMemory))
	for _, m := range info.OnDisk {
		t.localCopies[m] = FromDisk
	}
	for _, m := range info.InMemory {
		t.localCopies[m] = FromMemory
	}
}

// updateInfo replaces the inventory entry. While the target's own state is unknown,
// the entry also defines which models are loaded.
func (t *target) updateInfo(info *inventory.Target) {
	t.setInfo(info)
	if t.phase == stateUnknown {
		t.setModels(info.Models)
	}
}

// setModels replaces the replicas by those of the list and keeps the counts of
// runs. Unlisted replicas are removed with their adapters. Unlisted adapters of
// listed replicas are removed unless they have runs.
func (t *target) setModels(models []inventory.LoadedModel) {
	seen := map[string]bool{}
	for _, m := range models {
		seen[m.Name] = true
		r := t.replicas[m.Name]
		if r == nil {
			r = &replica{adapters: map[string]*adapter{}}
			t.replicas[m.Name] = r
		}
		r.unconfirmed = false
		for _, name := range m.Adapters {
			if r.adapters[name] == nil {
				r.adapters[name] = &adapter{mayBeUnloading: true}
			}
			r.adapters[name].unconfirmed, r.adapters[name].loading = false, false
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

// isReady reports whether the target has a replica of the model that gets new runs.
func (t *target) isReady(model string) bool {
	r := t.replicas[model]
	return r != nil && !r.closing && !r.unconfirmed && !r.retiring
}

// healthy reports whether the target may get requests and orders.
func (t *target) healthy(now time.Time) bool {
	return !t.info.Draining && !now.Before(t.suspectUntil)
}

// canServe reports whether the target has a replica that accepts a run for the
// model and adapter now. It does not check health, slots or cache.
func (t *target) canServe(now time.Time, model, adapter string) bool {
	r := t.replicas[model]
	if r == nil || r.closing || r.unconfirmed || r.retiring {
		return false
	}
	if adapter == "" {
		return true
	}
	a := r.adapters[adapter]
	return a != nil && !a.unconfirmed && !now.Before(a.readyAt)
}

// sortTargets rebuilds the list of targets, sorted by identifier.
func (s *Scheduler) sortTargets() {
	s.sortedTargets = s.sortedTargets[:0]
	for _, t := range s.targets {
		s.sortedTargets = append(s.sortedTargets, t)
	}
	slices.SortFunc(s.sortedTargets, func(a, b *target) int { return strings.Compare(a.info.ID, b.info.ID) })
}
