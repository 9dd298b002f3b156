package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/wire"
)

func (s *Service) markListed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
}

// markPeerSynced notes that this node has everything that a ready peer had.
func (s *Service) markPeerSynced(theirs map[fleet.Team]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for team, revision := range theirs {
		st := s.teams[team]
		if st == nil || st.head.Revision < revision {
			return
		}
	}
	s.peerSynced = true
}

// settleReadiness decides whether the node may serve: once it has all that a
// ready peer had, or has listed the key-value service and no peer has been
// heard of for StartupWait. Peers come first because the service may have
// come back older than what they hold.
func (s *Service) settleReadiness(view *peer.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready.Load() {
		return
	}
	waited := s.clock.Now().Sub(s.start) >= s.opts.StartupWait
	if !s.peerSynced && (!s.listed || !waited) {
		return
	}
	s.ready.Store(true)
	event.CatalogReady.Log(&s.log).Int("teams", len(s.teams)).Bool("from_peers", s.peerSynced).Int("live_nodes", len(view.Live)).Send()
}

// NodeRevisions is what one node answers about the revisions in force on it.
type NodeRevisions struct {
	Node fleet.Node
	// Reached is false when the node did not answer.
	Reached   bool
	Ready     bool
	Revisions map[fleet.Team]uint64
	// Sum is the sum of the heads in force; equal catalogs have equal sums.
	Sum uint64
}

// InForce asks all live nodes which revisions of the given teams are in force
// there; none asks for all teams.
func (s *Service) InForce(ctx context.Context, teams ...fleet.Team) []NodeRevisions {
	view := s.view()
	nodes := slices.Clone(view.Live)
	if !slices.ContainsFunc(nodes, func(n fleet.Node) bool { return n.ID == s.self.ID }) {
		nodes = append(nodes, s.self)
	}
	out := make([]NodeRevisions, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() { out[i] = s.askRevisions(ctx, n, teams) })
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b NodeRevisions) int { return compareNodes(a.Node, b.Node) })
	return out
}

func compareNodes(a, b fleet.Node) int {
	if a.Zone != b.Zone {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

func (s *Service) askRevisions(ctx context.Context, n fleet.Node, teams []fleet.Team) NodeRevisions {
	if n.ID == s.self.ID {
		s.mu.Lock()
		defer s.mu.Unlock()
		return NodeRevisions{Node: n, Reached: true, Ready: s.ready.Load(), Revisions: s.revisionsLocked(), Sum: s.sumLocked()}
	}
	callCtx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	answer, err := s.net.Call(callCtx, n.ID, &wire.CatalogDigest{Teams: teams, Sum: sumOfNone})
	digest, ok := answer.(*wire.CatalogDigest)
	if err != nil || !ok {
		return NodeRevisions{Node: n}
	}
	return NodeRevisions{Node: n, Reached: true, Ready: digest.Ready, Revisions: digest.Revisions, Sum: digest.Sum}
}

// waitProbeInterval is the pause between two questions while waiting.
const waitProbeInterval = 20 * time.Millisecond

// WaitInForce waits until each live node has at least the given revision in
// force, or ctx ends. It returns the nodes that have not, none on success.
func (s *Service) WaitInForce(ctx context.Context, team fleet.Team, revision uint64) []NodeRevisions {
	for {
		lagging := slices.DeleteFunc(s.InForce(ctx, team), func(n NodeRevisions) bool {
			return n.Reached && n.Revisions[team] >= revision
		})
		if len(lagging) == 0 || !sleep(ctx, waitProbeInterval) {
			return lagging
		}
	}
}
