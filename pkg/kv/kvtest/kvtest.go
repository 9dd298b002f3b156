// Package kvtest is an in-memory key-value service for tests.
package kvtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"almondturn/pkg/kv"
)

// Store is an in-memory key-value service. Its zero value is ready to use. Its
// methods may be called concurrently.
type Store struct {
	mu sync.Mutex // guards all below
	// revision is that of the last change. Its era is 0 until Restore or SetEra is called.
	revision kv.Revision
	entries  map[string]kv.Entry
	// lostLeases are the leases, by identifier, that the last Restore has lost and
	// that were not granted again since.
	lostLeases map[uint64]bool
	// unavailable makes all calls fail without effect.
	unavailable bool
	// responsesToDrop is how many of the next transactions are applied, but
	// return kv.ErrOutcomeUnknown.
	responsesToDrop int
}

// SetUnavailable sets whether all calls fail with kv.ErrUnavailable and without
// effect.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// DropWriteResponses makes the next n transactions take effect and return
// kv.ErrOutcomeUnknown.
func (s *Store) DropWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// SetEra sets the era of the revisions from now on.
func (s *Store) SetEra(era kv.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.revision.InEra(era)
}

// Copy is the state of a Store at a time.
type Copy struct {
	revision kv.Revision
	entries  map[string]kv.Entry
}

// Copy returns a copy of the current state, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.entries)}
}

// Restore brings the store back to a copy, and raises the era by one, or from 0, in
// which a service reports no eras, to that after kv.FirstEra. Revisions and leases that
// were given out since the copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := max(s.revision.Era(), kv.FirstEra) + 1
	s.lostLeases = map[uint64]bool{}
	for id := c.revision.Counter() + 1; id <= s.revision.Counter(); id++ {
		s.lostLeases[id] = true
	}
	s.revision, s.entries = c.revision.InEra(era), make(map[string]kv.Entry, len(c.entries))
	for key, e := range c.entries {
		e.ModRevision = e.ModRevision.InEra(era)
		if e.Lease != (kv.LeaseID{}) {
			e.Lease.Era = era
		}
		s.entries[key] = e
	}
}

// Era returns the current era, 0 until Restore or SetEra is called.
func (s *Store) Era() kv.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// Entries returns all entries by key.
func (s *Store) Entries() map[string]kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.entries)
}

// Get returns one entry, or kv.ErrNotFound.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.Entry{}, kv.ErrUnavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return e, nil
}

// List returns the entries whose keys begin with prefix, in key order, and the
// current revision.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, kv.ErrUnavailable
	}
	var out []kv.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.entries[key])
		}
	}
	return out, s.revision, nil
}

// Commit applies a transaction and returns its revision. It returns kv.ErrConflict if a
// key does not have the expected revision, also if that is one of a former era, and
// kv.ErrLeaseExpired if a lease was granted in a former era or is lost. While the store
// is unavailable it returns kv.ErrUnavailable. After DropWriteResponses it
// applies the transaction and returns kv.ErrOutcomeUnknown.
func (s *Store) Commit(_ context.Context, txn kv.Transaction) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, kv.ErrUnavailable
	}
	for key, revision := range txn.Expect {
		if s.entries[key].ModRevision != revision {
			return 0, kv.ErrConflict
		}
	}
	for _, e := range txn.Put {
		if s.leaseLost(e.Lease) {
			return 0, kv.ErrLeaseExpired
		}
	}
	s.revision++
	if s.entries == nil {
		s.entries = map[string]kv.Entry{}
	}
	for _, e := range txn.Put {
		e.ModRevision = s.revision
		s.entries[e.Key] = e
	}
	for _, key := range txn.Delete {
		delete(s.entries, key)
	}
	if s.responsesToDrop > 0 {
		s.responsesToDrop--
		return 0, kv.ErrOutcomeUnknown
	}
	return s.revision, nil
}

// leaseLost reports whether a lease is one of a former era, or lost by Restore. s.mu
// must be held.
func (s *Store) leaseLost(id kv.LeaseID) bool {
	return id != (kv.LeaseID{}) && (id.Era != s.revision.Era() || s.lostLeases[id.ID])
}

// GrantLease returns a lease that never expires.
func (s *Store) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.LeaseID{}, kv.ErrUnavailable
	}
	s.revision++
	delete(s.lostLeases, s.revision.Counter())
	return kv.LeaseID{Era: s.revision.Era(), ID: s.revision.Counter()}, nil
}

// CompareAndSwap writes value, bound to lease, if the key's revision is expect,
// and returns the new revision. Otherwise it returns kv.ErrConflict.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	return s.Commit(ctx, kv.Transaction{
		Expect: map[string]kv.Revision{key: expect},
		Put:    []kv.Entry{{Key: key, Value: value, Lease: lease}},
	})
}

// RenewLease succeeds unless the service is unavailable, or a Restore has lost the lease.
func (s *Store) RenewLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.ErrUnavailable
	}
	if s.leaseLost(id) {
		return kv.ErrLeaseExpired
	}
	return nil
}

// RevokeLease deletes the keys that are bound to the lease. It returns
// kv.ErrLeaseExpired if a Restore has lost the lease.
func (s *Store) RevokeLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.ErrUnavailable
	}
	if s.leaseLost(id) {
		return kv.ErrLeaseExpired
	}
	maps.DeleteFunc(s.entries, func(_ string, e kv.Entry) bool { return e.Lease == id })
	return nil
}
