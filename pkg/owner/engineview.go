package owner

import (
	"maps"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/placement"
	"almondturn/pkg/target"
)

// engineView is what the owner knows of the engine.
type engineView struct {
	known bool
	// term is the order book's generation when this term of ownership began.
	term uint64
	// fresh is set once a state was read in this term of ownership.
	fresh bool
	// state is the last report. Reports lag, so its replicas only serve as
	// load figures.
	state   fleet.TargetState
	readAt  time.Time
	reading bool
	nextAt  time.Time
	// replicas are those of the last answer to a fence order, which is
	// current; generation is the order book's when that order was sent.
	replicas   map[fleet.ReplicaKey]fleet.ReplicaState
	current    bool
	generation uint64
}

func (v *engineView) forgetAuthority(generation uint64) {
	v.term = generation
	v.fresh = false
	v.current = false
	v.nextAt = time.Time{}
}

// advanceRead reads the state at its interval, more often while loading.
func (m *Machine) advanceRead() {
	if m.engine.reading || m.env.Gone || m.env.Now.Before(m.engine.nextAt) {
		return
	}
	m.engine.reading = true
	m.do(ReadState{})
}

func (m *Machine) stateRead(ev StateRead) {
	m.engine.reading = false
	interval := m.opts.PollInterval
	if m.orders.loading() {
		interval = m.opts.LoadingPollInterval
	}
	m.engine.nextAt = m.env.Now.Add(interval)
	if ev.Err != nil || !m.owner {
		return
	}
	restarted := m.engine.known && ev.State.Incarnation != m.engine.state.Incarnation
	m.engine.readAt = m.env.Now
	m.engine.known, m.engine.fresh = true, true
	m.engine.state = ev.State
	if ev.State.Epoch == m.epoch {
		m.orders.sequence = max(m.orders.sequence, ev.State.Sequence)
	}
	if restarted {
		m.engineRestarted(ev.State.Incarnation)
	}
	m.observeUsage(ev.State.Replicas)
	if m.engine.differs(ev.State.Replicas) {
		m.orders.syncWanted = true
	}
}

// engineRestarted fences the new incarnation before the next order.
func (m *Machine) engineRestarted(incarnation string) {
	m.engine.state.Incarnation = incarnation
	m.engine.current = false
	m.orders.syncWanted = true
	if m.stage > stageFence {
		m.stage = stageFence
	}
	m.report(ReportRestarted, fleet.ReplicaKey{}, incarnation)
}

// adoptState takes the state that a fence order returned as current.
func (m *Machine) adoptState(s fleet.TargetState, p *pendingOrder) {
	if s.Incarnation != m.engine.state.Incarnation {
		m.engineRestarted(s.Incarnation)
		return
	}
	m.engine.state.ChecksFencing = s.ChecksFencing
	m.engine.state.MemoryBytes = s.MemoryBytes
	m.engine.readAt = m.env.Now
	m.engine.current = true
	m.engine.generation = p.generation
	m.engine.replicas = map[fleet.ReplicaKey]fleet.ReplicaState{}
	for _, r := range s.Replicas {
		m.engine.replicas[r.Key] = r
	}
	for k, h := range m.orders.holds {
		if h.generation <= p.generation {
			delete(m.orders.holds, k)
		}
	}
	m.observePending(p.order.Sequence)
	m.resolveFloating(s.Incarnation, p.generation)
	if s.ChecksFencing {
		m.orders.clearFloating(p.order.Epoch, p.order.Sequence)
	}
	m.fenceAccepted()
}

// observePending notes the loads sent before the fence order whose replica
// the engine now has, where no earlier order can have loaded it.
func (m *Machine) observePending(sequence uint64) {
	for _, p := range m.orders.pending {
		k := p.order.Key
		_, present := m.engine.replicas[k]
		only := m.settle.done && m.orders.floating[k] == nil && (!p.unsettled || m.hooks.trustUnsettled)
		if p.order.Kind == target.OrderLoad && p.order.Epoch == m.epoch && p.order.Sequence < sequence && present && only {
			p.observed = true
		}
	}
}

