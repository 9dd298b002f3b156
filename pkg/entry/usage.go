package entry

import (
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/pace"
)

// Parameters of the choice among the targets of a plain service. A cost of 1 is
// a target whose slots are all in use.
const (
	// otherZonePenalty is the extra cost of a target in another zone, as a
	// share of its slots.
	otherZonePenalty = 0.35
	// failureWeight is the extra cost of a target all of whose requests failed.
	failureWeight = 2.0
	// failureSampleWeight is the weight of the last request in the moving
	// average of the failure share.
	failureSampleWeight = 0.2
	// reportMaxAge is how long the numbers of requests that a target reported
	// are used.
	reportMaxAge = 500 * time.Millisecond
	// maxReportedLoad bounds the numbers of requests that a target reported, as a
	// multiple of its slots. It is far above a full queue.
	maxReportedLoad = 20
	// maxReportedRequests bounds each number that a target reports, so that sums and
	// products of them do not overflow.
	maxReportedRequests = 1 << 20
	// unreachableAvoidance is how long a target is avoided after a connection
	// to it failed.
	unreachableAvoidance = time.Second
)

// targetUsage is the usage of one target as observed by this node's own
// requests.
type targetUsage struct {
	// inFlight is the number of this node's requests in progress at the target.
	inFlight int
	// othersInFlight is the number of requests at the target, without this
	// node's, that it reported at reportedAt.
	othersInFlight int
	reportedAt     time.Time
	// expectedOthers replaces othersInFlight when that is too old, at targets that report
	// their pace.
	expectedOthers pace.Load
	// reportedSlots is the number of slots that the target last reported; 0 if it has
	// reported none.
	reportedSlots int
	// failureShare is the moving average of the share of failed requests, 0 to
	// 1.
	failureShare float64
	// avoidUntil is the end of the time for which an unreachable target is
	// avoided.
	avoidUntil time.Time
	// tieBreak orders targets of equal cost, the highest first. It differs
	// between nodes, so that nodes which have observed no usage yet don't all
	// choose the same target.
	tieBreak uint64
}

// targetUsages holds the usage of all targets. acquire, release and remove may
// be called concurrently.
type targetUsages struct {
	node fleet.NodeID
	// paces holds how long work takes at the targets that report it.
	paces    pace.Table
	mu       sync.Mutex // guards byTarget and its values
	byTarget map[string]*targetUsage
}

// get returns the usage of a target, and creates it if needed. u.mu must be
// held.
func (u *targetUsages) get(id string) *targetUsage {
	if u.byTarget == nil {
		u.byTarget = map[string]*targetUsage{}
	}
	usage := u.byTarget[id]
	if usage == nil {
		usage = u.unused(id)
		u.byTarget[id] = usage
	}
	return usage
}

// unused returns the usage of a target without requests.
func (u *targetUsages) unused(id string) *targetUsage {
	return &targetUsage{tieBreak: fleet.RendezvousWeight(string(u.node), id)}
}

// remove discards the pace of a target, and its usage if it has no requests in progress.
func (u *targetUsages) remove(id string) {
	u.paces.Remove(id)
	u.mu.Lock()
	defer u.mu.Unlock()
	if usage := u.byTarget[id]; usage != nil && usage.inFlight == 0 {
		delete(u.byTarget, id)
	}
}

// observePace records the pace that the head of a response has reported, if any.
func (u *targetUsages) observePace(now time.Time, id string, info ResponseInfo) {
	if info.PacePercent > 0 {
		u.paces.Observe(now, id, float64(info.PacePercent)/100)
	}
}

