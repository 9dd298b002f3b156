package event

import "github.com/rs/zerolog"

// Events of the connections between nodes, numbers 200 to 299. In the names, mesh
// refers to these connections.
var (
	MeshHandshakeFailed = register(203, "mesh_handshake_failed", zerolog.WarnLevel, "A peer that connected to the inner listener failed authentication or uses another protocol version; check the shared secret.")
	MeshEncodeFailed    = register(204, "mesh_encode_failed", zerolog.ErrorLevel, "A message to another node was not sent, because it could not be encoded or exceeds the size limit.")
)
