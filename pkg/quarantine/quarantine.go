// Package quarantine decides which requests may be sent while a part of a prompt, or a
// whole request that comes again, is suspected of crashing the targets that run it. It
// does no I/O and reads no clock. A Ledger holds the evidence: crashes of targets that had
// just begun to run a request with the part, and runs with the part that survived. Nodes
// exchange their evidence as Records, so that all of them decide alike.
//
// A part with crashes since its last survival is a suspect. Its requests are refused
// for a time that grows with each further round of crashes, and afterwards admitted
// one at a time, as trials. A trial that survives clears all parts of its request.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Times that classify a run by the time since its response began.
const (
	// YoungTime is the longest time for which a run whose target crashed counts as
	// a possible cause of the crash.
	YoungTime = 300 * time.Millisecond
	// SurvivalTime is the time after which a run has survived.
	SurvivalTime = 500 * time.Millisecond
)

// TrialTime is how long other requests with a part wait for the result of a
// trial.
const TrialTime = 2 * time.Second

// Limits of the evidence.
const (
	// roundTime is the time from the first crash of a round in which further
	// crashes belong to it, unless a trial is awaited: runs that were sent before
	// the first crash was known, or targets that failed together.
	roundTime = time.Second
	// provenCrashes is the number of crashes that make a part a suspect which is
	// known to have survived before. Other parts of prompts are suspects after one.
	provenCrashes = 3
	// requestCrashes is the number of crashes that make a whole request a suspect. One is
	// too few: all requests that wait at a target when it crashes have that one.
	requestCrashes = 2
	// maxRefusedRounds is the number of rounds up to which refused trials count as rounds: a
	// sound suspect is not held for a day because its targets are full.
	maxRefusedRounds = 4
	// maxSuspects and maxCrashes bound the suspects, and the crashes held for each.
	maxSuspects = 512
	maxCrashes  = 16
	// maxRounds bounds the rounds that another node has counted; more lengthen no hold.
	maxRounds = 32
	// maxRuns bounds the runs held for a crash of a suspect, and maxRequestBytes the
	// identifier of each.
	maxRuns         = 4
	maxRequestBytes = 64
	// forgetTime is the time without a request or a crash after which a suspect is
	// forgotten. It doesn't end before the suspect's hold.
	forgetTime = 10 * time.Minute
)

// holds are the times from the last crash to the next trial, by the kind of the part and
// the number of rounds. The last one doubles with each further round, up to maxHold. Those of
// whole requests begin shorter, since a popular request may be at several targets that fail
// together, and grow faster, so that at most three trials in a day follow the third crash.
var holds = [...][]time.Duration{
	PromptPart:   {0, time.Second, 30 * time.Second, 2 * time.Minute, 10 * time.Minute, time.Hour},
	WholeRequest: {0, 250 * time.Millisecond, 30 * time.Second, 10 * time.Minute, maxHold},
}

const maxHold = 24 * time.Hour

// certainCrashes are the numbers of crashes, by the kind of the part, from which a trial counts as
// a round even if its target refuses it: what is sent then is counted whether or not it runs.
var certainCrashes = [...]int{PromptPart: 5, WholeRequest: 3}

// maxSpread is the largest share by which a node lengthens its holds, so that the nodes
// don't begin a trial of the same part at the same moment.
const maxSpread = 0.5

// Kind says what a Part is.
type Kind uint8

const (
	// PromptPart is a part of the prompts of several requests.
	PromptPart Kind = iota
	// WholeRequest is all that a request asks for, which a repetition of it has in
	// common with it.
	WholeRequest
)

// String returns the name of the kind as it appears in the log.
func (k Kind) String() string {
	if k == WholeRequest {
		return "request"
	}
	return "prompt part"
}

// Valid reports whether k is one of the kinds.
func (k Kind) Valid() bool { return k <= WholeRequest }

// Part identifies what requests to one service have in common: a part of their prompts by
// its identifier, or the whole request by its digest.
type Part struct {
	Service, ID string
	Kind        Kind
}

// Crash identifies a crash of a target by the incarnation that it ended.
type Crash struct {
	Target      string
	Incarnation int64
}

// Decision says whether a request may be sent.
type Decision struct {
	// Allowed is true if the request may be sent. Trials are the suspects among its
	// parts, in which case the request is their trial.
	Allowed bool
	Trials  []Part
	// Part is the suspect for which the request may not be sent. Crashes and Rounds
	// count the evidence against it, and LastCrash is the time of the newest.
	Part            Part
	Crashes, Rounds int
	LastCrash       time.Time
	// RetryAfter is the time until a request with the part may be sent.
	RetryAfter time.Duration
}

