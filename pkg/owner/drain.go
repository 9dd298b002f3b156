package owner

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/placement"
	"almondturn/pkg/target"
)

// drainReason is why a replica is being unloaded.
type drainReason uint8

const (
	// drainIdle: the keep-alive window is over.
	drainIdle drainReason = iota + 1
	// drainEvict: its memory is wanted for another replica.
	drainEvict
	// drainRelease: its slot is being released.
	drainRelease
	// drainNoSlot: no slot allows it.
	drainNoSlot
)

// drain is the unloading of one replica: routers stop sending requests to
// it, and it is unloaded once none runs.
type drain struct {
	reason  drainReason
	since   time.Time
	retryAt time.Time
	sent    bool
	// done is set when the engine confirmed the unload; the drain lasts
	// until a current state shows it.
	done       bool
	generation uint64
}

// returned notes the end of the unload order's call.
func (d *drain) returned(ev OrderReturned, retryAt time.Time) {
	d.sent = false
	d.done = ev.Outcome == OrderAnswered && ev.Result.Status == target.OrderDone
	d.retryAt = retryAt
}

// usage is when a replica last ran a request.
type usage struct {
	served  uint64
	running int
	last    time.Time
}

func (m *Machine) touch(k fleet.ReplicaKey) {
	u := m.usage[k]
	if u == nil {
		u = &usage{}
		m.usage[k] = u
	}
	u.last = m.env.Now
}

// observeUsage follows the requests that run on each replica.
func (m *Machine) observeUsage(reported []fleet.ReplicaState) {
	seen := map[fleet.ReplicaKey]bool{}
	for _, r := range reported {
		seen[r.Key] = true
		u := m.usage[r.Key]
		if u == nil {
			m.touch(r.Key)
			u = m.usage[r.Key]
		}
		if r.Running > 0 || r.Served != u.served {
			if r.Running == 0 || u.running == 0 {
				m.keep.Observe(r.Key, m.env.Now.Sub(u.last))
			}
			u.last = m.env.Now
		}
		u.served, u.running = r.Served, r.Running
	}
	for k := range m.usage {
		if !seen[k] && !m.present(k) {
			delete(m.usage, k)
		}
	}
}

func (m *Machine) running(k fleet.ReplicaKey) int {
	if u := m.usage[k]; u != nil {
		return u.running
	}
	return 0
}

// idleFor returns how long no request has run on the replica.
func (m *Machine) idleFor(k fleet.ReplicaKey) time.Duration {
	u := m.usage[k]
	if u == nil || u.running > 0 {
		return 0
	}
	return m.env.Now.Sub(u.last)
}

// startDrain begins to unload a replica; a stronger reason replaces a weaker one.
func (m *Machine) startDrain(k fleet.ReplicaKey, reason drainReason, delay time.Duration) {
	d := m.drains[k]
	if d == nil {
		d = &drain{since: m.env.Now, retryAt: m.env.Now.Add(delay)}
		m.drains[k] = d
	}
	d.reason = max(d.reason, reason)
}

// advanceIdle starts to unload replicas whose keep-alive window is over, and
// those that no slot allows.
func (m *Machine) advanceIdle() {
	if !m.engine.current || m.env.Now.Before(m.idleAt) {
		return
	}
	m.idleAt = m.env.Now.Add(m.opts.PollInterval)
	for _, k := range sortedKeys(m.engine.replicas) {
		r := m.engine.replicas[k]
		if m.drains[k] != nil || m.wants[k] != nil || r.Phase != fleet.ReplicaLoaded {
			continue
		}
		if !m.slots.has(m.target, k) {
			m.checkSlot(k)
			continue
		}
		if m.env.Stopping || m.running(k) > 0 || m.usage[k] == nil || len(m.adaptersOn(k)) > 0 {
			continue
		}
		if m.idleFor(k) > m.keep.Window(k, m.env.Now) {
			m.startDrain(k, drainIdle, m.opts.DrainDelay)
		}
	}
}

// slotCheckInterval is the least time between two reads of a record to look
// for the slot of a replica that has none.
const slotCheckInterval = 5 * time.Second

