package owner

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
)

// opKind is what an operation on a slot record is for.
type opKind uint8

const (
	// opBind binds a slot to the target, or takes a releasing one back.
	opBind opKind = iota + 1
	// opRelease marks a slot, unloads its replica and removes the slot.
	opRelease
	// opCheck reads the record because a replica without a slot was seen.
	opCheck
)

// opStep is how far an operation has come.
type opStep uint8

const (
	// stepRead reads the record and decides the next write from it.
	stepRead opStep = iota
	// stepRoster reads the zone's roster epoch: a release must not go on,
	// and an engine without fencing must get no load for a new slot, once a
	// later owner may have read the slots before the write.
	stepRoster
	// stepUnload waits until the replica is certainly absent.
	stepUnload
)

// slotOp is an operation on one slot record. After a write of unknown
// outcome the record is read again and the step is decided anew.
type slotOp struct {
	id      uint64
	kind    opKind
	key     fleet.ReplicaKey
	group   string
	mark    string
	step    opStep
	calling bool
	retryAt time.Time
	// next is the record being written.
	next placement.Record
	// rostered is set once the roster was read after the mark was written.
	rostered bool
	// absent is set once the replica is certainly gone.
	absent bool
	// since is the order book's generation when the unload step began.
	since uint64
	asked bool
	// catalog is the catalog revision in force when the call began.
	catalog uint64
}

// startOp begins an operation; only one runs per slot record.
func (m *Machine) startOp(kind opKind, k fleet.ReplicaKey) *slotOp {
	group := placement.Group(k)
	if m.slots.ops[group] != nil {
		return nil
	}
	op := &slotOp{id: m.id(), kind: kind, key: k, group: group}
	op.mark = fmt.Sprintf("%s/%d/%d", m.self, m.epoch, op.id)
	m.slots.ops[group] = op
	return op
}

func (m *Machine) opByID(id uint64) *slotOp {
	for _, op := range m.slots.ops {
		if op.id == id {
			op.calling = false
			return op
		}
	}
	return nil
}

// limitKey names the limits of one record in the catalog.
type limitKey struct {
	group string
	team  fleet.Team
}

// limitCache keeps the limits read from one snapshot of the catalog.
type limitCache struct {
	snapshot *catalog.Snapshot
	limits   map[limitKey]placement.Limits
}

// limits returns the limits of the replica's record by the catalog in force.
func (m *Machine) limits(k fleet.ReplicaKey, r placement.Record) placement.Limits {
	if m.cache.snapshot != m.env.Catalog {
		m.cache = limitCache{snapshot: m.env.Catalog, limits: map[limitKey]placement.Limits{}}
	}
	group := placement.Group(k)
	key := limitKey{group: group, team: r.Team}
	l, ok := m.cache.limits[key]
	if !ok {
		l = placement.LimitsOf(m.env.Catalog, k, r.Team)
		m.cache.limits[key] = l
	}
	l.Peak = m.slots.records[group].peak
	if m.hooks.bindWithoutLimit {
		l.Max = maps.Clone(l.Max)
		l.Max[k.Version]++
	}
	return l
}

func (m *Machine) advanceSlotOps() {
	for _, op := range m.slots.sortedOps() {
		if op.calling || m.env.Now.Before(op.retryAt) {
			continue
		}
		m.advanceOp(op)
	}
}

func (m *Machine) advanceOp(op *slotOp) {
	if op.step == stepUnload {
		m.advanceUnload(op)
		if op.step == stepUnload {
			return
		}
	}
	if !m.env.Platform {
		m.opUnavailable(op)
		return
	}
	op.calling = true
	op.catalog = m.limits(op.key, m.slots.records[op.group].Record).Revision
	if op.step == stepRoster {
		m.do(ReadRoster{Op: op.id})
		return
	}
	m.do(ReadRecord{Op: op.id, Group: op.group})
}

// opUnavailable gives a bind up, so that its waiters hear at once, and lets
// a release wait.
func (m *Machine) opUnavailable(op *slotOp) {
	if op.kind != opRelease {
		m.endOp(op, fault.PlatformUnavailable, "a slot cannot be bound while the key-value service is away")
		return
	}
	if op.asked {
		m.answerRelease(op, false)
	}
	op.retryAt = m.env.Now.Add(m.opts.RetryInterval)
}

func (m *Machine) recordRead(ev RecordRead) {
	op := m.opByID(ev.Op)
	if op == nil {
		return
	}
	if ev.Err != nil {
		m.opUnavailable(op)
		return
	}
	ev.Stored.catalog = op.catalog
	if !m.slots.store(op.group, ev.Stored, m.target) {
		m.opUnavailable(op) // the service is older than what was read before
		return
	}
	switch op.kind {
	case opBind:
		m.bindFrom(op, ev.Stored)
	case opRelease:
		m.releaseFrom(op, ev.Stored)
	case opCheck:
		m.checked(op)
	}
}

