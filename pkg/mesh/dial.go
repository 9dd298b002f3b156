package mesh

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"almondturn/pkg/event"
	"almondturn/wire"
)

// seedInterval is how often a configured address is looked at once connected.
const seedInterval = 5 * time.Second

// statsInterval is how often the traffic counters are exported.
const statsInterval = 2 * time.Second

func (m *Mesh) newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = m.opts.RedialMin
	b.MaxInterval = m.opts.RedialMax
	b.Reset()
	return b
}

// keep holds a neighbour connected until ctx ends or it is forgotten.
func (m *Mesh) keep(ctx context.Context, n *neighbour) {
	wait := m.newBackOff()
	for ctx.Err() == nil {
		c := n.best.Load()
		switch {
		case c == nil && m.forget(n):
			return
		case c == nil:
			m.reconnect(ctx, n, wait)
		case m.silent(c):
			m.dialOnce(ctx, n, wait)
		default:
			wait.Reset()
			m.retireDuplicates(ctx, n)
			sleepOrWake(ctx, m.opts.Connection.HeartbeatInterval, n.changed)
		}
	}
}

// reconnect dials a node without a connection. The end with the higher
// identifier first gives the other one time to dial.
func (m *Mesh) reconnect(ctx context.Context, n *neighbour, wait *backoff.ExponentialBackOff) {
	if m.self.ID > n.id {
		sleepOrWake(ctx, m.opts.PassiveDelay, n.changed)
		if n.best.Load() != nil || ctx.Err() != nil {
			return
		}
	}
	m.dialOnce(ctx, n, wait)
}

// dialOnce tries one connection and waits after a failure.
func (m *Mesh) dialOnce(ctx context.Context, n *neighbour, wait *backoff.ExponentialBackOff) {
	c, err := m.dial(ctx, n.address())
	if err == nil && c.Peer().ID == n.id {
		m.adopt(c)
		return
	}
	if err == nil {
		// Another node answers at this address; keep the connection to it.
		m.adopt(c)
	}
	sleepOrWake(ctx, wait.NextBackOff(), n.changed)
}

func (m *Mesh) dial(ctx context.Context, addr string) (*wire.Conn, error) {
	metrics.GetOrCreateCounter(`almondturn_mesh_dials_total`).Inc()
	c, err := wire.Dial(ctx, m.scheme+"://"+addr+Path, m.client, m.config())
	if err != nil {
		m.log.Debug().Str("addr", addr).Err(err).Msg("dial failed")
		return nil, err
	}
	return c, nil
}

// keepSeed dials a configured address until the node behind it is connected.
func (m *Mesh) keepSeed(ctx context.Context, addr string) {
	if addr == m.self.Addr {
		return
	}
	wait := m.newBackOff()
	never := make(chan struct{})
	for ctx.Err() == nil {
		if m.connectedTo(addr) {
			wait.Reset()
			sleepOrWake(ctx, seedInterval, never)
			continue
		}
		c, err := m.dial(ctx, addr)
		if err != nil {
			sleepOrWake(ctx, wait.NextBackOff(), never)
			continue
		}
		if c.Peer().ID == m.self.ID {
			c.Close(errSelf)
			return
		}
		if c.Peer().Addr != addr {
			event.MeshSeedMismatch.Log(&m.log).Str("addr", addr).Str("node", string(c.Peer().ID)).Str("node_addr", c.Peer().Addr).Send()
			m.adopt(c)
			return
		}
		m.adopt(c)
	}
}

func (m *Mesh) connectedTo(addr string) bool {
	for _, n := range *m.neighbours.Load() {
		if c := n.best.Load(); c != nil && c.Peer().Addr == addr {
			return true
		}
	}
	return false
}

func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// Stats returns the node's traffic counters.
func (m *Mesh) Stats() *wire.Stats { return &m.stats }

// reportStats exports the growth of the traffic counters.
func (m *Mesh) reportStats(ctx context.Context) {
	counters := []exported{
		{name: `almondturn_mesh_sent_bytes_total`, read: m.stats.SentBytes.Load},
		{name: `almondturn_mesh_received_bytes_total`, read: m.stats.ReceivedBytes.Load},
		{name: `almondturn_mesh_sent_frames_total`, read: m.stats.SentFrames.Load},
		{name: `almondturn_mesh_dropped_total{side="send"}`, read: m.stats.DroppedSends.Load},
		{name: `almondturn_mesh_dropped_total{side="receive"}`, read: m.stats.DroppedReceives.Load},
		{name: `almondturn_mesh_late_answers_total`, read: m.stats.LateAnswers.Load},
	}
	for ctx.Err() == nil {
		sleepOrWake(ctx, statsInterval, nil)
		for i := range counters {
			counters[i].export()
		}
	}
}

// exported copies one atomic counter to the metrics registry.
type exported struct {
	name string
	read func() uint64
	last uint64
}

func (e *exported) export() {
	now := e.read()
	metrics.GetOrCreateCounter(e.name).AddInt64(int64(now - e.last))
	e.last = now
}
