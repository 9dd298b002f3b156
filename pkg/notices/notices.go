// Package notices holds what targets say about themselves in the headers of their
// responses, and what follows from it for a node: whether it may send them requests.
//
// That a target leaves is true of one incarnation, for good, and for all nodes. A pause
// binds the node that was asked for it, until a time on a clock that runs through
// suspensions of the VM. A rate limit counts over all nodes, and holds until a response to a
// request that was sent after the target last named it does not name one. Another incarnation, or another target at the same address, is
// another key and starts without notices.
package notices

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Notice is what one response says about its target.
type Notice struct {
	// Leaving is true if the target is shutting down.
	Leaving bool
	// Pause is how long the target wants no requests from the node that got the
	// response; 0 for no pause.
	Pause time.Duration
	// Limit is the rate limit that the target names.
	Limit RateLimit
	// LimitUnreadable is true if the response names a limit that can't be read, so that
	// it says nothing about one.
	LimitUnreadable bool
}

// RateLimit is the number of requests a second that a target takes from all nodes
// together. The zero value is no limit.
type RateLimit struct {
	// Named is true if there is a limit; PerSecond may be 0 then.
	Named     bool
	PerSecond float64
}

// IsZero reports whether the response says nothing.
func (n Notice) IsZero() bool { return n == Notice{} }

// Key identifies one incarnation of a target.
type Key struct {
	Target      string
	Incarnation int64
}

// State is what is known of a target.
type State struct {
	Leaving bool
	// LeavingSince is when this node learned it, zero unless Leaving.
	LeavingSince time.Time
	// PausedUntil is the end of the last pause, zero for none.
	PausedUntil time.Time
	// Limit is the rate limit in force, and LimitAsOf when it was so: when a response that
	// named it was read, or one that named none was requested.
	Limit     RateLimit
	LimitAsOf time.Time
}

// Paused reports whether the target wants no requests at a time.
func (s State) Paused(now time.Time) bool { return now.Before(s.PausedUntil) }

// maxLeaving is the greatest number of incarnations that are remembered as leaving. It
// is several times the number of targets of a large deployment.
const maxLeaving = 1 << 13

// minPauseChange is the shortest prolongation of a pause that counts as a change.
const minPauseChange = 50 * time.Millisecond

// Ledger holds the states of all targets with notices. Its methods may be called
// concurrently; State takes no lock.
type Ledger struct {
	// now is a clock that runs through suspensions.
	now func() time.Time
	// maxStates is the greatest number of targets with a state.
	maxStates int

	mu     sync.Mutex // held while states is replaced
	states atomic.Pointer[map[Key]State]
}

// NewLedger returns a ledger without notices. now must be a clock that runs through
// suspensions.
func NewLedger(now func() time.Time) *Ledger {
	l := &Ledger{now: now, maxStates: maxLeaving}
	l.states.Store(&map[Key]State{})
	return l
}

// Change says what a notice has changed.
type Change struct {
	// Leaves is true if the target was not known to leave.
	Leaves bool
	// Pauses is true if the target was not paused, or the end of its pause has moved.
	Pauses bool
	State  State
}

// Record records a notice of a target. An earlier notice stays in force: a target that
// leaves does not come back, and the later end of two pauses counts.
func (l *Ledger) Record(k Key, n Notice) Change {
	if n.IsZero() {
		return Change{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	before := (*l.states.Load())[k]
	after := before
	if n.Leaving && !before.Leaving {
		after.Leaving, after.LeavingSince = true, now
	}
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(before.PausedUntil) {
		after.PausedUntil = until
	}
	if after == before {
		return Change{State: after}
	}
	l.replace(now, k, after)
	return Change{
		Leaves: after.Leaving && !before.Leaving,
		Pauses: after.PausedUntil.Sub(before.PausedUntil) >= minPauseChange,
		State:  after,
	}
}

// limitMemory is how long the end of a limit is remembered, so that older news of it which
// arrive later do not bring it back.
const limitMemory = 10 * time.Second

// expired reports whether the state says nothing any more.
func (s State) expired(now time.Time) bool {
	return !s.Leaving && !s.Paused(now) && !s.Limit.Named && now.Sub(s.LimitAsOf) > limitMemory
}

// RecordLimit records the rate limit of a target, or that it has none, as of a time. What is
// as of a later time counts. It reports whether the limit has changed.
func (l *Ledger) RecordLimit(k Key, limit RateLimit, asOf time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := (*l.states.Load())[k]
	if !asOf.After(before.LimitAsOf) || !limit.Named && !before.Limit.Named {
		return false
	}
	after := before
	after.Limit, after.LimitAsOf = limit, asOf
	l.replace(l.now(), k, after)
	return after.Limit != before.Limit
}

// replace sets the state of a target, and forgets what has ended and the oldest
// target beyond maxStates. l.mu must be held.
func (l *Ledger) replace(now time.Time, k Key, s State) {
	next := maps.Clone(*l.states.Load())
	maps.DeleteFunc(next, func(_ Key, s State) bool { return s.expired(now) })
	next[k] = s
	if len(next) > l.maxStates {
		delete(next, oldest(next))
	}
	l.states.Store(&next)
}

// oldest returns the target whose state is the oldest.
func oldest(states map[Key]State) Key {
	return slices.MinFunc(slices.Collect(maps.Keys(states)), func(a, b Key) int {
		return cmp.Or(states[a].since().Compare(states[b].since()), cmp.Compare(a.Target, b.Target))
	})
}

// since returns the latest time of the state.
func (s State) since() time.Time {
	latest := s.LeavingSince
	for _, t := range []time.Time{s.PausedUntil, s.LimitAsOf} {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// State returns what is known of a target, the zero value for nothing.
func (l *Ledger) State(k Key) State { return (*l.states.Load())[k] }

// Empty reports whether no target has a notice in force. It may also return false
// shortly after the last pause has ended.
func (l *Ledger) Empty() bool { return len(*l.states.Load()) == 0 }

// Leaving returns the targets that leave, in no particular order.
func (l *Ledger) Leaving() []Key {
	var out []Key
	for k, s := range *l.states.Load() {
		if s.Leaving {
			out = append(out, k)
		}
	}
	return out
}

// PauseLeft returns how long a target still wants no requests, 0 for no pause.
func (l *Ledger) PauseLeft(k Key) time.Duration {
	return max(l.State(k).PausedUntil.Sub(l.now()), 0)
}

// Limits returns the rate limits in force.
func (l *Ledger) Limits() map[Key]State {
	out := map[Key]State{}
	for k, s := range *l.states.Load() {
		if s.Limit.Named {
			out[k] = s
		}
	}
	return out
}

// Now returns the time on the clock of the ledger.
func (l *Ledger) Now() time.Time { return l.now() }

// Counts returns the numbers of targets that leave, that are paused and that have a limit.
func (l *Ledger) Counts() (leaving, paused, limited int) {
	now := l.now()
	for _, s := range *l.states.Load() {
		if s.Leaving {
			leaving++
		}
		if s.Paused(now) {
			paused++
		}
		if s.Limit.Named {
			limited++
		}
	}
	return leaving, paused, limited
}
