package owner

import (
	"fmt"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/target"
)

// simEngine is an engine that does what it is told: it checks neither limits
// nor memory, and fencing numbers only when asked to.
type simEngine struct {
	target      fleet.Target
	fencing     bool
	memory      int64
	incarnation int
	gone        bool
	leaving     bool
	epoch       fleet.Epoch
	sequence    uint64
	replicas    map[fleet.ReplicaKey]*simReplica
	reports     []fleet.TargetState // older states that a lagging report may show
}

type simReplica struct {
	memory  int64
	loaded  bool
	running int
	served  uint64
}

func (e *simEngine) reset() {
	e.incarnation++
	e.epoch, e.sequence = 0, 0
	e.replicas = map[fleet.ReplicaKey]*simReplica{}
	e.reports = nil
}

func (e *simEngine) name() string { return fmt.Sprintf("%s.%d", e.target.ID, e.incarnation) }

func (e *simEngine) state() fleet.TargetState {
	s := fleet.TargetState{
		Target: e.target.ID, Incarnation: e.name(), ChecksFencing: e.fencing, MemoryBytes: e.memory,
		Leaving: e.leaving, MaxRunning: 4,
	}
	if e.fencing {
		s.Epoch, s.Sequence = e.epoch, e.sequence
	}
	for k, r := range e.replicas {
		phase := fleet.ReplicaLoading
		if r.loaded {
			phase = fleet.ReplicaLoaded
		}
		s.Replicas = append(s.Replicas, fleet.ReplicaState{Key: k, Phase: phase, MemoryBytes: r.memory, Running: r.running, Served: r.served})
	}
	slices.SortFunc(s.Replicas, func(a, b fleet.ReplicaState) int { return a.Key.Compare(b.Key) })
	return s
}

// report returns a state that is up to lag changes old.
func (e *simEngine) report(lag int) fleet.TargetState {
	if len(e.reports) == 0 || lag == 0 {
		return e.state()
	}
	return e.reports[max(len(e.reports)-lag, 0)]
}

const maxReports = 3

func (e *simEngine) remember() {
	e.reports = append(e.reports, e.state())
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
}

// accept executes an order. started tells that a load has begun; its result
// follows when the load ends.
func (e *simEngine) accept(o target.Order) (res target.OrderResult, started bool) {
	e.remember()
	if e.fencing {
		newer := o.Epoch > e.epoch || (o.Epoch == e.epoch && o.Sequence > e.sequence)
		if !newer || o.Incarnation != e.name() {
			return target.OrderResult{Status: target.OrderStale, State: e.state()}, false
		}
		e.epoch, e.sequence = o.Epoch, o.Sequence
	}
	status := target.OrderDone
	switch o.Kind {
	case target.OrderLoad:
		if r := e.replicas[o.Key]; r != nil {
			return target.OrderResult{}, !r.loaded
		}
		if o.Key.Adapter != "" && (e.replicas[o.Key.Base()] == nil || !e.replicas[o.Key.Base()].loaded) {
			status = target.OrderFailed
			break
		}
		e.replicas[o.Key] = &simReplica{memory: o.MemoryBytes}
		return target.OrderResult{}, true
	case target.OrderUnload:
		if !e.unload(o.Key) {
			status = target.OrderBusy
		}
	case target.OrderFence:
	}
	return target.OrderResult{Status: status, State: e.state()}, false
}

func (e *simEngine) unload(k fleet.ReplicaKey) bool {
	for other, r := range e.replicas {
		if (other == k || other.Base() == k) && (r.running > 0 || !r.loaded) {
			return false
		}
	}
	for other := range e.replicas {
		if other == k || other.Base() == k {
			delete(e.replicas, other)
		}
	}
	return true
}

func (e *simEngine) used() int64 {
	var sum int64
	for _, r := range e.replicas {
		sum += r.memory
	}
	return sum
}

func targetResult(status target.OrderStatus, e *simEngine) target.OrderResult {
	return target.OrderResult{Status: status, State: e.state()}
}
