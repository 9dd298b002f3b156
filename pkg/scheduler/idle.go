package scheduler

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/keepalive"
)

// replicaKey is the key under which the keep-alive policy knows a model.
func (k modelKey) replicaKey() fleet.ReplicaKey {
	return fleet.ReplicaKey{Service: fleet.Service(k.service), Model: k.model}
}

// idleWeight returns the price of an idle accelerator second of the service,
// 0 when replicas stay loaded until others need the memory.
func (s *Scheduler) idleWeight(service string) float64 {
	svc := s.services[service]
	if svc == nil || svc.Engine == nil {
		return 0
	}
	return svc.Engine.IdleWeight
}

// policy returns the keep-alive policy, which learns from the first request on.
func (s *Scheduler) policy() *keepalive.Policy {
	if s.keepalive == nil {
		s.keepalive = keepalive.NewPolicy(keepalive.DefaultOptions())
	}
	return s.keepalive
}

// noteArrival learns the length of the idle gap that a request ends.
func (s *Scheduler) noteArrival(now time.Time, k modelKey) {
	d := s.demandOf(k)
	if s.idleWeight(k.service) <= 0 || d.idleSince.IsZero() || s.state(now, k).runs > 0 {
		return
	}
	s.policy().ObserveGap(k.replicaKey(), now.Sub(d.idleSince))
	d.idleSince = time.Time{}
}

// noteLoad learns what a cold start of the model costs.
func (s *Scheduler) noteLoad(k modelKey, expected time.Duration) {
	if weight := s.idleWeight(k.service); weight > 0 {
		s.policy().SetIdleCost(k.replicaKey(), 0, weight)
		s.policy().ObserveLoad(k.replicaKey(), expected, s.awaited[k])
	}
}

// idleTooLong tells whether a replica without runs is not worth its memory.
func (s *Scheduler) idleTooLong(now time.Time, k modelKey, r *replica) bool {
	if s.idleWeight(k.service) <= 0 || r.runs > 0 || s.awaited[k] > 0 {
		return false
	}
	idle := now.Sub(r.lastUsed)
	return idle > leastIdle && idle > s.policy().Window(k.replicaKey(), now)
}

// leastIdle keeps replicas between two requests of one burst.
const leastIdle = time.Second
