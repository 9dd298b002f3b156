package wire

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"almondturn/fleet"
)

// Conn is an authenticated connection to another node. Its methods may be
// called concurrently. A Conn reads and writes only while Run runs.
type Conn struct {
	cfg    Config
	ws     *websocket.Conn
	peer   fleet.Node
	dialed bool

	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
	err       error // the cause of the end; set before done is closed

	sendQueue     chan queuedFrame
	queuedBytes   atomic.Int64 // bytes of the frames in sendQueue
	oneWayQueue   chan Message
	callSemaphore chan struct{} // limits the calls of the peer in progress
	lastReceived  atomic.Int64  // time of the last message from the peer, in Unix nanoseconds
	nextCall      atomic.Uint64
	shuttingDown  atomic.Bool // this end is closing the connection in an orderly way

	mu           sync.Mutex                    // guards pendingCalls and runningCalls
	pendingCalls map[uint64]chan callResult    // by identifier: calls of this end that wait for a response
	runningCalls map[uint64]context.CancelFunc // by identifier: calls of the peer in progress at this end
}

// callResult is the response to a call, or the error with which it failed.
type callResult struct {
	message Message
	err     error
}

// Dial opens a connection to the listener for connections between nodes at url,
// which has the scheme ws or wss, and authenticates both ends. The caller must
// call Run.
func Dial(ctx context.Context, url string, client *http.Client, cfg Config) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Options.HandshakeTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: client})
	if resp != nil && resp.Body != nil && err != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", url, err)
	}
	ws.SetReadLimit(maxHandshakeBytes)
	peerHello, err := handshakeDial(ctx, ws, cfg.Self, cfg.Secret)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", url, err)
	}
	return newConn(ws, peerHello.Node, true, cfg), nil
}

// Accept upgrades an incoming request to a connection and authenticates both
// ends. The caller must call Run.
func Accept(w http.ResponseWriter, r *http.Request, cfg Config) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept %s: %w", r.RemoteAddr, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Options.HandshakeTimeout)
	defer cancel()
	ws.SetReadLimit(maxHandshakeBytes)
	peerHello, err := handshakeAccept(ctx, ws, cfg.Self, cfg.Secret)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", r.RemoteAddr, err)
	}
	return newConn(ws, peerHello.Node, false, cfg), nil
}

// newConn returns a connection for an authenticated WebSocket.
func newConn(ws *websocket.Conn, peer fleet.Node, dialed bool, cfg Config) *Conn {
	ws.SetReadLimit(MaxMessageBytes)
	if cfg.Stats == nil {
		cfg.Stats = new(Stats)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		cfg: cfg, ws: ws, peer: peer, dialed: dialed,
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
		sendQueue:     make(chan queuedFrame, cfg.Options.SendQueue),
		oneWayQueue:   make(chan Message, cfg.Options.ReceiveQueue),
		callSemaphore: make(chan struct{}, cfg.Options.ConcurrentCalls),
		pendingCalls:  map[uint64]chan callResult{},
		runningCalls:  map[uint64]context.CancelFunc{},
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

// Run reads and writes messages until the connection ends, and returns the
// cause. It must be called once.
func (c *Conn) Run() error {
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(c.oneWayLoop)
	c.readLoop()
	wg.Wait()
	return c.err
}

// Peer returns the node at the other end, as declared in its handshake.
func (c *Conn) Peer() fleet.Node { return c.peer }

// Dialed reports whether this end opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// SilentFor returns the time since the last message from the peer.
func (c *Conn) SilentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastReceived.Load())
}

// Idle reports whether no call waits for a response at either end.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingCalls) == 0 && len(c.runningCalls) == 0
}

// Close ends the connection immediately with the given cause, or with ErrClosed
// if Shutdown has written the queued messages and is closing it. Calls that were
// written fail with ErrOutcomeUnknown, queued ones with ErrNotSent. Only the
// first Close has an effect.
func (c *Conn) Close(cause error) {
	c.closeOnce.Do(func() {
		if c.shuttingDown.Load() {
			cause = ErrClosed
		}
		c.err = cause
		close(c.done)
		c.cancel()
		_ = c.ws.CloseNow()
	})
}

// Shutdown writes the queued messages, then ends the connection. When ctx ends
// first, it closes the connection immediately.
func (c *Conn) Shutdown(ctx context.Context) {
	select {
	case c.sendQueue <- queuedFrame{closeConn: true}:
	case <-ctx.Done():
	case <-c.done:
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		c.Close(ErrClosed)
	}
}
