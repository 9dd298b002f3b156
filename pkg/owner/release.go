package owner

import (
	"maps"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/placement"
)

// ownSlot is one of the target's slots with its record.
type ownSlot struct {
	key    fleet.ReplicaKey
	record placement.Record
	index  int
}

func (m *Machine) ownSlots() []ownSlot {
	var out []ownSlot
	for _, group := range slices.Sorted(maps.Keys(m.slots.records)) {
		stored := m.slots.records[group]
		k, err := placement.ParseGroup(group)
		if err != nil {
			continue
		}
		for i, s := range stored.Record.Slots {
			if s.Target == m.target {
				k.Version = s.Version
				out = append(out, ownSlot{key: k, record: stored.Record, index: i})
			}
		}
	}
	return out
}

// advanceSurplus releases the slots that the limits no longer allow and
// those of a target that leaves, and finishes what a former owner began.
func (m *Machine) advanceSurplus() {
	m.advanceRelist()
	if !m.env.Platform {
		return
	}
	for _, s := range m.ownSlots() {
		if m.slots.ops[placement.Group(s.key)] != nil {
			continue
		}
		switch {
		case m.slotDue(s):
			m.startOp(opRelease, s.key)
		case s.record.Slots[s.index].Phase == placement.SlotReleasing:
			m.startOp(opBind, s.key)
		}
	}
}

// slotDue tells that a slot has to be released now. A loaded replica beyond
// the limit waits for slots without one to be given up first.
func (m *Machine) slotDue(s ownSlot) bool {
	if m.leaving() {
		return true
	}
	limits := m.limits(s.key, s.record)
	if limits.Revision == 0 || limits.Stale(s.record) {
		return false
	}
	used := m.mayBeLoaded(s.key)
	surplus := s.record.Surplus(s.index, limits)
	if !surplus || !used {
		delete(m.slots.surplusAt, s.key)
		return surplus || (s.record.Over(s.key.Version, limits) && !used && m.wants[s.key] == nil)
	}
	since, seen := m.slots.surplusAt[s.key]
	if !seen {
		m.slots.surplusAt[s.key] = m.env.Now
		return false
	}
	return m.env.Now.Sub(since) >= m.opts.SurplusGrace
}

// releaseDue tells whether a release under way is still called for.
func (m *Machine) releaseDue(op *slotOp, r placement.Record, i int) bool {
	s := ownSlot{key: op.key, record: r, index: i}
	limits := m.limits(op.key, r)
	if op.asked && !m.mayBeLoaded(op.key) && m.wants[op.key] == nil {
		return true
	}
	if m.leaving() || r.Surplus(i, limits) {
		return true
	}
	return m.slotDue(s)
}

// mayBeLoaded tells that the replica is on the engine or may appear there.
func (m *Machine) mayBeLoaded(k fleet.ReplicaKey) bool {
	return m.present(k) || m.orders.pendingOf(k) != nil || m.orders.floating[k] != nil
}

// advanceUnload waits for the replica of a releasing slot to be absent, and
// binds the slot again when the release is no longer called for.
func (m *Machine) advanceUnload(op *slotOp) {
	r := m.slots.records[op.group].Record
	i := r.Find(m.target, op.key.Version)
	if i < 0 {
		op.step = stepRead
		return
	}
	if !m.releaseDue(op, r, i) {
		delete(m.drains, op.key)
		op.kind, op.step = opBind, stepRead
		return
	}
	if m.absent(op.key, op.since) {
		op.absent = true
		op.step = stepRead
		return
	}
	if m.present(op.key) {
		m.startDrain(op.key, drainRelease, m.opts.DrainDelay)
	}
	if m.engine.generation < op.since {
		m.orders.syncWanted = true
	}
}

// releaseWanted starts the release of a slot that another target can use
// better; a slot whose replica is loaded or wanted stays.
func (m *Machine) releaseWanted(ev ReleaseWanted) {
	busy := m.mayBeLoaded(ev.Key) || m.wants[ev.Key] != nil || !m.settle.done
	if !m.Ready() || busy || !m.slots.has(m.target, ev.Key) || !m.env.Platform {
		m.do(AnswerRelease{Key: ev.Key})
		return
	}
	op := m.startOp(opRelease, ev.Key)
	if op == nil {
		m.do(AnswerRelease{Key: ev.Key})
		return
	}
	op.asked = true
}

// followLimits notes the limits in force and tells whether some record was
// read before the team's latest catalog revision came into force.
func (m *Machine) followLimits() bool {
	outdated := false
	for _, group := range slices.Sorted(maps.Keys(m.slots.records)) {
		k, err := placement.ParseGroup(group)
		if err != nil {
			continue
		}
		l := m.limits(k, m.slots.records[group].Record)
		m.slots.notePeak(group, l)
		outdated = outdated || l.Revision > m.slots.records[group].catalog
	}
	return outdated
}

// advanceRelist reads the slots once more when the former owners are
// settled: what they bound after this owner's first read is found then. It
// also reads them after a change of the catalog: slots may have been bound
// under limits that have been lowered since.
func (m *Machine) advanceRelist() {
	outdated := m.followLimits()
	if !outdated && (!m.settle.done || m.slots.relisted) {
		return
	}
	if m.slots.listing != 0 || !m.env.Platform || m.env.Now.Before(m.slots.retryAt) {
		return
	}
	m.listSlots()
}
