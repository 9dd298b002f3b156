package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// Times of the case lateorder.
const (
	// lateBy is how long the order is held up: 2 to 12 s in the pages.
	lateBy = 9 * time.Second
	// patience and shortPatience are the time budgets of requests.
	patience      = 12 * time.Second
	shortPatience = time.Second
	// downTime is how long the worker and the node are down.
	downTime = time.Second
)

// lateOrder plays one load that gets no answer and is carried out late, and a loss of power of
// the worker that it was meant for and of the machine that sent it. The worker starts again
// under its identifier.
func lateOrder(e *environment) (int, error) {
	s, err := newStore(network + "1:0")
	if err != nil {
		return 0, err
	}
	models := []modelSpec{{"small-a", 34300}, {"small-b", 34300}, {"late", 72700}, {"big-a", 72700}, {"big-b", 72700}}
	for i := range 6 {
		models = append(models, modelSpec{fmt.Sprintf("other-%d", i), 72700})
	}
	s.put("op/config", configuration(models))
	var workers []*worker
	for i := range 4 {
		var loaded []string
		if i > 0 {
			loaded = []string{fmt.Sprintf("other-%d", 2*i-2), fmt.Sprintf("other-%d", 2*i-1)}
		}
		port, err := freePort()
		if err != nil {
			return 0, err
		}
		w, err := newWorker(fmt.Sprintf("i-%d", i), "huvo11a", "za", fmt.Sprintf("%s1:%d", network, port), models, loaded, s, e.log)
		if err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	ports, err := freePorts()
	if err != nil {
		return 0, err
	}
	d := &deployment{root: e.root, dir: e.dir, storeAddr: s.addr(), zones: []string{"za"}, log: e.log}
	d.seeds = []string{fmt.Sprintf("%s%d:%d", network, firstNode, ports[2]), fmt.Sprintf("%s%d:%d", network, firstNode+1, ports[2])}
	var nodes []*node
	for i := range 2 {
		n, err := d.newNode(fmt.Sprintf("front-za-%d", i+1), "za", i, ports)
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
	}
	defer func() {
		for _, n := range nodes {
			n.kill()
		}
	}()
	if err := startAll(e.root, nodes); err != nil {
		return 0, err
	}
	for _, n := range nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)
	target := workers[0]
	owner, other, err := ownerOf(s, nodes)
	if err != nil {
		return 0, err
	}
	held := make(chan struct{})
	if e.trouble {
		target.mu.Lock()
		var once sync.Once
		target.holdOrder = func(o order) time.Duration {
			if o.Operation != "load" || o.Model != "late" {
				return 0
			}
			once.Do(func() { close(held) })
			return lateBy
		}
		target.mu.Unlock()
	}
	ask(e, other, "small-a", patience).Wait()
	ask(e, other, "small-b", patience).Wait()
	waiting := ask(e, other, "late", shortPatience)
	if e.trouble {
		select {
		case <-held:
		case <-time.After(5 * time.Second):
			return 0, fmt.Errorf("no order for the model late was sent to %s", target.id)
		}
		time.Sleep(200 * time.Millisecond)
		e.log.add("worker %s and the machine of %s lose power", target.id, owner.name)
		target.mu.Lock()
		target.holdOrder = nil
		target.mu.Unlock()
		owner.kill()
		target.crash()
		time.Sleep(downTime)
		if err := target.start(nil); err != nil {
			return 0, err
		}
		e.log.add("worker %s is back under its identifier", target.id)
		if err := owner.start(e.root); err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
	}
	waiting.Wait()
	ask(e, other, "big-a", patience).Wait()
	ask(e, other, "big-b", patience).Wait()
	time.Sleep(lateBy)
	overflows := 0
	for _, w := range workers {
		w.mu.Lock()
		overflows += w.overflows
		w.mu.Unlock()
	}
	e.log.add("orders beyond the memory of a worker: %d", overflows)
	if overflows > 0 {
		return broken, nil
	}
	return 0, nil
}

// ownerOf returns the node that the store names as the owner of the zone, and another one.
func ownerOf(s *store, nodes []*node) (owner, other *node, err error) {
	text, _ := s.get("almondturn/zones/za/owner")
	var r struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, nil, fmt.Errorf("the zone has no owner: %w", err)
	}
	for i, n := range nodes {
		if n.name == r.Node {
			return n, nodes[(i+1)%len(nodes)], nil
		}
	}
	return nil, nil, fmt.Errorf("the owner is %q", r.Node)
}

// ask sends a request for a model in the background.
func ask(e *environment, n *node, model string, deadline time.Duration) *sync.WaitGroup {
	wg := new(sync.WaitGroup)
	wg.Go(func() {
		q := request{id: newID(), host: "ficu95.example", path: "/lohu930/2f", method: "POST", model: model, body: "{}", deadline: deadline}
		e.log.add("request %s for %s to %s: %v", q.id, model, n.name, send(n.front, q))
	})
	return wg
}
