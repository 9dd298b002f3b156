package operators

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/entry"
	"almondturn/pkg/fault"
	"almondturn/pkg/inventory"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/pkg/teams"
)

// fakeNode has the accepted settings in force at once, unless it is frozen.
type fakeNode struct {
	store   *kvtest.Store
	decoder *teams.Decoder
	frozen  *route.Table
	zones   []entry.ZoneStatus
}

func (*fakeNode) Self() fleet.Node { return fleet.Node{ID: "n1", Zone: "z1"} }

func (n *fakeNode) Table() *route.Table {
	if n.frozen != nil {
		return n.frozen
	}
	t, _ := n.decoder.Decode(n.store.Entries())
	return t
}

func (*fakeNode) Targets() *inventory.View {
	models := []inventory.LoadedModel{{Name: "tea-small@1"}}
	return inventory.NewView([]*inventory.Target{
		{ID: "t1", Zone: "z1", Service: "listing", Models: models},
		{ID: "t2", Zone: "z2", Service: "other", Models: models},
	})
}

func (n *fakeNode) Status(context.Context) []entry.ZoneStatus {
	var version int64
	if t := n.Table(); t != nil {
		version = t.Version
	}
	own := entry.ZoneStatus{Zone: "z1", Owner: "n1", Nodes: []entry.NodeStatus{{Node: n.Self(), Version: version, Ready: true}}}
	return append([]entry.ZoneStatus{own}, n.zones...)
}

type fixture struct {
	t      *testing.T
	node   *fakeNode
	server *Server
}

func newFixture(t *testing.T) *fixture {
	opts := DefaultOptions()
	opts.RootTokenSHA256 = teams.HashKey(examples.DevRootToken)
	n := &fakeNode{store: new(kvtest.Store), decoder: teams.NewDecoder()}
	log := zerolog.Nop()
	return &fixture{t: t, node: n, server: New(opts, n, teams.NewRepository(n.store), &log)}
}

type answer struct {
	*httptest.ResponseRecorder
}

func (a answer) code() string {
	var b fault.Body
	_ = json.Unmarshal(a.Body.Bytes(), &b)
	return b.Error.Code
}

func (f *fixture) do(method, path, token, body string, header ...string) answer {
	req := httptest.NewRequestWithContext(f.t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, req)
	return answer{w}
}

func devFile(t *testing.T, name string) string {
	files, err := examples.Dev()
	require.NoError(t, err)
	for _, file := range files {
		if strings.Contains(file.Name, name) {
			return string(file.Data)
		}
	}
	t.Fatal(name)
	return ""
}

func (f *fixture) create() {
	for _, team := range []string{"listings", "bookings"} {
		a := f.do("PUT", "/admin/v1/teams/"+team, examples.DevRootToken, devFile(f.t, team), "If-Match", "0")
		require.Equal(f.t, http.StatusOK, a.Code, a.Body.String())
	}
}

func TestTokensKeepTeamsApart(t *testing.T) {
	f := newFixture(t)
	a := f.do("PUT", "/admin/v1/teams/listings", examples.DevListingsToken, devFile(t, "listings"), "If-Match", "0")
	assert.Equal(t, "unauthenticated", a.code(), "a team's own token cannot create the team")
	f.create()
	for _, c := range []struct{ method, path string }{
		{"GET", ""}, {"GET", "?revision=1"}, {"PUT", ""}, {"GET", "/history"}, {"POST", "/diff"},
	} {
		path := "/admin/v1/teams/listings" + c.path
		assert.Equal(t, "not_allowed", f.do(c.method, path, examples.DevBookingsToken, "", "If-Match", "1").code(), "%s %s", c.method, path)
		assert.Equal(t, "unauthenticated", f.do(c.method, path, "wrong", "", "If-Match", "1").code())
		assert.Equal(t, "unauthenticated", f.do(c.method, path, "", "", "If-Match", "1").code())
	}
	known := f.do("GET", "/admin/v1/teams/listings", examples.DevBookingsToken, "")
	unknown := f.do("GET", "/admin/v1/teams/nobody", examples.DevBookingsToken, "")
	assert.Equal(t, known.Code, unknown.Code, "whether another team exists is not told")
	assert.Contains(t, f.do("GET", "/admin/v1/teams", examples.DevBookingsToken, "").Body.String(), "bookings")
	for _, path := range []string{"/admin/v1/teams", "/admin/v1/status", "/admin/v1/targets"} {
		a := f.do("GET", path, examples.DevBookingsToken, "")
		require.Equal(t, http.StatusOK, a.Code)
		assert.NotContains(t, a.Body.String(), "listing", path)
	}
	own := f.do("GET", "/admin/v1/targets", examples.DevListingsToken, "").Body.String()
	assert.Contains(t, own, "tea-small")
	assert.NotContains(t, own, "t2", "targets of other services are not shown")
	assert.Equal(t, "not_allowed", f.do("POST", "/admin/v1/targets/t1/drain", examples.DevListingsToken, "").code())
}

