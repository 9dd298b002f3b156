package event

import "github.com/rs/zerolog"

// Events of the callers' listener, numbers 500 to 599.
var (
	ClaimRefused     = register(520, "claim_refused", zerolog.InfoLevel, "A request with an idempotency key was not sent to a target: the field kind says whether the key is in use, belongs to a different request, could not be claimed, or belongs to a request whose outcome is unknown.")
	ClaimOutcomeLost = register(522, "claim_outcome_lost", zerolog.WarnLevel, "The outcome of a request with an idempotency key could not be recorded; the field error holds the cause. A later request with the key gets the error outcome_unknown, or the outcome of the request that has the key now.")
	ClaimsRestored   = register(524, "claims_restored", zerolog.InfoLevel, "The key-value service came back from an older copy, and the node has written the recent claims on idempotency keys again that it holds; those that are remaining are tried again.")
	ClaimLost        = register(525, "claim_lost", zerolog.WarnLevel, "A claim on an idempotency key was lost when the key-value service came back from an older copy, and another request has claimed the key before this node could write it again: both requests may have run.")
)
