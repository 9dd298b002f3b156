package event

import "github.com/rs/zerolog"

// Events of the request path: 500 to 599.
var (
	TargetConnectionsRetired = register(500, "target_connections_retired", zerolog.WarnLevel, "A connection to a target went silent while a new one works; all older connections to it are retired and silent streams are resumed.")
	TargetAnswerCrossed      = register(501, "target_answer_crossed", zerolog.ErrorLevel, "A target answered with another request's identifier; the answer was thrown away and the connection closed. Look at the target.")
	HomeChanged              = register(510, "home_changed", zerolog.InfoLevel, "A model home did not answer; its waiting requests of this node queue at the next home.")
	LoadFailed               = register(511, "load_failed", zerolog.WarnLevel, "A replica that requests wait for could not be loaded; the requests try another zone or are refused as not run.")
	RetryBudgetSpent         = register(512, "retry_budget_spent", zerolog.WarnLevel, "A request was not retried because the budget of its team or of the target is spent.")
	HomeDrained              = register(513, "home_drained", zerolog.InfoLevel, "This node handed its waiting requests back for a graceful shutdown.")
	ClaimWriteFailed         = register(520, "claim_write_failed", zerolog.WarnLevel, "Idempotency claims could not be written; the requests are refused as claim_unsettled and were not run.")
	ClaimRangeFull           = register(521, "claim_range_full", zerolog.ErrorLevel, "A range of idempotency claims has reached its size bound; new keys in it are refused until old ones expire.")
	ClaimOutcomeLost         = register(522, "claim_outcome_lost", zerolog.WarnLevel, "The outcome of a request with an idempotency key could not be recorded; later callers are told that the outcome is unknown.")
)
