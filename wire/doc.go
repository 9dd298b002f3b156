// Package wire is the protocol between nodes: CBOR messages over WebSocket.
package wire
