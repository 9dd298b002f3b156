// Package zoneowner owns an availability zone: at most one node of the zone
// at a time grants places at its targets and orders them to load and unload
// models. Ownership is a key with a lease in the platform's key-value
// service. The decisions are those of package scheduler.
package zoneowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// Store is the part of the key-value service that ownership needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	RenewLease(ctx context.Context, id kv.LeaseID) error
	RevokeLease(ctx context.Context, id kv.LeaseID) error
}

// Targets tells targets what to load and asks for their sent.
type Targets interface {
	// Order sends an order under a fencing token; the error explains a
	// response other than accepted and done.
	Order(ctx context.Context, t *inventory.Target, o scheduler.Order, token uint64) (scheduler.OrderResult, error)
	Report(ctx context.Context, t *inventory.Target) (inventory.Report, error)
}

// Network canReachStore the other nodes.
type Network interface {
	// RequestPeerLease asks a node of the zone to hold back from taking the zone over.
	RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error)
	// Broadcast sends a message to all connected nodes, Send to one of them.
	Broadcast(m wire.Message)
	Send(to fleet.NodeID, m wire.Message)
	// Connected returns the nodes that are connected to this one as ownerIndex.
	Connected() []fleet.Node
	// NodeCount returns the number of nodes that are connected or have lately
	// been, with this one.
	NodeCount() int
	// OtherZoneStoreLoads returns the number of loads from the weight store that
	// the owners of other zones have in progress, as far as they are heard.
	OtherZoneStoreLoads() int
}

// Observer counts what an ownerIndex does. Its methods must not block.
type Observer interface {
	// OrderAnswered is lastSent of each order with its response.
	OrderAnswered(o scheduler.Order, result scheduler.OrderResult)
	// SlotRequestAnswered is lastSent how long a schedulerRequest waited; refused is empty for a
	// grant.
	SlotRequestAnswered(service string, waited time.Duration, refused string)
}

// noObserver is the Observer of a Config without one.
type noObserver struct{}

func (noObserver) OrderAnswered(scheduler.Order, scheduler.OrderResult) {}
func (noObserver) SlotRequestAnswered(string, time.Duration, string)    {}

// Config is what an Owner needs.
type Config struct {
	Self fleet.Node
	// Zones are all zones of the deployment.
	Zones []fleet.Zone
	// MinLease is the shortest lease that the service grants.
	MinLease time.Duration
	// CPUCapacity is the processor share of the node, 1 for a whole core. Weaker
	// nodes leave the zone to stronger ones.
	CPUCapacity float64
	// HandoverDelay is the least time between the orders of two owners.
	HandoverDelay time.Duration
	Store         Store
	Targets       Targets
	Network       Network
	Log           *zerolog.Logger
	// Observer is lastSent what happens; nil for nobody.
	Observer Observer
	// Version returns the version of the configuration in force.
	Version func() int64
	// BootClock reads the clock that leases are judged by, which goes on while
	// the machine is suspended.
	BootClock func() time.Time
}

// Owner takes part in the ownership of the node's zone. Its methods may be
// called concurrently.
type Owner struct {
	cfg           Config
	leaseTTL      time.Duration
	electionWake  chan struct{} // has the runElection look again
	schedulerWake chan struct{} // has the scheduler stepScheduler
	// lastSent is the zoneState sent of the zone that was broadcast; nil without a term.
	lastSent atomic.Pointer[wire.ZoneState]

	mu sync.Mutex // guards all below
	// eligibleSince is when this node could first acquire the zone; zero before.
	eligibleSince time.Time
	// currentKey is the key as zoneState read or watched.
	currentKey  ownerKey
	keyObserved bool
	// previousOwnerAddr is the address of the zoneState ownerIndex, as zoneState read or watched.
	previousOwnerAddr string
	// previousOwnerResigned tells that the zoneState ownerIndex gave the zone up by itself.
	previousOwnerResigned bool
	// peerLeaseUntil is when this node may acquire the zone over, by boottime.
	peerLeaseUntil     time.Time
	peerLeaseOwnerAddr string
	targetsReceived    bool
	stopping           bool
	term               *term
	targets            []*inventory.Target
	services           map[string]*route.Service
}

