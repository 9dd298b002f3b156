package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"almondturn/pkg/quarantine"
	"almondturn/pkg/zoneowner"
)

// suspectKeyPrefix is the prefix of the keys of stored evidence. It is below that of the
// owners, so that the watch of these reads it, too.
const suspectKeyPrefix = zoneowner.KeyPrefix + "suspects/"

// suspectKey returns the key of the evidence against a part.
func suspectKey(p quarantine.Part) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d\x00%s\x00%s", p.Kind, p.Service, p.ID))
	return suspectKeyPrefix + hex.EncodeToString(digest[:digestBytes])
}

// isSuspectKey reports whether a key is one of stored evidence; those of the owner of a zone
// of that name are not.
func isSuspectKey(key string) bool {
	name, ok := strings.CutPrefix(key, suspectKeyPrefix)
	return ok && name != "owner" && name != "last"
}

// suspectEntry is the JSON value of stored evidence.
type suspectEntry struct {
	Service string          `json:"service"`
	Kind    quarantine.Kind `json:"kind"`
	Part    string          `json:"part"`
	Crashes []storedCrash   `json:"crashes"`
	Rounds  int             `json:"rounds,omitempty"`
	// RefusedMillis is the time from the last refused trial that counts as a round to the
	// writing, nil for none.
	RefusedMillis *int64 `json:"refused_ms,omitempty"`
	// Written is when the entry was written, in milliseconds since 1970.
	Written int64 `json:"written"`
}

// storedCrash is a crash of a suspectEntry.
type storedCrash struct {
	Target      string   `json:"target"`
	Incarnation int64    `json:"incarnation"`
	Requests    []string `json:"requests"`
	// AgeMillis is the time from the crash to the writing.
	AgeMillis int64 `json:"age_ms"`
}

// encodeSuspect returns the value of the entry of a record.
func encodeSuspect(now time.Time, r quarantine.Record) []byte {
	e := suspectEntry{Service: r.Part.Service, Kind: r.Part.Kind, Part: r.Part.ID, Rounds: r.Rounds, Written: now.UnixMilli()}
	if r.Refused {
		millis := r.RefusedAge.Milliseconds()
		e.RefusedMillis = &millis
	}
	for _, c := range r.Crashes {
		e.Crashes = append(e.Crashes, storedCrash{Target: c.Target, Incarnation: c.Incarnation, Requests: c.Requests, AgeMillis: c.Age.Milliseconds()})
	}
	value, _ := json.Marshal(e) // strings and numbers always encode
	return value
}

// decodeSuspect returns the content of an entry.
func decodeSuspect(value []byte) (suspectEntry, error) {
	var e suspectEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return suspectEntry{}, fmt.Errorf("decode stored evidence: %w", err)
	}
	if !e.Kind.Valid() {
		return suspectEntry{}, fmt.Errorf("stored evidence about an unknown kind %d", e.Kind)
	}
	return e, nil
}

// record returns the evidence with ages at a time. The clocks of the nodes that write and
// read may differ: an age is never less than it was when the entry was written.
func (e suspectEntry) record(now time.Time) quarantine.Record {
	r := quarantine.Record{Part: quarantine.Part{Service: e.Service, ID: e.Part, Kind: e.Kind}, Rounds: max(e.Rounds, 0)}
	stored := max(now.Sub(time.UnixMilli(e.Written)), 0)
	if e.RefusedMillis != nil {
		r.Refused, r.RefusedAge = true, min(evidenceAge(*e.RefusedMillis)+stored, maxEvidenceAge)
	}
	for _, c := range e.Crashes {
		crash := quarantine.Crash{Target: c.Target, Incarnation: c.Incarnation}
		r.Crashes = append(r.Crashes, quarantine.CrashAge{Crash: crash, Requests: c.Requests, Age: min(evidenceAge(c.AgeMillis)+stored, maxEvidenceAge)})
	}
	return r
}
