package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a requester, and answer what it got.
type request struct {
	id, host, path, method, model string
	body                          string
	deadline                      time.Duration
	header                        http.Header
}

type answer struct {
	status   int // 0 without one
	body     string
	complete bool
	stamp    string
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to a node on a new connection.
func send(addr string, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+addr+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = q.host
	for name, values := range q.header {
		r.Header[name] = values
	}
	r.Header.Set("X-Almondturn-Request-Id", q.id)
	r.Header.Set("X-Almondturn-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.model != "" {
		r.Header.Set("X-Almondturn-Model", q.model)
		r.Header.Set("X-Almondturn-Token-Count", "826,49")
		r.Header.Set("X-Almondturn-Prompt-Prefix", fmt.Sprintf("%08x:628", rand.Uint32()))
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), err == nil, resp.Header.Get("X-Almondturn-Server-Stamp"), err}
}

// served reports whether the answer is a success with the worker's stamp and all events.
func (a answer) served() bool {
	return a.status == http.StatusOK && a.complete && a.stamp != "" && strings.Contains(a.body, fmt.Sprintf("data: piece %d\n", events))
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete %v, stamp %v", a.status, len(a.body), a.complete, a.stamp != "")
}
