// Package logsink writes log lines from a queue, so that an output that is
// not read never blocks the work that is logged.
package logsink

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

const (
	// queueLines is the number of lines that may wait to be written; more
	// are dropped and counted.
	queueLines = 2048
	// batchBytes is the size above which waiting lines are written at once.
	batchBytes = 32 << 10
	// crowdedLines is the number of waiting lines above which routine lines are
	// sampled, so that those of failures find room.
	crowdedLines = queueLines / 2
	// sampleEvery is the number of routine lines of which one is kept then.
	sampleEvery = 10
)

// Sink is an io.Writer for whole lines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	routine atomic.Uint64 // counts the routine lines that met a crowded queue
	report  atomic.Pointer[func(uint64)]
	done    chan struct{}
}

// New returns a Sink that writes to out. Close ends it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// OnDrop sets the function that is told how many lines were dropped, once
// the output is read again.
func (s *Sink) OnDrop(f func(dropped uint64)) { s.report.Store(&f) }

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// WriteLevel implements zerolog.LevelWriter: while many lines wait, most of
// those at level info and below are dropped and counted.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level <= zerolog.InfoLevel && len(s.lines) > crowdedLines && s.routine.Add(1)%sampleEvery != 0 {
		s.dropped.Add(1)
		return len(line), nil
	}
	return s.Write(line)
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits. Lines that are written later are lost.
func (s *Sink) Close() {
	s.lines <- nil
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		if line == nil {
			return
		}
		batch = append(batch[:0], line...)
		last := s.gather(&batch)
		_, _ = s.out.Write(batch) // nothing is left to tell of a broken output
		if last {
			return
		}
		s.reportDropped()
	}
}

// gather adds the lines that wait already; true tells that the sink is closed.
func (s *Sink) gather(batch *[]byte) bool {
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

func (s *Sink) reportDropped() {
	report := s.report.Load()
	if report == nil {
		return
	}
	if n := s.dropped.Swap(0); n > 0 {
		(*report)(n)
	}
}
