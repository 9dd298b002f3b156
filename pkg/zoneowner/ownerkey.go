package zoneowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/kv"
)

// KeyPrefix is the prefix of the owner keys and the last-owner keys of all
// zones.
const KeyPrefix = "almondturn/zones/"

// OwnerRecord is the JSON value of a zone's owner key.
type OwnerRecord struct {
	Node        fleet.NodeID `json:"node"`
	Addr        string       `json:"addr"`
	Incarnation string       `json:"incarnation"`
	// Era is the era of the key-value service in which the owner registered; 0 if
	// the service reports none.
	Era kv.Era `json:"era,omitempty"`
}

// Token returns the fencing token of the owner, given the revision of its key. If
// the service was restored since, that is the revision in the owner's era. An era above
// that of the revision is invalid and ignored.
func (r OwnerRecord) Token(revision kv.Revision) kv.Revision {
	if r.Era == 0 || r.Era > revision.Era() {
		return revision
	}
	return revision.InEra(r.Era)
}

// SameProcess reports whether two records were written by the same process.
func (r OwnerRecord) SameProcess(other OwnerRecord) bool {
	return r.Node == other.Node && r.Addr == other.Addr && r.Incarnation == other.Incarnation
}

// ownerEntry is the content of a zone's owner key. If its address is empty,
// nobody owns the zone.
type ownerEntry struct {
	record   OwnerRecord
	revision kv.Revision
}

// token returns the fencing token of the owner.
func (e ownerEntry) token() kv.Revision { return e.record.Token(e.revision) }

// inherited reports whether the key was written before the key-value service was
// restored from an older copy. Other nodes may have owned the zone since, or the node
// that it names may have lost it before the restore.
func (e ownerEntry) inherited() bool { return e.record.Era != 0 && e.record.Era < e.revision.Era() }

// OwnerKey returns the key under which a zone's owner registers.
func OwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/owner" }

// isSelf reports whether a record was written by this process, not by another
// node or an earlier incarnation of this one.
func (o *Owner) isSelf(r OwnerRecord) bool {
	return r.Addr == o.cfg.Self.Addr && r.Incarnation == o.cfg.Self.Incarnation
}

// writeOwnKey registers this node as the owner, bound to a lease, if the owner key has
// the expected revision; 0 requires that it does not exist. It returns the record and
// its revision. The error wraps kv.ErrConflict also if the service was restored
// meanwhile, so that the record names a former era.
func (o *Owner) writeOwnKey(ctx context.Context, expect kv.Revision, lease kv.LeaseID) (OwnerRecord, kv.Revision, error) {
	record := OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation, lease.Era}
	value, err := json.Marshal(record)
	if err != nil {
		return record, 0, fmt.Errorf("encode the owner record: %w", err)
	}
	key := OwnerKey(o.cfg.Self.Zone)
	revision, err := o.cfg.Store.CompareAndSwap(ctx, key, value, expect, lease)
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		revision, err = o.confirmOwnKey(ctx, key)
	}
	if err == nil && revision.Era() != lease.Era {
		err = fmt.Errorf("key %q was written in era %d, not %d: %w", key, revision.Era(), lease.Era, kv.ErrConflict)
	}
	return record, revision, err
}

// readOwnerEntry reads the content of the zone's owner key, which is empty if the key
// does not exist or has no record.
func (o *Owner) readOwnerEntry(ctx context.Context, key string) (ownerEntry, error) {
	e, err := o.cfg.Store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return ownerEntry{}, nil
	}
	if err != nil {
		return ownerEntry{}, err
	}
	entry := ownerEntry{revision: e.ModRevision}
	if json.Unmarshal(e.Value, &entry.record) != nil {
		entry.record = OwnerRecord{}
	}
	return entry, nil
}

// confirmOwnKey checks whether a write of the zone's owner key with an unknown
// outcome took effect, and returns the key's revision. The error wraps
// kv.ErrConflict if the key has another record.
func (o *Owner) confirmOwnKey(ctx context.Context, key string) (kv.Revision, error) {
	entry, err := o.readOwnerEntry(ctx, key)
	if err != nil {
		return 0, err
	}
	if !o.isSelf(entry.record) || entry.inherited() {
		return 0, fmt.Errorf("key %q: %w", key, kv.ErrConflict)
	}
	return entry.revision, nil
}

// refreshKey reads the zone's owner key again after a failed attempt to acquire
// the zone. It ignores the result if the key was observed to change meanwhile: the result
// may be older, and a vacancy must not begin before the key was last seen.
func (o *Owner) refreshKey(ctx context.Context, key string) {
	o.mu.Lock()
	before := o.currentEntry
	o.mu.Unlock()
	e, err := o.cfg.Store.Get(ctx, key)
	var r OwnerRecord
	switch {
	case errors.Is(err, kv.ErrNotFound):
		e = kv.Entry{}
	case err != nil || json.Unmarshal(e.Value, &r) != nil:
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.currentEntry == before {
		o.observeKey(r, e.ModRevision)
	}
}
