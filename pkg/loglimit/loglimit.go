// Package loglimit bounds log lines about events that others cause, and may cause often.
package loglimit

import (
	"sync"
	"time"
)

// Bounds of the lines.
const (
	// At most MaxLines lines are written per Window.
	MaxLines = 20
	Window   = time.Minute
	// KeyRepeat is how long a key is not logged again, MaxKeys the number of keys that are
	// remembered.
	KeyRepeat = 10 * time.Minute
	MaxKeys   = 1024
)

// Lines bounds the lines of one kind. Its zero value is ready for use, and its methods may be
// called concurrently.
type Lines struct {
	mu          sync.Mutex // guards all below
	windowBegan time.Time
	lines       int // since windowBegan
	suppressed  int // lines that were not written since the last one that was
}

// Admit reports whether a line may be written, and returns the number of lines that were not
// written before it.
func (l *Lines) Admit(now time.Time) (suppressed int, ok bool) {
	return l.admitUnless(now, func() bool { return false })
}

// admitUnless is Admit; a line for which repeated returns true is not written either. repeated
// is called only if the line may be written otherwise, with l.mu held.
func (l *Lines) admitUnless(now time.Time, repeated func() bool) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowBegan) >= Window {
		l.windowBegan, l.lines = now, 0
	}
	if l.lines >= MaxLines || repeated() {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// Keyed bounds the lines about keys: it is Lines that admits no key again within KeyRepeat. Its
// zero value is ready for use, and its methods may be called concurrently.
type Keyed struct {
	lines Lines
	// loggedAt holds the time of the last line by key; lines.mu guards it.
	loggedAt map[string]time.Time
}

// Admit reports whether a line about a key may be written, and returns the number of lines that
// were not written before it.
func (k *Keyed) Admit(now time.Time, key string) (suppressed int, ok bool) {
	return k.lines.admitUnless(now, func() bool {
		if at, seen := k.loggedAt[key]; seen && now.Sub(at) < KeyRepeat {
			return true
		}
		if k.loggedAt == nil || len(k.loggedAt) >= MaxKeys {
			k.loggedAt = map[string]time.Time{}
		}
		k.loggedAt[key] = now
		return false
	})
}

// Keys returns the number of keys that are remembered.
func (k *Keyed) Keys() int {
	k.lines.mu.Lock()
	defer k.lines.mu.Unlock()
	return len(k.loggedAt)
}
