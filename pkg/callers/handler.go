package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"almondturn/pkg/claims"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/route"
)

// Headers of an answer that was kept.
const (
	headerReplayed  = "Idempotency-Replayed"
	headerTruncated = "Idempotency-Body-Truncated"
)

const (
	// maxKeyedBytes bounds the body of a request with an idempotency key.
	maxKeyedBytes = 4 << 20
	// settleTime bounds the tries to record an outcome, settlePause is the
	// wait between two.
	settleTime  = time.Minute
	settlePause = 200 * time.Millisecond
)

// Node is what the listener needs of the node behind it.
type Node interface {
	http.Handler
	Table() *route.Table
	// ServeReadiness answers a balancer.
	ServeReadiness(w http.ResponseWriter, r *http.Request)
}

// Handler serves the callers' listener.
type Handler struct {
	protocol *Protocol
	node     Node
	claims   *claims.Table
	log      *zerolog.Logger
}

// Handler returns the handler of the callers' listener before a node.
func (p *Protocol) Handler(n Node, c *claims.Table, log *zerolog.Logger) http.Handler {
	h := &Handler{protocol: p, node: n, claims: c, log: log}
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.UseRawPath, r.UnescapePathValues = true, false
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", gin.WrapF(n.ServeReadiness))
	r.GET(modelsPath, h.models)
	r.POST(chatPath, gin.WrapH(n))
	r.POST(completionPath, gin.WrapH(n))
	r.Any(servicesPrefix+"*path", h.call)
	r.NoRoute(func(c *gin.Context) {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.UnknownPath, "path %q does not exist", c.Request.URL.Path))
	})
	return r
}

// models lists the models that the caller's service may use.
func (h *Handler) models(c *gin.Context) {
	t := h.node.Table()
	if t == nil {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.NotReady, "this node has not loaded the settings of the teams yet"))
		return
	}
	snap, identity, err := identify(c.Request, t)
	if err != nil {
		fault.WriteHTTP(c.Writer, "", err)
		return
	}
	svc, _, ok := snap.Service(identity.Service)
	if !ok {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.UnknownService, "service %q does not exist", identity.Service))
		return
	}
	c.JSON(http.StatusOK, modelList(svc))
}

// call passes a call of a plain service on. One with an idempotency key that
// may not be repeated is claimed first.
func (h *Handler) call(c *gin.Context) {
	key, t := c.GetHeader(headerIdempotencyKey), h.node.Table()
	if key == "" || t == nil || !h.unsafe(c.Request, t) {
		h.node.ServeHTTP(c.Writer, c.Request)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxKeyedBytes))
	if err != nil {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.BodyTooLarge, "the body exceeds %d bytes, or broke off", maxKeyedBytes))
		return
	}
	c.Request.Body = io.NopCloser(bytes.NewReader(body))
	c.Request.ContentLength = int64(len(body))
	h.claimed(c, h.claimRequest(c.Request, key, body, t))
}

// unsafe tells whether the request is a known caller's that may not be
// repeated. The node judges all others without a claim.
func (h *Handler) unsafe(r *http.Request, t *route.Table) bool {
	accepted, err := h.protocol.Accept(r, t)
	return err == nil && !accepted.Route.Idempotent()
}

func (h *Handler) claimRequest(r *http.Request, key string, body []byte, t *route.Table) *claims.Request {
	_, identity, _ := identify(r, t) // known: see unsafe
	deadline, _ := h.protocol.deadline(r)
	digest := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery} {
		digest.Write([]byte(part + "\x00"))
	}
	digest.Write(body)
	return &claims.Request{
		Owner: string(identity.Team) + "/" + string(identity.Service), Key: key, Digest: [sha256.Size]byte(digest.Sum(nil)),
		RequestID: uuid.NewString(), Deadline: time.Now().Add(deadline),
	}
}

// claimed runs the request if its key is free, or answers what is known.
func (h *Handler) claimed(c *gin.Context, r *claims.Request) {
	claim, kept, err := h.claims.Begin(c.Request.Context(), r)
	switch {
	case err != nil:
		event.ClaimRefused.Log(h.log).Str("request", r.RequestID).Str("owner", r.Owner).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		fault.WriteHTTP(c.Writer, r.RequestID, err)
	case kept != nil:
		replay(c.Writer, r.RequestID, kept)
	default:
		w := &recorder{ResponseWriter: c.Writer}
		whole := false
		defer func() { h.settle(claim, w, whole) }()
		h.node.ServeHTTP(w, c.Request)
		whole = true                                     // no panic has cut the answer off
		_ = http.NewResponseController(c.Writer).Flush() // the caller need not wait for the record
	}
}

// replay answers with a kept answer.
func replay(w http.ResponseWriter, id string, a *claims.Response) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(fault.HeaderRequestID, id)
	h.Set(fault.HeaderRun, string(fault.RunYes))
	h.Set(headerReplayed, "true")
	if a.Truncated {
		h.Set(headerTruncated, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// settle records how the request ended; whole tells that the answer did not
// break off. It tries again for a while when the key-value service does not
// answer.
func (h *Handler) settle(claim *claims.Claim, w *recorder, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	record := func() error {
		run := fault.Run(w.Header().Get(fault.HeaderRun))
		switch {
		case run == fault.RunNo:
			return h.claims.Release(ctx, claim)
		case run == fault.RunYes && whole:
			return h.claims.Complete(ctx, claim, w.answer())
		default:
			return h.claims.MarkOutcomeUnknown(ctx, claim)
		}
	}
	if record() == nil {
		cancel()
		return
	}
	go func() {
		defer cancel()
		for record() != nil {
			select {
			case <-ctx.Done():
				event.ClaimOutcomeLost.Log(h.log).Send()
				return
			case <-time.After(settlePause):
			}
		}
	}()
}

// recorder keeps what goes to the caller.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
	cut    bool
}

// Unwrap lets http.ResponseController find the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	kept := p[:min(len(p), claims.MaxBodyBytes-len(r.body))]
	r.body = append(r.body, kept...)
	r.cut = r.cut || len(kept) < len(p)
	return r.ResponseWriter.Write(p)
}

func (r *recorder) answer() *claims.Response {
	return &claims.Response{Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body, Truncated: r.cut}
}
