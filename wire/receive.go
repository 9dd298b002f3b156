package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/websocket"
)

// readLoop receives frames until the connection ends.
func (c *Conn) readLoop() {
	for {
		kind, b, err := c.ws.Read(c.ctx)
		if err != nil {
			c.Close(fmt.Errorf("read from node %q: %w", c.peer.ID, err))
			return
		}
		c.lastReceived.Store(time.Now().UnixNano())
		c.cfg.Stats.ReceivedBytes.Add(uint64(len(b)))
		if kind != websocket.MessageBinary {
			c.Close(fmt.Errorf("node %q sent a text message", c.peer.ID))
			return
		}
		if err := c.receive(b); err != nil {
			c.Close(fmt.Errorf("node %q: %w", c.peer.ID, err))
			return
		}
	}
}

// receive handles one frame. An error is a violation of the protocol and ends
// the connection; an unknown message type is not one.
func (c *Conn) receive(b []byte) error {
	e, err := DecodeEnvelope(b)
	if err != nil {
		return err
	}
	if e.Kind == KindCancel {
		c.cancelRunning(e.Call)
		return nil
	}
	m, err := e.Message()
	var unknown *UnknownTypeError
	if err != nil && !errors.As(err, &unknown) {
		return err
	}
	switch e.Kind {
	case KindResponse:
		c.deliverResponse(e.Call, m, err)
	case KindCall:
		c.startCall(e, m, err)
	case KindOneWay:
		c.queueOneWay(m)
	}
	return nil
}

// deliverResponse passes a response, or the error of its decoding, to the call
// that waits for it. Responses for which no call waits, such as duplicates,
// are counted and passed to Config.LateResponse.
func (c *Conn) deliverResponse(id uint64, m Message, err error) {
	if c.deliverToCall(id, m, err) {
		return
	}
	c.cfg.Stats.LateResponses.Add(1)
	if err == nil && c.cfg.LateResponse != nil {
		c.cfg.LateResponse(m)
	}
}

// deliverToCall passes a response to the call that waits for it, and returns false if
// there is none.
func (c *Conn) deliverToCall(id uint64, m Message, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	result, ok := c.pendingCalls[id]
	delete(c.pendingCalls, id)
	if !ok {
		return false
	}
	peerErr, refused := m.(*Error)
	switch { // the channel has room for the one result
	case err != nil:
		result <- callResult{err: fmt.Errorf("answer of node %q: %w: %w", c.peer.ID, ErrOutcomeUnknown, err)}
	case refused:
		result <- callResult{err: peerErr}
	default:
		result <- callResult{message: m}
	}
	return true
}

// startCall runs the handler of a call in a goroutine and sends its response.
// It refuses the call if the message type is unknown or too many calls are in
// progress.
func (c *Conn) startCall(e Envelope, m Message, decodeErr error) {
	if decodeErr != nil {
		c.sendRefusal(e.Call, CodeUnknownType, decodeErr.Error())
		return
	}
	select {
	case c.callSemaphore <- struct{}{}:
	default:
		c.sendRefusal(e.Call, CodeOverloaded, "too many calls on one connection")
		return
	}
	ctx, cancel := c.callContext(e.TimeoutMillis)
	c.mu.Lock()
	c.runningCalls[e.Call] = cancel
	c.mu.Unlock()
	go func() {
		defer func() { <-c.callSemaphore }()
		response := c.cfg.Handler(ctx, c.peer, m)
		c.cancelRunning(e.Call)
		if response == nil {
			response = new(Ack)
		}
		c.sendResponse(e.Call, response)
	}()
}

// sendRefusal responds with an Error to a call that is not handled. The
// response is dropped if the queue is full, so that the reader never blocks;
// the caller then times out.
func (c *Conn) sendRefusal(id uint64, code, message string) {
	frame, err := Encode(KindResponse, id, 0, &Error{Code: code, Message: message})
	if err == nil {
		c.SendEncoded(frame)
	}
}

// callContext returns the context of a call's handler, which ends with the
// connection and after the caller's timeout; 0 means no timeout.
func (c *Conn) callContext(timeoutMillis int64) (context.Context, context.CancelFunc) {
	if timeoutMillis <= 0 {
		return context.WithCancel(c.ctx)
	}
	return context.WithTimeout(c.ctx, time.Duration(min(timeoutMillis, maxMillis))*time.Millisecond)
}

// cancelRunning cancels the context of a call in progress, if there is one.
func (c *Conn) cancelRunning(id uint64) {
	c.mu.Lock()
	cancel := c.runningCalls[id]
	delete(c.runningCalls, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// queueOneWay queues a one-way message for its handler, or drops it if the
// queue is full. Messages of unknown types are nil and ignored.
func (c *Conn) queueOneWay(m Message) {
	if m == nil {
		return
	}
	select {
	case c.oneWayQueue <- m:
	default:
		c.cfg.Stats.DroppedReceives.Add(1)
	}
}

// oneWayLoop handles one-way messages in the order of their arrival, including
// those that arrived just before the end of the connection.
func (c *Conn) oneWayLoop() {
	for {
		select {
		case <-c.done:
			c.drainOneWay()
			return
		case m := <-c.oneWayQueue:
			c.cfg.Handler(c.ctx, c.peer, m)
		}
	}
}

// drainOneWay handles the one-way messages that are left in the queue.
func (c *Conn) drainOneWay() {
	for {
		select {
		case m := <-c.oneWayQueue:
			c.cfg.Handler(c.ctx, c.peer, m)
		default:
			return
		}
	}
}
