package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
)

// run interprets the choices of a schedule.
func (w *sim) run(choices []uint32) {
	for _, c := range choices {
		w.step++
		w.noteCaps()
		w.choose(int(c%100), int(c/100))
		if w.violation != "" {
			return
		}
	}
}

// choose takes one step: mostly progress, else a fault.
func (w *sim) choose(kind, arg int) {
	w.logf("step %d: kind %d, argument %d", w.step, kind, arg)
	n := w.nodes[arg%len(w.nodes)]
	e := w.engines[arg%len(w.engines)]
	switch {
	case kind < 35:
		w.progress(arg)
	case kind < 45:
		w.advance([]time.Duration{30, 100, 300, 1000, 5000, 130_000}[arg%6] * time.Millisecond)
	case kind < 58:
		w.want(e, simKeys[arg/7%len(simKeys)])
	case kind < 63:
		w.finishLoad(e, arg/5)
	case kind < 66:
		w.requests(e, arg/5)
	case kind < 69:
		w.breakSome(arg)
	case kind < 72:
		w.deliverLate(arg)
	case kind < 75:
		w.kvDown = arg%3 == 0
	case kind < 78:
		n.cut = !n.cut
	case kind < 82:
		n.paused = !n.paused
	case kind < 84:
		w.crash(n)
	case kind < 87:
		if !w.kvDown {
			w.changeRoster(n.zone, arg%(len(w.nodes)+1))
		}
	case kind < 92:
		w.tell(n, arg/5)
	case kind < 94:
		w.operator(arg)
	case kind < 96:
		n.catalog = min(n.catalog+1, len(w.catalogs)-1)
	case kind < 98:
		e.reset()
		w.endLoads(e)
	case kind < 99:
		w.reclaim(e, arg/3)
	default:
		w.release(e, simKeys[arg/7%len(simKeys)])
	}
}

// progress carries several calls to their end without a fault.
func (w *sim) progress(arg int) {
	for i := range 1 + arg%24 {
		if len(w.calls) == 0 {
			return
		}
		c := w.calls[(arg/8+i)%len(w.calls)]
		if c.node.paused && !c.executed {
			continue
		}
		w.execute(c, arg/64%3)
		w.answer(c)
	}
}

func (w *sim) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.late = slices.DeleteFunc(w.late, func(l *lateOrder) bool {
		died, dead := w.deaths[fmt.Sprintf("%s/%d", l.node.id, l.process)]
		return dead && w.now.Sub(died) >= simOptions().OrderLifetime
	})
	for _, n := range w.nodes {
		n.tick()
	}
}

func (w *sim) want(e *simEngine, k fleet.ReplicaKey) {
	for _, n := range w.nodes {
		if n.zone == e.target.Zone && !n.paused && n.view.owner(e.target.ID) == n.id {
			n.handle(e.target.ID, LoadWanted{Key: k})
		}
	}
}

func (w *sim) release(e *simEngine, k fleet.ReplicaKey) {
	for _, n := range w.nodes {
		if n.zone == e.target.Zone && !n.paused && n.view.owner(e.target.ID) == n.id {
			n.handle(e.target.ID, ReleaseWanted{Key: k})
		}
	}
}

// finishLoad ends a running load, sometimes without success.
func (w *sim) finishLoad(e *simEngine, arg int) {
	for _, k := range simKeys {
		r := e.replicas[k]
		if r == nil || r.loaded {
			continue
		}
		e.remember()
		r.loaded = arg%6 != 0
		if !r.loaded {
			delete(e.replicas, k)
		}
		w.endLoads(e)
	}
}

// endLoads answers the orders whose load has ended.
func (w *sim) endLoads(e *simEngine) {
	for _, c := range slices.Clone(w.calls) {
		a, ok := c.action.(SendOrder)
		if !ok || c.loading == "" || c.event != nil || c.target != e.target.ID {
			continue
		}
		r := e.replicas[a.Order.Key]
		switch {
		case c.loading != e.name():
			w.breakCall(c, false)
		case r == nil:
			c.event = OrderReturned{ID: a.Order.ID, Outcome: OrderAnswered, Result: targetResult("failed", e)}
		case r.loaded:
			c.event = OrderReturned{ID: a.Order.ID, Outcome: OrderAnswered, Result: targetResult("done", e)}
		}
	}
}

