package platform

import (
	"context"
	"fmt"
	"strings"
	"sync"
)

// SharedPrefix is the part of the key space whose watches share one watch of
// the key-value service.
const SharedPrefix = "fleet/"

// hubHistory is the number of events kept for watchers that join later.
const hubHistory = 1024

// hubBuffer is the number of events that a watcher may fall behind.
const hubBuffer = 256

// Hub is a KV whose watches below SharedPrefix share one waiting call.
type Hub struct {
	KV

	mu       sync.Mutex // guards all below
	watchers map[*hubWatcher]struct{}
	cancel   context.CancelFunc
	// generation counts the shared watches, so that an ended one does no harm.
	generation int
	// since is the revision behind which history is complete.
	since   Revision
	history []WatchEvent
}

type hubWatcher struct {
	prefix string
	after  Revision
	ch     chan WatchEvent
}

// NewHub returns a Hub over kv.
func NewHub(kv KV) *Hub {
	return &Hub{KV: kv, watchers: map[*hubWatcher]struct{}{}}
}

// Watch implements KV.
func (h *Hub) Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error) {
	if !strings.HasPrefix(prefix, SharedPrefix) {
		return h.KV.Watch(ctx, prefix, after)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel == nil {
		if err := h.openLocked(ctx, after); err != nil {
			return nil, err
		}
	}
	if after < h.since {
		return nil, fmt.Errorf("watch of %q after revision %d: %w", prefix, after, ErrCompacted)
	}
	w := &hubWatcher{prefix: prefix, after: after, ch: make(chan WatchEvent, hubBuffer+hubHistory)}
	h.watchers[w] = struct{}{}
	for _, ev := range h.history {
		h.sendLocked(w, ev)
	}
	context.AfterFunc(ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.dropLocked(w)
	})
	return w.ch, nil
}

// ResetWatches ends the shared watch and with it all watches below
// SharedPrefix, after one of them was found to have missed a change.
func (h *Hub) ResetWatches() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		h.dropLocked(w)
	}
}

// openLocked opens the shared watch. It outlives the first watcher, but is
// given up when that one ends before the watch is open.
func (h *Hub) openLocked(first context.Context, after Revision) error {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(first, cancel)
	events, err := h.KV.Watch(ctx, SharedPrefix, after)
	if !stop() && err == nil {
		err = first.Err()
	}
	if err != nil {
		cancel()
		return err
	}
	h.cancel, h.since, h.history = cancel, after, nil
	h.generation++
	go h.pump(events, h.generation)
	return nil
}

// pump hands events on until the shared watch ends; then all watches end.
func (h *Hub) pump(events <-chan WatchEvent, generation int) {
	for ev := range events {
		h.publish(ev, generation)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if generation != h.generation {
		return
	}
	for w := range h.watchers {
		h.dropLocked(w)
	}
	h.closeLocked()
}

func (h *Hub) publish(ev WatchEvent, generation int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if generation != h.generation {
		return
	}
	h.history = append(h.history, ev)
	if len(h.history) > hubHistory {
		h.since = h.history[0].Entry.ModRevision
		h.history = h.history[1:]
	}
	for w := range h.watchers {
		h.sendLocked(w, ev)
	}
}

// sendLocked drops a watcher that has fallen too far behind; it lists again.
func (h *Hub) sendLocked(w *hubWatcher, ev WatchEvent) {
	if ev.Entry.ModRevision <= w.after || !strings.HasPrefix(ev.Entry.Key, w.prefix) {
		return
	}
	select {
	case w.ch <- ev:
	default:
		h.dropLocked(w)
	}
}

// dropLocked ends a watch, and the shared one with the last.
func (h *Hub) dropLocked(w *hubWatcher) {
	if _, ok := h.watchers[w]; !ok {
		return
	}
	delete(h.watchers, w)
	close(w.ch)
	if len(h.watchers) == 0 {
		h.closeLocked()
	}
}

func (h *Hub) closeLocked() {
	if h.cancel != nil {
		h.cancel()
		h.cancel = nil
	}
}
