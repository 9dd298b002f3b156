package teams

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/pkg/wait"
)

// Times of a Restorer.
const (
	// maxRestoreDelay is the longest delay before a node writes settings again. Each node
	// waits a random part of it, so that most find the work done.
	maxRestoreDelay = time.Second
	// restoreRetryDelay is the time between two attempts while the key-value service
	// fails.
	restoreRetryDelay = time.Second
	// maxRestoreConflictDelay is the longest delay after an attempt that conflicted with
	// another change.
	maxRestoreConflictDelay = 100 * time.Millisecond
)

// Restorer writes the accepted settings again that were lost when the key-value service
// was restored from an older copy, from those that this node has in force. All nodes do
// so at the same time. Its methods may be called concurrently.
type Restorer struct {
	repository *Repository
	log        *zerolog.Logger

	mu sync.Mutex // guards held
	// held are the entries below Prefix with the highest number of a change that this
	// node has held before a restore: when the service is restored again, it may not
	// have got them back yet.
	held map[string]kv.Entry
}

// NewRestorer returns a restorer that writes to a repository.
func NewRestorer(r *Repository, log *zerolog.Logger) *Restorer {
	return &Restorer{repository: r, log: log}
}

// Restore writes the settings of the entries held before a restore again that are missing
// in those listed after it. Both are all entries below Prefix, by key. It returns when the
// key-value service has the settings, or ctx ends.
func (r *Restorer) Restore(ctx context.Context, held, listed map[string]kv.Entry) {
	held = r.newest(held)
	steps, err := PlanRestore(held, listed, eraOf(listed))
	if err == nil && len(steps) == 0 {
		return
	}
	wait.Sleep(ctx, rand.N(maxRestoreDelay))
	failed := false
	for ctx.Err() == nil {
		err := r.writeMissing(ctx, held)
		if err == nil {
			return
		}
		if !failed {
			failed = true
			event.SettingsRestoreFailed.Log(r.log).Err(err).Send()
		}
		wait.Sleep(ctx, restoreRetryDelay)
	}
}

// newest returns the given entries, or those of an earlier call if they have more changes.
func (r *Restorer) newest(held map[string]kv.Entry) map[string]kv.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if changeOf(held) >= changeOf(r.held) {
		r.held = held
	}
	return r.held
}

// changeOf returns the number of the last change in the entries, 0 for none.
func changeOf(entries map[string]kv.Entry) int64 {
	counter, err := decodeChangeCounter(entries[changeCounterKey])
	if err != nil {
		return 0
	}
	return counter.Change
}

// eraOf returns the highest era of the entries' revisions, 0 for none.
func eraOf(entries map[string]kv.Entry) kv.Era {
	era := kv.Era(0)
	for _, e := range entries {
		era = max(era, e.ModRevision.Era())
	}
	return era
}

// writeMissing writes what the key-value service lacks of the held settings. If others
// change the settings at the same time, it begins again.
func (r *Restorer) writeMissing(ctx context.Context, held map[string]kv.Entry) error {
	var unconfirmed *RestoreStep
	for ctx.Err() == nil {
		listed, err := r.repository.listEntries(ctx)
		if err != nil {
			return err
		}
		if unconfirmed != nil && unconfirmed.appliedIn(listed.entries) {
			r.logStep(held, listed.era, unconfirmed)
		}
		unconfirmed = nil
		steps, err := PlanRestore(held, listed.entries, listed.era)
		if err != nil {
			return err
		}
		failed, err := r.execute(ctx, held, listed.era, steps)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrOutcomeUnknown):
			unconfirmed = failed
		case !errors.Is(err, kv.ErrConflict):
			return err
		}
		wait.Sleep(ctx, rand.N(maxRestoreConflictDelay))
	}
	return ctx.Err()
}

// execute commits the steps and logs them. It stops at the first that fails, and returns
// it with the error.
func (r *Restorer) execute(ctx context.Context, held map[string]kv.Entry, era kv.Era, steps []RestoreStep) (*RestoreStep, error) {
	for i := range steps {
		if _, err := r.repository.store.Commit(ctx, steps[i].Transaction); err != nil {
			return &steps[i], err
		}
		r.logStep(held, era, &steps[i])
	}
	return nil, nil
}

// logStep logs what a step has brought back, and what is lost.
func (r *Restorer) logStep(held map[string]kv.Entry, era kv.Era, step *RestoreStep) {
	eras := func(e event.Event) *zerolog.Event {
		return e.Log(r.log).Uint64("previous_era", uint64(eraOf(held))).Uint64("era", uint64(era))
	}
	for _, t := range step.Teams {
		eras(event.SettingsRestored).Str("team", string(t.Team)).Uint64("copy_revision", t.CopyRevision).Uint64("revision", t.Revision).Str("author", t.Author).Send()
		if t.Revision > t.CopyRevision+1 {
			eras(event.HistoryLost).Str("team", string(t.Team)).Uint64("from", t.CopyRevision+1).Uint64("to", t.Revision-1).Send()
		}
	}
	for _, d := range step.Drains {
		eras(event.SettingsRestored).Str("target", d.Target).Bool("draining", d.Drained).Send()
	}
	for _, l := range step.Lost {
		eras(event.SettingsLost).Str("team", string(l.Team)).Uint64("revision", l.Revision).Str("author", l.Author).Str("why", l.Reason).Send()
	}
	if step.Change != 0 {
		eras(event.SettingsComplete).Int64("change", step.Change).Send()
	}
}
