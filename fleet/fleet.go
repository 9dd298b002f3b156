// Package fleet defines the identifiers and value types that the other
// packages share: availability zones, nodes, customers, services, replica keys
// and kinds of target. It also has DialFunc and the weight function of rendezvous
// hashing.
package fleet

import (
	"fmt"
	"strings"
)

// Zone is the name of an availability zone.
type Zone string

// NodeID identifies a node. It stays the same across restarts of the node's
// VM; Node.Incarnation distinguishes the starts of its process.
type NodeID string

// Team is the name of a customer, which owns one subtree of the settings. The
// settings and their interfaces call customers teams.
type Team string

// Service is the name of a service of a customer. It is unique across
// customers.
type Service string

// Node describes an entry node, or node for short: an almondturn process that
// accepts clients' requests. The VM that it runs on is called an entry VM.
type Node struct {
	ID   NodeID `cbor:"1,keyasint" json:"id"`
	Zone Zone   `cbor:"2,keyasint" json:"zone"`
	// Incarnation is unique for each process start. The incarnations of one
	// node are in the order of its starts, as are UUIDs of version 7.
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	// Addr is the host:port of the listener for connections between nodes.
	Addr string `cbor:"4,keyasint" json:"addr"`
}

// ReplicaKey identifies what a replica has loaded: a model version for one
// service, or an adapter on top of such a model version. All replicas that have
// loaded the same share one key.
type ReplicaKey struct {
	Service Service `cbor:"1,keyasint" json:"service"`
	Model   string  `cbor:"2,keyasint" json:"model"`
	Version string  `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Adapter is empty for the base model.
	Adapter string `cbor:"4,keyasint,omitempty" json:"adapter,omitempty"`
}

// String returns the key in the form service/model[@version][+adapter], which
// ParseReplicaKey parses.
func (k ReplicaKey) String() string {
	var b strings.Builder
	b.WriteString(string(k.Service))
	b.WriteByte('/')
	b.WriteString(k.Model)
	if k.Version != "" {
		b.WriteByte('@')
		b.WriteString(k.Version)
	}
	if k.Adapter != "" {
		b.WriteByte('+')
		b.WriteString(k.Adapter)
	}
	return b.String()
}

// ParseReplicaKey parses the form that ReplicaKey.String returns. It returns
// an error if the service or the model is empty.
func ParseReplicaKey(s string) (ReplicaKey, error) {
	service, modelPart, ok := strings.Cut(s, "/")
	if !ok || service == "" || modelPart == "" {
		return ReplicaKey{}, fmt.Errorf("replica key %q: want service/model[@version][+adapter]", s)
	}
	k := ReplicaKey{Service: Service(service)}
	modelPart, k.Adapter, _ = strings.Cut(modelPart, "+")
	k.Model, k.Version, _ = strings.Cut(modelPart, "@")
	if k.Model == "" {
		return ReplicaKey{}, fmt.Errorf("replica key %q: the model name is empty", s)
	}
	return k, nil
}

// TargetKind distinguishes services whose targets are inference engines, which
// load models, from plain services, whose targets load none.
type TargetKind string

// The kinds of target.
const (
	TargetEngine TargetKind = "engine"
	TargetPlain  TargetKind = "plain"
)
