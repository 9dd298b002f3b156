package event

import "github.com/rs/zerolog"

// Events of the callers' listener, numbers 500 to 599.
var (
	ClaimRefused     = register(520, "claim_refused", zerolog.InfoLevel, "A request with an idempotency key was not sent to a target: the field kind says whether the key is in use, belongs to a different request, could not be claimed, or belongs to a request whose outcome is unknown.")
	ClaimOutcomeLost = register(522, "claim_outcome_lost", zerolog.WarnLevel, "The outcome of a request with an idempotency key could not be recorded; a later request with the key gets the error outcome_unknown.")
)
