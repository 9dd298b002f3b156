package owner

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/placement"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// budgetState is how far a want has come with its load permit.
type budgetState uint8

const (
	budgetNone budgetState = iota
	budgetAsked
	budgetHeld
)

// maxLoadRetries bounds how often a load is sent again after the engine
// refused its fencing number.
const maxLoadRetries = 4

// want is a replica that somebody waits for. All who ask for the same
// replica share it, so that a burst causes one load.
type want struct {
	prefetch bool
	deadline time.Time
	// observeUntil is set after a load of unknown outcome.
	observeUntil time.Time
	budget       budgetState
	budgetKind   wire.BudgetKind
	bound        bool
	retries      int
}

func (m *Machine) loadWanted(ev LoadWanted) {
	if !m.owner {
		m.do(AnswerLoad{Key: ev.Key, Err: fault.New(fault.TargetUnreachable, "this node does not own the target")})
		return
	}
	m.addWant(ev.Key, ev.Prefetch, m.env.Now.Add(m.opts.WantTimeout))
}

func (m *Machine) addWant(k fleet.ReplicaKey, prefetch bool, deadline time.Time) {
	w := m.wants[k]
	if w == nil {
		w = &want{prefetch: prefetch}
		m.wants[k] = w
	}
	w.prefetch = w.prefetch && prefetch
	w.deadline = deadline
}

// failWant answers those who wait for a replica, and for adapters on it.
func (m *Machine) failWant(k fleet.ReplicaKey, kind fault.Kind, text string) {
	w := m.wants[k]
	if w == nil {
		return
	}
	m.endWant(k, w, fault.New(kind, "%s: %s", k, text))
	for _, other := range sortedKeys(m.wants) {
		if other.Adapter != "" && other.Base() == k {
			m.failWant(other, kind, text)
		}
	}
}

func (m *Machine) endWant(k fleet.ReplicaKey, w *want, err *fault.Error) {
	delete(m.wants, k)
	if w.budget == budgetHeld {
		m.do(ReturnBudget{Budget: w.budgetKind})
	}
	m.do(AnswerLoad{Key: k, Err: err})
}

// retryWant lets a load be sent again after a refused fencing number.
func (m *Machine) retryWant(k fleet.ReplicaKey) {
	w := m.wants[k]
	if w == nil {
		return
	}
	w.retries++
	w.budget = budgetNone
	if w.retries > maxLoadRetries {
		m.failWant(k, fault.NoReplica, "the target refused the load repeatedly")
	}
}

func (m *Machine) budgetGranted(ev BudgetGranted) {
	w := m.wants[ev.Key]
	if w == nil || w.budget != budgetAsked || w.budgetKind != ev.Budget {
		m.do(ReturnBudget{Budget: ev.Budget})
		return
	}
	w.budget = budgetHeld
}

// budgetKind returns the budget that a load needs; empty for none.
func (m *Machine) budgetKind(k fleet.ReplicaKey) wire.BudgetKind {
	if k.Adapter != "" {
		return wire.BudgetAdapters
	}
	if placement.CacheLevelOf(&m.engine.state, k) == fleet.CacheRemote {
		return wire.BudgetStoreLoads
	}
	return ""
}

// expireWants fails what has waited too long.
func (m *Machine) expireWants() {
	for _, k := range sortedKeys(m.wants) {
		w := m.wants[k]
		if w == nil {
			continue
		}
		if m.env.Now.After(w.deadline) && m.orders.pendingOf(k) == nil {
			m.failWant(k, fault.NoReplica, "the load did not start in time")
		}
	}
}

// advanceWants serves demand before prefetch.
func (m *Machine) advanceWants() {
	m.expireWants()
	keys := make([]fleet.ReplicaKey, 0, len(m.wants))
	for k := range m.wants {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.ReplicaKey) int {
		wa, wb := m.wants[a], m.wants[b]
		if wa.prefetch != wb.prefetch {
			return map[bool]int{false: -1, true: 1}[wa.prefetch]
		}
		return cmp.Or(wa.deadline.Compare(wb.deadline), a.Compare(b))
	})
	for _, k := range keys {
		if w := m.wants[k]; w != nil {
			m.advanceWant(k, w)
		}
	}
}

