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
	maxKeyedBodyBytes = 4 << 20
	// settleTime bounds the tries to record an outcome, settlePause is the
	// wait between two.
	recordTimeout  = time.Minute
	recordRetryInterval = 200 * time.Millisecond
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
	r.GET(modelsPath, h.serveModels)
	r.POST(chatPath, gin.WrapH(n))
	r.POST(completionPath, gin.WrapH(n))
	r.Any(servicesPrefix+"*path", h.serveCall)
	r.NoRoute(func(c *gin.Context) {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.UnknownPath, "path %q does not exist", c.Request.URL.Path))
	})
	return r
}

// models lists the models that the caller's service may use.
func (h *Handler) serveModels(c *gin.Context) {
	t := h.node.Table()
	if t == nil {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.NotReady, "this node has not loaded the settings of the teams yet"))
		return
	}
	snap, identity, err := identifyCaller(c.Request, t)
	if err != nil {
		fault.WriteHTTP(c.Writer, "", err)
		return
	}
	svc, _, ok := snap.Service(identity.Service)
	if !ok {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.UnknownService, "service %q does not exist", identity.Service))
		return
	}
	c.JSON(http.StatusOK, newModelList(svc))
}

// call passes a call of a plain service on. One with an idempotency key that
// may not be repeated is claimed first.
func (h *Handler) serveCall(c *gin.Context) {
	key, t := c.GetHeader(headerIdempotencyKey), h.node.Table()
	if key == "" || t == nil || !h.needsClaim(c.Request, t) {
		h.node.ServeHTTP(c.Writer, c.Request)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxKeyedBodyBytes))
	if err != nil {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.BodyTooLarge, "the body exceeds %d bytes, or broke off", maxKeyedBodyBytes))
		return
	}
	c.Request.Body = io.NopCloser(bytes.NewReader(body))
	c.Request.ContentLength = int64(len(body))
	h.serveClaimed(c, h.newClaimRequest(c.Request, key, body, t))
}

// unsafe tells whether the request is a known caller's that may not be
// repeated. The node judges all others without a claim.
func (h *Handler) needsClaim(r *http.Request, t *route.Table) bool {
	accepted, err := h.protocol.Accept(r, t)
	return err == nil && !accepted.Route.Idempotent()
}

func (h *Handler) newClaimRequest(r *http.Request, key string, body []byte, t *route.Table) *claims.Request {
	_, identity, _ := identifyCaller(r, t) // known: see unsafe
	deadline, _ := h.protocol.requestTimeout(r)
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
func (h *Handler) serveClaimed(c *gin.Context, r *claims.Request) {
	claim, kept, err := h.claims.Begin(c.Request.Context(), r)
	switch {
	case err != nil:
		event.ClaimRefused.Log(h.log).Str("request", r.RequestID).Str("owner", r.Owner).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		fault.WriteHTTP(c.Writer, r.RequestID, err)
	case kept != nil:
		writeStoredResponse(c.Writer, r.RequestID, kept)
	default:
		w := &responseRecorder{ResponseWriter: c.Writer}
		whole := false
		defer func() { h.recordOutcome(claim, w, whole) }()
		h.node.ServeHTTP(w, c.Request)
		whole = true                                     // no panic has cut the answer off
		_ = http.NewResponseController(c.Writer).Flush() // the caller need not wait for the record
	}
}

// replay answers with a kept answer.
func writeStoredResponse(w http.ResponseWriter, id string, a *claims.Response) {
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
func (h *Handler) recordOutcome(claim *claims.Claim, w *responseRecorder, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	record := func() error {
		run := fault.Run(w.Header().Get(fault.HeaderRun))
		switch {
		case run == fault.RunNo:
			return h.claims.Release(ctx, claim)
		case run == fault.RunYes && whole:
			return h.claims.Complete(ctx, claim, w.response())
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
			case <-time.After(recordRetryInterval):
			}
		}
	}()
}

// recorder keeps what goes to the caller.
type responseRecorder struct {
	http.ResponseWriter
	status int
	body   []byte
	truncated    bool
}

// Unwrap lets http.ResponseController find the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	kept := p[:min(len(p), claims.MaxBodyBytes-len(r.body))]
	r.body = append(r.body, kept...)
	r.truncated = r.truncated || len(kept) < len(p)
	return r.ResponseWriter.Write(p)
}

func (r *responseRecorder) response() *claims.Response {
	return &claims.Response{Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body, Truncated: r.truncated}
}
