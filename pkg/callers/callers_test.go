package callers

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/claims"
	"almondturn/pkg/entry"
	"almondturn/pkg/fault"
	"almondturn/pkg/kv"
	"almondturn/pkg/kv/kvtest"
	"almondturn/pkg/route"
	"almondturn/pkg/teams"
)

// testTable returns a configuration with a service of models, which key-1 may use,
// and a plain service, which key-2 may use and of which only GET is idempotent.
func testTable() *route.Table {
	return teams.NewSnapshot([]*teams.TeamSpec{{
		Team: "tea",
		Callers: []teams.CallerSpec{
			{Name: "web", KeyDigest: teams.DigestKey("key-1"), Service: "listing"},
			{Name: "desk", KeyDigest: teams.DigestKey("key-2"), Service: "bookings"},
		},
		Services: []teams.ServiceSpec{
			{
				Name: "listing", Kind: fleet.TargetEngine, Class: teams.ClassStandard, Engine: &teams.EngineSpec{MaxRequests: 4},
				Models: []teams.ModelSpec{{Name: "m", Version: "1", MemoryBytes: 1, MaxReplicas: 1}, {Name: "none", MemoryBytes: 1}},
			},
			{Name: "bookings", Kind: fleet.TargetPlain, Calls: []teams.CallRule{{Method: "GET", PathPrefix: "/", Idempotent: true}}},
		},
	}}, nil).Table(1, 1)
}

// testProtocol returns a protocol that gives targets the headers Id, Model and
// Content-Type, and does not send the response header Target-Only to callers.
func testProtocol() *Protocol {
	return New(DefaultOptions(), TargetHeaders{
		Header: func(info *entry.RequestInfo, contentType string) http.Header {
			return http.Header{"Id": {info.ID}, "Model": {info.Model}, "Content-Type": {contentType}}
		},
		IsTargetHeader: func(name string) bool { return name == "Target-Only" },
	})
}

// callerRequest describes a caller's request; without a key it has no Authorization.
type callerRequest struct {
	method, path, key, body string
	header                  map[string]string
}

func (c callerRequest) request(t *testing.T) *http.Request {
	req := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	return req
}

// parseRequest runs ParseRequest and ReadBody as a node does, and returns the error of
// either.
func parseRequest(t *testing.T, c callerRequest) (*entry.Request, *fault.Error) {
	r, err := testProtocol().ParseRequest(c.request(t), testTable())
	if err != nil || r.ReadBody == nil {
		return r, err
	}
	_, err = r.ReadBody(r, []byte(c.body))
	return r, err
}

// TestInvalidRequestIsRefusedWithoutRun checks the error kind, message and HTTP
// response for each fault that a caller's request can have.
func TestInvalidRequestIsRefusedWithoutRun(t *testing.T) {
	const chat = "/v1/chat/completions"
	for name, tc := range map[string]struct {
		call callerRequest
		want fault.Kind
		text string
	}{
		"no key":        {callerRequest{"POST", chat, "", `{"model":"m"}`, nil}, fault.Unauthenticated, "Authorization"},
		"unknown key":   {callerRequest{"POST", chat, "other", `{"model":"m"}`, nil}, fault.Unauthenticated, "not known"},
		"broken body":   {callerRequest{"POST", chat, "key-1", `{"model`, nil}, fault.BadRequest, "JSON"},
		"wrong type":    {callerRequest{"POST", chat, "key-1", `{"model":1}`, nil}, fault.BadRequest, "the body is not a JSON object: json: cannot unmarshal number into Go struct field completionFields.model of type string"},
		"no model":      {callerRequest{"POST", chat, "key-1", `{}`, nil}, fault.BadRequest, "model"},
		"unknown model": {callerRequest{"POST", chat, "key-1", `{"model":"x"}`, nil}, fault.UnknownModel, "m@1"},
		"limit of 0":    {callerRequest{"POST", chat, "key-1", `{"model":"none"}`, nil}, fault.NoCapacity, "none"},
		"timeout of 0":  {callerRequest{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerTimeout: "0"}}, fault.DeadlineExceeded, "passed"},
		"bad timeout":   {callerRequest{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerTimeout: "soon"}}, fault.BadRequest, "milliseconds"},
		"bad class":     {callerRequest{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerClass: "vip"}}, fault.BadRequest, "interactive"},
		"other service": {callerRequest{"GET", "/services/bookings/seats", "key-1", "", nil}, fault.NotAllowed, "bookings"},
		"not plain":     {callerRequest{"GET", "/services/listing/seats", "key-1", "", nil}, fault.UnknownService, "listing"},
		"dotted path":   {callerRequest{"GET", "/services/bookings/lookups/..%2Fseats", "key-2", "", nil}, fault.BadRequest, "parts"},
		"unknown path":  {callerRequest{"GET", "/v2/x", "key-1", "", nil}, fault.UnknownPath, "/v2/x"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseRequest(t, tc.call)
			require.NotNil(t, err)
			assert.Equal(t, tc.want, err.Kind)
			assert.Contains(t, err.Message, tc.text)
			w := httptest.NewRecorder()
			resp := tc.want.Response()
			assert.Equal(t, resp.Status, testProtocol().WriteError(w, "id", &entry.ErrorResponse{Error: err}))
			assert.Equal(t, resp.Status, w.Code)
			assert.Equal(t, "no", w.Header().Get(fault.HeaderRun))
			assert.Contains(t, w.Body.String(), resp.Code)
		})
	}
}

