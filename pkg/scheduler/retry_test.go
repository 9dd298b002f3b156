package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/customers"
	"almondturn/pkg/inventory"
)

// retryLoad is a load on two targets with 16 slots and two models, of three kinds of requests
// as on a deployment with uneven demand. Clients retry twice, after RetryAfter.
type retryLoad struct {
	// demand is the number of requests per second, in groups of 3, at a time in seconds.
	demand func(second float64) float64
	// wholeDeadline is true if clients stop waiting at the deadline of the first attempt.
	wholeDeadline bool
	// former makes clients wait as long as RetryAfter was before it was predicted.
	former bool
}

// retryResult counts requests: those offered, served at last and begun within their objective, and
// the refusals after a first one.
type retryResult struct{ offered, served, inTime, again int }

func (r retryResult) String() string {
	n := float64(r.offered)
	return fmt.Sprintf("served %.3f, in time %.3f, refused again %.3f of %d", float64(r.served)/n, float64(r.inTime)/n, float64(r.again)/n, r.offered)
}

// play plays a minute with each of five seeds.
func (l retryLoad) play(t *testing.T) (out retryResult) {
	for seed := range int64(5) {
		l.run(t, rand.New(rand.NewSource(seed)), rand.New(rand.NewSource(-1-seed)), &out)
	}
	return out
}

// run plays a minute. The arrivals are the same whatever is refused.
func (l retryLoad) run(t *testing.T, arrivals, models *rand.Rand, out *retryResult) {
	type kind struct {
		upTo                    float64
		input                   int
		objective, timeout, run time.Duration
	}
	kinds := []kind{
		{0.56, 826, 400 * time.Millisecond, 12 * time.Second, 1100 * time.Millisecond},
		{0.74, 826, 2500 * time.Millisecond, 25 * time.Second, 1100 * time.Millisecond},
		{1, 2368, 500 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond},
	}
	type attempt struct {
		kind
		first, at time.Time
		number    int
	}
	z := newTestZone(t, newTestTarget("a", []string{"m0", "m1"}, nil), newTestTarget("b", []string{"m0", "m1"}, nil))
	e := z.services[testService].Engine
	e.Slots, e.CacheTokens = 16, 1_000_000
	z.SetTargets(z.now, []*inventory.Target{})
	z.SetTargets(z.now, z.targets)
	z.SetCustomers(new(customers.Directory)) // RetryAfter is predicted where the configuration has customers
	waiting, starts, ends := map[Ticket]attempt{}, map[RunID]time.Time{}, map[RunID]time.Time{}
	var retries []attempt
	submit := func(a attempt) {
		r := z.request(fmt.Sprint("m", models.Intn(2)))
		r.InputTokens, r.MaxEventInterval, r.LatencyObjective = a.input, testEventInterval, a.objective
		r.ObjectiveAt, r.Deadline = z.now.Add(a.objective), z.now.Add(a.timeout)
		if l.wholeDeadline {
			r.Deadline = a.first.Add(a.timeout)
		}
		waiting[z.Submit(z.now, r)] = a
	}
	for tick := range 60 * 100 {
		z.now = z.now.Add(10 * time.Millisecond)
		if arrivals.Float64() < l.demand(float64(tick)/100)/3/100 {
			for range 3 {
				x, i := arrivals.Float64(), 0
				for x > kinds[i].upTo {
					i++
				}
				out.offered++
				submit(attempt{kind: kinds[i], first: z.now})
			}
		}
		var later []attempt
		for _, a := range retries {
			if z.now.Before(a.at) {
				later = append(later, a)
			} else {
				submit(a)
			}
		}
		retries = later
		for _, id := range sortedKeys(ends) {
			if !z.now.Before(starts[id]) {
				z.RunStarted(z.now, id)
			}
			if !z.now.Before(ends[id]) {
				z.RunEnded(z.now, id, Completed)
				delete(ends, id)
			}
		}
		for _, action := range z.Step(z.now) {
			switch action := action.(type) {
			case Grant:
				a := waiting[action.Ticket]
				out.served++
				if action.Waited <= a.objective {
					out.inTime++
				}
				starts[action.Run] = z.now.Add(time.Duration(z.runs[action.Run].pendingPrefillTokens) * testPrefillPerToken)
				ends[action.Run] = starts[action.Run].Add(a.run)
			case Refusal:
				a := waiting[action.Ticket]
				if a.number++; a.number > 1 {
					out.again++
				}
				after := action.RetryAfter
				if l.former {
					after = min(max(action.Estimate.ExpectedWait-action.Estimate.TimeLeft+minRunTime, minRetryAfter), maxRetryAfter)
				}
				if a.at = z.now.Add(after); a.number < 3 && (!l.wholeDeadline || a.at.Before(a.first.Add(a.timeout))) {
					retries = append(retries, a)
				}
			}
		}
	}
}

