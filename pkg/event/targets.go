package event

import "github.com/rs/zerolog"

// Events about what targets say about themselves in their responses.
var (
	TargetLeaves = register(780, "target_leaves", zerolog.InfoLevel, "A target has said that it is shutting down. The field source says where the node has it from: its response to a request, a report or an order.")
	TargetPauses = register(781, "target_pauses", zerolog.InfoLevel, "A target that refused a request wants none from this node for pause_ms. A pause that is prolonged is logged again.")
)
