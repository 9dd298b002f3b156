package owner

import (
	"context"
	"errors"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
)

// slotReader reads and writes slot records.
type slotReader struct {
	kv    platform.KV
	lists *batch[map[string]StoredRecord]
}

func newSlotReader(kv platform.KV) *slotReader {
	s := &slotReader{kv: kv}
	s.lists = newBatch(s.readAll)
	return s
}

// all returns all records, read after the call.
func (s *slotReader) all(ctx context.Context) (map[string]StoredRecord, error) {
	return s.lists.get(ctx)
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

func (s *slotReader) readAll(ctx context.Context) (map[string]StoredRecord, error) {
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
