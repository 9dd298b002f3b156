package entry

import (
	"errors"

	"almondturn/pkg/buffers"
	"almondturn/pkg/event"
	"almondturn/pkg/upstream"
)

// exceededPart returns which part of a response exceeded its limit, by the error that ended
// it: the label what of the metrics. It is empty for other errors.
func exceededPart(err error) string {
	switch {
	case errors.Is(err, upstream.ErrHeadTooLarge):
		return "head"
	case errors.Is(err, upstream.ErrTooManySkippedBytes):
		return "skipped body"
	case errors.Is(err, errEventTooLong):
		return "event"
	case errors.Is(err, buffers.ErrHeldMost):
		return "held bytes"
	default:
		return ""
	}
}

// observeExceeded counts and logs an attempt whose response exceeded a limit, as one
// without end does.
func (n *Node) observeExceeded(j *job, target string, err error) {
	what := exceededPart(err)
	if what == "" {
		return
	}
	n.metrics.countEndlessAnswer(j.service, what)
	event.TargetEndless.Log(n.log).Str("request", j.ID).Str("target", target).Str("service", j.service).Str("what", what).AnErr("error", err).Send()
}
