package wire

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against tokens that are no number or negative, which an owner would add to its account.
func TestTokensOfMessagesAreBounded(t *testing.T) {
	for _, n := range []float64{math.NaN(), math.Inf(-1), -5} {
		got := roundTrip(t, &QuotaRequests{Requests: []QuotaRequest{{Customer: "c", Tokens: n, Minimum: n, Returned: n, ReturnedFromMillis: -1}}})
		assert.Equal(t, &QuotaRequests{Requests: []QuotaRequest{{Customer: "c"}}}, got)
		response := roundTrip(t, &QuotaResponses{Responses: []QuotaResponse{{Granted: n, TermMillis: -1, RetryAfterMillis: -1}}})
		assert.Equal(t, &QuotaResponses{Responses: []QuotaResponse{{}}}, response)
	}
	got := roundTrip(t, &QuotaRequests{Requests: []QuotaRequest{{Tokens: 10, Minimum: 20, Returned: math.Inf(1)}}})
	assert.Equal(t, &QuotaRequests{Requests: []QuotaRequest{{Tokens: 10, Minimum: 10, Returned: maxTokens}}}, got)
	sound := &QuotaRequests{Requests: []QuotaRequest{{Customer: "c", Tokens: 3000.5, Minimum: 1200, Returned: 7, Foreign: true, ReturnedFromMillis: 5}}}
	assert.Equal(t, sound, roundTrip(t, sound))
}
