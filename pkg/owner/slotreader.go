package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"almondturn/fleet"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
)

// slotReader reads and writes slot records. One list call serves all
// targets that asked before it began.
type slotReader struct {
	kv platform.KV

	mu      sync.Mutex // guards all below
	running bool
	next    *slotList
}

// slotList is one list call.
type slotList struct {
	done    chan struct{}
	records map[string]StoredRecord
	err     error
}

func newSlotReader(kv platform.KV) *slotReader { return &slotReader{kv: kv} }

// all returns all records, read after the call.
func (s *slotReader) all(ctx context.Context) (map[string]StoredRecord, error) {
	l := s.join()
	select {
	case <-l.done:
		return l.records, l.err
	case <-ctx.Done():
		return nil, fmt.Errorf("list slots: %w", ctx.Err())
	}
}

// list returns the records that name the target, read after the call.
func (s *slotReader) list(ctx context.Context, id fleet.TargetID) (map[string]StoredRecord, error) {
	records, err := s.all(ctx)
	if err != nil {
		return nil, err
	}
	out := map[string]StoredRecord{}
	for group, stored := range records {
		for _, slot := range stored.Record.Slots {
			if slot.Target == id {
				out[group] = stored
			}
		}
	}
	return out, nil
}

// join returns the next list call that has not begun.
func (s *slotReader) join() *slotList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &slotList{done: make(chan struct{})}
	}
	l := s.next
	if !s.running {
		s.running = true
		go s.drain()
	}
	return l
}

// drain runs list calls until nobody waits for one.
func (s *slotReader) drain() {
	for {
		s.mu.Lock()
		l := s.next
		s.next = nil
		if l == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		l.records, l.err = s.readAll()
		close(l.done)
	}
}

func (s *slotReader) readAll() (map[string]StoredRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entries, _, err := s.kv.List(ctx, placement.SlotPrefix)
	if err != nil {
		return nil, fmt.Errorf("list slots: %w", err)
	}
	out := make(map[string]StoredRecord, len(entries))
	for _, e := range entries {
		r, err := placement.DecodeRecord(e.Value)
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", e.Key, err)
		}
		out[e.Key] = StoredRecord{Record: r, Revision: e.ModRevision}
	}
	return out, nil
}

func (s *slotReader) read(ctx context.Context, group string) (StoredRecord, error) {
	e, err := s.kv.Get(ctx, group)
	if errors.Is(err, platform.ErrNotFound) {
		return StoredRecord{}, nil
	}
	if err != nil {
		return StoredRecord{}, fmt.Errorf("read record %q: %w", group, err)
	}
	r, err := placement.DecodeRecord(e.Value)
	if err != nil {
		return StoredRecord{}, fmt.Errorf("record %q: %w", group, err)
	}
	return StoredRecord{Record: r, Revision: e.ModRevision}, nil
}

func (s *slotReader) swap(ctx context.Context, group string, r placement.Record, expect platform.Revision) (platform.Revision, error) {
	value, err := r.Encode()
	if err != nil {
		return 0, err
	}
	revision, err := s.kv.CompareAndSwap(ctx, group, value, expect, 0)
	if err != nil {
		return 0, fmt.Errorf("write record %q: %w", group, err)
	}
	return revision, nil
}
