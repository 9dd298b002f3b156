package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/boottime"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/limiter"
	"almondturn/pkg/route"
	"almondturn/pkg/upstream"
	"almondturn/pkg/wait"
	"almondturn/pkg/zoneowner"
)

// Times of a node.
const (
	// ownerTargetPause is the wait between two fetches of changes of targets
	// by the owner of a zone.
	ownerTargetInterval = 400 * time.Millisecond
	// targetPauses is the part of the drain time that other nodes wait.
	targetFetchesPerDrain = 5
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = 2 * time.Second
	// headerTimeout bounds the wait for the head of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
)

// FullStore is the key-value service, as a node uses it.
type FullStore interface {
	Store
	zoneowner.Store
	// SetRelay sets the way through other nodes for calls that get no answer.
	SetRelay(func(ctx context.Context, method, path string, body []byte) (int, []byte, error))
	// Forward makes a call for another node; status 0 tells that it was not made.
	Forward(ctx context.Context, method, path string, body []byte) (int, []byte, error)
}

// Deps are what a node works with.
type Deps struct {
	Settings      *Settings
	Log           *zerolog.Logger
	Dial          fleet.DialFunc
	Store         FullStore
	Targets       zoneowner.Targets
	Pool          *upstream.Pool
	Clients       ClientProtocol
	TargetHeaders TargetProtocol
	Decoder       Decoder
	Metrics       *Metrics
	ReadinessPath string
	// Wrap returns the handler of the clients' listener, which passes
	// requests on to the node; nil takes the node itself.
	Wrap func(n *Node) http.Handler
}

// reporter asks a target for its state.
type reporter interface {
	Report(ctx context.Context, t *inventory.Target) (inventory.Report, error)
}

// Metrics are the counters and histograms of one node.
type Metrics = nodeMetrics

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return newMetrics() }

// StoreCall counts a call to the key-value service by its answer.
func (m *nodeMetrics) StoreCall(call string, status int) { m.countStoreCall(call, status) }

// Node is one entry node.
type Node struct {
	settings *Settings
	// bounds are those of the settings as last read.
	bounds         atomic.Pointer[Bounds]
	self           fleet.Node
	log            *zerolog.Logger
	clientProtocol ClientProtocol
	targetProtocol TargetProtocol
	handler        http.Handler
	decoder        Decoder
	store          FullStore
	pool           *upstream.Pool
	owner          *zoneowner.Owner
	links          *links
	metrics        *nodeMetrics
	fallbackQuery  fallbackQuery
	reporter       reporter
	budgets        budgets
	loads          targetLoads
	started        time.Time
	ready          atomic.Bool
	stopping       atomic.Bool
	// stoppingSince is when the node was asked to stop, in Unix nanoseconds.
	stoppingSince atomic.Int64
	stopDenials   atomic.Int32
	// asked tells that a balancer has ever asked.
	balancerSeen atomic.Bool
	inFlight     atomic.Int64

	table atomic.Pointer[route.Table]
	// tableSince is when the table was put in force, in nanoseconds after the
	// start of the node.
	tableSetAfter atomic.Int64
	view          atomic.Pointer[inventory.View]
	// targets are the entries as last read.
	targets   map[string]*inventory.Target
	targetsMu sync.Mutex // guards targets
	// configured are the entries of the configuration as last read; only the
	// watch uses it.
	configurationEntries map[string]kv.Entry

	runsMu sync.Mutex // guards runs
	runs   map[uint64]zoneRun

	configurationWatch *watch
	watches            []*watch
	readinessPath      string
	// snapshots bounds the copies of lists that are given to other nodes.
	snapshotLimiter *limiter.Limiter
	// feed passes changes of the list of targets on to the nodes of the zone.
	changeLog *changeLog

	clientServer, readinessServer, innerServer *http.Server
	// metricsServer is nil without an address of its own.
	metricsServer *http.Server
	idle          *idleConns
	ctx           context.Context
	cancel        context.CancelFunc
	// hardStop ends the requests that are in progress when the time to stop is over.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// New returns a node that does not listen yet.
func New(d Deps) (*Node, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("make an incarnation: %w", err)
	}
	n := &Node{
		settings: d.Settings, log: d.Log, clientProtocol: d.Clients, targetProtocol: d.TargetHeaders, decoder: d.Decoder, store: d.Store, pool: d.Pool,
		reporter: d.Targets, metrics: d.Metrics, started: time.Now(), runs: map[uint64]zoneRun{}, readinessPath: d.ReadinessPath,
		targets: map[string]*inventory.Target{}, configurationEntries: map[string]kv.Entry{}, idle: newIdleConns(), changeLog: newChangeLog(),
		snapshotLimiter: limiter.New(time.Now),
	}
	n.self = fleet.Node{ID: d.Settings.Node, Zone: d.Settings.Zone, Incarnation: id.String(), Addr: d.Settings.advertisedAddr()}
	n.loads.node = n.self.ID
	n.bounds.Store(&d.Settings.Bounds)
	n.fallbackQuery.ownerReached(n.started)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.requestsCtx, n.cancelRequests = context.WithCancel(context.Background())
	n.handler = n
	if d.Wrap != nil {
		n.handler = d.Wrap(n)
	}
	n.links = newLinks(n, d.Dial)
	n.links.ctx = n.ctx
	n.owner = zoneowner.New(zoneowner.Config{
		Self: n.self, Zones: d.Settings.Zones, CPUCapacity: d.Settings.CPUCapacity, MinLease: d.Settings.MinLeaseTime, HandoverDelay: d.Settings.OrderHandoverDelay,
		Store: d.Store, Targets: d.Targets, Network: n.links, Log: d.Log, Observer: d.Metrics, Version: n.version, BootClock: boottime.Now,
	})
	d.Store.SetRelay(n.links.relayStoreCall)
	n.configurationWatch = n.newWatch(d.Decoder.ConfigurationPrefix, noFetchDelay, n.replaceConfiguration, n.applyConfigurationChanges)
	targets := n.newWatch(d.Decoder.TargetPrefix, n.targetFetchDelay, n.replaceTargets, n.applyTargetChanges)
	targets.changeLog, targets.peerChanges = n.changeLog, n.links.requestChanges
	n.watches = []*watch{
		n.configurationWatch,
		targets,
		n.newWatch(zoneowner.KeyPrefix, noFetchDelay, n.replaceOwners, n.applyOwnerChanges),
	}
	return n, nil
}

