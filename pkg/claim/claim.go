// Package claim settles idempotency keys: of all requests with the same key,
// at most one is sent to a target, through whatever nodes they arrive.
package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"almondturn/fleet"
)

// rangeCount is the number of hash ranges. It is the same on all nodes for
// as long as any claim is kept.
const rangeCount = 64

// rangeKey returns the key of the key-value service that holds the claim.
func rangeKey(digest []byte) string {
	return fmt.Sprintf("claims/%02x", int(digest[0])%rangeCount)
}

// Options are the settings of idempotency claims.
type Options struct {
	// Retention is how long an outcome is kept.
	Retention time.Duration `yaml:"retention" validate:"gt=0"`
	// MaxRangeBytes bounds the value of one hash range; the service takes
	// up to a megabyte.
	MaxRangeBytes int `yaml:"max_range_bytes" validate:"gt=0,lte=1000000"`
	// WriteTimeout bounds one call to the key-value service.
	WriteTimeout time.Duration `yaml:"write_timeout" validate:"gt=0"`
	// WriteAttempts bounds the tries of one group commit.
	WriteAttempts int `yaml:"write_attempts" validate:"gt=0"`
	// OutcomeDelay is how long outcomes wait for others to be written with.
	OutcomeDelay time.Duration `yaml:"outcome_delay" validate:"gte=0"`
	// AskTimeout bounds one call to a claim writer.
	AskTimeout time.Duration `yaml:"ask_timeout" validate:"gt=0"`
	// AskAttempts bounds the writers asked for one claim.
	AskAttempts int `yaml:"ask_attempts" validate:"gt=0"`
	// DeadAfter is how long a holder's node is out of sight before its
	// claims count as a dead holder's; a node that has restarted is dead at once.
	DeadAfter time.Duration `yaml:"dead_after" validate:"gt=0"`
	// OutcomeTimeout is how long the recording of an outcome is tried.
	OutcomeTimeout time.Duration `yaml:"outcome_timeout" validate:"gt=0"`
}

// DefaultOptions returns settings for a service that answers in milliseconds.
func DefaultOptions() Options {
	return Options{
		Retention:      24 * time.Hour,
		MaxRangeBytes:  768 << 10,
		WriteTimeout:   time.Second,
		WriteAttempts:  5,
		OutcomeDelay:   20 * time.Millisecond,
		AskTimeout:     2 * time.Second,
		AskAttempts:    3,
		DeadAfter:      10 * time.Second,
		OutcomeTimeout: time.Minute,
	}
}

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
