package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/catalog"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/fault"
)

// fakeDispatcher writes parts, then returns err.
type fakeDispatcher struct {
	parts []string
	err   error
	got   *dispatch.Request
	empty bool // the settings are not loaded
}

func (f *fakeDispatcher) Do(_ context.Context, r *dispatch.Request, s dispatch.Sink) error {
	f.got = r
	if len(f.parts) > 0 {
		s.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"close"}})
	}
	for _, p := range f.parts {
		if err := s.Write([]byte(p)); err != nil {
			return err
		}
	}
	return f.err
}

func testCatalog() *catalog.Store {
	var s catalog.Store
	s.Swap(catalog.Build([]*catalog.TeamSpec{{
		Team: "tea",
		Callers: []catalog.CallerSpec{
			{Name: "web", KeyHash: catalog.HashKey("key-1"), Service: "listing"},
			{Name: "desk", KeyHash: catalog.HashKey("key-2"), Service: "bookings"},
		},
		Services: []catalog.ServiceSpec{
			{Name: "listing", Kind: fleet.TargetEngine, Class: catalog.ClassStandard, Models: []catalog.ModelSpec{{Name: "m", Version: "1", MemoryBytes: 1, MaxReplicas: 1}}},
			{Name: "bookings", Kind: fleet.TargetPlain, Calls: []catalog.CallRule{{Method: "GET", PathPrefix: "/", Idempotent: true}}},
		},
	}}, nil))
	return &s
}

type call struct {
	method, path, key, body string
	header                  map[string]string
}

func do(t *testing.T, f *fakeDispatcher, c call) *httptest.ResponseRecorder {
	t.Helper()
	o := DefaultOptions()
	o.MaxBodyBytes = 1024
	g := New(o, testCatalog(), f, func() error { return nil }, func() bool { return !f.empty }, zerolog.Nop())
	req := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, req)
	return w
}

func TestBadInputIsRefusedAndNotRun(t *testing.T) {
	const chat = "/v1/chat/completions"
	for name, tc := range map[string]struct {
		call call
		want fault.Kind
		text string
	}{
		"no key":        {call{"POST", chat, "", `{"model":"m"}`, nil}, fault.Unauthenticated, "Authorization"},
		"unknown key":   {call{"POST", chat, "other", `{"model":"m"}`, nil}, fault.Unauthenticated, "not known"},
		"broken body":   {call{"POST", chat, "key-1", `{"model`, nil}, fault.BadRequest, "JSON"},
		"no model":      {call{"POST", chat, "key-1", `{}`, nil}, fault.BadRequest, "model"},
		"unknown model": {call{"POST", chat, "key-1", `{"model":"x"}`, nil}, fault.UnknownModel, "m@1"},
		"large body":    {call{"POST", chat, "key-1", `{"model":"m","x":"` + strings.Repeat("y", 2000) + `"}`, nil}, fault.BodyTooLarge, "1024"},
		"late":          {call{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerTimeout: "0"}}, fault.DeadlineExceeded, "passed"},
		"bad timeout":   {call{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerTimeout: "soon"}}, fault.BadRequest, "milliseconds"},
		"bad class":     {call{"POST", chat, "key-1", `{"model":"m"}`, map[string]string{headerClass: "vip"}}, fault.BadRequest, "interactive"},
		"other service": {call{"GET", "/services/bookings/seats", "key-1", "", nil}, fault.NotAllowed, "bookings"},
		"not plain":     {call{"GET", "/services/listing/seats", "key-1", "", nil}, fault.UnknownService, "listing"},
		"dotted path":   {call{"GET", "/services/bookings/lookups/..%2Fseats", "key-2", "", nil}, fault.BadRequest, "parts"},
		"unknown path":  {call{"GET", "/v2/x", "key-1", "", nil}, fault.UnknownPath, "/v2/x"},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeDispatcher{}
			w := do(t, f, tc.call)
			a := tc.want.Answer()
			assert.Equal(t, a.Status, w.Code)
			assert.Equal(t, "no", w.Header().Get(fault.HeaderRun))
			assert.Contains(t, w.Body.String(), a.Code)
			assert.Contains(t, w.Body.String(), tc.text)
			assert.Nil(t, f.got, "nothing was dispatched")
		})
	}
}

