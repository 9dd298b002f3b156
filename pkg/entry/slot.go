package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// Times of the search for a target.
const (
	// ownerChangeTimeout is how long a request that found no target waits for a
	// new owner before it tries again.
	ownerChangeTimeout = 150 * time.Millisecond
	// minRunTime is the least time that must remain for an attempt.
	minRunTime = 200 * time.Millisecond
	// defaultRetryAfter is how long after a refusal the client may retry.
	defaultRetryAfter = 600 * time.Millisecond
	// maxReconnectWait is how long after its arrival a request waits for
	// owners that are expected to reconnect, before it asks the owners that
	// referred it to another zone a second time, as a last resort.
	maxReconnectWait = 500 * time.Millisecond
	// ownerDiscoveryTime is the time after the start of a node in which zones may have
	// owners that it has not heard of, or none yet because all nodes were restarted.
	ownerDiscoveryTime = 4 * time.Second
)

// assignment is the target of the next attempt of a request. If the owner of a
// zone chose the target, the assignment includes the slot that the owner
// granted there.
type assignment struct {
	target *inventory.Target
	// zone and runID identify the grant of the owner of the zone; runID is 0 for
	// a target that was chosen without an owner.
	zone  fleet.Zone
	runID uint64
	// trials are the suspect parts of the prompt whose trial the attempt is.
	trials []quarantine.Part
	// admittedAt is when the trials were admitted.
	admittedAt time.Time
	// retry is the retry of the budget that was spent for the attempt, the zero value for
	// none.
	retry spentRetry
}

// newErrorResponse returns an error response of a kind. retryAfter is that of
// ErrorResponse.
func newErrorResponse(kind fault.Kind, retryAfter time.Duration, format string, args ...any) *ErrorResponse {
	return &ErrorResponse{fault.New(kind, format, args...), retryAfter}
}

// acquireEngineSlot waits for a slot at a target that has the model loaded.
// While no owner responds, it may choose a target without a grant. It returns an
// error for the client if the owners refuse the request, or if no target is
// found in time.
func (n *Node) acquireEngineSlot(ctx context.Context, j *job) (assignment, *ErrorResponse) {
	begin := time.Now()
	for {
		a, refusal, reached := n.requestFromOwners(ctx, j)
		if refusal != nil || a.target != nil {
			n.fallbackQuery.ownerReached(time.Now())
			return a, refusal
		}
		if reached {
			n.fallbackQuery.ownerReached(time.Now())
		} else if ctx.Err() != nil {
			return assignment{}, newErrorResponse(fault.NoCapacity, defaultRetryAfter, "no owner of a zone gave a place for the model %q in time", j.Model)
		} else if a, ok := n.chooseWithoutOwner(ctx, j); ok {
			return a, nil
		}
		timeLeft := time.Until(j.startDeadline())
		if ctx.Err() != nil || timeLeft < minRunTime || time.Since(begin) > j.ownerTimeout() {
			return assignment{}, newErrorResponse(fault.NoCapacity, defaultRetryAfter, "no owner of a zone gives a place for the model %q", j.Model)
		}
		n.awaitOwnerChange(ctx)
	}
}

