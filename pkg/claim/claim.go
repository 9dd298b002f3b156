// Package claim settles idempotency keys: of all requests with the same key,
// at most one is sent to a target, through whatever nodes they arrive.
package claim

import (
	"crypto/sha256"
	"time"

	"almondturn/fleet"
)

// Request is a request with an idempotency key.
type Request struct {
	Team    fleet.Team
	Service fleet.Service
	// Key is the caller's Idempotency-Key.
	Key string
	// Digest is the SHA-256 digest of what the request asks for.
	Digest    []byte
	RequestID string
	// Idempotent requests may be sent again when the first holder died.
	Idempotent bool
	Deadline   time.Time
}

// KeyDigest returns the claim's key: a digest of team, service and caller's key.
func (r *Request) KeyDigest() []byte {
	h := sha256.New()
	for _, part := range []string{string(r.Team), string(r.Service), r.Key} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}
