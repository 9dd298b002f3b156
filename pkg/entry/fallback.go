package entry

import (
	"context"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
)

// Times of the fallback state query.
const (
	// fallbackQueryAfter is the time without a response of an owner after which
	// a node queries the targets itself. A new owner acquires the zone in less
	// time.
	fallbackQueryAfter = 4 * time.Second
	// fallbackQueryInterval is the least time between the starts of two
	// queries.
	fallbackQueryInterval = 2 * time.Second
	// fallbackQueryTimeout bounds one query.
	fallbackQueryTimeout = time.Second
)

// fallbackQuery decides when a node that reaches no owner queries the targets
// of its zone for what they have loaded, since the list of targets may be out
// of date. Its methods may be called concurrently.
type fallbackQuery struct {
	mu sync.Mutex // guards all below
	// lastOwnerContact is when an owner last responded.
	lastOwnerContact time.Time
	// lastStart is when the last query started.
	lastStart time.Time
}

// ownerReached records that an owner has responded.
func (q *fallbackQuery) ownerReached(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastOwnerContact = now
}

// tryStart reports whether to query the targets now, and records the start of
// the query if so.
func (q *fallbackQuery) tryStart(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.lastOwnerContact) < fallbackQueryAfter || now.Sub(q.lastStart) < fallbackQueryInterval {
		return false
	}
	q.lastStart = now
	return true
}

// queryTargets queries the targets of a service in this node's zone for their
// state, concurrently, and updates the list of targets by the reports.
func (n *Node) queryTargets(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, fallbackQueryTimeout)
	defer cancel()
	var mu sync.Mutex // guards reports
	reports := map[string]inventory.Report{}
	var wg sync.WaitGroup
	for _, t := range n.targetSet.Load().Service(service) {
		if t.Zone != n.self.Zone || t.Draining {
			continue
		}
		wg.Go(func() {
			r, err := n.reporter.Report(ctx, t)
			if err != nil || r.Incarnation != t.Incarnation {
				return // the list keeps its last state
			}
			mu.Lock()
			defer mu.Unlock()
			reports[t.ID] = r
		})
	}
	wg.Wait()
	event.TargetsSurveyed.Log(n.log).Str("service", service).Int("answers", len(reports)).Send()
	n.mergeReports(reports)
}

// mergeReports replaces the loaded models in the list of targets by those of
// the reports, which are keyed by target ID.
func (n *Node) mergeReports(reports map[string]inventory.Report) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	models := make(map[string][]inventory.LoadedModel, len(reports))
	for id, r := range reports {
		models[id] = r.Models
	}
	n.directory.SetModels(models)
	n.publishTargets()
}

// reportedTargets returns the targets whose last report lists the model and its adapter as
// loaded.
func (n *Node) reportedTargets(j *job) []*inventory.Target {
	var out []*inventory.Target
	for _, t := range n.targetSet.Load().Service(j.service) {
		if t.HasLoaded(j.Model, j.Adapter) && j.version.allows(t) {
			out = append(out, t)
		}
	}
	return out
}
