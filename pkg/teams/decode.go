package teams

import (
	"fmt"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
)

// Decoder turns the entries below Prefix into a node's configuration. It is
// used by one goroutine.
type Decoder struct {
	// decoded are the records by key, so that a change of one team does not
	// read the subtrees of all others again.
	cache map[string]cachedRecord
}

type cachedRecord struct {
	revision kv.Revision
	record   *Record
}

// NewDecoder returns a decoder that has read nothing.
func NewDecoder() *Decoder { return &Decoder{cache: map[string]cachedRecord{}} }

// Decode returns the configuration, nil while no team has settings.
func (d *Decoder) Decode(entries map[string]kv.Entry) (*route.Table, error) {
	h, ok := entries[headKey]
	if !ok {
		return nil, nil
	}
	state, err := decodeAccepted(map[string]kv.Entry{headKey: h})
	if err != nil {
		return nil, err
	}
	specs, revisions, err := d.specs(entries)
	if err != nil {
		return nil, err
	}
	s := NewSnapshot(specs, revisions)
	s.Drained = map[string]bool{}
	last := h.ModRevision
	for key, e := range entries {
		last = max(last, e.ModRevision)
		if target, ok := strings.CutPrefix(key, drainPrefix); ok {
			s.Drained[target] = true
		}
	}
	return s.Table(state.change, uint64(last)), nil
}

// specs returns the subtrees and their revisions.
func (d *Decoder) specs(entries map[string]kv.Entry) ([]*TeamSpec, map[fleet.Team]uint64, error) {
	var specs []*TeamSpec
	revisions := map[fleet.Team]uint64{}
	kept := map[string]cachedRecord{}
	for key, e := range entries {
		if !strings.HasPrefix(key, teamPrefix) {
			continue
		}
		known, ok := d.cache[key]
		if !ok || known.revision != e.ModRevision {
			record, err := decodeRecord(e)
			if err != nil {
				return nil, nil, err
			}
			if problems := Validate(record.Spec); len(problems) > 0 {
				return nil, nil, fmt.Errorf("entry %q: %w", key, &InvalidError{Problems: problems})
			}
			known = cachedRecord{e.ModRevision, record}
		}
		kept[key] = known
		specs = append(specs, known.record.Spec)
		revisions[known.record.Spec.Team] = known.record.Revision
	}
	d.cache = kept
	return specs, revisions, nil
}
