package scheduler

import (
	"cmp"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// removedTargetHold is how long the replicas of a target that left the list
// count against the limits. The target may still be running when its entry
// expires.
const removedTargetHold = time.Minute

// removedTarget is a target that left the list. info.Models are the models that
// it may still have loaded; they count against the limits until expiresAt.
type removedTarget struct {
	info       *inventory.Target
	lateOrders []lateOrder
	expiresAt  time.Time
}

// SetZones sets the scheduler's own zone and the list of all zones, which share
// the weight store and the replica limits.
func (s *Scheduler) SetZones(zone fleet.Zone, all []fleet.Zone) {
	s.zone, s.allZones = zone, all
	s.zoneCount = max(len(all), 1)
}

// modelConfig returns the configuration of a model, nil if the model is not
// configured.
func (s *Scheduler) modelConfig(k modelKey) *route.Model {
	svc := s.services[k.service]
	if svc == nil || svc.Engine == nil {
		return nil
	}
	return svc.Engine.Models[k.model]
}

// quota returns the largest number of replicas of the model that the zone may have.
// ok is false if there is no limit.
func (s *Scheduler) quota(k modelKey) (quota int, ok bool) {
	m := s.modelConfig(k)
	if m == nil {
		return 0, false
	}
	return m.Replicas.Quota(s.zone, s.allZones, LimitName(k.service, k.model, ""))
}

// LimitName returns the name of a limit for route.ReplicaLimit.Quota. The adapter
// is empty for the limit of a model.
func LimitName(service, model, adapter string) string {
	if adapter == "" {
		return service + "/" + model
	}
	return service + "/" + model + "/" + adapter
}

// committedReplicas counts the replicas of the model that are loaded, planned or
// being loaded in the zone, or may still exist at a removed target.
func (s *Scheduler) committedReplicas(k modelKey) int {
	n := 0
	for _, t := range s.sortedTargets {
		if t.info.Service == k.service && t.mayHold(k.model) {
			n++
		}
	}
	for _, removed := range s.removedTargets {
		if removed.info.Service == k.service && removed.info.HasLoaded(k.model, "") {
			n++
		}
	}
	return n
}

// mayHold reports whether the target has loaded, is loading or plans to load the
// model.
func (t *target) mayHold(model string) bool {
	return t.replicas[model] != nil || t.isLoading(model) || t.plan != nil && t.plan.model == model
}

// isLoading reports whether an order in progress loads the model.
func (t *target) isLoading(model string) bool {
	return t.order != nil && t.order.Operation == Load && t.order.Model == model && t.order.Adapter == ""
}

// mayAddReplica reports whether the limit allows another replica in the zone.
func (s *Scheduler) mayAddReplica(k modelKey) bool {
	quota, ok := s.quota(k)
	return !ok || s.committedReplicas(k) < quota
}

// overQuota reports whether the zone has committed to more replicas than its
// quota.
func (s *Scheduler) overQuota(k modelKey) bool {
	quota, ok := s.quota(k)
	return ok && s.committedReplicas(k) > quota
}

// mayLoadAdapter reports whether the limit allows the adapter at another target
// of the zone.
func (s *Scheduler) mayLoadAdapter(q queueKey) bool {
	m := s.modelConfig(q.modelKey())
	if m == nil {
		return false
	}
	quota, ok := m.AdapterReplicas[q.adapter].Quota(s.zone, s.allZones, LimitName(q.service, q.model, q.adapter))
	if !ok {
		return true
	}
	n := 0
	for _, t := range s.sortedTargets {
		r := t.replicas[q.model]
		if t.info.Service == q.service && r != nil && r.adapters[q.adapter] != nil {
			n++
		}
	}
	for _, removed := range s.removedTargets {
		if removed.info.Service == q.service && removed.info.HasLoaded(q.model, q.adapter) {
			n++
		}
	}
	return n < quota
}

// refuseZeroQuota refuses the requests for models whose quota in the zone is 0 and
// of which it has no ready replica.
func (s *Scheduler) refuseZeroQuota(now time.Time, queues []*queue) {
	for _, q := range queues {
		k := q.key.modelKey()
		quota, ok := s.quota(k)
		if !ok || quota > 0 || len(q.waiters) == 0 || s.modelState(now, k).ready > 0 {
			continue
		}
		for _, w := range slices.Clone(q.waiters) {
			reason, after := TryOtherZone, time.Duration(0)
			if w.OtherZonesRefused {
				reason, after = Overloaded, maxRetryAfter
			}
			s.refuse(now, w, reason, after, RefusalEstimate{TimeLeft: w.Deadline.Sub(now)})
		}
	}
}

// markRetiring marks the replicas to unload even though no other model needs
// their memory: those above the quota, those of models that are not configured,
// and those that have been idle for longer than the keep-alive window.
func (s *Scheduler) markRetiring(now time.Time) {
	for _, t := range s.sortedTargets {
		for name, r := range t.replicas {
			k := modelKey{t.info.Service, name}
			if r.lastUsed.IsZero() {
				r.lastUsed = now // a replica without runs so far counts as used when first seen
			}
			r.retiring = s.modelConfig(k) == nil || s.exceedsIdleWindow(now, k, r)
		}
	}
	for k, modelTargets := range s.targetsByModel {
		if s.overQuota(k) {
			s.retireExcess(k, modelTargets)
		}
	}
}

// retireExcess marks the loaded replicas above the quota, those with the fewest
// runs first.
func (s *Scheduler) retireExcess(k modelKey, modelTargets []*target) {
	quota, _ := s.quota(k)
	loaded := slices.DeleteFunc(slices.Clone(modelTargets), func(t *target) bool { return t.replicas[k.model] == nil })
	slices.SortFunc(loaded, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.replicas[k.model].runs, b.replicas[k.model].runs), cmp.Compare(a.info.ID, b.info.ID))
	})
	excess := min(s.committedReplicas(k)-quota, len(loaded))
	for _, t := range loaded[:excess] {
		t.replicas[k.model].retiring = true
	}
}

