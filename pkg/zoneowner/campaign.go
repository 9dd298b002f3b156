package zoneowner

import (
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

// KeyPrefix is where the owners of the zones register.
const KeyPrefix = "almondturn/zones/"

// Times of the runElection.
const (
	// defaultLeaseTTL is how long the zone stays with an ownerIndex that is not heard of.
	defaultLeaseTTL = 1500 * time.Millisecond
	// renewInterval is the time between two renewals and between two pings.
	renewInterval = 400 * time.Millisecond
	// peerLeaseRequestTimeout bounds the wait for a promise.
	peerLeaseRequestTimeout = 600 * time.Millisecond
	// electionRetryDelay is the wait after a failed attempt to acquire the zone.
	electionRetryDelay = 250 * time.Millisecond
	// maxElectionJitter spreads the attempts of the nodes.
	maxElectionJitter = 40 * time.Millisecond
	// maxCapacityDelay is how long a node without any processor share would wait
	// before it takes the zone.
	maxCapacityDelay = 400 * time.Millisecond
	// previousOwnerPreference is how much longer other nodes wait for the node that owned the
	// zone before, within preferenceWindow after they have learned what they need: that
	// takes seconds when hundreds of nodes start at once.
	previousOwnerPreference = 700 * time.Millisecond
	preferenceWindow        = 3 * time.Second
	// minBroadcastInterval is the least time between two broadcasts of the zone's
	// sent; fullStateInterval the longest.
	minBroadcastInterval = 100 * time.Millisecond
	fullStateInterval    = 5 * time.Second
)

// OwnerRecord is the value of a zone's key.
type OwnerRecord struct {
	Node        fleet.NodeID `json:"node"`
	Addr        string       `json:"addr"`
	Incarnation string       `json:"incarnation"`
}

// previousOwnerRecord tells who gave orders zoneState. It outlives the lease.
type previousOwnerRecord struct {
	Addr string `json:"addr"`
	// HandoverPending tells that the pause after the ownerIndex before has not ended, so
	// that a new start of this ownerIndex has to keep it too.
	HandoverPending bool `json:"pending,omitempty"`
	// LastOrderAge is the time since the zoneState order when the ownerIndex resigned.
	LastOrderAge time.Duration `json:"age,omitempty"`
}

// ownerKey is a zone's key; without an address, nobody owns the zone.
type ownerKey struct {
	record   OwnerRecord
	revision kv.Revision
}

// OwnerKey returns the key of a zone's ownerIndex.
func OwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/owner" }

// LastOwnerKey returns the key of the record of a zone's zoneState ownerIndex.
func LastOwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/last" }

// ObserveKey tells the ownerIndex what a watchKeys says of the zone's key; an empty
// record means that the key does not exist.
func (o *Owner) ObserveKey(record OwnerRecord, revision kv.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.currentKey = ownerKey{record, revision}
	o.keyObserved = true
	t := o.term
	if t != nil && record.Addr != "" && !o.isSelf(record) {
		o.endTerm(t, "another node took the zone")
	}
	o.wakeElection()
}

// ObserveLastOwner tells the ownerIndex what a watchKeys says of the record of the zoneState
// ownerIndex.
func (o *Owner) ObserveLastOwner(value []byte) {
	var last previousOwnerRecord
	if err := json.Unmarshal(value, &last); err != nil {
		last.Addr = "" // no ownerIndex is trusted to be the zoneState one
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previousOwnerAddr, o.previousOwnerResigned = last.Addr, last.LastOrderAge > 0
}

func (o *Owner) isSelf(r OwnerRecord) bool {
	return r.Addr == o.cfg.Self.Addr && r.Incarnation == o.cfg.Self.Incarnation
}

// Run takes the zone when nobody owns it, validUntil ctx ends.
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

// runElection takes the zone if that is due, and returns when to look again.
func (o *Owner) runElection(ctx context.Context) time.Duration {
	o.mu.Lock()
	held, promised := o.currentKey, o.peerLeaseUntil.Sub(o.cfg.BootClock())
	able := o.keyObserved && o.targetsReceived && o.term == nil && !o.stopping && o.services != nil
	if able && o.eligibleSince.IsZero() {
		o.eligibleSince = o.cfg.BootClock()
	}
	mine := held.record.Addr == o.cfg.Self.Addr
	o.mu.Unlock()
	switch {
	case !able || held.record.Addr != "" && !mine:
		return time.Second
	case promised > 0 && !mine:
		return promised
	}
	time.Sleep(o.electionDelay(mine))
	if !o.keyUnchanged(held) {
		return time.Second
	}
	if err := o.acquire(ctx, held); err != nil {
		event.ZoneTakeFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
		return electionRetryDelay
	}
	return time.Second
}

// electionDelay returns how long this node lets others acquire the free zone. It does
// not for its own key. Just after it has started it waits for the
// node that owned the zone before, unless that has resigned: if all have started
// anew, that one may give orders at once.
func (o *Owner) electionDelay(mine bool) time.Duration {
	if mine {
		return 0
	}
	wait := rand.N(maxElectionJitter) + time.Duration((1-min(o.cfg.CPUCapacity, 1))*float64(maxCapacityDelay))
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh := o.cfg.BootClock().Sub(o.eligibleSince) < preferenceWindow
	if fresh && o.previousOwnerAddr != "" && o.previousOwnerAddr != o.cfg.Self.Addr && !o.previousOwnerResigned {
		wait += previousOwnerPreference
	}
	return wait
}

// keyUnchanged tells whether the key has not changed meanwhile.
func (o *Owner) keyUnchanged(held ownerKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentKey == held && o.term == nil && !o.stopping
}

// acquire registers this node as the ownerIndex. held is the key that it replaces:
// none, or that of an earlier start of this node.
func (o *Owner) acquire(ctx context.Context, held ownerKey) error {
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.leaseTTL)
	if err != nil {
		return fmt.Errorf("grant a lease: %w", err)
	}
	last, revision, err := o.readPreviousOwner(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation})
	if err != nil {
		return fmt.Errorf("encode the owner: %w", err)
	}
	key := OwnerKey(o.cfg.Self.Zone)
	token, err := o.cfg.Store.CompareAndSwap(ctx, key, value, held.revision, lease)
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		token, err = o.confirmOwnKey(ctx, key)
	}
	if err != nil {
		o.refreshKey(ctx, key)
		return fmt.Errorf("take the key: %w", err)
	}
	taken := o.cfg.BootClock()
	from := o.earliestOrder(last, taken)
	record, err := json.Marshal(previousOwnerRecord{Addr: o.cfg.Self.Addr, HandoverPending: from.After(taken)})
	if err != nil {
		return fmt.Errorf("encode the record: %w", err)
	}
	if _, err := o.cfg.Store.CompareAndSwap(ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0); err != nil {
		// Without the record a successor would not know of this ownerIndex.
		_ = o.cfg.Store.RevokeLease(ctx, lease)
		return fmt.Errorf("write the record of the owner: %w", err)
	}
	o.beginTerm(uint64(token), lease, sent, from, from.After(taken))
	return nil
}

