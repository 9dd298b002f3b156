package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/wait"
)

// Times and sizes of the writes after the key-value service was restored from an older
// copy.
const (
	// settleTime is how long after a node has first seen a new era no key can be
	// claimed through it, so that the other nodes can write their claims again.
	settleTime = 5 * time.Second
	// eraCheckInterval is the time between two checks of the era.
	eraCheckInterval = 200 * time.Millisecond
	// maxEntriesPerTransaction is the maximum number of claims written at once.
	maxEntriesPerTransaction = 32
	// maxRewriteAttempts is the maximum number of attempts to write a claim while others
	// write it concurrently.
	maxRewriteAttempts = 4
)

// ErrLost means that the outcome of a request can't be recorded: its claim was lost when
// the key-value service was restored, and another request has the key now.
var ErrLost = errors.New("the key was claimed by another request")

// errRestored means that claims of other nodes may be missing.
var errRestored = errors.New("the key-value service was restored from an older copy")

// settledEra returns the current era, or errRestored for settleTime after it was first
// seen. It counts an era that follows FirstEra as new, also if it is the first one that
// this node sees: the node may have been started after the restore.
func (reg *Registry) settledEra() (kv.Era, error) {
	era := reg.store.Era()
	reg.eraMu.Lock()
	defer reg.eraMu.Unlock()
	now := reg.now()
	if era > reg.era {
		reg.era = era
		if era > kv.FirstEra {
			reg.settledAt = now.Add(settleTime)
		}
	}
	if now.Before(reg.settledAt) {
		return reg.era, errRestored
	}
	return reg.era, nil
}

// Run writes the claims that this node remembers again whenever the key-value service was
// restored from an older copy, until ctx ends.
func (reg *Registry) Run(ctx context.Context, log *zerolog.Logger) {
	for wait.Sleep(ctx, eraCheckInterval) {
		reg.restoreClaims(ctx, log)
	}
}

// restoreClaims writes the remembered claims again that were last written in a former
// era, and deletes those again that were released. What fails is left for the next call.
func (reg *Registry) restoreClaims(ctx context.Context, log *zerolog.Logger) {
	era, _ := reg.settledEra() // claims are written before the era is settled
	if era <= kv.FirstEra {
		return
	}
	pending := reg.recent.writtenBefore(era)
	if len(pending) == 0 {
		return
	}
	var err error
	held, released := splitReleased(pending)
	for batch := range slices.Chunk(held, maxEntriesPerTransaction) {
		if err = reg.restoreBatch(ctx, log, era, batch); err != nil {
			break
		}
	}
	for i := 0; i < len(released) && err == nil; i++ {
		err = reg.restoreClaim(ctx, log, era, &released[i])
	}
	remaining := len(reg.recent.writtenBefore(era))
	if remaining == len(pending) {
		return
	}
	event.ClaimsRestored.Log(log).Uint64("era", uint64(era)).Int("claims", len(pending)).Int("remaining", remaining).Err(err).Send()
}

// splitReleased returns the claims that are held, and those that were released.
func splitReleased(all []recentClaim) (held, released []recentClaim) {
	for _, c := range all {
		if c.released {
			released = append(released, c)
		} else {
			held = append(held, c)
		}
	}
	return held, released
}

// restoreBatch writes claims in one transaction, or, if the service has one of them, one
// by one.
func (reg *Registry) restoreBatch(ctx context.Context, log *zerolog.Logger, era kv.Era, batch []recentClaim) error {
	lease, err := reg.sharedLease(ctx)
	if err != nil {
		return err
	}
	txn := kv.Transaction{Expect: map[string]kv.Revision{}}
	for i := range batch {
		value, err := encodeRecord(&batch[i].record)
		if err != nil {
			return err
		}
		txn.Expect[batch[i].key] = 0
		txn.Put = append(txn.Put, kv.Entry{Key: batch[i].key, Value: value, Lease: lease})
	}
	if len(txn.Expect) == len(batch) { // no two requests had the same key
		_, err = reg.store.Commit(ctx, txn)
	} else {
		err = kv.ErrConflict
	}
	switch {
	case err == nil:
		for i := range batch {
			reg.setRestored(ctx, &batch[i], lease.Era)
		}
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		reg.dropLease(lease)
		return err
	case !errors.Is(err, kv.ErrConflict):
		return err
	}
	for i := range batch {
		if err := reg.restoreClaim(ctx, log, era, &batch[i]); err != nil {
			return err
		}
	}
	return nil
}

