package entry

import (
	"net/http"
	"time"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
)

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
	suppressed, ok := n.skipped.Admit(time.Now())
	if !ok {
		return
	}
	event.ResponseSkipped.Log(n.log).Str("target", t.ID).Str("address", t.Addr).Str("source", source).Str("request", request).
		Str("response_request", n.targetProtocol.ParseResponse(h).RequestID).Int("status", status).Str("connection", connection).
		Int("suppressed", suppressed).Send()
}
