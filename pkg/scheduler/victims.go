package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondturn/pkg/pace"
	"almondturn/pkg/route"
)

// victim is a replica that may be unloaded. Its value is the replicaValue of its
// model, plus closingTimeEstimate in seconds if it has runs; one request per second
// counts as much as one second. mb is the memory that it frees.
type victim struct {
	model    string
	value    float64
	lastUsed time.Time
	mb       float64
}

// chooseVictims adds the replicas to unload to the candidate, the least valuable
// first, and sets its score. It returns false if they don't free enough memory.
// Replicas with runs are chosen only if allowClosing is true.
func (s *Scheduler) chooseVictims(now time.Time, c *candidate, m *route.Model, e *route.Engine, allowClosing bool) bool {
	c.score = c.loadTime.Seconds()
	missingMB := m.WeightsMB - (e.WeightsMB - c.target.usedMB(e))
	if missingMB <= 0 {
		return true
	}
	if !allowClosing && c.target.idleReplicaMB(e) < missingMB {
		return false
	}
	for _, v := range s.victims(now, c.target, m, e, allowClosing) {
		c.victims = append(c.victims, v.model)
		c.score += v.value
		missingMB -= v.mb
		if missingMB <= 0 {
			return true
		}
	}
	return false
}

// victims returns the replicas that may be unloaded for the model, the least
// valuable first. Replicas with runs are among them only if allowClosing is true and
// their value does not exceed the rate of requests for the model. Replicas that are
// closing, not configured or of models with waiting requests are left out.
func (s *Scheduler) victims(now time.Time, t *target, m *route.Model, e *route.Engine, allowClosing bool) []victim {
	demandRate := s.demandOf(modelKey{t.info.Service, m.Name}).perSecond(now)
	var out []victim
	for name, r := range t.replicas {
		if r.closing || r.runs > 0 && !allowClosing || e.Models[name] == nil || s.hasWaiters(t.info.Service, name) {
			continue
		}
		k := modelKey{t.info.Service, name}
		value := s.replicaValue(now, k, e)
		if r.runs > 0 {
			if value > demandRate {
				continue // in more demand than the model to load
			}
			value += closingTimeEstimate.Seconds()
		}
		mb := float64(len(r.adapters))*e.Models[name].AdapterMB + e.Models[name].WeightsMB
		out = append(out, victim{model: name, value: value, lastUsed: r.lastUsed, mb: mb})
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.value, b.value), a.lastUsed.Compare(b.lastUsed), cmp.Compare(a.model, b.model))
	})
	return out
}

// replicaValue returns the estimated number of requests per second that would have
// to wait for a load if one replica of the model were unloaded.
func (s *Scheduler) replicaValue(now time.Time, k modelKey, e *route.Engine) float64 {
	if v, ok := s.replicaValues[k]; ok {
		return v
	}
	v := s.computeReplicaValue(now, k, e)
	s.replicaValues[k] = v
	return v
}

// computeReplicaValue returns the rate of requests for the model, scaled down if
// the zone has more replicas than it needs and the latency ratio is below
// quickStartRatio.
func (s *Scheduler) computeReplicaValue(now time.Time, k modelKey, e *route.Engine) float64 {
	rate := s.demandOf(k).perSecond(now)
	if s.modelState(now, k).ready > s.neededReplicas(now, k, e) && s.demandOf(k).latencyRatio < quickStartRatio {
		return excessReplicaWeight * rate
	}
	return rate
}

// neededReplicas returns the number of replicas for the model's demand in the
// zone. By Little's law, the number of concurrent runs is their rate times their
// mean duration.
func (s *Scheduler) neededReplicas(now time.Time, k modelKey, e *route.Engine) int {
	d := s.demandOf(k)
	running := d.perSecond(now) * s.timeAtReplicas(now, k, d.runDuration(), (*pace.Estimate).Lasting).Seconds()
	return max(int(math.Ceil(running/(plannedUtilization*float64(max(e.Slots, 1))))), 1)
}
