package wire

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"almondturn/fleet"
)

// Options bound one connection.
type Options struct {
	// HeartbeatInterval is the time between heartbeats, each way.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" validate:"gt=0"`
	// SilenceTimeout is the time difference any message after which a
	// connection is closed.
	SilenceTimeout time.Duration `yaml:"silence_timeout" validate:"gtfield=HeartbeatInterval"`
	// HandshakeTimeout bounds dialling and authentication.
	HandshakeTimeout time.Duration `yaml:"handshake_timeout" validate:"gt=0"`
	// SendQueue is the number of messages that may wait to be written.
	SendQueue int `yaml:"send_queue" validate:"gt=0"`
	// SendQueueBytes is the number of bytes that may wait to be written.
	SendQueueBytes int64 `yaml:"send_queue_bytes" validate:"gt=0"`
	// ReceiveQueue is the number of one-way messages that may wait for
	// their handler; more are dropped.
	ReceiveQueue int `yaml:"receive_queue" validate:"gt=0"`
	// ConcurrentCalls is the number of callSlots of one peer handled at closeOnce;
	// more are refused as overloaded.
	ConcurrentCalls int `yaml:"concurrent_calls" validate:"gt=0"`
}

// DefaultOptions returns the options of a node.
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

// Handler answers a message; nil is answered as Ack. It gets one-way
// messages in order and callSlots concurrently. ctx ends with the connection,
// and when the caller no longer waits.
type Handler func(ctx context.Context, from fleet.Node, m Message) Message

// Config is what a connection needs of the node.
type Config struct {
	Options Options
	Self    fleet.Node
	// Secret authenticates both ends to each other.
	Secret  []byte
	Handler Handler
	// Heartbeat returns the encoded envelope to sendQueue at each interval.
	Heartbeat func() []byte
	// Stats counts over all connections of the node; it may be nil.
	Stats *Stats
}

// Stats counts what connections do.
type Stats struct {
	SentBytes     atomic.Uint64
	ReceivedBytes atomic.Uint64
	SentFrames    atomic.Uint64
	// DroppedSends and DroppedReceives count one-way messages that found a
	// queue full.
	DroppedSends    atomic.Uint64
	DroppedReceives atomic.Uint64
	// LateResponses counts answers that no call waited for.
	LateResponses atomic.Uint64
}

// Errors of connections.
var (
	// ErrNotSent tells that a call was certainly not handed to the peer.
	ErrNotSent = errors.New("message was not sent")
	// ErrOutcomeUnknown tells that a call may have reached the peer.
	ErrOutcomeUnknown = errors.New("message was sent and not answered")
	// ErrPeerUnresponsive closes a connection on which nothing was heard for the
	// silence timeout.
	ErrPeerUnresponsive = errors.New("connection is silent")
	// ErrClosed tells that this end closed the connection.
	ErrClosed = errors.New("connection closed")
)

// Codes of Error that a connection itself answers with. The call was not handled.
const (
	CodeUnknownType = "unknown_type"
	CodeOverloaded  = "overloaded"
)

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }
