package teams

import (
	"fmt"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
)

// Decoder decodes the entries below Prefix into the configuration of a node. It may be
// used by one goroutine at a time only.
type Decoder struct {
	// cache holds the decoded records by key, so that after a change of one team the
	// subtrees of the others are not decoded again.
	cache map[string]cachedRecord
}

// cachedRecord is a record and the revision of the entry that it was decoded from.
type cachedRecord struct {
	revision kv.Revision
	record   *Record
}

// NewDecoder returns a decoder with an empty cache.
func NewDecoder() *Decoder { return &Decoder{cache: map[string]cachedRecord{}} }

// Decode returns the configuration, nil before the first change of a team or a drain. Its
// version is the number of the last change of a team or a drain.
// entries must be all entries below Prefix. An entry that cannot be decoded or is
// invalid is an error; the configuration of the other entries is not returned.
func (d *Decoder) Decode(entries map[string]kv.Entry) (*route.Table, error) {
	counterEntry, ok := entries[changeCounterKey]
	if !ok {
		return nil, nil
	}
	counter, err := decodeChangeCounter(counterEntry)
	if err != nil {
		return nil, err
	}
	specs, revisions, err := d.specs(entries)
	if err != nil {
		return nil, err
	}
	snapshot := NewSnapshot(specs, revisions)
	snapshot.Drained = map[string]bool{}
	lastRevision := counterEntry.ModRevision
	for key, e := range entries {
		lastRevision = max(lastRevision, e.ModRevision)
		if target, ok := strings.CutPrefix(key, drainPrefix); ok {
			snapshot.Drained[target] = true
		}
	}
	return snapshot.Table(counter.Change, lastRevision), nil
}

// specs returns the subtrees and their revisions, and updates the cache.
func (d *Decoder) specs(entries map[string]kv.Entry) ([]*TeamSpec, map[fleet.Team]uint64, error) {
	var specs []*TeamSpec
	revisions := map[fleet.Team]uint64{}
	cache := map[string]cachedRecord{}
	for key, e := range entries {
		if !strings.HasPrefix(key, teamPrefix) {
			continue
		}
		cached, ok := d.cache[key]
		if !ok || cached.revision != e.ModRevision {
			record, err := decodeRecord(e)
			if err != nil {
				return nil, nil, err
			}
			if problems := Validate(record.Spec); len(problems) > 0 {
				return nil, nil, fmt.Errorf("entry %q: %w", key, &InvalidError{Problems: problems})
			}
			cached = cachedRecord{e.ModRevision, record}
		}
		cache[key] = cached
		specs = append(specs, cached.record.Spec)
		revisions[cached.record.Spec.Team] = cached.record.Revision
	}
	d.cache = cache
	return specs, revisions, nil
}
