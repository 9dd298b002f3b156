// Package intake bounds what clients make a node hold: the bodies of requests that are
// under way, the heads of requests that are being received, and connections.
package intake

import "time"

// Shares of the memory and of the descriptors of a node.
const (
	// bodyShare is the share of the memory that the bodies of requests may hold together.
	bodyShare = 1.0 / 6
	// headShare is the share of the memory that incomplete heads may hold together.
	headShare = 1.0 / 16
	// fileDescriptors is the number of descriptors that are not for sockets, half of all at
	// most.
	fileDescriptors = 200
	// clientShare is the share of the sockets that clients' connections may have. Each request
	// may need a connection to a target, too; the rest is for other nodes and the key-value service.
	clientShare = 0.45
)

// Limits are the bounds of one node. A bound of 0 is none, except for BacklogBytes.
type Limits struct {
	// BodyBytes bounds what the bodies of requests hold together, HeadBytes what incomplete
	// heads hold together.
	BodyBytes, HeadBytes int64
	// BacklogBytes bounds what is read of responses ahead of clients that read slowly; with 0,
	// nothing is.
	BacklogBytes int64
	// Conns bounds the connections of clients, ConnsPerAddress those of one address.
	Conns, ConnsPerAddress int
}

// NewLimits returns the limits of a node with the memory in bytes and the number of
// descriptors, 0 if that is not known. perAddress bounds the connections of one
// address; 0 for the bound of all connections.
func NewLimits(memory float64, descriptors, perAddress int) Limits {
	l := Limits{BodyBytes: int64(bodyShare * memory), HeadBytes: int64(headShare * memory), BacklogBytes: int64(backlogShare * memory), ConnsPerAddress: perAddress}
	if descriptors > 0 {
		l.Conns = max(int(clientShare*float64(descriptors-min(fileDescriptors, descriptors/2))), 1)
	}
	return l
}

// Times after which the bodies and connections of clients are ended.
const (
	// maxStall is how long a body may make no progress, maxBodyTime how long it may take.
	maxStall    = 10 * time.Second
	maxBodyTime = time.Minute
	// minEvictStall is how long a connection or a body must have been stalled before it is
	// ended to make room. Sound clients send a request without such pauses.
	minEvictStall = time.Second
)

// Reason is the limit at which a client was refused or its connection was closed: the label
// limit of the metrics.
type Reason string

// The reasons.
const (
	// BodyMemory: bodies hold as much memory as they may.
	BodyMemory Reason = "body_memory"
	// BodyStalled: a body has made no progress, or has taken too long.
	BodyStalled Reason = "body_stalled"
	// HeadBytes: a head, or the empty lines before it, is too long.
	HeadBytes Reason = "head_bytes"
	// HeadTime: a head was not complete in time.
	HeadTime Reason = "head_time"
	// HeadMemory: incomplete heads hold as much memory as they may.
	HeadMemory Reason = "head_memory"
	// SlowReader: a client does not read its response, or reads it too slowly.
	SlowReader Reason = "slow_reader"
	// Connections: clients have as many connections as they may.
	Connections Reason = "connections"
	// AddressConnections: one address has as many connections as it may.
	AddressConnections Reason = "address_connections"
)
