package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Protocol versions that this build supports.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// MaxMessageBytes is the largest encoded envelope that is sent or accepted.
const MaxMessageBytes = 4 << 20

// Limits of the CBOR decoder, which protect it from malicious or malformed
// input.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 18
)

// Kind says how a receiver treats an envelope.
type Kind uint8

// The kinds of envelope.
const (
	// KindCall requests a response with the same call identifier.
	KindCall Kind = iota + 1
	// KindResponse is the response to a call.
	KindResponse
	// KindOneWay requests no response.
	KindOneWay
	// KindCancel cancels a call: its caller no longer waits for the response.
	KindCancel
	kindEnd // the first invalid kind
)

// Envelope carries one message. Decoders ignore unknown fields, so that later
// versions may add some.
type Envelope struct {
	Version uint16          `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint"`
	Call    uint64          `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// TimeoutMillis is the time in milliseconds for which the caller of a
	// KindCall still waits; 0 for no limit.
	TimeoutMillis int64 `cbor:"6,keyasint,omitempty"`
}

// ErrTooLarge means that an envelope exceeds MaxMessageBytes.
var ErrTooLarge = errors.New("message exceeds the size limit")

// UnknownTypeError means that this build does not support a message type.
type UnknownTypeError struct{ Type Type }

// Error implements error.
func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("unknown message type %d", e.Type)
}

// VersionError means that this build does not support the version of an
// envelope.
type VersionError struct{ Version uint16 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d is not in %d to %d", e.Version, MinVersion, MaxVersion)
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode returns the encoder, whose output is deterministic.
func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecMode returns the decoder with its limits.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded envelope of a message. The error wraps
// ErrTooLarge if it exceeds MaxMessageBytes. call and timeoutMillis are zero
// for kinds without them.
func Encode(kind Kind, call uint64, timeoutMillis int64, m Message) ([]byte, error) {
	payload, err := encMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message type %d: %w", m.Type(), err)
	}
	b, err := encMode.Marshal(&Envelope{
		Version:       MaxVersion,
		Type:          m.Type(),
		Kind:          kind,
		Call:          call,
		Payload:       payload,
		TimeoutMillis: timeoutMillis,
	})
	if err != nil {
		return nil, fmt.Errorf("encode envelope of type %d: %w", m.Type(), err)
	}
	if len(b) > MaxMessageBytes {
		return nil, fmt.Errorf("message type %d has %d bytes: %w", m.Type(), len(b), ErrTooLarge)
	}
	return b, nil
}

// DecodeEnvelope decodes an envelope without its payload and checks its size,
// version and kind. The error wraps ErrTooLarge or is a *VersionError in these
// cases.
func DecodeEnvelope(b []byte) (Envelope, error) {
	var e Envelope
	if len(b) > MaxMessageBytes {
		return e, fmt.Errorf("envelope has %d bytes: %w", len(b), ErrTooLarge)
	}
	if err := decMode.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("decode envelope: %w", err)
	}
	if e.Version < MinVersion || e.Version > MaxVersion {
		return e, &VersionError{Version: e.Version}
	}
	if e.Kind == 0 || e.Kind >= kindEnd {
		return e, fmt.Errorf("envelope kind %d is unknown", e.Kind)
	}
	return e, nil
}

// Message decodes the payload. It returns an *UnknownTypeError for a type that
// constructors does not contain. Numbers that are out of bounds are replaced by the
// bound.
func (e *Envelope) Message() (Message, error) {
	construct := constructors[e.Type]
	if construct == nil {
		return nil, &UnknownTypeError{Type: e.Type}
	}
	m := construct()
	if err := decMode.Unmarshal(e.Payload, m); err != nil {
		return nil, fmt.Errorf("decode message type %d: %w", e.Type, err)
	}
	if b, ok := m.(bounded); ok {
		b.clamp()
	}
	return m, nil
}
