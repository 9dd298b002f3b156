package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/quarantine"
	"almondturn/pkg/wait"
)

// Limits of the evidence in the key-value service.
const (
	// minStoredCrashes is the number of crashes from which the evidence against a part is
	// stored, so that crashes of single targets cause no writes.
	minStoredCrashes = 3
	// maxStoredSuspects is the number of parts whose evidence is stored. The oldest entries
	// are deleted with the next write.
	maxStoredSuspects = 64
	// maxChangedKeys is the number of keys that one transaction writes, and that it deletes
	// besides. The service accepts 32 in all.
	maxChangedKeys = 16
	// maxSeenParts bounds the parts of which it is remembered that this node has seen a crash.
	maxSeenParts = 512
	// storedTime is how long stored evidence counts after it was written: the longest hold,
	// as a node may lengthen it.
	storedTime = 36 * time.Hour
	// storeRetryInterval is the time from a failed write to the next one.
	storeRetryInterval = time.Second
)

// storedEvidence keeps the evidence against parts that have crashed several targets in the
// key-value service, so that it outlasts a restart of all nodes. The node that saw a crash
// writes it, and the one that saw a survival deletes it. All nodes watch the entries, and
// delete those that they know to be disproved. Its methods may be called concurrently.
type storedEvidence struct {
	guard *crashGuard

	mu sync.Mutex // guards all below
	// entries holds when each entry was written that the service is known to have, by key.
	entries map[string]time.Time
	// seen are the parts of which this node has seen a crash since they last survived, by
	// key, at most maxSeenParts.
	seen map[string]bool
	// unwritten are the parts whose entries are to be written, or deleted if there is no
	// evidence any more, by key. writing is true while a goroutine does so.
	unwritten map[string]quarantine.Part
	writing   bool
}

// storedChange is a change of entries. parts are those that it was made for.
type storedChange struct {
	transaction kv.Transaction
	parts       map[string]quarantine.Part
	at          time.Time
}

// newStoredEvidence returns a storedEvidence that knows of no entries.
func newStoredEvidence(g *crashGuard) *storedEvidence {
	return &storedEvidence{guard: g, entries: map[string]time.Time{}, seen: map[string]bool{}, unwritten: map[string]quarantine.Part{}}
}

// changed stores new evidence about parts that this node has seen: crashes from
// minStoredCrashes on, and survivals of parts that are stored.
func (s *storedEvidence) changed(parts []quarantine.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		key := suspectKey(p)
		_, stored := s.entries[key]
		crashes, _ := s.guard.ledger.Evidence(p)
		s.remember(key, crashes > 0)
		if crashes >= minStoredCrashes || stored && crashes == 0 {
			s.unwritten[key] = p
		}
	}
	if len(s.unwritten) > 0 && !s.writing {
		s.writing = true
		go s.writeAll(s.guard.node.ctx)
	}
}

// remember records whether this node has seen a crash of the part with a key. s.mu must be
// held.
func (s *storedEvidence) remember(key string, crashed bool) {
	if !crashed {
		delete(s.seen, key)
		return
	}
	if len(s.seen) >= maxSeenParts {
		clear(s.seen)
	}
	s.seen[key] = true
}

// completed stores the evidence about parts that other nodes have added to, if this node has
// seen some of it: of crashes at the same time, each node may have seen one.
func (s *storedEvidence) completed(parts []quarantine.Part) {
	s.mu.Lock()
	own := make([]quarantine.Part, 0, len(parts))
	for _, p := range parts {
		if s.seen[suspectKey(p)] {
			own = append(own, p)
		}
	}
	s.mu.Unlock()
	s.changed(own)
}

// deleteAnswered deletes the entries that were read of those of the parts against which there
// is no evidence any more.
func (s *storedEvidence) deleteAnswered(parts []quarantine.Part) {
	s.changed(slices.DeleteFunc(parts, func(p quarantine.Part) bool {
		crashes, _ := s.guard.ledger.Evidence(p)
		return crashes > 0
	}))
}

// writeAll writes until nothing is unwritten or ctx ends.
func (s *storedEvidence) writeAll(ctx context.Context) {
	failing := false
	for {
		change, ok := s.nextChange(time.Now())
		if !ok {
			return
		}
		_, err := s.guard.node.store.Commit(ctx, change.transaction)
		s.finish(change, err)
		if err == nil {
			failing = false
			continue
		}
		if !failing {
			failing = true
			event.EvidenceNotStored.Log(s.guard.node.log).Err(err).Send()
		}
		if !wait.Sleep(ctx, storeRetryInterval) {
			return
		}
	}
}

