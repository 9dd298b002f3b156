package emulator

import (
	"slices"
	"time"

	"almondturn/pkg/scheduler"
)

const (
	// lateOrderMinDelay and lateOrderMaxDelay bound the time after which a
	// target carries out an order during OrderTimeouts.
	lateOrderMinDelay = 500 * time.Millisecond
	lateOrderMaxDelay = 3 * time.Second
	// maxMemoryCopies is the number of models per target of which main memory
	// holds a copy of the weights.
	maxMemoryCopies = 2
	// loadCrashDownTime is the time until a target is back that a load crashed.
	loadCrashDownTime = 3500 * time.Millisecond
)

// handleOrder delivers an order to its target and schedules the result for the
// policy. During OrderTimeouts the result is OrderUnknown, after 20 times
// responseDelay, and with even odds the target receives the order late, unless it
// crashed meanwhile.
func (s *simulation) handleOrder(now time.Time, o scheduler.Order) {
	s.result.Orders++
	e := s.targetByID(o.Target)
	switch {
	case e.removed || !e.alive || now.Before(e.unreachableUntil):
		s.sendOrderResult(now, o, scheduler.OrderRejected)
	case now.Before(e.orderTimeoutsUntil):
		s.schedule(now, responseDelay*20, func(now time.Time) { s.policy.OrderResultReceived(now, o, scheduler.OrderUnknown) })
		if s.rand.IntN(2) == 0 {
			delay := lateOrderMinDelay + time.Duration(s.rand.Int64N(int64(lateOrderMaxDelay-lateOrderMinDelay)))
			incarnation := e.incarnation
			s.schedule(now, delay, func(now time.Time) {
				if e.alive && e.incarnation == incarnation {
					s.acceptOrder(now, e, o)
				}
			})
		}
	default:
		s.sendOrderResult(now, o, s.acceptOrder(now, e, o))
	}
}

// sendOrderResult reports the result of an order to the policy after
// responseDelay.
func (s *simulation) sendOrderResult(now time.Time, o scheduler.Order, r scheduler.OrderResult) {
	s.schedule(now, responseDelay, func(now time.Time) { s.policy.OrderResultReceived(now, o, r) })
}

// acceptOrder begins an order at a target and returns the immediate result. It
// rejects an order if another one is in progress, or if the sequence number
// differs from the number of accepted orders, so that a late order can't take
// effect after newer ones. A load of a model that is loaded already is OrderDone
// and doesn't count as an accepted order.
func (s *simulation) acceptOrder(now time.Time, e *simulatedTarget, o scheduler.Order) scheduler.OrderResult {
	if e.activeOrder != nil || o.Sequence != e.sequence {
		return scheduler.OrderRejected
	}
	adapters, loaded := e.models[o.Model]
	if o.Adapter != "" {
		return s.acceptAdapterOrder(e, o, adapters, loaded)
	}
	if o.Operation == scheduler.Unload {
		e.sequence++
		e.activeOrder, e.orderEndsAt = &o, now.Add(unloadTime)
		for _, r := range e.runs {
			if r.model == o.Model && r.endsAt.After(e.orderEndsAt) {
				e.orderEndsAt = r.endsAt // an unload waits for its runs
			}
		}
		return scheduler.OrderAccepted
	}
	if loaded {
		return scheduler.OrderDone
	}
	e.sequence++
	s.checkMemory(e, s.cfg.EngineSettings.Models[o.Model].WeightsMB)
	e.activeOrder, e.orderEndsAt = &o, now.Add(s.loadTime(e, o.Model))
	s.result.Loads++
	return scheduler.OrderAccepted
}

// acceptAdapterOrder loads or unloads an adapter immediately. An unload returns
// OrderDone, a load OrderAccepted, although it is complete as well. adapters holds
// the loaded adapters of the order's model; loaded reports whether that model is
// loaded. Too many adapters at the target are a violation.
func (s *simulation) acceptAdapterOrder(e *simulatedTarget, o scheduler.Order, adapters map[string]bool, loaded bool) scheduler.OrderResult {
	if !loaded {
		return scheduler.OrderRejected
	}
	e.sequence++
	if o.Operation == scheduler.Unload {
		delete(adapters, o.Adapter)
		return scheduler.OrderDone
	}
	adapters[o.Adapter] = true
	s.checkMemory(e, 0)
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	if n > s.cfg.EngineSettings.AdapterSlots {
		s.addViolation("target %s holds %d adapters, which exceeds its adapter slots", e.id, n)
	}
	return scheduler.OrderAccepted
}

// checkMemory records a violation if the models and adapters of a target, plus
// another mb megabytes, exceed its memory for weights.
func (s *simulation) checkMemory(e *simulatedTarget, mb float64) {
	for name, adapters := range e.models {
		m := s.cfg.EngineSettings.Models[name]
		mb += m.WeightsMB + float64(len(adapters))*m.AdapterMB
	}
	if mb > s.cfg.EngineSettings.WeightsMB {
		s.addViolation("target %s was ordered to hold %.0f MB, which exceeds its memory for weights", e.id, mb)
	}
}

