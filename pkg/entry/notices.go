package entry

import (
	"net/http"

	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
)

// Sources of notices: to what the response was. The log and the metrics have them.
const (
	noticeFromRequest = "request"
	NoticeFromReport  = "report"
	NoticeFromOrder   = "order"
)

// noticeKey returns the key of a target's notices.
func noticeKey(t *inventory.Target) notices.Key {
	return notices.Key{Target: t.ID, Incarnation: t.Incarnation}
}

// observeHead records what the head of any response of a target says about the target:
// a response to a request, also of an attempt that was abandoned or continues another
// one, to an order or to a request for a report. Its request's connection was to t.
func (n *Node) observeHead(t *inventory.Target, source string, status int, h http.Header) {
	notice := n.targetProtocol.ParseNotice(status, h)
	if notice.IsZero() {
		return
	}
	change := n.notices.Record(noticeKey(t), notice)
	if change.Leaves {
		n.metrics.countNotice("leaving", source)
		event.TargetLeaves.Log(n.log).Str("target", t.ID).Int64("incarnation", t.Incarnation).Str("source", source).Int("status", status).Send()
	}
	if change.Pauses {
		n.metrics.countNotice("pause", source)
		event.TargetPauses.Log(n.log).Str("target", t.ID).Int64("incarnation", t.Incarnation).Str("source", source).Int("status", status).
			Dur("pause_ms", notice.Pause).Send()
	}
}
