package streamversions

import (
	"context"
	"errors"
	"maps"
	"time"

	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
	"almondturn/pkg/wait"
)

// Sources of the version of a stream, as they appear in the log.
const (
	// FromMemory: the stream began at this node, or this node has read its origin before.
	FromMemory = "memory"
	// FromOwner: an owner of a zone knows the origin.
	FromOwner = "owner"
	// FromStore: the key-value service has it or, while that does not respond, another node.
	FromStore = "store"
	// OnlyVersion: no other version can have begun it.
	OnlyVersion = "only"
)

// Reasons for which the version of a stream is not known.
var (
	// ErrUnknown: all that could know the origin of the stream have been asked.
	ErrUnknown = errors.New("the software version that began the stream is not known")
	// ErrNotRead: the key-value service could not be asked.
	ErrNotRead = errors.New("the software version that began the stream could not be read")
)

// Stream is a stream that a client takes up.
type Stream struct {
	// ID is the identifier of the request that brought its first event, empty if the client
	// has not named it.
	ID      string
	Service string
	// Deadline is when the stream must have gone on.
	Deadline time.Time
}

// Found is the version of a stream, and where it is known from.
type Found struct{ Version, Source string }

// OwnersAnswer is what the owners of all zones know about a stream.
type OwnersAnswer struct {
	// Known is true if one knows that Origin is that of the stream.
	Known  bool
	Origin streams.Origin
	// Versions are the versions of the service that have served lately, by all owners. They are
	// complete if the owners of all zones have answered and know those of the whole last life.
	Versions map[string]bool
	Complete bool
}

// maxStreamReads is the number of reads for a stream that is taken up. One that began at another
// node less than a write interval ago is not written yet at the first.
const maxStreamReads = 2

// ownersTimeout bounds the wait for the answers of owners.
const ownersTimeout = 300 * time.Millisecond

// Find returns the version of a stream that a client takes up. It returns ErrUnknown or
// ErrNotRead if the stream can't go on.
func (t *Tracker) Find(ctx context.Context, s Stream) (Found, error) {
	if v, ok := t.known(s); ok {
		return Found{v, FromMemory}, nil
	}
	owners := t.askOwners(ctx, s)
	if owners.Known {
		t.Reported(s.ID, owners.Origin)
		return Found{owners.Origin.Version, FromOwner}, nil
	}
	if v, ok := t.onlyVersion(ctx, s, owners); ok {
		return Found{v, OnlyVersion}, nil
	}
	var readErr error
	for reads := range maxStreamReads {
		if reads > 0 && !wait.Sleep(ctx, min(t.writeInterval(), time.Until(s.Deadline)/4)) {
			break
		}
		readErr = t.read(ctx, func() bool { _, ok := t.known(s); return ok })
		if v, ok := t.known(s); ok {
			return Found{v, FromStore}, nil
		}
	}
	// A read may have completed the versions of the last life.
	if v, ok := t.onlyVersion(ctx, s, owners); ok {
		return Found{v, OnlyVersion}, nil
	}
	if readErr != nil {
		return Found{}, ErrNotRead
	}
	return Found{}, ErrUnknown
}

// known returns the version of a stream by what this node has in memory.
func (t *Tracker) known(s Stream) (string, bool) {
	if s.ID == "" {
		return "", false
	}
	now := time.Now()
	for _, l := range []*streams.Ledger{t.ledger, t.reported} {
		if o, ok := l.Get(now, s.ID); ok && o.Service == s.Service {
			return o.Version, true
		}
	}
	return "", false
}

// askOwners asks the owners of all zones about a stream.
func (t *Tracker) askOwners(ctx context.Context, s Stream) OwnersAnswer {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	return t.cfg.Peers.AskOwners(ctx, s.ID, s.Service)
}

// Answer returns what this node knows about a stream, as an owner that is asked: the version
// that began it, or else the versions that have served lately. They are nil if this node does
// not know those of the whole last life.
func (t *Tracker) Answer(id, service string) (version string, known bool, recent []string) {
	now := time.Now()
	if v, ok := t.known(Stream{ID: id, Service: service}); ok {
		return v, true, nil
	}
	if t.history.Complete(now) {
		recent = t.history.Recent(now, service)
	}
	return "", false, recent
}

// onlyVersion returns the version that has begun all streams of the service that may still be
// taken up, if there is only one. This node's own list does not show that by itself: a node that
// was suspended or cut off may have missed another version. So either the owners of all zones
// know of no other, without which streams don't begin, or the key-value service has no changes
// of the list with another one. Either was asked after the client took the stream up.
func (t *Tracker) onlyVersion(ctx context.Context, s Stream, owners OwnersAnswer) (string, bool) {
	if owners.Complete {
		return owners.only(t.history.Recent(time.Now(), s.Service))
	}
	if _, ok := t.history.Only(time.Now(), s.Service); !ok {
		return "", false
	}
	if t.checks.do(ctx, t.checkTargets) != nil {
		return "", false
	}
	return t.history.Only(time.Now(), s.Service)
}

// only returns the only version that the owners know, if this node's list has had no other one.
func (a OwnersAnswer) only(recent []string) (string, bool) {
	all := maps.Clone(a.Versions)
	for _, v := range recent {
		all[v] = true
	}
	for v := range all {
		return v, len(all) == 1
	}
	return "", false
}

// minimalWait is the time for which the key-value service waits for changes of which only those
// that have been made matter.
const minimalWait = time.Millisecond

// checkTargets reads the changes that the list of targets lacks, and records their versions.
func (t *Tracker) checkTargets(ctx context.Context) error {
	after := t.cfg.Targets.Revision()
	if after == 0 {
		return kv.ErrUnavailable // there is no list yet
	}
	ctx, cancel := context.WithTimeout(ctx, streamReadTimeout)
	defer cancel()
	changes, _, err := t.cfg.Store.Changes(ctx, t.cfg.Targets.Prefix(), after, minimalWait)
	if err != nil {
		return err
	}
	services, listed := t.resumableServices(), versionsByService{}
	for _, c := range changes {
		if c.Deleted {
			continue
		}
		if target := t.cfg.Targets.Decode(c.Entry); target != nil {
			listed.add(services, target)
		}
	}
	now := time.Now()
	t.logAppeared(now, t.history.Saw(now, listed))
	return nil
}

// read reads what the key-value service has about streams, or the other nodes if it doesn't
// respond, one after the other until enough returns true. Calls at the same time share a read.
func (t *Tracker) read(ctx context.Context, enough func() bool) error {
	return t.reads.do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, streamReadTimeout)
		defer cancel()
		entries, _, err := t.cfg.Store.List(ctx, KeyPrefix)
		if err == nil {
			stored := t.merge(entries)
			t.history.Include(time.Now(), stored.versions)
			return nil
		}
		answered := t.cfg.Peers.Snapshot(func(entries []kv.Entry) bool {
			if stored := t.merge(entries); stored.versions != nil {
				t.history.Include(time.Now(), stored.versions)
			}
			return enough()
		})
		if answered {
			return nil
		}
		return err
	})
}

// merge records the streams in entries, and returns what they hold.
func (t *Tracker) merge(entries []kv.Entry) storedStreams {
	stored, now := decodeStreams(entries, t.cfg.InvalidEntry), time.Now()
	for id, o := range stored.origins {
		t.ledger.Put(now, id, o)
	}
	return stored
}
