package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/kv"
	"almondturn/wire"
)

// feedEvents is the least number of changes that an owner keeps for the nodes
// of its zone; a node that is further behind asks the key-value service.
const minRetainedChanges = 4096

// feed keeps the last changes that a watch has got, for other nodes.
type changeLog struct {
	mu sync.Mutex // guards all below
	// live is false while the watch fails: others must not rely on it.
	live bool
	// Events holds all changes after floor, up to head.
	events      []kv.WatchEvent
	floor, head kv.Revision
	changed     chan struct{} // closed and replaced when anything changes
}

func newChangeLog() *changeLog { return &changeLog{changed: make(chan struct{})} }

// reset begins anew at a revision.
func (f *changeLog) reset(at kv.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live, f.events, f.floor, f.head = true, nil, at, at
	f.notify()
}

// add appends changes, up to a revision.
func (f *changeLog) add(events []kv.WatchEvent, head kv.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.head = max(f.head, head)
	if len(events) == 0 {
		return
	}
	f.events = append(f.events, events...)
	if surplus := len(f.events) - minRetainedChanges; surplus > minRetainedChanges {
		f.floor = f.events[surplus-1].Entry.ModRevision
		f.events = append(f.events[:0:0], f.events[surplus:]...)
	}
	f.notify()
}

// stop tells that the watch fails.
func (f *changeLog) markUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = false
	f.notify()
}

// notify wakes those that wait. f.mu is held.
func (f *changeLog) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// after returns the changes after a revision; known is false when the feed is
// not live or does not reach back that far. changed is closed when it is worth
// another look.
func (f *changeLog) changesAfter(revision kv.Revision) (out *wire.Changes, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.live || revision < f.floor || revision > f.head {
		return new(wire.Changes), f.changed
	}
	out = &wire.Changes{Available: true, Revision: uint64(f.head)}
	for _, e := range latestPerKey(f.events, revision) {
		out.Events = append(out.Events, wire.Change{Key: e.Entry.Key, Value: e.Entry.Value, Revision: uint64(e.Entry.ModRevision), Deleted: e.Deleted})
	}
	return out, f.changed
}

// lastOfEach returns the last change after a revision of each key, in order.
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

// wait returns the changes after a revision as soon as there are some, or when
// the wait is over.
func (f *changeLog) waitForChanges(ctx context.Context, revision kv.Revision, wait time.Duration) *wire.Changes {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		out, changed := f.changesAfter(revision)
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

// changesOf asks the owner of the node's zone for changes of the list of
// targets; ok is false when the key-value service has to be asked.
func (l *links) requestChanges(ctx context.Context, after kv.Revision, wait time.Duration) (events []kv.WatchEvent, next kv.Revision, ok bool) {
	if l.node.owner.IsOwner() {
		return nil, 0, false
	}
	k, _ := l.ownerLink(l.node.self.Zone)
	if k == nil {
		return nil, 0, false
	}
	c := k.conn.Load()
	if c == nil {
		return nil, 0, false
	}
	answer, err := c.Call(ctx, &wire.ChangesRequest{After: uint64(after), WaitMillis: wait.Milliseconds()})
	if err != nil {
		return nil, 0, false // the key-value service is asked instead
	}
	changes, ok := answer.(*wire.Changes)
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

// changes answers another node's call. Only the owner of the zone does: there
// has to be one that reads the key-value service itself.
func (n *Node) serveChanges(ctx context.Context, m *wire.ChangesRequest) *wire.Changes {
	if !n.owner.IsOwner() {
		return new(wire.Changes)
	}
	return n.changeLog.waitForChanges(ctx, kv.Revision(m.After), time.Duration(m.WaitMillis)*time.Millisecond)
}
