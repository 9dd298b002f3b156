package teams

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
)

// Prefix is the prefix of the keys of the accepted settings in the key-value service.
// Nodes watch all keys below it; the history has a prefix of its own.
const Prefix = "almondturn/settings/"

// Keys and prefixes of keys in the key-value service.
const (
	changeCounterKey = Prefix + "head"       // the entry of type changeCounter
	teamPrefix       = Prefix + "teams/"     // the accepted Record of each team
	drainPrefix      = Prefix + "drains/"    // an entry for each drained target
	historyPrefix    = "almondturn/history/" // the previous Records of each team
)

const (
	// maxHistoryRevisions is the number of previous revisions that are stored for each
	// team.
	maxHistoryRevisions = 20
	// commitAttempts is the maximum number of attempts to commit one change while
	// others are committed concurrently.
	commitAttempts = 8
	// maxRecordBytes is the maximum size of an encoded record; the key-value service
	// accepts values of up to a megabyte.
	maxRecordBytes = 900 << 10
)

// Store is the part of the key-value service that the repository needs. Its errors are
// those of package kv.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	Commit(ctx context.Context, c kv.Transaction) (kv.Revision, error)
}

// RevisionInfo describes one revision of a team's subtree.
type RevisionInfo struct {
	// Revision counts the changes of the team, from 1.
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// WriteID is the identifier under which the change was written.
	WriteID string `json:"write_id"`
}

// Record is one revision of a team's subtree, as it is stored.
type Record struct {
	RevisionInfo
	// ChangeNumber is the number of the change, counted over the changes of all teams and
	// of drains.
	ChangeNumber int64     `json:"change"`
	Spec         *TeamSpec `json:"spec"`
	// Era is the era of the key-value service in which the change was accepted, 0 for
	// those up to kv.FirstEra. Records are ordered by Era and ChangeNumber.
	Era kv.Era `json:"era,omitempty"`
}

// changeCounter is the value of changeCounterKey: it counts the changes of all teams and
// of drains. Each change is committed only if the counter is still as it was read. So
// changes take effect one after the other, and names that were checked to be unique are
// still unique when the change takes effect.
type changeCounter struct {
	Change int64 `json:"change"`
	// Era is the era in which the counter was last written, 0 up to kv.FirstEra. The
	// fields below belong to it.
	Era kv.Era `json:"era,omitempty"`
	// Former is the number of the last change of former eras that the settings contain.
	Former int64 `json:"former,omitempty"`
	// Undrained are the targets whose drain was ended in this era.
	Undrained []string `json:"undrained,omitempty"`
}

// drain is the value of the entry of a drained target.
type drain struct {
	// Era is the era in which the target was drained, 0 up to kv.FirstEra.
	Era kv.Era `json:"era,omitempty"`
}

// Change is a change of one team's subtree that an operator requests.
type Change struct {
	// Spec is the new subtree; it must be valid.
	Spec *TeamSpec
	// Expect is the revision that the operator read, 0 for a new team.
	Expect uint64
	Author string
	// WriteID makes a repeated change idempotent. If it is empty, Apply generates one.
	WriteID string
}

// Repository reads and changes the accepted subtrees and the drains of targets. Its
// methods may be called concurrently.
type Repository struct {
	store Store
	now   func() time.Time
	// inForce returns the number of the last change in force on this node.
	inForce func() int64
}

// NewRepository returns a repository that stores its data in a key-value service.
func NewRepository(s Store) *Repository {
	return &Repository{store: s, now: time.Now, inForce: func() int64 { return 0 }}
}

// RequireInForce makes Apply and Drain refuse changes while the key-value service has
// fewer changes than inForce returns, the number of the last one in force on this node:
// the service was restored from an older copy, and the settings that it lacks are still
// to be written again. It must be called before all other methods.
func (r *Repository) RequireInForce(inForce func() int64) { r.inForce = inForce }

// acceptedSettings holds the decoded entries below Prefix.
type acceptedSettings struct {
	counterRevision kv.Revision // of the changeCounter entry; 0 if there is none
	counter         changeCounter
	storeRevisions  map[string]kv.Revision // of all entries, by key
	records         map[fleet.Team]*Record
	drains          map[string]drain // by target
	// era is the era in which the entries were read, 0 up to kv.FirstEra.
	era kv.Era
}

// nextCounter returns the counter after a further change.
func (a *acceptedSettings) nextCounter() changeCounter {
	next := a.counter
	if next.Era != a.era { // the first change of this era
		next = changeCounter{Change: next.Change, Era: a.era, Former: next.Change}
	}
	next.Change++
	return next
}

