package event

import "github.com/rs/zerolog"

// Events of the operators' listener, numbers 300 to 399. TargetDrained is logged when a
// drain begins and when it ends.
var (
	SettingsAccepted      = register(310, "settings_accepted", zerolog.InfoLevel, "A change of a team's settings was accepted through this node.")
	SettingsRefused       = register(311, "settings_refused", zerolog.WarnLevel, "A change of a team's settings was refused; the fields kind and error hold the cause.")
	OperatorDenied        = register(320, "operator_denied", zerolog.WarnLevel, "A request to the operators' listener had an unknown token, or one that is not authorized for the path; the field why says which.")
	TargetDrained         = register(321, "target_drained", zerolog.InfoLevel, "An operator drained a target or ended a drain; the field draining says which.")
	OperatorFailed        = register(323, "operator_request_failed", zerolog.ErrorLevel, "A request to the operators' listener failed with an internal error; this is a defect in the node.")
	SettingsRestored      = register(330, "settings_restored", zerolog.InfoLevel, "The key-value service came back from an older copy without an accepted change, and this node has written the change again: the revision of a team, or the drain of a target or its end.")
	SettingsComplete      = register(331, "settings_complete", zerolog.InfoLevel, "The key-value service came back from an older copy, and this node has written the last of the accepted settings again that it held; changes are accepted again.")
	SettingsLost          = register(332, "settings_lost", zerolog.ErrorLevel, "An accepted revision of a team was lost when the key-value service came back from an older copy, and could not be written again; the field why says why. Its author has to repeat the change.")
	HistoryLost           = register(333, "settings_history_lost", zerolog.WarnLevel, "Former revisions of a team, from the field from to the field to, were lost when the key-value service came back from an older copy. The accepted revision is not affected.")
	SettingsRestoreFailed = register(334, "settings_restore_failed", zerolog.WarnLevel, "The accepted settings that the key-value service lacks since it came back from an older copy could not be written again; the node tries again.")
)
