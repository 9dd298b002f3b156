package teams

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
)

// Prefix is where the subtrees in force lie in the key-value service. What
// lies below it is the configuration of the nodes.
const Prefix = "almondturn/settings/"

// Keys of the key-value service.
const (
	headKey       = Prefix + "head"
	teamPrefix    = Prefix + "teams/"
	drainPrefix   = Prefix + "drains/"
	historyPrefix = "almondturn/history/"
)

const (
	// keptRevisions is the number of former revisions that a team has.
	maxHistoryRevisions = 20
	// commitAttempts bounds the tries of one change against others.
	commitAttempts = 8
	// maxRecordBytes bounds one value; the service takes up to a megabyte.
	maxRecordBytes = 900 << 10
)

// Store is the part of the key-value service that the repository needs.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	Commit(ctx context.Context, c kv.Change) (kv.Revision, error)
}

// RevisionInfo describes one revision of a team's subtree.
type RevisionInfo struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	WriteID  string    `json:"write_id"`
}

// Record is one revision of a team's subtree, as it is kept.
type Record struct {
	RevisionInfo
	// Change is the number of the change, counted over all teams.
	Change int64     `json:"change"`
	Spec   *TeamSpec `json:"spec"`
}

// head counts the changes. Each change expects the head as it was read, so
// that changes take effect one after the other and all names stay unique.
type head struct {
	Change int64 `json:"change"`
}

// Change is what an operator asks for.
type Change struct {
	Spec *TeamSpec
	// Expect is the revision that the operator read, 0 for a new team.
	Expect uint64
	Author string
	// WriteID makes a repeated change idempotent; empty takes a new one.
	WriteID string
}

// Repository reads and changes the accepted subtrees.
type Repository struct {
	store Store
	now   func() time.Time
}

// NewRepository returns the repository in a key-value service.
func NewRepository(s Store) *Repository { return &Repository{store: s, now: time.Now} }

// accepted is all that the key-value service holds below Prefix.
type acceptedSettings struct {
	headRevision kv.Revision
	change       int64
	revisions    map[string]kv.Revision
	records      map[fleet.Team]*Record
}

// Apply has a change accepted and returns the record. A change that was
// accepted before under the same WriteID is not made again.
func (r *Repository) Apply(ctx context.Context, c Change) (*Record, error) {
	if c.WriteID == "" {
		c.WriteID = uuid.NewString()
	}
	for range commitAttempts {
		state, err := r.readAccepted(ctx)
		if err != nil {
			return nil, storeFault(err)
		}
		current := state.records[c.Spec.Team]
		if current != nil && current.WriteID == c.WriteID {
			return current, nil
		}
		next, err := r.nextRecord(ctx, state, current, &c)
		if err != nil {
			return nil, err
		}
		err = r.commit(ctx, state, current, next)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
			continue // read back: another change was accepted, or this one
		default:
			return nil, storeFault(err)
		}
	}
	return nil, fault.New(fault.PlatformUnavailable, "the change was not settled in %d attempts; repeat it with the same write identifier", commitAttempts)
}

// next checks a change against what is accepted and returns its record.
func (r *Repository) nextRecord(ctx context.Context, state *acceptedSettings, current *Record, c *Change) (*Record, error) {
	revision := uint64(0)
	if current != nil {
		revision = current.Revision
	}
	if c.Expect != revision {
		return nil, r.conflictError(ctx, current, c)
	}
	if err := state.checkUnique(c.Spec); err != nil {
		return nil, err
	}
	return &Record{
		RevisionInfo: RevisionInfo{Revision: revision + 1, Author: c.Author, Time: r.now().UTC(), WriteID: c.WriteID},
		Change:       state.change + 1, Spec: c.Spec,
	}, nil
}

// commit writes the record, its predecessor into the history, and the head.
func (r *Repository) commit(ctx context.Context, state *acceptedSettings, current, next *Record) error {
	key := teamKey(next.Spec.Team)
	value, err := encodeRecord(next)
	if err != nil {
		return err
	}
	change := kv.Change{
		Expect: map[string]kv.Revision{headKey: state.headRevision, key: state.revisions[key]},
		Put:    []kv.Entry{{Key: key, Value: value}, {Key: headKey, Value: encodeHead(next.Change)}},
	}
	if current != nil {
		old, err := encodeRecord(current)
		if err != nil {
			return err
		}
		change.Put = append(change.Put, kv.Entry{Key: historyKey(next.Spec.Team, current.Revision), Value: old})
	}
	if next.Revision > maxHistoryRevisions+1 {
		change.Delete = []string{historyKey(next.Spec.Team, next.Revision-maxHistoryRevisions-1)}
	}
	_, err = r.store.Commit(ctx, change)
	return err
}

// conflict shows what others changed and what this change wanted.
func (r *Repository) conflictError(ctx context.Context, current *Record, c *Change) error {
	e := &ConflictError{Team: c.Spec.Team, Expected: c.Expect}
	if current == nil {
		return fault.New(fault.RevisionConflict, "team %q does not exist; want revision 0, not %d", c.Spec.Team, c.Expect)
	}
	e.Current, e.Author = current.Revision, current.Author
	base, err := r.readPastRevision(ctx, c.Spec.Team, c.Expect)
	if err == nil {
		e.Theirs, e.Yours = Diff(base.Spec, current.Spec), Diff(base.Spec, c.Spec)
	} else { // that revision is no longer kept
		e.Yours = Diff(current.Spec, c.Spec)
	}
	return &fault.Error{Kind: fault.RevisionConflict, Message: e.Error(), Err: e}
}

