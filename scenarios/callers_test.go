package scenarios

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/fault"
)

// call is one request of a caller, and the response that the caller received.
type call struct {
	node           fleet.NodeID
	model          string // empty for a booking
	idempotencyKey string
	method         string
	maxTokens      int
	timeout        time.Duration
	deadline       time.Time

	// The response.
	endedAt        time.Time
	requestID      string
	status         int
	code           string // "ok", an error code, "failed" for an error response without a code, or "connection" if the response is missing or was truncated
	reportedRun    string // whether the request was run, according to the response
	replayed       bool   // a stored response to an earlier request with the key
	complete       bool   // all requested events, or a valid body
	hasForeignData bool   // the response contains data of another request
	eventCount     int
}

// callers sends requests through nodes and records them.
type callers struct {
	// nodeAddr returns the address at which a node serves callers. It is empty
	// while the node is down.
	nodeAddr func(fleet.NodeID) string
	client   *http.Client

	mu  sync.Mutex // guards log
	log []*call
}

func newCallers(addr func(fleet.NodeID) string) *callers {
	return &callers{nodeAddr: addr, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// calls returns all calls whose response has ended.
func (cs *callers) calls() []*call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return append([]*call(nil), cs.log...)
}

// send sends one request, waits until its response has ended, and records the
// call.
func (cs *callers) send(ctx context.Context, c *call) {
	c.deadline = time.Now().Add(c.timeout)
	c.code = "connection"
	if addr := cs.nodeAddr(c.node); addr != "" {
		cs.roundTrip(ctx, addr, c)
	}
	c.endedAt = time.Now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.log = append(cs.log, c)
}

// roundTrip sends a request to a node and reads the response into c.
func (cs *callers) roundTrip(ctx context.Context, addr string, c *call) {
	req, err := cs.newRequest(ctx, addr, c)
	if err != nil {
		return
	}
	resp, err := cs.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	c.requestID = resp.Header.Get(fault.HeaderRequestID)
	c.reportedRun = resp.Header.Get(fault.HeaderRun)
	c.replayed = resp.Header.Get("Idempotency-Replayed") != ""
	switch {
	case resp.Header.Get("Content-Type") == "text/event-stream":
		c.readStream(resp.Body)
	default:
		c.readBody(resp.Body)
	}
}

func (cs *callers) newRequest(ctx context.Context, addr string, c *call) (*http.Request, error) {
	method, path, body, apiKey := http.MethodPost, "/v1/chat/completions", "", examples.DevListingKey
	if c.model != "" {
		body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d}`, c.model, c.maxTokens)
	} else {
		method, path, body, apiKey = c.method, "/services/bookings/seats", c.bookingBody(), examples.DevBookingsKey
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Almondturn-Timeout-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	return req, nil
}

// readStream reads events to the end of the stream, or to an error event. A stream
// that ends without a [DONE] event or an error event leaves the code as it is.
func (c *call) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case failed:
			var b fault.Body
			if json.Unmarshal([]byte(data), &b) == nil {
				c.code, c.reportedRun = b.Error.Code, string(b.Error.Run)
			}
			return
		case data == "[DONE]":
			c.code = "ok"
			c.complete = c.eventCount == c.maxTokens
		default:
			c.eventCount++
			want := fmt.Sprintf("%s:%d ", c.requestID, c.eventCount)
			c.hasForeignData = c.hasForeignData || !strings.Contains(data, want)
		}
	}
}

// keyField is contained only in the bodies of bookings that have an idempotency
// key.
const keyField = `"key":`

// bookingBody returns the body of a booking. It is the same for all requests
// with one key: a key that is reused with another body is refused.
func (c *call) bookingBody() string {
	if c.idempotencyKey == "" {
		return `{"row":1}`
	}
	return fmt.Sprintf(`{"row":1,%s%q}`, keyField, c.idempotencyKey)
}

// readBody reads the response to a booking, or an error.
func (c *call) readBody(body io.Reader) {
	text, err := io.ReadAll(body)
	if err != nil {
		return
	}
	if c.status >= http.StatusBadRequest {
		var b fault.Body
		if json.Unmarshal(text, &b) == nil && b.Error.Code != "" {
			c.code = b.Error.Code
			return
		}
		c.code = "failed" // an error of the target, not of a node
		return
	}
	c.code = "ok"
	c.complete = json.Valid(text)
	c.hasForeignData = !c.replayed && !bytes.Contains(text, []byte(c.requestID))
}
