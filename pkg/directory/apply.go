package directory

import (
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// Apply takes an owner's update in, and reports whether it was newer than
// what is known. An update of an earlier epoch comes from a former owner and
// is ignored, as is one of the same epoch from another node: an epoch has
// one owner per target.
func (d *Directory) Apply(u *wire.TargetUpdate) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entryLocked(u.Target)
	old := e.state.Load()
	if !d.accepts(old, u) {
		return false
	}
	next := *old
	next.Target = u.Target
	next.Leaving = old.Leaving || u.Target.Leaving
	if !d.listed[u.Target.ID] {
		next.Leaving = u.Target.Leaving
	}
	state := u.State
	next.State = &state
	next.Owner, next.Epoch, next.Sequence = u.Owner, u.Epoch, u.Sequence
	next.Unreachable = u.Unreachable
	next.Slots, next.Draining = u.Slots, u.Draining
	next.Observed = u.Observed
	if u.Observed {
		next.Epoch = old.Epoch
		next.Slots, next.Draining = old.Slots, old.Draining
	}
	next.updated = d.clock.Now()
	next.Report++
	delete(d.early, u.Target.ID)
	d.replaceLocked(e, &next)
	return true
}

// accepts tells whether an update replaces what is known. Another node's
// observation does so once the owner has not reported for long; any report
// of an owner replaces an observation, unless the owner is a former one.
func (d *Directory) accepts(old *Target, u *wire.TargetUpdate) bool {
	switch {
	case old.State == nil && u.Epoch >= old.Epoch:
		return true
	case u.Observed && old.Observed:
		return u.Sequence > old.Sequence
	case u.Observed:
		return d.clock.Now().Sub(old.updated) > d.opts.ObserveAfter
	case old.Observed:
		return u.Epoch >= old.Epoch
	}
	return newer(old, u)
}

func newer(old *Target, u *wire.TargetUpdate) bool {
	if u.Epoch != old.Epoch {
		return u.Epoch > old.Epoch
	}
	if old.Owner != "" && u.Owner != old.Owner {
		return false
	}
	return u.Sequence > old.Sequence || old.State == nil
}

// replaceLocked puts a target's new state in force.
func (d *Directory) replaceLocked(e *entry, next *Target) {
	old := e.state.Load()
	next.LeavingBy = d.leavingByLocked(next, old.LeavingBy)
	changed := d.reindexLocked(e, old.State, next.State)
	e.state.Store(next)
	if old.Kind != next.Kind || old.Service != next.Service || (next.Kind == fleet.TargetPlain && old.State == nil) {
		d.reindexPlainLocked()
	}
	d.logLeaving(next, old.LeavingBy)
	if changed || old.LeavingBy != next.LeavingBy || old.Unreachable != next.Unreachable ||
		old.Owner != next.Owner || !slices.Equal(old.Draining, next.Draining) {
		d.notifyLocked()
	}
}

// leavingByLocked returns the source by which the target is leaving: the
// former one while it still says so, else any that does.
func (d *Directory) leavingByLocked(t *Target, former string) string {
	says := map[string]bool{
		SourceOperator: d.isDrainedLocked(t.ID),
		SourceEngine:   d.early[t.ID] || (t.State != nil && t.State.Leaving),
		SourceList:     t.Leaving,
	}
	if says[former] {
		return former
	}
	for _, source := range []string{SourceOperator, SourceEngine, SourceList} {
		if says[source] {
			return source
		}
	}
	return ""
}

func (d *Directory) isDrainedLocked(id fleet.TargetID) bool {
	drain, ok := d.drains[id]
	return ok && !drain.Cancelled
}

// ApplyLeaving takes the news in that a target is leaving or, from an
// operator, that it is not. Of an operator's decisions the latest holds; an
// engine's news holds until its owner's next update.
func (d *Directory) ApplyLeaving(l *wire.Leaving) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case l.Source != SourceOperator:
		d.early[l.Target] = true
	case l.DecidedUnixMillis < d.drains[l.Target].DecidedUnixMillis:
		return
	default:
		d.drains[l.Target] = *l
	}
	if e := (*d.targets.Load())[l.Target]; e != nil {
		next := *e.state.Load()
		d.replaceLocked(e, &next)
	}
}

// Drain carries out an operator's decision that a target takes no new work,
// or takes it again, here and on all connected nodes.
func (d *Directory) Drain(n peer.Network, target fleet.TargetID, cancelled bool) {
	l := &wire.Leaving{
		Target: target, Source: SourceOperator, Cancelled: cancelled,
		DecidedUnixMillis: d.clock.Now().UnixMilli(),
	}
	d.ApplyLeaving(l)
	n.Broadcast("", l)
}

// Greet tells a node that has just connected of the operators' decisions.
func (d *Directory) Greet(n peer.Network, to fleet.NodeID) {
	for _, l := range d.Drains() {
		n.Send(to, &l)
	}
}

// Drains returns the operators' decisions, cancelled ones included.
func (d *Directory) Drains() []wire.Leaving {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]wire.Leaving, 0, len(d.drains))
	for _, l := range d.drains {
		out = append(out, l)
	}
	return out
}

// SetTargets takes the targets of the VM list and the settings in. Those that
// are not among them any more are removed.
func (d *Directory) SetTargets(targets []fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[fleet.TargetID]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		e := d.entryLocked(t)
		next := *e.state.Load()
		if next.Target == t && d.listed[t.ID] {
			continue
		}
		next.Target = t
		d.replaceLocked(e, &next)
	}
	for id := range d.listed {
		if !listed[id] {
			d.removeLocked(id)
		}
	}
	d.listed = listed
}

func (d *Directory) removeLocked(id fleet.TargetID) {
	old := *d.targets.Load()
	e := old[id]
	if e == nil {
		return
	}
	d.reindexLocked(e, e.state.Load().State, nil)
	next := make(map[fleet.TargetID]*entry, len(old))
	for k, o := range old {
		if k != id {
			next[k] = o
		}
	}
	d.targets.Store(&next)
	d.reindexPlainLocked()
	delete(d.drains, id)
	delete(d.early, id)
	d.notifyLocked()
}
