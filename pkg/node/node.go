// Package node assembles a node that serves almondturn's own HTTP interfaces for
// callers and operators: the entry node, the listener for operators, and the clients
// of the key-value service and the targets. Package platform assembles an entry node
// that serves the platform's interface instead.
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
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 600 * time.Millisecond
	// readHeaderTimeout bounds the time to receive the headers of an operator's
	// request.
	readHeaderTimeout = 10 * time.Second
	// metricsPath is the path of the metrics on the listener for operators.
	metricsPath = "/metrics"
)

// Options holds the parameters of a node that don't come from its settings file.
type Options struct {
	// Log receives the log lines.
	Log io.Writer
	// Dial opens all connections of the node. If it is nil, they are plain TCP
	// connections with a timeout of dialTimeout.
	Dial fleet.DialFunc
	// FirstStart is that of entry.Deps.
	FirstStart bool
}

// Node is an entry.Node, which listens for callers and other nodes, and in addition a
// listener for operators.
type Node struct {
	*entry.Node
	config    *config.Config
	operators *http.Server
	claims    *claims.Registry
	log       *zerolog.Logger
	// ctx ends what the node runs in the background besides the entry node.
	ctx    context.Context
	cancel context.CancelFunc
}

// Run runs a node that logs to standard output until ctx ends, then stops it
// gracefully. It returns an error if the node can't be built or started.
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

// New builds a node, which doesn't listen before Start. It returns an error if the
// log level or a certificate in the settings is invalid; the certificate of the
// listener for operators is loaded by Start.
func New(c *config.Config, o Options) (*Node, error) {
	if o.Dial == nil {
		o.Dial = upstream.NewDialer(dialTimeout).DialContext
	}
	var n *Node
	app := fx.New(
		fx.NopLogger,
		fx.Supply(c, o),
		fx.Provide(
			newLogger, entrySettings, entry.NewMetrics, newStore, newPool, newTargetClient, newRepository, newClaims, newProtocol,
			newEntry, newNode,
		),
		fx.Populate(&n),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("build the node: %w", err)
	}
	return n, nil
}

// newLogger returns the node's logger, with the node's identifier in every line.
func newLogger(c *config.Config, o Options) (*zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(c.Log.Level)
	if err != nil {
		return nil, fmt.Errorf("log.level: %w", err)
	}
	logger := zerolog.New(o.Log).Level(level).With().Timestamp().Str("node", string(c.Node.ID)).Logger()
	return &logger, nil
}

// entrySettings returns the settings of the entry node, with the certificates
// loaded.
func entrySettings(c *config.Config) (*entry.Settings, error) {
	callersTLS, err := loadTLSConfig("tls.callers", c.TLS.Callers)
	if err != nil {
		return nil, err
	}
	innerTLS, err := newInnerTLSConfig(c)
	if err != nil {
		return nil, err
	}
	return &entry.Settings{
		Node: c.Node.ID, Zone: c.Node.Zone, CPUCapacity: c.Node.Cores, MemoryLimitBytes: c.Node.MemoryMB << 20,
		MaxDescriptors: c.Node.MaxFDs, ClientConnsPerAddress: c.Node.ClientConnsPerAddress,
		ClientsAddr: c.Listen.Callers, InnerAddr: c.Listen.Inner, AdvertisedAddr: c.Listen.Advertise,
		ClientsTLS: callersTLS, InnerTLS: innerTLS, Secret: []byte(c.Node.Secret),
		StoreAddr: c.Store.Address, Seeds: c.Deployment.Seeds, Zones: c.Deployment.Zones,
		Bounds: entry.Bounds{
			DrainTime: c.Deployment.DrainTime, ShutdownTime: c.Shutdown.Time,
			RetryRatio: c.Retries.Ratio, RetrySlack: c.Retries.Slack, RetryWindow: c.Retries.Window, HedgeRatio: c.Hedging.Ratio,
			OrderHandoverDelay: c.Deployment.OrderPause, MinLeaseTime: c.Store.MinLease,
		},
	}, nil
}

