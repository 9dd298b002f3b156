package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/fault"
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

// Sources of the version of a stream, as they appear in the log.
const (
	versionFromMemory = "memory"
	versionFromStore  = "store" // or from other nodes, while that does not respond
	versionIsTheOnly  = "only"
)

// softwareVersion is the version at which a stream began; the zero value if that is not known,
// or no event has been sent.
type softwareVersion struct {
	known bool
	name  string
	// source is where the version of a stream that a client takes up is known from.
	source string
}

// allows reports whether a stream may go on at a target.
func (v softwareVersion) allows(t *inventory.Target) bool {
	return !v.known || t.SoftwareVersion == v.name
}

// streamVersions holds the software versions of the streams that may be taken up. Its methods
// may be called concurrently.
type streamVersions struct {
	node    *Node
	history *streams.History
	ledger  *streams.Ledger
	journal streamJournal
	record  versionRecord

	mu sync.Mutex // guards all below
	// life is the longest time from the first event of a stream until it is taken up.
	life time.Duration
	// services are those that routes lead to whose streams can be taken up.
	services map[string]bool
	// reading is closed when the read in progress has ended; nil without one.
	reading chan struct{}
}

// newStreamVersions returns a streamVersions that knows of no streams.
func newStreamVersions(n *Node) *streamVersions {
	s := &streamVersions{node: n, history: streams.NewHistory(maxStreamLife), ledger: streams.NewLedger(maxStreamLife), life: maxStreamLife}
	s.journal = streamJournal{node: n, recorded: map[string]bool{}, pending: map[string]streams.Origin{}}
	s.record = versionRecord{node: n, history: s.history}
	return s
}

// configure sets the services whose versions matter, and the life of their streams, by the
// routes of a configuration. set are the targets, nil if they are not known yet.
func (s *streamVersions) configure(t *route.Table, set *inventory.TargetSet) {
	longest, services := time.Duration(0), map[string]bool{}
	for r := range t.Routes() {
		if !r.Resumable {
			continue
		}
		longest = max(longest, r.Timeout)
		for _, b := range r.Backends {
			services[b.Service] = true
		}
	}
	life := min(max(streamLifeFactor*longest, minStreamLife), maxStreamLife)
	s.history.SetLife(life)
	s.ledger.SetLife(life)
	s.mu.Lock()
	s.life, s.services = life, services
	s.mu.Unlock()
	if set != nil {
		s.observe(set)
	}
}

// currentLife returns the life of streams.
func (s *streamVersions) currentLife() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// observe records the versions of a list of targets.
func (s *streamVersions) observe(set *inventory.TargetSet) {
	s.mu.Lock()
	services := s.services
	s.mu.Unlock()
	if services == nil {
		return // no configuration yet
	}
	listed := map[string]map[string]bool{}
	set.ForEach(func(t *inventory.Target) {
		if !services[t.Service] {
			return
		}
		if listed[t.Service] == nil {
			listed[t.Service] = map[string]bool{}
		}
		listed[t.Service][t.SoftwareVersion] = true
	})
	now := time.Now()
	for _, service := range s.history.Observe(now, listed) {
		event.VersionAppeared.Log(s.node.log).Str("service", service).Strs("versions", s.history.Recent(now, service)).Send()
	}
	s.chooseRecorded(now)
}

// chooseRecorded has the streams of the services recorded that have, or had lately, several
// versions.
func (s *streamVersions) chooseRecorded(now time.Time) {
	for service, versions := range s.history.All(now) {
		s.journal.setRecorded(service, len(versions) > 1, func() map[string]streams.Origin { return s.ledger.Of(now, service) })
	}
}

// run reads which versions have served lately, and writes streams and versions, until ctx ends.
func (s *streamVersions) run(ctx context.Context) {
	var readAt time.Time
	for wait.Sleep(ctx, s.writeInterval()) {
		now := time.Now()
		if s.node.ready.Load() && !s.history.Complete(now) && now.Sub(readAt) >= versionRetryInterval {
			readAt = now
			_ = s.read(ctx, func() bool { return s.history.Complete(now) }) // tried again; a stream that is taken up reads, too
		}
		s.chooseRecorded(now)
		s.journal.forgetOld(func(id string) bool { _, known := s.ledger.Get(now, id); return known })
		s.journal.write(ctx, s.currentLife())
		if s.node.owner.IsOwner() {
			s.record.update(ctx, time.Now())
		} else {
			s.record.forget()
		}
	}
}

// writeInterval returns the time between two writes.
func (s *streamVersions) writeInterval() time.Duration {
	return max(minStreamWriteInterval, time.Duration(s.node.links.sharingNodes())*streamWriteIntervalPerNode)
}

