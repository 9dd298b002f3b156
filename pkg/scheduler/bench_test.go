package scheduler

import (
	"fmt"
	"testing"
	"time"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
)

// BenchmarkRequest measures the cost of one request for a loaded model to the
// owner of a zone, including all steps that it causes, by the number of targets.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{20, 100, 300, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s, now := largeZone(targets)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				model := fmt.Sprint("m", now.UnixMilli()%int64(min(160, 2*targets)))
				ticket := s.Submit(now, Request{
					Service: testService, Model: model, InputTokens: 600, OutputTokens: 300, LatencyObjective: time.Second,
					ObjectiveAt: now.Add(time.Second), Deadline: now.Add(10 * time.Second), OtherZonesRefused: true,
				})
				if g, ok := s.TryGrant(now, ticket); ok {
					s.serveRun(now, g)
					continue
				}
				for _, a := range s.Step(now) {
					if g, ok := a.(Grant); ok {
						s.serveRun(now, g)
					}
				}
				_ = s.NextStepAt(now)
			}
		})
	}
}

// serveRun starts and completes a run, including the steps that it causes.
func (s *Scheduler) serveRun(now time.Time, g Grant) {
	s.RunStarted(now, g.Run)
	needsStep := s.NeedsStepOnEnd(g.Run)
	s.RunEnded(now, g.Run, Completed)
	if needsStep {
		s.Step(now)
	}
}

// largeZone returns a zone of the given number of targets, each with two of 160
// models loaded.
func largeZone(targets int) (*Scheduler, time.Time) {
	const models = 160
	e := &route.Engine{Slots: 32, CacheTokens: 120_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 7, Models: map[string]*route.Model{}}
	for i := range models {
		name := fmt.Sprint("m", i)
		e.Models[name] = &route.Model{Name: name, WeightsMB: 70_000, AdapterMB: 40, WeightStoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
	}
	s := New(0)
	s.SetServices(map[string]*route.Service{testService: {Name: testService, Engine: e}})
	s.SetOrderWindow(testStart, testStart) // no order may be sent
	var list []*inventory.Target
	for i := range targets {
		t := &inventory.Target{ID: fmt.Sprint("t", i), Service: testService, Slots: 32}
		for k := range 20 {
			t.OnDisk = append(t.OnDisk, fmt.Sprint("m", (i*7+k*8)%models))
		}
		t.Models = []inventory.LoadedModel{{Name: fmt.Sprint("m", (2*i)%models)}, {Name: fmt.Sprint("m", (2*i+1)%models)}}
		list = append(list, t)
	}
	s.SetTargets(testStart, list)
	for _, t := range list {
		s.ReportReceived(testStart, t.ID, inventory.Report{Models: t.Models, OnDisk: t.OnDisk})
	}
	return s, testStart
}

// BenchmarkChange measures what a change of the configuration costs the owner of a zone, and
// for how long it holds the owner's lock: the new services, the list of targets and the next
// step, while requests wait for models that are not loaded.
func BenchmarkChange(b *testing.B) {
	for _, c := range []struct{ models, targets, waiting int }{{400, 60, 0}, {400, 60, 500}, {1600, 240, 0}, {1600, 240, 500}} {
		b.Run(fmt.Sprintf("models=%d,targets=%d,waiting=%d", c.models, c.targets, c.waiting), func(b *testing.B) {
			s, now := largeZone(c.targets)
			services := [2]map[string]*route.Service{}
			for i := range services {
				e := &route.Engine{Slots: 32, CacheTokens: 120_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 7, Models: map[string]*route.Model{}}
				for k := range c.models - i { // every other change takes a model out
					name := fmt.Sprint("m", k)
					e.Models[name] = &route.Model{Name: name, WeightsMB: 70_000, AdapterMB: 40, WeightStoreLoadTime: 6 * time.Second, DiskLoadTime: 800 * time.Millisecond, MemoryLoadTime: 300 * time.Millisecond}
				}
				services[i] = map[string]*route.Service{testService: {Name: testService, Engine: e}}
			}
			s.SetServices(services[0])
			var list []*inventory.Target
			for _, t := range s.targets {
				list = append(list, t.info)
			}
			for i := range c.waiting {
				s.Submit(now, Request{
					Service: testService, Model: fmt.Sprint("m", i*(c.models-1)/c.waiting), InputTokens: 600, OutputTokens: 300, LatencyObjective: time.Hour,
					ObjectiveAt: now.Add(time.Hour), Deadline: now.Add(time.Hour), OtherZonesRefused: true,
				})
			}
			s.Step(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				s.SetServices(services[i%2])
				s.SetTargets(now, list)
				s.Step(now)
			}
		})
	}
}
