package catalog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
)

// platformLoop is the state of the loop that reads the key-value service. Only
// that loop touches it.
type platformLoop struct {
	events  <-chan platform.WatchEvent
	cancel  context.CancelFunc
	nextDue time.Time
	// view is the one that rank and watchers were worked out from.
	view           *peer.View
	rank, watchers int
}

// StepPlatform does what is due towards the key-value service: it opens or
// closes the watch, takes its events, and lists the heads when it is this
// node's turn. Run calls it; tests call it with their own clock.
func (s *Service) StepPlatform(ctx context.Context) {
	view := s.view()
	if view != s.platform.view {
		s.platform.view = view
		s.platform.rank, s.platform.watchers = s.watchRank(view)
	}
	rank, watchers := s.platform.rank, s.platform.watchers
	if rank < 0 {
		s.closeWatch()
		s.platform.nextDue = time.Time{}
		s.settleReadiness(view)
		return
	}
	s.drainWatch(ctx)
	now := s.clock.Now()
	if s.platform.nextDue.IsZero() || !now.Before(s.platform.nextDue) {
		s.platform.nextDue = nextTurn(now, s.opts.PollInterval, rank, watchers)
		if !s.pollHeads(ctx) {
			s.platform.nextDue = now.Add(s.opts.PlatformRetry)
		}
	}
	s.settleReadiness(view)
}

// nextTurn returns the next time after now at which the watcher with the
// given rank lists the heads. The watchers take turns by the time of day, so
// that between them they list once per interval.
func nextTurn(now time.Time, interval time.Duration, rank, watchers int) time.Time {
	period := interval * time.Duration(watchers)
	phase := interval * time.Duration(rank)
	next := now.Truncate(period).Add(phase)
	for !next.After(now) {
		next = next.Add(period)
	}
	return next
}

// watchRank returns this node's place among the watchers of all zones, or -1
// when it is none, and their number. Each zone's watchers are the first of
// its live nodes by rendezvous ranking.
func (s *Service) watchRank(v *peer.View) (rank, watchers int) {
	live := v.Live
	if !slices.ContainsFunc(live, func(n fleet.Node) bool { return n.ID == s.self.ID }) {
		live = append(slices.Clone(live), s.self)
	}
	byZone := map[fleet.Zone][]fleet.NodeID{}
	for _, n := range live {
		byZone[n.Zone] = append(byZone[n.Zone], n.ID)
	}
	rank = -1
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		ranked := fleet.Ranked(byZone[zone], "watch/"+string(zone))
		ranked = ranked[:min(len(ranked), s.opts.WatchersPerZone)]
		if i := slices.Index(ranked, s.self.ID); i >= 0 {
			rank = watchers + i
		}
		watchers += len(ranked)
	}
	return rank, watchers
}

// pollHeads lists all heads, compares them with those in force and opens the
// watch behind the list. It returns false when the service does not answer.
func (s *Service) pollHeads(ctx context.Context) bool {
	before := s.headsInForce()
	callCtx, cancel := context.WithTimeout(ctx, s.opts.PlatformTimeout)
	defer cancel()
	entries, revision, err := s.kv.List(callCtx, prefixHead)
	if err != nil {
		return false
	}
	seen := map[fleet.Team]*Head{}
	missed := false
	for _, e := range entries {
		head, err := decodeHead(e.Value)
		if err != nil {
			event.CatalogUnreadable.Log(&s.log).Str("key", e.Key).Err(err).Send()
			continue
		}
		seen[head.Team] = head
		if compareHeads(head, before[head.Team]) == relationNewer {
			missed = true
			s.offerFromPlatform(ctx, head, e.Value)
		}
	}
	s.checkOlder(before, seen)
	s.markListed()
	if missed && s.platform.events != nil {
		watchMisses.Inc()
		event.CatalogWatchMissed.Log(&s.log).Send()
		s.resetWatch()
	}
	s.openWatch(ctx, revision)
	return true
}

// watchResetter is a KV whose watches share a connection.
type watchResetter interface{ ResetWatches() }

