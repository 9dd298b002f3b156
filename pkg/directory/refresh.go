package directory

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// missedQueue is the number of fetches that may wait.
const missedQueue = 64

// missedUpdates are updates that an owner has sent and this node lacks.
type missedUpdates struct {
	owner   fleet.NodeID
	targets []fleet.TargetID
}

// Run tells the other nodes regularly which updates of this node's own
// targets are the last ones, and fetches those of other owners that were
// missed, until ctx ends.
func (d *Directory) Run(ctx context.Context, self fleet.NodeID, n peer.Network) {
	ticker := time.NewTicker(d.opts.RefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r := d.reports(self); len(r.Reports) > 0 {
				n.Broadcast("", r)
			}
		case m := <-d.missed:
			d.fetch(ctx, n, m)
		}
	}
}

// reports lists the targets that this node owns and still hears of.
func (d *Directory) reports(self fleet.NodeID) *wire.TargetRefresh {
	out := &wire.TargetRefresh{}
	now := d.clock.Now()
	for _, t := range d.Targets("") {
		if t.Owner == self && t.State != nil && now.Sub(t.updated) <= d.opts.StaleAfter {
			out.Reports = append(out.Reports, wire.TargetReport{Target: t.ID, Epoch: t.Epoch, Sequence: t.Sequence})
		}
	}
	return out
}

// refresh marks the named updates as current, and has missed ones fetched.
func (d *Directory) refresh(owner fleet.NodeID, r *wire.TargetRefresh) {
	missed := missedUpdates{owner: owner}
	d.mu.Lock()
	for _, report := range r.Reports {
		if d.isMissedLocked(report) {
			missed.targets = append(missed.targets, report.Target)
		}
	}
	d.mu.Unlock()
	if len(missed.targets) == 0 {
		return
	}
	select {
	case d.missed <- missed:
	default: // the next refresh asks again
	}
}

// isMissedLocked tells whether a report names a later update than known. A
// report of the update in force renews its age.
func (d *Directory) isMissedLocked(r wire.TargetReport) bool {
	e := (*d.targets.Load())[r.Target]
	if e == nil {
		return true
	}
	old := e.state.Load()
	if old.Observed {
		return r.Epoch >= old.Epoch
	}
	if old.State != nil && old.Epoch == r.Epoch && old.Sequence == r.Sequence {
		next := *old
		next.updated = d.clock.Now()
		e.state.Store(&next)
		return false
	}
	if old.Epoch != r.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.Sequence > old.Sequence
}

func (d *Directory) fetch(ctx context.Context, n peer.Network, m missedUpdates) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.FetchTimeout)
	defer cancel()
	answer, err := n.Call(ctx, m.owner, &wire.TargetFetch{Targets: m.targets})
	if err != nil {
		return // the next refresh asks again
	}
	if u, ok := answer.(*wire.TargetUpdates); ok {
		for i := range u.Updates {
			d.Apply(&u.Updates[i])
		}
	}
}

// updates returns what is known of targets, as their owners reported it.
func (d *Directory) updates(ids []fleet.TargetID) *wire.TargetUpdates {
	out := &wire.TargetUpdates{}
	for _, id := range ids {
		t, ok := d.Lookup(id)
		if !ok || t.State == nil || t.Observed {
			continue
		}
		out.Updates = append(out.Updates, wire.TargetUpdate{
			Target: t.Target, State: *t.State, Owner: t.Owner, Epoch: t.Epoch, Sequence: t.Sequence,
			Unreachable: t.Unreachable, Slots: t.Slots, Draining: t.Draining,
		})
	}
	return out
}
