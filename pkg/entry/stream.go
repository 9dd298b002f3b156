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

// Times without an event after which another target is sought for a stream that can
// be resumed.
const (
	// minFirstEventWait and minNextEventWait are the shortest times to wait for
	// the first and for each following event.
	minFirstEventWait = 1500 * time.Millisecond
	minNextEventWait  = 1200 * time.Millisecond
	// nextEventWaitFactor is the time to wait for a following event as a
	// multiple of the longest allowed event interval.
	nextEventWaitFactor = 4
)

// maxEventBytes is the maximum size of one event. Most hold a few tokens in some hundred
// bytes; the last one of a stream may repeat the whole response with the probabilities of
// its tokens, in some hundred KB. What all unfinished events hold is bounded besides, see
// limitTargetResponses.
const maxEventBytes = 1 << 20

var (
	errEventTooLong    = errors.New("event exceeds the size limit")
	errEventOrder      = errors.New("resumed stream does not continue after the last event")
	errIncompleteEvent = errors.New("stream ended within an event")
	errNoEvent         = errors.New("stream ended with its connection before the first event")
)

// forwardStream writes events to the client as they arrive. Comments and events without
// identifiers are passed on, too, until the deadline of the request at the latest. Only complete
// events are written, so that another target can continue after the last one. c is the
// continuation of the attempt, nil if there is none.
func (n *Node) forwardStream(ctx context.Context, j *job, resp *upstream.Response, cr *clientResponse, out sendResult, c *continuation) sendResult {
	s := &eventSplitter{lastID: j.resumeAfter, resumed: cr.started}
	body := n.readAhead(j, resp, cr)
	defer body.Close()
	buf := make([]byte, streamBufferBytes)
	idCount := 0
	for {
		size, err := body.Read(buf)
		if size > 0 {
			events, splitErr := s.add(buf[:size])
			if splitErr == nil {
				splitErr = j.held.HoldEvent(cap(s.partial))
			}
			if splitErr != nil {
				return incompleteResult(ctx, out, splitErr)
			}
			if len(events) > 0 {
				if !c.writeBegins() {
					return incompleteResult(ctx, out, errStalled)
				}
				if writeErr := n.write(j, cr, body, func(w io.Writer) error { return n.writeEvents(j, resp, cr, w, out.status, events) }); writeErr != nil {
					out.kind, out.err = clientGone, writeErr
					return out
				}
				j.resumeAfter, j.endsWithoutID = s.lastID, s.endsWithoutID
				c.writeEnded(j, s.eventCount, s.idCount > idCount) // other bytes, such as comments, are no progress
				idCount = s.idCount
				n.guard.progressed(j)
			}
		}
		if errors.Is(err, io.EOF) {
			return n.endStream(ctx, j, resp, cr, s, out)
		}
		if err != nil {
			return incompleteResult(ctx, out, err)
		}
	}
}

// mayResumeElsewhere reports whether the request may be sent to another target after
// the current one has stalled. runs is the number of runs that targets may have begun
// for it, the current one included.
func (j *job) mayResumeElsewhere(now time.Time, runs int) bool {
	return j.idempotent() && j.Route.Resumable && !j.NonStreaming && !j.endsWithoutID && runs < j.Route.MaxAttempts &&
		j.sends < maxSends && len(j.excluded) < maxSends && j.deadline.Sub(now) > minRunTime
}

// eventWait returns how long to wait for the next event of a stream before
// another target is sought for it: one and a half times the latency objective
// for the first event, and a multiple of the longest event interval after it,
// but not less than the minimum of each. started is true if an event with an ID
// was received from this target, or a part of the response was written to the
// client.
func (j *job) eventWait(started bool) time.Duration {
	if started {
		return max(minNextEventWait, nextEventWaitFactor*j.Route.MaxEventInterval)
	}
	return max(minFirstEventWait, j.Route.LatencyObjective*3/2)
}

// writeEvents writes complete events to the client, after the headers if they
// are still missing, and reports the start of the run to its owner. An error
// means that the client accepts no more bytes.
func (n *Node) writeEvents(j *job, resp *upstream.Response, cr *clientResponse, w io.Writer, status int, events []byte) error {
	now := time.Now()
	var origin *wire.StreamOrigin
	if !j.version.known {
		origin = n.streamBegun(j, j.assignment.target)
	}
	if !cr.started {
		cr.streaming = true
		cr.writeHeader(status, resp.Header, -1)
		j.firstByteAfter = now.Sub(j.arrived)
	} else {
		j.longestInterval = max(j.longestInterval, now.Sub(j.lastEventAt))
	}
	j.lastEventAt, j.givenUp = now, false
	n.reportStart(j, resp, origin)
	if _, err := w.Write(events); err != nil {
		return err
	}
	return cr.rc.Flush()
}

