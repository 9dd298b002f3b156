// Package fleet holds the identifiers and value types that every other
// package shares: availability zones, nodes, targets and replicas.
package fleet

import (
	"cmp"
	"fmt"
	"strings"
)

// Zone names an availability zone.
type Zone string

// NodeID names one entry VM's almondturn process. It stays the same across
// restarts of the same VM; Incarnation tells the restarts apart.
type NodeID string

// TargetID names one target VM, which runs a model engine or a plain service.
type TargetID string

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

// Base returns the key of the base model that an adapter needs; for a base
// model it returns the key itself.
func (k ReplicaKey) Base() ReplicaKey {
	k.Adapter = ""
	return k
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

// Compare orders keys by their fields.
func (k ReplicaKey) Compare(o ReplicaKey) int {
	return cmp.Or(
		cmp.Compare(k.Service, o.Service),
		cmp.Compare(k.Model, o.Model),
		cmp.Compare(k.Version, o.Version),
		cmp.Compare(k.Adapter, o.Adapter),
	)
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

// ReplicaPhase is the state of a replica on its target.
type ReplicaPhase string

// The phases of a replica.
const (
	ReplicaLoading  ReplicaPhase = "loading"
	ReplicaLoaded   ReplicaPhase = "loaded"
	ReplicaDraining ReplicaPhase = "draining"
)

// ReplicaState is what an engine reports of one replica.
type ReplicaState struct {
	Key         ReplicaKey   `cbor:"1,keyasint" json:"key"`
	Phase       ReplicaPhase `cbor:"2,keyasint" json:"phase"`
	MemoryBytes int64        `cbor:"3,keyasint" json:"memory_bytes"`
	Running     int          `cbor:"4,keyasint" json:"running"`
	// Served counts the requests accepted since the replica was loaded.
	Served uint64 `cbor:"5,keyasint,omitempty" json:"served"`
}

// CacheLevel tells where a checkpoint can be read from, nearest first.
type CacheLevel int

// The cache levels of a checkpoint on a target.
const (
	CacheMemory CacheLevel = iota
	CacheDisk
	CacheRemote
)

// Epoch is a fencing number: the version of a zone's roster.
type Epoch uint64

// TargetKind tells engines from plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine TargetKind = "engine"
	TargetPlain  TargetKind = "plain"
)

// Target is a target VM as the VM list and the settings describe it.
type Target struct {
	ID   TargetID   `cbor:"1,keyasint" json:"id" yaml:"id"`
	Zone Zone       `cbor:"2,keyasint" json:"zone" yaml:"zone"`
	Addr string     `cbor:"3,keyasint" json:"addr" yaml:"addr"`
	Kind TargetKind `cbor:"4,keyasint" json:"kind" yaml:"kind"`
	// Service limits the target to one service; empty serves all.
	Service Service `cbor:"5,keyasint,omitempty" json:"service,omitempty" yaml:"service,omitempty"`
	// Leaving is set once the VM is to be reclaimed: no new work.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// TargetState is what an engine reports of itself. Reports lag.
type TargetState struct {
	Target TargetID `cbor:"1,keyasint" json:"target"`
	// Incarnation is unique per start of the engine.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// ChecksFencing is true when the engine refuses orders whose
	// (epoch, sequence) is not above the highest it has accepted.
	ChecksFencing bool           `cbor:"3,keyasint" json:"checks_fencing"`
	MemoryBytes   int64          `cbor:"4,keyasint" json:"memory_bytes"`
	Replicas      []ReplicaState `cbor:"5,keyasint" json:"replicas"`
	// InMemory and OnDisk list the checkpoints cached on the VM, each as
	// model[@version].
	InMemory []string `cbor:"6,keyasint" json:"in_memory"`
	OnDisk   []string `cbor:"7,keyasint" json:"on_disk"`
	Running  int      `cbor:"8,keyasint" json:"running"`
	Waiting  int      `cbor:"9,keyasint" json:"waiting"`
	// MaxRunning is the number of requests that the engine batches at once.
	MaxRunning int  `cbor:"10,keyasint" json:"max_running"`
	Leaving    bool `cbor:"11,keyasint" json:"leaving"`
	// Epoch and Sequence are the highest fencing number accepted.
	Epoch    Epoch  `cbor:"12,keyasint" json:"epoch"`
	Sequence uint64 `cbor:"13,keyasint" json:"sequence"`
}

// Replica returns the state of the replica with the given key.
func (s *TargetState) Replica(k ReplicaKey) (ReplicaState, bool) {
	for _, r := range s.Replicas {
		if r.Key == k {
			return r, true
		}
	}
	return ReplicaState{}, false
}
