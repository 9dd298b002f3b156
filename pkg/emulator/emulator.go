// Package emulator simulates the targets of one availability zone in virtual
// time, without a network, and measures how well a placement policy serves a
// load. Named patterns define load and faults; a seed makes each run
// repeatable. The emulator counts what callers see, and records a violation
// when the policy exceeds a limit of a target. The policy is the scheduler that
// the nodes run, or a baseline to compare it with.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
)

// Policy decides on which target a request runs and which models are loaded.
// scheduler.Scheduler implements it and documents the methods. The emulator
// calls a policy from one goroutine only.
type Policy interface {
	SetServices(services map[string]*route.Service)
	SetTargets(now time.Time, list []*inventory.Target)
	SetOrderWindow(from, until time.Time)
	Submit(now time.Time, r scheduler.Request) scheduler.Ticket
	RunStarted(now time.Time, id scheduler.RunID)
	RunEnded(now time.Time, id scheduler.RunID, o scheduler.Outcome)
	OrderResultReceived(now time.Time, o scheduler.Order, result scheduler.OrderResult)
	ReportReceived(now time.Time, id string, r inventory.Report)
	ReportFailed(now time.Time, id string)
	Step(now time.Time) []scheduler.Action
}

// Service is the name of the only emulated service.
const Service = "models"

// Time step and delays of the simulation, in virtual time.
const (
	// tick is the step of the virtual clock.
	tick = 10 * time.Millisecond
	// responseDelay is the time until the policy receives the result of an
	// order, a report or the failure of a run that couldn't start.
	responseDelay = 5 * time.Millisecond
	// reportAge is the minimum age of the data in a report.
	reportAge = 100 * time.Millisecond
	// unloadTime is the duration of an unload if the model has no runs.
	unloadTime = 45 * time.Millisecond
)

// Speed of a target, in time per token, as in the data sheets of the accelerators.
const (
	prefillPerToken = 26 * time.Microsecond
	decodePerToken  = 6 * time.Millisecond
)

// Arrival is one request of a pattern.
type Arrival struct {
	// At is the arrival time, counted from the start of the run.
	At time.Duration
	// Adapter may be empty.
	Model, Adapter            string
	InputTokens, OutputTokens int
	// LatencyObjective is the time from the arrival to the first event within
	// which the request counts as in time.
	LatencyObjective time.Duration
	// FirstEventTimeout is the time from the arrival to the deadline of the
	// request. A policy refuses a request that still waits then. A request that
	// its target did not run is lost instead of submitted again. Runs aren't ended
	// at the deadline.
	FirstEventTimeout time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
}

// Fault is one injected fault.
type Fault struct {
	// At is the time of the fault, counted from the start of the run. Duration
	// is ignored for the kind Removal, which is permanent.
	At, Duration time.Duration
	// Target is the index of the target, modulo the number of targets.
	Target int
	Kind   FaultKind
	// PerSecond is the rate limit of the kind Limited.
	PerSecond float64
}

// FaultKind is the kind of a Fault.
type FaultKind uint8

// The kinds of fault.
const (
	// Crash ends the target's runs and unloads its models. The target restarts
	// empty after Fault.Duration, with a new incarnation; copies on disk stay.
	Crash FaultKind = iota
	// Removal ends the target's runs and removes it permanently.
	Removal
	// OrderTimeouts leaves orders to the target without a response for
	// Fault.Duration. The target carries out about half of them later.
	OrderTimeouts
	// Unreachable makes new runs, orders and report requests fail for
	// Fault.Duration. Runs in progress continue.
	Unreachable
	// Limited makes the target name a limit of Fault.PerSecond requests a second in its
	// responses for Fault.Duration.
	Limited
)

// Config describes one run of the emulator.
type Config struct {
	// Name is the name of the pattern.
	Name string
	Seed uint64
	// MaxDuration is the maximum virtual duration of the run. A run ends earlier
	// once all requests have ended.
	MaxDuration time.Duration
	// Targets is the number of targets.
	Targets int
	// EngineSettings holds the models and the limits that all targets have in
	// common.
	EngineSettings *route.Engine
	// FullSpeedStoreLoads is the number of concurrent loads from the weight
	// store that run at full speed; more loads share that bandwidth. 0 sets no
	// bound.
	FullSpeedStoreLoads int
	// DeadlyModels are the models whose loads crash their targets at their end.
	DeadlyModels  []string
	InitialModels [][]string // models loaded at the start, per target
	OnDisk        [][]string // models with a copy on disk at the start, per target
	Arrivals      []Arrival  // in order of time
	Faults        []Fault
}

