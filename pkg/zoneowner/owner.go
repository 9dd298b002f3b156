// Package zoneowner elects the owner of an availability zone and runs the
// owner's work: it grants slots at the zone's targets and orders them to load
// and unload models. At most one node of a zone at a time may send orders. Slots
// are not exclusive: an owner whose authority has ended grants them until its
// term ends, while the next owner already grants them, too. Ownership is a key
// with a lease in the platform's key-value service; peer leases of the zone's
// other nodes keep an owner authorized while that service is unavailable.
// Package scheduler decides which slots to grant and which orders to send.
package zoneowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/customers"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/quota"
	"almondturn/pkg/route"
	"almondturn/pkg/scheduler"
	"almondturn/pkg/wait"
	"almondturn/wire"
)

// Store is the part of the key-value service that ownership needs. Its errors
// are those of package kv.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	RenewLease(ctx context.Context, id kv.LeaseID) error
	RevokeLease(ctx context.Context, id kv.LeaseID) error
	// Era returns the era of the service as its responses have shown it, 0 for a
	// service that reports none.
	Era() kv.Era
}

// Targets sends orders to the targets of the zone and requests their reports.
type Targets interface {
	// Order sends an order under a fencing token. The error explains a result
	// that is neither accepted nor done.
	Order(ctx context.Context, t *inventory.Target, o scheduler.Order, token uint64) (scheduler.OrderResult, error)
	// Report requests the current state of a target.
	Report(ctx context.Context, t *inventory.Target) (inventory.Report, error)
}

// Network sends messages to the other nodes.
type Network interface {
	// RequestPeerLease asks a node of the zone for a peer lease, under which
	// it does not try to acquire the zone.
	RequestPeerLease(ctx context.Context, to fleet.NodeID, m *wire.PeerLeaseRequest) (*wire.PeerLeaseResponse, error)
	// Broadcast sends a message to all connected nodes.
	Broadcast(m wire.Message)
	// Send sends a message to one connected node.
	Send(to fleet.NodeID, m wire.Message)
	// Connected returns the nodes that have opened a connection to this node,
	// and the seeds to which it has opened one.
	Connected() []fleet.Node
	// NodeCount returns the number of nodes that are connected or were
	// recently, including this one.
	NodeCount() int
	// OtherZoneWeightStoreLoads returns the number of loads from the weight
	// store that the owners of other zones have in progress, according to their
	// last known states.
	OtherZoneWeightStoreLoads() int
}

// Observer counts what an owner does. Its methods must not block.
type Observer interface {
	// OrderResultReceived is called with the result of each order to a target
	// that is in the list. An order that was not sent because the owner's
	// authority had ended counts as rejected.
	OrderResultReceived(o scheduler.Order, result scheduler.OrderResult)
	// SlotRequestDecided is called for each slot request that the scheduler
	// granted or refused, with the time that it waited. refusalReason is empty
	// for a grant.
	SlotRequestDecided(service string, waited time.Duration, refusalReason string)
}

// noObserver is the Observer of a Config that has none.
type noObserver struct{}

func (noObserver) OrderResultReceived(scheduler.Order, scheduler.OrderResult) {}
func (noObserver) SlotRequestDecided(string, time.Duration, string)           {}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	// Self is this node; Owner takes part in the election of its zone.
	Self fleet.Node
	// Zones lists all zones of the deployment.
	Zones []fleet.Zone
	// MinLease is the shortest lease that the key-value service grants.
	MinLease time.Duration
	// CPUCapacity is the CPU capacity of the node in cores. A node with less
	// than 1 core waits longer before it acquires the zone, so that nodes with
	// a larger CPU capacity are preferred.
	CPUCapacity float64
	// HandoverDelay is the shortest time between the orders of two owners.
	HandoverDelay time.Duration
	// Store is the platform's key-value service, not the weight store.
	Store   Store
	Targets Targets
	Network Network
	Log     *zerolog.Logger
	// Observer receives the results of orders and slot requests; it may be
	// nil.
	Observer Observer
	// ConfigurationVersion returns the version of the configuration in force.
	ConfigurationVersion func() int64
	// BootClock reads the clock of leases and authority. It must keep counting
	// while the VM is suspended.
	BootClock func() time.Time
	// Quota is the rule for the quotas of customers.
	Quota quota.Rule
}

