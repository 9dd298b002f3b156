package placement

import (
	"almondturn/fleet"
)

// Ledger adds up the memory of one target that is taken or may become taken.
type Ledger struct {
	capacityBytes int64
	held          map[fleet.ReplicaKey]int64
	usedBytes     int64
}

// NewLedger returns an empty ledger of a target's memory.
func NewLedger(capacityBytes int64) *Ledger {
	return &Ledger{capacityBytes: capacityBytes, held: map[fleet.ReplicaKey]int64{}}
}

// Hold counts a replica. A replica held for several reasons counts once,
// with the largest size.
func (l *Ledger) Hold(k fleet.ReplicaKey, bytes int64) {
	if old := l.held[k]; bytes > old {
		l.usedBytes += bytes - old
		l.held[k] = bytes
	}
}

// FreeBytes returns the memory that nothing holds; it is negative when more
// is held than exists.
func (l *Ledger) FreeBytes() int64 { return l.capacityBytes - l.usedBytes }

// MissingBytes returns how much memory has to be freed before the replica
// can be loaded; 0 when it fits.
func (l *Ledger) MissingBytes(k fleet.ReplicaKey, bytes int64) int64 {
	extra := max(bytes-l.held[k], 0)
	return max(extra-l.FreeBytes(), 0)
}
