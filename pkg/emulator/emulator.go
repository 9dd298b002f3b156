// Package emulator runs a placement policy against simulated targets in
// virtual time, without a network. It replays named patterns of load and
// faults by seed, checks that the declared limits hold, and measures what
// callers see. The policy is the scheduler that the nodes run, or a baseline.
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

// Policy decides where requests run and what is loaded; scheduler.Scheduler
// is one.
type Policy interface {
	SetServices(services map[string]*route.Service)
	SetTargets(now time.Time, list []*inventory.Target)
	SetOrderWindow(from, until time.Time)
	Submit(now time.Time, r scheduler.Request) scheduler.Ticket
	RunStarted(now time.Time, id scheduler.RunID)
	RunEnded(now time.Time, id scheduler.RunID, o scheduler.Outcome)
	OrderAnswered(now time.Time, o scheduler.Order, result scheduler.OrderResult)
	ReportReceived(now time.Time, id string, r inventory.Report)
	ReportFailed(now time.Time, id string)
	Step(now time.Time) []scheduler.Action
}

// Service is the name of the emulated service.
const Service = "models"

// Granularity and delays of the emulation.
const (
	tick = 10 * time.Millisecond
	// answerDelay is the time until the answer to an order or a report.
	answerDelay = 5 * time.Millisecond
	// reportAge is how old reports are.
	reportAge = 100 * time.Millisecond
	// unloadTime is the duration of an unload without runs.
	unloadTime = 45 * time.Millisecond
)

// Speeds of a target, as the users' sheets give them.
const (
	prefillPerToken = 26 * time.Microsecond
	decodePerToken  = 6 * time.Millisecond
)

// Arrival is one request of a pattern.
type Arrival struct {
	At                time.Duration
	Model, Adapter    string
	Input, Output     int
	Objective         time.Duration
	FirstEventTimeout time.Duration
	Priority          int
}

// Fault is what happens to a target, or to the orders, at a time.
type Fault struct {
	At, For time.Duration
	Target  int
	Kind    FaultKind
}

// FaultKind is a kind of Fault.
type FaultKind uint8

// The kinds of fault.
const (
	// Crash: the target loses its runs and models and comes back empty.
	Crash FaultKind = iota
	// Gone: the target leaves for good.
	Gone
	// LostOrders: orders get no answer; half of them are carried out late.
	LostOrders
	// Unreachable: runs, orders and reports fail while it lasts.
	Unreachable
)

// Config is one run of the emulator.
type Config struct {
	Name    string
	Seed    uint64
	Length  time.Duration
	Targets int
	Engine  *route.Engine
	// StoreCarries is the number of loads from the weight store that go on at
	// full speed; more share it out. 0 is no bound.
	StoreCarries int
	Initial      [][]string // models loaded at the start, per target
	OnDisk       [][]string // copies on disk, per target
	Arrivals     []Arrival
	Faults       []Fault
}

// Result is what a run showed.
type Result struct {
	// Requests is the number of arrivals; each of them begins in time or
	// late, is refused, or is lost before it begins.
	Requests, InTime, Late, Refused, Lost int
	// Broken is the number of runs that a crash ended after they had begun.
	Broken                    int
	Loads, StoreLoads, Orders int
	// ColdWaits are the times to the first event of the requests whose model
	// was not loaded when they came, in order.
	ColdWaits []time.Duration
	// IdleTime is the time that replicas were loaded without a run, summed
	// over all replicas.
	IdleTime time.Duration
	// Violations tell which limits were broken.
	Violations []string
}

// Quantile returns the q-quantile of the cold waits, 0 without any.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.ColdWaits) == 0 {
		return 0
	}
	return r.ColdWaits[min(int(q*float64(len(r.ColdWaits))), len(r.ColdWaits)-1)]
}

// add sums another result up, with the cold waits in order.
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
	r.IdleTime += o.IdleTime
	r.ColdWaits = append(r.ColdWaits, o.ColdWaits...)
	slices.Sort(r.ColdWaits)
	r.Violations = append(r.Violations, o.Violations...)
}

// engine is the true state of a target.
type engine struct {
	id          string
	incarnation int64
	alive, gone bool
	models      map[string]map[string]bool // model to adapters
	memory      []string
	disk        []string
	sequence    uint64
	busyUntil   time.Time
	order       *scheduler.Order
	runs        map[scheduler.RunID]*running
	lostUntil   time.Time
	cutUntil    time.Time
	// past are the states of the last moments, for reports that lag.
	past []pastState
}

type pastState struct {
	at     time.Time
	report inventory.Report
}

