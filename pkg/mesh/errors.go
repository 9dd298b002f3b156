package mesh

import (
	"errors"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// codeNotHandled tells a caller that its message found no handler.
const codeNotHandled = "not_handled"

// kinds maps the codes of fault kinds back to the kinds.
var kinds = func() map[string]fault.Kind {
	out := map[string]fault.Kind{}
	for _, k := range fault.Kinds() {
		out[k.String()] = k
	}
	return out
}()

// asMessage returns the answer that tells a caller of a handler's error.
func asMessage(err error) *wire.Error {
	if errors.Is(err, peer.ErrNoHandler) {
		return &wire.Error{Code: codeNotHandled, Message: err.Error()}
	}
	fe := fault.As(err)
	return &wire.Error{Code: fe.Kind.String(), Message: fe.Message}
}

// asFault turns the error of a call into one of a fault kind.
func asFault(to fleet.NodeID, err error) error {
	var answered *wire.Error
	if errors.As(err, &answered) {
		return answeredFault(to, answered)
	}
	if errors.Is(err, wire.ErrNotSent) {
		return fault.New(fault.TargetUnreachable, "node %q: %w", to, err)
	}
	return fault.New(fault.OutcomeUnknown, "node %q: %w", to, err)
}

func answeredFault(to fleet.NodeID, e *wire.Error) error {
	switch e.Code {
	case codeNotHandled, wire.CodeUnknownType:
		return fault.New(fault.TargetUnreachable, "node %q did not handle the message: %s", to, e.Message)
	case wire.CodeOverloaded:
		return fault.New(fault.Overloaded, "node %q: %s", to, e.Message)
	}
	kind, ok := kinds[e.Code]
	if !ok {
		return fault.New(fault.OutcomeUnknown, "node %q answered with the unknown code %q: %s", to, e.Code, e.Message)
	}
	return &fault.Error{Kind: kind, Message: e.Message}
}