// TestCompletionBodySetsRequestFields checks what a completion's body and headers
// set, and the defaults.
func TestCompletionBodySetsRequestFields(t *testing.T) {
	r, err := parseRequest(t, callerRequest{"POST", "/v1/chat/completions", "key-1", `{"model":"m","stream":true,"max_tokens":7}`, map[string]string{headerTimeout: "1500"}})
	require.Nil(t, err)
	assert.Equal(t, "m@1", r.Model)
	assert.Equal(t, 7, r.OutputTokens)
	assert.Equal(t, 1500*time.Millisecond, r.Timeout)
	assert.False(t, r.NonStreaming)
	assert.True(t, r.Route.Idempotent())
	assert.Equal(t, "m@1", r.Header.Get("Model"))
	r, err = parseRequest(t, callerRequest{"POST", "/v1/completions", "key-1", `{"model":"m"}`, nil})
	require.Nil(t, err)
	assert.True(t, r.NonStreaming)
	assert.Equal(t, DefaultOptions().DefaultTimeout, r.Timeout)
}

// TestCallerCannotRaiseClass checks that a caller may lower, but not raise the
// priority class of its service.
func TestCallerCannotRaiseClass(t *testing.T) {
	r, _ := parseRequest(t, callerRequest{"POST", "/v1/completions", "key-1", `{"model":"m"}`, map[string]string{headerClass: "interactive"}})
	assert.Equal(t, int(teams.ClassStandard), r.Priority)
	r, _ = parseRequest(t, callerRequest{"POST", "/v1/completions", "key-1", `{"model":"m"}`, map[string]string{headerClass: "batch"}})
	assert.Equal(t, int(teams.ClassBatch), r.Priority)
}

// TestPlainCallsFollowCallRules checks that only calls that a rule declares
// idempotent may be repeated, and that the target's URI keeps escapes and query.
func TestPlainCallsFollowCallRules(t *testing.T) {
	r, err := parseRequest(t, callerRequest{"POST", "/services/bookings/seats?row=2", "key-2", "{}", nil})
	require.Nil(t, err)
	assert.False(t, r.Route.Idempotent())
	assert.Equal(t, 1, r.Route.MaxAttempts)
	assert.Equal(t, "/seats?row=2", r.URI)
	r, err = parseRequest(t, callerRequest{"GET", "/services/bookings/seats", "key-2", "", nil})
	require.Nil(t, err)
	assert.True(t, r.Route.Idempotent())
	r, err = parseRequest(t, callerRequest{"GET", "/services/bookings/a%3Fb%25/?x=1", "key-2", "", nil})
	require.Nil(t, err)
	assert.Equal(t, "/a%3Fb%25/?x=1", r.URI, "the target gets the path that the rules were applied to")
}

// TestKeyBeforeSettingsAreLoadedIsNotReady checks that a node that has just started
// does not reject valid keys as unknown.
func TestKeyBeforeSettingsAreLoadedIsNotReady(t *testing.T) {
	_, err := testProtocol().ParseRequest(callerRequest{"POST", "/v1/completions", "new-key", `{"model":"m"}`, nil}.request(t), new(route.Table))
	assert.Equal(t, fault.NotReady, err.Kind)
}

// TestCopyResponseHeaderDropsInternalHeaders checks that hop-by-hop headers and
// those meant for nodes do not reach the caller.
func TestCopyResponseHeaderDropsInternalHeaders(t *testing.T) {
	out := http.Header{}
	testProtocol().CopyResponseHeader("r1", http.Header{"Content-Type": {"text/plain"}, "Connection": {"close"}, "Target-Only": {"x"}}, out)
	assert.Equal(t, http.Header{"Content-Type": {"text/plain"}, fault.HeaderRequestID: {"r1"}, fault.HeaderRun: {"yes"}}, out)
}

