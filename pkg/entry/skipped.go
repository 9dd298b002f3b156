package entry

import (
	"net/http"
	"sync"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
)

// Bounds of the log lines about skipped responses, which a faulty target may write often: at
// most maxSkippedLines are written per skippedWindow.
const (
	skippedWindow   = time.Minute
	maxSkippedLines = 20
)

// skippedLog bounds the log lines about skipped responses. Its zero value is ready for use,
// and its methods may be called concurrently.
type skippedLog struct {
	mu          sync.Mutex // guards all below
	windowBegan time.Time
	lines       int // since windowBegan
	suppressed  int // lines that were not written since the last one that was
}

// admit reports whether a line may be written, and returns the number of lines that were not
// written before it.
func (l *skippedLog) admit(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowBegan) >= skippedWindow {
		l.windowBegan, l.lines = now, 0
	}
	if l.lines >= maxSkippedLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// Kinds of connections as the log names them.
const (
	connectionNew  = "new"
	connectionKept = "kept"
)

// observeSkipped counts and logs a response of a target that was skipped because it belongs
// to another request. request is the one that was waiting, empty for a report or an order, as
// is connection, which is one of the kinds of connections otherwise.
func (n *Node) observeSkipped(t *inventory.Target, source, request, connection string, status int, h http.Header) {
	n.metrics.countSkippedResponse(source, status)
	suppressed, ok := n.skipped.admit(time.Now())
	if !ok {
		return
	}
	event.ResponseSkipped.Log(n.log).Str("target", t.ID).Str("address", t.Addr).Str("source", source).Str("request", request).
		Str("response_request", n.targetProtocol.ParseResponse(h).RequestID).Int("status", status).Str("connection", connection).
		Int("suppressed", suppressed).Send()
}
