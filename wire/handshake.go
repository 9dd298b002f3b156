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

// nonceBytes is the length of each side's challenge.
const nonceBytes = 32

// maxHandshakeBytes bounds what an unauthenticated peer may sendQueue at closeOnce.
const maxHandshakeBytes = 4 << 10

// Errors of the handshake.
var (
	// ErrUnauthenticated tells that the peer does not know the shared secret.
	ErrUnauthenticated = errors.New("peer failed authentication")
	// ErrNoCommonVersion tells that the two ends share no protocol version.
	ErrNoCommonVersion = errors.New("no common protocol version")
)

// hello opens the handshake, from either end.
type hello struct {
	Node       fleet.Node `cbor:"1,keyasint"`
	MinVersion uint16     `cbor:"2,keyasint"`
	MaxVersion uint16     `cbor:"3,keyasint"`
	Nonce      []byte     `cbor:"4,keyasint"`
}

// proof shows that its sender knows the shared secret.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// Roles in the handshake, part of what is authenticated so that an answer
// cannot be reflected.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// handshakeDial authenticates both ends on a connection that this node opened.
// Order: hello, hello, acceptor's proof, dialer's proof, and a closeConn proof-free
// hello by which the acceptor confirms.
func handshakeDial(ctx context.Context, ws *websocket.Conn, self fleet.Node, secret []byte) (hello, error) {
	own := newHello(self)
	if err := writeCBOR(ctx, ws, own); err != nil {
		return hello{}, fmt.Errorf("send hello: %w", err)
	}
	var theirs hello
	if err := readCBOR(ctx, ws, &theirs); err != nil {
		return hello{}, fmt.Errorf("read hello: %w", err)
	}
	if err := checkVersions(theirs); err != nil {
		return hello{}, err
	}
	var p proof
	if err := readCBOR(ctx, ws, &p); err != nil {
		return hello{}, fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(p.MAC, mac(secret, roleAcceptor, own, theirs)) {
		return hello{}, fmt.Errorf("node %q: %w", theirs.Node.ID, ErrUnauthenticated)
	}
	if err := writeCBOR(ctx, ws, proof{MAC: mac(secret, roleDialer, own, theirs)}); err != nil {
		return hello{}, fmt.Errorf("send proof: %w", err)
	}
	var confirm proof
	if err := readCBOR(ctx, ws, &confirm); err != nil {
		return hello{}, fmt.Errorf("node %q did not confirm: %w", theirs.Node.ID, err)
	}
	return theirs, nil
}

// handshakeAccept is the other end of handshakeDial.
func handshakeAccept(ctx context.Context, ws *websocket.Conn, self fleet.Node, secret []byte) (hello, error) {
	own := newHello(self)
	var theirs hello
	if err := readCBOR(ctx, ws, &theirs); err != nil {
		return hello{}, fmt.Errorf("read hello: %w", err)
	}
	if err := writeCBOR(ctx, ws, own); err != nil {
		return hello{}, fmt.Errorf("send hello: %w", err)
	}
	if err := checkVersions(theirs); err != nil {
		return hello{}, err
	}
	if err := writeCBOR(ctx, ws, proof{MAC: mac(secret, roleAcceptor, theirs, own)}); err != nil {
		return hello{}, fmt.Errorf("send proof: %w", err)
	}
	var p proof
	if err := readCBOR(ctx, ws, &p); err != nil {
		return hello{}, fmt.Errorf("read proof: %w", err)
	}
	if !hmac.Equal(p.MAC, mac(secret, roleDialer, theirs, own)) {
		return hello{}, fmt.Errorf("node %q: %w", theirs.Node.ID, ErrUnauthenticated)
	}
	if err := writeCBOR(ctx, ws, proof{}); err != nil {
		return hello{}, fmt.Errorf("send confirmation: %w", err)
	}
	return theirs, nil
}

func newHello(self fleet.Node) hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, by its documentation
	return hello{Node: self, MinVersion: MinVersion, MaxVersion: MaxVersion, Nonce: nonce}
}

func checkVersions(h hello) error {
	if h.MaxVersion < MinVersion || h.MinVersion > MaxVersion {
		return fmt.Errorf("node %q speaks %d to %d, this one %d to %d: %w",
			h.Node.ID, h.MinVersion, h.MaxVersion, MinVersion, MaxVersion, ErrNoCommonVersion)
	}
	if h.Node.ID == "" || h.Node.Zone == "" || h.Node.Incarnation == "" || len(h.Nonce) != nonceBytes {
		return errors.New("hello lacks node, zone, incarnation or nonce")
	}
	return nil
}

// mac authenticates the role and both hellos in the order dialer, acceptor.
func mac(secret []byte, role string, dialer, acceptor hello) []byte {
	transcript, err := encMode.Marshal([]any{role, dialer, acceptor})
	if err != nil {
		panic(err) // the types are fixed and encodable
	}
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(transcript)
	return h.Sum(nil)
}

func writeCBOR(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := encMode.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode handshake: %w", err)
	}
	return ws.Write(ctx, websocket.MessageBinary, b)
}

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
