package zoneowner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
)

// renewLeaseLoop renews the term's lease until the term ends. It also records the
// peers of the term and the end of the handover delay, registers the owner again if the lease has
// expired, and ends the term if another node became the owner in between or if
// this node has had no authority for longer than a lease.
func (o *Owner) renewLeaseLoop(t *term) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		o.completeHandover(t)
		sent := o.cfg.BootClock()
		err := o.cfg.Store.RenewLease(t.ctx, t.lease)
		o.mu.Lock()
		switch {
		case err == nil:
			t.authority.leaseRenewed(sent, o.leaseTTL)
			o.mu.Unlock()
			o.recordPeers(t)
			continue
		case errors.Is(err, kv.ErrLeaseExpired):
			if o.cfg.Store.Era() == t.token.Era() {
				t.authority.leaseLost()
			}
			o.mu.Unlock()
			o.reacquire(t)
			continue
		case t.ctx.Err() == nil:
			event.LeaseRenewFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
			o.endIfUnauthorized(t)
		}
		o.mu.Unlock()
	}
}

// completeHandover records that this owner's handover delay is over, so that
// this node need not wait for it again after a restart.
func (o *Owner) completeHandover(t *term) {
	o.mu.Lock()
	due := t.handoverPending && !o.cfg.BootClock().Before(t.ordersFrom)
	o.mu.Unlock()
	if !due {
		return
	}
	lastOwner, revision, err := o.readLastOwner(t.ctx)
	if err != nil || lastOwner.Addr != o.cfg.Self.Addr {
		return // retried at the next renewal, which may also find another owner
	}
	if err := o.writeTermRecord(t.ctx, t, lastOwnerRecord{Addr: o.cfg.Self.Addr, Token: lastOwner.Token}, revision); err != nil {
		return
	}
	o.mu.Lock()
	t.handoverPending = false
	o.mu.Unlock()
}

// endIfUnauthorized ends a term that has had neither lease nor peer leases for longer
// than the lease, so that the nodes of its waiting requests look for another owner. A
// term whose authority has ended although its peer leases are valid goes on to grant
// slots. o.mu must be held.
func (o *Owner) endIfUnauthorized(t *term) {
	boot := o.cfg.BootClock()
	if boot.Sub(t.authority.grantedUntil(boot)) > o.leaseTTL {
		o.endTerm(t, "neither lease nor promises")
	}
}

// reacquire registers the owner again after its lease expired, or was lost when the
// key-value service was restored. The term continues if no other node has acquired
// the zone, and ends if one has.
func (o *Owner) reacquire(t *term) {
	// defaultLeaseTTL bounds the time for all calls below; the lease itself gets
	// o.leaseTTL.
	ctx, cancel := context.WithTimeout(t.ctx, defaultLeaseTTL)
	defer cancel()
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.leaseTTL)
	if err != nil {
		return // the next renewal finds the lease expired and tries again
	}
	token, err := o.registerAgain(ctx, lease)
	ordersFrom := time.Time{}
	if err == nil {
		ordersFrom, err = o.confirmTerm(ctx, t, token, lease)
	}
	if err == nil && !o.isCurrent(t) {
		// The term ended meanwhile. Its context has ended as well.
		revokeCtx, revokeCancel := context.WithTimeout(context.Background(), defaultLeaseTTL)
		defer revokeCancel()
		_ = o.cfg.Store.RevokeLease(revokeCtx, lease) // if this fails, the lease expires
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		if errors.Is(err, errOtherOwner) {
			o.endTerm(t, "another node took the zone after the lease lapsed")
		}
		return
	}
	t.token, t.lease, t.ordersFrom = token, lease, ordersFrom
	t.handoverPending = t.handoverPending || ordersFrom.After(sent)
	t.authority.leaseRenewed(sent, o.leaseTTL)
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", uint64(token)).Str("after", "lapse").
		Int64("orders_after_ms", ordersFrom.Sub(o.cfg.BootClock()).Milliseconds()).Send()
}

// errOtherOwner means that another node has acquired the zone.
var errOtherOwner = errors.New("another node acquired the zone")

// registerAgain writes the zone's owner key under a new lease. It replaces a key that
// this process wrote, or that is inherited from before a restore. The error wraps
// errOtherOwner if another node has registered.
func (o *Owner) registerAgain(ctx context.Context, lease kv.LeaseID) (kv.Revision, error) {
	_, token, err := o.writeOwnKey(ctx, 0, lease)
	if !errors.Is(err, kv.ErrConflict) {
		return token, err
	}
	key := OwnerKey(o.cfg.Self.Zone)
	entry, err := o.readOwnerEntry(ctx, key)
	if err != nil {
		return 0, err
	}
	if entry.record.Addr != "" && !o.isSelf(entry.record) && !entry.inherited() {
		return 0, fmt.Errorf("key %q names the node at %s: %w", key, entry.record.Addr, errOtherOwner)
	}
	_, token, err = o.writeOwnKey(ctx, entry.revision, lease)
	return token, err
}

// confirmTerm checks that no other node has been the owner while this node's owner
// key did not exist, and returns when the term may send its next order. If another
// node has been, it may have sent orders: the lease is revoked, and the error wraps
// errOtherOwner.
func (o *Owner) confirmTerm(ctx context.Context, t *term, token kv.Revision, lease kv.LeaseID) (time.Time, error) {
	lastOwner, revision, err := o.readLastOwner(ctx)
	if err != nil {
		return time.Time{}, err // the term continues under peer leases, or ends without them
	}
	if era := o.cfg.Store.Era(); era != token.Era() {
		return time.Time{}, fmt.Errorf("registered in era %d, it is era %d now: %w", token.Era(), era, kv.ErrConflict)
	}
	o.mu.Lock()
	previous, ordersFrom, unbroken := t.token, t.ordersFrom, t.authority.unbroken(o.cfg.BootClock())
	o.mu.Unlock()
	restored := token.Era() != previous.Era()
	if lastOwner.Addr != o.cfg.Self.Addr && !(restored && lastOwner.precedes(previous)) {
		_ = o.cfg.Store.RevokeLease(ctx, lease) // if this fails, the lease expires
		return time.Time{}, fmt.Errorf("node at %s became the owner after the lease expired: %w", lastOwner.Addr, errOtherOwner)
	}
	if !restored {
		// A node that the record does not name waits for as long as the record is
		// unchanged.
		return ordersFrom, o.writeTermRecord(ctx, t, lastOwner, revision)
	}
	// The record of the last owner is older than this term, or names an earlier one
	// of this node: it does not show whether another node was the owner before the
	// restore.
	now := o.cfg.BootClock()
	if !unbroken {
		ordersFrom = latest(ordersFrom, now.Add(o.maxHandoverDelay()))
	}
	next := lastOwnerRecord{Addr: o.cfg.Self.Addr, Token: token, HandoverPending: ordersFrom.After(now)}
	return ordersFrom, o.writeTermRecord(ctx, t, next, revision)
}

// isCurrent reports whether the term still lasts.
func (o *Owner) isCurrent(t *term) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term == t
}
