package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"almondturn/pkg/fault"
	"almondturn/pkg/operators"
)

// client calls the listeners for operators of several nodes, in turn until one
// responds.
type client struct {
	servers []string // URLs
	token   string   // of the operator, empty for none
	author  string   // recorded with changes
	http    *http.Client
}

// newClient returns a client with the servers and options of a. It returns an error if
// the file of --ca can't be read or holds no certificate.
func newClient(a *arguments, token string) (*client, error) {
	c := &client{servers: a.Server, token: token, author: a.Author, http: &http.Client{Timeout: a.Timeout}}
	if a.CA == "" {
		return c, nil
	}
	caPEM, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, fmt.Errorf("--ca: %s holds no PEM certificate", a.CA)
	}
	c.http.Transport = &http.Transport{
		Proxy:           http.ProxyFromEnvironment,
		TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12},
	}
	return c, nil
}

// request is one call of a node. Every request may be sent again to another node:
// reads because they change nothing, changes of settings because they carry a write
// identifier, drains and undrains because repeating them changes nothing.
type request struct {
	method string
	path   string
	body   []byte
	header map[string]string
}

// response is a response with status 200.
type response struct {
	header http.Header
	body   []byte
}

// responseError is an error that a node returned in its response.
type responseError struct {
	server string
	body   fault.BodyError
}

// Error returns the node's error code and message, its URL and the request's
// identifier.
func (e *responseError) Error() string {
	return fmt.Sprintf("%s: %s (%s, request %s)", e.body.Code, e.body.Message, e.server, e.body.RequestID)
}

// sendToAny sends a request to the nodes in turn, until one handles it. It tries the
// next node if the URL of one is invalid, or if a node can't be reached, responds
// without an error body, is shutting down, can't reach the platform, has an internal
// error or doesn't know the outcome. It returns the errors of all nodes if none handles
// the request.
func (c *client) sendToAny(ctx context.Context, r request) (*response, error) {
	var failures []error
	for _, server := range c.servers {
		resp, err := c.sendTo(ctx, server, r)
		if err == nil {
			return resp, nil
		}
		var respErr *responseError
		if errors.As(err, &respErr) && respErr.exitCode() != ExitUnreachable {
			return nil, err
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// sendTo sends a request to one node. It returns a responseError if the node responds
// with an error, and another error if there is no valid response.
func (c *client) sendTo(ctx context.Context, server string, r request) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(server, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &usageError{fmt.Errorf("--server %q: %w", server, err)}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set(operators.HeaderAuthor, c.author)
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no response: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: connection lost mid-response: %w", server, err)
	}
	if resp.StatusCode == http.StatusOK {
		return &response{header: resp.Header, body: body}, nil
	}
	return nil, decodeError(server, resp.StatusCode, body)
}

// decodeError returns the error of a response whose status isn't 200.
func decodeError(server string, status int, body []byte) error {
	var decoded fault.Body
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error.Code == "" {
		return fmt.Errorf("%s: status %d without an error body; is this the listener for operators?", server, status)
	}
	return &responseError{server: server, body: decoded.Error}
}
