package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"almondturn/pkg/upstream"
	"almondturn/wire"
)

// Silence after which a stream that can be resumed goes on at another target.
const (
	minFirstEventTimeout = 1500 * time.Millisecond
	minNextEventTimeout  = 1200 * time.Millisecond
	// gapSilences is the silence in multiples of the longest pause between
	// two events that is on time.
	nextEventTimeoutFactor = 4
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong    = errors.New("an event is too long")
	errEventOrder      = errors.New("the events do not continue where the stream stopped")
	errIncompleteEvent = errors.New("the stream ends within an event")
)

// passStream passes events on as they come. Only whole events reach the
// client, so that another target can go on after the last one.
func (n *Node) forwardStream(ctx context.Context, j *job, resp *upstream.Response, a *clientResponse, out sendResult) sendResult {
	s := &eventSplitter{lastID: j.resumeAfter, resumed: a.started}
	buf := make([]byte, streamBufferBytes)
	for {
		if j.Route.Resumable {
			resp.SetReadDeadline(time.Now().Add(j.eventTimeout(s.idCount > 0 || a.started)))
		}
		count, err := resp.Read(buf)
		if count > 0 {
			events, splitErr := s.add(buf[:count])
			if splitErr != nil {
				return incompleteResult(ctx, out, splitErr)
			}
			if len(events) > 0 {
				if werr := n.writeEvents(j, resp, a, out.status, events); werr != nil {
					out.kind, out.err = clientGone, werr
					return out
				}
				j.resumeAfter = s.lastID
			}
		}
		if errors.Is(err, io.EOF) {
			return n.endStream(ctx, j, resp, a, s, out)
		}
		if err != nil {
			if isTimeout(err) && ctx.Err() == nil {
				n.pool.CloseIdle(j.slot.target.Addr) // see send
				out.kind, out.err = outcomeUnknown, err
				return out
			}
			return incompleteResult(ctx, out, err)
		}
	}
}

// silence is how long the next event of a stream may take before the stream
// is resumed elsewhere.
func (j *job) eventTimeout(running bool) time.Duration {
	if running {
		return max(minNextEventTimeout, nextEventTimeoutFactor*j.Route.MaxEventInterval)
	}
	return max(minFirstEventTimeout, j.Route.Objective*3/2)
}

func (n *Node) writeEvents(j *job, resp *upstream.Response, a *clientResponse, status int, events []byte) error {
	now := time.Now()
	if !a.started {
		a.writeHeader(status, resp.Header, -1)
		j.firstByteAfter = now.Sub(j.arrived)
	} else {
		j.longestInterval = max(j.longestInterval, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
	if j.slot.run != 0 && !j.startReported {
		j.startReported = true
		n.links.runStarted(j.slot.zone, &wire.RunStarted{Run: j.slot.run})
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return a.rc.Flush()
}

// endStream follows the regular end of a target's answer.
func (n *Node) endStream(ctx context.Context, j *job, resp *upstream.Response, a *clientResponse, s *eventSplitter, out sendResult) sendResult {
	if len(s.partial) > 0 {
		return incompleteResult(ctx, out, errIncompleteEvent)
	}
	if !a.started {
		a.writeHeader(out.status, resp.Header, -1)
	}
	a.complete = true
	out.kind = answered
	return out
}

// eventSplitter cuts a stream of events at the ends of the events.
type eventSplitter struct {
	partial []byte
	// last is the id of the last whole event.
	lastID string
	// resumed tells that the events go on where another target stopped.
	resumed bool
	idCount int
}

// eventEnd separates two events.
var eventEnd = []byte("\n\n")

// add returns the whole events that are complete with p. The result is valid
// until the next call.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	all := p
	if len(s.partial) > 0 {
		all = append(s.partial, p...)
	}
	end := bytes.LastIndex(all, eventEnd)
	if end < 0 {
		if len(all) > maxEventBytes {
			return nil, errEventTooLong
		}
		s.partial = append(s.partial[:0:0], all...)
		return nil, nil
	}
	end += len(eventEnd)
	whole := all[:end]
	s.partial = append(s.partial[:0:0], all[end:]...)
	return whole, s.checkIDs(whole)
}

// number follows the ids of the events.
func (s *eventSplitter) checkIDs(whole []byte) error {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id = bytes.TrimSpace(id)
		if s.idCount == 0 && s.resumed && !isNextID(s.lastID, string(id)) {
			return errEventOrder
		}
		s.idCount++
		s.lastID = string(id)
	}
	return nil
}

// follows tells whether id is the event after last.
func isNextID(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA != nil || errB != nil {
		return last != id
	}
	return b == a+1
}
