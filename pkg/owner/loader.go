// Package owner runs the target owner: the one node of a zone that may give
// orders to a target, keeps its memory ledger and binds its replica slots.
package owner

import (
	"context"

	"almondturn/fleet"
)

// Loader gets one more replica loaded, in this node's zone if possible.
type Loader interface {
	// Load returns the target on which the replica is loaded now. prefetch
	// marks a load that no request waits for. The error is of kind
	// fault.NoCapacity when limits or memory forbid the load,
	// fault.PlatformUnavailable when it needs a slot during an outage,
	// fault.NoReplica when loading failed, and fault.TargetUnreachable when
	// the target's owner changes or does not answer, which passes.
	Load(ctx context.Context, key fleet.ReplicaKey, prefetch bool) (fleet.TargetID, error)
}
