package membership

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// rosterPrefix is the part of the key-value service that holds the rosters.
const rosterPrefix = platform.SharedPrefix + "roster/"

func rosterKey(zone fleet.Zone) string { return rosterPrefix + string(zone) }

// encodeRoster returns the stored form, which lacks what only the service knows.
func encodeRoster(r wire.Roster) ([]byte, error) {
	r.Revision, r.Generation = 0, 0
	return cbor.Marshal(r)
}

func decodeRoster(e platform.Entry) (wire.Roster, error) {
	var r wire.Roster
	if err := cbor.Unmarshal(e.Value, &r); err != nil {
		return r, fmt.Errorf("roster at %q: %w", e.Key, err)
	}
	if rosterKey(r.Zone) != e.Key {
		return r, fmt.Errorf("roster at %q names zone %q", e.Key, r.Zone)
	}
	r.Revision = uint64(e.ModRevision)
	return r, nil
}

// ReadEpoch returns the epoch of a zone's roster as the key-value service
// holds it; 0 when there is none.
func ReadEpoch(ctx context.Context, kv platform.KV, zone fleet.Zone) (fleet.Epoch, error) {
	e, err := kv.Get(ctx, rosterKey(zone))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the roster of zone %q: %w", zone, err)
	}
	r, err := decodeRoster(e)
	return r.Epoch, err
}

func (s *Service) readRosters() {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.CallTimeout)
	defer cancel()
	rosters, revision, err := s.list(ctx)
	if s.ctx.Err() != nil {
		return
	}
	s.apply(func(now time.Time) []Action { return s.core.Read(now, rosters, revision, err) })
}

func (s *Service) list(ctx context.Context) ([]wire.Roster, platform.Revision, error) {
	entries, revision, err := s.kv.List(ctx, rosterPrefix)
	if err != nil {
		return nil, 0, fmt.Errorf("list rosters: %w", err)
	}
	var out []wire.Roster
	for _, e := range entries {
		r, err := decodeRoster(e)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, r)
	}
	return out, revision, nil
}

func (s *Service) writeRoster(w WriteRoster) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.CallTimeout)
	defer cancel()
	value, err := encodeRoster(w.Roster)
	var revision platform.Revision
	if err == nil {
		revision, err = s.kv.CompareAndSwap(ctx, rosterKey(w.Roster.Zone), value, w.Expect, 0)
	}
	if err != nil && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
		event.RosterWriteLost.Log(&s.log).Err(err).Str("write", w.Roster.WriteID).Send()
	}
	s.apply(func(now time.Time) []Action { return s.core.Written(now, revision, err) })
}

// startWatch follows the rosters until the watch fails or is ended.
func (s *Service) startWatch(w StartWatch) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	wanted := s.core.service.watching
	if wanted {
		s.stopWatch = cancel
	}
	s.mu.Unlock()
	if !wanted {
		cancel()
		return
	}
	s.spawn(func() {
		defer cancel()
		s.watch(ctx, w.After)
		if ctx.Err() == nil {
			s.apply(s.core.WatchEnded)
		}
	})
}

func (s *Service) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopWatch != nil && !s.core.service.watching {
		s.stopWatch()
		s.stopWatch = nil
	}
}

func (s *Service) watch(ctx context.Context, after platform.Revision) {
	events, err := s.kv.Watch(ctx, rosterPrefix, after)
	if err != nil {
		s.log.Debug().Err(err).Msg("watch of the rosters failed")
		return
	}
	for ev := range events {
		if ev.Deleted {
			return // the read that follows decides
		}
		r, err := decodeRoster(ev.Entry)
		if err != nil {
			s.log.Debug().Err(err).Msg("watch of the rosters")
			return
		}
		s.apply(func(now time.Time) []Action { return s.core.Watched(now, r) })
	}
}

func (s *Service) fetchRosters(from fleet.NodeID) {
	ctx, cancel := context.WithTimeout(s.ctx, s.opts.CallTimeout)
	defer cancel()
	answer, err := s.network.Call(ctx, from, &wire.RosterFetch{})
	if err != nil {
		return
	}
	if u, ok := answer.(*wire.RosterUpdate); ok {
		s.apply(func(now time.Time) []Action { return s.core.Told(now, u.Rosters) })
	}
}

// ErrNotOlder tells that there is no loss of data to acknowledge.
var ErrNotOlder = errors.New("the key-value service is not older than known")

// Acknowledge accepts that the key-value service has lost data: its present
// state is followed again, on all nodes.
func (s *Service) Acknowledge(ctx context.Context) error {
	if !s.View().PlatformOlder {
		return ErrNotOlder
	}
	_, revision, err := s.kv.List(ctx, rosterPrefix)
	if err != nil {
		return fmt.Errorf("read the service's revision: %w", err)
	}
	s.apply(func(now time.Time) []Action { return s.core.Acknowledge(now, revision) })
	return nil
}

// handle registers the handlers of membership's messages.
func (s *Service) handle(router *peer.Router) {
	router.Handle(wire.TypeHeartbeat, func(_ context.Context, from fleet.Node, m wire.Message) (wire.Message, error) {
		hb := m.(*wire.Heartbeat)
		s.apply(func(now time.Time) []Action { return s.core.Heard(now, from, *hb) })
		return nil, nil
	})
	router.Handle(wire.TypeRosterFetch, func(context.Context, fleet.Node, wire.Message) (wire.Message, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.Rosters(), nil
	})
	router.Handle(wire.TypeRosterUpdate, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		u := m.(*wire.RosterUpdate)
		s.apply(func(now time.Time) []Action { return s.core.Told(now, u.Rosters) })
		return nil, nil
	})
	router.Handle(wire.TypePeerList, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		l := m.(*wire.PeerList)
		s.apply(func(now time.Time) []Action { return s.core.Named(now, l.Nodes) })
		return nil, nil
	})
	router.Handle(wire.TypeAcknowledge, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		a := m.(*wire.Acknowledge)
		s.apply(func(now time.Time) []Action { return s.core.Acknowledged(now, *a) })
		return nil, nil
	})
	router.Handle(wire.TypeTargetList, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		s.takeList(m.(*wire.TargetList), false)
		return nil, nil
	})
}