// restoreClaim writes one claim, unless the service has it, or deletes it if it was
// released. A claim whose key another request holds is logged, and not written.
func (reg *Registry) restoreClaim(ctx context.Context, log *zerolog.Logger, era kv.Era, c *recentClaim) error {
	latest, ok := reg.recent.get(c.record.RequestID)
	if !ok {
		return nil // it is too old by now
	}
	if latest.released {
		err := reg.deleteOwn(ctx, c.key, c.record.RequestID)
		if err == nil {
			reg.recent.setWritten(c.record.RequestID, era)
		}
		return err
	}
	revision, err := reg.rewrite(ctx, c.key, &latest.record)
	if errors.Is(err, ErrLost) {
		event.ClaimLost.Log(log).Str("request", c.record.RequestID).Uint64("previous_era", uint64(latest.writtenIn)).Uint64("era", uint64(era)).Err(err).Send()
		reg.recent.remove(c.record.RequestID)
		return nil
	}
	if err != nil {
		return err
	}
	reg.setRestored(ctx, c, revision.Era())
	return nil
}

// setRestored records that a claim was written in an era. If it was released meanwhile, it
// deletes the claim again.
func (reg *Registry) setRestored(ctx context.Context, c *recentClaim, era kv.Era) {
	reg.recent.setWritten(c.record.RequestID, era)
	if latest, _ := reg.recent.get(c.record.RequestID); latest.released {
		_ = reg.deleteOwn(ctx, c.key, c.record.RequestID) // otherwise the outcome counts as unknown
	}
}

// rewrite stores the record of a claim whatever the state of the claim is in the service,
// and returns its revision. It returns ErrLost if another request holds the key. A
// record that holds an outcome is not replaced by one that holds none.
func (reg *Registry) rewrite(ctx context.Context, key string, r *record) (kv.Revision, error) {
	value, err := encodeRecord(r)
	if err != nil {
		return 0, err
	}
	for range maxRewriteAttempts {
		existing, stored, err := reg.readClaim(ctx, key)
		switch {
		case errors.Is(err, kv.ErrNotFound):
		case err != nil:
			return 0, err
		case stored.RequestID != r.RequestID && !stored.yieldsTo(r, existing.ModRevision.Era()):
			return 0, fmt.Errorf("claim of request %s: %w", r.RequestID, ErrLost)
		case stored.RequestID == r.RequestID && stored.covers(r):
			return existing.ModRevision, nil
		}
		lease, err := reg.sharedLease(ctx)
		if err != nil {
			return 0, err
		}
		revision, err := reg.store.Commit(ctx, kv.Transaction{
			Expect: map[string]kv.Revision{key: existing.ModRevision},
			Put:    []kv.Entry{{Key: key, Value: value, Lease: lease}},
		})
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, kv.ErrLeaseExpired):
			reg.dropLease(lease)
		case !errors.Is(err, kv.ErrConflict):
			return 0, err
		}
	}
	return 0, fmt.Errorf("claim of request %s was changed in each of %d attempts to write it: %w", r.RequestID, maxRewriteAttempts, kv.ErrUnavailable)
}

// deleteOwn deletes the claim of a request, whatever its revision is. It is no error if
// the claim does not exist or the key belongs to another request.
func (reg *Registry) deleteOwn(ctx context.Context, key, requestID string) error {
	existing, stored, err := reg.readClaim(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if stored.RequestID != requestID {
		return nil
	}
	_, err = reg.store.Commit(ctx, kv.Transaction{Expect: map[string]kv.Revision{key: existing.ModRevision}, Delete: []string{key}})
	return err
}

// readClaim returns the entry of a claim and its record, or kv.ErrNotFound with the zero
// entry. A record that can't be decoded is returned as one of an unknown request that yields
// to no other.
func (reg *Registry) readClaim(ctx context.Context, key string) (kv.Entry, record, error) {
	e, err := reg.store.Get(ctx, key)
	if err != nil {
		return kv.Entry{}, record{}, err
	}
	var stored record
	if json.Unmarshal(e.Value, &stored) != nil {
		stored = record{Era: kv.MaxEra}
	}
	return e, stored, nil
}
