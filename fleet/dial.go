package fleet

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Or returns f, or the dialer's own function when f is nil.
func (f DialFunc) Or(d *net.Dialer) DialFunc {
	if f == nil {
		return d.DialContext
	}
	return f
}
