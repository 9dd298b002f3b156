package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"almondturn/pkg/kv"
	"almondturn/pkg/upstream"
	"almondturn/wire"
)

// maxRelayAttempts is the maximum number of nodes through which a call is tried.
const maxRelayAttempts = 3

// relayStoreCall relays a call to the key-value service through other nodes, one
// after the other, and returns the first response of the service. If the
// call may have been made without a complete response, it tries no other node and
// returns an error that wraps kv.ErrOutcomeUnknown, unless the call only reads.
func (l *links) relayStoreCall(ctx context.Context, method, path string, body []byte) (kv.Response, error) {
	err := errNoConnection
	conns := l.peerConns()
	if len(conns) == 0 {
		conns = l.dialSeeds(ctx)
	}
	for i, c := range conns {
		if i >= maxRelayAttempts {
			break
		}
		var resp wire.Message
		resp, err = c.Call(ctx, &wire.StoreRequest{Method: method, Path: path, Body: body})
		storeResp, ok := resp.(*wire.StoreResponse)
		if ok && storeResp.Status != 0 {
			return kv.Response{Status: storeResp.Status, Body: storeResp.Body, Era: kv.Era(storeResp.Era)}, nil
		}
		unknown := errors.Is(err, wire.ErrOutcomeUnknown) || ok && storeResp.OutcomeUnknown
		if unknown && method != http.MethodGet {
			return kv.Response{}, fmt.Errorf("call through node %q without a response: %w", c.Peer().ID, errors.Join(kv.ErrOutcomeUnknown, err))
		}
	}
	return kv.Response{}, err
}

// serveRelayedCall makes a call to the key-value service that another node relays
// through this one.
func (n *Node) serveRelayedCall(ctx context.Context, m *wire.StoreRequest) *wire.StoreResponse {
	resp, err := n.store.Forward(ctx, m.Method, m.Path, m.Body)
	if err != nil {
		var sendErr *upstream.SendError
		return &wire.StoreResponse{OutcomeUnknown: errors.As(err, &sendErr) && sendErr.Sent}
	}
	return &wire.StoreResponse{Status: resp.Status, Body: resp.Body, Era: uint64(resp.Era)}
}

// dialSeeds connects to the first seed of the settings that accepts a
// connection and is not connected yet; it returns nil if there is none. Seeds
// are needed while the key-value service, which stores the addresses of the
// owners, does not respond: for a call if no node is connected, and for a
// snapshot if no connected node has one.
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
		l.peers[id] = c
		l.mu.Unlock()
		go l.servePeer(id, c)
		return []*wire.Conn{c}
	}
	return nil
}

// isConnectedTo reports whether a node with this inner address is in l.peers.
func (l *links) isConnectedTo(addr string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.peers {
		if c.Peer().Addr == addr {
			return true
		}
	}
	return false
}

// peerConns returns the connections to other nodes, owners first, in order of
// zones and node IDs.
func (l *links) peerConns() []*wire.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.Conn
	for _, zone := range slices.Sorted(maps.Keys(l.owners)) {
		if c := l.owners[zone].conn.Load(); c != nil {
			out = append(out, c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.peers)) {
		out = append(out, l.peers[id])
	}
	return out
}
