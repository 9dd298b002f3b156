package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/placement"
)

// slotBook holds the slot records that name the target, and the operations
// on slot records that are under way.
type slotBook struct {
	records map[string]StoredRecord
	ops     map[string]*slotOp
	// checkedAt is when a record was last read to look for a missing slot.
	checkedAt map[string]time.Time
	// missing tells which replicas had no slot at that time.
	missing   map[fleet.ReplicaKey]bool
	surplusAt map[fleet.ReplicaKey]time.Time
	// unverified are the replicas whose slot was bound without a later look
	// at the roster: a new owner may not have seen the slot.
	unverified map[fleet.ReplicaKey]bool
	// listing is the identifier of the list call under way; 0 for none.
	listing uint64
	// listedUnder are the catalog revisions in force when it began.
	listedUnder map[fleet.Team]uint64
	// listed and relisted are set once the records were read after the
	// takeover and after the settlement of former owners.
	listed   bool
	relisted bool
	// rosterCall is the roster read that ends the takeover; 0 for none.
	rosterCall uint64
	// rostered is set once the roster was read after the first list.
	rostered bool
	retryAt  time.Time
}

func newSlotBook() slotBook {
	return slotBook{
		records:    map[string]StoredRecord{},
		ops:        map[string]*slotOp{},
		checkedAt:  map[string]time.Time{},
		missing:    map[fleet.ReplicaKey]bool{},
		surplusAt:  map[fleet.ReplicaKey]time.Time{},
		unverified: map[fleet.ReplicaKey]bool{},
	}
}

// notePeak keeps the highest limits seen while the record was held.
func (b *slotBook) notePeak(group string, l placement.Limits) {
	stored := b.records[group]
	for v, n := range l.Max {
		if n <= stored.peak[v] {
			continue
		}
		if stored.peak == nil {
			stored.peak = map[string]int{}
		}
		stored.peak[v] = n
	}
	b.records[group] = stored
}

// store keeps a record that was read or written; one that no longer names
// the target is forgotten. It returns false when the record is older than
// the one known.
func (b *slotBook) store(group string, stored StoredRecord, id fleet.TargetID) bool {
	have, ok := b.records[group]
	if ok && stored.Revision < have.Revision {
		return false
	}
	for _, s := range stored.Record.Slots {
		if s.Target == id {
			if have.peak != nil && stored.Record.LimitRevision < stored.catalog {
				stored.peak = have.peak
			}
			b.records[group] = stored
			return true
		}
	}
	delete(b.records, group)
	return true
}

// markPending notes a release before it is written: from then on the slot
// cannot be loaded, whatever becomes of the write.
func (b *slotBook) markPending(group string, id fleet.TargetID, version, mark string) {
	stored := b.records[group]
	i := stored.Record.Find(id, version)
	if i < 0 {
		return
	}
	slots := append([]placement.Slot(nil), stored.Record.Slots...)
	slots[i].Phase, slots[i].Mark = placement.SlotReleasing, mark
	stored.Record.Slots = slots
	b.records[group] = stored
}

// each calls f for each of the target's slots.
func (b *slotBook) each(id fleet.TargetID, f func(k fleet.ReplicaKey, memoryBytes int64)) {
	for _, group := range slices.Sorted(maps.Keys(b.records)) {
		stored := b.records[group]
		k, err := placement.ParseGroup(group)
		if err != nil {
			continue
		}
		for _, s := range stored.Record.Slots {
			if s.Target == id {
				k.Version = s.Version
				f(k, s.MemoryBytes)
			}
		}
	}
}

// keys returns the replica keys of the target's slots, sorted.
func (b *slotBook) keys(id fleet.TargetID) []fleet.ReplicaKey {
	var out []fleet.ReplicaKey
	b.each(id, func(k fleet.ReplicaKey, _ int64) { out = append(out, k) })
	sortKeys(out)
	return out
}

// has tells whether the target has a slot of the replica.
func (b *slotBook) has(id fleet.TargetID, k fleet.ReplicaKey) bool {
	return b.records[placement.Group(k)].Record.Find(id, k.Version) >= 0
}

// memoryOf returns the memory that the replica's slot reserves.
func (b *slotBook) memoryOf(id fleet.TargetID, k fleet.ReplicaKey) int64 {
	r := b.records[placement.Group(k)].Record
	i := r.Find(id, k.Version)
	if i < 0 {
		return 0
	}
	return r.Slots[i].MemoryBytes
}

// sortedOps returns the operations in the order of their start.
func (b *slotBook) sortedOps() []*slotOp {
	return slices.SortedFunc(maps.Values(b.ops), func(x, y *slotOp) int { return cmp.Compare(x.id, y.id) })
}

// releasing tells that the replica's slot is on its way out.
func (b *slotBook) releasing(k fleet.ReplicaKey) bool {
	op := b.ops[placement.Group(k)]
	return op != nil && op.kind == opRelease && op.key == k
}
