package pace

import "time"

// Parameters of the choice among targets without an owner that knows all their requests.
const (
	// ownWeight is the weight of the request's own duration in Cost, in shares of a target's
	// slots. With a large one, all nodes prefer the fast targets, whose load each of
	// them knows only from its own responses.
	ownWeight = 0.1
	// loadHalfLife is the time in which the expected load halves without reports.
	loadHalfLife = 5 * time.Second
	// loadSampleWeight is the weight of the last report in the expected load.
	loadSampleWeight = 0.2
)

// Cost returns the cost of one more request at a target of which a share load of the slots is in
// use: the time that the requests there and the new one are expected to take. For the factor 1 it
// is load.
func Cost(load, factor float64) float64 {
	if factor == 1 {
		return load // the sum below would round
	}
	return factor*(ownWeight+load) - ownWeight
}

// Load is the expected number of requests of other nodes at a target that has not reported it
// lately. The zero value expects none.
type Load struct {
	mean float64
	at   time.Time
}

// Observe adds a number of requests that the target has reported.
func (l *Load) Observe(now time.Time, requests int) {
	if l.at.IsZero() {
		l.mean = float64(requests)
	}
	l.mean += loadSampleWeight * (float64(requests) - l.mean)
	l.at = now
}

// Expected returns the number expected now.
func (l *Load) Expected(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.mean * halved(max(now.Sub(l.at), 0), loadHalfLife)
}
