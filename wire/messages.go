package wire

// Type is the number of a message type. Numbers are never reused.
type Type uint16

// The message types of every connection. The table constructors in types.go
// maps each type to its Go type; zone.go has the other types.
const (
	TypeError Type = iota + 1
	TypeHeartbeat
)

// TypeAck is the number of Ack. The numbers between belonged to message types
// that were removed.
const TypeAck Type = 21

// Message is a typed message between nodes.
type Message interface {
	// Type returns the number of the message's type.
	Type() Type
}

// Error is the response to a call that failed. Code is CodeUnknownType,
// CodeOverloaded, or "internal" if the call was handled but its response could
// not be encoded.
type Error struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Ack is the response to a call whose response has no content.
type Ack struct{}

// Heartbeat is sent on every connection at a fixed interval. Keys 1 to 3 and 5
// to 9 belonged to removed fields.
type Heartbeat struct {
	// Leaving announces a graceful shutdown of the sender. It is sent in one
	// message, outside the interval; the periodic heartbeats do not have it.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Type implements Message.
func (*Error) Type() Type { return TypeError }

// Type implements Message.
func (*Ack) Type() Type { return TypeAck }

// Type implements Message.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