// Apply commits a change and returns the new record. If the accepted record of the team
// already has the WriteID of the change, Apply returns that record. Errors are of kind
// RevisionConflict, InvalidCatalog, BodyTooLarge, PlatformUnavailable or
// OutcomeUnknown.
func (r *Repository) Apply(ctx context.Context, c Change) (*Record, error) {
	if c.WriteID == "" {
		c.WriteID = uuid.NewString()
	}
	for range commitAttempts {
		accepted, err := r.readAccepted(ctx)
		if err != nil {
			return nil, storeFault(err)
		}
		current := accepted.records[c.Spec.Team]
		if current != nil && current.WriteID == c.WriteID {
			return current, nil
		}
		next, err := r.nextRecord(ctx, accepted, current, &c)
		if err != nil {
			return nil, err
		}
		err = r.commit(ctx, accepted, current, next)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
			continue // read again: either another change was accepted, or this one
		default:
			return nil, storeFault(err)
		}
	}
	return nil, fault.New(fault.PlatformUnavailable, "the change was not settled in %d attempts; repeat it with the same write identifier", commitAttempts)
}

// nextRecord checks a change against the accepted settings and returns its record.
// current is the accepted record of the team, nil for none.
func (r *Repository) nextRecord(ctx context.Context, accepted *acceptedSettings, current *Record, c *Change) (*Record, error) {
	revision := uint64(0)
	if current != nil {
		revision = current.Revision
	}
	if c.Expect != revision {
		return nil, r.conflictError(ctx, current, c)
	}
	if err := accepted.checkUnique(c.Spec); err != nil {
		return nil, err
	}
	return &Record{
		RevisionInfo: RevisionInfo{Revision: revision + 1, Author: c.Author, Time: r.now().UTC(), WriteID: c.WriteID},
		ChangeNumber: accepted.counter.Change + 1, Spec: c.Spec, Era: accepted.era,
	}, nil
}

// commit writes the new record and the change counter, moves the current record, if
// any, to the history, and deletes the revision that is then too old.
func (r *Repository) commit(ctx context.Context, accepted *acceptedSettings, current, next *Record) error {
	key := teamKey(next.Spec.Team)
	value, err := encodeRecord(next)
	if err != nil {
		return err
	}
	change := kv.Transaction{
		Expect: map[string]kv.Revision{changeCounterKey: accepted.counterRevision, key: accepted.storeRevisions[key]},
		Put:    []kv.Entry{{Key: key, Value: value}, {Key: changeCounterKey, Value: accepted.nextCounter().encode()}},
	}
	if current != nil {
		previous, err := encodeRecord(current)
		if err != nil {
			return err
		}
		change.Put = append(change.Put, kv.Entry{Key: historyKey(next.Spec.Team, current.Revision), Value: previous})
	}
	if next.Revision > maxHistoryRevisions+1 {
		change.Delete = []string{historyKey(next.Spec.Team, next.Revision-maxHistoryRevisions-1)}
	}
	_, err = r.store.Commit(ctx, change)
	return err
}

// conflictError returns an error of kind RevisionConflict that shows what others have
// changed and what this change would do.
func (r *Repository) conflictError(ctx context.Context, current *Record, c *Change) error {
	conflict := &ConflictError{Team: c.Spec.Team, Expected: c.Expect}
	if current == nil {
		return fault.New(fault.RevisionConflict, "team %q does not exist; want revision 0, not %d", c.Spec.Team, c.Expect)
	}
	conflict.Current, conflict.Author = current.Revision, current.Author
	base, err := r.readPreviousRevision(ctx, c.Spec.Team, c.Expect)
	if err == nil {
		conflict.Theirs, conflict.Yours = Diff(base.Spec, current.Spec), Diff(base.Spec, c.Spec)
	} else { // the revision that the operator read could not be read
		conflict.Yours = Diff(current.Spec, c.Spec)
	}
	return &fault.Error{Kind: fault.RevisionConflict, Message: conflict.Error(), Err: conflict}
}

// checkUnique checks that no other team uses the service names and API keys of a
// subtree. The error does not name the other team, because operators of one team must
// not see the settings of another.
func (a *acceptedSettings) checkUnique(spec *TeamSpec) error {
	taken := map[string]bool{}
	for team, record := range a.records {
		if team == spec.Team {
			continue
		}
		for _, name := range exclusiveNames(record.Spec) {
			taken[name.name] = true
		}
	}
	for _, name := range exclusiveNames(spec) {
		if taken[name.name] {
			return fault.New(fault.InvalidCatalog, "%s: belongs to another team; want a name (or key) that no other team uses", name.path)
		}
	}
	return nil
}

