// Package entry is an entry node on the platform: it takes requests from
// clients, finds a target for each, and passes the answer on. The owner of
// the node's availability zone, which may be this node, gives the places at
// model engines; plain services are chosen from directly.
package entry

import (
	"net/http"
	"time"

	"almondturn/fleet"
)

// Settings are what a node learns at its start.
type Settings struct {
	Node fleet.NodeID
	Zone fleet.Zone
	// ClientsAddr, ReadinessAddr and InnerAddr are the addresses to listen
	// on for clients, the balancer's questions and other nodes.
	ClientsAddr, ReadinessAddr, InnerAddr string
	// StoreAddr is the address of the platform's key-value service.
	StoreAddr string
	// Seeds are inner addresses of some nodes; they may be stale.
	Seeds []string
	Zones []fleet.Zone
	Bounds
	// Strength is the share of a processor core that the process may use.
	Strength float64
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64
}

// Bounds are the figures that the operators ask for.
type Bounds struct {
	// DrainTime is the time after which a leaving target gets no requests.
	DrainTime time.Duration
	// ShutdownTime is the time between the signal to stop and the kill.
	ShutdownTime time.Duration
	// ConfigApplyTime is the time in which a configuration is to be in force.
	ConfigApplyTime time.Duration
	// RetryRatio and RetrySlack bound the repeated sends to a service within
	// RetryWindow, over all nodes: a share of the requests, and a number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// OrderHolderPause is the least time between orders of two nodes to one
	// target.
	OrderHolderPause time.Duration
	// MinLeaseTime is the shortest lease that the key-value service grants.
	MinLeaseTime time.Duration
}

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	ID                           string
	Model, Adapter               string
	InputTokens, MaxOutputTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Deadline is how long the client waits; 0 when it does not say.
	Deadline time.Duration
	// LastEvent is the event after which a stream goes on, empty for a new one.
	LastEvent string
}

// Outgoing is what the node adds to a request to a target.
type Outgoing struct {
	Target    string
	TimeLeft  time.Duration
	LastEvent string
}

// AnswerInfo is what a target says of its answer.
type AnswerInfo struct {
	RequestID string
	// Signed tells that the answer bears a target's signature.
	Signed bool
	// NotExecuted tells that the target did not run the request.
	NotExecuted             bool
	Running, Waiting, Slots int
}

// Protocol reads and writes the headers that the platform defines.
type Protocol interface {
	Request(h http.Header) RequestInfo
	// Outgoing returns the header of a request to a target: what the client
	// sent, without what only the system sets.
	Outgoing(in http.Header, o Outgoing) http.Header
	Answer(h http.Header) AnswerInfo
	// Returned copies a target's header into an answer to a client.
	Returned(in, out http.Header)
}
