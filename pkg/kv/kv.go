// Package kv holds the types of the platform's key-value service, as the
// rest of almondturn sees it: entries with revisions, leases, and changes
// that take effect as a whole or not at all.
package kv

import "errors"

// Revision is the key-value service's global counter of changes. It rises
// with every change to any key.
type Revision uint64

// LeaseID identifies a lease granted by the key-value service.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last change of this key.
	ModRevision Revision
	// Lease is the lease that the key is bound to; 0 for none.
	Lease LeaseID
}

// WatchEvent is one change of a key. Deleted events carry no value.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
}

// Change is a set of writes that take effect together, if every key of Expect
// has the revision named there; 0 stands for a key that does not exist.
type Change struct {
	Expect map[string]Revision
	// Put are the entries to write; their revisions are not read.
	Put    []Entry
	Delete []string
}

// Errors of the key-value service. Implementations wrap them.
var (
	// ErrNotFound tells that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict tells that a key's revision was not the expected one;
	// nothing was changed.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable tells that the call was not executed.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown tells that a change may or may not have taken
	// effect; the caller has to read the key back.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrLeaseExpired tells that a lease does not exist any more.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrCompacted tells that a watch asked for events no longer kept; the
	// caller has to list again.
	ErrCompacted = errors.New("watch start revision is compacted")
)
