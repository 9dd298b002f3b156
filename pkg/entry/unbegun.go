package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/quarantine"
)

// errSuspended is the cause with which an attempt is ended that may crash its target.
var errSuspended = errors.New("the request or a part of its prompt may crash the target")

// errWithheldSuspect is the cause of an attempt that was not sent for the same reason.
var errWithheldSuspect = fmt.Errorf("%w: %w", errWithheld, errSuspended)

// unbegunAttempts holds the attempts whose response has not begun. Its methods may be called
// concurrently; its zero value is empty.
type unbegunAttempts struct {
	mu       sync.Mutex
	attempts map[*exchange]unbegunAttempt
}

// unbegunAttempt is one attempt of a request.
type unbegunAttempt struct {
	request string
	parts   []quarantine.Part
	giveUp  context.CancelCauseFunc
}

// add adds the attempt of an exchange, until remove.
func (u *unbegunAttempts) add(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.attempts == nil {
		u.attempts = map[*exchange]unbegunAttempt{}
	}
	u.attempts[x] = unbegunAttempt{x.requestID, x.parts, x.giveUp}
}

// remove removes the attempt of an exchange.
func (u *unbegunAttempts) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.attempts, x)
}

// with returns the attempts of requests with one of the parts.
func (u *unbegunAttempts) with(parts []quarantine.Part) []unbegunAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []unbegunAttempt
	for _, a := range u.attempts {
		if slices.ContainsFunc(a.parts, func(p quarantine.Part) bool { return slices.Contains(parts, p) }) {
			found = append(found, a)
		}
	}
	return found
}

// mayStillSend returns an error that wraps errWithheld if the request of an exchange may not
// be sent by what is known now. One whose parts have become suspects since it was admitted
// would have to be a trial.
func (g *crashGuard) mayStillSend(x *exchange) error {
	if len(x.assignment.trials) > 0 {
		return nil
	}
	if d := g.ledger.Check(time.Now(), x.parts); !d.Allowed || len(d.Trials) > 0 {
		return errWithheldSuspect
	}
	return nil
}

// minCrashesToSuspend is the number of crashes of a suspect from which attempts that
// were sent before are ended, too. A single crash leaves too many suspects.
const minCrashesToSuspend = 2

// suspendAttempts ends the attempts that were sent before the evidence against the
// parts was known, if their response has not begun.
func (g *crashGuard) suspendAttempts(parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}
	for _, a := range g.unbegun.with(parts) {
		d := g.ledger.Check(time.Now(), a.parts)
		if d.Allowed || d.Crashes < minCrashesToSuspend {
			continue
		}
		withPart(event.PartRefused.Log(g.node.log).Str("request", a.request), d.Part).Int("crashes", d.Crashes).Int("rounds", d.Rounds).
			Dur("last_crash_ms", time.Since(d.LastCrash)).Bool("sent", true).Send()
		a.giveUp(errSuspended)
	}
}