// Ledger holds the evidence about the parts of prompts. Its methods may be called
// concurrently.
type Ledger struct {
	// count is the number of parts in suspects, so that requests are not delayed by mu as
	// long as there are none.
	count atomic.Int32
	// spread returns the share of maxSpread by which the holds of a part are
	// lengthened, from 0 to 1.
	spread func(Part) float64

	mu sync.Mutex // guards all below
	// suspects holds the evidence by part; isSuspect says whether it suffices.
	suspects map[Part]*suspect
	proven   provenParts
}

// New returns a Ledger without evidence. spread returns a number from 0 to 1 for each
// part, which should differ between nodes.
func New(spread func(Part) float64) *Ledger {
	return &Ledger{spread: spread, suspects: map[Part]*suspect{}}
}

// Suspects returns the number of parts whose requests are restricted.
func (l *Ledger) Suspects() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p, s := range l.suspects {
		if l.isSuspect(p, s) {
			n++
		}
	}
	return n
}

// Evidence returns how many crashes and rounds of crashes stand against a part.
func (l *Ledger) Evidence(p Part) (crashes, rounds int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[p]; s != nil {
		return len(s.crashes), s.rounds
	}
	return 0, 0
}

// Check returns whether a request with the parts may be sent now. It starts no
// trial.
func (l *Ledger) Check(now time.Time, parts []Part) Decision {
	if l.count.Load() == 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(now, parts)
}

// Admit is Check immediately before the request is sent: if the request is a trial,
// it starts the trial of its suspects.
func (l *Ledger) Admit(now time.Time, parts []Part) Decision {
	if l.count.Load() == 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.check(now, parts)
	for _, p := range d.Trials {
		l.suspects[p].trialUntil = now.Add(TrialTime)
	}
	return d
}

// check is Check; l.mu must be held.
func (l *Ledger) check(now time.Time, parts []Part) Decision {
	d := Decision{Allowed: true}
	for _, p := range parts {
		s := l.suspects[p]
		if s == nil {
			continue
		}
		s.lastUsed = now
		if !l.isSuspect(p, s) {
			continue
		}
		if until := l.heldUntil(p, s, parts); now.Before(until) {
			wait := until.Sub(now)
			if d.Allowed || wait > d.RetryAfter {
				d = Decision{Part: p, Crashes: len(s.crashes), Rounds: s.rounds, LastCrash: s.lastCrash, RetryAfter: wait}
			}
			continue
		}
		if d.Allowed {
			d.Trials = append(d.Trials, p)
		}
	}
	return d
}

// isSuspect reports whether the evidence suffices to restrict the requests with a
// part.
func (l *Ledger) isSuspect(p Part, s *suspect) bool {
	switch {
	case l.proven.has(p):
		return len(s.crashes) >= provenCrashes
	case p.Kind == WholeRequest:
		return len(s.crashes) >= requestCrashes
	default:
		return len(s.crashes) > 0
	}
}

// heldUntil returns the time until which no request with these parts may be sent
// because of the suspect p.
func (l *Ledger) heldUntil(p Part, s *suspect, parts []Part) time.Time {
	if l.explained(p, s, parts) || s.rounds <= 1 && l.proven.has(p) {
		return s.trialUntil
	}
	hold := holdTime(p.Kind, s.rounds)
	hold += time.Duration(maxSpread * l.spread(p) * float64(hold))
	if until := s.heldFrom().Add(hold); until.After(s.trialUntil) {
		return until
	}
	return s.trialUntil
}

// explained reports whether another part that is not among these stood beside the
// suspect in a run of each crash, and explains them. A request without that part is no
// repetition of what crashed the targets. A part of the same identifier is no other one: nodes
// of older versions relay a whole request as a part of prompts.
func (l *Ledger) explained(p Part, s *suspect, parts []Part) bool {
	for q, other := range l.suspects {
		if q.ID == p.ID || !other.explains(q) || len(other.crashes) < len(s.crashes) || slices.Contains(parts, q) {
			continue
		}
		if standBeside(other.crashes, s.crashes) {
			return true
		}
	}
	return false
}

// holdTime returns the time from the last crash to the next trial.
func holdTime(k Kind, rounds int) time.Duration {
	times := holds[k]
	last := len(times) - 1
	if rounds <= last {
		return times[max(rounds, 0)]
	}
	doublings := min(rounds-last, 10) // more exceed maxHold
	return min(times[last]<<doublings, maxHold)
}

