package dispatch

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
)

// classWeight is the share of each priority class when all wait.
var classWeight = [...]float64{catalog.ClassInteractive: 16, catalog.ClassStandard: 4, catalog.ClassBatch: 1}

// flowID identifies the requests that share one place in fair queueing.
type flowID struct {
	class catalog.Class
	team  fleet.Team
}

// flow is the waiting requests of one team and class in order of arrival.
type flow struct {
	waiters []*waiter
	// last is the virtual start time of the newest request.
	last float64
}

// fairQueue orders waiting requests by start-time fair queueing: each
// flow gets a share of the places by its weight, and unused shares go to
// the others. It is not safe for concurrent use.
// Source: Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996.
type fairQueue struct {
	flows map[flowID]*flow
	// now is the virtual time: the start of the request served last.
	now  float64
	size int
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[flowID]*flow{}} }

func weightOf(id flowID) float64 {
	if id.class < 0 || int(id.class) >= len(classWeight) {
		return classWeight[catalog.ClassStandard]
	}
	return classWeight[id.class]
}

// nextStart returns the virtual start time that a new request of the flow gets.
func (q *fairQueue) nextStart(id flowID) float64 {
	f := q.flows[id]
	if f == nil {
		return q.now
	}
	return max(q.now, f.last+1/weightOf(id))
}

// push adds a waiting request.
func (q *fairQueue) push(w *waiter) {
	w.start = q.nextStart(w.flow)
	f := q.flows[w.flow]
	if f == nil {
		f = &flow{}
		q.flows[w.flow] = f
	}
	f.last = w.start
	f.waiters = append(f.waiters, w)
	q.size++
}

// ahead returns how many waiting requests are served before a new one of the flow.
func (q *fairQueue) ahead(id flowID) int {
	start := q.nextStart(id)
	n := 0
	for other, f := range q.flows {
		if other == id {
			n += len(f.waiters)
			continue
		}
		if len(f.waiters) == 0 || f.waiters[0].start > start {
			continue
		}
		before := int((start-f.waiters[0].start)*weightOf(other)) + 1
		n += min(before, len(f.waiters))
	}
	return n
}

// pop removes and returns the request with the lowest start time; nil when empty.
func (q *fairQueue) pop() *waiter {
	var best *flow
	for id, f := range q.flows {
		if len(f.waiters) == 0 {
			if f.last < q.now {
				delete(q.flows, id)
			}
			continue
		}
		if best == nil || before(f.waiters[0], best.waiters[0]) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiters[0]
	best.waiters[0] = nil
	best.waiters = best.waiters[1:]
	q.size--
	q.now = max(q.now, w.start)
	return w
}

// oldest returns how long the request that waits longest has been waiting.
func (q *fairQueue) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, f := range q.flows {
		if len(f.waiters) > 0 {
			age = max(age, now.Sub(f.waiters[0].since))
		}
	}
	return age
}

// unpop puts a request back that was popped, in front of its flow.
func (q *fairQueue) unpop(w *waiter) {
	f := q.flows[w.flow]
	if f == nil {
		f = &flow{last: w.start}
		q.flows[w.flow] = f
	}
	f.waiters = append([]*waiter{w}, f.waiters...)
	q.size++
}

func before(a, b *waiter) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.arrival < b.arrival
}

// remove takes the waiters out for which drop returns true.
func (q *fairQueue) remove(drop func(*waiter) bool) {
	for _, f := range q.flows {
		kept := f.waiters[:0]
		for _, w := range f.waiters {
			if !drop(w) {
				kept = append(kept, w)
			}
		}
		clear(f.waiters[len(kept):])
		q.size -= len(f.waiters) - len(kept)
		f.waiters = kept
	}
}
