// Package wire implements the protocol between nodes (fleet.Node): CBOR
// messages over WebSocket connections on which both ends authenticate each other with a
// shared secret.
package wire
