package owner

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// settlement tells whether all orders of former owners are accounted for.
type settlement struct {
	done bool
	// answers is set once every former owner has answered or is dead.
	// barrier is the order book's generation then: a state read since shows
	// what they did last.
	answers bool
	barrier uint64
	// direct is set when the former owner alone accounts for all orders.
	direct bool
	// answered are the nodes whose process gave the target up.
	answered map[fleet.NodeID]bool
	// notBefore is when orders of dead processes can no longer take effect.
	notBefore time.Time
	nextAsk   time.Time
	asking    map[fleet.NodeID]bool
	// wanted is the epoch for which a later owner asked; 0 for none.
	wanted fleet.Epoch
}

// checkOwnership follows the view: a target is lost at once, and a takeover
// starts when it is gained or when an epoch was missed.
func (m *Machine) checkOwnership() {
	owner := m.env.Owner && m.env.Epoch >= m.givenUp
	switch {
	case !owner && m.owner:
		m.loseOwnership()
	case owner && !m.owner:
		m.beginTakeover()
	case owner && m.env.Epoch == m.epoch+1 && m.env.PreviousOwner == m.self && m.env.PreviousEpoch == m.epoch:
		m.epoch, m.ownedLast = m.env.Epoch, m.env.Epoch
		m.orders.sequence = 0
	case owner && m.env.Epoch != m.epoch:
		m.loseOwnership()
		m.beginTakeover()
	}
}

func (m *Machine) loseOwnership() {
	m.owner = false
	m.do(CancelOrders{})
	m.failAllWants(fault.TargetUnreachable, "the target has a new owner")
	for _, op := range m.slots.sortedOps() {
		m.answerRelease(op, false)
	}
	clear(m.slots.ops)
	clear(m.drains)
	m.report(ReportLost, fleet.ReplicaKey{}, "")
}

func (m *Machine) beginTakeover() {
	m.owner = true
	m.epoch, m.ownedLast = m.env.Epoch, m.env.Epoch
	m.stage = stageState
	m.orders.sequence = 0
	m.slots = newSlotBook()
	m.orders.generation++
	m.engine.forgetAuthority(m.orders.generation)
	m.forgetEffects()
	m.settle = settlement{
		answered:  map[fleet.NodeID]bool{},
		asking:    map[fleet.NodeID]bool{},
		notBefore: m.env.Now.Add(m.opts.OrderLifetime),
	}
}

func (m *Machine) advanceTakeover() {
	if m.stage == stageState && (m.engine.fresh || m.env.Gone) {
		m.stage = stageFence
	}
	if m.stage == stageFence && m.env.Gone {
		m.stage = stageSlots
	}
	if m.stage == stageFence && m.engine.known {
		m.sendSync()
	}
	if m.stage == stageSlots && m.slots.listing == 0 && !m.env.Now.Before(m.slots.retryAt) {
		m.listSlots()
	}
	if m.stage == stageRoster && m.slots.rosterCall == 0 && !m.env.Now.Before(m.slots.retryAt) {
		m.slots.rosterCall = m.id()
		m.do(ReadRoster{Op: m.slots.rosterCall})
	}
}

// adoptRecords takes the records that a list call returned.
func (m *Machine) adoptRecords(records map[string]StoredRecord) {
	for group, stored := range records {
		stored.catalog = m.slots.listedUnder[stored.Record.Team]
		m.slots.store(group, stored, m.target)
	}
}

func (m *Machine) listSlots() {
	m.slots.listing = m.id()
	m.slots.listedUnder = map[fleet.Team]uint64{}
	for team, revision := range m.env.Catalog.Revisions {
		m.slots.listedUnder[team] = uint64(revision)
	}
	m.do(ListSlots{Op: m.slots.listing})
}

// followPlatform reads all slots anew once a service that came back older
// was acknowledged by an operator.
func (m *Machine) followPlatform() {
	if m.env.Older {
		m.sawOlder = true
		return
	}
	if !m.sawOlder || !m.owner {
		return
	}
	m.sawOlder = false
	m.slots = newSlotBook()
	m.stage = min(m.stage, stageSlots)
}

// fenceAccepted continues a takeover once the engine has this epoch.
func (m *Machine) fenceAccepted() {
	if m.stage != stageFence {
		return
	}
	switch {
	case !m.slots.listed:
		m.stage = stageSlots
	case !m.slots.rostered:
		m.stage = stageRoster
	default:
		m.stage = stageReady
	}
}

func (m *Machine) slotsListed(ev SlotsListed) {
	if !m.owner || ev.Op != m.slots.listing {
		return
	}
	m.slots.listing = 0
	if ev.Err != nil {
		m.slots.retryAt = m.env.Now.Add(m.opts.RetryInterval)
		return
	}
	m.adoptRecords(ev.Records)
	if m.slots.listed {
		m.slots.relisted = true
		return
	}
	m.slots.listed = true
	if len(m.slots.records) == 0 {
		m.settle.done = true
	}
	if m.stage == stageSlots {
		m.stage = stageRoster
	}
	if m.hooks.trustOldView {
		m.takeoverRoster(RosterRead{Epoch: m.epoch})
	}
}

