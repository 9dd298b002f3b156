package scheduler

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// departedHold is how long the replicas of a target that left the list count
// against the limits: its entry may have lapsed while it lives.
const departedHold = time.Minute

// departed is a target that left the list.
type departed struct {
	info  *inventory.Target
	until time.Time
}

// SetZones names the zone and all zones, which share the weight store and the
// limits of replicas.
func (s *Scheduler) SetZones(zone fleet.Zone, all []fleet.Zone) {
	s.zone, s.allZones = zone, all
	s.zones = max(len(all), 1)
}

// model returns what the configuration says of a model, nil for nothing.
func (s *Scheduler) model(k modelKey) *route.Model {
	svc := s.services[k.service]
	if svc == nil || svc.Engine == nil {
		return nil
	}
	return svc.Engine.Models[k.model]
}

// quota returns the number of replicas of the model that the zone may hold;
// ok is false when there is no limit.
func (s *Scheduler) quota(k modelKey) (quota int, ok bool) {
	m := s.model(k)
	if m == nil {
		return 0, false
	}
	return m.Replicas.Quota(s.zone, s.allZones, LimitName(k.service, k.model, ""))
}

// LimitName names what a limit is for, as input of route.Limit.Quota.
func LimitName(service, model, adapter string) string {
	if adapter == "" {
		return service + "/" + model
	}
	return service + "/" + model + "/" + adapter
}

// held counts the replicas of the model that the zone has, makes room for, or
// may have.
func (s *Scheduler) held(k modelKey) int {
	n := 0
	for _, t := range s.sorted {
		if t.info.Service == k.service && t.holds(k.model) {
			n++
		}
	}
	for _, d := range s.departed {
		if d.info.Service == k.service && d.info.Has(k.model, "") {
			n++
		}
	}
	return n
}

// holds tells whether the target has the model, or may get it.
func (t *target) holds(model string) bool {
	return t.replicas[model] != nil || t.loads(model) || t.plan != nil && t.plan.model == model
}

// loads tells whether an order in progress loads the model.
func (t *target) loads(model string) bool {
	return t.order != nil && t.order.Operation == Load && t.order.Model == model && t.order.Adapter == ""
}

// mayGrow tells whether the zone may load another replica.
func (s *Scheduler) mayGrow(k modelKey) bool {
	quota, ok := s.quota(k)
	return !ok || s.held(k) < quota
}

// overQuota tells whether the zone has more replicas, or plans more, than it may.
func (s *Scheduler) overQuota(k modelKey) bool {
	quota, ok := s.quota(k)
	return ok && s.held(k) > quota
}

// mayLoadAdapter tells whether another target of the zone may hold the adapter.
func (s *Scheduler) mayLoadAdapter(q queueKey) bool {
	m := s.model(q.modelKey())
	if m == nil {
		return false
	}
	quota, ok := m.AdapterReplicas[q.adapter].Quota(s.zone, s.allZones, LimitName(q.service, q.model, q.adapter))
	if !ok {
		return true
	}
	n := 0
	for _, t := range s.sorted {
		r := t.replicas[q.model]
		if t.info.Service == q.service && r != nil && r.adapters[q.adapter] != nil {
			n++
		}
	}
	for _, d := range s.departed {
		if d.info.Service == q.service && d.info.Has(q.model, q.adapter) {
			n++
		}
	}
	return n < quota
}

// refuseUnallowed refuses the requests for models of which the zone may hold
// no replica and has none.
func (s *Scheduler) refuseUnallowed(now time.Time, order []*queue) {
	for _, q := range order {
		k := q.key.modelKey()
		quota, ok := s.quota(k)
		if !ok || quota > 0 || len(q.waiters) == 0 || s.state(now, k).usable > 0 {
			continue
		}
		for _, w := range slices.Clone(q.waiters) {
			reason, after := TryOtherZone, time.Duration(0)
			if w.LastResort {
				reason, after = Overloaded, longestRetry
			}
			s.refuse(now, w, reason, after, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
		}
	}
}

// retire marks the replicas that are to go although nothing needs their
// memory: those beyond the limit, those of models that the configuration does
// not name, and those that have been idle for longer than they are worth.
func (s *Scheduler) retire(now time.Time) {
	for _, t := range s.sorted {
		for name, r := range t.replicas {
			k := modelKey{t.info.Service, name}
			if r.lastUsed.IsZero() {
				r.lastUsed = now
			}
			r.retiring = s.model(k) == nil || s.idleTooLong(now, k, r)
		}
	}
	for k, holders := range s.holders {
		if s.overQuota(k) {
			s.retireSurplus(k, holders)
		}
	}
}

// retireSurplus marks the replicas with the fewest runs.
func (s *Scheduler) retireSurplus(k modelKey, holders []*target) {
	quota, _ := s.quota(k)
	loaded := slices.DeleteFunc(slices.Clone(holders), func(t *target) bool { return t.replicas[k.model] == nil })
	slices.SortFunc(loaded, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.replicas[k.model].runs, b.replicas[k.model].runs), cmp.Compare(a.info.ID, b.info.ID))
	})
	surplus := min(s.held(k)-quota, len(loaded))
	for _, t := range loaded[:surplus] {
		t.replicas[k.model].retiring = true
	}
}

// unloadRetired orders the unload of retired replicas without runs.
func (s *Scheduler) unloadRetired(now time.Time) {
	for _, t := range s.sorted {
		if t.phase != idle || t.plan != nil || now.Before(t.quietUntil) || !t.healthy(now) {
			continue
		}
		if name, ok := t.retired(); ok {
			s.send(now, t, Order{Operation: Unload, Model: name}, 0)
		}
	}
}

// retired returns the first retired replica without runs by name.
func (t *target) retired() (string, bool) {
	name, ok := "", false
	for n, r := range t.replicas {
		if r.retiring && r.runs == 0 && (!ok || n < name) {
			name, ok = n, true
		}
	}
	return name, ok
}

// depart notes what a target that leaves the list may still hold.
func (s *Scheduler) depart(now time.Time, t *target) {
	info := *t.info
	info.Models = nil
	for name, r := range t.replicas {
		m := inventory.LoadedModel{Name: name}
		for a := range r.adapters {
			m.Adapters = append(m.Adapters, a)
		}
		info.Models = append(info.Models, m)
	}
	if t.order != nil && t.order.Operation == Load && t.replicas[t.order.Model] == nil {
		info.Models = append(info.Models, inventory.LoadedModel{Name: t.order.Model})
	}
	s.departed = append(s.departed, departed{&info, now.Add(departedHold)})
}

// forgetDeparted drops the targets that are back or gone for good.
func (s *Scheduler) forgetDeparted(now time.Time) {
	s.departed = slices.DeleteFunc(s.departed, func(d departed) bool {
		return s.targets[d.info.ID] != nil || !now.Before(d.until)
	})
}