// exclusiveName is a name that only one team may use, and the path at which it is
// declared.
type exclusiveName struct{ path, name string }

// exclusiveNames returns the names in a subtree that no other team may use. A prefix
// separates the names of services from API keys.
func exclusiveNames(spec *TeamSpec) []exclusiveName {
	var out []exclusiveName
	for i := range spec.Services {
		out = append(out, exclusiveName{fmt.Sprintf("services[%d].name", i), "service " + string(spec.Services[i].Name)})
	}
	for i, c := range spec.Callers {
		out = append(out, exclusiveName{fmt.Sprintf("callers[%d].key_sha256", i), "key " + c.KeyDigest})
	}
	return out
}

// Read returns the accepted record of a team. The error is of kind UnknownPath if the
// team does not exist.
func (r *Repository) Read(ctx context.Context, team fleet.Team) (*Record, error) {
	e, err := r.store.Get(ctx, teamKey(team))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, fault.New(fault.UnknownPath, "team %q does not exist", team)
	}
	if err != nil {
		return nil, storeFault(err)
	}
	return decodeRecord(e)
}

// ReadRevision returns the record of one revision of a team, accepted or previous. The
// error is of kind UnknownPath if the team or the revision does not exist, or the
// revision is no longer stored.
func (r *Repository) ReadRevision(ctx context.Context, team fleet.Team, revision uint64) (*Record, error) {
	current, err := r.Read(ctx, team)
	if err != nil || current.Revision == revision {
		return current, err
	}
	return r.readPreviousRevision(ctx, team, revision)
}

// readPreviousRevision reads a revision of a team from the history.
func (r *Repository) readPreviousRevision(ctx context.Context, team fleet.Team, revision uint64) (*Record, error) {
	e, err := r.store.Get(ctx, historyKey(team, revision))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, fault.New(fault.UnknownPath, "team %q has no revision %d, or it is no longer kept", team, revision)
	}
	if err != nil {
		return nil, storeFault(err)
	}
	return decodeRecord(e)
}

// History returns the stored revisions of a team, newest first. The first one is the
// accepted one. The error is of kind UnknownPath if the team does not exist.
func (r *Repository) History(ctx context.Context, team fleet.Team) ([]RevisionInfo, error) {
	current, err := r.Read(ctx, team)
	if err != nil {
		return nil, err
	}
	entries, _, err := r.store.List(ctx, historyPrefix+string(team)+"/")
	if err != nil {
		return nil, storeFault(err)
	}
	out := []RevisionInfo{current.RevisionInfo}
	for i := len(entries) - 1; i >= 0; i-- {
		record, err := decodeRecord(entries[i])
		if err != nil {
			return nil, err
		}
		out = append(out, record.RevisionInfo)
	}
	return out, nil
}

// Drain sets whether a target is drained, that is, receives no new requests.
// It does not check that the target exists. Errors are of kind PlatformUnavailable or
// OutcomeUnknown.
func (r *Repository) Drain(ctx context.Context, target string, drained bool) error {
	for range commitAttempts {
		accepted, err := r.readAccepted(ctx)
		if err != nil {
			return storeFault(err)
		}
		key := drainPrefix + target
		if _, exists := accepted.drains[target]; exists == drained {
			return nil
		}
		change := kv.Transaction{Expect: map[string]kv.Revision{changeCounterKey: accepted.counterRevision}}
		counter := accepted.nextCounter()
		counter.Undrained = slices.DeleteFunc(slices.Clone(counter.Undrained), func(t string) bool { return t == target })
		if drained {
			change.Put = append(change.Put, kv.Entry{Key: key, Value: drain{Era: accepted.era}.encode()})
		} else {
			change.Delete = []string{key}
			if accepted.era != 0 {
				counter.Undrained = append(counter.Undrained, target)
			}
		}
		change.Put = append(change.Put, kv.Entry{Key: changeCounterKey, Value: counter.encode()})
		_, err = r.store.Commit(ctx, change)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
			continue // read again: either another change was accepted, or this one
		default:
			return storeFault(err)
		}
	}
	return fault.New(fault.PlatformUnavailable, "the drain of target %q was not settled in %d attempts; repeat it", target, commitAttempts)
}

// readAccepted reads all entries below Prefix for a change. Errors of the store are
// returned as they are. If the store has fewer changes than are in force on this node, the
// error is of kind PlatformUnavailable.
func (r *Repository) readAccepted(ctx context.Context) (*acceptedSettings, error) {
	inForce := r.inForce() // before the list, so that the list has all changes in force
	entries, err := r.listEntries(ctx)
	if err != nil {
		return nil, err
	}
	accepted, err := entries.decode()
	if err != nil {
		return nil, err
	}
	if accepted.counter.Change < inForce {
		return nil, fault.New(fault.PlatformUnavailable,
			"the key-value service was restored from an older copy: it has changes up to %d, and %d is in force; the nodes write the settings again, repeat the change then", accepted.counter.Change, inForce)
	}
	return accepted, nil
}

