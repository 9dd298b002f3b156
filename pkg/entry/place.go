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
	ownerWait = 150 * time.Millisecond
	// leastRun is the time that must be left for a run.
	leastRun = 200 * time.Millisecond
	// defaultRetry is when a refused request is worth another try.
	defaultRetry = 600 * time.Millisecond
	// settleWait is how long a request waits for owners that are expected back,
	// before another zone refuses it for good.
	settleWait = 500 * time.Millisecond
)

// place is a target that a request may be sent to.
type place struct {
	target *inventory.Target
	// zone and run identify the grant of the owner of the zone; run is 0
	// for targets that were chosen without an owner.
	zone fleet.Zone
	run  uint64
}

func refuse(kind fault.Kind, after time.Duration, format string, args ...any) *Refusal {
	return &Refusal{fault.New(kind, format, args...), after}
}

// plainPlace chooses a target of a plain service.
func (n *Node) plainPlace(j *job) (place, *Refusal) {
	candidates := n.view.Load().Service(j.service)
	t := n.loads.begin(time.Now(), candidates, n.self.Zone, j.exclude)
	if t == nil && len(j.exclude) > 0 && j.idempotent() {
		t = n.loads.begin(time.Now(), candidates, n.self.Zone, nil)
	}
	if t == nil {
		return place{}, refuse(fault.NoReplica, defaultRetry, "no target of the service %q is left", j.service)
	}
	return place{target: t, zone: t.Zone}, nil
}

// enginePlace waits for a place at a target that has the model loaded.
func (n *Node) enginePlace(ctx context.Context, j *job) (place, *Refusal) {
	for {
		p, ref, asked := n.askOwners(ctx, j)
		if ref != nil || p.target != nil {
			n.survey.reached(time.Now())
			return p, ref
		}
		if asked {
			n.survey.reached(time.Now())
		} else if p, ok := n.withoutOwner(ctx, j); ok {
			return p, nil
		}
		left := time.Until(j.startBy())
		if ctx.Err() != nil || left < leastRun || time.Since(j.arrived) > j.patience() {
			return place{}, refuse(fault.NoCapacity, defaultRetry, "no owner of a zone gives a place for the model %q", j.Model)
		}
		n.awaitOwner(ctx)
	}
}

// askOwners asks the owners of the zones one after the other, and the first
// one again when all others refuse. asked is false when none answered.
func (n *Node) askOwners(ctx context.Context, j *job) (p place, ref *Refusal, asked bool) {
	zones := n.zoneOrder(j)
	var reached, missed []fleet.Zone
	for _, zone := range zones {
		placed, err := n.links.place(ctx, zone, n.placeMessage(j, false))
		if err != nil || placed.Refusal == wire.SlotNotOwner {
			missed = append(missed, zone)
			continue
		}
		reached = append(reached, zone)
		if placed.Refusal == wire.SlotTryOtherZone {
			continue
		}
		p, ref = n.accept(j, zone, placed)
		return p, ref, true
	}
	if now := time.Now(); now.Sub(j.arrived) < settleWait && n.links.settling(now, missed) {
		return place{}, nil, len(reached) > 0 // asked again soon
	}
	for _, zone := range reached {
		placed, err := n.links.place(ctx, zone, n.placeMessage(j, true))
		if err != nil || placed.Refusal == wire.SlotNotOwner {
			continue
		}
		p, ref = n.accept(j, zone, placed)
		return p, ref, true
	}
	return place{}, nil, len(reached) > 0
}

// accept turns an owner's answer into a place or a refusal. Neither comes of
// a grant at a target that this node does not know yet.
func (n *Node) accept(j *job, zone fleet.Zone, placed *wire.SlotResponse) (place, *Refusal) {
	if placed.Refusal != wire.SlotGranted {
		after := max(time.Duration(placed.RetryAfterMillis)*time.Millisecond, defaultRetry/2)
		return place{}, refuse(fault.Overloaded, after, "the model %q cannot be served in time", j.Model)
	}
	t := n.view.Load().Target(placed.Target)
	if t == nil {
		n.links.ended(zone, &wire.RunEnded{Run: placed.Run, Outcome: wire.RunUnused})
		j.exclude = append(j.exclude, placed.Target)
		return place{}, nil
	}
	n.startRun(zone, placed.Run, t, j)
	return place{target: t, zone: zone, run: placed.Run}, nil
}

