package membership

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Network is what membership needs of the mesh.
type Network interface {
	peer.Network
	// SetPeers replaces the nodes that are to be connected.
	SetPeers(nodes []fleet.Node)
}

// Service runs a Core: it carries out its actions, feeds it events, and
// publishes its view.
type Service struct {
	opts    Options
	self    fleet.Node
	network Network
	kv      platform.KV
	clock   platform.Clock
	log     zerolog.Logger

	view          atomic.Pointer[peer.View]
	catalogDigest atomic.Pointer[func() uint64]
	targets       *targetTable

	mu          sync.Mutex // guards all below
	core        *Core
	peers       []fleet.Node
	subscribers []chan struct{}
	stopWatch   context.CancelFunc
	stopped     bool

	// ctx ends with Stop; wg counts the goroutines.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a service and registers its handlers with the router. Give
// Heartbeat and Observe to the mesh before its start.
func New(opts Options, self fleet.Node, network Network, router *peer.Router, kv platform.KV, vms platform.VMLister,
	configured []fleet.Target, clock platform.Clock, log zerolog.Logger,
) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		opts: opts, self: self, network: network, kv: kv, clock: clock, log: log,
		core:    NewCore(opts, self, clock.Now()),
		targets: newTargetTable(vms, configured),
		ctx:     ctx, cancel: cancel,
	}
	s.view.Store(s.core.View(clock.Now()))
	s.handle(router)
	return s
}

// View returns the current view; it is never nil and never changes.
func (s *Service) View() *peer.View { return s.view.Load() }

// Subscribe returns a channel that receives after each change of the view.
// Changes in quick succession may be reported once.
func (s *Service) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// SetCatalogDigest sets the source of the digest that heartbeats carry.
func (s *Service) SetCatalogDigest(f func() uint64) { s.catalogDigest.Store(&f) }

// Start begins to follow the fleet.
func (s *Service) Start(context.Context) error {
	s.spawn(s.tickLoop)
	s.spawn(s.vmLoop)
	return nil
}

// Stop ends all goroutines. It does not leave the roster; see Leave.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
	return nil
}

// spawn runs f aside unless the service has stopped.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.wg.Go(f)
	}
}

func (s *Service) tickLoop() {
	ticker := time.NewTicker(s.opts.TickInterval)
	defer ticker.Stop()
	for {
		s.apply(s.core.Tick)
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// apply feeds one event to the core, publishes the view and carries the
// actions out.
func (s *Service) apply(step func(now time.Time) []Action) {
	s.mu.Lock()
	now := s.clock.Now()
	actions := step(now)
	s.publishLocked(now)
	s.mu.Unlock()
	for _, a := range actions {
		s.do(a)
	}
}

func (s *Service) publishLocked(now time.Time) {
	if !s.core.takeChanged() {
		return
	}
	if known := s.core.Known(); !slices.Equal(known, s.peers) {
		s.peers = known
		s.network.SetPeers(known)
	}
	old, next := s.view.Load(), s.core.View(now)
	if sameView(old, next) {
		return
	}
	s.view.Store(next)
	s.logChanges(old, next)
	for _, ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (s *Service) logChanges(old, next *peer.View) {
	switch {
	case old.PlatformUp && !next.PlatformUp:
		event.PlatformLost.Log(&s.log).Send()
	case !old.PlatformUp && next.PlatformUp:
		event.PlatformBack.Log(&s.log).Send()
	}
	if old.PlatformOlder && !next.PlatformOlder {
		event.PlatformAccepted.Log(&s.log).Send()
	}
	if old.Member && !next.Member {
		event.RosterNotMember.Log(&s.log).Uint64("epoch", uint64(next.Epoch)).Send()
	}
}

// do carries out one action; calls to the service and to peers run aside.
func (s *Service) do(a Action) {
	switch a := a.(type) {
	case ReadRosters:
		s.spawn(s.readRosters)
	case WriteRoster:
		s.logEviction(a.Roster)
		s.spawn(func() { s.writeRoster(a) })
	case StartWatch:
		s.startWatch(a)
	case StopWatch:
		s.endWatch()
	case FetchRosters:
		s.spawn(func() { s.fetchRosters(a.From) })
	case Send:
		s.network.Send(a.To, a.Message)
	case Broadcast:
		s.network.Broadcast(a.Zone, a.Message)
	case SendHeartbeats:
		s.network.Broadcast("", s.Heartbeat())
	case RosterAdopted:
		event.RosterChanged.Log(&s.log).Uint64("epoch", uint64(a.Roster.Epoch)).Int("members", len(a.Roster.Members)).Str("write", a.Roster.WriteID).Send()
	case ServiceOlder:
		event.PlatformOlder.Log(&s.log).Uint64("known", a.Known).Uint64("read", a.Read).Send()
	}
}

// logEviction names the members that a proposed roster lacks.
func (s *Service) logEviction(next wire.Roster) {
	for _, m := range s.View().Roster {
		stays := slices.ContainsFunc(next.Members, func(n fleet.Node) bool { return n.ID == m.ID })
		if !stays && m.ID != s.self.ID {
			event.RosterEvicting.Log(&s.log).Str("member", string(m.ID)).Uint64("epoch", uint64(next.Epoch)).Send()
		}
	}
}

// Heartbeat returns the next heartbeat; it is the mesh's heartbeat source.
func (s *Service) Heartbeat() *wire.Heartbeat {
	s.mu.Lock()
	hb := s.core.Heartbeat(s.clock.Now())
	s.mu.Unlock()
	if f := s.catalogDigest.Load(); f != nil {
		hb.CatalogDigest = (*f)()
	}
	return &hb
}

// Observe tells of a connection; it is the mesh's observer.
func (s *Service) Observe(node fleet.Node, connected bool) {
	if !connected {
		s.apply(func(now time.Time) []Action { return s.core.Lost(now, node.ID) })
		return
	}
	s.apply(func(now time.Time) []Action { return s.core.Connected(now, node) })
	if list := s.targets.list(); list != nil {
		s.network.Send(node.ID, list)
	}
}

// Rank returns this node's place among the live nodes of its zone for a
// duty that only the first few carry out.
func (s *Service) Rank(duty string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Rank(s.clock.Now(), duty)
}

// Leave marks this node as leaving at its peers and removes it from the
// roster. It returns when the roster in force is without it, or ctx ends.
func (s *Service) Leave(ctx context.Context) error {
	s.apply(s.core.Leave)
	ticker := time.NewTicker(s.opts.TickInterval)
	defer ticker.Stop()
	for s.View().Member {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
