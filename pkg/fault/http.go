package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// HeaderRun is the response header that reports whether a target ran the
// request; its values are those of RunStatus.
const HeaderRun = "Almondturn-Run"

// HeaderRequestID is the response header with the identifier of the request.
const HeaderRequestID = "X-Request-Id"

// Body is the JSON body of an error response.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError describes the error in an error response.
type BodyError struct {
	Code    string    `json:"code"`
	Message string    `json:"message"`
	Run     RunStatus `json:"run"`
	// Retry is true if the caller may repeat the same request.
	Retry bool `json:"retry"`
	// RetryAfterMillis is the minimum time to wait before a retry, in milliseconds.
	RetryAfterMillis int64  `json:"retry_after_ms"`
	RequestID        string `json:"request_id"`
}

// NewBody returns the body of the error response for err, with the default delay before
// a retry of its kind. It includes the message of err, and its cause only as far as the
// message does (see New).
func NewBody(requestID string, err error) Body {
	fe := FromError(err)
	resp := fe.Kind.Response()
	return Body{Error: BodyError{
		Code:             resp.Code,
		Message:          fe.Message,
		Run:              resp.Run,
		Retry:            resp.Retry,
		RetryAfterMillis: resp.RetryAfter.Milliseconds(),
		RequestID:        requestID,
	}}
}

// WriteHTTP writes the error response for err: the status, headers and JSON body
// of its kind. Nothing may have been written to w before. A requestID of ""
// sends no request identifier.
func WriteHTTP(w http.ResponseWriter, requestID string, err error) {
	WriteHTTPWithRetryAfter(w, requestID, err, 0)
}

// WriteHTTPWithRetryAfter is WriteHTTP with the minimum time to wait before a retry. If
// retryAfter is 0, the RetryAfter of the kind is used. Kinds that must not be retried
// ignore it.
func WriteHTTPWithRetryAfter(w http.ResponseWriter, requestID string, err error, retryAfter time.Duration) {
	resp := KindOf(err).Response()
	if retryAfter > 0 && resp.Retry {
		resp.RetryAfter = retryAfter
	}
	errorBody := NewBody(requestID, err)
	errorBody.Error.RetryAfterMillis = resp.RetryAfter.Milliseconds()
	body, marshalErr := json.Marshal(errorBody)
	if marshalErr != nil {
		// The body holds only strings and numbers, which always encode.
		body = []byte(`{"error":{"code":"internal","message":"internal error","run":"unknown"}}`)
	}
	h := w.Header()
	h.Del("Content-Encoding")
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRun, string(resp.Run))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if resp.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(resp.RetryAfter)))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(body)
}

// ceilSeconds rounds d up to seconds, because Retry-After has no fractions in HTTP.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
