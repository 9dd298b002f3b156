package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondturn/pkg/entry"
	"almondturn/pkg/fault"
	"almondturn/platform"
)

// Codes of results, in addition to the codes in error responses.
const (
	codeOK         = "ok"
	codeDropped    = "dropped_here" // not sent, because of the limit of concurrent requests
	codeConnection = "connection"   // no response headers
	codeIncomplete = "incomplete"   // the stream ended without its end marker
)

// result is the outcome of one request as its caller sees it.
type result struct {
	arrival
	// code is one of the codes above, the code in an error response, or
	// status_NNN for an error response without a code.
	code string
	// timeToFirstToken and totalTime count from the sending of the request.
	// timeToFirstToken is 0 if no token was received.
	timeToFirstToken time.Duration
	totalTime        time.Duration
	eventCount       int // data events, each of which is a token
}

// client sends requests to nodes, or directly to a target. It is safe for
// concurrent use.
type client struct {
	http     *http.Client
	urls     []string
	key      string
	toTarget bool // the URL is that of a target
	tokens   int
	timeout  time.Duration
}

// maxIdleConnsPerHost is as many as the default of --limit.
const maxIdleConnsPerHost = 4096

// newClient returns a client for the URLs, which are those of nodes, or of a
// target if toTarget is set. The caller must close it.
func newClient(a *Args, urls []string, toTarget bool) *client {
	return &client{
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}},
		urls:     urls,
		key:      a.Key,
		toTarget: toTarget,
		tokens:   a.Tokens,
		timeout:  a.Timeout,
	}
}

// close closes the idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// send sends one request and reads its stream to the end. The client's own
// timeout is one second longer than the one in the request, so that a node can
// respond with its error.
func (c *client) send(ctx context.Context, ar arrival) result {
	r := result{arrival: ar, code: codeConnection}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+time.Second)
	defer cancel()
	req, err := c.newRequest(ctx, ar)
	if err != nil {
		return r
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.code = errorCode(resp)
		r.totalTime = time.Since(start)
		return r
	}
	r.readStream(bufio.NewReader(resp.Body), start)
	r.totalTime = time.Since(start)
	return r
}

// newRequest returns the HTTP request for an arrival. One to a target has the
// headers that a node would set.
func (c *client) newRequest(ctx context.Context, ar arrival) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[]}`, ar.model, c.tokens)
	url := c.urls[ar.urlIndex%len(c.urls)] + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Almondturn-Timeout-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	if c.toTarget {
		info := &entry.RequestInfo{ID: uuid.NewString(), Model: ar.model, MaxOutputTokens: c.tokens}
		maps.Copy(req.Header, platform.RequestHeader(info, "application/json"))
	}
	return req, nil
}

// Lines of a stream of server-sent events.
var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
	errorEvent = []byte("event: error")
)

// readStream reads a stream up to the end marker or the first error event and
// sets the code, the time to the first token since start, and the number of
// events.
func (r *result) readStream(lines *bufio.Reader, start time.Time) {
	r.code = codeIncomplete
	failed := false
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			failed = failed || bytes.HasPrefix(line, errorEvent)
			continue
		}
		if failed {
			r.code = bodyCode(data, codeIncomplete)
			return
		}
		if bytes.HasPrefix(data, doneMarker) {
			r.code = codeOK
			return
		}
		if r.eventCount == 0 {
			r.timeToFirstToken = time.Since(start)
		}
		r.eventCount++
	}
}

// maxErrorBytes is the largest part of the body of an error response that is
// read.
const maxErrorBytes = 64 << 10

// errorCode returns the code in an error response, or status_NNN without one.
func errorCode(resp *http.Response) string {
	fallback := fmt.Sprintf("status_%d", resp.StatusCode)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return fallback
	}
	return bodyCode(body, fallback)
}

// bodyCode returns the code in an error body, or fallback without one.
func bodyCode(body []byte, fallback string) string {
	var b fault.Body
	if json.Unmarshal(body, &b) != nil || b.Error.Code == "" {
		return fallback
	}
	return b.Error.Code
}
