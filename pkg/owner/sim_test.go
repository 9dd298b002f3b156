package owner

import (
	"context"
	"fmt"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/placement"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/target"
)

const simKeepAlive = 5 * time.Minute

func simOptions() Options {
	o := DefaultOptions()
	o.WantTimeout = 10 * time.Second
	return o
}

// sim runs the real machines of several nodes against engines, a key-value
// service and a network whose every step and fault a schedule chooses.
type sim struct {
	now      time.Time
	step     int
	hooks    hooks
	store    *kv.Store
	slots    *slotReader
	kvDown   bool
	engines  []*simEngine
	nodes    []*simNode
	rosters  map[fleet.Zone][]simRoster
	catalogs []*catalog.Snapshot
	calls    []*simCall
	late     []*lateOrder
	deaths   map[string]time.Time
	// caps[step] are the highest limits by record that some node held then.
	caps      []map[string]int
	capsFor   [2]int // the catalogs that the last of them is made of
	violation string
	loads     int
	answered  map[string]int
	verbose   bool
}

// Now implements platform.Clock.
func (w *sim) Now() time.Time { return w.now }

func newSim(h hooks) *sim {
	w := &sim{now: time.Unix(1_000_000, 0), hooks: h, rosters: map[fleet.Zone][]simRoster{}, deaths: map[string]time.Time{}, answered: map[string]int{}}
	w.store = kv.New(w)
	w.slots = newSlotReader(w.store)
	w.catalogs = append(w.catalogs, w.buildCatalog([]int{1, 2, 2, -1, 2}))
	for i, zone := range []fleet.Zone{"a", "a", "b"} {
		e := &simEngine{target: fleet.Target{ID: fleet.TargetID(fmt.Sprintf("t%d", i)), Zone: zone, Kind: fleet.TargetEngine}, fencing: i == 1, memory: 11}
		e.reset()
		w.engines = append(w.engines, e)
	}
	for i, zone := range []fleet.Zone{"a", "a", "a", "b", "b"} {
		n := &simNode{w: w, id: fleet.NodeID(fmt.Sprintf("n%d", i)), zone: zone}
		n.restart()
		w.nodes = append(w.nodes, n)
	}
	for _, zone := range []fleet.Zone{"a", "b"} {
		w.changeRoster(zone, 0)
	}
	for _, n := range w.nodes {
		n.learn(w.rosters[n.zone][0])
	}
	w.noteCaps()
	return w
}

func (w *sim) buildCatalog(limits []int) *catalog.Snapshot {
	s := simCatalog(limits)
	s.Revisions = map[fleet.Team]platform.Revision{"team": platform.Revision(len(w.catalogs) + 1)}
	return s
}

func (w *sim) engine(id fleet.TargetID) *simEngine {
	for _, e := range w.engines {
		if e.target.ID == id {
			return e
		}
	}
	return nil
}

// changeRoster adds a roster version without the node that skip names.
func (w *sim) changeRoster(zone fleet.Zone, skip int) {
	r := simRoster{epoch: fleet.Epoch(len(w.rosters[zone]) + 1), owners: map[fleet.TargetID]fleet.NodeID{}}
	for i, n := range w.nodes {
		if n.zone == zone && i+1 != skip {
			r.members = append(r.members, n.id)
		}
	}
	if len(r.members) > 0 {
		w.rosters[zone] = append(w.rosters[zone], r)
	}
}

func (w *sim) roster(zone fleet.Zone) simRoster {
	all := w.rosters[zone]
	return all[len(all)-1]
}

