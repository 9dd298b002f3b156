package scheduler

import (
	"time"

	"almondturn/fleet"
)

// Request asks for a slot at a target that has a model loaded.
type Request struct {
	ID                        string
	Node                      fleet.NodeID
	Service, Model, Adapter   string
	InputTokens, OutputTokens int
	// Customer is the name of the customer, empty if there is none.
	Customer string
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// ObjectiveAt is the time at which the response should have begun. Deadline is
	// when the caller stops waiting.
	ObjectiveAt, Deadline time.Time
	// LatencyObjective is the longest time until the response begins that
	// still meets the route's objective.
	LatencyObjective time.Duration
	// Continues is true for a stream that another target has begun: its latency objective is
	// met or missed already, and its work is done in part.
	Continues bool
	// MaxEventInterval is the longest time allowed between two server-sent events
	// of the response stream, called events in this package; 0 means no limit.
	MaxEventInterval time.Duration
	// Exclude lists the targets to avoid for this request: those at which it has
	// failed, those that refused it after its node had chosen them without an
	// owner, and those that its node does not know.
	Exclude []string
	// Unavailable lists the targets to which the node of this request sends none.
	Unavailable []Unavailability
	// OtherZonesRefused is true if all owners that responded referred the request
	// to another zone, so that it must not be referred again. Owners that did not
	// respond have refused nothing.
	OtherZonesRefused bool
}

// Unavailability says that a node sends no requests to a target.
type Unavailability struct {
	Target string
	// Until is the end of the pause that the target has asked the node for; zero if the
	// target leaves.
	Until time.Time
}

// Ticket identifies a waiting request.
type Ticket uint64

// RunID identifies a granted request. It is unique across the owners of a
// zone.
type RunID uint64

// Reason says why a request is refused.
type Reason uint8

// Reasons of a refusal.
const (
	// TryOtherZone: another zone is likely to serve the request sooner.
	TryOtherZone Reason = iota + 1
	// Overloaded: the request cannot be served in time.
	Overloaded
)

// Outcome says how a run ended.
type Outcome uint8

// Outcomes of a run. The values equal those of wire.RunOutcome.
const (
	Completed Outcome = iota
	// Failed: the target returned an incomplete response or none.
	Failed
	// Unreachable: no connection to the target was established.
	Unreachable
	// NotLoaded: the target does not have the model or the adapter loaded.
	NotLoaded
	// Busy: the target responded that it did not run the request, for a reason
	// other than that of NotLoaded.
	Busy
	// Unused: the attempt ended at the deadline or at the stop of the node. It says
	// nothing about the target.
	Unused
	// NotSent: the request was not sent to the target.
	NotSent
)

// Operation says what an order does.
type Operation uint8

// Operations of an order.
const (
	Load Operation = iota + 1
	Unload
)

// Order instructs a target to load or unload a model, or an adapter of a model.
type Order struct {
	Target    string
	Operation Operation
	Model     string
	Adapter   string
	// Sequence is the number of orders that the target must have accepted
	// before it accepts this one.
	Sequence uint64
	// Source is where the weights are loaded from; zero unless the order loads a
	// model (not an adapter).
	Source Source
}

// OrderResult is the response of a target to an order.
type OrderResult uint8

// Results of an order.
const (
	OrderAccepted OrderResult = iota
	// OrderDone: the target was already in the requested state, or reached it
	// before it responded.
	OrderDone
	// OrderRejected: the target did not accept the order.
	OrderRejected
	// OrderUnknown: the target may have accepted the order, or may still do so.
	OrderUnknown
	// OrderNotSent: no connection to the target was established.
	OrderNotSent
)

// Action is a Grant, Refusal, SendOrder or RequestReport.
type Action any

// Grant allows a waiting request to run at a target.
type Grant struct {
	Ticket Ticket
	Run    RunID
	Target string
	// Waited is the time since Submit.
	Waited time.Duration
	// Running is the number of runs at the target, including this one.
	Running int
	// Probe is true if the run checks whether a load of the model has ended that
	// no report has confirmed yet.
	Probe bool
}

// Refusal ends a waiting request.
type Refusal struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is the time from the refusal after which the client may retry; 0
	// for TryOtherZone.
	RetryAfter time.Duration
	// Waited is the time since Submit.
	Waited   time.Duration
	Estimate RefusalEstimate
}

// RefusalEstimate holds the estimates behind a refusal. Fields that the
// decision did not use are 0.
type RefusalEstimate struct {
	// ExpectedWait is the estimated time until a slot is free.
	ExpectedWait time.Duration
	// ReferralWait is ExpectedWait for a request that is referred to other zones because the
	// replicas are full, where the configuration has customers.
	ReferralWait time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// ReadyReplicas is the number of ready replicas of the model in the zone.
	// LoadingReplicas is 1 if a load of the model is planned or in progress.
	ReadyReplicas, LoadingReplicas int
	// TargetsWithCopy is the number of targets with a local copy of the weights.
	TargetsWithCopy int
	// BacklogRank is the rank of the model among those that wait for a load.
	BacklogRank int
	// LoadCrashes is the number of targets that loads of the model or adapter may have
	// crashed, for which its loads are held.
	LoadCrashes int
}

// SendOrder asks the caller to send an order and to pass its result to
// Scheduler.OrderResultReceived.
type SendOrder struct{ Order Order }

// RequestReport asks the caller to fetch the state of a target and to pass it
// to Scheduler.ReportReceived, or to call Scheduler.ReportFailed.
type RequestReport struct{ Target string }
