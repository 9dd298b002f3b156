package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"almondturn/fleet"
	"almondturn/pkg/entry"
	"almondturn/pkg/fault"
	"almondturn/pkg/teams"
)

const (
	// defaultMaxTokens is the length of an answer that names no bound.
	defaultMaxTokens = 512
	// bytesPerToken is the mean length of a token in a request.
	bytesPerToken = 4
)

// completionFields are the fields of a completion request that are read here.
type completionBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// completion prepares a request for a model, which its body names. Completions
// may be repeated.
func (p *Protocol) prepareCompletion(out *entry.Request, r *http.Request, snap *teams.Snapshot, svc *teams.ServiceSpec, class teams.Class) {
	out.URI = r.URL.Path
	out.Route = svc.ModelRoute(class)
	out.Priority = out.Route.Priority
	out.ReadBody = func(out *entry.Request, body []byte) ([]byte, *fault.Error) {
		if err := readCompletionBody(out, body, snap, svc.Name); err != nil {
			return nil, err
		}
		out.Header = p.targets.Header(&out.RequestInfo, "application/json")
		return body, nil
	}
}

// readFields reads what the body says of a completion.
func readCompletionBody(out *entry.Request, body []byte, snap *teams.Snapshot, service fleet.Service) *fault.Error {
	var f completionBody
	if err := json.Unmarshal(body, &f); err != nil {
		return fault.New(fault.BadRequest, "the body is not a JSON object: %v", err)
	}
	if f.Model == "" {
		return fault.New(fault.BadRequest, "the field %q is missing", "model")
	}
	rep, err := snap.Resolve(service, f.Model)
	if err != nil {
		return fault.As(err)
	}
	if rep.MaxReplicas == 0 {
		return fault.New(fault.NoCapacity, "the limit of replicas of %q is 0", f.Model)
	}
	out.Model, out.Adapter = teams.TargetModel(rep.Key), rep.Key.Adapter
	out.InputTokens = len(body) / bytesPerToken
	out.MaxOutputTokens = f.MaxTokens
	if out.MaxOutputTokens <= 0 {
		out.MaxOutputTokens = defaultMaxTokens
	}
	out.OutputTokens = out.MaxOutputTokens
	out.NonStreaming = !f.Stream
	return nil
}

// servicePath returns the service that a path names, and the path and the URI
// for the target.
func servicePath(r *http.Request) (service fleet.Service, callPath, uri string, err *fault.Error) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	callPath = "/" + rest
	if !isCanonicalPath(callPath) {
		return "", "", "", fault.New(fault.BadRequest, "path %q has empty, . or .. parts", callPath)
	}
	return fleet.Service(name), callPath, (&url.URL{Path: callPath, RawQuery: r.URL.RawQuery}).RequestURI(), nil
}

// writeErrorEvent ends a started stream with an explicit error event.
func writeErrorEvent(w http.ResponseWriter, id string, err *fault.Error) bool {
	body, jsonErr := json.Marshal(fault.NewBody(id, err))
	if jsonErr != nil {
		return false
	}
	_, writeErr := fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	return writeErr == nil
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

type modelListBody struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func newModelList(svc *teams.ServiceSpec) modelListBody {
	page := modelListBody{Object: "list", Data: []modelEntry{}}
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

func (p *modelListBody) add(k fleet.ReplicaKey) {
	id := strings.TrimPrefix(k.String(), string(k.Service)+"/")
	p.Data = append(p.Data, modelEntry{ID: id, Object: "model", Owner: string(k.Service)})
}
