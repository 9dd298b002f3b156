package entry

import (
	"context"
	"time"
)

// prepareRetry reports whether the request may be sent again after a result, and
// records in j.obstacle why not. It subtracts an attempt that reached no target from
// j.sends, unless the request has no attempts or time left.
func (n *Node) prepareRetry(ctx context.Context, j *job, cr *clientResponse, r sendResult) bool {
	j.obstacle = j.retryObstacle(ctx, cr, r)
	if r.kind == withheld {
		j.withheldSends++
	}
	if r.sentNothing() && j.obstacle != obstacleTime && j.obstacle != obstacleSends {
		j.sends-- // nothing was sent to a target
	}
	return j.obstacle == ""
}

// sentNothing reports whether nothing was sent to the target.
func (r sendResult) sentNothing() bool { return r.kind == unreachable || r.kind == withheld }

// Values of job.obstacle, which the log has in the field not_retried.
const (
	obstacleTime       = "no time left"
	obstacleSends      = "sent too often"
	obstacleTargets    = "too many targets failed"
	obstacleAttempts   = "no attempts left"
	obstacleRepeatable = "must not run again"
	obstacleResult     = "final result"
	obstacleBudget     = "retry budget exhausted"
	obstacleRefused    = "no slot"
)

// retryObstacle returns why the request may not be sent again after a result, empty
// if it may.
func (j *job) retryObstacle(ctx context.Context, cr *clientResponse, r sendResult) string {
	switch {
	case ctx.Err() != nil || time.Until(j.deadline) < minRunTime:
		return obstacleTime
	case j.sends >= maxSends:
		return obstacleSends
	}
	switch r.kind {
	case unreachable:
		// j.sends does not bound such attempts, but each excludes a target.
		if len(j.excluded) >= maxSends {
			return obstacleTargets
		}
		return ""
	case withheld:
		// An owner that is not told may grant the same target again and again.
		if j.withheldSends >= maxSends {
			return obstacleTargets
		}
		return ""
	case notRun, notLoaded:
		return ""
	case failedRun:
		// forwardBuffered returns failedRun only if another run is allowed, but an attempt
		// that was abandoned meanwhile may have been the last one.
		if j.possibleRuns >= j.Route.MaxAttempts {
			return obstacleAttempts
		}
		return ""
	case outcomeUnknown:
		return j.rerunObstacle(cr)
	default:
		return obstacleResult
	}
}

// rerunObstacle returns why the request may not run again after a run with an unknown
// outcome, empty if it may. A response that has begun can be continued only if it is a
// stream whose last event has an ID.
func (j *job) rerunObstacle(cr *clientResponse) string {
	switch {
	case !j.idempotent() || cr.started && !(cr.streaming && j.Route.Resumable && !j.endsWithoutID):
		return obstacleRepeatable
	case j.possibleRuns >= j.Route.MaxAttempts:
		return obstacleAttempts
	default:
		return ""
	}
}
