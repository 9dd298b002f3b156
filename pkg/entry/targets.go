package entry

import (
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
)

// replaceTargets replaces the list of targets by a complete list, which was read at a
// revision.
func (n *Node) replaceTargets(entries []kv.Entry, revision kv.Revision) {
	list := make(map[string]inventory.Registration, len(entries))
	for _, e := range entries {
		list[e.Key] = n.registration(e)
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	n.streams.ListReplaced()
	kept := n.directory.Replace(time.Now(), revision.Era(), list)
	if kept != (inventory.RestoreSummary{}) {
		event.TargetsKept.Log(n.log).Uint64("era", uint64(revision.Era())).Uint64("revision", revision.Counter()).
			Int("listed", len(list)).Int("older", kept.Older).Int("absent", kept.Absent).Int("removed", kept.Removed).Send()
		n.scheduleExpiry()
	}
	n.publishTargets()
}

// scheduleExpiry calls expireTargets when the directory has something to expire.
// n.targetsMu must be held.
func (n *Node) scheduleExpiry() {
	if next := n.directory.NextExpiry(); !next.IsZero() {
		time.AfterFunc(time.Until(next), n.expireTargets)
	}
}

// expireTargets ends what the directory has kept for its time.
func (n *Node) expireTargets() {
	if n.ctx.Err() != nil {
		return
	}
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if n.directory.Expire(time.Now()) {
		n.publishTargets()
	}
	n.scheduleExpiry()
}

// applyTargetChanges applies changes to the list of targets.
func (n *Node) applyTargetChanges(events []kv.WatchEvent) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	var put []*inventory.Target
	for _, e := range events {
		if e.Deleted {
			n.directory.Delete(time.Now(), e.Entry.Key)
			continue
		}
		r := n.registration(e.Entry)
		n.directory.Put(e.Entry.Key, r)
		if r.Target != nil {
			put = append(put, r.Target)
		}
	}
	n.streams.ObserveChanges(put)
	n.publishTargets()
}

// registration decodes the entry of a target. An invalid one is logged, and names no
// target.
func (n *Node) registration(e kv.Entry) inventory.Registration {
	t, err := n.decoder.Target(e.Key, e.Value)
	if err != nil {
		n.logInvalidEntry(e.Key, err)
		return inventory.Registration{Revision: e.ModRevision}
	}
	return inventory.Registration{Revision: e.ModRevision, Target: t}
}

// logInvalidEntry logs an entry that can't be decoded, within the bounds of
// package loglimit.
func (n *Node) logInvalidEntry(key string, err error) {
	if suppressed, ok := n.invalidEntries.Admit(time.Now(), key); ok {
		event.TargetEntryInvalid.Log(n.log).Str("key", key).Int("suppressed", suppressed).Err(err).Send()
	}
}

// republishTargets publishes the list of targets again, if there is one, after
// operators have drained or undrained a target, or one has said that it leaves.
func (n *Node) republishTargets() {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if n.targetSet.Load() != nil {
		n.publishTargets()
	}
}

// withDraining returns the target, or a copy marked as draining if operators have
// drained it or it has said that it leaves.
func (n *Node) withDraining(t *inventory.Target) *inventory.Target {
	table := n.table.Load()
	drained := table != nil && table.Drained[t.ID]
	if t.Draining || !drained && !n.notices.State(noticeKey(t)).Leaving {
		return t
	}
	draining := *t
	draining.Draining = true
	return &draining
}

// publishTargets puts the list of targets in force and logs the differences.
// n.targetsMu must be held.
func (n *Node) publishTargets() {
	list := n.directory.Targets()
	for i, t := range list {
		list[i] = n.withDraining(t)
	}
	before := n.targetSet.Load()
	after := inventory.NewTargetSet(list)
	n.streams.Observe(after)
	n.targetSet.Store(after)
	n.owner.SetTargets(after)
	n.logTargetChanges(before, after)
	n.updateReady()
}

// logTargetChanges logs the targets that started, began to drain or were
// removed between two lists, and discards the connections and usage of removed
// ones. before is nil for the first list.
func (n *Node) logTargetChanges(before, after *inventory.TargetSet) {
	if before == nil {
		before = inventory.NewTargetSet(nil)
	}
	after.ForEach(func(t *inventory.Target) {
		previous := before.Target(t.ID)
		switch {
		case previous == nil || previous.Incarnation != t.Incarnation:
			event.TargetStarted.Log(n.log).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Str("version", t.SoftwareVersion).Send()
		case t.Draining && !previous.Draining:
			event.TargetDraining.Log(n.log).Str("target", t.ID).Send()
		}
	})
	before.ForEach(func(t *inventory.Target) {
		if after.Target(t.ID) == nil {
			event.TargetGone.Log(n.log).Str("target", t.ID).Send()
			n.pool.CloseIdle(t.Addr)
			n.usages.remove(t.ID)
		}
	})
}
