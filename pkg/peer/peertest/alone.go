// Package peertest holds networks for tests.
package peertest

import (
	"context"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// Alone is a network on which no other node can be reached.
type Alone struct{}

// Call implements peer.Network.
func (Alone) Call(_ context.Context, to fleet.NodeID, _ wire.Message) (wire.Message, error) {
	return nil, fault.New(fault.TargetUnreachable, "node %q is not connected", to)
}

// Send implements peer.Network.
func (Alone) Send(fleet.NodeID, wire.Message) {}

// Broadcast implements peer.Network.
func (Alone) Broadcast(fleet.Zone, wire.Message) {}
