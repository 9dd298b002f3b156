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
	mu sync.Mutex // guards all below
	// available is false while the watch fails; other nodes must not rely on
	// the changes then.
	available bool
	// events holds all changes after revision floor, up to revision head, in
	// order.
	events      []kv.WatchEvent
	floor, head kv.Revision
	changed     chan struct{} // closed and replaced when changes arrive or available is assigned
}

// newChangeLog returns a changeLog that is not available until reset is called.
func newChangeLog() *changeLog { return &changeLog{changed: make(chan struct{})} }

// reset makes the changeLog available, without the previous changes and from a
// revision on.
func (c *changeLog) reset(at kv.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.available, c.events, c.floor, c.head = true, nil, at, at
	c.notify()
}

// add appends changes. head is the revision up to which they are complete.
func (c *changeLog) add(events []kv.WatchEvent, head kv.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = max(c.head, head)
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
// out.Available is false if c is not available, does not reach back to the
// revision, or has not reached it yet. changed is closed when the result may
// differ.
func (c *changeLog) changesAfter(revision kv.Revision) (out *wire.EntryChanges, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.available || revision < c.floor || revision > c.head {
		return new(wire.EntryChanges), c.changed
	}
	out = &wire.EntryChanges{Available: true, Revision: uint64(c.head)}
	for _, e := range latestPerKey(c.events, revision) {
		out.Events = append(out.Events, wire.EntryChange{Key: e.Entry.Key, Value: e.Entry.Value, Revision: uint64(e.Entry.ModRevision), Deleted: e.Deleted})
	}
	return out, c.changed
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
// not available as soon as the log is unavailable.
func (c *changeLog) waitForChanges(ctx context.Context, revision kv.Revision, maxWait time.Duration) *wire.EntryChanges {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		out, changed := c.changesAfter(revision)
		if !out.Available || len(out.Events) > 0 {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out
		}
	}
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

// requestChanges requests the changes of some entries after a revision from the
// owner of this node's zone, which waits at most maxWait for a change. next is the
// revision to continue from. ok is false if the changes have to be read from the
// key-value service.
func (l *links) requestChanges(ctx context.Context, request changesRequest, after kv.Revision, maxWait time.Duration) (events []kv.WatchEvent, next kv.Revision, ok bool) {
	if l.node.owner.IsOwner() {
		return nil, 0, false
	}
	link, _ := l.ownerLink(l.node.self.Zone)
	if link == nil {
		return nil, 0, false
	}
	c := link.conn.Load()
	if c == nil {
		return nil, 0, false
	}
	resp, err := c.Call(ctx, request(after, maxWait))
	if err != nil {
		return nil, 0, false // the caller reads the key-value service instead
	}
	changes, ok := resp.(*wire.EntryChanges)
	if !ok || !changes.Available {
		return nil, 0, false
	}
	for _, e := range changes.Events {
		events = append(events, kv.WatchEvent{
			Entry:   kv.Entry{Key: e.Key, Value: e.Value, ModRevision: kv.Revision(e.Revision)},
			Deleted: e.Deleted,
		})
	}
	return events, kv.Revision(changes.Revision), true
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
