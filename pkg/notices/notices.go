// Package notices holds what targets say about themselves in the headers of their
// responses, and what follows from it for a node: whether it may send them requests.
//
// That a target leaves is true of one incarnation, for good, and for all nodes. A pause
// binds the node that was asked for it, until a time on a clock that runs through
// suspensions of the VM; it is kept by the name of the target, because the list of targets
// shows a new incarnation late, which may be the one that asked. A rate limit counts over all nodes, and holds until a response to a
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
	// Limit is the rate limit in force, and LimitAsOf when it was so: when a response that
	// named it was read, or one that named none was requested.
	Limit     RateLimit
	LimitAsOf time.Time
}

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

	mu       sync.Mutex // held while contents is replaced
	contents atomic.Pointer[contents]
}

// contents is what a ledger holds. It does not change.
type contents struct {
	states map[Key]State
	// pausedUntil holds the ends of pauses by target.
	pausedUntil map[string]time.Time
}

// NewLedger returns a ledger without notices. now must be a clock that runs through
// suspensions.
func NewLedger(now func() time.Time) *Ledger {
	l := &Ledger{now: now, maxStates: maxLeaving}
	l.contents.Store(new(contents))
	return l
}

// Change says what a notice has changed.
type Change struct {
	// Leaves is true if the target was not known to leave.
	Leaves bool
	// Pauses is true if the target was not paused, or the end of its pause has moved.
	Pauses bool
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
	var change Change
	state := l.State(k)
	if n.Leaving && !state.Leaving {
		state.Leaving, state.LeavingSince = true, now
		change.Leaves = true
		l.setState(now, k, state)
	}
	before := l.contents.Load().pausedUntil[k.Target]
	if until := now.Add(n.Pause); n.Pause > 0 && until.After(before) {
		change.Pauses = until.Sub(before) >= minPauseChange
		l.setPause(now, k.Target, until)
	}
	return change
}

// setPause sets the end of a target's pause, and forgets pauses that are over. l.mu must be
// held.
func (l *Ledger) setPause(now time.Time, target string, until time.Time) {
	next := *l.contents.Load()
	next.pausedUntil = maps.Clone(next.pausedUntil)
	if next.pausedUntil == nil {
		next.pausedUntil = map[string]time.Time{}
	}
	maps.DeleteFunc(next.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	next.pausedUntil[target] = until
	l.contents.Store(&next)
}

// limitMemory is how long the end of a limit is remembered, so that older news of it which
// arrive later do not bring it back.
const limitMemory = 10 * time.Second

// expired reports whether the state says nothing any more.
func (s State) expired(now time.Time) bool {
	return !s.Leaving && !s.Limit.Named && now.Sub(s.LimitAsOf) > limitMemory
}

// RecordLimit records the rate limit of a target, or that it has none, as of a time. What is
// as of a later time counts. It reports whether the limit has changed.
func (l *Ledger) RecordLimit(k Key, limit RateLimit, asOf time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.State(k)
	if !asOf.After(before.LimitAsOf) || !limit.Named && !before.Limit.Named {
		return false
	}
	after := before
	after.Limit, after.LimitAsOf = limit, asOf
	l.setState(l.now(), k, after)
	return after.Limit != before.Limit
}

// setState sets the state of a target, and forgets what has ended and the oldest target
// beyond maxStates. l.mu must be held.
func (l *Ledger) setState(now time.Time, k Key, s State) {
	next := *l.contents.Load()
	next.states = maps.Clone(next.states)
	if next.states == nil {
		next.states = map[Key]State{}
	}
	maps.DeleteFunc(next.states, func(_ Key, s State) bool { return s.expired(now) })
	next.states[k] = s
	if len(next.states) > l.maxStates {
		delete(next.states, oldest(next.states))
	}
	l.contents.Store(&next)
}

// oldest returns the target whose state is the oldest.
func oldest(states map[Key]State) Key {
	return slices.MinFunc(slices.Collect(maps.Keys(states)), func(a, b Key) int {
		return cmp.Or(states[a].since().Compare(states[b].since()), cmp.Compare(a.Target, b.Target))
	})
}

// since returns the latest time of the state.
func (s State) since() time.Time {
	if s.LimitAsOf.After(s.LeavingSince) {
		return s.LimitAsOf
	}
	return s.LeavingSince
}

// State returns what is known of a target, the zero value for nothing.
func (l *Ledger) State(k Key) State { return l.contents.Load().states[k] }

// Empty reports whether no target has a notice in force. It may also return false
// shortly after the last pause has ended.
func (l *Ledger) Empty() bool {
	c := l.contents.Load()
	return len(c.states) == 0 && len(c.pausedUntil) == 0
}

// Leaving returns the targets that leave, in no particular order.
func (l *Ledger) Leaving() []Key {
	var out []Key
	for k, s := range l.contents.Load().states {
		if s.Leaving {
			out = append(out, k)
		}
	}
	return out
}

// PauseLeft returns how long a target still wants no requests, 0 for no pause.
func (l *Ledger) PauseLeft(target string) time.Duration {
	until, ok := l.contents.Load().pausedUntil[target]
	if !ok {
		return 0
	}
	return max(until.Sub(l.now()), 0)
}

// Limits returns the rate limits in force.
func (l *Ledger) Limits() map[Key]State {
	out := map[Key]State{}
	for k, s := range l.contents.Load().states {
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
	for _, s := range l.contents.Load().states {
		if s.Leaving {
			leaving++
		}
		if s.Limit.Named {
			limited++
		}
	}
	for _, until := range l.contents.Load().pausedUntil {
		if now.Before(until) {
			paused++
		}
	}
	return leaving, paused, limited
}