// Result holds the counts and latencies of one run, or the sums over several.
type Result struct {
	// Requests is the number of arrivals. Each of them gets its first event in
	// time or late, is refused, or is lost: its target crashed before the first
	// event, or its target did not run it and the first-event timeout had passed.
	// A request that ends in none of these ways by Config.MaxDuration is counted
	// here only.
	Requests, InTime, Late, Refused, Lost int
	// Broken is the number of responses that a crash truncated. These requests
	// are also counted as InTime or Late.
	Broken int
	// Loads is the number of model loads begun, StoreLoads that of loads from
	// the weight store, Orders that of all orders sent.
	Loads, StoreLoads, Orders int
	// LoadCrashes is the number of targets that loads of Config.DeadlyModels crashed.
	LoadCrashes int
	// ColdStartLatencies are the times to the first event of those requests
	// whose model was not loaded on arrival, sorted.
	ColdStartLatencies []time.Duration
	// IdleTime is the time for which replicas were loaded but had no run,
	// summed over all replicas.
	IdleTime time.Duration
	// Violations describe the limits that the policy exceeded and the requests
	// that got no decision or two.
	Violations []string
}

// ColdStartQuantile returns the q-quantile of ColdStartLatencies, with q
// between 0 and 1. It returns 0 if there are none.
func (r *Result) ColdStartQuantile(q float64) time.Duration {
	if len(r.ColdStartLatencies) == 0 {
		return 0
	}
	return r.ColdStartLatencies[min(int(q*float64(len(r.ColdStartLatencies))), len(r.ColdStartLatencies)-1)]
}

// add adds another result to r and keeps ColdStartLatencies sorted.
func (r *Result) add(o Result) {
	r.Requests += o.Requests
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Lost += o.Lost
	r.Broken += o.Broken
	r.Loads += o.Loads
	r.StoreLoads += o.StoreLoads
	r.Orders += o.Orders
	r.LoadCrashes += o.LoadCrashes
	r.IdleTime += o.IdleTime
	r.ColdStartLatencies = append(r.ColdStartLatencies, o.ColdStartLatencies...)
	slices.Sort(r.ColdStartLatencies)
	r.Violations = append(r.Violations, o.Violations...)
}

// simulatedTarget simulates one target that serves models. It holds the actual
// state, which the policy sees only through delayed reports.
type simulatedTarget struct {
	id             string
	incarnation    int64
	alive, removed bool
	models         map[string]map[string]bool // loaded models, with their adapters
	inMemory       []string                   // models with a copy in main memory, the oldest first
	onDisk         []string                   // models with a copy on disk
	sequence       uint64                     // number of orders accepted in this incarnation
	orderEndsAt    time.Time                  // end of activeOrder
	activeOrder    *scheduler.Order           // nil if no order is in progress
	runs           map[scheduler.RunID]*activeRun
	// orderTimeoutsUntil and unreachableUntil are the ends of the last faults of
	// the kinds OrderTimeouts and Unreachable.
	orderTimeoutsUntil time.Time
	unreachableUntil   time.Time
	limit              simulatedLimit
	// snapshots are the reports of the last reportAge, the oldest first. They
	// let reports lag behind the actual state.
	snapshots []snapshot
}

// snapshot is the report of a target at a time.
type snapshot struct {
	at     time.Time
	report inventory.Report
}

// activeRun is a request in progress at a target.
type activeRun struct {
	request              *request
	model, adapter       string
	begunAt              time.Time
	firstEventAt, endsAt time.Time
	started              bool // the first event was sent
}

// request is an arrival that was submitted to the policy.
type request struct {
	Arrival
	arrivedAt time.Time
	cold      bool // the model was not loaded on arrival
}

