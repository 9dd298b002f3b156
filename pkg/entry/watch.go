package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/wait"
)

// WatchStore is the part of the key-value service that a watch uses.
type WatchStore interface {
	// List returns all entries below a prefix, and their revision.
	List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	// Changes waits at most maxWait for changes after a revision, and returns
	// them with the revision to continue from.
	Changes(ctx context.Context, prefix string, after kv.Revision, maxWait time.Duration) ([]kv.WatchEvent, kv.Revision, error)
}

// Times of a watch.
const (
	// changesWait is the longest time for which one call waits for changes.
	changesWait = 15 * time.Second
	// peerChangesWait is the longest time for which another node waits for
	// changes.
	peerChangesWait = 500 * time.Millisecond
	// peerResponseGrace is how long after the wait of the other node its response may
	// arrive.
	peerResponseGrace = 300 * time.Millisecond
	// watchRetryDelay is the wait after the first failed call. It doubles with each
	// further one, up to maxWatchRetryDelay, once the entries were read. Each wait is
	// shortened at random by up to a third, so that the nodes don't call at the same
	// time.
	watchRetryDelay    = 200 * time.Millisecond
	maxWatchRetryDelay = 800 * time.Millisecond
)

// watch keeps a copy of the entries below a prefix up to date.
type watch struct {
	store  WatchStore
	prefix string
	// fetchDelay returns how long to wait after a fetch that returned changes,
	// so that several changes are fetched together.
	fetchDelay func() time.Duration
	// onList receives all entries and the revision of the list, onChanges single
	// changes in order. Both are called by the goroutine of run only.
	onList    func([]kv.Entry, kv.Revision)
	onChanges func([]kv.WatchEvent)
	node      *Node
	// relistRequests has a buffer of one, by which relist signals fetch to stop
	// waiting.
	relistRequests chan struct{}
	// entryCopy is the copy of the entries as last read.
	entryCopy entryCopy
	// changeLog serves the changes to other nodes; nil if no other node needs
	// them.
	changeLog *changeLog
	// peerChanges is the request for changes to the owner of the zone, which is
	// asked before the key-value service; nil if it does not serve them.
	peerChanges changesRequest
	// readsFromOwner is true if the last changes were those of the owner of the zone.
	readsFromOwner bool
	freshness      freshness
	// appliedRevision is the kv.Revision up to which changes have been passed on, 0 before the
	// first list.
	appliedRevision atomic.Uint64
}

// run watches the prefix until ctx ends.
func (w *watch) run(ctx context.Context) {
	unavailable, delay := false, watchRetryDelay
	for ctx.Err() == nil {
		err := w.follow(ctx, &unavailable)
		if w.changeLog != nil {
			w.changeLog.markUnavailable()
		}
		if errors.Is(err, kv.ErrCompacted) || errors.Is(err, errRelist) || ctx.Err() != nil {
			continue // relist immediately
		}
		if !unavailable {
			unavailable, delay = true, watchRetryDelay
			event.StoreLost.Log(w.node.log).Str("prefix", w.prefix).Err(err).Send()
		}
		w.copyFromPeer(ctx)
		wait.Sleep(ctx, delay-rand.N(delay/3))
		if _, available := w.entryCopy.get(); available {
			delay = min(2*delay, maxWatchRetryDelay)
		}
	}
}

// follow lists the prefix and then fetches changes until a call fails, whose
// error it returns. It clears unavailable once the list was read.
func (w *watch) follow(ctx context.Context, unavailable *bool) error {
	asked := w.freshness.clock()
	entries, revision, err := w.store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.freshness.confirm(asked)
	if *unavailable {
		*unavailable = false
		event.StoreRegained.Log(w.node.log).Str("prefix", w.prefix).Send()
	}
	w.entryCopy.reset(entries)
	w.onList(entries, revision)
	w.appliedRevision.Store(uint64(revision))
	if w.changeLog != nil {
		w.changeLog.reset(revision, asked)
	}
	for {
		fetched, err := w.fetch(ctx, revision)
		if err != nil {
			return err
		}
		w.freshness.confirm(fetched.confirmedAt)
		if w.changeLog != nil {
			w.changeLog.add(fetched.events, fetched.next, fetched.confirmedAt)
		}
		if len(fetched.events) > 0 {
			w.entryCopy.apply(fetched.events)
			w.onChanges(fetched.events)
		}
		revision = max(revision, fetched.next)
		w.appliedRevision.Store(uint64(revision))
		if len(fetched.events) > 0 {
			wait.Sleep(ctx, w.fetchDelay())
		}
	}
}

