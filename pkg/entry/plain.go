package entry

import (
	"context"
	"slices"
	"time"

	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/wait"
)

// choosePlainTarget chooses a target of a plain service that is not excluded.
// If there is none, an idempotent request is sent again to an excluded one. While all
// targets pause, the request waits if the first pause ends in its time; while all are at
// their limits, it waits for its turn if that comes soon.
func (n *Node) choosePlainTarget(ctx context.Context, j *job) (assignment, *ErrorResponse) {
	for {
		candidates, pause := n.withoutPaused(n.targetSet.Load().Service(j.service))
		t, limited := n.acquirePlainTarget(ctx, j, candidates)
		if t == nil && limited != nil {
			var refusal *ErrorResponse
			if t, refusal = n.awaitPermit(ctx, j, limited); refusal != nil {
				return assignment{}, refusal
			}
		}
		switch {
		case t != nil:
			return assignment{target: t, zone: t.Zone}, nil
		case limited != nil: // it drains or pauses by now
		case pause <= 0:
			return assignment{}, newErrorResponse(fault.NoReplica, defaultRetryAfter, "no target of the service %q is left", j.service)
		case pause > time.Until(j.deadline)-minRunTime || !wait.Sleep(ctx, pause):
			return assignment{}, newErrorResponse(fault.NoReplica, pause, "the targets of the service %q have asked for a pause", j.service)
		}
	}
}

// limitedTarget is a target at its limit, and the time until that allows a request.
type limitedTarget struct {
	target *inventory.Target
	wait   time.Duration
}

// acquirePlainTarget returns the best of the candidates whose limits allow a request now. If
// it returns none, limited is the one whose limit allows one first, nil if none has a limit.
func (n *Node) acquirePlainTarget(ctx context.Context, j *job, candidates []*inventory.Target) (t *inventory.Target, limited *limitedTarget) {
	for {
		t := n.usages.acquire(time.Now(), candidates, n.self.Zone, j.excluded)
		if t == nil && len(j.excluded) > 0 && j.idempotent() {
			t = n.usages.acquire(time.Now(), candidates, n.self.Zone, nil)
		}
		if t == nil {
			return nil, limited
		}
		limit := n.notices.State(noticeKey(t)).Limit
		if !limit.Named {
			return t, nil
		}
		left, ok := n.reservePermit(ctx, t, limit, 0)
		if ok {
			return t, nil
		}
		n.usages.release(time.Now(), t.ID, sendResult{kind: withheld})
		if limited == nil || left < limited.wait {
			limited = &limitedTarget{t, left}
		}
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(c *inventory.Target) bool { return c == t })
	}
}

// maxPermitWaitShare is the share of the time left that a request waits for its turn at a
// target with a limit, if its latency objective is sooner. Longer queues would serve no more
// requests, and all of them late.
const maxPermitWaitShare = 0.25

// awaitPermit waits for the turn of a request at a target with a limit and returns the
// target, nil if it drains meanwhile. A request whose turn comes too late is refused.
func (n *Node) awaitPermit(ctx context.Context, j *job, limited *limitedTarget) (*inventory.Target, *ErrorResponse) {
	timeLeft := time.Until(j.deadline)
	objective := j.Route.LatencyObjective - time.Since(j.arrived)
	most := min(max(objective, time.Duration(maxPermitWaitShare*float64(timeLeft))), timeLeft-minRunTime)
	t := limited.target
	left, ok := n.reservePermit(ctx, t, n.notices.State(noticeKey(t)).Limit, max(most, 0))
	if !ok || !wait.Sleep(ctx, left) {
		return nil, newErrorResponse(fault.NoReplica, max(left-most, defaultRetryAfter/2), "the targets of the service %q take no more requests", j.service)
	}
	return n.usages.acquire(time.Now(), []*inventory.Target{t}, n.self.Zone, nil), nil
}