// term is the time from taking the zone to losing it.
type term struct {
	token     uint64
	lease     kv.LeaseID
	scheduler *scheduler.Scheduler
	authority authority
	// ordersFrom is when orders may beginTerm, by boottime.
	ordersFrom time.Time
	// handoverPending is set validUntil the endTerm of the pause is recorded.
	handoverPending bool
	lastOrderAt     time.Time
	targetsByID     map[string]*inventory.Target
	waiting         map[scheduler.Ticket]waitingRequest
	ctx             context.Context
	cancel          context.CancelFunc
	sent            sentState
}

// waitingRequest is a schedulerRequest that waits for the scheduler's respond.
type waitingRequest struct {
	request  string
	service  string
	model    string
	response chan *wire.SlotResponse // buffered, and answered once
}

// New returns an Owner that does not acquire part yet; Run does.
func New(cfg Config) *Owner {
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	return &Owner{
		cfg:           cfg,
		leaseTTL:      max(cfg.MinLease, defaultLeaseTTL),
		electionWake:  make(chan struct{}, 1),
		schedulerWake: make(chan struct{}, 1),
	}
}

// SetTable replaces the configuration.
func (o *Owner) SetTable(t *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services = t.Services
	if o.term != nil {
		o.term.scheduler.SetServices(t.Services)
		o.term.setTargets(o.targets)
	}
	o.wakeScheduler()
}

// SetView replaces the list of targets.
func (o *Owner) SetView(v *inventory.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.targets = o.targets[:0:0]
	v.All(func(t *inventory.Target) {
		if t.Zone == o.cfg.Self.Zone {
			o.targets = append(o.targets, t)
		}
	})
	o.targetsReceived = true
	if o.term != nil {
		o.term.setTargets(o.targets)
	}
	o.wakeScheduler()
	o.wakeElection()
}

func (t *term) setTargets(list []*inventory.Target) {
	t.targetsByID = make(map[string]*inventory.Target, len(list))
	for _, target := range list {
		t.targetsByID[target.ID] = target
	}
	t.scheduler.SetTargets(time.Now(), list)
}

// wakeScheduler has the scheduler stepScheduler; wakeElection has the runElection look again.
func (o *Owner) wakeScheduler() {
	select {
	case o.schedulerWake <- struct{}{}:
	default:
	}
}

func (o *Owner) wakeElection() {
	select {
	case o.electionWake <- struct{}{}:
	default:
	}
}

// AcquireSlot waits for a place at a target of the zone.
func (o *Owner) AcquireSlot(ctx context.Context, node fleet.NodeID, m *wire.SlotRequest) *wire.SlotResponse {
	result := make(chan *wire.SlotResponse, 1)
	o.mu.Lock()
	t := o.term
	if t == nil {
		o.mu.Unlock()
		return &wire.SlotResponse{Refusal: wire.SlotNotOwner}
	}
	now := time.Now()
	ticket := t.scheduler.Submit(now, schedulerRequest(now, node, m))
	t.waiting[ticket] = waitingRequest{m.RequestID, m.Service, m.Model, result}
	if g, ok := t.scheduler.TryGrant(now, ticket); ok {
		o.execute(t, now, g)
	} else {
		o.stepScheduler(t)
	}
	o.mu.Unlock()
	select {
	case p := <-result:
		return p
	case <-ctx.Done():
	}
	return o.cancelRequest(t, ticket, result)
}

// cancelRequest ends the wait of a schedulerRequest whose node no longer waits.
func (o *Owner) cancelRequest(t *term, ticket scheduler.Ticket, result chan *wire.SlotResponse) *wire.SlotResponse {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.scheduler.Cancel(ticket)
	delete(t.waiting, ticket)
	select {
	case p := <-result:
		if p.Run != 0 {
			t.scheduler.RunEnded(time.Now(), scheduler.RunID(p.Run), scheduler.Unused)
		}
	default:
	}
	return &wire.SlotResponse{Refusal: wire.SlotOverloaded}
}

