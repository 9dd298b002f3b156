package entry

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"almondturn/pkg/fault"
)

// Parameters of latestStart.
const (
	// singleRunFactor and repeatableRunFactor are the times that must be left for a
	// request, as multiples of its expected duration. The client of one that may be
	// repeated can repeat or continue it at another node.
	singleRunFactor     = 1.0
	repeatableRunFactor = 0.5
	// unknownRunShare is the expected duration of a request of a route without known
	// ones, as a share of its timeout.
	unknownRunShare = 0.15
)

// stopTimes are the times of a node's stop.
type stopTimes struct {
	// begun is when the node was asked to stop, end when it interrupts the requests that
	// are still in progress.
	begun, end time.Time
}

// latestStart returns the time until which a stopping node that interrupts its requests
// at end may send a request to a target. expected is how long the target is expected to
// take, repeatable is true if the request may run more than once. A request that ends by
// its deadline anyway may be sent until then.
func latestStart(end, deadline time.Time, expected time.Duration, repeatable bool) time.Time {
	if !deadline.After(end) {
		return deadline
	}
	factor := singleRunFactor
	if repeatable {
		factor = repeatableRunFactor
	}
	needed := time.Duration(factor * float64(expected))
	return end.Add(-max(needed, minRunTime))
}

// latestStart is the function latestStart for a request of this node. ok is false if the
// node is not stopping.
func (n *Node) latestStart(j *job) (latest time.Time, ok bool) {
	s := n.stopTimes.Load()
	if s == nil {
		return time.Time{}, false
	}
	expected := n.runTimes.expected(j.Route.Name, j.OutputTokens, j.effectiveTimeout())
	return latestStart(s.end, j.deadline, expected, j.idempotent()), true
}

// refuseTooLate returns the refusal of a request that no target has run and that a
// stopping node has no time for, nil for any other request.
func (n *Node) refuseTooLate(j *job) *ErrorResponse {
	latest, stopping := n.latestStart(j)
	if !stopping || j.possibleRuns > 0 || !time.Now().After(latest) {
		return nil
	}
	return newErrorResponse(fault.ShuttingDown, stopRetryAfter, "the node is stopping and has too little time left for the request")
}

// refuseLateArrival returns the refusal of a request whose body was complete only later
// than maxAcceptAfterStop after the beginning of a stop, unless the request ends by its
// deadline before the node interrupts it.
func (n *Node) refuseLateArrival(j *job) *ErrorResponse {
	s := n.stopTimes.Load()
	if s == nil || time.Since(s.begun) <= maxAcceptAfterStop || !j.deadline.After(s.end) {
		return nil
	}
	return newErrorResponse(fault.ShuttingDown, stopRetryAfter, "the node is stopping")
}

// maxBodyTimeAfterStop is how long after maxAcceptAfterStop a stopping node goes on
// receiving the body of a request. Most clients read a refusal only after the body.
const maxBodyTimeAfterStop = time.Second

// bodyLimit returns when a stopping node refuses a request whose body is incomplete.
func (s *stopTimes) bodyLimit() time.Time {
	limit, last := s.begun.Add(maxAcceptAfterStop+maxBodyTimeAfterStop), s.end.Add(-minRunTime)
	if limit.After(last) {
		return last
	}
	return limit
}

// limitedBody is the body of a client's request. If the node stops, its reads return
// ErrStopping from bodyLimit on.
type limitedBody struct {
	io.ReadCloser
	// inTime ends the limit and reports whether all reads were in time. It has to be
	// called at the end of the request at the latest.
	inTime func() bool
}

// Read implements io.Reader. It returns ErrStopping also for the last bytes if they were
// received when the connection had just been given up.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.inTime() {
		return 0, ErrStopping
	}
	return n, err
}

