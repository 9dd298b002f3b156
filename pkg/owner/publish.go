package owner

import (
	"reflect"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// publish broadcasts the target when something changed. At least once per
// update interval it tells the own directory that the last update holds; the
// directory tells the other nodes.
func (r *runner) publish(now time.Time) {
	if !r.machine.Owner() || !r.machine.engine.known && !r.machine.env.Gone {
		r.published.Store(nil)
		return
	}
	u := r.machine.Update(now)
	if r.published.Load() != nil && sameUpdate(u, r.lastUpdate) {
		if now.Sub(r.publishedAt) >= r.s.opts.UpdateInterval {
			r.publishedAt = now
			r.refresh()
		}
		return
	}
	r.lastUpdate, r.publishedAt = u, now
	r.s.deps.Network.Send(r.s.deps.Self.ID, &u)
	r.s.deps.Network.Broadcast("", &u)
	r.published.Store(&u)
}

// Greet tells a node that has just connected of the targets owned here, so
// that it need not wait for the next broadcast.
func (s *Service) Greet(to fleet.NodeID) {
	for _, r := range s.all() {
		if u := r.published.Load(); u != nil {
			s.deps.Network.Send(to, u)
		}
	}
}

func (r *runner) refresh() {
	last := wire.TargetReport{Target: r.lastUpdate.Target.ID, Epoch: r.lastUpdate.Epoch, Sequence: r.lastUpdate.Sequence}
	r.s.deps.Network.Send(r.s.deps.Self.ID, &wire.TargetRefresh{Reports: []wire.TargetReport{last}})
}

func sameUpdate(a, b wire.TargetUpdate) bool {
	a.Sequence, b.Sequence = 0, 0
	a.State.Sequence, b.State.Sequence = 0, 0
	return reflect.DeepEqual(a, b)
}
