// Package streamversions finds out which software version began a stream that a client takes
// up, and keeps that known beyond the node that carried the stream: in the memory of the owners
// of the zones and, while a service has several versions, in the key-value service. Package
// streams holds the pure parts. docs/design/stream-versions.md describes the protocol.
package streamversions

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/streams"
	"almondturn/pkg/wait"
)

// Times of the versions of streams.
const (
	// minStreamLife and maxStreamLife bound the time from the first event of a stream until
	// it is taken up for the last time.
	minStreamLife = 20 * time.Second
	maxStreamLife = 5 * time.Minute
	// streamLifeFactor is that time as a multiple of the longest timeout of a route: a client
	// may wait longer over all its attempts than the operator lets one of them take.
	streamLifeFactor = 2
	// minStreamWriteInterval is the least time between two writes of streams.
	// streamWriteIntervalPerNode, times the number of nodes, is another lower bound, so that
	// the writes of all nodes stay within the rate of the key-value service.
	minStreamWriteInterval     = 250 * time.Millisecond
	streamWriteIntervalPerNode = 5 * time.Millisecond
	// streamReadTimeout bounds a read of the streams.
	streamReadTimeout = time.Second
)

// maxStreamIDBytes is the longest identifier of a request whose stream is recorded.
const maxStreamIDBytes = 64

// Store is the key-value service as a Tracker uses it.
type Store interface {
	List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	Changes(ctx context.Context, prefix string, after kv.Revision, maxWait time.Duration) ([]kv.WatchEvent, kv.Revision, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error)
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	Commit(ctx context.Context, c kv.Transaction) (kv.Revision, error)
	Era() kv.Era
}

// Peers are the other nodes.
type Peers interface {
	// SharingNodes returns the number of nodes that share the rate of the key-value service.
	SharingNodes() int
	// Snapshot requests what other nodes know about streams, one node after the other until
	// accept returns true. It returns false if no node answered so.
	Snapshot(accept func([]kv.Entry) bool) bool
	// TellOwners tells the owners of all zones which streams have begun at this node.
	TellOwners(begun []Begun)
	// AskOwners asks the owners of all zones, this node among them, about a stream until one
	// knows its origin.
	AskOwners(ctx context.Context, id, service string) OwnersAnswer
}

// TargetList is the list of targets as this node has read it from the key-value service.
type TargetList interface {
	// Prefix returns the prefix of the keys of targets.
	Prefix() string
	// Revision returns the revision up to which changes are in the list, 0 without a list.
	Revision() kv.Revision
	// Decode returns the target of an entry, nil if the entry names none.
	Decode(e kv.Entry) *inventory.Target
}

// Config holds the dependencies of a Tracker.
type Config struct {
	// Incarnation identifies the process in the keys of its streams.
	Incarnation string
	Store       Store
	Peers       Peers
	Targets     TargetList
	// IsOwner reports whether this node owns its zone, Ready whether it accepts clients.
	IsOwner, Ready func() bool
	// InvalidEntry is called for each entry that can't be decoded.
	InvalidEntry func(key string, err error)
	Log          *zerolog.Logger
}

// Tracker holds the software versions of the streams that may be taken up. Its methods may be
// called concurrently.
type Tracker struct {
	cfg     *Config
	history *streams.History
	// ledger holds the streams that began at this node, and those read from the key-value
	// service. reported holds those that other nodes have reported to this one as the owner of
	// a zone; they are not written.
	ledger, reported *streams.Ledger
	recent           recentStreams
	journal          journal
	record           versionRecord
	reads, checks    sharedCall

	// readAt is when completeVersions last read, hasCompleted true once the versions of the last
	// life were known. Only Run uses them.
	readAt       time.Time
	hasCompleted bool

	mu sync.Mutex // guards all below
	// life is the longest time from the first event of a stream until it is taken up.
	life time.Duration
	// services are those that routes lead to whose streams can be taken up.
	services map[string]bool
}

// New returns a Tracker that knows of no streams.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: &cfg, history: streams.NewHistory(maxStreamLife), ledger: streams.NewLedger(maxStreamLife),
		reported: streams.NewLedger(maxStreamLife), life: maxStreamLife,
	}
	t.journal = journal{cfg: t.cfg, recorded: map[string]bool{}, pending: map[string]streams.Origin{}}
	t.record = versionRecord{cfg: t.cfg, history: t.history, checkTargets: t.checkTargets}
	return t
}

// Configure sets the services whose versions matter, and the life of their streams, by the
// routes of a configuration. set are the targets, nil if they are not known yet.
func (t *Tracker) Configure(table *route.Table, set *inventory.TargetSet) {
	longest, services := time.Duration(0), map[string]bool{}
	for r := range table.Routes() {
		if !r.Resumable {
			continue
		}
		longest = max(longest, r.Timeout)
		for _, b := range r.Backends {
			services[b.Service] = true
		}
	}
	life := min(max(streamLifeFactor*longest, minStreamLife), maxStreamLife)
	t.history.SetLife(life)
	t.ledger.SetLife(life)
	t.reported.SetLife(life)
	t.mu.Lock()
	t.life, t.services = life, services
	t.mu.Unlock()
	if set != nil {
		t.Observe(set)
	}
}

