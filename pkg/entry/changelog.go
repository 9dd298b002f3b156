package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/kv"
	"almondturn/wire"
)

// minRetainedChanges is the minimum number of changes that an owner retains for
// the nodes of its zone; a node that is further behind reads the key-value
// service itself.
const minRetainedChanges = 4096

// changeLog retains the last changes that a watch received and serves them to
// other nodes. Its methods may be called concurrently.
type changeLog struct {
	// maxAge returns for how long after confirmedAt other nodes may rely on the
	// changes.
	maxAge func() time.Duration
	// clock continues while the VM is suspended.
	clock func() time.Time

	mu sync.Mutex // guards all below
	// available is false while the watch fails; other nodes must not rely on
	// the changes then.
	available bool
	// events holds all changes after revision floor, up to revision head, in
	// order.
	events      []kv.WatchEvent
	floor, head kv.Revision
	// confirmedAt is the last time, on clock, at which the key-value service is known
	// to have had no changes other than these.
	confirmedAt time.Time
	changed     chan struct{} // closed and replaced when changes arrive or available is assigned
}

// newChangeLog returns a changeLog that is not available until reset is called.
func newChangeLog(maxAge func() time.Duration, clock func() time.Time) *changeLog {
	return &changeLog{maxAge: maxAge, clock: clock, changed: make(chan struct{})}
}

// reset makes the changeLog available, without the previous changes and from a
// revision on that was the current one at a time.
func (c *changeLog) reset(at kv.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available, c.events, c.floor, c.head, c.confirmedAt = true, nil, at, at, confirmedAt
	c.notify()
}

// add appends changes. head is the revision up to which they are complete, and
// confirmedAt a time at which there were no others.
func (c *changeLog) add(events []kv.WatchEvent, head kv.Revision, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = max(c.head, head)
	c.confirmedAt = later(c.confirmedAt, confirmedAt)
	if len(events) == 0 {
		return
	}
	c.events = append(c.events, events...)
	if excess := len(c.events) - minRetainedChanges; excess > minRetainedChanges {
		c.floor = c.events[excess-1].Entry.ModRevision
		c.events = append(c.events[:0:0], c.events[excess:]...)
	}
	c.notify()
}

// markUnavailable records that the watch has failed, so that waiting nodes turn
// to the key-value service.
func (c *changeLog) markUnavailable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available = false
	c.notify()
}

// notify wakes all callers of waitForChanges. c.mu must be held.
func (c *changeLog) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// changesAfter returns the last change of each key after a revision.
// out.Available is false if c is not available or was last confirmed too long ago,
// does not reach back to the revision, or has not reached it yet. changed is closed
// when the result may differ; it also differs after expiry unless the changes were
// confirmed meanwhile.
func (c *changeLog) changesAfter(revision kv.Revision) (out *wire.EntryChanges, changed <-chan struct{}, expiry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.clock().Sub(c.confirmedAt)
	expiry = c.maxAge() - age
	if !c.available || revision < c.floor || revision > c.head {
		return new(wire.EntryChanges), c.changed, 0
	}
	if expiry <= 0 {
		return &wire.EntryChanges{AgeMillis: age.Milliseconds()}, c.changed, 0
	}
	out = &wire.EntryChanges{Available: true, Revision: uint64(c.head), AgeMillis: max(age.Milliseconds(), 0) + 1}
	for _, e := range latestPerKey(c.events, revision) {
		out.Events = append(out.Events, wire.EntryChange{Key: e.Entry.Key, Value: e.Entry.Value, Revision: uint64(e.Entry.ModRevision), Deleted: e.Deleted})
	}
	return out, c.changed, expiry
}

