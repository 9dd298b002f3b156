package scenarios

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/fault"
	"almondturn/pkg/localcluster"
	"almondturn/platform/standin"
)

// deadlineGrace is how long after the deadline of a request its response may end.
const deadlineGrace = 3 * time.Second

// targetProxyDelay is the time by which slow connections to targets hold data back.
const targetProxyDelay = 50 * time.Millisecond

// replicaTracker counts the loaded replicas of each model over all engines, as
// the stand-ins notify it through OnLoadChange, and records when a limit was exceeded.
type replicaTracker struct {
	mu sync.Mutex // guards all fields below
	// loadedOn holds, for each model, the engines that have it loaded or are
	// loading it.
	loadedOn map[string]map[*standin.Engine]bool
	// maxLimits holds each model's highest limit so far: replicas above a limit
	// that was lowered are drained, which takes time.
	maxLimits  map[string]int
	violations []string
}

func newReplicaTracker() *replicaTracker {
	return &replicaTracker{loadedOn: map[string]map[*standin.Engine]bool{}, maxLimits: map[string]int{}}
}

// observe receives load changes; it is the OnLoadChange callback of the engines.
func (r *replicaTracker) observe(e *standin.Engine, model string, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loadedOn[model] == nil {
		r.loadedOn[model] = map[*standin.Engine]bool{}
	}
	if !loaded {
		delete(r.loadedOn[model], e)
		return
	}
	r.loadedOn[model][e] = true
	if have, limit := len(r.loadedOn[model]), r.maxLimits[model]; have > limit {
		r.violations = append(r.violations, fmt.Sprintf("%s is loaded on %d engines, the limit is %d", model, have, limit))
	}
}

// raiseLimit raises the limit of a model, unless it was higher before.
func (r *replicaTracker) raiseLimit(model string, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxLimits[model] = max(r.maxLimits[model], limit)
}

// loadedCount returns the number of engines on which a model is loaded or being
// loaded.
func (r *replicaTracker) loadedCount(model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.loadedOn[model])
}

func (r *replicaTracker) recordedViolations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// sumCounts adds up, over the targets, the counts that countsOf returns.
func sumCounts(targets map[string]*standin.Engine, countsOf func(*standin.Engine) map[string]int) map[string]int {
	total := map[string]int{}
	for _, e := range targets {
		for key, n := range countsOf(e) {
			total[key] += n
		}
	}
	return total
}

// findViolations returns the violations of the guarantees to callers and
// operators. It compares what the targets did with the responses that the callers
// received, and uses no state of the nodes.
func findViolations(r *replicaTracker, engines, plains map[string]*standin.Engine, calls []*call) []string {
	violations := r.recordedViolations()
	for id, e := range engines {
		if n := e.Overflows(); n > 0 {
			violations = append(violations, fmt.Sprintf("engine %s was ordered to load more than its memory holds, %d times", id, n))
		}
		orders := e.Orders()
		violations = append(violations, findOrdersTooClose(id, orders)...)
		violations = append(violations, findFallingTokens(id, orders)...)
	}
	bookingRuns := sumCounts(plains, (*standin.Engine).RunCounts)
	for id, n := range bookingRuns {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("the booking %s ran %d times", id, n))
		}
	}
	for body, n := range sumCounts(plains, (*standin.Engine).BodyCounts) {
		if n > 1 && strings.Contains(body, keyField) {
			violations = append(violations, fmt.Sprintf("the booking %s ran %d times", body, n))
		}
	}
	modelRuns := sumCounts(engines, (*standin.Engine).RunCounts)
	for _, c := range calls {
		violations = append(violations, c.checkResponse(bookingRuns[c.requestID]+modelRuns[c.requestID])...)
	}
	return violations
}

// findOrdersTooClose returns the violations in the orders that an engine received from
// two nodes within the handover delay. Proxies may have delayed the earlier one.
func findOrdersTooClose(id string, orders []standin.Order) []string {
	var violations []string
	for i := 1; i < len(orders); i++ {
		former, o := orders[i-1], orders[i]
		if apart := o.Received.Sub(former.Received); o.Sender != former.Sender && apart < localcluster.OrderHandoverDelay-targetProxyDelay {
			violations = append(violations, fmt.Sprintf("engine %s received an order of %s at %s, %s after one of %s", id, o.Sender, o.Received.Format(time.TimeOnly), apart, former.Sender))
		}
	}
	return violations
}

// Guards against a judge that overlooks orders of two owners, or reports those of one.
func TestOrdersTooCloseAreFound(t *testing.T) {
	start := time.Now()
	order := func(sender string, after time.Duration) standin.Order {
		return standin.Order{Sender: sender, Received: start.Add(after)}
	}
	const tooEarly = localcluster.OrderHandoverDelay / 2
	assert.Empty(t, findOrdersTooClose("e", []standin.Order{order("a", 0), order("a", time.Millisecond), order("b", localcluster.OrderHandoverDelay+time.Millisecond)}))
	assert.Len(t, findOrdersTooClose("e", []standin.Order{order("a", 0), order("b", tooEarly), order("a", 2*tooEarly)}), 2)
}

// checkResponse returns the violations in the response of a request that targets ran
// runCount times.
func (c *call) checkResponse(runCount int) []string {
	var violations []string
	add := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("request %s through %s (%s%s): ", c.requestID, c.node, c.model, c.idempotencyKey)+fmt.Sprintf(format, args...))
	}
	if c.reportedRun == string(fault.RunNo) && runCount > 0 {
		add("the response (%s) says that the request was not run, but it ran %d times", c.code, runCount)
	}
	if c.code == "ok" && !c.complete {
		add("the response is incomplete and has no error (%d of %d events for a stream)", c.eventCount, c.maxTokens)
	}
	if c.hasForeignData {
		add("the response contains data of another request")
	}
	if c.code != "connection" && c.endedAt.After(c.deadline.Add(deadlineGrace)) {
		add("the response ended %s after the deadline", c.endedAt.Sub(c.deadline))
	}
	return violations
}

// findViolations returns the violations in all calls and loads so far.
func (d *deployment) findViolations() []string {
	return findViolations(d.replicas, d.Engines, d.PlainTargets, d.callers.calls())
}
