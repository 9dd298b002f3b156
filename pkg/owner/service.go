package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

const (
	// tickInterval is the time between two looks at each target.
	tickInterval = 25 * time.Millisecond
	// scanInterval is the time between two looks for new targets.
	scanInterval = 200 * time.Millisecond
	// vmListInterval is the time between two reads of the VM list while
	// some target's former owners are not settled.
	vmListInterval = time.Second
	// goneAfter is how long a target is missing on the VM list before it
	// counts as gone.
	goneAfter = 10 * time.Second
	// callTimeout bounds a call to another node or the key-value service.
	callTimeout = 5 * time.Second
)

// Service runs the target owner of every target that the roster assigns to
// this node.
type Service struct {
	opts  Options
	deps  Deps
	slots *slotReader
	// roster reads the epoch of the zone's roster.
	roster *batch[fleet.Epoch]
	// holders hand out this zone's share of the budgets when this node is asked.
	holders map[wire.BudgetKind]*holder

	mu       sync.Mutex // guards all below
	runners  map[fleet.TargetID]*runner
	previous previousView
	entries  entryList
	missing  map[fleet.TargetID]time.Time
	known    map[fleet.TargetID]fleet.Target
	stopping bool
	// goneEpoch is the epoch in which the slots of targets that are not on
	// the VM list were last looked for.
	goneEpoch fleet.Epoch

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// previousView is the roster in force before the present one.
type previousView struct {
	current *peer.View
	before  *peer.View // nil when an epoch was missed
}

// entryList is what is known of the entry VMs of the own zone.
type entryList struct {
	listed []fleet.NodeID
	known  bool
	seen   map[fleet.NodeID]bool
	readAt time.Time
}

// New returns a service; Start runs it.
func New(opts Options, deps Deps) *Service {
	if deps.KeepAlive == nil {
		deps.KeepAlive = FixedKeepAlive(opts.KeepAlive)
	}
	s := &Service{
		opts:    opts,
		deps:    deps,
		slots:   newSlotReader(deps.KV),
		runners: map[fleet.TargetID]*runner{},
		entries: entryList{seen: map[fleet.NodeID]bool{}},
		missing: map[fleet.TargetID]time.Time{},
		holders: newHolders(opts.Budget, deps.Self, deps.Clock.Now()),
		known:   map[fleet.TargetID]fleet.Target{},
	}
	s.roster = newBatch(func(ctx context.Context) (fleet.Epoch, error) { return deps.Roster(ctx, deps.Self.Zone) })
	s.ctx, s.cancel = context.WithCancel(context.Background())
	deps.Router.Handle(wire.TypeLoad, s.handleLoad)
	deps.Router.Handle(wire.TypeRelease, s.handleRelease)
	deps.Router.Handle(wire.TypeSettle, s.handleSettle)
	deps.Router.Handle(wire.TypeBudgetBorrow, s.handleBorrow)
	return s
}

// Start begins to own targets.
func (s *Service) Start(context.Context) error {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.run()
	}()
	return nil
}

// Stop takes no new loads and waits, up to the context's end, until the
// targets have new owners that were told of every open order. Call it while
// the node leaves the roster and its inner listener still serves.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !s.handedOver() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	s.cancel()
	s.done.Wait()
	return nil
}

// handedOver tells that this node owns nothing and no order is under way.
func (s *Service) handedOver() bool {
	for _, r := range s.all() {
		if !r.handedOver() {
			return false
		}
	}
	return true
}

func (s *Service) all() []*runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*runner, 0, len(s.runners))
	for _, r := range s.runners {
		out = append(out, r)
	}
	return out
}

