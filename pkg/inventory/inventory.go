// Package inventory holds what the targets report about themselves: their
// address and availability zone, the models they have loaded, and the models
// whose weights they have a local copy of.
package inventory

import (
	"errors"
	"slices"
	"strings"
	"time"

	"almondturn/fleet"
)

// LoadedModel is a model in a target's accelerator memory.
type LoadedModel struct {
	Name    string
	Version int
	// Adapters holds the names of the adapters loaded for the model.
	Adapters []string
}

// Target describes a target as it was last registered. The models may come from
// a later report, and Draining may be set because operators drain the target.
type Target struct {
	ID      string
	Service string
	// Addr is the host:port that accepts requests.
	Addr string
	Zone fleet.Zone
	// SoftwareVersion names the version of the target's software. Versions have no order.
	SoftwareVersion string
	// Incarnation changes whenever the target restarts.
	Incarnation int64
	// Sequence is the number of orders that the target had accepted in this
	// incarnation when it registered.
	Sequence uint64
	// Draining is true if the target must get no new requests.
	Draining bool
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Models holds the loaded models; nil for a plain service.
	Models []LoadedModel
	// InMemory and OnDisk name the models whose weights the target has a copy
	// of in main memory and on its disk.
	InMemory, OnDisk []string
}

// HasLoaded reports whether the target has loaded the model, and also the adapter
// unless adapter is empty.
func (t *Target) HasLoaded(model, adapter string) bool {
	for _, m := range t.Models {
		if m.Name == model {
			return adapter == "" || slices.Contains(m.Adapters, adapter)
		}
	}
	return false
}

// HasCopy reports whether the target has a copy of the model's weights in main
// memory or on its disk.
func (t *Target) HasCopy(model string) bool {
	return slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model)
}

// TargetSet is an immutable set of targets, indexed by identifier and service.
type TargetSet struct {
	byID      map[string]*Target
	byService map[string][]*Target
}

// NewTargetSet returns a set of the targets. Those of a service are sorted by
// identifier.
func NewTargetSet(targets []*Target) *TargetSet {
	s := &TargetSet{byID: make(map[string]*Target, len(targets)), byService: map[string][]*Target{}}
	for _, t := range targets {
		s.byID[t.ID] = t
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}

// Target returns the target with the identifier, nil if there is none.
func (s *TargetSet) Target(id string) *Target { return s.byID[id] }

// Service returns the targets of a service, sorted by identifier. The caller
// must not change the slice.
func (s *TargetSet) Service(name string) []*Target { return s.byService[name] }

// ForEach calls f for every target: the services in no particular order, the
// targets of a service sorted by identifier.
func (s *TargetSet) ForEach(f func(*Target)) {
	for _, list := range s.byService {
		for _, t := range list {
			f(t)
		}
	}
}

// ErrOtherTarget is the error of a state query that another target has answered, because
// the one that was queried has gone and its address is in use again.
var ErrOtherTarget = errors.New("another target has the address")

// Report is the response of a target to a state query. The state in it may be
// some hundred milliseconds old; MaxAge is the bound, where one is known.
type Report struct {
	Incarnation int64
	Models      []LoadedModel
	// AdaptersLoading names the adapters that are being loaded, as
	// MODEL/NAME@VERSION.
	AdaptersLoading []string
	// Sequence is the number of orders that the target has accepted.
	Sequence uint64
	// OrderInProgress reports whether the target is executing an order.
	OrderInProgress bool
	// Running and Waiting are the numbers of requests that run and that wait
	// for a slot at the target.
	Running, Waiting int
	// Runs holds the numbers of events that the runs in progress have made, by the
	// identifiers of their requests; nil if the report does not list the runs.
	Runs map[string]int
	// InMemory and OnDisk are as in Target.
	InMemory, OnDisk []string
	// MaxAge is the maximum age of the state; 0 if no bound is known, as in the
	// platform's reports.
	MaxAge time.Duration
}

// SplitAdapter returns the model and the name of an adapter that is given as
// MODEL/NAME@VERSION. ok is false if the text has another form.
func SplitAdapter(text string) (model, name string, ok bool) {
	at, slash := strings.LastIndexByte(text, '@'), strings.LastIndexByte(text, '/')
	if slash <= 0 || at <= slash+1 {
		return "", "", false
	}
	return text[:slash], text[slash+1 : at], true
}
