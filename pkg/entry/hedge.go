package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// Conditions on the target of a hedge.
const (
	// maxHedgeLoad is the greatest share of its slots in use: a hedge must not delay the
	// requests of others.
	maxHedgeLoad = 0.5
	// maxHedgeReportAge is the greatest age of the target's own report of its load. A target without
	// one gets one hedge of this node at a time, whose response brings a report.
	maxHedgeReportAge = 5 * time.Second
)

// mayHedge reports whether the request may be sent to a second target beside the first one: it may
// be repeated, its route allows another run, no owner grants its slots, and it is not the trial of a
// suspect.
func (j *job) mayHedge(x *exchange) bool {
	return !j.engine && j.Route.Kind == route.Safe && x.ended == nil && len(x.assignment.trials) == 0 &&
		j.possibleRuns+2 <= j.Route.MaxAttempts && j.sends+2 <= maxSends
}

// hedge sends the request of x and, if its response is late, sends it to a second target, too. It
// returns the exchange whose response is forwarded, and ends the other one. Without hedging in the
// settings it returns x, of which nothing is sent yet.
func (n *Node) hedge(ctx context.Context, j *job, x *exchange) (winner *exchange) {
	ratio := n.bounds.Load().HedgeRatio
	if ratio <= 0 || !j.mayHedge(x) {
		return x
	}
	if j.sends == 0 {
		n.hedger.RecordRequest(j.service, ratio)
	}
	delay, ok := n.hedger.Delay(j.Route.Name, j.Route.LatencyObjective)
	if !ok || time.Until(j.deadline) < delay+minRunTime {
		return x
	}
	begun := time.Now()
	// Attempts that fail at once would shorten the delay after which requests are hedged.
	defer func() {
		if !winner.hasEnded() || winner.answers() {
			n.hedger.RecordTime(j.Route.Name, time.Since(begun))
		}
	}()
	x.begin()
	if x.endsWithin(ctx, delay) {
		return x
	}
	second := n.beginHedge(ctx, j, x)
	if second == nil {
		x.awaitEnd(ctx)
		return x
	}
	winner, loser := awaitFirst(ctx, x, second)
	event.RequestHedged.Log(n.log).Str("request", j.ID).Str("first", x.assignment.target.ID).Str("second", second.assignment.target.ID).
		Dur("after_ms", delay).Bool("second_won", winner == second).Dur("total_ms", time.Since(begun)).Send()
	n.metrics.countHedge(j.service, winner == second)
	n.endLoser(j, loser)
	return winner
}

// beginHedge sends the request to a second target, and returns nil if there is none without load, or
// a budget is exhausted.
func (n *Node) beginHedge(ctx context.Context, j *job, x *exchange) *exchange {
	if ctx.Err() != nil || !n.budgetAllowsRetry(j) || !n.hedger.Take(j.service) {
		return nil
	}
	a, ok := n.hedgeTarget(j, x)
	if !ok {
		n.hedger.GiveBack(j.service)
		return nil
	}
	if a.retry, ok = n.budgets.forService(j.service).spend(time.Now(), n.retryLimits()); !ok {
		n.releaseAssignment(a, sendResult{kind: withheld})
		n.hedger.GiveBack(j.service)
		return nil
	}
	second := n.newExchange(ctx, j, a)
	second.begin()
	return second
}

// hedgeTarget chooses the target of a hedge, and asks the quarantine for it: the first attempt may
// have crashed its target.
func (n *Node) hedgeTarget(j *job, x *exchange) (assignment, bool) {
	candidates, _ := n.withoutPaused(n.targetSet.Load().Service(j.service))
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(t *inventory.Target) bool {
		return n.notices.State(noticeKey(t)).Limit.Named
	})
	exclude := append(slices.Clone(j.excluded), x.assignment.target.ID)
	t := n.usages.acquireIdle(time.Now(), candidates, n.self.Zone, exclude)
	if t == nil {
		return assignment{}, false
	}
	a := assignment{target: t, zone: t.Zone, admittedAt: time.Now()}
	trials, refusal := n.guard.admit(j, t.ID)
	if a.trials = trials; refusal != nil || len(trials) > 0 {
		n.releaseAssignment(a, sendResult{kind: withheld})
		return assignment{}, false
	}
	return a, true
}

// acquireIdle is acquire among the candidates that have enough free slots, as far as is known.
func (u *targetUsages) acquireIdle(now time.Time, candidates []*inventory.Target, zone fleet.Zone, exclude []string) *inventory.Target {
	u.mu.Lock()
	idle := slices.DeleteFunc(candidates, func(t *inventory.Target) bool {
		usage := u.get(t.ID)
		if now.Sub(usage.reportedAt) > maxHedgeReportAge {
			return usage.inFlight > 0 || now.Before(usage.avoidUntil)
		}
		running := usage.inFlight + usage.othersInFlight
		return now.Before(usage.avoidUntil) || float64(running+1) > maxHedgeLoad*float64(usage.slots(t))
	})
	u.mu.Unlock()
	return u.acquire(now, idle, zone, exclude)
}

// endLoser ends the exchange whose response is not forwarded, and adds it to the attempts of the
// job. A target that was only slower is not taken for one that failed.
func (n *Node) endLoser(j *job, x *exchange) {
	endedByItself := x.hasEnded()
	x.giveUp(errNotNeeded)
	<-x.ended
	answered := x.answers()
	r := x.result()
	if answered || !endedByItself {
		r = notNeeded(r)
	}
	released := r
	switch {
	case r.sentNothing():
		n.refundRetry(j, x.assignment)
	case errors.Is(r.err, errNotNeeded):
		released = sendResult{kind: expired}
	default:
		n.guard.attemptEnded(j, x.assignment, r)
	}
	n.releaseAssignment(x.assignment, released)
	j.addUnused(unusedAttempt{x.assignment, r})
}

// notNeeded returns the result of an exchange that was ended because the other one has answered.
func notNeeded(r sendResult) sendResult {
	if r.sentNothing() {
		return sendResult{kind: withheld, err: errNotNeeded}
	}
	return sendResult{kind: outcomeUnknown, err: errNotNeeded}
}

// awaitFirst waits for the first response that may be forwarded, or the end of ctx, and returns its
// exchange and the other one. If neither has such a response, the first exchange wins.
func awaitFirst(ctx context.Context, first, second *exchange) (winner, loser *exchange) {
	select {
	case <-first.ended:
		if first.answers() {
			return first, second
		}
		second.awaitEnd(ctx)
	case <-second.ended:
		if !second.answers() {
			first.awaitEnd(ctx)
		}
	case <-ctx.Done():
		return first, second
	}
	if second.hasEnded() && second.answers() {
		return second, first
	}
	return first, second
}

// endsWithin waits until an exchange that has begun has ended, and returns false if the time or ctx
// ends before.
func (x *exchange) endsWithin(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	x.awaitEnd(ctx)
	return x.hasEnded()
}

// awaitEnd waits until an exchange that has begun has ended, or ctx ends.
func (x *exchange) awaitEnd(ctx context.Context) {
	select {
	case <-x.ended:
	case <-ctx.Done():
	}
}

// answers reports whether an exchange that has ended has the head of a response that may be
// forwarded, and is no failure of the target.
func (x *exchange) answers() bool {
	if x.err != nil {
		return false
	}
	r, usable := x.node.classifyHead(x.resp)
	return usable && r.status < http.StatusInternalServerError && (!isSuccess(r.status) || r.info.Signed)
}
