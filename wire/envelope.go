package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Protocol versions that this build speaks.
const (
	MinVersion uint16 = 1
	MaxVersion uint16 = 1
)

// MaxMessageBytes is the largest encoded envelope that is sent or accepted.
const MaxMessageBytes = 4 << 20

// Limits of the CBOR decoder, against hostile or broken input.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 18
	maxMapPairs      = 1 << 18
)

// Kind tells how an envelope is to be treated.
type Kind uint8

// The kinds of envelope.
const (
	// KindCall asks for an answer with the same call identifier.
	KindCall Kind = iota + 1
	// KindResponse answers a call.
	KindResponse
	// KindOneWay wants no answer.
	KindOneWay
	// KindCancel tells that the caller no longer waits for an answer.
	KindCancel
	kindEnd
)

// Envelope carries one message. Unknown fields are ignored, so that later
// versions may add some.
type Envelope struct {
	Version uint16          `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	Kind    Kind            `cbor:"3,keyasint"`
	Call    uint64          `cbor:"4,keyasint,omitempty"`
	Payload cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	// TimeoutMillis is the time that the caller of KindCall still waits; 0
	// for no bound.
	TimeoutMillis int64 `cbor:"6,keyasint,omitempty"`
}

// ErrTooLarge tells that an envelope exceeds MaxMessageBytes.
var ErrTooLarge = errors.New("message exceeds the size limit")

// UnknownTypeError tells that this build does not know a message type.
type UnknownTypeError struct{ Type Type }

// Error implements error.
func (e *UnknownTypeError) Error() string {
	return fmt.Sprintf("unknown message type %d", e.Type)
}

// VersionError tells that an envelope has a version out of range.
type VersionError struct{ Version uint16 }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("protocol version %d is not in %d to %d", e.Version, MinVersion, MaxVersion)
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

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

// Encode returns the envelope of a message.
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

// DecodeEnvelope reads an envelope difference its payload's meaning.
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

// Message decodes the payload. It returns an *UnknownTypeError for a type
// that is not in the constructors.
func (e *Envelope) Message() (Message, error) {
	construct := constructors[e.Type]
	if construct == nil {
		return nil, &UnknownTypeError{Type: e.Type}
	}
	m := construct()
	if err := decMode.Unmarshal(e.Payload, m); err != nil {
		return nil, fmt.Errorf("decode message type %d: %w", e.Type, err)
	}
	return m, nil
}
