package zoneowner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/kv"
)

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
	// Peers are the nodes under whose peer leases the owner may send orders when its
	// lease has ended. If there are none, it sends orders under its lease only.
	Peers []fleet.NodeID `json:"peers,omitempty"`
}

// LastOwnerKey returns the key of the record of a zone's last owner.
func LastOwnerKey(zone fleet.Zone) string { return KeyPrefix + string(zone) + "/last" }

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
	o.vacancy.observeRecord(o.cfg.BootClock(), revision)
	o.lastOwnerOutdated = lastOwner.outdated(revision.Era())
	if o.lastOwnerOutdated {
		return
	}
	o.lastOwnerAddr, o.lastOwnerResigned = lastOwner.Addr, lastOwner.LastOrderAge != 0
}

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

// precedes reports whether the record is missing, or of a term before the one with a
// fencing token.
func (r lastOwnerRecord) precedes(token kv.Revision) bool {
	return r.Addr == "" || r.Token != 0 && r.Token < token
}

// earliestOrder returns the time of BootClock at which an owner that acquired
// the zone after lastOwner, in an era of the key-value service, may send its first
// order, so that no two owners send orders within HandoverDelay. freeSince is when this node
// saw that the owner key was gone, zero if that is not known.
func (o *Owner) earliestOrder(lastOwner lastOwnerRecord, freeSince time.Time, era kv.Era, acquired time.Time) time.Time {
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
	return o.authorityEnd(lastOwner, freeSince, acquired).Add(o.cfg.HandoverDelay + handoverMargin)
}

// lastOrderAge returns the time since the last order at the end of a term, so that the
// next owner waits for long enough. It is never 0, which is no age. An order that is in
// flight may arrive until the end of the term abandons it. o.mu must be held.
func (o *Owner) lastOrderAge(t *term) time.Duration {
	age := o.finishedOrderAge(t)
	if t.ordersInFlight > 0 {
		return min(age, time.Millisecond)
	}
	return age
}

// finishedOrderAge is lastOrderAge for a term without orders in flight. Without an order
// in the term, the last one may have been sent just before the term could send orders, by
// an earlier incarnation of this node. o.mu must be held.
func (o *Owner) finishedOrderAge(t *term) time.Duration {
	now := o.cfg.BootClock()
	if delayLeft := t.ordersFrom.Sub(now); delayLeft > 0 {
		// The last order was sent HandoverDelay before ordersFrom or earlier. The
		// owner before may still send orders, if more than HandoverDelay is left: the
		// age is negative then.
		return cmp.Or(o.cfg.HandoverDelay-delayLeft, time.Millisecond)
	}
	return max(now.Sub(latest(t.lastOrderAt, t.ordersFrom)), time.Millisecond)
}