// errRelist is the cause with which relist ends a wait for changes.
var errRelist = errors.New("newer entries exist")

// fetchedChanges are the changes after a revision.
type fetchedChanges struct {
	events []kv.WatchEvent
	// next is the revision to continue from.
	next kv.Revision
	// confirmedAt is the last time, on the clock of the watch's freshness, at which the
	// key-value service is known to have had no other changes.
	confirmedAt time.Time
}

// fetch waits for changes after a revision. relist ends the wait with errRelist.
func (w *watch) fetch(ctx context.Context, after kv.Revision) (fetchedChanges, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.relistRequests:
			cancel(errRelist)
		case <-stop:
		}
	}()
	if w.peerChanges != nil {
		fetched, err := w.fetchFromPeer(ctx, after)
		w.observeSource(ctx, err)
		if err == nil {
			return fetched, nil
		}
	}
	return w.fetchFromStore(ctx, after)
}

// fetchFromPeer requests changes from another node. The wait is short, because a node that
// has stopped cannot be distinguished from one without changes, and ends before the
// entries are older than they may be. An error is a *changesError.
func (w *watch) fetchFromPeer(ctx context.Context, after kv.Revision) (fetchedChanges, error) {
	if w.node.owner.IsOwner() {
		return fetchedChanges{}, &changesError{changesOwner}
	}
	timeout := min(peerChangesWait+peerResponseGrace, w.freshness.left())
	if timeout <= 0 {
		return fetchedChanges{}, &changesError{changesOld}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fetched, age, err := w.node.links.requestChanges(ctx, w.peerChanges, after, max(timeout-peerResponseGrace, 0))
	if err != nil {
		return fetchedChanges{}, err
	}
	if age > w.freshness.maxAge() {
		return fetchedChanges{}, &changesError{changesOld}
	}
	fetched.confirmedAt = w.freshness.clock().Add(-age)
	return fetched, nil
}

// fetchFromStore waits for changes at the key-value service. If the age of the copy is
// bounded, the wait ends before the copy is too old, and a call without a response fails.
func (w *watch) fetchFromStore(ctx context.Context, after kv.Revision) (fetchedChanges, error) {
	maxWait := changesWait
	if w.freshness.maxAge != nil {
		var timeout time.Duration
		maxWait, timeout = w.freshness.nextCall()
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	asked := w.freshness.clock()
	events, next, err := w.store.Changes(ctx, w.prefix, after, maxWait)
	if err != nil {
		return fetchedChanges{}, err
	}
	if waited := w.freshness.clock().Sub(asked); len(events) == 0 && waited >= maxWait {
		asked = asked.Add(maxWait) // the service responds at the end of the wait
	}
	return fetchedChanges{events, next, asked}, nil
}

// observeSource logs that the changes are read from the key-value service from now on
// instead of from the owner of the zone, for the reason of err, or from the owner again if
// err is nil.
func (w *watch) observeSource(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // the wait was ended by this node
	}
	fromOwner := err == nil
	if fromOwner == w.readsFromOwner {
		return
	}
	w.readsFromOwner = fromOwner
	line := event.ChangesSource.Log(w.node.log).Str("prefix", w.prefix).Bool("from_owner", fromOwner).Dur("age_ms", w.freshness.age())
	if !fromOwner {
		line = line.Err(err)
	}
	line.Send()
}

// relist makes run list the prefix again.
func (w *watch) relist() {
	select {
	case w.relistRequests <- struct{}{}:
	default:
	}
}
