package zoneowner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/kv"
)

// recordedPeers are the nodes that an owner's last-owner record may name. A write whose
// outcome is unknown adds to them, so that each node that could acquire the zone at the
// end of the lease is among them.
type recordedPeers struct {
	ids map[fleet.NodeID]bool
	// maybeNone is true if the record may name no node, so that any node could
	// acquire the zone.
	maybeNone bool
	// unconfirmed is true while the outcome of a write is unknown.
	unconfirmed bool
}

// written adds the nodes of a record that is being written.
func (r *recordedPeers) written(ids []fleet.NodeID) {
	if r.ids == nil {
		r.ids = map[fleet.NodeID]bool{}
	}
	for _, id := range ids {
		r.ids[id] = true
	}
	r.maybeNone = r.maybeNone || len(ids) == 0
	r.unconfirmed = true
}

// confirmed replaces the nodes with those of a record that has been written.
func (r *recordedPeers) confirmed(ids []fleet.NodeID) {
	*r = recordedPeers{maybeNone: len(ids) == 0}
	r.written(ids)
	r.unconfirmed = false
}

// differ reports whether the record may name other nodes than the given ones.
func (r *recordedPeers) differ(ids []fleet.NodeID) bool {
	if r.unconfirmed || len(ids) != len(r.ids) {
		return true
	}
	return slices.ContainsFunc(ids, func(id fleet.NodeID) bool { return !r.ids[id] })
}

// admits reports whether a node may acquire the zone as soon as the owner's lease has
// ended, by the last-owner record.
func (r lastOwnerRecord) admits(node fleet.Node) bool {
	if r.Addr == "" || r.Addr == node.Addr || r.LastOrderAge != 0 {
		return true
	}
	return len(r.Peers) == 0 || slices.Contains(r.Peers, node.ID)
}

// connectedPeers returns the connected nodes of the zone.
func (o *Owner) connectedPeers() []fleet.NodeID {
	var ids []fleet.NodeID
	for _, n := range o.cfg.Network.Connected() {
		if n.Zone == o.cfg.Self.Zone {
			ids = append(ids, n.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// recordPeers writes the peers of the term into the last-owner record if they have
// changed.
func (o *Owner) recordPeers(t *term) {
	o.mu.Lock()
	_, changed := t.authority.peersToRecord()
	o.mu.Unlock()
	if !changed {
		return
	}
	lastOwner, revision, err := o.readLastOwner(t.ctx)
	if err != nil || lastOwner.Addr != o.cfg.Self.Addr || lastOwner.outdated(revision.Era()) {
		return // retried at the next renewal, which may also find another owner
	}
	_ = o.writeTermRecord(t.ctx, t, lastOwner, revision) // retried likewise
}

// writeTermRecord writes the last-owner record of a term, with the peers of the term, if
// it has the given revision.
func (o *Owner) writeTermRecord(ctx context.Context, t *term, record lastOwnerRecord, revision kv.Revision) error {
	o.mu.Lock()
	record.Peers, _ = t.authority.peersToRecord()
	t.authority.peersWritten(record.Peers)
	o.mu.Unlock()
	if err := o.writeLastOwner(ctx, record, revision); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t.authority.peersRecorded(o.cfg.BootClock(), record.Peers)
	return nil
}

// errNotRecorded means that the last owner may still send orders under peer leases, and
// has not recorded this node.
var errNotRecorded = errors.New("the last owner has not recorded this node")

// unrecordedWait is the time for which a node that the last owner has not recorded has
// found the zone without an owner and the record unchanged.
type unrecordedWait struct {
	revision kv.Revision // of the last-owner record
	since    time.Time   // by BootClock
}

// checkRecorded returns an error that wraps errNotRecorded unless this node may acquire
// the zone after the owner of the record, which has the given revision. A node that the
// owner has not recorded may when the owner has not renewed its lease for
// maxTimeWithoutLease. An owner that registers again writes the record again, so that
// an unchanged record shows that none has. A record from before a restore of the
// key-value service tells nothing: the nodes that it names may be others now.
func (o *Owner) checkRecorded(ctx context.Context, lastOwner lastOwnerRecord, revision kv.Revision) error {
	if lastOwner.admits(o.cfg.Self) || lastOwner.outdated(revision.Era()) {
		return nil
	}
	entry, err := o.readOwnerEntry(ctx, OwnerKey(o.cfg.Self.Zone))
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.BootClock()
	owned := entry.record.Addr != "" && entry.record.Addr != o.cfg.Self.Addr
	if owned || o.unrecordedWait.revision != revision {
		o.unrecordedWait = unrecordedWait{revision, now}
	}
	if left := o.unrecordedWait.since.Add(maxTimeWithoutLease).Sub(now); left > 0 {
		return fmt.Errorf("wait %v for node at %s: %w", left, lastOwner.Addr, errNotRecorded)
	}
	return nil
}
