package target

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// silenceWatch ends an attempt whose connection is silent while the target
// answers on a new connection.
type silenceWatch struct {
	limit  time.Duration
	pool   *pool
	gen    *generation
	cancel context.CancelCauseFunc
	// last is the time of the last byte, in nanoseconds since start.
	last    atomic.Int64
	start   time.Time
	stopped atomic.Bool
	// reading is false while the receiver is slow to take what has arrived.
	reading atomic.Bool
	timer   *time.Timer
	// continuable is false while the attempt cannot be continued on another
	// connection; it then waits on.
	continuable *atomic.Bool
}

// watch starts to watch an attempt for silence.
func (e *exchange) watch(gen *generation, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{
		limit:  e.silence,
		pool:   e.pool,
		gen:    gen,
		cancel: cancel,
		start:  time.Now(),

		continuable: &e.continuable,
	}
	w.reading.Store(true)
	w.timer = time.AfterFunc(w.limit, w.check)
	return w
}

// heard records that a byte arrived, or that waiting for one begins.
func (w *silenceWatch) heard() { w.last.Store(int64(time.Since(w.start))) }

func (w *silenceWatch) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

// check runs when the limit may have passed.
func (w *silenceWatch) check() {
	if w.stopped.Load() {
		return
	}
	if !w.reading.Load() {
		w.timer.Reset(w.limit)
		return
	}
	before := w.last.Load()
	if left := w.limit - (time.Since(w.start) - time.Duration(before)); left > 0 {
		w.timer.Reset(left)
		return
	}
	if w.pool.probe() && w.reading.Load() && w.last.Load() == before {
		w.pool.retire(w.gen)
		if w.continuable.Load() {
			w.cancel(errSilent)
			return
		}
	}
	w.timer.Reset(w.limit)
}

// watchedBody reports each read to the watch. Time between two reads is the
// receiver's and not silence.
type watchedBody struct {
	in    io.Reader
	watch *silenceWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watch.heard()
	b.watch.reading.Store(true)
	n, err := b.in.Read(p)
	b.watch.reading.Store(false)
	b.watch.heard()
	return n, err
}

// isDialError tells whether no connection to the target could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
