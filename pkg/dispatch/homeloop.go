package dispatch

import (
	"context"
	"errors"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// run serves the queue until it has been idle for long or the home stops.
func (q *replicaQueue) run() {
	tick := time.NewTicker(q.home.opts.PumpInterval)
	defer tick.Stop()
	fast := true
	for {
		select {
		case <-q.home.ctx.Done():
			return
		case <-q.wake:
		case <-tick.C:
		}
		busy, idleFor := q.pump()
		if idleFor > idleQueueLife && q.home.closeIdle(q) {
			return
		}
		if busy != fast {
			fast = busy
			tick.Reset(q.interval(fast))
		}
	}
}

// slowPump is the interval of a queue in which nothing waits.
const slowPump = time.Second

func (q *replicaQueue) interval(fast bool) time.Duration {
	if fast {
		return q.home.opts.PumpInterval
	}
	return slowPump
}

// pump refuses what is overdue, grants free places and starts loads. It
// tells whether requests wait, and how long the queue has been idle.
func (q *replicaQueue) pump() (busy bool, idle time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.home.clock.Now()
	if now.Sub(q.expiredAt) >= q.home.opts.PumpInterval {
		q.expiredAt = now
		q.expireLocked(now)
	}
	if now.Sub(q.sweptAt) >= q.home.opts.AcquireGrace {
		q.sweptAt = now
		q.sweepLocked(now)
	}
	candidates := q.candidatesLocked(now)
	q.grantWaitingLocked(candidates, now)
	if q.fair.size > 0 {
		q.lastUse = now
		q.tellCongestedLocked(now, len(candidates))
		q.startLoadLocked(now, len(candidates) == 0)
	}
	return q.fair.size > 0, now.Sub(q.lastUse)
}

// tellCongestedLocked asks the nodes that use this zone's replicas to leave
// their places to the requests that wait here. It repeats this at half of
// the time that it holds.
func (q *replicaQueue) tellCongestedLocked(now time.Time, loaded int) {
	valid := q.home.opts.CongestedFor
	if loaded == 0 || now.Sub(q.toldAt) < valid/2 {
		return
	}
	q.toldAt = now
	m := &wire.Congested{Key: q.key, ValidMillis: valid.Milliseconds()}
	for _, zone := range q.usersLocked() {
		q.home.net.Broadcast(zone, m)
	}
}

// usersLocked returns the own zone and the zones that have no replica of
// their own.
func (q *replicaQueue) usersLocked() []fleet.Zone {
	view := q.home.view()
	served := map[fleet.Zone]bool{view.Self.Zone: true}
	for _, c := range q.home.dir.Loaded(q.key) {
		served[c.Target.Zone] = true
	}
	users := []fleet.Zone{view.Self.Zone}
	for i := range view.Live {
		if zone := view.Live[i].Zone; !served[zone] {
			served[zone] = true
			users = append(users, zone)
		}
	}
	return users
}

// grantWaitingLocked gives the free places to the waiting requests in order.
func (q *replicaQueue) grantWaitingLocked(candidates []Candidate, now time.Time) {
	var passed []*waiter // requests that may not go to the targets with a place
	for w := q.fair.pop(); w != nil; w = q.fair.pop() {
		if q.grantLocked(w, candidates, now) {
			continue
		}
		passed = append(passed, w)
		if len(w.exclude) == 0 {
			break
		}
	}
	for i := len(passed) - 1; i >= 0; i-- {
		q.fair.unpop(passed[i])
	}
}

// expireLocked refuses requests that cannot be answered in time any more,
// and forgets requests and grants whose entry node has gone.
func (q *replicaQueue) expireLocked(now time.Time) {
	q.dropLocked(func(w *waiter) bool { return now.Add(q.service.value).After(w.deadline) },
		fault.New(fault.DeadlineExceeded, "no place became free in time"))
	grace := q.home.opts.AcquireGrace
	gone := func(w *waiter) bool { return w.attached == 0 && now.Sub(w.detachedAt) > grace }
	q.dropLocked(gone, fault.New(fault.CallerGone, "the entry node did not ask again"))
	for id, w := range q.waiters {
		if w.grant != nil && gone(w) {
			delete(q.waiters, id)
			q.expireGrantLocked(id)
		}
	}
	for id, g := range q.grants {
		if now.After(g.expires) {
			q.expireGrantLocked(id)
		}
	}
}

// sweepLocked gives back the places of entry nodes that have restarted, or
// have been out of sight for NodeDeadAfter. A node that is leaving is out of
// sight and may still send.
func (q *replicaQueue) sweepLocked(now time.Time) {
	live := map[fleet.NodeID]string{}
	view := q.home.view()
	live[view.Self.ID] = view.Self.Incarnation
	for i := range view.Live {
		live[view.Live[i].ID] = view.Live[i].Incarnation
	}
	for id, g := range q.grants {
		incarnation, seen := live[g.from.ID]
		if seen {
			g.seenAt = now
		}
		if seen && incarnation != g.from.Incarnation || now.Sub(g.seenAt) > q.home.opts.NodeDeadAfter {
			q.expireGrantLocked(id)
		}
	}
}

func (q *replicaQueue) expireGrantLocked(id string) {
	if g := q.grants[id]; g != nil {
		delete(q.grants, id)
		g.target.granted.Add(-1)
	}
}

// startLoadLocked asks for a first or a further replica when one is wanted
// and no load is running.
func (q *replicaQueue) startLoadLocked(now time.Time, first bool) {
	if q.loading || now.Before(q.scaleOutAfter) && !first {
		return
	}
	if !first && !q.scaleOutPaysLocked(now) {
		return
	}
	q.loading, q.loadingSince = true, now
	q.home.running.Go(func() { q.loadReplica(first) })
}

// loadReplica runs one load, with retries of failures that pass.
func (q *replicaQueue) loadReplica(first bool) {
	ctx, cancel := context.WithTimeout(q.home.ctx, q.home.opts.LoadTimeout)
	defer cancel()
	known := q.knownTargets()
	var err error
	for attempt := range q.home.opts.LoadAttempts {
		if attempt > 0 && !sleep(ctx, jitter(q.home.opts.RetryMaxDelay)) {
			break
		}
		err = q.loadOnce(ctx, known)
		if err == nil || !passing(err) || !first {
			break
		}
	}
	if err != nil && !first {
		q.scaleOutElsewhere(ctx)
	}
	q.endLoad(first, err)
}

// knownTargets returns the targets of the zone that have the replica loaded.
func (q *replicaQueue) knownTargets() map[fleet.TargetID]bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := map[fleet.TargetID]bool{}
	for _, c := range q.candidatesLocked(q.home.clock.Now()) {
		known[c.Target.ID] = true
	}
	return known
}

