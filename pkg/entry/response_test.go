package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/fault"
)

// endingProtocol ends truncated responses with an event, as that of callers does for
// streams. It implements no other method.
type endingProtocol struct {
	ClientProtocol
	ended int
}

func (p *endingProtocol) EndTruncatedResponse(http.ResponseWriter, *Request, *fault.Error) bool {
	p.ended++
	return true
}

// A response to a request for a stream was no stream and was cut: an event was appended to
// its text, and it ended as complete.
func TestTruncatedResponseWithoutEventsIsAborted(t *testing.T) {
	p := new(endingProtocol)
	cr := &clientResponse{w: httptest.NewRecorder(), r: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil), protocol: p, request: new(Request), started: true}
	assert.PanicsWithValue(t, http.ErrAbortHandler, cr.abort)
	assert.Zero(t, p.ended)
	cr.streaming = true
	assert.NotPanics(t, cr.abort)
	assert.Equal(t, 1, p.ended)
}
