package membership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondturn/pkg/platform"
)

// Guard is the key-value service as the node's other packages see it. It
// learns from the outcome of each call whether the service is up and whether
// it came back older than known, and refuses changes while it is older.
type Guard struct {
	platform.KV
	service *Service
}

// Guard returns the guarded form of the key-value service.
func (s *Service) Guard(kv platform.KV) *Guard { return &Guard{KV: kv, service: s} }

// Get implements platform.KV.
func (g *Guard) Get(ctx context.Context, key string) (platform.Entry, error) {
	e, err := g.KV.Get(ctx, key)
	g.report(ctx, e.ModRevision, err)
	return e, err
}

// List implements platform.KV.
func (g *Guard) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	floor := g.service.revisionFloor()
	entries, revision, err := g.KV.List(ctx, prefix)
	if err == nil {
		g.service.checkFloor(floor, revision)
	}
	g.report(ctx, revision, err)
	return entries, revision, err
}

// CompareAndSwap implements platform.KV.
func (g *Guard) CompareAndSwap(ctx context.Context, key string, value []byte, expect platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	floor := g.service.revisionFloor()
	if floor.older {
		return 0, fmt.Errorf("write %q: the service is older than known: %w", key, platform.ErrUnavailable)
	}
	revision, err := g.KV.CompareAndSwap(ctx, key, value, expect, lease)
	if err == nil {
		g.service.checkFloor(floor, revision)
	}
	g.report(ctx, revision, err)
	return revision, err
}

// Delete implements platform.KV.
func (g *Guard) Delete(ctx context.Context, key string, expect platform.Revision) error {
	if g.service.revisionFloor().older {
		return fmt.Errorf("delete %q: the service is older than known: %w", key, platform.ErrUnavailable)
	}
	err := g.KV.Delete(ctx, key, expect)
	g.report(ctx, 0, err)
	return err
}

// report passes on what a call tells of the service. A call that its own
// caller gave up tells nothing.
func (g *Guard) report(ctx context.Context, revision platform.Revision, err error) {
	unavailable := errors.Is(err, platform.ErrUnavailable)
	if ctx.Err() != nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		return
	}
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ReportService(s.clock.Now(), !unavailable, revision)
}

// floor is what was known of the service when a call began.
type floor struct {
	generation uint64
	revision   uint64
	older      bool
}

func (s *Service) revisionFloor() floor {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.core.service
	return floor{generation: k.generation, revision: k.revision, older: k.older}
}

func (s *Service) checkFloor(f floor, revision platform.Revision) {
	if uint64(revision) >= f.revision {
		return
	}
	s.apply(func(now time.Time) []Action {
		return s.core.FoundOlder(now, f.generation, f.revision, uint64(revision))
	})
}

// ResetWatches ends the watches that share one call, after one of them was
// found to have missed a change.
func (g *Guard) ResetWatches() {
	if shared, ok := g.KV.(interface{ ResetWatches() }); ok {
		shared.ResetWatches()
	}
}