// act carries out an action of a machine: calls are queued, answers counted.
func (w *sim) act(n *simNode, id fleet.TargetID, a Action) {
	w.logf("  %s/%d %s: %T %+v", n.id, n.process, id, a, a)
	switch a := a.(type) {
	case CancelOrders:
		for _, c := range w.calls {
			if _, isOrder := c.action.(SendOrder); isOrder && c.alive() && c.node == n && c.target == id {
				w.breakCall(c, true)
			}
		}
	case ReturnBudget, AnswerRelease:
	case Report:
		w.answered[fmt.Sprintf("report-%d", a.Kind)]++
	case AnswerLoad:
		if a.Err == nil {
			w.answered["loaded"]++
		} else {
			w.answered[a.Err.Kind.String()]++
		}
	case AnswerSettle:
		for _, c := range w.calls {
			ask, ok := c.action.(AskSettle)
			if ok && c.executed && c.event == nil && ask.Node == n.id && c.target == id {
				c.event = SettleAnswered{Node: n.id, Settled: settledOf(a)}
			}
		}
	default:
		w.calls = append(w.calls, &simCall{node: n, process: n.process, target: id, action: a, sentAt: w.step})
	}
}

// logf prints a step of the schedule when it is looked at by hand.
func (w *sim) logf(format string, args ...any) {
	if w.verbose {
		fmt.Printf(format+"\n", args...)
	}
}

// execute does the callee's part of a call.
func (w *sim) execute(c *simCall, lag int) {
	if c.executed {
		return
	}
	c.executed = true
	e := w.engine(c.target)
	switch a := c.action.(type) {
	case SendOrder:
		w.deliver(c, e, a)
	case ReadState:
		c.event = StateRead{State: e.report(lag)}
		if e.gone {
			c.event = StateRead{Err: context.DeadlineExceeded}
		}
	case AskBudget:
		c.event = BudgetGranted{Key: a.Key, Budget: a.Budget}
	case AskSettle:
		w.askSettle(c, a)
	default:
		w.executeKV(c)
	}
}

func (w *sim) deliver(c *simCall, e *simEngine, a SendOrder) {
	if e.gone {
		c.event = OrderReturned{ID: a.Order.ID, Outcome: OrderNotSent}
		return
	}
	res, started := w.accept(e, a.Order, c.sentAt)
	if started {
		c.loading = e.name()
		return
	}
	if res.Status == "" {
		res = target.OrderResult{Status: target.OrderDone, State: e.state()}
	}
	c.event = OrderReturned{ID: a.Order.ID, Outcome: OrderAnswered, Result: res}
}

func (w *sim) accept(e *simEngine, o target.Order, sentAt int) (target.OrderResult, bool) {
	before := e.replicas[o.Key]
	res, started := e.accept(o)
	if after := e.replicas[o.Key]; o.Kind == target.OrderLoad && before == nil && after != nil {
		w.loads++
		w.checkLoad(e, o, sentAt)
	}
	return res, started
}

func (w *sim) askSettle(c *simCall, a AskSettle) {
	for _, n := range w.nodes {
		if n.id != a.Node {
			continue
		}
		if n.paused || n.cut || c.node.cut {
			c.event = SettleAnswered{Node: a.Node, Err: context.DeadlineExceeded}
			return
		}
		n.handle(c.target, SettleWanted{Epoch: a.Epoch})
	}
}

func (w *sim) executeKV(c *simCall) {
	var err error
	if c.node.cut {
		err = platform.ErrUnavailable
	}
	w.store.SetFaults(kv.Faults{Down: w.kvDown})
	ctx := context.Background()
	switch a := c.action.(type) {
	case ListSlots:
		records := map[string]StoredRecord{}
		if err == nil {
			records, err = w.listSlots(c.target)
		}
		c.event = SlotsListed{Op: a.Op, Records: records, Err: err}
	case ReadRecord:
		ev := RecordRead{Op: a.Op, Err: err}
		if err == nil {
			ev.Stored, ev.Err = w.slots.read(ctx, a.Group)
		}
		c.event = ev
	case SwapRecord:
		ev := RecordSwapped{Op: a.Op, Err: err}
		if err == nil {
			ev.Revision, ev.Err = w.slots.swap(ctx, a.Group, a.Record, a.Expect)
		}
		c.event = ev
	case ReadRoster:
		if w.kvDown {
			err = platform.ErrUnavailable
		}
		c.event = RosterRead{Op: a.Op, Epoch: w.roster(c.node.zone).epoch, Err: err}
	}
}