// reportStart reports the start of the response of an attempt to the owner of its zone, unless
// that was done. origin is that of its stream, nil if another attempt began it or if clients
// can't take it up; an owner needs it also of an attempt that no owner granted.
func (n *Node) reportStart(j *job, resp *upstream.Response, origin *wire.StreamOrigin) {
	a := j.assignment
	if j.startReported || a.runID == 0 && origin == nil {
		return
	}
	j.startReported = true
	pace := n.targetProtocol.ParseResponse(resp.Header).PacePercent
	n.links.runStarted(a.target.Zone, &wire.RunStarted{Run: a.runID, PacePercent: pace, Origin: origin})
}

// endStream completes the response after the regular end of a target's body.
// If the body ended within an event, or with its connection before the first event, it
// returns incompleteResult instead.
func (n *Node) endStream(ctx context.Context, j *job, resp *upstream.Response, cr *clientResponse, s *eventSplitter, out sendResult) sendResult {
	if len(s.partial) > 0 {
		return incompleteResult(ctx, out, errIncompleteEvent)
	}
	if s.eventCount == 0 && resp.EndsWithConnection() {
		return incompleteResult(ctx, out, errNoEvent)
	}
	if !cr.started {
		cr.writeHeader(out.status, resp.Header, -1)
	}
	cr.complete = true
	out.kind, out.endsWithConnection = completed, resp.EndsWithConnection()
	return out
}

// eventSplitter splits the body of an event stream into complete events and
// follows their IDs.
type eventSplitter struct {
	// partial is the start of an event that is not complete yet. It has no end of an
	// event, so that only what is added needs to be searched.
	partial []byte
	// lastID is the ID of the last complete event.
	lastID string
	// resumed is true if the events have to continue after lastID of another
	// target.
	resumed bool
	// idCount is the number of complete events with an ID, eventCount that of all
	// complete events other than comments.
	idCount, eventCount int
	// endsWithoutID is true if the last complete event, other than comments, has no ID.
	endsWithoutID bool
}

// eventEnd terminates an event.
var eventEnd = []byte("\n\n")

// add appends p to the stream and returns the events that are complete with it,
// nil if there are none. The result may share memory with p, and is valid until
// the next call. It returns errEventTooLong if more than maxEventBytes are
// buffered without the end of an event, and errEventOrder if a resumed stream
// continues at another event.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	buffered, searched := p, 0
	if len(s.partial) > 0 {
		searched = len(s.partial) - 1 // the end may have begun with the last byte
		s.partial = append(s.partial, p...)
		buffered = s.partial
	}
	end := bytes.LastIndex(buffered[searched:], eventEnd)
	if end < 0 {
		if len(buffered) > maxEventBytes {
			return nil, errEventTooLong
		}
		if len(s.partial) == 0 {
			s.partial = append(s.partial, p...)
		}
		return nil, nil
	}
	end += searched + len(eventEnd)
	events := buffered[:end]
	s.partial = append([]byte(nil), buffered[end:]...) // events may share the former memory
	return events, s.checkIDs(events)
}

// checkIDs updates lastID and the counts from complete events. It returns errEventOrder
// if the first event of a resumed stream, other than comments, does not have the ID after
// lastID.
func (s *eventSplitter) checkIDs(events []byte) error {
	for event := range bytes.SplitSeq(events, eventEnd) {
		id, hasID, comment := parseEvent(event)
		if comment {
			continue
		}
		if s.eventCount == 0 && s.resumed && !(hasID && isNextID(s.lastID, id)) {
			return errEventOrder
		}
		s.eventCount++
		s.endsWithoutID = !hasID
		if hasID {
			s.idCount++
			s.lastID = id
		}
	}
	return nil
}

// parseEvent returns the ID of an event, and whether it has one. comment is true if the
// event has no fields.
func parseEvent(event []byte) (id string, hasID, comment bool) {
	comment = true
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			comment = false
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, hasID = string(bytes.TrimSpace(value)), true
		}
	}
	return id, hasID, comment
}

// isNextID reports whether id is the ID of the event after the one with ID
// last. IDs that are not numbers only have to differ.
func isNextID(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA != nil || errB != nil {
		return last != id
	}
	return b == a+1
}
