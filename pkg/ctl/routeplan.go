package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"almondturn/pkg/routeplan"
)

// routePlan prints where a node would send a request now.
func (r *runner) routePlan(ctx context.Context, cmd *routePlanCmd) error {
	q := routeplan.Query{
		Host: cmd.Host, Path: cmd.Path, Method: cmd.Method, Route: cmd.Route, Request: cmd.Request,
		InputTokens: cmd.InputTokens, OutputTokens: cmd.OutputTokens, Customer: cmd.Customer,
	}
	q.Model, q.Adapter, _ = strings.Cut(cmd.Model, "/")
	values := q.Values()
	if _, err := routeplan.ParseQuery(values); err != nil {
		return &usageError{err}
	}
	r.client.token = "" // the address of the metrics takes none, and may have no TLS
	resp, err := r.client.sendToAny(ctx, request{method: http.MethodGet, path: routeplan.Path + "?" + values.Encode()})
	if err != nil {
		return err
	}
	if r.args.Output == outputJSON {
		return r.print(resp.body)
	}
	var plan routeplan.Plan
	if err := json.Unmarshal(resp.body, &plan); err != nil {
		return fmt.Errorf("response of the node: %w", err)
	}
	return plan.WriteText(r.env.Stdout)
}
