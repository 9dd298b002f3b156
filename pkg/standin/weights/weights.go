// Package weights is the stand-in for the rate-limited weight store: loads
// start at a bounded rate, and beyond a number of parallel loads all of them
// slow down in proportion.
package weights

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// progressStep is how often a running load recomputes its speed.
const progressStep = 5 * time.Millisecond

// Options describe the store.
type Options struct {
	// LoadsPerSecond is the rate at which loads may start.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of parallel loads at full speed.
	FullSpeedLoads int
}

// Store is the weight store. Its methods may be called concurrently.
type Store struct {
	limiter *rate.Limiter
	full    int

	mu      sync.Mutex // guards all below
	active  int
	slow    float64
	started int
	peak    int
}

// New returns a store at normal speed.
func New(o Options) *Store {
	burst := max(1, o.FullSpeedLoads)
	return &Store{limiter: rate.NewLimiter(rate.Limit(o.LoadsPerSecond), burst), full: burst, slow: 1}
}

// SetSlowdown makes every load take factor times as long.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Stats returns the number of loads started and the most at one time.
func (s *Store) Stats() (started, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, s.peak
}

// Fetch takes as long as a load whose duration alone at full speed is d.
func (s *Store) Fetch(ctx context.Context, d time.Duration) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	s.enter()
	defer s.leave()
	for remaining := d; remaining > 0; {
		stretch := s.stretch()
		began := time.Now()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(min(progressStep, remaining)) * stretch)):
		}
		remaining -= time.Duration(float64(time.Since(began)) / stretch)
	}
	return nil
}

func (s *Store) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.started++
	s.peak = max(s.peak, s.active)
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// stretch returns by how much loads take longer at the moment.
func (s *Store) stretch() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow * max(1, float64(s.active)/float64(s.full))
}
