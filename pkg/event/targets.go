package event

import "github.com/rs/zerolog"

// Events about what targets say about themselves in their responses.
var (
	TargetLeaves    = register(780, "target_leaves", zerolog.InfoLevel, "A target has said that it is shutting down. The field source says where the node has it from: its response to a request, a report or an order.")
	TargetPauses    = register(781, "target_pauses", zerolog.InfoLevel, "A target that refused a request wants none from this node for pause_ms. A pause that is prolonged is logged again.")
	TargetLimits    = register(782, "target_limits", zerolog.InfoLevel, "A target has named the requests a second that it takes from all nodes together (per_second), or has named another number. The field source says where the node has it from; with node, age_ms is the age of the news.")
	TargetEndless   = register(784, "target_endless", zerolog.WarnLevel, "A part of a target's response to a request exceeded its limit, as bytes without end do: the field what names the part (head, skipped body, event), or says held bytes if the node held too much of unfinished responses and of this one the most. The attempt counts as a failure of the target. If the same target is named again and again, drain it.")
	ResponseSkipped = register(785, "response_skipped", zerolog.InfoLevel, "A target's response to a request, a report or an order (source) was skipped because it bears the identifier of another request: a second, late copy of the response to response_request, with the status. request is the request that was waiting, connection says whether its connection was new or kept. At most twenty lines are written a minute; suppressed is the number of lines that were left out before this one.")
	TargetLimitEnds = register(783, "target_limit_ends", zerolog.InfoLevel, "A target no longer names a limit in the response to a request that was sent after it had named one.")
)
