package upstream

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of a TCP connection. A device between the two ends may drop an open
// connection without a reset; only these timeouts detect that.
const (
	// userTimeout is TCP_USER_TIMEOUT of connections to targets, to the key-value service
	// and between nodes: a connection whose data stays unacknowledged, or whose peer does
	// not read, for longer fails.
	userTimeout = 1500 * time.Millisecond
	// clientUserTimeout is the same for connections of clients. A client may pause while it
	// reads a response, until its deadline ends the response; this timeout ends what is
	// left of a connection whose path is dead.
	clientUserTimeout = 30 * time.Second
	// keepAliveIdle is the time without traffic before the first keep-alive
	// probe, keepAliveInterval that between two probes. keepAliveCount
	// unacknowledged probes end the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens TCP connections that fail when the path to the peer is dead.
type Dialer struct{ inner net.Dialer }

// NewDialer returns a Dialer whose attempts to connect fail after timeout.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{inner: net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         setUserTimeout(userTimeout),
	}}
}

// KeepAlive returns the TCP keep-alive settings of all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// DialContext opens a connection to addr. An error means that nothing was sent.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.inner.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return c, nil
}

// ListenConfig returns a configuration whose accepted connections, those of clients, fail
// when the path to the peer is dead, but not because the peer pauses while it reads.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout(clientUserTimeout)}
}

// NodeListenConfig returns the configuration for connections of other nodes and of monitoring,
// which are to fail soon when the path to the peer is dead.
func NodeListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout(userTimeout)}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT, for which the net package
// has no field. Accepted connections inherit it from their listener.
func setUserTimeout(timeout time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
