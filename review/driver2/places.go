package main

import (
	"fmt"
	"os"
	"time"
)

// A worker holds adapterPlaces adapters. Of two orders that it leaves without an answer, it
// carries out one, to unload a1, while a1 is in use, and the other, to load a11, after a12 was
// loaded.
const (
	adapterPlaces = 8
	unloadLate    = 2500 * time.Millisecond
	loadLate      = 3 * time.Second
)

// runPlaces lets a worker leave two orders unanswered and carry them out late, and checks that
// it is never ordered to hold more adapters than it has places.
func runPlaces(rec *record, dir string) int {
	s, err := newScene(rec, dir, modelConfig([]map[string]any{
		streamRoute("caller-brief", "/brief/", 20000, 2500, 1), streamRoute("season-digest", "/digest/", 3000, 1500, 0),
	}, "m1"))
	if err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	defer s.cluster.stop()
	e := newPlacesEngine(os.Getenv("TROUBLE") != "0")
	if err := startEngine(rec, s.store, e); err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	if err := s.startNodes(); err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	playPlaces(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	rec.log("%d of %d requests were served whole; %d of %d orders were left unanswered", s.served, s.sent, e.unanswered, e.orders)
	if e.crashed {
		rec.log("LIMIT is broken: the worker was ordered to hold %d adapters in %d places", len(e.adapters), adapterPlaces)
		return ruleBroken
	}
	rec.log("LIMIT held")
	return ruleHeld
}

// newPlacesEngine returns the worker. With trouble it leaves two orders unanswered.
func newPlacesEngine(trouble bool) *engine {
	e := &engine{id: "i-1", service: "listing-helper", zone: "zone-a", model: "m1", slots: 32, adapterSlots: adapterPlaces, adapters: map[string]*adapter{}}
	for i := range adapterPlaces {
		e.adapters[fmt.Sprint("a", i+1)] = &adapter{}
	}
	late := map[string]time.Duration{}
	if trouble {
		late["unload a1"], late["load a11"] = unloadLate, loadLate
	}
	e.late = func(operation, name string) time.Duration {
		d := late[operation+" "+name]
		delete(late, operation+" "+name) // each only once
		return d
	}
	return e
}

// playPlaces sends the requests.
func playPlaces(s *scene) {
	const long, short = 20 * time.Second, 3 * time.Second
	// Seven adapters are in use, a1 is not.
	s.send("f002", "/brief/40", "m1/a2", long)
	for i := 3; i <= adapterPlaces; i++ {
		s.send(fmt.Sprintf("f%03d", i), "/brief/110", fmt.Sprint("m1/a", i), long)
	}
	s.at(0.5) // a9 needs a place: the order to unload a1 gets no answer
	s.send("f009", "/digest/5", "m1/a9", short)
	s.at(0.8) // a1 is asked for, and in use when that order is carried out
	s.send("f001", "/brief/62", "m1/a1", long)
	s.at(4.6) // the run with a2 has ended, and a10 needs a place
	s.send("f010", "/brief/60", "m1/a10", long)
	s.at(7.6) // the run with a1 has ended, and a11 needs a place for a request with 1.1 s left
	s.send("f011", "/digest/5", "m1/a11", 1100*time.Millisecond)
	s.at(8.0) // a12 needs a place
	s.send("f012", "/digest/20", "m1/a12", short)
	s.wait.Wait()
	s.at(12)
}
