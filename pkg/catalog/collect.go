package catalog

import (
	"context"

	"almondturn/pkg/platform"
)

// findGarbage notes, every few changes, the team's chunks that neither the
// new head nor its history references. It lists them before the commit and
// cleanUp removes them after it, each only at the key revision listed here.
// A concurrent writer cannot lose a chunk: it read the head either before
// this commit, and then its own commit fails, or after it, and then it has
// written every chunk it relies on at a newer key revision.
func (w *write) findGarbage(ctx context.Context) error {
	if w.next.Revision%uint64(w.r.opts.CollectEvery) != 0 {
		return nil
	}
	entries, _, err := w.r.kv.List(ctx, chunkPrefix(w.c.Spec.Team))
	if err != nil {
		return platformFault(err)
	}
	keep := w.referenced(entries)
	for _, e := range entries {
		if !keep[e.Key] {
			w.stale = append(w.stale, e)
		}
	}
	return nil
}

// referenced returns the keys of the chunks that the new head needs.
func (w *write) referenced(entries []platform.Entry) map[string]bool {
	values := make(map[string][]byte, len(entries))
	for _, e := range entries {
		values[e.Key] = e.Value
	}
	team := w.c.Spec.Team
	keep := map[string]bool{}
	for _, d := range w.next.Chunks {
		keep[chunkKey(team, d)] = true
	}
	for _, past := range w.next.History {
		key := chunkKey(team, past.Manifest)
		keep[key] = true
		var p part
		if decMode.Unmarshal(values[key], &p) != nil {
			continue
		}
		for _, d := range p.Manifest {
			keep[chunkKey(team, d)] = true
		}
	}
	return keep
}

// cleanUp removes what was found unreferenced before the commit. What fails
// is found again by a later change.
func (w *write) cleanUp(ctx context.Context) {
	for _, e := range w.stale {
		_ = w.r.kv.Delete(ctx, e.Key, e.ModRevision)
	}
}