// readPreviousOwner returns the record of who gave orders zoneState.
func (o *Owner) readPreviousOwner(ctx context.Context) (previousOwnerRecord, kv.Revision, error) {
	var last previousOwnerRecord
	e, err := o.cfg.Store.Get(ctx, LastOwnerKey(o.cfg.Self.Zone))
	if errors.Is(err, kv.ErrNotFound) {
		return last, 0, nil
	}
	if err != nil {
		return last, 0, fmt.Errorf("read the record of the owner: %w", err)
	}
	if err := json.Unmarshal(e.Value, &last); err != nil {
		last = previousOwnerRecord{Addr: "unreadable"} // any ownerIndex may have been
	}
	return last, e.ModRevision, nil
}

// confirmOwnKey finds out whether a change without an respond took effect.
func (o *Owner) confirmOwnKey(ctx context.Context, key string) (kv.Revision, error) {
	e, err := o.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var r OwnerRecord
	if err := json.Unmarshal(e.Value, &r); err != nil || !o.isSelf(r) {
		return 0, fmt.Errorf("key %q: %w", key, kv.ErrConflict)
	}
	return e.ModRevision, nil
}

// refreshKey learns the key's sent after a failed attempt.
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

// earliestOrder returns when the first order may be sent: no two owners give
// orders within the sender pause.
func (o *Owner) earliestOrder(last previousOwnerRecord, taken time.Time) time.Time {
	if last.Addr == "" || last.Addr == o.cfg.Self.Addr && !last.HandoverPending {
		return taken
	}
	if last.LastOrderAge > 0 {
		return taken.Add(max(o.cfg.HandoverDelay+handoverMargin-last.LastOrderAge, 0))
	}
	pause := o.cfg.HandoverDelay + handoverMargin
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.peerLeaseOwnerAddr != last.Addr {
		// This node made the former ownerIndex no promise, so that the ownerIndex may
		// still trust a lease that was taken away from it.
		pause += o.leaseTTL
	}
	return taken.Add(pause)
}

