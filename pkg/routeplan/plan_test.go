package routeplan

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against parameters of the command that the node reads differently.
func TestQueryIsReadAsItWasWritten(t *testing.T) {
	for _, q := range []Query{
		{Host: "app.example", Path: "/a?b=c&d", Method: "POST"},
		{Route: "order", Request: "r 1", Model: "m1", Adapter: "a1", InputTokens: 826, OutputTokens: 36, Customer: "north & co"},
		{Route: "0", Request: "0", Model: "0", Adapter: "0", Customer: "0"},
	} {
		got, err := ParseQuery(q.Values())
		require.NoError(t, err)
		assert.Equal(t, q, got)
	}
}

// Guards against a query that is answered for another request than the operator meant, and
// against an API key that is taken for a parameter and shown.
func TestInvalidQueryIsRejected(t *testing.T) {
	for _, text := range []string{
		"", "host=a", "path=/x", "host=a&path=/x&input_tokens=-1", "host=a&path=/x&output_tokens=1e3",
		"host=a&path=/x&input_tokens=99999999999999999999", "host=a&path=/x&authorization=Bearer+secret-key",
	} {
		v, err := url.ParseQuery(text)
		require.NoError(t, err)
		_, err = ParseQuery(v)
		require.Error(t, err, text)
		assert.NotContains(t, err.Error(), "secret-key")
	}
}

// Guards against error responses that the command line takes for those of another listener.
func TestHandlerRespondsWithThePlanOrAnErrorBody(t *testing.T) {
	h := Handler(func(q Query) *Plan { return &Plan{Node: "n1", Query: q} })
	for query, want := range map[string]struct {
		status int
		text   string
	}{
		"?host=a&path=/x": {http.StatusOK, `"node":"n1"`},
		"?host=a":         {http.StatusBadRequest, `"code":"bad_request"`},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+query, nil))
		assert.Equal(t, want.status, w.Code)
		assert.Contains(t, w.Body.String(), want.text)
	}
}

// Guards against a result line that names another target or zone than the plan.
func TestTextNamesWhereTheRequestGoes(t *testing.T) {
	pace := 0.7
	targets := []Target{{Target: "t1", Zone: "a", Pace: &pace, ReportAgeMillis: UnknownAge}, {Target: "t2", Zone: "b"}}
	for _, c := range []struct {
		name string
		plan Plan
		want string
	}{
		{"plain", Plan{Targets: targets}, "result: target t1\n"},
		{"limited", Plan{Targets: []Target{{Target: "t1", Limit: &Limit{PerSecond: 2}}}}, "result: target t1, if its limit permits"},
		{"engine", Plan{Engine: true, Zones: []Zone{{Zone: "a"}, {Zone: "b", Reachable: true}}, Targets: targets}, "result: the owner of zone b is asked first"},
		{"no owner", Plan{Engine: true, Zones: []Zone{{Zone: "a", DownMillis: 12_000}}, Targets: targets}, "result: no owner is reachable: after a wait for one, target t1\n"},
		{"nothing", Plan{Engine: true}, "result: waits for an owner or a target\n"},
		{"rejected", Plan{Refusal: "the quota is used up", Targets: targets}, "result: rejected: the quota is used up\n"},
	} {
		var text strings.Builder
		require.NoError(t, c.plan.WriteText(&text))
		assert.Contains(t, text.String(), c.want, c.name)
	}
}

// Guards against names in a query or a report that write to the operator's terminal.
func TestTextHasNoControlCharactersOfNames(t *testing.T) {
	bad := "x\x1b[2J\n\u009b"
	p := Plan{
		Node: bad, Route: &Route{Name: bad}, Customer: &Customer{Name: bad}, Service: bad,
		Zones: []Zone{{Zone: bad, Owner: bad}}, Targets: []Target{{Target: bad, Zone: bad}}, LeftOut: []LeftOut{{Target: bad, Zone: bad}},
	}
	var text strings.Builder
	require.NoError(t, p.WriteText(&text))
	assert.NotContains(t, text.String(), "\x1b")
	assert.NotContains(t, text.String(), "\u009b")
	var decoded Plan
	body, err := json.Marshal(p)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(body, &decoded))
	assert.Equal(t, p, decoded, "the command line prints what the node has sent")
}
