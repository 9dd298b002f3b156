package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	// largestAnswerBytes is the largest answer of the bookings desk in the users' site files.
	largestAnswerBytes = 4800
	// windowBytes is the receive buffer of a requester, the least that the system allows.
	windowBytes = 2304
	// readPause is how long a requester doesn't read: less than its time budget.
	readPause      = 2200 * time.Millisecond
	slowRequesters = 12
	slowRounds     = 4
	// lostMost is the number of times that the rule LOST allows.
	lostMost = 3
)

// slowReader lets requesters stop reading for a moment in the middle of an answer, on a
// connection that has already carried a request.
func slowReader(d *deployment, trouble bool) (int, error) {
	d.putConfiguration()
	workers, err := d.startWorkers()
	if err != nil {
		return exitNotRun, err
	}
	for _, w := range workers {
		w.answerBytes.Store(largestAnswerBytes)
	}
	if err := d.startNodes(); err != nil {
		return exitNotRun, err
	}
	if err := d.awaitReady(readyLimit); err != nil {
		return exitNotRun, err
	}
	time.Sleep(settleTime)
	pause := time.Duration(0)
	if trouble {
		pause = readPause
	}
	var mu sync.Mutex // guards the two below
	var answers []answer
	var failure error
	var wg sync.WaitGroup
	for i := range slowRequesters {
		wg.Go(func() {
			for round := range slowRounds {
				got, err := d.readSlowly(fmt.Sprintf("9c41d07b%02d%02d", i, round), d.nodes[i%len(d.nodes)], pause)
				mu.Lock()
				answers, failure = append(answers, got...), firstError(failure, err)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if failure != nil {
		return exitNotRun, failure
	}
	return judgeLost(d, answers, workers), nil
}

// firstError returns the first error that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// readSlowly sends two seat-holds on one connection, one after the other, and pauses before it
// reads the second answer. An error means that there was no connection.
func (d *deployment) readSlowly(id string, n *node, pause time.Duration) ([]answer, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", n.front)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", n.name, err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	var answers []answer
	for i, wait := range []time.Duration{0, pause} {
		a := answer{id: fmt.Sprintf("%s-%d", id, i), kind: "seat-hold", node: n.name}
		d.record.line("requester sends %s to %s", a.id, n.name)
		_, a.err = fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nX-Almondturn-Request-Id: %s\r\nX-Almondturn-Deadline-Ms: %d\r\nContent-Length: 5\r\n\r\nseats", host, a.id, timeBudget.Milliseconds())
		if a.err == nil {
			time.Sleep(wait)
			readAnswer(in, &a)
		}
		d.record.line("requester gets for %s after a pause of %v: status %d, stamp %v, whole %v, error %v", a.id, wait, a.status, a.stamped, a.whole, a.err)
		answers = append(answers, a)
		if a.err != nil {
			break
		}
	}
	return answers, nil
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader, a *answer) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("X-Almondturn-Server-Stamp") != ""
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.whole = a.err == nil
}

// judgeLost applies the rule LOST for kept connections: no machine and no worker is impaired.
func judgeLost(d *deployment, answers []answer, workers []*worker) int {
	lost, served := 0, 0
	for _, a := range answers {
		runs := 0
		for _, w := range workers {
			runs += w.runCount(a.id)
		}
		switch {
		case a.whole && a.status == http.StatusOK && a.stamped:
			served++
		case a.err != nil && runs > 0:
			lost++
			d.record.line("lost: %s was run %d times by a sound worker, and its connection ended without a whole answer", a.id, runs)
		}
	}
	broken := lost > lostMost
	result := fmt.Sprintf("%d seat-holds, %d served; %d were run by a sound worker and their kept connections were closed without a whole answer, allowed are %d: rule LOST broken: %v",
		len(answers), served, lost, lostMost, broken)
	d.record.line("%s", result)
	fmt.Println(result)
	if broken {
		return exitBroken
	}
	return exitHeld
}
