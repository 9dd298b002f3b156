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
	// userTimeout is TCP_USER_TIMEOUT: a connection whose data stays
	// unacknowledged for longer fails.
	userTimeout = 1500 * time.Millisecond
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
		Control:         setUserTimeout,
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

// ListenConfig returns a configuration whose accepted connections fail when the
// path to the peer is dead.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// setUserTimeout sets TCP_USER_TIMEOUT, for which the net package has no field.
// Accepted connections inherit it from their listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
