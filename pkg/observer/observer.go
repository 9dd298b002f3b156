// Package observer reads the state of engines whose owner is gone while the
// roster cannot change, so that what is loaded on them stays in use. It
// gives no orders.
package observer

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Options are the settings of the observer.
type Options struct {
	// Interval is the time between two reads of an engine.
	Interval time.Duration `yaml:"interval" validate:"gt=0"`
	// OrphanAfter is how long a target must lack a live owner first.
	OrphanAfter time.Duration `yaml:"orphan_after" validate:"gt=0"`
	// RepeatInterval is the longest time between two broadcasts of an
	// unchanged target.
	RepeatInterval time.Duration `yaml:"repeat_interval" validate:"gt=0"`
	// ReadTimeout bounds one read.
	ReadTimeout time.Duration `yaml:"read_timeout" validate:"gt=0"`
	// ConcurrentReads is the number of engines read at the same time.
	ConcurrentReads int `yaml:"concurrent_reads" validate:"min=1"`
}

// DefaultOptions returns the settings of a node.
func DefaultOptions() Options {
	return Options{
		Interval:        time.Second,
		OrphanAfter:     2 * time.Second,
		RepeatInterval:  5 * time.Second,
		ReadTimeout:     time.Second,
		ConcurrentReads: 8,
	}
}

// Engines reads engine states; *target.Orders implements it.
type Engines interface {
	State(ctx context.Context, t fleet.Target) (fleet.TargetState, error)
}

// Deps are what an observer needs of the rest of the node.
type Deps struct {
	Self    fleet.NodeID
	Clock   platform.Clock
	Logger  zerolog.Logger
	View    func() *peer.View
	Targets func() []fleet.Target
	Engines Engines
	Network peer.Network
}

// Observer spreads the state of targets without a live owner.
type Observer struct {
	opts Options
	deps Deps

	mu      sync.Mutex // guards orphans
	orphans map[fleet.TargetID]*orphan
}

// orphan is a target without a live owner that this node observes.
type orphan struct {
	since time.Time
	sent  time.Time
	last  *wire.TargetUpdate // nil before the first read
}

// New returns an observer; Run runs it.
func New(opts Options, deps Deps) *Observer {
	return &Observer{opts: opts, deps: deps, orphans: map[fleet.TargetID]*orphan{}}
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(o.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.Step(ctx)
		}
	}
}

// Step looks at all targets once.
func (o *Observer) Step(ctx context.Context) {
	due := o.due(Orphans(o.deps.View(), o.deps.Self, o.deps.Targets()))
	slots := make(chan struct{}, o.opts.ConcurrentReads)
	var wg sync.WaitGroup
	for _, t := range due {
		slots <- struct{}{}
		wg.Go(func() {
			o.read(ctx, t)
			<-slots
		})
	}
	wg.Wait()
}

// Orphans returns the engines of the view's zone whose owner by the roster
// does not run any more, and that the given node is to observe.
func Orphans(v *peer.View, self fleet.NodeID, targets []fleet.Target) []fleet.Target {
	var live []fleet.NodeID
	for _, n := range v.Live {
		if n.Zone == v.Self.Zone {
			live = append(live, n.ID)
		}
	}
	var out []fleet.Target
	for _, t := range targets {
		if t.Zone != v.Self.Zone || t.Kind == fleet.TargetPlain || ownerLives(v, t.ID) {
			continue
		}
		if id, ok := fleet.Owner(live, "observe/"+string(t.ID)); ok && id == self {
			out = append(out, t)
		}
	}
	return out
}

// ownerLives tells whether the very process that the roster names runs: one
// started later on the same VM is not a member.
func ownerLives(v *peer.View, t fleet.TargetID) bool {
	id, ok := v.TargetOwner(t)
	if !ok {
		return false
	}
	i := slices.IndexFunc(v.Roster, func(n fleet.Node) bool { return n.ID == id })
	return slices.ContainsFunc(v.Live, func(n fleet.Node) bool {
		return n.ID == id && n.Incarnation == v.Roster[i].Incarnation
	})
}

// due notes the orphans and returns those that have been so for long enough.
func (o *Observer) due(targets []fleet.Target) []fleet.Target {
	now := o.deps.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make(map[fleet.TargetID]*orphan, len(targets))
	var out []fleet.Target
	for _, t := range targets {
		state := o.orphans[t.ID]
		if state == nil {
			state = &orphan{since: now}
		}
		next[t.ID] = state
		if now.Sub(state.since) >= o.opts.OrphanAfter {
			out = append(out, t)
		}
	}
	o.orphans = next
	return out
}

// read reads one engine and spreads what has changed.
func (o *Observer) read(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, o.opts.ReadTimeout)
	defer cancel()
	state, err := o.deps.Engines.State(ctx, t)
	now := o.deps.Clock.Now()
	u := &wire.TargetUpdate{
		Target: t, State: state, Epoch: o.deps.View().Epoch, Observed: true,
		Sequence: uint64(max(0, now.UnixMilli())), Unreachable: err != nil,
	}
	if o.keep(t.ID, u, now) {
		o.deps.Network.Send(o.deps.Self, u)
		o.deps.Network.Broadcast("", u)
	}
}

// keep stores an observation and reports whether it is to be spread. After a
// failed read the state before it stands; without one nothing is known.
func (o *Observer) keep(id fleet.TargetID, u *wire.TargetUpdate, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.orphans[id]
	if state == nil || (u.Unreachable && state.last == nil) {
		return false
	}
	if u.Unreachable {
		u.State = state.last.State
	}
	if state.last == nil {
		event.TargetObserved.Log(&o.deps.Logger).Str("target", string(id)).Send()
	}
	changed := state.last == nil || !same(u, state.last)
	state.last = u
	if !changed && now.Sub(state.sent) < o.opts.RepeatInterval {
		return false
	}
	state.sent = now
	return true
}

func same(a, b *wire.TargetUpdate) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	return reflect.DeepEqual(x, y)
}

// Greet tells a node that has just connected of the targets observed here.
func (o *Observer) Greet(to fleet.NodeID) {
	o.mu.Lock()
	var known []*wire.TargetUpdate
	for _, state := range o.orphans {
		if state.last != nil {
			known = append(known, state.last)
		}
	}
	o.mu.Unlock()
	for _, u := range known {
		o.deps.Network.Send(to, u)
	}
}
