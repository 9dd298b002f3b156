// Package callers implements almondturn's own HTTP interface for callers:
// completions of models and calls of plain services, authenticated by API key.
package callers

import (
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"almondturn/pkg/entry"
	"almondturn/pkg/fault"
	"almondturn/pkg/route"
	"almondturn/pkg/teams"
)

// Options are the settings of the callers' listener.
type Options struct {
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout time.Duration `yaml:"default_timeout" validate:"min=1s"`
	// MaxTimeout is the longest timeout of a request; a longer one is reduced to it.
	MaxTimeout time.Duration `yaml:"max_timeout" validate:"min=1s,max=1h"`
}

// DefaultOptions returns the options of a node whose settings file sets none.
func DefaultOptions() Options {
	return Options{DefaultTimeout: 2 * time.Minute, MaxTimeout: time.Hour}
}

// Headers that callers may send.
const (
	headerTimeout        = "Almondturn-Timeout-Ms" // timeout in milliseconds
	headerClass          = "Almondturn-Class"      // priority class, a key of classNames
	headerIdempotencyKey = "Idempotency-Key"
)

// Paths of the callers' listener.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	servicesPrefix = "/services/"
)

// TargetHeaders holds the functions that create and recognize the headers of the
// protocol between nodes and targets.
type TargetHeaders struct {
	// Header returns the headers that describe a request to a target.
	Header func(info *entry.RequestInfo, contentType string) http.Header
	// IsTargetHeader reports whether a response header of a target is internal and
	// must not be sent to callers.
	IsTargetHeader func(name string) bool
}

// Protocol implements entry.ClientProtocol for callers. Its methods may be called
// concurrently.
type Protocol struct {
	opts          Options
	targetHeaders TargetHeaders
}

// New returns the protocol of callers.
func New(o Options, t TargetHeaders) *Protocol { return &Protocol{opts: o, targetHeaders: t} }

// ParseRequest implements entry.ClientProtocol. It authenticates the caller and returns
// the request with its timeout, priority and route. A completion's model is in its
// body, which the returned request's ReadBody reads.
func (p *Protocol) ParseRequest(r *http.Request, t *route.Table) (*entry.Request, *fault.Error) {
	snap, identity, ferr := identifyCaller(r, t)
	if ferr != nil {
		return nil, ferr
	}
	svc, _, ok := snap.Service(identity.Service)
	if !ok {
		return nil, fault.New(fault.UnknownService, "service %q does not exist", identity.Service)
	}
	request := &entry.Request{Method: r.Method, Host: r.Host}
	request.ID = uuid.NewString()
	class, ferr := requestClass(r, svc.Class)
	if ferr != nil {
		return nil, ferr
	}
	if request.Timeout, ferr = p.requestTimeout(r); ferr != nil {
		return nil, ferr
	}
	switch urlPath := r.URL.Path; {
	case (urlPath == chatPath || urlPath == completionPath) && r.Method == http.MethodPost:
		p.prepareCompletion(request, r, snap, svc, class)
		return request, nil
	case strings.HasPrefix(urlPath, servicesPrefix):
		return request, p.prepareCall(request, r, snap, identity, class)
	default:
		return nil, fault.New(fault.UnknownPath, "%s %q does not exist", r.Method, urlPath)
	}
}

