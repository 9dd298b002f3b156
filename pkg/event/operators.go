package event

import "github.com/rs/zerolog"

// Events of the operators' listener, numbers 300 to 399. TargetDrained is logged when a
// drain begins and when it ends.
var (
	SettingsAccepted = register(310, "settings_accepted", zerolog.InfoLevel, "A change of a team's settings was accepted through this node.")
	SettingsRefused  = register(311, "settings_refused", zerolog.WarnLevel, "A change of a team's settings was refused; the fields kind and error hold the cause.")
	OperatorDenied   = register(320, "operator_denied", zerolog.WarnLevel, "A request to the operators' listener had an unknown token, or one that is not authorized for the path; the field why says which.")
	TargetDrained    = register(321, "target_drained", zerolog.InfoLevel, "An operator drained a target or ended a drain; the field draining says which.")
	OperatorFailed   = register(323, "operator_request_failed", zerolog.ErrorLevel, "A request to the operators' listener failed with an internal error; this is a defect in the node.")
)
