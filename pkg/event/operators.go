package event

import "github.com/rs/zerolog"

// Events of the operators' listener: 300 to 399.
var (
	SettingsAccepted = register(310, "settings_accepted", zerolog.InfoLevel, "A change of a team's subtree was accepted through this node.")
	SettingsRefused  = register(311, "settings_refused", zerolog.WarnLevel, "A change of a team's subtree was refused; the fields tell why.")
	OperatorDenied   = register(320, "operator_denied", zerolog.WarnLevel, "A request to the operators' listener had no valid token, or one of another team.")
	TargetDrained    = register(321, "target_drained", zerolog.InfoLevel, "An operator drained a target or took a drain back.")
	OperatorFailed   = register(323, "operator_request_failed", zerolog.ErrorLevel, "A request to the operators' listener failed inside the node; this is a defect.")
)
