package routeplan

import (
	"encoding/json"
	"net/http"

	"almondturn/pkg/fault"
)

// Handler returns a handler of GET requests for Path. It responds with the plan as JSON, or with
// an error body if the query is invalid.
func Handler(plan func(Query) *Plan) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		q, err := ParseQuery(r.URL.Query())
		if err != nil {
			invalid := fault.New(fault.BadRequest, "%v", err)
			w.WriteHeader(invalid.Kind.Response().Status)
			writeJSON(w, fault.NewBody("", invalid))
			return
		}
		writeJSON(w, plan(q))
	})
}

// writeJSON writes v. An error means that the client is gone.
func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }
