package admin

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
	"almondturn/pkg/catalog"
	"almondturn/pkg/fault"
	"almondturn/pkg/peer"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/kv"
	"almondturn/wire"
)

// noPeers is a network of one node that notes what it sends.
type noPeers struct{ sent []wire.Message }

func (n *noPeers) Call(context.Context, fleet.NodeID, wire.Message) (wire.Message, error) {
	return nil, fault.New(fault.TargetUnreachable, "no peers")
}
func (n *noPeers) Send(_ fleet.NodeID, m wire.Message)    { n.sent = append(n.sent, m) }
func (n *noPeers) Broadcast(_ fleet.Zone, m wire.Message) { n.sent = append(n.sent, m) }

// fixedTargets are rows that do not change; drains go to the network.
type fixedTargets struct {
	rows []Target
	net  peer.Network
	self fleet.NodeID
}

func (f fixedTargets) Targets() []Target { return f.rows }

func (f fixedTargets) Drain(id fleet.TargetID, cancelled bool) {
	m := &wire.Leaving{Target: id, Source: "operator", Cancelled: cancelled}
	f.net.Send(f.self, m)
	f.net.Broadcast("", m)
}

type fixture struct {
	t       *testing.T
	store   *kv.Store
	net     *noPeers
	members *rosters
	server  *Server
}

// rosters are the members of three nodes, one of which is not live.
type rosters struct {
	acknowledged int
	err          error
}

func (*rosters) Members() []fleet.Node {
	return []fleet.Node{{ID: "n1", Zone: "z1"}, {ID: "n2", Zone: "z2"}, {ID: "n3", Zone: "z3"}}
}

func (r *rosters) Acknowledge(context.Context) error {
	r.acknowledged++
	return r.err
}

