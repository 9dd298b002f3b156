package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"almondturn/fleet"
	"almondturn/pkg/event"
)

// TCP keep-alive of connections to targets: a peer that does not answer is
// found after keepAliveIdle + keepAliveCount * keepAliveInterval.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// countedConn counts the writes that may have sent something, which tells
// whether a failed request can have reached the target.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(1) // before the write, for readers that run at the same time
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Add(-1)
	}
	return n, err
}

func newTransport(opts StreamOptions, fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: opts.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	dial := opts.Dial.Or(dialer)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: opts.MaxIdleConns,
		IdleConnTimeout:     opts.IdleTimeout,
	}
}

// generation is a set of pooled connections that are retired together.
type generation struct {
	number    uint64
	transport *http.Transport
}

// pool holds the connections to one target.
type pool struct {
	streams *Streams
	target  fleet.Target
	current atomic.Pointer[generation]
	probing singleflight.Group
}

func (s *Streams) pool(t fleet.Target) *pool {
	if p, ok := s.pools.Load(t.Addr); ok {
		return p.(*pool)
	}
	p := &pool{streams: s, target: t}
	p.current.Store(&generation{number: 1, transport: newTransport(s.opts, false)})
	have, _ := s.pools.LoadOrStore(t.Addr, p)
	return have.(*pool)
}

// retire replaces the given generation: no request uses its connections any
// more, and exchanges on it that stay silent move to the next generation.
func (p *pool) retire(old *generation) {
	next := &generation{number: old.number + 1, transport: newTransport(p.streams.opts, false)}
	if !p.current.CompareAndSwap(old, next) {
		return
	}
	p.streams.retired.Inc()
	event.TargetConnectionsRetired.Log(&p.streams.logger).Str("target", string(p.target.ID)).Send()
	old.transport.CloseIdleConnections()
}

// probe tells whether the target answers on a new connection. Concurrent
// probes of one target share a result.
func (p *pool) probe() bool {
	ok, _, _ := p.probing.Do("", func() (any, error) {
		p.streams.probes.Inc()
		ctx, cancel := context.WithTimeout(context.Background(), p.streams.opts.ProbeTimeout)
		defer cancel()
		// A plain service need not know the path: any answer shows that it lives.
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.target.Addr+PathState, nil)
		if err != nil {
			return false, nil
		}
		resp, err := p.streams.fresh.RoundTrip(req)
		if err != nil {
			return false, nil
		}
		_ = resp.Body.Close()
		return true, nil
	})
	return ok.(bool)
}
