package scheduler

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/keepalive"
)

// replicaKey returns the key of the model in the keep-alive policy.
func (k modelKey) replicaKey() fleet.ReplicaKey {
	return fleet.ReplicaKey{Service: fleet.Service(k.service), Model: k.model}
}

// idleWeight returns the price of an idle accelerator second of the service in
// seconds of cold start, 0 if replicas stay loaded until others need the memory.
func (s *Scheduler) idleWeight(service string) float64 {
	svc := s.services[service]
	if svc == nil || svc.Engine == nil {
		return 0
	}
	return svc.Engine.IdleWeight
}

// keepalivePolicy returns the keep-alive policy and creates it on first use.
func (s *Scheduler) keepalivePolicy() *keepalive.Policy {
	if s.keepalive == nil {
		s.keepalive = keepalive.NewPolicy(keepalive.DefaultOptions())
	}
	return s.keepalive
}

// recordArrival passes the idle gap that a request ends to the keep-alive policy.
func (s *Scheduler) recordArrival(now time.Time, k modelKey) {
	d := s.demandOf(k)
	if s.idleWeight(k.service) <= 0 || d.idleSince.IsZero() || s.modelState(now, k).runs > 0 {
		return
	}
	s.keepalivePolicy().ObserveGap(k.replicaKey(), now.Sub(d.idleSince))
	d.idleSince = time.Time{}
}

// recordLoad passes a load of the model to the keep-alive policy: its expected
// time, because the load has only just been ordered, and the number of requests
// that wait for it.
func (s *Scheduler) recordLoad(k modelKey, expected time.Duration) {
	if weight := s.idleWeight(k.service); weight > 0 {
		s.keepalivePolicy().SetIdleCost(k.replicaKey(), 0, weight)
		s.keepalivePolicy().ObserveLoad(k.replicaKey(), expected, s.waitingByModel[k])
	}
}

// exceedsIdleWindow reports whether a replica without runs has been idle for
// longer than the keep-alive policy keeps it loaded.
func (s *Scheduler) exceedsIdleWindow(now time.Time, k modelKey, r *replica) bool {
	if s.idleWeight(k.service) <= 0 || r.runs > 0 || s.waitingByModel[k] > 0 {
		return false
	}
	idle := now.Sub(r.lastUsed)
	return idle > minIdleTime && idle > s.keepalivePolicy().Window(k.replicaKey(), now)
}

// minIdleTime is the shortest idle time after which a replica is unloaded because
// of its idle weight, so that it stays loaded between two requests of one burst.
const minIdleTime = time.Second
