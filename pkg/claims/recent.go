package claims

import (
	"slices"
	"sync"
	"time"

	"almondturn/pkg/kv"
)

// Bounds of the claims that a node remembers in order to write them again.
const (
	// recentTime is how long after its request ended a claim is remembered. It exceeds
	// the age of the copies from which the key-value service is restored.
	recentTime = time.Minute
	// maxRecentClaims is the maximum number of remembered claims whose requests have
	// ended; each holds a response of up to MaxBodyBytes.
	maxRecentClaims = 4096
)

// recentClaim is a claim as this node has last written it, or tried to.
type recentClaim struct {
	key    string
	record record
	// writtenIn is the era in which the claim was last written or found in the service.
	writtenIn kv.Era
	// endedAt is when the outcome was first recorded or the claim released; zero while the
	// request runs.
	endedAt time.Time
	// released is true if the request was not run: the key is free.
	released bool
}

// recentClaims holds the claims of the requests that run on this node, and of those that
// ended recently. Its methods may be called concurrently.
type recentClaims struct {
	mu     sync.Mutex // guards all below
	claims map[string]*recentClaim
	// ended holds the request identifiers, the keys of claims, of the requests that have
	// ended, in the order in which they did.
	ended []string
}

// begin adds the claim of a request that is to be run.
func (r *recentClaims) begin(c *Claim, writtenIn kv.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claims == nil {
		r.claims = map[string]*recentClaim{}
	}
	r.claims[c.record.RequestID] = &recentClaim{key: c.key, record: c.record, writtenIn: writtenIn}
}

// end records the outcome of the request. It returns the Era of the claim's record.
func (r *recentClaims) end(c *Claim, now time.Time) kv.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	claim := r.claims[c.record.RequestID]
	if claim == nil {
		return c.record.Era
	}
	era := max(claim.record.Era, c.record.Era)
	claim.record = c.record
	claim.record.Era = era
	r.setEnded(claim, now)
	return era
}

// release records that the request was not run.
func (r *recentClaims) release(c *Claim, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if claim := r.claims[c.record.RequestID]; claim != nil {
		claim.released = true
		r.setEnded(claim, now)
	}
}

// setEnded records when a request has first ended, and forgets claims beyond the bounds.
// r.mu must be held.
func (r *recentClaims) setEnded(c *recentClaim, now time.Time) {
	if c.endedAt.IsZero() {
		c.endedAt = now
		r.ended = append(r.ended, c.record.RequestID)
	}
	for len(r.ended) > 0 {
		oldest := r.claims[r.ended[0]]
		if len(r.ended) <= maxRecentClaims && now.Sub(oldest.endedAt) <= recentTime {
			return
		}
		delete(r.claims, r.ended[0])
		r.ended = r.ended[1:]
	}
}

// remove forgets the claim of a request.
func (r *recentClaims) remove(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.claims, requestID)
	r.ended = slices.DeleteFunc(r.ended, func(id string) bool { return id == requestID })
}

// get returns the claim of a request; ok is false if it is not remembered.
func (r *recentClaims) get(requestID string) (claim recentClaim, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.claims[requestID]
	if !ok {
		return recentClaim{}, false
	}
	return *c, true
}

// setWritten records that the claim of a request was written or found in an era.
func (r *recentClaims) setWritten(requestID string, era kv.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.claims[requestID]; c != nil {
		c.writtenIn, c.record.Era = max(c.writtenIn, era), max(c.record.Era, era)
	}
}

// writtenBefore returns the claims that were last written before an era: first those of
// running requests, then the others, the last that ended first.
func (r *recentClaims) writtenBefore(era kv.Era) []recentClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []recentClaim
	for _, c := range r.claims {
		if c.endedAt.IsZero() && c.writtenIn < era {
			out = append(out, *c)
		}
	}
	for _, id := range slices.Backward(r.ended) {
		if c := r.claims[id]; c.writtenIn < era {
			out = append(out, *c)
		}
	}
	return out
}