// acquire chooses the candidate with the lowest cost, and counts a request
// there. It skips draining targets and those in exclude, and returns nil if
// none is left. zone is the zone of this node.
func (u *targetUsages) acquire(now time.Time, candidates []*inventory.Target, zone fleet.Zone, exclude []string) *inventory.Target {
	u.mu.Lock()
	defer u.mu.Unlock()
	var best *inventory.Target
	lowest, rank := 0.0, uint64(0)
	for _, t := range candidates {
		if !takesRequests(t, exclude) {
			continue
		}
		usage := u.get(t.ID)
		factor, known := u.paces.Factor(now, t.ID)
		cost := usage.cost(now, t, zone, factor, known).total()
		if best == nil || precedes(cost, usage.tieBreak, lowest, rank) {
			best, lowest, rank = t, cost, usage.tieBreak
		}
	}
	if best != nil {
		u.get(best.ID).inFlight++
	}
	return best
}

// takesRequests reports whether a target is among those that acquire chooses from.
func takesRequests(t *inventory.Target, exclude []string) bool {
	return !t.Draining && !slices.Contains(exclude, t.ID)
}

// precedes reports whether a target with a cost and a tieBreak comes before another one.
func precedes(cost float64, tieBreak uint64, otherCost float64, otherTieBreak uint64) bool {
	return cost < otherCost || cost == otherCost && tieBreak > otherTieBreak
}

// targetCost is the cost of a target in its parts.
type targetCost struct {
	slots int
	// others is the number of requests of other nodes that counts.
	others float64
	// load is the cost of the slots in use at the target's pace.
	load, failures, otherZone, unreachable float64
}

// total returns the cost that is compared.
func (c targetCost) total() float64 { return c.load + c.failures + c.otherZone + c.unreachable }

// cost returns the cost of a target for a node in zone: the time that a request is expected
// to take there, as pace.Cost returns it for the share of its slots in use, plus penalties.
// reportsPace is true if the target has reported the duration factor.
func (u *targetUsage) cost(now time.Time, t *inventory.Target, zone fleet.Zone, factor float64, reportsPace bool) targetCost {
	c := targetCost{slots: u.slots(t), failures: failureWeight * u.failureShare}
	switch {
	case now.Sub(u.reportedAt) < reportMaxAge:
		c.others = float64(min(u.othersInFlight, maxReportedLoad*c.slots))
	case reportsPace:
		c.others = min(u.expectedOthers.Expected(now), float64(maxReportedLoad*c.slots))
	}
	c.load = pace.Cost((float64(u.inFlight)+c.others)/float64(c.slots), factor)
	if t.Zone != zone {
		c.otherZone = otherZonePenalty
	}
	if now.Before(u.avoidUntil) {
		const avoidedPenalty = 100 // above every other cost
		c.unreachable = avoidedPenalty
	}
	return c
}

// slots returns the number of slots of a target, at least 1. If its entry and its
// responses differ, the lower number counts, since a target with too many slots would
// look empty.
func (u *targetUsage) slots(t *inventory.Target) int {
	slots := t.Slots
	if u.reportedSlots > 0 && (slots <= 0 || u.reportedSlots < slots) {
		slots = u.reportedSlots
	}
	return max(slots, 1)
}

// release ends a request that acquire counted, and updates the usage of the
// target by its result.
func (u *targetUsages) release(now time.Time, id string, r sendResult) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usage := u.get(id)
	usage.inFlight = max(usage.inFlight-1, 0)
	if r.kind == withheld {
		return
	}
	failed := 0.0
	if r.countsAsFailure() {
		failed = 1
	}
	usage.failureShare += failureSampleWeight * (failed - usage.failureShare)
	if r.kind == unreachable {
		usage.avoidUntil = now.Add(unreachableAvoidance)
	}
	if r.info.Slots > 0 {
		// The report still counts the request that has just ended, which
		// inFlight no longer does.
		reported := min(r.info.Running, maxReportedRequests) + min(r.info.Waiting, maxReportedRequests)
		usage.othersInFlight = max(reported-usage.inFlight-1, 0)
		if r.info.PacePercent > 0 {
			usage.expectedOthers.Observe(now, usage.othersInFlight)
		}
		usage.reportedAt, usage.reportedSlots = now, min(r.info.Slots, maxReportedRequests)
	}
}
