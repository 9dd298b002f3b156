package engine

import (
	"time"

	"almondturn/fleet"
)

// RecordKind tells what a record is about.
type RecordKind string

// The kinds of record.
const (
	RecordLoad   RecordKind = "load"
	RecordLoaded RecordKind = "loaded"
	// RecordLoadFailed: the load ended and took no memory.
	RecordLoadFailed RecordKind = "load_failed"
	RecordUnload     RecordKind = "unload"
	RecordStale      RecordKind = "stale_order"
	RecordStart      RecordKind = "request_start"
	RecordEnd        RecordKind = "request_end"
	RecordRestart    RecordKind = "restart"
	RecordLeaving    RecordKind = "leaving"
)

// Record is one thing that a target did.
type Record struct {
	At     time.Time        `json:"at"`
	Target fleet.TargetID   `json:"target"`
	Kind   RecordKind       `json:"kind"`
	Key    fleet.ReplicaKey `json:"key"`
	// RequestID, Outcome and Events describe a request.
	RequestID string `json:"request_id,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	Events    int    `json:"events,omitempty"`
	// UsedBytes and MemoryBytes are the memory taken and the VM's memory.
	UsedBytes   int64 `json:"used_bytes,omitempty"`
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// Epoch is the fencing number of an order.
	Epoch fleet.Epoch `json:"epoch,omitempty"`
}

// Recorder keeps records. It must not call back into the engine.
type Recorder interface {
	Record(r Record)
}

type discard struct{}

func (discard) Record(Record) {}

// record adds the fields that every record has; callers hold mu.
func (e *Engine) record(r Record) {
	r.At = time.Now()
	r.Target = e.opts.Target
	r.UsedBytes = e.usedLocked()
	r.MemoryBytes = e.opts.MemoryBytes
	e.recorder.Record(r)
}
