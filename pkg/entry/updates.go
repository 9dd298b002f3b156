package entry

import (
	"encoding/json"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/route"
	"almondturn/pkg/zoneowner"
)

// Decoder decodes the entries that the platform stores in its key-value
// service.
type Decoder struct {
	// ConfigurationPrefix and TargetPrefix are the prefixes of the keys of the
	// configuration and of the targets.
	ConfigurationPrefix, TargetPrefix string
	// Configuration decodes the entries of the configuration, by key. It
	// returns nil if they do not contain a complete one yet.
	Configuration func(entries map[string]kv.Entry) (*route.Table, error)
	// Target decodes the entry of a target.
	Target func(key string, value []byte) (*inventory.Target, error)
}

// replaceTargets replaces the list of targets by a complete list.
func (n *Node) replaceTargets(entries []kv.Entry) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	n.targetsByKey = make(map[string]*inventory.Target, len(entries))
	for _, e := range entries {
		n.setTarget(e)
	}
	n.publishTargets()
}

// applyTargetChanges applies changes to the list of targets.
func (n *Node) applyTargetChanges(events []kv.WatchEvent) {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(n.targetsByKey, e.Entry.Key)
			continue
		}
		n.setTarget(e.Entry)
	}
	n.publishTargets()
}

// republishTargets publishes the list of targets again, if there is one, after
// operators have drained or undrained a target.
func (n *Node) republishTargets() {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	if n.targetSet.Load() != nil {
		n.publishTargets()
	}
}

// withOperatorDrain returns the target, or a copy marked as draining if
// operators have drained it.
func (n *Node) withOperatorDrain(t *inventory.Target) *inventory.Target {
	table := n.table.Load()
	if table == nil || !table.Drained[t.ID] || t.Draining {
		return t
	}
	draining := *t
	draining.Draining = true
	return &draining
}

// setTarget decodes and records the entry of a target. An invalid entry is
// logged, and removes the target. n.targetsMu must be held.
func (n *Node) setTarget(e kv.Entry) {
	t, err := n.decoder.Target(e.Key, e.Value)
	if err != nil {
		delete(n.targetsByKey, e.Key)
		n.logInvalidEntry(e.Key, err)
		return
	}
	n.targetsByKey[e.Key] = t
}

// publishTargets puts the list of targets in force and logs the differences.
// n.targetsMu must be held.
func (n *Node) publishTargets() {
	list := make([]*inventory.Target, 0, len(n.targetsByKey))
	for _, t := range n.targetsByKey {
		list = append(list, n.withOperatorDrain(t))
	}
	before := n.targetSet.Load()
	after := inventory.NewTargetSet(list)
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
			event.TargetStarted.Log(n.log).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr).Send()
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

// replaceOwners updates the owners of all zones from a complete list.
func (n *Node) replaceOwners(entries []kv.Entry) {
	seen := map[fleet.Zone]bool{}
	for _, e := range entries {
		if e.Key == zoneowner.LastOwnerKey(n.settings.Zone) {
			n.owner.ObserveLastOwner(e.Value, e.ModRevision)
		}
		if zone, ok := zoneOfOwnerKey(e.Key); ok {
			seen[zone] = true
			n.setOwner(zone, e)
		}
	}
	for _, zone := range n.settings.Zones {
		if !seen[zone] {
			n.setOwner(zone, kv.Entry{})
		}
	}
}

// applyOwnerChanges applies changes to the owners of the zones.
func (n *Node) applyOwnerChanges(events []kv.WatchEvent) {
	for _, e := range events {
		zone, ok := zoneOfOwnerKey(e.Entry.Key)
		switch {
		case e.Entry.Key == zoneowner.LastOwnerKey(n.settings.Zone) && !e.Deleted:
			n.owner.ObserveLastOwner(e.Entry.Value, e.Entry.ModRevision)
		case !ok:
		case e.Deleted:
			n.setOwner(zone, kv.Entry{})
		default:
			n.setOwner(zone, e.Entry)
		}
	}
}

// setOwner records the owner of a zone. An entry without a key means that there
// is none; the link to the previous owner is kept then.
func (n *Node) setOwner(zone fleet.Zone, e kv.Entry) {
	var r zoneowner.OwnerRecord
	if e.Key != "" {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			n.logInvalidEntry(e.Key, err) // the event also covers owner records
			return
		}
	}
	if zone == n.settings.Zone {
		n.owner.ObserveKey(r, e.ModRevision)
	}
	if r.Addr != "" {
		event.ZoneOwnerChanged.Log(n.log).Str("zone", string(zone)).Str("owner", string(r.Node)).Uint64("token", uint64(r.Token(e.ModRevision))).Send()
		n.links.setOwner(zone, r, uint64(r.Token(e.ModRevision)))
	}
}

// zoneOfOwnerKey returns the zone whose owner is stored at key; ok is false for
// any other key.
func zoneOfOwnerKey(key string) (fleet.Zone, bool) {
	name, ok := strings.CutPrefix(key, zoneowner.KeyPrefix)
	if !ok {
		return "", false
	}
	zone, ok := strings.CutSuffix(name, "/owner")
	return fleet.Zone(zone), ok
}
