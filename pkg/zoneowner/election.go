package zoneowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/scheduler"
	"almondturn/wire"
)

// Times of the election and of the owner's loops.
const (
	// defaultLeaseTTL is the time that the zone stays with an owner that has
	// stopped renewing its lease. Config.MinLease replaces it if that is
	// longer.
	defaultLeaseTTL = 1500 * time.Millisecond
	// renewInterval is the time between two renewals of the lease, and between
	// two rounds of peer lease requests.
	renewInterval = 400 * time.Millisecond
	// peerLeaseRequestTimeout bounds the wait for the response to a peer lease
	// request.
	peerLeaseRequestTimeout = 600 * time.Millisecond
	// electionRetryDelay is the wait after a failed attempt to acquire the
	// zone.
	electionRetryDelay = 250 * time.Millisecond
	// maxElectionJitter bounds the random delay that spreads the attempts of
	// the nodes.
	maxElectionJitter = 40 * time.Millisecond
	// maxCapacityDelay is how long a node with a CPU capacity of zero would
	// wait before it acquires the zone. Nodes with up to one core wait
	// proportionally less.
	maxCapacityDelay = 400 * time.Millisecond
	// lastOwnerHeadStart is how much longer the other nodes wait within
	// preferenceWindow, so that the last owner can acquire the zone before
	// them.
	lastOwnerHeadStart = 700 * time.Millisecond
	// preferenceWindow is how long the last owner is preferred. It starts when
	// a node has received everything that it needs to acquire the zone, not
	// when it starts: receiving it takes seconds when hundreds of nodes start
	// simultaneously.
	preferenceWindow = 3 * time.Second
	// minBroadcastInterval is the shortest time between two broadcasts of the
	// zone's state.
	minBroadcastInterval = 100 * time.Millisecond
	// fullStateInterval is the longest time between two broadcasts of the
	// zone's full state.
	fullStateInterval = 5 * time.Second
)

// ObserveKey receives the zone's owner key from a watch. An empty record means
// that the key does not exist. It ends the term if the key names another node, or
// another incarnation of this one, that acquired the zone later.
func (o *Owner) ObserveKey(record OwnerRecord, revision kv.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observeKey(record, revision)
}

// observeKey is ObserveKey with o.mu held.
func (o *Owner) observeKey(record OwnerRecord, revision kv.Revision) {
	o.currentEntry = ownerEntry{record, revision}
	o.entryObserved = true
	o.vacancy.observeKey(o.cfg.BootClock(), record.Addr != "")
	t := o.term
	if t != nil && record.Addr != "" && !o.isSelf(record) && o.currentEntry.token() > t.token {
		o.endTerm(t, "another node took the zone")
	}
	o.wakeElection()
}

// Run takes part in the election until ctx ends: it acquires the zone when
// nobody owns it. A term that has begun continues after ctx ends; Resign and
// Abort end it.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := o.runElection(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-o.electionWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runElection acquires the zone if this node is eligible and the zone is free,
// and returns how long to wait until the next check: one second, unless a peer
// lease or a failed attempt determines the time. wakeElection ends the wait
// earlier. A zone whose owner key an earlier incarnation of this node wrote
// counts as free, and one whose key is inherited from before a restore.
func (o *Owner) runElection(ctx context.Context) time.Duration {
	o.mu.Lock()
	current, peerLeaseLeft := o.currentEntry, o.peerLeaseUntil.Sub(o.cfg.BootClock())
	eligible := o.entryObserved && o.targetsReceived && o.term == nil && !o.stopping && o.services != nil
	if eligible && o.eligibleSince.IsZero() {
		o.eligibleSince = o.cfg.BootClock()
	}
	ownKey := current.record.Addr == o.cfg.Self.Addr && !current.inherited()
	o.mu.Unlock()
	switch {
	case !eligible || current.record.Addr != "" && !ownKey && !current.inherited():
		return time.Second
	case peerLeaseLeft > 0 && !ownKey:
		return peerLeaseLeft
	}
	time.Sleep(o.electionDelay(ownKey, current.inherited()))
	if !o.beginAcquire(current, ownKey) {
		return time.Second
	}
	defer o.endAcquire()
	if err := o.acquire(ctx, current); err != nil {
		event.ZoneTakeFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
		if errors.Is(err, errNotRecorded) {
			return time.Second
		}
		return electionRetryDelay
	}
	return time.Second
}

