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

// keepLease renews the lease until the tenure ends.
func (o *Owner) keepLease(t *tenure) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		o.endPause(t)
		sent := o.cfg.BootClock()
		err := o.cfg.Store.RenewLease(t.ctx, t.lease)
		o.mu.Lock()
		switch {
		case err == nil:
			t.authority.renewed(sent, o.ttl)
		case errors.Is(err, kv.ErrLeaseExpired):
			t.authority.lost()
			o.mu.Unlock()
			o.retake(t)
			continue
		case t.ctx.Err() == nil:
			event.LeaseRenewFailed.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Err(err).Send()
			o.endIfPowerless(t)
		}
		o.mu.Unlock()
	}
}

// endPause records that the pause after the former owner is over, so that a
// new start of this node need not keep it.
func (o *Owner) endPause(t *tenure) {
	o.mu.Lock()
	due := t.pending && !o.cfg.BootClock().Before(t.ordersFrom)
	o.mu.Unlock()
	if !due {
		return
	}
	last, revision, err := o.readLast(t.ctx)
	if err != nil || last.Addr != o.cfg.Self.Addr {
		return // the next renewal tries again, or finds another owner
	}
	record, err := json.Marshal(lastRecord{Addr: o.cfg.Self.Addr})
	if err != nil {
		return
	}
	if _, err := o.cfg.Store.CompareAndSwap(t.ctx, LastOwnerKey(o.cfg.Self.Zone), record, revision, 0); err != nil {
		return
	}
	o.mu.Lock()
	t.pending = false
	o.mu.Unlock()
}

// endIfPowerless ends a tenure without authority, so that its waiting
// requests look for another owner. o.mu is held.
func (o *Owner) endIfPowerless(t *tenure) {
	boot := o.cfg.BootClock()
	if boot.Sub(t.authority.until(boot)) > o.ttl {
		o.end(t, "neither lease nor promises")
	}
}

// retake registers the owner again after its lease lapsed. The tenure goes on
// when nobody else has taken the zone.
func (o *Owner) retake(t *tenure) {
	ctx, cancel := context.WithTimeout(t.ctx, leaseTime)
	defer cancel()
	sent := o.cfg.BootClock()
	lease, err := o.cfg.Store.GrantLease(ctx, o.ttl)
	if err != nil {
		return // the next renewal finds the lease lapsed again
	}
	value, err := json.Marshal(OwnerRecord{o.cfg.Self.ID, o.cfg.Self.Addr, o.cfg.Self.Incarnation})
	if err != nil {
		return
	}
	token, err := o.cfg.Store.CompareAndSwap(ctx, OwnerKey(o.cfg.Self.Zone), value, 0, lease)
	if errors.Is(err, kv.ErrOutcomeUnknown) || errors.Is(err, kv.ErrConflict) {
		token, err = o.readBack(ctx, OwnerKey(o.cfg.Self.Zone))
	}
	if err == nil {
		err = o.undisputed(ctx, lease)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		if errors.Is(err, kv.ErrConflict) {
			o.end(t, "another node took the zone after the lease lapsed")
		}
		return
	}
	t.token, t.lease = uint64(token), lease
	t.authority.renewed(sent, o.ttl)
	event.ZoneTaken.Log(o.cfg.Log).Str("zone", string(o.cfg.Self.Zone)).Uint64("token", t.token).Str("after", "lapse").Send()
}

// undisputed tells whether no other node was the owner while the key was
// away. If one was, it may have given orders, and the key is given up again.
func (o *Owner) undisputed(ctx context.Context, lease kv.LeaseID) error {
	last, _, err := o.readLast(ctx)
	if err != nil {
		return err // the promises still hold, or the tenure ends for want of them
	}
	if last.Addr == o.cfg.Self.Addr {
		return nil
	}
	_ = o.cfg.Store.RevokeLease(ctx, lease) // else it lapses
	return fmt.Errorf("node at %s was the owner meanwhile: %w", last.Addr, kv.ErrConflict)
}