// Owner takes part in the election of its zone's owner and does the owner's
// work while this node owns the zone. While another node owns the zone, it is
// only a candidate and grants peer leases; IsOwner reports which of both applies.
// Its methods may be called concurrently.
type Owner struct {
	cfg           Config
	leaseTTL      time.Duration
	electionWake  chan struct{} // signals Run to check again whether to acquire the zone
	schedulerWake chan struct{} // signals schedulerLoop to step the scheduler
	// lastSent is the last zone state that was broadcast; nil without a term.
	lastSent atomic.Pointer[wire.ZoneState]

	mu sync.Mutex // guards all fields below
	// eligibleSince is when this node could first have acquired the zone; zero
	// before.
	eligibleSince time.Time
	// currentEntry is the zone's owner key as last read, watched or written; it
	// is valid if entryObserved is set.
	currentEntry  ownerEntry
	entryObserved bool
	// lastOwnerAddr is the address in the last-owner record, as last watched.
	lastOwnerAddr string
	// lastOwnerResigned reports whether the last owner released the zone
	// itself.
	lastOwnerResigned bool
	// lastOwnerOutdated reports whether the last-owner record, as last watched, is
	// from before a restore of the key-value service: no owner has registered since.
	lastOwnerOutdated bool
	// peerLeaseUntil is the time by BootClock before which this node must not
	// acquire the zone, because it granted a peer lease to the owner at
	// peerLeaseOwnerAddr at peerLeaseGrantedAt.
	peerLeaseUntil     time.Time
	peerLeaseGrantedAt time.Time
	peerLeaseOwnerAddr string
	vacancy            vacancy
	unrecordedWait     unrecordedWait
	// acquiring is true while this node registers as the owner.
	acquiring       bool
	targetsReceived bool
	stopping        bool
	term            *term
	targets         []*inventory.Target
	services        map[string]*route.Service
	customers       *customers.Directory
	// limits are the limits of targets by identifier.
	limits map[string]TargetLimit
	// quotaLimits are the limits of the customers by name.
	quotaLimits map[string]quota.Limit
}

// term is the period from acquiring the zone to losing it. ctx and cancel do not
// change after its start, nor does begun; Owner.mu guards the other fields. Only the goroutine of
// renewLeaseLoop changes token, lease and ordersFrom, in reacquire; it reads lease
// without the lock. Resign reads both without the lock after it has ended
// the term; a reacquire that has finished its calls by then may still write them.
type term struct {
	token     kv.Revision
	lease     kv.LeaseID
	scheduler *scheduler.Scheduler
	authority authority
	// ordersFrom is the earliest time by BootClock at which orders may be
	// sent.
	ordersFrom time.Time
	// handoverPending is true until the end of the handover delay is recorded
	// in the key-value service.
	handoverPending bool
	// ordersInFlight is the number of orders that may be on their way, lastOrderAt
	// when the last order was answered or abandoned.
	ordersInFlight int
	lastOrderAt    time.Time
	targetsByID    map[string]*inventory.Target
	waiting        map[scheduler.Ticket]waitingRequest
	ctx            context.Context
	cancel         context.CancelFunc
	sent           sentState
	// begun is when the term began, by BootClock.
	begun  time.Time
	quotas termQuotas
}

// New returns an Owner that does not take part in the election until Run is
// called.
func New(cfg Config) *Owner {
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	return &Owner{
		cfg:           cfg,
		leaseTTL:      max(cfg.MinLease, defaultLeaseTTL),
		electionWake:  make(chan struct{}, 1),
		schedulerWake: make(chan struct{}, 1),
		limits:        map[string]TargetLimit{},
	}
}

// SetServices replaces the services with those of a new configuration.
func (o *Owner) SetServices(t *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.services, o.customers = t.Services, t.Customers
	o.setQuotaLimits(t)
	if o.term != nil {
		o.term.scheduler.SetServices(t.Services)
		o.term.scheduler.SetCustomers(t.Customers)
		o.term.setTargets(o.targets)
	}
	o.wakeScheduler()
}

