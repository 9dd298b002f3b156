package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/placement"
	"almondturn/wire"
)

// permit is a load permit that this node holds.
type permit struct {
	id     string
	holder fleet.NodeID
}

// holder hands out the zone's share of one budget. Every node has one; the
// view decides whose is asked. A new holder starts with a full share, so
// that a handover can exceed a budget once; budgets are no safety limits.
type holder struct {
	mu      sync.Mutex // guards all below
	budget  *placement.Budget
	waiting map[string]chan struct{}
	// lenders are the nodes of other zones whose permit a load holds.
	lenders map[string]fleet.NodeID
}

func newHolders(opts BudgetOptions, self fleet.Node, now time.Time) map[wire.BudgetKind]*holder {
	zones := slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(opts.Zones), self.Zone))))
	index := slices.Index(zones, self.Zone)
	newHolder := func(perSecond float64, total int) *holder {
		return &holder{
			budget:  placement.NewBudget(perSecond, placement.Share(total, len(zones), index), now),
			waiting: map[string]chan struct{}{},
			lenders: map[string]fleet.NodeID{},
		}
	}
	return map[wire.BudgetKind]*holder{
		wire.BudgetStoreLoads: newHolder(opts.LoadsPerSecond/float64(len(zones)), opts.ConcurrentLoads),
		wire.BudgetAdapters:   newHolder(0, opts.ConcurrentAdapters),
	}
}

// zonesOf returns the other zones that the view shows.
func zonesOf(view *peer.View, own fleet.Zone) []fleet.Zone {
	var zones []fleet.Zone
	for _, n := range view.Live {
		if n.Zone != own {
			zones = append(zones, n.Zone)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// budgetHolder returns the live node of a zone that holds its budgets.
func budgetHolder(view *peer.View, zone fleet.Zone, kind wire.BudgetKind) (fleet.NodeID, bool) {
	var ids []fleet.NodeID
	for _, n := range view.Live {
		if n.Zone == zone {
			ids = append(ids, n.ID)
		}
	}
	return fleet.Owner(ids, "budget/"+string(kind))
}

// askBudget gets a load permit and calls granted once there is one. When the
// holder cannot be reached the load goes on without.
func (s *Service) askBudget(r *runner, a AskBudget) {
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		ctx, cancel := context.WithTimeout(s.ctx, s.opts.WantTimeout)
		defer cancel()
		p := permit{id: uuid.NewString(), holder: s.deps.Self.ID}
		if id, ok := budgetHolder(s.deps.View(), s.deps.Self.Zone, a.Budget); ok {
			p.holder = id
		}
		m := &wire.BudgetBorrow{Budget: a.Budget, Wanted: 1, Permit: p.id, Prefetch: a.Prefetch}
		if _, err := s.deps.Network.Call(ctx, p.holder, m); err != nil && s.ctx.Err() == nil {
			event.BudgetUnreachable.Log(&s.deps.Logger).Err(err).Str("holder", string(p.holder)).Send()
		}
		r.mu.Lock()
		r.permits[a.Budget] = append(r.permits[a.Budget], p)
		r.mu.Unlock()
		r.post(BudgetGranted{Key: a.Key, Budget: a.Budget})
	}()
}

// returnBudget gives back one of the target's permits.
func (s *Service) returnBudget(r *runner, a ReturnBudget) {
	r.mu.Lock()
	held := r.permits[a.Budget]
	if len(held) == 0 {
		r.mu.Unlock()
		return
	}
	p := held[0]
	r.permits[a.Budget] = held[1:]
	r.mu.Unlock()
	s.deps.Network.Send(p.holder, &wire.BudgetBorrow{Budget: a.Budget, Permit: p.id, Return: true})
}

// handleBorrow answers wire.BudgetBorrow: owners of the zone wait for a
// permit, holders of other zones get an idle one or none.
func (s *Service) handleBorrow(ctx context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	req, ok := m.(*wire.BudgetBorrow)
	if !ok {
		return nil, errUnexpectedAnswer
	}
	h := s.holders[req.Budget]
	if h == nil {
		return nil, fault.New(fault.Internal, "unknown budget %q", req.Budget)
	}
	lend := &wire.BudgetLend{Budget: req.Budget, Granted: 1, ValidMillis: s.opts.LoadTimeout.Milliseconds()}
	switch {
	case req.Return:
		s.permitReturned(h, req)
		return &wire.Ack{}, nil
	case req.Lend:
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.budget.Lend(req.Permit, s.deps.Clock.Now(), s.opts.LoadTimeout) {
			lend.Granted = 0
		}
		return lend, nil
	}
	return lend, s.waitPermit(ctx, h, req)
}

func (s *Service) permitReturned(h *holder, req *wire.BudgetBorrow) {
	h.mu.Lock()
	lender, lent := h.lenders[req.Permit]
	delete(h.lenders, req.Permit)
	h.budget.Return(req.Permit)
	h.handOut(s.deps.Clock.Now(), s.opts.LoadTimeout)
	h.mu.Unlock()
	if lent {
		s.deps.Network.Send(lender, &wire.BudgetBorrow{Budget: req.Budget, Permit: req.Permit, Return: true})
	}
}

// handOut gives free permits to those who wait; callers hold mu.
func (h *holder) handOut(now time.Time, validFor time.Duration) {
	for {
		id, ok := h.budget.Next(now, validFor)
		if !ok {
			return
		}
		close(h.waiting[id])
		delete(h.waiting, id)
	}
}

func (s *Service) waitPermit(ctx context.Context, h *holder, req *wire.BudgetBorrow) error {
	granted := make(chan struct{})
	h.mu.Lock()
	h.waiting[req.Permit] = granted
	h.budget.Ask(req.Permit, req.Prefetch)
	h.handOut(s.deps.Clock.Now(), s.opts.LoadTimeout)
	h.mu.Unlock()
	ticker := time.NewTicker(s.opts.Budget.BorrowInterval)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-ctx.Done():
			h.mu.Lock()
			defer h.mu.Unlock()
			h.budget.Withdraw(req.Permit)
			delete(h.waiting, req.Permit)
			return fmt.Errorf("wait for %s permit: %w", req.Budget, ctx.Err())
		case <-ticker.C:
			s.borrow(ctx, h, req)
		}
	}
}