// checkSlot reads the record of a replica without a slot and unloads the
// replica when there is indeed none.
func (m *Machine) checkSlot(k fleet.ReplicaKey) {
	group := placement.Group(k)
	if !m.env.Platform || m.slots.ops[group] != nil {
		return
	}
	last, checked := m.slots.checkedAt[group]
	if checked && m.slots.missing[k] {
		m.report(ReportNoSlot, k, "")
		m.startDrain(k, drainNoSlot, m.opts.DrainDelay)
		return
	}
	if checked && m.env.Now.Sub(last) < slotCheckInterval {
		return
	}
	m.startOp(opCheck, k)
}

// checked ends a check for the slot of a replica.
func (m *Machine) checked(op *slotOp) {
	delete(m.slots.ops, op.group)
	m.slots.checkedAt[op.group] = m.env.Now
	m.slots.missing[op.key] = !m.slots.has(m.target, op.key)
}

// adaptersOn returns the adapters on the target that use the base model.
func (m *Machine) adaptersOn(base fleet.ReplicaKey) []fleet.ReplicaKey {
	if base.Adapter != "" {
		return nil
	}
	set := map[fleet.ReplicaKey]bool{}
	for k := range m.engine.replicas {
		set[k] = true
	}
	for k := range m.orders.holds {
		set[k] = true
	}
	for _, p := range m.orders.pending {
		set[p.order.Key] = true
	}
	var out []fleet.ReplicaKey
	for k := range set {
		if k.Adapter != "" && k.Base() == base {
			out = append(out, k)
		}
	}
	sortKeys(out)
	return out
}

func (m *Machine) advanceDrains() {
	for _, k := range sortedKeys(m.drains) {
		m.advanceDrain(k, m.drains[k])
	}
}

func (m *Machine) advanceDrain(k fleet.ReplicaKey, d *drain) {
	if d.sent || m.orders.pendingOf(k) != nil {
		return
	}
	if !m.present(k) {
		if m.engine.current && !m.slots.releasing(k) {
			delete(m.drains, k)
		}
		return
	}
	if d.done && m.engine.generation < d.generation {
		return // the unload is not in the current state yet
	}
	if m.env.Now.Before(d.retryAt) || !m.engine.current {
		return
	}
	if m.drainCancelled(k, d) {
		delete(m.drains, k)
		return
	}
	if m.running(k) > 0 || m.adaptersRemain(k, d) {
		return
	}
	d.sent, d.done = true, false
	d.generation = m.orders.generation + 1
	m.send(target.OrderUnload, k, 0, "")
}

// drainCancelled tells that the reason for an unload is gone.
func (m *Machine) drainCancelled(k fleet.ReplicaKey, d *drain) bool {
	switch d.reason {
	case drainIdle:
		return m.wants[k] != nil || m.running(k) > 0 || m.idleFor(k) <= m.keep.Window(k, m.env.Now)
	case drainEvict:
		return m.wants[k] != nil || m.running(k) > 0
	case drainNoSlot:
		return m.slots.has(m.target, k)
	case drainRelease:
	}
	return false
}

// adaptersRemain unloads the adapters of a base model before the model.
func (m *Machine) adaptersRemain(k fleet.ReplicaKey, d *drain) bool {
	adapters := m.adaptersOn(k)
	for _, a := range adapters {
		m.startDrain(a, d.reason, 0)
	}
	return len(adapters) > 0
}

// idleUnits returns the replicas that could be unloaded to make room.
func (m *Machine) idleUnits(wanted fleet.ReplicaKey) []placement.Idle {
	var out []placement.Idle
	for _, k := range sortedKeys(m.engine.replicas) {
		r := m.engine.replicas[k]
		unit := placement.Idle{MemoryBytes: r.MemoryBytes, Remaining: m.keep.Window(k, m.env.Now) - m.idleFor(k)}
		evictable := k != wanted.Base() && m.evictable(k)
		for _, a := range m.adaptersOn(k) {
			evictable = evictable && m.evictable(a)
			unit.MemoryBytes += m.engine.replicas[a].MemoryBytes
			unit.Remaining = max(unit.Remaining, m.keep.Window(a, m.env.Now)-m.idleFor(a))
			unit.Keys = append(unit.Keys, a)
		}
		if evictable {
			unit.Keys = append(unit.Keys, k)
			out = append(out, unit)
		}
	}
	return out
}

func (m *Machine) evictable(k fleet.ReplicaKey) bool {
	r, listed := m.engine.replicas[k]
	free := m.wants[k] == nil && m.orders.pendingOf(k) == nil
	return listed && free && r.Phase == fleet.ReplicaLoaded && m.running(k) == 0 && m.drains[k] == nil
}
