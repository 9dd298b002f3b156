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

func TestWriteHTTPMatchesKindResponse(t *testing.T) {
	for _, k := range Kinds() {
		w := httptest.NewRecorder()
		cause := errors.New("secret cause")
		WriteHTTP(w, "r-1", fmt.Errorf("outer: %w", &Error{Kind: k, Message: "shown", Err: cause}))
		a := k.Response()
		assert.Equal(t, a.Status, w.Code, a.Code)
		assert.Equal(t, string(a.Run), w.Header().Get(HeaderRun), a.Code)
		assert.Equal(t, a.RetryAfter > 0, w.Header().Get("Retry-After") != "", a.Code)
		var b Body
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
		assert.Equal(t, BodyError{a.Code, "shown", a.Run, a.Retry, a.RetryAfter.Milliseconds(), "r-1"}, b.Error)
		assert.NotContains(t, w.Body.String(), "secret")
	}
}

func TestWriteHTTPHidesErrorsWithoutKind(t *testing.T) {
	w := httptest.NewRecorder()
	WriteHTTP(w, "", errors.New("dial 10.0.0.1: refused"))
	assert.Equal(t, http.StatusInternalServerError, w.Code)
	assert.NotContains(t, w.Body.String(), "10.0.0.1")
}
