package owner

import (
	"context"

	"almondturn/fleet"
	"almondturn/pkg/peer"
)

// findGone looks, once per epoch, for slots of targets that are no longer on
// the VM list; their owner releases them.
func (s *Service) findGone(view *peer.View) {
	s.mu.Lock()
	due := view.Member && view.PlatformUp && view.Epoch != s.goneEpoch
	if due {
		s.goneEpoch = view.Epoch
	}
	s.mu.Unlock()
	if !due {
		return
	}
	s.spawn(func(ctx context.Context) {
		records, err := s.slots.all(ctx)
		if err != nil {
			s.mu.Lock()
			s.goneEpoch = 0 // try again at the next scan
			s.mu.Unlock()
			return
		}
		s.adoptGone(view, records)
	})
}

func (s *Service) adoptGone(view *peer.View, records map[string]StoredRecord) {
	for _, stored := range records {
		for _, slot := range stored.Record.Slots {
			if slot.Zone != s.deps.Self.Zone || !s.owns(view, slot.Target) {
				continue
			}
			s.runner(fleet.Target{ID: slot.Target, Zone: slot.Zone, Kind: fleet.TargetEngine})
		}
	}
}
