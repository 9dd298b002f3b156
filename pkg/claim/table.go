package claim

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// entry is one claim as the key-value service holds it.
type entry struct {
	Key []byte `cbor:"1,keyasint"`
	// Body is the digest of the request.
	Body []byte `cbor:"2,keyasint"`
	// RequestID, Node and Incarnation identify the holder. The request
	// identifier also shows a writer whose answer was lost that the claim
	// is the one it wrote.
	RequestID   string       `cbor:"3,keyasint"`
	Node        fleet.NodeID `cbor:"4,keyasint"`
	Incarnation string       `cbor:"5,keyasint"`
	Idempotent  bool         `cbor:"6,keyasint,omitempty"`
	// Outcome is nil while the request is in progress.
	Outcome *wire.Outcome `cbor:"7,keyasint,omitempty"`
	// Expires is in Unix seconds.
	Expires int64 `cbor:"8,keyasint"`
	// Ends is the time, in Unix seconds, by which the holder has ended the
	// request and recorded its outcome if it ever will.
	Ends int64 `cbor:"9,keyasint"`
}

// entryOverheadBytes is the encoded size of an entry without its variable parts.
const entryOverheadBytes = 48

func (e *entry) size() int {
	n := entryOverheadBytes + len(e.Key) + len(e.Body) + len(e.RequestID) + len(e.Node) + len(e.Incarnation)
	if e.Outcome != nil {
		n += len(e.Outcome.Body) + len(e.Outcome.ContentType)
	}
	return n
}

// table is the claims of one hash range.
type table struct {
	entries map[string]*entry
	bytes   int
}

func newTable() *table { return &table{entries: map[string]*entry{}} }

func decodeTable(value []byte) (*table, error) {
	var list []*entry
	if err := cbor.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	t := newTable()
	for i, e := range list {
		if e == nil {
			return nil, fmt.Errorf("decode claims: entry %d is empty", i)
		}
		t.put(e)
	}
	return t, nil
}

func (t *table) encode() ([]byte, error) {
	value, err := cbor.Marshal(t.byExpiry())
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return value, nil
}

// byExpiry returns the entries, those that expire first in front.
func (t *table) byExpiry() []*entry {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Expires, b.Expires), bytes.Compare(a.Key, b.Key))
	})
	return list
}

// clone returns a copy whose changes do not show in t. Entries are shared
// and replaced, never changed.
func (t *table) clone() *table {
	c := &table{entries: make(map[string]*entry, len(t.entries)), bytes: t.bytes}
	for k, e := range t.entries {
		c.entries[k] = e
	}
	return c
}

func (t *table) put(e *entry) {
	t.remove(e.Key)
	t.entries[string(e.Key)] = e
	t.bytes += e.size()
}

func (t *table) remove(key []byte) {
	if old := t.entries[string(key)]; old != nil {
		t.bytes -= old.size()
		delete(t.entries, string(key))
	}
}

// prune removes expired claims.
func (t *table) prune(now time.Time) {
	for _, e := range t.entries {
		if e.Expires <= now.Unix() {
			t.remove(e.Key)
		}
	}
}

// fit makes room for n more bytes by giving up kept answers, the oldest
// first; false when there is no room.
func (t *table) fit(n, limit int) bool {
	if t.bytes+n <= limit {
		return true
	}
	for _, e := range t.byExpiry() {
		if e.Outcome == nil || len(e.Outcome.Body) == 0 {
			continue
		}
		short := *e
		outcome := *e.Outcome
		outcome.Body, outcome.Truncated = nil, true
		short.Outcome = &outcome
		t.put(&short)
		if t.bytes+n <= limit {
			return true
		}
	}
	return false
}

// rules are what decisions on claims depend on beside the table.
type rules struct {
	now       time.Time
	retention time.Duration
	// outcome is how long after its deadline a request's outcome may come.
	outcome time.Duration
	limit   int
	// alive tells whether the holder's process runs still.
	alive func(node fleet.NodeID, incarnation string) bool
}

// claim decides on a request for a claim. changed tells that the table must
// be written before the answer holds.
func (t *table) claim(c *wire.Claim, r rules) (result wire.ClaimResult, changed bool) {
	have := t.entries[string(c.Key)]
	if have != nil && have.Expires <= r.now.Unix() {
		have = nil
	}
	if have == nil {
		return t.grant(c, r)
	}
	if !bytes.Equal(have.Body, c.Body) {
		return wire.ClaimResult{State: wire.ClaimMismatch}, false
	}
	if have.Outcome != nil {
		return wire.ClaimResult{State: wire.ClaimFinished, Outcome: *have.Outcome}, false
	}
	if have.RequestID == c.RequestID {
		return wire.ClaimResult{State: wire.ClaimGranted}, false
	}
	if r.now.Unix() <= have.Ends && r.alive(have.Node, have.Incarnation) {
		return wire.ClaimResult{State: wire.ClaimInProgress}, false
	}
	if have.Idempotent && c.Idempotent {
		return t.grant(c, r)
	}
	// The holder died, or could not record the outcome; nobody knows
	// whether it had sent the request.
	unknown := wire.Outcome{Run: string(fault.RunUnknown)}
	return wire.ClaimResult{State: wire.ClaimFinished, Outcome: unknown}, false
}

func (t *table) grant(c *wire.Claim, r rules) (wire.ClaimResult, bool) {
	e := &entry{
		Key:         c.Key,
		Body:        c.Body,
		RequestID:   c.RequestID,
		Node:        c.Node,
		Incarnation: c.Incarnation,
		Idempotent:  c.Idempotent,
		Expires:     r.now.Add(r.retention).Unix(),
		Ends:        r.now.Add(time.Duration(c.RemainingMillis)*time.Millisecond + r.outcome).Unix(),
	}
	if !t.fit(e.size(), r.limit) {
		return wire.ClaimResult{State: wire.ClaimUnsettled}, false
	}
	t.put(e)
	return wire.ClaimResult{State: wire.ClaimGranted}, true
}

// finish records an outcome; true when the table has changed. The claim of
// a request that was not run is given back.
func (t *table) finish(o *wire.ClaimOutcome, r rules) bool {
	have := t.entries[string(o.Key)]
	if have == nil || have.RequestID != o.RequestID || have.Outcome != nil {
		return false
	}
	if o.Outcome.Run == string(fault.RunNo) {
		t.remove(o.Key)
		return true
	}
	done := *have
	outcome := o.Outcome
	if !t.fit(len(outcome.Body)+len(outcome.ContentType), r.limit) {
		outcome.Body, outcome.Truncated = nil, true
	}
	done.Outcome = &outcome
	t.put(&done)
	return true
}
