package wire

// Type numbers a message type. Numbers are never reused.
type Type uint16

// The message types of every connection. The constructors in types.go maps each type
// to its Go type; zone.go has the others.
const (
	TypeError Type = iota + 1
	TypeHeartbeat
)

// TypeAck numbers Ack. The numbers between belonged to messages that are gone.
const TypeAck Type = 21

// Message is one typed message between nodes.
type Message interface {
	// Type returns the message's number.
	Type() Type
}

// Error answers a call that failed; Code is a fault kind's code.
type Error struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
}

// Ack answers a call that has nothing to tell.
type Ack struct{}

// Heartbeat is sent on every connection at a fixed interval.
type Heartbeat struct {
	// Leaving is set during a graceful shutdown.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Type implements Message.
func (*Error) Type() Type { return TypeError }

// Type implements Message.
func (*Ack) Type() Type { return TypeAck }

// Type implements Message.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