// newFixture has one node and a second that is live but does not answer.
func newFixture(t *testing.T) *fixture {
	self := fleet.Node{ID: "n1", Zone: "z1"}
	silent := fleet.Node{ID: "n2", Zone: "z2"}
	store := kv.New(platform.SystemClock{})
	net := &noPeers{}
	view := func() *peer.View {
		return &peer.View{Self: self, Live: []fleet.Node{self, silent}, PlatformUp: true}
	}
	settings := catalog.DefaultOptions()
	settings.StartupWait = 0
	service := catalog.New(settings, self, store, net, peer.NewRouter(), view, platform.SystemClock{}, zerolog.Nop(), &catalog.Store{})
	service.StepPlatform(context.Background())
	opts := DefaultOptions()
	opts.RootTokenSHA256 = catalog.HashKey(examples.DevRootToken)
	slots := []fleet.ReplicaKey{{Service: "listing", Model: "tea-small", Version: "1"}, {Service: "other", Model: "m"}}
	targets := fixedTargets{net: net, self: self.ID, rows: []Target{
		{Target: fleet.Target{ID: "t1", Zone: "z1"}, Slots: slots},
		{Target: fleet.Target{ID: "t2", Zone: "z2"}, Slots: slots},
	}}
	f := &fixture{t: t, store: store, net: net, members: &rosters{}}
	f.server = New(opts, self, service, net, view, targets, f.members, zerolog.Nop())
	return f
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
	req := httptest.NewRequest(method, path, strings.NewReader(body))
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
		{"GET", ""}, {"GET", "?revision=1"}, {"PUT", ""}, {"GET", "/history"}, {"POST", "/diff"}, {"POST", "/restore"},
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
	assert.Contains(t, f.do("GET", "/admin/v1/targets", examples.DevListingsToken, "").Body.String(), "tea-small")
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

	a := f.do("PUT", path+"?wait=30ms", token, edited, "If-Match", `"1"`, HeaderAuthor, "ann")
	require.Equal(t, http.StatusOK, a.Code, a.Body.String())
	var put PutAnswer
	require.NoError(t, json.Unmarshal(a.Body.Bytes(), &put))
	assert.EqualValues(t, 2, put.Revision)
	assert.False(t, put.InForce)
	require.Len(t, put.Lagging, 1)
	assert.Equal(t, fleet.NodeID("n2"), put.Lagging[0].Node)
	assert.Equal(t, []NodeStatus{{Node: "n3", Zone: "z3"}}, put.Unreachable, "a zone that is cut off is named")
	assert.Equal(t, []Surplus{
		{Replica: "listing/tea-small@1", Zone: "z1", Held: 1, Total: 2, Limit: 1},
		{Replica: "listing/tea-small@1", Zone: "z2", Held: 1, Total: 2, Limit: 1},
	}, put.Surplus, "zones that still hold what the lowered limit no longer allows")

	conflict := f.do("PUT", path, token, devFile(t, "listings"), "If-Match", "1")
	assert.Equal(t, "revision_conflict", conflict.code())
	assert.Equal(t, "no", conflict.Header().Get(fault.HeaderRun))
	got := f.do("GET", path, token, "")
	assert.Equal(t, `"2"`, got.Header().Get("ETag"))
	assert.Equal(t, "accepted", got.Header().Get(HeaderSource))
	spec, err := catalog.ParseTeam("x", got.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 1, spec.Services[0].Models[0].MaxReplicas)
	old := f.do("GET", path+"?revision=1", token, "")
	spec, err = catalog.ParseTeam("x", old.Body.Bytes())
	require.NoError(t, err)
	assert.Equal(t, 2, spec.Services[0].Models[0].MaxReplicas)
	assert.Contains(t, f.do("GET", path+"/history", token, "").Body.String(), "team listings: ann")
	assert.Equal(t, "unknown_path", f.do("GET", path+"?revision=9", token, "").code())
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
	f.store.SetFaults(kv.Faults{Down: true})
	a := put(strings.Replace(text, "max_replicas: 2", "max_replicas: 1", 1))
	assert.Equal(t, "platform_unavailable", a.code())
	got := f.do("GET", path, examples.DevListingsToken, "")
	assert.Equal(t, http.StatusOK, got.Code, "what is in force can be read in an outage")
	assert.Equal(t, "in-force", got.Header().Get(HeaderSource))
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
	var status StatusAnswer
	require.NoError(t, json.Unmarshal(f.do("GET", "/admin/v1/status", examples.DevRootToken, "").Body.Bytes(), &status))
	assert.Equal(t, []ZoneStatus{{Zone: "z1", Nodes: 1, Reached: 1, Ready: 1}, {Zone: "z2", Nodes: 1}, {Zone: "z3", Nodes: 1}}, status.Zones)
	assert.True(t, status.PlatformUp)
	assert.EqualValues(t, 1, status.Nodes[0].Revisions["listings"])
	assert.Equal(t, "not_allowed", f.do("POST", "/admin/v1/platform/acknowledge", examples.DevListingsToken, "").code())
	require.Equal(t, http.StatusOK, f.do("POST", "/admin/v1/platform/acknowledge", examples.DevRootToken, "").Code)
	assert.Equal(t, 1, f.members.acknowledged)
	f.net.sent = nil
	require.Equal(t, http.StatusOK, f.do("POST", "/admin/v1/targets/t1/drain", examples.DevRootToken, "").Code)
	require.Equal(t, http.StatusOK, f.do("POST", "/admin/v1/targets/t1/undrain", examples.DevRootToken, "").Code)
	drained := &wire.Leaving{Target: "t1", Source: "operator"}
	back := &wire.Leaving{Target: "t1", Source: "operator", Cancelled: true}
	assert.Equal(t, []wire.Message{drained, drained, back, back}, f.net.sent, "to itself and to all others")
	assert.Equal(t, "unknown_path", f.do("POST", "/admin/v1/targets/t9/drain", examples.DevRootToken, "").code())
	assert.Equal(t, "unknown_path", f.do("GET", "/admin/v1/other", examples.DevRootToken, "").code())
}