func (w *sim) listSlots(id fleet.TargetID) (map[string]StoredRecord, error) {
	all, err := w.slots.readAll(context.Background())
	out := map[string]StoredRecord{}
	for group, stored := range all {
		for _, s := range stored.Record.Slots {
			if s.Target == id {
				out[group] = stored
			}
		}
	}
	return out, err
}

// answer lets the caller have the answer; a paused caller waits.
func (w *sim) answer(c *simCall) {
	if !c.executed || c.event == nil || (c.node.paused && c.alive()) {
		return
	}
	w.drop(c)
	if c.alive() {
		c.node.handle(c.target, c.event)
	}
}

func (w *sim) drop(c *simCall) {
	for i, other := range w.calls {
		if other == c {
			w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
			return
		}
	}
}

// breakCall ends a call with an unknown outcome. An order that was not
// executed yet may stay on its way to the engine as it is now.
func (w *sim) breakCall(c *simCall, keep bool) {
	if _, returned := c.action.(Report); returned || (c.node.paused && c.alive()) {
		return
	}
	w.drop(c)
	var ev Event
	switch a := c.action.(type) {
	case SendOrder:
		if !c.executed && keep {
			w.late = append(w.late, &lateOrder{order: a, target: c.target, incarnation: w.engine(c.target).name(), node: c.node, process: c.process, sentAt: c.sentAt})
		}
		ev = OrderReturned{ID: a.Order.ID, Outcome: OrderUnknown}
	case ReadState:
		ev = StateRead{Err: context.DeadlineExceeded}
	case AskSettle:
		ev = SettleAnswered{Node: a.Node, Err: context.DeadlineExceeded}
	case AskBudget:
		ev = BudgetGranted{Key: a.Key, Budget: a.Budget}
	case ListSlots:
		ev = SlotsListed{Op: a.Op, Err: platform.ErrUnavailable}
	case ReadRecord:
		ev = RecordRead{Op: a.Op, Err: platform.ErrUnavailable}
	case ReadRoster:
		ev = RosterRead{Op: a.Op, Err: platform.ErrUnavailable}
	case SwapRecord:
		if !c.executed && keep { // the write lands later, or never
			w.calls = append(w.calls, &simCall{node: c.node, process: -1, target: c.target, action: a, sentAt: c.sentAt})
		}
		ev = RecordSwapped{Op: a.Op, Err: platform.ErrOutcomeUnknown}
	}
	if c.alive() {
		// Queued, as a cancellation may happen within an event.
		w.calls = append(w.calls, &simCall{node: c.node, process: c.process, target: c.target, action: Report{}, executed: true, event: ev, sentAt: c.sentAt})
	}
}

// checkLoad compares a load that has taken effect with the limits that any
// node held from the moment the order was sent.
func (w *sim) checkLoad(e *simEngine, o target.Order, sentAt int) {
	if used := e.used(); used > e.memory {
		w.violation = fmt.Sprintf("target %s: %d of %d bytes used after loading %s", e.target.ID, used, e.memory, o.Key)
	}
	group := placement.Group(o.Key)
	limit, n := 0, 0
	for _, c := range w.caps[sentAt:] {
		limit = max(limit, c[group])
	}
	for _, other := range w.engines {
		for k := range other.replicas {
			if !other.gone && placement.Group(k) == group {
				n++
			}
		}
	}
	if n > limit {
		w.violation = fmt.Sprintf("%d replicas of %s with a limit of %d after loading on %s", n, group, limit, e.target.ID)
	}
}

// noteCaps records the highest limits in force at some node at this step, or
// on their way from one node to another.
func (w *sim) noteCaps() {
	first, last := len(w.catalogs), 0
	for _, n := range w.nodes {
		first, last = min(first, n.catalog), max(last, n.catalog)
	}
	if n := len(w.caps); n > 0 && w.capsFor == [2]int{first, last} {
		w.caps = append(w.caps, w.caps[n-1])
		return
	}
	w.capsFor = [2]int{first, last}
	c := map[string]int{}
	for _, snap := range w.catalogs[first : last+1] {
		for _, k := range simKeys {
			group := placement.Group(k)
			c[group] = max(c[group], placement.LimitsOf(snap, k, "team").Total())
		}
	}
	w.caps = append(w.caps, c)
}
