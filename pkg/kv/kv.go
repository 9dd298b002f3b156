// Package kv holds the types of the platform's key-value service as the rest of
// almondturn uses it: entries with revisions, leases, and transactions that
// change several keys atomically. The service may be restored from an older copy;
// revisions are ordered across such restores.
package kv

import "errors"

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last change of this key.
	ModRevision Revision
	// Lease is the lease that the key is bound to; the zero value for none.
	Lease LeaseID
}

// WatchEvent is one change of a key.
type WatchEvent struct {
	// Entry is the key after the change. It has no value if Deleted is true.
	Entry Entry
	// Deleted reports whether the change deleted the key.
	Deleted bool
}

// Transaction is a set of writes that are applied atomically if every key of
// Expect has the expected revision.
type Transaction struct {
	// Expect holds the required ModRevision by key; 0 requires that the key
	// does not exist.
	Expect map[string]Revision
	// Put holds the entries to write; their ModRevision is ignored.
	Put []Entry
	// Delete holds the keys to delete.
	Delete []string
}

// Errors of the key-value service. Implementations wrap them.
var (
	// ErrNotFound means that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a key did not have the expected revision, or that
	// this revision is one of a former era; nothing was changed.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the call was not executed, or that the response
	// had an unexpected status or an invalid body. In the latter case the call
	// may have been executed.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown means that a call, reading or writing, may or may not
	// have been executed. After a write, the caller has to read the key to find
	// out.
	ErrOutcomeUnknown = errors.New("outcome of the change is unknown")
	// ErrLeaseExpired means that a lease no longer exists, or was granted in a
	// former era.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrCompacted means that a watch asked for events that the service has
	// discarded, or for those after a revision of a former era; the caller has to
	// list the entries again.
	ErrCompacted = errors.New("watch start revision is compacted")
)
