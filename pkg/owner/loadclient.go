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

// LoadClient chooses a target for a load and asks its owner. It implements
// Loader.
type LoadClient struct {
	opts Options
	deps Deps
}

var _ Loader = (*LoadClient)(nil)

// NewLoadClient returns a LoadClient.
func NewLoadClient(opts Options, deps Deps) *LoadClient { return &LoadClient{opts: opts, deps: deps} }

// Load implements Loader. Another target is tried after any failure: a
// replica whose outcome is unknown keeps its slot and its memory there, so
// that the limit holds whatever becomes of it. When no target of the zone
// can load, one of another zone is used; that is cheaper than moving a slot,
// and all zones that want the replica at once meet in one load.
func (q *LoadClient) Load(ctx context.Context, key fleet.ReplicaKey, prefetch bool) (fleet.TargetID, error) {
	r, ok := q.deps.Catalog.Load().Replica(key)
	if !ok {
		return "", fault.New(fault.UnknownModel, "replica %s is not declared", key)
	}
	l := &loading{q: q, replica: r, prefetch: prefetch, candidates: q.deps.Directory.Candidates("")}
	zone := q.deps.Self.Zone
	view := q.deps.View()
	w := q.wanted(view, l.candidates, r)
	movable := w.BoundOnly && view.PlatformUp && !view.PlatformOlder && !l.present()
	steps := []func() bool{
		func() bool { return l.join(ctx, zone, fleet.ReplicaLoading) },
		func() bool { return movable && placement.Crowded(l.candidates, w) && l.moveSlot(ctx, w) },
		func() bool { return l.tryRanked(ctx, w) },
		func() bool { return l.join(ctx, zone, fleet.ReplicaLoaded) },
		func() bool { return l.join(ctx, anyZone, fleet.ReplicaLoading) },
		func() bool { return l.join(ctx, anyZone, fleet.ReplicaLoaded) },
		func() bool { return l.tryElsewhere(ctx, w) },
		func() bool { return movable && l.moveSlot(ctx, w) },
	}
	for _, step := range steps {
		if step() {
			return l.target, nil
		}
		if ctx.Err() != nil {
			return "", fault.New(fault.DeadlineExceeded, "load of %s: %w", key, ctx.Err())
		}
	}
	if l.last == nil {
		return "", fault.New(fault.NoCapacity, "no target can load %s", key)
	}
	return "", l.last
}

// anyZone stands for all zones.
const anyZone fleet.Zone = ""

// loading is one load and what was tried for it.
type loading struct {
	q          *LoadClient
	replica    catalog.Replica
	prefetch   bool
	candidates []placement.Candidate
	// target is where the replica is loaded in the end.
	target fleet.TargetID
	// tried are the targets that could not load; last is why.
	tried []fleet.TargetID
	last  *fault.Error
}

// present tells that the replica is loaded or loading somewhere.
func (l *loading) present() bool {
	_, loading := l.find(anyZone, fleet.ReplicaLoading)
	_, loaded := l.find(anyZone, fleet.ReplicaLoaded)
	return loading || loaded
}

// join asks for the replica where it is loading or loaded already. The
// owner knows whether it still is.
func (l *loading) join(ctx context.Context, zone fleet.Zone, phase fleet.ReplicaPhase) bool {
	id, ok := l.find(zone, phase)
	return ok && l.ask(ctx, id)
}

// find returns a target on which the replica is in the given phase.
func (l *loading) find(zone fleet.Zone, phase fleet.ReplicaPhase) (fleet.TargetID, bool) {
	key := l.replica.Key
	for i := range l.candidates {
		c := &l.candidates[i]
		state, ok := c.State.Replica(key)
		usable := !c.Unreachable && !c.Target.Leaving && !slices.Contains(c.Draining, key) && !slices.Contains(l.tried, c.Target.ID)
		if ok && state.Phase == phase && usable && (zone == anyZone || c.Target.Zone == zone) {
			return c.Target.ID, true
		}
	}
	return "", false
}

// tryRanked tries the best targets in turn.
func (l *loading) tryRanked(ctx context.Context, w placement.Wanted) bool {
	w.Exclude = l.tried
	ranked := placement.ChooseTarget(l.candidates, w, l.q.opts.Costs)
	for _, id := range ranked[:min(len(ranked), maxLoadTargets)] {
		if l.ask(ctx, id) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// tryElsewhere tries the targets of all zones.
func (l *loading) tryElsewhere(ctx context.Context, w placement.Wanted) bool {
	w.Zone = anyZone
	return l.tryRanked(ctx, w)
}

// moveSlot frees a slot that no replica uses and loads on a target of the
// zone that had none.
func (l *loading) moveSlot(ctx context.Context, w placement.Wanted) bool {
	if !l.freeSlot(ctx) {
		return false
	}
	w.BoundOnly = false
	return l.tryRanked(ctx, w)
}

// wanted describes the load. Where the limit is used up only targets with a
// slot can load.
func (q *LoadClient) wanted(view *peer.View, candidates []placement.Candidate, r catalog.Replica) placement.Wanted {
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

// ask asks the target's owner for the load. Owners of other zones are known
// from their reports.
func (l *loading) ask(ctx context.Context, id fleet.TargetID) bool {
	err := l.request(ctx, id)
	if err == nil {
		l.target = id
		return true
	}
	l.last = err
	l.tried = append(l.tried, id)
	return false
}

func (l *loading) request(ctx context.Context, id fleet.TargetID) *fault.Error {
	key := l.replica.Key
	owner, ok := l.ownerOf(id)
	if !ok {
		return fault.New(fault.TargetUnreachable, "target %s has no owner", id)
	}
	answer, err := l.q.deps.Network.Call(ctx, owner, &wire.Load{Key: key, Target: id, Prefetch: l.prefetch})
	if err != nil {
		return fault.New(fault.TargetUnreachable, "load of %s on %s: %w", key, id, err)
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

func (l *loading) ownerOf(id fleet.TargetID) (fleet.NodeID, bool) {
	for i := range l.candidates {
		c := &l.candidates[i]
		if c.Target.ID == id && c.Target.Zone != l.q.deps.Self.Zone {
			return c.Owner, c.Owner != ""
		}
	}
	return l.q.deps.View().TargetOwner(id)
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
func (l *loading) freeSlot(ctx context.Context) bool {
	key := l.replica.Key
	for i := range l.candidates {
		c := &l.candidates[i]
		_, present := c.State.Replica(key)
		if present || !slices.Contains(c.Slots, key) || c.Owner == "" {
			continue
		}
		answer, err := l.q.deps.Network.Call(ctx, c.Owner, &wire.Release{Key: key, Target: c.Target.ID})
		if err != nil {
			continue
		}
		if res, ok := answer.(*wire.Released); ok && res.Done {
			return true
		}
	}
	return false
}
