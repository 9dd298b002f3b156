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
	// response is the last decision.
	response silenceResponse
	// next is the exchange at the next target, nil before.
	next *exchange
}

// run searches, and returns nil if the stream is handed over to the next attempt. The
// current attempt goes on if it returns an error.
func (s *search) run() error {
	s.decide()
	if s.response == stay {
		return errMayGoOn
	}
	a, err := s.secure()
	if err != nil {
		return err
	}
	s.next = s.c.node.newExchange(s.c.requestCtx, &s.job, a)
	if time.Since(s.diagnosedAt) > maxDiagnosisAge {
		s.decide()
	}
	if s.response == stay || s.asksAgain() && !s.mayAskAgain() {
		s.abandon()
		return errMayGoOn
	}
	return s.try()
}

// decide probes the target and sets what is done. About a target that hangs it decides at the
// client's last chance if the next probe would end after it: few clients would still wait then.
func (s *search) decide() {
	target := s.c.current.assignment.target
	s.diagnosis = s.c.confirmHang(s.c.node.probes.diagnose(s.ctx, attemptState{s.job.ID, target, s.job.resumeAfter, s.eventCount}))
	if s.diagnosis.connectionFailed() {
		wait.Sleep(s.ctx, lossConfirmTime)
	}
	s.response = s.respond()
	if untilLastChance := s.job.lastChance() - s.silence(); s.response == stay && s.diagnosis == targetHung && untilLastChance <= probeTimeout {
		wait.Sleep(s.ctx, untilLastChance)
		s.response = s.respond()
	}
	s.diagnosedAt = time.Now()
}

// respond returns what is done after the last diagnosis.
func (s *search) respond() silenceResponse {
	return respondToSilence(s.diagnosis, s.attemptsLeft(), s.silence(), s.job.lastChance())
}

// silence returns for how long the client has waited.
func (s *search) silence() time.Duration { return time.Since(s.waitSince()) }

// waitSince returns the time from which job.lastChance counts: since when the client has
// waited for the next event, which may be before the attempt. Comments are written like
// events, but are none.
func (s *search) waitSince() time.Time {
	waiting := s.job.waitingSince()
	if s.job.Route.FirstEventTimeout <= 0 || waiting.After(s.silentSince) {
		return s.silentSince
	}
	return waiting
}

// secure returns an assignment for the next attempt.
func (s *search) secure() (assignment, error) {
	silent := s.c.current.assignment.target.ID
	if s.mayAskAgain() {
		silent = ""
	}
	return s.c.node.secure(s.ctx, &s.job, silent)
}

// mayAskAgain reports whether the silent target may be the next one, over a new connection.
func (s *search) mayAskAgain() bool { return s.response == leave && s.diagnosis.connectionFailed() }

// asksAgain reports whether the next target is the silent one.
func (s *search) asksAgain() bool {
	return s.next.assignment.target.ID == s.c.current.assignment.target.ID
}

// attemptsLeft returns the number of attempts that the route allows after the current one.
func (s *search) attemptsLeft() int { return s.job.Route.MaxAttempts - (s.job.possibleRuns + 1) }

// awaitNext waits until the next exchange has ended or the search does. It returns errOverlap
// if the current attempt and the next one have gone on together for as long as they may: for
// maxOverlap, unless the target of the current one cannot be reached. That one is probed again
// after each maxOverlap, and the next one has the time of any attempt if another would be left.
func (s *search) awaitNext() error {
	begun := time.Now()
	for {
		err := s.next.awaitContinuation(s.ctx, maxOverlap)
		if !errors.Is(err, errOverlap) || s.diagnosis != targetUnreachable {
			return err
		}
		if s.attemptsLeft() > 1 && time.Since(begun) >= s.job.eventWait(false) {
			return err
		}
		s.decide()
		if s.diagnosis != targetUnreachable {
			return err
		}
	}
}

// try makes the next exchange that of the next attempt as soon as its target has continued
// the stream, and returns nil then. If probes have shown that nothing more can arrive in the
// current attempt, or that its target hangs, the next one need not have begun then: it may
// read a prompt for longer than maxOverlap. The current attempt ends first if it has the same
// target, because a target may not expect a request twice at the same time.
func (s *search) try() error {
	var overlapErr error
	if !s.asksAgain() {
		s.next.beginContinuation(&s.job, s.started)
		s.c.setTrying(s.next)
		overlapErr = s.awaitNext()
	}
	mayEnd := overlapErr == nil || s.response == leave && s.diagnosis.mayEndForNext()
	if mayEnd && s.c.handOver(s.ctx, s.next) {
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
