package streamversions

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
)

// Limits of the entries of streams in the key-value service.
const (
	// journalEntryTime is how long streams are added to one entry, maxJournalEntry how many.
	journalEntryTime = 5 * time.Second
	maxJournalEntry  = 256
)

// journal writes the origins of streams that begin at this node into the key-value
// service, so that other nodes, and this one after a restart, know them. It is used while a
// service has, or had lately, several versions. Its exported methods may be called
// concurrently.
type journal struct {
	cfg *Config

	mu sync.Mutex // guards the fields up to failing
	// recorded are the services whose streams are written.
	recorded map[string]bool
	// pending are the streams that are not known to be written.
	pending map[string]streams.Origin

	// entry is the entry that streams are added to, entries the number of entries so far.
	// Only write uses them, and failing, which is true after a failed write.
	entry   *journalEntry
	entries int
	failing bool
}

// journalEntry is an entry of streams.
type journalEntry struct {
	key     string
	lease   kv.LeaseID
	begun   time.Time
	origins map[string]streams.Origin
}

// add records a stream that has begun at this node, if those of its service are written.
func (j *journal) add(id string, o streams.Origin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.recorded[o.Service] {
		j.pending[id] = o
	}
}

// setRecorded sets whether the streams of a service are written. known returns those that
// may still be taken up when the first ones are.
func (j *journal) setRecorded(service string, recorded bool, known func() map[string]streams.Origin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if recorded && !j.recorded[service] {
		maps.Copy(j.pending, known())
	}
	j.recorded[service] = recorded
}

// take returns up to max pending streams.
func (j *journal) take(max int) map[string]streams.Origin {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make(map[string]streams.Origin, min(len(j.pending), max))
	for id, o := range j.pending {
		if len(out) == max {
			break
		}
		out[id] = o
	}
	return out
}

// written removes streams from the pending ones.
func (j *journal) written(origins map[string]streams.Origin) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range origins {
		delete(j.pending, id)
	}
}

// recordAgain makes the next setRecorded write all streams again, which the service has lost.
func (j *journal) recordAgain() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.recorded)
}

// forgetOld removes pending streams that known says are no longer taken up: the service may not
// respond for long.
func (j *journal) forgetOld(known func(id string) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	maps.DeleteFunc(j.pending, func(id string, _ streams.Origin) bool { return !known(id) })
}

// write writes the pending streams. life is how long they count.
func (j *journal) write(ctx context.Context, life time.Duration) {
	for {
		batch := j.take(maxJournalEntry)
		if len(batch) == 0 {
			return
		}
		err := j.writeBatch(ctx, life, batch)
		if err != nil && !j.failing {
			event.StreamsNotStored.Log(j.cfg.Log).Int("streams", len(batch)).Err(err).Send()
		}
		j.failing = err != nil
		if err != nil || len(batch) < maxJournalEntry {
			return
		}
	}
}

// writeBatch adds streams to the entry, or to a new one.
func (j *journal) writeBatch(ctx context.Context, life time.Duration, batch map[string]streams.Origin) error {
	now := time.Now()
	if e := j.entry; e == nil || now.Sub(e.begun) >= journalEntryTime || len(e.origins)+len(batch) > maxJournalEntry {
		lease, err := j.cfg.Store.GrantLease(ctx, life+journalEntryTime)
		if err != nil {
			return err
		}
		j.entries++
		j.entry = &journalEntry{key: streamKey(j.cfg.Incarnation, j.entries), lease: lease, begun: now, origins: map[string]streams.Origin{}}
	}
	e := j.entry
	all := maps.Clone(e.origins)
	maps.Copy(all, batch)
	_, err := j.cfg.Store.Commit(ctx, kv.Transaction{Put: []kv.Entry{{Key: e.key, Value: encodeStreams(all), Lease: e.lease}}})
	if err != nil {
		if errors.Is(err, kv.ErrLeaseExpired) { // the service was restored from an older copy, or was away for long
			j.entry = nil
			j.recordAgain()
		}
		return err
	}
	e.origins = all
	j.written(batch)
	return nil
}
