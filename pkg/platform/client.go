package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"almondturn/fleet"
)

// ChangeReply answers a compare-and-swap.
type ChangeReply struct {
	Revision Revision `json:"revision"`
}

// ListReply answers a list.
type ListReply struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// LeaseReply answers the grant of a lease.
type LeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// VMReply answers a read of the VM list.
type VMReply struct {
	VMs     []VM   `json:"vms"`
	Version uint64 `json:"version"`
}

// watchSilence is the longest time without a line on a watch; the service
// sends an empty line every second.
const watchSilence = 4 * time.Second

// Client speaks to the platform over HTTP. It implements KV and VMLister.
type Client struct {
	base  string
	http  *http.Client
	watch *http.Client
}

// NewClient returns a client of the service at base, such as
// http://10.0.0.1:2380, whose calls are given up after timeout. dial may be nil.
func NewClient(base string, timeout time.Duration, dial fleet.DialFunc) *Client {
	dial = bounded(dial.Or(&net.Dialer{}), timeout)
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{
		base:  base,
		http:  &http.Client{Transport: transport, Timeout: timeout},
		watch: &http.Client{Transport: &http.Transport{DialContext: dial, ResponseHeaderTimeout: timeout}},
	}
}

// bounded gives a dial up after timeout, also when its context has no end.
func bounded(dial fleet.DialFunc, timeout time.Duration) fleet.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.read(ctx, "/v1/kv", url.Values{"key": {key}}, &e)
	return e, err
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	var r ListReply
	err := c.read(ctx, "/v1/list", url.Values{"prefix": {prefix}}, &r)
	return r.Entries, r.Revision, err
}

// CompareAndSwap implements KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	var r ChangeReply
	q := url.Values{"key": {key}, "expect": {format(uint64(expect))}, "lease": {format(uint64(lease))}}
	err := c.change(ctx, http.MethodPut, "/v1/kv", q, value, &r)
	return r.Revision, err
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	q := url.Values{"key": {key}, "expect": {format(uint64(expect))}}
	return c.change(ctx, http.MethodDelete, "/v1/kv", q, nil, nil)
}

// GrantLease implements KV.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var r LeaseReply
	err := c.change(ctx, http.MethodPost, "/v1/leases", url.Values{"ttl_ms": {format(uint64(ttl.Milliseconds()))}}, nil, &r)
	return r.Lease, err
}

// RenewLease implements KV.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	return leaseError(c.change(ctx, http.MethodPut, "/v1/leases/"+format(uint64(id)), nil, nil, nil))
}

// RevokeLease implements KV.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	return leaseError(c.change(ctx, http.MethodDelete, "/v1/leases/"+format(uint64(id)), nil, nil, nil))
}

// VMs implements VMLister.
func (c *Client) VMs(ctx context.Context) ([]VM, uint64, error) {
	var r VMReply
	err := c.read(ctx, "/v1/vms", nil, &r)
	return r.VMs, r.Version, err
}

// Watch implements KV. The channel is also closed after watchSilence
// without a sign of life from the service.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	q := url.Values{"prefix": {prefix}, "after": {format(uint64(after))}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/watch?"+q.Encode(), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	resp, err := c.watch.Do(req)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("watch %q: %w: %w", prefix, ErrUnavailable, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, fmt.Errorf("watch %q: %w", prefix, statusError(resp))
	}
	out := make(chan WatchEvent)
	go pump(ctx, cancel, resp.Body, out)
	return out, nil
}

// pump forwards the lines of a watch until the stream fails or goes silent.
func pump(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, out chan<- WatchEvent) {
	defer close(out)
	defer body.Close()
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		silence.Reset(watchSilence)
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		var ev WatchEvent
		if json.Unmarshal(line, &ev) != nil {
			return
		}
		select {
		case out <- ev:
		case <-ctx.Done():
			return
		}
	}
}

// read performs a call that changes nothing; every failure is ErrUnavailable.
func (c *Client) read(ctx context.Context, path string, q url.Values, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %w", path, statusError(resp))
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	return nil
}

// change performs a call that may change state: a failure after the
// connection was made is ErrOutcomeUnknown.
func (c *Client) change(ctx context.Context, method, path string, q url.Values, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody the transport cannot repeat the request by itself.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, changeFailure(err), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("%s %s: %w: status %d", method, path, ErrOutcomeUnknown, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %w", method, path, statusError(resp))
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrOutcomeUnknown, err)
	}
	return nil
}

func changeFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}

// maxErrorBytes bounds the part of an error body that is kept.
const maxErrorBytes = 512

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
	base := ErrUnavailable
	switch resp.StatusCode {
	case http.StatusNotFound:
		base = ErrNotFound
	case http.StatusConflict:
		base = ErrConflict
	case http.StatusGone:
		base = ErrCompacted
	case http.StatusBadRequest:
		return fmt.Errorf("refused: %s", bytes.TrimSpace(text))
	}
	return fmt.Errorf("%w: %s", base, bytes.TrimSpace(text))
}

func leaseError(err error) error {
	if errors.Is(err, ErrCompacted) {
		return fmt.Errorf("%w: %w", ErrLeaseExpired, err)
	}
	return err
}

func format(n uint64) string { return strconv.FormatUint(n, 10) }
