package owner

import (
	"context"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/peer"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
	"almondturn/pkg/target"
)

// Engines reads engine states and sends orders; *target.Orders implements it.
type Engines interface {
	State(ctx context.Context, t fleet.Target) (fleet.TargetState, error)
	Order(ctx context.Context, t fleet.Target, o target.Order) (target.OrderResult, error)
}

// Directory is what the node knows of targets.
type Directory interface {
	// Targets returns the targets on the VM list, and false before the
	// first list.
	Targets() ([]fleet.Target, bool)
	// Candidates returns the targets of a zone as their owners reported
	// them; the empty zone means all zones.
	Candidates(zone fleet.Zone) []placement.Candidate
}

// RosterEpoch reads the epoch of a zone's roster from the key-value service.
type RosterEpoch func(ctx context.Context, zone fleet.Zone) (fleet.Epoch, error)

// Deps are what the package needs of the rest of the node.
type Deps struct {
	Self      fleet.Node
	Clock     platform.Clock
	Logger    zerolog.Logger
	View      func() *peer.View
	Catalog   *catalog.Store
	KV        platform.KV
	VMs       platform.VMLister
	Roster    RosterEpoch
	Network   peer.Network
	Router    *peer.Router
	Engines   Engines
	Directory Directory
	KeepAlive KeepAlive
}
