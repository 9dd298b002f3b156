package upstream

import (
	"errors"
	"net/http"
)

// ErrInvalidStatus means that a response has a status outside of 200 to 599 and is no informational
// response that RFC 9110 allows here. Its body cannot be delimited, so that the connection is not
// used any more.
var ErrInvalidStatus = errors.New("the answer has an invalid status")

// maxStatus is the greatest valid status.
const maxStatus = 599

// isInformational reports whether a response is one that precedes the final one. It has no body: one
// that declares a body would make the reader take the bytes of the body for the next response. The
// node never asks for another protocol, so that 101 is not among them.
func isInformational(r *http.Response) bool {
	return r.StatusCode >= http.StatusContinue && r.StatusCode < http.StatusOK &&
		r.StatusCode != http.StatusSwitchingProtocols && !declaresBody(r)
}

// declaresBody reports whether the headers of a response declare a body.
func declaresBody(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return length != "" && length != "0" || len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != ""
}

// isFinal reports whether a status is one of a final response.
func isFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }
