package check

import (
	"fmt"
	"slices"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/standin/engine"
)

// Rule names a promise.
type Rule string

// The promises that are checked.
const (
	RuleLimit       Rule = "replica_limit"
	RuleMemory      Rule = "memory"
	RuleAtMostOnce  Rule = "at_most_once"
	RuleNotRun      Rule = "truthful_not_run"
	RuleRan         Rule = "truthful_answer"
	RuleWhole       Rule = "whole_answer"
	RuleOwn         Rule = "own_answer"
	RuleDeadline    Rule = "deadline"
	RuleAnswered    Rule = "never_dropped"
	RuleLeaving     Rule = "leaving_target"
	RuleCutOff      Rule = "cut_off"
	RuleRevert      Rule = "configuration_reverts"
	RulePropagation Rule = "configuration_late"
)

// Bounds are the times that the promises allow.
type Bounds struct {
	// Deadline is how long after its deadline a request may end.
	Deadline time.Duration
	// Leaving is how long a leaving target may still get new work.
	Leaving time.Duration
	// LimitLowered is how long replicas beyond a lowered limit may stay
	// loaded; no further one may be loaded.
	LimitLowered time.Duration
	// Propagation is how long an accepted change may take to be in force.
	Propagation time.Duration
}

// DefaultBounds returns the bounds of docs/PROOF.md.
func DefaultBounds() Bounds {
	return Bounds{
		Deadline:     time.Second,
		Leaving:      2 * time.Second,
		LimitLowered: time.Minute,
		Propagation:  13 * time.Second,
	}
}

// Violation is one broken promise.
type Violation struct {
	Rule Rule
	At   time.Time
	Text string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Rule, v.At.Format("15:04:05.000"), v.Text)
}

// Judge returns every violation that the records show, by time.
func Judge(run Run, b Bounds) []Violation {
	run.Targets = slices.Clone(run.Targets)
	slices.SortStableFunc(run.Targets, func(x, y engine.Record) int { return x.At.Compare(y.At) })
	var out []Violation
	out = append(out, judgePlacement(run, b)...)
	out = append(out, judgeLeaving(run, b)...)
	out = append(out, judgeCalls(run, b)...)
	out = append(out, judgeKeys(run)...)
	out = append(out, judgeRevisions(run, b)...)
	slices.SortStableFunc(out, func(x, y Violation) int { return x.At.Compare(y.At) })
	return out
}

func violation(rule Rule, at time.Time, format string, args ...any) Violation {
	return Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
}

// judgeLeaving finds requests that were sent to targets that had announced
// their leaving for longer than the bound.
func judgeLeaving(run Run, b Bounds) []Violation {
	var out []Violation
	left := map[fleet.TargetID]time.Time{}
	for _, r := range run.Targets {
		since, leaving := left[r.Target]
		switch r.Kind {
		case engine.RecordLeaving:
			if !leaving {
				left[r.Target] = r.At
			}
		case engine.RecordRestart:
			delete(left, r.Target)
		case engine.RecordStart, engine.RecordLoad:
			if leaving && r.At.Sub(since) > b.Leaving {
				out = append(out, violation(RuleLeaving, r.At, "target %s got a %s %s after it announced its leaving", r.Target, r.Kind, r.At.Sub(since)))
			}
		case engine.RecordLoaded, engine.RecordUnload, engine.RecordStale, engine.RecordEnd, engine.RecordLoadFailed:
		}
	}
	return out
}