// timedEvent is a callback that is due at a virtual time.
type timedEvent struct {
	at       time.Time
	callback func(now time.Time)
}

// simulation is the state of one run of the emulator.
type simulation struct {
	cfg     Config
	policy  Policy
	rand    *rand.Rand
	targets []*simulatedTarget
	waiting map[scheduler.Ticket]*request // submitted, neither granted nor refused
	events  []timedEvent
	result  Result
	start   time.Time // virtual time
}

// Run emulates cfg with the policy p and returns the result. p must be new: it
// gets its services and targets here. The result depends only on cfg and p.
func Run(cfg Config, p Policy) Result {
	s := &simulation{
		cfg: cfg, policy: p, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), waiting: map[scheduler.Ticket]*request{},
		start: time.Unix(1_700_000_000, 0),
	}
	p.SetServices(map[string]*route.Service{Service: {Name: Service, Engine: cfg.EngineSettings}})
	for i := range cfg.Targets {
		e := &simulatedTarget{id: fmt.Sprintf("t%02d", i), incarnation: 1, alive: true, models: map[string]map[string]bool{}, onDisk: slices.Clone(cfg.OnDisk[i]), runs: map[scheduler.RunID]*activeRun{}}
		for _, m := range cfg.InitialModels[i] {
			e.models[m] = map[string]bool{}
		}
		s.targets = append(s.targets, e)
	}
	s.updateTargets(s.start)
	s.run()
	slices.Sort(s.result.ColdStartLatencies)
	return s.result
}

// run advances the virtual clock by ticks until all requests have ended or
// Config.MaxDuration is over. Requests that are still waiting then are violations;
// runs that are still in progress aren't. The order window stays open for the whole
// run, since each tick extends it by more than a tick.
func (s *simulation) run() {
	next := 0
	for now := s.start; now.Before(s.start.Add(s.cfg.MaxDuration)); now = now.Add(tick) {
		s.policy.SetOrderWindow(s.start, now.Add(time.Second))
		for i := range s.cfg.Faults {
			s.applyFault(now, s.cfg.Faults[i])
		}
		s.runDueEvents(now)
		for _, e := range s.targets {
			s.advance(now, e)
		}
		for ; next < len(s.cfg.Arrivals) && !s.start.Add(s.cfg.Arrivals[next].At).After(now); next++ {
			s.submitArrival(now, s.cfg.Arrivals[next])
		}
		for _, a := range s.policy.Step(now) {
			s.execute(now, a)
		}
		if next == len(s.cfg.Arrivals) && s.isIdle() {
			return
		}
	}
	for range s.waiting {
		s.addViolation("a request was neither granted nor refused")
	}
}

// isIdle reports whether no request waits or runs and no event is scheduled.
func (s *simulation) isIdle() bool {
	for _, e := range s.targets {
		if len(e.runs) > 0 {
			return false
		}
	}
	return len(s.waiting) == 0 && len(s.events) == 0
}

// addViolation adds a formatted message to Result.Violations.
func (s *simulation) addViolation(format string, args ...any) {
	s.result.Violations = append(s.result.Violations, fmt.Sprintf(format, args...))
}

// updateTargets sends the policy the list of targets that were not removed,
// with their current models.
func (s *simulation) updateTargets(now time.Time) {
	var out []*inventory.Target
	for _, e := range s.targets {
		if e.removed {
			continue
		}
		out = append(out, &inventory.Target{
			ID: e.id, Service: Service, Zone: "z", Incarnation: e.incarnation, Slots: s.cfg.EngineSettings.Slots,
			Models: e.loadedModels(), OnDisk: slices.Clone(e.onDisk), InMemory: slices.Clone(e.inMemory),
		})
	}
	s.policy.SetTargets(now, out)
}

// loadedModels returns the loaded models and their adapters, sorted by name.
func (e *simulatedTarget) loadedModels() []inventory.LoadedModel {
	out := []inventory.LoadedModel{}
	for _, name := range sortedKeys(e.models) {
		out = append(out, inventory.LoadedModel{Name: name, Version: 1, Adapters: sortedKeys(e.models[name])})
	}
	return out
}