// latestPerKey returns the last change of each key after a revision, in order
// of the revisions.
func latestPerKey(events []kv.WatchEvent, after kv.Revision) []kv.WatchEvent {
	seen := map[string]bool{}
	var out []kv.WatchEvent
	for _, e := range slices.Backward(events) {
		if e.Entry.ModRevision <= after {
			break
		}
		if !seen[e.Entry.Key] {
			seen[e.Entry.Key] = true
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return out
}

// waitForChanges returns the changes after a revision as soon as there are any,
// and without changes after maxWait or when ctx ends. It returns a result that is
// not available as soon as the log is unavailable or was confirmed too long ago.
func (c *changeLog) waitForChanges(ctx context.Context, revision kv.Revision, maxWait time.Duration) *wire.EntryChanges {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		out, changed, expiry := c.changesAfter(revision)
		if !out.Available || len(out.Events) > 0 {
			return out
		}
		expired := time.NewTimer(expiry)
		select {
		case <-changed:
		case <-expired.C:
		case <-ctx.Done():
			expired.Stop()
			out, _, _ = c.changesAfter(revision)
			return out
		}
		expired.Stop()
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changesRequest returns the request for the changes after a revision that waits
// for them.
type changesRequest func(after kv.Revision, wait time.Duration) wire.Message

// targetChangesRequest requests the changes of the list of targets.
func targetChangesRequest(after kv.Revision, wait time.Duration) wire.Message {
	return &wire.TargetChangesRequest{After: uint64(after), WaitMillis: wait.Milliseconds()}
}

// ownerChangesRequest requests the changes of the owners of the zones.
func ownerChangesRequest(after kv.Revision, wait time.Duration) wire.Message {
	return &wire.OwnerChangesRequest{After: uint64(after), WaitMillis: wait.Milliseconds()}
}

// Reasons of a changesError, as the log has them.
const (
	changesOwner      = "this node is the owner"
	changesNoOwner    = "no owner is connected"
	changesNoResponse = "no response"
	changesNotServed  = "the owner does not serve them"
	changesOld        = "the owner has not heard from the key-value service for too long"
)

// changesError means that the owner of the zone does not provide changes.
type changesError struct{ reason string }

// Error implements error.
func (e *changesError) Error() string { return "changes of the owner of the zone: " + e.reason }

// requestChanges requests the changes of some entries after a revision from the
// owner of this node's zone, which waits at most maxWait for a change. age is how long
// ago there were no others, at the time of the response. An error is a *changesError;
// the changes have to be read from the key-value service then.
func (l *links) requestChanges(ctx context.Context, request changesRequest, after kv.Revision, maxWait time.Duration) (fetched fetchedChanges, age time.Duration, err error) {
	c := l.ownerConn(l.node.self.Zone)
	if c == nil {
		return fetchedChanges{}, 0, &changesError{changesNoOwner}
	}
	resp, err := c.Call(ctx, request(after, maxWait))
	if err != nil {
		return fetchedChanges{}, 0, &changesError{changesNoResponse}
	}
	changes, ok := resp.(*wire.EntryChanges)
	if !ok || changes.AgeMillis <= 0 {
		return fetchedChanges{}, 0, &changesError{changesNotServed}
	}
	if !changes.Available {
		return fetchedChanges{}, 0, &changesError{changesOld}
	}
	fetched.next = kv.Revision(changes.Revision)
	for _, e := range changes.Events {
		fetched.events = append(fetched.events, kv.WatchEvent{
			Entry:   kv.Entry{Key: e.Key, Value: e.Value, ModRevision: kv.Revision(e.Revision)},
			Deleted: e.Deleted,
		})
	}
	return fetched, time.Duration(changes.AgeMillis) * time.Millisecond, nil
}

// serveChanges responds to requestChanges of another node from a change log. Only
// the owner of the zone serves changes: at least one node of a zone has to read the
// key-value service itself.
func (n *Node) serveChanges(ctx context.Context, log *changeLog, after uint64, waitMillis int64) *wire.EntryChanges {
	if !n.owner.IsOwner() {
		return new(wire.EntryChanges)
	}
	return log.waitForChanges(ctx, kv.Revision(after), time.Duration(waitMillis)*time.Millisecond)
}
