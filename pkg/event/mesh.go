package event

import "github.com/rs/zerolog"

// Events of the connections between nodes: 200 to 299.
var (
	MeshHandshakeFailed = register(203, "mesh_handshake_failed", zerolog.WarnLevel, "A connection to the inner listener failed authentication or speaks another protocol version; check the shared secret.")
	MeshEncodeFailed    = register(204, "mesh_encode_failed", zerolog.ErrorLevel, "A message could not be encoded or exceeds the size limit and was not sent.")
)
