package membership

import (
	"context"
	"errors"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/platform"
)

// TargetsKnown tells whether the VM list has been heard of since the start.
func (s *Service) TargetsKnown() bool { return s.targets.list() != nil }

// ReadEpoch reads the epoch of a zone's roster from the key-value service;
// 0 when the zone has none.
func (s *Service) ReadEpoch(ctx context.Context, zone fleet.Zone) (fleet.Epoch, error) {
	entry, err := s.kv.Get(ctx, rosterKey(zone))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the roster of zone %s: %w", zone, err)
	}
	r, err := decodeRoster(entry)
	if err != nil {
		return 0, err
	}
	return r.Epoch, nil
}

// Members returns the members of all zones' rosters, live or not.
func (s *Service) Members() []fleet.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Node
	for _, r := range s.core.Rosters().Rosters {
		out = append(out, r.Members...)
	}
	return out
}
