package scheduler

import "time"

// markUnknown discards the order and requests the target's state before the
// next order.
func (t *target) markUnknown(now time.Time) {
	t.phase = stateUnknown
	t.order = nil
	t.nextReportAt = now
	t.unknownSince = now
	t.rejections = 0
}

// orderRejected handles an order that the target did not accept. The order is
// sent again soon, because reports show the end of the previous order later than
// the target accepts the next one.
func (t *target) orderRejected(now time.Time) {
	t.orderAfterUnloadRejected()
	t.unsentOrders = 0
	t.rejections++
	if t.rejections > maxRejections {
		t.markUnknown(now)
		return
	}
	t.phase, t.order = noOrder, nil
	t.nextOrderAt = now.Add(rejectedDelay << (t.rejections - 1))
}

// unsentOrderDelay is the time until the next order after one that was not sent.
const unsentOrderDelay = 100 * time.Millisecond

// orderNotSent handles an order for which no connection to the target was established. A single
// one may be the owner's own fault; after a second one in a row the target is not healthy for a
// while, as after a run with this outcome.
func (t *target) orderNotSent(now time.Time) {
	t.phase, t.order = noOrder, nil
	t.nextOrderAt = now.Add(unsentOrderDelay)
	if t.unsentOrders++; t.unsentOrders > 1 {
		t.suspectUntil = now.Add(suspectTime)
		t.nextOrderAt = t.suspectUntil
	}
}

// unknownReportInterval returns the time until the next report of a target in an unknown
// state. It grows with the time since the state became unknown, so that the end of an
// unload is seen early and one that waits for a run causes few reports.
func (t *target) unknownReportInterval(now time.Time) time.Duration {
	return min(max(now.Sub(t.unknownSince)/2, minReportInterval), reportInterval)
}

// OrderResultReceived processes the result of an order. Results of orders that are
// no longer in progress have no effect.
func (s *Scheduler) OrderResultReceived(now time.Time, o Order, result OrderResult) {
	t := s.targets[o.Target]
	if t == nil || t.phase != orderSent || t.order == nil || *t.order != o {
		return
	}
	switch result {
	case OrderAccepted:
		s.orderAfterUnloadAccepted(t)
		t.orderAccepted(now)
		if o.Operation == Unload && o.Adapter == "" {
			s.unloadAccepted(now, t)
		}
	case OrderDone:
		s.orderAfterUnloadAccepted(t)
		since := t.orderSince
		t.orderDone(now)
		if o.Operation == Load && o.Adapter == "" {
			s.loadSucceeded(queueKey{t.info.Service, o.Model, ""}, since)
		}
	case OrderRejected:
		t.orderRejected(now)
	case OrderNotSent:
		t.orderNotSent(now)
	case OrderUnknown:
		t.recordLateOrder(now, t.order)
		t.phase = orderUnconfirmed
		t.nextReportAt = now.Add(unconfirmedWait)
	}
}

// orderAccepted handles an order that the target has accepted.
func (t *target) orderAccepted(now time.Time) {
	o := t.order
	t.rejections, t.unsentOrders = 0, 0
	t.sequence = o.Sequence + 1
	if o.Adapter != "" && o.Operation == Unload {
		t.adapterUnloadPending(now, o)
		return
	}
	if o.Adapter != "" {
		t.finishAdapterOrder(now, o)
		return
	}
	if o.Operation == Unload {
		// Only replicas without runs are unloaded, so that the target has nothing to
		// wait for.
		delete(t.replicas, o.Model)
		t.phase, t.order = noOrder, nil
		return
	}
	t.phase = modelLoading
	t.orderSince, t.probes = now, 0
	t.nextReportAt = now.Add(t.expectedDuration + reportLag)
}

// orderDone handles an order that the target had already carried out, or carried
// out before it responded.
func (t *target) orderDone(now time.Time) {
	o := t.order
	switch {
	case o.Adapter != "" && o.Operation == Unload:
		t.adapterUnloadDone(now, o)
	case o.Adapter != "":
		t.finishAdapterOrder(now, o)
		if r := t.replicas[o.Model]; r != nil {
			r.adapters[o.Adapter].mayBeUnloading = true // it was there before this order
		}
	case o.Operation == Load:
		t.replicas[o.Model] = &replica{adapters: map[string]*adapter{}, lastUsed: now}
		t.phase, t.order, t.plan = noOrder, nil, nil
	default:
		delete(t.replicas, o.Model)
		t.phase, t.order = noOrder, nil
	}
}

// adapterUnloadPending handles an accepted unload of an adapter. The target
// carries it out immediately unless it still has a run with the adapter; this
// owner does not know of that run, because the node that started it has failed.
// The adapter keeps its adapter slot until a report no longer lists it.
func (t *target) adapterUnloadPending(now time.Time, o *Order) {
	t.phase, t.order = noOrder, nil
	r := t.replicas[o.Model]
	if r == nil || r.adapters[o.Adapter] == nil {
		return
	}
	r.adapters[o.Adapter].unconfirmed = true
	r.adapters[o.Adapter].mayBeUnloading = true
	t.nextReportAt = now.Add(reportInterval)
}

// adapterUnloadDone handles the response that the target no longer has the adapter. If the
// adapter may have been gone before, the response does not tell whether the target has counted
// this order. A sequence above the target's would let a delayed order wait for its number, so
// that the order is unconfirmed until a report shows the sequence, and the adapter keeps its
// adapter slot.
func (t *target) adapterUnloadDone(now time.Time, o *Order) {
	r := t.replicas[o.Model]
	if r == nil || r.adapters[o.Adapter] == nil {
		t.markUnknown(now)
		return
	}
	a := r.adapters[o.Adapter]
	if !a.mayBeUnloading && !a.unconfirmed {
		t.sequence = o.Sequence + 1
		t.finishAdapterOrder(now, o)
		return
	}
	a.unconfirmed = true
	t.phase = orderUnconfirmed
	t.nextReportAt = now.Add(reportLag)
}

// finishAdapterOrder updates the adapters after an order that needs no report.
func (t *target) finishAdapterOrder(now time.Time, o *Order) {
	t.phase, t.order = noOrder, nil
	r := t.replicas[o.Model]
	if r == nil {
		return
	}
	if o.Operation == Unload {
		delete(r.adapters, o.Adapter)
		return
	}
	r.adapters[o.Adapter] = &adapter{lastUsed: now, readyAt: now.Add(adapterLoadTime), openSince: t.orderSince}
}
