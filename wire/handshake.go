package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/coder/websocket"

	"almondturn/fleet"
)

// nonceBytes is the length of the nonce in the hello of each end.
const nonceBytes = 32

// maxHandshakeBytes limits each message of a peer that is not authenticated
// yet.
const maxHandshakeBytes = 4 << 10

// Errors of the handshake.
var (
	// ErrUnauthenticated means that the peer does not know the shared secret.
	ErrUnauthenticated = errors.New("peer failed authentication")
	// ErrNoCommonVersion means that the two ends support no common protocol
	// version.
	ErrNoCommonVersion = errors.New("no common protocol version")
)

// hello is the first message of each end in the handshake.
type hello struct {
	Node       fleet.Node `cbor:"1,keyasint"`
	MinVersion uint16     `cbor:"2,keyasint"`
	MaxVersion uint16     `cbor:"3,keyasint"`
	Nonce      []byte     `cbor:"4,keyasint"`
}

// proof shows that its sender knows the shared secret. An empty proof confirms
// the handshake.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// Roles in the handshake. They are part of the authenticated transcript, so
// that a proof cannot be reflected to its sender.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// handshakeDial authenticates both ends of a connection that this node opened,
// and returns the peer's hello. The messages are: the dialer's hello, the
// acceptor's hello, the acceptor's proof, the dialer's proof, and an empty
// proof by which the acceptor confirms.
func handshakeDial(ctx context.Context, ws *websocket.Conn, self fleet.Node, secret []byte) (hello, error) {
	ownHello := newHello(self)
	if err := writeCBOR(ctx, ws, ownHello); err != nil {
		return hello{}, fmt.Errorf("send hello: %w", err)
	}
	var peerHello hello
	if err := readCBOR(ctx, ws, &peerHello); err != nil {
		return hello{}, fmt.Errorf("read hello: %w", err)
	}
	if err := checkHello(peerHello); err != nil {
		return hello{}, err
	}
	var p proof
	if err := readCBOR(ctx, ws, &p); err != nil {
		return hello{}, fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(p.MAC, mac(secret, roleAcceptor, ownHello, peerHello)) {
		return hello{}, fmt.Errorf("node %q: %w", peerHello.Node.ID, ErrUnauthenticated)
	}
	if err := writeCBOR(ctx, ws, proof{MAC: mac(secret, roleDialer, ownHello, peerHello)}); err != nil {
		return hello{}, fmt.Errorf("send proof: %w", err)
	}
	var confirmation proof
	if err := readCBOR(ctx, ws, &confirmation); err != nil {
		return hello{}, fmt.Errorf("node %q did not confirm: %w", peerHello.Node.ID, err)
	}
	return peerHello, nil
}

// handshakeAccept authenticates both ends of a connection that the peer
// opened, and returns the peer's hello. It is the counterpart of
// handshakeDial.
func handshakeAccept(ctx context.Context, ws *websocket.Conn, self fleet.Node, secret []byte) (hello, error) {
	ownHello := newHello(self)
	var peerHello hello
	if err := readCBOR(ctx, ws, &peerHello); err != nil {
		return hello{}, fmt.Errorf("read hello: %w", err)
	}
	if err := writeCBOR(ctx, ws, ownHello); err != nil {
		return hello{}, fmt.Errorf("send hello: %w", err)
	}
	if err := checkHello(peerHello); err != nil {
		return hello{}, err
	}
	if err := writeCBOR(ctx, ws, proof{MAC: mac(secret, roleAcceptor, peerHello, ownHello)}); err != nil {
		return hello{}, fmt.Errorf("send proof: %w", err)
	}
	var p proof
	if err := readCBOR(ctx, ws, &p); err != nil {
		return hello{}, fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(p.MAC, mac(secret, roleDialer, peerHello, ownHello)) {
		return hello{}, fmt.Errorf("node %q: %w", peerHello.Node.ID, ErrUnauthenticated)
	}
	if err := writeCBOR(ctx, ws, proof{}); err != nil {
		return hello{}, fmt.Errorf("send confirmation: %w", err)
	}
	return peerHello, nil
}

// newHello returns this node's hello with a new random nonce.
func newHello(self fleet.Node) hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand documents that Read never fails
	return hello{Node: self, MinVersion: MinVersion, MaxVersion: MaxVersion, Nonce: nonce}
}

// checkHello returns an error if the peer supports no version of this build
// or its hello is incomplete.
func checkHello(h hello) error {
	if h.MaxVersion < MinVersion || h.MinVersion > MaxVersion {
		return fmt.Errorf("node %q speaks %d to %d, this one %d to %d: %w",
			h.Node.ID, h.MinVersion, h.MaxVersion, MinVersion, MaxVersion, ErrNoCommonVersion)
	}
	if h.Node.ID == "" || h.Node.Zone == "" || h.Node.Incarnation == "" || len(h.Nonce) != nonceBytes {
		return errors.New("hello lacks node, zone, incarnation or nonce")
	}
	return nil
}

// mac returns the HMAC-SHA-256 of the role and both hellos, the dialer's
// first.
func mac(secret []byte, role string, dialer, acceptor hello) []byte {
	transcript, err := encMode.Marshal([]any{role, dialer, acceptor})
	if err != nil {
		panic(err) // the types are fixed and can always be encoded
	}
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(transcript)
	return h.Sum(nil)
}

// writeCBOR sends a message of the handshake.
func writeCBOR(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := encMode.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode handshake: %w", err)
	}
	return ws.Write(ctx, websocket.MessageBinary, b)
}

// readCBOR receives a message of the handshake into v.
func readCBOR(ctx context.Context, ws *websocket.Conn, v any) error {
	kind, b, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	if kind != websocket.MessageBinary {
		return errors.New("handshake message is not binary")
	}
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode handshake: %w", err)
	}
	return nil
}