// requestFromOwners requests a slot from the owners of the zones, one after the
// other, until one responds without referring it to another zone, and returns the
// result of that response. If all owners that responded referred the request to
// another zone, there are two cases:
//   - Until reconnectWait after the arrival of the request, if an owner that did
//     not respond may reconnect, or this node may learn of one, it returns neither a
//     target nor a refusal.
//   - Otherwise it repeats the request to the owners that responded, as a last
//     resort and in the order of zoneowner.LastResort, and returns the result of the
//     first response.
//
// reached is false if no owner responded. A zero assignment without a refusal
// means that the caller should try again.
func (n *Node) requestFromOwners(ctx context.Context, j *job) (a assignment, refusal *ErrorResponse, reached bool) {
	zones := n.zoneOrder(j)
	var unreached []fleet.Zone
	var responded []zoneowner.Referral
	for _, zone := range zones {
		resp, err := n.links.requestSlot(ctx, zone, n.slotRequest(j, false))
		if err != nil || resp.Refusal == wire.SlotNotOwner {
			unreached = append(unreached, zone)
			continue
		}
		responded = append(responded, zoneowner.Referral{Zone: zone, Response: resp})
		if resp.Refusal == wire.SlotTryOtherZone {
			continue
		}
		a, refusal = n.acceptSlotResponse(j, zone, resp)
		return a, refusal, true
	}
	now := time.Now()
	if now.Sub(j.arrived) < j.reconnectWait() && (n.links.mayReachOwner(now, unreached) || n.mayLearnOfOwner(now, j, unreached)) {
		return assignment{}, nil, len(responded) > 0 // the caller tries again soon
	}
	for _, zone := range zoneowner.LastResort(responded) {
		resp, err := n.links.requestSlot(ctx, zone, n.slotRequest(j, true))
		if err != nil || resp.Refusal == wire.SlotNotOwner {
			continue
		}
		a, refusal = n.acceptSlotResponse(j, zone, resp)
		return a, refusal, true
	}
	return assignment{}, nil, len(responded) > 0
}

// reconnectWait returns how long after its arrival the request waits for owners. A stream that
// goes on has one try only, and waits for half of the time until its next event is missed.
func (j *job) reconnectWait() time.Duration {
	if j.resumeAfter == "" {
		return maxReconnectWait
	}
	return max(maxReconnectWait, j.startDeadline().Sub(j.arrived)/2)
}

// mayLearnOfOwner reports whether this node has just started, is not connected to an owner of one
// of the zones yet, and the list of targets shows that the request's model is loaded there.
func (n *Node) mayLearnOfOwner(now time.Time, j *job, zones []fleet.Zone) bool {
	if now.Sub(n.started) >= ownerDiscoveryTime {
		return false
	}
	return slices.ContainsFunc(n.targetSet.Load().Service(j.service), func(t *inventory.Target) bool {
		return !t.Draining && j.version.allows(t) && t.HasLoaded(j.Model, "") && slices.Contains(zones, t.Zone) && n.links.lacksOwner(t.Zone)
	})
}

// acceptSlotResponse returns the assignment or the refusal of an owner's
// response. For a grant at a target that this node does not know yet, or whose software
// version did not begin the stream, it releases the slot, excludes the target and returns
// neither.
func (n *Node) acceptSlotResponse(j *job, zone fleet.Zone, resp *wire.SlotResponse) (assignment, *ErrorResponse) {
	if resp.Refusal != wire.SlotGranted {
		// The time for the client is at least half of the default.
		after := max(time.Duration(resp.RetryAfterMillis)*time.Millisecond, defaultRetryAfter/2)
		return assignment{}, newErrorResponse(fault.Overloaded, after, "the model %q cannot be served in time", j.Model)
	}
	t := n.targetSet.Load().Target(resp.Target)
	if t == nil || !j.version.allows(t) {
		n.links.runEnded(zone, &wire.RunEnded{Run: resp.Run, Outcome: wire.RunNotSent})
		j.excluded = append(j.excluded, resp.Target)
		return assignment{}, nil
	}
	n.recordRun(zone, resp.Run, t, j)
	return assignment{target: t, zone: zone, runID: resp.Run}, nil
}