func (m *Machine) advanceWant(k fleet.ReplicaKey, w *want) {
	if m.satisfied(k, w) || m.orders.pendingOf(k) != nil || m.present(k) || m.observing(k, w) {
		return
	}
	r, declared := m.env.Catalog.Replica(k)
	switch {
	case m.leaving():
		m.failWant(k, fault.NoCapacity, "the target is leaving")
		return
	case !declared:
		m.failWant(k, fault.NoCapacity, "the replica is not declared")
		return
	case !m.engine.current:
		m.orders.syncWanted = true
		return
	}
	ready := m.baseReady(k, w) && m.roomFor(k, r) && m.slotFor(k, w, r) && m.budgetFor(k, w)
	if !ready {
		return
	}
	budget := w.budgetKind
	w.budget, w.budgetKind = budgetNone, ""
	m.send(target.OrderLoad, k, m.slots.memoryOf(m.target, k), budget)
}

// satisfied ends the want once the replica can take requests; an unload
// that was not sent yet is called off.
func (m *Machine) satisfied(k fleet.ReplicaKey, w *want) bool {
	if !m.loaded(k) {
		return false
	}
	if d := m.drains[k]; d != nil {
		if d.sent || d.done || d.reason >= drainRelease {
			return true // wait for the end of the unload
		}
		delete(m.drains, k)
	}
	m.touch(k)
	m.endWant(k, w, nil)
	return true
}

// observing waits for the effect of a load of unknown outcome.
func (m *Machine) observing(k fleet.ReplicaKey, w *want) bool {
	if w.observeUntil.IsZero() || m.orders.floating[k] == nil {
		return false
	}
	m.orders.syncWanted = true
	if m.env.Now.Before(w.observeUntil) {
		return true
	}
	m.failWant(k, fault.NoReplica, "the outcome of the load is unknown")
	return true
}

// baseReady gets an adapter's base model loaded first.
func (m *Machine) baseReady(k fleet.ReplicaKey, w *want) bool {
	base := k.Base()
	if k.Adapter == "" {
		return true
	}
	if m.loaded(base) && m.drains[base] == nil {
		return true
	}
	if m.wants[base] == nil {
		m.addWant(base, w.prefetch, w.deadline)
	}
	return false
}

// roomFor makes room by unloading idle replicas.
func (m *Machine) roomFor(k fleet.ReplicaKey, r catalog.Replica) bool {
	bytes := max(r.MemoryBytes, m.slots.memoryOf(m.target, k))
	missing := m.ledger().MissingBytes(k, bytes)
	if missing == 0 {
		return true
	}
	for _, d := range m.drains {
		if d.reason == drainEvict {
			return false
		}
	}
	victims, ok := placement.Evict(m.idleUnits(k), missing)
	if !ok && len(m.drains) > 0 {
		return false
	}
	if !ok {
		m.failWant(k, fault.NoCapacity, "the target has no free memory")
		return false
	}
	for _, v := range victims {
		m.startDrain(v, drainEvict, 0)
	}
	return false
}

// slotFor binds a slot when there is none that may be loaded.
func (m *Machine) slotFor(k fleet.ReplicaKey, w *want, r catalog.Replica) bool {
	group := placement.Group(k)
	if m.slots.ops[group] != nil {
		return false
	}
	stored := m.slots.records[group]
	limits := m.limits(k, stored.Record)
	usable := stored.Record.MayLoad(m.target, k.Version, r.MemoryBytes, limits)
	if usable && !m.slots.unverified[k] {
		if limits.Revision <= stored.catalog {
			return true
		}
		if m.env.Platform {
			return false // the records are being read again
		}
		m.failWant(k, fault.PlatformUnavailable, "the limits changed and the slots cannot be read")
		return false
	}
	if w.bound {
		m.failWant(k, fault.NoCapacity, "surplus replicas are still being released")
		return false
	}
	w.bound = true
	if m.startOp(opBind, k) != nil {
		m.advanceSlotOps()
	}
	return false
}

// budgetFor asks for the load budget.
func (m *Machine) budgetFor(k fleet.ReplicaKey, w *want) bool {
	if w.budget == budgetAsked {
		return false
	}
	if w.budget == budgetHeld {
		return true
	}
	w.budgetKind = m.budgetKind(k)
	if w.budgetKind == "" {
		return true
	}
	w.budget = budgetAsked
	m.do(AskBudget{Key: k, Budget: w.budgetKind, Prefetch: w.prefetch})
	return false
}
