package owner

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
	"almondturn/pkg/target"
	"almondturn/wire"
)

// Env is what a Machine knows of its surroundings when it handles an event.
type Env struct {
	Now time.Time
	// Epoch is the zone's roster epoch, and Owner whether this node owns
	// the target in it.
	Epoch fleet.Epoch
	Owner bool
	// PreviousOwner owned the target at PreviousEpoch; both are zero when
	// this node did not see that roster.
	PreviousOwner fleet.NodeID
	PreviousEpoch fleet.Epoch
	// EntryNodes are the zone's entry VMs by the VM list and the members
	// seen; EntryKnown is false while no list has been read.
	EntryNodes []fleet.NodeID
	EntryKnown bool
	// Platform is true while slots may be changed: the key-value service is
	// reachable and not older than known.
	Platform bool
	// Older is true while the service holds an older state than known.
	Older   bool
	Catalog *catalog.Snapshot
	Target  fleet.Target
	// Gone is true once the VM list no longer has the target.
	Gone bool
	// Stopping is set during a graceful shutdown of this node.
	Stopping bool
}

// Event is something that a Machine reacts to.
type Event interface{ event() }

// Action is something that a Machine wants done; its outcome comes back as
// an event.
type Action interface{ action() }

// OrderOutcome tells what is known of an order after its call returned.
type OrderOutcome uint8

// The outcomes of an order's call.
const (
	// OrderAnswered: the engine answered; see the result.
	OrderAnswered OrderOutcome = iota + 1
	// OrderNotSent: the order certainly never reached the engine.
	OrderNotSent
	// OrderUnknown: the order may take effect, now or later.
	OrderUnknown
)

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// StateRead is the answer to ReadState.
	StateRead struct {
		State fleet.TargetState
		Err   error
	}
	// OrderReturned tells that an order's call has returned. Nothing of the
	// order is sent after that.
	OrderReturned struct {
		ID      string
		Outcome OrderOutcome
		Result  target.OrderResult
	}
	// SlotsListed is the answer to ListSlots.
	SlotsListed struct {
		Op      uint64
		Records map[string]StoredRecord
		Err     error
	}
	// RecordRead is the answer to ReadRecord; a record that does not exist
	// has revision 0.
	RecordRead struct {
		Op     uint64
		Stored StoredRecord
		Err    error
	}
	// RecordSwapped is the answer to SwapRecord.
	RecordSwapped struct {
		Op       uint64
		Revision platform.Revision
		Err      error
	}
	// RosterRead is the answer to ReadRoster.
	RosterRead struct {
		Op    uint64
		Epoch fleet.Epoch
		Err   error
	}
	// LoadWanted asks for a loaded replica.
	LoadWanted struct {
		Key      fleet.ReplicaKey
		Prefetch bool
	}
	// ReleaseWanted asks for the release of a slot that is not loaded.
	ReleaseWanted struct{ Key fleet.ReplicaKey }
	// BudgetGranted is the answer to AskBudget.
	BudgetGranted struct {
		Key    fleet.ReplicaKey
		Budget wire.BudgetKind
	}
	// SettleWanted asks the machine to give the target up to a later epoch.
	SettleWanted struct{ Epoch fleet.Epoch }
	// SettleAnswered is the answer to AskSettle.
	SettleAnswered struct {
		Node    fleet.NodeID
		Settled *wire.Settled
		Err     error
	}
)

// StoredRecord is a slot record with its revision.
type StoredRecord struct {
	Record   placement.Record
	Revision platform.Revision
	// catalog is the catalog revision that was in force when the read began.
	catalog uint64
	// peak is the highest limit by version in force here since then.
	peak map[string]int
}

// Actions.
type (
	// ReadState reads the engine's reported state.
	ReadState struct{}
	// SendOrder sends an order to the engine.
	SendOrder struct {
		Order   target.Order
		Timeout time.Duration
	}
	// CancelOrders ends the calls of all orders that have not returned.
	CancelOrders struct{}
	// ListSlots reads all slot records that name the target.
	ListSlots struct{ Op uint64 }
	// ReadRecord reads one slot record.
	ReadRecord struct {
		Op    uint64
		Group string
	}
	// SwapRecord writes one slot record by compare-and-swap.
	SwapRecord struct {
		Op     uint64
		Group  string
		Record placement.Record
		Expect platform.Revision
	}
	// ReadRoster reads the zone's roster epoch from the key-value service.
	ReadRoster struct{ Op uint64 }
	// AskBudget asks for leave to load; ReturnBudget gives it back.
	AskBudget struct {
		Key      fleet.ReplicaKey
		Budget   wire.BudgetKind
		Prefetch bool
	}
	// ReturnBudget tells that a budgeted load has ended.
	ReturnBudget struct{ Budget wire.BudgetKind }
	// AskSettle asks a node to give up the target.
	AskSettle struct {
		Node  fleet.NodeID
		Epoch fleet.Epoch
	}
	// AnswerLoad answers all who wait for the replica; Err is nil when it
	// is loaded.
	AnswerLoad struct {
		Key fleet.ReplicaKey
		Err *fault.Error
	}
	// AnswerRelease answers ReleaseWanted.
	AnswerRelease struct {
		Key  fleet.ReplicaKey
		Done bool
	}
	// AnswerSettle answers SettleWanted.
	AnswerSettle struct{ Settled wire.Settled }
	// Report is a change worth logging.
	Report struct {
		Kind ReportKind
		Key  fleet.ReplicaKey
		Text string
	}
)

// ReportKind names a reported change.
type ReportKind uint8

// The reported changes.
const (
	ReportTakenOver ReportKind = iota + 1
	ReportSettled
	ReportLost
	ReportLoaded
	ReportLoadFailed
	ReportOrderUnknown
	ReportSlotReleased
	ReportNoSlot
	ReportRestarted
)

func (Tick) event()           {}
func (StateRead) event()      {}
func (OrderReturned) event()  {}
func (SlotsListed) event()    {}
func (RecordRead) event()     {}
func (RecordSwapped) event()  {}
func (RosterRead) event()     {}
func (LoadWanted) event()     {}
func (ReleaseWanted) event()  {}
func (BudgetGranted) event()  {}
func (SettleWanted) event()   {}
func (SettleAnswered) event() {}

func (ReadState) action()     {}
func (SendOrder) action()     {}
func (CancelOrders) action()  {}
func (ListSlots) action()     {}
func (ReadRecord) action()    {}
func (SwapRecord) action()    {}
func (ReadRoster) action()    {}
func (AskBudget) action()     {}
func (ReturnBudget) action()  {}
func (AskSettle) action()     {}
func (AnswerLoad) action()    {}
func (AnswerRelease) action() {}
func (AnswerSettle) action()  {}
func (Report) action()        {}
