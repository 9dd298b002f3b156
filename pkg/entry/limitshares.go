package entry

import (
	"math"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/notices"
	"almondturn/pkg/ratelimit"
)

// limitShares holds this node's shares of the limits of targets, for requests without an
// owner. Its methods may be called concurrently.
type limitShares struct {
	node *Node

	mu      sync.Mutex // guards buckets
	buckets map[notices.Key]*ratelimit.Bucket
}

// bucket returns the share of a limit, which is created with its first use. s.mu must be
// held.
func (s *limitShares) bucket(now time.Time, k notices.Key, limit notices.RateLimit) *ratelimit.Bucket {
	share := ratelimit.WithoutOwner / float64(max(s.node.links.maxNodeCount(), 1))
	if b := s.buckets[k]; b != nil {
		b.SetRate(now, limit.PerSecond, share)
		return b
	}
	if s.buckets == nil {
		s.buckets = map[notices.Key]*ratelimit.Bucket{}
	}
	// Nodes begin at different times, so that their first requests do not coincide.
	debt := float64(fleet.RendezvousWeight(string(s.node.self.ID), k.Target)) / math.MaxUint64
	b := ratelimit.NewShare(now, limit.PerSecond, share, debt)
	s.buckets[k] = b
	return b
}

// reserve reserves a request as ratelimit.Bucket does.
func (s *limitShares) reserve(k notices.Key, limit notices.RateLimit, most time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.notices.Now()
	return s.bucket(now, k, limit).Reserve(now, most)
}

// wait returns the time until there is a request in the share.
func (s *limitShares) wait(k notices.Key, limit notices.RateLimit) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.node.notices.Now()
	return s.bucket(now, k, limit).Wait(now)
}

// peek returns the time until there is a request in the share as it was last used, and false if
// it was not used yet. It changes nothing.
func (s *limitShares) peek(k notices.Key) (wait time.Duration, used bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[k]
	if b == nil {
		return 0, false
	}
	c := *b
	return c.Wait(s.node.notices.Now()), true
}

// remove removes the share of a limit that has ended.
func (s *limitShares) remove(k notices.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, k)
}