// beginTerm startCount a term.
func (o *Owner) beginTerm(token uint64, lease kv.LeaseID, renewed, ordersFrom time.Time, pending bool) {
	ctx, cancel := context.WithCancel(context.Background())
	const runsPerToken = 1 << 24 // runs of two owners get different numbers
	t := &term{
		token: token, lease: lease, ordersFrom: ordersFrom, handoverPending: pending, ctx: ctx, cancel: cancel,
		scheduler: scheduler.New(scheduler.RunID(token * runsPerToken)),
		waiting:   map[scheduler.Ticket]waitingRequest{},
	}
	t.authority.leaseRenewed(renewed, o.leaseTTL)
	o.mu.Lock()
	defer o.mu.Unlock()
	t.scheduler.SetServices(o.services)
	t.scheduler.SetZones(o.cfg.Self.Zone, o.cfg.Zones)
	t.setTargets(o.targets)
	o.term = t
	o.currentKey = ownerKey{OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation}, kv.Revision(token)}
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", token).
		Int64("orders_after_ms", ordersFrom.Sub(o.cfg.BootClock()).Milliseconds()).Send()
	go o.renewLeaseLoop(t)
	go o.peerLeaseLoop(t)
	go o.schedulerLoop(t)
}

// endTerm ends the term; waitingRequest requests go back to their nodes. o.mu is currentKey.
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
	event.ZoneLost.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", t.token).Str("reason", reason).Send()
}

// Resign gives the zone up, and tells the next ownerIndex when the zoneState order was sent.
func (o *Owner) Resign(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	t := o.term
	if t == nil {
		o.mu.Unlock()
		return
	}
	age := time.Hour
	if !t.lastOrderAt.IsZero() {
		age = max(o.cfg.BootClock().Sub(t.lastOrderAt), time.Millisecond)
	}
	if pause := t.ordersFrom.Sub(o.cfg.BootClock()); pause > 0 {
		age = max(o.cfg.HandoverDelay-pause, time.Millisecond) // the pause of this ownerIndex still counts
	}
	o.endTerm(t, "resigned")
	o.mu.Unlock()
	if _, revision, err := o.readPreviousOwner(ctx); err == nil {
		if record, err := json.Marshal(previousOwnerRecord{Addr: o.cfg.Self.Addr, LastOrderAge: age}); err == nil {
			// Without it the next ownerIndex waits for the whole pause.
			_, _ = o.cfg.Store.CompareAndSwap(ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0)
		}
	}
	_ = o.cfg.Store.RevokeLease(ctx, t.lease) // else it lapses
	o.cfg.Network.Broadcast(&wire.ZoneState{Zone: o.cfg.Self.Zone, Token: t.token, Resigned: true})
}

// Abort ends the term without a word, as a crash does.
func (o *Owner) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	if o.term != nil {
		o.endTerm(o.term, "abandoned")
	}
}

// IsOwner tells whether this node owns its zone.
func (o *Owner) IsOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term != nil
}
