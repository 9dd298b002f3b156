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
	leastFirstSilence = 1500 * time.Millisecond
	leastGapSilence   = 1200 * time.Millisecond
	// gapSilences is the silence in multiples of the longest pause between
	// two events that is on time.
	gapSilences = 4
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("an event is too long")
	errEventOrder   = errors.New("the events do not continue where the stream stopped")
	errHalfEvent    = errors.New("the stream ends within an event")
)

// passStream passes events on as they come. Only whole events reach the
// client, so that another target can go on after the last one.
func (n *Node) passStream(ctx context.Context, j *job, resp *upstream.Response, a *answer, out result) result {
	s := &eventSplitter{last: j.lastEvent, resumed: a.started}
	buf := make([]byte, copyBytes)
	for {
		if j.Route.Resumable {
			resp.SetReadDeadline(time.Now().Add(j.silence(s.count > 0 || a.started)))
		}
		count, err := resp.Read(buf)
		if count > 0 {
			events, splitErr := s.add(buf[:count])
			if splitErr != nil {
				return broken(ctx, out, splitErr)
			}
			if len(events) > 0 {
				if werr := n.writeEvents(j, resp, a, out.status, events); werr != nil {
					out.kind, out.err = clientGone, werr
					return out
				}
				j.lastEvent = s.last
			}
		}
		if errors.Is(err, io.EOF) {
			return n.endStream(ctx, j, resp, a, s, out)
		}
		if err != nil {
			if isTimeout(err) && ctx.Err() == nil {
				n.pool.CloseIdle(j.place.target.Addr) // see send
				out.kind, out.err = unknown, err
				return out
			}
			return broken(ctx, out, err)
		}
	}
}

// silence is how long the next event of a stream may take before the stream
// is resumed elsewhere.
func (j *job) silence(running bool) time.Duration {
	if running {
		return max(leastGapSilence, gapSilences*j.Route.MaxEventInterval)
	}
	return max(leastFirstSilence, j.Route.Objective*3/2)
}

func (n *Node) writeEvents(j *job, resp *upstream.Response, a *answer, status int, events []byte) error {
	now := time.Now()
	if !a.started {
		a.begin(status, resp.Header, -1)
		j.first = now.Sub(j.arrived)
	} else {
		j.pause = max(j.pause, now.Sub(j.lastAt))
	}
	j.lastAt = now
	if j.place.run != 0 && !j.begun {
		j.begun = true
		n.links.began(j.place.zone, &wire.RunStarted{Run: j.place.run})
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return a.rc.Flush()
}

// endStream follows the regular end of a target's answer.
func (n *Node) endStream(ctx context.Context, j *job, resp *upstream.Response, a *answer, s *eventSplitter, out result) result {
	if len(s.rest) > 0 {
		return broken(ctx, out, errHalfEvent)
	}
	if !a.started {
		a.begin(out.status, resp.Header, -1)
	}
	a.complete = true
	out.kind = answered
	return out
}

// eventSplitter cuts a stream of events at the ends of the events.
type eventSplitter struct {
	rest []byte
	// last is the id of the last whole event.
	last string
	// resumed tells that the events go on where another target stopped.
	resumed bool
	count   int
}

// eventEnd separates two events.
var eventEnd = []byte("\n\n")

// add returns the whole events that are complete with p. The result is valid
// until the next call.
func (s *eventSplitter) add(p []byte) ([]byte, error) {
	all := p
	if len(s.rest) > 0 {
		all = append(s.rest, p...)
	}
	end := bytes.LastIndex(all, eventEnd)
	if end < 0 {
		if len(all) > maxEventBytes {
			return nil, errEventTooLong
		}
		s.rest = append(s.rest[:0:0], all...)
		return nil, nil
	}
	end += len(eventEnd)
	whole := all[:end]
	s.rest = append(s.rest[:0:0], all[end:]...)
	return whole, s.number(whole)
}

// number follows the ids of the events.
func (s *eventSplitter) number(whole []byte) error {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id = bytes.TrimSpace(id)
		if s.count == 0 && s.resumed && !follows(s.last, string(id)) {
			return errEventOrder
		}
		s.count++
		s.last = string(id)
	}
	return nil
}

// follows tells whether id is the event after last.
func follows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA != nil || errB != nil {
		return last != id
	}
	return b == a+1
}
