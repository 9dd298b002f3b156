package entry

import (
	"context"
	"errors"
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
	// sameTargetWaitFactor is job.sameTargetWait as a multiple of the wait for an
	// event, on routes whose clients have no timeout for it.
	sameTargetWaitFactor = 2
)

// errStalled is the cause with which an attempt of a silent stream is ended after the
// next one was secured.
var errStalled = errors.New("the stream is silent and is continued at another target")

// Reasons for which a search secured nothing, besides those of the owners.
var (
	errNoBudget   = errors.New(obstacleBudget)
	errSameTarget = errors.New("only the silent target is free")
	errTimeOver   = errors.New(obstacleTime)
)

// continuation secures the next attempt of a stream that has fallen silent: a slot at
// another target and a retry of the budget. Only with both does it end the current
// attempt, which is read until then. Its methods may be called concurrently.
type continuation struct {
	node *Node
	// job is a copy of the request's, made at the start of the attempt, without
	// the target of the attempt.
	job    job
	target assignment
	// ctx is that of the attempt, giveUp ends it.
	ctx    context.Context
	giveUp context.CancelCauseFunc

	mu    sync.Mutex // guards all below
	timer *time.Timer
	// progressAt is when the last event with an ID, before that the head of the
	// response, and before that the start of the attempt was.
	progressAt time.Time
	// started is that of eventWait.
	started bool
	// writing is set while events are being written to the client.
	writing bool
	// cancelSearch ends the search in progress; nil if there is none.
	cancelSearch context.CancelFunc
	// searched is closed when the last search has ended; nil before the first.
	searched chan struct{}
	// secured is the assignment for the next attempt, nil if there is none.
	secured *assignment
	// ended is set at the end of the attempt.
	ended bool
}

// watchSilence returns the continuation of the attempt that a is assigned to, nil if
// the request may not be continued elsewhere after it. started is true if a part of the
// response was written to the client.
func (n *Node) watchSilence(ctx context.Context, giveUp context.CancelCauseFunc, j *job, a assignment, started bool) *continuation {
	now := time.Now()
	if !j.mayResumeElsewhere(now, j.possibleRuns+1) {
		return nil
	}
	c := &continuation{node: n, job: *j, target: a, ctx: ctx, giveUp: giveUp, progressAt: now, started: started}
	c.job.excluded = append(slices.Clone(j.excluded), a.target.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.job.eventWait(started), c.check)
	return c
}

// headReceived records the head of the response as progress, which ends a search.
func (c *continuation) headReceived() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress()
}

// writeBegins records that events are being written to the client, whose slowness is
// not the target's silence.
func (c *continuation) writeBegins() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

// writeEnded records the end of a write. progress is true if an event with an ID was
// written, endsWithoutID that of job.
func (c *continuation) writeEnded(progress, endsWithoutID bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.job.endsWithoutID = false, endsWithoutID
	if progress {
		c.progress()
		c.started, c.job.lastEventAt = true, c.progressAt
	}
}

// progress records that the stream goes on, and ends a search. c.mu must be held.
func (c *continuation) progress() {
	c.progressAt = time.Now()
	if c.cancelSearch != nil {
		c.cancelSearch()
	}
}

// check starts a search if the stream is silent, and sets the timer for the next check.
func (c *continuation) check() {
	j, ctx, silence := c.begin()
	if ctx == nil {
		return
	}
	log := func(e event.Event, err error) {
		e.Log(c.node.log).Str("request", j.ID).Str("target", c.target.target.ID).Dur("silent_ms", silence).AnErr("reason", err).Send()
	}
	log(event.StreamSilent, nil)
	silent := c.target.target.ID
	if silence >= j.sameTargetWait() {
		silent = "" // its connection may be lost while new ones work
	}
	a, err := c.node.secure(ctx, j, silent)
	if err == nil && c.handOver(ctx, a) {
		c.node.pool.CloseIdle(c.target.target.Addr) // other connections to it may be stalled, too
		log(event.StreamGivenUp, nil)
		return
	}
	if err == nil {
		c.node.releaseSecured(j, a)
	}
	if ctx.Err() == nil {
		log(event.StreamNotContinued, err)
	}
	c.endSearch(searchRetryDelay)
}

// sameTargetWait returns the silence after which a stream is continued at its target over
// a new connection if no other is free: most of the time that the client waits for an
// event.
func (j *job) sameTargetWait() time.Duration {
	if j.Route.FirstEventTimeout <= 0 {
		return sameTargetWaitFactor * j.eventWait(true)
	}
	return j.Route.FirstEventTimeout * 3 / 4
}

// begin begins a search and returns a copy of the job and the context for it, and how
// long the stream has been silent. The context is nil if no search is due.
func (c *continuation) begin() (*job, context.Context, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	silence := now.Sub(c.progressAt)
	if c.ended || !c.job.mayResumeElsewhere(now, c.job.possibleRuns+1) {
		return nil, nil, 0
	}
	wait := c.job.eventWait(c.started)
	switch {
	case silence < wait:
		c.timer.Reset(wait - silence)
		return nil, nil, 0
	case c.writing || c.job.startDeadline().Sub(now) < minRunTime:
		c.timer.Reset(wait)
		return nil, nil, 0
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelSearch, c.searched = cancel, make(chan struct{})
	j := c.job
	j.excluded = slices.Clone(j.excluded)
	return &j, ctx, silence
}

// handOver makes a the assignment of the next attempt and ends the current one, unless
// the search was ended, too little time is left, or no target can continue the stream any
// more; it returns false then.
func (c *continuation) handOver(ctx context.Context, a assignment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.writing || c.job.endsWithoutID || ctx.Err() != nil || time.Until(c.job.deadline) < minTimeToContinue {
		return false
	}
	c.secured = &a
	c.cancelSearch()
	c.cancelSearch = nil
	close(c.searched)
	c.giveUp(errStalled)
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

// stop ends the checks at the end of the attempt, awaits a search in progress, and
// returns the assignment that was secured, nil if there is none.
func (c *continuation) stop() *assignment {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	c.ended = true
	c.timer.Stop()
	searched := c.searched
	if c.cancelSearch != nil {
		c.cancelSearch()
	}
	c.mu.Unlock()
	if searched != nil {
		<-searched
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.secured
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
	case time.Until(j.deadline) < minTimeToContinue:
		err = errTimeOver
	case !n.budgets.forService(j.service).spend(time.Now(), n.retryLimits()):
		err = errNoBudget
	default:
		return a, nil
	}
	n.releaseAssignment(a, sendResult{kind: expired})
	return assignment{}, err
}

// releaseSecured releases an assignment that secure returned and nothing was sent to.
func (n *Node) releaseSecured(j *job, a assignment) {
	n.releaseAssignment(a, sendResult{kind: expired})
	n.budgets.forService(j.service).refund(time.Now(), n.retryLimits())
}