func noFetchDelay() time.Duration { return 0 }

// targetPause is short enough for a leaving target to be left in time.
func (n *Node) targetFetchDelay() time.Duration {
	if n.owner.IsOwner() || !n.ready.Load() {
		return ownerTargetInterval
	}
	return max(n.bounds.Load().DrainTime/targetFetchesPerDrain, ownerTargetInterval)
}

func (n *Node) newWatch(prefix string, pause func() time.Duration, reset func([]kv.Entry), changed func([]kv.WatchEvent)) *watch {
	return &watch{store: n.store, prefix: prefix, fetchDelay: pause, onList: reset, onChanges: changed, node: n, refresh: make(chan struct{}, 1)}
}

// Start listens and begins to follow the platform.
func (n *Node) Start() error {
	inner := http.NewServeMux()
	inner.Handle(innerPath, n.links.handler())
	inner.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.write(w, n) })
	ready := http.NewServeMux()
	if n.readinessPath != "" {
		ready.HandleFunc(n.readinessPath, n.ServeReadiness)
	}
	ready.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.write(w, n) })
	n.clientServer = &http.Server{Handler: n.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: n.idle.track, DisableGeneralOptionsHandler: true}
	n.readinessServer = &http.Server{Handler: ready}
	n.innerServer = &http.Server{Handler: inner}
	listeners := []struct {
		server *http.Server
		addr   string
		secure *tls.Config
	}{{n.innerServer, n.settings.InnerAddr, n.settings.InnerTLS}, {n.readinessServer, n.settings.ReadinessAddr, nil}, {n.clientServer, n.settings.ClientsAddr, n.settings.ClientsTLS}}
	for _, l := range listeners {
		if l.addr == "" {
			continue
		}
		if err := serveOn(l.server, l.addr, l.secure); err != nil {
			return err
		}
	}
	n.serveMetrics()
	for _, w := range n.watches {
		go w.run(n.ctx)
	}
	go n.owner.Run(n.ctx)
	go n.closeIdleConns()
	event.EntryStarted.Log(n.log).Str("zone", string(n.self.Zone)).Str("incarnation", n.self.Incarnation).
		Str("clients", n.settings.ClientsAddr).Str("inner", n.settings.InnerAddr).Send()
	return nil
}

// serveMetrics shows the metrics at an address of their own. A node works
// without it.
func (n *Node) serveMetrics() {
	if n.settings.MetricsAddr == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.write(w, n) })
	n.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if err := serveOn(n.metricsServer, n.settings.MetricsAddr, nil); err != nil {
		event.MetricsUnavailable.Log(n.log).Err(err).Send()
	}
}

// serveOn serves on an address; secure may be nil.
func serveOn(s *http.Server, addr string, secure *tls.Config) error {
	config := upstream.ListenConfig()
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	if secure != nil {
		l = tls.NewListener(l, secure)
	}
	go func() { _ = s.Serve(l) }() // ends with Close
	return nil
}

// ServeReadiness answers the balancer's question whether the node takes clients.
func (n *Node) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	n.balancerSeen.Store(true)
	if n.ready.Load() && !n.stopping.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	if n.stopping.Load() {
		n.stopDenials.Add(1)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// checkReady takes clients once the configuration and the targets are known.
func (n *Node) updateReady() {
	if n.table.Load() == nil || n.view.Load() == nil {
		return
	}
	if !n.ready.Swap(true) {
		event.EntryReady.Log(n.log).Dur("after_ms", time.Since(n.started)).Send()
		n.links.sendNodeState()
	}
}

// learnVersion fetches the configuration when another node has a newer one.
func (n *Node) observeVersion(version int64) {
	if version > n.version() {
		n.configurationWatch.relist()
	}
}

// limits returns the figures of the retry budget.
func (n *Node) retryLimits() retryLimits {
	b := n.bounds.Load()
	return retryLimits{ratio: b.RetryRatio, slack: b.RetrySlack, window: b.RetryWindow, nodes: n.links.maxNodeCount()}
}

// forward makes a store call for another node.
func (n *Node) forwardStoreCall(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	return n.store.Forward(ctx, method, path, body)
}

func (n *Node) closeIdleConns() {
	for wait.Sleep(n.ctx, sweepInterval) {
		n.pool.CloseExpired()
		if t := n.table.Load(); t != nil && t.Limits.IdleTimeout > 0 {
			n.idle.closeOlder(t.Limits.IdleTimeout)
		}
	}
}

// Reload takes over the bounds of new settings. Addresses stay as they were at
// the start.
func (n *Node) Reload(s *Settings) {
	n.bounds.Store(&s.Bounds)
	event.EntryReloaded.Log(n.log).Send()
}
