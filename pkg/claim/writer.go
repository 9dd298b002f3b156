package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// ViewFunc returns what the node knows of the members.
type ViewFunc func() *peer.View

var (
	writes    = metrics.NewCounter("almondturn_claim_writes_total")
	conflicts = metrics.NewCounter("almondturn_claim_conflicts_total")
	claims    = metrics.NewCounter("almondturn_claim_requests_total")
)

// Writer settles the claims of the hash ranges that other nodes ask this
// node for. Any number of nodes may write a range at once: each change is a
// compare-and-swap on the whole range.
type Writer struct {
	opts   Options
	clock  platform.Clock
	logger zerolog.Logger
	kv     platform.KV
	view   ViewFunc

	mu     sync.Mutex // guards all below
	ranges map[string]*rangeWriter
	// missing is since when holders of claims have been out of sight.
	missing map[process]time.Time
}

// NewWriter returns a writer that has read nothing yet.
func NewWriter(opts Options, clock platform.Clock, logger zerolog.Logger, kv platform.KV, view ViewFunc) *Writer {
	return &Writer{
		opts:    opts,
		clock:   clock,
		logger:  logger,
		kv:      kv,
		view:    view,
		ranges:  map[string]*rangeWriter{},
		missing: map[process]time.Time{},
	}
}

// Register sets the handlers of the claims' messages.
func (w *Writer) Register(r *peer.Router) {
	r.Handle(wire.TypeClaim, w.handleClaim)
	r.Handle(wire.TypeClaimOutcome, w.handleOutcome)
}

func (w *Writer) handleClaim(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	c := m.(*wire.Claim)
	if len(c.Key) == 0 {
		return nil, fault.New(fault.BadRequest, "claim without a key")
	}
	claims.Inc()
	op := &operation{claim: c, done: make(chan struct{})}
	if err := w.submit(ctx, c.Key, op); err != nil {
		return nil, err
	}
	return &op.result, nil
}

func (w *Writer) handleOutcome(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	o := m.(*wire.ClaimOutcome)
	if len(o.Key) == 0 {
		return nil, fault.New(fault.BadRequest, "outcome without a key")
	}
	op := &operation{outcome: o, done: make(chan struct{})}
	if err := w.submit(ctx, o.Key, op); err != nil {
		return nil, err
	}
	if op.err != nil {
		return nil, fault.New(fault.PlatformUnavailable, "the outcome was not recorded: %w", op.err)
	}
	return &wire.Ack{}, nil
}

// submit hands the operation to its range and waits until it is settled.
func (w *Writer) submit(ctx context.Context, key []byte, op *operation) error {
	w.rangeOf(key).add(op)
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.OutcomeUnknown, "claim: %w", ctx.Err())
	}
}

func (w *Writer) rangeOf(key []byte) *rangeWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := rangeKey(key)
	r := w.ranges[name]
	if r == nil {
		r = &rangeWriter{writer: w, name: name}
		w.ranges[name] = r
	}
	return r
}

// process is one start of a node.
type process struct {
	node        fleet.NodeID
	incarnation string
}

// alive tells whether the process may run still. A node that is leaving or
// has just been connected is out of sight for a while.
func (w *Writer) alive(node fleet.NodeID, incarnation string) bool {
	view := w.view()
	p := process{node: node, incarnation: incarnation}
	for _, n := range append([]fleet.Node{view.Self}, view.Live...) {
		if n.ID == node {
			w.sighted(p)
			return n.Incarnation == incarnation
		}
	}
	return w.missingFor(p) <= w.opts.DeadAfter
}

// missingFor returns how long the process has been out of sight.
func (w *Writer) missingFor(p process) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if since, ok := w.missing[p]; ok {
		return now.Sub(since)
	}
	w.missing[p] = now
	return 0
}

func (w *Writer) sighted(p process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.missing, p)
}

// operation is one change or question that waits for its group commit.
type operation struct {
	claim   *wire.Claim
	outcome *wire.ClaimOutcome
	// done is closed once result or err is set.
	done   chan struct{}
	result wire.ClaimResult
	err    error
}

// rangeWriter commits the operations of one hash range in groups.
type rangeWriter struct {
	writer *Writer
	name   string

	mu      sync.Mutex // guards pending and busy
	pending []*operation
	busy    bool

	// The fields below belong to the goroutine that set busy.

	// table and revision are the state as last read or written; table is
	// nil when it has to be read.
	table    *table
	revision platform.Revision
	// readAt is when table was read or written.
	readAt time.Time
	// known is the last table read or written. Outcomes in it stay true.
	known *table
	// newest is the highest revision ever seen of the range.
	newest platform.Revision
	// unsure is set after a write of unknown outcome: it may still take
	// effect, until another write has succeeded.
	unsure bool
}

func (r *rangeWriter) add(op *operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, op)
	if !r.busy {
		r.busy = true
		go r.run()
	}
}

