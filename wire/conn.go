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

// Conn is one authenticated connection to another node.
type Conn struct {
	cfg    Config
	ws     *websocket.Conn
	peer   fleet.Node
	dialed bool

	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once
	err       error // set before done is closed

	sendQueue    chan queuedFrame
	queuedBytes  atomic.Int64
	oneWayQueue  chan Message
	callSlots    chan struct{} // semaphore of incoming callSlots
	lastReceived atomic.Int64  // unix nanoseconds
	nextCall     atomic.Uint64
	shuttingDown atomic.Bool // this end is shutting the connection down

	mu           sync.Mutex // guards pendingCalls and runningCalls
	pendingCalls map[uint64]chan callResult
	runningCalls map[uint64]context.CancelFunc
}

type callResult struct {
	message Message
	err     error
}

// Dial opens a connection to the inner listener at url, which has the
// scheme ws or wss.
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
	theirs, err := handshakeDial(ctx, ws, cfg.Self, cfg.Secret)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", url, err)
	}
	return newConn(ws, theirs.Node, true, cfg), nil
}

// Accept upgrades an incoming request to an authenticated connection.
func Accept(w http.ResponseWriter, r *http.Request, cfg Config) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accept %s: %w", r.RemoteAddr, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Options.HandshakeTimeout)
	defer cancel()
	ws.SetReadLimit(maxHandshakeBytes)
	theirs, err := handshakeAccept(ctx, ws, cfg.Self, cfg.Secret)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("handshake with %s: %w", r.RemoteAddr, err)
	}
	return newConn(ws, theirs.Node, false, cfg), nil
}

func newConn(ws *websocket.Conn, peer fleet.Node, dialed bool, cfg Config) *Conn {
	ws.SetReadLimit(MaxMessageBytes)
	if cfg.Stats == nil {
		cfg.Stats = new(Stats)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		cfg: cfg, ws: ws, peer: peer, dialed: dialed,
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
		sendQueue:    make(chan queuedFrame, cfg.Options.SendQueue),
		oneWayQueue:  make(chan Message, cfg.Options.ReceiveQueue),
		callSlots:    make(chan struct{}, cfg.Options.ConcurrentCalls),
		pendingCalls: map[uint64]chan callResult{},
		runningCalls: map[uint64]context.CancelFunc{},
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

// Run reads and writes until the connection ends, and returns why.
func (c *Conn) Run() error {
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(c.oneWayLoop)
	c.readLoop()
	wg.Wait()
	return c.err
}

// Peer returns the node at the other end, as it introduced itself.
func (c *Conn) Peer() fleet.Node { return c.peer }

// Dialed tells whether this end opened the connection.
func (c *Conn) Dialed() bool { return c.dialed }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// SilentFor returns the time since the closeConn message from the peer.
func (c *Conn) SilentFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - c.lastReceived.Load())
}

// Idle tells whether no call waits for an answer on either side.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingCalls) == 0 && len(c.runningCalls) == 0
}

// Close ends the connection at closeOnce. Calls that were written fail with
// ErrOutcomeUnknown, queued ones with ErrNotSent.
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

// Shutdown writes what is queued, then ends the connection.
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
