package entry

import (
	"maps"
	"slices"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/wait"
)

// replaceConfiguration replaces the entries of the configuration by a complete
// list, which was read at a revision.
func (n *Node) replaceConfiguration(entries []kv.Entry, revision kv.Revision) {
	n.observeRestoredConfiguration(entries, revision.Era())
	n.configurationEntries = entriesByKey(entries)
	n.applyConfiguration()
	if n.announcedVersion.Load() > n.version() {
		n.copyNewerConfiguration()
		n.observeRestoredConfiguration(entries, revision.Era())
	}
}

// entriesByKey returns the entries by key.
func entriesByKey(entries []kv.Entry) map[string]kv.Entry {
	out := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		out[e.Key] = e
	}
	return out
}

// applyConfigurationChanges applies changes to the entries of the
// configuration.
func (n *Node) applyConfigurationChanges(events []kv.WatchEvent) {
	for _, e := range events {
		if e.Deleted {
			delete(n.configurationEntries, e.Entry.Key)
			continue
		}
		n.configurationEntries[e.Entry.Key] = e.Entry
	}
	n.applyConfiguration()
}

// applyConfiguration puts the configuration of the key-value service in force,
// unless the one in force has the same or a later revision, or the service came back
// with an older version.
func (n *Node) applyConfiguration() {
	current := n.table.Load()
	if current != nil && latestRevision(maps.Values(n.configurationEntries)) <= current.Revision {
		return
	}
	n.considerConfiguration(n.configurationEntries)
}

// considerConfiguration decodes entries and puts the configuration in force if it
// supersedes the current one. An invalid one is logged and ignored.
func (n *Node) considerConfiguration(entries map[string]kv.Entry) {
	t, err := n.decoder.Configuration(entries)
	if err != nil {
		event.ConfigurationInvalid.Log(n.log).Err(err).Send()
		return
	}
	if t == nil {
		return
	}
	current := n.table.Load()
	if !t.Supersedes(current) {
		n.logKeptConfiguration(current, t)
		return
	}
	n.configurationInForce.reset(slices.Collect(maps.Values(entries)))
	n.putInForce(t)
}

// putInForce replaces the configuration in force.
func (n *Node) putInForce(t *route.Table) {
	current := n.table.Swap(t)
	n.tableSetAfter.Store(int64(time.Since(n.started)))
	n.owner.SetServices(t)
	n.streams.Configure(t, n.targetSet.Load())
	if current == nil || !maps.Equal(current.Drained, t.Drained) {
		n.republishTargets()
	}
	n.links.sendNodeState()
	event.ConfigurationInForce.Log(n.log).Int64("version", t.Version).
		Uint64("era", uint64(t.Revision.Era())).Uint64("revision", t.Revision.Counter()).Send()
	for r := range t.Routes() {
		n.metrics.addCuts(r.Name)
	}
	n.updateReady()
}

// logKeptConfiguration logs, once per revision, that the key-value service holds an
// older version than the one that stays in force.
func (n *Node) logKeptConfiguration(inForce, stored *route.Table) {
	if stored.Revision <= max(inForce.Revision, n.keptRevision) {
		return
	}
	n.keptRevision = stored.Revision
	event.ConfigurationKept.Log(n.log).Int64("version", inForce.Version).
		Uint64("era", uint64(inForce.Revision.Era())).Uint64("revision", inForce.Revision.Counter()).
		Int64("stored_version", stored.Version).
		Uint64("stored_era", uint64(stored.Revision.Era())).Uint64("stored_revision", stored.Revision.Counter()).Send()
}

// observeVersion fetches the configuration if another node has a version that
// is newer.
func (n *Node) observeVersion(version int64) {
	if version <= n.version() {
		return
	}
	for {
		announced := n.announcedVersion.Load()
		if version <= announced || n.announcedVersion.CompareAndSwap(announced, version) {
			break
		}
	}
	n.configurationWatch.relist()
}

// copyNewerConfiguration copies the configuration from another node that has a newer
// version than the key-value service: the service came back from an older copy, and
// this node has started since. Without one, it waits, and the next attempt needs another
// announcement: operators may have replaced the announced version by a lower one.
func (n *Node) copyNewerConfiguration() {
	wanted := n.announcedVersion.Load()
	_, from, ok := n.links.requestSnapshot(n.ctx, n.configurationWatch.prefix, func(entries []kv.Entry) bool {
		n.considerConfiguration(entriesByKey(entries))
		return n.version() >= wanted
	})
	if !ok {
		n.announcedVersion.CompareAndSwap(wanted, 0)
		wait.Sleep(n.ctx, watchRetryDelay)
		return
	}
	event.StoreBorrowed.Log(n.log).Str("prefix", n.configurationWatch.prefix).Str("from", from).Int64("version", n.version()).Send()
}

// configurationAge returns how long the configuration has been in force, 0 if
// there is none.
func (n *Node) configurationAge() time.Duration {
	since := n.tableSetAfter.Load()
	if since == 0 {
		return 0
	}
	return time.Since(n.started) - time.Duration(since)
}

// version is the version of the configuration in force, 0 if there is none.
func (n *Node) version() int64 {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Version returns the version of the configuration in force, 0 if there is
// none. It is version for other packages.
func (n *Node) Version() int64 { return n.version() }