// loadTime returns how long a load of the model takes that begins now, from the
// fastest copy of the weights: main memory, disk or the weight store. It counts
// loads from the weight store.
func (s *simulation) loadTime(e *simulatedTarget, model string) time.Duration {
	m := s.cfg.EngineSettings.Models[model]
	switch {
	case slices.Contains(e.inMemory, model):
		return m.MemoryLoadTime
	case slices.Contains(e.onDisk, model):
		return m.DiskLoadTime
	default:
		s.result.StoreLoads++
		return time.Duration(s.storeSlowdown() * float64(m.WeightStoreLoadTime))
	}
}

// finishOrder completes the active order. A loaded model leaves a copy on disk
// and one in main memory, which replaces the oldest copy there. A load of one of
// Config.DeadlyModels crashes the target.
func (s *simulation) finishOrder(now time.Time, e *simulatedTarget) {
	o := e.activeOrder
	e.activeOrder = nil
	if o.Operation == scheduler.Unload {
		delete(e.models, o.Model)
		return
	}
	if slices.Contains(s.cfg.DeadlyModels, o.Model) {
		s.result.LoadCrashes++
		s.crash(now, e)
		s.schedule(now, loadCrashDownTime, func(now time.Time) {
			e.alive, e.incarnation = true, e.incarnation+1
			s.updateTargets(now)
		})
		return
	}
	e.models[o.Model] = map[string]bool{}
	if !slices.Contains(e.onDisk, o.Model) {
		e.onDisk = append(e.onDisk, o.Model)
	}
	e.inMemory = slices.DeleteFunc(e.inMemory, func(m string) bool { return m == o.Model })
	e.inMemory = append(e.inMemory, o.Model)
	if len(e.inMemory) > maxMemoryCopies {
		e.inMemory = e.inMemory[1:]
	}
}

// sendReport sends the policy a report of the target after responseDelay. The
// data is that of the oldest snapshot, at least reportAge old unless the target
// has just started. A target that is down or unreachable sends none.
func (s *simulation) sendReport(now time.Time, id string) {
	e := s.targetByID(id)
	s.schedule(now, responseDelay, func(now time.Time) {
		if e.removed || !e.alive || now.Before(e.unreachableUntil) || len(e.snapshots) == 0 {
			s.policy.ReportFailed(now, id)
			return
		}
		s.policy.ReportReceived(now, id, e.snapshots[0].report)
	})
}

// applyFault begins a fault at the first tick at or after Fault.At, and does
// nothing at other ticks. When a target restarts after a crash, the policy gets the
// new list of targets with the time of the crash, not with that of the restart.
func (s *simulation) applyFault(now time.Time, f Fault) {
	at := s.start.Add(f.At)
	if at.After(now) || !at.After(now.Add(-tick)) {
		return
	}
	e := s.targets[f.Target%len(s.targets)]
	switch f.Kind {
	case Crash:
		s.crash(now, e)
		s.schedule(now, f.Duration, func(time.Time) {
			e.alive, e.incarnation = true, e.incarnation+1
			s.updateTargets(now)
		})
	case Removal:
		s.crash(now, e)
		e.removed = true
		s.updateTargets(now)
	case OrderTimeouts:
		e.orderTimeoutsUntil = now.Add(f.Duration)
	case Unreachable:
		e.unreachableUntil = now.Add(f.Duration)
	case Limited:
		e.limit = simulatedLimit{perSecond: f.PerSecond, until: now.Add(f.Duration)}
	}
}

// crash ends the runs of a target and clears its state, except for the copies on
// disk. Runs that had their first event count as broken, the others as lost.
func (s *simulation) crash(now time.Time, e *simulatedTarget) {
	for _, id := range sortedRunIDs(e.runs) {
		if e.runs[id].started {
			s.result.Broken++
		} else {
			s.result.Lost++
		}
		s.policy.RunEnded(now, id, scheduler.Failed)
	}
	e.alive = false
	e.runs = map[scheduler.RunID]*activeRun{}
	e.models, e.inMemory, e.snapshots = map[string]map[string]bool{}, nil, nil
	e.activeOrder, e.sequence = nil, 0
}

// storeSlowdown returns the factor by which concurrent loads from the weight
// store lengthen another load, 1 or more. It counts the orders in progress whose
// Source is FromWeightStore. Baseline sets no Source, so its loads aren't counted.
func (s *simulation) storeSlowdown() float64 {
	if s.cfg.FullSpeedStoreLoads == 0 {
		return 1
	}
	n := 1
	for _, e := range s.targets {
		if e.activeOrder != nil && e.activeOrder.Source == scheduler.FromWeightStore {
			n++
		}
	}
	return max(float64(n)/float64(s.cfg.FullSpeedStoreLoads), 1)
}
