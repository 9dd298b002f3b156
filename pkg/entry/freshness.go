package entry

import (
	"sync/atomic"
	"time"

	"almondturn/pkg/boottime"
)

// Bounds of the age of entries that a node reads through the owner of its zone.
const (
	// maxTargetsAgeShare is the greatest age of the list of targets, as a share of the
	// drain time. The rest of that time is for the call to the key-value service that
	// follows.
	maxTargetsAgeShare = 0.75
	// minTargetsAge is the least bound, so that a short drain time causes few calls.
	minTargetsAge = 3 * minTargetFetchDelay
	// maxOwnersAge is the greatest age of the owners of the zones: twice the time that a
	// zone stays with an owner that has stopped renewing its lease.
	maxOwnersAge = 3 * time.Second
	// responseTimeShare is the share of the greatest age that is left for the response
	// to a call, at most maxResponseTime.
	responseTimeShare = 1. / 3
	maxResponseTime   = time.Second
	// minChangesWait is the least time for which a call waits for changes.
	minChangesWait = 50 * time.Millisecond
)

// maxTargetsAge returns the greatest age of the list of targets.
func (n *Node) maxTargetsAge() time.Duration {
	return max(time.Duration(maxTargetsAgeShare*float64(n.bounds.Load().DrainTime)), minTargetsAge)
}

// ownersAge returns maxOwnersAge.
func ownersAge() time.Duration { return maxOwnersAge }

// freshness is how old a copy of entries of the key-value service may be, and is. The
// copy may come from another node, which may have lost the service without having
// noticed: its age counts from the last time at which the service is known to have had
// no other changes. Its methods may be called concurrently.
type freshness struct {
	// maxAge returns the greatest age at which the copy may be used without a call to
	// the service; nil if no other node provides it.
	maxAge func() time.Duration
	// now is a clock that continues while the VM is suspended; nil for boottime.Now.
	now func() time.Time
	// confirmedAt is the last such time, in nanoseconds since 1970 on the clock; 0 for
	// none.
	confirmedAt atomic.Int64
}

// clock returns the time.
func (f *freshness) clock() time.Time {
	if f.now == nil {
		return boottime.Now()
	}
	return f.now()
}

// confirm records that the service had no other changes at a time.
func (f *freshness) confirm(at time.Time) {
	f.confirmedAt.Store(max(f.confirmedAt.Load(), at.UnixNano()))
}

// age returns the age of the copy.
func (f *freshness) age() time.Duration {
	return time.Duration(f.clock().UnixNano() - f.confirmedAt.Load())
}

// left returns the time until the copy is older than it may be.
func (f *freshness) left() time.Duration { return f.maxAge() - f.age() }

// nextCall returns how long the next call for changes should wait for one, so that its
// response arrives before the copy is older than it may be, and its timeout.
func (f *freshness) nextCall() (maxWait, timeout time.Duration) {
	maxAge := f.maxAge()
	responseTime := min(time.Duration(responseTimeShare*float64(maxAge)), maxResponseTime)
	maxWait = min(max(f.left()-responseTime, minChangesWait), maxAge-responseTime, changesWait)
	return maxWait, maxWait + responseTime
}