// run commits groups until nothing is pending. While a group is written the
// next one gathers.
func (r *rangeWriter) run() {
	for {
		r.gather()
		r.mu.Lock()
		group := r.pending
		r.pending = nil
		if len(group) == 0 {
			r.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		r.commit(group)
	}
}

// gather waits for more when only outcomes are pending, which nobody is
// kept waiting by.
func (r *rangeWriter) gather() {
	r.mu.Lock()
	urgent := len(r.pending) == 0
	for _, op := range r.pending {
		urgent = urgent || op.claim != nil
	}
	r.mu.Unlock()
	if !urgent {
		time.Sleep(r.writer.opts.OutcomeDelay)
	}
}

// commit settles a group of operations with one write, or none.
func (r *rangeWriter) commit(group []*operation) {
	err := r.tryCommit(group)
	if err != nil {
		event.ClaimWriteFailed.Log(&r.writer.logger).Err(err).Str("range", r.name).Int("operations", len(group)).Send()
	}
	for _, op := range group {
		if err != nil {
			op.result, op.err = r.unsettled(op), err
		}
		close(op.done)
	}
}

// unsettled answers an operation that could not be committed. An outcome
// that is known to be recorded stays true without the service.
func (r *rangeWriter) unsettled(op *operation) wire.ClaimResult {
	if op.claim != nil && r.known != nil {
		e := r.known.entries[string(op.claim.Key)]
		if e != nil && e.Outcome != nil && bytes.Equal(e.Body, op.claim.Body) {
			return wire.ClaimResult{State: wire.ClaimFinished, Outcome: *e.Outcome}
		}
	}
	return wire.ClaimResult{State: wire.ClaimUnsettled}
}

func (r *rangeWriter) tryCommit(group []*operation) error {
	var last error
	for range r.writer.opts.WriteAttempts {
		if r.writer.view().PlatformOlder {
			return errors.New("the key-value service is older than before")
		}
		cached := r.table != nil
		if last = r.read(); last != nil {
			continue
		}
		next, changed := r.apply(group)
		if cached && needsFreshTable(group) {
			r.table = nil
			if last = r.read(); last != nil {
				continue
			}
			next, changed = r.apply(group)
		}
		if !changed && !r.unsure {
			return nil
		}
		if last = r.write(next); last == nil {
			return nil
		}
	}
	return last
}

// needsFreshTable tells whether a result may be wrong because another node
// has changed the range since it was read. A grant is checked by its write,
// and a recorded outcome does not change.
func needsFreshTable(group []*operation) bool {
	for _, op := range group {
		if op.claim == nil {
			continue
		}
		switch op.result.State {
		case wire.ClaimInProgress, wire.ClaimMismatch, wire.ClaimUnsettled:
			return true
		case wire.ClaimFinished:
			if op.result.Outcome.Run != string(fault.RunYes) {
				return true
			}
		case wire.ClaimGranted:
		}
	}
	return false
}

// maxTableAge is how long a table is used without reading it again: other
// nodes may write the range as well.
const maxTableAge = time.Second

// read fills the table when it is not known or old.
func (r *rangeWriter) read() error {
	now := r.writer.clock.Now()
	if r.table != nil && now.Sub(r.readAt) < maxTableAge {
		return nil
	}
	r.table = nil
	ctx, cancel := context.WithTimeout(context.Background(), r.writer.opts.WriteTimeout)
	defer cancel()
	e, err := r.writer.kv.Get(ctx, r.name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read %s: %w", r.name, err)
	}
	if e.ModRevision < r.newest {
		return fmt.Errorf("%s went back from revision %d to %d", r.name, r.newest, e.ModRevision)
	}
	t := newTable()
	if err == nil {
		if t, err = decodeTable(e.Value); err != nil {
			return err
		}
	}
	r.newest = e.ModRevision
	r.know(t, e.ModRevision, now)
	return nil
}

func (r *rangeWriter) know(t *table, revision platform.Revision, now time.Time) {
	r.table, r.known, r.revision, r.readAt = t, t, revision, now
}

// apply runs the group on a copy of the table and sets the results, which
// hold once the copy is written.
func (r *rangeWriter) apply(group []*operation) (*table, bool) {
	now := r.writer.clock.Now()
	rules := rules{now: now, retention: r.writer.opts.Retention, outcome: r.writer.opts.OutcomeTimeout, limit: r.writer.opts.MaxRangeBytes, alive: r.writer.alive}
	next := r.table.clone()
	next.prune(now)
	changed := false
	for _, op := range group {
		if op.outcome != nil {
			changed = next.finish(op.outcome, rules) || changed
			continue
		}
		var wrote bool
		op.result, wrote = next.claim(op.claim, rules)
		changed = changed || wrote
		if op.result.State == wire.ClaimUnsettled {
			event.ClaimRangeFull.Log(&r.writer.logger).Str("range", r.name).Int("bytes", next.bytes).Send()
		}
	}
	return next, changed
}

// write puts the table in place of the one that was read.
func (r *rangeWriter) write(next *table) error {
	value, err := next.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.writer.opts.WriteTimeout)
	defer cancel()
	writes.Inc()
	revision, err := r.writer.kv.CompareAndSwap(ctx, r.name, value, r.revision, 0)
	if err == nil {
		r.newest, r.unsure = revision, false
		r.know(next, revision, r.writer.clock.Now())
		return nil
	}
	// Another writer was first, or the answer was lost: read the range
	// again. Applying the group again does not grant a claim twice, since
	// a claim that was written carries its request's identifier.
	r.table = nil
	if errors.Is(err, platform.ErrConflict) {
		conflicts.Inc()
		return fmt.Errorf("write %s: %w", r.name, err)
	}
	r.unsure = r.unsure || !errors.Is(err, platform.ErrUnavailable)
	return fmt.Errorf("write %s: %w", r.name, err)
}
