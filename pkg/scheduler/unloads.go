package scheduler

import (
	"time"

	"almondturn/pkg/inventory"
)

// Estimate of the time that targets take to unload a model.
const (
	// unloadDelayRaise is what a rejected order adds to the delay with which it was sent. The
	// times of unloads scatter by some milliseconds.
	unloadDelayRaise = 4 * time.Millisecond
	// maxUnloadDelay bounds the delay: orders may be rejected for other reasons, too.
	maxUnloadDelay = 500 * time.Millisecond
	// minUnloadDelayStep and maxUnloadDelayStep bound how much an accepted order lowers
	// the delay. The step doubles after each acceptedOrdersPerStep orders without a
	// rejection, so that about one order in thirty is rejected.
	minUnloadDelayStep    = 100 * time.Microsecond
	maxUnloadDelayStep    = 2 * time.Millisecond
	acceptedOrdersPerStep = 8
	// heldOrderTolerance is how much later than the delay an order may be sent and still
	// show whether the delay is long enough.
	heldOrderTolerance = 5 * time.Millisecond
)

// unloadEstimate learns, for one service, the time from an accepted unload of a model until
// the target accepts the next order. It starts with unloadDelay and never goes below it, so
// that a service whose targets take less than that has a constant delay.
type unloadEstimate struct {
	// delay is the time from the response to an unload to the next order.
	delay time.Duration
	// accepted counts the orders in a row that were accepted after the delay.
	accepted int
	// outlasted is true if the last unload outlasted a repeated order.
	outlasted bool
}

// orderAccepted lowers the delay after an order that was accepted when it ended.
func (e *unloadEstimate) orderAccepted() {
	step := min(minUnloadDelayStep<<min(e.accepted/acceptedOrdersPerStep, 8), maxUnloadDelayStep)
	e.accepted++
	e.outlasted = false
	e.delay = max(e.delay-step, unloadDelay)
}

// orderRejected raises the delay after an order that was rejected once, the given time
// after the unload.
func (e *unloadEstimate) orderRejected(elapsed time.Duration) {
	e.raise(elapsed)
	e.outlasted = false
}

// unloadOutlasted records an unload that was in progress for longer than the given time,
// when an order was rejected again. Two in a row raise the delay to it. A single one may be
// an unload that waits for a run of which the owner does not know.
func (e *unloadEstimate) unloadOutlasted(elapsed time.Duration) {
	if e.outlasted {
		e.raise(elapsed)
	}
	e.outlasted = true
}

func (e *unloadEstimate) raise(elapsed time.Duration) {
	e.accepted = 0
	e.delay = max(e.delay, min(elapsed+unloadDelayRaise, maxUnloadDelay))
}

// unloadEstimate returns the estimate of a service.
func (s *Scheduler) unloadEstimate(service string) *unloadEstimate {
	e := s.unloads[service]
	if e == nil {
		e = &unloadEstimate{delay: unloadDelay}
		s.unloads[service] = e
	}
	return e
}

// unloadAccepted holds the next order to the target for as long as its service's targets
// take for an unload.
func (s *Scheduler) unloadAccepted(now time.Time, t *target) {
	t.unload = pendingUnload{acceptedAt: now}
	t.nextOrderAt = now.Add(s.unloadEstimate(t.info.Service).delay)
}

// pendingUnload is the last accepted unload of a model at a target, until the target
// accepts the next order. acceptedAt is zero for none.
type pendingUnload struct {
	acceptedAt time.Time
	// rejections counts the orders rejected since; firstRejected and lastRejected are the
	// times from the unload to the first and the last of them.
	rejections                  int
	firstRejected, lastRejected time.Duration
}

// orderAfterUnloadRejected records a rejected order that followed an unload.
func (t *target) orderAfterUnloadRejected() {
	u := &t.unload
	if u.acceptedAt.IsZero() {
		return
	}
	u.lastRejected = t.orderSince.Sub(u.acceptedAt)
	if u.rejections == 0 {
		u.firstRejected = u.lastRejected
	}
	u.rejections++
}

// orderAfterUnloadAccepted updates the estimate by an accepted order that followed an
// unload. An order that was ready only long after the unload shows nothing.
func (s *Scheduler) orderAfterUnloadAccepted(t *target) {
	u := t.unload
	t.unload = pendingUnload{}
	if u.acceptedAt.IsZero() {
		return
	}
	e := s.unloadEstimate(t.info.Service)
	first := u.firstRejected
	if u.rejections == 0 {
		first = t.orderSince.Sub(u.acceptedAt)
	}
	switch {
	case first > e.delay+heldOrderTolerance:
	case u.rejections == 0:
		e.orderAccepted()
	case u.rejections == 1:
		e.orderRejected(u.firstRejected)
	default:
		e.unloadOutlasted(u.lastRejected)
	}
}

// reportAfterUnload updates the estimate by a report from a target whose state became
// unknown because an unload outlasted the repeated orders. A report with more runs than the
// owner knows of suggests that the unload waits for one of them: nodes that were cut off or
// have failed have such runs, and a new owner has not yet learned of all.
func (s *Scheduler) reportAfterUnload(t *target, r inventory.Report) {
	u := t.unload
	if t.phase != stateUnknown || u.acceptedAt.IsZero() || r.Sequence < t.sequence {
		return
	}
	t.unload = pendingUnload{}
	e := s.unloadEstimate(t.info.Service)
	if r.Sequence == t.sequence && r.Running <= t.runs && u.firstRejected <= e.delay+heldOrderTolerance {
		e.unloadOutlasted(u.lastRejected)
	}
}
