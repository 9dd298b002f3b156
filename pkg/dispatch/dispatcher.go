package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Dispatcher takes requests from the gateway to targets. Its methods may be
// called concurrently.
type Dispatcher struct {
	opts   Options
	clock  platform.Clock
	logger zerolog.Logger
	dir    Directory
	net    peer.Network
	view   ViewFunc
	sender Sender
	claims Claims
	home   *Home

	loads     *loadTable
	congested congestion
	teams     sync.Map // fleet.Team to *retryBudget
	stats     statsTable
	running   sync.WaitGroup
	ends      sync.WaitGroup // notices of ended grants
}

// Deps are what a Dispatcher works with.
type Deps struct {
	Clock     platform.Clock
	Logger    zerolog.Logger
	Directory Directory
	Loader    Loader
	Network   peer.Network
	View      ViewFunc
	Sender    Sender
	// Claims may be nil: requests with an idempotency key are then refused.
	Claims Claims
}

// New returns a Dispatcher with its Home.
func New(opts Options, deps Deps) *Dispatcher {
	loads := &loadTable{opts: opts}
	return &Dispatcher{
		opts:   opts,
		clock:  deps.Clock,
		logger: deps.Logger,
		dir:    deps.Directory,
		net:    deps.Network,
		view:   deps.View,
		sender: deps.Sender,
		claims: deps.Claims,
		home:   newHome(opts, deps, loads),
		loads:  loads,
	}
}

// Home returns the node's model home.
func (d *Dispatcher) Home() *Home { return d.home }

// Register sets the handlers of the request path's messages.
func (d *Dispatcher) Register(r *peer.Router) {
	r.Handle(wire.TypeAcquire, d.home.HandleAcquire)
	r.Handle(wire.TypeGrantEnd, d.home.HandleGrantEnd)
	r.Handle(wire.TypeCongested, d.handleCongested)
	r.Handle(wire.TypeScaleOut, d.home.HandleScaleOut)
}

// Drain begins a graceful shutdown: waiting requests of the own home go
// back to their entry nodes, and running requests are waited for until ctx
// ends. The gateway must have stopped to accept requests.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.home.Drain()
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends the home's loops. It is called after Drain.
func (d *Dispatcher) Stop() {
	d.ends.Wait()
	d.home.Stop()
}

// Do serves one request. The error is a *fault.Error: before Start was
// called it is the answer, and its Run column is true; after Start it tells
// that the answer broke off.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) error {
	d.running.Add(1)
	defer d.running.Done()
	if has, ok := ctx.Deadline(); !ok || has.After(r.Deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	a := newAnswer(sink, d.clock.Now(), d.clock, d.captureLimit(r))
	err := d.claimed(ctx, r, a)
	d.stats.observe(r, a, err, d.clock.Now())
	if err != nil {
		return fault.As(err)
	}
	return nil
}

// send finds a place and sends the request, again after failures that leave
// no doubt or do no harm.
func (d *Dispatcher) send(ctx context.Context, r *Request, a *answer) error {
	team := d.teamBudget(r.Identity.Team)
	team.earn()
	var wait *backoff.ExponentialBackOff
	var t trail
	for {
		p, err := d.place(ctx, r, t.exclusion)
		if err != nil {
			return t.end(ctx, r, err)
		}
		a.placed(d.clock.Now(), p.cold)
		err = d.sendTo(ctx, r, p, a)
		if err == nil {
			return nil
		}
		if !t.add(p.target.ID, err, a.started) || !t.mayRetry(ctx, r, d.opts.MaxAttempts) {
			return t.end(ctx, r, nil)
		}
		if wait == nil {
			wait = backoff.NewExponentialBackOff()
			wait.InitialInterval, wait.MaxInterval = d.opts.RetryDelay, d.opts.RetryMaxDelay
		}
		if !isNotLoaded(t.last) && !d.spendRetry(team, p, r) || !sleep(ctx, wait.NextBackOff()) {
			return t.end(ctx, r, nil)
		}
	}
}

// place returns a place for the request.
func (d *Dispatcher) place(ctx context.Context, r *Request, not exclusion) (place, error) {
	if r.Replica.Key.Model == "" {
		return d.plainPlace(r, not.exclude)
	}
	return d.acquire(ctx, r, not)
}

// plainPlace chooses a target of a plain service.
func (d *Dispatcher) plainPlace(r *Request, exclude []fleet.TargetID) (place, error) {
	candidates := d.dir.Plain(r.Service)
	if len(candidates) == 0 {
		return place{}, fault.New(fault.NoReplica, "no target runs the service %q", r.Service)
	}
	ch := choice{zone: d.view().Self.Zone, service: r.Service, exclude: exclude, now: d.clock.Now()}
	c, ok := d.loads.choose(candidates, ch)
	if !ok {
		ch.exclude, ch.ejected = nil, true
		c, ok = d.loads.choose(candidates, ch)
	}
	if !ok {
		return place{}, fault.New(fault.Overloaded, "all targets of the service %q are busy", r.Service)
	}
	load := d.loads.get(c.Target.ID)
	load.inflight.Add(1)
	return place{target: c.Target, load: load}, nil
}

func (d *Dispatcher) teamBudget(team fleet.Team) *retryBudget {
	if b, ok := d.teams.Load(team); ok {
		return b.(*retryBudget)
	}
	fresh := new(retryBudget)
	fresh.init(d.opts.RetryRatio, d.opts.RetryBurst)
	b, _ := d.teams.LoadOrStore(team, fresh)
	return b.(*retryBudget)
}

// jitter returns a random duration between half of d and one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
