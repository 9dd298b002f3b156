package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"almondturn/fleet"
)

// ErrNotSent tells that an order certainly never reached the engine.
var ErrNotSent = errors.New("order was not sent")

// OrderOptions are the settings of the client for states and orders.
type OrderOptions struct {
	// DialTimeout bounds the TCP handshake.
	DialTimeout time.Duration `yaml:"dial_timeout" validate:"gt=0"`
	// StateTimeout bounds one read of an engine's state.
	StateTimeout time.Duration `yaml:"state_timeout" validate:"gt=0"`
	// IdleTimeout closes connections that were not used this long.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"gt=0"`
	// Dial opens connections; nil takes net.Dialer.
	Dial fleet.DialFunc `yaml:"-"`
}

// DefaultOrderOptions returns settings for targets a few milliseconds away.
func DefaultOrderOptions() OrderOptions {
	return OrderOptions{DialTimeout: time.Second, StateTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second}
}

// maxStateBytes bounds the answer of an engine.
const maxStateBytes = 8 << 20

// Orders reads the states of engines and sends them orders. An order is
// sent on one connection and never again.
type Orders struct {
	opts  OrderOptions
	state *http.Client
	order *http.Client
}

// NewOrders returns a client.
func NewOrders(opts OrderOptions) *Orders {
	return &Orders{opts: opts, state: opts.client(false), order: opts.client(true)}
}

// client returns an HTTP client; once closes each connection after its
// request, because a request on a kept connection that the engine has just
// closed could be sent again by the library.
func (o OrderOptions) client(once bool) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:       o.Dial.Or(dialer),
		DisableKeepAlives: once,
		IdleConnTimeout:   o.IdleTimeout,
	}}
}

// Close closes idle connections.
func (c *Orders) Close() {
	c.state.CloseIdleConnections()
	c.order.CloseIdleConnections()
}

// State reads what an engine reports of itself. Reports lag.
func (c *Orders) State(ctx context.Context, t fleet.Target) (fleet.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+PathState, nil)
	if err != nil {
		return fleet.TargetState{}, fmt.Errorf("state of %s: %w", t.ID, err)
	}
	var s fleet.TargetState
	if err := roundTrip(c.state, req, &s); err != nil {
		return fleet.TargetState{}, fmt.Errorf("state of %s: %w", t.ID, err)
	}
	if s.Target != t.ID {
		return fleet.TargetState{}, fmt.Errorf("state of %s: answered by %q", t.ID, s.Target)
	}
	return s, nil
}

// Order sends an order and waits until the engine has executed it. An error
// wraps ErrNotSent when the order certainly never reached the engine; after
// any other error it may still take effect. Nothing is sent after the return.
func (c *Orders) Order(ctx context.Context, t fleet.Target, o Order) (OrderResult, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return OrderResult{}, fmt.Errorf("order %s: %w: %w", o.ID, ErrNotSent, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Addr+PathOrders, bytes.NewReader(body))
	if err != nil {
		return OrderResult{}, fmt.Errorf("order %s: %w: %w", o.ID, ErrNotSent, err)
	}
	req.GetBody = nil // the library must not send it twice
	req.Header.Set("Content-Type", "application/json")
	var res OrderResult
	if err := roundTrip(c.order, req, &res); err != nil {
		if !connected.Load() {
			return OrderResult{}, fmt.Errorf("order %s to %s: %w: %w", o.ID, t.ID, ErrNotSent, err)
		}
		return OrderResult{}, fmt.Errorf("order %s to %s: %w", o.ID, t.ID, err)
	}
	if res.Status == "" || res.State.Target != t.ID {
		return OrderResult{}, fmt.Errorf("order %s to %s: the answer names target %q and status %q", o.ID, t.ID, res.State.Target, res.Status)
	}
	return res, nil
}

func roundTrip(client *http.Client, req *http.Request, into any) error {
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxStateBytes)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}
