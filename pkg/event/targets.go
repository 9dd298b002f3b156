package event

import "github.com/rs/zerolog"

// Events about what targets say about themselves in their responses.
var (
	TargetLeaves    = register(780, "target_leaves", zerolog.InfoLevel, "A target has said that it is shutting down. The field source says where the node has it from: its response to a request, a report or an order.")
	TargetPauses    = register(781, "target_pauses", zerolog.InfoLevel, "A target that refused a request wants none from this node for pause_ms. A pause that is prolonged is logged again.")
	TargetLimits    = register(782, "target_limits", zerolog.InfoLevel, "A target has named the requests a second that it takes from all nodes together (per_second), or has named another number. The field source says where the node has it from; with node, age_ms is the age of the news.")
	TargetLimitEnds = register(783, "target_limit_ends", zerolog.InfoLevel, "A target no longer names a limit in the response to a request that was sent after it had named one.")
)
