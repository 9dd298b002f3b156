package wire

import (
	"slices"

	"almondturn/fleet"
)

// ZoneState is the state of a zone that its owner sends to all nodes: to each
// node that connects, and to all at regular intervals. In between, the owner
// sends ZoneChange.
type ZoneState struct {
	Zone fleet.Zone `cbor:"1,keyasint"`
	// Token is the fencing token of the owner; a state with a higher one
	// supersedes this one.
	Token uint64 `cbor:"2,keyasint"`
	// Loaded lists the models that are loaded, loading or planned to be
	// loaded, per service, sorted by name.
	Loaded map[string][]string `cbor:"3,keyasint,omitempty"`
	// OrdersAfterMillis is the time until the owner may send orders: 0 if it
	// may send them now, an estimate if its authority has ended.
	OrdersAfterMillis int64 `cbor:"4,keyasint,omitempty"`
	// ConfigurationVersion is the newest configuration version that the owner
	// has.
	ConfigurationVersion int64 `cbor:"6,keyasint,omitempty"`
	// Full lists the models of Loaded whose replicas have no free slot and of
	// which no further replica is loading or planned.
	Full map[string][]string `cbor:"7,keyasint,omitempty"`
	// Backlog is the number of models for which requests wait and which are
	// neither loaded, loading nor planned to be loaded.
	Backlog int `cbor:"8,keyasint,omitempty"`
	// Resigned is true if the sender has resigned, so that peer leases granted
	// to it end.
	Resigned bool `cbor:"9,keyasint,omitempty"`
	// NodeCount is the number of nodes that are or were recently connected to
	// the owner, including itself. Key 5 belonged to their list.
	NodeCount int `cbor:"10,keyasint,omitempty"`
	// Sequence is the number of this state in the sequence of one owner's
	// states.
	Sequence uint64 `cbor:"11,keyasint,omitempty"`
	// WeightStoreLoads is the number of the zone's loads from the weight store
	// in progress.
	WeightStoreLoads int `cbor:"12,keyasint,omitempty"`
}

// ZoneChange is the difference between a zone state and the one with the
// previous sequence number.
type ZoneChange struct {
	Zone     fleet.Zone `cbor:"1,keyasint"`
	Token    uint64     `cbor:"2,keyasint"`
	Sequence uint64     `cbor:"3,keyasint"`
	// Loaded and Full are the models to add to the lists of the same names in
	// ZoneState, Unloaded and NoLongerFull those to remove from Loaded and
	// from Full.
	Loaded       map[string][]string `cbor:"4,keyasint,omitempty"`
	Unloaded     map[string][]string `cbor:"5,keyasint,omitempty"`
	Full         map[string][]string `cbor:"6,keyasint,omitempty"`
	NoLongerFull map[string][]string `cbor:"7,keyasint,omitempty"`
	// The other fields are those of the new ZoneState.
	OrdersAfterMillis    int64 `cbor:"8,keyasint,omitempty"`
	ConfigurationVersion int64 `cbor:"9,keyasint,omitempty"`
	Backlog              int   `cbor:"10,keyasint,omitempty"`
	NodeCount            int   `cbor:"11,keyasint,omitempty"`
	WeightStoreLoads     int   `cbor:"12,keyasint,omitempty"`
}

// Type implements Message.
func (*ZoneState) Type() Type { return TypeZoneState }

// Type implements Message.
func (*ZoneChange) Type() Type { return TypeZoneChange }

// ChangeTo returns the change from s to the next state of the same owner.
func (s *ZoneState) ChangeTo(next *ZoneState) *ZoneChange {
	return &ZoneChange{
		Zone: next.Zone, Token: next.Token, Sequence: next.Sequence,
		Loaded: difference(next.Loaded, s.Loaded), Unloaded: difference(s.Loaded, next.Loaded),
		Full: difference(next.Full, s.Full), NoLongerFull: difference(s.Full, next.Full),
		OrdersAfterMillis: next.OrdersAfterMillis, ConfigurationVersion: next.ConfigurationVersion,
		Backlog: next.Backlog, NodeCount: next.NodeCount, WeightStoreLoads: next.WeightStoreLoads,
	}
}

// Apply returns the state after a change. ok is false if the change does not
// follow s directly or s is nil.
func (s *ZoneState) Apply(c *ZoneChange) (next *ZoneState, ok bool) {
	if s == nil || s.Token != c.Token || s.Sequence+1 != c.Sequence {
		return nil, false
	}
	return &ZoneState{
		Zone: c.Zone, Token: c.Token, Sequence: c.Sequence,
		Loaded: union(difference(s.Loaded, c.Unloaded), c.Loaded), Full: union(difference(s.Full, c.NoLongerFull), c.Full),
		OrdersAfterMillis: c.OrdersAfterMillis, ConfigurationVersion: c.ConfigurationVersion,
		Backlog: c.Backlog, NodeCount: c.NodeCount, WeightStoreLoads: c.WeightStoreLoads,
	}, true
}

// difference returns the models of a that are not in b, per service. The
// models of each service in b must be sorted.
func difference(a, b map[string][]string) map[string][]string {
	out := map[string][]string{}
	for service, models := range a {
		remaining := slices.DeleteFunc(slices.Clone(models), func(m string) bool {
			_, found := slices.BinarySearch(b[service], m)
			return found
		})
		if len(remaining) > 0 {
			out[service] = remaining
		}
	}
	return out
}

// union adds the models of b to a, per service and sorted, and returns a.
func union(a, b map[string][]string) map[string][]string {
	for service, models := range b {
		a[service] = append(a[service], models...)
		slices.Sort(a[service])
	}
	return a
}
