package intake

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// backlogShare is the share of the memory of the node for what is read of responses ahead of
	// their clients.
	backlogShare = 1.0 / 16
	// targetBacklogShare is the share of it that the responses of one target may hold.
	targetBacklogShare = 1.0 / 2
	// maxClientBacklog bounds what is read ahead of one client; it is of the order of the
	// socket buffers of a connection.
	maxClientBacklog = 256 << 10
	// readAheadBytes is the size of one read ahead.
	readAheadBytes = 16 << 10
	// readAheadDelay is how long a write to the client waits before the response is read ahead.
	// Most writes return at once and need no second goroutine.
	readAheadDelay = 100 * time.Millisecond
	// readAheadRetry is the delay before the next read ahead after a bound was reached.
	readAheadRetry = 500 * time.Millisecond
)

// MaxWriteStall is how long a write of WritePieceBytes to a client may wait.
const MaxWriteStall = 10 * time.Second

// WritePieceBytes is the size of the pieces in which a response is written: a client that reads slowly
// and steadily is not ended.
const WritePieceBytes = 16 << 10

// ErrSlowReader means that a response was ended because its client reads too slowly.
var ErrSlowReader = errors.New("the client reads the response too slowly")

// Backlogs bounds what is read of responses ahead of clients that read slowly, so that their
// targets can hand the responses over. Its methods may be called concurrently.
type Backlogs struct {
	max, maxTarget, maxClient int64

	mu   sync.Mutex // guards all below, and the fields of ReadAhead that say so
	held int64
	// byTarget is the part of held of each target.
	byTarget map[string]int64
	// readers are the responses whose clients keep a write waiting.
	readers map[*ReadAhead]struct{}
}

// NewBacklogs returns Backlogs that may hold max bytes. With 0, nothing is read ahead.
func NewBacklogs(max int64) *Backlogs {
	return &Backlogs{
		max: max, maxTarget: int64(targetBacklogShare * float64(max)), maxClient: min(maxClientBacklog, max/4),
		byTarget: map[string]int64{}, readers: map[*ReadAhead]struct{}{},
	}
}

// Held returns how many bytes were read ahead and not written yet.
func (l *Backlogs) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// ReadAhead is the reader of the body of a response. While a write to the client waits, it reads the
// body in the background, within the bounds of Backlogs. Its methods are called by the goroutine of
// the request.
type ReadAhead struct {
	backlogs *Backlogs
	source   io.Reader
	target   string
	// interrupt ends a read of source that waits, end a write to the client that waits.
	interrupt, end func()
	timer          *time.Timer

	// The lock of backlogs guards all below.

	// changed is signaled when data has arrived or reading ahead has ended.
	changed *sync.Cond
	// data is what was read ahead, err the error of the read after it.
	data []byte
	err  error
	// writing is true during a write to the client, which began at writingSince.
	writing      bool
	writingSince time.Time
	// reading is true while a goroutine reads ahead.
	reading bool
	// ended is true once end was called, closed once Close was.
	ended, closed bool
}

// NewReadAhead returns the reader of a response of a target. end may be called by another
// goroutine, to end a write to the client. interrupt must make a read of source return.
func (l *Backlogs) NewReadAhead(source io.Reader, target string, interrupt, end func()) *ReadAhead {
	return &ReadAhead{backlogs: l, source: source, target: target, interrupt: interrupt, end: end, changed: sync.NewCond(&l.mu)}
}

// Read implements io.Reader. It returns what was read ahead first.
func (a *ReadAhead) Read(p []byte) (int, error) {
	l := a.backlogs
	l.mu.Lock()
	for a.reading && len(a.data) == 0 {
		a.changed.Wait()
	}
	if len(a.data) > 0 || a.err != nil {
		defer l.mu.Unlock()
		if len(a.data) == 0 {
			return 0, a.err
		}
		n := copy(p, a.data)
		a.data = a.data[n:]
		l.add(a.target, -int64(n))
		if len(a.data) == 0 {
			a.data = nil
		}
		return n, nil
	}
	l.mu.Unlock()
	return a.source.Read(p)
}

