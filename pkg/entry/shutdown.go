package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/wait"
)

// Times of a graceful shutdown.
const (
	// stopPoll is the time between two looks while the node stops.
	stopPollInterval = 50 * time.Millisecond
	// stopMargin is the time before the kill at which requests are cut off.
	hardStopMargin = 400 * time.Millisecond
	// stopNotice is the longest time that clients are still taken while the
	// balancer notices that the node stops.
	maxStopNotice = 2800 * time.Millisecond
	// requiredDenials is the number of the balancer's questions that a
	// stopping node answers with no before clients stay away.
	requiredDenials = 2
)

// Stop ends the node gracefully: the balancer is told first, the zone is given
// up, and requests in progress are answered while there is time.
func (n *Node) Stop() {
	event.EntryStopping.Log(n.log).Int64("in_flight", n.inFlight.Load()).Send()
	began := time.Now()
	n.stoppingSince.Store(began.UnixNano())
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.ShutdownTime-hardStopMargin)
	defer cancel()
	n.owner.Resign(ctx)
	n.links.announceLeaving()
	for ctx.Err() == nil {
		if n.clientsStayAway(time.Since(began)) {
			n.idle.closeOlder(0)
			if n.inFlight.Load() == 0 && n.idle.empty() {
				break
			}
		}
		wait.Sleep(ctx, stopPollInterval)
	}
	cut := n.inFlight.Load()
	n.cancelRequests()
	n.awaitCutRequests()
	event.EntryStopped.Log(n.log).Int64("cut", cut).Dur("after_ms", time.Since(began)).Send()
	n.closeListeners()
}

// closeListeners ends what the node still does.
func (n *Node) closeListeners() {
	n.cancel()
	for _, s := range []*http.Server{n.clientServer, n.readinessServer, n.innerServer, n.metricsServer} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// noticed tells whether clients stay away from a node that has been stopping
// for a time.
func (n *Node) clientsStayAway(stopping time.Duration) bool {
	if !n.balancerSeen.Load() || stopping > maxStopNotice {
		return true // nobody asks, or everybody had the time to
	}
	return n.stopDenials.Load() >= requiredDenials && stopping > maxStopNotice/4
}

// Abort ends the node at once, as a crash does: nothing is handed over.
func (n *Node) Abort() {
	n.owner.Abort()
	n.cancelRequests()
	n.closeListeners()
}

// settle gives the requests that were cut off the time to answer.
func (n *Node) awaitCutRequests() {
	ctx, cancel := context.WithTimeout(context.Background(), hardStopMargin/2)
	defer cancel()
	for n.inFlight.Load() > 0 && wait.Sleep(ctx, stopPollInterval/5) {
	}
	_ = n.clientServer.Shutdown(ctx) // what is left is cut off by Close
}

// idleConns are the connections of clients that wait for the next request.
type idleConns struct {
	mu    sync.Mutex // guards since
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeOlder ends the connections that are idle for longer than d. It ends the
// wait for their next request and leaves the close to the server: a request
// that has arrived at this moment is answered. The server may just be about to
// wait without a bound, so that callers repeat it.
func (i *idleConns) closeOlder(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for c, since := range i.since {
		if now.Sub(since) > d {
			_ = c.SetReadDeadline(now)
		}
	}
}

// none tells whether no connection is idle.
func (i *idleConns) empty() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.since) == 0
}
