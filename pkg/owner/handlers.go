package owner

import (
	"context"
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/wire"
)

// handleLoad answers wire.Load once the replica is loaded or cannot be.
func (s *Service) handleLoad(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	req, ok := m.(*wire.Load)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	r := s.existing(req.Target)
	if r == nil {
		return loadResult(fault.New(fault.TargetUnreachable, "this node does not own target %s", req.Target)), nil
	}
	began := s.deps.Clock.Now()
	ch := make(chan *fault.Error, 1)
	r.mu.Lock()
	r.loads[req.Key] = append(r.loads[req.Key], ch)
	r.mu.Unlock()
	if !r.post(LoadWanted{Key: req.Key, Prefetch: req.Prefetch}) {
		return loadResult(fault.New(fault.ShuttingDown, "the target's owner is stopping")), nil
	}
	select {
	case err := <-ch:
		observeLoad(err, s.deps.Clock.Now().Sub(began))
		return loadResult(err), nil
	case <-ctx.Done():
		return nil, fmt.Errorf("load %s on %s: %w", req.Key, req.Target, ctx.Err())
	}
}

func loadResult(err *fault.Error) *wire.LoadResult {
	if err == nil {
		return &wire.LoadResult{Loaded: true}
	}
	return &wire.LoadResult{Code: err.Kind.String(), Message: err.Message}
}

// handleRelease answers wire.Release.
func (s *Service) handleRelease(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	req, ok := m.(*wire.Release)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	r := s.existing(req.Target)
	if r == nil {
		return &wire.Released{}, nil
	}
	ch := make(chan bool, 1)
	r.mu.Lock()
	r.releases[req.Key] = append(r.releases[req.Key], ch)
	r.mu.Unlock()
	if !r.post(ReleaseWanted{Key: req.Key}) {
		return &wire.Released{}, nil
	}
	select {
	case done := <-ch:
		return &wire.Released{Done: done}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("release %s on %s: %w", req.Key, req.Target, ctx.Err())
	}
}

// handleSettle gives a target up to the owner of a later epoch. A node that
// never owned the target notes the epoch, so that a late view does not make
// it an owner.
func (s *Service) handleSettle(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	req, ok := m.(*wire.Settle)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	r := s.runner(fleet.Target{ID: req.Target, Zone: s.deps.Self.Zone, Kind: fleet.TargetEngine})
	if r == nil {
		return nil, fault.New(fault.ShuttingDown, "the node is stopping")
	}
	ch := make(chan wire.Settled, 1)
	r.mu.Lock()
	r.settles = append(r.settles, ch)
	r.mu.Unlock()
	if !r.post(SettleWanted{Epoch: req.Epoch}) {
		return nil, fault.New(fault.ShuttingDown, "the node is stopping")
	}
	select {
	case settled := <-ch:
		return &settled, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("settle %s: %w", req.Target, ctx.Err())
	}
}

func (s *Service) existing(id fleet.TargetID) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[id]
}

// events maps reports to log events.
var events = map[ReportKind]event.Event{
	ReportTakenOver:    event.TargetTakenOver,
	ReportSettled:      event.TargetSettled,
	ReportLost:         event.TargetLost,
	ReportLoaded:       event.ReplicaLoaded,
	ReportLoadFailed:   event.ReplicaLoadFailed,
	ReportOrderUnknown: event.OrderOutcomeUnknown,
	ReportSlotReleased: event.SlotReleased,
	ReportNoSlot:       event.ReplicaWithoutSlot,
	ReportRestarted:    event.EngineRestarted,
}

func (s *Service) log(id fleet.TargetID, epoch fleet.Epoch, r Report) {
	l := events[r.Kind].Log(&s.deps.Logger).Str("target", string(id)).Uint64("epoch", uint64(epoch))
	if r.Key.Model != "" {
		l = l.Stringer("replica", r.Key)
	}
	if r.Text != "" {
		l = l.Str("detail", r.Text)
	}
	l.Send()
	countReport(r.Kind)
}