// resetWatch closes a watch that missed a change, and the connection that it
// shares with others.
func (s *Service) resetWatch() {
	s.closeWatch()
	if shared, ok := s.kv.(watchResetter); ok {
		shared.ResetWatches()
	}
}

func (s *Service) headsInForce() map[fleet.Team]*Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.Team]*Head, len(s.teams))
	for team, st := range s.teams {
		out[team] = st.head
	}
	return out
}

// checkOlder compares what the service holds with what was in force before it
// was asked. Calls are linearizable, so a head that was accepted before the
// call and does not show has been lost.
func (s *Service) checkOlder(before, seen map[fleet.Team]*Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for team, inForce := range before {
		head := seen[team]
		if head != nil {
			relation := compareHeads(head, inForce)
			if relation == relationForked {
				s.forkedLocked(head, inForce)
				continue
			}
			if relation != relationOlder {
				delete(s.older, team)
				continue
			}
		}
		if s.older[team] {
			continue
		}
		s.older[team] = true
		alarms.Inc()
		event.CatalogPlatformOlder.Log(&s.log).Str("team", string(team)).Uint64("in_force", inForce.Revision).Send()
	}
}

// offerFromPlatform puts a head from the key-value service in force, with the
// chunks that the node lacks, and tells the zone.
func (s *Service) offerFromPlatform(ctx context.Context, head *Head, value []byte) {
	if compareHeads(head, s.Head(head.Team)) != relationNewer {
		return
	}
	missing := s.missing(head, nil)
	callCtx, cancel := context.WithTimeout(ctx, s.opts.PlatformTimeout)
	defer cancel()
	data, err := s.repo.readChunks(callCtx, head.Team, missing)
	if err != nil {
		// The next list or a peer brings them.
		s.log.Debug().Str("team", string(head.Team)).Err(err).Msg("chunks not read")
		s.platform.nextDue = s.clock.Now().Add(s.opts.PlatformRetry)
		return
	}
	fresh := make([]Chunk, len(data))
	for i := range data {
		fresh[i] = Chunk{Digest: missing[i], Data: data[i]}
	}
	if err := s.install(head, value, chunkMap(fresh)); err != nil {
		event.CatalogUnreadable.Log(&s.log).Str("team", string(head.Team)).Err(err).Send()
		return
	}
	s.push(s.self.Zone, head, value, fresh)
}

func (s *Service) openWatch(ctx context.Context, after platform.Revision) {
	if s.platform.events != nil {
		return
	}
	watchCtx, cancel := context.WithCancel(ctx)
	events, err := s.kv.Watch(watchCtx, prefixHead, after)
	if err != nil {
		cancel()
		s.platform.nextDue = s.clock.Now().Add(s.opts.PlatformRetry)
		if errors.Is(err, platform.ErrCompacted) {
			s.platform.nextDue = s.clock.Now()
		}
		return
	}
	s.platform.events, s.platform.cancel = events, cancel
}

func (s *Service) closeWatch() {
	if s.platform.cancel != nil {
		s.platform.cancel()
	}
	s.platform.events, s.platform.cancel = nil, nil
}

// drainWatch takes the events that wait.
func (s *Service) drainWatch(ctx context.Context) {
	for s.platform.events != nil {
		select {
		case ev, open := <-s.platform.events:
			s.watchEvent(ctx, ev, open)
		default:
			return
		}
	}
}

// watchEvent takes one event. Events that repeat or come late change
// nothing. After the end of the watch the heads are listed at once.
func (s *Service) watchEvent(ctx context.Context, ev platform.WatchEvent, open bool) {
	if !open {
		if ctx.Err() == nil {
			event.CatalogWatchEnded.Log(&s.log).Send()
		}
		s.closeWatch()
		s.platform.nextDue = s.clock.Now()
		return
	}
	if ev.Deleted {
		return
	}
	head, err := decodeHead(ev.Entry.Value)
	if err != nil {
		event.CatalogUnreadable.Log(&s.log).Str("key", ev.Entry.Key).Err(err).Send()
		return
	}
	s.offerFromPlatform(ctx, head, ev.Entry.Value)
}