// RunCrashed records that a target crashed while it had just begun to run a request with
// the parts. It returns the parts whose evidence has changed.
func (l *Ledger) RunCrashed(now time.Time, c Crash, request string, parts []Part) []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Part
	for _, p := range parts {
		if l.addCrash(now, p, c, now, []string{request}) {
			changed = append(changed, p)
		}
	}
	return changed
}

// addCrash records a crash with its runs, unless it is known or a run that began after
// it survived. It reports whether it did. l.mu must be held.
func (l *Ledger) addCrash(now time.Time, p Part, c Crash, at time.Time, requests []string) bool {
	if begun, ok := l.proven.survivedAt(p); ok && !begun.Before(at) {
		return false
	}
	s := l.suspects[p]
	if s == nil {
		l.makeRoom(now)
		s = &suspect{crashes: map[Crash]crashedRuns{}, lastUsed: now}
		l.suspects[p] = s
		l.count.Store(int32(len(l.suspects)))
	}
	runs, known := s.crashes[c]
	if known {
		return s.addRuns(c, runs, requests)
	}
	if len(s.crashes) >= maxCrashes && at.Before(s.lastCrash) {
		return false
	}
	if len(s.crashes) >= maxCrashes {
		delete(s.crashes, s.oldestCrash())
	}
	s.addRuns(c, crashedRuns{at: at}, requests)
	if at.Before(s.lastCrash) {
		s.recountRounds()
	} else {
		s.countRound(at)
	}
	if s.inTrial(at) {
		s.trialUntil = time.Time{}
	}
	return true
}

// RunSurvived records that a run with the parts, whose response began at a time, has
// survived. It returns the suspects among the parts that this clears. A whole request
// against which there was no evidence is not recorded, since most don't come again.
func (l *Ledger) RunSurvived(begun time.Time, parts []Part) []Part {
	if l.count.Load() == 0 && !slices.ContainsFunc(parts, isPromptPart) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var cleared []Part
	for _, p := range parts {
		if !isPromptPart(p) && l.suspects[p] == nil {
			continue
		}
		if l.survived(p, begun) {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// isPromptPart reports whether p is a part of prompts.
func isPromptPart(p Part) bool { return p.Kind == PromptPart }

// survived records a survival, which disproves the crashes before its run began, and
// reports whether it cleared a suspect of all crashes. l.mu must be held.
func (l *Ledger) survived(p Part, begun time.Time) bool {
	l.proven.add(p, begun)
	s := l.suspects[p]
	if s == nil {
		return false
	}
	if s.removeCrashesUntil(begun); len(s.crashes) > 0 {
		return false
	}
	l.remove(p)
	return true
}

// TrialEnded ends the trials of the parts, which were admitted at a time, without a result,
// for example because the target did not run the request. Trials that were admitted later go on.
// reached is true if the request reached a target: that counts as a round of suspects with
// certainCrashes that are not known to have survived, which are returned.
func (l *Ledger) TrialEnded(now, admitted time.Time, parts []Part, reached bool) []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held []Part
	for _, p := range parts {
		s := l.suspects[p]
		if s == nil || s.trialUntil.IsZero() || s.trialUntil.After(admitted.Add(TrialTime)) {
			continue
		}
		s.endedTrial, s.trialUntil = s.trialUntil, time.Time{}
		if reached && len(s.crashes) >= certainCrashes[p.Kind] && !l.proven.has(p) {
			s.trialRefused(now)
			held = append(held, p)
		}
	}
	return held
}

// makeRoom forgets the suspects that are no longer in use and, if there are still
// too many, the one with the fewest rounds, the oldest of these. l.mu must be held.
func (l *Ledger) makeRoom(now time.Time) {
	var weakest Part
	var w *suspect
	for p, s := range l.suspects {
		if now.Sub(s.lastUsed) > max(forgetTime, holdTime(p.Kind, s.rounds)) {
			l.remove(p)
			continue
		}
		if w == nil || s.rounds < w.rounds || s.rounds == w.rounds && s.lastCrash.Before(w.lastCrash) {
			weakest, w = p, s
		}
	}
	if len(l.suspects) >= maxSuspects {
		l.remove(weakest)
	}
}

// remove removes a suspect. l.mu must be held.
func (l *Ledger) remove(p Part) {
	delete(l.suspects, p)
	l.count.Store(int32(len(l.suspects)))
}
