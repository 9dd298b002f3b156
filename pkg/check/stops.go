package check

import (
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
)

// JudgeStops finds requests that a planned stop cut off. through tells which
// node a call went through. It is apart from Judge because only the driver of
// a run knows which broken calls a planned stop, and not a fault, coincided
// with: pass the calls of a run without other faults.
func JudgeStops(calls []Call, stops []Stop, through func(Call) fleet.NodeID) []Violation {
	var out []Violation
	for _, s := range stops {
		for _, c := range calls {
			if through(c) != s.Node || !inProgress(c, s.At) {
				continue
			}
			if c.Status == 0 || c.Code == fault.StreamBroken.String() || c.Code == fault.OutcomeUnknown.String() || (c.Status < 300 && !c.Complete) {
				out = append(out, violation(RuleCutOff, c.Ended, "the planned stop of %s cut request %s off", s.Node, c.ID))
			}
		}
	}
	return out
}

func inProgress(c Call, at time.Time) bool {
	return !c.Sent.After(at) && c.Ended.After(at)
}
