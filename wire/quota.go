package wire

import "math"

// QuotaRequests asks the owner of a zone for tokens of the quotas of customers. The response is
// QuotaResponses. Sent as a one-way message, it returns tokens only.
type QuotaRequests struct {
	Requests []QuotaRequest `cbor:"1,keyasint,omitempty"`
}

// QuotaRequest asks for tokens of a customer's quota.
type QuotaRequest struct {
	Customer string `cbor:"1,keyasint"`
	// Tokens is what the node can use, Minimum what it lacks for a request that waits. The rest
	// is prefetched.
	Tokens  float64 `cbor:"2,keyasint,omitempty"`
	Minimum float64 `cbor:"3,keyasint,omitempty"`
	// Returned is the number of tokens that the node returns unspent, before their lease has
	// expired.
	Returned float64 `cbor:"4,keyasint,omitempty"`
	// Foreign is true if the node is in another zone.
	Foreign bool `cbor:"5,keyasint,omitempty"`
	// ReturnedFromMillis is the lowest GrantedAtMillis of the returned tokens, and
	// ReturnedAuthority the Authority that has granted them.
	ReturnedFromMillis int64  `cbor:"6,keyasint,omitempty"`
	ReturnedAuthority  uint64 `cbor:"7,keyasint,omitempty"`
}

// QuotaResponses is the response to QuotaRequests, in the order of the requests. It is empty if
// NotOwner is true.
type QuotaResponses struct {
	Responses []QuotaResponse `cbor:"1,keyasint,omitempty"`
	// NotOwner means that the node does not own the zone, or has no authority at present.
	NotOwner bool `cbor:"2,keyasint,omitempty"`
}

// QuotaResponse is the response to a QuotaRequest.
type QuotaResponse struct {
	// Granted may be less than Minimum, and is at most Tokens.
	Granted float64 `cbor:"1,keyasint,omitempty"`
	// TermMillis is how long the lease lasts, counted from when the node sent the request.
	TermMillis int64 `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis is the time until the tokens that Granted lacks of Minimum are there.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`
	// GrantedAtMillis is the time of the grant by the owner, from the beginning of its authority.
	GrantedAtMillis int64 `cbor:"4,keyasint,omitempty"`
	// Authority identifies the period of the authority of the owner.
	Authority uint64 `cbor:"5,keyasint,omitempty"`
}

// Type implements Message.
func (*QuotaRequests) Type() Type { return TypeQuotaRequests }

// Type implements Message.
func (*QuotaResponses) Type() Type { return TypeQuotaResponses }

// maxTokens bounds numbers of tokens. Sums of some thousand of them are exact.
const maxTokens = 1e12

// clampTokens returns the number, between 0 and maxTokens; 0 for one that is no number.
func clampTokens(n float64) float64 {
	if math.IsNaN(n) {
		return 0
	}
	return min(max(n, 0), maxTokens)
}

// clamp implements bounded.
func (m *QuotaRequests) clamp() {
	for i := range m.Requests {
		r := &m.Requests[i]
		r.Tokens, r.Returned = clampTokens(r.Tokens), clampTokens(r.Returned)
		r.ReturnedFromMillis = clampDuration(r.ReturnedFromMillis)
		r.Minimum = min(clampTokens(r.Minimum), r.Tokens)
	}
}

// clamp implements bounded.
func (m *QuotaResponses) clamp() {
	for i := range m.Responses {
		r := &m.Responses[i]
		r.Granted, r.TermMillis, r.RetryAfterMillis = clampTokens(r.Granted), clampDuration(r.TermMillis), clampDuration(r.RetryAfterMillis)
		r.GrantedAtMillis = clampDuration(r.GrantedAtMillis)
	}
}
