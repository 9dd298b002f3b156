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

// fakeNode is node n1 of zone z1. It has the settings in the store in force
// immediately, unless frozen is set.
type fakeNode struct {
	store   *kvtest.Store
	decoder *teams.Decoder
	frozen  *route.Table       // in force whatever the store holds; nil for none
	zones   []entry.ZoneStatus // returned by Status after the node's own zone
}

func (*fakeNode) Self() fleet.Node { return fleet.Node{ID: "n1", Zone: "z1"} }

func (n *fakeNode) Table() *route.Table {
	if n.frozen != nil {
		return n.frozen
	}
	t, _ := n.decoder.Decode(n.store.Entries())
	return t
}

func (*fakeNode) Targets() *inventory.TargetSet {
	models := []inventory.LoadedModel{{Name: "tea-small@1"}}
	return inventory.NewTargetSet([]*inventory.Target{
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

// fixture is a server with its node and an empty store.
type fixture struct {
	t      *testing.T
	node   *fakeNode
	server *Server
}

func newFixture(t *testing.T) *fixture {
	opts := DefaultOptions()
	opts.RootTokenSHA256 = teams.DigestKey(examples.DevRootToken)
	n := &fakeNode{store: new(kvtest.Store), decoder: teams.NewDecoder()}
	log := zerolog.Nop()
	return &fixture{t: t, node: n, server: New(opts, n, teams.NewRepository(n.store), &log)}
}

// response is a recorded response of the server.
type response struct {
	*httptest.ResponseRecorder
}

// errorCode returns the code of an error response, "" for any other response.
func (r response) errorCode() string {
	var body fault.Body
	_ = json.Unmarshal(r.Body.Bytes(), &body)
	return body.Error.Code
}

// send sends a request to the server and returns the response. header holds names
// and values in turn.
func (f *fixture) send(method, path, token, body string, header ...string) response {
	req := httptest.NewRequestWithContext(f.t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, req)
	return response{w}
}

// devTeamFile returns the example settings whose file name contains name.
func devTeamFile(t *testing.T, name string) string {
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

// createDevTeams creates the teams listings and bookings of the examples.
func (f *fixture) createDevTeams() {
	for _, team := range []string{"listings", "bookings"} {
		resp := f.send("PUT", "/admin/v1/teams/"+team, examples.DevRootToken, devTeamFile(f.t, team), "If-Match", "0")
		require.Equal(f.t, http.StatusOK, resp.Code, resp.Body.String())
	}
}

// TestTokenAccessesOnlyItsOwnTeams checks that a team's token neither reads nor
// changes anything of another team, doesn't show which other teams exist, and can't
// drain targets.
func TestTokenAccessesOnlyItsOwnTeams(t *testing.T) {
	f := newFixture(t)
	resp := f.send("PUT", "/admin/v1/teams/listings", examples.DevListingsToken, devTeamFile(t, "listings"), "If-Match", "0")
	assert.Equal(t, "unauthenticated", resp.errorCode(), "a team's own token cannot create the team")
	f.createDevTeams()
	for _, c := range []struct{ method, path string }{
		{"GET", ""}, {"GET", "?revision=1"}, {"PUT", ""}, {"GET", "/history"}, {"POST", "/diff"},
	} {
		path := "/admin/v1/teams/listings" + c.path
		assert.Equal(t, "not_allowed", f.send(c.method, path, examples.DevBookingsToken, "", "If-Match", "1").errorCode(), "%s %s", c.method, path)
		assert.Equal(t, "unauthenticated", f.send(c.method, path, "wrong", "", "If-Match", "1").errorCode())
		assert.Equal(t, "unauthenticated", f.send(c.method, path, "", "", "If-Match", "1").errorCode())
	}
	existing := f.send("GET", "/admin/v1/teams/listings", examples.DevBookingsToken, "")
	missing := f.send("GET", "/admin/v1/teams/nobody", examples.DevBookingsToken, "")
	assert.Equal(t, existing.Code, missing.Code, "the response doesn't show whether another team exists")
	assert.Contains(t, f.send("GET", "/admin/v1/teams", examples.DevBookingsToken, "").Body.String(), "bookings")
	for _, path := range []string{"/admin/v1/teams", "/admin/v1/status", "/admin/v1/targets"} {
		resp := f.send("GET", path, examples.DevBookingsToken, "")
		require.Equal(t, http.StatusOK, resp.Code)
		assert.NotContains(t, resp.Body.String(), "listing", path)
	}
	ownTargets := f.send("GET", "/admin/v1/targets", examples.DevListingsToken, "").Body.String()
	assert.Contains(t, ownTargets, "tea-small")
	assert.NotContains(t, ownTargets, "t2", "targets of other services are not shown")
	assert.Equal(t, "not_allowed", f.send("POST", "/admin/v1/targets/t1/drain", examples.DevListingsToken, "").errorCode())
}

// TestPutReportsLaggingNodesAndPreviousRevisionStaysReadable changes a team while a
// node has the old settings in force and a zone is unreachable: the response lists
// both. It then checks the error for a conflicting change, reads the current and the
// previous revision, and waits for a change to be in force.
func TestPutReportsLaggingNodesAndPreviousRevisionStaysReadable(t *testing.T) {
	f := newFixture(t)
	f.createDevTeams()
	token := examples.DevListingsToken
	path := "/admin/v1/teams/listings"
	edited := strings.Replace(devTeamFile(t, "listings"), "max_replicas: 2", "max_replicas: 1", 1)
	assert.Equal(t, "bad_request", f.send("PUT", path, token, edited).errorCode(), "a change requires If-Match")
	assert.Contains(t, f.send("POST", path+"/diff", token, edited, "Accept", "text/plain").Body.String(),
		"-services[listing].models[tea-small@1].max_replicas: 2\n+services[listing].models[tea-small@1].max_replicas: 1\n")

	f.node.frozen = f.node.Table()
	f.node.zones = []entry.ZoneStatus{{Zone: "z3"}}
	resp := f.send("PUT", path+"?wait=30ms", token, edited, "If-Match", `"1"`, HeaderAuthor, "ann")
	require.Equal(t, http.StatusOK, resp.Code, resp.Body.String())
	var put PutResponse
	require.NoError(t, json.Unmarshal(resp.Body.Bytes(), &put))
	assert.EqualValues(t, 2, put.Revision)
	assert.False(t, put.InForce)
	assert.Equal(t, []NodeStatus{{Node: "n1", Ready: true, Change: 2}}, put.Lagging)
	assert.Equal(t, []fleet.Zone{"z3"}, put.Unreachable, "an unreachable zone is listed")

	f.node.frozen, f.node.zones = nil, nil
	conflict := f.send("PUT", path, token, devTeamFile(t, "listings"), "If-Match", "1")
	assert.Equal(t, "revision_conflict", conflict.errorCode())
	assert.Equal(t, "no", conflict.Header().Get(fault.HeaderRun))
	current := f.send("GET", path, token, "")
	assert.Equal(t, `"2"`, current.Header().Get("ETag"))
	assert.Equal(t, sourceAccepted, current.Header().Get(HeaderSource))
	spec, err := teams.ParseTeam("x", current.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 1, spec.Services[0].Models[0].MaxReplicas)
	previous := f.send("GET", path+"?revision=1", token, "")
	spec, err = teams.ParseTeam("x", previous.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 2, spec.Services[0].Models[0].MaxReplicas)
	assert.Contains(t, f.send("GET", path+"/history", token, "").Body.String(), "team listings: ann")
	assert.Equal(t, "unknown_path", f.send("GET", path+"?revision=9", token, "").errorCode())
	again := f.send("PUT", path+"?wait=5s", token, edited, "If-Match", "2")
	require.NoError(t, json.Unmarshal(again.Body.Bytes(), &put))
	assert.True(t, put.InForce)
}

// TestInvalidPutsFailAndStoreOutageLeavesSettingsReadable checks the errors for invalid
// settings and for an unavailable store. Reads during the outage return what is in
// force.
func TestInvalidPutsFailAndStoreOutageLeavesSettingsReadable(t *testing.T) {
	f := newFixture(t)
	f.createDevTeams()
	path := "/admin/v1/teams/listings"
	text := devTeamFile(t, "listings")
	put := func(body string) response {
		return f.send("PUT", path+"?file=my.yaml", examples.DevListingsToken, body, "If-Match", "1")
	}
	assert.Contains(t, put(strings.Replace(text, "kind: engine", "kind: gpu", 1)).Body.String(), "my.yaml:")
	assert.Equal(t, "invalid_catalog", put(strings.Replace(text, "team: listings", "team: bookings", 1)).errorCode())
	assert.Equal(t, "invalid_catalog", put(strings.ReplaceAll(text, ": listing\n", ": bookings\n")).errorCode(), "the service name is taken")
	assert.Equal(t, "body_too_large", put(text+strings.Repeat("#", 17<<20)).errorCode())
	f.node.frozen = f.node.Table()
	f.node.store.SetUnavailable(true)
	resp := put(strings.Replace(text, "max_replicas: 2", "max_replicas: 1", 1))
	assert.Equal(t, "platform_unavailable", resp.errorCode())
	read := f.send("GET", path, examples.DevListingsToken, "")
	assert.Equal(t, http.StatusOK, read.Code, "settings in force can be read during an outage")
	assert.Equal(t, sourceInForce, read.Header().Get(HeaderSource))
}

// TestPutRepeatedWithSameWriteIDIsAppliedOnce repeats a change, as an operator does
// after a lost response: it must not make a second revision or conflict with itself.
func TestPutRepeatedWithSameWriteIDIsAppliedOnce(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		resp := f.send("PUT", "/admin/v1/teams/listings", examples.DevRootToken, devTeamFile(t, "listings"), "If-Match", "0", HeaderWriteID, "w1")
		require.Equal(t, http.StatusOK, resp.Code, resp.Body.String())
		assert.Contains(t, resp.Body.String(), `"revision":1`)
	}
}

// TestStatusListsZonesAndDrainTakesEffect checks the status of reached and unreached
// zones, and that a drain and its end arrive in the node's configuration.
func TestStatusListsZonesAndDrainTakesEffect(t *testing.T) {
	f := newFixture(t)
	f.createDevTeams()
	f.node.zones = []entry.ZoneStatus{{Zone: "z2", Owner: "n2", Nodes: []entry.NodeStatus{{Node: fleet.Node{ID: "n2", Zone: "z2"}, Version: 1}}}, {Zone: "z0"}}
	var status StatusResponse
	require.NoError(t, json.Unmarshal(f.send("GET", "/admin/v1/status", examples.DevRootToken, "").Body.Bytes(), &status))
	assert.Equal(t, []ZoneStatus{
		{Zone: "z0", Nodes: []NodeStatus{}},
		{Zone: "z1", Owner: "n1", Nodes: []NodeStatus{{"n1", true, 2}}},
		{Zone: "z2", Owner: "n2", Nodes: []NodeStatus{{"n2", false, 1}}},
	}, status.Zones)
	assert.False(t, status.InAgreement)
	assert.EqualValues(t, 1, status.Revisions["listings"])
	require.Equal(t, http.StatusOK, f.send("POST", "/admin/v1/targets/t1/drain", examples.DevRootToken, "").Code)
	assert.True(t, f.node.Table().Drained["t1"], "nodes receive the drain through the key-value service")
	require.Equal(t, http.StatusOK, f.send("POST", "/admin/v1/targets/t1/undrain", examples.DevRootToken, "").Code)
	assert.False(t, f.node.Table().Drained["t1"])
	assert.Equal(t, "unknown_path", f.send("POST", "/admin/v1/targets/t9/drain", examples.DevRootToken, "").errorCode())
	assert.Equal(t, "unknown_path", f.send("GET", "/admin/v1/other", examples.DevRootToken, "").errorCode())
}

// TestStatusAndTeamsAreServedBeforeFirstSettings checks that a node without settings
// responds, with an empty list of teams.
func TestStatusAndTeamsAreServedBeforeFirstSettings(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, http.StatusOK, f.send("GET", "/admin/v1/status", examples.DevRootToken, "").Code)
	assert.JSONEq(t, `{"teams":[]}`, f.send("GET", "/admin/v1/teams", examples.DevRootToken, "").Body.String())
}