// resolveFloating forgets loads of unknown outcome that went to an engine
// that has ended, and notes those whose replica is there and cannot stem from
// another order of this owner or an earlier one.
func (m *Machine) resolveFloating(incarnation string, generation uint64) {
	for k, f := range m.orders.floating {
		if f.generation > generation {
			continue
		}
		if f.incarnation == "" {
			f.incarnation = incarnation // it went to this start or an earlier one
		}
		_, present := m.engine.replicas[k]
		if f.incarnation != incarnation {
			delete(m.orders.floating, k)
			continue
		}
		if present && !f.ambiguous && m.settle.done {
			f.seen = true
		}
	}
}

// differs tells that a report lists other replicas than the current state.
func (v *engineView) differs(reported []fleet.ReplicaState) bool {
	if !v.current || len(reported) != len(v.replicas) {
		return true
	}
	for _, r := range reported {
		if have, ok := v.replicas[r.Key]; !ok || have.Phase != r.Phase {
			return true
		}
	}
	return false
}

// published returns the state for other nodes: the current replicas with
// the load figures of the last report.
func (m *Machine) published() fleet.TargetState {
	s := m.engine.state
	if !m.engine.current {
		return s
	}
	figures := map[fleet.ReplicaKey]fleet.ReplicaState{}
	for _, r := range s.Replicas {
		figures[r.Key] = r
	}
	s.Replicas = make([]fleet.ReplicaState, 0, len(m.engine.replicas)+len(m.orders.holds))
	add := func(r fleet.ReplicaState) {
		if f, ok := figures[r.Key]; ok {
			r.Running, r.Served = f.Running, f.Served
		}
		s.Replicas = append(s.Replicas, r)
	}
	for _, h := range m.orders.holds {
		add(h.state)
	}
	for k, r := range m.engine.replicas {
		if _, held := m.orders.holds[k]; !held {
			add(r)
		}
	}
	for _, p := range m.orders.pending {
		if p.order.Kind == target.OrderLoad && !m.present(p.order.Key) {
			s.Replicas = append(s.Replicas, fleet.ReplicaState{Key: p.order.Key, Phase: fleet.ReplicaLoading, MemoryBytes: p.memoryBytes})
		}
	}
	slices.SortFunc(s.Replicas, func(a, b fleet.ReplicaState) int { return a.Key.Compare(b.Key) })
	return s
}

// present tells that the engine holds the replica, loaded or loading.
func (m *Machine) present(k fleet.ReplicaKey) bool {
	_, listed := m.engine.replicas[k]
	_, held := m.orders.holds[k]
	return listed || held
}

// loaded tells that the replica can take requests.
func (m *Machine) loaded(k fleet.ReplicaKey) bool {
	if _, held := m.orders.holds[k]; held {
		return true
	}
	return m.engine.replicas[k].Phase == fleet.ReplicaLoaded
}

// absent tells that the replica is not on the engine and cannot appear: a
// state read that began after the last order shows it gone, and no order for
// it is pending or floating.
func (m *Machine) absent(k fleet.ReplicaKey, since uint64) bool {
	if m.hooks.skipConfirm {
		return true
	}
	if m.orders.pendingOf(k) != nil || m.orders.floating[k] != nil || !m.settle.done {
		return false
	}
	if m.env.Gone {
		return true
	}
	return m.engine.current && m.engine.generation >= since && !m.present(k)
}

// ledger adds up all memory that is or may become taken.
func (m *Machine) ledger() *placement.Ledger {
	l := placement.NewLedger(m.engine.state.MemoryBytes)
	for k, r := range m.engine.replicas {
		l.Hold(k, r.MemoryBytes)
	}
	for k, h := range m.orders.holds {
		l.Hold(k, h.state.MemoryBytes)
	}
	for _, p := range m.orders.pending {
		if p.order.Kind == target.OrderLoad {
			l.Hold(p.order.Key, p.memoryBytes)
		}
	}
	if m.hooks.skipReservation {
		return l
	}
	for k, f := range m.orders.floating {
		l.Hold(k, f.memoryBytes)
	}
	if !m.settle.done && !m.fencing() {
		m.slots.each(m.target, func(k fleet.ReplicaKey, memoryBytes int64) { l.Hold(k, memoryBytes) })
	}
	return l
}

func sortedKeys[V any](m map[fleet.ReplicaKey]V) []fleet.ReplicaKey {
	return slices.SortedFunc(maps.Keys(m), fleet.ReplicaKey.Compare)
}

func sortKeys(keys []fleet.ReplicaKey) {
	slices.SortFunc(keys, fleet.ReplicaKey.Compare)
}
