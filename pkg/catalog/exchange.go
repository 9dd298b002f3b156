package catalog

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

// exchangeLoop is the state of the comparison with peers. Only the peers'
// loop touches it.
type exchangeLoop struct {
	nextDue time.Time
	offset  int
}

// candidate is a head that a peer told of and that may follow the one in force.
type candidate struct {
	revision uint64
	from     fleet.NodeID
	// head and value are nil until they are fetched.
	head   *Head
	value  []byte
	chunks map[Digest][]byte
}

// StepPeers does what is due towards peers: it compares revisions and fetches
// what is missing. Tests call it with their own clock; Run has a loop for each
// half, so that a silent peer does not hold up what others send.
func (s *Service) StepPeers(ctx context.Context) {
	s.stepExchange(ctx)
	s.takePending(ctx)
}

// stepExchange compares revisions with the next few live nodes when it is due.
func (s *Service) stepExchange(ctx context.Context) {
	view := s.view()
	now := s.clock.Now()
	if !now.Before(s.exchange.nextDue) {
		s.exchange.nextDue = now.Add(s.opts.ExchangeInterval)
		s.compareWithPeers(ctx, view)
	}
	s.settleReadiness(view)
}

// compareWithPeers asks the peers whose turn it is. The node is in step once
// it has all that a ready peer told.
func (s *Service) compareWithPeers(ctx context.Context, view *peer.View) {
	others := s.others(view)
	if len(others) == 0 {
		return
	}
	count := min(s.opts.ExchangePeers, len(others))
	answers := make([]*wire.CatalogDigest, count)
	var wg sync.WaitGroup
	for i := range count {
		to := others[(s.exchange.offset+i)%len(others)]
		wg.Go(func() { answers[i] = s.compareWith(ctx, to) })
	}
	wg.Wait()
	s.exchange.offset = (s.exchange.offset + count) % len(others)
	if s.ready.Load() {
		return
	}
	s.takePending(ctx)
	for _, a := range answers {
		if a != nil && a.Ready {
			s.markPeerSynced(a.Revisions)
		}
	}
}

// others returns the live nodes without this one, in an order that differs
// from node to node.
func (s *Service) others(view *peer.View) []fleet.NodeID {
	var out []fleet.NodeID
	for _, n := range view.Live {
		if n.ID != s.self.ID {
			out = append(out, n.ID)
		}
	}
	return fleet.Ranked(out, "exchange/"+string(s.self.ID))
}

// compareWith compares revisions with one peer: newer ones of the peer are
// noted, older ones are told. It returns nil without an answer.
func (s *Service) compareWith(ctx context.Context, to fleet.NodeID) *wire.CatalogDigest {
	exchanges.Inc()
	callCtx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	mine := &wire.CatalogDigest{Sum: s.Sum(), Ready: s.ready.Load()}
	if mine.Sum == 0 {
		mine.Sum = sumOfNone
	}
	answer, err := s.net.Call(callCtx, to, mine)
	if err != nil {
		return nil
	}
	theirs, ok := answer.(*wire.CatalogDigest)
	if !ok {
		return nil
	}
	if theirs.Sum != mine.Sum {
		s.wantNewer(to, theirs.Revisions)
		s.tellNewer(to, theirs.Revisions)
		if s.sameRevisions(theirs.Revisions) {
			s.findForks(callCtx, to)
		}
	}
	return theirs
}

// wantNewer notes the revisions of a peer that are above those in force.
func (s *Service) wantNewer(from fleet.NodeID, theirs map[fleet.Team]uint64) {
	for team, revision := range theirs {
		s.offer(team, candidate{revision: revision, from: from})
	}
}

// tellNewer sends a peer the heads that it lacks.
func (s *Service) tellNewer(to fleet.NodeID, theirs map[fleet.Team]uint64) {
	s.mu.Lock()
	m := &wire.CatalogParts{}
	for team, st := range s.teams {
		if st.head.Revision > theirs[team] {
			m.Heads = append(m.Heads, wire.CatalogHead{Team: team, Revision: st.head.Revision, Value: st.value})
		}
	}
	s.mu.Unlock()
	if len(m.Heads) > 0 {
		s.net.Send(to, m)
	}
}

// offer notes a candidate when it is above what is in force and pending.
func (s *Service) offer(team fleet.Team, c candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.teams[team]; st != nil && c.revision <= st.head.Revision {
		if c.head != nil && compareHeads(c.head, st.head) == relationForked {
			s.forkedLocked(c.head, st.head)
		}
		return
	}
	if old, ok := s.pending[team]; ok && (old.revision > c.revision || (old.revision == c.revision && old.head != nil)) {
		return
	}
	s.pending[team] = c
	s.wakePeers()
}

// takePending fetches and installs the candidates. One that fails is dropped:
// the next comparison brings it again, perhaps from another peer.
func (s *Service) takePending(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = map[fleet.Team]candidate{}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for team, c := range pending {
		wg.Go(func() { s.take(ctx, team, c) })
	}
	wg.Wait()
}

func (s *Service) take(ctx context.Context, team fleet.Team, c candidate) {
	if err := s.fetch(ctx, team, &c); err != nil {
		s.log.Debug().Str("team", string(team)).Str("from", string(c.from)).Err(err).Msg("subtree not fetched")
		return
	}
	if err := s.install(c.head, c.value, c.chunks); err != nil {
		event.CatalogUnreadable.Log(&s.log).Str("team", string(team)).Str("from", string(c.from)).Err(err).Send()
	}
}

