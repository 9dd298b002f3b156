package dispatch

import (
	"net/http"
	"time"

	"almondturn/pkg/platform"
)

// answer passes a target's answer to the caller and notes what the
// histograms and the idempotency claims need of it.
type answer struct {
	sink  Sink
	clock platform.Clock

	arrived time.Time
	// placedAt is when the request first got a place at a target.
	placedAt time.Time
	cold     bool
	firstAt  time.Time
	started  bool
	status   int

	contentType string
	// limit is the number of bytes kept in body; negative keeps nothing.
	limit     int
	body      []byte
	truncated bool
}

func newAnswer(sink Sink, now time.Time, clock platform.Clock, limit int) *answer {
	return &answer{sink: sink, clock: clock, arrived: now, limit: limit}
}

// placed notes that the request got a place.
func (a *answer) placed(now time.Time, cold bool) {
	if a.placedAt.IsZero() {
		a.placedAt = now
	}
	a.cold = a.cold || cold
}

// Start implements target.Receiver.
func (a *answer) Start(status int, header http.Header) {
	a.started = true
	a.status = status
	a.firstAt = a.clock.Now()
	a.contentType = header.Get("Content-Type")
	a.sink.Start(status, header)
}

// Write implements target.Receiver.
func (a *answer) Write(p []byte) error {
	if a.limit >= 0 {
		room := a.limit - len(a.body)
		a.truncated = a.truncated || len(p) > room
		a.body = append(a.body, p[:min(room, len(p))]...)
	}
	return a.sink.Write(p)
}