// identifyCaller returns the snapshot in t and the caller to whom the API key of
// the request belongs. The error is of kind NotReady if t holds no snapshot, and
// Unauthenticated if the key is missing or unknown.
func identifyCaller(r *http.Request, t *route.Table) (*teams.Snapshot, teams.Identity, *fault.Error) {
	snap := teams.SnapshotOf(t)
	if snap == nil {
		return nil, teams.Identity{}, fault.New(fault.NotReady, "this node has not loaded the settings of the teams yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, teams.Identity{}, fault.New(fault.Unauthenticated, "the header Authorization: Bearer <API key> is missing")
	}
	id, ok := snap.Identify(key)
	if !ok {
		return nil, teams.Identity{}, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	return snap, id, nil
}

// requestTimeout returns the timeout that the caller asks for, at most MaxTimeout,
// or DefaultTimeout. A timeout of 0 or less is an error of kind DeadlineExceeded.
func (p *Protocol) requestTimeout(r *http.Request) (time.Duration, *fault.Error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return p.opts.DefaultTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "header %s: %q is not a number of milliseconds", headerTimeout, text)
	}
	if millis <= 0 {
		return 0, fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	if millis < p.opts.MaxTimeout.Milliseconds() {
		return time.Duration(millis) * time.Millisecond, nil
	}
	return p.opts.MaxTimeout, nil
}

// classNames maps the values of headerClass to priority classes.
var classNames = map[string]teams.Class{
	"interactive": teams.ClassInteractive,
	"standard":    teams.ClassStandard,
	"batch":       teams.ClassBatch,
}

// requestClass returns the priority class of a request: that of the service, or a
// less urgent one that the caller asks for. An unknown class is a BadRequest.
func requestClass(r *http.Request, serviceClass teams.Class) (teams.Class, *fault.Error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		return serviceClass, nil
	}
	class, ok := classNames[name]
	if !ok {
		return serviceClass, fault.New(fault.BadRequest, "header %s: %q is none of interactive, standard, batch", headerClass, name)
	}
	return max(serviceClass, class), nil
}

// prepareCall fills in request for a call of a plain service, which the caller must be
// allowed to use.
func (p *Protocol) prepareCall(request *entry.Request, r *http.Request, snap *teams.Snapshot, identity teams.Identity, class teams.Class) *fault.Error {
	service, callPath, uri, ferr := servicePath(r)
	if ferr != nil {
		return ferr
	}
	svc, _, ok := snap.Service(service)
	if !ok || svc.Kind != "plain" { // the value of fleet.TargetPlain
		return fault.New(fault.UnknownService, "plain service %q does not exist", service)
	}
	if service != identity.Service {
		return fault.New(fault.NotAllowed, "this API key may call service %q, not %q", identity.Service, service)
	}
	request.URI = uri
	request.Route = svc.CallRoute(class, svc.Idempotent(r.Method, callPath))
	request.Priority = request.Route.Priority
	request.Header = p.targetHeaders.Header(&request.RequestInfo, r.Header.Get("Content-Type"))
	return nil
}

// isCanonicalPath reports whether p, which begins with a slash, has no empty, "." or
// ".." parts. It allows one trailing slash, and so also the path "//". A target may
// resolve such parts, and would then see another path than the one to which the
// rules on idempotent calls were applied.
func isCanonicalPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// omittedHeaders are the response headers of a target that are not copied to the
// caller: those that apply to one connection only, and those that the node sets itself.
var omittedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true, "Trailer": true, "Date": true, "Content-Length": true,
}

// CopyResponseHeader implements entry.ClientProtocol. It copies the headers that
// are meant for callers, and sets X-Request-Id to id and Almondturn-Run to yes.
func (p *Protocol) CopyResponseHeader(id string, in, out http.Header) {
	for name, values := range in {
		if !omittedHeaders[name] && !p.targetHeaders.IsTargetHeader(name) {
			out[name] = values
		}
	}
	out.Set(fault.HeaderRequestID, id)
	out.Set(fault.HeaderRun, string(fault.RunYes))
}

// WriteError implements entry.ClientProtocol. It returns the HTTP status that it
// has written.
func (p *Protocol) WriteError(w http.ResponseWriter, id string, e *entry.ErrorResponse) int {
	fault.WriteHTTPWithRetryAfter(w, id, e.Error, e.RetryAfter)
	return e.Kind.Response().Status
}

// DeniesRun implements entry.ClientProtocol. It returns false, because callers are told
// by the header Almondturn-Run, and not by the status.
func (p *Protocol) DeniesRun(int) bool { return false }

// EndTruncatedResponse implements entry.ClientProtocol. It ends a stream with an event
// that describes the error. For other responses it returns false, so that the
// connection is closed: only this shows that the body is incomplete.
func (p *Protocol) EndTruncatedResponse(w http.ResponseWriter, r *entry.Request, err *fault.Error) bool {
	if r.NonStreaming || r.Route.Kind != route.Stream {
		return false
	}
	return writeErrorEvent(w, r.ID, err)
}
