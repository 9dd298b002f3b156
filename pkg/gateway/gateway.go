// Package gateway serves callers over HTTP: it authenticates, reads and
// checks a request, and writes the answer that the dispatcher obtains.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
)

// Options are the gateway's settings.
type Options struct {
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64 `yaml:"max_body_bytes" validate:"min=1024"`
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout time.Duration `yaml:"default_timeout" validate:"min=1s"`
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout time.Duration `yaml:"max_timeout" validate:"min=1s"`
}

// DefaultOptions returns the settings of a node that names none.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 4 << 20, DefaultTimeout: 2 * time.Minute, MaxTimeout: time.Hour}
}

// Dispatcher obtains the answer to a request.
type Dispatcher interface {
	// Do returns an error of a fault kind. When the sink was started, an
	// error means that the answer broke off.
	Do(ctx context.Context, r *dispatch.Request, s dispatch.Sink) error
}

// Headers that callers may send.
const (
	headerTimeout        = "Almondturn-Timeout-Ms"
	headerClass          = "Almondturn-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// writeGrace is the time after its deadline that an answer, or the error
// that ends it, may take to reach the caller.
const writeGrace = time.Second

// Gateway holds the handlers of the callers' listener.
type Gateway struct {
	opts       Options
	catalog    *catalog.Store
	dispatcher Dispatcher
	ready      func() error
	loaded     func() bool
	log        zerolog.Logger
}

// New returns a gateway. ready returns nil while the node takes new callers;
// loaded tells whether the settings of all teams have been loaded.
func New(o Options, cat *catalog.Store, d Dispatcher, ready func() error, loaded func() bool, log zerolog.Logger) *Gateway {
	return &Gateway{opts: o, catalog: cat, dispatcher: d, ready: ready, loaded: loaded, log: log}
}

// Handler returns the routes for callers.
func (g *Gateway) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", g.serveReady)
	r.GET("/metrics", func(c *gin.Context) { metrics.WritePrometheus(c.Writer, true) })
	r.GET("/v1/models", g.serveModels)
	r.POST("/v1/chat/completions", g.serveCompletion)
	r.POST("/v1/completions", g.serveCompletion)
	r.Any("/services/:service/*path", g.servePlain)
	r.NoRoute(func(c *gin.Context) {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.UnknownPath, "path %q does not exist", c.Request.URL.Path))
	})
	return r
}

func (g *Gateway) serveReady(c *gin.Context) {
	if err := g.ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// serveCompletion answers the OpenAI-compatible completion calls.
func (g *Gateway) serveCompletion(c *gin.Context) {
	g.serve(c, func(r *dispatch.Request, snap *catalog.Snapshot) error {
		return completion(r, snap, c.Request.URL.Path)
	})
}

// servePlain answers calls of plain services.
func (g *Gateway) servePlain(c *gin.Context) {
	g.serve(c, func(r *dispatch.Request, snap *catalog.Snapshot) error {
		return plain(r, snap, fleet.Service(c.Param("service")), c.Param("path"), c.Request.URL.RawQuery)
	})
}

// serve reads the request, lets fill complete it, and has it dispatched.
func (g *Gateway) serve(c *gin.Context, fill func(*dispatch.Request, *catalog.Snapshot) error) {
	id := uuid.NewString()
	r, err := g.read(c, id, fill)
	if err != nil {
		g.refuse(c, id, err)
		return
	}
	ctx, cancel := context.WithDeadline(c.Request.Context(), r.Deadline)
	defer cancel()
	// A caller that takes nothing ends with its deadline too.
	conn := http.NewResponseController(c.Writer)
	_ = conn.SetWriteDeadline(r.Deadline.Add(writeGrace))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	s := &sink{w: c.Writer, id: id, stream: r.Stream}
	if err := g.dispatcher.Do(ctx, r, s); err != nil {
		g.fail(c, r, s, err)
		return
	}
	countAnswer("ok")
}

func (g *Gateway) read(c *gin.Context, id string, fill func(*dispatch.Request, *catalog.Snapshot) error) (*dispatch.Request, error) {
	snap := g.catalog.Load()
	identity, err := g.identify(c.Request, snap)
	if err != nil {
		return nil, err
	}
	r := &dispatch.Request{
		ID:             id,
		Identity:       identity,
		Service:        identity.Service,
		Method:         c.Request.Method,
		Header:         c.Request.Header,
		IdempotencyKey: c.GetHeader(headerIdempotencyKey),
	}
	if r.Deadline, err = g.deadline(c.Request); err != nil {
		return nil, err
	}
	if r.Body, err = g.body(c); err != nil {
		return nil, err
	}
	if err := fill(r, snap); err != nil {
		return nil, err
	}
	return r, classify(r, snap, c.Request)
}

func (g *Gateway) refuse(c *gin.Context, id string, err error) {
	countAnswer(fault.KindOf(err).String())
	fault.WriteHTTP(c.Writer, id, err)
}

// fail tells the caller of an error: as the answer when none has started,
// as a last event of a stream, or by cutting the connection, so that a
// partial answer is never taken for a whole one.
func (g *Gateway) fail(c *gin.Context, r *dispatch.Request, s *sink, err error) {
	fe := fault.As(err)
	event.RequestFailed.Log(&g.log).Str("request", r.ID).Str("kind", fe.Kind.String()).
		Str("run", string(fe.Kind.Answer().Run)).Str("team", string(r.Identity.Team)).
		AnErr("cause", fe.Err).Msg(fe.Message)
	countAnswer(fe.Kind.String())
	switch {
	case !s.started:
		fault.WriteHTTP(c.Writer, r.ID, err)
	case s.stream:
		s.writeError(err)
	default:
		panic(http.ErrAbortHandler)
	}
}

// serveModels lists the models that the caller's service may use.
func (g *Gateway) serveModels(c *gin.Context) {
	snap := g.catalog.Load()
	identity, err := g.identify(c.Request, snap)
	if err != nil {
		g.refuse(c, "", err)
		return
	}
	svc, _, ok := snap.Service(identity.Service)
	if !ok {
		g.refuse(c, "", fault.New(fault.UnknownService, "service %q does not exist", identity.Service))
		return
	}
	c.JSON(http.StatusOK, modelList(svc))
}