// newInnerTLSConfig returns the TLS settings of connections between nodes, in which client
// and server verify each other's certificate. It returns nil if no certificate is
// set, which means plain text.
func newInnerTLSConfig(c *config.Config) (*tls.Config, error) {
	tlsConfig, err := loadTLSConfig("tls.inner", c.TLS.Inner)
	if err != nil || tlsConfig == nil {
		return nil, err
	}
	caPEM, err := os.ReadFile(c.TLS.InnerCA)
	if err != nil {
		return nil, fmt.Errorf("tls.inner_ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("tls.inner_ca: %s holds no PEM certificate", c.TLS.InnerCA)
	}
	tlsConfig.RootCAs, tlsConfig.ClientCAs, tlsConfig.ClientAuth = authorities, authorities, tls.RequireAndVerifyClientCert
	return tlsConfig, nil
}

// loadTLSConfig returns TLS settings with the given key pair, and nil if no pair is
// set. setting is the name of the pair in the settings file, for errors.
func loadTLSConfig(setting string, pair config.KeyPair) (*tls.Config, error) {
	if pair.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", setting, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// newStore returns the client of the key-value service.
func newStore(s *entry.Settings, o Options, m *entry.Metrics) *platform.Store {
	store := platform.NewStore(s.StoreAddr, o.Dial, m.CountStoreCall)
	s.LimitStoreResponses(store.Buffered())
	return store
}

// newPool returns the connections to targets.
func newPool(o Options) *upstream.Pool { return upstream.NewPool(o.Dial) }

// newTargetClient returns the client that sends orders to targets.
func newTargetClient(p *upstream.Pool, s *entry.Settings) *platform.TargetClient {
	return platform.NewTargetClient(p, string(s.Node))
}

// newRepository returns the stored settings of the teams.
func newRepository(s *platform.Store) *teams.Repository { return teams.NewRepository(s) }

// newClaims returns the registry of claims on idempotency keys.
func newClaims(s *platform.Store) *claims.Registry { return claims.New(s) }

// newProtocol returns the HTTP interface for callers.
func newProtocol(c *config.Config) *callers.Protocol {
	return callers.New(c.Callers, callers.TargetHeaders{Header: platform.RequestHeader, IsTargetHeader: platform.IsTargetHeader})
}

// newEntry returns the entry node, which serves callers through p.
func newEntry(s *entry.Settings, o Options, log *zerolog.Logger, store *platform.Store, pool *upstream.Pool, targets *platform.TargetClient, m *entry.Metrics, p *callers.Protocol, r *claims.Registry, repository *teams.Repository) (*entry.Node, error) {
	decoder := teams.NewDecoder()
	e, err := entry.New(entry.Deps{
		Settings: s, Log: log, Dial: o.Dial, Store: store, Targets: targets, Pool: pool, Metrics: m,
		ClientProtocol: p, TargetProtocol: platform.TargetProtocol{},
		WrapHandler: func(n *entry.Node) http.Handler { return p.Handler(n, r, log) },
		Decoder: entry.Decoder{
			ConfigurationPrefix: teams.Prefix, TargetPrefix: platform.TargetPrefix,
			Configuration: decoder.Decode, Target: platform.DecodeTarget,
		},
		OnRestore:  teams.NewRestorer(repository, log).Restore,
		FirstStart: o.FirstStart,
	})
	if err != nil {
		return nil, err
	}
	repository.RequireInForce(e.Version)
	return e, nil
}

// newNode returns the node, whose listener for operators serves their interface and
// the metrics.
func newNode(c *config.Config, e *entry.Node, r *teams.Repository, cl *claims.Registry, log *zerolog.Logger) *Node {
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { e.WriteMetrics(w) })
	mux.Handle("/", operators.New(c.Operators, e, r, log))
	n := &Node{Node: e, config: c, operators: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}, claims: cl, log: log}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// ID returns the identifier of the node.
func (n *Node) ID() fleet.NodeID { return n.config.Node.ID }

// CallersAddr returns the host:port of the listener for callers as
// configured; a port 0 is not resolved.
func (n *Node) CallersAddr() string { return n.config.Listen.Callers }

// OperatorsAddr returns the host:port of the listener for operators as
// configured; a port 0 is not resolved.
func (n *Node) OperatorsAddr() string { return n.config.Listen.Operators }

// Start opens the listeners and starts to watch the platform's key-value service.
// An error about the listener for operators names the setting. If the entry node
// fails to start, that listener is closed again.
func (n *Node) Start() error {
	tlsConfig, err := loadTLSConfig("tls.operators", n.config.TLS.Operators)
	if err != nil {
		return err
	}
	listenConfig := upstream.ListenConfig()
	listener, err := listenConfig.Listen(context.Background(), "tcp", n.config.Listen.Operators)
	if err != nil {
		return fmt.Errorf("listen.operators: %w", err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	if err := n.Node.Start(); err != nil {
		return errors.Join(err, listener.Close())
	}
	go func() { _ = n.operators.Serve(listener) }() // returns after Close
	go n.claims.Run(n.ctx, n.log)
	return nil
}

// Stop stops the node gracefully and closes its listeners. It returns when that is
// done.
func (n *Node) Stop() {
	n.Node.Stop()
	n.cancel()
	_ = n.operators.Close()
}

// Abort stops the node immediately, as a crash does: nothing is handed over.
func (n *Node) Abort() {
	n.Node.Abort()
	n.cancel()
	_ = n.operators.Close()
}