func TestPutGetHistoryDiff(t *testing.T) {
	f := newFixture(t)
	f.create()
	token := examples.DevListingsToken
	path := "/admin/v1/teams/listings"
	edited := strings.Replace(devFile(t, "listings"), "max_replicas: 2", "max_replicas: 1", 1)
	assert.Equal(t, "bad_request", f.do("PUT", path, token, edited).code(), "a change names its base")
	assert.Contains(t, f.do("POST", path+"/diff", token, edited, "Accept", "text/plain").Body.String(),
		"-services[listing].models[tea-small@1].max_replicas: 2\n+services[listing].models[tea-small@1].max_replicas: 1\n")

	f.node.frozen = f.node.Table()
	f.node.zones = []entry.ZoneStatus{{Zone: "z3"}}
	a := f.do("PUT", path+"?wait=30ms", token, edited, "If-Match", `"1"`, HeaderAuthor, "ann")
	require.Equal(t, http.StatusOK, a.Code, a.Body.String())
	var put PutResponse
	require.NoError(t, json.Unmarshal(a.Body.Bytes(), &put))
	assert.EqualValues(t, 2, put.Revision)
	assert.False(t, put.InForce)
	assert.Equal(t, []NodeStatus{{Node: "n1", Ready: true, Change: 2}}, put.Lagging)
	assert.Equal(t, []fleet.Zone{"z3"}, put.Unreachable, "a zone that is cut off is named")

	f.node.frozen, f.node.zones = nil, nil
	conflict := f.do("PUT", path, token, devFile(t, "listings"), "If-Match", "1")
	assert.Equal(t, "revision_conflict", conflict.code())
	assert.Equal(t, "no", conflict.Header().Get(fault.HeaderRun))
	got := f.do("GET", path, token, "")
	assert.Equal(t, `"2"`, got.Header().Get("ETag"))
	assert.Equal(t, sourceAccepted, got.Header().Get(HeaderSource))
	spec, err := teams.ParseTeam("x", got.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 1, spec.Services[0].Models[0].MaxReplicas)
	old := f.do("GET", path+"?revision=1", token, "")
	spec, err = teams.ParseTeam("x", old.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 2, spec.Services[0].Models[0].MaxReplicas)
	assert.Contains(t, f.do("GET", path+"/history", token, "").Body.String(), "team listings: ann")
	assert.Equal(t, "unknown_path", f.do("GET", path+"?revision=9", token, "").code())
	again := f.do("PUT", path+"?wait=5s", token, edited, "If-Match", "2")
	require.NoError(t, json.Unmarshal(again.Body.Bytes(), &put))
	assert.True(t, put.InForce)
}

func TestPutRefusals(t *testing.T) {
	f := newFixture(t)
	f.create()
	path := "/admin/v1/teams/listings"
	text := devFile(t, "listings")
	put := func(body string) answer {
		return f.do("PUT", path+"?file=my.yaml", examples.DevListingsToken, body, "If-Match", "1")
	}
	assert.Contains(t, put(strings.Replace(text, "kind: engine", "kind: gpu", 1)).Body.String(), "my.yaml:")
	assert.Equal(t, "invalid_catalog", put(strings.Replace(text, "team: listings", "team: bookings", 1)).code())
	assert.Equal(t, "invalid_catalog", put(strings.ReplaceAll(text, ": listing\n", ": bookings\n")).code(), "the service name is taken")
	assert.Equal(t, "body_too_large", put(text+strings.Repeat("#", 17<<20)).code())
	f.node.frozen = f.node.Table()
	f.node.store.SetDown(true)
	a := put(strings.Replace(text, "max_replicas: 2", "max_replicas: 1", 1))
	assert.Equal(t, "platform_unavailable", a.code())
	got := f.do("GET", path, examples.DevListingsToken, "")
	assert.Equal(t, http.StatusOK, got.Code, "what is in force can be read in an outage")
	assert.Equal(t, sourceInForce, got.Header().Get(HeaderSource))
}

func TestPutRepeatedAfterLostAnswer(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		a := f.do("PUT", "/admin/v1/teams/listings", examples.DevRootToken, devFile(t, "listings"), "If-Match", "0", HeaderWriteID, "w1")
		require.Equal(t, http.StatusOK, a.Code, a.Body.String())
		assert.Contains(t, a.Body.String(), `"revision":1`)
	}
}

func TestStatusAndDrain(t *testing.T) {
	f := newFixture(t)
	f.create()
	f.node.zones = []entry.ZoneStatus{{Zone: "z2", Owner: "n2", Nodes: []entry.NodeStatus{{Node: fleet.Node{ID: "n2", Zone: "z2"}, Version: 1}}}, {Zone: "z0"}}
	var status StatusResponse
	require.NoError(t, json.Unmarshal(f.do("GET", "/admin/v1/status", examples.DevRootToken, "").Body.Bytes(), &status))
	assert.Equal(t, []ZoneStatus{
		{Zone: "z0", Nodes: []NodeStatus{}},
		{Zone: "z1", Owner: "n1", Nodes: []NodeStatus{{"n1", true, 2}}},
		{Zone: "z2", Owner: "n2", Nodes: []NodeStatus{{"n2", false, 1}}},
	}, status.Zones)
	assert.False(t, status.InAgreement)
	assert.EqualValues(t, 1, status.Revisions["listings"])
	require.Equal(t, http.StatusOK, f.do("POST", "/admin/v1/targets/t1/drain", examples.DevRootToken, "").Code)
	assert.True(t, f.node.Table().Drained["t1"], "all nodes learn it from the key-value service")
	require.Equal(t, http.StatusOK, f.do("POST", "/admin/v1/targets/t1/undrain", examples.DevRootToken, "").Code)
	assert.False(t, f.node.Table().Drained["t1"])
	assert.Equal(t, "unknown_path", f.do("POST", "/admin/v1/targets/t9/drain", examples.DevRootToken, "").code())
	assert.Equal(t, "unknown_path", f.do("GET", "/admin/v1/other", examples.DevRootToken, "").code())
}

func TestNothingIsKnownYet(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, http.StatusOK, f.do("GET", "/admin/v1/status", examples.DevRootToken, "").Code)
	assert.JSONEq(t, `{"teams":[]}`, f.do("GET", "/admin/v1/teams", examples.DevRootToken, "").Body.String())
}
