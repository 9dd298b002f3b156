package zoneowner

import (
	"cmp"
	"context"
	"encoding/json"
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

// KeyPrefix is the prefix of the owner keys and the last-owner keys of all
// zones.
const KeyPrefix = "almondturn/zones/"

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

// OwnerRecord is the JSON value of a zone's owner key.
type OwnerRecord struct {
	Node        fleet.NodeID `json:"node"`
	Addr        string       `json:"addr"`
	Incarnation string       `json:"incarnation"`
	// Era is the era of the key-value service in which the owner registered; 0 if
	// the service reports none.
	Era kv.Era `json:"era,omitempty"`
}

// Token returns the fencing token of the owner, given the revision of its key. If
// the service was restored since, that is the revision in the owner's era. An era above
// that of the revision is invalid and ignored.
func (r OwnerRecord) Token(revision kv.Revision) kv.Revision {
	if r.Era == 0 || r.Era > revision.Era() {
		return revision
	}
	return revision.InEra(r.Era)
}

// SameProcess reports whether two records were written by the same process.
func (r OwnerRecord) SameProcess(other OwnerRecord) bool {
	return r.Node == other.Node && r.Addr == other.Addr && r.Incarnation == other.Incarnation
}

// lastOwnerRecord is the JSON value of the key that names the last node that
// became the owner. It outlives that owner's lease.
type lastOwnerRecord struct {
	Addr string `json:"addr"`
	// Token is the fencing token of that owner's term; 0 if a version of this
	// program wrote the record that has none.
	Token kv.Revision `json:"token,omitempty"`
	// HandoverPending is true while the handover delay of the owner at Addr
	// has not ended. If that owner restarts, the delay starts again.
	HandoverPending bool `json:"pending,omitempty"`
	// LastOrderAge is the time in nanoseconds since the last order when the
	// owner resigned, negative if the owner before it may send orders after that. It
	// is zero if the owner has not resigned.
	LastOrderAge time.Duration `json:"age,omitempty"`
}

// ownerEntry is the content of a zone's owner key. If its address is empty,
// nobody owns the zone.
type ownerEntry struct {
	record   OwnerRecord
	revision kv.Revision
}

// token returns the fencing token of the owner.
func (e ownerEntry) token() kv.Revision { return e.record.Token(e.revision) }

// inherited reports whether the key was written before the key-value service was
// restored from an older copy. Other nodes may have owned the zone since, or the node
// that it names may have lost it before the restore.
func (e ownerEntry) inherited() bool { return e.record.Era != 0 && e.record.Era < e.revision.Era() }

// OwnerKey returns the key under which a zone's owner registers.
func OwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/owner" }

// LastOwnerKey returns the key of the record of a zone's last owner.
func LastOwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/last" }

// ObserveKey receives the zone's owner key from a watch. An empty record means
// that the key does not exist. It ends the term if the key names another node, or
// another incarnation of this one, that acquired the zone later.
func (o *Owner) ObserveKey(record OwnerRecord, revision kv.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.currentEntry = ownerEntry{record, revision}
	o.entryObserved = true
	t := o.term
	if t != nil && record.Addr != "" && !o.isSelf(record) && o.currentEntry.token() > t.token {
		o.endTerm(t, "another node took the zone")
	}
	o.wakeElection()
}

// ObserveLastOwner receives the JSON record of the zone's last owner, at a revision,
// from a watch. It ignores a record from before a restore of the key-value service: the
// record of a later owner may have been lost, and what this node knows is as new.
func (o *Owner) ObserveLastOwner(value []byte, revision kv.Revision) {
	var lastOwner lastOwnerRecord
	if err := json.Unmarshal(value, &lastOwner); err != nil {
		lastOwner.Addr = "" // an unreadable record names nobody, so no node gets a peer lease
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastOwnerOutdated = lastOwner.outdated(revision.Era())
	if o.lastOwnerOutdated {
		return
	}
	o.lastOwnerAddr, o.lastOwnerResigned = lastOwner.Addr, lastOwner.LastOrderAge != 0
}

// isSelf reports whether a record was written by this process, not by another
// node or an earlier incarnation of this one.
func (o *Owner) isSelf(r OwnerRecord) bool {
	return r.Addr == o.cfg.Self.Addr && r.Incarnation == o.cfg.Self.Incarnation
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
	if !o.entryUnchanged(current) {
		return time.Second
	}
	if err := o.acquire(ctx, current); err != nil {
		event.ZoneTakeFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
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

// entryUnchanged reports whether the zone's owner key still has the given
// content and this node may still acquire the zone.
func (o *Owner) entryUnchanged(entry ownerEntry) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentEntry == entry && o.term == nil && !o.stopping
}

// acquire registers this node as the owner and begins a term. replaced is the
// content of the owner key that it overwrites: empty, inherited from before a restore,
// or written by an earlier incarnation of this node. Errors wrap those of the key-value service.
func (o *Owner) acquire(ctx context.Context, replaced ownerEntry) error {
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	lastOwner, revision, err := o.readLastOwner(ctx)
	if err != nil {
		return err
	}
	record, token, err := o.writeOwnKey(ctx, replaced.revision, lease)
	if err != nil {
		o.refreshKey(ctx, OwnerKey(o.cfg.Self.Zone))
		return fmt.Errorf("acquire the owner key: %w", err)
	}
	acquired := o.cfg.BootClock()
	ordersFrom := o.earliestOrder(lastOwner, token.Era(), acquired)
	next := lastOwnerRecord{Addr: o.cfg.Self.Addr, Token: token, HandoverPending: ordersFrom.After(acquired)}
	if err := o.writeLastOwner(ctx, next, revision); err != nil {
		// Without the record, the next owner would not wait for the handover
		// delay after this one.
		_ = o.cfg.Store.RevokeLease(ctx, lease)
		return fmt.Errorf("write the last-owner record: %w", err)
	}
	if !o.beginTerm(ownerEntry{record, token}, lease, sent, ordersFrom, ordersFrom.After(acquired)) {
		_ = o.cfg.Store.RevokeLease(ctx, lease) // if this fails, the lease expires
		return errStopping
	}
	return nil
}

// errStopping means that the node began to stop while it acquired the zone.
var errStopping = errors.New("the node is stopping")

// readLastOwner returns the record of the last owner with its revision, and
// zero values if there is none.
func (o *Owner) readLastOwner(ctx context.Context) (lastOwnerRecord, kv.Revision, error) {
	var lastOwner lastOwnerRecord
	e, err := o.cfg.Store.Get(ctx, LastOwnerKey(o.cfg.Self.Zone))
	if errors.Is(err, kv.ErrNotFound) {
		return lastOwner, 0, nil
	}
	if err != nil {
		return lastOwner, 0, fmt.Errorf("read the last-owner record: %w", err)
	}
	if err := json.Unmarshal(e.Value, &lastOwner); err != nil {
		// Any other node may have been the owner. The address is that of no
		// node, so that it differs from all addresses it is compared with.
		lastOwner = lastOwnerRecord{Addr: "unreadable"}
	}
	return lastOwner, e.ModRevision, nil
}

// writeLastOwner writes the record of the last owner if it has the given revision.
func (o *Owner) writeLastOwner(ctx context.Context, record lastOwnerRecord, revision kv.Revision) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the last-owner record: %w", err)
	}
	_, err = o.cfg.Store.CompareAndSwap(ctx, LastOwnerKey(o.cfg.Self.Zone), value, revision, kv.LeaseID{})
	return err
}

// writeOwnKey registers this node as the owner, bound to a lease, if the owner key has
// the expected revision; 0 requires that it does not exist. It returns the record and
// its revision. The error wraps kv.ErrConflict also if the service was restored
// meanwhile, so that the record names a former era.
func (o *Owner) writeOwnKey(ctx context.Context, expect kv.Revision, lease kv.LeaseID) (OwnerRecord, kv.Revision, error) {
	record := OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation, lease.Era}
	value, err := json.Marshal(record)
	if err != nil {
		return record, 0, fmt.Errorf("encode the owner record: %w", err)
	}
	key := OwnerKey(o.cfg.Self.Zone)
	revision, err := o.cfg.Store.CompareAndSwap(ctx, key, value, expect, lease)
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		revision, err = o.confirmOwnKey(ctx, key)
	}
	if err == nil && revision.Era() != lease.Era {
		err = fmt.Errorf("key %q was written in era %d, not %d: %w", key, revision.Era(), lease.Era, kv.ErrConflict)
	}
	return record, revision, err
}

