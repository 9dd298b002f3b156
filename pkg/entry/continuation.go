package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/event"
)

// Times of the search for the next target of a silent stream.
const (
	// searchRetryDelay is the delay before the next search after one that secured
	// nothing.
	searchRetryDelay = 400 * time.Millisecond
	// minTimeToContinue is the least time that must remain until the deadline when
	// an attempt is given up.
	minTimeToContinue = 2 * minRunTime
)

// continuation secures the next attempt of a stream that has fallen silent: a retry of the
// budget and a slot at another target, which has sent the event that continues the stream.
// Only with all of them does it end the current attempt, which is read until then, unless a
// probe has shown that its connection is lost. Its methods may be called concurrently.
type continuation struct {
	node *Node
	// requestCtx is the context of the request, current the exchange of the attempt.
	requestCtx context.Context
	current    *exchange

	mu sync.Mutex // guards all below
	// job is a copy of the request's, made at the start of the attempt, without
	// the target of the attempt.
	job   job
	timer *time.Timer
	// progressAt is when the last event with an ID, before that the head of the
	// response, and before that the start of the attempt was.
	progressAt time.Time
	// started is that of eventWait.
	started bool
	// eventCount is the number of events of the attempt that were written.
	eventCount int
	// unanswered is the number of probes in succession that the target did not answer in
	// time since the last progress.
	unanswered int
	// writing is set while events are being written to the client.
	writing bool
	// cancelSearch ends the search in progress; nil if there is none.
	cancelSearch context.CancelFunc
	// searched is closed when the last search has ended; nil before the first.
	searched chan struct{}
	// trying is the exchange of a next attempt that has begun and may be abandoned, nil
	// if there is none.
	trying *exchange
	// next is the exchange of the next attempt, nil until it is secured.
	next *exchange
	// unused are the attempts that were abandoned and not added to the request's job.
	unused []unusedAttempt
	// ended is set at the end of the attempt.
	ended bool
}

// watchSilence returns the continuation of the attempt with the exchange x, nil if
// the request may not be continued elsewhere after it. started is true if a part of the
// response was written to the client.
func (n *Node) watchSilence(ctx context.Context, x *exchange, j *job, started bool) *continuation {
	now := time.Now()
	if !j.mayResumeElsewhere(now, j.possibleRuns+1) {
		return nil
	}
	c := &continuation{node: n, requestCtx: ctx, current: x, job: *j, progressAt: now, started: started}
	c.job.excluded, c.job.sentTo = append(slices.Clone(j.excluded), x.assignment.target.ID), slices.Clone(j.sentTo)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.job.eventWait(started), c.check)
	return c
}

// headReceived records the head of the response as progress, which ends a search. It adds
// to j the attempts that were abandoned.
func (c *continuation) headReceived(j *job) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.progress()
	searched := c.searched
	c.mu.Unlock()
	c.settle(j, searched)
}

// settle awaits the end of the last search, which searched shows, and adds to j the
// attempts that were abandoned. searched is nil if there was none.
func (c *continuation) settle(j *job, searched <-chan struct{}) {
	if searched != nil {
		<-searched
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.unused {
		j.addUnused(u)
	}
	c.unused = nil
}

// writeBegins records that events are being written to the client, whose slowness is
// not the target's silence. It returns false if the next attempt is secured: the events
// must not be written then, because the request to the next target asks for them.
func (c *continuation) writeBegins() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = c.next == nil
	return c.writing
}

// writeEnded records the end of a write of the request's job j, after which eventCount events
// of the attempt have been written. progress is true if an event with an ID was written.
func (c *continuation) writeEnded(j *job, eventCount int, progress bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.eventCount = false, eventCount
	c.job.resumeAfter, c.job.endsWithoutID, c.job.lastEventAt, c.job.version = j.resumeAfter, j.endsWithoutID, j.lastEventAt, j.version
	if progress {
		c.progress()
		c.started = true
	}
}

// progress records that the stream goes on, and ends a search. c.mu must be held.
func (c *continuation) progress() {
	c.progressAt, c.unanswered = time.Now(), 0
	if c.cancelSearch != nil {
		c.cancelSearch()
	}
}

// minUnansweredProbes is the number of probes in succession that must be unanswered before
// a target is taken to hang: a single one may be late beside other load.
const minUnansweredProbes = 2

// confirmHang returns the diagnosis d of a probe, or targetUnknown if it is that of the first
// probe in succession that was not answered.
func (c *continuation) confirmHang(d diagnosis) diagnosis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d != targetHung {
		c.unanswered = 0
		return d
	}
	if c.unanswered++; c.unanswered < minUnansweredProbes {
		return targetUnknown
	}
	return targetHung
}

