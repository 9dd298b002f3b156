package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"almondturn/pkg/routeplan"
)

// Guards against an operator's token that is sent to the address of the metrics, and against a
// customer, model or adapter that the node does not get.
func TestRoutePlanSendsTheQueryWithoutTheToken(t *testing.T) {
	var got routeplan.Query
	var authorization []string
	plan := routeplan.Handler(func(q routeplan.Query) *routeplan.Plan {
		got = q
		return &routeplan.Plan{Refusal: "no route"}
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		authorization = r.Header["Authorization"]
		assert.Equal(t, routeplan.Path, r.URL.Path)
		plan.ServeHTTP(w, r)
	}))
	defer s.Close()
	var out, errOut bytes.Buffer
	env := Env{Stdout: &out, Stderr: &errOut}
	code := Run(t.Context(), []string{"route-plan", "--server", s.URL, "--token", "secret", "--host", "app", "--path", "/x", "--model", "m1/a1", "--input-tokens", "7", "--customer", "north"}, env)
	assert.Equal(t, ExitOK, code, errOut.String())
	assert.Equal(t, routeplan.Query{Host: "app", Path: "/x", Method: "POST", Model: "m1", Adapter: "a1", InputTokens: 7, Customer: "north"}, got)
	assert.Empty(t, authorization)
	assert.Contains(t, out.String(), "result: rejected: no route\n")

	assert.Equal(t, ExitUsage, Run(t.Context(), []string{"route-plan", "--server", s.URL, "--host", "app"}, env), "a path is missing")
	assert.Equal(t, ExitUnreachable, Run(t.Context(), []string{"route-plan", "--server", "http://127.0.0.1:1", "--route", "x"}, env))
}
