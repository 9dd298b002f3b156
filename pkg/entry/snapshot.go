package entry

import (
	"context"
	"iter"
	"maps"
	"slices"
	"sync"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/streamversions"
	"almondturn/wire"
)

// entryCopy is a copy of the entries below a prefix, for nodes that start while
// the key-value service is unavailable. Its methods may be called concurrently.
type entryCopy struct {
	mu sync.Mutex // guards all below
	// available is true once the entries were read.
	available bool
	entries   map[string]kv.Entry
}

// reset replaces all entries.
func (s *entryCopy) reset(entries []kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.available, s.entries = true, make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		s.entries[e.Key] = e
	}
}

// apply applies changes to the entries.
func (s *entryCopy) apply(events []kv.WatchEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(s.entries, e.Entry.Key)
			continue
		}
		s.entries[e.Entry.Key] = e.Entry
	}
}

// get returns a copy of the entries; ok is false if they were never read.
func (s *entryCopy) get() (entries map[string]kv.Entry, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.entries), s.available
}

// serveSnapshot responds to a request of another node for the entries below a
// prefix. While snapshotLimiter admits none, the response has Available false.
func (n *Node) serveSnapshot(m *wire.SnapshotRequest) *wire.Snapshot {
	release, ok := n.snapshotLimiter.TryAcquire()
	if !ok {
		return new(wire.Snapshot)
	}
	out := n.buildSnapshot(m)
	size := 0
	for _, e := range out.Entries {
		size += len(e.Key) + len(e.Value)
	}
	release(size)
	return out
}

// buildSnapshot returns the entries below the prefix of a watch: those of the
// configuration in force, for the other watches those last read, and what this node knows about
// streams. The response
// has Available false if no watch has the prefix or the entries were never read.
func (n *Node) buildSnapshot(m *wire.SnapshotRequest) *wire.Snapshot {
	if m.Prefix == streamversions.KeyPrefix {
		return snapshotOf(slices.Values(n.streams.Snapshot()), true)
	}
	for _, w := range n.watches {
		if w.prefix != m.Prefix {
			continue
		}
		entries, ok := w.entryCopy.get()
		if w == n.configurationWatch {
			entries, ok = n.configurationInForce.get()
		}
		return snapshotOf(maps.Values(entries), ok)
	}
	return new(wire.Snapshot)
}

// snapshotOf returns entries as a response.
func snapshotOf(entries iter.Seq[kv.Entry], available bool) *wire.Snapshot {
	out := &wire.Snapshot{Available: available}
	for e := range entries {
		out.Entries = append(out.Entries, wire.EntryChange{Key: e.Key, Value: e.Value, Revision: uint64(e.ModRevision)})
	}
	return out
}

// copyFromPeer copies the entries from another node if this one has never read
// them. They stay in force until the key-value service responds.
func (w *watch) copyFromPeer(ctx context.Context) {
	if _, available := w.entryCopy.get(); available {
		return
	}
	entries, from, ok := w.node.links.requestSnapshot(ctx, w.prefix, anyEntries)
	if !ok {
		return // the next failed call repeats it
	}
	w.entryCopy.reset(entries)
	w.onList(entries, latestRevision(slices.Values(entries)))
	event.StoreBorrowed.Log(w.node.log).Str("prefix", w.prefix).Str("from", from).Int("entries", len(entries)).Send()
}

// latestRevision returns the highest revision of the entries. The removal of an entry
// does not raise it.
func latestRevision(entries iter.Seq[kv.Entry]) kv.Revision {
	latest := kv.Revision(0)
	for e := range entries {
		latest = max(latest, e.ModRevision)
	}
	return latest
}

// anyEntries accepts the entries of any node.
func anyEntries([]kv.Entry) bool { return true }

// requestSnapshot requests the entries below a prefix from the connected nodes,
// and then from a seed, until accept returns true. from is the ID of that node. All
// requests together take at most linkSilenceTimeout, after which the connection
// to an unresponsive node is closed anyway.
func (l *links) requestSnapshot(ctx context.Context, prefix string, accept func([]kv.Entry) bool) (entries []kv.Entry, from string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, linkSilenceTimeout)
	defer cancel()
	for _, conns := range []func() []*wire.Conn{l.peerConns, func() []*wire.Conn { return l.dialSeeds(ctx) }} {
		for _, c := range conns() {
			if entries, ok := requestSnapshotFrom(ctx, c, prefix); ok && accept(entries) {
				return entries, string(c.Peer().ID), true
			}
		}
	}
	return nil, "", false
}

// requestSnapshotFrom requests the entries below a prefix from one node.
func requestSnapshotFrom(ctx context.Context, c *wire.Conn, prefix string) ([]kv.Entry, bool) {
	resp, err := c.Call(ctx, &wire.SnapshotRequest{Prefix: prefix})
	if err != nil {
		return nil, false // another node may have the entries
	}
	s, ok := resp.(*wire.Snapshot)
	if !ok || !s.Available {
		return nil, false
	}
	entries := make([]kv.Entry, len(s.Entries))
	for i, e := range s.Entries {
		entries[i] = kv.Entry{Key: e.Key, Value: e.Value, ModRevision: kv.Revision(e.Revision)}
	}
	return entries, true
}
