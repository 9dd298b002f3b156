// Package fleet holds the identifiers and value types that every other
// package shares: availability zones, nodes, targets and replicas.
package fleet

import (
	"fmt"
	"strings"
)

// Zone names an availability zone.
type Zone string

// NodeID names one entry VM's almondturn process. It stays the same across
// restarts of the same VM; Incarnation tells the restarts apart.
type NodeID string

// Team names a tenant: the owner of one subtree of the settings.
type Team string

// Service names a service of a team. Names are unique across teams.
type Service string

// Node describes a member process.
type Node struct {
	ID   NodeID `cbor:"1,keyasint" json:"id"`
	Zone Zone   `cbor:"2,keyasint" json:"zone"`
	// Incarnation is unique per process start. Those of one node are in the
	// order of its starts, as UUIDs of version 7 are.
	Incarnation string `cbor:"3,keyasint" json:"incarnation"`
	// Addr is the host:port of the inner listener.
	Addr string `cbor:"4,keyasint" json:"addr"`
}

// ReplicaKey identifies what a replica holds: a model version on behalf of
// one service, or an adapter on top of such a model version.
type ReplicaKey struct {
	Service Service `cbor:"1,keyasint" json:"service"`
	Model   string  `cbor:"2,keyasint" json:"model"`
	Version string  `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	// Adapter is empty for the base model.
	Adapter string `cbor:"4,keyasint,omitempty" json:"adapter,omitempty"`
}

// String returns service/model[@version][+adapter]. ParseReplicaKey reverses it.
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

// ParseReplicaKey parses the form that ReplicaKey.String returns.
func ParseReplicaKey(s string) (ReplicaKey, error) {
	service, rest, ok := strings.Cut(s, "/")
	if !ok || service == "" || rest == "" {
		return ReplicaKey{}, fmt.Errorf("replica key %q: want service/model[@version][+adapter]", s)
	}
	k := ReplicaKey{Service: Service(service)}
	rest, k.Adapter, _ = strings.Cut(rest, "+")
	k.Model, k.Version, _ = strings.Cut(rest, "@")
	if k.Model == "" {
		return ReplicaKey{}, fmt.Errorf("replica key %q: the model name is empty", s)
	}
	return k, nil
}

// TargetKind tells engines from plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine TargetKind = "engine"
	TargetPlain  TargetKind = "plain"
)