// sortedKeys returns the keys of m in order, so that the emulator is
// deterministic.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// submitArrival submits a new request to the policy and starts it if the policy
// grants it immediately. OtherZonesRefused is set, since there is no other zone.
func (s *simulation) submitArrival(now time.Time, a Arrival) {
	r := &request{Arrival: a, arrivedAt: now, cold: true}
	for _, e := range s.targets {
		if _, ok := e.models[a.Model]; ok && e.alive {
			r.cold = false
		}
	}
	s.result.Requests++
	t := s.policy.Submit(now, scheduler.Request{
		ID: fmt.Sprint(s.result.Requests), Service: Service, Model: a.Model, Adapter: a.Adapter, InputTokens: a.InputTokens, OutputTokens: a.OutputTokens,
		Priority: a.Priority, ObjectiveAt: now.Add(a.LatencyObjective), LatencyObjective: a.LatencyObjective, Deadline: now.Add(a.FirstEventTimeout), OtherZonesRefused: true,
	})
	s.waiting[t] = r
	if p, ok := s.policy.(immediateGranter); ok {
		if g, ok := p.TryGrant(now, t); ok {
			s.startRun(now, g)
		}
	}
}

// immediateGranter is implemented by policies that can grant a request as soon
// as it is submitted, without a step. TryGrant returns false if the request has
// to wait for a step.
type immediateGranter interface {
	TryGrant(now time.Time, t scheduler.Ticket) (scheduler.Grant, bool)
}

// schedule calls callback at the first tick at or after now plus delay.
func (s *simulation) schedule(now time.Time, delay time.Duration, callback func(now time.Time)) {
	s.events = append(s.events, timedEvent{now.Add(delay), callback})
}

// runDueEvents calls the callbacks that are due, in the order in which they were
// scheduled, and keeps the other ones.
func (s *simulation) runDueEvents(now time.Time) {
	due := s.events
	s.events = nil
	for _, e := range due {
		if e.at.After(now) {
			s.events = append(s.events, e)
			continue
		}
		e.callback(now)
	}
}

// targetByID returns the target with the identifier, or nil.
func (s *simulation) targetByID(id string) *simulatedTarget {
	for _, e := range s.targets {
		if e.id == id {
			return e
		}
	}
	return nil
}

// execute carries out one action of the policy.
func (s *simulation) execute(now time.Time, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		s.startRun(now, a)
	case scheduler.Refusal:
		r := s.waiting[a.Ticket]
		delete(s.waiting, a.Ticket)
		if r == nil {
			s.addViolation("a ticket was refused after it was granted or refused")
			return
		}
		s.result.Refused++
	case scheduler.SendOrder:
		s.handleOrder(now, a.Order)
	case scheduler.RequestReport:
		s.sendReport(now, a.Target)
	}
}

// startRun starts a granted request at its target. If the target is unreachable,
// lacks the model or the adapter, or has no free slot, the run fails after
// responseDelay and the request is submitted again. A grant beyond the slots of
// a target is a violation.
func (s *simulation) startRun(now time.Time, g scheduler.Grant) {
	r := s.waiting[g.Ticket]
	delete(s.waiting, g.Ticket)
	if r == nil {
		s.addViolation("a ticket was granted after it was granted or refused")
		return
	}
	e := s.targetByID(g.Target)
	fail := func(o scheduler.Outcome) {
		s.schedule(now, responseDelay, func(now time.Time) {
			s.policy.RunEnded(now, g.Run, o)
			s.resubmit(now, r)
		})
	}
	adapters, ok := e.models[r.Model]
	switch {
	case e.removed || !e.alive || now.Before(e.unreachableUntil):
		fail(scheduler.Unreachable)
	case !ok || r.Adapter != "" && !adapters[r.Adapter]:
		fail(scheduler.NotLoaded)
	case len(e.runs) >= s.cfg.EngineSettings.Slots:
		s.addViolation("target %s was granted more than %d concurrent requests", e.id, s.cfg.EngineSettings.Slots)
		fail(scheduler.Busy)
	default:
		e.runs[g.Run] = s.newRun(now, e, r)
		s.countRequest(now, e)
	}
}

