package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Points of the server at which idle connections may be closed, as bits.
const (
	atIdle = 1 << iota
	atRead
	whileWaiting
	atActive
	atHandler
	inHandler
	allPoints = 1<<iota - 1
)

// Times at which a piece of the second request may be sent.
const (
	withFirst = iota
	duringFirst
	beforeClose
	afterClose
	pieceTimes
)

// idleOrder is one order in which the second request of a connection arrives and idle
// connections are closed.
type idleOrder struct {
	// firstPiece is the number of bytes of the first of the two pieces in which the request
	// is sent, at the times sent.
	firstPiece int
	sent       [2]int
	// closes are the points at which idle connections are closed.
	closes int
}

// The second request of a connection, in the parts of which idleOrder cuts it.
const (
	secondHead = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	secondBody = "0123456789"
)

// idleOrders returns all orders.
func idleOrders() []idleOrder {
	var orders []idleOrder
	for _, firstPiece := range []int{1, 3, len(secondHead) / 2, len(secondHead), len(secondHead) + len(secondBody)} {
		for first := range pieceTimes {
			for second := first; second < pieceTimes; second++ {
				for closes := range allPoints + 1 {
					orders = append(orders, idleOrder{firstPiece, [2]int{first, second}, closes})
				}
			}
		}
	}
	return orders
}

// mustBeServed reports whether a byte of the request had arrived before its connection was
// closed as idle. Of a request that begins in the buffer of the server, which has read it
// with the one before, that can only be told from the fourth byte on.
func (o idleOrder) mustBeServed() bool {
	const peekBytes = 4
	hidden := o.sent[0] == withFirst && o.firstPiece < peekBytes
	begun := o.sent[0] < afterClose && !hidden || o.sent[1] < afterClose
	return begun || o.closes&(atRead|whileWaiting) == 0
}

// settleTime is the time that the other side gets for what it does next.
const settleTime = 2 * time.Millisecond

// play sends two requests over one connection in the order and returns an error if the second
// gets no response.
func (o idleOrder) play() error {
	idle := newIdleConns()
	closeAt := func(point int) {
		if o.closes&point != 0 {
			idle.closeOlder(0)
		}
	}
	started, proceed := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			close(started)
			<-proceed
			return
		}
		closeAt(atHandler)
		if _, err := io.ReadAll(r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(settleTime) // the server begins to read ahead
		closeAt(inHandler)
		select {
		case <-r.Context().Done(): // as if the client had disconnected
			panic(http.ErrAbortHandler)
		case <-time.After(settleTime):
		}
	}))
	waiting, written := new(atomic.Bool), make(chan struct{})
	s.Listener = idle.listen(&hookListener{s.Listener, func() {
		if waiting.Swap(false) {
			<-written
			closeAt(atRead)
		}
	}})
	s.Config.ReadHeaderTimeout = headerTimeout
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive { // the head has been read
			closeAt(atActive)
		}
		idle.track(c, state)
		if state == http.StateIdle {
			waiting.Store(true)
			closeAt(atIdle)
		}
	}
	s.Start()
	defer s.Close()
	return o.send(s.Listener.Addr().String(), started, proceed, func() {
		close(written)
		for start := time.Now(); idle.empty() && time.Since(start) < settleTime; {
			time.Sleep(settleTime / 10)
		}
		time.Sleep(settleTime) // the server begins to read
		closeAt(whileWaiting)
	})
}

// hookListener accepts connections that call beforeRead before each read.
type hookListener struct {
	net.Listener
	beforeRead func()
}

// Accept implements net.Listener.
func (l *hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookConn{c.(*net.TCPConn), l.beforeRead}, nil
}

// hookConn is a connection that hookListener accepted.
type hookConn struct {
	*net.TCPConn
	beforeRead func()
}

// Read implements net.Conn.
func (c *hookConn) Read(b []byte) (int, error) {
	c.beforeRead()
	return c.TCPConn.Read(b)
}

// send sends the two requests. The first has a response once proceed is closed; closeIdle is
// called while the server waits for the second.
func (o idleOrder) send(addr string, started <-chan struct{}, proceed chan<- struct{}, closeIdle func()) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	text := secondHead + secondBody
	pieces := func(when int) string {
		out := ""
		if o.sent[0] == when {
			out += text[:o.firstPiece]
		}
		if o.sent[1] == when {
			out += text[o.firstPiece:]
		}
		return out
	}
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+pieces(withFirst))
	<-started
	_, _ = io.WriteString(c, pieces(duringFirst))
	time.Sleep(settleTime)
	close(proceed)
	reader := bufio.NewReader(c)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		return fmt.Errorf("first response: %w", err)
	}
	_, _ = io.WriteString(c, pieces(beforeClose))
	closeIdle()
	time.Sleep(settleTime)
	_, _ = io.WriteString(c, pieces(afterClose))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return fmt.Errorf("second response: %w", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("second response has status %d", resp.StatusCode)
	}
	return nil
}

// A request of which the node had received a byte was lost when idle connections were closed:
// requests that clients send before the last response still counted as idle.
func TestNoOrderOfArrivalAndIdleCloseLosesARequest(t *testing.T) {
	const parallel = 64
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, o := range idleOrders() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := o.play(); o.mustBeServed() {
				assert.NoError(t, err, "%+v", o)
			}
		})
	}
	wg.Wait()
}