// testPrefillPerToken is the prefill time per token of the targets of retryLoad.
const testPrefillPerToken = 25 * time.Microsecond

// compare plays a load with the former RetryAfter and the predicted one.
func (l retryLoad) compare(t *testing.T) (before, after retryResult) {
	after = l.play(t)
	l.former = true
	before = l.play(t)
	t.Logf("%v; before: %v", after, before)
	return before, after
}

// Load: 28 requests/s, 0.8 of the capacity, with an amplitude of 0.55 and a period of 17 s, so
// that peaks are above the capacity. Guards against a RetryAfter that ends within the same
// peak, so that the retry is refused, too: 2 of 10 requests were refused again.
func TestRetryAfterPeaksIsServed(t *testing.T) {
	for _, wholeDeadline := range []bool{false, true} {
		before, after := retryLoad{wholeDeadline: wholeDeadline, demand: func(second float64) float64 {
			return 28.4 * (1 + 0.55*math.Sin(2*math.Pi*second/17))
		}}.compare(t)
		assert.LessOrEqual(t, 2*after.again, before.again)
		assert.Greater(t, after.served*before.offered, before.served*after.offered)
	}
}

// Loads that a later retry does not help: 1.1 times the capacity without an end, 0.8 of it
// without peaks, and a burst of 200 requests within a second on a zone with little demand. Guards against a prediction that
// costs served requests on other deployments.
func TestPredictedRetryAfterIsHarmlessWithoutPeaks(t *testing.T) {
	for name, demand := range map[string]func(float64) float64{
		"lasting overload": func(float64) float64 { return 39 },
		"steady demand":    func(float64) float64 { return 28.4 },
		"single burst": func(second float64) float64 {
			if second >= 20 && second < 21 {
				return 200
			}
			return 5
		},
	} {
		for _, wholeDeadline := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " whole deadline ", wholeDeadline), func(t *testing.T) {
				before, after := retryLoad{wholeDeadline: wholeDeadline, demand: demand}.compare(t)
				assert.GreaterOrEqual(t, float64(after.served)/float64(after.offered), 0.98*float64(before.served)/float64(before.offered))
				assert.GreaterOrEqual(t, float64(after.inTime)/float64(after.offered), 0.98*float64(before.inTime)/float64(before.offered))
				assert.LessOrEqual(t, after.again*before.offered, before.again*after.offered)
			})
		}
	}
}

// Guards against predicted times, and waits in referrals, on deployments without customers.
func TestWithoutCustomersRefusalsAreAsBefore(t *testing.T) {
	z := newTestZone(t, newTestTarget("a", []string{"m0"}, nil))
	w := &waiter{Request: z.request("m0")}
	w.Deadline = z.now.Add(12 * time.Second)
	const expected = 12500 * time.Millisecond
	former := expected - (12*time.Second - minRunTime)
	assert.Equal(t, former, z.retryAfter(z.now, w, 20, expected, time.Second))
	q := &queue{key: queueKey{service: testService, model: "m0"}, waiters: []*waiter{w}}
	assert.Zero(t, z.queueWait(z.now, q))
	z.SetCustomers(new(customers.Directory))
	assert.NotEqual(t, former, z.retryAfter(z.now, w, 20, expected, time.Second))
}
