package scenarios

import (
	"fmt"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/standin/engine"
)

// deadlineSlack is how long after its deadline a request may end.
const deadlineSlack = time.Second

// judge returns the violations of the promises, by the targets' records and
// the callers' log alone.
func (d *deployment) judge() []string {
	records := d.records.all()
	var out []string
	out = append(out, judgeReplicas(records, d.limits)...)
	out = append(out, judgeCalls(records, d.callers.calls())...)
	return out
}

// judgeReplicas replays loads and unloads against limits and memory.
func judgeReplicas(records []engine.Record, limits map[fleet.ReplicaKey]int) []string {
	var out []string
	held := map[fleet.TargetID]map[fleet.ReplicaKey]bool{}
	count := map[fleet.ReplicaKey]int{}
	drop := func(t fleet.TargetID, k fleet.ReplicaKey) {
		if held[t][k] {
			delete(held[t], k)
			count[k]--
		}
	}
	for _, r := range records {
		if held[r.Target] == nil {
			held[r.Target] = map[fleet.ReplicaKey]bool{}
		}
		switch r.Kind {
		case engine.RecordLoad:
			if !held[r.Target][r.Key] {
				held[r.Target][r.Key] = true
				count[r.Key]++
			}
			if count[r.Key] > limits[r.Key] {
				out = append(out, fmt.Sprintf("%s: %d replicas, the limit is %d (load on %s)", r.Key, count[r.Key], limits[r.Key], r.Target))
			}
			if r.UsedBytes > r.MemoryBytes {
				out = append(out, fmt.Sprintf("%s: %d bytes used of %d", r.Target, r.UsedBytes, r.MemoryBytes))
			}
		case engine.RecordUnload, engine.RecordLoadFailed:
			for k := range held[r.Target] {
				if k == r.Key || (r.Key.Adapter == "" && k.Base() == r.Key) {
					drop(r.Target, k)
				}
			}
		case engine.RecordRestart:
			for k := range held[r.Target] {
				drop(r.Target, k)
			}
		}
	}
	return out
}

// judgeCalls compares what callers were told with what targets ran.
func judgeCalls(records []engine.Record, calls []*call) []string {
	var out []string
	runs := map[string]int{}
	for _, r := range records {
		if r.Kind == engine.RecordStart {
			runs[r.RequestID]++
		}
	}
	byKey := map[string]int{}
	for _, k := range calls {
		name := fmt.Sprintf("request %s (%s%s)", k.id, k.model, k.key)
		if k.foreign {
			out = append(out, name+": the answer holds another request's text")
		}
		if k.code == "ok" && !k.whole {
			out = append(out, fmt.Sprintf("%s: ended well after %d of %d events", name, k.events, k.tokens))
		}
		if k.run == string(fault.RunNo) && runs[k.id] > 0 {
			out = append(out, name+": said not run, but it was run")
		}
		if k.code != "connection" && k.ended.After(k.deadline.Add(deadlineSlack)) {
			out = append(out, fmt.Sprintf("%s: ended %s after its deadline", name, k.ended.Sub(k.deadline)))
		}
		if k.model == "" && k.method != "GET" {
			if runs[k.id] > 1 {
				out = append(out, fmt.Sprintf("%s: run %d times", name, runs[k.id]))
			}
			if k.key != "" && !k.replay {
				byKey[k.key] += runs[k.id]
			}
		}
	}
	for key, n := range byKey {
		if n > 1 {
			out = append(out, fmt.Sprintf("idempotency key %s: run %d times", key, n))
		}
	}
	return out
}
