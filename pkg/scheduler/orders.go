package scheduler

import (
	"time"

	"almondturn/pkg/inventory"
)

// OrderAnswered takes the answer to an order.
func (s *Scheduler) OrderAnswered(now time.Time, o Order, result OrderResult) {
	t := s.targets[o.Target]
	if t == nil || t.phase != ordering || t.order == nil || *t.order != o {
		return
	}
	switch result {
	case OrderAccepted:
		t.accepted(now)
	case OrderDone:
		t.done(now)
	case OrderRejected:
		t.rejected(now)
	case OrderUnknown:
		t.phase = unsettled
		t.reportAt = now.Add(unsettledWait)
	}
}

// accepted follows an order that the target carries out.
func (t *target) accepted(now time.Time) {
	o := t.order
	t.rejections = 0
	t.sequence = o.Sequence + 1
	if o.Adapter != "" && o.Operation == Unload {
		t.adapterLeaves(now, o)
		return
	}
	if o.Adapter != "" {
		t.applyAdapter(now, o)
		return
	}
	if o.Operation == Unload {
		// Replicas are unloaded without runs, so that nothing is waited for.
		delete(t.replicas, o.Model)
		t.phase, t.order = idle, nil
		t.quietUntil = now.Add(unloadTime)
		return
	}
	t.phase = loading
	t.orderSince, t.probes = now, 0
	t.reportAt = now.Add(t.expected + reportLag)
}

// done follows an order whose result held already, or at once.
func (t *target) done(now time.Time) {
	o := t.order
	switch {
	case o.Adapter != "":
		if o.Operation == Unload {
			t.sequence = o.Sequence + 1
		}
		t.applyAdapter(now, o)
	case o.Operation == Load:
		t.replicas[o.Model] = &replica{adapters: map[string]*adapter{}, lastUsed: now}
		t.phase, t.order, t.plan = idle, nil, nil
	default:
		delete(t.replicas, o.Model)
		t.phase, t.order = idle, nil
	}
}

// adapterLeaves follows an unload that is not done at once: the target still has
// a run with the adapter that this owner does not know of, of a node that has
// died. The adapter keeps its slot until a report tells that it is gone.
func (t *target) adapterLeaves(now time.Time, o *Order) {
	t.phase, t.order = idle, nil
	r := t.replicas[o.Model]
	if r == nil || r.adapters[o.Adapter] == nil {
		return
	}
	r.adapters[o.Adapter].doubted = true
	t.reportAt = now.Add(reportInterval)
}

func (t *target) applyAdapter(now time.Time, o *Order) {
	t.phase, t.order = idle, nil
	r := t.replicas[o.Model]
	if r == nil {
		return
	}
	if o.Operation == Unload {
		delete(r.adapters, o.Adapter)
		return
	}
	r.adapters[o.Adapter] = &adapter{lastUsed: now, readyAt: now.Add(adapterLoadTime)}
}

// ReportReceived takes a target's state.
func (s *Scheduler) ReportReceived(now time.Time, id string, r inventory.Report) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.asked = false
	if r.Incarnation != t.info.Incarnation {
		// The list will tell of the new start; until then nothing is ordered.
		t.reportAt = now.Add(reportRetry)
		return
	}
	o := t.storeLoad()
	if t.phase != loading {
		o = nil
	}
	t.reported(now, r)
	if o != nil && t.phase == idle && t.replicas[o.Model] != nil {
		s.storeLoadEnded(now, t, o)
	}
}

func (t *target) reported(now time.Time, r inventory.Report) {
	next := now.Add(reportInterval)
	switch t.phase {
	case ordering:
		return
	case loading:
		if r.Sequence < t.sequence || r.OrderInProgress {
			t.reportAt = next
			return
		}
	case unsettled:
		if r.Sequence == t.order.Sequence && !r.OrderInProgress && now.Sub(t.orderSince) < unsettledWait {
			t.reportAt = next
			return
		}
		if r.OrderInProgress {
			t.reportAt = next
			return
		}
	case idle:
		if r.Sequence < t.sequence || r.OrderInProgress {
			t.reportAt = next
			return
		}
	case unread:
		stale := r.Sequence < t.sequence && now.Sub(t.unreadSince) < staleFor
		if r.OrderInProgress || stale {
			t.reportAt = next
			return
		}
	}
	t.settle(now, r)
}

// settle takes the state over as known.
func (t *target) settle(now time.Time, r inventory.Report) {
	o := t.order
	t.sequence = r.Sequence
	t.phase, t.order = idle, nil
	t.setModels(r.Models)
	info := *t.info
	info.InMemory, info.OnDisk = r.InMemory, r.OnDisk
	t.setInfo(&info)
	if o != nil && o.Operation == Load && o.Adapter == "" {
		if rep := t.replicas[o.Model]; rep != nil {
			rep.lastUsed = now
		}
		t.plan = nil
	}
}

// ReportFailed tells that a target did not answer.
func (s *Scheduler) ReportFailed(now time.Time, id string) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.asked = false
	t.reportAt = now.Add(reportRetry)
	if t.phase != loading {
		t.suspectUntil = now.Add(reportRetry)
	}
}

// maxReports is the number of reports that are asked for at once: a new owner of
// a large zone has to ask all targets.
const maxReports = 32

// askReports asks the targets whose state is due to be read.
func (s *Scheduler) askReports(now time.Time) {
	asked := 0
	for _, t := range s.sorted {
		if t.asked {
			asked++
		}
	}
	soon := now.After(s.ordersFrom.Add(-unsettledWait)) && now.Before(s.ordersUntil)
	for _, t := range s.sorted {
		due := t.phase == loading || t.phase == unsettled || t.phase == unread && soon || t.phase == idle && t.doubtful()
		if !due || t.asked || now.Before(t.reportAt) {
			continue
		}
		if asked++; asked > maxReports {
			return // the others follow when answers have come
		}
		t.asked = true
		s.emit(RequestReport{Target: t.info.ID})
	}
}
