package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// eventBuffer is the number of events that may wait for a machine.
const eventBuffer = 256

// runner drives the machine of one target: it passes events in, one at a
// time, and carries the actions out.
type runner struct {
	s       *Service
	target  fleet.Target
	machine *Machine
	events  chan Event

	mu       sync.Mutex // guards all below
	cancels  map[string]context.CancelFunc
	loads    map[fleet.ReplicaKey][]chan *fault.Error
	releases map[fleet.ReplicaKey][]chan bool
	settles  []chan wire.Settled
	permits  map[wire.BudgetKind][]permit
	status   runnerStatus

	lastUpdate  wire.TargetUpdate
	publishedAt time.Time
	// published is the last broadcast, for nodes that connect later.
	published atomic.Pointer[wire.TargetUpdate]
}

// runnerStatus is what others may know of the machine.
type runnerStatus struct {
	owner     bool
	pending   int
	unsettled bool
}

func newRunner(s *Service, t fleet.Target) *runner {
	return &runner{
		s:        s,
		target:   t,
		machine:  NewMachine(s.deps.Self.ID, t.ID, s.opts, s.deps.KeepAlive),
		events:   make(chan Event, eventBuffer),
		cancels:  map[string]context.CancelFunc{},
		loads:    map[fleet.ReplicaKey][]chan *fault.Error{},
		releases: map[fleet.ReplicaKey][]chan bool{},
		permits:  map[wire.BudgetKind][]permit{},
	}
}

func (r *runner) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.handle(Tick{})
	for {
		select {
		case <-r.s.ctx.Done():
			r.abandon()
			return
		case ev := <-r.events:
			r.handle(ev)
		case <-ticker.C:
			r.handle(Tick{})
		}
	}
}

// post gives an event to the machine; false after the service stopped.
func (r *runner) post(ev Event) bool {
	select {
	case r.events <- ev:
		return true
	case <-r.s.ctx.Done():
		return false
	}
}

func (r *runner) handle(ev Event) {
	env := r.s.env(r.target.ID)
	for _, a := range r.machine.Handle(env, ev) {
		r.execute(a)
	}
	m := r.machine
	r.mu.Lock()
	r.status = runnerStatus{owner: m.owner, pending: len(m.orders.pending), unsettled: m.owner && !m.settle.done}
	r.mu.Unlock()
	r.publish(env.Now)
}

func (r *runner) unsettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status.unsettled
}

func (r *runner) handedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.status.owner && r.status.pending == 0
}

// execute carries an action out; calls run on their own and post their
// outcome as an event.
func (r *runner) execute(a Action) {
	switch a := a.(type) {
	case ReadState:
		t := r.machine.env.Target
		r.s.spawn(func(ctx context.Context) {
			state, err := r.s.deps.Engines.State(ctx, t)
			r.post(StateRead{State: state, Err: err})
		})
	case SendOrder:
		r.sendOrder(a)
	case CancelOrders:
		r.cancelOrders()
	case AskSettle:
		r.s.spawn(func(ctx context.Context) { r.post(r.askSettle(ctx, a)) })
	case AskBudget:
		r.s.askBudget(r, a)
	case ReturnBudget:
		r.s.returnBudget(r, a)
	case ListSlots, ReadRecord, SwapRecord, ReadRoster:
		r.executeKV(a)
	default:
		r.answer(a)
	}
}

func (r *runner) executeKV(a Action) {
	r.s.spawn(func(ctx context.Context) {
		switch a := a.(type) {
		case ListSlots:
			records, err := r.s.slots.list(ctx, r.target.ID)
			r.post(SlotsListed{Op: a.Op, Records: records, Err: err})
		case ReadRecord:
			stored, err := r.s.slots.read(ctx, a.Group)
			r.post(RecordRead{Op: a.Op, Stored: stored, Err: err})
		case SwapRecord:
			revision, err := r.s.slots.swap(ctx, a.Group, a.Record, a.Expect)
			r.post(RecordSwapped{Op: a.Op, Revision: revision, Err: err})
		case ReadRoster:
			epoch, err := r.s.roster.get(ctx)
			r.post(RosterRead{Op: a.Op, Epoch: epoch, Err: err})
		}
	})
}

// sendOrder sends an order outside the service's context, so that a stop
// learns what became of it.
func (r *runner) sendOrder(a SendOrder) {
	ctx, cancel := context.WithTimeout(r.s.ctx, a.Timeout)
	r.mu.Lock()
	r.cancels[a.Order.ID] = cancel
	r.mu.Unlock()
	t := r.machine.env.Target
	r.s.done.Add(1)
	go func() {
		defer r.s.done.Done()
		defer cancel()
		res, err := r.s.deps.Engines.Order(ctx, t, a.Order)
		r.mu.Lock()
		delete(r.cancels, a.Order.ID)
		r.mu.Unlock()
		r.post(OrderReturned{ID: a.Order.ID, Outcome: outcomeOf(err), Result: res})
	}()
}

func outcomeOf(err error) OrderOutcome {
	switch {
	case err == nil:
		return OrderAnswered
	case errors.Is(err, target.ErrNotSent):
		return OrderNotSent
	}
	return OrderUnknown
}

func (r *runner) cancelOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel()
	}
}

func (r *runner) askSettle(ctx context.Context, a AskSettle) SettleAnswered {
	answer, err := r.s.deps.Network.Call(ctx, a.Node, &wire.Settle{Target: r.target.ID, Epoch: a.Epoch})
	if err != nil {
		return SettleAnswered{Node: a.Node, Err: err}
	}
	settled, ok := answer.(*wire.Settled)
	if !ok {
		return SettleAnswered{Node: a.Node, Err: errUnexpectedAnswer}
	}
	return SettleAnswered{Node: a.Node, Settled: settled}
}

var errUnexpectedAnswer = errors.New("unexpected type of answer")

// answer gives an outcome to those who wait for it, and logs.
func (r *runner) answer(a Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch a := a.(type) {
	case AnswerLoad:
		for _, ch := range r.loads[a.Key] {
			ch <- a.Err
		}
		delete(r.loads, a.Key)
	case AnswerRelease:
		for _, ch := range r.releases[a.Key] {
			ch <- a.Done
		}
		delete(r.releases, a.Key)
	case AnswerSettle:
		for _, ch := range r.settles {
			ch <- a.Settled
		}
		r.settles = nil
	case Report:
		r.s.log(r.target.ID, r.machine.epoch, a)
	}
}

// abandon answers all who still wait when the service stops.
func (r *runner) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, waiters := range r.loads {
		for _, ch := range waiters {
			ch <- fault.New(fault.ShuttingDown, "the target's owner is stopping")
		}
	}
	clear(r.loads)
	for _, waiters := range r.releases {
		for _, ch := range waiters {
			ch <- false
		}
	}
	clear(r.releases)
}
