package emulator

import (
	"slices"
	"time"

	"almondturn/pkg/scheduler"
)

// Delays of orders that get no answer, and the memory for copies of weights.
const (
	lateOrderMin = 500 * time.Millisecond
	lateOrderMax = 3 * time.Second
	// memoryCopies is the number of models of which main memory keeps a copy.
	memoryCopies = 2
)

// order takes an order at a target and answers it.
func (w *world) order(now time.Time, o scheduler.Order) {
	w.result.Orders++
	e := w.engine(o.Target)
	switch {
	case e.gone || !e.alive || now.Before(e.cutUntil):
		w.answer(now, o, scheduler.OrderRejected)
	case now.Before(e.lostUntil):
		w.after(now, answerDelay*20, func(now time.Time) { w.policy.OrderAnswered(now, o, scheduler.OrderUnknown) })
		if w.rand.IntN(2) == 0 {
			delay := lateOrderMin + time.Duration(w.rand.Int64N(int64(lateOrderMax-lateOrderMin)))
			incarnation := e.incarnation
			w.after(now, delay, func(now time.Time) {
				if e.alive && e.incarnation == incarnation {
					w.accept(now, e, o)
				}
			})
		}
	default:
		w.answer(now, o, w.accept(now, e, o))
	}
}

func (w *world) answer(now time.Time, o scheduler.Order, r scheduler.OrderResult) {
	w.after(now, answerDelay, func(now time.Time) { w.policy.OrderAnswered(now, o, r) })
}

// accept begins an order at a target.
func (w *world) accept(now time.Time, e *engine, o scheduler.Order) scheduler.OrderResult {
	if e.order != nil || o.Sequence != e.sequence {
		return scheduler.OrderRejected
	}
	adapters, loaded := e.models[o.Model]
	if o.Adapter != "" {
		return w.acceptAdapter(e, o, adapters, loaded)
	}
	if o.Operation == scheduler.Unload {
		e.sequence++
		e.order, e.busyUntil = &o, now.Add(unloadTime)
		for _, r := range e.runs {
			if r.model == o.Model && r.ends.After(e.busyUntil) {
				e.busyUntil = r.ends // an unload waits for its runs
			}
		}
		return scheduler.OrderAccepted
	}
	if loaded {
		return scheduler.OrderDone
	}
	e.sequence++
	w.checkMemory(e, w.cfg.Engine.Models[o.Model].WeightsMB)
	e.order, e.busyUntil = &o, now.Add(w.loadTime(e, o.Model))
	w.result.Loads++
	return scheduler.OrderAccepted
}

func (w *world) acceptAdapter(e *engine, o scheduler.Order, adapters map[string]bool, loaded bool) scheduler.OrderResult {
	if !loaded {
		return scheduler.OrderRejected
	}
	e.sequence++
	if o.Operation == scheduler.Unload {
		delete(adapters, o.Adapter)
		return scheduler.OrderDone
	}
	adapters[o.Adapter] = true
	w.checkMemory(e, 0)
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	if n > w.cfg.Engine.AdapterSlots {
		w.violate("target %s holds %d adapters", e.id, n)
	}
	return scheduler.OrderAccepted
}

// checkMemory notes a target that holds more than its memory with mb more.
func (w *world) checkMemory(e *engine, mb float64) {
	for name, adapters := range e.models {
		m := w.cfg.Engine.Models[name]
		mb += m.WeightsMB + float64(len(adapters))*m.AdapterMB
	}
	if mb > w.cfg.Engine.WeightsMB {
		w.violate("target %s was ordered to hold %.0f MB", e.id, mb)
	}
}

func (w *world) loadTime(e *engine, model string) time.Duration {
	m := w.cfg.Engine.Models[model]
	switch {
	case slices.Contains(e.memory, model):
		return m.MemoryLoadTime
	case slices.Contains(e.disk, model):
		return m.DiskLoadTime
	default:
		w.result.StoreLoads++
		return time.Duration(w.storeShare() * float64(m.LoadTime))
	}
}

func (w *world) finishOrder(e *engine) {
	o := e.order
	e.order = nil
	if o.Operation == scheduler.Unload {
		delete(e.models, o.Model)
		return
	}
	e.models[o.Model] = map[string]bool{}
	if !slices.Contains(e.disk, o.Model) {
		e.disk = append(e.disk, o.Model)
	}
	e.memory = slices.DeleteFunc(e.memory, func(m string) bool { return m == o.Model })
	e.memory = append(e.memory, o.Model)
	if len(e.memory) > memoryCopies {
		e.memory = e.memory[1:]
	}
}

// report answers a question for a target's state, which is a little old.
func (w *world) report(now time.Time, id string) {
	e := w.engine(id)
	w.after(now, answerDelay, func(now time.Time) {
		if e.gone || !e.alive || now.Before(e.cutUntil) || len(e.past) == 0 {
			w.policy.ReportFailed(now, id)
			return
		}
		w.policy.ReportReceived(now, id, e.past[0].report)
	})
}

// strike begins a fault when its time has come.
func (w *world) strike(now time.Time, f Fault) {
	at := w.start.Add(f.At)
	if at.After(now) || !at.After(now.Add(-tick)) {
		return
	}
	e := w.engines[f.Target%len(w.engines)]
	switch f.Kind {
	case Crash:
		w.crash(now, e)
		w.after(now, f.For, func(time.Time) {
			e.alive, e.incarnation = true, e.incarnation+1
			w.list(now)
		})
	case Gone:
		w.crash(now, e)
		e.gone = true
		w.list(now)
	case LostOrders:
		e.lostUntil = now.Add(f.For)
	case Unreachable:
		e.cutUntil = now.Add(f.For)
	}
}

// crash ends a target's runs and empties it; the copies on disk stay.
func (w *world) crash(now time.Time, e *engine) {
	for _, id := range sortedRuns(e.runs) {
		if e.runs[id].started {
			w.result.Broken++
		} else {
			w.result.Lost++
		}
		w.policy.RunEnded(now, id, scheduler.Failed)
	}
	e.alive = false
	e.runs = map[scheduler.RunID]*running{}
	e.models, e.memory, e.past = map[string]map[string]bool{}, nil, nil
	e.order, e.sequence = nil, 0
}

// storeShare returns how many times longer another load from the weight store
// takes beside those that are in progress.
func (w *world) storeShare() float64 {
	if w.cfg.StoreCarries == 0 {
		return 1
	}
	n := 1
	for _, e := range w.engines {
		if e.order != nil && e.order.Source == scheduler.FromStore {
			n++
		}
	}
	return max(float64(n)/float64(w.cfg.StoreCarries), 1)
}
