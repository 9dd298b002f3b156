package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/inventory"
	"almondturn/pkg/notices"
	"almondturn/wire"
)

// Sources of notices: to what the response was. The log and the metrics have them.
const (
	noticeFromRequest = "request"
	NoticeFromReport  = "report"
	NoticeFromOrder   = "order"
	// noticeFromNode is the source of what another node has heard.
	noticeFromNode = "node"
	// noticeFromList is the source of the end of a limit whose target is gone.
	noticeFromList = "list"
)

// errWithheld is the cause of an attempt that was not sent, because of what is known of
// its target by the time of the first byte.
var errWithheld = errors.New("the request was not sent")

var (
	errTargetLeaves = fmt.Errorf("%w: the target has said that it leaves", errWithheld)
	errTargetPauses = fmt.Errorf("%w: the target has asked for a pause", errWithheld)
	errTargetDrains = fmt.Errorf("%w: the target is listed as draining", errWithheld)
	errTargetGone   = fmt.Errorf("%w: the target is no longer listed", errWithheld)
)

// noticeKey returns the key of a target's notices.
func noticeKey(t *inventory.Target) notices.Key {
	return notices.Key{Target: t.ID, Incarnation: t.Incarnation}
}

// observeHead records what the head of any response of a target says about the target:
// a response to a request, also of an attempt that was abandoned or continues another
// one, to an order or to a request for a report. Its request's connection was to t. Orders and
// reports skip the responses that bear the identifier of a request.
func (n *Node) observeHead(t *inventory.Target, source string, status int, h http.Header) {
	if n.targetProtocol.ParseResponse(h).RequestID != "" {
		n.observeSkipped(t, source, "", "", status, h)
	}
	n.recordNotice(t, source, status, n.targetProtocol.ParseNotice(status, h))
}

// observeRequestHead is observeHead for a response to the request of an attempt that began
// at sentAt on the clock of the notices. The response ends a limit that it does not name,
// unless it may be that to an earlier request.
func (n *Node) observeRequestHead(t *inventory.Target, request string, sentAt time.Time, status int, h http.Header) {
	info := n.targetProtocol.ParseResponse(h)
	n.usages.observePace(time.Now(), t.ID, info)
	notice := n.targetProtocol.ParseNotice(status, h)
	n.recordNotice(t, noticeFromRequest, status, notice)
	if notice.Limit.Named || notice.LimitUnreadable || !n.notices.State(noticeKey(t)).Limit.Named {
		return
	}
	if info.RequestID == request {
		n.recordLimit(t, noticeFromRequest, notices.RateLimit{}, sentAt)
	}
}

// recordNotice records what a response with a status says about its target.
func (n *Node) recordNotice(t *inventory.Target, source string, status int, notice notices.Notice) {
	if notice.Limit.Named {
		n.recordLimit(t, source, notice.Limit, n.notices.Now())
	}
	if !notice.Leaving && notice.Pause <= 0 {
		return
	}
	change := n.notices.Record(noticeKey(t), notice)
	if change.Leaves {
		n.metrics.countNotice("leaving", source)
		event.TargetLeaves.Log(n.log).Str("target", t.ID).Int64("incarnation", t.Incarnation).Str("source", source).Int("status", status).Send()
		n.republishTargets()
		n.announceLeaving(t)
	}
	if change.Pauses {
		n.metrics.countNotice("pause", source)
		event.TargetPauses.Log(n.log).Str("target", t.ID).Int64("incarnation", t.Incarnation).Str("source", source).Int("status", status).
			Dur("pause_ms", notice.Pause).Send()
	}
}

// mayStillSend returns an error that wraps errWithheld if this node must not send a request
// to a target that was chosen before: by an owner with an older list, or before the target
// said that it leaves or asked for a pause. What this node's own list says counts, whoever
// chose the target.
func (n *Node) mayStillSend(t *inventory.Target) error {
	if n.notices.State(noticeKey(t)).Leaving {
		return errTargetLeaves
	}
	if n.notices.PauseLeft(t.ID) > 0 {
		return errTargetPauses
	}
	set := n.targetSet.Load()
	if set == nil {
		return nil
	}
	switch listed := set.Target(t.ID); {
	case listed == nil || listed.Incarnation != t.Incarnation:
		return errTargetGone
	case listed.Draining:
		return errTargetDrains
	default:
		return nil
	}
}

