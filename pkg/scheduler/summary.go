// Package scheduler decides, for the targets of one availability zone, which
// request runs where, and which model is loaded or unloaded next. It does no
// I/O and reads no clock: the owner of the zone passes in requests, reports and
// the time, and carries out the actions that Step returns.
package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Summary describes the models of the zone to other nodes.
type Summary struct {
	// Loaded lists the models that are loaded, being loaded or planned to be
	// loaded, by service. Full lists those of them that have no free slot and no
	// load planned or in progress. The lists are sorted by name.
	Loaded, Full map[string][]string
	// Backlog is the number of models that requests wait for and that are neither
	// loaded, being loaded nor planned to be loaded at a healthy target.
	Backlog int
	// WeightStoreLoads is the number of loads from the weight store in this zone,
	// including those that may be in progress.
	WeightStoreLoads int
}

// Summary returns a summary of the zone's models.
func (s *Scheduler) Summary(now time.Time) Summary {
	s.indexTargets()
	out := Summary{Loaded: map[string][]string{}, Full: map[string][]string{}, WeightStoreLoads: s.StoreLoads()}
	for _, k := range s.models() {
		st := s.modelState(now, k)
		if st.ready == 0 && st.loading == 0 {
			continue
		}
		out.Loaded[k.service] = append(out.Loaded[k.service], k.model)
		if st.loading == 0 && !s.hasFreeSlot(now, k) {
			out.Full[k.service] = append(out.Full[k.service], k.model)
		}
	}
	waits := map[modelKey]bool{}
	for k := range s.queues {
		if st := s.modelState(now, k.modelKey()); st.ready == 0 && st.loading == 0 {
			waits[k.modelKey()] = true
		}
	}
	out.Backlog = len(waits)
	return out
}

// models returns the models in targetsByModel, sorted by service and model.
func (s *Scheduler) models() []modelKey {
	keys := make([]modelKey, 0, len(s.targetsByModel))
	for k := range s.targetsByModel {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b modelKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
	return keys
}
