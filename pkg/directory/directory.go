// Package directory is the table of targets and replicas that every node
// keeps. Lookups read snapshots and take no lock.
package directory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// shards is the number of parts of the replica index; a change copies one part.
const shards = 256

// Directory holds what is known of all targets.
type Directory struct {
	opts  Options
	clock platform.Clock
	log   zerolog.Logger
	// missed carries the updates to fetch from their owners.
	missed chan missedUpdates

	// targets and index are copied on write, under mu.
	targets atomic.Pointer[map[fleet.TargetID]*entry]
	index   [shards]atomic.Pointer[shard]
	plain   atomic.Pointer[map[fleet.Service][]*entry]

	mu          sync.Mutex                      // guards changes and the fields below
	drains      map[fleet.TargetID]wire.Leaving // operators' decisions, cancelled ones included
	early       map[fleet.TargetID]bool         // news of an engine ahead of its owner's update
	listed      map[fleet.TargetID]bool
	subscribers []chan struct{}
}

type shard map[fleet.ReplicaKey][]*entry

// entry is one target. Its state is replaced as a whole.
type entry struct {
	state atomic.Pointer[Target]
}

// Target is what the directory knows of one target. It is immutable.
type Target struct {
	fleet.Target
	// State is what the owner last reported; nil before the first report.
	State       *fleet.TargetState
	Owner       fleet.NodeID
	Epoch       fleet.Epoch
	Sequence    uint64
	Unreachable bool
	// Observed is set when the report is not an owner's.
	Observed bool
	Slots    []fleet.ReplicaKey
	Draining []fleet.ReplicaKey
	// LeavingBy names the first source that said that the target is
	// leaving; empty while it takes work.
	LeavingBy string
	updated   time.Time
	// Report numbers the owners' updates of this target at this node.
	Report uint64
}

// The sources of the news that a target is leaving.
const (
	SourceList     = "vm_list"
	SourceEngine   = "engine"
	SourceOperator = "operator"
)

// Candidate is a target on which a replica is loaded.
type Candidate struct {
	Target  *Target
	Replica fleet.ReplicaState
	// Stale is set when the owner has not reported for long.
	Stale bool
}

// New returns an empty directory and registers its handlers.
func New(opts Options, router *peer.Router, clock platform.Clock, log zerolog.Logger) *Directory {
	d := &Directory{
		opts: opts, clock: clock, log: log,
		drains: map[fleet.TargetID]wire.Leaving{},
		early:  map[fleet.TargetID]bool{},
		missed: make(chan missedUpdates, missedQueue),
		listed: map[fleet.TargetID]bool{},
	}
	d.targets.Store(&map[fleet.TargetID]*entry{})
	d.plain.Store(&map[fleet.Service][]*entry{})
	for i := range d.index {
		d.index[i].Store(&shard{})
	}
	router.Handle(wire.TypeTargetUpdate, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		d.Apply(m.(*wire.TargetUpdate))
		return nil, nil
	})
	router.Handle(wire.TypeTargetFetch, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		return d.updates(m.(*wire.TargetFetch).Targets), nil
	})
	router.Handle(wire.TypeTargetRefresh, func(_ context.Context, from fleet.Node, m wire.Message) (wire.Message, error) {
		d.refresh(from.ID, m.(*wire.TargetRefresh))
		return nil, nil
	})
	router.Handle(wire.TypeLeaving, func(_ context.Context, _ fleet.Node, m wire.Message) (wire.Message, error) {
		d.ApplyLeaving(m.(*wire.Leaving))
		return nil, nil
	})
	return d
}

// Lookup returns a target.
func (d *Directory) Lookup(id fleet.TargetID) (*Target, bool) {
	e := (*d.targets.Load())[id]
	if e == nil {
		return nil, false
	}
	return e.state.Load(), true
}