// unavailableTargets returns the targets of a request's service to which this node does not
// send it now, so that no owner with an older list, or that was asked for no pause, or that
// does not know which software version began the stream, grants a slot there.
func (n *Node) unavailableTargets(j *job) []wire.UnavailableTarget {
	set := n.targetSet.Load()
	if set == nil {
		return nil
	}
	var out []wire.UnavailableTarget
	for _, t := range set.Service(j.service) {
		if t.Draining || !j.version.allows(t) {
			out = append(out, wire.UnavailableTarget{Target: t.ID})
			continue
		}
		if left := n.notices.PauseLeft(t.ID); left > 0 {
			out = append(out, wire.UnavailableTarget{Target: t.ID, PauseMillis: left.Milliseconds() + 1})
		}
	}
	return out
}

// withoutPaused returns the targets that have not asked this node for a pause, and how
// long it is until the first of the others and not draining ones takes requests, 0 if there
// is none. It does not change the list.
func (n *Node) withoutPaused(list []*inventory.Target) (usable []*inventory.Target, next time.Duration) {
	if n.notices.Empty() {
		return list, 0
	}
	usable = make([]*inventory.Target, 0, len(list))
	for _, t := range list {
		left := n.notices.PauseLeft(t.ID)
		switch {
		case left <= 0:
			usable = append(usable, t)
		case !t.Draining && (next == 0 || left < next):
			next = left
		}
	}
	return usable, next
}

// withinShares returns the targets without a limit, and those at which this node's share of
// the limit allows a request now. It does not change the list.
func (n *Node) withinShares(list []*inventory.Target) []*inventory.Target {
	if n.notices.Empty() {
		return list
	}
	out := make([]*inventory.Target, 0, len(list))
	for _, t := range list {
		limit := n.notices.State(noticeKey(t)).Limit
		if !limit.Named || n.shares.wait(noticeKey(t), limit) == 0 {
			out = append(out, t)
		}
	}
	return out
}

// announceLeaving tells the owner of its zone that a target leaves. The owner, which may
// be this node, tells all nodes.
func (n *Node) announceLeaving(t *inventory.Target) {
	m := &wire.LeavingTargets{Targets: []wire.TargetIncarnation{{Target: t.ID, Incarnation: t.Incarnation}}}
	if t.Zone == n.self.Zone && n.owner.IsOwner() {
		n.links.Broadcast(m)
		return
	}
	n.links.sendToOwner(t.Zone, m)
}

// receiveLeaving records the targets that leave according to another node. An owner relays
// what is new.
func (n *Node) receiveLeaving(from fleet.NodeID, m *wire.LeavingTargets) {
	fresh := new(wire.LeavingTargets)
	for _, t := range m.Targets {
		if !n.notices.Record(notices.Key{Target: t.Target, Incarnation: t.Incarnation}, notices.Notice{Leaving: true}).Leaves {
			continue
		}
		fresh.Targets = append(fresh.Targets, t)
		n.metrics.countNotice("leaving", noticeFromNode)
		event.TargetLeaves.Log(n.log).Str("target", t.Target).Int64("incarnation", t.Incarnation).Str("source", noticeFromNode).Str("from", string(from)).Send()
	}
	if len(fresh.Targets) == 0 {
		return
	}
	n.republishTargets()
	if n.owner.IsOwner() {
		n.links.Broadcast(fresh)
	}
}

// leavingTargets returns the listed targets of a zone that have said that they leave, of
// all zones if zone is empty; nil if there is none.
func (n *Node) leavingTargets(zone fleet.Zone) *wire.LeavingTargets {
	set := n.targetSet.Load()
	if set == nil {
		return nil
	}
	var m *wire.LeavingTargets
	for _, k := range n.notices.Leaving() {
		t := set.Target(k.Target)
		if t == nil || t.Incarnation != k.Incarnation || zone != "" && t.Zone != zone {
			continue
		}
		if m == nil {
			m = new(wire.LeavingTargets)
		}
		m.Targets = append(m.Targets, wire.TargetIncarnation{Target: k.Target, Incarnation: k.Incarnation})
	}
	return m
}

// introduceNotices sends a node that has connected the targets that leave and the limits.
func (l *links) introduceNotices(to fleet.NodeID) {
	if m := l.node.leavingTargets(""); m != nil {
		l.Send(to, m)
	}
	if m := l.node.targetLimits(); m != nil {
		l.Send(to, m)
	}
}
