package owner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"almondturn/pkg/fault"
)

var reportCounters = func() map[ReportKind]*metrics.Counter {
	out := map[ReportKind]*metrics.Counter{}
	for kind, e := range events {
		out[kind] = metrics.GetOrCreateCounter(`almondturn_owner_events_total{event="` + e.Name + `"}`)
	}
	return out
}()

// observeLoad records how long a load request waited for its answer.
func observeLoad(err *fault.Error, took time.Duration) {
	outcome := "loaded"
	if err != nil {
		outcome = err.Kind.String()
	}
	metrics.GetOrCreateHistogram(`almondturn_owner_load_seconds{outcome="` + outcome + `"}`).Update(took.Seconds())
}

func countReport(kind ReportKind) { reportCounters[kind].Inc() }
