package scheduler

import (
	"time"

	"almondturn/fleet"
)

// Request asks for a place at a target that has a model loaded.
type Request struct {
	ID                        string
	Node                      fleet.NodeID
	Service, Model, Adapter   string
	InputTokens, OutputTokens int
	// Priority is the route's rank, 0 is the most urgent.
	Priority int
	// Objective is when the answer should begin, Deadline when the caller
	// no longer waits.
	Objective, Deadline time.Time
	// LatencyObjective is the latency objective as a duration.
	LatencyObjective time.Duration
	// MaxEventInterval is the longest pause between two events of the answer that is
	// still on time, 0 for none.
	MaxEventInterval time.Duration
	// Exclude lists targets that failed this request before.
	Exclude []string
	// LastResort tells that no other zone takes the request.
	LastResort bool
}

// Ticket identifies a request that waits.
type Ticket uint64

// RunID identifies a granted request.
type RunID uint64

// Reason tells why a request is refused.
type Reason uint8

// The reasons of a refusal.
const (
	// TryOtherZone: another zone is likely to serve the request sooner.
	TryOtherZone Reason = iota + 1
	// Overloaded: the request cannot be served in time.
	Overloaded
)

// Outcome tells how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Completed Outcome = iota
	// Failed: the target broke off or gave no whole answer.
	Failed
	// Unreachable: no connection to the target was established.
	Unreachable
	// NotLoaded: the target does not have the model or the adapter.
	NotLoaded
	// Busy: the target refused the request as full.
	Busy
	// Unused: the grant was not used.
	Unused
)

// Operation is what an order does.
type Operation uint8

// The operations of an order.
const (
	Load Operation = iota + 1
	Unload
)

// Order tells a target to load or unload a model, or an adapter of a model.
type Order struct {
	Target    string
	Operation Operation
	Model     string
	Adapter   string
	// Sequence is the number of orders that the target must have accepted
	// before this one.
	Sequence uint64
	// Source is where the weights come from.
	Source Source
}

// OrderResult is a target's answer to an order.
type OrderResult uint8

// The answers to an order.
const (
	OrderAccepted OrderResult = iota
	// OrderDone: what the order asks for holds already.
	OrderDone
	// OrderRejected: nothing was done.
	OrderRejected
	// OrderUnknown: the order may have been accepted, or may be later.
	OrderUnknown
)

// Action is one of Grant, Refusal, SendOrder and RequestReport.
type Action any

// Grant lets a waiting request run at a target.
type Grant struct {
	Ticket Ticket
	Run    RunID
	Target string
	// Waited is the time since Submit.
	Waited time.Duration
	// Running is the number of runs at the target, with this one.
	Running int
	// Probe tells that no report has confirmed the load yet.
	Probe bool
}

// Refusal ends a waiting request.
type Refusal struct {
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	Estimate   RefusalEstimate
}

// RefusalEstimate is what a refusal was decided on.
type RefusalEstimate struct {
	// ExpectedWait is the estimated time until a place is free; 0 when none was made.
	ExpectedWait time.Duration
	// TimeLeft is the time until the latest useful start.
	TimeLeft time.Duration
	// ReadyReplicas and LoadingReplicas are the replicas of the model in the zone.
	ReadyReplicas, LoadingReplicas int
	// TargetsWithCopy is the number of targets with a copy of the weights.
	TargetsWithCopy int
	// BacklogRank is the rank of the model among those that wait for a load.
	BacklogRank int
}

// SendOrder has an order sent; its result goes to OrderAnswered.
type SendOrder struct{ Order Order }

// RequestReport has a target asked for its state, which goes to ReportReceived.
type RequestReport struct{ Target string }
