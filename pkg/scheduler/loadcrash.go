package scheduler

import (
	"math"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/route"
)

// Limits of the crashes during loads.
const (
	// modelLoadCrashes is the number of crashes during loads of a model, none of which has
	// succeeded since, after which it is held. One is too few: most crashes have another
	// cause than the load in progress.
	modelLoadCrashes = 2
	// adapterLoadCrashes is the same for an adapter. Only its first run shows the end of its
	// load, and may itself be what crashed the target.
	adapterLoadCrashes = 3
	// lostLoadWait is the RetryAfter of requests whose model or adapter is held until the
	// results of loads at targets that are down are known.
	lostLoadWait = maxRetryAfter
)

// newLoadLedger returns the evidence about the scheduler's loads. Its holds differ between
// zones, so that they don't try the same load at the same time.
func (s *Scheduler) newLoadLedger() *quarantine.Ledger {
	return quarantine.New(func(p quarantine.Part) float64 {
		return float64(fleet.RendezvousWeight(string(s.zone), p.Service+"/"+p.ID)) / math.MaxUint64
	})
}

// loadPart returns what the loads of a model or an adapter have in common.
func loadPart(k queueKey) []quarantine.Part {
	return []quarantine.Part{{Service: k.service, ID: LimitName(k.service, k.model, k.adapter)}}
}

// crashLimit returns the number of crashes after which loads of a model or an adapter are
// held.
func (k queueKey) crashLimit() int {
	if k.adapter != "" {
		return adapterLoadCrashes
	}
	return modelLoadCrashes
}

// baseKey returns the key of the queue for the base model.
func (k modelKey) baseKey() queueKey { return queueKey{k.service, k.model, ""} }

// openLoad is a load whose success nothing has shown, and when it began. It is inherited if
// the target's former incarnation crashed during it; see target.inheritOrder.
type openLoad struct {
	key       queueKey
	since     time.Time
	inherited bool
}

// openLoads returns the target's open loads: its order in progress, and the adapters that
// neither a run nor a report has shown.
func (t *target) openLoads() []openLoad {
	var out []openLoad
	if o := t.order; o != nil && o.Operation == Load {
		out = append(out, openLoad{queueKey{t.info.Service, o.Model, o.Adapter}, t.orderSince, o == t.inherited})
	}
	for model, r := range t.replicas {
		for name, a := range r.adapters {
			if !a.openSince.IsZero() {
				out = append(out, openLoad{queueKey{t.info.Service, model, name}, a.openSince, false})
			}
		}
	}
	return out
}

// recordLoadCrash records that a target has restarted, or left the list without draining,
// during its open loads. A load that began later and has succeeded disproves the evidence.
func (s *Scheduler) recordLoadCrash(now time.Time, t *target) {
	if t == nil || t.info.Draining {
		return
	}
	for _, l := range t.openLoads() {
		part := loadPart(l.key)
		known := s.loadCrashes.Records(now, part)[0]
		if l.inherited || known.Survived && !now.Add(-known.SurvivedAge).Before(l.since) {
			continue
		}
		s.loadCrashes.RunCrashed(now, quarantine.Crash{Target: t.info.ID, Incarnation: t.info.Incarnation}, part[0].ID, part)
	}
}

// loadSucceeded records that a load which began at a time has ended well.
func (s *Scheduler) loadSucceeded(k queueKey, begun time.Time) {
	s.loadCrashes.RunSurvived(begun, loadPart(k))
}

// adapterShown ends the open load of an adapter that a run or a report has shown.
func (s *Scheduler) adapterShown(t *target, model, name string) {
	r := t.replicas[model]
	if r == nil {
		return
	}
	if a := r.adapters[name]; a != nil && !a.openSince.IsZero() {
		s.loadSucceeded(queueKey{t.info.Service, model, name}, a.openSince)
		a.openSince = time.Time{}
	}
}

// countLostLoads counts the open loads at targets that are down, which may have crashed: the
// list shows a restart only after seconds.
func (s *Scheduler) countLostLoads(now time.Time) {
	clear(s.lostLoads)
	for _, t := range s.sortedTargets {
		if t.info.Draining || t.healthy(now) {
			continue
		}
		for _, l := range t.openLoads() {
			if !l.inherited {
				s.lostLoads[l.key]++
			}
		}
	}
}

// loadHold returns the time for which no load of the model or adapter may begin, 0 if one
// may. After a hold, one load is tried; it is lost if its target is down.
func (s *Scheduler) loadHold(now time.Time, k queueKey) time.Duration {
	lost := s.lostLoads[k]
	if lost == 0 && s.loadCrashes.Suspects() == 0 {
		return 0
	}
	part := loadPart(k)
	d := s.loadCrashes.Check(now, part)
	crashes, _ := s.loadCrashes.Evidence(part[0])
	switch {
	case !d.Allowed && crashes >= k.crashLimit():
		return d.RetryAfter
	case lost > 0 && crashes+lost >= k.crashLimit():
		return lostLoadWait
	}
	return 0
}

// suspectedCrashes returns the number of crashes that stand against a model or an adapter,
// with those of lost loads.
func (s *Scheduler) suspectedCrashes(k queueKey) int {
	crashes, _ := s.loadCrashes.Evidence(loadPart(k)[0])
	return crashes + s.lostLoads[k]
}

// neededLoad returns the model or adapter whose load the requests of a queue wait for, false
// if they wait for none, or for one in progress.
func (s *Scheduler) neededLoad(now time.Time, q *queue) (queueKey, bool) {
	k := q.key.modelKey()
	st := s.modelState(now, k)
	switch {
	case st.ready > 0 && q.key.adapter != "":
		return q.key, !s.adapterLoadedOrOrdered(now, q)
	case st.ready == 0 && st.loading == 0:
		return k.baseKey(), true
	}
	return queueKey{}, false
}

// refuseHeldLoads refuses the requests that a hold keeps beyond their deadline. They are sent
// to another zone first, which may have the model.
func (s *Scheduler) refuseHeldLoads(now time.Time, queues []*queue) {
	if len(s.lostLoads) == 0 && s.loadCrashes.Suspects() == 0 {
		return
	}
	for _, q := range queues {
		if len(q.waiters) == 0 {
			continue
		}
		if k, ok := s.neededLoad(now, q); ok {
			s.refuseHeld(now, q, s.loadHold(now, k), s.suspectedCrashes(k))
		}
	}
}

// refuseHeld is refuseHeldLoads for one queue; a hold of 0 refuses none.
func (s *Scheduler) refuseHeld(now time.Time, q *queue, hold time.Duration, crashes int) {
	if hold == 0 {
		return
	}
	for _, w := range slices.Clone(q.waiters) {
		estimate := RefusalEstimate{ExpectedWait: hold, TimeLeft: w.Deadline.Sub(now), LoadCrashes: crashes}
		switch {
		case !w.OtherZonesRefused:
			s.refuse(now, w, TryOtherZone, 0, estimate)
		case now.Add(hold).After(w.Deadline.Add(-minRunTime)):
			s.refuse(now, w, Overloaded, hold, estimate)
		}
	}
}

// mayLoad reports whether the model fits into a target, and neither its limit nor a hold keep
// the zone from loading it.
func (s *Scheduler) mayLoad(now time.Time, k modelKey, m *route.Model, e *route.Engine) bool {
	return m.WeightsMB <= e.WeightsMB && s.mayAddReplica(k) && s.loadHold(now, k.baseKey()) == 0
}
