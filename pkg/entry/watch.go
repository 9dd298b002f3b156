package entry

import (
	"context"
	"errors"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/wait"
)

// Store is the part of the key-value service that the watches need.
type Store interface {
	List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	// Changes waits up to wait for changes after a revision, and returns the
	// revision to continue from.
	Changes(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.WatchEvent, kv.Revision, error)
}

// Times of a watch.
const (
	// watchWait is the longest time that one call waits for changes.
	changesWait = 15 * time.Second
	// remoteWait is the same for a call to another node, and remoteGrace what
	// its answer may take beyond it.
	peerChangesWait   = 500 * time.Millisecond
	peerResponseGrace = 300 * time.Millisecond
	// watchRetry is the wait after a call that failed.
	watchRetryDelay = 200 * time.Millisecond
)

// watch keeps a copy of the entries below a prefix up to date.
type watch struct {
	store  Store
	prefix string
	// pause returns the wait between two calls, so that changes are fetched
	// together.
	fetchDelay func() time.Duration
	// reset gets all entries, changed gets single changes, in order.
	onList    func([]kv.Entry)
	onChanges func([]kv.WatchEvent)
	node      *Node
	refresh   chan struct{}
	// snapshot is what was last read.
	snapshot snapshot
	// feed passes the changes on to other nodes; nil for a watch of the node
	// alone. remote asks another node's feed first; nil never does.
	changeLog   *changeLog
	peerChanges func(ctx context.Context, after kv.Revision, wait time.Duration) ([]kv.WatchEvent, kv.Revision, bool)
}

// run follows the prefix until ctx ends.
func (w *watch) run(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		err := w.follow(ctx, &lost)
		if w.changeLog != nil {
			w.changeLog.markUnavailable()
		}
		if errors.Is(err, kv.ErrCompacted) || errors.Is(err, errRefresh) || ctx.Err() != nil {
			continue // list again at once
		}
		if !lost {
			lost = true
			event.StoreLost.Log(w.node.log).Str("prefix", w.prefix).Err(err).Send()
		}
		w.copyFromPeer(ctx)
		wait.Sleep(ctx, watchRetryDelay)
	}
}

// follow lists the prefix and then fetches changes until a call fails.
func (w *watch) follow(ctx context.Context, lost *bool) error {
	entries, revision, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	if *lost {
		*lost = false
		event.StoreRegained.Log(w.node.log).Str("prefix", w.prefix).Send()
	}
	w.snapshot.reset(entries)
	w.onList(entries)
	if w.changeLog != nil {
		w.changeLog.reset(revision)
	}
	for {
		events, next, err := w.fetch(ctx, revision)
		if err != nil {
			return err
		}
		if w.changeLog != nil {
			w.changeLog.add(events, next)
		}
		if len(events) > 0 {
			w.snapshot.apply(events)
			w.onChanges(events)
			wait.Sleep(ctx, w.fetchDelay())
		}
		revision = max(revision, next)
	}
}

// errRefresh asks for a new list.
var errRefresh = errors.New("a newer state is known")

// fetch waits for changes; a request to refresh ends the wait.
func (w *watch) fetch(ctx context.Context, after kv.Revision) ([]kv.WatchEvent, kv.Revision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.refresh:
			cancel(errRefresh)
		case <-stop:
		}
	}()
	if events, next, ok := w.fetchFromPeer(ctx, after); ok {
		return events, next, nil
	}
	return w.store.Changes(ctx, w.prefix, after, changesWait)
}

// fetchRemote asks the other node, if there is one. The wait is short, because
// a node that has stopped is not told from one without changes.
func (w *watch) fetchFromPeer(ctx context.Context, after kv.Revision) ([]kv.WatchEvent, kv.Revision, bool) {
	if w.peerChanges == nil {
		return nil, 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerChangesWait+peerResponseGrace)
	defer cancel()
	return w.peerChanges(ctx, after, peerChangesWait)
}

// renew has the prefix listed again.
func (w *watch) relist() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}