// nextChange returns the next change; ok is false, and writing has ended, if there is none.
func (s *storedEvidence) nextChange(now time.Time) (change storedChange, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change = storedChange{parts: map[string]quarantine.Part{}, at: now}
	txn := &change.transaction
	for key, p := range s.unwritten {
		if len(change.parts) == maxChangedKeys {
			break
		}
		delete(s.unwritten, key)
		change.parts[key] = p
		record := s.guard.ledger.Records(now, []quarantine.Part{p})[0]
		if len(record.Crashes) > 0 {
			txn.Put = append(txn.Put, kv.Entry{Key: key, Value: encodeSuspect(now, record)})
		} else {
			txn.Delete = append(txn.Delete, key)
		}
	}
	if s.writing = len(change.parts) > 0; s.writing {
		txn.Delete = append(txn.Delete, s.surplus(now, change.parts)...)
	}
	return change, s.writing
}

// surplus returns the keys of entries that no longer count, and of the oldest if there would
// be more than maxStoredSuspects, without those of parts. s.mu must be held.
func (s *storedEvidence) surplus(now time.Time, parts map[string]quarantine.Part) []string {
	others := maps.Clone(s.entries)
	maps.DeleteFunc(others, func(key string, _ time.Time) bool { _, ok := parts[key]; return ok })
	byAge := slices.SortedFunc(maps.Keys(others), func(a, b string) int { return others[a].Compare(others[b]) })
	excess := len(byAge) + len(parts) - maxStoredSuspects
	var keys []string
	for i, key := range byAge[:min(len(byAge), maxChangedKeys)] {
		if i < excess || now.Sub(others[key]) >= storedTime {
			keys = append(keys, key)
		}
	}
	return keys
}

// finish records the outcome of a change. One that failed, or may have, is made again.
func (s *storedEvidence) finish(change storedChange, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		maps.Copy(s.unwritten, change.parts)
		return
	}
	for _, e := range change.transaction.Put {
		s.entries[e.Key] = change.at
	}
	for _, key := range change.transaction.Delete {
		delete(s.entries, key)
	}
}

// replace replaces the known entries by a complete list, and returns their evidence.
func (s *storedEvidence) replace(now time.Time, list []kv.Entry) []quarantine.Record {
	s.mu.Lock()
	clear(s.entries)
	s.mu.Unlock()
	var records []quarantine.Record
	for _, e := range list {
		records = append(records, s.observe(now, e)...)
	}
	return records
}

// observe records an entry, and returns its evidence; none if it no longer counts, can't be
// decoded or is another entry.
func (s *storedEvidence) observe(now time.Time, e kv.Entry) []quarantine.Record {
	if !isSuspectKey(e.Key) {
		return nil
	}
	suspect, err := decodeSuspect(e.Value)
	if err != nil {
		s.guard.node.logInvalidEntry(e.Key, err)
	}
	written := time.UnixMilli(suspect.Written)
	if written.Sub(now) >= storedTime {
		written = time.Time{} // by a clock that was wrong: it would count for ever
	}
	s.mu.Lock()
	s.entries[e.Key] = written
	s.mu.Unlock()
	if err != nil || now.Sub(written) >= storedTime {
		return nil
	}
	return []quarantine.Record{suspect.record(now)}
}

// forget records that the service no longer has the entry with a key.
func (s *storedEvidence) forget(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// replaceStored merges the evidence in a complete list of the watched entries.
func (g *crashGuard) replaceStored(list []kv.Entry) {
	now := time.Now()
	g.mergeStored(now, g.stored.replace(now, list))
}

// applyStored merges the evidence in a change of one of the watched entries.
func (g *crashGuard) applyStored(e kv.WatchEvent) {
	if e.Deleted {
		g.stored.forget(e.Entry.Key)
		return
	}
	now := time.Now()
	g.mergeStored(now, g.stored.observe(now, e.Entry))
}

// mergeStored merges stored evidence, which all nodes read.
func (g *crashGuard) mergeStored(now time.Time, records []quarantine.Record) {
	changed, disproved := g.ledger.Merge(now, records)
	g.stored.deleteAnswered(disproved)
	if len(changed) == 0 {
		return
	}
	event.StoredEvidenceRead.Log(g.node.log).Int("parts", len(changed)).Str("first", changed[0].ID).Int("suspects", g.ledger.Suspects()).Send()
	g.suspendAttempts(changed)
}
