package wire

import "almondturn/fleet"

// The message types of membership, numbered apart from those in messages.go.
const (
	TypeRosterFetch Type = iota + 200
	TypeRosterUpdate
	TypePeerList
	TypeAcknowledge
	TypeTargetRefresh
	TypeTargetFetch
	TypeTargetUpdates
)

// Roster is the record of one availability zone in the key-value service:
// the members that may own the zone's targets. Each change raises Epoch.
type Roster struct {
	Zone  fleet.Zone  `cbor:"1,keyasint"`
	Epoch fleet.Epoch `cbor:"2,keyasint"`
	// WriteID is unique per write, so that a writer whose answer was lost
	// can tell its own write.
	WriteID string       `cbor:"3,keyasint"`
	Members []fleet.Node `cbor:"4,keyasint"`
	// Revision is the record's revision in the key-value service; it is not
	// stored, but told between nodes.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Generation is that of Heartbeat.Generation at the time of reading.
	Generation uint64 `cbor:"6,keyasint,omitempty"`
}

// RosterFetch asks a node for the rosters it knows.
type RosterFetch struct{}

// RosterUpdate answers RosterFetch; it is also sent unasked to spread a change.
type RosterUpdate struct {
	Rosters []Roster `cbor:"1,keyasint"`
}

// PeerList tells a newly connected node of the nodes that the sender knows.
type PeerList struct {
	Nodes []fleet.Node `cbor:"1,keyasint"`
}

// Acknowledge spreads an operator's decision to go on with a key-value
// service that came back older than known.
type Acknowledge struct {
	Generation uint64 `cbor:"1,keyasint"`
	Revision   uint64 `cbor:"2,keyasint"`
}

// TargetReport names the last update that an owner has broadcast of a target.
type TargetReport struct {
	Target   fleet.TargetID `cbor:"1,keyasint"`
	Epoch    fleet.Epoch    `cbor:"2,keyasint"`
	Sequence uint64         `cbor:"3,keyasint"`
}

// TargetRefresh tells regularly that the sender still reports on its targets
// and that the named updates are its last ones.
type TargetRefresh struct {
	Reports []TargetReport `cbor:"1,keyasint"`
}

// TargetFetch asks an owner for updates that the sender has missed.
type TargetFetch struct {
	Targets []fleet.TargetID `cbor:"1,keyasint"`
}

// TargetUpdates answers TargetFetch.
type TargetUpdates struct {
	Updates []TargetUpdate `cbor:"1,keyasint"`
}

// Type implements Message.
func (*TargetRefresh) Type() Type { return TypeTargetRefresh }

// Type implements Message.
func (*TargetFetch) Type() Type { return TypeTargetFetch }

// Type implements Message.
func (*TargetUpdates) Type() Type { return TypeTargetUpdates }

// Type implements Message.
func (*RosterFetch) Type() Type { return TypeRosterFetch }

// Type implements Message.
func (*RosterUpdate) Type() Type { return TypeRosterUpdate }

// Type implements Message.
func (*PeerList) Type() Type { return TypePeerList }

// Type implements Message.
func (*Acknowledge) Type() Type { return TypeAcknowledge }