// readOwnerEntry reads the content of the zone's owner key, which is empty if the key
// does not exist or has no record.
func (o *Owner) readOwnerEntry(ctx context.Context, key string) (ownerEntry, error) {
	e, err := o.cfg.Store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return ownerEntry{}, nil
	}
	if err != nil {
		return ownerEntry{}, err
	}
	entry := ownerEntry{revision: e.ModRevision}
	if json.Unmarshal(e.Value, &entry.record) != nil {
		entry.record = OwnerRecord{}
	}
	return entry, nil
}

// confirmOwnKey checks whether a write of the zone's owner key with an unknown
// outcome took effect, and returns the key's revision. The error wraps
// kv.ErrConflict if the key has another record.
func (o *Owner) confirmOwnKey(ctx context.Context, key string) (kv.Revision, error) {
	entry, err := o.readOwnerEntry(ctx, key)
	if err != nil {
		return 0, err
	}
	if !o.isSelf(entry.record) || entry.inherited() {
		return 0, fmt.Errorf("key %q: %w", key, kv.ErrConflict)
	}
	return entry.revision, nil
}

// refreshKey reads the zone's owner key again after a failed attempt to acquire
// the zone.
func (o *Owner) refreshKey(ctx context.Context, key string) {
	e, err := o.cfg.Store.Get(ctx, key)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		o.ObserveKey(OwnerRecord{}, 0)
	case err == nil:
		var r OwnerRecord
		if json.Unmarshal(e.Value, &r) == nil {
			o.ObserveKey(r, e.ModRevision)
		}
	}
}

