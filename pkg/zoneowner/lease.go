package zoneowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
)

// renewLeaseLoop renews the term's lease until the term ends. It also records
// the end of the handover delay, registers the owner again if the lease has
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
		case errors.Is(err, kv.ErrLeaseExpired):
			t.authority.leaseLost()
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
	record, err := json.Marshal(lastOwnerRecord{Addr: o.cfg.Self.Addr})
	if err != nil {
		return
	}
	if _, err := o.cfg.Store.CompareAndSwap(t.ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, kv.LeaseID{}); err != nil {
		return
	}
	o.mu.Lock()
	t.handoverPending = false
	o.mu.Unlock()
}

// endIfUnauthorized ends a term that has had no authority for longer than the
// lease, so that the nodes of its waiting requests look for another owner. o.mu
// must be held.
func (o *Owner) endIfUnauthorized(t *term) {
	boot := o.cfg.BootClock()
	if boot.Sub(t.authority.validUntil(boot)) > o.leaseTTL {
		o.endTerm(t, "neither lease nor promises")
	}
}

// reacquire registers the owner again after its lease expired. The term
// continues if no other node has acquired the zone, and ends if one has.
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
	value, err := json.Marshal(OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation})
	if err != nil {
		return
	}
	token, err := o.cfg.Store.CompareAndSwap(ctx, OwnerKey(o.cfg.Self.Zone), value, 0, lease)
	if errors.Is(err, kv.ErrOutcomeUnknown) || errors.Is(err, kv.ErrConflict) {
		token, err = o.confirmOwnKey(ctx, OwnerKey(o.cfg.Self.Zone))
	}
	if err == nil {
		err = o.checkNoOtherOwner(ctx, lease)
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
		if errors.Is(err, kv.ErrConflict) {
			o.endTerm(t, "another node took the zone after the lease lapsed")
		}
		return
	}
	t.token, t.lease = uint64(token), lease
	t.authority.leaseRenewed(sent, o.leaseTTL)
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", t.token).Str("after", "lapse").Send()
}

// isCurrent reports whether the term still lasts.
func (o *Owner) isCurrent(t *term) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term == t
}

// checkNoOtherOwner returns nil if no other node was the owner while this
// node's owner key did not exist. If one was, it may have sent orders: the lease
// is revoked, and the error wraps kv.ErrConflict.
func (o *Owner) checkNoOtherOwner(ctx context.Context, lease kv.LeaseID) error {
	lastOwner, _, err := o.readLastOwner(ctx)
	if err != nil {
		return err // the term continues under peer leases, or ends without them
	}
	if lastOwner.Addr == o.cfg.Self.Addr {
		return nil
	}
	_ = o.cfg.Store.RevokeLease(ctx, lease) // if this fails, the lease expires
	return fmt.Errorf("node at %s became the owner after the lease expired: %w", lastOwner.Addr, kv.ErrConflict)
}
