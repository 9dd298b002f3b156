package owner

import (
	"github.com/VictoriaMetrics/metrics"
)

var reportCounters = func() map[ReportKind]*metrics.Counter {
	out := map[ReportKind]*metrics.Counter{}
	for kind, e := range events {
		out[kind] = metrics.GetOrCreateCounter(`almondturn_owner_events_total{event="` + e.Name + `"}`)
	}
	return out
}()

func countReport(kind ReportKind) { reportCounters[kind].Inc() }
