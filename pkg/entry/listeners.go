package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"

	"almondturn/pkg/event"
	"almondturn/pkg/routeplan"
	"almondturn/pkg/upstream"
)

// listen opens the listeners for clients, for the load balancer and for other nodes. It
// returns an error if an address cannot be listened on.
func (n *Node) listen() error {
	innerMux := http.NewServeMux()
	innerMux.Handle(innerPath, n.links.handler())
	n.handleReadOnly(innerMux)
	readinessMux := http.NewServeMux()
	if n.readinessPath != "" {
		readinessMux.HandleFunc(n.readinessPath, n.ServeReadiness)
	}
	n.handleReadOnly(readinessMux)
	n.clientServer = &http.Server{Handler: http.HandlerFunc(n.serveClient), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: n.idleClientConns.track, ConnContext: withClientConn, DisableGeneralOptionsHandler: true}
	n.readinessServer = &http.Server{Handler: readinessMux}
	n.innerServer = &http.Server{Handler: innerMux}
	listeners := []struct {
		server    *http.Server
		addr      string
		tlsConfig *tls.Config
		config    net.ListenConfig
		wrap      func(net.Listener) net.Listener
	}{
		{n.innerServer, n.settings.InnerAddr, n.settings.InnerTLS, upstream.NodeListenConfig(), nil},
		{n.readinessServer, n.settings.ReadinessAddr, nil, upstream.NodeListenConfig(), nil},
		{n.clientServer, n.settings.ClientsAddr, n.settings.ClientsTLS, upstream.ListenConfig(), n.listenToClients},
	}
	for _, l := range listeners {
		if l.addr == "" {
			continue
		}
		if err := serveOn(l.server, l.addr, l.tlsConfig, l.config, l.wrap); err != nil {
			return err
		}
	}
	return nil
}

// listenToClients returns the listener for clients, whose connections are bounded.
func (n *Node) listenToClients(l net.Listener) net.Listener {
	return n.idleClientConns.listen(n.intake.Listen(l, n.settings.ClientsTLS != nil))
}

// handleReadOnly adds what shows the state of the node and does not change it: the metrics, and
// where a request would go.
func (n *Node) handleReadOnly(mux *http.ServeMux) {
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.write(w, n) })
	mux.Handle("GET "+routeplan.Path, routeplan.Handler(n.planRoute))
}

// serveMetrics serves the metrics at an address of their own, if there is one.
// The node runs without it if the address cannot be listened on.
func (n *Node) serveMetrics() {
	if n.settings.MetricsAddr == "" {
		return
	}
	mux := http.NewServeMux()
	n.handleReadOnly(mux)
	n.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if err := serveOn(n.metricsServer, n.settings.MetricsAddr, nil, upstream.NodeListenConfig(), nil); err != nil {
		event.MetricsUnavailable.Log(n.log).Err(err).Send()
	}
}

// serveOn listens on an address and serves in the background until s is closed.
// tlsConfig is nil for plain text; wrap wraps the listener below TLS, nil for none.
func serveOn(s *http.Server, addr string, tlsConfig *tls.Config, lc net.ListenConfig, wrap func(net.Listener) net.Listener) error {
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	if wrap != nil {
		l = wrap(l)
	}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	go func() { _ = s.Serve(l) }() // ends with Close
	return nil
}

// ServeReadiness responds to the load balancer's readiness check: with status
// 200 if the node accepts clients, and with status 503 otherwise.
func (n *Node) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	n.loadBalancerSeen.Store(true)
	if n.ready.Load() && !n.stopping.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	if n.stopping.Load() {
		n.stopDenials.Add(1)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
