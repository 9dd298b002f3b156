package entry

import (
	"errors"
	"time"
)

// silenceResponse is what is done about a silent stream.
type silenceResponse uint8

const (
	// stay: the stream goes on at its target.
	stay silenceResponse = iota
	// race: the next target is asked, too. The stream stays at its target unless the next
	// one has continued it within maxOverlap.
	race
	// leave: the next target is asked, and the attempt may end before that one has begun.
	leave
)

// respondToSilence decides about a stream that has been silent for silence. attemptsLeft is
// the number of attempts that the route still allows. After lastChance, the client would
// not wait for another decision.
//
// An attempt is not given up, nor is the last one spent, because of silence alone, which
// does not tell a sound target from one that has failed. What a failed connection has not
// delivered may still be on the way until lastChance, and a target that hangs may go on. At
// lastChance a race can only gain: the attempt goes on in it.
func respondToSilence(d diagnosis, attemptsLeft int, silence, lastChance time.Duration) silenceResponse {
	switch {
	case attemptsLeft < 1:
		return stay
	case d.failed() && (!d.mayRecover() || silence >= lastChance):
		return leave
	case attemptsLeft > 1 || silence >= lastChance:
		return race
	default:
		return stay
	}
}

// lastChance returns the silence after which the client of a stream is about to leave: most
// of the time that it waits for an event.
func (j *job) lastChance() time.Duration {
	if j.Route.FirstEventTimeout <= 0 {
		return lastChanceFactor * j.eventWait(true)
	}
	return j.Route.FirstEventTimeout * 3 / 4
}

// lastChanceFactor is job.lastChance as a multiple of the wait for an event, on routes whose
// clients have no timeout for it.
const lastChanceFactor = 2

// errStalled is the cause with which an attempt of a silent stream is ended after the
// next one was secured.
var errStalled = errors.New("the stream is silent and is continued at another target")

// Reasons for which a stream stays at its target, besides those of the owners.
var (
	errNoBudget   = errors.New(obstacleBudget)
	errSameTarget = errors.New("only the silent target is free")
	errTimeOver   = errors.New(obstacleTime)
	errMayGoOn    = errors.New("nothing shows that the target has failed")
	errOverlap    = errors.New("the next target has not continued the stream in time")
)