func schedulerRequest(now time.Time, node fleet.NodeID, m *wire.SlotRequest) scheduler.Request {
	return scheduler.Request{
		ID: m.RequestID, Node: node, Service: m.Service, Model: m.Model, Adapter: m.Adapter,
		InputTokens: m.InputTokens, OutputTokens: m.OutputTokens, Priority: m.Priority,
		Objective:        now.Add(time.Duration(m.ObjectiveMillis) * time.Millisecond),
		Deadline:         now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
		LatencyObjective: time.Duration(m.LatencyObjectiveMillis) * time.Millisecond,
		MaxEventInterval: time.Duration(m.MaxEventIntervalMillis) * time.Millisecond,
		Exclude:          m.Exclude,
		LastResort:       m.LastResort,
	}
}

// RunEnded gives a place back.
func (o *Owner) RunEnded(m *wire.RunEnded) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	matters := o.term.scheduler.NeedsStepOnEnd(scheduler.RunID(m.Run))
	o.term.scheduler.RunEnded(time.Now(), scheduler.RunID(m.Run), scheduler.Outcome(m.Outcome))
	if matters {
		o.stepScheduler(o.term)
	}
}

// RunStarted tells that the respond of a stepScheduler has begun.
func (o *Owner) RunStarted(m *wire.RunStarted) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	matters := o.term.scheduler.NeedsStepOnStart(scheduler.RunID(m.Run))
	o.term.scheduler.RunStarted(time.Now(), scheduler.RunID(m.Run))
	if matters {
		o.stepScheduler(o.term)
	}
}

// AdoptRuns takes over the runs of a node that has connected.
func (o *Owner) AdoptRuns(node fleet.Node, m *wire.ActiveRuns) {
	runs := make([]scheduler.AdoptedRun, len(m.Runs))
	for i, r := range m.Runs {
		runs[i] = scheduler.AdoptedRun{ID: scheduler.RunID(r.ID), Target: r.Target, Model: r.Model, Adapter: r.Adapter, Tokens: r.Tokens}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	if node.Zone == o.cfg.Self.Zone {
		o.term.authority.nodeConnected(o.cfg.BootClock(), node.ID)
	}
	if told := o.term.sent.zoneState; told != nil {
		o.cfg.Network.Send(node.ID, told)
	}
	o.term.scheduler.AdoptRuns(time.Now(), node.ID, runs)
	o.stepScheduler(o.term)
}

// RemoveNode forgets the runs of a node that has been out of sight.
func (o *Owner) RemoveNode(node fleet.NodeID, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return
	}
	if leaving {
		o.term.authority.nodeStopped(node)
	}
	o.term.scheduler.RemoveNode(time.Now(), node)
	o.stepScheduler(o.term)
}

// stepScheduler lets the scheduler decide and carries its actions out. o.mu is currentKey.
func (o *Owner) stepScheduler(t *term) {
	now, boot := time.Now(), o.cfg.BootClock()
	until := t.authority.validUntil(boot)
	t.scheduler.SetOrderWindow(now.Add(t.ordersFrom.Sub(boot)), now.Add(until.Sub(boot)))
	t.scheduler.SetOtherZoneStoreLoads(o.cfg.Network.OtherZoneStoreLoads())
	for _, a := range t.scheduler.Step(now) {
		o.execute(t, now, a)
	}
}

