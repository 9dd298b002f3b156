package wire

import "almondturn/fleet"

// Further message types of the request path, numbered from 500.
const (
	TypeGrantEnd Type = iota + 500
	TypeCongested
	TypeScaleOut
)

// GrantEnd tells a model home that a granted request has ended, or that a
// waiting one is given up.
type GrantEnd struct {
	RequestID string           `cbor:"1,keyasint"`
	Key       fleet.ReplicaKey `cbor:"2,keyasint"`
	// ServiceMillis is the time that the target took; 0 when it did not
	// complete the request.
	ServiceMillis int64 `cbor:"3,keyasint,omitempty"`
}

// Type implements Message.
func (*GrantEnd) Type() Type { return TypeGrantEnd }

// Congested is sent by a model home to the nodes of its zone while requests
// wait for a replica: they ask the home for each place, so that those that
// wait go first.
type Congested struct {
	Key fleet.ReplicaKey `cbor:"1,keyasint"`
	// ValidMillis is how long it holds unless it is sent again.
	ValidMillis int64 `cbor:"2,keyasint"`
}

// Type implements Message.
func (*Congested) Type() Type { return TypeCongested }

// ScaleOut asks a model home of another zone for a replica there, because
// the sender's zone has no room for one more. The load goes on after the
// answer.
type ScaleOut struct {
	Key fleet.ReplicaKey `cbor:"1,keyasint"`
}

// Type implements Message.
func (*ScaleOut) Type() Type { return TypeScaleOut }
