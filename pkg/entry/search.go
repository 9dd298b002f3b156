package entry

import (
	"context"
	"errors"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/wait"
)

// lossConfirmTime is how long events that the target has made may still be on the way when
// its report arrives.
const lossConfirmTime = 150 * time.Millisecond

// maxDiagnosisAge is the age of a diagnosis from which another one is made before the next
// target is asked.
const maxDiagnosisAge = 500 * time.Millisecond

// search is one search for the next attempt of a silent stream. It is used by one goroutine.
type search struct {
	c *continuation
	// ctx ends with the search.
	ctx context.Context
	// job is a copy of that of the continuation.
	job job
	// silentSince is that of the last progress, started and eventCount are those of the
	// continuation.
	silentSince time.Time
	started     bool
	eventCount  int
	// diagnosis is the last one, made at diagnosedAt.
	diagnosis   diagnosis
	diagnosedAt time.Time
	// next is the exchange at the next target, nil before.
	next *exchange
}

// run searches, and returns nil if the stream is handed over to the next attempt. The
// current attempt goes on if it returns an error.
func (s *search) run() error {
	response := s.decide()
	if response == stay {
		return errMayGoOn
	}
	a, err := s.secure()
	if err != nil {
		return err
	}
	s.next = s.c.node.newExchange(s.c.requestCtx, &s.job, a)
	if time.Since(s.diagnosedAt) > maxDiagnosisAge {
		response = s.decide()
	}
	if response == stay || s.asksAgain() && !s.diagnosis.connectionFailed() {
		s.abandon()
		return errMayGoOn
	}
	return s.try()
}

// decide probes the target and decides what is done.
func (s *search) decide() silenceResponse {
	target := s.c.current.assignment.target
	s.diagnosis = s.c.node.probes.diagnose(s.ctx, attemptState{s.job.ID, target, s.job.resumeAfter, s.eventCount})
	if s.diagnosis.connectionFailed() {
		wait.Sleep(s.ctx, lossConfirmTime)
	}
	s.diagnosedAt = time.Now()
	return respondToSilence(s.diagnosis, s.attemptsLeft(), time.Since(s.waitSince()), s.job.lastChance())
}

// waitSince returns the time from which job.lastChance counts: since when the attempt has been
// silent, or on a route whose clients have a timeout, since when the client has waited, if that
// is longer.
func (s *search) waitSince() time.Time {
	if waiting := s.job.waitingSince(); s.job.Route.FirstEventTimeout > 0 && waiting.Before(s.silentSince) {
		return waiting
	}
	return s.silentSince
}

// secure returns an assignment for the next attempt.
func (s *search) secure() (assignment, error) {
	silent := s.c.current.assignment.target.ID
	if s.diagnosis.connectionFailed() {
		silent = "" // new connections to it work
	}
	return s.c.node.secure(s.ctx, &s.job, silent)
}

// asksAgain reports whether the next target is the silent one.
func (s *search) asksAgain() bool {
	return s.next.assignment.target.ID == s.c.current.assignment.target.ID
}

// attemptsLeft returns the number of attempts that the route allows after the current one.
func (s *search) attemptsLeft() int { return s.job.Route.MaxAttempts - (s.job.possibleRuns + 1) }

// raceLimit returns how long the current attempt and the next one go on together at most, 0
// for no limit. A target that cannot be reached may answer first all the same, so that the
// next one has the time of any attempt.
func (s *search) raceLimit() time.Duration {
	switch {
	case s.diagnosis != targetUnreachable:
		return maxOverlap
	case s.attemptsLeft() > 1:
		return s.job.eventWait(false)
	default:
		return 0
	}
}

// try makes the next exchange that of the next attempt as soon as its target has continued
// the stream, and returns nil then. If a probe has shown that nothing more can arrive in the
// current attempt, the target need not have begun at the raceLimit. The current attempt ends
// first if it has the same target, because a target may not expect a request twice at the
// same time.
func (s *search) try() error {
	var overlapErr error
	if !s.asksAgain() {
		s.next.beginContinuation(&s.job, s.started)
		s.c.setTrying(s.next)
		overlapErr = s.next.awaitContinuation(s.ctx, s.raceLimit())
	}
	if (overlapErr == nil || s.diagnosis.nothingToArrive()) && s.c.handOver(s.ctx, s.next) {
		return nil
	}
	if !s.c.setTrying(nil) {
		return errNotNeeded
	}
	if err := s.abandon(); overlapErr == nil || !errors.Is(err, errNotNeeded) {
		return err
	}
	return overlapErr
}

// abandon ends the next exchange, and returns why.
func (s *search) abandon() error {
	u := s.c.node.abandon(&s.job, s.next)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.job.addUnused(u)
	s.c.unused = append(s.c.unused, u)
	return u.result.err
}

// log logs an event about the search. reason is why the stream stays at its target, nil if
// it does not.
func (s *search) log(e event.Event, reason error) {
	line := e.Log(s.c.node.log).Str("request", s.job.ID).Str("target", s.c.current.assignment.target.ID).
		Dur("silent_ms", time.Since(s.silentSince)).Int("attempts_left", s.attemptsLeft())
	if !s.diagnosedAt.IsZero() {
		line = line.Stringer("evidence", s.diagnosis)
	}
	if s.next != nil {
		line = line.Str("next", s.next.assignment.target.ID).Str("next_sent", s.next.received())
	}
	line.AnErr("reason", reason).Send()
}
