package callers

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"almondturn/pkg/claims"
	"almondturn/pkg/entry"
	"almondturn/pkg/event"
	"almondturn/pkg/fault"
	"almondturn/pkg/route"
	"almondturn/pkg/wait"
)

// Headers of the stored response to an earlier request with the same idempotency key.
const (
	headerReplayed  = "Idempotency-Replayed"
	headerTruncated = "Idempotency-Body-Truncated"
)

const (
	// maxKeyedBodyBytes is the maximum length of the body of a request with an
	// idempotency key, because it is held in memory to compute its digest.
	maxKeyedBodyBytes = 4 << 20
	// recordTimeout limits the time for recording an outcome, including retries;
	// recordRetryInterval is the time between two attempts.
	recordTimeout       = time.Minute
	recordRetryInterval = 200 * time.Millisecond
)

// Node is the part of an entry node that the callers' listener needs. As an
// http.Handler it serves completions and calls of plain services.
type Node interface {
	http.Handler
	// Table returns the configuration in force, nil before the first.
	Table() *route.Table
	// ServeReadiness responds to the health check of a load balancer.
	ServeReadiness(w http.ResponseWriter, r *http.Request)
}

// Handler serves the list of models, and passes calls of plain services to the node. If
// a call needs a claim, it claims the key first.
type Handler struct {
	protocol *Protocol
	node     Node
	claims   *claims.Registry
	log      *zerolog.Logger
}

// Handler returns the HTTP handler of the callers' listener, which routes requests by
// path. It passes completions and health checks of a load balancer (/readyz) to n,
// calls and the list of models to a Handler, and responds to /healthz itself.
func (p *Protocol) Handler(n Node, c *claims.Registry, log *zerolog.Logger) http.Handler {
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

// serveModels responds with the models that the caller's service may use.
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

// serveCall passes a call of a plain service to the node. If the call has an
// idempotency key and is not idempotent, its key is claimed first.
func (h *Handler) serveCall(c *gin.Context) {
	key, t := c.GetHeader(headerIdempotencyKey), h.node.Table()
	if key == "" || t == nil || !h.needsClaim(c.Request, t) {
		h.node.ServeHTTP(c.Writer, c.Request)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxKeyedBodyBytes))
	if errors.Is(err, entry.ErrStopping) {
		c.Header("Connection", "close")
		fault.WriteHTTP(c.Writer, "", fault.New(fault.ShuttingDown, "the node is stopping and has not received the whole body"))
		return
	}
	if err != nil {
		fault.WriteHTTP(c.Writer, "", fault.New(fault.BodyTooLarge, "the body exceeds %d bytes, or broke off", maxKeyedBodyBytes))
		return
	}
	c.Request.Body = io.NopCloser(bytes.NewReader(body))
	c.Request.ContentLength = int64(len(body))
	h.serveClaimed(c, h.newClaimRequest(c.Request, key, body, t))
}

// needsClaim reports whether the request is valid, that of a known caller, and not
// idempotent. All others need no claim: the node rejects or serves them.
func (h *Handler) needsClaim(r *http.Request, t *route.Table) bool {
	request, err := h.protocol.ParseRequest(r, t)
	return err == nil && !request.Route.Idempotent()
}

// newClaimRequest returns the claim's request. The key belongs to the team and service
// of the caller; the digest covers method, path, query and body. It must be called after
// needsClaim returned true.
func (h *Handler) newClaimRequest(r *http.Request, key string, body []byte, t *route.Table) *claims.Request {
	_, identity, _ := identifyCaller(r, t) // needsClaim has checked the caller
	timeout, _ := h.protocol.requestTimeout(r)
	digest := sha256.New()
	for _, part := range []string{r.Method, r.URL.Path, r.URL.RawQuery} {
		digest.Write([]byte(part + "\x00"))
	}
	digest.Write(body)
	return &claims.Request{
		KeyScope: string(identity.Team) + "/" + string(identity.Service), Key: key, Digest: [sha256.Size]byte(digest.Sum(nil)),
		RequestID: uuid.NewString(), Deadline: time.Now().Add(timeout),
	}
}

// serveClaimed runs the request and records its outcome if its key is not claimed
// yet. Otherwise it responds with the stored response or with an error.
func (h *Handler) serveClaimed(c *gin.Context, r *claims.Request) {
	claim, stored, err := h.claims.Begin(c.Request.Context(), r)
	switch {
	case err != nil:
		event.ClaimRefused.Log(h.log).Str("request", r.RequestID).Str("owner", r.KeyScope).Str("kind", fault.KindOf(err).String()).Err(err).Send()
		fault.WriteHTTP(c.Writer, r.RequestID, err)
	case stored != nil:
		writeStoredResponse(c.Writer, r.RequestID, stored)
	default:
		w := &responseRecorder{ResponseWriter: c.Writer}
		complete := false
		defer func() { h.recordOutcome(claim, w, complete) }()
		h.node.ServeHTTP(w, c.Request)
		complete = true                                  // not reached after a truncated response: ServeHTTP panics then
		_ = http.NewResponseController(c.Writer).Flush() // the caller does not wait until the outcome is recorded
	}
}

// writeStoredResponse responds with the stored response of an earlier request.
func writeStoredResponse(w http.ResponseWriter, id string, stored *claims.Response) {
	h := w.Header()
	h.Set("Content-Type", stored.ContentType)
	h.Set(fault.HeaderRequestID, id)
	h.Set(fault.HeaderRun, string(fault.RunYes))
	h.Set(headerReplayed, "true")
	if stored.Truncated {
		h.Set(headerTruncated, "true")
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// recordOutcome records how the request ended; complete is false if the response
// was truncated. If the first attempt fails, it returns and retries in the
// background for up to recordTimeout, unless another request has the key. It reads w only
// before it returns: gin reuses the writer for other requests.
func (h *Handler) recordOutcome(claim *claims.Claim, w *responseRecorder, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	run, response := fault.RunStatus(w.Header().Get(fault.HeaderRun)), w.response()
	record := func() error {
		switch {
		case run == fault.RunNo:
			return h.claims.Release(ctx, claim)
		case run == fault.RunYes && complete:
			return h.claims.Complete(ctx, claim, response)
		default:
			return h.claims.MarkOutcomeUnknown(ctx, claim)
		}
	}
	err := record()
	if err == nil {
		cancel()
		return
	}
	go func() {
		defer cancel()
		for ; err != nil; err = record() {
			if errors.Is(err, claims.ErrLost) || !wait.Sleep(ctx, recordRetryInterval) {
				event.ClaimOutcomeLost.Log(h.log).Str("request", claim.RequestID()).Err(err).Send()
				return
			}
		}
	}()
}

// responseRecorder passes a response to the caller and records it, the body up to
// claims.MaxBodyBytes.
type responseRecorder struct {
	http.ResponseWriter
	status    int
	body      []byte
	truncated bool // true if body is only the beginning
}

// Unwrap lets http.ResponseController find the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter and records the status.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter and records the beginning of the body.
func (r *responseRecorder) Write(p []byte) (int, error) {
	recorded := p[:min(len(p), claims.MaxBodyBytes-len(r.body))]
	r.body = append(r.body, recorded...)
	r.truncated = r.truncated || len(recorded) < len(p)
	return r.ResponseWriter.Write(p)
}

// response returns the recorded response.
func (r *responseRecorder) response() *claims.Response {
	return &claims.Response{Status: r.status, ContentType: r.Header().Get("Content-Type"), Body: r.body, Truncated: r.truncated}
}
