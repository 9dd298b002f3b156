package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Values of the case grace.
const (
	// newGrace is grace_s after the change of the settings file.
	newGrace = 4
	// waiting is the number of requests that wait for a model when the node is stopped.
	waiting = 10
	lossMin = 200 * time.Millisecond // loss_slack_ms
)

// grace plays a change of the settings file that lowers grace_s, with its SIGHUP, and a planned
// stop after it: SIGTERM, and SIGKILL after grace_s.
func grace(e *environment) (int, error) {
	s, err := newStore(network + "1:0")
	if err != nil {
		return 0, err
	}
	models := []modelSpec{{"mo00", 72700}, {"mo01", 72700}}
	s.put("op/config", configuration(models))
	port, err := freePort()
	if err != nil {
		return 0, err
	}
	w, err := newWorker("i-0", "huvo11a", "za", fmt.Sprintf("%s1:%d", network, port), models, nil, s, e.log)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	w.cold = true
	w.mu.Unlock()
	w.register()
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
	_, other, err := ownerOf(s, nodes)
	if err != nil {
		return 0, err
	}
	seconds := defaultGrace
	if e.trouble {
		seconds = newGrace
		d.grace = newGrace
		for i := range nodes {
			if _, err := d.newNode(nodes[i].name, "za", i, ports); err != nil { // writes the file again
				return 0, err
			}
			e.log.add("the settings file of %s says grace_s=%d now: SIGHUP", nodes[i].name, newGrace)
			if err := nodes[i].cmd.Process.Signal(syscall.SIGHUP); err != nil {
				return 0, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	type result struct {
		q     request
		a     answer
		took  time.Duration
		model string
	}
	results := make(chan result, waiting)
	for i := range waiting {
		go func() {
			q := request{id: newID(), host: "ficu95.example", path: "/lohu930/2f", method: "POST", model: models[i%2].name, body: "{}", deadline: 12 * time.Second}
			begun := time.Now()
			a := send(other.front, q)
			results <- result{q: q, a: a, took: time.Since(begun), model: q.model}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	e.log.add("planned stop of %s: SIGTERM, SIGKILL %d s later", other.name, seconds)
	if err := other.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-other.exited:
		e.log.add("process of %s has ended", other.name)
	case <-time.After(time.Duration(seconds) * time.Second):
		other.kill()
	}
	served, refused, cut := 0, 0, 0
	for range waiting {
		r := <-results
		w.mu.Lock()
		ran := w.ran[r.q.id]
		w.mu.Unlock()
		e.log.add("request %s for %s, after %d ms: %v, has run %v", r.q.id, r.model, r.took.Milliseconds(), r.a, ran)
		switch {
		case r.a.served():
			served++
		case r.a.status == http.StatusServiceUnavailable || r.a.status == http.StatusTooManyRequests:
			refused++
		case !r.a.complete && !ran && r.took > lossMin:
			cut++
		}
	}
	e.log.add("%d served, %d refused, %d cut without an answer and without a run", served, refused, cut)
	if cut > 0 {
		e.log.add("RULE LOST BROKEN")
		return broken, nil
	}
	return 0, nil
}
