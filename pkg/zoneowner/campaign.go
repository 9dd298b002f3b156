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

// Times of the campaign.
const (
	// leaseTime is how long the zone stays with an owner that is not heard of.
	leaseTime = 1500 * time.Millisecond
	// renewInterval is the time between two renewals and between two pings.
	renewInterval = 400 * time.Millisecond
	// pingTimeout bounds the wait for a promise.
	pingTimeout = 600 * time.Millisecond
	// takeRetry is the wait after a failed attempt to take the zone.
	takeRetry = 250 * time.Millisecond
	// takeJitter spreads the attempts of the nodes.
	takeJitter = 40 * time.Millisecond
	// weakDelay is how long a node without any processor share would wait
	// before it takes the zone.
	weakDelay = 400 * time.Millisecond
	// preference is how much longer other nodes wait for the node that owned the
	// zone before, within freshTime after they have learned what they need: that
	// takes seconds when hundreds of nodes start at once.
	preference = 700 * time.Millisecond
	freshTime  = 3 * time.Second
	// stateInterval is the least time between two broadcasts of the zone's
	// state; stateRefresh the longest.
	stateInterval = 100 * time.Millisecond
	stateRefresh  = 5 * time.Second
)

// OwnerRecord is the value of a zone's key.
type OwnerRecord struct {
	Node        fleet.NodeID `json:"node"`
	Addr        string       `json:"addr"`
	Incarnation string       `json:"incarnation"`
}

// lastRecord tells who gave orders last. It outlives the lease.
type lastRecord struct {
	Addr string `json:"addr"`
	// Pending tells that the pause after the owner before has not ended, so
	// that a new start of this owner has to keep it too.
	Pending bool `json:"pending,omitempty"`
	// Age is the time since the last order when the owner resigned.
	Age time.Duration `json:"age,omitempty"`
}

// ownerKey is a zone's key; without an address, nobody owns the zone.
type ownerKey struct {
	record   OwnerRecord
	revision kv.Revision
}

// OwnerKey returns the key of a zone's owner.
func OwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/owner" }

// LastOwnerKey returns the key of the record of a zone's last owner.
func LastOwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/last" }

// ObserveKey tells the owner what a watch says of the zone's key; an empty
// record means that the key does not exist.
func (o *Owner) ObserveKey(record OwnerRecord, revision kv.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = ownerKey{record, revision}
	o.known = true
	t := o.tenure
	if t != nil && record.Addr != "" && !o.isMine(record) {
		o.end(t, "another node took the zone")
	}
	o.nudge()
}

// ObserveLastOwner tells the owner what a watch says of the record of the last
// owner.
func (o *Owner) ObserveLastOwner(value []byte) {
	var last lastRecord
	if err := json.Unmarshal(value, &last); err != nil {
		last.Addr = "" // no owner is trusted to be the last one
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastAddr, o.lastResigned = last.Addr, last.Age > 0
}

func (o *Owner) isMine(r OwnerRecord) bool {
	return r.Addr == o.cfg.Self.Addr && r.Incarnation == o.cfg.Self.Incarnation
}

// Run takes the zone when nobody owns it, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := o.campaign(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-o.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// campaign takes the zone if that is due, and returns when to look again.
func (o *Owner) campaign(ctx context.Context) time.Duration {
	o.mu.Lock()
	held, promised := o.held, o.promisedUntil.Sub(o.cfg.BootClock())
	able := o.known && o.ready && o.tenure == nil && !o.stopping && o.services != nil
	if able && o.able.IsZero() {
		o.able = o.cfg.BootClock()
	}
	mine := held.record.Addr == o.cfg.Self.Addr
	o.mu.Unlock()
	switch {
	case !able || held.record.Addr != "" && !mine:
		return time.Second
	case promised > 0 && !mine:
		return promised
	}
	time.Sleep(o.holdBack(mine))
	if !o.stillFree(held) {
		return time.Second
	}
	if err := o.take(ctx, held); err != nil {
		event.ZoneTakeFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
		return takeRetry
	}
	return time.Second
}

// holdBack returns how long this node lets others take the free zone. It does
// not for its own key. Just after it has started it waits for the
// node that owned the zone before, unless that has resigned: if all have started
// anew, that one may give orders at once.
func (o *Owner) holdBack(mine bool) time.Duration {
	if mine {
		return 0
	}
	wait := rand.N(takeJitter) + time.Duration((1-min(o.cfg.CPUCapacity, 1))*float64(weakDelay))
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh := o.cfg.BootClock().Sub(o.able) < freshTime
	if fresh && o.lastAddr != "" && o.lastAddr != o.cfg.Self.Addr && !o.lastResigned {
		wait += preference
	}
	return wait
}

// stillFree tells whether the key has not changed meanwhile.
func (o *Owner) stillFree(held ownerKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held == held && o.tenure == nil && !o.stopping
}

// take registers this node as the owner. held is the key that it replaces:
// none, or that of an earlier start of this node.
func (o *Owner) take(ctx context.Context, held ownerKey) error {
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.ttl)
	if err != nil {
		return fmt.Errorf("grant a lease: %w", err)
	}
	last, revision, err := o.readLast(ctx)
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
		token, err = o.readBack(ctx, key)
	}
	if err != nil {
		o.reread(ctx, key)
		return fmt.Errorf("take the key: %w", err)
	}
	taken := o.cfg.BootClock()
	from := o.ordersFrom(last, taken)
	record, err := json.Marshal(lastRecord{Addr: o.cfg.Self.Addr, Pending: from.After(taken)})
	if err != nil {
		return fmt.Errorf("encode the record: %w", err)
	}
	if _, err := o.cfg.Store.CompareAndSwap(ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0); err != nil {
		// Without the record a successor would not know of this owner.
		_ = o.cfg.Store.RevokeLease(ctx, lease)
		return fmt.Errorf("write the record of the owner: %w", err)
	}
	o.begin(uint64(token), lease, sent, from, from.After(taken))
	return nil
}