// WriteBegins records that a write to the client begins, or its next piece.
func (a *ReadAhead) WriteBegins() {
	l := a.backlogs
	l.mu.Lock()
	defer l.mu.Unlock()
	a.writing, a.writingSince = true, time.Now()
	if a.reading {
		l.readers[a] = struct{}{}
	}
	if a.timer == nil {
		a.timer = time.AfterFunc(readAheadDelay, a.readAhead)
		return
	}
	a.timer.Reset(readAheadDelay)
}

// WriteEnds records that the write has returned. It returns ErrSlowReader if it was ended.
func (a *ReadAhead) WriteEnds() error {
	a.timer.Stop()
	l := a.backlogs
	l.mu.Lock()
	defer l.mu.Unlock()
	a.writing = false
	delete(l.readers, a)
	if a.ended {
		return ErrSlowReader
	}
	return nil
}

// Close ends reading ahead and discards what was read and not returned. It returns when source is
// not read any more.
func (a *ReadAhead) Close() {
	l := a.backlogs
	l.mu.Lock()
	defer l.mu.Unlock()
	a.closed, a.writing = true, false
	delete(l.readers, a)
	if a.timer != nil {
		a.timer.Stop()
	}
	for a.reading {
		a.interrupt()
		a.changed.Wait()
	}
	l.add(a.target, -int64(len(a.data)))
	a.data = nil
}

// readAhead reads source until the write that waits has returned or a bound is reached.
func (a *ReadAhead) readAhead() {
	l := a.backlogs
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.writing || a.reading || a.closed {
		return
	}
	a.reading = true
	l.readers[a] = struct{}{}
	buf := make([]byte, readAheadBytes)
	for a.writing && !a.closed && a.err == nil && l.makeRoom(a) {
		l.add(a.target, readAheadBytes) // reserved during the read
		l.mu.Unlock()
		n, err := a.source.Read(buf)
		l.mu.Lock()
		l.add(a.target, int64(n)-readAheadBytes)
		a.data = append(a.data, buf[:n]...)
		a.err = err
		a.changed.Broadcast()
	}
	a.reading = false
	a.changed.Broadcast()
	if a.writing && a.err == nil {
		a.timer.Reset(readAheadRetry) // there may be room then
	}
}

// makeRoom reports whether a may read ahead once more. At the bound of the node or of the
// target it ends the response whose client has kept a write waiting the longest, for
// minEvictStall at least. mu must be held.
func (l *Backlogs) makeRoom(a *ReadAhead) bool {
	if int64(len(a.data)+readAheadBytes) > l.maxClient {
		return false
	}
	target := ""
	switch {
	case l.byTarget[a.target]+readAheadBytes > l.maxTarget:
		target = a.target
	case l.held+readAheadBytes <= l.max:
		return true
	}
	if slowest := l.slowest(target, time.Now()); slowest != nil {
		slowest.ended = true
		slowest.end()
	}
	return false // the room is there when the response has ended
}

// slowest returns the response of a target, empty for all, whose client has kept a write
// waiting the longest, nil if none has for minEvictStall. mu must be held.
func (l *Backlogs) slowest(target string, now time.Time) *ReadAhead {
	var slowest *ReadAhead
	longest := minEvictStall
	for a := range l.readers {
		if a.ended || len(a.data) == 0 || target != "" && a.target != target {
			continue
		}
		if wait := now.Sub(a.writingSince); wait >= longest {
			slowest, longest = a, wait
		}
	}
	return slowest
}

// add counts bytes of a target. mu must be held.
func (l *Backlogs) add(target string, n int64) {
	l.held += n
	if l.byTarget[target] += n; l.byTarget[target] <= 0 {
		delete(l.byTarget, target)
	}
}
