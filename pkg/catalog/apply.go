package catalog

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/google/uuid"

	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// Change asks for a new revision of a team's subtree.
type Change struct {
	Spec *TeamSpec
	// Expect is the revision that the operator read; 0 for a new team.
	Expect uint64
	Author string
	// WriteID makes a repeated change idempotent; empty draws one.
	WriteID string
	// InForce is the head that this node has in force; nil for none. A
	// service that has an older one is not written to.
	InForce *Head
	// Restore writes over a service that came back older: the new revision
	// follows InForce, whatever the service holds. Expect is that of InForce.
	Restore bool
}

// Committed is an accepted change.
type Committed struct {
	Head *Head
	// Value is the head as stored.
	Value []byte
	// Chunks are the parts of the subtree and Fresh those of them that the
	// former head did not have.
	Chunks []Chunk
	Fresh  []Chunk
	// Unchanged is true when the subtree was in this state already.
	Unchanged bool
}

// ErrPlatformOlder tells that the key-value service holds an older subtree
// than the one in force.
var ErrPlatformOlder = errors.New("key-value service is older than the settings in force")

// Apply makes a change. It is accepted by the compare-and-swap of the head,
// after all chunks are written. Errors are of the kinds RevisionConflict,
// InvalidCatalog, PlatformUnavailable (nothing accepted) and OutcomeUnknown
// (repeat with the same WriteID).
func (r *Repository) Apply(ctx context.Context, c Change) (*Committed, error) {
	w, err := r.begin(ctx, c)
	if err != nil || w.done != nil {
		return w.result(), err
	}
	if err := w.prepare(ctx); err != nil {
		return nil, err
	}
	if err := w.commit(ctx); err != nil {
		return nil, err
	}
	w.cleanUp(ctx)
	return w.done, nil
}

// write is one change on its way. Reading the head comes first: whatever the
// writer then relies on and that head does not reference is written anew, so
// that a clean-up by a later writer of the same head either fails the head's
// compare-and-swap of this writer or does not match the new key revisions.
type write struct {
	r      *Repository
	c      Change
	old    storedHead
	before *TeamSpec
	next   Head
	value  []byte
	chunks []Chunk
	stale  []platform.Entry
	done   *Committed
}

func (w *write) result() *Committed {
	if w == nil {
		return nil
	}
	return w.done
}

// begin reads the head and settles what needs no write.
func (r *Repository) begin(ctx context.Context, c Change) (*write, error) {
	if c.WriteID == "" {
		c.WriteID = uuid.NewString()
	}
	old, err := r.readHead(ctx, c.Spec.Team)
	if err != nil {
		return nil, err
	}
	w := &write{r: r, c: c, old: old}
	if err := w.encode(); err != nil {
		return nil, err
	}
	if _, ok := old.revisionOf(c.WriteID); ok {
		return w, w.adopt(ctx)
	}
	if err := w.checkAge(); err != nil {
		return nil, err
	}
	if w.base().Revision != c.Expect {
		return nil, w.conflict(ctx, &w.old.Head)
	}
	if w.before, err = w.readBefore(ctx); err != nil {
		return nil, err
	}
	if !c.Restore && old.Revision > 0 && slices.Equal(old.Chunks, digestsOf(w.chunks)) {
		w.done = &Committed{Head: &w.old.Head, Value: old.entry.Value, Chunks: w.chunks, Unchanged: true}
	}
	return w, nil
}

func (w *write) encode() error {
	var err error
	w.chunks, err = encodeTeam(w.c.Spec)
	if err != nil {
		return fault.New(fault.InvalidCatalog, "team %q does not fit: %w", w.c.Spec.Team, err)
	}
	return nil
}

// adopt answers a repeated change with the revision that it made before.
func (w *write) adopt(ctx context.Context) error {
	revision, _ := w.old.revisionOf(w.c.WriteID)
	head := w.old.Head
	w.done = &Committed{Head: &head, Value: w.old.entry.Value, Unchanged: true}
	if revision == head.Revision {
		w.done.Chunks = w.chunks
		return nil
	}
	data, err := w.r.readChunks(ctx, head.Team, head.Chunks)
	if err != nil {
		return err
	}
	for _, d := range data {
		w.done.Chunks = append(w.done.Chunks, newChunk(d))
	}
	return nil
}

// checkAge refuses to build on a service that came back older.
func (w *write) checkAge() error {
	if w.c.Restore {
		return nil
	}
	switch compareHeads(&w.old.Head, w.c.InForce) {
	case relationOlder, relationForked:
		return fault.New(fault.PlatformUnavailable, "team %q: revision %d is in force, the service holds revision %d; restore it first: %w",
			w.c.Spec.Team, w.c.InForce.Revision, w.old.Revision, ErrPlatformOlder)
	}
	return nil
}

