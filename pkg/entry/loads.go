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
	otherZone = 0.35
	// failureWeight scales the share of failed requests.
	failureWeight = 2.0
	// failureStep is the weight of the last request in the share of failures.
	failureStep = 0.2
	// reportedFor is how long a load told by a target counts.
	reportedFor = 500 * time.Millisecond
	// avoidFor is how long a target that cannot be reached is avoided.
	avoidFor = time.Second
)

// load is what this node knows of a target from its own requests.
type load struct {
	inFlight int
	// reported is the number of requests at the target, without this node's.
	reported   int
	reportedAt time.Time
	failures   float64
	avoidUntil time.Time
	// rank orders targets of equal load; it differs from node to node, so that
	// nodes which know nothing yet don't all choose the same target.
	rank uint64
}

// loads holds the load of all targets.
type loads struct {
	node     fleet.NodeID
	mu       sync.Mutex // guards byTarget and the loads in it
	byTarget map[string]*load
}

func (l *loads) of(id string) *load {
	if l.byTarget == nil {
		l.byTarget = map[string]*load{}
	}
	x := l.byTarget[id]
	if x == nil {
		x = &load{rank: fleet.RendezvousWeight(string(l.node), id)}
		l.byTarget[id] = x
	}
	return x
}

func (l *loads) forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.byTarget[id]; x != nil && x.inFlight == 0 {
		delete(l.byTarget, id)
	}
}

// begin chooses the best of the candidates and counts a request there; nil
// when there are none.
func (l *loads) begin(now time.Time, candidates []*inventory.Target, zone fleet.Zone, exclude []string) *inventory.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *inventory.Target
	lowest, rank := 0.0, uint64(0)
	for _, t := range candidates {
		if t.Draining || slices.Contains(exclude, t.ID) {
			continue
		}
		x := l.of(t.ID)
		cost := x.cost(now, t, zone)
		if best == nil || cost < lowest || cost == lowest && x.rank > rank {
			best, lowest, rank = t, cost, x.rank
		}
	}
	if best != nil {
		l.of(best.ID).inFlight++
	}
	return best
}

// cost ranks a target; the lowest is chosen.
func (x *load) cost(now time.Time, t *inventory.Target, zone fleet.Zone) float64 {
	running := x.inFlight
	if now.Sub(x.reportedAt) < reportedFor {
		running += x.reported
	}
	cost := float64(running)/float64(max(t.Slots, 1)) + failureWeight*x.failures
	if t.Zone != zone {
		cost += otherZone
	}
	if now.Before(x.avoidUntil) {
		const avoided = 100 // above all others
		cost += avoided
	}
	return cost
}

// end takes a request off the count and learns from it.
func (l *loads) end(now time.Time, id string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.of(id)
	x.inFlight = max(x.inFlight-1, 0)
	failed := 0.0
	if r.failed() {
		failed = 1
	}
	x.failures += failureStep * (failed - x.failures)
	if r.kind == unreachable {
		x.avoidUntil = now.Add(avoidFor)
	}
	if r.info.Slots > 0 {
		x.reported = max(r.info.Running+r.info.Waiting-x.inFlight-1, 0)
		x.reportedAt = now
	}
}