// slotRequest returns the request for a slot for j. lastResort is true on the
// second pass of requestFromOwners, after every owner that responded referred
// to another zone. Messages between nodes are text: in what a client sent, other bytes
// are replaced.
func (n *Node) slotRequest(j *job, lastResort bool) *wire.SlotRequest {
	now := time.Now()
	customer := ""
	if j.Customer != nil {
		customer = text(j.Customer.Name)
	}
	return &wire.SlotRequest{
		RequestID: text(j.ID), Customer: customer, Service: j.service, Model: text(j.Model), Adapter: text(j.Adapter),
		InputTokens: j.InputTokens, OutputTokens: j.OutputTokens, Priority: j.Priority,
		TimeToObjectiveMillis:  j.waitingSince().Add(j.Route.LatencyObjective).Sub(now).Milliseconds(),
		TimeToDeadlineMillis:   j.startDeadline().Sub(now).Milliseconds(),
		LatencyObjectiveMillis: j.Route.LatencyObjective.Milliseconds(),
		MaxEventIntervalMillis: j.Route.MaxEventInterval.Milliseconds(),
		Exclude:                j.excluded, Unavailable: n.unavailableTargets(j), OtherZonesRefused: lastResort,
		Continues: j.resumeAfter != "",
	}
}

// text returns s with bytes that are not UTF-8 replaced.
func text(s string) string { return strings.ToValidUTF8(s, "?") }

// zoneRank is the position of a zone in the order in which a request tries
// them; lower ranks come first.
type zoneRank struct {
	zone fleet.Zone
	// preference is one of the constants below.
	preference int
	// backlogSteps is the backlog of the zone in units of
	// zoneowner.BacklogStep, so that small differences do not split the
	// requests for one model between zones.
	backlogSteps int
	// weight is the rendezvous weight of the zone for the model. The highest
	// comes first, so that all nodes choose the same zone.
	weight uint64
	// state is the state of the zone that the rank is based on, nil for none.
	state *wire.ZoneState
}

// Values of zoneRank.preference, best first.
const (
	// loadedOwnZone: the model is loaded in the zone of this node.
	loadedOwnZone = iota
	// loadedOtherZone: the model is loaded in another zone.
	loadedOtherZone
	// localCopy: a target of the zone has a local copy of the weights.
	localCopy
	// loadedFull: the model is loaded, but its replicas have no free slots.
	loadedFull
	// noCopy: the weights have to be loaded from the weight store.
	noCopy
	// noOrders: the zone has no connected owner that may order loads.
	noOrders
	// notAllowed: the zone has no quota for a replica of the model.
	notAllowed
)

// zoneOrder returns the zones in the order in which the request tries them:
// this node's zone if the model is loaded there, other zones with the model
// loaded, zones with a copy of its weights, and then the others by
// zoneRank.preference. Requests for one model that is not loaded are sent to the
// same zone by all nodes, so that they wait for one load.
func (n *Node) zoneOrder(j *job) []fleet.Zone {
	ranks := n.rankZones(j)
	out := make([]fleet.Zone, len(ranks))
	for i, r := range ranks {
		out[i] = r.zone
	}
	return out
}