// Targets returns the targets of a zone by identifier; the empty zone means all.
func (d *Directory) Targets(zone fleet.Zone) []*Target {
	var out []*Target
	for _, e := range *d.targets.Load() {
		t := e.state.Load()
		if zone == "" || t.Zone == zone {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Replicas returns the targets on which the replica is loaded and that may
// get new requests for it: not leaving, not draining it, and reachable.
func (d *Directory) Replicas(k fleet.ReplicaKey) []Candidate {
	entries := (*d.index[shardOf(k)].Load())[k]
	if len(entries) == 0 {
		return nil
	}
	now := d.clock.Now()
	out := make([]Candidate, 0, len(entries))
	for _, e := range entries {
		t := e.state.Load()
		if t.LeavingBy != "" || t.Unreachable || t.State == nil || slices.Contains(t.Draining, k) {
			continue
		}
		r, ok := t.State.Replica(k)
		if !ok || r.Phase != fleet.ReplicaLoaded {
			continue
		}
		out = append(out, Candidate{Target: t, Replica: r, Stale: now.Sub(t.updated) > d.opts.StaleAfter})
	}
	return out
}

// Subscribe returns a channel that receives after changes other than of load.
func (d *Directory) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, ch)
	return ch
}

func (d *Directory) notifyLocked() {
	for _, ch := range d.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func shardOf(k fleet.ReplicaKey) int {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{string(k.Service), k.Model, k.Version, k.Adapter} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return int(h.Sum64() % shards)
}

// entryLocked returns the entry of a target, new when it is not known yet.
func (d *Directory) entryLocked(t fleet.Target) *entry {
	old := *d.targets.Load()
	if e := old[t.ID]; e != nil {
		return e
	}
	e := &entry{}
	e.state.Store(&Target{Target: t})
	next := make(map[fleet.TargetID]*entry, len(old)+1)
	for id, o := range old {
		next[id] = o
	}
	next[t.ID] = e
	d.targets.Store(&next)
	return e
}

// reindexPlainLocked lists the targets of each plain service again.
func (d *Directory) reindexPlainLocked() {
	next := map[fleet.Service][]*entry{}
	for _, t := range d.Targets("") {
		if t.Kind == fleet.TargetPlain {
			next[t.Service] = append(next[t.Service], (*d.targets.Load())[t.ID])
		}
	}
	d.plain.Store(&next)
}

// reindexLocked moves the entry in the replica index from the replicas of
// one state to those of another.
func (d *Directory) reindexLocked(e *entry, before, after *fleet.TargetState) bool {
	changed := false
	for _, r := range replicas(before) {
		if !contains(after, r.Key) {
			d.changeShardLocked(r.Key, func(list []*entry) []*entry { return without(list, e) })
			changed = true
		}
	}
	for _, r := range replicas(after) {
		if !contains(before, r.Key) {
			d.changeShardLocked(r.Key, func(list []*entry) []*entry { return append(without(list, e), e) })
			changed = true
		}
	}
	return changed
}

func (d *Directory) changeShardLocked(k fleet.ReplicaKey, change func([]*entry) []*entry) {
	p := &d.index[shardOf(k)]
	old := *p.Load()
	next := make(shard, len(old)+1)
	for key, list := range old {
		next[key] = list
	}
	if list := change(next[k]); len(list) > 0 {
		next[k] = list
	} else {
		delete(next, k)
	}
	p.Store(&next)
}

// without returns a copy of the list that lacks e.
func without(list []*entry, e *entry) []*entry {
	out := make([]*entry, 0, len(list)+1)
	for _, o := range list {
		if o != e {
			out = append(out, o)
		}
	}
	return out
}

func replicas(s *fleet.TargetState) []fleet.ReplicaState {
	if s == nil {
		return nil
	}
	return s.Replicas
}

func contains(s *fleet.TargetState, k fleet.ReplicaKey) bool {
	if s == nil {
		return false
	}
	_, ok := s.Replica(k)
	return ok
}

func (d *Directory) logLeaving(t *Target, before string) {
	switch {
	case before == "" && t.LeavingBy != "":
		event.TargetLeaving.Log(&d.log).Str("target", string(t.ID)).Str("source", t.LeavingBy).Send()
	case before != "" && t.LeavingBy == "":
		event.TargetReturned.Log(&d.log).Str("target", string(t.ID)).Send()
	}
}