// errNoGain tells that the zone has no room for a further replica.
var errNoGain = fault.New(fault.NoCapacity, "the zone has no room for a further replica")

// loadOnce loads the replica on a target that is not among the known ones.
func (q *replicaQueue) loadOnce(ctx context.Context, known map[fleet.TargetID]bool) error {
	began := q.home.clock.Now()
	id, err := q.home.loader.Load(ctx, q.key, false)
	if err != nil {
		return err
	}
	if known[id] {
		return errNoGain
	}
	now := q.home.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.load.add(now.Sub(began))
	q.home.loads.stale.clear(staleKey{id, q.key})
	q.loaded[id] = now.Add(q.home.opts.AcquireSlice)
	return nil
}

// passing tells whether a load that failed with err is worth another try.
func passing(err error) bool {
	switch fault.KindOf(err) {
	case fault.TargetFailed, fault.TargetUnreachable, fault.OutcomeUnknown, fault.Internal:
		return true
	default:
		return false
	}
}

// endLoad refuses the waiting requests after a failed first load; a further
// replica that was refused is asked for again after a pause.
func (q *replicaQueue) endLoad(first bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.loading = false
	now := q.home.clock.Now()
	if err != nil {
		event.LoadFailed.Log(&q.home.logger).Err(err).Stringer("replica", q.key).Bool("first", first).Send()
		q.scaleOutAfter = now.Add(q.home.opts.ScaleOutPause)
	}
	if err != nil && first && len(q.candidatesLocked(now)) == 0 {
		q.refusal, q.refuseUntil = loadRefusal(err), now.Add(q.home.opts.PlacePause/2)
		q.dropLocked(func(*waiter) bool { return true }, q.refusal)
	}
	q.kick()
}

// loadRefusal turns a load's error into the refusal of a request that was
// not run.
func loadRefusal(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.NoCapacity, "the replica did not load in time")
	}
	fe := fault.As(err)
	if fe.Kind.Answer().Run == fault.RunNo && fe.Kind != fault.TargetUnreachable && fe.Kind != fault.ShuttingDown {
		return fe
	}
	return fault.New(fault.NoReplica, "the replica could not be loaded: %w", err)
}
