package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Times of the case.
const (
	turnedAwayTraffic = 30 * time.Second
	// shutFrom is when the store begins to turn the node away, shutFor for how long: as in
	// the users' site files.
	shutFrom = 8 * time.Second
	shutFor  = 9 * time.Second
	// leaveAfter is the time from then until the worker reports that it drains.
	leaveAfter = time.Second
	// drainTime is bounds.drain_ms.
	drainTime = 2 * time.Second
)

// ownerOf returns the node that has last written to the store under a condition for a zone:
// the one that the zone's key names.
func (d *deployment) ownerOf(zone string) (*node, error) {
	text, ok := d.store.Get("almondturn/zones/" + zone + "/owner")
	if !ok {
		return nil, errors.New("the zone has no owner")
	}
	var owner struct {
		Node string `json:"node"`
	}
	if err := json.Unmarshal(text, &owner); err != nil {
		return nil, fmt.Errorf("decode the zone's key: %w", err)
	}
	for _, n := range d.nodes {
		if n.name == owner.Node {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no node has the name %q", owner.Node)
}

// ownerTurnedAway lets the store turn away, without a response, the node that leads the zone,
// and a worker of the zone leave meanwhile. Without the trouble, only the worker leaves.
func ownerTurnedAway(d *deployment, trouble bool) (int, error) {
	d.putConfiguration()
	workers, err := d.startWorkers()
	if err != nil {
		return exitNotRun, err
	}
	if err := d.startNodes(); err != nil {
		return exitNotRun, err
	}
	if err := d.awaitReady(readyLimit); err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	leaving := workers[0]
	owner, err := d.ownerOf(leaving.zone)
	if err != nil {
		return exitNotRun, err
	}
	var ackedAt time.Time
	var events sync.WaitGroup
	events.Go(func() {
		time.Sleep(shutFrom)
		if trouble {
			owner.gate.shut.Store(true)
			d.record.line("the store turns %s away", owner.name)
		}
		time.Sleep(leaveAfter)
		leaving.draining.Store(true)
		d.store.Put("servers/"+leaving.id, leaving.entry())
		ackedAt = time.Now()
		d.record.line("worker %s is draining: acknowledged by the store", leaving.id)
		time.Sleep(shutFor - leaveAfter)
		if trouble {
			owner.gate.shut.Store(false)
			d.record.line("the store serves %s again; it has held back %d calls", owner.name, owner.gate.calls.Load())
		}
	})
	q := newRequesters(d, "9c41d07b")
	q.run(context.Background(), turnedAwayTraffic)
	events.Wait()
	return judgeDrain(d, q, leaving, owner, ackedAt), nil
}

// judgeDrain applies the rule DRAIN to the requests that were taken and sent on by machines in
// touch: all but the one that is turned away.
func judgeDrain(d *deployment, q *requesters, leaving *worker, owner *node, ackedAt time.Time) int {
	late, latest := 0, time.Duration(0)
	arrivals := leaving.arrivals()
	for _, a := range q.answers {
		at, ok := arrivals[a.id]
		after := at.Sub(ackedAt)
		if !ok || a.node == owner.name || after <= drainTime {
			continue
		}
		late++
		latest = max(latest, after)
		d.record.line("late: %s reached %s %v after it had said that it leaves, sent by %s", a.id, leaving.id, after, a.node)
	}
	broken := late > 0
	result := fmt.Sprintf("%d requests; %s leads the zone; %d requests reached the leaving worker over %v after the ack, sent by other nodes, the last %v after it: rule DRAIN broken: %v",
		len(q.answers), owner.name, late, drainTime, latest.Round(time.Millisecond), broken)
	d.record.line("%s", result)
	fmt.Println(result)
	if broken {
		return exitBroken
	}
	return exitHeld
}
