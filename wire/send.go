package wire

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// States of a queued call. A call is either written or withdrawn, never both.
const (
	callQueued uint32 = iota
	callWritten
	callWithdrawn
)

// queuedFrame is an entry of the send queue.
type queuedFrame struct {
	frame []byte
	// callState is one of the states above; nil for frames that are not calls.
	callState *atomic.Uint32
	// closeConn requests to close the connection; such an entry has no frame.
	closeConn bool
}

// Call sends a request to the peer and waits for its response. The error is an
// *Error if the peer responded with one. It wraps ErrNotSent if the peer
// certainly did not receive the request, and ErrOutcomeUnknown if it may have.
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

	callState := new(atomic.Uint32)
	if !c.enqueue(queuedFrame{frame: frame, callState: callState}) {
		return nil, fmt.Errorf("call to node %q: queue is full or connection closed: %w", c.peer.ID, ErrNotSent)
	}
	select {
	case r := <-result:
		return r.message, r.err
	case <-ctx.Done():
		c.removePending(id)
		select {
		case r := <-result: // it arrived in the same instant
			return r.message, r.err
		default:
		}
		err := c.withdraw(callState, context.Cause(ctx))
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
		return nil, c.withdraw(callState, c.err)
	}
}

// withdraw withdraws a call that nobody waits for any more, and returns its
// error: ErrNotSent if the call was still queued, ErrOutcomeUnknown if
// its write has already begun.
func (c *Conn) withdraw(callState *atomic.Uint32, cause error) error {
	outcome := ErrOutcomeUnknown
	if callState.CompareAndSwap(callQueued, callWithdrawn) {
		outcome = ErrNotSent
	}
	return fmt.Errorf("call to node %q: %w: %w", c.peer.ID, outcome, cause)
}

// removePending removes a call that no longer waits for a response.
func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pendingCalls, id)
	c.mu.Unlock()
}

// timeoutMillis returns the time until the deadline of ctx in milliseconds, at
// least 1; 0 if there is no deadline.
func timeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// Send queues a one-way message and reports whether it was queued. It does not
// block.
func (c *Conn) Send(m Message) bool {
	frame, err := Encode(KindOneWay, 0, 0, m)
	return err == nil && c.SendEncoded(frame)
}

// SendEncoded queues an encoded envelope that is not a call, and reports
// whether it was queued. Several connections may share the frame, which must
// not change. It does not block.
func (c *Conn) SendEncoded(frame []byte) bool {
	if c.enqueue(queuedFrame{frame: frame}) {
		return true
	}
	c.cfg.Stats.DroppedSends.Add(1)
	return false
}

// sendCancel notifies the peer that a call is canceled, unless the queue is
// full.
func (c *Conn) sendCancel(id uint64) {
	frame, err := encMode.Marshal(&Envelope{Version: MaxVersion, Kind: KindCancel, Call: id})
	if err == nil {
		c.SendEncoded(frame)
	}
}

// enqueue queues a frame and reports whether it did. It does not if the queue
// is full or the connection has ended.
func (c *Conn) enqueue(q queuedFrame) bool {
	if c.ctx.Err() != nil {
		return false
	}
	size := int64(len(q.frame))
	if c.queuedBytes.Add(size) > c.cfg.Options.SendQueueBytes {
		c.queuedBytes.Add(-size)
		return false
	}
	select {
	case c.sendQueue <- q:
		return true
	default:
		c.queuedBytes.Add(-size)
		return false
	}
}

// sendResponse queues the response to a call. It blocks the goroutine of the
// call's handler until the queue has space, because these responses are never
// dropped while the connection is open. They may exceed SendQueueBytes. A
// response that cannot be encoded is replaced by an Error with the code
// "internal", although the call was handled.
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

// writeLoop writes queued frames and heartbeats until the connection ends.
func (c *Conn) writeLoop() {
	ticker := time.NewTicker(c.cfg.Options.HeartbeatInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		var err error
		select {
		case <-c.done:
			return
		case q := <-c.sendQueue:
			err = c.writeQueued(q)
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

// writeQueued writes an entry of the send queue, unless it was withdrawn. It
// returns ErrClosed after closing the connection.
func (c *Conn) writeQueued(q queuedFrame) error {
	if q.closeConn {
		c.shuttingDown.Store(true)
		_ = c.ws.Close(websocket.StatusNormalClosure, "shutdown")
		return ErrClosed
	}
	c.queuedBytes.Add(-int64(len(q.frame)))
	if q.callState != nil && !q.callState.CompareAndSwap(callQueued, callWritten) {
		return nil
	}
	return c.write(q.frame)
}

// onHeartbeatTick sends a heartbeat. It returns an error that wraps
// ErrPeerUnresponsive if no message was received for SilenceTimeout. If this
// process itself was paused since lastTick, the peer gets another interval to
// send a message: its messages may have arrived without being read. A tick that
// is late by more than half of SilenceTimeout counts as such a pause.
func (c *Conn) onHeartbeatTick(lastTick time.Time) error {
	processPaused := time.Since(lastTick) > c.cfg.Options.SilenceTimeout/2+c.cfg.Options.HeartbeatInterval
	if !processPaused && c.SilentFor() > c.cfg.Options.SilenceTimeout {
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

// write writes a frame to the WebSocket and counts it.
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
