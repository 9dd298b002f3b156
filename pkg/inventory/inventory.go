// Package inventory holds what the targets say of themselves: where they
// are, what they have loaded, and which copies of weights they keep.
package inventory

import (
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
)

// LoadedModel is a model in a target's accelerator memory.
type LoadedModel struct {
	Name    string
	Version int
	// Adapters are the names of the adapters loaded on top of it.
	Adapters []string
}

// Target is what one target last said of itself.
type Target struct {
	ID      string
	Service string
	// Addr is the host:port that takes requests.
	Addr string
	Zone fleet.Zone
	// Incarnation tells the starts of a target apart.
	Incarnation int64
	// Draining targets take no new requests.
	Draining bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// Models is what is loaded; nil for a plain service.
	Models []LoadedModel
	// InMemory and OnDisk name the models of which the target keeps a copy
	// in main memory and on its disk.
	InMemory, OnDisk []string
}

// Has tells whether the model and, if one is named, the adapter are loaded.
func (t *Target) Has(model, adapter string) bool {
	for _, m := range t.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// HasCopy tells whether the target keeps a copy of the model's weights.
func (t *Target) HasCopy(model string) bool {
	return slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model)
}

// View is an immutable list of targets.
type View struct {
	byID      map[string]*Target
	byService map[string][]*Target
}

// NewView returns a view of the targets, in order of their identifiers.
func NewView(targets []*Target) *View {
	v := &View{byID: make(map[string]*Target, len(targets)), byService: map[string][]*Target{}}
	for _, t := range targets {
		v.byID[t.ID] = t
		v.byService[t.Service] = append(v.byService[t.Service], t)
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Target returns a target by its identifier, nil when it is not listed.
func (v *View) Target(id string) *Target { return v.byID[id] }

// Service returns the targets of a service.
func (v *View) Service(name string) []*Target { return v.byService[name] }

// All calls f for every target.
func (v *View) All(f func(*Target)) {
	for _, list := range v.byService {
		for _, t := range list {
			f(t)
		}
	}
}

// Report is the state that a target returns when it is asked directly. It
// may be some hundred milliseconds old.
type Report struct {
	Incarnation int64
	Models      []LoadedModel
	// AdaptersLoading are adapters on their way, as MODEL/NAME.
	AdaptersLoading []string
	// Sequence is the number of orders that the target has accepted.
	Sequence uint64
	// OrderInProgress tells that an order is being carried out.
	OrderInProgress  bool
	Running, Waiting int
	InMemory, OnDisk []string
	// MaxAge bounds how old the state may be.
	MaxAge time.Duration
}