// TestTruncatedStreamEndsWithErrorEvent checks that a truncated stream cannot be
// taken for a complete one, and that nothing is appended to a non-streaming body.
func TestTruncatedStreamEndsWithErrorEvent(t *testing.T) {
	r, err := parseRequest(t, callerRequest{"POST", "/v1/completions", "key-1", `{"model":"m","stream":true}`, nil})
	require.Nil(t, err)
	w := httptest.NewRecorder()
	assert.True(t, testProtocol().EndTruncatedResponse(w, r, fault.New(fault.StreamBroken, "the target was lost")))
	assert.Contains(t, w.Body.String(), "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"")
	r.NonStreaming = true
	assert.False(t, testProtocol().EndTruncatedResponse(w, r, fault.New(fault.StreamBroken, "x")), "a partial body cannot be ended: the connection is closed")
}

// fakeNode responds with the given header Almondturn-Run and status, aborts the
// connection after the body if abort is set, and counts requests in served.
type fakeNode struct {
	run    fault.RunStatus
	status int
	abort  bool
	served int
}

func (*fakeNode) Table() *route.Table { return testTable() }

func (*fakeNode) ServeReadiness(http.ResponseWriter, *http.Request) {}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n.served++
	w.Header().Set(fault.HeaderRun, string(n.run))
	w.WriteHeader(n.status)
	_, _ = fmt.Fprintf(w, "response %d", n.served)
	if n.abort {
		panic(http.ErrAbortHandler)
	}
}

// serve sends a request to the handler and recovers from an aborted connection.
func serve(t *testing.T, h http.Handler, c callerRequest) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() { _ = recover() }()
	h.ServeHTTP(w, c.request(t))
	return w
}

// errorCode returns the code of an error response, "" for any other response.
func errorCode(w *httptest.ResponseRecorder) string {
	for _, k := range fault.Kinds() {
		if strings.Contains(w.Body.String(), `"code":"`+k.String()+`"`) {
			return k.String()
		}
	}
	return ""
}

// TestKeyedCallRunsAtMostOnce sends the same call with an idempotency key twice. The
// second one may reach the node only if the first was certainly not run. Otherwise
// it gets the recorded response, or outcome_unknown if the outcome of the first is
// unknown or its response was truncated.
func TestKeyedCallRunsAtMostOnce(t *testing.T) {
	booking := callerRequest{"POST", "/services/bookings/seats", "key-2", `{"row":2}`, map[string]string{headerIdempotencyKey: "k"}}
	otherBooking := booking
	otherBooking.body = `{"row":3}`
	for name, c := range map[string]struct {
		node       fakeNode
		secondCode string // error code of the response to the repeated call
		served     int
	}{
		"completed": {fakeNode{run: fault.RunYes, status: 200}, "", 1},
		"failed":    {fakeNode{run: fault.RunYes, status: 500}, "", 1},
		"not run":   {fakeNode{run: fault.RunNo, status: 503}, "", 2},
		"unknown":   {fakeNode{run: fault.RunUnknown, status: 502}, "outcome_unknown", 1},
		"truncated": {fakeNode{run: fault.RunYes, status: 200, abort: true}, "outcome_unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			log := zerolog.Nop()
			h := testProtocol().Handler(&c.node, claims.New(new(kvtest.Store)), &log)
			serve(t, h, booking)
			again := serve(t, h, booking)
			assert.Equal(t, c.secondCode, errorCode(again))
			assert.Equal(t, c.served, c.node.served)
			if c.secondCode == "" && c.served == 1 {
				assert.Equal(t, "true", again.Header().Get(headerReplayed))
				assert.Equal(t, "response 1", again.Body.String())
				assert.Equal(t, c.node.status, again.Code)
				assert.Equal(t, "key_mismatch", errorCode(serve(t, h, otherBooking)))
			}
		})
	}
}

// TestIdempotentUnkeyedOrUnauthenticatedCallsNeedNoClaim checks with an unavailable
// store that only keyed, non-idempotent calls of known callers depend on it.
func TestIdempotentUnkeyedOrUnauthenticatedCallsNeedNoClaim(t *testing.T) {
	log := zerolog.Nop()
	store := new(kvtest.Store)
	store.SetUnavailable(true)
	n := &fakeNode{run: fault.RunYes, status: 200}
	h := testProtocol().Handler(n, claims.New(store), &log)
	keyed := map[string]string{headerIdempotencyKey: "k"}
	serve(t, h, callerRequest{"GET", "/services/bookings/seats", "key-2", "", keyed})
	serve(t, h, callerRequest{"POST", "/services/bookings/seats", "key-2", "", nil})
	serve(t, h, callerRequest{"POST", "/services/bookings/seats", "wrong", "", keyed})
	assert.Equal(t, 3, n.served, "these reach the node without a claim")
	assert.Equal(t, "claim_unsettled", errorCode(serve(t, h, callerRequest{"POST", "/services/bookings/seats", "key-2", "", keyed})))
	assert.Equal(t, 3, n.served)
}

