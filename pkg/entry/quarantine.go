package entry

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/quarantine"
	"almondturn/wire"
)

// evidenceInterval is the shortest time between two messages with evidence. Evidence
// in between is collected.
const evidenceInterval = 15 * time.Millisecond

// maxSuspectRetryAfter bounds the time that a client is asked to wait because of a
// suspect.
const maxSuspectRetryAfter = time.Minute

// crashGuard keeps requests from targets that they, or one of the parts of their prompts,
// may crash. It exchanges its evidence with the other nodes through the owners of the
// zones: each node sends it to all owners that it reaches, and an owner sends what is
// new to it to all nodes that are connected to it.
type crashGuard struct {
	node   *Node
	ledger *quarantine.Ledger
	// unbegun are the attempts that may still be kept from beginning at a target.
	unbegun unbegunAttempts
	// stored is the evidence in the key-value service.
	stored *storedEvidence

	mu sync.Mutex // guards all below
	// unsent are the parts with new evidence of this node, unrelayed those with new
	// evidence of other nodes. flushing is true while a flush is due, and flushedAt
	// is when the last one was.
	unsent, unrelayed []quarantine.Part
	flushing          bool
	flushedAt         time.Time
}

// newCrashGuard returns a crashGuard without evidence.
func newCrashGuard(n *Node) *crashGuard {
	spread := func(p quarantine.Part) float64 {
		return float64(fleet.RendezvousWeight(string(n.self.ID), p.ID)) / math.MaxUint64
	}
	g := &crashGuard{node: n, ledger: quarantine.New(spread)}
	g.stored = newStoredEvidence(g)
	return g
}

// suspectParts returns the parts of j that may be suspects: the whole request, and then the
// shared parts of its prompt.
func (j *job) suspectParts() []quarantine.Part {
	parts := make([]quarantine.Part, 0, 1+len(j.SharedParts))
	parts = append(parts, quarantine.Part{Service: j.service, ID: j.digest(), Kind: quarantine.WholeRequest})
	for _, id := range j.SharedParts {
		parts = append(parts, quarantine.Part{Service: j.service, ID: id})
	}
	return parts
}

// wholeRequest returns the part of j that stands for the request itself.
func (j *job) wholeRequest() []quarantine.Part { return j.parts[:1] }

// admit decides once more, immediately before the request is sent to a target. If the request
// is a trial, it returns the suspects, and announces the trial to the other nodes.
func (g *crashGuard) admit(j *job, target string) ([]quarantine.Part, *ErrorResponse) {
	d := g.ledger.Admit(time.Now(), j.parts)
	if r := g.refusal(j, d); r != nil {
		return nil, r
	}
	for _, p := range d.Trials {
		withPart(event.PartTrial.Log(g.node.log).Str("request", j.ID), p).Str("target", target).Send()
	}
	g.send(d.Trials)
	return d.Trials, nil
}

// refusal returns the refusal that belongs to a decision, nil if the request may be
// sent.
func (g *crashGuard) refusal(j *job, d quarantine.Decision) *ErrorResponse {
	if d.Allowed {
		return nil
	}
	g.node.metrics.countQuarantined(d.Part.Service)
	withPart(event.PartRefused.Log(g.node.log).Str("request", j.ID), d.Part).Int("crashes", d.Crashes).Int("rounds", d.Rounds).
		Dur("last_crash_ms", time.Since(d.LastCrash)).Dur("retry_after_ms", d.RetryAfter).Send()
	retryAfter := min(max(d.RetryAfter, defaultRetryAfter), maxSuspectRetryAfter)
	if d.Part.Kind == quarantine.WholeRequest {
		return newErrorResponse(fault.RequestSuspended, retryAfter, "this request may have crashed %d targets", d.Crashes)
	}
	return newErrorResponse(fault.PromptSuspended, retryAfter, "the part %q of the prompt may have crashed %d targets", d.Part.ID, d.Crashes)
}

// withPart adds the fields of a part to a log line.
func withPart(line *zerolog.Event, p quarantine.Part) *zerolog.Event {
	return line.Str("service", p.Service).Stringer("kind", p.Kind).Str("part", p.ID)
}

// progressed records that the response of the current attempt goes on.
func (g *crashGuard) progressed(j *job) {
	if j.survived || time.Since(j.responseBegun) < quarantine.SurvivalTime {
		return
	}
	g.recordSurvival(j, j.parts)
}

