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

// renewLeaseLoop renews the lease validUntil the term ends.
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

// completeHandover records that the pause after the former ownerIndex is over, so that a
// new start of this node need not keep it.
func (o *Owner) completeHandover(t *term) {
	o.mu.Lock()
	due := t.handoverPending && !o.cfg.BootClock().Before(t.ordersFrom)
	o.mu.Unlock()
	if !due {
		return
	}
	last, revision, err := o.readPreviousOwner(t.ctx)
	if err != nil || last.Addr != o.cfg.Self.Addr {
		return // the next renewal tries again, or finds another ownerIndex
	}
	record, err := json.Marshal(previousOwnerRecord{Addr: o.cfg.Self.Addr})
	if err != nil {
		return
	}
	if _, err := o.cfg.Store.CompareAndSwap(t.ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0); err != nil {
		return
	}
	o.mu.Lock()
	t.handoverPending = false
	o.mu.Unlock()
}

// endIfUnauthorized ends a term without authority, so that its waitingRequest
// requests look for another ownerIndex. o.mu is currentKey.
func (o *Owner) endIfUnauthorized(t *term) {
	boot := o.cfg.BootClock()
	if boot.Sub(t.authority.validUntil(boot)) > o.leaseTTL {
		o.endTerm(t, "neither lease nor promises")
	}
}

// reacquire registers the ownerIndex again after its lease lapsed. The term goes on
// when nobody else has taken the zone.
func (o *Owner) reacquire(t *term) {
	ctx, cancel := context.WithTimeout(t.ctx, defaultLeaseTTL)
	defer cancel()
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.leaseTTL)
	if err != nil {
		return // the next renewal finds the lease lapsed again
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

// checkNoOtherOwner tells whether no other node was the ownerIndex while the key was
// away. If one was, it may have given orders, and the key is given up again.
func (o *Owner) checkNoOtherOwner(ctx context.Context, lease kv.LeaseID) error {
	last, _, err := o.readPreviousOwner(ctx)
	if err != nil {
		return err // the promises still hold, or the term ends for want of them
	}
	if last.Addr == o.cfg.Self.Addr {
		return nil
	}
	_ = o.cfg.Store.RevokeLease(ctx, lease) // else it lapses
	return fmt.Errorf("node at %s was the owner meanwhile: %w", last.Addr, kv.ErrConflict)
}