// readLast returns the record of who gave orders last.
func (o *Owner) readLast(ctx context.Context) (lastRecord, kv.Revision, error) {
	var last lastRecord
	e, err := o.cfg.Store.Get(ctx, LastOwnerKey(o.cfg.Self.Zone))
	if errors.Is(err, kv.ErrNotFound) {
		return last, 0, nil
	}
	if err != nil {
		return last, 0, fmt.Errorf("read the record of the owner: %w", err)
	}
	if err := json.Unmarshal(e.Value, &last); err != nil {
		last = lastRecord{Addr: "unreadable"} // any owner may have been
	}
	return last, e.ModRevision, nil
}

// readBack finds out whether a change without an answer took effect.
func (o *Owner) readBack(ctx context.Context, key string) (kv.Revision, error) {
	e, err := o.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var r OwnerRecord
	if err := json.Unmarshal(e.Value, &r); err != nil || !o.isMine(r) {
		return 0, fmt.Errorf("key %q: %w", key, kv.ErrConflict)
	}
	return e.ModRevision, nil
}

// reread learns the key's state after a failed attempt.
func (o *Owner) reread(ctx context.Context, key string) {
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

// ordersFrom returns when the first order may be sent: no two owners give
// orders within the holder pause.
func (o *Owner) ordersFrom(last lastRecord, taken time.Time) time.Time {
	if last.Addr == "" || last.Addr == o.cfg.Self.Addr && !last.Pending {
		return taken
	}
	if last.Age > 0 {
		return taken.Add(max(o.cfg.HandoverDelay+pauseMargin-last.Age, 0))
	}
	pause := o.cfg.HandoverDelay + pauseMargin
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.promisedTo != last.Addr {
		// This node made the former owner no promise, so that the owner may
		// still trust a lease that was taken away from it.
		pause += o.ttl
	}
	return taken.Add(pause)
}

// begin starts a tenure.
func (o *Owner) begin(token uint64, lease kv.LeaseID, renewed, ordersFrom time.Time, pending bool) {
	ctx, cancel := context.WithCancel(context.Background())
	const runsPerToken = 1 << 24 // runs of two owners get different numbers
	t := &tenure{
		token: token, lease: lease, ordersFrom: ordersFrom, pending: pending, ctx: ctx, cancel: cancel,
		scheduler: scheduler.New(scheduler.RunID(token * runsPerToken)),
		waiting:   map[scheduler.Ticket]waiting{},
	}
	t.authority.renewed(renewed, o.ttl)
	o.mu.Lock()
	defer o.mu.Unlock()
	t.scheduler.SetServices(o.services)
	t.scheduler.SetZones(o.cfg.Self.Zone, o.cfg.Zones)
	t.setTargets(o.targets)
	o.tenure = t
	o.held = ownerKey{OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation}, kv.Revision(token)}
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", token).
		Int64("orders_after_ms", ordersFrom.Sub(o.cfg.BootClock()).Milliseconds()).Send()
	go o.keepLease(t)
	go o.keepPromises(t)
	go o.keepStepping(t)
}

// end ends the tenure; waiting requests go back to their nodes. o.mu is held.
func (o *Owner) end(t *tenure, reason string) {
	if o.tenure != t {
		return
	}
	o.tenure = nil
	o.told.Store(nil)
	t.cancel()
	for ticket, w := range t.waiting {
		delete(t.waiting, ticket)
		w.result <- &wire.SlotResponse{Refusal: wire.SlotNotOwner}
	}
	event.ZoneLost.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", t.token).Str("reason", reason).Send()
}

// Resign gives the zone up, and tells the next owner when the last order was sent.
func (o *Owner) Resign(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	t := o.tenure
	if t == nil {
		o.mu.Unlock()
		return
	}
	age := time.Hour
	if !t.lastOrder.IsZero() {
		age = max(o.cfg.BootClock().Sub(t.lastOrder), time.Millisecond)
	}
	if pause := t.ordersFrom.Sub(o.cfg.BootClock()); pause > 0 {
		age = max(o.cfg.HandoverDelay-pause, time.Millisecond) // the pause of this owner still counts
	}
	o.end(t, "resigned")
	o.mu.Unlock()
	if _, revision, err := o.readLast(ctx); err == nil {
		if record, err := json.Marshal(lastRecord{Addr: o.cfg.Self.Addr, Age: age}); err == nil {
			// Without it the next owner waits for the whole pause.
			_, _ = o.cfg.Store.CompareAndSwap(ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0)
		}
	}
	_ = o.cfg.Store.RevokeLease(ctx, t.lease) // else it lapses
	o.cfg.Network.Broadcast(&wire.ZoneState{Zone: o.cfg.Self.Zone, Token: t.token, Resigned: true})
}

// Abort ends the tenure without a word, as a crash does.
func (o *Owner) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
	if o.tenure != nil {
		o.end(o.tenure, "abandoned")
	}
}

// IsOwner tells whether this node owns its zone.
func (o *Owner) IsOwner() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tenure != nil
}
