package owner

import (
	"context"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/placement"
	"almondturn/wire"
)

// maxLoadTargets bounds the targets that one load is tried on.
const maxLoadTargets = 3

// Requester chooses a target for a load and asks its owner. It implements
// Loader.
type Requester struct {
	opts Options
	deps Deps
}

var _ Loader = (*Requester)(nil)

// NewRequester returns a Requester.
func NewRequester(opts Options, deps Deps) *Requester { return &Requester{opts: opts, deps: deps} }

// Load implements Loader. Another target is tried after any failure: a
// replica whose outcome is unknown keeps its slot and its memory there, so
// that the limit holds whatever becomes of it.
func (q *Requester) Load(ctx context.Context, key fleet.ReplicaKey, prefetch bool) (fleet.TargetID, error) {
	r, ok := q.deps.Catalog.Load().Replica(key)
	if !ok {
		return "", fault.New(fault.UnknownModel, "replica %s is not declared", key)
	}
	candidates := q.deps.Directory.Candidates("")
	if id, ok := loadingOn(candidates, key, q.deps.Self.Zone); ok {
		if err := q.ask(ctx, id, key, prefetch); err == nil {
			return id, nil
		}
	}
	view := q.deps.View()
	w := q.wanted(view, candidates, r)
	ranked := placement.ChooseTarget(candidates, w, q.opts.Costs)
	if len(ranked) == 0 && w.BoundOnly && view.PlatformUp {
		if q.freeSlot(ctx, candidates, key) {
			w.BoundOnly = false
			ranked = placement.ChooseTarget(candidates, w, q.opts.Costs)
		}
	}
	if id, ok := loadedOn(candidates, key, q.deps.Self.Zone); ok && len(ranked) == 0 {
		return id, nil
	}
	return q.tryEach(ctx, ranked, key, prefetch)
}

func (q *Requester) tryEach(ctx context.Context, ranked []fleet.TargetID, key fleet.ReplicaKey, prefetch bool) (fleet.TargetID, error) {
	last := fault.New(fault.NoCapacity, "no target of zone %s can load %s", q.deps.Self.Zone, key)
	for _, id := range ranked[:min(len(ranked), maxLoadTargets)] {
		err := q.ask(ctx, id, key, prefetch)
		if err == nil {
			return id, nil
		}
		if ctx.Err() != nil {
			return "", fault.New(fault.DeadlineExceeded, "load of %s: %w", key, ctx.Err())
		}
		last = err
	}
	return "", last
}

// wanted describes the load. Where the limit is used up only targets with a
// slot can load.
func (q *Requester) wanted(view *peer.View, candidates []placement.Candidate, r catalog.Replica) placement.Wanted {
	w := placement.Wanted{Key: r.Key, MemoryBytes: r.MemoryBytes, Zone: q.deps.Self.Zone}
	up := view.PlatformUp && !view.PlatformOlder
	w.BoundOnly = !up || boundTargets(candidates, r.Key) >= r.MaxReplicas
	if r.Key.Adapter == "" {
		return w
	}
	base, ok := q.deps.Catalog.Load().Replica(r.Key.Base())
	if ok {
		w.BaseMemoryBytes = base.MemoryBytes
		w.BaseBoundOnly = !up || boundTargets(candidates, base.Key) >= base.MaxReplicas
	}
	return w
}

func boundTargets(candidates []placement.Candidate, key fleet.ReplicaKey) int {
	n := 0
	for i := range candidates {
		if slices.Contains(candidates[i].Slots, key) {
			n++
		}
	}
	return n
}

// loadingOn returns a target of the zone on which the replica is loading.
func loadingOn(candidates []placement.Candidate, key fleet.ReplicaKey, zone fleet.Zone) (fleet.TargetID, bool) {
	for i := range candidates {
		c := &candidates[i]
		state, ok := c.State.Replica(key)
		if ok && state.Phase == fleet.ReplicaLoading && c.Target.Zone == zone && !c.Unreachable {
			return c.Target.ID, true
		}
	}
	return "", false
}

// loadedOn returns a target of the zone that can serve the replica now.
func loadedOn(candidates []placement.Candidate, key fleet.ReplicaKey, zone fleet.Zone) (fleet.TargetID, bool) {
	for i := range candidates {
		c := &candidates[i]
		state, ok := c.State.Replica(key)
		usable := c.Target.Zone == zone && !c.Unreachable && !c.Target.Leaving && !slices.Contains(c.Draining, key)
		if ok && state.Phase == fleet.ReplicaLoaded && usable {
			return c.Target.ID, true
		}
	}
	return "", false
}

// ask asks the target's owner for the load.
func (q *Requester) ask(ctx context.Context, id fleet.TargetID, key fleet.ReplicaKey, prefetch bool) *fault.Error {
	owner, ok := q.deps.View().TargetOwner(id)
	if !ok {
		return fault.New(fault.NoReplica, "target %s has no owner", id)
	}
	answer, err := q.deps.Network.Call(ctx, owner, &wire.Load{Key: key, Target: id, Prefetch: prefetch})
	if err != nil {
		return fault.New(fault.NoReplica, "load of %s on %s: %w", key, id, err)
	}
	res, ok := answer.(*wire.LoadResult)
	if !ok {
		return fault.New(fault.NoReplica, "load of %s on %s: %w", key, id, errUnexpectedAnswer)
	}
	if res.Loaded {
		return nil
	}
	return fault.New(kindOf(res.Code), "%s", res.Message)
}

func kindOf(code string) fault.Kind {
	for _, k := range fault.Kinds() {
		if k.String() == code {
			return k
		}
	}
	return fault.NoReplica
}

// freeSlot asks the owners of targets that hold a slot without a loaded
// replica to release it.
func (q *Requester) freeSlot(ctx context.Context, candidates []placement.Candidate, key fleet.ReplicaKey) bool {
	for i := range candidates {
		c := &candidates[i]
		_, present := c.State.Replica(key)
		if present || !slices.Contains(c.Slots, key) || c.Owner == "" {
			continue
		}
		answer, err := q.deps.Network.Call(ctx, c.Owner, &wire.Release{Key: key, Target: c.Target.ID})
		if err != nil {
			continue
		}
		if res, ok := answer.(*wire.Released); ok && res.Done {
			return true
		}
	}
	return false
}