// borrow hands out what has become free, and else asks the other zones on
// behalf of the first in the queue.
func (s *Service) borrow(ctx context.Context, h *holder, req *wire.BudgetBorrow) {
	h.mu.Lock()
	h.handOut(s.deps.Clock.Now(), s.opts.LoadTimeout)
	first, waits := h.budget.Waiting()
	h.mu.Unlock()
	if !waits || first != req.Permit {
		return
	}
	view := s.deps.View()
	for _, zone := range zonesOf(view, s.deps.Self.Zone) {
		lender, ok := budgetHolder(view, zone, req.Budget)
		if !ok {
			continue
		}
		answer, err := s.deps.Network.Call(ctx, lender, &wire.BudgetBorrow{Budget: req.Budget, Wanted: 1, Permit: req.Permit, Lend: true})
		lend, isLend := answer.(*wire.BudgetLend)
		if err == nil && isLend && lend.Granted > 0 {
			s.borrowed(h, req, lender)
			return
		}
	}
}

// borrowed uses a lent permit, or gives it back when an own one came first.
func (s *Service) borrowed(h *holder, req *wire.BudgetBorrow, lender fleet.NodeID) {
	h.mu.Lock()
	granted, waits := h.waiting[req.Permit]
	if waits {
		h.budget.Withdraw(req.Permit)
		h.lenders[req.Permit] = lender
		delete(h.waiting, req.Permit)
		close(granted)
	}
	h.mu.Unlock()
	if !waits {
		s.deps.Network.Send(lender, &wire.BudgetBorrow{Budget: req.Budget, Permit: req.Permit, Return: true})
	}
}