// attemptEnded records what the end of an attempt says about the parts of the request. A
// failure that the target reports says nothing about the parts of the prompt, which it need
// not have read, and a server error nothing about the request, which it need not have run.
func (g *crashGuard) attemptEnded(j *job, a assignment, r sendResult) {
	if j.survived {
		return
	}
	begun, success := !j.responseBegun.IsZero(), r.status < http.StatusMultipleChoices
	complete := (r.kind == completed || r.kind == failedRun) && !r.endsWithConnection
	broken := r.kind == outcomeUnknown && connectionBroken(r.err)
	switch {
	case begun && complete && success:
		g.recordSurvival(j, j.parts)
	case begun && complete && r.status < http.StatusInternalServerError:
		g.recordSurvival(j, j.wholeRequest())
	case begun && broken && success && time.Since(j.responseBegun) <= quarantine.YoungTime:
		g.recordCrash(j, a, time.Now(), j.parts)
	case !begun && broken:
		g.responseMissing(j, a)
	}
}

// trialEnded ends the trials of an attempt that had no result. The other nodes learn of those
// that a target has refused, if they count.
func (g *crashGuard) trialEnded(a assignment, r sendResult) {
	held := g.ledger.TrialEnded(time.Now(), a.admittedAt, a.trials, !r.sentNothing())
	if len(held) == 0 {
		return
	}
	for _, p := range held {
		crashes, rounds := g.ledger.Evidence(p)
		withPart(event.PartTrialRefused.Log(g.node.log), p).Str("target", a.target.ID).Stringer("result", r.kind).Int("crashes", crashes).Int("rounds", rounds).Send()
	}
	g.send(held)
	g.stored.changed(held)
}

// crashConfirmTimeout bounds the attempt to connect to a target that has closed a
// connection.
const crashConfirmTimeout = 250 * time.Millisecond

// responseMissing records a crash if the target of an attempt, which has closed the
// connection before the head of a response, can't be connected to. One that can has closed
// only this connection, for example because it was idle. The target need not have read the
// prompt, so that only the whole request is a possible cause.
func (g *crashGuard) responseMissing(j *job, a assignment) {
	brokenAt := time.Now()
	ctx, cancel := context.WithTimeout(g.node.ctx, crashConfirmTimeout)
	defer cancel()
	err := g.node.pool.Connect(ctx, a.target.Addr)
	if err != nil && g.node.ctx.Err() == nil && !isOwnShortage(err) {
		g.recordCrash(j, a, brokenAt, j.wholeRequest())
	}
}

// isOwnShortage reports whether a connection failed because this VM lacks descriptors, ports
// or memory, which says nothing about the target.
func isOwnShortage(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM},
		func(shortage error) bool { return errors.Is(err, shortage) })
}

// connectionBroken reports whether err says that the target closed or reset the
// connection before the end of its response.
func connectionBroken(err error) bool {
	return errors.Is(err, errNoEvent) || errors.Is(err, errIncompleteEvent) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// recordSurvival records that the current attempt, of a request with the parts, has
// survived.
func (g *crashGuard) recordSurvival(j *job, parts []quarantine.Part) {
	j.survived = true
	cleared := g.ledger.RunSurvived(j.responseBegun, parts)
	for _, p := range cleared {
		withPart(event.PartCleared.Log(g.node.log).Str("request", j.ID), p).Str("target", j.lastTarget).Send()
	}
	g.send(cleared)
	g.stored.changed(cleared)
}

// recordCrash records that the target of the current attempt crashed at a time when it had
// just begun to run a request with the parts, or may have.
func (g *crashGuard) recordCrash(j *job, a assignment, at time.Time, parts []quarantine.Part) {
	g.node.metrics.countPromptCrash(j.service)
	changed := g.ledger.RunCrashed(at, quarantine.Crash{Target: a.target.ID, Incarnation: a.target.Incarnation}, j.ID, parts)
	for _, p := range changed {
		crashes, rounds := g.ledger.Evidence(p)
		line := withPart(event.PartSuspected.Log(g.node.log).Str("request", j.ID), p).Str("target", a.target.ID)
		if !j.responseBegun.IsZero() {
			line = line.Dur("begun_ms", at.Sub(j.responseBegun))
		}
		line.Int("crashes", crashes).Int("rounds", rounds).Send()
	}
	g.send(changed)
	g.stored.changed(changed)
	g.suspendAttempts(changed)
}

// send sends the evidence about parts to the other nodes within evidenceInterval.
func (g *crashGuard) send(parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsent = append(g.unsent, parts...)
	g.scheduleFlush()
}

// scheduleFlush makes flush run as soon as evidenceInterval allows. g.mu must be held.
func (g *crashGuard) scheduleFlush() {
	if !g.flushing {
		g.flushing = true
		time.AfterFunc(evidenceInterval-time.Since(g.flushedAt), g.flush)
	}
}

// flush sends the collected evidence.
func (g *crashGuard) flush() {
	g.mu.Lock()
	own, foreign := g.unsent, g.unrelayed
	now := time.Now()
	g.unsent, g.unrelayed, g.flushing, g.flushedAt = nil, nil, false, now
	g.mu.Unlock()
	if len(own) > 0 {
		g.node.links.sendToOwners(g.message(now, own))
	}
	if g.node.owner.IsOwner() {
		g.node.links.Broadcast(g.message(now, append(own, foreign...)))
	}
}

// message returns the evidence about parts as a message.
func (g *crashGuard) message(now time.Time, parts []quarantine.Part) *wire.PartEvidence {
	unique := make([]quarantine.Part, 0, len(parts))
	for _, p := range parts {
		if !slices.Contains(unique, p) {
			unique = append(unique, p)
		}
	}
	return evidenceMessage(g.ledger.Records(now, unique))
}

// introduce sends a node that has connected the evidence about all suspects.
func (g *crashGuard) introduce(to fleet.NodeID) {
	if evidence := g.all(); evidence != nil {
		g.node.links.Send(to, evidence)
	}
}

// all returns the evidence about all suspects as a message, nil without any.
func (g *crashGuard) all() *wire.PartEvidence {
	if records := g.ledger.AllRecords(time.Now()); len(records) > 0 {
		return evidenceMessage(records)
	}
	return nil
}

// receive merges the evidence of another node. An owner relays what is new.
func (g *crashGuard) receive(from fleet.NodeID, m *wire.PartEvidence) {
	changed, corrections := g.ledger.Merge(time.Now(), evidenceRecords(m))
	if len(changed) > 0 {
		event.PartEvidenceReceived.Log(g.node.log).Str("from", string(from)).Int("parts", len(changed)).Str("first", changed[0].ID).Int("suspects", g.ledger.Suspects()).Send()
	}
	g.send(corrections)
	g.stored.deleteAnswered(corrections)
	g.stored.completed(changed)
	g.suspendAttempts(changed)
	if len(changed) == 0 || !g.node.owner.IsOwner() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unrelayed = append(g.unrelayed, changed...)
	g.scheduleFlush()
}

// evidenceMessage converts records to a message.
func evidenceMessage(records []quarantine.Record) *wire.PartEvidence {
	m := &wire.PartEvidence{Parts: make([]wire.PartRecord, len(records))}
	for i, r := range records {
		p := wire.PartRecord{Service: r.Part.Service, Part: r.Part.ID, Kind: uint8(r.Part.Kind), Rounds: r.Rounds, Refused: r.Refused, RefusedAgeMillis: r.RefusedAge.Milliseconds(), Survived: r.Survived, SurvivedAgeMillis: r.SurvivedAge.Milliseconds(), TrialMillis: r.TrialLeft.Milliseconds()}
		for _, c := range r.Crashes {
			p.Crashes = append(p.Crashes, wire.CrashRecord{Target: c.Target, Incarnation: c.Incarnation, AgeMillis: c.Age.Milliseconds(), Requests: c.Requests})
		}
		m.Parts[i] = p
	}
	return m
}

// maxEvidenceAge is the largest age in a message; larger ones count as this. It is more than
// the crashes held of a suspect span at the longest hold, so that their rounds stay apart.
const maxEvidenceAge = 30 * 24 * time.Hour

// evidenceAge returns the age of that many milliseconds, 0 for a negative number and at most
// maxEvidenceAge.
func evidenceAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxEvidenceAge.Milliseconds())) * time.Millisecond
}

// evidenceRecords converts a message to records. Negative times count as 0; records of an
// unknown kind, which a later version may send, are left out.
func evidenceRecords(m *wire.PartEvidence) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(m.Parts))
	for _, p := range m.Parts {
		part := quarantine.Part{Service: p.Service, ID: p.Part, Kind: quarantine.Kind(p.Kind)}
		if !part.Kind.Valid() {
			continue
		}
		r := quarantine.Record{Part: part, Rounds: max(p.Rounds, 0), Refused: p.Refused, RefusedAge: evidenceAge(p.RefusedAgeMillis), Survived: p.Survived, SurvivedAge: evidenceAge(p.SurvivedAgeMillis), TrialLeft: evidenceAge(p.TrialMillis)}
		for _, c := range p.Crashes {
			r.Crashes = append(r.Crashes, quarantine.CrashAge{Crash: quarantine.Crash{Target: c.Target, Incarnation: c.Incarnation}, Requests: c.Requests, Age: evidenceAge(c.AgeMillis)})
		}
		records = append(records, r)
	}
	return records
}