// rankZones returns the zones in the order of zoneOrder, with its reasons.
func (n *Node) rankZones(j *job) []zoneRank {
	key := scheduler.LimitName(j.service, j.Model, "")
	ranks := make([]zoneRank, 0, len(n.settings.Zones))
	copies := n.zonesWithCopy(j)
	model := j.table.Model(j.service, j.Model)
	for _, zone := range n.settings.Zones {
		state := n.links.zoneState(zone)
		r := zoneRank{zone: zone, preference: noCopy, weight: fleet.RendezvousWeight(string(zone), key), state: state}
		switch {
		case state != nil && slices.Contains(state.Full[j.service], j.Model):
			r.preference = loadedFull
		case state != nil && slices.Contains(state.Loaded[j.service], j.Model):
			r.preference = loadedOtherZone
			if zone == n.self.Zone {
				r.preference = loadedOwnZone
			}
		case !n.mayLoad(model, zone, key):
			r.preference = notAllowed
		case state == nil || state.OrdersAfterMillis > 0:
			r.preference = noOrders
		case copies[zone]:
			r.preference, r.backlogSteps = localCopy, state.Backlog/zoneowner.BacklogStep
		}
		ranks = append(ranks, r)
	}
	slices.SortFunc(ranks, func(a, b zoneRank) int {
		switch {
		case a.preference != b.preference:
			return a.preference - b.preference
		case a.backlogSteps != b.backlogSteps:
			return a.backlogSteps - b.backlogSteps
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	return ranks
}

// mayLoad reports whether the zone may hold a replica of the model, by its
// quota. name is the name of the limit; model is nil if it is not configured.
func (n *Node) mayLoad(model *route.Model, zone fleet.Zone, name string) bool {
	if model == nil {
		return true
	}
	quota, limited := model.Replicas.Quota(zone, n.settings.Zones, name)
	return !limited || quota > 0
}

// zonesWithCopy returns the zones in which a target that is not draining has a
// copy of the model's weights.
func (n *Node) zonesWithCopy(j *job) map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{}
	for _, t := range n.targetSet.Load().Service(j.service) {
		if !t.Draining && t.HasCopy(j.Model) {
			out[t.Zone] = true
		}
	}
	return out
}

// chooseWithoutOwner chooses among the targets that last reported the model as
// loaded, without a grant, so that a zone whose owner cannot be reached
// continues to serve requests. If there is none, it queries the targets, at most
// as often as fallbackQuery allows.
func (n *Node) chooseWithoutOwner(ctx context.Context, j *job) (assignment, bool) {
	if a, ok := n.chooseByLastReport(j); ok {
		return a, true
	}
	if !n.fallbackQuery.tryStart(time.Now()) {
		return assignment{}, false
	}
	n.queryTargets(ctx, j.service)
	return n.chooseByLastReport(j)
}

// chooseByLastReport chooses among the targets whose last report lists the
// model and its adapter as loaded.
func (n *Node) chooseByLastReport(j *job) (assignment, bool) {
	candidates, _ := n.withoutPaused(n.reportedTargets(j))
	t := n.usages.acquire(time.Now(), n.withinShares(candidates), n.self.Zone, j.excluded)
	if t == nil {
		return assignment{}, false
	}
	if limit := n.notices.State(noticeKey(t)).Limit; limit.Named {
		n.shares.reserve(noticeKey(t), limit, 0)
	}
	return assignment{target: t, zone: t.Zone}, true
}

// awaitOwnerChange waits until the owner of a zone changes, ctx ends or
// ownerChangeTimeout has elapsed.
func (n *Node) awaitOwnerChange(ctx context.Context) {
	_, changed := n.links.ownerLink(n.self.Zone)
	t := time.NewTimer(ownerChangeTimeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// recordRun records a granted run, so that it can be sent to a new owner of the
// zone.
func (n *Node) recordRun(zone fleet.Zone, run uint64, t *inventory.Target, j *job) {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	n.runs[run] = zoneRun{zone, wire.Run{ID: run, Target: t.ID, Model: text(j.Model), Adapter: text(j.Adapter), Tokens: j.InputTokens + j.OutputTokens}}
}

// hasRun reports whether a granted run is in progress.
func (n *Node) hasRun(run uint64) bool {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	_, ok := n.runs[run]
	return ok
}

// endRun removes a granted run from n.runs and reports its outcome, and the pace that the
// target reported, to the owner, which releases the slot.
func (n *Node) endRun(a assignment, outcome wire.RunOutcome, pacePercent int) {
	n.runsMu.Lock()
	delete(n.runs, a.runID)
	n.runsMu.Unlock()
	n.links.runEnded(a.zone, &wire.RunEnded{Run: a.runID, Outcome: outcome, PacePercent: pacePercent})
}

// zoneRun is a run at a target of a zone.
type zoneRun struct {
	zone fleet.Zone
	run  wire.Run
}

// activeRuns returns the runs of this node at targets of a zone.
func (n *Node) activeRuns(zone fleet.Zone) *wire.ActiveRuns {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	m := new(wire.ActiveRuns)
	for _, r := range n.runs {
		if r.zone == zone {
			m.Runs = append(m.Runs, r.run)
		}
	}
	return m
}
