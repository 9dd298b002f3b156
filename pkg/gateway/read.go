package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/fault"
)

// completionFields are the fields of a completion request that are read here.
type completionFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// completion fills in a request to a model. Completions may be repeated.
func completion(r *dispatch.Request, snap *catalog.Snapshot, path string) error {
	var f completionFields
	if err := json.Unmarshal(r.Body, &f); err != nil {
		return fault.New(fault.BadRequest, "the body is not a JSON object: %v", err)
	}
	if f.Model == "" {
		return fault.New(fault.BadRequest, "the field %q is missing", "model")
	}
	rep, err := snap.Resolve(r.Service, f.Model)
	if err != nil {
		return err
	}
	r.Replica = rep
	r.Path = path
	r.Stream = f.Stream
	r.Idempotent = true
	return nil
}

// plain fills in a request to a plain service.
func plain(r *dispatch.Request, snap *catalog.Snapshot, service fleet.Service, callPath, query string) error {
	svc, _, ok := snap.Service(service)
	if !ok || svc.Kind != fleet.TargetPlain {
		return fault.New(fault.UnknownService, "plain service %q does not exist", service)
	}
	if service != r.Identity.Service {
		return fault.New(fault.NotAllowed, "this API key may call service %q, not %q", r.Identity.Service, service)
	}
	if !isPlainPath(callPath) {
		return fault.New(fault.BadRequest, "path %q has empty, . or .. parts", callPath)
	}
	r.Path = (&url.URL{Path: callPath, RawQuery: query}).RequestURI()
	r.Idempotent = svc.Idempotent(r.Method, callPath)
	return nil
}

// isPlainPath tells whether the target will understand the path as the
// rules on repeatable calls do: without parts that a target may resolve.
func isPlainPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// identify tells whom the API key stands for. A key that is not known is
// refused as such only by a node that has the settings of all teams.
func (g *Gateway) identify(req *http.Request, snap *catalog.Snapshot) (catalog.Identity, error) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return catalog.Identity{}, fault.New(fault.Unauthenticated, "the header Authorization: Bearer <API key> is missing")
	}
	id, ok := snap.Identify(key)
	if !ok && !g.loaded() {
		return catalog.Identity{}, fault.New(fault.NotReady, "this node has not loaded the settings of the teams yet")
	}
	if !ok {
		return catalog.Identity{}, fault.New(fault.Unauthenticated, "the API key is not known")
	}
	return id, nil
}

// deadline reads the caller's timeout in milliseconds.
func (g *Gateway) deadline(req *http.Request) (time.Time, error) {
	text := req.Header.Get(headerTimeout)
	if text == "" {
		return time.Now().Add(g.opts.DefaultTimeout), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, fault.New(fault.BadRequest, "header %s: %q is not a number of milliseconds", headerTimeout, text)
	}
	if ms <= 0 {
		return time.Time{}, fault.New(fault.DeadlineExceeded, "the deadline has passed")
	}
	timeout := g.opts.MaxTimeout
	if ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return time.Now().Add(timeout), nil
}

// body reads the whole body up to the limit.
func (g *Gateway) body(c *gin.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, g.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.BodyTooLarge, "the body exceeds %d bytes", g.opts.MaxBodyBytes)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, "the body could not be read: %w", err)
	}
	return body, nil
}

var classNames = map[string]catalog.Class{
	"interactive": catalog.ClassInteractive,
	"standard":    catalog.ClassStandard,
	"batch":       catalog.ClassBatch,
}

// classify sets the priority class: the service's, or a lower one that the
// caller asks for.
func classify(r *dispatch.Request, snap *catalog.Snapshot, req *http.Request) error {
	if svc, _, ok := snap.Service(r.Service); ok {
		r.Class = svc.Class
	}
	name := req.Header.Get(headerClass)
	if name == "" {
		return nil
	}
	class, ok := classNames[name]
	if !ok {
		return fault.New(fault.BadRequest, "header %s: %q is none of interactive, standard, batch", headerClass, name)
	}
	r.Class = max(r.Class, class)
	return nil
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

type modelPage struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func modelList(svc *catalog.ServiceSpec) modelPage {
	page := modelPage{Object: "list", Data: []modelEntry{}}
	for _, m := range svc.Models {
		key := fleet.ReplicaKey{Service: svc.Name, Model: m.Name, Version: m.Version}
		page.add(key)
		for _, a := range m.Adapters {
			key.Adapter = a.Name
			page.add(key)
		}
	}
	return page
}

func (p *modelPage) add(k fleet.ReplicaKey) {
	id := strings.TrimPrefix(k.String(), string(k.Service)+"/")
	p.Data = append(p.Data, modelEntry{ID: id, Object: "model", Owner: string(k.Service)})
}