// fetch completes a candidate from the peer that told of it.
func (s *Service) fetch(ctx context.Context, team fleet.Team, c *candidate) error {
	// The heads of one message share their map of chunks.
	own := map[Digest][]byte{}
	maps.Copy(own, c.chunks)
	c.chunks = own
	if c.head == nil {
		if err := s.fetchHead(ctx, team, c); err != nil {
			return err
		}
	}
	for {
		missing := s.missing(c.head, c.chunks)
		if len(missing) == 0 {
			return nil
		}
		before := len(c.chunks)
		if err := s.fetchChunks(ctx, missing, c); err != nil {
			return err
		}
		if len(c.chunks) == before {
			return fmt.Errorf("peer %q lacks %d chunks of team %q at revision %d", c.from, len(missing), team, c.head.Revision)
		}
	}
}

func (s *Service) fetchHead(ctx context.Context, team fleet.Team, c *candidate) error {
	parts, err := s.callFetch(ctx, c.from, &wire.CatalogFetch{Teams: []fleet.Team{team}})
	if err != nil {
		return err
	}
	i := slices.IndexFunc(parts.Heads, func(h wire.CatalogHead) bool { return h.Team == team })
	if i < 0 {
		return fmt.Errorf("peer %q has no head of team %q", c.from, team)
	}
	c.value = parts.Heads[i].Value
	c.head, err = decodeHead(c.value)
	return err
}

func (s *Service) fetchChunks(ctx context.Context, missing []Digest, c *candidate) error {
	ask := &wire.CatalogFetch{}
	for _, d := range missing {
		ask.Chunks = append(ask.Chunks, d[:])
	}
	parts, err := s.callFetch(ctx, c.from, ask)
	if err != nil {
		return err
	}
	for _, data := range parts.Chunks {
		fetchedBytes.Add(len(data))
		chunk := newChunk(data)
		if slices.Contains(missing, chunk.Digest) {
			c.chunks[chunk.Digest] = data
		}
	}
	return nil
}

func (s *Service) callFetch(ctx context.Context, from fleet.NodeID, ask *wire.CatalogFetch) (*wire.CatalogParts, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	answer, err := s.net.Call(callCtx, from, ask)
	if err != nil {
		return nil, fmt.Errorf("fetch from %q: %w", from, err)
	}
	parts, ok := answer.(*wire.CatalogParts)
	if !ok {
		return nil, fmt.Errorf("fetch from %q: unexpected answer of type %d", from, answer.Type())
	}
	return parts, nil
}

// sumOfNone stands for an empty catalog, which has to see the peer's list.
const sumOfNone = ^uint64(0)

// handleDigest answers a comparison.
func (s *Service) handleDigest(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	asked, ok := m.(*wire.CatalogDigest)
	if !ok {
		return nil, fmt.Errorf("digest handler got type %d", m.Type())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &wire.CatalogDigest{Sum: s.sumLocked(), Ready: s.ready.Load()}
	switch {
	case len(asked.Teams) > 0:
		answer.Revisions = map[fleet.Team]uint64{}
		for _, team := range asked.Teams {
			if st := s.teams[team]; st != nil {
				answer.Revisions[team] = st.head.Revision
			}
		}
	case asked.Sum != answer.Sum:
		answer.Revisions = s.revisionsLocked()
	}
	return answer, nil
}

// handleFetch answers with heads in force and with as many of the chunks as
// fit into one answer; the asker repeats its question for the rest.
func (s *Service) handleFetch(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	asked, ok := m.(*wire.CatalogFetch)
	if !ok {
		return nil, fmt.Errorf("fetch handler got type %d", m.Type())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &wire.CatalogParts{}
	for _, team := range asked.Teams {
		if st := s.teams[team]; st != nil {
			answer.Heads = append(answer.Heads, wire.CatalogHead{Team: team, Revision: st.head.Revision, Value: st.value})
		}
	}
	size := 0
	for _, raw := range asked.Chunks {
		var d Digest
		if d.UnmarshalBinary(raw) != nil {
			continue
		}
		data, ok := s.chunks[d]
		if !ok {
			continue
		}
		size += len(data)
		if size > s.opts.MaxAnswerBytes && len(answer.Chunks) > 0 {
			break
		}
		answer.Chunks = append(answer.Chunks, data)
	}
	return answer, nil
}

// handleParts takes heads that a peer sends unasked.
func (s *Service) handleParts(ctx context.Context, from fleet.Node, m wire.Message) (wire.Message, error) {
	parts, ok := m.(*wire.CatalogParts)
	if !ok {
		return nil, fmt.Errorf("parts handler got type %d", m.Type())
	}
	chunks := make(map[Digest][]byte, len(parts.Chunks))
	for _, data := range parts.Chunks {
		chunks[newChunk(data).Digest] = data
	}
	for _, h := range parts.Heads {
		head, err := decodeHead(h.Value)
		if err != nil {
			event.CatalogUnreadable.Log(&s.log).Str("from", string(from.ID)).Err(err).Send()
			continue
		}
		c := candidate{revision: head.Revision, from: from.ID, head: head, value: h.Value, chunks: chunks}
		if len(s.missing(head, chunks)) == 0 {
			s.take(ctx, head.Team, c)
			continue
		}
		s.offer(head.Team, c)
	}
	return &wire.Ack{}, nil
}
