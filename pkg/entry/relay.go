package entry

import (
	"context"
	"errors"
	"maps"
	"slices"

	"almondturn/wire"
)

// maxRelays is the number of nodes that a call is tried through.
const maxRelayAttempts = 3

// relay passes a call to the key-value service on through other nodes.
func (l *links) relayStoreCall(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	err := errNoConnection
	around := l.peerConns()
	if len(around) == 0 {
		around = l.dialSeeds(ctx)
	}
	for i, c := range around {
		if i >= maxRelayAttempts {
			break
		}
		var answer wire.Message
		answer, err = c.Call(ctx, &wire.StoreRequest{Method: method, Path: path, Body: body})
		if a, ok := answer.(*wire.StoreResponse); ok && a.Status != 0 {
			return a.Status, a.Body, nil
		}
		if err != nil && errors.Is(err, wire.ErrOutcomeUnknown) {
			return 0, nil, err
		}
	}
	return 0, nil, err
}

// seeds connects to the first node of the settings that answers and is not
// connected yet. It is needed only while no owner is known and the key-value
// service cannot tell of one.
func (l *links) dialSeeds(ctx context.Context) []*wire.Conn {
	for _, addr := range l.node.settings.Seeds {
		if addr == l.node.self.Addr || l.isConnectedTo(addr) {
			continue
		}
		c, err := wire.Dial(ctx, l.url(addr), l.client, l.connConfig(nil))
		if err != nil {
			continue // seeds may be stale
		}
		id := c.Peer().ID
		l.mu.Lock()
		l.accepted[id] = c
		l.mu.Unlock()
		go l.serveAccepted(id, c)
		return []*wire.Conn{c}
	}
	return nil
}

// connectedTo tells whether a node with this inner address is connected.
func (l *links) isConnectedTo(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		if c.Peer().Addr == addr {
			return true
		}
	}
	return false
}

// neighbours returns connections to other nodes, owners first.
func (l *links) peerConns() []*wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.Conn
	for _, zone := range slices.Sorted(maps.Keys(l.owners)) {
		if c := l.owners[zone].conn.Load(); c != nil {
			out = append(out, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.accepted)) {
		out = append(out, l.accepted[id])
	}
	return out
}
