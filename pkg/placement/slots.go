package placement

import (
	"errors"
	"slices"

	"almondturn/fleet"
)

// Reasons why a slot cannot be bound or changed.
var (
	// ErrLimitReached: as many slots are bound as the limit allows.
	ErrLimitReached = errors.New("replica limit reached")
	// ErrCatalogBehind: the record was written under a newer catalog than
	// this node has in force.
	ErrCatalogBehind = errors.New("catalog is behind the slot record")
	// ErrNotOurs: the release was taken over by another owner.
	ErrNotOurs = errors.New("slot was changed by another owner")
	// ErrNeeded: the slot is within the limit and must not be released.
	ErrNeeded = errors.New("slot is within the limit")
)

// clone copies the record so that transitions never change a shared one.
func (r Record) clone() Record {
	r.Slots = slices.Clone(r.Slots)
	return r
}

// Bind returns the record with a bound slot for the version on the target.
// A releasing slot there is taken back, which makes its removal fail. An
// existing slot keeps its place and gets the larger memory.
func (r Record) Bind(slot Slot, l Limits) (Record, error) {
	if l.Stale(r) {
		return Record{}, ErrCatalogBehind
	}
	out := r.clone()
	l.stamp(&out)
	i := out.Find(slot.Target, slot.Version)
	if i < 0 {
		if len(out.Slots) >= l.Total() || out.count(slot.Version, len(out.Slots)) >= l.Max[slot.Version] {
			return Record{}, ErrLimitReached
		}
		slot.Phase, slot.Mark = SlotBound, ""
		out.Slots = append(out.Slots, slot)
		return out, nil
	}
	if out.Surplus(i, l) {
		return Record{}, ErrLimitReached
	}
	have := &out.Slots[i]
	have.Phase, have.Mark = SlotBound, ""
	have.MemoryBytes = max(have.MemoryBytes, slot.MemoryBytes)
	return out, nil
}

// Stamp returns the record with the limits of l stored.
func (r Record) Stamp(l Limits) Record {
	out := r.clone()
	l.stamp(&out)
	return out
}

// MarkReleasing returns the record with the slot marked for release. A mark
// of an earlier owner is replaced, which makes its removal fail.
func (r Record) MarkReleasing(target fleet.TargetID, version, mark string, l Limits) (Record, error) {
	i := r.Find(target, version)
	if i < 0 {
		return Record{}, ErrNotOurs
	}
	out := r.clone()
	l.stamp(&out)
	out.Slots[i].Phase = SlotReleasing
	out.Slots[i].Mark = mark
	return out, nil
}

// Remove returns the record without the slot that carries the mark.
func (r Record) Remove(target fleet.TargetID, version, mark string) (Record, error) {
	i := r.Find(target, version)
	if i < 0 || r.Slots[i].Phase != SlotReleasing || r.Slots[i].Mark != mark {
		return Record{}, ErrNotOurs
	}
	out := r.clone()
	out.Slots = slices.Delete(out.Slots, i, i+1)
	return out, nil
}

// Surplus tells whether the slot at index i is beyond the limit of its
// version. A node whose catalog does not know the team never says so.
func (r Record) Surplus(i int, l Limits) bool {
	if l.Revision == 0 || l.Stale(r) {
		return false
	}
	v := r.Slots[i].Version
	return r.count(v, i) >= l.Max[v]
}

// Over tells that more slots are bound than the limits allow, in all or of
// the version. While this is so no replica of the record may be loaded, and
// slots without a loaded replica are given up first.
func (r Record) Over(version string, l Limits) bool {
	total := 0
	for v := range l.Max {
		total += l.effective(r, v)
	}
	n := len(r.Slots)
	return n > total || r.count(version, n) > l.effective(r, version)
}

// MayLoad tells whether the owner of the target may load the version with
// no call to the key-value service. memoryBytes is what the load takes.
func (r Record) MayLoad(target fleet.TargetID, version string, memoryBytes int64, l Limits) bool {
	i := r.Find(target, version)
	if i < 0 || r.Slots[i].Phase != SlotBound || r.Slots[i].MemoryBytes < memoryBytes {
		return false
	}
	return !l.NeedsStamp(r) && !r.Over(version, l)
}
