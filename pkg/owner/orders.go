package owner

import (
	"fmt"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// pendingOrder is an order whose call has not returned.
type pendingOrder struct {
	order       target.Order
	memoryBytes int64
	// budget is the budget that the load holds a permit of; empty for none.
	budget wire.BudgetKind
	sentAt time.Time
	// generation is that of the order book when the order was sent.
	generation uint64
	// unsettled is set when the order was sent before all orders of former
	// owners were accounted for: its effect may then be another's.
	unsettled bool
	// observed is set once a current state shows the effect of a load: it
	// cannot take effect a second time, unless a later owner loaded the replica.
	observed bool
}

// floatingLoad is a load of unknown outcome, which may still take effect.
type floatingLoad struct {
	memoryBytes int64
	// incarnation is the engine's start at the first current state after
	// the order's call returned: it went to that start or to an earlier one.
	incarnation string
	epoch       fleet.Epoch
	sequence    uint64
	generation  uint64
	// seen is set once a current state shows the replica; rosterCall is the
	// roster read that began after that, 0 for none. While it shows this
	// epoch, no later owner can have loaded the replica.
	seen       bool
	rosterCall uint64
	// ambiguous is set once another load of the same replica was sent: a
	// loaded replica then no longer tells that this one took effect.
	ambiguous bool
}

// hold keeps the memory of a finished load until the engine's state shows it.
type hold struct {
	state      fleet.ReplicaState
	generation uint64
}

// orderBook keeps every order that may still take effect.
type orderBook struct {
	pending  map[string]*pendingOrder
	floating map[fleet.ReplicaKey]*floatingLoad
	holds    map[fleet.ReplicaKey]hold
	sequence uint64
	// generation rises with every order that returns. A state read begun at
	// some generation shows all orders that returned before it.
	generation uint64
	syncing    bool
	syncWanted bool
	syncAt     time.Time
	// effectCall is the roster read under way for the effects of loads.
	effectCall    uint64
	effectRetryAt time.Time
}

func newOrderBook() orderBook {
	return orderBook{
		pending:  map[string]*pendingOrder{},
		floating: map[fleet.ReplicaKey]*floatingLoad{},
		holds:    map[fleet.ReplicaKey]hold{},
	}
}

func (b *orderBook) addFloating(k fleet.ReplicaKey, memoryBytes int64) {
	b.floating[k] = &floatingLoad{
		memoryBytes: memoryBytes,
		generation:  b.generation,
		ambiguous:   b.floating[k] != nil,
	}
}

func (b *orderBook) floatingKeys() []fleet.ReplicaKey {
	var out []fleet.ReplicaKey
	for k := range b.floating {
		out = append(out, k)
	}
	sortKeys(out)
	return out
}

// clearFloating forgets the loads that an accepted fence has overtaken.
func (b *orderBook) clearFloating(epoch fleet.Epoch, sequence uint64) {
	for k, f := range b.floating {
		if f.epoch < epoch || (f.epoch == epoch && f.sequence < sequence) {
			delete(b.floating, k)
		}
	}
}

// pendingOf returns the order of a replica whose call has not returned.
func (b *orderBook) pendingOf(k fleet.ReplicaKey) *pendingOrder {
	for _, p := range b.pending {
		if p.order.Kind != target.OrderFence && p.order.Key == k {
			return p
		}
	}
	return nil
}

func (b *orderBook) loading() bool {
	for _, p := range b.pending {
		if p.order.Kind == target.OrderLoad {
			return true
		}
	}
	return false
}

// send gives an order to the engine.
func (m *Machine) send(kind target.OrderKind, k fleet.ReplicaKey, memoryBytes int64, budget wire.BudgetKind) {
	m.orders.sequence++
	o := target.Order{
		ID:          fmt.Sprintf("%s-%d-%d", m.self, m.epoch, m.id()),
		Kind:        kind,
		Key:         k,
		MemoryBytes: memoryBytes,
		Epoch:       m.epoch,
		Sequence:    m.orders.sequence,
		Incarnation: m.engine.state.Incarnation,
	}
	if f := m.orders.floating[k]; f != nil && kind == target.OrderLoad {
		f.ambiguous = true
	}
	m.orders.pending[o.ID] = &pendingOrder{order: o, memoryBytes: memoryBytes, budget: budget, sentAt: m.env.Now, generation: m.orders.generation, unsettled: !m.settle.done}
	timeout := m.opts.ShortOrderTimeout
	if kind == target.OrderLoad {
		timeout = m.opts.LoadTimeout
	}
	m.do(SendOrder{Order: o, Timeout: timeout})
}

// sendSync sends a fence order: its answer is the only state report that is
// certain to be current, and it overtakes orders with a lost answer on an
// engine that checks fencing.
func (m *Machine) sendSync() {
	if m.orders.syncing || m.env.Now.Before(m.orders.syncAt) {
		return
	}
	m.orders.syncing = true
	m.orders.syncWanted = false
	m.send(target.OrderFence, fleet.ReplicaKey{}, 0, "")
}

func (m *Machine) advanceSync() {
	if m.orders.syncWanted && m.engine.known && !m.env.Gone {
		m.sendSync()
	}
}

func (m *Machine) orderReturned(ev OrderReturned) {
	p := m.orders.pending[ev.ID]
	if p == nil {
		return
	}
	delete(m.orders.pending, ev.ID)
	m.orders.generation++
	if p.budget != "" {
		m.do(ReturnBudget{Budget: p.budget})
	}
	if p.order.Kind == target.OrderFence {
		m.orders.syncing = false
		m.syncReturned(ev, p)
		return
	}
	m.orders.syncWanted = true
	if p.order.Kind == target.OrderLoad {
		m.loadReturned(ev, p)
		return
	}
	m.unloadReturned(ev, p)
}

func (m *Machine) syncReturned(ev OrderReturned, p *pendingOrder) {
	if !m.owner || p.generation < m.engine.term {
		m.orders.syncWanted = true
		return
	}
	switch {
	case ev.Outcome != OrderAnswered:
		m.orders.syncAt = m.env.Now.Add(m.opts.RetryInterval)
		m.orders.syncWanted = true
	case ev.Result.Status == target.OrderDone:
		m.adoptState(ev.Result.State, p)
	default:
		m.orderStale(ev.Result)
		m.orders.syncWanted = true
	}
}

// orderStale learns from a refused fencing number: either a later epoch
// owns the target, or this owner's number or incarnation was old.
func (m *Machine) orderStale(res target.OrderResult) {
	if m.superseded(res) {
		m.supersede(res.State.Epoch)
		return
	}
	if res.State.Epoch == m.epoch {
		m.orders.sequence = max(m.orders.sequence, res.State.Sequence)
	}
	if res.State.Incarnation != m.engine.state.Incarnation {
		m.engineRestarted(res.State.Incarnation)
	}
}

func (m *Machine) loadReturned(ev OrderReturned, p *pendingOrder) {
	k := p.order.Key
	switch {
	case ev.Outcome == OrderUnknown:
		m.loadUnknown(p)
	case ev.Outcome == OrderNotSent:
		m.failWant(k, fault.NoReplica, "the target cannot be reached")
	case ev.Result.Status == target.OrderDone:
		m.loadDone(p)
	case ev.Result.Status == target.OrderStale && m.owner:
		m.orderStale(ev.Result)
		m.retryWant(k)
	default:
		m.report(ReportLoadFailed, k, ev.Result.Message)
		m.failWant(k, fault.NoReplica, "the load failed on the target")
	}
}

func (m *Machine) loadUnknown(p *pendingOrder) {
	k := p.order.Key
	m.report(ReportOrderUnknown, k, "")
	if !m.hooks.forgetFloating {
		m.orders.addFloating(k, p.memoryBytes)
		f := m.orders.floating[k]
		f.epoch, f.sequence = p.order.Epoch, p.order.Sequence
		f.ambiguous = f.ambiguous || (p.unsettled && !m.hooks.trustUnsettled)
		f.seen = p.observed && !f.ambiguous
	}
	if w := m.wants[k]; w != nil {
		w.observeUntil = m.env.Now.Add(m.opts.ObserveTime)
	}
}

func (m *Machine) loadDone(p *pendingOrder) {
	k := p.order.Key
	state := fleet.ReplicaState{Key: k, Phase: fleet.ReplicaLoaded, MemoryBytes: p.memoryBytes}
	m.orders.holds[k] = hold{state: state, generation: m.orders.generation}
	m.touch(k)
	waiting := 0
	if w := m.wants[k]; w != nil && !w.prefetch {
		waiting = 1
	}
	m.keep.ObserveLoad(k, m.env.Now.Sub(p.sentAt), waiting)
	m.report(ReportLoaded, k, "")
}

func (m *Machine) unloadReturned(ev OrderReturned, p *pendingOrder) {
	d := m.drains[p.order.Key]
	if ev.Outcome == OrderAnswered && ev.Result.Status == target.OrderStale && m.owner {
		m.orderStale(ev.Result)
	}
	if d != nil {
		d.returned(ev, m.env.Now.Add(m.opts.RetryInterval))
	}
}