type running struct {
	request        *request
	model, adapter string
	begins, ends   time.Time
	started        bool
}

type request struct {
	Arrival
	arrived time.Time
	cold    bool
}

// delayed is something that happens later.
type delayed struct {
	at time.Time
	do func(now time.Time)
}

// world is one run in progress.
type world struct {
	cfg     Config
	policy  Policy
	rand    *rand.Rand
	engines []*engine
	tickets map[scheduler.Ticket]*request
	later   []delayed
	result  Result
	start   time.Time
}

// Run runs the policy against the configuration.
func Run(cfg Config, p Policy) Result {
	w := &world{
		cfg: cfg, policy: p, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), tickets: map[scheduler.Ticket]*request{},
		start: time.Unix(1_700_000_000, 0),
	}
	p.SetServices(map[string]*route.Service{Service: {Name: Service, Engine: cfg.Engine}})
	for i := range cfg.Targets {
		e := &engine{id: fmt.Sprintf("t%02d", i), incarnation: 1, alive: true, models: map[string]map[string]bool{}, disk: slices.Clone(cfg.OnDisk[i]), runs: map[scheduler.RunID]*running{}}
		for _, m := range cfg.Initial[i] {
			e.models[m] = map[string]bool{}
		}
		w.engines = append(w.engines, e)
	}
	w.list(w.start)
	w.play()
	slices.Sort(w.result.ColdWaits)
	return w.result
}

func (w *world) play() {
	next := 0
	for now := w.start; now.Before(w.start.Add(w.cfg.Length)); now = now.Add(tick) {
		w.policy.SetOrderWindow(w.start, now.Add(time.Second))
		for i := range w.cfg.Faults {
			w.strike(now, w.cfg.Faults[i])
		}
		w.runLater(now)
		for _, e := range w.engines {
			w.advance(now, e)
		}
		for ; next < len(w.cfg.Arrivals) && !w.start.Add(w.cfg.Arrivals[next].At).After(now); next++ {
			w.arrive(now, w.cfg.Arrivals[next])
		}
		for _, a := range w.policy.Step(now) {
			w.act(now, a)
		}
		if next == len(w.cfg.Arrivals) && w.quiet() {
			return
		}
	}
	for range w.tickets {
		w.violate("a request was never answered")
	}
}

// quiet tells whether no request waits or runs.
func (w *world) quiet() bool {
	for _, e := range w.engines {
		if len(e.runs) > 0 {
			return false
		}
	}
	return len(w.tickets) == 0 && len(w.later) == 0
}

func (w *world) violate(format string, args ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf(format, args...))
}

// list tells the policy which targets there are.
func (w *world) list(now time.Time) {
	var out []*inventory.Target
	for _, e := range w.engines {
		if e.gone {
			continue
		}
		out = append(out, &inventory.Target{
			ID: e.id, Service: Service, Zone: "z", Incarnation: e.incarnation, Slots: w.cfg.Engine.Slots,
			Models: e.loaded(), OnDisk: slices.Clone(e.disk), InMemory: slices.Clone(e.memory),
		})
	}
	w.policy.SetTargets(now, out)
}