func (s *Service) run() {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		s.scan()
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// scan follows the view and starts a runner for each target that is owned.
func (s *Service) scan() {
	view := s.deps.View()
	s.noteView(view)
	targets, ok := s.deps.Directory.Targets()
	if !ok {
		return
	}
	s.noteTargets(targets)
	s.findGone(view)
	for _, t := range targets {
		if t.Zone == s.deps.Self.Zone && t.Kind != fleet.TargetPlain && s.owns(view, t.ID) {
			s.runner(t)
		}
	}
	if s.unsettled() {
		s.readEntries()
	}
}

func (s *Service) owns(v *peer.View, id fleet.TargetID) bool {
	owner, ok := v.TargetOwner(id)
	return ok && v.Member && owner == s.deps.Self.ID
}

// noteView keeps the roster before the present one, and every member seen.
func (s *Service) noteView(v *peer.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range slices.Concat(v.Roster, v.Live) {
		if n.Zone == s.deps.Self.Zone {
			s.entries.seen[n.ID] = true
		}
	}
	p := &s.previous
	if p.current != nil && v.Epoch != p.current.Epoch {
		p.before = nil
		if v.Epoch == p.current.Epoch+1 {
			p.before = p.current
		}
	}
	p.current = v
}

// noteTargets follows which targets are missing on the VM list.
func (s *Service) noteTargets(targets []fleet.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	listed := map[fleet.TargetID]bool{}
	for _, t := range targets {
		listed[t.ID] = true
		s.known[t.ID] = t
		delete(s.missing, t.ID)
	}
	for id := range s.runners {
		if _, since := s.missing[id]; !listed[id] && !since {
			s.missing[id] = now
		}
	}
}

// runner returns the runner of a target and starts it when there is none.
func (s *Service) runner(t fleet.Target) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runners[t.ID]
	if r != nil || s.ctx.Err() != nil {
		return r
	}
	r = newRunner(s, t)
	s.runners[t.ID] = r
	if _, ok := s.known[t.ID]; !ok {
		s.known[t.ID] = t
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		r.run()
	}()
	return r
}

// unsettled tells that some owned target waits for its former owners.
func (s *Service) unsettled() bool {
	return slices.ContainsFunc(s.all(), (*runner).unsettled)
}

// readEntries reads the entry VMs of the own zone from the VM list.
func (s *Service) readEntries() {
	now := s.deps.Clock.Now()
	s.mu.Lock()
	due := now.Sub(s.entries.readAt) >= vmListInterval
	if due {
		s.entries.readAt = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	s.spawn(func(ctx context.Context) {
		vms, _, err := s.deps.VMs.VMs(ctx)
		if err != nil {
			return
		}
		s.noteEntries(vms)
	})
}

func (s *Service) noteEntries(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.known = true
	s.entries.listed = nil
	for _, vm := range vms {
		if vm.Role == platform.VMEntry && vm.Zone == s.deps.Self.Zone {
			id := fleet.NodeID(vm.ID)
			s.entries.listed = append(s.entries.listed, id)
			delete(s.entries.seen, id)
		}
	}
	// Members that the lagging list does not show yet stay in the view.
	for id := range s.entries.seen {
		if !inView(s.previous.current, id) {
			delete(s.entries.seen, id)
		}
	}
}

func inView(v *peer.View, id fleet.NodeID) bool {
	is := func(n fleet.Node) bool { return n.ID == id }
	return v != nil && (slices.ContainsFunc(v.Roster, is) || slices.ContainsFunc(v.Live, is))
}

// spawn runs f with a bounded context; Stop waits for it.
func (s *Service) spawn(f func(ctx context.Context)) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		f(ctx)
	}()
}

// env returns the surroundings of a target's machine at this moment.
func (s *Service) env(id fleet.TargetID) Env {
	view := s.deps.View()
	s.noteView(view)
	now := s.deps.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Env{
		Now:        now,
		Epoch:      view.Epoch,
		Owner:      s.owns(view, id),
		EntryNodes: slices.Clone(s.entries.listed),
		EntryKnown: s.entries.known,
		Platform:   view.PlatformUp && !view.PlatformOlder,
		Older:      view.PlatformOlder,
		Catalog:    s.deps.Catalog.Load(),
		Target:     s.known[id],
		Stopping:   s.stopping,
	}
	for n := range s.entries.seen {
		e.EntryNodes = append(e.EntryNodes, n)
	}
	slices.Sort(e.EntryNodes)
	if since, missing := s.missing[id]; missing {
		e.Gone = now.Sub(since) >= goneAfter
	}
	if before := s.previous.before; before != nil && before.Epoch+1 == view.Epoch {
		e.PreviousEpoch = before.Epoch
		e.PreviousOwner, _ = before.TargetOwner(id)
	}
	return e
}
