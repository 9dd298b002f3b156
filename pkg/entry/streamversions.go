package entry

import (
	"context"
	"errors"
	"slices"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv"
	"almondturn/pkg/streams"
	"almondturn/pkg/streamversions"
	"almondturn/wire"
)

// softwareVersion is the version at which a stream began; the zero value if that is not known,
// or no event has been sent.
type softwareVersion struct {
	known bool
	name  string
	// source is where the version of a stream that a client takes up is known from.
	source string
}

// allows reports whether a stream may go on at a target.
func (v softwareVersion) allows(t *inventory.Target) bool {
	return !v.known || t.SoftwareVersion == v.name
}

// newStreamVersions returns the tracker of a node's streams. targets is the watch of the list
// of targets.
func newStreamVersions(n *Node, targets *watch) *streamversions.Tracker {
	return streamversions.New(streamversions.Config{
		Incarnation: n.self.Incarnation, Store: n.store, Peers: streamPeers{n.links}, Targets: streamTargets{targets, n.decoder},
		IsOwner: func() bool { return n.owner.IsOwner() }, Ready: n.ready.Load, InvalidEntry: n.logInvalidEntry, Log: n.log,
	})
}

// streamBegun records the version of a stream whose first event is about to be sent. It returns
// the origin to report to the owner of the target's zone, nil if clients can't take the
// stream up.
func (n *Node) streamBegun(j *job, t *inventory.Target) *wire.StreamOrigin {
	j.version = softwareVersion{known: true, name: t.SoftwareVersion}
	id := text(j.ID)
	if !j.Route.Resumable || !n.streams.Begun(id, streams.Origin{Service: j.service, Version: t.SoftwareVersion}) {
		return nil
	}
	return &wire.StreamOrigin{Stream: id, Service: j.service, Version: t.SoftwareVersion}
}

// receiveOrigin records the origin of a stream that began at another node, nil for none.
func (n *Node) receiveOrigin(o *wire.StreamOrigin) {
	if o != nil {
		n.streams.Reported(o.Stream, streams.Origin{Service: o.Service, Version: o.Version})
	}
}

// resolveVersion finds the version of a stream that a client takes up, unless it is known. It
// refuses the request if the stream can go on at no target.
func (n *Node) resolveVersion(ctx context.Context, j *job) *ErrorResponse {
	if j.resumeAfter == "" || !j.engine {
		return nil
	}
	if !j.version.known {
		found, err := n.streams.Find(ctx, streamversions.Stream{ID: text(j.Resumes), Service: j.service, Deadline: j.startDeadline()})
		switch {
		case errors.Is(err, streamversions.ErrNotRead):
			return newErrorResponse(fault.NoReplica, defaultRetryAfter, "%s", err)
		case err != nil:
			return newErrorResponse(fault.NoReplica, 0, "%s", err)
		}
		j.version = softwareVersion{true, found.Version, found.Source}
	}
	serves := func(t *inventory.Target) bool { return !t.Draining && j.version.allows(t) }
	if !slices.ContainsFunc(n.targetSet.Load().Service(j.service), serves) {
		return newErrorResponse(fault.NoReplica, 0, "no target has the software version %q, which began the stream", j.version.name)
	}
	return nil
}

// answerOrigin answers a node that asks this one, as the owner of its zone, about a stream.
func (n *Node) answerOrigin(m *wire.StreamOriginRequest) *wire.StreamOriginResponse {
	version, known, recent := n.streams.Answer(m.Stream, m.Service)
	return &wire.StreamOriginResponse{Known: known, Version: version, Owner: n.owner.IsOwner(), Versions: recent}
}

// streamTargets is the list of targets for a streamversions.Tracker.
type streamTargets struct {
	watch   *watch
	decoder Decoder
}

// Prefix implements streamversions.TargetList.
func (t streamTargets) Prefix() string { return t.watch.prefix }

// Revision implements streamversions.TargetList.
func (t streamTargets) Revision() kv.Revision { return kv.Revision(t.watch.appliedRevision.Load()) }

// Decode implements streamversions.TargetList.
func (t streamTargets) Decode(e kv.Entry) *inventory.Target {
	target, err := t.decoder.Target(e.Key, e.Value)
	if err != nil {
		return nil // the watch reads and logs it, too
	}
	return target
}

// streamPeers are the other nodes for a streamversions.Tracker.
type streamPeers struct{ links *links }

// SharingNodes implements streamversions.Peers.
func (p streamPeers) SharingNodes() int { return p.links.sharingNodes() }

// Snapshot implements streamversions.Peers.
func (p streamPeers) Snapshot(accept func([]kv.Entry) bool) bool {
	_, _, ok := p.links.requestSnapshot(p.links.node.ctx, streamversions.KeyPrefix, accept)
	return ok
}

// TellOwners implements streamversions.Peers.
func (p streamPeers) TellOwners(begun []streamversions.Begun) {
	p.links.sendToOwners(originsMessage(begun))
}

// originsMessage returns streams that have begun as a message.
func originsMessage(begun []streamversions.Begun) *wire.StreamOrigins {
	m := &wire.StreamOrigins{Origins: make([]wire.StreamOrigin, len(begun))}
	for i, b := range begun {
		m.Origins[i] = wire.StreamOrigin{Stream: b.ID, Service: b.Origin.Service, Version: b.Origin.Version}
	}
	return m
}

// AskOwners implements streamversions.Peers.
func (p streamPeers) AskOwners(ctx context.Context, id, service string) streamversions.OwnersAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &wire.StreamOriginRequest{Stream: id, Service: service}
	zones := p.links.node.settings.Zones
	answers := make(chan *wire.StreamOriginResponse, len(zones))
	for _, zone := range zones {
		go func() { answers <- p.links.requestOrigin(ctx, zone, m) }()
	}
	out := streamversions.OwnersAnswer{Versions: map[string]bool{}, Complete: len(zones) > 0}
	for range zones {
		a := <-answers
		if a == nil {
			out.Complete = false
			continue
		}
		if a.Known {
			return streamversions.OwnersAnswer{Known: true, Origin: streams.Origin{Service: service, Version: a.Version}}
		}
		out.Complete = out.Complete && a.Owner && a.Versions != nil
		for _, v := range a.Versions {
			out.Versions[v] = true
		}
	}
	return out
}

// requestOrigin asks the owner of a zone, which may be this node, about a stream. It returns nil
// if the owner does not answer.
func (l *links) requestOrigin(ctx context.Context, zone fleet.Zone, m *wire.StreamOriginRequest) *wire.StreamOriginResponse {
	if zone == l.node.self.Zone && l.node.owner.IsOwner() {
		return l.node.answerOrigin(m)
	}
	r, err := callOwner[*wire.StreamOriginResponse](ctx, l, zone, m)
	if err != nil {
		return nil
	}
	return r
}