// takeoverRoster ends a takeover when the roster read after the slots still
// has this epoch.
func (m *Machine) takeoverRoster(ev RosterRead) {
	m.slots.rosterCall = 0
	switch {
	case ev.Err != nil, ev.Epoch < m.epoch:
		m.slots.retryAt = m.env.Now.Add(m.opts.RetryInterval)
	case ev.Epoch > m.epoch:
		m.supersede(ev.Epoch)
	default:
		m.slots.rostered = true
		if m.stage == stageRoster {
			m.stage = stageReady
			m.report(ReportTakenOver, fleet.ReplicaKey{}, "")
		}
	}
}

// supersede gives the target up until the view has the later epoch.
func (m *Machine) supersede(epoch fleet.Epoch) {
	m.givenUp = max(m.givenUp, epoch)
	m.checkOwnership()
}

// advanceSettlement asks the possible former owners until every order of
// theirs is accounted for.
func (m *Machine) advanceSettlement() {
	if m.settle.done {
		return
	}
	if m.hooks.skipSettle {
		m.settle.done = true
		return
	}
	if m.settle.direct || m.allAnswered() {
		m.confirmSettlement()
		return
	}
	if m.env.Now.Before(m.settle.nextAsk) {
		return
	}
	m.settle.nextAsk = m.env.Now.Add(m.opts.RetryInterval)
	for _, n := range m.formerOwners() {
		if n != m.self && !m.settle.answered[n] && !m.settle.asking[n] {
			m.settle.asking[n] = true
			m.do(AskSettle{Node: n, Epoch: m.epoch})
		}
	}
}

// confirmSettlement ends the settlement with a state of the engine that was
// read after the last answer: a load of a former owner that succeeded just
// before is in it.
func (m *Machine) confirmSettlement() {
	if !m.settle.answers {
		m.settle.answers = true
		m.orders.generation++
		m.settle.barrier = m.orders.generation
	}
	confirmed := m.env.Gone || (m.engine.current && m.engine.generation >= m.settle.barrier)
	if !confirmed && !m.hooks.skipSettleState {
		m.orders.syncWanted = true
		return
	}
	m.settle.done = true
	m.report(ReportSettled, fleet.ReplicaKey{}, "")
}

func (m *Machine) formerOwners() []fleet.NodeID {
	nodes := m.env.EntryNodes
	if m.env.PreviousOwner != "" {
		nodes = append([]fleet.NodeID{m.env.PreviousOwner}, nodes...)
	}
	return nodes
}

// allAnswered tells that every node that may have owned the target gave it
// up or has left the VM list. An engine that ignores fencing numbers may
// still get an order of a process that has died, for the order's lifetime.
func (m *Machine) allAnswered() bool {
	if !m.env.EntryKnown {
		return false
	}
	for _, n := range m.env.EntryNodes {
		if n != m.self && !m.settle.answered[n] {
			m.settle.notBefore = m.env.Now.Add(m.opts.OrderLifetime)
			return false
		}
	}
	return m.fencing() || !m.env.Now.Before(m.settle.notBefore)
}

func (m *Machine) settleAnswered(ev SettleAnswered) {
	delete(m.settle.asking, ev.Node)
	if ev.Err != nil || ev.Settled == nil || !m.owner {
		return
	}
	if ev.Settled.Epoch > m.epoch && !m.hooks.trustOldView {
		m.supersede(ev.Settled.Epoch)
	}
	if ev.Settled.Epoch != m.epoch || !m.owner {
		return
	}
	m.settle.answered[ev.Node] = true
	for _, k := range ev.Settled.Floating {
		m.orders.syncWanted = true
		m.orders.addFloating(k, m.slots.memoryOf(m.target, k))
		// The former owner may have sent other loads of this replica.
		m.orders.floating[k].ambiguous = !m.hooks.trustHandedOver
	}
	direct := ev.Node == m.env.PreviousOwner && ev.Settled.Owned == m.env.PreviousEpoch && m.env.PreviousEpoch+1 == m.epoch
	m.settle.direct = m.settle.direct || (direct && ev.Settled.Clean)
}

// settleWanted gives the target up to the owner of a later epoch.
func (m *Machine) settleWanted(ev SettleWanted) {
	if ev.Epoch <= m.epoch && m.owner {
		m.do(AnswerSettle{Settled: wire.Settled{Target: m.target, Epoch: m.epoch}}) // the asker is behind
		return
	}
	m.givenUp = max(m.givenUp, ev.Epoch)
	m.settle.wanted = max(m.settle.wanted, ev.Epoch)
	if m.owner && m.env.Epoch < m.givenUp {
		m.loseOwnership()
	}
	if !m.owner {
		m.do(CancelOrders{})
	}
}

// answerSettle answers a later owner once every order's call has returned.
func (m *Machine) answerSettle() {
	if m.settle.wanted == 0 || len(m.orders.pending) > 0 {
		return
	}
	if m.owner && m.epoch >= m.settle.wanted {
		m.settle.wanted = 0
		return
	}
	m.do(AnswerSettle{Settled: wire.Settled{
		Target:      m.target,
		Epoch:       m.settle.wanted,
		Floating:    m.orders.floatingKeys(),
		Incarnation: m.engine.state.Incarnation,
		Owned:       m.ownedLast,
		Clean:       m.settle.done,
	}})
	m.settle.wanted = 0
}

// superseded tells that the engine has accepted a later epoch.
func (m *Machine) superseded(res target.OrderResult) bool { return res.State.Epoch > m.epoch }
