package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/wire"
)

// Client settles claims for the requests that enter at this node.
type Client struct {
	opts   Options
	clock  platform.Clock
	logger zerolog.Logger
	net    peer.Network
	view   ViewFunc

	background sync.WaitGroup
}

// NewClient returns a client that asks the claim writers of the live nodes.
func NewClient(opts Options, clock platform.Clock, logger zerolog.Logger, net peer.Network, view ViewFunc) *Client {
	return &Client{opts: opts, clock: clock, logger: logger, net: net, view: view}
}

// writers returns the live nodes of all zones in the order in which they
// are asked for the key.
func (c *Client) writers(key []byte) []fleet.NodeID {
	view := c.view()
	ids := make([]fleet.NodeID, 0, len(view.Live)+1)
	seen := false
	for i := range view.Live {
		ids = append(ids, view.Live[i].ID)
		seen = seen || view.Live[i].ID == view.Self.ID
	}
	if !seen {
		ids = append(ids, view.Self.ID)
	}
	return fleet.Ranked(ids, rangeKey(key))
}

// Begin settles the request's claim. A nil outcome means that the request
// holds the claim and may be sent; otherwise the outcome is that of an
// earlier request. Errors mean that this request must not be sent.
func (c *Client) Begin(ctx context.Context, r Request) (*wire.Outcome, error) {
	key := r.KeyDigest()
	self := c.view().Self
	ask := &wire.Claim{
		Team:            r.Team,
		Key:             key,
		Body:            r.Digest,
		RequestID:       r.RequestID,
		Node:            self.ID,
		Incarnation:     self.Incarnation,
		Idempotent:      r.Idempotent,
		RemainingMillis: r.Deadline.Sub(c.clock.Now()).Milliseconds(),
	}
	var cause error
	for i, writer := range c.writers(key) {
		if i == c.opts.AskAttempts || ctx.Err() != nil {
			break
		}
		result, err := c.ask(ctx, writer, ask)
		if err == nil && result.State != wire.ClaimUnsettled {
			return decide(result)
		}
		cause = err
	}
	// The claim may have been written all the same: give it back, since
	// the request is not sent.
	c.background.Go(func() {
		c.finish(&wire.ClaimOutcome{Key: key, RequestID: r.RequestID, Outcome: wire.Outcome{Run: string(fault.RunNo)}})
	})
	if cause != nil {
		return nil, fault.New(fault.ClaimUnsettled, "the idempotency key could not be settled: %w", cause)
	}
	return nil, fault.New(fault.ClaimUnsettled, "the idempotency key could not be settled with the key-value service")
}

func (c *Client) ask(ctx context.Context, writer fleet.NodeID, m *wire.Claim) (*wire.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.AskTimeout)
	defer cancel()
	answer, err := c.net.Call(ctx, writer, m)
	if err != nil {
		return nil, err
	}
	result, ok := answer.(*wire.ClaimResult)
	if !ok {
		return nil, fmt.Errorf("claim writer %s answered with message type %d", writer, answer.Type())
	}
	return result, nil
}

func decide(r *wire.ClaimResult) (*wire.Outcome, error) {
	switch r.State {
	case wire.ClaimGranted:
		return nil, nil
	case wire.ClaimFinished:
		return &r.Outcome, nil
	case wire.ClaimInProgress:
		return nil, fault.New(fault.KeyInProgress, "a request with this idempotency key is in progress")
	case wire.ClaimMismatch:
		return nil, fault.New(fault.KeyMismatch, "this idempotency key was used for a different request")
	default:
		return nil, fault.New(fault.ClaimUnsettled, "the claim writer answered with state %d", r.State)
	}
}

// Finish records what became of a request that Begin let pass. The claim of
// a request that was not run is given back before Finish returns, so that
// the caller may repeat the request at once, unless this takes longer than
// AskTimeout; anything else is recorded in the background.
func (c *Client) Finish(r Request, o wire.Outcome) {
	done := make(chan struct{})
	c.background.Go(func() {
		defer close(done)
		c.finish(&wire.ClaimOutcome{Key: r.KeyDigest(), RequestID: r.RequestID, Outcome: o})
	})
	if o.Run != string(fault.RunNo) {
		return
	}
	wait := time.NewTimer(c.opts.AskTimeout)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// finish records the outcome with the writers in turn.
func (c *Client) finish(m *wire.ClaimOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.OutcomeTimeout)
	defer cancel()
	attempt := 0
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		writers := c.writers(m.Key)
		writer := writers[attempt%len(writers)]
		attempt++
		return struct{}{}, c.record(ctx, writer, m)
	}, backoff.WithMaxElapsedTime(c.opts.OutcomeTimeout))
	if err != nil {
		event.ClaimOutcomeLost.Log(&c.logger).Err(err).Str("request", m.RequestID).Send()
	}
}

func (c *Client) record(ctx context.Context, writer fleet.NodeID, m *wire.ClaimOutcome) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.AskTimeout)
	defer cancel()
	_, err := c.net.Call(ctx, writer, m)
	return err
}

// Close waits until all outcomes are recorded, or ctx ends.
func (c *Client) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("outcomes are still being recorded: %w", ctx.Err())
	}
}