// check starts a search if the stream is silent, and sets the timer for the next check.
func (c *continuation) check() {
	s := c.begin()
	if s == nil {
		return
	}
	s.log(event.StreamSilent, nil)
	if err := s.run(); err != nil {
		if s.ctx.Err() == nil {
			s.log(event.StreamNotContinued, err)
		}
		c.endSearch(searchRetryDelay)
		return
	}
	c.node.pool.CloseIdle(c.current.assignment.target.Addr) // other connections to it may be stalled, too
	s.log(event.StreamGivenUp, nil)
}

// setTrying sets the exchange that stop may return. It returns false, and changes nothing,
// if stop has returned the last one.
func (c *continuation) setTrying(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return false
	}
	c.trying = x
	return true
}

// begin begins a search, nil if none is due.
func (c *continuation) begin() *search {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	silence := now.Sub(c.progressAt)
	wait := c.job.eventWait(c.started)
	switch {
	case c.ended:
		return nil
	case c.job.endsWithoutID: // the next event may have an identifier
		c.timer.Reset(wait)
		return nil
	case !c.job.mayResumeElsewhere(now, c.job.possibleRuns+1):
		return nil
	case silence < wait:
		c.timer.Reset(wait - silence)
		return nil
	case c.writing || c.job.startDeadline().Sub(now) < minRunTime:
		c.timer.Reset(wait)
		return nil
	}
	ctx, cancel := context.WithCancel(c.current.ctx)
	c.cancelSearch, c.searched = cancel, make(chan struct{})
	s := &search{c: c, ctx: ctx, job: c.job, silentSince: c.progressAt, started: c.started, eventCount: c.eventCount}
	s.job.excluded, s.job.sentTo = slices.Clone(c.job.excluded), slices.Clone(c.job.sentTo)
	return s
}

// handOver makes x the exchange of the next attempt and ends the current one, unless x has
// failed, the search was ended, too little time is left, or no target can continue the
// stream any more; it returns false then.
func (c *continuation) handOver(ctx context.Context, x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.writing || c.job.endsWithoutID || ctx.Err() != nil || x.failedToContinue() || time.Until(c.job.deadline) < minTimeToContinue {
		return false
	}
	c.next, c.trying = x, nil
	c.cancelSearch()
	c.cancelSearch = nil
	close(c.searched)
	c.current.giveUp(errStalled)
	return true
}

// endSearch ends a search that secured nothing; the next check is after delay.
func (c *continuation) endSearch(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelSearch()
	c.cancelSearch = nil
	close(c.searched)
	if !c.ended {
		c.timer.Reset(delay)
	}
}

// stop ends the checks at the end of the attempt, which has the result r, awaits a search
// in progress, adds to j the attempts that were abandoned, and returns the exchange of the
// next attempt, nil if there is none. If the attempt has broken, that is also one whose
// target has not accepted the request yet.
func (c *continuation) stop(j *job, r sendResult) *exchange {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	c.ended = true
	c.timer.Stop()
	if c.trying != nil && (r.kind == outcomeUnknown || r.kind == unreachable) {
		c.next, c.trying = c.trying, nil
	}
	if c.cancelSearch != nil {
		c.cancelSearch()
	}
	searched := c.searched
	c.mu.Unlock()
	c.settle(j, searched)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// secure returns an assignment for the next attempt, for which a retry of the budget is
// spent, or an error if there is none. It returns no assignment at the target with the
// identifier silent.
func (n *Node) secure(ctx context.Context, j *job, silent string) (assignment, error) {
	if !n.budgetAllowsRetry(j) {
		return assignment{}, errNoBudget
	}
	a, refusal := n.findTarget(ctx, j)
	if refusal != nil {
		return assignment{}, refusal.Error
	}
	err := context.Cause(ctx)
	switch {
	case err != nil:
	case a.target.ID == silent:
		err = errSameTarget
	case time.Until(j.deadline) < minTimeToContinue+maxOverlap:
		err = errTimeOver
	default:
		var ok bool
		if a.retry, ok = n.budgets.forService(j.service).spend(time.Now(), n.retryLimits()); ok {
			return a, nil
		}
		err = errNoBudget
	}
	n.releaseAssignment(a, sendResult{kind: withheld})
	return assignment{}, err
}

// refundRetry takes back the retry that was spent for an assignment, if one was, and that
// was not made.
func (n *Node) refundRetry(j *job, a assignment) {
	if a.retry != (spentRetry{}) {
		n.budgets.forService(j.service).refund(time.Now(), n.retryLimits(), a.retry)
	}
}
