// Package logsink writes log lines through a bounded queue, so that an output
// that nobody reads never blocks the code that logs.
package logsink

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the capacity of the queue, in lines. Lines that find it full
	// are dropped and counted.
	queueLines = 2048
	// batchBytes is the size from which a batch of lines is written without
	// adding further queued lines to it.
	batchBytes = 32 << 10
	// samplingThreshold is the number of queued lines above which routine lines
	// (level info and below) are sampled, which leaves space for warnings
	// and errors.
	samplingThreshold = queueLines / 2
	// sampleEvery is the number of routine lines of which one is kept while sampling.
	sampleEvery = 10
)

// Sink is an io.Writer and a zerolog.LevelWriter whose writes never block. Each
// write must hold one complete line. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte   // nil ends the writing goroutine
	dropped atomic.Uint64 // lines since the last call of onDrop
	routine atomic.Uint64 // routine lines that arrived while sampling
	onDrop  atomic.Pointer[func(uint64)]
	done    chan struct{} // closed when the writing goroutine has ended
}

// New returns a Sink that writes to out. Close stops its goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// OnDrop sets the function that receives the number of lines dropped since its
// last call. It is called after a successful or failed write to the output, thus
// not while the output blocks, and not if no line was dropped.
func (s *Sink) OnDrop(f func(dropped uint64)) { s.onDrop.Store(&f) }

// Write queues a copy of one line, or drops and counts it if the queue is full.
// It never blocks and returns no error. An empty line is ignored.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// WriteLevel implements zerolog.LevelWriter. It is like Write, but while more
// than samplingThreshold lines are queued, it drops and counts most lines at
// level info and below.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level <= zerolog.InfoLevel && len(s.lines) > samplingThreshold && s.routine.Add(1)%sampleEvery != 0 {
		s.dropped.Add(1)
		return len(line), nil
	}
	return s.Write(line)
}

// Dropped returns the number of lines that were dropped and not yet reported to
// the function of OnDrop.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the queued lines and waits until that is done, so it blocks as long as
// the output does. Lines written to the Sink afterwards are lost. It must be called
// once.
func (s *Sink) Close() {
	s.lines <- nil
	<-s.done
}

// run writes queued lines to the output until Close.
func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		if line == nil {
			return
		}
		batch = append(batch[:0], line...)
		closed := s.appendQueued(&batch)
		_, _ = s.out.Write(batch) // a failing log output can't be reported anywhere
		if closed {
			return
		}
		s.reportDropped()
	}
}

// appendQueued adds lines that are queued already to the batch, up to about
// batchBytes. It reports whether the Sink was closed meanwhile.
func (s *Sink) appendQueued(batch *[]byte) bool {
	for len(*batch) < batchBytes {
		select {
		case line := <-s.lines:
			if line == nil {
				return true
			}
			*batch = append(*batch, line...)
		default:
			return false
		}
	}
	return false
}

// reportDropped calls the function of OnDrop if lines were dropped, and resets
// their number.
func (s *Sink) reportDropped() {
	onDrop := s.onDrop.Load()
	if onDrop == nil {
		return
	}
	if n := s.dropped.Swap(0); n > 0 {
		(*onDrop)(n)
	}
}
