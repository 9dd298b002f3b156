package wire

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
)

// newTestConfig returns the config of a node whose heartbeats do not interfere
// with a test.
func newTestConfig(id string, h Handler) Config {
	opts := DefaultOptions()
	opts.HeartbeatInterval = time.Hour
	opts.SilenceTimeout = 2 * time.Hour
	return Config{
		Options: opts,
		Self:    fleet.Node{ID: fleet.NodeID(id), Zone: "z1", Incarnation: id + "-1", Addr: "127.0.0.1:1"},
		Secret:  []byte("a shared secret of the fleet"),
		Handler: h,
	}
}

// acknowledge is a Handler that responds with Ack.
func acknowledge(context.Context, fleet.Node, Message) Message { return nil }

// connectPair returns both ends of a connection, whose loops run until the
// test ends.
func connectPair(t *testing.T, dialer, acceptor Config) (dialed, accepted *Conn) {
	t.Helper()
	ch := make(chan *Conn, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept(w, r, acceptor)
		if err == nil {
			ch <- c
		}
	}))
	t.Cleanup(srv.Close)
	d, err := Dial(t.Context(), "ws"+strings.TrimPrefix(srv.URL, "http"), nil, dialer)
	require.NoError(t, err)
	a := <-ch
	for _, c := range []*Conn{d, a} {
		ended := make(chan struct{})
		go func() { defer close(ended); _ = c.Run() }()
		t.Cleanup(func() { c.Close(ErrClosed); <-ended })
	}
	return d, a
}

func TestConcurrentCallsReceiveTheirOwnResponses(t *testing.T) {
	release := make(chan struct{})
	echo := func(_ context.Context, _ fleet.Node, m Message) Message {
		a := m.(*SlotRequest)
		if a.RequestID == "slow" {
			<-release
		}
		return &SlotResponse{Target: a.RequestID}
	}
	d, _ := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", echo))
	slow := make(chan Message, 1)
	go func() {
		m, _ := d.Call(context.Background(), &SlotRequest{RequestID: "slow"})
		slow <- m
	}()
	m, err := d.Call(t.Context(), &SlotRequest{RequestID: "fast"})
	require.NoError(t, err)
	assert.Equal(t, "fast", m.(*SlotResponse).Target)
	close(release)
	assert.Equal(t, "slow", (<-slow).(*SlotResponse).Target)
	assert.Equal(t, fleet.NodeID("b"), d.Peer().ID)
}

func TestWrongSecretFailsHandshakeOnBothEnds(t *testing.T) {
	acceptErr := make(chan error, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := Accept(w, r, newTestConfig("b", acknowledge))
		acceptErr <- err
	}))
	defer srv.Close()
	cfg := newTestConfig("a", acknowledge)
	cfg.Secret = []byte("another secret altogether")
	_, err := Dial(t.Context(), "ws"+strings.TrimPrefix(srv.URL, "http"), nil, cfg)
	require.ErrorIs(t, err, ErrUnauthenticated)
	require.Error(t, <-acceptErr)
}

func TestCanceledCallCancelsHandlerContext(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	wait := func(ctx context.Context, _ fleet.Node, _ Message) Message {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil
	}
	d, _ := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", wait))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := d.Call(ctx, &SlotRequest{})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.Canceled)
	<-ended
}

// A response was lost when its call was canceled while it was on its way: the slot that an
// owner granted with it stayed in use. Each response is returned or passed on, once.
func TestNoResponseToACanceledCallIsLost(t *testing.T) {
	const calls = 2000
	var cancel context.CancelFunc
	var handled, late atomic.Int64
	respond := func(_ context.Context, _ fleet.Node, m Message) Message {
		cancel()
		return &SlotResponse{Run: uint64(handled.Add(1))}
	}
	cfg := newTestConfig("a", acknowledge)
	cfg.LateResponse = func(m Message) {
		if r, ok := m.(*SlotResponse); ok && r.Run != 0 {
			late.Add(1)
		}
	}
	d, _ := connectPair(t, cfg, newTestConfig("b", respond))
	returned := int64(0)
	for range calls {
		var ctx context.Context
		ctx, cancel = context.WithCancel(t.Context())
		if _, err := d.Call(ctx, &SlotRequest{}); err == nil {
			returned++
		}
		cancel()
		require.Eventually(t, func() bool { return returned+late.Load() == handled.Load() }, 10*time.Second, time.Microsecond*100, "lost")
	}
	assert.EqualValues(t, calls, handled.Load())
}

