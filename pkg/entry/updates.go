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

// replaceOwners updates the owners of all zones, and the stored evidence about requests that
// crash targets, from a complete list.
func (n *Node) replaceOwners(entries []kv.Entry, _ kv.Revision) {
	n.guard.replaceStored(entries)
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

// applyOwnerChanges applies changes to the owners of the zones and the stored evidence.
func (n *Node) applyOwnerChanges(events []kv.WatchEvent) {
	for _, e := range events {
		zone, ok := zoneOfOwnerKey(e.Entry.Key)
		switch {
		case isSuspectKey(e.Entry.Key):
			n.guard.applyStored(e)
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
