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

// client calls the nodes' operators' listeners, one after the other.
type client struct {
	servers []string
	token   string
	author  string
	http    *http.Client
}

func newClient(a *args, token string) (*client, error) {
	c := &client{servers: a.Server, token: token, author: a.Author, http: &http.Client{Timeout: a.Timeout}}
	if a.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no PEM certificate", a.CA)
	}
	c.http.Transport = &http.Transport{
		Proxy:           http.ProxyFromEnvironment,
		TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12},
	}
	return c, nil
}

// request is one call. All calls may be repeated on another node: reads by
// nature, changes because they carry a write identifier.
type request struct {
	method string
	path   string
	body   []byte
	header map[string]string
}

// reply is a successful answer.
type reply struct {
	header http.Header
	body   []byte
}

// answerError is an error that a node answered with.
type answerError struct {
	server string
	body   fault.BodyError
}

// Error shows the node's message.
func (e *answerError) Error() string {
	return fmt.Sprintf("%s: %s (%s, request %s)", e.body.Code, e.body.Message, e.server, e.body.RequestID)
}

// do calls the nodes in turn until one answers. The next node is asked when
// one cannot be reached, is shutting down or does not reach the platform.
func (c *client) do(ctx context.Context, r request) (*reply, error) {
	var failures []error
	for _, server := range c.servers {
		answer, err := c.once(ctx, server, r)
		if err == nil {
			return answer, nil
		}
		var answered *answerError
		if errors.As(err, &answered) && answered.exit() != ExitUnreachable {
			return nil, err
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

func (c *client) once(ctx context.Context, server string, r request) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(server, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &usageError{fmt.Errorf("--server %q: %w", server, err)}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set(operators.HeaderAuthor, c.author)
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: answer broke off: %w", server, err)
	}
	if resp.StatusCode == http.StatusOK {
		return &reply{header: resp.Header, body: body}, nil
	}
	return nil, decodeError(server, resp.StatusCode, body)
}

func decodeError(server string, status int, body []byte) error {
	var b fault.Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" {
		return fmt.Errorf("%s: status %d without an error body; is this the operators' listener?", server, status)
	}
	return &answerError{server: server, body: b.Error}
}