func (w *sim) requests(e *simEngine, arg int) {
	for _, k := range simKeys {
		if r := e.replicas[k]; r != nil && r.loaded {
			r.running = arg % 2
			r.served += uint64(arg % 2)
		}
	}
}

func (w *sim) breakSome(arg int) {
	if len(w.calls) == 0 {
		return
	}
	c := w.calls[arg/2%len(w.calls)]
	if arg%2 == 0 {
		w.execute(c, 0)
	}
	if c.event == nil || arg%3 != 0 {
		w.breakCall(c, true)
	}
}

func (w *sim) deliverLate(arg int) {
	if len(w.late) == 0 {
		return
	}
	i := arg % len(w.late)
	l := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	if e := w.engine(l.target); e.name() == l.incarnation && !e.gone {
		w.accept(e, l.order.Order, l.sentAt)
	}
}

// crash ends a process; what it has sent may still arrive.
func (w *sim) crash(n *simNode) {
	w.deaths[fmt.Sprintf("%s/%d", n.id, n.process)] = w.now
	n.paused = false
	for _, c := range slices.Clone(w.calls) {
		if c.node == n && c.alive() {
			if c.loading != "" {
				w.drop(c)
				continue
			}
			w.breakCall(c, true)
		}
	}
	n.restart()
}

// tell gives a node a roster that it does not know yet.
func (w *sim) tell(n *simNode, arg int) {
	if n.cut || n.paused {
		return
	}
	all := w.rosters[n.zone]
	n.learn(all[len(all)-1-min(arg%2, len(all)-1)])
	for _, e := range w.engines {
		if e.target.Zone == n.zone {
			n.gone[e.target.ID] = e.gone
		}
	}
	n.tick()
}

func (w *sim) operator(arg int) {
	limits := make([]int, 5)
	for i := range limits {
		limits[i] = arg%4 - 1
		arg /= 4
	}
	w.catalogs = append(w.catalogs, w.buildCatalog(limits))
}

// reclaim takes a target away, or starts a new VM of the same name.
func (w *sim) reclaim(e *simEngine, arg int) {
	if arg%3 == 0 {
		e.leaving = !e.leaving
		return
	}
	e.gone = !e.gone
	e.reset()
	w.endLoads(e)
}

func (w *sim) heal() {
	w.kvDown = false
	for _, n := range w.nodes {
		n.cut, n.paused = false, false
		n.catalog = len(w.catalogs) - 1
	}
	for _, e := range w.engines {
		e.gone, e.leaving = false, false
		e.reset()
		w.endLoads(e)
	}
	w.late = nil
	const rounds = 400
	for round := range rounds {
		if round == rounds/2 {
			for _, e := range w.engines {
				e.reset() // floating orders went to the start before this one
				w.endLoads(e)
			}
		}
		w.step++
		w.noteCaps()
		for _, n := range w.nodes {
			w.tell(n, 0)
		}
		w.advance(500 * time.Millisecond)
		for _, e := range w.engines {
			w.finishLoad(e, 1)
			w.requests(e, 0)
		}
		for _, c := range slices.Clone(w.calls) {
			w.execute(c, 0)
			w.answer(c)
		}
	}
}

// stuck returns what has not come to rest after all faults were mended.
func (w *sim) stuck() string {
	var out []string
	for _, n := range w.nodes {
		for _, e := range w.engines {
			m := n.machines[e.target.ID]
			if m == nil || n.view.owner(e.target.ID) != n.id {
				continue
			}
			if !m.Ready() || !m.settle.done || len(m.slots.ops) > 0 || len(m.wants) > 0 || len(m.orders.floating) > 0 {
				out = append(out, fmt.Sprintf("%s on %s: ready=%v settled=%v ops=%d wants=%d floating=%d stage=%d", e.target.ID, n.id, m.Ready(), m.settle.done, len(m.slots.ops), len(m.wants), len(m.orders.floating), m.stage))
			}
			for _, s := range m.ownSlots() {
				if m.slotDue(s) {
					out = append(out, fmt.Sprintf("slot of %s on %s is not released", s.key, e.target.ID))
				}
			}
		}
	}
	return strings.Join(out, "\n")
}
