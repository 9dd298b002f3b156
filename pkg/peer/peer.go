// Package peer is how the other packages reach other nodes: calls and
// one-way messages by node identifier, and handlers by message type.
package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"almondturn/fleet"
	"almondturn/wire"
)

// Network sends messages to other nodes. A message to the node itself is
// handled in place. The node's mesh of WebSocket connections implements it;
// tests use a Local.
type Network interface {
	// Call sends a request and waits for its answer. The error is of kind
	// fault.TargetUnreachable when the message was certainly not handled,
	// and fault.OutcomeUnknown when it may have been.
	Call(ctx context.Context, to fleet.NodeID, m wire.Message) (wire.Message, error)
	// Send queues a one-way message; it is dropped when the neighbour is
	// not connected or its queue is full.
	Send(to fleet.NodeID, m wire.Message)
	// Broadcast sends a one-way message to all connected nodes of a zone;
	// the empty zone means all zones.
	Broadcast(zone fleet.Zone, m wire.Message)
}

// Handler answers one message type. The answer to a one-way message is dropped.
type Handler func(ctx context.Context, from fleet.Node, m wire.Message) (wire.Message, error)

// ErrNoHandler tells that a message was not handled because the node has no
// handler for its type.
var ErrNoHandler = errors.New("no handler")

// Router maps message types to handlers.
type Router struct {
	mu       sync.RWMutex // guards handlers
	handlers map[wire.Type]Handler
}

// NewRouter returns a router without handlers.
func NewRouter() *Router {
	return &Router{handlers: map[wire.Type]Handler{}}
}

// Handle sets the handler of a message type.
func (r *Router) Handle(t wire.Type, h Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handlers[t] = h
}

// Dispatch runs the handler of the message's type.
func (r *Router) Dispatch(ctx context.Context, from fleet.Node, m wire.Message) (wire.Message, error) {
	r.mu.RLock()
	h := r.handlers[m.Type()]
	r.mu.RUnlock()
	if h == nil {
		return nil, fmt.Errorf("message type %d: %w", m.Type(), ErrNoHandler)
	}
	return h(ctx, from, m)
}

// View is what a node knows of the members. It is immutable.
type View struct {
	Self fleet.Node
	// Epoch and Roster are those of the zone's record in the key-value service.
	Epoch  fleet.Epoch
	Roster []fleet.Node
	// Live are the nodes of all zones heard from recently, without those
	// that are leaving.
	Live []fleet.Node
	// Member is true while this node is in the roster in force.
	Member bool
	// PlatformUp is true while this node reaches the key-value service.
	PlatformUp bool
	// PlatformOlder is true when the service came back older than known.
	PlatformOlder bool
}

// TargetOwner returns the roster member that may order the target.
func (v *View) TargetOwner(t fleet.TargetID) (fleet.NodeID, bool) {
	return fleet.Owner(ids(v.Roster, ""), "target/"+string(t))
}

// Home returns the live node of the zone that queues for the replica.
func (v *View) Home(zone fleet.Zone, k fleet.ReplicaKey) (fleet.NodeID, bool) {
	return fleet.Owner(ids(v.Live, zone), "home/"+k.Base().String())
}

// Homes returns the zone's live nodes in the order in which they take the
// replica's home over.
func (v *View) Homes(zone fleet.Zone, k fleet.ReplicaKey) []fleet.NodeID {
	return fleet.Ranked(ids(v.Live, zone), "home/"+k.Base().String())
}

func ids(nodes []fleet.Node, zone fleet.Zone) []fleet.NodeID {
	out := make([]fleet.NodeID, 0, len(nodes))
	for _, n := range nodes {
		if zone == "" || n.Zone == zone {
			out = append(out, n.ID)
		}
	}
	return out
}