// newRun returns a run with the times of its first event and its end. A target
// prefills one prompt at a time, so the prefill begins after those of all
// earlier runs. Decoding of different runs is concurrent.
func (s *simulation) newRun(now time.Time, e *simulatedTarget, r *request) *activeRun {
	firstEventAt := now
	for _, other := range e.runs {
		if other.firstEventAt.After(firstEventAt) {
			firstEventAt = other.firstEventAt
		}
	}
	firstEventAt = firstEventAt.Add(time.Duration(r.InputTokens) * prefillPerToken)
	return &activeRun{request: r, model: r.Model, adapter: r.Adapter, begunAt: now, firstEventAt: firstEventAt, endsAt: firstEventAt.Add(time.Duration(r.OutputTokens) * decodePerToken)}
}

// resubmit submits a request again that its target did not run. The latency
// objective and the first-event timeout still count from the arrival. The
// request is lost if the timeout has passed. Only the first submission has an
// identifier, scheduler.Request.ID.
func (s *simulation) resubmit(now time.Time, r *request) {
	remaining := r.arrivedAt.Add(r.FirstEventTimeout).Sub(now)
	if remaining <= 0 {
		s.result.Lost++
		return
	}
	t := s.policy.Submit(now, scheduler.Request{
		Service: Service, Model: r.Model, Adapter: r.Adapter, InputTokens: r.InputTokens, OutputTokens: r.OutputTokens, Priority: r.Priority,
		ObjectiveAt: r.arrivedAt.Add(r.LatencyObjective), LatencyObjective: r.LatencyObjective, Deadline: now.Add(remaining), OtherZonesRefused: true,
	})
	s.waiting[t] = r
}

// advance brings a target to the time now: it starts and ends runs, completes
// the active order, and adds one tick of idle time per loaded model without a
// run.
func (s *simulation) advance(now time.Time, e *simulatedTarget) {
	for _, id := range sortedRunIDs(e.runs) {
		r := e.runs[id]
		if !r.started && !now.Before(r.firstEventAt) {
			r.started = true
			s.recordFirstEvent(now, r)
			s.announceLimit(now, e, r)
			s.policy.RunStarted(now, id)
		}
		if !now.Before(r.endsAt) {
			delete(e.runs, id)
			s.policy.RunEnded(now, id, scheduler.Completed)
		}
	}
	if e.activeOrder != nil && !now.Before(e.orderEndsAt) {
		s.finishOrder(now, e)
	}
	inUse := map[string]bool{}
	for _, r := range e.runs {
		inUse[r.model] = true
	}
	for m := range e.models {
		if !inUse[m] {
			s.result.IdleTime += tick
		}
	}
	e.recordSnapshot(now)
}

// sortedRunIDs returns the keys of m in order, so that the emulator is
// deterministic.
func sortedRunIDs(m map[scheduler.RunID]*activeRun) []scheduler.RunID {
	out := make([]scheduler.RunID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// recordFirstEvent counts a request at its first event as in time or late.
func (s *simulation) recordFirstEvent(now time.Time, r *activeRun) {
	latency := now.Sub(r.request.arrivedAt)
	if latency <= r.request.LatencyObjective {
		s.result.InTime++
	} else {
		s.result.Late++
	}
	if r.request.cold {
		s.result.ColdStartLatencies = append(s.result.ColdStartLatencies, latency)
	}
}

// recordSnapshot stores the current report and removes those that are older
// than needed: the oldest one that remains is the latest that is at least
// reportAge old.
func (e *simulatedTarget) recordSnapshot(now time.Time) {
	e.snapshots = append(e.snapshots, snapshot{now, e.currentReport()})
	for len(e.snapshots) > 1 && now.Sub(e.snapshots[1].at) >= reportAge {
		e.snapshots = e.snapshots[1:]
	}
}

// currentReport returns a report of the actual state.
func (e *simulatedTarget) currentReport() inventory.Report {
	return inventory.Report{
		Incarnation: e.incarnation, Models: e.loadedModels(), Sequence: e.sequence, OrderInProgress: e.activeOrder != nil,
		OnDisk: slices.Clone(e.onDisk), InMemory: slices.Clone(e.inMemory),
	}
}
