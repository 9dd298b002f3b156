package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"almondturn/fleet"
	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// Waiting requests of a service or a model that a change of the configuration removes
// are answered by the next step, not at their deadline.
func TestWaitingRequestsOfRemovedServiceOrModelAreRefusedAtOnce(t *testing.T) {
	e := newTestZone(t).services[testService].Engine
	withoutModel := *e
	withoutModel.Models = maps.Clone(e.Models)
	delete(withoutModel.Models, "m3")
	for name, services := range map[string]map[string]*route.Service{
		"service":    {},
		"engine":     {testService: {Name: testService}},
		"model":      {testService: {Name: testService, Engine: &withoutModel}},
		"all models": {testService: {Name: testService, Engine: &route.Engine{Slots: 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			a := newTestTarget("a", []string{"m0", "m1"}, []string{"m3"})
			z := newTestZone(t, a)
			z.SetOrderWindow(testStart.Add(time.Second), testStart.Add(time.Hour)) // the load has not begun
			ticket := z.Submit(z.now, z.request("m3"))
			z.Step(z.now)
			z.SetServices(services)
			z.SetTargets(z.now, z.targets)
			answered := false
			for range 3 {
				for _, action := range z.stepAfter(10 * time.Millisecond) {
					r, ok := action.(Refusal)
					answered = answered || ok && r.Ticket == ticket
				}
			}
			assert.True(t, answered)
		})
	}
}

// Changes of the configuration at any moment, with targets that come and go, cause no
// panic, and leave no request without an answer beyond its deadline.
func TestRequestsAreAnsweredBesideChangesOfTheConfiguration(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playChanges(t, rand.New(rand.NewPCG(seed, 27))) })
	}
}

// playChanges plays 200 random events, and checks that each request is answered.
func playChanges(t *testing.T, r *rand.Rand) {
	var all []*inventory.Target
	for i := range 4 {
		all = append(all, newTestTarget(fmt.Sprint("t", i), []string{fmt.Sprint("m", i)}, []string{"m5", "m6"}))
	}
	z := newTestZone(t, all...)
	z.SetZones("z", []fleet.Zone{"z"})
	full := z.services[testService].Engine
	open := map[Ticket]time.Time{}
	var runs []RunID
	for range 200 {
		switch r.IntN(7) {
		case 0:
			z.SetServices(randomServices(r, full))
			z.SetTargets(z.now, z.targets)
		case 1:
			z.targets = all[:r.IntN(len(all)+1)]
			z.SetTargets(z.now, z.targets)
		case 2:
			target := all[r.IntN(len(all))]
			z.ReportReceived(z.now, target.ID, inventory.Report{Models: target.Models, OnDisk: target.OnDisk})
		case 3:
			if len(runs) > 0 {
				z.RunEnded(z.now, runs[0], Outcome(r.IntN(3)))
				runs = runs[1:]
			}
		default:
			req := z.request(fmt.Sprint("m", r.IntN(8)))
			req.OtherZonesRefused = r.IntN(2) == 0
			if r.IntN(3) == 0 {
				req.Exclude = []string{"t0"}
			}
			if r.IntN(3) == 0 {
				req.Adapter = "x"
			}
			ticket := z.Submit(z.now, req)
			open[ticket] = req.Deadline
			if g, ok := z.TryGrant(z.now, ticket); ok {
				delete(open, ticket)
				runs = append(runs, g.Run)
			}
		}
		for _, action := range z.stepAfter(time.Duration(r.IntN(100)) * time.Millisecond) {
			switch a := action.(type) {
			case Grant:
				delete(open, a.Ticket)
				runs = append(runs, a.Run)
			case Refusal:
				delete(open, a.Ticket)
			}
		}
		for _, deadline := range open {
			assert.False(t, z.now.After(deadline), "a request is unanswered at its deadline")
		}
	}
}

// randomServices returns the service, the same without some models or without its
// engine, or none.
func randomServices(r *rand.Rand, full *route.Engine) map[string]*route.Service {
	e := *full
	e.Models = maps.Clone(full.Models)
	for range r.IntN(6) {
		delete(e.Models, fmt.Sprint("m", r.IntN(8)))
	}
	switch r.IntN(4) {
	case 0:
		return map[string]*route.Service{}
	case 1:
		return map[string]*route.Service{testService: {Name: testService}}
	default:
		return map[string]*route.Service{testService: {Name: testService, Engine: &e}}
	}
}
