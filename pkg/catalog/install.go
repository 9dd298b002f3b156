package catalog

import (
	"fmt"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

func unknownTeam(team fleet.Team) error {
	return fault.New(fault.UnknownPath, "team %q does not exist", team)
}

// missing returns the chunks of a head that the node does not hold.
func (s *Service) missing(h *Head, have map[Digest][]byte) []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Digest
	for _, d := range h.Chunks {
		if _, ok := s.chunks[d]; ok {
			continue
		}
		if _, ok := have[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// install puts a head in force when it follows the one in force, with extra
// chunks to those that the node holds. The decision and the swap are one
// critical section, so that revisions in force only rise.
func (s *Service) install(head *Head, value []byte, extra map[Digest][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current *Head
	if st := s.teams[head.Team]; st != nil {
		current = st.head
	}
	switch compareHeads(head, current) {
	case relationSame, relationOlder:
		return nil
	case relationForked:
		s.forkedLocked(head, current)
		return fault.New(fault.PlatformUnavailable, "team %q: revision %d does not descend from revision %d in force", head.Team, head.Revision, current.Revision)
	}
	data := make([][]byte, len(head.Chunks))
	for i, d := range head.Chunks {
		chunk, ok := s.chunks[d]
		if !ok {
			chunk, ok = extra[d]
		}
		if !ok {
			return fmt.Errorf("team %q: chunk %s: %w", head.Team, d, errChunkMissing)
		}
		data[i] = chunk
	}
	spec, err := decodeTeam(data)
	if err != nil {
		return fmt.Errorf("team %q at revision %d: %w", head.Team, head.Revision, err)
	}
	spec.Team = head.Team
	s.swapLocked(head, value, data, spec)
	return nil
}

func (s *Service) swapLocked(head *Head, value []byte, data [][]byte, spec *TeamSpec) {
	old := s.teams[head.Team]
	s.teams[head.Team] = &teamState{head: head, value: value}
	for i, d := range head.Chunks {
		s.chunks[d] = data[i]
	}
	if old != nil {
		s.dropChunksLocked(old.head)
	}
	s.store.Swap(s.store.Load().With(spec, platform.Revision(head.Revision)))
	installs.Inc()
	event.CatalogInForce.Log(&s.log).Str("team", string(head.Team)).Uint64("revision", head.Revision).Str("author", head.Author).Send()
}

// dropChunksLocked forgets the chunks of a former head that no head in force has.
func (s *Service) dropChunksLocked(old *Head) {
	used := map[Digest]bool{}
	for _, st := range s.teams {
		for _, d := range st.head.Chunks {
			used[d] = true
		}
	}
	for _, d := range old.Chunks {
		if !used[d] {
			delete(s.chunks, d)
		}
	}
}

func (s *Service) forkedLocked(head, current *Head) {
	if s.older[head.Team] {
		return
	}
	s.older[head.Team] = true
	alarms.Inc()
	event.CatalogForked.Log(&s.log).Str("team", string(head.Team)).Uint64("in_force", current.Revision).Uint64("refused", head.Revision).Send()
}
