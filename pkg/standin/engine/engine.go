// Package engine is the stand-in for a model engine: it loads replicas,
// batches requests, streams tokens, checks or ignores fencing numbers, and
// keeps a record of what it did for the checker.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondturn/fleet"
	"almondturn/pkg/standin/weights"
)

// Options describe one engine.
type Options struct {
	Target      fleet.TargetID
	MemoryBytes int64
	MaxRunning  int
	// QueueLimit is the number of requests that wait beyond MaxRunning.
	QueueLimit    int
	ChecksFencing bool
	// Prefill is the time to the first token, TokenInterval the time
	// between tokens.
	Prefill       time.Duration
	TokenInterval time.Duration
	// LoadMemory, LoadDisk and LoadRemote are load times by cache level.
	LoadMemory time.Duration
	LoadDisk   time.Duration
	LoadRemote time.Duration
	// LoadAdapter is the load time of an adapter.
	LoadAdapter time.Duration
	// StateLag is the age of the state that the engine reports.
	StateLag time.Duration
	// ResumeGrace is how long a stream goes on without its reader.
	ResumeGrace time.Duration
	// OnDisk lists the checkpoints cached on disk at the start.
	OnDisk []string
}

// DefaultOptions returns a small, quick engine for trials.
func DefaultOptions(target fleet.TargetID) Options {
	return Options{
		Target:        target,
		MemoryBytes:   8 << 30,
		MaxRunning:    8,
		QueueLimit:    32,
		ChecksFencing: true,
		Prefill:       20 * time.Millisecond,
		TokenInterval: 10 * time.Millisecond,
		LoadMemory:    200 * time.Millisecond,
		LoadDisk:      600 * time.Millisecond,
		LoadRemote:    1500 * time.Millisecond,
		LoadAdapter:   7 * time.Millisecond,
		StateLag:      50 * time.Millisecond,
		ResumeGrace:   5 * time.Second,
	}
}

// Faults are the faults in force. The zero value is a healthy engine.
type Faults struct {
	// LoseOrderAnswers executes the next n orders and cuts the connection.
	LoseOrderAnswers int
	// OrderDelay is added before an order is executed.
	OrderDelay time.Duration
	// FailLoads fails the next n loads.
	FailLoads int
	// StallLoads makes loads never finish.
	StallLoads bool
	// CutStreams cuts the next n streams after CutAfter events.
	CutStreams int
	CutAfter   int
	// Silent accepts requests and never answers.
	Silent bool
	// WrongID answers the next n requests with another request's identifier.
	WrongID int
}

// Engine is one running engine. Its methods may be called concurrently.
type Engine struct {
	opts     Options
	store    *weights.Store
	recorder Recorder

	mu          sync.Mutex // guards all below
	incarnation string
	ctx         context.Context // ends with the incarnation
	cancel      context.CancelFunc
	replicas    map[fleet.ReplicaKey]*replica
	inMemory    []string
	onDisk      []string
	epoch       fleet.Epoch
	sequence    uint64
	leaving     bool
	faults      Faults
	runs        map[string]*run
	running     int
	waiting     []*waiter
	reported    fleet.TargetState
	reportedAt  time.Time
}

type replica struct {
	key     fleet.ReplicaKey
	memory  int64
	phase   fleet.ReplicaPhase
	running int
	served  uint64
	done    chan struct{} // closed when loading ends
	failed  bool
}

// New returns an engine with nothing loaded.
func New(o Options, store *weights.Store, rec Recorder) *Engine {
	if rec == nil {
		rec = discard{}
	}
	e := &Engine{opts: o, store: store, recorder: rec, onDisk: slices.Clone(o.OnDisk)}
	e.resetLocked()
	return e
}

// Restart ends all requests and loads and starts a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	e.resetLocked()
	e.record(Record{Kind: RecordRestart})
}

// Close ends all requests and loads.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving makes the engine announce that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.reportedAt = time.Time{}
	e.record(Record{Kind: RecordLeaving})
}

// State returns the true state, without lag.
func (e *Engine) State() fleet.TargetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateLocked()
}

func (e *Engine) resetLocked() {
	e.incarnation = uuid.NewString()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.replicas = map[fleet.ReplicaKey]*replica{}
	e.inMemory = nil
	e.epoch, e.sequence = 0, 0
	e.runs = map[string]*run{}
	e.running = 0
	for _, w := range e.waiting {
		close(w.ready)
	}
	e.waiting = nil
	e.reportedAt = time.Time{}
}

// reportedState returns the state as the engine reports it, up to StateLag old.
func (e *Engine) reportedState() fleet.TargetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.reportedAt) >= e.opts.StateLag {
		e.reported = e.stateLocked()
		e.reportedAt = now
	}
	return e.reported
}

func (e *Engine) stateLocked() fleet.TargetState {
	s := fleet.TargetState{
		Target:        e.opts.Target,
		Incarnation:   e.incarnation,
		ChecksFencing: e.opts.ChecksFencing,
		MemoryBytes:   e.opts.MemoryBytes,
		InMemory:      slices.Clone(e.inMemory),
		OnDisk:        slices.Clone(e.onDisk),
		Running:       e.running,
		Waiting:       len(e.waiting),
		MaxRunning:    e.opts.MaxRunning,
		Leaving:       e.leaving,
		Epoch:         e.epoch,
		Sequence:      e.sequence,
	}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, fleet.ReplicaState{
			Key: r.key, Phase: r.phase, MemoryBytes: r.memory, Running: r.running, Served: r.served,
		})
	}
	slices.SortFunc(s.Replicas, func(a, b fleet.ReplicaState) int { return a.Key.Compare(b.Key) })
	return s
}

func (e *Engine) usedLocked() int64 {
	var sum int64
	for _, r := range e.replicas {
		sum += r.memory
	}
	return sum
}

// Handler serves the protocol of pkg/target/api.go.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/state", e.serveState)
	mux.HandleFunc("POST /engine/orders", e.serveOrder)
	mux.HandleFunc("DELETE /engine/requests/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	return mux
}
