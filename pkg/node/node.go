// Package node puts a node of almondturn's own interface together: the entry
// node with the callers' and the operators' listeners before it, and the
// clients of the platform behind it.
package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"almondturn/fleet"
	"almondturn/pkg/callers"
	"almondturn/pkg/claims"
	"almondturn/pkg/config"
	"almondturn/pkg/entry"
	"almondturn/pkg/logsink"
	"almondturn/pkg/operators"
	"almondturn/pkg/teams"
	"almondturn/pkg/upstream"
	"almondturn/platform"
)

const (
	// dialTimeout bounds the wait for a connection.
	dialTimeout = 600 * time.Millisecond
	// readHeaderTimeout bounds the wait for the head of an operator's request.
	readHeaderTimeout = 10 * time.Second
	// metricsPath is where the operators' listener shows the metrics.
	metricsPath = "/metrics"
)

// Options are what a process decides of its node beside the settings.
type Options struct {
	// Log is where log lines go.
	Log io.Writer
	// Dial opens all connections; nil opens TCP connections.
	Dial fleet.DialFunc
}

// Node is a node with its listeners.
type Node struct {
	*entry.Node
	config    *config.Config
	operators *http.Server
}

// Run runs a node until ctx ends, and stops it gracefully.
func Run(ctx context.Context, c *config.Config) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	n, err := New(c, Options{Log: sink})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	n.Stop()
	return nil
}

// New returns a node that does not listen yet.
func New(c *config.Config, o Options) (*Node, error) {
	if o.Dial == nil {
		o.Dial = upstream.NewDialer(dialTimeout).DialContext
	}
	var n *Node
	app := fx.New(
		fx.NopLogger,
		fx.Supply(c, o),
		fx.Provide(
			newLog, settings, entry.NewMetrics, newStore, newPool, newOrders, newRepository, newClaims, newProtocol,
			newEntry, newNode,
		),
		fx.Populate(&n),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("put the node together: %w", err)
	}
	return n, nil
}

func newLog(c *config.Config, o Options) (*zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(c.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("log.level: %w", err)
	}
	l := zerolog.New(o.Log).Level(level).With().Timestamp().Str("node", string(c.Node.ID)).Logger()
	return &l, nil
}

// settings translates the settings file for the entry node.
func settings(c *config.Config) (*entry.Settings, error) {
	secure, err := certificate("tls.callers", c.TLS.Callers)
	if err != nil {
		return nil, err
	}
	inner, err := innerTLS(c)
	if err != nil {
		return nil, err
	}
	return &entry.Settings{
		Node: c.Node.ID, Zone: c.Node.Zone, CPUCapacity: c.Node.Cores,
		ClientsAddr: c.Listen.Callers, InnerAddr: c.Listen.Inner, AdvertisedAddr: c.Listen.Advertise,
		ClientsTLS: secure, InnerTLS: inner, Secret: []byte(c.Node.Secret),
		StoreAddr: c.Store.Address, Seeds: c.Deployment.Seeds, Zones: c.Deployment.Zones,
		Bounds: entry.Bounds{
			DrainTime: c.Deployment.DrainTime, ShutdownTime: c.Shutdown.Time,
			RetryRatio: c.Retries.Ratio, RetrySlack: c.Retries.Slack, RetryWindow: c.Retries.Window,
			OrderHandoverDelay: c.Deployment.OrderPause, MinLeaseTime: c.Store.MinLease,
		},
	}, nil
}

// innerTLS returns what nodes show each other and check, both ways; nil when
// they speak in plain text.
func innerTLS(c *config.Config) (*tls.Config, error) {
	secure, err := certificate("tls.inner", c.TLS.Inner)
	if err != nil || secure == nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.TLS.InnerCA)
	if err != nil {
		return nil, fmt.Errorf("tls.inner_ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls.inner_ca: %s holds no PEM certificate", c.TLS.InnerCA)
	}
	secure.RootCAs, secure.ClientCAs, secure.ClientAuth = authorities, authorities, tls.RequireAndVerifyClientCert
	return secure, nil
}

// certificate loads a key pair; nil when none is named.
func certificate(name string, pair config.KeyPair) (*tls.Config, error) {
	if pair.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

func newStore(s *entry.Settings, o Options, m *entry.Metrics) *platform.Store {
	return platform.NewStore(s.StoreAddr, o.Dial, m.StoreCall)
}

func newPool(o Options) *upstream.Pool { return upstream.NewPool(o.Dial) }

func newOrders(p *upstream.Pool, s *entry.Settings) *platform.Orders {
	return platform.NewOrders(p, string(s.Node))
}

func newRepository(s *platform.Store) *teams.Repository { return teams.NewRepository(s) }

func newClaims(s *platform.Store) *claims.Table { return claims.New(s) }

func newProtocol(c *config.Config) *callers.Protocol {
	return callers.New(c.Callers, callers.Targets{Header: platform.RequestHeader, IsTargetHeader: platform.IsTargetHeader})
}

func newEntry(s *entry.Settings, o Options, log *zerolog.Logger, store *platform.Store, pool *upstream.Pool, orders *platform.Orders, m *entry.Metrics, p *callers.Protocol, t *claims.Table) (*entry.Node, error) {
	decoder := teams.NewDecoder()
	return entry.New(entry.Deps{
		Settings: s, Log: log, Dial: o.Dial, Store: store, Targets: orders, Pool: pool, Metrics: m,
		Clients: p, TargetHeaders: platform.TargetHeaders{},
		Wrap: func(n *entry.Node) http.Handler { return p.Handler(n, t, log) },
		Decoder: entry.Decoder{
			ConfigurationPrefix: teams.Prefix, TargetPrefix: platform.TargetPrefix,
			Configuration: decoder.Decode, Target: platform.DecodeTarget,
		},
	})
}

func newNode(c *config.Config, e *entry.Node, r *teams.Repository, log *zerolog.Logger) *Node {
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { e.WriteMetrics(w) })
	mux.Handle("/", operators.New(c.Operators, e, r, log))
	return &Node{Node: e, config: c, operators: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}
}

// ID returns the node's identifier.
func (n *Node) ID() fleet.NodeID { return n.config.Node.ID }

// CallersAddr returns the address of the callers' listener.
func (n *Node) CallersAddr() string { return n.config.Listen.Callers }

// OperatorsAddr returns the address of the operators' listener.
func (n *Node) OperatorsAddr() string { return n.config.Listen.Operators }

// Start opens the listeners and begins to follow the platform.
func (n *Node) Start() error {
	secure, err := certificate("tls.operators", n.config.TLS.Operators)
	if err != nil {
		return err
	}
	config := upstream.ListenConfig()
	l, err := config.Listen(context.Background(), "tcp", n.config.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen.operators: %w", err)
	}
	if secure != nil {
		l = tls.NewListener(l, secure)
	}
	if err := n.Node.Start(); err != nil {
		return errors.Join(err, l.Close())
	}
	go func() { _ = n.operators.Serve(l) }() // ends with Close
	return nil
}

// Stop ends the node gracefully.
func (n *Node) Stop() {
	n.Node.Stop()
	_ = n.operators.Close()
}

// Abort ends the node at once, as a crash does.
func (n *Node) Abort() {
	n.Node.Abort()
	_ = n.operators.Close()
}
