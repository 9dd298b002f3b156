package scenarios

import (
	"time"

	"almondturn/pkg/check"
	"almondturn/pkg/fault"
)

// judge returns the violations of the promises, by the targets' records and
// the callers' log alone.
func (d *deployment) judge() []string {
	run := check.Run{Targets: d.records.all(), End: time.Now()}
	for key, limit := range d.limits {
		run.Limits = append(run.Limits, check.LimitChange{Key: key, Max: limit})
	}
	for _, k := range d.callers.calls() {
		run.Calls = append(run.Calls, k.record())
	}
	var out []string
	for _, v := range check.Judge(run, check.DefaultBounds()) {
		out = append(out, v.String())
	}
	return out
}

// record is the call as the checker reads it.
func (k *call) record() check.Call {
	c := check.Call{
		ID: k.id, Sent: k.deadline.Add(-k.timeout), Ended: k.ended, Timeout: k.timeout,
		IdempotencyKey: k.key, Idempotent: k.model != "" || k.method == "GET",
		Status: k.status, Run: fault.Run(k.run), Replayed: k.replay,
		// The answer of a node that was killed has no end.
		CallerGone: k.code == "connection",
	}
	if c.CallerGone {
		c.Timeout = 0
	}
	if k.foreign {
		c.AnswerIDs = []string{"another request"}
	}
	if k.code != "ok" {
		c.Code = k.code
		return c
	}
	c.Complete, c.Run = true, fault.RunYes
	if k.model != "" {
		c.Events, c.Expected = k.events+1, k.tokens+1
	}
	return c
}
