package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
)

// StreamOptions are the settings of the client for requests to targets.
type StreamOptions struct {
	// ConnectTimeout bounds the TCP handshake with a target.
	ConnectTimeout time.Duration `yaml:"connect_timeout" validate:"gt=0"`
	// SilenceTimeout is how long an exchange may go without a byte before
	// the target is probed on a new connection.
	SilenceTimeout time.Duration `yaml:"silence_timeout" validate:"gt=0"`
	// ProbeTimeout bounds a probe.
	ProbeTimeout time.Duration `yaml:"probe_timeout" validate:"gt=0"`
	// IdleTimeout closes a pooled connection that was not used this long.
	IdleTimeout time.Duration `yaml:"idle_timeout" validate:"gt=0"`
	// MaxIdleConns is the number of idle connections kept per target.
	MaxIdleConns int `yaml:"max_idle_conns" validate:"gt=0"`
	// MaxContinuations is how often one exchange is resumed or sent again
	// to the same target without progress in between.
	MaxContinuations int `yaml:"max_continuations" validate:"gte=0"`
	// ContinuationDelay is the wait before the first continuation; it
	// doubles with each further one.
	ContinuationDelay time.Duration `yaml:"continuation_delay" validate:"gt=0"`
	// CancelTimeout bounds the cancellation of an abandoned request.
	CancelTimeout time.Duration `yaml:"cancel_timeout" validate:"gt=0"`
	// Dial opens connections; nil takes net.Dialer.
	Dial fleet.DialFunc `yaml:"-"`
}

// DefaultStreamOptions returns the settings for a site with millisecond
// round trips.
func DefaultStreamOptions() StreamOptions {
	return StreamOptions{
		ConnectTimeout:    time.Second,
		SilenceTimeout:    5 * time.Second,
		ProbeTimeout:      time.Second,
		IdleTimeout:       30 * time.Second,
		MaxIdleConns:      64,
		MaxContinuations:  4,
		ContinuationDelay: 20 * time.Millisecond,
		CancelTimeout:     2 * time.Second,
	}
}

// Exchange is one request to a target.
type Exchange struct {
	RequestID string
	// Replica is zero for plain services.
	Replica  fleet.ReplicaKey
	Priority int
	Method   string
	// Path is the path at the target, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent exchanges may be sent again after an unknown outcome.
	Idempotent bool
	// Stream is true when the answer is a server-sent event stream, which
	// must end with the explicit end event.
	Stream bool
}

// Receiver takes the answer. Calls are made by one goroutine.
type Receiver interface {
	// Start is called once, when the first part of the body has arrived.
	Start(status int, header http.Header)
	// Write takes a part of the body; for streams, whole events only.
	Write(p []byte) error
}

// SendError tells how an exchange failed.
type SendError struct {
	// Run tells whether the target ran the request.
	Run fault.Run
	// Started is true when a part of the answer was delivered.
	Started bool
	// Refused is true when the target itself answered that it did not run
	// the request; Status is that answer's status.
	Refused bool
	Status  int
	// CallerGone is true when the receiver failed or the context was cancelled.
	CallerGone bool
	Err        error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Streams sends requests to targets and transfers their answers.
type Streams struct {
	opts   StreamOptions
	clock  platform.Clock
	logger zerolog.Logger

	pools sync.Map // address to *pool
	// fresh opens a new connection per exchange, for probes, cancellations
	// and requests that must not meet a stale connection.
	fresh *http.Transport

	cancels sync.WaitGroup

	resumes, crossed, retired, probes *metrics.Counter
}

// NewStreams returns a client for all targets.
func NewStreams(opts StreamOptions, clock platform.Clock, logger zerolog.Logger) *Streams {
	return &Streams{
		opts:    opts,
		clock:   clock,
		logger:  logger,
		fresh:   newTransport(opts, true),
		resumes: metrics.GetOrCreateCounter("almondturn_target_continuations_total"),
		crossed: metrics.GetOrCreateCounter("almondturn_target_crossed_answers_total"),
		retired: metrics.GetOrCreateCounter("almondturn_target_retired_pools_total"),
		probes:  metrics.GetOrCreateCounter("almondturn_target_probes_total"),
	}
}

// Do sends the exchange to the target and transfers the answer. An error is
// always a *SendError.
func (s *Streams) Do(ctx context.Context, t fleet.Target, x *Exchange, to Receiver) error {
	run := &exchange{
		streams: s,
		target:  t,
		pool:    s.pool(t),
		spec:    x,
		to:      to,
		silence: s.opts.SilenceTimeout,
	}
	return run.do(ctx)
}

// Close closes idle connections and waits for outstanding cancellations.
func (s *Streams) Close() {
	s.cancels.Wait()
	s.fresh.CloseIdleConnections()
	s.pools.Range(func(_, p any) bool {
		p.(*pool).current.Load().transport.CloseIdleConnections()
		return true
	})
}

// cancelAtTarget tells an engine that nobody waits for the request any more.
func (s *Streams) cancelAtTarget(t fleet.Target, requestID string) {
	if t.Kind != fleet.TargetEngine {
		return
	}
	s.cancels.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.CancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Addr+PathRequests+"/"+requestID, nil)
		if err != nil {
			return
		}
		resp, err := s.fresh.RoundTrip(req)
		if err != nil {
			s.logger.Debug().Err(err).Str("target", string(t.ID)).Str("request", requestID).Msg("cancellation failed")
			return
		}
		_ = resp.Body.Close()
	})
}
