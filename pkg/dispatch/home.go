package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Home queues the requests of the zone for the replicas whose home this
// node is, has replicas loaded, and grants places at their targets.
type Home struct {
	opts   Options
	clock  platform.Clock
	logger zerolog.Logger
	dir    Directory
	loader Loader
	net    peer.Network
	view   ViewFunc
	loads  *loadTable

	mu       sync.Mutex // guards queues, draining and stopping queues
	queues   map[fleet.ReplicaKey]*replicaQueue
	draining bool
	running  sync.WaitGroup
	ctx      context.Context // ends with Stop
	cancel   context.CancelFunc
}

// waiter is one request that waits for a place.
type waiter struct {
	id       string
	from     fleet.Node // the entry node
	flow     flowID
	deadline time.Time
	exclude  []fleet.TargetID
	arrival  uint64
	since    time.Time
	start    float64
	cold     bool
	// attached counts the calls of the entry node that wait for the answer;
	// detachedAt is when the last one ended.
	attached   int
	detachedAt time.Time
	// done is closed once grant or err is set.
	done  chan struct{}
	grant *wire.Grant
	err   error
}

// grantState is one place that was given away.
type grantState struct {
	target  *targetLoad
	from    fleet.Node
	seenAt  time.Time // when the entry node was last in sight
	expires time.Time
}

func newHome(opts Options, deps Deps, loads *loadTable) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	return &Home{
		opts:   opts,
		clock:  deps.Clock,
		logger: deps.Logger,
		dir:    deps.Directory,
		loader: deps.Loader,
		net:    deps.Network,
		view:   deps.View,
		loads:  loads,
		queues: map[fleet.ReplicaKey]*replicaQueue{},
		ctx:    ctx,
		cancel: cancel,
	}
}

// HandleAcquire implements peer.Handler for wire.Acquire.
func (h *Home) HandleAcquire(ctx context.Context, from fleet.Node, m wire.Message) (wire.Message, error) {
	grant, err := h.Acquire(ctx, from, m.(*wire.Acquire))
	if err != nil {
		return nil, err
	}
	return grant, nil
}

// HandleGrantEnd implements peer.Handler for wire.GrantEnd.
func (h *Home) HandleGrantEnd(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
	h.Release(m.(*wire.GrantEnd))
	return &wire.Ack{}, nil
}

// Acquire waits for a place for the request of the entry node, at most
// AcquireSlice. Errors mean that the request was refused and not run.
func (h *Home) Acquire(ctx context.Context, from fleet.Node, a *wire.Acquire) (*wire.Grant, error) {
	q, err := h.queue(a.Key)
	if err != nil {
		return nil, err
	}
	w, err := q.enter(from, a)
	if err != nil {
		return nil, err
	}
	slice := time.NewTimer(h.opts.AcquireSlice)
	defer slice.Stop()
	select {
	case <-w.done:
	case <-slice.C:
	case <-ctx.Done():
	}
	return q.leave(w)
}

// Release ends a grant, or takes a waiting request out.
func (h *Home) Release(r *wire.GrantEnd) {
	h.mu.Lock()
	q := h.queues[r.Key]
	h.mu.Unlock()
	if q != nil {
		q.release(r)
	}
}

// queue returns the replica's queue, with its loop running.
func (h *Home) queue(k fleet.ReplicaKey) (*replicaQueue, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return nil, fault.New(fault.ShuttingDown, "the model home is shutting down")
	}
	q := h.queues[k]
	if q == nil {
		q = newReplicaQueue(h, k)
		h.queues[k] = q
		h.running.Go(q.run)
	}
	return q, nil
}

// closeIdle removes a queue with nothing waiting or granted; false while it
// is in use.
func (h *Home) closeIdle(q *replicaQueue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) > 0 || len(q.grants) > 0 || q.loading {
		return false
	}
	delete(h.queues, q.key)
	q.closed = true
	return true
}

// Drain hands all waiting requests back: their entry nodes queue them at
// the next home. New requests are handed back at once.
func (h *Home) Drain() {
	h.mu.Lock()
	h.draining = true
	queues := make([]*replicaQueue, 0, len(h.queues))
	for _, q := range h.queues {
		queues = append(queues, q)
	}
	h.mu.Unlock()
	handed := 0
	for _, q := range queues {
		handed += q.failAll(fault.New(fault.ShuttingDown, "the model home is shutting down"))
	}
	event.HomeDrained.Log(&h.logger).Int("requests", handed).Send()
}

// Stop ends the queues' loops; waiting requests are handed back first.
func (h *Home) Stop() {
	h.Drain()
	h.cancel()
	h.running.Wait()
}

// Waiting returns the number of requests in all queues.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, q := range h.queues {
		q.mu.Lock()
		n += len(q.waiters)
		q.mu.Unlock()
	}
	return n
}