// SetTargets replaces the list of targets with those of the node's zone in v.
func (o *Owner) SetTargets(v *inventory.TargetSet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.targets = o.targets[:0:0]
	v.ForEach(func(t *inventory.Target) {
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

// setTargets replaces the targets of the term. Owner.mu must be held.
func (t *term) setTargets(list []*inventory.Target) {
	t.targetsByID = make(map[string]*inventory.Target, len(list))
	for _, target := range list {
		t.targetsByID[target.ID] = target
	}
	t.scheduler.SetTargets(time.Now(), list)
}

// wakeScheduler signals schedulerLoop to step the scheduler. It does not
// block.
func (o *Owner) wakeScheduler() {
	select {
	case o.schedulerWake <- struct{}{}:
	default:
	}
}

// wakeElection signals Run to check again whether to acquire the zone. It does
// not block.
func (o *Owner) wakeElection() {
	select {
	case o.electionWake <- struct{}{}:
	default:
	}
}

// stepScheduler updates the scheduler's order window, steps the scheduler, and
// executes the actions that it returns. The times of the order window are
// converted from BootClock, which the term and its authority use, to time.Now,
// which the scheduler uses. o.mu must be held.
func (o *Owner) stepScheduler(t *term) {
	now, boot := time.Now(), o.cfg.BootClock()
	until := t.authority.validUntil(boot)
	t.scheduler.SetOrderWindow(now.Add(t.ordersFrom.Sub(boot)), now.Add(until.Sub(boot)))
	t.scheduler.SetLimitShare(now, o.limitShare(t))
	t.scheduler.SetOtherZoneWeightStoreLoads(o.cfg.Network.OtherZoneWeightStoreLoads())
	for _, a := range t.scheduler.Step(now) {
		o.execute(t, now, a)
	}
}

// execute executes one action of the scheduler. o.mu must be held.
func (o *Owner) execute(t *term, now time.Time, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Grant:
		w := t.respond(a.Ticket, &wire.SlotResponse{Run: uint64(a.Run), Target: a.Target})
		o.cfg.Observer.SlotRequestDecided(w.service, a.Waited, "")
		event.PlaceGranted.Log(o.cfg.Log).Str("request", w.requestID).Str("model", w.model).Str("target", a.Target).
			Uint64("run", uint64(a.Run)).Dur("waited_ms", a.Waited).Int("running", a.Running).Bool("probe", a.Probe).Send()
	case scheduler.Refusal:
		w := t.respond(a.Ticket, refusalResponse(a))
		o.cfg.Observer.SlotRequestDecided(w.service, a.Waited, a.Reason.String())
		event.PlaceRefused.Log(o.cfg.Log).Str("request", w.requestID).Str("model", w.model).Stringer("reason", a.Reason).
			Dur("waited_ms", a.Waited).Dur("expected_ms", a.Estimate.ExpectedWait).Dur("left_ms", a.Estimate.TimeLeft).
			Int("usable", a.Estimate.ReadyReplicas).Int("copies", a.Estimate.TargetsWithCopy).Int("backlog", a.Estimate.BacklogRank).Int("load_crashes", a.Estimate.LoadCrashes).
			Int64("orders_after_ms", max(t.ordersFrom.Sub(o.cfg.BootClock()).Milliseconds(), 0)).Send()
	case scheduler.SendOrder:
		if target := t.targetsByID[a.Order.Target]; target != nil {
			t.ordersInFlight++
			go o.sendOrder(t, target, a.Order)
			return
		}
		t.scheduler.OrderResultReceived(now, a.Order, scheduler.OrderRejected)
	case scheduler.RequestReport:
		if target := t.targetsByID[a.Target]; target != nil {
			go o.requestReport(t, target)
			return
		}
		t.scheduler.ReportFailed(now, a.Target)
	}
}

// sendOrder sends an order, unless this node's authority has ended since the
// scheduler's decision, and passes the result to the scheduler. It runs in a
// goroutine of its own. o.mu must not be held.
func (o *Owner) sendOrder(t *term, target *inventory.Target, order scheduler.Order) {
	result := scheduler.OrderRejected
	var err error
	token, ok := o.orderToken(t)
	if ok {
		ctx, cancel := context.WithCancel(t.ctx)
		go o.cancelWithAuthority(ctx, cancel, t)
		result, err = o.cfg.Targets.Order(ctx, target, order, token)
		cancel()
	}
	// Also logged for an order that was not sent, with the result rejected.
	event.OrderSent.Log(o.cfg.Log).Str("target", target.ID).Stringer("operation", order.Operation).
		Str("model", order.Model).Str("adapter", order.Adapter).Uint64("sequence", order.Sequence).
		Str("source", order.Source.String()).Str("result", result.String()).Uint64("token", token).AnErr("cause", err).Send()
	o.cfg.Observer.OrderResultReceived(order, result)
	o.mu.Lock()
	defer o.mu.Unlock()
	t.ordersInFlight--
	if ok {
		t.lastOrderAt = o.cfg.BootClock()
	}
	if o.term != t {
		return
	}
	t.scheduler.OrderResultReceived(time.Now(), order, result)
	o.stepScheduler(t)
	o.wakeScheduler() // schedulerLoop broadcasts changes and resets its timer
}

// orderToken returns the fencing token for an order, and whether the order may
// be sent. It checks the authority again by BootClock, because the VM may have
// been suspended since the scheduler's decision.
func (o *Owner) orderToken(t *term) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return uint64(t.token), o.authorizedAt(t, o.cfg.BootClock())
}

// cancelWithAuthority calls cancel when the authority of a term ends, so that no order is on
// its way after that. It returns when ctx ends.
func (o *Owner) cancelWithAuthority(ctx context.Context, cancel context.CancelFunc, t *term) {
	defer cancel()
	for {
		left := o.authorityLeft(t)
		if left <= 0 || !wait.Sleep(ctx, left) {
			return
		}
	}
}

// authorityLeft returns how long the authority of a term lasts unless it is extended.
func (o *Owner) authorityLeft(t *term) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.BootClock()
	return t.authority.validUntil(now).Sub(now)
}

// requestReport requests a target's report and passes the result to the
// scheduler. It runs in a goroutine of its own. o.mu must not be held.
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
	o.wakeScheduler() // schedulerLoop broadcasts changes and resets its timer
}

// schedulerLoop steps the scheduler and broadcasts the zone state when it is
// signaled or when something is due, until the term ends.
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
