// Package callers is almondturn's own interface for callers: completions of
// models and calls of plain services over HTTP, by API key.
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
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout time.Duration `yaml:"default_timeout" validate:"min=1s"`
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout time.Duration `yaml:"max_timeout" validate:"min=1s,max=1h"`
}

// DefaultOptions returns the settings of a node that names none.
func DefaultOptions() Options {
	return Options{DefaultTimeout: 2 * time.Minute, MaxTimeout: time.Hour}
}

// Headers that callers may send.
const (
	headerTimeout        = "Almondturn-Timeout-Ms"
	headerClass          = "Almondturn-Class"
	headerIdempotencyKey = "Idempotency-Key"
)

// Paths of the listener.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	servicesPrefix = "/services/"
)

// Targets tells how requests are written for targets.
type Targets struct {
	// Header returns the header by which targets know a request.
	Header func(info *entry.RequestInfo, contentType string) http.Header
	// IsTargetHeader tells whether a header of a target's answer is not for callers.
	IsTargetHeader func(name string) bool
}

// Protocol implements entry.ClientProtocol.
type Protocol struct {
	opts    Options
	targets Targets
}

// New returns the protocol of callers.
func New(o Options, t Targets) *Protocol { return &Protocol{opts: o, targets: t} }

// Accept implements entry.ClientProtocol.
func (p *Protocol) Accept(r *http.Request, t *route.Table) (*entry.Request, *fault.Error) {
	snap, identity, ferr := identifyCaller(r, t)
	if ferr != nil {
		return nil, ferr
	}
	svc, _, ok := snap.Service(identity.Service)
	if !ok {
		return nil, fault.New(fault.UnknownService, "service %q does not exist", identity.Service)
	}
	out := &entry.Request{Method: r.Method, Host: r.Host}
	out.ID = uuid.NewString()
	class, ferr := requestClass(r, svc.Class)
	if ferr != nil {
		return nil, ferr
	}
	if out.Timeout, ferr = p.requestTimeout(r); ferr != nil {
		return nil, ferr
	}
	switch at := r.URL.Path; {
	case (at == chatPath || at == completionPath) && r.Method == http.MethodPost:
		p.prepareCompletion(out, r, snap, svc, class)
		return out, nil
	case strings.HasPrefix(at, servicesPrefix):
		return out, p.prepareCall(out, r, snap, identity, class)
	default:
		return nil, fault.New(fault.UnknownPath, "%s %q does not exist", r.Method, at)
	}
}

// identify tells whom the API key of a request stands for.
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

// deadline reads the caller's timeout in milliseconds.
func (p *Protocol) requestTimeout(r *http.Request) (time.Duration, *fault.Error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return p.opts.DefaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "header %s: %q is not a number of milliseconds", headerTimeout, text)
	}
	if ms <= 0 {
		return 0, fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	if ms < p.opts.MaxTimeout.Milliseconds() {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return p.opts.MaxTimeout, nil
}

var classNames = map[string]teams.Class{
	"interactive": teams.ClassInteractive,
	"standard":    teams.ClassStandard,
	"batch":       teams.ClassBatch,
}

// classOf returns the priority class: the service's, or a lower one that the
// caller asks for.
func requestClass(r *http.Request, own teams.Class) (teams.Class, *fault.Error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		return own, nil
	}
	class, ok := classNames[name]
	if !ok {
		return own, fault.New(fault.BadRequest, "header %s: %q is none of interactive, standard, batch", headerClass, name)
	}
	return max(own, class), nil
}

// call completes a call of a plain service.
func (p *Protocol) prepareCall(out *entry.Request, r *http.Request, snap *teams.Snapshot, identity teams.Identity, class teams.Class) *fault.Error {
	service, callPath, uri, ferr := servicePath(r)
	if ferr != nil {
		return ferr
	}
	svc, _, ok := snap.Service(service)
	if !ok || svc.Kind != "plain" {
		return fault.New(fault.UnknownService, "plain service %q does not exist", service)
	}
	if service != identity.Service {
		return fault.New(fault.NotAllowed, "this API key may call service %q, not %q", identity.Service, service)
	}
	out.URI = uri
	out.Route = svc.CallRoute(class, svc.Idempotent(r.Method, callPath))
	out.Priority = out.Route.Priority
	out.Header = p.targets.Header(&out.RequestInfo, r.Header.Get("Content-Type"))
	return nil
}

// isPlainPath tells whether the target will understand the path as the
// rules on repeatable calls do: without parts that a target may resolve.
func isCanonicalPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// hopHeaders are the headers of an answer that concern one connection only,
// and those that are set anew.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Upgrade": true, "Trailer": true, "Date": true, "Content-Length": true,
}

// CopyResponseHeader implements entry.ClientProtocol.
func (p *Protocol) CopyResponseHeader(id string, in, out http.Header) {
	for name, values := range in {
		if !hopByHopHeaders[name] && !p.targets.IsTargetHeader(name) {
			out[name] = values
		}
	}
	out.Set(fault.HeaderRequestID, id)
	out.Set(fault.HeaderRun, string(fault.RunYes))
}

// WriteError implements entry.ClientProtocol.
func (p *Protocol) WriteError(w http.ResponseWriter, id string, e *entry.Refusal) int {
	fault.WriteHTTPAfter(w, id, e.Error, e.RetryAfter)
	return e.Kind.Response().Status
}

// EndBrokenResponse implements entry.ClientProtocol: a stream ends with an event that
// tells of the error.
func (p *Protocol) EndBrokenResponse(w http.ResponseWriter, r *entry.Request, err *fault.Error) bool {
	if r.NonStreaming || r.Route.Kind != route.Stream {
		return false
	}
	return writeErrorEvent(w, r.ID, err)
}
