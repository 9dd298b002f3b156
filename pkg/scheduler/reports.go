package scheduler

import (
	"time"

	"almondturn/pkg/inventory"
)

// ReportReceived processes the state of a target, which was requested by a
// RequestReport. A report that may be older than the known state is ignored, and
// another one is scheduled unless the response to an order is awaited.
func (s *Scheduler) ReportReceived(now time.Time, id string, r inventory.Report) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.reportRequested = false
	if r.Incarnation != t.info.Incarnation {
		// The target has restarted. The next SetTargets replaces it.
		t.nextReportAt = now.Add(reportRetryDelay)
		return
	}
	o := t.weightStoreLoad()
	if t.phase != modelLoading {
		o = nil
	}
	open := t.openLoads()
	s.reportAfterUnload(t, r)
	t.applyReport(now, r)
	if o != nil && t.phase == noOrder && t.replicas[o.Model] != nil {
		s.weightStoreLoadFinished(now, t, o)
	}
	s.recordShownLoads(t, open, r)
}

// recordShownLoads records the success of the open loads whose model or adapter a report
// lists as loaded, unless the report may be older than they are.
func (s *Scheduler) recordShownLoads(t *target, open []openLoad, r inventory.Report) {
	shown := inventory.Target{Models: r.Models}
	for _, l := range open {
		if r.Sequence < t.sequence || !shown.HasLoaded(l.key.model, l.key.adapter) {
			continue
		}
		if l.key.adapter != "" {
			s.adapterShown(t, l.key.model, l.key.adapter)
		} else {
			s.loadSucceeded(l.key, l.since)
		}
	}
}

// applyReport replaces the known state by the reported one. It ignores a report
// that arrives while the response to an order is awaited. If the target still
// carries out an order or the report may be outdated, it schedules the next report
// instead.
func (t *target) applyReport(now time.Time, r inventory.Report) {
	next := now.Add(reportInterval)
	switch t.phase {
	case orderSent:
		return
	case modelLoading:
		if r.Sequence < t.sequence || r.OrderInProgress {
			t.nextReportAt = next
			return
		}
	case orderUnconfirmed:
		if r.Sequence == t.order.Sequence && !r.OrderInProgress && now.Sub(t.orderSince) < unconfirmedWait {
			t.nextReportAt = next
			return
		}
		if r.OrderInProgress {
			t.nextReportAt = next
			return
		}
	case noOrder:
		if r.Sequence < t.sequence || r.OrderInProgress {
			t.nextReportAt = next
			return
		}
	case stateUnknown:
		stale := r.Sequence < t.sequence && now.Sub(t.unknownSince) < staleReportWindow
		if r.OrderInProgress || stale {
			t.nextReportAt = now.Add(t.unknownReportInterval(now))
			return
		}
	}
	t.replaceState(now, r)
}

// replaceState replaces the known state of the target by the report.
func (t *target) replaceState(now time.Time, r inventory.Report) {
	o := t.order
	unseenOrders := r.Sequence != t.sequence
	t.sequence = r.Sequence
	t.phase, t.order = noOrder, nil
	t.setModels(r.Models)
	switch {
	case r.Sequence == 0:
		t.setMayBeUnloading(false) // it has accepted no order
	case unseenOrders:
		t.setMayBeUnloading(true)
	}
	t.addLoadingAdapters(now, r.AdaptersLoading)
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

// setMayBeUnloading sets whether unloads of the adapters may have been accepted.
func (t *target) setMayBeUnloading(may bool) {
	for _, r := range t.replicas {
		for _, a := range r.adapters {
			a.mayBeUnloading = may
		}
	}
}

// addLoadingAdapters adds the adapters that a report lists as being loaded. They take
// memory and adapter slots, and get no runs until a report lists them as loaded.
func (t *target) addLoadingAdapters(now time.Time, names []string) {
	for _, n := range names {
		model, name, ok := inventory.SplitAdapter(n)
		if r := t.replicas[model]; ok && r != nil && r.adapters[name] == nil {
			r.adapters[name] = &adapter{unconfirmed: true, loading: true, mayBeUnloading: true, lastUsed: now}
			t.nextReportAt = now.Add(reportInterval)
		}
	}
}

// ReportFailed records that a requested report was not received. The target gets
// no requests until the next one is due, unless it is loading a model.
func (s *Scheduler) ReportFailed(now time.Time, id string) {
	t := s.targets[id]
	if t == nil {
		return
	}
	t.reportRequested = false
	t.nextReportAt = now.Add(reportRetryDelay)
	if t.phase != modelLoading {
		t.suspectUntil = now.Add(reportRetryDelay)
	}
}

// maxPendingReports is the number of reports that are requested concurrently. A
// new owner of a large zone has to request one from each target.
const maxPendingReports = 32

// requestReports requests the reports that are due. Targets in an unknown state
// are asked only shortly before and in the order window, because only orders
// require a known state.
func (s *Scheduler) requestReports(now time.Time) {
	pending := 0
	for _, t := range s.sortedTargets {
		if t.reportRequested {
			pending++
		}
	}
	soon := now.After(s.ordersFrom.Add(-unconfirmedWait)) && now.Before(s.ordersUntil)
	for _, t := range s.sortedTargets {
		due := t.phase == modelLoading || t.phase == orderUnconfirmed || t.phase == stateUnknown && soon || t.phase == noOrder && t.hasUnconfirmed()
		if !due || t.reportRequested || now.Before(t.nextReportAt) {
			continue
		}
		if pending++; pending > maxPendingReports {
			return // the others follow as soon as responses have arrived
		}
		t.reportRequested = true
		s.emit(RequestReport{Target: t.info.ID})
	}
}
