package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/claim"
	"almondturn/pkg/directory"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/gateway"
	"almondturn/pkg/membership"
	"almondturn/pkg/mesh"
	"almondturn/pkg/observer"
	"almondturn/pkg/owner"
	"almondturn/pkg/target"
)

// partsIn are the running parts of a node.
type partsIn struct {
	fx.In

	Self       fleet.Node
	Log        zerolog.Logger
	Mesh       *mesh.Mesh
	Members    *membership.Service
	Directory  *directory.Directory
	Catalog    *catalog.Service
	Owner      *owner.Service
	Observer   *observer.Observer
	Orders     *target.Orders
	Streams    *target.Streams
	Dispatcher *dispatch.Dispatcher
	Outcomes   *claim.Client
	// Claims is here so that it is built: it registers handlers only.
	Claims    *claim.Writer
	Gateway   *gateway.Gateway
	Admin     *admin.Server
	Readiness *readiness
}

// parts starts and stops what runs in a node.
type parts struct {
	self       fleet.Node
	log        zerolog.Logger
	mesh       *mesh.Mesh
	members    *membership.Service
	directory  *directory.Directory
	catalog    *catalog.Service
	owner      *owner.Service
	observer   *observer.Observer
	orders     *target.Orders
	streams    *target.Streams
	dispatcher *dispatch.Dispatcher
	outcomes   *claim.Client
	readiness  *readiness

	gateway http.Handler
	admin   http.Handler

	callers, operators, inner *server

	// ctx ends the loops that have no Stop of their own; loops counts them.
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func newParts(in partsIn) *parts {
	p := &parts{
		self:       in.Self,
		log:        in.Log,
		mesh:       in.Mesh,
		members:    in.Members,
		directory:  in.Directory,
		catalog:    in.Catalog,
		owner:      in.Owner,
		observer:   in.Observer,
		orders:     in.Orders,
		streams:    in.Streams,
		dispatcher: in.Dispatcher,
		outcomes:   in.Outcomes,
		readiness:  in.Readiness,
		gateway:    in.Gateway.Handler(),
		admin:      in.Admin,
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// serve answers on all listeners. The callers' listener refuses by its
// readiness until the catalog is loaded.
func (p *parts) serve(l *listeners) {
	inner := http.NewServeMux()
	inner.Handle(mesh.Path, p.mesh.Handler())
	p.inner = newServer(l.inner, inner)
	p.callers = newServer(l.callers, p.gateway)
	p.operators = newServer(l.operators, p.admin)
	for _, s := range []*server{p.inner, p.callers, p.operators} {
		s.start()
	}
}

func (p *parts) start(ctx context.Context) error {
	p.mesh.AddObserver(p.greet)
	if err := p.mesh.Start(ctx); err != nil {
		return err
	}
	if err := p.members.Start(ctx); err != nil {
		return err
	}
	p.loops.Go(func() { p.followTargets(p.ctx) })
	p.loops.Go(func() { p.observer.Run(p.ctx) })
	p.loops.Go(func() { p.directory.Run(p.ctx, p.self.ID, p.mesh) })
	p.loops.Go(func() { _ = p.catalog.Run(p.ctx) })
	return p.owner.Start(ctx)
}

// greet tells a node that has just connected what it cannot know yet.
func (p *parts) greet(n fleet.Node, connected bool) {
	if !connected {
		return
	}
	p.directory.Greet(p.mesh, n.ID)
	p.owner.Greet(n.ID)
	p.observer.Greet(n.ID)
}

// followTargets keeps the directory's list of targets up to date.
func (p *parts) followTargets(ctx context.Context) {
	changed := p.members.SubscribeTargets()
	for {
		p.directory.SetTargets(p.members.Targets())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// stop ends the parts after the last request.
func (p *parts) stop(ctx context.Context) error {
	errs := []error{p.outcomes.Close(ctx)}
	p.cancel()
	p.loops.Wait()
	errs = append(errs, p.members.Stop(ctx), p.mesh.Stop(ctx))
	p.streams.Close()
	p.orders.Close()
	p.inner.abort()
	return errors.Join(append(errs, p.operators.shutdown(ctx))...)
}

// abort ends all parts without handing anything over.
func (p *parts) abort() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range []*server{p.inner, p.callers, p.operators} {
		s.abort()
	}
	_ = p.mesh.Stop(ended)
	_ = p.owner.Stop(ended)
	p.dispatcher.Stop()
	_ = p.stop(ended)
}

// readiness tells the balancer whether to send callers here.
type readiness struct {
	catalog  func() bool
	stopping atomic.Bool
}

func newReadiness(c *catalog.Service) *readiness { return &readiness{catalog: c.Ready} }

var (
	errStopping  = errors.New("the node is shutting down")
	errNoCatalog = errors.New("the settings of the teams are not loaded yet")
)

func (r *readiness) stop() { r.stopping.Store(true) }

func (r *readiness) check() error {
	if r.stopping.Load() {
		return errStopping
	}
	if !r.catalog() {
		return errNoCatalog
	}
	return nil
}
