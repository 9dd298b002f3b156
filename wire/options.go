package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"almondturn/fleet"
)

// Options are the limits and intervals of one connection.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats in each direction.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" validate:"gt=0"`
	// SilenceTimeout is the time without any message after which a connection
	// is closed. It is also the timeout of each write.
	SilenceTimeout time.Duration `yaml:"silence_timeout" validate:"gtfield=HeartbeatInterval"`
	// HandshakeTimeout bounds dialing and authentication.
	HandshakeTimeout time.Duration `yaml:"handshake_timeout" validate:"gt=0"`
	// SendQueue is the number of messages that may wait to be written.
	SendQueue int `yaml:"send_queue" validate:"gt=0"`
	// SendQueueBytes is the number of bytes that may wait to be written.
	SendQueueBytes int64 `yaml:"send_queue_bytes" validate:"gt=0"`
	// ReceiveQueue is the number of one-way messages that may wait for their
	// handler; more are dropped.
	ReceiveQueue int `yaml:"receive_queue" validate:"gt=0"`
	// ConcurrentCalls is the number of calls of one peer that are handled
	// concurrently; more are refused with CodeOverloaded.
	ConcurrentCalls int `yaml:"concurrent_calls" validate:"gt=0"`
}

// DefaultOptions returns the default options of a node.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval: time.Second,
		SilenceTimeout:    4 * time.Second,
		HandshakeTimeout:  2 * time.Second,
		SendQueue:         512,
		SendQueueBytes:    16 << 20,
		ReceiveQueue:      512,
		ConcurrentCalls:   4096,
	}
}

// Handler returns the response to a message; nil stands for an Ack. One-way
// messages are handled one at a time in the order of their arrival, and the
// result is ignored; calls are handled concurrently. ctx ends with the
// connection, and for a call also when the caller no longer waits.
type Handler func(ctx context.Context, from fleet.Node, m Message) Message

// Config holds the settings and dependencies of a connection.
type Config struct {
	Options Options
	Self    fleet.Node
	// Secret is the shared secret by which both ends authenticate each other.
	Secret  []byte
	Handler Handler
	// LateResponse receives the responses for which no call waits any more: their calls
	// were canceled when they were on their way. It must not block; nil ignores them.
	LateResponse func(m Message)
	// Heartbeat returns the encoded envelope to send at each interval; nil for
	// none.
	Heartbeat func() []byte
	// Stats counts over all connections of the node; it may be nil.
	Stats *Stats
}

// Stats counts the traffic of connections.
type Stats struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
	// SentFrames counts the frames written. A frame is one encoded envelope.
	SentFrames atomic.Uint64
	// DroppedSends counts the one-way messages, cancellations and refusals of
	// calls that were not queued because the send queue was full or the
	// connection had ended. DroppedReceives counts the one-way messages that
	// were dropped because the receive queue was full.
	DroppedSends    atomic.Uint64
	DroppedReceives atomic.Uint64
	// LateResponses counts responses for which no call waited.
	LateResponses atomic.Uint64
}

// Errors of connections.
var (
	// ErrNotSent means that a call was certainly not sent to the peer.
	ErrNotSent = errors.New("message was not sent")
	// ErrOutcomeUnknown means that a call left the send queue, so that the
	// peer may have handled it, and that no valid response was received.
	ErrOutcomeUnknown = errors.New("message was sent and not answered")
	// ErrPeerUnresponsive is the cause of closing a connection on which no
	// message was received for SilenceTimeout.
	ErrPeerUnresponsive = errors.New("connection is silent")
	// ErrClosed means that this end closed the connection.
	ErrClosed = errors.New("connection closed")
)

// Codes of an Error by which the connection refuses a call. The call was not
// handled.
const (
	CodeUnknownType = "unknown_type"
	CodeOverloaded  = "overloaded"
)

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }
