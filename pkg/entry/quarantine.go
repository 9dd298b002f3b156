package entry

import (
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

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

// promptGuard keeps requests from targets that one of the parts of their prompts may
// crash. It exchanges its evidence with the other nodes through the owners of the
// zones: each node sends it to all owners that it reaches, and an owner sends what is
// new to it to all nodes that are connected to it.
type promptGuard struct {
	node   *Node
	ledger *quarantine.Ledger
	// unbegun are the attempts that may still be kept from beginning at a target.
	unbegun unbegunAttempts

	mu sync.Mutex // guards all below
	// unsent are the parts with new evidence of this node, unrelayed those with new
	// evidence of other nodes. flushing is true while a flush is due, and flushedAt
	// is when the last one was.
	unsent, unrelayed []quarantine.Part
	flushing          bool
	flushedAt         time.Time
}

// newPromptGuard returns a promptGuard without evidence.
func newPromptGuard(n *Node) *promptGuard {
	spread := func(p quarantine.Part) float64 {
		return float64(fleet.RendezvousWeight(string(n.self.ID), p.ID)) / math.MaxUint64
	}
	return &promptGuard{node: n, ledger: quarantine.New(spread)}
}

// promptParts returns the parts of the prompt of j that may be suspects.
func (j *job) promptParts() []quarantine.Part {
	if len(j.SharedParts) == 0 {
		return nil
	}
	parts := make([]quarantine.Part, len(j.SharedParts))
	for i, id := range j.SharedParts {
		parts[i] = quarantine.Part{Service: j.service, ID: id}
	}
	return parts
}

// check returns the refusal of a request that may not be sent now, nil for others.
func (g *promptGuard) check(j *job) *ErrorResponse {
	return g.refusal(j, g.ledger.Check(time.Now(), j.parts))
}

// admit is check immediately before the request is sent to a target. If the request
// is a trial, it returns the suspects, and announces the trial to the other nodes.
func (g *promptGuard) admit(j *job, target string) ([]quarantine.Part, *ErrorResponse) {
	d := g.ledger.Admit(time.Now(), j.parts)
	if r := g.refusal(j, d); r != nil {
		return nil, r
	}
	for _, p := range d.Trials {
		event.PartTrial.Log(g.node.log).Str("request", j.ID).Str("service", p.Service).Str("part", p.ID).Str("target", target).Send()
	}
	g.send(d.Trials)
	return d.Trials, nil
}

// refusal returns the refusal that belongs to a decision, nil if the request may be
// sent.
func (g *promptGuard) refusal(j *job, d quarantine.Decision) *ErrorResponse {
	if d.Allowed {
		return nil
	}
	g.node.metrics.countQuarantined(d.Part.Service)
	event.PartRefused.Log(g.node.log).Str("request", j.ID).Str("service", d.Part.Service).Str("part", d.Part.ID).Int("crashes", d.Crashes).Int("rounds", d.Rounds).
		Dur("last_crash_ms", time.Since(d.LastCrash)).Dur("retry_after_ms", d.RetryAfter).Send()
	return newErrorResponse(fault.PromptSuspended, min(max(d.RetryAfter, defaultRetryAfter), maxSuspectRetryAfter),
		"the part %q of the prompt may have crashed %d targets", d.Part.ID, d.Crashes)
}

// progressed records that the response of the current attempt goes on.
func (g *promptGuard) progressed(j *job) {
	if j.survived || len(j.parts) == 0 || time.Since(j.responseBegun) < quarantine.SurvivalTime {
		return
	}
	g.recordSurvival(j)
}

// attemptEnded records what the end of an attempt says about the parts of the prompt.
func (g *promptGuard) attemptEnded(j *job, a assignment, r sendResult) {
	if len(j.parts) == 0 || j.survived {
		return
	}
	begun := !j.responseBegun.IsZero() && r.status < http.StatusMultipleChoices
	switch {
	case begun && r.kind == completed && !r.endsWithConnection:
		g.recordSurvival(j)
	case begun && r.kind == outcomeUnknown && connectionBroken(r.err) && time.Since(j.responseBegun) <= quarantine.YoungTime:
		g.recordCrash(j, a)
	}
}

// connectionBroken reports whether err says that the target closed or reset the
// connection before the end of its response.
func connectionBroken(err error) bool {
	return errors.Is(err, errNoEvent) || errors.Is(err, errIncompleteEvent) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// recordSurvival records that the current attempt has survived.
func (g *promptGuard) recordSurvival(j *job) {
	j.survived = true
	cleared := g.ledger.RunSurvived(j.responseBegun, j.parts)
	for _, p := range cleared {
		event.PartCleared.Log(g.node.log).Str("request", j.ID).Str("service", p.Service).Str("part", p.ID).Str("target", j.lastTarget).Send()
	}
	g.send(cleared)
}

// recordCrash records that the target of the current attempt crashed when it had just
// begun to respond.
func (g *promptGuard) recordCrash(j *job, a assignment) {
	now := time.Now()
	g.node.metrics.countPromptCrash(j.service)
	changed := g.ledger.RunCrashed(now, quarantine.Crash{Target: a.target.ID, Incarnation: a.target.Incarnation}, j.ID, j.parts)
	for _, p := range changed {
		crashes, rounds := g.ledger.Evidence(p)
		event.PartSuspected.Log(g.node.log).Str("request", j.ID).Str("service", p.Service).Str("part", p.ID).Str("target", a.target.ID).
			Dur("begun_ms", now.Sub(j.responseBegun)).Int("crashes", crashes).Int("rounds", rounds).Send()
	}
	g.send(changed)
	g.suspendAttempts(changed)
}

// send sends the evidence about parts to the other nodes within evidenceInterval.
func (g *promptGuard) send(parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unsent = append(g.unsent, parts...)
	g.scheduleFlush()
}

// scheduleFlush makes flush run as soon as evidenceInterval allows. g.mu must be held.
func (g *promptGuard) scheduleFlush() {
	if !g.flushing {
		g.flushing = true
		time.AfterFunc(evidenceInterval-time.Since(g.flushedAt), g.flush)
	}
}

// flush sends the collected evidence.
func (g *promptGuard) flush() {
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
func (g *promptGuard) message(now time.Time, parts []quarantine.Part) *wire.PartEvidence {
	unique := make([]quarantine.Part, 0, len(parts))
	for _, p := range parts {
		if !slices.Contains(unique, p) {
			unique = append(unique, p)
		}
	}
	return evidenceMessage(g.ledger.Records(now, unique))
}

// introduce sends a node that has connected the evidence about all suspects.
func (g *promptGuard) introduce(to fleet.NodeID) {
	if evidence := g.all(); evidence != nil {
		g.node.links.Send(to, evidence)
	}
}

// all returns the evidence about all suspects as a message, nil without any.
func (g *promptGuard) all() *wire.PartEvidence {
	if records := g.ledger.AllRecords(time.Now()); len(records) > 0 {
		return evidenceMessage(records)
	}
	return nil
}

// receive merges the evidence of another node. An owner relays what is new.
func (g *promptGuard) receive(from fleet.NodeID, m *wire.PartEvidence) {
	changed, corrections := g.ledger.Merge(time.Now(), evidenceRecords(m))
	if len(changed) > 0 {
		event.PartEvidenceReceived.Log(g.node.log).Str("from", string(from)).Int("parts", len(changed)).Str("first", changed[0].ID).Int("suspects", g.ledger.Suspects()).Send()
	}
	g.send(corrections)
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
		p := wire.PartRecord{Service: r.Part.Service, Part: r.Part.ID, Survived: r.Survived, SurvivedAgeMillis: r.SurvivedAge.Milliseconds(), TrialMillis: r.TrialLeft.Milliseconds()}
		for _, c := range r.Crashes {
			p.Crashes = append(p.Crashes, wire.CrashRecord{Target: c.Target, Incarnation: c.Incarnation, AgeMillis: c.Age.Milliseconds(), Requests: c.Requests})
		}
		m.Parts[i] = p
	}
	return m
}

// maxEvidenceAge is the largest age in a message; larger ones count as this.
const maxEvidenceAge = 24 * time.Hour

// evidenceRecords converts a message to records. Negative times count as 0.
func evidenceRecords(m *wire.PartEvidence) []quarantine.Record {
	millis := func(n int64) time.Duration {
		return time.Duration(min(max(n, 0), maxEvidenceAge.Milliseconds())) * time.Millisecond
	}
	records := make([]quarantine.Record, len(m.Parts))
	for i, p := range m.Parts {
		r := quarantine.Record{Part: quarantine.Part{Service: p.Service, ID: p.Part}, Survived: p.Survived, SurvivedAge: millis(p.SurvivedAgeMillis), TrialLeft: millis(p.TrialMillis)}
		for _, c := range p.Crashes {
			r.Crashes = append(r.Crashes, quarantine.CrashAge{Crash: quarantine.Crash{Target: c.Target, Incarnation: c.Incarnation}, Requests: c.Requests, Age: millis(c.AgeMillis)})
		}
		records[i] = r
	}
	return records
}
