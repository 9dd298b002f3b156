package main

import (
	"fmt"
	"os"
	"time"
)

// A worker leaves the order to load m3 without an answer and crashes, is back under its id
// after downTime, and the order is carried out orderLate after it was given.
const (
	orderLate = 8 * time.Second
	downTime  = 2 * time.Second
)

// runReborn lets a worker crash while an order to it is on its way, and checks that it is
// never ordered to hold more weights than it has memory for.
func runReborn(rec *record, dir string) int {
	s, err := newScene(rec, dir, modelConfig([]map[string]any{streamRoute("season-digest", "/digest/", 3000, 1500, 0)}, "m1", "m2", "m3"))
	if err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	defer s.cluster.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	w := &modelWorker{id: "i-1", service: "listing-helper", zone: "zone-a", onDisk: []string{"m1", "m2", "m3"}, rec: rec, store: s.store}
	w.late = func(o engineOrder) time.Duration {
		if !trouble || w.unanswered > 0 || o.Operation != "load" || o.Model != "m3" {
			return 0
		}
		time.AfterFunc(100*time.Millisecond, w.restart)
		return orderLate
	}
	if err := w.start([]string{"m1"}); err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	if err := s.startNodes(); err != nil {
		rec.log("the case could not run: %v", err)
		return couldntRun
	}
	playReborn(s)
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.log("%d of %d requests were served whole; %d of %d orders were left unanswered", s.served, s.sent, w.unanswered, w.orders)
	if w.overflow > 0 {
		rec.log("LIMIT is broken: the worker was ordered to hold %d MB in %d MB", w.overflow, weightsMB)
		return ruleBroken
	}
	rec.log("LIMIT held")
	return ruleHeld
}

// playReborn sends the requests.
func playReborn(s *scene) {
	const deadline = 3 * time.Second
	s.send("f001", "/digest/3", "m1", deadline)
	s.send("f002", "/digest/3", "m2", deadline)
	s.at(3) // m3 needs the place of one of them; the order to load it gets no answer
	s.send("f003", "/digest/3", "m3", deadline)
	for i := range 8 { // both are asked for again
		s.at(6.2 + 0.5*float64(i))
		s.send(fmt.Sprintf("f1%02d", i), "/digest/3", "m1", deadline)
		s.send(fmt.Sprintf("f2%02d", i), "/digest/3", "m2", deadline)
	}
	s.wait.Wait()
	s.at(12)
}
