package entry

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"almondturn/pkg/fault"
	"almondturn/pkg/scheduler"
)

// nodeMetrics holds the counters and histograms of one node. Its methods may be
// called concurrently.
type nodeMetrics struct{ set *metrics.Set }

// newMetrics returns metrics without values, apart from those of addCuts.
func newMetrics() *nodeMetrics {
	m := &nodeMetrics{set: metrics.NewSet()}
	m.addCuts("")
	return m
}

// cutCounter returns the counter of the answers of a route that ended incomplete. route is
// empty if it is not known.
func (m *nodeMetrics) cutCounter(route string, by cutBy) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_answers_cut_total{route=%q,by=%q}`, route, by.String()))
}

// addCuts adds the counters of a route, so that they are 0 before the first cut answer.
func (m *nodeMetrics) addCuts(route string) {
	for by := range cutByCount {
		m.cutCounter(route, by)
	}
}

// countCut counts an answer that ended incomplete.
func (m *nodeMetrics) countCut(route string, by cutBy) { m.cutCounter(route, by).Inc() }

// observeRequest records a request that has ended, by route and outcome.
// outcome is the name of the event that is logged for it.
func (m *nodeMetrics) observeRequest(j *job, cr *clientResponse, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_requests_total{route=%q,outcome=%q,status="%d"}`, j.Route.Name, outcome, cr.status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`almondturn_request_seconds{route=%q}`, j.Route.Name)).UpdateDuration(j.arrived)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`almondturn_place_wait_seconds{route=%q}`, j.Route.Name)).Update(j.slotWait.Seconds())
	if j.firstByteAfter > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`almondturn_first_byte_seconds{route=%q}`, j.Route.Name)).Update(j.firstByteAfter.Seconds())
	}
}

// OrderResultReceived implements zoneowner.Observer: it counts an order by its
// operation, source and result. The source is empty unless a model is loaded.
func (m *nodeMetrics) OrderResultReceived(o scheduler.Order, result scheduler.OrderResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_orders_total{operation=%q,source=%q,result=%q}`, o.Operation, o.Source, result)).Inc()
}

// SlotRequestDecided implements zoneowner.Observer: it counts a refused slot
// request by its reason, and records how long a granted one waited.
// refusalReason is empty for a grant.
func (m *nodeMetrics) SlotRequestDecided(service string, waited time.Duration, refusalReason string) {
	if refusalReason != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_places_refused_total{service=%q,reason=%q}`, service, refusalReason)).Inc()
		return
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`almondturn_place_granted_seconds{service=%q}`, service)).Update(waited.Seconds())
}

// countHedge counts a request that was sent to a second target because the first one was slow.
func (m *nodeMetrics) countHedge(service string, secondWon bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_hedges_total{service=%q,second_won="%t"}`, service, secondWon)).Inc()
}

// countRefusal counts a request that was refused before a target was looked for:
// the node is stopping or not ready, the headers or the body are too large, or
// the client protocol refused the request, for example because it has no route.
func (m *nodeMetrics) countRefusal(kind fault.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_refusals_total{kind=%q}`, kind.String())).Inc()
}

// countQuarantined counts a request that was not sent because a part of its prompt may
// crash targets.
func (m *nodeMetrics) countQuarantined(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_prompt_refusals_total{service=%q}`, service)).Inc()
}

// countPromptCrash counts a crash of a target that had just begun to respond.
func (m *nodeMetrics) countPromptCrash(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_prompt_crashes_total{service=%q}`, service)).Inc()
}

// countEndlessAnswer counts a response of a target of which a part exceeded its limit.
func (m *nodeMetrics) countEndlessAnswer(service, what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_endless_answers_total{service=%q,what=%q}`, service, what)).Inc()
}

// countSkippedResponse counts a response of a target that was skipped because it belongs to
// another request. source is what was waiting for a response.
func (m *nodeMetrics) countSkippedResponse(source string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_skipped_responses_total{source=%q,status="%d"}`, source, status)).Inc()
}

