package entry

import (
	"sync"
	"time"

	"almondturn/pkg/event"
)

// Bounds of the log lines about invalid entries, which another writer may write often
// or in great numbers.
const (
	// invalidEntryRepeat is how long a key is not logged again.
	invalidEntryRepeat = 10 * time.Minute
	// At most maxInvalidEntryLines lines are written per invalidEntryWindow.
	invalidEntryWindow   = time.Minute
	maxInvalidEntryLines = 20
	// maxInvalidEntryKeys is the number of keys that are remembered.
	maxInvalidEntryKeys = 1024
)

// invalidEntryLog bounds the log lines about invalid entries. Its zero value is ready
// for use, and its methods may be called concurrently.
type invalidEntryLog struct {
	mu sync.Mutex // guards all below
	// loggedAt holds the time of the last line by key.
	loggedAt    map[string]time.Time
	windowBegan time.Time
	lines       int // since windowBegan
	suppressed  int // lines that were not written since the last one that was
}

// admit reports whether a line about a key may be written, and returns the number of
// lines that were not written before it.
func (l *invalidEntryLog) admit(now time.Time, key string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowBegan) >= invalidEntryWindow {
		l.windowBegan, l.lines = now, 0
	}
	at, seen := l.loggedAt[key]
	if seen && now.Sub(at) < invalidEntryRepeat || l.lines >= maxInvalidEntryLines {
		l.suppressed++
		return 0, false
	}
	if l.loggedAt == nil || len(l.loggedAt) >= maxInvalidEntryKeys {
		l.loggedAt = map[string]time.Time{}
	}
	l.loggedAt[key] = now
	suppressed, l.suppressed = l.suppressed, 0
	l.lines++
	return suppressed, true
}

// logInvalidEntry logs an entry that can't be decoded, within the bounds of
// invalidEntryLog.
func (n *Node) logInvalidEntry(key string, err error) {
	if suppressed, ok := n.invalidEntries.admit(time.Now(), key); ok {
		event.TargetEntryInvalid.Log(n.log).Str("key", key).Int("suppressed", suppressed).Err(err).Send()
	}
}