func TestClassIsNeverRaisedByTheCaller(t *testing.T) {
	f := &fakeDispatcher{parts: []string{"x"}}
	do(t, f, call{"POST", "/v1/completions", "key-1", `{"model":"m"}`, map[string]string{headerClass: "interactive"}})
	assert.Equal(t, catalog.ClassStandard, f.got.Class)
	do(t, f, call{"POST", "/v1/completions", "key-1", `{"model":"m"}`, map[string]string{headerClass: "batch"}})
	assert.Equal(t, catalog.ClassBatch, f.got.Class)
}

func TestBrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	f := &fakeDispatcher{parts: []string{"id: 1\ndata: a\n\n"}, err: fault.New(fault.StreamBroken, "the target was lost")}
	w := do(t, f, call{"POST", "/v1/chat/completions", "key-1", `{"model":"m","stream":true}`, nil})
	assert.Contains(t, w.Body.String(), "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"")
	assert.Empty(t, w.Header().Get("Connection"))
	assert.Equal(t, f.got.ID, w.Header().Get(fault.HeaderRequestID))
}

func TestBrokenWholeAnswerCutsTheConnection(t *testing.T) {
	f := &fakeDispatcher{parts: []string{"half"}, err: fault.New(fault.StreamBroken, "the target was lost")}
	require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() {
		do(t, f, call{"POST", "/v1/completions", "key-1", `{"model":"m"}`, nil})
	})
}

func TestPlainCallsFollowTheCallRules(t *testing.T) {
	f := &fakeDispatcher{parts: []string{"{}"}}
	do(t, f, call{"POST", "/services/bookings/seats?row=2", "key-2", "{}", map[string]string{headerIdempotencyKey: "k1"}})
	assert.False(t, f.got.Idempotent)
	assert.Equal(t, "/seats?row=2", f.got.Path)
	assert.Equal(t, "k1", f.got.IdempotencyKey)
	do(t, f, call{"GET", "/services/bookings/seats", "key-2", "", nil})
	assert.True(t, f.got.Idempotent)
	do(t, f, call{"GET", "/services/bookings/a%3Fb%25/?x=1", "key-2", "", nil})
	assert.Equal(t, "/a%3Fb%25/?x=1", f.got.Path, "the target gets the path that the rules were applied to")
}

func TestKeyIsNotJudgedBeforeTheSettingsAreLoaded(t *testing.T) {
	f := &fakeDispatcher{empty: true}
	w := do(t, f, call{"POST", "/v1/completions", "new-key", `{"model":"m"}`, nil})
	assert.Equal(t, fault.NotReady.Answer().Status, w.Code)
	assert.Contains(t, w.Body.String(), "not_ready")
}

// endlessDispatcher writes until the caller cannot be written to.
type endlessDispatcher struct{ ended chan error }

func (d *endlessDispatcher) Do(_ context.Context, _ *dispatch.Request, s dispatch.Sink) error {
	s.Start(http.StatusOK, http.Header{})
	chunk := make([]byte, 1<<20)
	for {
		if err := s.Write(chunk); err != nil {
			d.ended <- err
			return err
		}
	}
}

// TestCallerThatTakesNothingEndsWithItsDeadline: the caller keeps its
// connection open and reads nothing.
func TestCallerThatTakesNothingEndsWithItsDeadline(t *testing.T) {
	d := &endlessDispatcher{ended: make(chan error, 1)}
	g := New(DefaultOptions(), testCatalog(), d, func() error { return nil }, func() bool { return true }, zerolog.Nop())
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /services/bookings/seats HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-2\r\nAlmondturn-Timeout-Ms: 50\r\n\r\n")
	require.NoError(t, err)
	require.ErrorIs(t, <-d.ended, os.ErrDeadlineExceeded)
}
