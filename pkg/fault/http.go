package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderRun tells a caller whether the request was run: no, unknown or yes.
const HeaderRun = "Almondturn-Run"

// HeaderRequestID carries the request's identifier in an answer.
const HeaderRequestID = "X-Request-Id"

// Body is the JSON body of an error answer.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error in an error answer.
type BodyError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     Run    `json:"run"`
	// Retry tells whether the caller may repeat the same request.
	Retry bool `json:"retry"`
	// RetryAfterMillis is the least wait before a retry.
	RetryAfterMillis int64  `json:"retry_after_ms"`
	RequestID        string `json:"request_id"`
}

// NewBody returns the body that tells err to a caller. The cause of err is
// not shown.
func NewBody(requestID string, err error) Body {
	fe := As(err)
	a := fe.Kind.Response()
	return Body{Error: BodyError{
		Code:             a.Code,
		Message:          fe.Message,
		Run:              a.Run,
		Retry:            a.Retry,
		RetryAfterMillis: a.RetryAfter.Milliseconds(),
		RequestID:        requestID,
	}}
}

// WriteHTTP answers a request with err: the status, the headers and the JSON
// body that the table holds for its kind. It must come before any other write.
func WriteHTTP(w http.ResponseWriter, requestID string, err error) {
	WriteHTTPAfter(w, requestID, err, 0)
}

// WriteHTTPAfter is WriteHTTP with the time after which the caller may come
// back; 0 takes the one of the table.
func WriteHTTPAfter(w http.ResponseWriter, requestID string, err error, after time.Duration) {
	a := KindOf(err).Response()
	if after > 0 && a.Retry {
		a.RetryAfter = after
	}
	text := NewBody(requestID, err)
	text.Error.RetryAfterMillis = a.RetryAfter.Milliseconds()
	body, mErr := json.Marshal(text)
	if mErr != nil {
		// The body holds only strings and numbers, which always encode.
		body = []byte(`{"error":{"code":"internal","message":"internal error","run":"unknown"}}`)
	}
	h := w.Header()
	h.Del("Content-Encoding")
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRun, string(a.Run))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(a.RetryAfter)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}

// wholeSeconds rounds up, because Retry-After has no fractions.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
