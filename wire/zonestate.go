package wire

import (
	"slices"

	"almondturn/fleet"
)

// ZoneState is what an owner tells all nodes of its zone: a node that connects
// gets it, and all get it now and then. In between, ZoneChange tells what is new.
type ZoneState struct {
	Zone fleet.Zone `cbor:"1,keyasint"`
	// Token is the fencing token of the owner; a higher one supersedes.
	Token uint64 `cbor:"2,keyasint"`
	// Loaded lists the models that are loaded or being loaded, per service, in order.
	Loaded map[string][]string `cbor:"3,keyasint,omitempty"`
	// OrdersAfterMillis is the time until the owner may order loads.
	OrdersAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	// ConfigurationVersion is the newest one that the owner knows of.
	ConfigurationVersion int64 `cbor:"6,keyasint,omitempty"`
	// Full lists the models of Loaded whose replicas have no room.
	Full map[string][]string `cbor:"7,keyasint,omitempty"`
	// Backlog is the number of models that requests wait for and that are
	// not being loaded yet.
	Backlog int `cbor:"8,keyasint,omitempty"`
	// Resigned tells that the sender has given the zone up, so that promises
	// made to it no longer hold anybody back.
	Resigned bool `cbor:"9,keyasint,omitempty"`
	// NodeCount is the number of entry nodes that the owner has lately been
	// connected to, with itself. Field 5 was their list.
	NodeCount int `cbor:"10,keyasint,omitempty"`
	// Sequence counts the states of one owner.
	Sequence uint64 `cbor:"11,keyasint,omitempty"`
	// StoreLoads is the number of loads from the weight store in progress.
	StoreLoads int `cbor:"12,keyasint,omitempty"`
}

// ZoneChange tells what has changed since the callState with the number before.
type ZoneChange struct {
	Zone     fleet.Zone `cbor:"1,keyasint"`
	Token    uint64     `cbor:"2,keyasint"`
	Sequence uint64     `cbor:"3,keyasint"`
	// Loaded and Unloaded are the models that came and went, Full and NoLongerFull
	// those whose replicas have no room now, and those that have room again.
	Loaded       map[string][]string `cbor:"4,keyasint,omitempty"`
	Unloaded     map[string][]string `cbor:"5,keyasint,omitempty"`
	Full         map[string][]string `cbor:"6,keyasint,omitempty"`
	NoLongerFull map[string][]string `cbor:"7,keyasint,omitempty"`
	// The rest is as in ZoneState.
	OrdersAfterMillis    int64 `cbor:"8,keyasint,omitempty"`
	ConfigurationVersion int64 `cbor:"9,keyasint,omitempty"`
	Backlog              int   `cbor:"10,keyasint,omitempty"`
	NodeCount            int   `cbor:"11,keyasint,omitempty"`
	StoreLoads           int   `cbor:"12,keyasint,omitempty"`
}

// Type implements Message.
func (*ZoneState) Type() Type { return TypeZoneState }

// Type implements Message.
func (*ZoneChange) Type() Type { return TypeZoneChange }

// ChangeTo returns what leads from s to the next callState of the same owner.
func (s *ZoneState) ChangeTo(next *ZoneState) *ZoneChange {
	return &ZoneChange{
		Zone: next.Zone, Token: next.Token, Sequence: next.Sequence,
		Loaded: difference(next.Loaded, s.Loaded), Unloaded: difference(s.Loaded, next.Loaded),
		Full: difference(next.Full, s.Full), NoLongerFull: difference(s.Full, next.Full),
		OrdersAfterMillis: next.OrdersAfterMillis, ConfigurationVersion: next.ConfigurationVersion,
		Backlog: next.Backlog, NodeCount: next.NodeCount, StoreLoads: next.StoreLoads,
	}
}

// Apply returns the callState after a change; ok is false when the change does not
// follow on s, which may be nil.
func (s *ZoneState) Apply(c *ZoneChange) (next *ZoneState, ok bool) {
	if s == nil || s.Token != c.Token || s.Sequence+1 != c.Sequence {
		return nil, false
	}
	return &ZoneState{
		Zone: c.Zone, Token: c.Token, Sequence: c.Sequence,
		Loaded: union(difference(s.Loaded, c.Unloaded), c.Loaded), Full: union(difference(s.Full, c.NoLongerFull), c.Full),
		OrdersAfterMillis: c.OrdersAfterMillis, ConfigurationVersion: c.ConfigurationVersion,
		Backlog: c.Backlog, NodeCount: c.NodeCount, StoreLoads: c.StoreLoads,
	}, true
}

// difference returns the models of a that are not in b, per service.
func difference(a, b map[string][]string) map[string][]string {
	out := map[string][]string{}
	for service, models := range a {
		rest := slices.DeleteFunc(slices.Clone(models), func(m string) bool {
			_, found := slices.BinarySearch(b[service], m)
			return found
		})
		if len(rest) > 0 {
			out[service] = rest
		}
	}
	return out
}

// union returns the models of a and b, per service, in order.
func union(a, b map[string][]string) map[string][]string {
	for service, models := range b {
		a[service] = append(a[service], models...)
		slices.Sort(a[service])
	}
	return a
}