// unique checks that the names of services and the API keys of a subtree
// belong to no other team. The error does not name the other team, whose
// settings are its own.
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

// pathName is a name that only one team may have, and where it is declared.
type exclusiveName struct{ path, name string }

func exclusiveNames(spec *TeamSpec) []exclusiveName {
	var out []exclusiveName
	for i := range spec.Services {
		out = append(out, exclusiveName{fmt.Sprintf("services[%d].name", i), "service " + string(spec.Services[i].Name)})
	}
	for i, c := range spec.Callers {
		out = append(out, exclusiveName{fmt.Sprintf("callers[%d].key_sha256", i), "key " + c.KeyHash})
	}
	return out
}

// Read returns the accepted subtree of a team.
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

// ReadRevision returns a revision of a team's subtree.
func (r *Repository) ReadRevision(ctx context.Context, team fleet.Team, revision uint64) (*Record, error) {
	current, err := r.Read(ctx, team)
	if err != nil || current.Revision == revision {
		return current, err
	}
	return r.readPastRevision(ctx, team, revision)
}

func (r *Repository) readPastRevision(ctx context.Context, team fleet.Team, revision uint64) (*Record, error) {
	e, err := r.store.Get(ctx, historyKey(team, revision))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, fault.New(fault.UnknownPath, "team %q has no revision %d, or it is no longer kept", team, revision)
	}
	if err != nil {
		return nil, storeFault(err)
	}
	return decodeRecord(e)
}

// History returns the revisions of a team that are kept, the accepted one first.
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

// Drain has a target get no new requests, or takes that back.
func (r *Repository) Drain(ctx context.Context, target string, draining bool) error {
	for range commitAttempts {
		state, err := r.readAccepted(ctx)
		if err != nil {
			return storeFault(err)
		}
		key := drainPrefix + target
		if _, is := state.revisions[key]; is == draining {
			return nil
		}
		change := kv.Change{
			Expect: map[string]kv.Revision{headKey: state.headRevision},
			Put:    []kv.Entry{{Key: headKey, Value: encodeHead(state.change + 1)}},
		}
		if draining {
			change.Put = append(change.Put, kv.Entry{Key: key, Value: []byte("{}")})
		} else {
			change.Delete = []string{key}
		}
		_, err = r.store.Commit(ctx, change)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
			continue
		default:
			return storeFault(err)
		}
	}
	return fault.New(fault.PlatformUnavailable, "the drain of target %q was not settled in %d attempts; repeat it", target, commitAttempts)
}

func (r *Repository) readAccepted(ctx context.Context) (*acceptedSettings, error) {
	entries, _, err := r.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string]kv.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	return decodeAccepted(byKey)
}

// decodeAll reads all entries below Prefix.
func decodeAccepted(entries map[string]kv.Entry) (*acceptedSettings, error) {
	a := &acceptedSettings{revisions: map[string]kv.Revision{}, records: map[fleet.Team]*Record{}}
	for key, e := range entries {
		a.revisions[key] = e.ModRevision
		switch {
		case key == headKey:
			var h head
			if err := json.Unmarshal(e.Value, &h); err != nil {
				return nil, fmt.Errorf("entry %q: %w", key, err)
			}
			a.headRevision, a.change = e.ModRevision, h.Change
		case strings.HasPrefix(key, teamPrefix):
			record, err := decodeRecord(e)
			if err != nil {
				return nil, err
			}
			a.records[record.Spec.Team] = record
		}
	}
	return a, nil
}

func teamKey(team fleet.Team) string { return teamPrefix + string(team) }

func historyKey(team fleet.Team, revision uint64) string {
	return fmt.Sprintf("%s%s/%010d", historyPrefix, team, revision)
}

func encodeHead(change int64) []byte { return fmt.Appendf(nil, `{"change":%d}`, change) }

// encodeRecord compresses, because the subtree of a team with 20,000 adapters
// is larger than a value may be.
func encodeRecord(r *Record) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	err := json.NewEncoder(z).Encode(r)
	if err = errors.Join(err, z.Close()); err != nil {
		return nil, fmt.Errorf("encode team %q: %w", r.Spec.Team, err)
	}
	if b.Len() > maxRecordBytes {
		return nil, fault.New(fault.BodyTooLarge, "the settings of team %q take %d bytes, want at most %d; split the team", r.Spec.Team, b.Len(), maxRecordBytes)
	}
	return b.Bytes(), nil
}

func decodeRecord(e kv.Entry) (*Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(e.Value))
	if err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	text, err := io.ReadAll(z)
	if err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	r := new(Record)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("entry %q: %w", e.Key, err)
	}
	if r.Spec == nil {
		return nil, fmt.Errorf("entry %q holds no subtree", e.Key)
	}
	return r, nil
}

// unavailable turns an error of the key-value service into one for operators.
func storeFault(err error) error {
	var known *fault.Error
	if errors.As(err, &known) {
		return err
	}
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		return fault.New(fault.OutcomeUnknown, "the key-value service gave no answer: %w", err)
	}
	return fault.New(fault.PlatformUnavailable, "the key-value service does not answer: %w", err)
}
