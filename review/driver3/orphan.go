package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case orphan.
const (
	recovery = 12 * time.Second // recovery_s
	// pace is the time between two requests.
	pace = 400 * time.Millisecond
)

// tally counts the requests that were sent in one phase.
type tally struct{ asked, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// orphan plays a deployment whose two machines are lost for good at the same moment and
// replaced by two others. A final fault follows, which kills all processes.
func orphan(e *environment) (int, error) {
	s, err := newStore(network + "1:0")
	if err != nil {
		return 0, err
	}
	models := make([]modelSpec, 24)
	for i := range models {
		models[i] = modelSpec{fmt.Sprintf("mo%02d", i), 72700}
	}
	s.put("op/config", configuration(models))
	for i := range 2 {
		port, err := freePort()
		if err != nil {
			return 0, err
		}
		if _, err := newWorker(fmt.Sprintf("i-%d", i), "huvo11a", "za", fmt.Sprintf("%s1:%d", network, port), models, []string{models[2*i].name, models[2*i+1].name}, s, e.log); err != nil {
			return 0, err
		}
	}
	ports, err := freePorts()
	if err != nil {
		return 0, err
	}
	d := &deployment{root: e.root, dir: e.dir, storeAddr: s.addr(), zones: []string{"za"}, log: e.log}
	d.seeds = []string{fmt.Sprintf("%s%d:%d", network, firstNode, ports[2]), fmt.Sprintf("%s%d:%d", network, firstNode+1, ports[2])}
	var nodes []*node
	for i := range 4 {
		n, err := d.newNode(fmt.Sprintf("front-za-%d", i+1), "za", i, ports)
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
	}
	live := nodes[:2]
	defer func() {
		for _, n := range live {
			n.kill()
		}
	}()
	if err := startAll(e.root, live); err != nil {
		return 0, err
	}
	for _, n := range live {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)
	e.log.add("traffic begins: each model is asked for in turn")
	before := traffic(e, live, models, 15*time.Second)
	if e.trouble {
		e.log.add("both machines lose power and are gone for good, two others come 1 s later")
		for _, n := range live {
			n.kill()
		}
		live = nodes[2:]
		time.Sleep(time.Second)
		if err := startAll(e.root, live); err != nil {
			return 0, err
		}
		for _, n := range live {
			if err := n.awaitReady(15 * time.Second); err != nil {
				return 0, err
			}
		}
	}
	between := traffic(e, live, models, 8*time.Second)
	e.log.add("final fault: all processes are killed, and start again 1 s later")
	for _, n := range live {
		n.kill()
	}
	time.Sleep(time.Second)
	if err := startAll(e.root, live); err != nil {
		return 0, err
	}
	back := time.Now()
	traffic(e, live, models, recovery)
	e.log.add("the machines have been back for %v", time.Since(back).Round(time.Millisecond))
	after := traffic(e, live, models, 30*time.Second)
	e.log.add("served: %d of %d before, %d of %d before the final fault, %d of %d later than recovery_s after it", before.served, before.asked, between.served, between.asked, after.served, after.asked)
	all := tally{before.asked + between.asked, before.served + between.served}
	switch {
	case all.share() < 0.25:
		return 0, fmt.Errorf("only %d of %d requests were served before the final fault", all.served, all.asked)
	case after.share() < 0.25:
		e.log.add("RULE RECOVER BROKEN: less than a quarter is served")
		return broken, nil
	}
	return held, nil
}

func startAll(root string, nodes []*node) error {
	for _, n := range nodes {
		if err := n.start(root); err != nil {
			return err
		}
	}
	return nil
}

// traffic sends requests for all models in turn, to the nodes in turn, and returns those sent.
func traffic(e *environment, nodes []*node, models []modelSpec, length time.Duration) tally {
	var mu sync.Mutex // guards t
	var t tally
	var wg sync.WaitGroup
	for i, begun := 0, time.Now(); time.Since(begun) < length; i++ {
		wg.Go(func() {
			q := request{id: newID(), host: "ficu95.example", path: "/lohu930/2f", method: "POST", model: models[i%len(models)].name, body: "{}", deadline: 12 * time.Second}
			n := nodes[i%len(nodes)]
			a := send(n.front, q)
			e.log.add("request %s for %s to %s: %v", q.id, q.model, n.name, a)
			mu.Lock()
			defer mu.Unlock()
			t.asked++
			if a.served() {
				t.served++
			}
		})
		time.Sleep(pace)
	}
	wg.Wait()
	return t
}
