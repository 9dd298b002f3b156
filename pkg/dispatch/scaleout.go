package dispatch

import (
	"context"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// minScaleOutWait is the shortest wait that a further replica is loaded for.
const minScaleOutWait = 100 * time.Millisecond

// scaleOutPaysLocked tells whether the requests wait long enough, measured
// by the time of a load.
func (q *replicaQueue) scaleOutPaysLocked(now time.Time) bool {
	places := max(1, q.placesOf(q.candidatesLocked(now)))
	drain := q.service.value * time.Duration(q.fair.size) / time.Duration(places)
	wait := max(drain, q.fair.oldest(now))
	load := max(q.load.value, minScaleOutWait)
	return wait.Seconds() > q.home.opts.ScaleOutWait*load.Seconds()
}

// HandleScaleOut implements peer.Handler for wire.ScaleOut: it loads a first
// replica in this zone.
func (h *Home) HandleScaleOut(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	q, err := h.queue(m.(*wire.ScaleOut).Key)
	if err != nil {
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := h.clock.Now()
	if !q.closed && len(q.candidatesLocked(now)) == 0 {
		q.startLoadLocked(now, true)
	}
	return &wire.Ack{}, nil
}

// scaleOutElsewhere asks one zone after another that has no replica yet for
// one; the first that takes the request decides.
func (q *replicaQueue) scaleOutElsewhere(ctx context.Context) {
	view := q.home.view()
	served := map[fleet.Zone]bool{view.Self.Zone: true}
	for _, c := range q.home.dir.Loaded(q.key) {
		served[c.Target.Zone] = true
	}
	for i := range view.Live {
		zone := view.Live[i].Zone
		if served[zone] {
			continue
		}
		served[zone] = true
		home, ok := view.Home(zone, q.key)
		if !ok {
			continue
		}
		if _, err := q.home.net.Call(ctx, home, &wire.ScaleOut{Key: q.key}); err == nil {
			return
		}
	}
}