func (o *Owner) execute(t *term, now time.Time, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		w := t.respond(a.Ticket, &wire.SlotResponse{Run: uint64(a.Run), Target: a.Target})
		o.cfg.Observer.SlotRequestAnswered(w.service, a.Waited, "")
		event.PlaceGranted.Log(o.cfg.Log).Str("request", w.request).Str("model", w.model).Str("target", a.Target).
			Uint64("run", uint64(a.Run)).Dur("waited_ms", a.Waited).Int("running", a.Running).Bool("probe", a.Probe).Send()
	case scheduler.Refusal:
		w := t.respond(a.Ticket, refusalResponse(a))
		o.cfg.Observer.SlotRequestAnswered(w.service, a.Waited, a.Reason.String())
		event.PlaceRefused.Log(o.cfg.Log).Str("request", w.request).Str("model", w.model).Stringer("reason", a.Reason).
			Dur("waited_ms", a.Waited).Dur("expected_ms", a.Estimate.ExpectedWait).Dur("left_ms", a.Estimate.TimeLeft).
			Int("usable", a.Estimate.ReadyReplicas).Int("copies", a.Estimate.TargetsWithCopy).Int("backlog", a.Estimate.BacklogRank).
			Int64("orders_after_ms", max(t.ordersFrom.Sub(o.cfg.BootClock()).Milliseconds(), 0)).Send()
	case scheduler.SendOrder:
		t.lastOrderAt = o.cfg.BootClock()
		if target := t.targetsByID[a.Order.Target]; target != nil {
			go o.sendOrder(t, target, a.Order)
			return
		}
		t.scheduler.OrderAnswered(now, a.Order, scheduler.OrderRejected)
	case scheduler.RequestReport:
		if target := t.targetsByID[a.Target]; target != nil {
			go o.requestReport(t, target)
			return
		}
		t.scheduler.ReportFailed(now, a.Target)
	}
}

func refusalResponse(a scheduler.Refusal) *wire.SlotResponse {
	p := &wire.SlotResponse{Refusal: wire.SlotOverloaded, RetryAfterMillis: a.RetryAfter.Milliseconds()}
	if a.Reason == scheduler.TryOtherZone {
		p.Refusal = wire.SlotTryOtherZone
	}
	return p
}

func (t *term) respond(ticket scheduler.Ticket, p *wire.SlotResponse) waitingRequest {
	w := t.waiting[ticket]
	delete(t.waiting, ticket)
	if w.response != nil {
		w.response <- p
	}
	return w
}

// sendOrder sends an order unless the authority ended meanwhile.
func (o *Owner) sendOrder(t *term, target *inventory.Target, order scheduler.Order) {
	result := scheduler.OrderRejected
	var err error
	token, ok := o.orderToken(t)
	if ok {
		result, err = o.cfg.Targets.Order(t.ctx, target, order, token)
	}
	event.OrderSent.Log(o.cfg.Log).Str("target", target.ID).Stringer("operation", order.Operation).
		Str("model", order.Model).Str("adapter", order.Adapter).Uint64("sequence", order.Sequence).
		Str("source", order.Source.String()).Str("result", result.String()).Uint64("token", token).AnErr("cause", err).Send()
	o.cfg.Observer.OrderAnswered(order, result)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != t {
		return
	}
	t.scheduler.OrderAnswered(time.Now(), order, result)
	o.stepScheduler(t)
	o.wakeScheduler()
}

// orderToken returns the fencing token for an order. It checks the authority
// once more, by the clock that counts a suspension since the decision.
func (o *Owner) orderToken(t *term) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	boot := o.cfg.BootClock()
	return t.token, o.term == t && !o.stopping && !boot.Before(t.ordersFrom) && boot.Before(t.authority.validUntil(boot))
}

func (o *Owner) requestReport(t *term, target *inventory.Target) {
	r, err := o.cfg.Targets.Report(t.ctx, target)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != t {
		return
	}
	if err != nil {
		event.ReportFailed.Log(o.cfg.Log).Str("target", target.ID).Err(err).Send()
		t.scheduler.ReportFailed(time.Now(), target.ID)
	} else {
		t.scheduler.ReportReceived(time.Now(), target.ID, r)
	}
	o.stepScheduler(t)
	o.wakeScheduler()
}

// Waiting returns the number of requests that wait for a place here.
func (o *Owner) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.scheduler.Waiting()
}

// schedulerLoop runs the scheduler when time alone makes something due.
func (o *Owner) schedulerLoop(t *term) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-o.schedulerWake:
		case <-timer.C:
		}
		o.mu.Lock()
		if o.term != t {
			o.mu.Unlock()
			return
		}
		o.stepScheduler(t)
		now := time.Now()
		wait := min(t.scheduler.NextStepAt(now).Sub(now), o.broadcastState(t, now))
		o.mu.Unlock()
		timer.Reset(max(wait, time.Millisecond))
	}
}