func (n *Node) placeMessage(j *job, last bool) *wire.SlotRequest {
	now := time.Now()
	return &wire.SlotRequest{
		RequestID: j.ID, Service: j.service, Model: j.Model, Adapter: j.Adapter,
		InputTokens: j.InputTokens, OutputTokens: j.OutputTokens, Priority: j.Priority,
		ObjectiveMillis:        j.arrived.Add(j.Route.Objective).Sub(now).Milliseconds(),
		DeadlineMillis:         j.startBy().Sub(now).Milliseconds(),
		LatencyObjectiveMillis: j.Route.Objective.Milliseconds(),
		MaxEventIntervalMillis: j.Route.MaxEventInterval.Milliseconds(),
		Exclude:                j.exclude, LastResort: last,
	}
}

// zoneRank orders the zones for one request; lower goes first.
type zoneRank struct {
	zone  fleet.Zone
	class int
	// backlog is that of the zone, in steps, so that small differences do
	// not part the requests for one model.
	backlog int
	weight  uint64
}

// Classes of zoneRank.
const (
	loadedHere = iota
	loadedThere
	copyKept
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
		state := n.links.state(zone)
		switch {
		case state != nil && slices.Contains(state.Full[j.service], j.Model):
			r.class = loadedFull
		case state != nil && slices.Contains(state.Loaded[j.service], j.Model):
			r.class = loadedThere
			if zone == n.self.Zone {
				r.class = loadedHere
			}
		case !n.mayLoad(model, zone, key):
			r.class = notAllowed
		case state == nil || state.OrdersAfterMillis > 0:
			r.class = noOrders
		case copies[zone]:
			r.class, r.backlog = copyKept, state.Backlog/zoneowner.BacklogStep
		}
		ranks = append(ranks, r)
	}
	slices.SortFunc(ranks, func(a, b zoneRank) int {
		switch {
		case a.class != b.class:
			return a.class - b.class
		case a.backlog != b.backlog:
			return a.backlog - b.backlog
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
func (n *Node) withoutOwner(ctx context.Context, j *job) (place, bool) {
	if p, ok := n.lastLoaded(j); ok {
		return p, true
	}
	if !n.survey.due(time.Now()) {
		return place{}, false
	}
	n.surveyTargets(ctx, j.service)
	return n.lastLoaded(j)
}

// lastLoaded chooses among the targets that are known to have had the model.
func (n *Node) lastLoaded(j *job) (place, bool) {
	var candidates []*inventory.Target
	for _, t := range n.view.Load().Service(j.service) {
		if t.Has(j.Model, j.Adapter) {
			candidates = append(candidates, t)
		}
	}
	t := n.loads.begin(time.Now(), candidates, n.self.Zone, j.exclude)
	if t == nil {
		return place{}, false
	}
	return place{target: t, zone: t.Zone}, true
}

// awaitOwner waits until an owner changes, for a short time.
func (n *Node) awaitOwner(ctx context.Context) {
	_, changed := n.links.link(n.self.Zone)
	t := time.NewTimer(ownerWait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// startRun records a run, so that a new owner of the zone can be told of it.
func (n *Node) startRun(zone fleet.Zone, run uint64, t *inventory.Target, j *job) {
	n.runsMu.Lock()
	defer n.runsMu.Unlock()
	n.runs[run] = runAt{zone, wire.Run{ID: run, Target: t.ID, Model: j.Model, Adapter: j.Adapter, Tokens: j.InputTokens + j.OutputTokens}}
}

// endRun gives a place back.
func (n *Node) endRun(p place, outcome wire.RunOutcome) {
	n.runsMu.Lock()
	delete(n.runs, p.run)
	n.runsMu.Unlock()
	n.links.ended(p.zone, &wire.RunEnded{Run: p.run, Outcome: outcome})
}

// runAt is a run at a target of a zone.
type runAt struct {
	zone fleet.Zone
	run  wire.Run
}

// runsIn returns the runs at targets of a zone.
func (n *Node) runsIn(zone fleet.Zone) *wire.ActiveRuns {
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
