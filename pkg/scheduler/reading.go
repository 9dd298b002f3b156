package scheduler

import "time"

// Pacing of prompts. A target reads the prompts of new runs between the tokens
// of those in progress, so that many prompts at once make the events of all its
// streams late. Within one allowed pause between events, a target gets no more
// prompts than it reads in a part of it.
const (
	// readingShare is the part of the allowed pause in which prompts may be
	// read; the rest is for the tokens of one event.
	readingShare = 0.6
	// leastReadings is the weight of samples from which a reading time is
	// estimated.
	leastReadings = 20
	// readingMemory is what is left of a sample's weight at the next one.
	readingMemory = 0.99
	// outlier bounds a sample in multiples of what was expected: a target that
	// has stalled says nothing of prompts.
	outlier = 2
)

// readingTime estimates the time that a target takes per prompt token, by a
// weighted linear regression of the time to a run's first event over the number
// of prompt tokens that were unread when it was granted.
type readingTime struct {
	n, x, y, xx, xy float64
}

// learn adds a sample: a first event came so long after the grant.
func (r *readingTime) learn(unread int, took time.Duration) {
	x, y := float64(unread), took.Seconds()
	if per := r.perToken(); per > 0 {
		fixed := (r.y - per*r.x) / r.n
		y = min(y, outlier*max(fixed+per*x, 0))
	}
	r.n = r.n*readingMemory + 1
	r.x = r.x*readingMemory + x
	r.y = r.y*readingMemory + y
	r.xx = r.xx*readingMemory + x*x
	r.xy = r.xy*readingMemory + x*y
}

// perToken returns the estimate in seconds, 0 while there is none.
func (r *readingTime) perToken() float64 {
	spread := r.n*r.xx - r.x*r.x
	if r.n < leastReadings || spread <= 0 {
		return 0
	}
	return max((r.n*r.xy-r.x*r.y)/spread, 0)
}

// learnReading adds a sample for a model, and for all models of its service.
func (s *Scheduler) learnReading(k modelKey, unread int, took time.Duration) {
	s.demandOf(k).reading.learn(unread, took)
	all := s.reading[k.service]
	if all == nil {
		all = new(readingTime)
		s.reading[k.service] = all
	}
	all.learn(unread, took)
}

// readingOf returns the expected time to read a prompt. Models that are seldom
// asked for count like the others of their service.
func (s *Scheduler) readingOf(k modelKey, tokens int) time.Duration {
	per := s.demandOf(k).reading.perToken()
	if all := s.reading[k.service]; per == 0 && all != nil {
		per = all.perToken()
	}
	return time.Duration(per * float64(tokens) * float64(time.Second))
}

// sentPrompt is a prompt that was sent to a target, with the time that it takes
// to be read.
type sentPrompt struct {
	at      time.Time
	reading time.Duration
}

// noteGap learns the shortest pause between events that a service's routes allow.
func (s *Scheduler) noteGap(service string, gap time.Duration) {
	if gap <= 0 {
		return
	}
	if known, ok := s.gaps[service]; !ok || gap < known {
		s.gaps[service] = gap
	}
}

// pauses tells whether the prompt of a request would make the events of the
// target's streams late. A target without runs has none to make late, and one
// prompt alone cannot be spread.
func (s *Scheduler) pauses(now time.Time, t *target, w *waiter) bool {
	gap := s.gaps[w.Service]
	t.forgetPrompts(now.Add(-gap))
	if gap <= 0 || len(t.prompts) == 0 {
		return false
	}
	total := s.readingOf(modelKey{w.Service, w.Model}, w.InputTokens)
	for _, r := range t.prompts {
		total += r.reading
	}
	return total > time.Duration(readingShare*float64(gap))
}

// forgetPrompts drops the prompts that were sent before a time.
func (t *target) forgetPrompts(before time.Time) {
	n := 0
	for n < len(t.prompts) && t.prompts[n].at.Before(before) {
		n++
	}
	t.prompts = t.prompts[n:]
}
