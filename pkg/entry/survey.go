package entry

import (
	"context"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
)

// Times of a survey.
const (
	// surveyAfter is how long no owner was reached before a node asks the
	// targets itself; a takeover is over by then.
	fallbackQueryAfter = 4 * time.Second
	// surveyPause is the time between two surveys.
	fallbackQueryInterval = 2 * time.Second
	// surveyTimeout bounds one survey.
	fallbackQueryTimeout = time.Second
)

// survey lets a node that reaches no owner ask the targets of its zone what
// they have loaded: the list that it last read may be older than that.
type fallbackQuery struct {
	mu sync.Mutex // guards all below
	// owned is when an owner was last reached.
	lastOwnerContact time.Time
	lastStart        time.Time
}

// reached notes that an owner has answered.
func (s *fallbackQuery) ownerReached(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOwnerContact = now
}

// due tells whether a survey is to be made now, and notes it.
func (s *fallbackQuery) tryStart(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastOwnerContact) < fallbackQueryAfter || now.Sub(s.lastStart) < fallbackQueryInterval {
		return false
	}
	s.lastStart = now
	return true
}

// surveyTargets asks the targets of a service in the zone for their state.
func (n *Node) queryTargets(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, fallbackQueryTimeout)
	defer cancel()
	var mu sync.Mutex // guards reports
	reports := map[string]inventory.Report{}
	var wg sync.WaitGroup
	for _, t := range n.view.Load().Service(service) {
		if t.Zone != n.self.Zone || t.Draining {
			continue
		}
		wg.Go(func() {
			r, err := n.reporter.Report(ctx, t)
			if err != nil || r.Incarnation != t.Incarnation {
				return // what the list says of it stays
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

// mergeReports puts what targets told in the place of what the list says.
func (n *Node) mergeReports(reports map[string]inventory.Report) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	for key, t := range n.targets {
		if r, ok := reports[t.ID]; ok {
			merged := *t
			merged.Models = r.Models
			n.targets[key] = &merged
		}
	}
	n.publishTargets()
}
