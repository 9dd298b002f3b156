package upstream

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a TCP connection. Something between the two ends may lose track
// of an dialFunc connection, so that only these show it.
const (
	// userTimeout ends a connection whose data stays unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval set when a quiet connection is
	// probed; keepAliveCount unanswered probes end it.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer opens TCP connections that notice a silent path.
type Dialer struct{ inner net.Dialer }

// NewDialer returns a Dialer that gives up after timeout.
func NewDialer(timeout time.Duration) *Dialer {
	return &Dialer{inner: net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         setUserTimeout,
	}}
}

// KeepAlive returns the keep-alive settings of all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// DialContext opens a connection. Its error means that nothing was sent.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.inner.DialContext(ctx, network, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	return c, nil
}

// ListenConfig returns a configuration whose accepted connections notice a
// silent path.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// setUserTimeout sets what the net package has no field for. Accepted connections
// inherit it from their listener.
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
