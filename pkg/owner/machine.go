package owner

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// stage is how far a takeover has come.
type stage uint8

const (
	// stageState waits for the engine's first state.
	stageState stage = iota
	// stageFence waits until the engine has accepted this epoch.
	stageFence
	// stageSlots waits for the slot records, read after the fence.
	stageSlots
	// stageRoster waits for the roster, read after the slots: a process
	// that starts with an old view must not own the target.
	stageRoster
	// stageReady gives orders.
	stageReady
)

// Machine is the target owner's decisions for one target, as a state
// machine: events go in, actions come out. It does no I/O, reads no clock
// and is not safe for concurrent use.
type Machine struct {
	target fleet.TargetID
	self   fleet.NodeID
	opts   Options
	keep   KeepAlive
	hooks  hooks

	env     Env
	actions []Action

	owner     bool
	epoch     fleet.Epoch
	stage     stage
	ownedLast fleet.Epoch // last epoch in which this process owned the target
	// givenUp is the lowest epoch in which the target may be owned again.
	givenUp fleet.Epoch
	// sawOlder is set while the key-value service holds an older state.
	sawOlder bool

	engine  engineView
	orders  orderBook
	slots   slotBook
	settle  settlement
	wants   map[fleet.ReplicaKey]*want
	drains  map[fleet.ReplicaKey]*drain
	usage   map[fleet.ReplicaKey]*usage
	updates uint64
	cache   limitCache
	// idleAt is when idle replicas are looked at next.
	idleAt time.Time
	lastID uint64
}

// hooks leave out steps of the protocol; tests use them to show that the
// checker notices.
type hooks struct {
	skipRosterRead   bool
	trustOldView     bool
	forgetFloating   bool
	skipSettle       bool
	skipSettleState  bool
	trustHandedOver  bool
	trustUnsettled   bool
	skipEffectRoster bool
	skipConfirm      bool
	skipReservation  bool
	bindWithoutLimit bool
}

// NewMachine returns the machine of a target that this node does not own yet.
func NewMachine(self fleet.NodeID, id fleet.TargetID, opts Options, keep KeepAlive) *Machine {
	return &Machine{
		target: id,
		self:   self,
		opts:   opts,
		keep:   keep,
		orders: newOrderBook(),
		slots:  newSlotBook(),
		wants:  map[fleet.ReplicaKey]*want{},
		drains: map[fleet.ReplicaKey]*drain{},
		usage:  map[fleet.ReplicaKey]*usage{},
	}
}

// Handle applies an event and returns the actions that follow from it.
func (m *Machine) Handle(env Env, ev Event) []Action {
	m.env = env
	m.actions = nil
	m.checkOwnership()
	m.followPlatform()
	m.apply(ev)
	m.advance()
	return m.actions
}

func (m *Machine) apply(ev Event) {
	switch ev := ev.(type) {
	case StateRead:
		m.stateRead(ev)
	case OrderReturned:
		m.orderReturned(ev)
	case SlotsListed:
		m.slotsListed(ev)
	case RecordRead:
		m.recordRead(ev)
	case RecordSwapped:
		m.recordSwapped(ev)
	case RosterRead:
		m.rosterRead(ev)
	case LoadWanted:
		m.loadWanted(ev)
	case ReleaseWanted:
		m.releaseWanted(ev)
	case BudgetGranted:
		m.budgetGranted(ev)
	case SettleWanted:
		m.settleWanted(ev)
	case SettleAnswered:
		m.settleAnswered(ev)
	}
}

// advance takes every step that is possible now.
func (m *Machine) advance() {
	m.answerSettle()
	if !m.owner {
		return
	}
	m.advanceTakeover()
	m.advanceRead()
	if m.stage != stageReady {
		m.expireWants()
		return
	}
	m.advanceSettlement()
	m.advanceEffects()
	m.advanceSurplus()
	m.advanceSlotOps()
	m.advanceWants()
	m.advanceIdle()
	m.advanceDrains()
	m.advanceSync()
}

func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) report(kind ReportKind, k fleet.ReplicaKey, text string) {
	m.do(Report{Kind: kind, Key: k, Text: text})
}

// id returns a number that is unique within this machine.
func (m *Machine) id() uint64 {
	m.lastID++
	return m.lastID
}

// fencing tells that the engine refuses orders of former owners.
func (m *Machine) fencing() bool { return m.engine.known && m.engine.state.ChecksFencing }

// leaving tells that nothing new may be loaded on the target.
func (m *Machine) leaving() bool {
	return m.env.Gone || m.env.Target.Leaving || m.engine.state.Leaving
}

// Idle tells that the machine holds nothing and can be forgotten.
func (m *Machine) Idle() bool {
	return !m.owner && len(m.orders.pending) == 0 && len(m.wants) == 0
}

// Owner tells whether the machine may give orders in the given epoch.
func (m *Machine) Owner() bool { return m.owner }

// Ready tells that the takeover is complete.
func (m *Machine) Ready() bool { return m.owner && m.stage == stageReady }

// HasSlots tells that replica slots are bound to the target.
func (m *Machine) HasSlots() bool { return len(m.slots.records) > 0 || m.stage != stageReady }

// Update returns what the other nodes should know of the target.
func (m *Machine) Update(now time.Time) wire.TargetUpdate {
	m.updates++
	u := wire.TargetUpdate{
		Target:      m.env.Target,
		State:       m.published(),
		Owner:       m.self,
		Epoch:       m.epoch,
		Sequence:    m.updates,
		Unreachable: m.env.Gone || !m.engine.known || now.Sub(m.engine.readAt) > m.opts.UnreachableAfter,
		Slots:       m.slots.keys(m.target),
	}
	for k := range m.drains {
		u.Draining = append(u.Draining, k)
	}
	sortKeys(u.Draining)
	return u
}

func (m *Machine) failAllWants(kind fault.Kind, text string) {
	for _, k := range sortedKeys(m.wants) {
		m.failWant(k, kind, text)
	}
}
