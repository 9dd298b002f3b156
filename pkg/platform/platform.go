// Package platform defines what almondturn asks of the platform: the
// key-value service and the list of VMs. Implementations are the HTTP
// client in this package and the in-process stand-ins.
package platform

import (
	"context"
	"errors"
	"time"

	"almondturn/fleet"
)

// Revision is the key-value service's global counter of changes. It rises
// with every change to any key.
type Revision uint64

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// ModRevision is the revision of the last change of this key.
	ModRevision Revision `json:"mod_revision"`
	// Lease is the lease that the key is bound to; 0 for none.
	Lease LeaseID `json:"lease,omitempty"`
}

// LeaseID identifies a lease granted by the key-value service.
type LeaseID uint64

// WatchEvent is one change of a key. Deleted events carry no value.
type WatchEvent struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Errors of the key-value service. Implementations wrap them.
var (
	// ErrNotFound tells that a key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict tells that the key's revision was not the expected one;
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

// KV is the key-value service. It is linearizable per call. All methods
// return ErrUnavailable during an outage; changes may return
// ErrOutcomeUnknown.
type KV interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix in key order, and the
	// service's revision at that moment.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// CompareAndSwap writes value if the key's ModRevision is expect;
	// expect 0 requires that the key does not exist. lease 0 binds the key
	// to none. It returns the new revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if its ModRevision is expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch sends the changes below prefix with revisions above after, in
	// order, until ctx ends or the connection fails; then the channel is
	// closed. Callers resume with the last revision they saw.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error)
	// GrantLease creates a lease that lapses ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease, or returns ErrLeaseExpired.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes the keys bound to it.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// VM is one machine in the platform's list. The list lags.
type VM struct {
	ID      string           `json:"id"`
	Zone    fleet.Zone       `json:"zone"`
	Addr    string           `json:"addr"`
	Role    VMRole           `json:"role"`
	Kind    fleet.TargetKind `json:"kind,omitempty"`
	Service fleet.Service    `json:"service,omitempty"`
	Leaving bool             `json:"leaving"`
}

// VMRole tells entry VMs from targets.
type VMRole string

// The roles of a VM.
const (
	VMEntry  VMRole = "entry"
	VMTarget VMRole = "target"
)

// VMLister lists the live and leaving VMs.
type VMLister interface {
	// VMs returns the list and its version, which rises with each change.
	VMs(ctx context.Context) ([]VM, uint64, error)
}

// Clock is the time source of decisions; tests pass a fake one.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the machine's monotonic clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
