package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWriteHTTPMatchesKindResponse checks status, headers and body of each kind,
// and that the cause, which may hold internal addresses, is not shown.
func TestWriteHTTPMatchesKindResponse(t *testing.T) {
	for _, k := range Kinds() {
		w := httptest.NewRecorder()
		cause := errors.New("secret cause")
		WriteHTTP(w, "r-1", fmt.Errorf("outer: %w", &Error{Kind: k, Message: "shown", Err: cause}))
		resp := k.Response()
		assert.Equal(t, resp.Status, w.Code, resp.Code)
		assert.Equal(t, string(resp.Run), w.Header().Get(HeaderRun), resp.Code)
		assert.Equal(t, resp.RetryAfter > 0, w.Header().Get("Retry-After") != "", resp.Code)
		var body Body
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
		assert.Equal(t, BodyError{resp.Code, "shown", resp.Run, resp.Retry, resp.RetryAfter.Milliseconds(), "r-1"}, body.Error)
		assert.NotContains(t, w.Body.String(), "secret")
	}
}

// TestWriteHTTPHidesErrorsWithoutKind checks that the text of an error without a
// kind doesn't reach the caller.
func TestWriteHTTPHidesErrorsWithoutKind(t *testing.T) {
	w := httptest.NewRecorder()
	WriteHTTP(w, "", errors.New("dial 10.0.0.1: refused"))
	assert.Equal(t, http.StatusInternalServerError, w.Code)
	assert.NotContains(t, w.Body.String(), "10.0.0.1")
}
