package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/rs/zerolog"
)

// digestBytes is the length of the digest of a request, a truncated SHA-256.
const digestBytes = 16

// digest returns the digest in hexadecimal form of what a request has in common with its
// repetitions: the method, the host, the path with the query, the model, the declaration of
// the prompt, and the body.
func (j *job) digest() string {
	h := sha256.New()
	for _, field := range [...]string{j.Method, j.Host, j.URI, j.Model, j.Adapter, j.Prompt} {
		_, _ = io.WriteString(h, field) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(j.body)
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// withDigest adds the digest of a request to a log line about an attempt with an unknown
// outcome, by which requests that come again and fail their targets are found.
func withDigest(line *zerolog.Event, j *job, r sendResult) *zerolog.Event {
	if r.kind != outcomeUnknown {
		return line
	}
	return line.Str("digest", j.digest())
}