// countLimitedClient counts a client that was refused, or whose connection was closed, at a
// limit of package intake.
func (m *nodeMetrics) countLimitedClient(limit string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_clients_limited_total{limit=%q}`, limit)).Inc()
}

// countStoreCall counts a call to the key-value service by the status of its
// response.
func (m *nodeMetrics) countStoreCall(call string, status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_store_calls_total{call=%q,status="%d"}`, call, status)).Inc()
}

// countNotice counts a notice of a target that changed what is known of it. source is
// where it was read.
func (m *nodeMetrics) countNotice(notice, source string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`almondturn_target_notices_total{notice=%q,source=%q}`, notice, source)).Inc()
}

// countStoreRestore counts a restore of the key-value service that this node has seen.
func (m *nodeMetrics) countStoreRestore() {
	m.set.GetOrCreateCounter(`almondturn_store_restores_total`).Inc()
}

// maxPaceMetrics is the largest number of targets whose pace, as the node or as the owner knows
// it, is among the metrics.
const maxPaceMetrics = 128

// WriteMetrics writes all metrics of the node in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.metrics.write(w, n) }

// write writes all metrics, including the gauges that are read from n, in the
// Prometheus text format.
func (m *nodeMetrics) write(w io.Writer, n *Node) {
	m.set.WritePrometheus(w)
	owned := 0
	if n.owner.IsOwner() {
		owned = 1
	}
	fmt.Fprintf(w, "almondturn_configuration_version %d\n", n.version())
	fmt.Fprintf(w, "almondturn_store_era %d\n", n.store.Era())
	for _, watch := range n.watches {
		fmt.Fprintf(w, "almondturn_entries_age_seconds{prefix=%q} %.1f\n", watch.prefix, watch.freshness.age().Seconds())
	}
	fmt.Fprintf(w, "almondturn_configuration_age_seconds %.1f\n", n.configurationAge().Seconds())
	n.budgets.each(func(service string, b *retryBudget) {
		fmt.Fprintf(w, "almondturn_retry_budget_left{service=%q} %.1f\n", service, b.remaining(time.Now(), n.retryLimits()))
	})
	fmt.Fprintf(w, "almondturn_prompt_suspects %d\n", n.guard.ledger.Suspects())
	leaving, paused, limited := n.notices.Counts()
	fmt.Fprintf(w, "almondturn_targets_leaving %d\n", leaving)
	fmt.Fprintf(w, "almondturn_targets_paused %d\n", paused)
	fmt.Fprintf(w, "almondturn_targets_limited %d\n", limited)
	for _, f := range n.usages.paces.Latest(time.Now(), maxPaceMetrics) {
		fmt.Fprintf(w, "almondturn_target_pace{target=%q} %.2f\n", f.Target, f.Factor)
		fmt.Fprintf(w, "almondturn_target_pace_age_seconds{target=%q} %.1f\n", f.Target, f.Age.Seconds())
	}
	for _, f := range n.owner.Paces(maxPaceMetrics) {
		fmt.Fprintf(w, "almondturn_zone_target_pace{target=%q} %.2f\n", f.Target, f.Factor)
	}
	n.writeQuotas(w)
	fmt.Fprintf(w, "almondturn_nodes %d\n", n.links.maxNodeCount())
	fmt.Fprintf(w, "almondturn_retry_nodes %d\n", n.links.sharingNodes())
	fmt.Fprintf(w, "almondturn_requests_waiting %d\n", n.owner.WaitingRequests())
	fmt.Fprintf(w, "almondturn_requests_in_flight %d\n", n.inFlight.Load())
	fmt.Fprintf(w, "almondturn_request_body_bytes %d\n", n.intake.Bodies.Held())
	fmt.Fprintf(w, "almondturn_response_backlog_bytes %d\n", n.intake.Backlogs.Held())
	fmt.Fprintf(w, "almondturn_client_connections %d\n", n.intake.Count())
	fmt.Fprintf(w, "almondturn_zone_owned %d\n", owned)
	fmt.Fprintf(w, "almondturn_target_connections_total %d\n", n.pool.Dialed.Load())
	fmt.Fprintf(w, "almondturn_target_connections_passed_over_total %d\n", n.pool.PassedOver.Load())
	fmt.Fprintf(w, "almondturn_uptime_seconds %.1f\n", time.Since(n.started).Seconds())
}
