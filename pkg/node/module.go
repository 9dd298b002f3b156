package node

import (
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/claim"
	"almondturn/pkg/config"
	"almondturn/pkg/directory"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/gateway"
	"almondturn/pkg/keepalive"
	"almondturn/pkg/membership"
	"almondturn/pkg/mesh"
	"almondturn/pkg/observer"
	"almondturn/pkg/owner"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/target"
)

// module provides every part of a node.
func module(c *config.Config, self fleet.Node) fx.Option {
	return fx.Options(
		fx.Supply(c, self),
		fx.Provide(
			newLogger,
			newClock,
			newPlatform,
			newRawKV,
			newKV,
			newVMLister,
			peer.NewRouter,
			newMesh,
			newNetwork,
			newMembership,
			newView,
			newDirectory,
			newCatalogStore,
			newCatalog,
			newOwner,
			newObserver,
			newLoader,
			newStreams,
			dispatch.NewTargets,
			newOrders,
			newClaimWriter,
			newClaims,
			newDispatcher,
			newReadiness,
			newGateway,
			newAdmin,
			newParts,
		),
		fx.NopLogger,
	)
}

func newLogger(c *config.Config) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(c.Log.Level)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log.level: %w", err)
	}
	log := zerolog.New(os.Stderr)
	if c.Log.Pretty {
		log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.TimeOnly})
	}
	return log.Level(level).With().Timestamp().Str("node", string(c.Node.ID)).Logger(), nil
}

func newClock() platform.Clock { return platform.SystemClock{} }

func newPlatform(c *config.Config) *platform.Client {
	return platform.NewClient(c.Platform.URL, c.Platform.Timeout, c.Platform.Dial)
}

// rawKV is the key-value service without the check for lost data.
type rawKV struct{ platform.KV }

func newRawKV(client *platform.Client) rawKV { return rawKV{platform.NewHub(client)} }

// newKV returns the key-value service as all parts but membership use it.
func newKV(raw rawKV, members *membership.Service) platform.KV { return members.Guard(raw.KV) }

func newVMLister(client *platform.Client) platform.VMLister { return client }

// newSelf describes this process; advertise is its inner host:port.
func newSelf(c *config.Config, advertise string) fleet.Node {
	return fleet.Node{ID: c.Node.ID, Zone: c.Node.Zone, Incarnation: uuid.Must(uuid.NewV7()).String(), Addr: advertise}
}

func newMesh(c *config.Config, self fleet.Node, router *peer.Router, clock platform.Clock, log zerolog.Logger) (*mesh.Mesh, error) {
	return mesh.New(c.Mesh, self, router, clock, log)
}

func newNetwork(m *mesh.Mesh) peer.Network { return m }

func newMembership(c *config.Config, self fleet.Node, m *mesh.Mesh, router *peer.Router, kv rawKV, vms platform.VMLister, clock platform.Clock, log zerolog.Logger) *membership.Service {
	s := membership.New(c.Membership, self, m, router, kv.KV, vms, c.Deployment.Targets, clock, log)
	m.SetHeartbeat(s.Heartbeat)
	m.AddObserver(s.Observe)
	return s
}

// viewFunc returns the node's current view of the members.
type viewFunc func() *peer.View

func newView(s *membership.Service) viewFunc { return s.View }

func newDirectory(c *config.Config, router *peer.Router, clock platform.Clock, log zerolog.Logger) *directory.Directory {
	return directory.New(c.Directory, router, clock, log)
}

func newCatalogStore() *catalog.Store { return &catalog.Store{} }

func newCatalog(c *config.Config, self fleet.Node, kv platform.KV, net peer.Network, router *peer.Router, view viewFunc, members *membership.Service, clock platform.Clock, log zerolog.Logger, store *catalog.Store) *catalog.Service {
	s := catalog.New(c.Catalog, self, kv, net, router, view, clock, log, store)
	members.SetCatalogDigest(s.Sum)
	return s
}

func newOrders(c *config.Config) *target.Orders { return target.NewOrders(c.Orders) }

