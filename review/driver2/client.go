package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester received. err is nil if it is complete.
type answer struct {
	status int
	err    error
}

// request is one attempt of a requester.
type request struct {
	method, path, id string
	body             string
	header           map[string]string
	deadline         time.Duration
}

// clientConn is a requester's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialNode opens a connection to a node.
func dialNode(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to a node: %w", err)
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer.
func (c *clientConn) send(r request) answer {
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second)) // an error ends the write, too
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Almondturn-Request-Id: %s\r\nX-Almondturn-Deadline-Ms: %d\r\n", r.method, r.path, r.id, r.deadline.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, err: err}
}
