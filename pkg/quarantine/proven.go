package quarantine

import "time"

// provenPerGeneration is the number of parts in each of the two generations of
// provenParts.
const provenPerGeneration = 2048

// provenParts holds the parts with a run that survived, and when the response of the
// last such run began. It forgets the parts that have not been added for longest, a
// generation at a time. Its zero value is empty.
type provenParts struct{ current, previous map[Part]time.Time }

// add records a run that began at a time.
func (pp *provenParts) add(p Part, begun time.Time) {
	if at, ok := pp.survivedAt(p); ok && at.After(begun) {
		begun = at
	}
	if _, ok := pp.current[p]; !ok && len(pp.current) >= provenPerGeneration {
		pp.previous, pp.current = pp.current, nil
	}
	if pp.current == nil {
		pp.current = map[Part]time.Time{}
	}
	pp.current[p] = begun
}

// survivedAt returns when the last run that survived began; ok is false if none is
// known.
func (pp *provenParts) survivedAt(p Part) (at time.Time, ok bool) {
	if at, ok = pp.current[p]; ok {
		return at, true
	}
	at, ok = pp.previous[p]
	return at, ok
}

// has reports whether a run with the part is known to have survived.
func (pp *provenParts) has(p Part) bool {
	_, ok := pp.survivedAt(p)
	return ok
}