func (m *Machine) bindFrom(op *slotOp, stored StoredRecord) {
	r, ok := m.env.Catalog.Replica(op.key)
	if !ok {
		m.endOp(op, fault.NoCapacity, "the replica is not declared")
		return
	}
	slot := placement.Slot{Target: m.target, Zone: m.env.Target.Zone, Version: op.key.Version, MemoryBytes: r.MemoryBytes}
	limits := m.limits(op.key, stored.Record)
	next, err := stored.Record.Bind(slot, limits)
	if err != nil {
		m.endOp(op, fault.NoCapacity, err.Error())
		return
	}
	if stored.Record.MayLoad(m.target, op.key.Version, r.MemoryBytes, limits) && stored.Record.LimitRevision == next.LimitRevision {
		m.bindWritten(op)
		return
	}
	if !m.fencing() && !m.hooks.skipRosterRead {
		m.slots.unverified[op.key] = true
	}
	m.write(op, next, stored.Revision)
}

func (m *Machine) releaseFrom(op *slotOp, stored StoredRecord) {
	i := stored.Record.Find(m.target, op.key.Version)
	if i < 0 {
		m.endOp(op, 0, "")
		return
	}
	marked := stored.Record.Slots[i].Phase == placement.SlotReleasing && stored.Record.Slots[i].Mark == op.mark
	switch {
	case marked && op.absent:
		next, err := stored.Record.Remove(m.target, op.key.Version, op.mark)
		if err != nil {
			m.endOp(op, 0, "")
			return
		}
		m.write(op, next, stored.Revision)
	case marked:
		m.markWritten(op)
	case op.rostered, !m.releaseDue(op, stored.Record, i):
		m.endOp(op, 0, "")
	default:
		next, _ := stored.Record.MarkReleasing(m.target, op.key.Version, op.mark, m.limits(op.key, stored.Record))
		m.slots.markPending(op.group, m.target, op.key.Version, op.mark)
		m.write(op, next, stored.Revision)
	}
}

func (m *Machine) write(op *slotOp, next placement.Record, expect platform.Revision) {
	next.Write = fmt.Sprintf("%s/%d", op.mark, m.id())
	op.next = next
	op.calling = true
	op.catalog = m.limits(op.key, next).Revision
	m.do(SwapRecord{Op: op.id, Group: op.group, Record: next, Expect: expect})
}

func (m *Machine) recordSwapped(ev RecordSwapped) {
	op := m.opByID(ev.Op)
	if op == nil {
		return
	}
	switch {
	case errors.Is(ev.Err, platform.ErrConflict), errors.Is(ev.Err, platform.ErrOutcomeUnknown):
		op.step = stepRead // read the record and decide anew
	case ev.Err != nil:
		m.opUnavailable(op)
	default:
		m.slots.store(op.group, StoredRecord{Record: op.next, Revision: ev.Revision, catalog: op.catalog}, m.target)
		m.written(op)
	}
}

func (m *Machine) written(op *slotOp) {
	switch {
	case op.kind == opBind:
		m.bindWritten(op)
	case op.absent:
		m.report(ReportSlotReleased, op.key, "")
		m.answerRelease(op, true)
		m.endOp(op, 0, "")
	default:
		m.markWritten(op)
	}
}

// bindWritten ends a bind, after a look at the roster where a former owner's
// orders are not refused.
func (m *Machine) bindWritten(op *slotOp) {
	if m.fencing() || m.hooks.skipRosterRead {
		m.endOp(op, 0, "")
		return
	}
	op.step = stepRoster
}

func (m *Machine) markWritten(op *slotOp) {
	op.step = stepRoster
	if m.hooks.skipRosterRead {
		m.rostered(op)
	}
}

func (m *Machine) rosterRead(ev RosterRead) {
	if ev.Op == m.slots.rosterCall && m.owner {
		m.takeoverRoster(ev)
		return
	}
	if ev.Op == m.orders.effectCall {
		m.effectsConfirmed(ev)
		return
	}
	op := m.opByID(ev.Op)
	if op == nil {
		return
	}
	if ev.Err != nil {
		m.opUnavailable(op)
		return
	}
	if ev.Epoch > m.epoch {
		m.supersede(ev.Epoch) // another node may own the target
		return
	}
	if ev.Epoch < m.epoch {
		m.opUnavailable(op) // the service is older than the view
		return
	}
	m.rostered(op)
}

func (m *Machine) rostered(op *slotOp) {
	if op.kind == opBind {
		delete(m.slots.unverified, op.key)
		m.endOp(op, 0, "")
		return
	}
	op.rostered = true
	op.step = stepUnload
	op.since = m.orders.generation
	m.orders.syncWanted = true
}

// endOp ends an operation; kind is that of the failure told to those who
// wait for the replica, or 0.
func (m *Machine) endOp(op *slotOp, kind fault.Kind, text string) {
	delete(m.slots.ops, op.group)
	m.answerRelease(op, false)
	if op.kind == opRelease {
		delete(m.drains, op.key)
	}
	if kind != 0 {
		m.failWant(op.key, kind, text)
	}
}

func (m *Machine) answerRelease(op *slotOp, done bool) {
	if op.asked {
		op.asked = false
		m.do(AnswerRelease{Key: op.key, Done: done})
	}
}