func (e *engine) loaded() []inventory.LoadedModel {
	out := []inventory.LoadedModel{}
	for _, name := range sortedKeys(e.models) {
		out = append(out, inventory.LoadedModel{Name: name, Version: 1, Adapters: sortedKeys(e.models[name])})
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (w *world) arrive(now time.Time, a Arrival) {
	r := &request{Arrival: a, arrived: now, cold: true}
	for _, e := range w.engines {
		if _, ok := e.models[a.Model]; ok && e.alive {
			r.cold = false
		}
	}
	w.result.Requests++
	t := w.policy.Submit(now, scheduler.Request{
		ID: fmt.Sprint(w.result.Requests), Service: Service, Model: a.Model, Adapter: a.Adapter, InputTokens: a.Input, OutputTokens: a.Output,
		Priority: a.Priority, Objective: now.Add(a.Objective), LatencyObjective: a.Objective, Deadline: now.Add(a.FirstEventTimeout), LastResort: true,
	})
	w.tickets[t] = r
	if p, ok := w.policy.(granter); ok {
		if g, ok := p.TryGrant(now, t); ok {
			w.begin(now, g)
		}
	}
}

// granter is a Policy that grants most requests without a step.
type granter interface {
	TryGrant(now time.Time, t scheduler.Ticket) (scheduler.Grant, bool)
}

func (w *world) after(now time.Time, d time.Duration, do func(now time.Time)) {
	w.later = append(w.later, delayed{now.Add(d), do})
}

func (w *world) runLater(now time.Time) {
	due := w.later
	w.later = nil
	for _, d := range due {
		if d.at.After(now) {
			w.later = append(w.later, d)
			continue
		}
		d.do(now)
	}
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) act(now time.Time, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		w.begin(now, a)
	case scheduler.Refusal:
		r := w.tickets[a.Ticket]
		delete(w.tickets, a.Ticket)
		if r == nil {
			w.violate("a ticket was answered twice")
			return
		}
		w.result.Refused++
	case scheduler.SendOrder:
		w.order(now, a.Order)
	case scheduler.RequestReport:
		w.report(now, a.Target)
	}
}

// begin starts a granted request at its target.
func (w *world) begin(now time.Time, g scheduler.Grant) {
	r := w.tickets[g.Ticket]
	delete(w.tickets, g.Ticket)
	if r == nil {
		w.violate("a ticket was answered twice")
		return
	}
	e := w.engine(g.Target)
	fail := func(o scheduler.Outcome) {
		w.after(now, answerDelay, func(now time.Time) {
			w.policy.RunEnded(now, g.Run, o)
			w.again(now, r)
		})
	}
	adapters, ok := e.models[r.Model]
	switch {
	case e.gone || !e.alive || now.Before(e.cutUntil):
		fail(scheduler.Unreachable)
	case !ok || r.Adapter != "" && !adapters[r.Adapter]:
		fail(scheduler.NotLoaded)
	case len(e.runs) >= w.cfg.Engine.Slots:
		w.violate("target %s got more than %d requests", e.id, w.cfg.Engine.Slots)
		fail(scheduler.Busy)
	default:
		e.runs[g.Run] = w.running(now, e, r)
	}
}

// running computes when a run starts and ends: prompts are read one after the
// other.
func (w *world) running(now time.Time, e *engine, r *request) *running {
	begins := now
	for _, other := range e.runs {
		if other.begins.After(begins) {
			begins = other.begins
		}
	}
	begins = begins.Add(time.Duration(r.Input) * prefillPerToken)
	return &running{request: r, model: r.Model, adapter: r.Adapter, begins: begins, ends: begins.Add(time.Duration(r.Output) * decodePerToken)}
}

// again queues a request that was not run.
func (w *world) again(now time.Time, r *request) {
	left := r.arrived.Add(r.FirstEventTimeout).Sub(now)
	if left <= 0 {
		w.result.Lost++
		return
	}
	t := w.policy.Submit(now, scheduler.Request{
		Service: Service, Model: r.Model, Adapter: r.Adapter, InputTokens: r.Input, OutputTokens: r.Output, Priority: r.Priority,
		Objective: r.arrived.Add(r.Objective), LatencyObjective: r.Objective, Deadline: now.Add(left), LastResort: true,
	})
	w.tickets[t] = r
}

// advance moves a target's runs and order on.
func (w *world) advance(now time.Time, e *engine) {
	for _, id := range sortedRuns(e.runs) {
		r := e.runs[id]
		if !r.started && !now.Before(r.begins) {
			r.started = true
			w.first(now, r)
			w.policy.RunStarted(now, id)
		}
		if !now.Before(r.ends) {
			delete(e.runs, id)
			w.policy.RunEnded(now, id, scheduler.Completed)
		}
	}
	if e.order != nil && !now.Before(e.busyUntil) {
		w.finishOrder(e)
	}
	busy := map[string]bool{}
	for _, r := range e.runs {
		busy[r.model] = true
	}
	for m := range e.models {
		if !busy[m] {
			w.result.IdleTime += tick
		}
	}
	e.remember(now)
}

func sortedRuns(m map[scheduler.RunID]*running) []scheduler.RunID {
	out := make([]scheduler.RunID, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// first counts a request whose answer begins.
func (w *world) first(now time.Time, r *running) {
	wait := now.Sub(r.request.arrived)
	if wait <= r.request.Objective {
		w.result.InTime++
	} else {
		w.result.Late++
	}
	if r.request.cold {
		w.result.ColdWaits = append(w.result.ColdWaits, wait)
	}
}

// remember keeps the state for reports that lag.
func (e *engine) remember(now time.Time) {
	e.past = append(e.past, pastState{now, e.current()})
	for len(e.past) > 1 && now.Sub(e.past[1].at) >= reportAge {
		e.past = e.past[1:]
	}
}

func (e *engine) current() inventory.Report {
	return inventory.Report{
		Incarnation: e.incarnation, Models: e.loaded(), Sequence: e.sequence, OrderInProgress: e.order != nil,
		OnDisk: slices.Clone(e.disk), InMemory: slices.Clone(e.memory),
	}
}