// unloadRetiring sends unload orders for retiring replicas without runs.
func (s *Scheduler) unloadRetiring(now time.Time) {
	for _, t := range s.sortedTargets {
		if t.phase != noOrder || t.plan != nil || now.Before(t.nextOrderAt) || !t.healthy(now) {
			continue
		}
		if name, ok := t.retiringReplica(); ok {
			s.sendOrder(now, t, Order{Operation: Unload, Model: name}, 0)
		}
	}
}

// retiringReplica returns the retiring replica without runs whose model name
// sorts first, or false if there is none.
func (t *target) retiringReplica() (string, bool) {
	name, ok := "", false
	for n, r := range t.replicas {
		if r.retiring && r.runs == 0 && (!ok || n < name) {
			name, ok = n, true
		}
	}
	return name, ok
}

// recordRemovedTarget stores which models a removed target may still have loaded.
func (s *Scheduler) recordRemovedTarget(now time.Time, t *target) {
	info := *t.info
	info.Models = nil
	for name, r := range t.replicas {
		loaded := inventory.LoadedModel{Name: name}
		for a := range r.adapters {
			loaded.Adapters = append(loaded.Adapters, a)
		}
		info.Models = append(info.Models, loaded)
	}
	if t.order != nil && t.order.Operation == Load && t.replicas[t.order.Model] == nil {
		info.Models = append(info.Models, inventory.LoadedModel{Name: t.order.Model})
	}
	if t.phase == orderSent {
		t.recordLateOrder(now, t.order)
	}
	s.removedTargets = append(s.removedTargets, removedTarget{&info, t.lateOrders, now.Add(removedTargetHold)})
}

// expireRemovedTargets discards the removed targets that are listed again and
// those that have expired.
func (s *Scheduler) expireRemovedTargets(now time.Time) {
	s.removedTargets = slices.DeleteFunc(s.removedTargets, func(removed removedTarget) bool {
		return s.targets[removed.info.ID] != nil || !now.Before(removed.expiresAt)
	})
}
