package catalog

import (
	"fmt"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/platform"
)

// Keys in the key-value service.
const (
	prefixHead  = platform.SharedPrefix + "catalog/"
	prefixChunk = "chunk/"
	prefixName  = "name/"
)

// maxHistory is the number of former revisions that a head remembers.
const maxHistory = 20

// Head is the head of a team's subtree in the key-value service. Its
// compare-and-swap is the moment at which a change is accepted.
type Head struct {
	Team fleet.Team `cbor:"1,keyasint"`
	// Revision counts the team's accepted changes. It goes on rising when the
	// service's own counter falls back.
	Revision uint64 `cbor:"2,keyasint"`
	// WriteID is unique per accepted change.
	WriteID string    `cbor:"3,keyasint"`
	Author  string    `cbor:"4,keyasint"`
	Time    time.Time `cbor:"5,keyasint"`
	// Chunks are the parts of the subtree, in order.
	Chunks []Digest `cbor:"6,keyasint"`
	// History lists former revisions, newest first.
	History []Past `cbor:"7,keyasint,omitempty"`
}

// Past is a former revision of a subtree.
type Past struct {
	Revision uint64    `cbor:"1,keyasint" json:"revision"`
	WriteID  string    `cbor:"2,keyasint" json:"write_id"`
	Author   string    `cbor:"3,keyasint" json:"author"`
	Time     time.Time `cbor:"4,keyasint" json:"time"`
	// Manifest is the chunk that lists the revision's chunks.
	Manifest Digest `cbor:"5,keyasint" json:"-"`
}

func headKey(team fleet.Team) string { return prefixHead + string(team) }

// chunkPrefix keeps the chunks of teams apart, so that the writers of one
// head are the only writers of its chunks.
func chunkPrefix(team fleet.Team) string { return prefixChunk + string(team) + "/" }

func chunkKey(team fleet.Team, d Digest) string { return chunkPrefix(team) + d.String() }

func (h *Head) encode() ([]byte, error) {
	data, err := encMode.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head of team %q: %w", h.Team, err)
	}
	return data, nil
}

func decodeHead(data []byte) (*Head, error) {
	h := new(Head)
	if err := decMode.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("decode head: %w", err)
	}
	if h.Team == "" || h.Revision == 0 {
		return nil, fmt.Errorf("decode head: team or revision is missing")
	}
	return h, nil
}

// past returns the entry under which a later head remembers this one, and
// the manifest chunk that the entry points to.
func (h *Head) past() (Past, Chunk, error) {
	data, err := encMode.Marshal(part{Manifest: h.Chunks})
	if err != nil {
		return Past{}, Chunk{}, fmt.Errorf("encode manifest: %w", err)
	}
	c := newChunk(data)
	return Past{Revision: h.Revision, WriteID: h.WriteID, Author: h.Author, Time: h.Time, Manifest: c.Digest}, c, nil
}

// writeAt returns the write that made the given revision; false when the
// head does not remember it.
func (h *Head) writeAt(revision uint64) (string, bool) {
	if h.Revision == revision {
		return h.WriteID, true
	}
	for _, p := range h.History {
		if p.Revision == revision {
			return p.WriteID, true
		}
	}
	return "", false
}

// revisionOf returns the revision that a write made.
func (h *Head) revisionOf(writeID string) (uint64, bool) {
	if h.WriteID == writeID {
		return h.Revision, true
	}
	i := slices.IndexFunc(h.History, func(p Past) bool { return p.WriteID == writeID })
	if i < 0 {
		return 0, false
	}
	return h.History[i].Revision, true
}

// relation tells how a head stands to the one in force.
type relation int

const (
	// relationNewer: it comes after the one in force.
	relationNewer relation = iota
	// relationSame: it is the one in force.
	relationSame
	// relationOlder: it comes before the one in force.
	relationOlder
	// relationForked: it does not descend from the one in force, because
	// the service lost changes.
	relationForked
)

// compareHeads tells how candidate stands to inForce, which may be nil.
func compareHeads(candidate, inForce *Head) relation {
	if inForce == nil {
		return relationNewer
	}
	if candidate.Revision < inForce.Revision {
		return relationOlder
	}
	if write, known := candidate.writeAt(inForce.Revision); known && write != inForce.WriteID {
		return relationForked
	}
	if candidate.Revision == inForce.Revision {
		return relationSame
	}
	return relationNewer
}
