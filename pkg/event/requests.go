package event

import "github.com/rs/zerolog"

// Events of the callers' listener: 500 to 599.
var (
	ClaimRefused     = register(520, "claim_refused", zerolog.InfoLevel, "A request with an idempotency key was not sent: the field kind tells whether the key is in use, belongs to another request, or could not be claimed.")
	ClaimOutcomeLost = register(522, "claim_outcome_lost", zerolog.WarnLevel, "The outcome of a request with an idempotency key could not be recorded; later callers are told that the outcome is unknown.")
)
