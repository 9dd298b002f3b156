package entry

import (
	"context"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/pkg/zoneowner"
	"almondturn/wire"
)

// Times of the search for a place.
const (
	// ownerWait is how long a request waits for the owner of a zone when
	// none is connected.
	ownerChangeTimeout = 150 * time.Millisecond
	// leastRun is the time that must be left for a run.
	minRunTime = 200 * time.Millisecond
	// defaultRetry is when a refused request is worth another try.
	defaultRetryAfter = 600 * time.Millisecond
	// settleWait is how long a request waits for owners that are expected back,
	// before another zone refuses it for good.
	ownerReconnectWait = 500 * time.Millisecond
)

// place is a target that a request may be sent to.
type slot struct {
	target *inventory.Target
	// zone and run identify the grant of the owner of the zone; run is 0
	// for targets that were chosen without an owner.
	zone fleet.Zone
	run  uint64
}

func newRefusal(kind fault.Kind, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{fault.New(kind, format, args...), after}
}

// plainPlace chooses a target of a plain service.
func (n *Node) choosePlainTarget(j *job) (slot, *Refusal) {
	candidates := n.view.Load().Service(j.service)
	t := n.loads.acquire(time.Now(), candidates, n.self.Zone, j.excluded)
	if t == nil && len(j.excluded) > 0 && j.idempotent() {
		t = n.loads.acquire(time.Now(), candidates, n.self.Zone, nil)
	}
	if t == nil {
		return slot{}, newRefusal(fault.NoReplica, defaultRetryAfter, "no target of the service %q is left", j.service)
	}
	return slot{target: t, zone: t.Zone}, nil
}

// enginePlace waits for a place at a target that has the model loaded.
func (n *Node) acquireEngineSlot(ctx context.Context, j *job) (slot, *Refusal) {
	for {
		p, ref, asked := n.requestFromOwners(ctx, j)
		if ref != nil || p.target != nil {
			n.fallbackQuery.ownerReached(time.Now())
			return p, ref
		}
		if asked {
			n.fallbackQuery.ownerReached(time.Now())
		} else if p, ok := n.slotWithoutOwner(ctx, j); ok {
			return p, nil
		}
		left := time.Until(j.startDeadline())
		if ctx.Err() != nil || left < minRunTime || time.Since(j.arrived) > j.ownerTimeout() {
			return slot{}, newRefusal(fault.NoCapacity, defaultRetryAfter, "no owner of a zone gives a place for the model %q", j.Model)
		}
		n.awaitOwnerChange(ctx)
	}
}

// askOwners asks the owners of the zones one after the other, and the first
// one again when all others refuse. asked is false when none answered.
func (n *Node) requestFromOwners(ctx context.Context, j *job) (p slot, ref *Refusal, asked bool) {
	zones := n.zoneOrder(j)
	var reached, missed []fleet.Zone
	for _, zone := range zones {
		placed, err := n.links.requestSlot(ctx, zone, n.slotRequest(j, false))
		if err != nil || placed.Refusal == wire.SlotNotOwner {
			missed = append(missed, zone)
			continue
		}
		reached = append(reached, zone)
		if placed.Refusal == wire.SlotTryOtherZone {
			continue
		}
		p, ref = n.acceptSlotResponse(j, zone, placed)
		return p, ref, true
	}
	if now := time.Now(); now.Sub(j.arrived) < ownerReconnectWait && n.links.mayReachOwner(now, missed) {
		return slot{}, nil, len(reached) > 0 // asked again soon
	}
	for _, zone := range reached {
		placed, err := n.links.requestSlot(ctx, zone, n.slotRequest(j, true))
		if err != nil || placed.Refusal == wire.SlotNotOwner {
			continue
		}
		p, ref = n.acceptSlotResponse(j, zone, placed)
		return p, ref, true
	}
	return slot{}, nil, len(reached) > 0
}

// accept turns an owner's answer into a place or a refusal. Neither comes of
// a grant at a target that this node does not know yet.
func (n *Node) acceptSlotResponse(j *job, zone fleet.Zone, placed *wire.SlotResponse) (slot, *Refusal) {
	if placed.Refusal != wire.SlotGranted {
		after := max(time.Duration(placed.RetryAfterMillis)*time.Millisecond, defaultRetryAfter/2)
		return slot{}, newRefusal(fault.Overloaded, after, "the model %q cannot be served in time", j.Model)
	}
	t := n.view.Load().Target(placed.Target)
	if t == nil {
		n.links.runEnded(zone, &wire.RunEnded{Run: placed.Run, Outcome: wire.RunUnused})
		j.excluded = append(j.excluded, placed.Target)
		return slot{}, nil
	}
	n.recordRun(zone, placed.Run, t, j)
	return slot{target: t, zone: zone, run: placed.Run}, nil
}

