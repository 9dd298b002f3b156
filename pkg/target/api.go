// Package target speaks the protocol of targets: model engines and plain
// services. docs/targets.md describes it for the makers of engines.
package target

import (
	"almondturn/fleet"
)

// Paths of an engine.
const (
	PathState  = "/engine/state"
	PathOrders = "/engine/orders"
	// PathRequests + "/" + request identifier cancels a request by DELETE.
	PathRequests = "/engine/requests"
)

// Headers between almondturn and targets.
const (
	// HeaderRequestID carries the request's identifier; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplica names the replica as fleet.ReplicaKey.String.
	HeaderReplica = "X-Replica"
	// HeaderPriority is the priority class, 0 first.
	HeaderPriority = "X-Priority"
	// HeaderRun is "no" on an answer when the target did not run the request.
	HeaderRun = "X-Run"
	// HeaderResume is the number of stream events that the caller already
	// has; the engine continues behind them for a known request identifier.
	HeaderResume = "Last-Event-ID"
)

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads a replica; done at once when it is loaded.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a replica; refused as busy while requests run on it.
	OrderUnload OrderKind = "unload"
	// OrderFence changes nothing but raises the engine's fencing number.
	OrderFence OrderKind = "fence"
)

// Order is posted to PathOrders. The engine answers when it is done.
type Order struct {
	ID          string           `json:"id"`
	Kind        OrderKind        `json:"kind"`
	Key         fleet.ReplicaKey `json:"key"`
	MemoryBytes int64            `json:"memory_bytes,omitempty"`
	// Epoch and Sequence form the fencing number, compared in this order.
	// Incarnation is the engine's start that the order is meant for. An
	// engine that checks fencing refuses an order for another incarnation
	// or with a number not above the highest it accepted.
	Epoch       fleet.Epoch `json:"epoch"`
	Sequence    uint64      `json:"sequence"`
	Incarnation string      `json:"incarnation"`
}

// OrderStatus is the outcome that an engine reports of an order.
type OrderStatus string

// The outcomes of an order.
const (
	OrderDone OrderStatus = "done"
	// OrderStale: the fencing number or the incarnation was refused; not executed.
	OrderStale OrderStatus = "stale"
	// OrderBusy: requests are running on the replica; not executed.
	OrderBusy OrderStatus = "busy"
	// OrderFailed: the load failed and took no memory.
	OrderFailed OrderStatus = "failed"
)

// OrderResult answers an order, with the state after it.
type OrderResult struct {
	Status  OrderStatus       `json:"status"`
	Message string            `json:"message,omitempty"`
	State   fleet.TargetState `json:"state"`
}