// ownerDeps are the parts that the target owner works with.
type ownerDeps struct {
	fx.In

	Self      fleet.Node
	Clock     platform.Clock
	Log       zerolog.Logger
	View      viewFunc
	Store     *catalog.Store
	KV        platform.KV
	VMs       platform.VMLister
	Members   *membership.Service
	Network   peer.Network
	Router    *peer.Router
	Orders    *target.Orders
	Directory *directory.Directory
}

func (d ownerDeps) deps() owner.Deps {
	return owner.Deps{
		Self:      d.Self,
		Clock:     d.Clock,
		Logger:    d.Log,
		View:      d.View,
		Catalog:   d.Store,
		KV:        d.KV,
		VMs:       d.VMs,
		Roster:    d.Members.ReadEpoch,
		Network:   d.Network,
		Router:    d.Router,
		Engines:   d.Orders,
		Directory: targetReports{directory: d.Directory, members: d.Members},
	}
}

func newOwner(c *config.Config, d ownerDeps) *owner.Service {
	opts := c.Owner
	opts.Budget.Zones = c.Deployment.Zones
	opts.Budget.LoadsPerSecond = c.Deployment.StoreLoadsPerSecond
	opts.Budget.ConcurrentLoads = c.Deployment.StoreFullSpeedLoads
	opts.Budget.ConcurrentAdapters = c.Deployment.AdaptersInTransit
	deps := d.deps()
	policy := keepalive.DefaultOptions()
	policy.IdleWeight = c.Deployment.IdleWeight
	deps.KeepAlive = keepAlive{Policy: keepalive.NewPolicy(policy), catalog: d.Store}
	return owner.New(opts, deps)
}

func newObserver(c *config.Config, d ownerDeps) *observer.Observer {
	return observer.New(c.Observer, observer.Deps{
		Self:    d.Self.ID,
		Clock:   d.Clock,
		Logger:  d.Log,
		View:    d.View,
		Targets: d.Members.Targets,
		Engines: d.Orders,
		Network: d.Network,
	})
}

func newLoader(c *config.Config, d ownerDeps) owner.Loader {
	return owner.NewLoadClient(c.Owner, d.deps())
}

func newStreams(c *config.Config, clock platform.Clock, log zerolog.Logger) *target.Streams {
	return target.NewStreams(c.Target, clock, log)
}

func newClaimWriter(c *config.Config, router *peer.Router, kv platform.KV, view viewFunc, clock platform.Clock, log zerolog.Logger) *claim.Writer {
	w := claim.NewWriter(c.Claim, clock, log, kv, claim.ViewFunc(view))
	w.Register(router)
	return w
}

func newClaims(c *config.Config, net peer.Network, view viewFunc, clock platform.Clock, log zerolog.Logger) *claim.Client {
	return claim.NewClient(c.Claim, clock, log, net, claim.ViewFunc(view))
}

// dispatcherDeps are the parts that a dispatcher works with.
type dispatcherDeps struct {
	fx.In

	Clock   platform.Clock
	Log     zerolog.Logger
	Routes  *dispatch.Targets
	Loader  owner.Loader
	Network peer.Network
	View    viewFunc
	Streams *target.Streams
	Claims  *claim.Client
	Router  *peer.Router
}

func newDispatcher(c *config.Config, d dispatcherDeps) *dispatch.Dispatcher {
	out := dispatch.New(c.Dispatch, dispatch.Deps{
		Clock:     d.Clock,
		Logger:    d.Log,
		Directory: d.Routes,
		Loader:    d.Loader,
		Network:   d.Network,
		View:      dispatch.ViewFunc(d.View),
		Sender:    d.Streams,
		Claims:    d.Claims,
	})
	out.Register(d.Router)
	return out
}

func newGateway(c *config.Config, store *catalog.Store, d *dispatch.Dispatcher, state *readiness, log zerolog.Logger) *gateway.Gateway {
	return gateway.New(c.Gateway, store, d, state.check, state.catalog, log)
}

func newAdmin(c *config.Config, self fleet.Node, cat *catalog.Service, net peer.Network, view viewFunc, dir *directory.Directory, members *membership.Service, log zerolog.Logger) *admin.Server {
	return admin.New(c.Admin, self, cat, net, view, targetStatus{directory: dir, network: net}, members, log)
}