func (n *Node) slotRequest(j *job, last bool) *wire.SlotRequest {
	now := time.Now()
	return &wire.SlotRequest{
		RequestID: j.ID, Service: j.service, Model: j.Model, Adapter: j.Adapter,
		InputTokens: j.InputTokens, OutputTokens: j.OutputTokens, Priority: j.Priority,
		ObjectiveMillis:        j.arrived.Add(j.Route.Objective).Sub(now).Milliseconds(),
		DeadlineMillis:         j.startDeadline().Sub(now).Milliseconds(),
		LatencyObjectiveMillis: j.Route.Objective.Milliseconds(),
		MaxEventIntervalMillis: j.Route.MaxEventInterval.Milliseconds(),
		Exclude:                j.excluded, LastResort: last,
	}
}

// zoneRank orders the zones for one request; lower goes first.
type zoneRank struct {
	zone  fleet.Zone
	class int
	// backlog is that of the zone, in steps, so that small differences do
	// not part the requests for one model.
	backlogSteps int
	weight       uint64
}

// Classes of zoneRank.
const (
	loadedOwnZone = iota
	loadedOtherZone
	copyStored
	loadedFull
	noCopy
	noOrders
	notAllowed
)

// zoneOrder returns the zones in the order in which a request asks them: the
// own zone if the model is loaded there, other zones with the model, zones
// with a copy of its weights. Requests for one model that is not loaded go to
// the same zone from all nodes, so that they wait for one load.
func (n *Node) zoneOrder(j *job) []fleet.Zone {
	key := scheduler.LimitName(j.service, j.Model, "")
	ranks := make([]zoneRank, 0, len(n.settings.Zones))
	copies := n.zonesWithCopy(j)
	model := j.table.Model(j.service, j.Model)
	for _, zone := range n.settings.Zones {
		r := zoneRank{zone: zone, class: noCopy, weight: fleet.RendezvousWeight(string(zone), key)}
		state := n.links.zoneState(zone)
		switch {
		case state != nil && slices.Contains(state.Full[j.service], j.Model):
			r.class = loadedFull
		case state != nil && slices.Contains(state.Loaded[j.service], j.Model):
			r.class = loadedOtherZone
			if zone == n.self.Zone {
				r.class = loadedOwnZone
			}
		case !n.mayLoad(model, zone, key):
			r.class = notAllowed
		case state == nil || state.OrdersAfterMillis > 0:
			r.class = noOrders
		case copies[zone]:
			r.class, r.backlogSteps = copyStored, state.Backlog/zoneowner.BacklogStep
		}
		ranks = append(ranks, r)
	}
	slices.SortFunc(ranks, func(a, b zoneRank) int {
		switch {
		case a.class != b.class:
			return a.class - b.class
		case a.backlogSteps != b.backlogSteps:
			return a.backlogSteps - b.backlogSteps
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	out := make([]fleet.Zone, len(ranks))
	for i, r := range ranks {
		out[i] = r.zone
	}
	return out
}

// mayLoad tells whether the zone may hold a replica of the model, which may be
// nil.
func (n *Node) mayLoad(m *route.Model, zone fleet.Zone, name string) bool {
	if m == nil {
		return true
	}
	quota, limited := m.Replicas.Quota(zone, n.settings.Zones, name)
	return !limited || quota > 0
}

func (n *Node) zonesWithCopy(j *job) map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{}
	for _, t := range n.view.Load().Service(j.service) {
		if !t.Draining && t.HasCopy(j.Model) {
			out[t.Zone] = true
		}
	}
	return out
}

// withoutOwner chooses among the targets that were last said to have the
// model loaded; it keeps a zone serving that no owner can be reached for.
func (n *Node) slotWithoutOwner(ctx context.Context, j *job) (slot, bool) {
	if p, ok := n.chooseLastLoaded(j); ok {
		return p, true
	}
	if !n.fallbackQuery.tryStart(time.Now()) {
		return slot{}, false
	}
	n.queryTargets(ctx, j.service)
	return n.chooseLastLoaded(j)
}

// lastLoaded chooses among the targets that are known to have had the model.
func (n *Node) chooseLastLoaded(j *job) (slot, bool) {
	var candidates []*inventory.Target
	for _, t := range n.view.Load().Service(j.service) {
		if t.Has(j.Model, j.Adapter) {
			candidates = append(candidates, t)
		}
	}
	t := n.loads.acquire(time.Now(), candidates, n.self.Zone, j.excluded)
	if t == nil {
		return slot{}, false
	}
	return slot{target: t, zone: t.Zone}, true
}

// awaitOwner waits until an owner changes, for a short time.
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

// startRun records a run, so that a new owner of the zone can be told of it.
func (n *Node) recordRun(zone fleet.Zone, run uint64, t *inventory.Target, j *job) {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	n.runs[run] = zoneRun{zone, wire.Run{ID: run, Target: t.ID, Model: j.Model, Adapter: j.Adapter, Tokens: j.InputTokens + j.OutputTokens}}
}

// endRun gives a place back.
func (n *Node) releaseRun(p slot, outcome wire.RunOutcome) {
	n.runsMu.Lock()
	delete(n.runs, p.run)
	n.runsMu.Unlock()
	n.links.runEnded(p.zone, &wire.RunEnded{Run: p.run, Outcome: outcome})
}

// runAt is a run at a target of a zone.
type zoneRun struct {
	zone fleet.Zone
	run  wire.Run
}

// runsIn returns the runs at targets of a zone.
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