// begun records that the first event of a request's stream comes from a target.
func (s *streamVersions) begun(j *job, t *inventory.Target) {
	j.version = softwareVersion{known: true, name: t.SoftwareVersion}
	if !j.Route.Resumable || len(j.ID) > maxStreamIDBytes {
		return
	}
	id, origin := text(j.ID), streams.Origin{Service: j.service, Version: t.SoftwareVersion}
	s.ledger.Put(time.Now(), id, origin)
	s.journal.add(id, origin)
}

// maxStreamReads is the number of reads for a stream that is taken up. One that began at another
// node less than a write interval ago is not written yet at the first.
const maxStreamReads = 2

// find returns the version of a stream that a client takes up, or why it can't go on.
func (s *streamVersions) find(ctx context.Context, j *job) (softwareVersion, *ErrorResponse) {
	if v, ok := s.known(j, versionFromMemory); ok {
		return v, nil
	}
	var readErr error
	for reads := range maxStreamReads {
		if reads > 0 && !wait.Sleep(ctx, min(s.writeInterval(), time.Until(j.startDeadline())/4)) {
			break
		}
		readErr = s.read(ctx, func() bool { _, ok := s.known(j, versionFromStore); return ok })
		if v, ok := s.known(j, versionFromStore); ok {
			return v, nil
		}
	}
	if readErr != nil {
		return softwareVersion{}, newErrorResponse(fault.NoReplica, defaultRetryAfter, "the software version that began the stream could not be read")
	}
	return softwareVersion{}, newErrorResponse(fault.NoReplica, 0, "the software version that began the stream is not known")
}

// known returns the version of a stream by what this node has in memory. source is where that
// comes from.
func (s *streamVersions) known(j *job, source string) (softwareVersion, bool) {
	now := time.Now()
	if o, ok := s.ledger.Get(now, text(j.Resumes)); ok && o.Service == j.service && j.Resumes != "" {
		return softwareVersion{true, o.Version, source}, true
	}
	if version, ok := s.history.Only(now, j.service); ok {
		return softwareVersion{true, version, versionIsTheOnly}, true
	}
	return softwareVersion{}, false
}

// read reads what the key-value service has about streams, or the other nodes if it doesn't
// respond, one after the other until enough returns true. Calls at the same time share a read.
func (s *streamVersions) read(ctx context.Context, enough func() bool) error {
	s.mu.Lock()
	if reading := s.reading; reading != nil {
		s.mu.Unlock()
		select {
		case <-reading:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	done := make(chan struct{})
	s.reading = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reading = nil
		close(done)
	}()
	ctx, cancel := context.WithTimeout(ctx, streamReadTimeout)
	defer cancel()
	entries, _, err := s.node.store.List(ctx, streamKeyPrefix)
	if err == nil {
		stored := s.merge(entries)
		s.history.Include(time.Now(), stored.versions)
		return nil
	}
	_, _, answered := s.node.links.requestSnapshot(s.node.ctx, streamKeyPrefix, func(entries []kv.Entry) bool {
		if stored := s.merge(entries); stored.versions != nil {
			s.history.Include(time.Now(), stored.versions)
		}
		return enough()
	})
	if answered {
		return nil
	}
	return err
}

// merge records the streams in entries, and returns what they hold.
func (s *streamVersions) merge(entries []kv.Entry) storedStreams {
	stored, now := decodeStreams(entries, s.node.logInvalidEntry), time.Now()
	for id, o := range stored.origins {
		s.ledger.Put(now, id, o)
	}
	return stored
}

// snapshot returns what this node knows about streams as entries, for nodes to which the
// key-value service does not respond. Without the versions of a whole life, it leaves them out.
func (s *streamVersions) snapshot() []kv.Entry {
	now := time.Now()
	versions, origins := s.history.All(now), map[string]streams.Origin{}
	for service, list := range versions {
		if len(list) > 1 {
			maps.Copy(origins, s.ledger.Of(now, service))
		}
	}
	entries := []kv.Entry{{Key: streamKey(s.node.self.Incarnation, 0), Value: encodeStreams(origins)}}
	if s.history.Complete(now) {
		entries = append(entries, kv.Entry{Key: streamVersionKey, Value: encodeVersions(versions)})
	}
	return entries
}

// resolveVersion finds the version of a stream that a client takes up, unless it is known. It
// refuses the request if the stream can go on at no target.
func (n *Node) resolveVersion(ctx context.Context, j *job) *ErrorResponse {
	if j.resumeAfter == "" || !j.engine {
		return nil
	}
	if !j.version.known {
		v, refusal := n.streams.find(ctx, j)
		if refusal != nil {
			return refusal
		}
		j.version = v
	}
	serves := func(t *inventory.Target) bool { return !t.Draining && j.version.allows(t) }
	if !slices.ContainsFunc(n.targetSet.Load().Service(j.service), serves) {
		return newErrorResponse(fault.NoReplica, 0, "no target has the software version %q, which began the stream", j.version.name)
	}
	return nil
}