// base is the head that the new one follows.
func (w *write) base() *Head {
	if w.c.Restore && w.c.InForce != nil {
		return w.c.InForce
	}
	return &w.old.Head
}

// readBefore returns the subtree that the service holds now.
func (w *write) readBefore(ctx context.Context) (*TeamSpec, error) {
	if w.old.Revision == 0 {
		return nil, nil
	}
	spec, err := w.r.readSpec(ctx, w.old.Team, w.old.Chunks)
	if err != nil && w.c.Restore {
		return nil, nil
	}
	return spec, err
}

// prepare claims the names, writes the chunks and composes the new head.
func (w *write) prepare(ctx context.Context) error {
	if err := w.claimNames(ctx); err != nil {
		return err
	}
	if err := w.compose(ctx); err != nil {
		return err
	}
	if err := w.findGarbage(ctx); err != nil {
		return err
	}
	known := digestSet(w.old.Chunks)
	for _, c := range w.chunks {
		if known[c.Digest] && !w.c.Restore {
			continue
		}
		if err := w.r.put(ctx, chunkKey(w.c.Spec.Team, c.Digest), c.Data); err != nil {
			return err
		}
	}
	return nil
}

// compose sets the new head and writes the manifest of the one it replaces.
func (w *write) compose(ctx context.Context) error {
	base := w.base()
	w.next = Head{
		Team:     w.c.Spec.Team,
		Revision: base.Revision + 1,
		WriteID:  w.c.WriteID,
		Author:   w.c.Author,
		Time:     w.r.clock.Now().UTC(),
		Chunks:   digestsOf(w.chunks),
	}
	if base.Revision > 0 {
		past, manifest, err := base.past()
		if err != nil {
			return err
		}
		if err := w.r.put(ctx, chunkKey(base.Team, manifest.Digest), manifest.Data); err != nil {
			return err
		}
		w.next.History = append([]Past{past}, base.History...)
		w.next.History = w.next.History[:min(len(w.next.History), maxHistory)]
	}
	value, err := w.next.encode()
	w.value = value
	return err
}

// commit swaps the head in and settles a lost answer by the write identifier.
func (w *write) commit(ctx context.Context) error {
	key := headKey(w.c.Spec.Team)
	wait := w.r.newBackOff()
	lost := false
	for {
		_, err := w.r.kv.CompareAndSwap(ctx, key, w.value, w.old.entry.ModRevision, 0)
		switch {
		case err == nil:
			return w.accept(&w.next, w.value)
		case errors.Is(err, platform.ErrConflict):
			settled, sErr := w.settle(ctx)
			if settled || !errors.Is(sErr, platform.ErrUnavailable) {
				return sErr
			}
			lost = true
		case errors.Is(err, platform.ErrUnavailable) && !lost:
			return platformFault(err)
		default:
			lost = true
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return fault.New(fault.OutcomeUnknown, "team %q: the key-value service has not told whether change %s was accepted; repeat it with the same write identifier", w.c.Spec.Team, w.c.WriteID)
		}
	}
}

func (w *write) accept(head *Head, value []byte) error {
	known := digestSet(w.old.Chunks)
	w.done = &Committed{Head: head, Value: value, Chunks: w.chunks}
	for _, c := range w.chunks {
		if !known[c.Digest] {
			w.done.Fresh = append(w.done.Fresh, c)
		}
	}
	return nil
}

// settle finds out after a conflict whether this write is the one that
// changed the head: it is when the head or its history names its identifier.
// While the head cannot be read the error is ErrUnavailable.
func (w *write) settle(ctx context.Context) (bool, error) {
	now, err := w.r.readHead(ctx, w.c.Spec.Team)
	if err != nil {
		return false, fmt.Errorf("settle change %s: %w", w.c.WriteID, platform.ErrUnavailable)
	}
	switch revision, ours := now.revisionOf(w.c.WriteID); {
	case !ours:
		return false, w.conflict(ctx, &now.Head)
	case revision == now.Revision:
		return true, w.accept(&w.next, now.entry.Value)
	default:
		w.old = now
		return true, w.adopt(ctx)
	}
}

func digestsOf(chunks []Chunk) []Digest {
	out := make([]Digest, len(chunks))
	for i, c := range chunks {
		out[i] = c.Digest
	}
	return out
}

func digestSet(digests []Digest) map[Digest]bool {
	out := make(map[Digest]bool, len(digests))
	for _, d := range digests {
		out[d] = true
	}
	return out
}
