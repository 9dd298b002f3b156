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
	mu       sync.Mutex // guards all below
	revision kv.Revision
	entries  map[string]kv.Entry
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

// Era returns the era of the service; 0 until SetEra is called.
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

// Commit applies a transaction and returns its revision, or returns
// kv.ErrConflict if a key does not have the expected revision. While the store
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

// GrantLease returns a lease that never expires.
func (s *Store) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.LeaseID{}, kv.ErrUnavailable
	}
	s.revision++
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

// RenewLease succeeds unless the service is unavailable.
func (s *Store) RenewLease(context.Context, kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.ErrUnavailable
	}
	return nil
}

// RevokeLease deletes the keys that are bound to the lease.
func (s *Store) RevokeLease(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return kv.ErrUnavailable
	}
	maps.DeleteFunc(s.entries, func(_ string, e kv.Entry) bool { return e.Lease == id })
	return nil
}
