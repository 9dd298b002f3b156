package catalog

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// stepInterval is the longest wait between two looks at what is due.
const stepInterval = 100 * time.Millisecond

// Service keeps the catalog of one node in force: it learns of new heads
// from the key-value service and from peers, fetches what it misses, and
// swaps the snapshot. A team's revision never goes down.
type Service struct {
	opts  Options
	self  fleet.Node
	kv    platform.KV
	repo  *Repository
	net   peer.Network
	view  func() *peer.View
	clock platform.Clock
	log   zerolog.Logger
	store *Store
	start time.Time

	mu    sync.Mutex // guards all below; never held during a call
	teams map[fleet.Team]*teamState
	// chunks holds the chunks of the heads in force.
	chunks  map[Digest][]byte
	pending map[fleet.Team]candidate
	// older holds the teams whose subtree in the key-value service is older
	// than the one in force, or does not descend from it.
	older map[fleet.Team]bool
	// forks holds the write of a peer's subtree that does not descend from
	// the one in force here.
	forks      map[fleet.Team]string
	listed     bool
	peerSynced bool

	ready    atomic.Bool
	wake     chan struct{}
	platform platformLoop
	exchange exchangeLoop
}

// teamState is a subtree in force.
type teamState struct {
	head  *Head
	value []byte
}

// New returns a catalog service and sets its handlers in router. view returns
// the members as the node sees them; store receives the snapshots.
func New(opts Options, self fleet.Node, kv platform.KV, net peer.Network, router *peer.Router, view func() *peer.View, clock platform.Clock, log zerolog.Logger, store *Store) *Service {
	s := &Service{
		opts: opts, self: self, kv: kv, net: net, view: view, clock: clock, log: log, store: store,
		start:   clock.Now(),
		teams:   map[fleet.Team]*teamState{},
		chunks:  map[Digest][]byte{},
		pending: map[fleet.Team]candidate{},
		older:   map[fleet.Team]bool{},
		forks:   map[fleet.Team]string{},
		wake:    make(chan struct{}, 1),
	}
	s.repo = NewRepository(opts, kv, clock, s)
	router.Handle(wire.TypeCatalogDigest, s.handleDigest)
	router.Handle(wire.TypeCatalogFetch, s.handleFetch)
	router.Handle(wire.TypeCatalogParts, s.handleParts)
	return s
}

// Run keeps the catalog in force until ctx ends. The key-value service has a
// loop of its own, so that its delays do not hold up what peers tell.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.runPlatform(ctx) })
	wg.Go(func() { s.runExchange(ctx) })
	wg.Go(func() { s.runPending(ctx) })
	wg.Wait()
	s.closeWatch()
	return nil
}

func (s *Service) runPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		s.StepPlatform(ctx)
		select {
		case <-ctx.Done():
		case ev, open := <-s.platform.events:
			s.watchEvent(ctx, ev, open)
		case <-time.After(stepInterval):
		}
	}
}

func (s *Service) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		s.stepExchange(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(stepInterval):
		}
	}
}

func (s *Service) runPending(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.takePending(ctx)
		}
	}
}

// Chunk implements ChunkSource.
func (s *Service) Chunk(d Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[d]
	return data, ok
}

// Ready tells whether the node has loaded the catalog since its start.
func (s *Service) Ready() bool { return s.ready.Load() }

// Repository returns the access to the key-value service that admin uses.
func (s *Service) Repository() *Repository { return s.repo }

// Snapshot returns the snapshot in force.
func (s *Service) Snapshot() *Snapshot { return s.store.Load() }

// Head returns the head in force of a team; nil when the node has none.
func (s *Service) Head(team fleet.Team) *Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.teams[team]; st != nil {
		return st.head
	}
	return nil
}

// Older lists the teams whose subtree in the key-value service is older than
// the one in force.
func (s *Service) Older() []fleet.Team {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]fleet.Team, 0, len(s.older))
	for team := range s.older {
		out = append(out, team)
	}
	slices.Sort(out)
	return out
}

// Sum sums up the heads in force; equal sums mean equal catalogs. It goes
// into heartbeats.
func (s *Service) Sum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sumLocked()
}

func (s *Service) sumLocked() uint64 {
	var sum uint64
	for team, st := range s.teams {
		sum += xxhash.Sum64String(string(team) + "\x00" + st.head.WriteID)
	}
	return sum
}

func (s *Service) revisionsLocked() map[fleet.Team]uint64 {
	out := make(map[fleet.Team]uint64, len(s.teams))
	for team, st := range s.teams {
		out[team] = st.head.Revision
	}
	return out
}

// Apply makes a change through this node, puts it in force here and sends it
// to the peers. A node that is not ready refuses: it does not know yet whether
// the key-value service is older than what peers have in force.
func (s *Service) Apply(ctx context.Context, c Change) (*Committed, error) {
	if !s.ready.Load() {
		return nil, fault.New(fault.PlatformUnavailable, "this node is starting and has not loaded the settings yet; use another one")
	}
	c.InForce = s.Head(c.Spec.Team)
	done, err := s.repo.Apply(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := s.install(done.Head, done.Value, chunkMap(done.Chunks)); err != nil {
		return nil, err
	}
	if !done.Unchanged {
		s.push("", done.Head, done.Value, done.Fresh)
	}
	return done, nil
}

// Restore writes the subtree in force over an older one in the key-value
// service, as its next revision.
func (s *Service) Restore(ctx context.Context, team fleet.Team, author string) (*Committed, error) {
	head := s.Head(team)
	spec, ok := s.Snapshot().Team(team)
	if head == nil || !ok {
		return nil, unknownTeam(team)
	}
	return s.Apply(ctx, Change{Spec: spec, Expect: head.Revision, Author: author, Restore: true})
}

// push sends a new head to a zone, or to all; with its new chunks when they
// are small enough.
func (s *Service) push(zone fleet.Zone, head *Head, value []byte, fresh []Chunk) {
	m := &wire.CatalogParts{Heads: []wire.CatalogHead{{Team: head.Team, Revision: head.Revision, Value: value}}}
	size := 0
	for _, c := range fresh {
		size += len(c.Data)
		m.Chunks = append(m.Chunks, c.Data)
	}
	if size > s.opts.MaxPushBytes {
		m.Chunks = nil
	}
	s.net.Broadcast(zone, m)
}

func chunkMap(chunks []Chunk) map[Digest][]byte {
	out := make(map[Digest][]byte, len(chunks))
	for _, c := range chunks {
		out[c.Digest] = c.Data
	}
	return out
}

// wakePeers makes the peers' loop look at what is pending.
func (s *Service) wakePeers() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