// maxHandoverDelay returns the handover delay after an owner of which nothing is
// known: its lease may have been valid until now.
func (o *Owner) maxHandoverDelay() time.Duration {
	return o.cfg.HandoverDelay + handoverMargin + o.leaseTTL
}

// outdated reports whether the record, as read in an era, may be older than the last
// owner: it was written before the key-value service was restored, or is missing after
// a restore.
func (r lastOwnerRecord) outdated(era kv.Era) bool {
	return era > kv.FirstEra && r.Token.Era() < era
}

// earliestOrder returns the time of BootClock at which an owner that acquired
// the zone after lastOwner, in an era of the key-value service, may send its first
// order, so that no two owners send orders within HandoverDelay.
func (o *Owner) earliestOrder(lastOwner lastOwnerRecord, era kv.Era, acquired time.Time) time.Time {
	if lastOwner.outdated(era) {
		return acquired.Add(o.maxHandoverDelay())
	}
	if lastOwner.Addr == "" || lastOwner.Addr == o.cfg.Self.Addr && !lastOwner.HandoverPending {
		return acquired
	}
	if lastOwner.LastOrderAge != 0 {
		return acquired.Add(max(o.cfg.HandoverDelay+handoverMargin-lastOwner.LastOrderAge, 0))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peerLeaseOwnerAddr != lastOwner.Addr {
		// This node granted no peer lease to the last owner, so it does not
		// know when that owner's authority ends: if its lease was revoked, it
		// may send orders until the lease would have expired.
		return acquired.Add(o.maxHandoverDelay())
	}
	return acquired.Add(o.cfg.HandoverDelay + handoverMargin)
}

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
// handover delay must still be recorded. The term is independent of the context
// of Run; endTerm ends it. beginTerm returns false, and starts nothing, if the node
// is stopping.
func (o *Owner) beginTerm(entry ownerEntry, lease kv.LeaseID, leaseRequested, ordersFrom time.Time, handoverPending bool) bool {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{
		token: entry.revision, lease: lease, ordersFrom: ordersFrom, handoverPending: handoverPending, ctx: ctx, cancel: cancel,
		scheduler: scheduler.New(firstRunID(entry.revision)),
		waiting:   map[scheduler.Ticket]waitingRequest{},
	}
	t.authority.leaseRenewed(leaseRequested, o.leaseTTL)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		cancel()
		return false
	}
	t.scheduler.SetServices(o.services)
	t.scheduler.SetZones(o.cfg.Self.Zone, o.cfg.Zones)
	t.setTargets(o.targets)
	o.term = t
	o.currentEntry = entry
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

// lastOrderAge returns the time since the last order at the end of a term, so that the
// next owner waits for long enough. It is never 0, which is no age. Without an order in
// the term, the last one may have been sent just before the term could send orders, by an
// earlier incarnation of this node. o.mu must be held.
func (o *Owner) lastOrderAge(t *term) time.Duration {
	now := o.cfg.BootClock()
	if delayLeft := t.ordersFrom.Sub(now); delayLeft > 0 {
		// The last order was sent HandoverDelay before ordersFrom or earlier. The
		// owner before may still send orders, if more than HandoverDelay is left: the
		// age is negative then.
		return cmp.Or(o.cfg.HandoverDelay-delayLeft, time.Millisecond)
	}
	return max(now.Sub(latest(t.lastOrderAt, t.ordersFrom)), time.Millisecond)
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