// lineChannel is an io.Writer that sends what is written to the channel.
type lineChannel chan string

func (c lineChannel) Write(p []byte) (int, error) {
	c <- string(p)
	return len(p), nil
}

// loserNode is a node during whose calls the key-value service is restored from an empty
// copy, and another request claims the key.
type loserNode struct {
	fakeNode
	store *kvtest.Store
}

func (n *loserNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	keys := slices.Collect(maps.Keys(n.store.Entries()))
	n.store.Restore(new(kvtest.Store).Copy())
	for _, key := range keys {
		_, _ = n.store.CompareAndSwap(r.Context(), key, []byte(`{"request_id":"other","era":2}`), 0, kv.LeaseID{})
	}
	n.fakeNode.ServeHTTP(w, r)
}

// Guards against an outcome that is taken for recorded, although another request has
// claimed the key since the key-value service was restored from an older copy.
func TestOutcomeOfALostClaimIsLogged(t *testing.T) {
	lines := make(lineChannel, 1)
	log := zerolog.New(lines)
	n := &loserNode{fakeNode{run: fault.RunYes, status: 200}, new(kvtest.Store)}
	h := testProtocol().Handler(n, claims.New(n.store), &log)
	w := serve(t, h, callerRequest{"POST", "/services/bookings/seats", "key-2", "", map[string]string{headerIdempotencyKey: "k"}})
	assert.Equal(t, 200, w.Code)
	select {
	case line := <-lines:
		assert.Contains(t, line, `"name":"claim_outcome_lost"`)
		assert.Contains(t, line, claims.ErrLost.Error())
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was logged")
	}
	for _, e := range n.store.Entries() {
		assert.JSONEq(t, `{"request_id":"other","era":2}`, string(e.Value))
	}
}

// cutOffNode is a node that loses the key-value service during each call that changes
// something, and refuses all others as not run.
type cutOffNode struct {
	fakeNode
	store *kvtest.Store
}

func (n *cutOffNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.run, n.status = fault.RunNo, 503
	if r.Method == http.MethodPost {
		n.store.SetUnavailable(true)
		n.run, n.status = fault.RunYes, 200
	}
	n.fakeNode.ServeHTTP(w, r)
}

// The outcome of a call that could not be recorded at once was read later from the response
// to another request, which reused the memory: a call that had run counted as not run,
// and ran again.
func TestOutcomeThatIsRecordedLaterIsThatOfItsCall(t *testing.T) {
	log := zerolog.Nop()
	n := &cutOffNode{store: new(kvtest.Store)}
	h := testProtocol().Handler(n, claims.New(n.store), &log)
	booking := callerRequest{"POST", "/services/bookings/seats", "key-2", `{"row":2}`, map[string]string{headerIdempotencyKey: "k"}}
	assert.Equal(t, "response 1", serve(t, h, booking).Body.String())
	created := n.store.Entries()
	for range 20 {
		serve(t, h, callerRequest{method: "GET", path: "/services/bookings/seats", key: "key-2"})
	}
	n.store.SetUnavailable(false)
	require.Eventually(t, func() bool { return !reflect.DeepEqual(created, n.store.Entries()) }, 10*time.Second, time.Millisecond, "an outcome is recorded")
	again := serve(t, h, booking)
	assert.Equal(t, "true", again.Header().Get(headerReplayed))
	assert.Equal(t, "response 1", again.Body.String())
}

// TestLongResponseIsRecordedTruncated checks that no more than MaxBodyBytes of a
// response are stored.
func TestLongResponseIsRecordedTruncated(t *testing.T) {
	r := &responseRecorder{ResponseWriter: httptest.NewRecorder()}
	for range 3 {
		_, err := r.Write(make([]byte, claims.MaxBodyBytes/2))
		require.NoError(t, err)
	}
	assert.Len(t, r.response().Body, claims.MaxBodyBytes)
	assert.True(t, r.response().Truncated)
}

// TestModelListHasModelsOfCallersService checks that /v1/models lists the models of
// the caller's service, and the errors for an unknown key and an unknown path.
func TestModelListHasModelsOfCallersService(t *testing.T) {
	log := zerolog.Nop()
	h := testProtocol().Handler(&fakeNode{}, claims.New(new(kvtest.Store)), &log)
	assert.Contains(t, serve(t, h, callerRequest{"GET", "/v1/models", "key-1", "", nil}).Body.String(), `"id":"m@1"`)
	assert.Equal(t, "unauthenticated", errorCode(serve(t, h, callerRequest{"GET", "/v1/models", "x", "", nil})))
	assert.Equal(t, "unknown_path", errorCode(serve(t, h, callerRequest{"GET", "/v9", "", "", nil})))
}
