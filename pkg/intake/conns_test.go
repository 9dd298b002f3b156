package intake

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeConn is a connection of an address without a peer.
type fakeConn struct {
	net.Conn
	address string
	closed  bool
	// readEnds is the read deadline.
	readEnds time.Time
}

func (c *fakeConn) RemoteAddr() net.Addr              { return &net.TCPAddr{IP: net.ParseIP(c.address), Port: 1} }
func (c *fakeConn) Close() error                      { c.closed = true; return nil }
func (c *fakeConn) SetReadDeadline(t time.Time) error { c.readEnds = t; return nil }
func (c *fakeConn) Read([]byte) (int, error)          { return 1, nil }

// newTestConns returns Conns with the limits, and the reasons that they report.
func newTestConns(l Limits, c *clock) (*Conns, *[]Reason) {
	var reasons []Reason
	return NewConns(l, func() HeadLimits { return HeadLimits{1000, 3 * time.Second} }, func(r Reason, _ string) { reasons = append(reasons, r) }, c.now), &reasons
}

// connect returns a new connection that was admitted, nil if it was not.
func connect(l *Conns, address string) (*Conn, *fakeConn) {
	inner := &fakeConn{address: address}
	return l.admit(inner, false), inner
}

// Guards against descriptors that clients use up: connections that are stalled in a head or
// body make room first, idle ones next, and those that are served never.
func TestStalledConnectionMakesRoom(t *testing.T) {
	c := &clock{time.Now()}
	l, reasons := newTestConns(Limits{Conns: 4}, c)
	served, _ := connect(l, "10.0.0.1")
	served.BeginRequest()
	idle, idleInner := connect(l, "10.0.0.1")
	inHead, inHeadInner := connect(l, "10.0.0.1")
	_, _ = inHead.Read(nil)
	inBody, inBodyInner := connect(l, "10.0.0.1")
	inBody.BeginRequest()
	inBody.SetBodyIncomplete(true)
	none, _ := connect(l, "10.0.0.1")
	assert.Nil(t, none, "none is stalled for minEvictStall")
	c.Time = c.Add(minEvictStall)
	_, _ = inBody.Read(nil)
	c.Time = c.Add(minEvictStall)
	for range 3 {
		next, _ := connect(l, "10.0.0.1")
		require.NotNil(t, next)
		next.BeginRequest()
	}
	assert.True(t, inHeadInner.closed)
	assert.True(t, inBodyInner.closed)
	assert.Equal(t, c.Time, idleInner.readEnds, "an idle connection ends at its next read")
	require.NoError(t, idle.Close())
	none, _ = connect(l, "10.0.0.1")
	assert.Nil(t, none, "the others are served")
	assert.Equal(t, 4, l.Count())
	assert.Equal(t, []Reason{Connections, Connections, Connections, Connections, Connections}, *reasons)
}

// Guards against one address that takes the connections of all others, if operators have set
// a bound; without one a forwarder may have all.
func TestConnectionsOfOneAddressAreBounded(t *testing.T) {
	c := &clock{time.Now()}
	l, reasons := newTestConns(Limits{Conns: 10, ConnsPerAddress: 2}, c)
	first, _ := connect(l, "10.0.0.1")
	_, _ = connect(l, "10.0.0.1")
	none, _ := connect(l, "10.0.0.1")
	assert.Nil(t, none)
	other, _ := connect(l, "10.0.0.2")
	assert.NotNil(t, other)
	require.NoError(t, first.Close())
	require.NoError(t, first.Close()) // the HTTP server closes twice
	next, _ := connect(l, "10.0.0.1")
	assert.NotNil(t, next)
	assert.Equal(t, []Reason{AddressConnections}, *reasons)
}

