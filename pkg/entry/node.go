package entry

import (
	"context"
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
	"almondturn/pkg/hedging"
	"almondturn/pkg/intake"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/limiter"
	"almondturn/pkg/loglimit"
	"almondturn/pkg/notices"
	"almondturn/pkg/quota"
	"almondturn/pkg/route"
	"almondturn/pkg/streamversions"
	"almondturn/pkg/upstream"
	"almondturn/pkg/wait"
	"almondturn/pkg/zoneowner"
)

// Times of a node.
const (
	// minTargetFetchDelay is the least delay between two fetches of changes to
	// the list of targets. The owner of a zone and a node that is not ready yet
	// use it as their delay.
	minTargetFetchDelay = 400 * time.Millisecond
	// targetFetchesPerDrain is how many times per drain time a ready node that
	// owns no zone fetches changes to the list of targets.
	targetFetchesPerDrain = 5
	// sweepInterval is the time between two checks for expired idle
	// connections and limits of targets that are gone.
	sweepInterval = 2 * time.Second
	// headerTimeout bounds the wait for the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request, in bytes.
	maxHeaderBytes = 64 << 10
)

// Store is the key-value service as a node uses it.
type Store interface {
	WatchStore
	zoneowner.Store
	// Commit applies a transaction atomically.
	Commit(ctx context.Context, c kv.Transaction) (kv.Revision, error)
	// SetRelay sets the function that relays a call through other nodes if the
	// service does not respond to this one.
	SetRelay(func(ctx context.Context, method, path string, body []byte) (kv.Response, error))
	// Forward makes a call that another node relays through this one; it
	// returns status 0 if the call was not made.
	Forward(ctx context.Context, method, path string, body []byte) (kv.Response, error)
	// SetRestoreObserver sets the function that is called when the service is
	// found to be restored from an older copy. It must not block.
	SetRestoreObserver(func(previous, current kv.Era))
	// Era returns the era of the service as its responses have shown it, 0 for none.
	Era() kv.Era
	// AnnounceEra passes on an era that another node has seen.
	AnnounceEra(kv.Era)
}

// Targets sends orders to targets and requests their reports.
type Targets interface {
	zoneowner.Targets
	// SetHeadObserver sets the function that is called with the status and header of
	// each response of a target; source says to what.
	SetHeadObserver(func(t *inventory.Target, source string, status int, h http.Header))
	prober
}

// Deps holds the dependencies of a node.
type Deps struct {
	Settings       *Settings
	Log            *zerolog.Logger
	Dial           fleet.DialFunc
	Store          Store
	Targets        Targets
	Pool           *upstream.Pool
	ClientProtocol ClientProtocol
	TargetProtocol TargetProtocol
	Decoder        Decoder
	Metrics        *Metrics
	// FirstStart says that no process of this node has ended lately, so that there are no
	// retries of a former process that count.
	FirstStart bool
	// ReadinessPath is the path of the load balancer's readiness check; empty
	// if the readiness listener does not serve it.
	ReadinessPath string
	// OnRestore is called, on a goroutine of its own, when the key-value service was
	// restored from an older copy, with the entries of the configuration that was in force
	// until then and those listed since. Its context ends with the node. nil for none.
	OnRestore func(ctx context.Context, held, listed map[string]kv.Entry)
	// WrapHandler returns the handler of the clients' listener, which forwards
	// requests to the node. If it is nil, the node is the handler.
	WrapHandler func(n *Node) http.Handler
}

// reporter requests the state of a target.
type reporter interface {
	Report(ctx context.Context, t *inventory.Target) (inventory.Report, error)
}

// prober requests the state of a target over a new connection.
type prober interface {
	// Probe returns the report of a target. Its error is an *upstream.SendError if no
	// connection was made, and inventory.ErrOtherTarget if another target has the address.
	Probe(ctx context.Context, t *inventory.Target) (inventory.Report, error)
}

// Metrics is the exported name of nodeMetrics, which holds the counters and
// histograms of one node.
type Metrics = nodeMetrics

// NewMetrics returns metrics without values, for the Deps of one node.
func NewMetrics() *Metrics { return newMetrics() }

// CountStoreCall is countStoreCall for other packages: it counts a call to the
// key-value service by the status of its response.
func (m *nodeMetrics) CountStoreCall(call string, status int) { m.countStoreCall(call, status) }

