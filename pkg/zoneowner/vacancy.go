package zoneowner

import (
	"time"

	"almondturn/pkg/kv"
)

// vacancy is the time for which a node has seen the zone without an owner key. It is
// guarded by Owner.mu.
type vacancy struct {
	// since is when the node first saw that the key does not exist, by BootClock; zero
	// while it exists.
	since time.Time
	// record is the revision of the last-owner record, as last watched.
	record kv.Revision
}

// observeKey records whether the owner key exists.
func (v *vacancy) observeKey(now time.Time, exists bool) {
	switch {
	case exists:
		v.since = time.Time{}
	case v.since.IsZero():
		v.since = now
	}
}

// observeRecord records the revision of the last-owner record. A record that changes while
// the zone has no owner key may have been written by an owner whose key this node
// did not see, so that the vacancy begins again.
func (v *vacancy) observeRecord(now time.Time, revision kv.Revision) {
	if v.record != revision && !v.since.IsZero() {
		v.since = now
	}
	v.record = revision
}

// sinceRecord returns when the node saw that the owner key was gone, zero if that is not known
// or the last-owner record has another revision than it had then: an owner that registers
// again writes the record before it trusts its new lease.
func (v *vacancy) sinceRecord(revision kv.Revision) time.Time {
	if v.record != revision {
		return time.Time{}
	}
	return v.since
}

// expiryTolerance is how far the end of a lease that expires after a crash of the owner may
// be from the time that the last peer lease shows: up to renewInterval lies between the
// last renewal and the last peer lease, the rest covers delays of messages and watches.
const expiryTolerance = renewInterval + 250*time.Millisecond

// authorityEnd returns the latest time of BootClock until which the last owner may have had
// authority, and acquired if it had none when this node acquired the zone. freeSince is when
// this node saw that the owner key was gone, zero if that is not known.
//
// Its peer leases ended before, because this node waits for the end of the one that it
// granted. Its lease ended before, too, if it expired; if it was revoked, the owner trusts it
// for up to the lease time after the key was deleted. The key-value service does not show
// which of both happened. The lease counts as expired if the key was deleted when it would
// have been after a crash of the owner shortly after the last peer lease of this node.
// o.mu must be held.
func (o *Owner) authorityEnd(lastOwner lastOwnerRecord, freeSince, acquired time.Time) time.Time {
	if o.peerLeaseOwnerAddr != lastOwner.Addr || freeSince.IsZero() {
		return acquired.Add(o.leaseTTL)
	}
	expiry := o.peerLeaseGrantedAt.Add(o.leaseTTL)
	if freeSince.Sub(expiry).Abs() <= expiryTolerance {
		return acquired
	}
	return latest(acquired, freeSince.Add(o.leaseTTL))
}
