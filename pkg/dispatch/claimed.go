package dispatch

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"

	"almondturn/pkg/claim"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// Headers of an answer that repeats the outcome of an earlier request.
const (
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderTruncated is set when only the first part of the first answer's
	// body was kept.
	HeaderTruncated = "Idempotency-Body-Truncated"
)

// captureLimit returns how much of the answer to keep.
func (d *Dispatcher) captureLimit(r *Request) int {
	if r.IdempotencyKey == "" {
		return -1
	}
	return d.opts.OutcomeBody
}

// claimed settles the request's idempotency key, if it has one, before
// anything is sent.
func (d *Dispatcher) claimed(ctx context.Context, r *Request, a *answer) error {
	if r.IdempotencyKey == "" {
		return d.send(ctx, r, a)
	}
	if d.claims == nil {
		return fault.New(fault.ClaimUnsettled, "idempotency keys are not available")
	}
	c := claimRequest(r)
	outcome, err := d.claims.Begin(ctx, c)
	if err != nil {
		return err
	}
	if outcome != nil {
		return replay(a, outcome)
	}
	err = d.send(ctx, r, a)
	d.claims.Finish(c, outcomeOf(a, err))
	return err
}

// claimRequest returns what identifies the request's claim. The digest
// covers what makes two requests the same to a target.
func claimRequest(r *Request) claim.Request {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Path, r.Replica.Key.String()} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return claim.Request{
		Team:       r.Identity.Team,
		Service:    r.Service,
		Key:        r.IdempotencyKey,
		Digest:     h.Sum(nil),
		RequestID:  r.ID,
		Idempotent: r.Idempotent,
		Deadline:   r.Deadline,
	}
}

// replay answers with the first request's outcome.
func replay(a *answer, o *wire.Outcome) error {
	if o.Run != string(fault.RunYes) {
		return fault.New(fault.OutcomeUnknown, "an earlier request with this idempotency key may have been run; its outcome is not known")
	}
	header := http.Header{HeaderReplayed: {"true"}}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	if o.Truncated {
		header.Set(HeaderTruncated, "true")
	}
	a.Start(o.Status, header)
	if err := a.Write(o.Body); err != nil {
		return fault.New(fault.CallerGone, "the caller has gone: %w", err)
	}
	return nil
}

// outcomeOf returns what to record of a request that was sent or refused.
func outcomeOf(a *answer, err error) wire.Outcome {
	if err == nil {
		return wire.Outcome{
			Status:      a.status,
			Run:         string(fault.RunYes),
			ContentType: a.contentType,
			Body:        a.body,
			Truncated:   a.truncated,
		}
	}
	if fault.KindOf(err).Answer().Run == fault.RunNo || errors.Is(err, errNotSent) {
		return wire.Outcome{Run: string(fault.RunNo)}
	}
	if a.started {
		// The answer broke off: it was run, what was kept is its beginning.
		return wire.Outcome{Status: a.status, Run: string(fault.RunYes), ContentType: a.contentType, Body: a.body, Truncated: true}
	}
	return wire.Outcome{Run: string(fault.RunUnknown)}
}
