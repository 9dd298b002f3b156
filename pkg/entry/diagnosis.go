package entry

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"

	"almondturn/pkg/inventory"
	"almondturn/pkg/upstream"
)

// diagnosis is what a probe shows about the target of a silent stream.
type diagnosis uint8

const (
	// targetUnknown: the target has the connection, but its report did not arrive or does
	// not tell of the run.
	targetUnknown diagnosis = iota
	// targetWorking: the target reports the run, and has made no event that did not arrive.
	targetWorking
	// connectionLost: the target has made events that did not arrive.
	connectionLost
	// runMissing: the target reports its runs, and the run is not among them.
	runMissing
	// targetGone: another target listens at the target's address, or another incarnation
	// of it.
	targetGone
	// targetUnreachable: no connection to the target was made in time.
	targetUnreachable
	// targetHung: the target has the connection and did not answer in time. One such probe
	// shows little, see continuation.confirmHang.
	targetHung
)

// String returns the name of the diagnosis as it appears in the log.
func (d diagnosis) String() string {
	return [...]string{"unknown", "working", "connection_lost", "run_missing", "gone", "unreachable", "hung"}[d]
}

// failed reports whether the probe shows that the target or its connection has failed.
func (d diagnosis) failed() bool { return d != targetUnknown && d != targetWorking }

// mayEndForNext reports whether an attempt that is left may end before the next target has
// continued the stream. A target that cannot be reached may still answer first.
func (d diagnosis) mayEndForNext() bool { return d.failed() && d != targetUnreachable }

// mayRecover reports whether the stream may still go on at its target, so that it is left
// only at the client's last chance.
func (d diagnosis) mayRecover() bool { return d.connectionFailed() || d == targetHung }

// connectionFailed reports whether the target serves new connections, so that the
// connection of the stream may be all that failed.
func (d diagnosis) connectionFailed() bool { return d == connectionLost || d == runMissing }

// attemptState is what a node knows of an attempt of a stream when it probes the target.
type attemptState struct {
	requestID string
	target    *inventory.Target
	// lastEventID is the ID of the last event that arrived, eventCount the number of
	// events that arrived in this attempt.
	lastEventID string
	eventCount  int
}

// eventsArrived returns the number of events that have arrived. Targets count those of a
// run from the beginning of the stream, or from the event after which the run continues it;
// the result is the greater number.
func (s attemptState) eventsArrived() int {
	id, err := strconv.Atoi(s.lastEventID)
	if err != nil {
		return s.eventCount
	}
	return max(id, s.eventCount)
}

// diagnose returns what the result of a probe shows about an attempt.
func diagnose(r inventory.Report, err error, s attemptState) diagnosis {
	switch {
	case err != nil:
		return diagnoseError(err)
	case isOtherIncarnation(r.Incarnation, s.target.Incarnation):
		return targetGone
	case r.Runs == nil:
		return targetUnknown
	}
	made, listed := r.Runs[s.requestID]
	switch {
	case listed && made > s.eventsArrived():
		return connectionLost
	case listed:
		return targetWorking
	case r.Waiting > 0 || r.Running > len(r.Runs):
		return targetUnknown // it may wait, or not be listed yet
	default:
		return runMissing
	}
}

// isOtherIncarnation reports whether two incarnations differ; 0 is one that is not stated.
func isOtherIncarnation(a, b int64) bool { return a != 0 && b != 0 && a != b }

// diagnoseError returns what the error of a probe shows. A connection that was reset after
// it was made shows nothing: targets do that to connections beyond their limit. Nor does one
// that was refused: a target that is leaving may accept none while it finishes its runs, and
// the connections to one that has ended fail by themselves, at their keep-alive at the latest.
func diagnoseError(err error) diagnosis {
	var sendErr *upstream.SendError
	switch {
	case errors.Is(err, inventory.ErrOtherTarget):
		return targetGone
	case !errors.As(err, &sendErr):
		return targetUnknown
	case sendErr.Sent && tookTooLong(err):
		return targetHung
	case !sendErr.Sent && isConnectTimeout(err):
		return targetUnreachable
	default:
		return targetUnknown
	}
}

// tookTooLong reports whether a probe has ended at its time limit.
func tookTooLong(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// isConnectTimeout reports whether an attempt to connect took too long, or the network
// reports that there is no path.
func isConnectTimeout(err error) bool {
	var netErr net.Error
	return tookTooLong(err) || errors.As(err, &netErr) && netErr.Timeout() ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
