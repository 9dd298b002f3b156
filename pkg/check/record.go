// Package check judges a run of a deployment from the records of the
// targets, the logs of the callers and the revisions that nodes reported. It
// shares no code with the parts that it judges.
package check

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/standin/engine"
)

// Call is one request as its caller saw it.
type Call struct {
	// ID is the request identifier that the answer carried; it is the one
	// under which targets record the request.
	ID string `json:"id"`
	// Sent and Ended are when the caller sent the request and had the end of
	// the answer, or gave up.
	Sent  time.Time `json:"sent"`
	Ended time.Time `json:"ended"`
	// First is when the first token or byte came; zero when none did.
	First time.Time `json:"first,omitzero"`
	// Timeout is the deadline that the caller asked for, counted from Sent.
	Timeout time.Duration `json:"timeout_ns"`
	// IdempotencyKey is the caller's key; empty for none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Idempotent calls may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	Status     int  `json:"status"`
	// Run is what the answer said of the request: no, unknown or yes. It is
	// yes for a complete answer.
	Run fault.Run `json:"run"`
	// Code is the error kind's code; empty for a complete answer.
	Code string `json:"code,omitempty"`
	// Complete is set when the answer had its explicit end.
	Complete bool `json:"complete,omitempty"`
	// Replayed is set when the answer repeats that of an earlier request
	// with the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
	// Events counts the events of a stream with the one that ends it;
	// EventIDs holds the numbers of those that carry one.
	Events int `json:"events,omitempty"`
	// Expected is the number of events that the request asked for, 0 when
	// it is not known.
	Expected int     `json:"expected,omitempty"`
	EventIDs []int64 `json:"event_ids,omitempty"`
	// AnswerIDs are the request identifiers found within the answer.
	AnswerIDs []string `json:"answer_ids,omitempty"`
	// CallerGone is set when the caller itself hung up.
	CallerGone bool `json:"caller_gone,omitempty"`
	// Service and Class group the calls in histograms.
	Service fleet.Service `json:"service,omitempty"`
}

// LimitChange is a replica limit that operators put in force.
type LimitChange struct {
	At time.Time `json:"at"`
	// Key is the replica without its version: versions share a limit of
	// their own each, see Max.
	Key fleet.ReplicaKey `json:"key"`
	Max int              `json:"max"`
}

// RevisionSeen is a subtree's revision that a node process had in force.
type RevisionSeen struct {
	At          time.Time    `json:"at"`
	Node        fleet.NodeID `json:"node"`
	Incarnation string       `json:"incarnation"`
	Team        fleet.Team   `json:"team"`
	Revision    uint64       `json:"revision"`
}

// Accepted is a change of a subtree that an operator was told is accepted.
type Accepted struct {
	At       time.Time  `json:"at"`
	Team     fleet.Team `json:"team"`
	Revision uint64     `json:"revision"`
}

// Stop is a planned stop: requests in progress on the target or through the
// node are not to be cut off by it.
type Stop struct {
	At   time.Time    `json:"at"`
	Node fleet.NodeID `json:"node"`
}

// Run is everything that is known of a run.
type Run struct {
	Targets   []engine.Record
	Calls     []Call
	Limits    []LimitChange
	Revisions []RevisionSeen
	Accepted  []Accepted
	// End is when the run ended.
	End time.Time
}

// Recorder collects what targets do. It implements engine.Recorder.
type Recorder struct {
	mu      sync.Mutex
	records []engine.Record
}

// Record implements engine.Recorder.
func (r *Recorder) Record(rec engine.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

// Records returns a copy of what was collected.
func (r *Recorder) Records() []engine.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]engine.Record(nil), r.records...)
}

// WriteLines writes values as JSON lines.
func WriteLines[T any](w io.Writer, values []T) error {
	enc := json.NewEncoder(w)
	for _, v := range values {
		if err := enc.Encode(v); err != nil {
			return fmt.Errorf("write record: %w", err)
		}
	}
	return nil
}

// maxLineBytes bounds one record's line.
const maxLineBytes = 1 << 20

// ReadLines reads values from JSON lines.
func ReadLines[T any](r io.Reader) ([]T, error) {
	var out []T
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var v T
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("record on line %d: %w", n, err)
		}
		out = append(out, v)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read records: %w", err)
	}
	return out, nil
}