// TestCallThatWasNotWrittenReturnsErrNotSent leaves calls in the queue of a
// connection whose loops do not run, so that they are certainly not sent.
func TestCallThatWasNotWrittenReturnsErrNotSent(t *testing.T) {
	cfg := newTestConfig("a", acknowledge)
	cfg.Options.SendQueue = 1
	c := newStoppedConn(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Call(ctx, &SlotRequest{})
	require.ErrorIs(t, err, ErrNotSent, "queued and withdrawn")
	_, err = c.Call(t.Context(), &SlotRequest{})
	require.ErrorIs(t, err, ErrNotSent, "the queue is full")
	assert.False(t, c.Send(&Ack{}))
	assert.EqualValues(t, 1, c.cfg.Stats.DroppedSends.Load())

	q := <-c.sendQueue
	require.NoError(t, c.writeQueued(q), "a withdrawn call is not written")
	assert.Zero(t, c.cfg.Stats.SentFrames.Load())
}

// newStoppedConn returns a connection whose loops do not run.
func newStoppedConn(t *testing.T, cfg Config) *Conn {
	t.Helper()
	d, _ := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", acknowledge))
	return newConn(d.ws, d.peer, true, cfg)
}

func TestCallFailsWithOutcomeUnknownIfConnectionClosesAndNotSentAfter(t *testing.T) {
	started := make(chan struct{})
	block := func(ctx context.Context, _ fleet.Node, _ Message) Message {
		close(started)
		<-ctx.Done()
		return nil
	}
	d, a := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", block))
	go func() { <-started; a.Close(ErrClosed) }()
	_, err := d.Call(t.Context(), &SlotRequest{})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
	<-d.Done()
	_, err = d.Call(t.Context(), &SlotRequest{})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestUnknownTypeIsRefusedAndConnectionStaysOpen(t *testing.T) {
	d, _ := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", acknowledge))
	_, err := d.Call(t.Context(), futureMessage{})
	var peerErr *Error
	require.ErrorAs(t, err, &peerErr)
	assert.Equal(t, CodeUnknownType, peerErr.Code)
	require.True(t, d.Send(futureMessage{}))
	m, err := d.Call(t.Context(), &Heartbeat{})
	require.NoError(t, err)
	assert.IsType(t, &Ack{}, m)
}

// futureMessage has a type that this build does not support.
type futureMessage struct {
	Field int `cbor:"1,keyasint"`
}

func (futureMessage) Type() Type { return 60000 }

func TestLateAndDuplicateResponsesAreIgnored(t *testing.T) {
	c := newStoppedConn(t, newTestConfig("a", acknowledge))
	result := make(chan callResult, 1)
	c.pendingCalls[7] = result
	for range 2 {
		frame, err := Encode(KindResponse, 7, 0, &Ack{})
		require.NoError(t, err)
		require.NoError(t, c.receive(frame))
	}
	assert.Len(t, result, 1)
	assert.EqualValues(t, 1, c.cfg.Stats.LateResponses.Load())
}

func TestUnresponsivePeerIsDetectedExceptAfterLocalPause(t *testing.T) {
	cfg := newTestConfig("a", acknowledge)
	c := newStoppedConn(t, cfg)
	c.lastReceived.Store(time.Now().Add(-3 * time.Hour).UnixNano())
	require.ErrorIs(t, c.onHeartbeatTick(time.Now().Add(-time.Hour)), ErrPeerUnresponsive)
	require.NoError(t, c.onHeartbeatTick(time.Now().Add(-3*time.Hour)), "this process itself was paused")
}

func TestCallsAboveConcurrencyLimitAreRefused(t *testing.T) {
	cfg := newTestConfig("b", func(ctx context.Context, _ fleet.Node, _ Message) Message { <-ctx.Done(); return nil })
	cfg.Options.ConcurrentCalls = 1
	d, a := connectPair(t, newTestConfig("a", acknowledge), cfg)
	go func() { _, _ = d.Call(t.Context(), &SlotRequest{}) }()
	require.Eventually(t, func() bool { return !a.Idle() }, 5*time.Second, time.Millisecond)
	_, err := d.Call(t.Context(), &SlotRequest{})
	var peerErr *Error
	require.ErrorAs(t, err, &peerErr)
	assert.Equal(t, CodeOverloaded, peerErr.Code)
}

// TestClosedConnectionHandlesReceivedOneWayMessages checks that the end of a
// connection does not overtake the messages received before it, such as the
// heartbeat by which a peer announces its shutdown.
func TestClosedConnectionHandlesReceivedOneWayMessages(t *testing.T) {
	handled := 0
	cfg := newTestConfig("a", func(context.Context, fleet.Node, Message) Message { handled++; return nil })
	c := newStoppedConn(t, cfg)
	const messages = 64
	for range messages {
		c.queueOneWay(&Heartbeat{})
	}
	c.Close(ErrClosed)
	c.oneWayLoop()
	assert.Equal(t, messages, handled)
}

func TestShutdownWritesQueuedMessages(t *testing.T) {
	got := make(chan Message, 1)
	d, a := connectPair(t, newTestConfig("a", acknowledge), newTestConfig("b", func(_ context.Context, _ fleet.Node, m Message) Message {
		got <- m
		return nil
	}))
	d.Send(&Heartbeat{Leaving: true})
	d.Shutdown(t.Context())
	assert.True(t, (<-got).(*Heartbeat).Leaving)
	<-a.Done()
	assert.True(t, errors.Is(d.err, ErrClosed))
}
