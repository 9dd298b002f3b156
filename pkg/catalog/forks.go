package catalog

import (
	"context"
	"maps"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/wire"
)

// sameRevisions tells whether a peer has the same revisions in force.
func (s *Service) sameRevisions(theirs map[fleet.Team]uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Equal(s.revisionsLocked(), theirs)
}

// findForks looks for the subtrees that differ from those of a peer although
// all revisions are the same.
func (s *Service) findForks(ctx context.Context, peer fleet.NodeID) {
	inForce := s.headsInForce()
	parts, err := s.callFetch(ctx, peer, &wire.CatalogFetch{Teams: slices.Collect(maps.Keys(inForce))})
	if err != nil {
		return
	}
	for _, h := range parts.Heads {
		theirs, err := decodeHead(h.Value)
		if err == nil {
			s.noteFork(peer, theirs)
		}
	}
}

// noteFork raises the alarm once for each pair of subtrees.
func (s *Service) noteFork(peer fleet.NodeID, theirs *Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.teams[theirs.Team]
	if st == nil || compareHeads(theirs, st.head) != relationForked || s.forks[theirs.Team] == theirs.WriteID {
		return
	}
	s.forks[theirs.Team] = theirs.WriteID
	alarms.Inc()
	event.CatalogPeerForked.Log(&s.log).Str("team", string(theirs.Team)).Str("peer", string(peer)).
		Uint64("revision", st.head.Revision).Str("write", st.head.WriteID).Str("peer_write", theirs.WriteID).Send()
}