// electionDelay returns how long this node waits so that others can acquire
// the free zone before it. It does not wait to replace its own owner key. Within
// preferenceWindow it waits for the last owner, because that may send orders
// without a handover delay if all nodes have restarted. It does not wait for a
// last owner that has resigned. After a restore of the key-value service, it waits
// for the owner to register again, also if the owner's key is missing.
func (o *Owner) electionDelay(ownKey, inherited bool) time.Duration {
	if ownKey {
		return 0
	}
	wait := rand.N(maxElectionJitter) + time.Duration((1-min(o.cfg.CPUCapacity, 1))*float64(maxCapacityDelay))
	o.mu.Lock()
	defer o.mu.Unlock()
	inPreferenceWindow := o.cfg.BootClock().Sub(o.eligibleSince) < preferenceWindow
	if inherited || o.lastOwnerOutdated || inPreferenceWindow && o.lastOwnerAddr != "" && o.lastOwnerAddr != o.cfg.Self.Addr && !o.lastOwnerResigned {
		wait += lastOwnerHeadStart
	}
	return wait
}

// beginAcquire reports whether the zone's owner key still has the given content and this
// node may still acquire the zone. If so, the node grants no peer leases until
// endAcquire. ownKey is true if the key was written by an earlier incarnation of this node.
func (o *Owner) beginAcquire(entry ownerEntry, ownKey bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	granted := !ownKey && o.cfg.BootClock().Before(o.peerLeaseUntil)
	o.acquiring = o.currentEntry == entry && o.term == nil && !o.stopping && !granted
	return o.acquiring
}

// endAcquire ends what beginAcquire began.
func (o *Owner) endAcquire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acquiring = false
}

// acquire registers this node as the owner and begins a term. replaced is the
// content of the owner key that it overwrites: empty, inherited from before a restore,
// or written by an earlier incarnation of this node. Errors wrap those of the key-value service.
func (o *Owner) acquire(ctx context.Context, replaced ownerEntry) error {
	lastOwner, revision, err := o.readLastOwner(ctx)
	if err != nil {
		return err
	}
	if err := o.checkRecorded(ctx, lastOwner, revision); err != nil {
		return err
	}
	// The vacancy ends when this node sees its own key.
	o.mu.Lock()
	free := o.vacancy
	o.mu.Unlock()
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	record, token, err := o.writeOwnKey(ctx, replaced.revision, lease)
	if err != nil {
		o.refreshKey(ctx, OwnerKey(o.cfg.Self.Zone))
		return fmt.Errorf("acquire the owner key: %w", err)
	}
	acquired := o.cfg.BootClock()
	ordersFrom := o.earliestOrder(lastOwner, free.sinceRecord(revision), token.Era(), acquired)
	peers := o.connectedPeers()
	next := lastOwnerRecord{Addr: o.cfg.Self.Addr, Token: token, HandoverPending: ordersFrom.After(acquired), Peers: peers}
	if err := o.writeLastOwner(ctx, next, revision); err != nil {
		// Without the record, the next owner would not wait for the handover
		// delay after this one.
		_ = o.cfg.Store.RevokeLease(ctx, lease)
		return fmt.Errorf("write the last-owner record: %w", err)
	}
	if !o.beginTerm(ownerEntry{record, token}, lease, sent, ordersFrom, ordersFrom.After(acquired), peers) {
		_ = o.cfg.Store.RevokeLease(ctx, lease) // if this fails, the lease expires
		return errStopping
	}
	return nil
}

// errStopping means that the node began to stop while it acquired the zone.
var errStopping = errors.New("the node is stopping")

// firstRunID returns the identifier of the first run of a term. Those of runs that
// different terms have granted differ, also if the counter of their tokens is the same
// because the key-value service was restored in between.
func firstRunID(token kv.Revision) scheduler.RunID {
	const (
		runBits     = 24 // runs of one term
		counterBits = 32
	)
	counter := token.Counter() & (1<<counterBits - 1)
	return scheduler.RunID(uint64(token.Era())<<(runBits+counterBits) | counter<<runBits)
}

