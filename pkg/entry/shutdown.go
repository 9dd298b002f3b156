package entry

import (
	"context"
	"net/http"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/wait"
)

// Times of a graceful shutdown.
const (
	// stopPollInterval is the time between two checks whether the node can
	// stop.
	stopPollInterval = 50 * time.Millisecond
	// hardStopMargin is the time before the kill of the process at which the
	// remaining requests are interrupted.
	hardStopMargin = 400 * time.Millisecond
	// maxAcceptAfterStop is the longest time for which a stopping node accepts
	// clients, so that the load balancer can notice the stop.
	maxAcceptAfterStop = 2800 * time.Millisecond
	// requiredDenials is the number of the load balancer's readiness checks that
	// a stopping node denies before it expects no more clients.
	requiredDenials = 2
)

// Stop ends the node gracefully: it denies the load balancer's readiness checks,
// resigns as owner of the zone, and serves the requests in progress while there
// is time. Requests that were not sent to a target yet are refused once they are not
// expected to end in time. The remaining ones are interrupted hardStopMargin before the
// end of the shutdown time. Stop returns when the node has ended.
func (n *Node) Stop() {
	event.EntryStopping.Log(n.log).Int64("in_flight", n.inFlight.Load()).Send()
	start := time.Now()
	end := start.Add(n.settings.ShutdownTime - hardStopMargin)
	n.stopTimes.Store(&stopTimes{begun: start, end: end})
	n.stopping.Store(true)
	n.beginStop()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.owner.Resign(ctx)
	n.links.announceStop()
	for ctx.Err() == nil {
		if n.expectsNoClients(time.Since(start)) {
			n.idleClientConns.closeOlder(0)
			if n.inFlight.Load() == 0 && n.idleClientConns.empty() {
				break
			}
		}
		wait.Sleep(ctx, stopPollInterval)
	}
	interrupted := n.inFlight.Load()
	n.cancelRequests()
	n.awaitInterrupted()
	event.EntryStopped.Log(n.log).Int64("cut", interrupted).Dur("after_ms", time.Since(start)).Send()
	n.closeAll()
}

// closeAll ends the background work and closes all listeners and
// connections.
func (n *Node) closeAll() {
	n.cancel()
	for _, s := range []*http.Server{n.clientServer, n.readinessServer, n.innerServer, n.metricsServer} {
		if s != nil {
			_ = s.Close()
		}
	}
}

// expectsNoClients reports whether no more clients are expected, given the time
// that has elapsed since the start of the stop. That is so once the load
// balancer has had enough denials, but not before a quarter of
// maxAcceptAfterStop. Without a load balancer, it is so immediately.
func (n *Node) expectsNoClients(elapsed time.Duration) bool {
	if !n.loadBalancerSeen.Load() || elapsed > maxAcceptAfterStop {
		return true // there is no load balancer, or it had enough time
	}
	return n.stopDenials.Load() >= requiredDenials && elapsed > maxAcceptAfterStop/4
}

// Abort ends the node immediately, as a crash does: it interrupts all requests
// and leaves the lease of the zone to expire.
func (n *Node) Abort() {
	n.owner.Abort()
	n.cancelRequests()
	n.closeAll()
}

// awaitInterrupted waits until the interrupted requests have their responses,
// for at most half of hardStopMargin.
func (n *Node) awaitInterrupted() {
	ctx, cancel := context.WithTimeout(context.Background(), hardStopMargin/2)
	defer cancel()
	// The poll is shorter than stopPollInterval because the wait is short, too.
	for n.inFlight.Load() > 0 && wait.Sleep(ctx, stopPollInterval/5) {
	}
	_ = n.clientServer.Shutdown(ctx) // closeAll closes what remains
}