// Node is an entry node. Its exported methods may be called concurrently,
// except for Start, which must have returned before any other is called.
type Node struct {
	settings *Settings
	// bounds are those of the settings that were last loaded. Only DrainTime
	// and the fields of the retry budgets are read from it; the other fields
	// are read from settings.
	bounds         atomic.Pointer[Bounds]
	self           fleet.Node
	log            *zerolog.Logger
	clientProtocol ClientProtocol
	targetProtocol TargetProtocol
	handler        http.Handler
	decoder        Decoder
	store          Store
	pool           *upstream.Pool
	owner          *zoneowner.Owner
	links          *links
	metrics        *nodeMetrics
	fallbackQuery  fallbackQuery
	reporter       reporter
	probes         targetProbes
	budgets        budgets
	hedger         *hedging.Hedger
	guard          *crashGuard
	streams        *streamversions.Tracker
	usages         targetUsages
	notices        *notices.Ledger
	shares         limitShares
	quotas         *quota.Leases
	started        time.Time
	firstStart     bool
	ready          atomic.Bool
	stopping       atomic.Bool
	// stopTimes is nil before Stop is called.
	stopTimes atomic.Pointer[stopTimes]
	runTimes  runTimes
	// stopDenials counts the readiness checks that were denied since Stop was
	// called.
	stopDenials atomic.Int32
	// loadBalancerSeen is true once a load balancer has made a readiness check.
	loadBalancerSeen atomic.Bool
	// inFlight counts the clients' requests in progress, from their heads on.
	inFlight atomic.Int64

	// table is the configuration in force, nil before the first.
	table atomic.Pointer[route.Table]
	// tableSetAfter is when table was set, in nanoseconds after the start of
	// the node.
	tableSetAfter atomic.Int64
	// targetSet is the list of targets in force, with those that operators drained or
	// that have said that they leave marked as draining; nil before the first.
	targetSet atomic.Pointer[inventory.TargetSet]
	// directory holds the entries of the targets, from which targetSet is built. A
	// report that this node has requested from a target replaces the models of its
	// entry.
	directory *inventory.Directory
	targetsMu sync.Mutex // guards directory
	// invalidEntries bounds the log lines about entries that can't be decoded.
	invalidEntries loglimit.Keyed
	// skipped bounds the log lines about skipped responses.
	skipped loglimit.Lines
	// intake bounds what clients make the node hold, intakeLog the log lines about that.
	intake    *intake.Intake
	intakeLog loglimit.Lines
	// configurationEntries are the entries of the configuration as last read from the
	// key-value service, and keptRevision the revision of an older configuration there
	// that was last logged. Only the goroutine of configurationWatch uses them.
	configurationEntries map[string]kv.Entry
	keptRevision         kv.Revision
	// configurationInForce is a copy of the entries that table was decoded from.
	configurationInForce entryCopy
	// onRestore is the OnRestore of the Deps. restoredEra and restoredFrom are the era and
	// the revision of the configuration in force for which it was last called, which only
	// the goroutine of configurationWatch uses.
	onRestore    func(ctx context.Context, held, listed map[string]kv.Entry)
	restoredEra  kv.Era
	restoredFrom kv.Revision
	// announcedVersion is the highest version of the configuration that other nodes
	// have announced since the last failed attempt to copy it.
	announcedVersion atomic.Int64

	runsMu sync.Mutex // guards runs
	// runs are the granted runs in progress, by run ID.
	runs map[uint64]zoneRun

	configurationWatch *watch
	watches            []*watch
	readinessPath      string
	// snapshotLimiter bounds the number and rate of the snapshots that are sent
	// to other nodes, as package limiter describes.
	snapshotLimiter *limiter.Limiter
	// targetChanges and ownerChanges serve the changes of the list of targets and
	// of the owners of the zones to the nodes of this zone.
	targetChanges, ownerChanges *changeLog

	clientServer, readinessServer, innerServer *http.Server
	// metricsServer is nil if the metrics have no address of their own.
	metricsServer *http.Server
	// idleClientConns holds the idle connections of clients; those to targets
	// are in pool.
	idleClientConns *idleConns
	// ctx ends everything that the node runs in the background.
	ctx    context.Context
	cancel context.CancelFunc
	// untilStop ends when Stop is called.
	untilStop context.Context
	beginStop context.CancelFunc
	// requestsCtx ends the requests that are still in progress at the end of
	// the shutdown time.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// New returns a node that is not started. An error means that no incarnation
// could be generated.
func New(d Deps) (*Node, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("generate incarnation: %w", err)
	}
	n := &Node{
		settings: d.Settings, log: d.Log, clientProtocol: d.ClientProtocol, targetProtocol: d.TargetProtocol, decoder: d.Decoder, store: d.Store, pool: d.Pool,
		reporter: d.Targets, metrics: d.Metrics, started: time.Now(), runs: map[uint64]zoneRun{}, readinessPath: d.ReadinessPath,
		directory: inventory.NewDirectory(), configurationEntries: map[string]kv.Entry{}, idleClientConns: newIdleConns(),
		snapshotLimiter: limiter.New(time.Now), notices: notices.NewLedger(boottime.Now), hedger: hedging.New(),
	}
	n.self = fleet.Node{ID: d.Settings.Node, Zone: d.Settings.Zone, Incarnation: id.String(), Addr: d.Settings.advertisedAddr()}
	n.onRestore, n.firstStart = d.OnRestore, d.FirstStart
	d.Settings.limitTargetResponses(&d.Pool.Buffered)
	n.intake = intake.New(d.Settings.intakeLimits(), n.headLimits, n.clientLimited)
	n.usages.node = n.self.ID
	n.shares.node = n
	n.quotas = newQuotaLeases(d.Settings)
	n.bounds.Store(&d.Settings.Bounds)
	n.targetChanges = newChangeLog(n.maxTargetsAge, boottime.Now)
	n.ownerChanges = newChangeLog(ownersAge, boottime.Now)
	n.fallbackQuery.ownerReached(n.started)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.probes.targets, n.probes.ctx = d.Targets, n.ctx
	n.untilStop, n.beginStop = context.WithCancel(context.Background())
	n.requestsCtx, n.cancelRequests = context.WithCancel(context.Background())
	n.handler = n
	if d.WrapHandler != nil {
		n.handler = d.WrapHandler(n)
	}
	n.guard = newCrashGuard(n)
	n.links = newLinks(n, d.Dial)
	n.links.ctx = n.ctx
	n.owner = zoneowner.New(zoneowner.Config{
		Self: n.self, Zones: d.Settings.Zones, CPUCapacity: d.Settings.CPUCapacity, MinLease: d.Settings.MinLeaseTime, HandoverDelay: d.Settings.OrderHandoverDelay,
		Store: d.Store, Targets: d.Targets, Network: n.links, Log: d.Log, Observer: d.Metrics, ConfigurationVersion: n.version, BootClock: boottime.Now,
		Quota: d.Settings.Quota,
	})
	d.Targets.SetHeadObserver(n.observeHead)
	d.Store.SetRelay(n.links.relayStoreCall)
	d.Store.SetRestoreObserver(n.storeRestored)
	n.configurationWatch = n.newWatch(d.Decoder.ConfigurationPrefix, noFetchDelay, n.replaceConfiguration, n.applyConfigurationChanges)
	targets := n.newWatch(d.Decoder.TargetPrefix, n.targetFetchDelay, n.replaceTargets, n.applyTargetChanges)
	targets.changeLog, targets.peerChanges, targets.freshness.maxAge = n.targetChanges, targetChangesRequest, n.maxTargetsAge
	owners := n.newWatch(zoneowner.KeyPrefix, noFetchDelay, n.replaceOwners, n.applyOwnerChanges)
	owners.changeLog, owners.peerChanges, owners.freshness.maxAge = n.ownerChanges, ownerChangesRequest, ownersAge
	n.streams = newStreamVersions(n, targets)
	n.watches = []*watch{n.configurationWatch, targets, owners}
	return n, nil
}