// beginTerm starts a term; the revision of its owner key is its fencing token.
// leaseRequested is when the
// request for the lease was sent, ordersFrom when the first order may be sent;
// both are times of BootClock. handoverPending reports whether the end of the
// handover delay must still be recorded; peers are the nodes that the last-owner record
// names. The term is independent of the context of Run; endTerm ends it. beginTerm returns false, and starts nothing, if the node
// is stopping.
func (o *Owner) beginTerm(entry ownerEntry, lease kv.LeaseID, leaseRequested, ordersFrom time.Time, handoverPending bool, peers []fleet.NodeID) bool {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{
		token: entry.revision, lease: lease, ordersFrom: ordersFrom, handoverPending: handoverPending, ctx: ctx, cancel: cancel,
		scheduler: scheduler.New(firstRunID(entry.revision)),
		waiting:   map[scheduler.Ticket]waitingRequest{},
		begun:     o.cfg.BootClock(),
	}
	t.authority.leaseRenewed(leaseRequested, o.leaseTTL)
	t.authority.recorded.confirmed(peers)
	for _, id := range peers {
		t.authority.nodeConnected(o.cfg.BootClock(), id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		cancel()
		return false
	}
	t.scheduler.SetServices(o.services)
	t.scheduler.SetCustomers(o.customers)
	t.scheduler.SetZones(o.cfg.Self.Zone, o.cfg.Zones)
	t.setTargets(o.targets)
	for _, l := range o.limits {
		t.scheduler.SetTargetLimit(time.Now(), l.Target, l.Incarnation, l.PerSecond)
	}
	o.term = t
	o.currentEntry = entry
	o.vacancy.observeKey(t.begun, true)
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", uint64(t.token)).
		Int64("orders_after_ms", ordersFrom.Sub(o.cfg.BootClock()).Milliseconds()).Send()
	go o.renewLeaseLoop(t)
	go o.peerLeaseLoop(t)
	go o.schedulerLoop(t)
	return true
}

// endTerm ends a term, and refuses its waiting requests with SlotNotOwner so
// that their nodes look for another owner. reason is a value of the log field of
// that name. These values do not change, so that log searches keep finding them;
// they call peer leases promises. o.mu must be held.
func (o *Owner) endTerm(t *term, reason string) {
	if o.term != t {
		return
	}
	o.term = nil
	o.lastSent.Store(nil)
	t.cancel()
	for ticket, w := range t.waiting {
		delete(t.waiting, ticket)
		w.response <- &wire.SlotResponse{Refusal: wire.SlotNotOwner}
	}
	event.ZoneLost.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", uint64(t.token)).Str("reason", reason).Send()
}

// Resign ends the term and releases the zone's lease for a planned stop. It
// records when the last order was sent, so that the next owner need not wait
// for the full handover delay. This node does not acquire the zone again.
func (o *Owner) Resign(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	t := o.term
	if t == nil {
		o.mu.Unlock()
		return
	}
	token, lease := t.token, t.lease
	record := lastOwnerRecord{Addr: o.cfg.Self.Addr, Token: token, LastOrderAge: o.lastOrderAge(t), HandoverPending: t.ordersFrom.After(o.cfg.BootClock())}
	o.endTerm(t, "resigned")
	o.mu.Unlock()
	if lastOwner, revision, err := o.readLastOwner(ctx); err == nil && lastOwner.Token <= token {
		// If the write fails, the next owner waits for the full handover delay.
		_ = o.writeLastOwner(ctx, record, revision)
	}
	_ = o.cfg.Store.RevokeLease(ctx, lease) // if this fails, the lease expires
	o.cfg.Network.Broadcast(&wire.ZoneState{Zone: o.cfg.Self.Zone, Token: uint64(token), Resigned: true})
}

// Abort ends the term without releasing the lease or notifying other nodes, as
// in a crash.
func (o *Owner) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	if o.term != nil {
		o.endTerm(o.term, "abandoned")
	}
}

// IsOwner reports whether this node owns its zone.
func (o *Owner) IsOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term != nil
}