// limitBody returns the body of a request with the limit of a stop. rc is the controller
// of the response.
func (n *Node) limitBody(body io.ReadCloser, rc *http.ResponseController) *limitedBody {
	var mu sync.Mutex // guards the variables below, and rc until ended is set
	ended, late := false, false
	interrupt := func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			late = true
			_ = rc.SetReadDeadline(time.Now()) // an error leaves the request to the end of the stop
		}
	}
	unregister := context.AfterFunc(n.untilStop, func() {
		time.AfterFunc(time.Until(n.stopTimes.Load().bodyLimit()), interrupt)
	})
	return &limitedBody{body, func() bool {
		unregister()
		mu.Lock()
		defer mu.Unlock()
		ended = true
		return !late
	}}
}

// searchTarget is findTarget for a request that does not wait for longer than a stop of
// the node allows.
func (n *Node) searchTarget(ctx context.Context, j *job) (assignment, *ErrorResponse) {
	if refusal := n.refuseTooLate(j); refusal != nil {
		return assignment{}, refusal
	}
	search, cancel := n.searchContext(ctx, j)
	defer cancel()
	a, refusal := n.findTarget(search, j)
	tooLate := n.refuseTooLate(j)
	switch {
	case tooLate == nil:
		return a, refusal
	case refusal == nil:
		n.releaseAssignment(a, sendResult{kind: withheld})
	}
	return assignment{}, tooLate
}

// searchContext returns the context of a search for a target of j. If no target has run
// the request, it ends on a stopping node at the latest start.
func (n *Node) searchContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	search, cancel := context.WithCancel(ctx)
	if j.possibleRuns > 0 {
		return search, cancel
	}
	unregister := context.AfterFunc(n.untilStop, func() {
		latest, _ := n.latestStart(j)
		timer := time.AfterFunc(time.Until(latest), cancel)
		context.AfterFunc(search, func() { timer.Stop() })
	})
	return search, func() { unregister(); cancel() }
}

// Parameters of runTimes.
const (
	// runTimeSampleWeight is the weight of the last run in the moving averages.
	runTimeSampleWeight = 0.1
	// maxRunTimeRoutes bounds the number of routes with averages.
	maxRunTimeRoutes = 1024
)

// runTimes estimates from complete runs how long the requests of each route take. Its
// methods may be called concurrently; its zero value is empty.
type runTimes struct {
	mu      sync.Mutex // guards byRoute
	byRoute map[string]runTimeAverage
}

// runTimeAverage holds moving averages over the runs of one route.
type runTimeAverage struct {
	// duration is in seconds, tokens the expected length of the response.
	duration, tokens float64
}

// recordRunTime records how long an attempt took if it was the whole run of a request.
func (n *Node) recordRunTime(j *job, r sendResult, d time.Duration) {
	success := r.status >= http.StatusOK && r.status < http.StatusMultipleChoices
	if r.kind == completed && success && j.possibleRuns == 1 && j.LastEventID == "" {
		n.runTimes.record(j.Route.Name, j.OutputTokens, d)
	}
}

// record adds a complete run of a request with an expected number of output tokens, 0
// for a request without tokens.
func (r *runTimes) record(route string, tokens int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := runTimeAverage{d.Seconds(), float64(tokens)}
	average, ok := r.byRoute[route]
	switch {
	case !ok && len(r.byRoute) >= maxRunTimeRoutes, r.byRoute == nil:
		r.byRoute = map[string]runTimeAverage{route: sample}
	case !ok:
		r.byRoute[route] = sample
	default:
		average.duration += runTimeSampleWeight * (sample.duration - average.duration)
		average.tokens += runTimeSampleWeight * (sample.tokens - average.tokens)
		r.byRoute[route] = average
	}
}

// expected returns how long a run is expected to take: the average of the route's last
// runs, adjusted for the tokens, or a share of the timeout if there were none. Declared
// numbers of tokens are inexact, so that the adjustment is the square root of their ratio.
func (r *runTimes) expected(route string, tokens int, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	average, ok := r.byRoute[route]
	if !ok {
		return time.Duration(unknownRunShare * float64(max(timeout, 0)))
	}
	seconds := average.duration
	if tokens > 0 && average.tokens > 0 {
		seconds *= math.Sqrt(float64(tokens) / average.tokens)
	}
	return time.Duration(seconds * float64(time.Second))
}
