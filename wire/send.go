package wire

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// The life of a queued call: it is either written or abandoned, never both.
const (
	frameQueued uint32 = iota
	frameWritten
	frameWithdrawn
)

// queuedFrame is one frame in the sendQueue queue.
type queuedFrame struct {
	frame []byte
	// callState is set for callSlots only.
	callState *atomic.Uint32
	// closeConn asks for the end of the connection.
	closeConn bool
}

// Call sends a request and waits for its answer. The error is an *Error when
// the peer answered with one; it wraps ErrNotSent when the peer certainly did
// not get the request, and ErrOutcomeUnknown when it may have.
func (c *Conn) Call(ctx context.Context, m Message) (Message, error) {
	id := c.nextCall.Add(1)
	frame, err := Encode(KindCall, id, timeoutMillis(ctx), m)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	result := make(chan callResult, 1)
	c.mu.Lock()
	c.pendingCalls[id] = result
	c.mu.Unlock()
	defer c.removePending(id)

	state := new(atomic.Uint32)
	if !c.enqueue(queuedFrame{frame: frame, callState: state}) {
		return nil, fmt.Errorf("call to node %q: queue is full or connection closed: %w", c.peer.ID, ErrNotSent)
	}
	select {
	case r := <-result:
		return r.message, r.err
	case <-ctx.Done():
		err := c.withdraw(state, context.Cause(ctx))
		if errors.Is(err, ErrOutcomeUnknown) {
			c.sendCancel(id)
		}
		return nil, err
	case <-c.done:
	}
	select {
	case r := <-result:
		return r.message, r.err
	default:
		return nil, c.withdraw(state, c.err)
	}
}

// withdraw takes a call out of the queue, or tells that it was written.
func (c *Conn) withdraw(state *atomic.Uint32, cause error) error {
	outcome := ErrOutcomeUnknown
	if state.CompareAndSwap(frameQueued, frameWithdrawn) {
		outcome = ErrNotSent
	}
	return fmt.Errorf("call to node %q: %w: %w", c.peer.ID, outcome, cause)
}

func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pendingCalls, id)
	c.mu.Unlock()
}

func timeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// Send queues a one-way message and reports whether it was queued.
func (c *Conn) Send(m Message) bool {
	frame, err := Encode(KindOneWay, 0, 0, m)
	return err == nil && c.SendEncoded(frame)
}

// SendEncoded queues an encoded one-way envelope, which may be shared
// between connections.
func (c *Conn) SendEncoded(frame []byte) bool {
	if c.enqueue(queuedFrame{frame: frame}) {
		return true
	}
	c.cfg.Stats.DroppedSends.Add(1)
	return false
}

func (c *Conn) sendCancel(id uint64) {
	frame, err := encMode.Marshal(&Envelope{Version: MaxVersion, Kind: KindCancel, Call: id})
	if err == nil {
		c.SendEncoded(frame)
	}
}

// enqueue adds a frame unless the queue is full.
func (c *Conn) enqueue(o queuedFrame) bool {
	if c.ctx.Err() != nil {
		return false
	}
	size := int64(len(o.frame))
	if c.queuedBytes.Add(size) > c.cfg.Options.SendQueueBytes {
		c.queuedBytes.Add(-size)
		return false
	}
	select {
	case c.sendQueue <- o:
		return true
	default:
		c.queuedBytes.Add(-size)
		return false
	}
}

// sendResponse waits for room in the queue: answers are never dropped while
// the connection lives.
func (c *Conn) sendResponse(id uint64, m Message) {
	frame, err := Encode(KindResponse, id, 0, m)
	if err != nil {
		frame, err = Encode(KindResponse, id, 0, &Error{Code: "internal", Message: err.Error()})
	}
	if err != nil {
		return
	}
	c.queuedBytes.Add(int64(len(frame)))
	select {
	case c.sendQueue <- queuedFrame{frame: frame}:
	case <-c.done:
	}
}

func (c *Conn) writeLoop() {
	ticker := time.NewTicker(c.cfg.Options.HeartbeatInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		var err error
		select {
		case <-c.done:
			return
		case o := <-c.sendQueue:
			err = c.writeQueued(o)
		case <-ticker.C:
			err = c.onHeartbeatTick(lastTick)
			lastTick = time.Now()
		}
		if err != nil {
			c.Close(err)
			return
		}
	}
}

func (c *Conn) writeQueued(o queuedFrame) error {
	if o.closeConn {
		c.shuttingDown.Store(true)
		_ = c.ws.Close(websocket.StatusNormalClosure, "shutdown")
		return ErrClosed
	}
	c.queuedBytes.Add(-int64(len(o.frame)))
	if o.callState != nil && !o.callState.CompareAndSwap(frameQueued, frameWritten) {
		return nil
	}
	return c.write(o.frame)
}

// onHeartbeatTick sends a heartbeat and checks for silence. After a pause of this
// process itself, the peer gets another interval to be heard.
func (c *Conn) onHeartbeatTick(lastTick time.Time) error {
	paused := time.Since(lastTick) > c.cfg.Options.SilenceTimeout/2+c.cfg.Options.HeartbeatInterval
	if !paused && c.SilentFor() > c.cfg.Options.SilenceTimeout {
		return fmt.Errorf("node %q: %w", c.peer.ID, ErrPeerUnresponsive)
	}
	if c.cfg.Heartbeat == nil {
		return nil
	}
	frame := c.cfg.Heartbeat()
	if frame == nil {
		return nil
	}
	return c.write(frame)
}

func (c *Conn) write(frame []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Options.SilenceTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return fmt.Errorf("write to node %q: %w", c.peer.ID, err)
	}
	c.cfg.Stats.SentFrames.Add(1)
	c.cfg.Stats.SentBytes.Add(uint64(len(frame)))
	return nil
}
