package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/target"
)

// sendTo sends the request to the place's target and gives the place back.
func (d *Dispatcher) sendTo(ctx context.Context, r *Request, p place, a *answer) error {
	p.load.budget.earn()
	began := d.clock.Now()
	err := d.sender.Do(ctx, p.target, &target.Exchange{
		RequestID:  r.ID,
		Replica:    r.Replica.Key,
		Priority:   int(r.Class),
		Method:     r.Method,
		Path:       r.Path,
		Header:     r.Header,
		Body:       r.Body,
		Idempotent: r.Idempotent,
		Stream:     r.Stream,
	}, a)
	now := d.clock.Now()
	if err == nil {
		d.release(r, p, max(now.Sub(began), 1))
		return nil
	}
	d.release(r, p, 0)
	d.noteNotLoaded(r, p, err, now)
	var se *target.SendError
	unreachable := errors.As(err, &se) && se.Run == fault.RunNo && !se.Refused && !se.CallerGone
	if unreachable && ctx.Err() == nil && !errors.Is(err, target.ErrInvalid) {
		p.load.eject(now, d.opts.EjectFor)
	}
	return err
}

// noteNotLoaded discards the target's report on the replica after a refusal
// as not loaded.
func (d *Dispatcher) noteNotLoaded(r *Request, p place, err error, now time.Time) {
	var se *target.SendError
	if !errors.As(err, &se) || !isNotLoaded(se) {
		return
	}
	if c, ok := d.dir.Target(p.target.ID); ok {
		d.loads.stale.mark(staleKey{p.target.ID, r.Replica.Key}, c.Report, now.Add(d.opts.StaleFor))
	}
}

// spendRetry takes a retry from the budgets of the team and of the target.
func (d *Dispatcher) spendRetry(team *retryBudget, p place, r *Request) bool {
	if team.spend() {
		if p.load.budget.spend() {
			return true
		}
		team.refund()
	}
	event.RetryBudgetSpent.Log(&d.logger).Str("request", r.ID).Str("target", string(p.target.ID)).Send()
	return false
}

// errNotSent tells that no target can have run the request.
var errNotSent = errors.New("the request was not sent")

// trail is what is known of a request's attempts.
type trail struct {
	attempts int
	exclusion
	// doubt is the first attempt's error that leaves open whether the
	// request was run; it decides the answer whatever comes after.
	doubt *target.SendError
	last  *target.SendError
	// started is true once a part of an answer reached the caller.
	started bool
}

// exclusion is the targets that a request does not go to again at once.
type exclusion struct {
	// exclude lists targets that failed, notLoaded those that refused
	// because the replica is not loaded.
	exclude, notLoaded []fleet.TargetID
}

// add records a failed attempt; false when it ends the request. A refusal
// because the replica is not loaded costs the target nothing and does not
// count as an attempt.
func (t *trail) add(id fleet.TargetID, err error, started bool) bool {
	t.started = started
	var se *target.SendError
	if !errors.As(err, &se) {
		se = &target.SendError{Run: fault.RunUnknown, Err: err}
	}
	t.last = se
	if isNotLoaded(se) {
		t.notLoaded = append(t.notLoaded, id)
		return true
	}
	t.attempts++
	t.exclude = append(t.exclude, id)
	if se.Run != fault.RunNo && t.doubt == nil {
		t.doubt = se
	}
	return !started && !se.CallerGone && !errors.Is(err, target.ErrInvalid)
}

// isNotLoaded tells whether the target refused because the replica is not
// loaded there.
func isNotLoaded(se *target.SendError) bool {
	return se.Refused && se.Run == fault.RunNo && se.Status == http.StatusConflict
}

// mayRetry tells whether another attempt is safe and in time.
func (t *trail) mayRetry(ctx context.Context, r *Request, maxAttempts int) bool {
	if ctx.Err() != nil || t.attempts >= maxAttempts {
		return false
	}
	return t.doubt == nil || r.Idempotent
}

// end returns the request's error: refusal is the reason why no further
// place was found, nil when none was looked for.
func (t *trail) end(ctx context.Context, r *Request, refusal error) error {
	gone := errors.Is(context.Cause(ctx), context.Canceled) || t.last != nil && t.last.CallerGone
	switch {
	case t.started:
		return fault.New(fault.StreamBroken, "the answer broke off: %w", t.last)
	case gone && t.doubt != nil:
		return fault.New(fault.CallerGone, "the caller has gone: %w", t.doubt)
	case t.doubt != nil:
		return fault.New(fault.OutcomeUnknown, "the target may have run the request: %w", t.doubt)
	case gone:
		return fault.New(fault.CallerGone, "the caller has gone: %w", errNotSent)
	case refusal != nil && fault.KindOf(refusal).Answer().Run == fault.RunNo:
		return refusal
	case ctx.Err() != nil || r.Deadline.IsZero():
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the request was run")
	case refusal != nil:
		// No attempt has reached a target, whatever the refusal's kind says.
		return fault.New(fault.NoCapacity, "no place for the request: %w", refusal)
	default:
		return t.refused()
	}
}

// refused returns the error after attempts of which none was run.
func (t *trail) refused() error {
	if errors.Is(t.last, target.ErrInvalid) {
		return fault.New(fault.BadRequest, "%w", t.last)
	}
	if t.last.Refused && t.last.Status == http.StatusTooManyRequests {
		return fault.New(fault.Overloaded, "the targets are busy: %w", t.last)
	}
	if t.last.Refused {
		return fault.New(fault.NoReplica, "the targets refused the request: %w", t.last)
	}
	return fault.New(fault.TargetUnreachable, "the target cannot be reached: %w", t.last)
}