// entryList holds the entries below Prefix, by key.
type entryList struct {
	entries map[string]kv.Entry
	// era is the era in which they were read.
	era kv.Era
}

// listEntries reads all entries below Prefix.
func (r *Repository) listEntries(ctx context.Context) (*entryList, error) {
	entries, revision, err := r.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	l := &entryList{make(map[string]kv.Entry, len(entries)), revision.Era()}
	for _, e := range entries {
		l.entries[e.Key] = e
	}
	return l, nil
}

// decode decodes the entries.
func (l *entryList) decode() (*acceptedSettings, error) {
	a := &acceptedSettings{storeRevisions: map[string]kv.Revision{}, records: map[fleet.Team]*Record{}, drains: map[string]drain{}}
	if l.era > kv.FirstEra {
		a.era = l.era
	}
	for key, e := range l.entries {
		a.storeRevisions[key] = e.ModRevision
		switch {
		case key == changeCounterKey:
			counter, err := decodeChangeCounter(e)
			if err != nil {
				return nil, err
			}
			a.counterRevision, a.counter = e.ModRevision, counter
		case strings.HasPrefix(key, teamPrefix):
			record, err := decodeRecord(e)
			if err != nil {
				return nil, err
			}
			a.records[record.Spec.Team] = record
		case strings.HasPrefix(key, drainPrefix):
			var d drain
			_ = json.Unmarshal(e.Value, &d) // a target is drained whatever the value is
			a.drains[strings.TrimPrefix(key, drainPrefix)] = d
		}
	}
	return a, nil
}

// decodeChangeCounter is the reverse of changeCounter.encode. An error names the key.
func decodeChangeCounter(e kv.Entry) (changeCounter, error) {
	var counter changeCounter
	if err := json.Unmarshal(e.Value, &counter); err != nil {
		return changeCounter{}, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	return counter, nil
}

// teamKey returns the key of the accepted record of a team.
func teamKey(team fleet.Team) string { return teamPrefix + string(team) }

// historyKey returns the key of a previous record of a team. Padding makes the order
// of keys that of revisions.
func historyKey(team fleet.Team, revision uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, team, revision)
}

// encode returns the value of changeCounterKey.
func (c changeCounter) encode() []byte { return encodeJSON(c) }

// encode returns the value of the entry of a drained target.
func (d drain) encode() []byte { return encodeJSON(d) }

// encodeJSON encodes a value of numbers and strings, which can't fail.
func encodeJSON(v any) []byte {
	text, _ := json.Marshal(v)
	return text
}

// encodeRecord returns a record as compressed JSON. Without compression the subtree of
// a team with 20,000 adapters exceeds the maximum size of a value. The error is of kind
// BodyTooLarge if the result exceeds maxRecordBytes.
func encodeRecord(r *Record) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	err := json.NewEncoder(writer).Encode(r)
	if err = errors.Join(err, writer.Close()); err != nil {
		return nil, fmt.Errorf("encode team %q: %w", r.Spec.Team, err)
	}
	if compressed.Len() > maxRecordBytes {
		return nil, fault.New(fault.BodyTooLarge, "the settings of team %q take %d bytes, want at most %d; split the team", r.Spec.Team, compressed.Len(), maxRecordBytes)
	}
	return compressed.Bytes(), nil
}

// decodeRecord is the reverse of encodeRecord. An error names the key of the entry.
func decodeRecord(e kv.Entry) (*Record, error) {
	reader, err := gzip.NewReader(bytes.NewReader(e.Value))
	if err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	text, err := io.ReadAll(reader)
	if err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	record := new(Record)
	if err := json.Unmarshal(text, record); err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	if record.Spec == nil {
		return nil, fmt.Errorf("entry %q holds no subtree", e.Key)
	}
	return record, nil
}

// storeFault converts an error of reading or writing the key-value service to one for
// operators, of kind OutcomeUnknown or PlatformUnavailable. An error that has a kind is
// returned as it is.
func storeFault(err error) error {
	var classified *fault.Error
	if errors.As(err, &classified) {
		return err
	}
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		return fault.New(fault.OutcomeUnknown, "the key-value service gave no answer: %w", err)
	}
	return fault.New(fault.PlatformUnavailable, "the key-value service does not answer: %w", err)
}
