package emulator

import "time"

// limitReceiver is implemented by policies that keep to the limits that targets name; see
// scheduler.Scheduler.
type limitReceiver interface {
	SetTargetLimit(now time.Time, target string, incarnation int64, perSecond float64)
	RemoveTargetLimit(target string, incarnation int64)
}

// simulatedLimit is the limit that a target names.
type simulatedLimit struct {
	perSecond float64
	until     time.Time
	// namedAt is when a response first named it, zero before.
	namedAt time.Time
	// requests are the times of the requests of the last limitWindow.
	requests []time.Time
}

// Bounds of what a target with a limit may get, as the users of the platform state them.
const (
	limitWindow = 4 * time.Second
	// limitGrace is the time after a limit was first named from which it is checked.
	limitGrace  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// announceLimit passes on what the response to a run says: the limit, or to a run that began
// after its end that there is none.
func (s *simulation) announceLimit(now time.Time, e *simulatedTarget, r *activeRun) {
	p, ok := s.policy.(limitReceiver)
	switch {
	case e.limit.until.IsZero():
	case now.Before(e.limit.until):
		if e.limit.namedAt.IsZero() {
			e.limit.namedAt = now
		}
		if ok {
			p.SetTargetLimit(now, e.id, e.incarnation, e.limit.perSecond)
		}
	case !r.begunAt.Before(e.limit.until) && ok:
		p.RemoveTargetLimit(e.id, e.incarnation)
	}
}

// countRequest counts a request that a target gets. Too many for its limit are a violation.
func (s *simulation) countRequest(now time.Time, e *simulatedTarget) {
	l := &e.limit
	if l.namedAt.IsZero() || !now.Before(l.until) || now.Sub(l.namedAt) < limitGrace {
		return
	}
	l.requests = append(l.requests, now)
	for now.Sub(l.requests[0]) > limitWindow {
		l.requests = l.requests[1:]
	}
	allowed := int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
	if len(l.requests) > allowed {
		s.addViolation("target %s with a limit of %g got %d requests in %s, allowed are %d", e.id, l.perSecond, len(l.requests), limitWindow, allowed)
	}
}
