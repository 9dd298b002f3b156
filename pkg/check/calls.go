package check

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/standin/engine"
)

// ran sums up what targets recorded of one request.
type ran struct {
	starts int
	last   time.Time
	// events is the number of events of the run that ended whole.
	events int
	whole  bool
}

func runsByID(records []engine.Record) map[string]*ran {
	out := map[string]*ran{}
	for _, r := range records {
		if r.RequestID == "" {
			continue
		}
		x := out[r.RequestID]
		if x == nil {
			x = &ran{}
			out[r.RequestID] = x
		}
		switch r.Kind {
		case engine.RecordStart:
			x.starts++
			x.last = r.At
		case engine.RecordEnd:
			if r.Events >= x.events {
				x.events, x.whole = r.Events, r.Outcome == OutcomeComplete
			}
		case engine.RecordLoad, engine.RecordLoaded, engine.RecordLoadFailed, engine.RecordUnload, engine.RecordStale, engine.RecordRestart, engine.RecordLeaving:
		}
	}
	return out
}

// OutcomeComplete is the outcome that a target records of a request whose
// answer it has given in whole.
const OutcomeComplete = "done"

// judgeCalls compares what each caller was told with what targets ran.
func judgeCalls(run Run, b Bounds) []Violation {
	var out []Violation
	runs := runsByID(run.Targets)
	for _, c := range run.Calls {
		x := runs[c.ID]
		if x == nil {
			x = &ran{}
		}
		out = append(out, judgeTruth(c, x)...)
		out = append(out, judgeAnswer(c, x)...)
		out = append(out, judgeTime(c, b)...)
	}
	return out
}

func judgeTruth(c Call, x *ran) []Violation {
	var out []Violation
	if !c.Idempotent && x.starts > 1 {
		out = append(out, violation(RuleAtMostOnce, x.last, "request %s was run %d times", c.ID, x.starts))
	}
	if c.Run == fault.RunNo && x.starts > 0 {
		out = append(out, violation(RuleNotRun, c.Ended, "request %s was told %s (not run) and was run", c.ID, c.Code))
	}
	if c.Run == fault.RunYes && x.starts == 0 && !c.Replayed {
		out = append(out, violation(RuleRan, c.Ended, "request %s was told that it ran and no target ran it", c.ID))
	}
	return out
}

func judgeAnswer(c Call, x *ran) []Violation {
	var out []Violation
	for _, id := range c.AnswerIDs {
		if id != c.ID && !c.Replayed {
			out = append(out, violation(RuleOwn, c.Ended, "request %s got the answer of %s", c.ID, id))
			break
		}
	}
	if c.Complete && !c.Replayed && x.whole && c.Events > 0 && c.Events != x.events {
		out = append(out, violation(RuleWhole, c.Ended, "request %s got %d of %d events", c.ID, c.Events, x.events))
	}
	if c.Complete && !c.Replayed && c.Expected > 0 && c.Events != c.Expected {
		out = append(out, violation(RuleWhole, c.Ended, "request %s got %d of %d events asked for", c.ID, c.Events, c.Expected))
	}
	for i, id := range c.EventIDs {
		if id != int64(i+1) {
			out = append(out, violation(RuleWhole, c.Ended, "request %s: event %d has the number %d", c.ID, i+1, id))
			break
		}
	}
	if !c.Complete && c.Status > 0 && c.Status < 300 && !c.CallerGone && c.Code == "" {
		out = append(out, violation(RuleWhole, c.Ended, "request %s ended without an end or an error", c.ID))
	}
	return out
}

func judgeTime(c Call, b Bounds) []Violation {
	var out []Violation
	if c.Status == 0 && !c.CallerGone {
		out = append(out, violation(RuleAnswered, c.Ended, "request %s was never answered", c.ID))
	}
	waited := c.First
	if waited.IsZero() {
		waited = c.Ended
	}
	if late := waited.Sub(c.Sent) - c.Timeout; c.Timeout > 0 && late > b.Deadline {
		out = append(out, violation(RuleDeadline, waited, "request %s was served or refused %s after its deadline", c.ID, late))
	}
	return out
}

// judgeKeys finds idempotency keys under which more than one request ran.
// Keys belong to a service.
func judgeKeys(run Run) []Violation {
	type key struct {
		service fleet.Service
		key     string
	}
	var out []Violation
	runs := runsByID(run.Targets)
	first := map[key]string{}
	for _, c := range run.Calls {
		x := runs[c.ID]
		if c.IdempotencyKey == "" || c.Idempotent || x == nil || x.starts == 0 {
			continue
		}
		k := key{service: c.Service, key: c.IdempotencyKey}
		if other, ok := first[k]; ok && other != c.ID {
			out = append(out, violation(RuleAtMostOnce, x.last, "idempotency key %s: requests %s and %s were both run", c.IdempotencyKey, other, c.ID))
			continue
		}
		first[k] = c.ID
	}
	return out
}
