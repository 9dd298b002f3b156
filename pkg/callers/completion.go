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
	// defaultMaxTokens is the maximum length of a completion, in tokens, if the
	// request sets none.
	defaultMaxTokens = 512
	// bytesPerToken is the mean length of a token in a request body, from which the
	// number of input tokens is estimated.
	bytesPerToken = 4
)

// completionFields holds the fields of a completion request that the node reads; the
// target gets the body unchanged. The type must not be renamed: encoding/json writes
// its name into its errors, and their text is part of the response to a caller whose
// body has a field of the wrong type.
type completionFields struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// prepareCompletion fills in request for a completion, except for what depends on the
// body: ReadBody does the rest once the body has been received. Completions are
// idempotent.
func (p *Protocol) prepareCompletion(request *entry.Request, r *http.Request, snap *teams.Snapshot, svc *teams.ServiceSpec, class teams.Class) {
	request.URI = r.URL.Path
	request.Route = svc.ModelRoute(class)
	request.Priority = request.Route.Priority
	request.ReadBody = func(request *entry.Request, body []byte) ([]byte, *fault.Error) {
		if err := readCompletionBody(request, body, snap, svc.Name); err != nil {
			return nil, err
		}
		request.Header = p.targetHeaders.Header(&request.RequestInfo, "application/json")
		return body, nil
	}
}

// readCompletionBody fills in the model, the adapter, the token counts and the kind
// of response that a completion's body asks for. Errors are of kind BadRequest,
// UnknownModel, UnknownService or NoCapacity.
func readCompletionBody(request *entry.Request, body []byte, snap *teams.Snapshot, service fleet.Service) *fault.Error {
	var fields completionFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return fault.New(fault.BadRequest, "the body is not a JSON object: %v", err)
	}
	if fields.Model == "" {
		return fault.New(fault.BadRequest, "the field %q is missing", "model")
	}
	replica, err := snap.Resolve(service, fields.Model)
	if err != nil {
		return fault.FromError(err)
	}
	if replica.MaxReplicas == 0 {
		return fault.New(fault.NoCapacity, "the limit of replicas of %q is 0", fields.Model)
	}
	request.Model, request.Adapter = teams.TargetModel(replica.Key), replica.Key.Adapter
	request.InputTokens = len(body) / bytesPerToken
	request.MaxOutputTokens = fields.MaxTokens
	if request.MaxOutputTokens <= 0 {
		request.MaxOutputTokens = defaultMaxTokens
	}
	request.OutputTokens = request.MaxOutputTokens
	request.NonStreaming = !fields.Stream
	return nil
}

// servicePath splits the path of a call of a plain service into the service and the
// target's path, and returns the URI for the target, too. The URI is built from the
// path that was checked, with the query of the request. A path that is not canonical
// is a BadRequest.
func servicePath(r *http.Request) (service fleet.Service, callPath, uri string, err *fault.Error) {
	name, remainder, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	callPath = "/" + remainder
	if !isCanonicalPath(callPath) {
		return "", "", "", fault.New(fault.BadRequest, "path %q has empty, . or .. parts", callPath)
	}
	return fleet.Service(name), callPath, (&url.URL{Path: callPath, RawQuery: r.URL.RawQuery}).RequestURI(), nil
}

// writeErrorEvent ends a started stream with an event of type error, and reports
// whether it was written.
func writeErrorEvent(w http.ResponseWriter, id string, err *fault.Error) bool {
	body, jsonErr := json.Marshal(fault.NewBody(id, err))
	if jsonErr != nil {
		return false
	}
	_, writeErr := fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
	return writeErr == nil
}

// modelEntry is one model in the response to GET /v1/models, in the format of the
// OpenAI API.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// modelListBody is the response body of GET /v1/models.
type modelListBody struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// newModelList lists the models of a service and their adapters, in the order of
// declaration.
func newModelList(svc *teams.ServiceSpec) modelListBody {
	list := modelListBody{Object: "list", Data: []modelEntry{}}
	for _, m := range svc.Models {
		key := fleet.ReplicaKey{Service: svc.Name, Model: m.Name, Version: m.Version}
		list.add(key)
		for _, a := range m.Adapters {
			key.Adapter = a.Name
			list.add(key)
		}
	}
	return list
}

// add appends the model, or model with adapter, under the name to use in the field
// model of a completion.
func (l *modelListBody) add(k fleet.ReplicaKey) {
	id := strings.TrimPrefix(k.String(), string(k.Service)+"/")
	l.Data = append(l.Data, modelEntry{ID: id, Object: "model", Owner: string(k.Service)})
}