// noFetchDelay is the fetchDelay of a watch whose changes are fetched without a
// delay.
func noFetchDelay() time.Duration { return 0 }

// targetFetchDelay returns the delay between two fetches of changes to the list
// of targets. It is a fraction of the drain time, so that a draining target gets
// no more requests by the end of that time.
func (n *Node) targetFetchDelay() time.Duration {
	if n.owner.IsOwner() || !n.ready.Load() {
		return minTargetFetchDelay
	}
	return max(n.bounds.Load().DrainTime/targetFetchesPerDrain, minTargetFetchDelay)
}

// newWatch returns a watch of the entries below a prefix; see watch for the
// functions.
func (n *Node) newWatch(prefix string, fetchDelay func() time.Duration, onList func([]kv.Entry, kv.Revision), onChanges func([]kv.WatchEvent)) *watch {
	return &watch{store: n.store, prefix: prefix, fetchDelay: fetchDelay, onList: onList, onChanges: onChanges, node: n, relistRequests: make(chan struct{}, 1)}
}

// Start listens on all addresses and starts to watch the key-value service. It
// returns an error if an address cannot be listened on; listeners that are
// already open then stay open until Abort or Stop.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	n.serveMetrics()
	for _, w := range n.watches {
		go w.run(n.ctx)
	}
	go n.owner.Run(n.ctx)
	go n.sweep()
	go n.streams.Run(n.ctx)
	event.EntryStarted.Log(n.log).Str("zone", string(n.self.Zone)).Str("incarnation", n.self.Incarnation).
		Str("clients", n.settings.ClientsAddr).Str("inner", n.settings.InnerAddr).Send()
	return nil
}

// updateReady makes the node accept clients once the configuration and the
// targets are known.
func (n *Node) updateReady() {
	if n.table.Load() == nil || n.targetSet.Load() == nil {
		return
	}
	if !n.ready.Swap(true) {
		event.EntryReady.Log(n.log).Dur("after_ms", time.Since(n.started)).Send()
		n.links.sendNodeState()
	}
}

// sweep closes expired idle connections to targets and of clients, and forgets the limits
// of targets that are gone, until the node stops.
func (n *Node) sweep() {
	for wait.Sleep(n.ctx, sweepInterval) {
		n.pool.CloseExpired()
		n.intake.EndStalled(time.Now())
		n.forgetLimits()
		if t := n.table.Load(); t != nil && t.Limits.IdleTimeout > 0 {
			n.idleClientConns.closeOlder(t.Limits.IdleTimeout)
		}
	}
}

// Reload replaces the bounds by those of new settings. Of these, DrainTime,
// RetryRatio, RetrySlack and RetryWindow take effect. The other bounds, the
// addresses and all other settings stay as they were at the start.
func (n *Node) Reload(s *Settings) {
	n.bounds.Store(&s.Bounds)
	event.EntryReloaded.Log(n.log).Send()
}
