package entry

import (
	"context"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/wait"
)

// Times of the wait for the result of a trial.
const (
	// maxVerdictWait is how long a stream that goes on waits for it. Most trials survive
	// in quarantine.SurvivalTime.
	maxVerdictWait = time.Second
	// verdictInterval is the time between two looks at the evidence.
	verdictInterval = 50 * time.Millisecond
)

// verdict decides whether a request may be sent. A new request is told at once to come back. A
// stream that goes on waits for the result of a trial: its caller is reading.
type verdict struct {
	guard *crashGuard
	job   *job
	// until is when the request waits no more.
	until time.Time
}

// newVerdict returns the verdict on a request.
func (g *crashGuard) newVerdict(j *job) *verdict {
	v := &verdict{guard: g, job: j}
	if j.resumeAfter != "" {
		now := time.Now()
		v.until = now.Add(min(maxVerdictWait, j.startDeadline().Sub(now)/2))
	}
	return v
}

// mayWait reports whether the request has time to wait for a verdict.
func (v *verdict) mayWait() bool { return time.Now().Before(v.until) }

// await waits for the result of a trial if there is one, and returns the refusal of a request
// that may not be sent then, nil for others.
func (v *verdict) await(ctx context.Context) *ErrorResponse {
	for waited := false; ; waited = true {
		now := time.Now()
		d := v.guard.ledger.Check(now, v.job.parts)
		if d.Allowed {
			return nil
		}
		if d.RetryAfter > quarantine.TrialTime || !v.mayWait() {
			return v.guard.refusal(v.job, d)
		}
		if !waited {
			withPart(event.PartAwaited.Log(v.guard.node.log).Str("request", v.job.ID), d.Part).Int("crashes", d.Crashes).Int("rounds", d.Rounds).Send()
		}
		if !wait.Sleep(ctx, verdictInterval) {
			return v.guard.refusal(v.job, d)
		}
	}
}
