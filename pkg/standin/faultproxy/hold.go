package faultproxy

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// HoldRequests holds back the requests that begin with prefix from now on, on open and on
// new connections, which stay open. Like a network that loses packets, it leaves the data to
// the client's kernel: the kernel sends it again, also after the client has closed the
// connection or its process has ended, but drops it when it resets the connection.
func (p *Proxy) HoldRequests(prefix string) { p.hold.start(prefix) }

// PassRequests ends HoldRequests. What is held stays so until DeliverHeld, and so does
// what follows it on its connection.
func (p *Proxy) PassRequests() { p.hold.end() }

// DeliverHeld sends the server what has been held back until now, unless the client has
// reset the connection.
func (p *Proxy) DeliverHeld() { p.hold.deliver() }

// HeldRequests returns the number of connections whose held data begins with prefix.
func (p *Proxy) HeldRequests(prefix string) int { return p.hold.count(prefix) }

// requestHold decides which data is held back.
type requestHold struct {
	mu        sync.Mutex // guards all fields
	on        bool
	prefix    []byte                 // of the data that is held back; empty for all
	held      map[*heldWriter][]byte // by connection, without what follows the first piece
	delivered chan struct{}          // closed by deliver, which replaces it
}

func newRequestHold() *requestHold {
	return &requestHold{held: map[*heldWriter][]byte{}, delivered: make(chan struct{})}
}

func (h *requestHold) start(prefix string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.on, h.prefix = true, []byte(prefix)
}

func (h *requestHold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.on = false
}

func (h *requestHold) deliver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.delivered)
	h.delivered = make(chan struct{})
}

func (h *requestHold) count(prefix string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, data := range h.held {
		if bytes.HasPrefix(data, []byte(prefix)) {
			n++
		}
	}
	return n
}

// begin returns a channel that is closed when the data of w is to be delivered, nil if it
// isn't held back.
func (h *requestHold) begin(w *heldWriter, data []byte) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.on || !bytes.HasPrefix(data, h.prefix) {
		return nil
	}
	h.held[w] = data
	return h.delivered
}

// release ends what begin began.
func (h *requestHold) release(w *heldWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, w)
}

// errResetByClient means that held data was dropped, because the client had reset the
// connection.
var errResetByClient = errors.New("reset by the client")

// heldWriter writes what client sends to the server, and holds it back as long as hold
// requires.
type heldWriter struct {
	net.Conn // to the server
	client   net.Conn
	hold     *requestHold
	closed   <-chan struct{} // closed when the forwarded connection is
}

// Write implements io.Writer. It returns errResetByClient, and sends nothing, if the
// data was held back and the client reset the connection meanwhile.
func (w *heldWriter) Write(b []byte) (int, error) {
	delivered := w.hold.begin(w, b)
	if delivered == nil {
		return w.Conn.Write(b)
	}
	defer w.hold.release(w)
	select {
	case <-delivered:
	case <-w.closed:
		return 0, net.ErrClosed
	}
	if wasReset(w.client) {
		return 0, errResetByClient
	}
	return w.Conn.Write(b)
}

// wasReset reports whether the peer of a TCP connection has reset it.
func wasReset(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = err != nil || code != 0
	})
	return err != nil || reset
}
