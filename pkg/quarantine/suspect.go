package quarantine

import (
	"slices"
	"strings"
	"time"
)

// crashedRuns are the runs with a part that a crash has ended when they had just begun.
type crashedRuns struct {
	at time.Time
	// requests identifies the first maxRuns of them.
	requests []string
}

// suspect is the evidence against a part since it last survived.
type suspect struct {
	// crashes holds the crashes with their runs.
	crashes map[Crash]crashedRuns
	// rounds counts the rounds of crashes: a crash begins a new round if a trial was
	// awaited, or more than roundTime after roundStart, when the current one began.
	rounds     int
	roundStart time.Time
	lastCrash  time.Time
	// trialUntil is the end of the time in which a trial is awaited.
	trialUntil time.Time
	// endedTrial is the trialUntil of the last trial of this node that ended without a
	// result.
	endedTrial time.Time
	// lastRefused is when the last trial that counts as a round was refused, zero for none.
	lastRefused time.Time
	// lastUsed is when a request with the part was last checked.
	lastUsed time.Time
}

// standBeside reports whether a has all crashes of b, and a run in common with it in each.
func standBeside(a, b map[Crash]crashedRuns) bool {
	for c, runs := range b {
		shared := func(request string) bool { return slices.Contains(a[c].requests, request) }
		if !slices.ContainsFunc(runs.requests, shared) {
			return false
		}
	}
	return true
}

// explains reports whether the evidence against a part may explain that against others that
// stood beside it: a part of prompts crashed targets in more than one round, so that it was
// not there by chance; a whole request, which differs from all others, crashed requestCrashes.
func (s *suspect) explains(p Part) bool {
	if p.Kind == WholeRequest {
		return len(s.crashes) >= requestCrashes
	}
	return s.rounds >= 2
}

// addRuns adds runs to those of a crash, and reports whether one was new.
func (s *suspect) addRuns(c Crash, runs crashedRuns, requests []string) bool {
	added := false
	for _, r := range requests {
		r = strings.ToValidUTF8(strings.Clone(r[:min(len(r), maxRequestBytes)]), "")
		if len(runs.requests) < maxRuns && !slices.Contains(runs.requests, r) {
			runs.requests = append(slices.Clone(runs.requests), r)
			added = true
		}
	}
	s.crashes[c] = runs
	return added
}

// inTrial reports whether a trial was awaited at a time.
func (s *suspect) inTrial(at time.Time) bool {
	return at.After(s.trialUntil.Add(-TrialTime)) && at.Before(s.trialUntil)
}

// countRound counts a crash at a time to the current round or a new one.
func (s *suspect) countRound(at time.Time) {
	if s.rounds == 0 || at.Sub(s.roundStart) > roundTime || s.inTrial(at) {
		s.rounds++
		s.roundStart = at
	}
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
}

// addRounds takes over a number of rounds that another node has counted, which knows of trials
// that this one has heard of too late, and reports whether it is larger.
func (s *suspect) addRounds(rounds int) bool {
	rounds = min(rounds, maxRounds)
	if rounds <= s.rounds {
		return false
	}
	s.rounds = rounds
	return true
}

// heldFrom returns the time from which the hold until the next trial counts.
func (s *suspect) heldFrom() time.Time {
	if s.lastRefused.After(s.lastCrash) {
		return s.lastRefused
	}
	return s.lastCrash
}

// trialRefused counts a trial that a target has refused at a time as a round.
func (s *suspect) trialRefused(at time.Time) {
	s.lastRefused = at
	s.rounds = max(s.rounds, min(s.rounds+1, maxRefusedRounds))
}

// minRefusalChange is the least time by which a refused trial is later than the known one, so
// that the delays of messages are no change.
const minRefusalChange = 200 * time.Millisecond

// addRefusal takes over when another node's trial was refused, and reports whether that is news.
func (s *suspect) addRefusal(at time.Time) bool {
	if at.Before(s.lastRefused.Add(minRefusalChange)) {
		return false
	}
	s.lastRefused = at
	return true
}

// recountRounds counts the rounds again after a crash that happened before others. The
// count doesn't fall, since it includes failed trials.
func (s *suspect) recountRounds() {
	var counted suspect
	times := make([]time.Time, 0, len(s.crashes))
	for _, runs := range s.crashes {
		times = append(times, runs.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		counted.countRound(at)
	}
	s.rounds = max(s.rounds, counted.rounds)
}

// oldestCrash returns the crash that happened first.
func (s *suspect) oldestCrash() Crash {
	var oldest Crash
	var oldestAt time.Time
	for c, runs := range s.crashes {
		if oldestAt.IsZero() || runs.at.Before(oldestAt) {
			oldest, oldestAt = c, runs.at
		}
	}
	return oldest
}

// removeCrashesUntil removes the crashes up to a time and counts the rounds of the
// others again.
func (s *suspect) removeCrashesUntil(end time.Time) {
	remaining := make([]time.Time, 0, len(s.crashes))
	for c, runs := range s.crashes {
		if runs.at.After(end) {
			remaining = append(remaining, runs.at)
			continue
		}
		delete(s.crashes, c)
	}
	slices.SortFunc(remaining, time.Time.Compare)
	s.rounds, s.roundStart, s.lastCrash = 0, time.Time{}, time.Time{}
	if !s.lastRefused.After(end) {
		s.lastRefused = time.Time{}
	}
	for _, at := range remaining {
		s.countRound(at)
	}
}
