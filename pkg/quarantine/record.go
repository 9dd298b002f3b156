package quarantine

import (
	"slices"
	"time"
)

// Record is the evidence about one part, as nodes exchange it. Ages count back from
// the time at which the record was made.
type Record struct {
	Part    Part
	Crashes []CrashAge
	// Rounds counts the rounds of crashes, as the node that saw the trials counts them.
	Rounds int
	// Refused is true if a target refused a trial that counts as a round; RefusedAge is the
	// age of the last one.
	Refused    bool
	RefusedAge time.Duration
	// Survived is true if a run with the part is known to have survived;
	// SurvivedAge is the age of the beginning of the last one.
	Survived    bool
	SurvivedAge time.Duration
	// TrialLeft is the time for which the result of a trial is still awaited.
	TrialLeft time.Duration
}

// CrashAge is a crash with its age, and the identifiers of the requests whose runs it
// ended.
type CrashAge struct {
	Crash
	Requests []string
	Age      time.Duration
}

// Records returns the evidence about the parts.
func (l *Ledger) Records(now time.Time, parts []Part) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, 0, len(parts))
	for _, p := range parts {
		out = append(out, l.record(now, p))
	}
	return out
}

// AllRecords returns the evidence about all suspects, nil if there are none.
func (l *Ledger) AllRecords(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for p := range l.suspects {
		out = append(out, l.record(now, p))
	}
	return out
}

// record returns the evidence about a part. l.mu must be held.
func (l *Ledger) record(now time.Time, p Part) Record {
	r := Record{Part: p}
	if begun, ok := l.proven.survivedAt(p); ok {
		r.Survived, r.SurvivedAge = true, max(now.Sub(begun), 0)
	}
	s := l.suspects[p]
	if s == nil {
		return r
	}
	for c, runs := range s.crashes {
		r.Crashes = append(r.Crashes, CrashAge{c, runs.requests, max(now.Sub(runs.at), 0)})
	}
	// The oldest first, so that rounds are counted in order.
	slices.SortFunc(r.Crashes, func(a, b CrashAge) int { return int(b.Age - a.Age) })
	r.Rounds = s.rounds
	if !s.lastRefused.IsZero() {
		r.Refused, r.RefusedAge = true, max(now.Sub(s.lastRefused), 0)
	}
	r.TrialLeft = max(s.trialUntil.Sub(now), 0)
	return r
}

// Merge adds the evidence of another node. changed are the parts about which it said
// something new, corrections those about which this ledger knows something that the
// other does not: that a run survived, or did so after a crash.
func (l *Ledger) Merge(now time.Time, records []Record) (changed, corrections []Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		isNew, correct := l.merge(now, r)
		if isNew {
			changed = append(changed, r.Part)
		}
		if correct {
			corrections = append(corrections, r.Part)
		}
	}
	return changed, corrections
}

// merge merges one record. l.mu must be held.
func (l *Ledger) merge(now time.Time, r Record) (changed, correct bool) {
	begun, proven := l.proven.survivedAt(r.Part)
	correct = proven && !r.Survived
	for _, c := range r.Crashes {
		at := now.Add(-c.Age)
		correct = correct || proven && !begun.Before(at)
		changed = l.addCrash(now, r.Part, c.Crash, at, c.Requests) || changed
	}
	if s := l.suspects[r.Part]; s != nil && !correct {
		changed = s.addRounds(r.Rounds) || changed
		changed = r.Refused && s.addRefusal(now.Add(-r.RefusedAge)) || changed
	}
	if r.Survived {
		changed = l.survived(r.Part, now.Add(-r.SurvivedAge)) || !proven || changed
	}
	if s := l.suspects[r.Part]; s != nil && r.TrialLeft > 0 {
		if until := now.Add(min(r.TrialLeft, TrialTime)); until.After(s.trialUntil.Add(TrialTime/2)) && until.After(s.endedTrial.Add(TrialTime/4)) {
			s.trialUntil, changed = until, true
		}
	}
	return changed, correct
}
