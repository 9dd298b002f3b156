package target

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// flushBytes is the amount of whole events that are written at once.
const flushBytes = 16 << 10

// Errors of event streams.
var (
	errStreamCut   = errors.New("stream ended without its end event")
	errEventGap    = errors.New("stream skipped events")
	errEventTooBig = errors.New("event exceeds the size bound")
)

// endOfStream is the data of the explicit end event.
var endOfStream = []byte("[DONE]")

// eventStream splits a server-sent event stream into whole events and
// drops those that were delivered before.
type eventStream struct {
	// delivered is the identifier of the last event handed over.
	delivered uint64
	in        *bufio.Reader
	// out holds whole events not yet written, then the current event.
	out []byte
	// start is where the current event begins in out.
	start int
	id    uint64
	hasID bool
	end   bool
}

// copy transfers events until the end event. It returns errStreamCut when
// the input ends before.
func (e *eventStream) copy(write func([]byte) error) error {
	e.out, e.start = e.out[:0], 0
	for {
		done, err := e.readEvent()
		if err != nil {
			if werr := e.flush(write); werr != nil {
				return werr
			}
			return err
		}
		if done || e.in.Buffered() == 0 || len(e.out) >= flushBytes {
			if err := e.flush(write); err != nil {
				return err
			}
		}
		if done {
			return nil
		}
	}
}

func (e *eventStream) flush(write func([]byte) error) error {
	if e.start == 0 {
		return nil
	}
	err := write(e.out[:e.start])
	e.out, e.start = e.out[:0], 0
	return err
}

// readEvent appends one event to out; true after the end event.
func (e *eventStream) readEvent() (bool, error) {
	e.id, e.hasID, e.end = 0, false, false
	long := false // the current chunk continues a line longer than the buffer
	for {
		line, err := e.in.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return false, errStreamCut
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return false, err
		}
		if len(e.out)-e.start+len(line) > maxEventBytes {
			return false, errEventTooBig
		}
		e.out = append(e.out, line...)
		if err != nil || long {
			// A line longer than the buffer is neither an id nor the end.
			long = err != nil
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e.finishEvent()
		}
		e.readField(line)
	}
}

func (e *eventStream) readField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			e.id, e.hasID = n, true
		}
	case "data":
		e.end = e.end || bytes.Equal(value, endOfStream)
	}
}

// finishEvent keeps the event that ends at len(out), or drops a repeated one.
func (e *eventStream) finishEvent() (bool, error) {
	if e.hasID {
		if e.id <= e.delivered {
			e.out = e.out[:e.start]
			return e.end, nil
		}
		if e.id != e.delivered+1 {
			return false, fmt.Errorf("event %d after %d: %w", e.id, e.delivered, errEventGap)
		}
		e.delivered = e.id
	}
	e.start = len(e.out)
	return e.end, nil
}