// Guards against a report that names the client that was admitted and not the one whose connection was
// closed for it.
func TestReportNamesTheClientWhoseConnectionIsClosed(t *testing.T) {
	c := &clock{time.Now()}
	var reported []string
	l := NewConns(Limits{Conns: 1}, func() HeadLimits { return HeadLimits{} }, func(_ Reason, address string) { reported = append(reported, address) }, c.now)
	conn, _ := connect(l, "10.0.0.1")
	require.NotNil(t, conn)
	refused, _ := connect(l, "10.0.0.2")
	assert.Nil(t, refused)
	c.Time = c.Add(2 * minEvictStall)
	admitted, _ := connect(l, "10.0.0.3")
	assert.NotNil(t, admitted)
	assert.Equal(t, []string{"10.0.0.2", "10.0.0.1"}, reported)
}

// The time of a head began anew with each call of the HTTP server, and a further request had
// none up to its fourth byte.
func TestTimeOfAHeadCountsFromItsFirstByte(t *testing.T) {
	c := &clock{time.Now()}
	l, _ := newTestConns(Limits{}, c)
	conn, inner := connect(l, "10.0.0.1")
	openedAhead := c.Add(10 * time.Second)
	require.NoError(t, conn.SetReadDeadline(openedAhead))
	assert.Equal(t, openedAhead, inner.readEnds, "a connection may be opened ahead")
	for range 2 {
		_, _ = conn.Read(nil)
		ends := c.Add(3*time.Second + headMarginTime)
		c.Time = c.Add(time.Second)
		require.NoError(t, conn.SetReadDeadline(c.Add(10*time.Second)))
		assert.Equal(t, ends, inner.readEnds)
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		assert.Zero(t, inner.readEnds, "the server takes it back at the end of the head")
		conn.BeginRequest()
		assert.Zero(t, inner.readEnds, "the body has limits of its own")
		conn.EndRequest(false)
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		assert.Zero(t, inner.readEnds, "an idle connection has none")
	}
	conn.EndRequest(true)
	require.NoError(t, conn.SetReadDeadline(time.Time{})) // the server waits for the next head
	assert.Equal(t, c.Add(3*time.Second+headMarginTime), inner.readEnds, "a byte of the next head has arrived")
}

// readHead connects over loopback, sends text, and returns what the connection has read
// until its end and the response.
func readHead(t *testing.T, l *Conns, text string) (size int64, response string, err error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := l.Listen(tcp, false)
	defer listener.Close()
	client, err := net.Dial("tcp", tcp.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	go func() {
		_, _ = io.WriteString(client, text)
		_ = client.(*net.TCPConn).CloseWrite()
	}()
	conn, err := listener.Accept()
	require.NoError(t, err)
	size, err = io.Copy(io.Discard, conn)
	_ = conn.Close()
	got, _ := io.ReadAll(client)
	return size, string(got), err
}

// Heads and empty lines without end were read up to four times the limit of the configuration. Guards
// also against many heads that are each within the limit and hold too much together.
func TestHeadsAreBounded(t *testing.T) {
	const field, emptyLine = "A: b\r\n", "\r\n"
	for _, c := range []struct {
		name      string
		headBytes int64 // of all heads
		text      string
		reason    Reason
	}{
		{"fields", 0, strings.Repeat(field, 5000), HeadBytes},
		{"empty lines", 0, strings.Repeat(emptyLine, 15000), HeadBytes},
		{"within the limit", 0, strings.Repeat(field, 150), ""},
		{"too much together", 1000, strings.Repeat(field, 1000), HeadMemory},
		{"a small head is not counted", 1000, strings.Repeat(field, 600), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, reasons := newTestConns(Limits{HeadBytes: c.headBytes}, &clock{time.Now()})
			size, response, err := readHead(t, l, c.text)
			if c.reason == "" {
				require.NoError(t, err)
				assert.Empty(t, *reasons)
			} else {
				require.ErrorIs(t, err, errHead)
				assert.Equal(t, []Reason{c.reason}, *reasons)
				assert.LessOrEqual(t, size, int64(1000+headMarginBytes))
			}
			const tooLarge = "431 Request Header Fields Too Large"
			assert.Equal(t, c.reason == HeadBytes, strings.Contains(response, tooLarge), response)
			assert.Zero(t, l.heads.Load(), "what was counted is given back")
			assert.Zero(t, l.Count())
		})
	}
}
