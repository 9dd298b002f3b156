package entry

import (
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
)

// Weights of the choice among the targets of a plain service.
const (
	// otherZone is the load that a target in another zone is taken to have
	// in addition, as a share of its slots.
	otherZonePenalty = 0.35
	// failureWeight scales the share of failed requests.
	failureWeight = 2.0
	// failureStep is the weight of the last request in the share of failures.
	failureSampleWeight = 0.2
	// reportedFor is how long a load told by a target counts.
	reportMaxAge = 500 * time.Millisecond
	// avoidFor is how long a target that cannot be reached is avoided.
	unreachableAvoidance = time.Second
)

// load is what this node knows of a target from its own requests.
type targetLoad struct {
	inFlight int
	// reported is the number of requests at the target, without this node's.
	othersInFlight int
	reportedAt     time.Time
	failureShare   float64
	avoidUntil     time.Time
	// rank orders targets of equal load; it differs from node to node, so that
	// nodes which know nothing yet don't all choose the same target.
	tieBreak uint64
}

// loads holds the load of all targets.
type targetLoads struct {
	node     fleet.NodeID
	mu       sync.Mutex // guards byTarget and the loads in it
	byTarget map[string]*targetLoad
}

func (l *targetLoads) get(id string) *targetLoad {
	if l.byTarget == nil {
		l.byTarget = map[string]*targetLoad{}
	}
	x := l.byTarget[id]
	if x == nil {
		x = &targetLoad{tieBreak: fleet.RendezvousWeight(string(l.node), id)}
		l.byTarget[id] = x
	}
	return x
}

func (l *targetLoads) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.byTarget[id]; x != nil && x.inFlight == 0 {
		delete(l.byTarget, id)
	}
}

// begin chooses the best of the candidates and counts a request there; nil
// when there are none.
func (l *targetLoads) acquire(now time.Time, candidates []*inventory.Target, zone fleet.Zone, exclude []string) *inventory.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *inventory.Target
	lowest, rank := 0.0, uint64(0)
	for _, t := range candidates {
		if t.Draining || slices.Contains(exclude, t.ID) {
			continue
		}
		x := l.get(t.ID)
		cost := x.cost(now, t, zone)
		if best == nil || cost < lowest || cost == lowest && x.tieBreak > rank {
			best, lowest, rank = t, cost, x.tieBreak
		}
	}
	if best != nil {
		l.get(best.ID).inFlight++
	}
	return best
}

// cost ranks a target; the lowest is chosen.
func (x *targetLoad) cost(now time.Time, t *inventory.Target, zone fleet.Zone) float64 {
	running := x.inFlight
	if now.Sub(x.reportedAt) < reportMaxAge {
		running += x.othersInFlight
	}
	cost := float64(running)/float64(max(t.Slots, 1)) + failureWeight*x.failureShare
	if t.Zone != zone {
		cost += otherZonePenalty
	}
	if now.Before(x.avoidUntil) {
		const avoided = 100 // above all others
		cost += avoided
	}
	return cost
}

// end takes a request off the count and learns from it.
func (l *targetLoads) release(now time.Time, id string, r sendResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.get(id)
	x.inFlight = max(x.inFlight-1, 0)
	failed := 0.0
	if r.countsAsFailure() {
		failed = 1
	}
	x.failureShare += failureSampleWeight * (failed - x.failureShare)
	if r.kind == unreachable {
		x.avoidUntil = now.Add(unreachableAvoidance)
	}
	if r.info.Slots > 0 {
		x.othersInFlight = max(r.info.Running+r.info.Waiting-x.inFlight-1, 0)
		x.reportedAt = now
	}
}
