// Package placement holds the pure decisions about replicas: slot records,
// the memory ledger of a target, the choice of a target for a load, eviction
// and load budgets. Nothing here does I/O or reads a clock.
package placement

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"almondturn/fleet"
)

// SlotPrefix is the prefix of all slot records in the key-value service.
const SlotPrefix = "slots/"

// SlotPhase tells whether a slot may be loaded.
type SlotPhase uint8

// The phases of a slot.
const (
	// SlotBound: the target's owner may load the replica.
	SlotBound SlotPhase = iota + 1
	// SlotReleasing: the replica is being unloaded; no load until the slot
	// is bound again.
	SlotReleasing
)

// Slot is one unit of a replica limit, bound to one target.
type Slot struct {
	Target  fleet.TargetID `cbor:"1,keyasint"`
	Zone    fleet.Zone     `cbor:"2,keyasint"`
	Version string         `cbor:"3,keyasint,omitempty"`
	Phase   SlotPhase      `cbor:"4,keyasint"`
	// Mark identifies the release in progress; only the owner that wrote
	// it may remove the slot.
	Mark string `cbor:"5,keyasint,omitempty"`
	// MemoryBytes is the most memory that a load of this slot takes.
	MemoryBytes int64 `cbor:"6,keyasint"`
}

// Record is the value of one slot record: all versions of one model or
// adapter of a service share it, so that replacing a version stays within
// the limit.
type Record struct {
	// Write identifies the write that stored this value.
	Write string `cbor:"1,keyasint"`
	// Team owns the service.
	Team fleet.Team `cbor:"2,keyasint"`
	// Limits are the replica limits by version under which the record was
	// last written, and LimitRevision the catalog revision they come from.
	Limits        map[string]int `cbor:"3,keyasint"`
	LimitRevision uint64         `cbor:"4,keyasint"`
	// Slots are in the order in which they were bound.
	Slots []Slot `cbor:"5,keyasint"`
}

// Group returns the key of the slot record that holds the replica's slots.
func Group(k fleet.ReplicaKey) string {
	k.Version = ""
	return SlotPrefix + k.String()
}

// ParseGroup returns the replica key, without a version, of a record's key.
func ParseGroup(group string) (fleet.ReplicaKey, error) {
	rest, ok := strings.CutPrefix(group, SlotPrefix)
	if !ok {
		return fleet.ReplicaKey{}, fmt.Errorf("slot record %q: want the prefix %q", group, SlotPrefix)
	}
	return fleet.ParseReplicaKey(rest)
}

// Encode returns the record's CBOR form.
func (r Record) Encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode slot record: %w", err)
	}
	return b, nil
}

// DecodeRecord parses a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode slot record: %w", err)
	}
	return r, nil
}

// Find returns the index of the slot of a version on a target, or -1.
func (r Record) Find(target fleet.TargetID, version string) int {
	for i, s := range r.Slots {
		if s.Target == target && s.Version == version {
			return i
		}
	}
	return -1
}

// count returns the number of slots of a version before index end.
func (r Record) count(version string, end int) int {
	n := 0
	for _, s := range r.Slots[:end] {
		if s.Version == version {
			n++
		}
	}
	return n
}
