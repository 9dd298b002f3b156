// Package kv is the stand-in for the platform's key-value service: an
// in-memory store with revisions, leases and watches, whose faults tests
// can switch on.
package kv

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"almondturn/pkg/platform"
)

// maxValueBytes is the largest value that the service accepts.
const maxValueBytes = 1 << 20

// watchBuffer is the number of events a slow watcher may fall behind.
const watchBuffer = 4096

// Faults are the faults in force. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay is added before every call.
	Delay time.Duration
	// LoseAnswers lets the next n changes take effect and answers
	// ErrOutcomeUnknown.
	LoseAnswers int
	// SilentWatches stops the delivery of watch events without closing.
	SilentWatches bool
}

// Store is the service's state. It implements platform.KV.
type Store struct {
	clock platform.Clock

	mu       sync.Mutex // guards all below
	entries  map[string]platform.Entry
	revision platform.Revision
	leases   map[platform.LeaseID]*lease
	nextID   platform.LeaseID
	history  []platform.WatchEvent
	watchers map[*watcher]struct{}
	faults   Faults
	calls    map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watcher struct {
	prefix string
	ch     chan platform.WatchEvent
	closed bool
}

// New returns an empty store that reads the given clock.
func New(clock platform.Clock) *Store {
	return &Store{
		clock:    clock,
		entries:  map[string]platform.Entry{},
		leases:   map[platform.LeaseID]*lease{},
		watchers: map[*watcher]struct{}{},
		calls:    map[string]int{},
	}
}

// SetFaults replaces the faults in force. Going down closes all watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		for w := range s.watchers {
			s.dropLocked(w)
		}
	}
}

// Calls returns the number of calls by method since the start.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Down tells whether every call is refused.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// Watches returns the number of watches that wait for events.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

// Snapshot is a copy of the state, for Restore.
type Snapshot struct {
	entries  map[string]platform.Entry
	revision platform.Revision
}

// Snapshot copies the entries and the revision.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Snapshot{entries: make(map[string]platform.Entry, len(s.entries)), revision: s.revision}
	for k, v := range s.entries {
		c.entries[k] = v
	}
	return c
}

// Restore puts an older state back, as a service restored from a backup
// would, and closes all watches.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = make(map[string]platform.Entry, len(c.entries))
	for k, v := range c.entries {
		s.entries[k] = v
	}
	s.revision = c.revision
	s.history = nil
	for w := range s.watchers {
		s.dropLocked(w)
	}
}

// begin counts the call and applies the faults that come before execution.
func (s *Store) begin(ctx context.Context, method string) error {
	s.mu.Lock()
	s.calls[method]++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", method, platform.ErrUnavailable)
		}
	}
	if f.Down {
		return fmt.Errorf("%s: %w", method, platform.ErrUnavailable)
	}
	return nil
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	e, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, fmt.Errorf("key %q: %w", key, platform.ErrNotFound)
	}
	return e, nil
}

// List implements platform.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	if err := s.begin(ctx, "list"); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var out []platform.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

// CompareAndSwap implements platform.KV.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expect platform.Revision, id platform.LeaseID) (platform.Revision, error) {
	if err := s.begin(ctx, "cas"); err != nil {
		return 0, err
	}
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("key %q: value of %d bytes exceeds %d", key, len(value), maxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if have := s.entries[key].ModRevision; have != expect {
		return 0, fmt.Errorf("key %q is at revision %d, not %d: %w", key, have, expect, platform.ErrConflict)
	}
	if id != 0 && s.leases[id] == nil {
		return 0, fmt.Errorf("lease %d: %w", id, platform.ErrLeaseExpired)
	}
	s.revision++
	e := platform.Entry{Key: key, Value: slices.Clone(value), ModRevision: s.revision, Lease: id}
	s.entries[key] = e
	s.publishLocked(platform.WatchEvent{Entry: e})
	return s.revision, s.loseAnswerLocked()
}

// Delete implements platform.KV.
func (s *Store) Delete(ctx context.Context, key string, expect platform.Revision) error {
	if err := s.begin(ctx, "delete"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	e, ok := s.entries[key]
	if !ok {
		return fmt.Errorf("key %q: %w", key, platform.ErrNotFound)
	}
	if e.ModRevision != expect {
		return fmt.Errorf("key %q is at revision %d, not %d: %w", key, e.ModRevision, expect, platform.ErrConflict)
	}
	s.removeLocked(key)
	return s.loseAnswerLocked()
}

// Watch implements platform.KV.
func (s *Store) Watch(ctx context.Context, prefix string, after platform.Revision) (<-chan platform.WatchEvent, error) {
	if err := s.begin(ctx, "watch"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.revision && (len(s.history) == 0 || s.history[0].Entry.ModRevision > after+1) {
		return nil, fmt.Errorf("watch of %q after revision %d: %w", prefix, after, platform.ErrCompacted)
	}
	w := &watcher{prefix: prefix, ch: make(chan platform.WatchEvent, watchBuffer)}
	s.watchers[w] = struct{}{}
	for _, ev := range s.history {
		if ev.Entry.ModRevision > after {
			s.sendLocked(w, ev)
		}
	}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dropLocked(w)
	})
	return w.ch, nil
}

// GrantLease implements platform.KV.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.begin(ctx, "grant"); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.nextID, s.loseAnswerLocked()
}

// RenewLease implements platform.KV.
func (s *Store) RenewLease(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "renew"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l := s.leases[id]
	if l == nil {
		return fmt.Errorf("lease %d: %w", id, platform.ErrLeaseExpired)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return s.loseAnswerLocked()
}

// RevokeLease implements platform.KV.
func (s *Store) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	if err := s.begin(ctx, "revoke"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeaseLocked(id)
	return s.loseAnswerLocked()
}

// Expire ends the leases whose time has come; the HTTP server calls it
// regularly so that watchers hear of them.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

func (s *Store) expireLocked() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *Store) endLeaseLocked(id platform.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.Lease == id {
			s.removeLocked(k)
		}
	}
}

func (s *Store) removeLocked(key string) {
	delete(s.entries, key)
	s.revision++
	s.publishLocked(platform.WatchEvent{Entry: platform.Entry{Key: key, ModRevision: s.revision}, Deleted: true})
}

func (s *Store) loseAnswerLocked() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return platform.ErrOutcomeUnknown
}

func (s *Store) publishLocked(ev platform.WatchEvent) {
	s.history = append(s.history, ev)
	if len(s.history) > watchBuffer {
		s.history = slices.Delete(s.history, 0, len(s.history)-watchBuffer)
	}
	for w := range s.watchers {
		s.sendLocked(w, ev)
	}
}

func (s *Store) sendLocked(w *watcher, ev platform.WatchEvent) {
	if w.closed || s.faults.SilentWatches || !strings.HasPrefix(ev.Entry.Key, w.prefix) {
		return
	}
	select {
	case w.ch <- ev:
	default:
		s.dropLocked(w)
	}
}

func (s *Store) dropLocked(w *watcher) {
	if w.closed {
		return
	}
	w.closed = true
	close(w.ch)
	delete(s.watchers, w)
}