// currentLife returns the life of streams.
func (t *Tracker) currentLife() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life
}

// resumableServices returns the services whose versions matter, nil without a configuration.
func (t *Tracker) resumableServices() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services
}

// Observe records the versions of a list of targets.
func (t *Tracker) Observe(set *inventory.TargetSet) {
	services := t.resumableServices()
	if services == nil {
		return // no configuration yet
	}
	listed := versionsByService{}
	set.ForEach(func(target *inventory.Target) { listed.add(services, target) })
	now := time.Now()
	t.logAppeared(now, t.history.Observe(now, listed))
	t.chooseRecorded(now)
}

// ObserveChanges records the versions of targets in changes of the list, also of those that
// a later change has removed.
func (t *Tracker) ObserveChanges(targets []*inventory.Target) {
	services, listed, now := t.resumableServices(), versionsByService{}, time.Now()
	for _, target := range targets {
		listed.add(services, target)
	}
	t.logAppeared(now, t.history.Saw(now, listed))
}

// ListReplaced records that changes of the list may have been missed: the targets of a version
// may have come and gone meanwhile, so that the record of versions has to be read again.
func (t *Tracker) ListReplaced() { t.history.Missed(time.Now()) }

// logAppeared logs the recent versions of services in which some have appeared.
func (t *Tracker) logAppeared(now time.Time, services []string) {
	for _, service := range services {
		event.VersionAppeared.Log(t.cfg.Log).Str("service", service).Strs("versions", t.history.Recent(now, service)).Send()
	}
}

// versionsByService is a set of software versions for each service.
type versionsByService map[string]map[string]bool

// add adds the version of a target, if its service is among services.
func (v versionsByService) add(services map[string]bool, target *inventory.Target) {
	if !services[target.Service] {
		return
	}
	if v[target.Service] == nil {
		v[target.Service] = map[string]bool{}
	}
	v[target.Service][target.SoftwareVersion] = true
}

// chooseRecorded has the streams of the services recorded that have, or had lately, several
// versions.
func (t *Tracker) chooseRecorded(now time.Time) {
	for service, versions := range t.history.All(now) {
		t.journal.setRecorded(service, len(versions) > 1, func() map[string]streams.Origin { return t.ledger.Of(now, service) })
	}
}

// Run reads which versions have served lately, and writes streams and versions, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for wait.Sleep(ctx, t.writeInterval()) {
		now := time.Now()
		t.completeVersions(ctx, now)
		if begun := t.recent.takeUntold(); len(begun) > 0 {
			t.cfg.Peers.TellOwners(begun)
		}
		t.chooseRecorded(now)
		t.journal.forgetOld(func(id string) bool { _, known := t.ledger.Get(now, id); return known })
		t.journal.write(ctx, t.currentLife())
		if t.cfg.IsOwner() {
			t.record.update(ctx, time.Now())
		} else {
			t.record.forget()
		}
	}
}

// completeVersions reads the versions of the last life if they are not known: after the start of
// the node and, as nodes ask owners, at an owner. Elsewhere the next stream that is taken up and
// not known reads them.
func (t *Tracker) completeVersions(ctx context.Context, now time.Time) {
	if t.history.Complete(now) {
		t.hasCompleted = true
		return
	}
	if !t.cfg.Ready() || t.hasCompleted && !t.cfg.IsOwner() || now.Sub(t.readAt) < versionRetryInterval {
		return
	}
	t.readAt = now
	_ = t.read(ctx, func() bool { return t.history.Complete(now) }) // tried again; a stream that is taken up reads, too
}

// writeInterval returns the time between two writes.
func (t *Tracker) writeInterval() time.Duration {
	return max(minStreamWriteInterval, time.Duration(t.cfg.Peers.SharingNodes())*streamWriteIntervalPerNode)
}

// Begun records that a stream, which a client may take up, began at this node. It returns false
// for an identifier that is too long to be recorded.
func (t *Tracker) Begun(id string, o streams.Origin) bool {
	if len(id) > maxStreamIDBytes {
		return false
	}
	now := time.Now()
	t.ledger.Put(now, id, o)
	t.journal.add(id, o)
	t.recent.add(now, Begun{id, o})
	return true
}

// Recent returns the streams that have begun at this node lately, for a new owner of a zone.
func (t *Tracker) Recent() []Begun { return t.recent.recent(time.Now()) }

// Reported records that a stream began at another node, which has reported it to this one.
func (t *Tracker) Reported(id string, o streams.Origin) {
	if len(id) <= maxStreamIDBytes {
		t.reported.Put(time.Now(), id, o)
	}
}

// Snapshot returns what this node knows about streams as entries, for nodes to which the
// key-value service does not respond. Without the versions of a whole life, it leaves them out.
func (t *Tracker) Snapshot() []kv.Entry {
	now := time.Now()
	versions, origins := t.history.All(now), map[string]streams.Origin{}
	for service, list := range versions {
		if len(list) > 1 {
			maps.Copy(origins, t.ledger.Of(now, service))
		}
	}
	entries := []kv.Entry{{Key: streamKey(t.cfg.Incarnation, 0), Value: encodeStreams(origins)}}
	if t.history.Complete(now) {
		entries = append(entries, kv.Entry{Key: versionKey, Value: encodeVersions(versions)})
	}
	return entries
}
