package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/claim"
	"almondturn/pkg/fault"
	"almondturn/pkg/platform"
	"almondturn/pkg/standin/engine"
	"almondturn/pkg/standin/kv"
	"almondturn/pkg/standin/plain"
	"almondturn/pkg/standin/relay"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/target"
)

// site is a few nodes before stand-in targets, all over loopback sockets
// that pass a relay.
type site struct {
	mesh    *mesh
	nodes   []*testNode
	store   *kv.Store
	dir     *fakeDirectory
	engines []*engine.Engine
	desk    *plain.Service
	relays  []*relay.Relay
	checker checker
}

// checker compares what callers were told with what targets ran.
type checker struct {
	mu      sync.Mutex
	starts  map[string]int
	answers []told
}

// told is what one caller was told.
type told struct {
	request *Request
	sink    *testSink
	err     error
}

// Record implements engine.Recorder.
func (c *checker) Record(r engine.Record) {
	if r.Kind != engine.RecordStart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[r.RequestID]++
}

func (c *checker) tell(r *Request, s *testSink, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, told{r, s, err})
}

// violations returns every answer that does not agree with the records.
func (c *checker) violations() []string {
	var out []string
	runsOfKey := map[string]int{}
	for _, a := range c.answers {
		runs := c.starts[a.request.ID]
		if a.request.IdempotencyKey != "" {
			runsOfKey[a.request.IdempotencyKey] += runs
		}
		if !a.request.Idempotent && runs > 1 {
			out = append(out, fmt.Sprintf("%s must not be repeated and ran %d times", a.request.ID, runs))
		}
		switch {
		case a.err == nil:
			if why := incomplete(a); why != "" {
				out = append(out, fmt.Sprintf("%s: answer %q %s", a.request.ID, a.sink.body, why))
			}
		case fault.KindOf(a.err) == fault.Internal:
			out = append(out, fmt.Sprintf("%s: %v", a.request.ID, a.err))
		case fault.KindOf(a.err).Answer().Run == fault.RunNo && runs > 0:
			out = append(out, fmt.Sprintf("%s ran %d times and was told %v", a.request.ID, runs, a.err))
		}
	}
	for key, runs := range runsOfKey {
		if runs > 1 {
			out = append(out, fmt.Sprintf("key %s ran %d times", key, runs))
		}
	}
	return out
}

// outcomes counts the answers by code, models and plain services apart.
func (c *checker) outcomes() map[string]int {
	out := map[string]int{}
	for _, a := range c.answers {
		code := "model ok"
		if a.err != nil {
			code = "model " + fault.KindOf(a.err).String()
		}
		if a.request.Replica.Key.Model == "" {
			code = "plain " + strings.TrimPrefix(code, "model ")
		}
		out[code]++
	}
	return out
}

// incomplete tells what is wrong with an answer that was told to be whole.
func incomplete(a told) string {
	body := string(a.sink.body)
	replayed := a.sink.header.Get(HeaderReplayed) != ""
	if a.request.Replica.Key.Model == "" {
		if !replayed && !strings.Contains(body, a.request.ID) {
			return "is not the caller's own"
		}
		return ""
	}
	for i := 1; i <= tokens; i++ {
		if strings.Count(body, fmt.Sprintf("%s:%d ", a.request.ID, i)) != 1 {
			return fmt.Sprintf("has not token %d once", i)
		}
	}
	if a.request.Stream && !strings.HasSuffix(body, "data: [DONE]\n\n") {
		return "has no end"
	}
	return ""
}

// deadAfter is when claims of a node that is out of sight are given up.
const deadAfter = 50 * time.Millisecond

// tokens is the length of each answer of an engine.
const tokens = 12

func newSite(t *testing.T, zones ...fleet.Zone) *site {
	s := &site{mesh: newMesh(), store: kv.New(platform.SystemClock{}), dir: newFakeDirectory()}
	s.checker.starts = map[string]int{}
	store := weights.New(weights.Options{LoadsPerSecond: 1e6, FullSpeedLoads: 1000})
	for i, zone := range zones {
		o := engine.DefaultOptions(fleet.TargetID(fmt.Sprintf("e%d", i)))
		o.Prefill, o.TokenInterval = time.Millisecond, time.Millisecond
		o.LoadMemory, o.LoadDisk, o.LoadRemote = 0, 0, 0
		e := engine.New(o, store, &s.checker)
		t.Cleanup(e.Close)
		c := candidate(o.Target, zone, o.MaxRunning)
		c.Target.Addr = s.expose(t, e.Handler())
		s.dir.add(c, testKey)
		s.engines = append(s.engines, e)
		s.load(t, i, 1)
	}
	s.desk = plain.New("desk", &s.checker)
	c := candidate("desk", zones[0], 16)
	c.Target.Kind, c.Target.Service, c.Target.Addr = fleet.TargetPlain, "desk", s.expose(t, s.desk.Handler())
	s.dir.add(c, fleet.ReplicaKey{Service: "desk"})
	for i, zone := range zones {
		s.addNode(t, fleet.NodeID(fmt.Sprintf("n%d", i)), zone)
	}
	return s
}

// expose serves h behind a relay and returns the relay's address.
func (s *site) expose(t *testing.T, h http.Handler) string {
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ErrorLog = nil
	srv.Start()
	r, err := relay.New(srv.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	s.relays = append(s.relays, r)
	return r.Addr()
}

func (s *site) load(t *testing.T, i int, sequence uint64) {
	order := fmt.Sprintf(`{"kind":"load","key":{"service":%q,"model":%q},"memory_bytes":1,"epoch":1,"sequence":%d,"incarnation":%q}`,
		testKey.Service, testKey.Model, sequence, s.engines[i].State().Incarnation)
	rec := httptest.NewRecorder()
	s.engines[i].Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, target.PathOrders, strings.NewReader(order)))
	require.Contains(t, rec.Body.String(), `"done"`)
}

func (s *site) addNode(t *testing.T, id fleet.NodeID, zone fleet.Zone) {
	so := target.DefaultStreamOptions()
	so.SilenceTimeout = 40 * time.Millisecond
	streams := target.NewStreams(so, platform.SystemClock{}, zerolog.Nop())
	t.Cleanup(streams.Close)
	claims := &claimsOf{}
	n := s.mesh.start(t, id, zone, testOptions(), s.dir, streams, claims)
	co := claim.DefaultOptions()
	co.OutcomeDelay = 0
	co.OutcomeTimeout = time.Second
	co.DeadAfter = deadAfter
	claim.NewWriter(co, platform.SystemClock{}, zerolog.Nop(), s.store, n.View).Register(n.router)
	claims.Client = claim.NewClient(co, platform.SystemClock{}, zerolog.Nop(), n, n.View)
	t.Cleanup(func() { _ = claims.Close(context.Background()) })
	s.nodes = append(s.nodes, n)
}

// claimsOf breaks the cycle between a node and its claim client.
type claimsOf struct{ *claim.Client }

func (s *site) send(n *testNode, r *Request) error {
	sink := &testSink{}
	err := n.Do(context.Background(), r, sink)
	s.checker.tell(r, sink, err)
	return err
}

func completionRequest(stream bool) *Request {
	r := modelRequest(testTimeout)
	r.Stream = stream
	r.Body = fmt.Appendf(nil, `{"stream":%v,"max_tokens":%d}`, stream, tokens)
	return r
}

func bookingRequest(key string) *Request {
	r := modelRequest(time.Second) // the longest wait for a silent booking
	r.Replica.Key = fleet.ReplicaKey{}
	r.Service, r.Path, r.Idempotent, r.IdempotencyKey = "desk", "/seats", false, key
	r.Body = []byte(`{"seat":7}`)
	return r
}

// book sends a booking with a key through one node after another for as
// long as the answers allow it.
func (s *site) book(key string, first int) {
	for i := range 4 {
		err := s.send(s.nodes[(first+i)%len(s.nodes)], bookingRequest(key))
		if err == nil || !fault.KindOf(err).Answer().Retry {
			return
		}
	}
}

// disturb switches one fault on.
func (s *site) disturb(t *testing.T, rnd *rand.Rand, step int) {
	i := rnd.IntN(len(s.engines))
	switch rnd.IntN(8) {
	case 0:
		s.engines[i].SetFaults(engine.Faults{CutStreams: 3, CutAfter: rnd.IntN(tokens)})
	case 1:
		s.engines[i].SetFaults(engine.Faults{WrongID: 2})
	case 2:
		s.relays[rnd.IntN(len(s.relays))].Silence()
	case 3:
		s.relays[rnd.IntN(len(s.relays))].Cut()
	case 4:
		s.engines[i].Restart()
		s.load(t, i, uint64(step+2))
	case 5:
		s.desk.SetFaults(plain.Faults{LoseAnswers: 2})
	case 6:
		s.desk.SetFaults(plain.Faults{FailCalls: 1, Delay: time.Millisecond})
	case 7:
		s.store.SetFaults(kv.Faults{LoseAnswers: 2, Down: rnd.IntN(3) == 0})
	}
}

// TestCallersAreToldTheTruth sends streams, completions and bookings
// through all nodes while targets, connections and the key-value service
// fail, and compares what callers were told with what the targets ran.
func TestCallersAreToldTheTruth(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := newSite(t, "a", "a", "b")
			rnd := rand.New(rand.NewPCG(seed, 1))
			var wg sync.WaitGroup
			for i := range 240 {
				if i%6 == 5 {
					s.disturb(t, rnd, i)
					time.Sleep(2 * time.Millisecond) // lets requests meet the fault
				}
				n := rnd.IntN(len(s.nodes))
				switch i % 4 {
				case 0, 1:
					wg.Go(func() { _ = s.send(s.nodes[n], completionRequest(i%4 == 0)) })
				case 2:
					wg.Go(func() { _ = s.send(s.nodes[n], bookingRequest("")) })
				case 3: // three callers race on one key
					key := fmt.Sprintf("key-%d", i/12)
					wg.Go(func() { s.book(key, n) })
				}
			}
			wg.Wait()
			s.store.SetFaults(kv.Faults{})
			outcomes := s.checker.outcomes()
			t.Log(outcomes)
			require.Greater(t, outcomes["model ok"], 60, "most of the 120 requests to the model survive")
			require.Empty(t, s.checker.violations())
		})
	}
}

// TestNodeKilledHoldingAClaim: the request may have been sent, so that no
// other node sends it, and the caller is told so.
func TestNodeKilledHoldingAClaim(t *testing.T) {
	s := newSite(t, "a", "a", "a")
	_, err := s.nodes[0].claims.Begin(context.Background(), claimRequest(bookingRequest("k1")))
	require.NoError(t, err)
	s.mesh.mu.Lock()
	s.mesh.dead[s.nodes[0].self.ID] = true
	s.mesh.mu.Unlock()
	requireKind(t, fault.KeyInProgress, s.send(s.nodes[1], bookingRequest("k1")))
	require.Eventually(t, func() bool {
		return fault.KindOf(s.send(s.nodes[1], bookingRequest("k1"))) == fault.OutcomeUnknown
	}, testTimeout, deadAfter/2)
	require.Zero(t, s.desk.Booked())
}

// TestCallerThatLeavesBeforeSendingFreesItsKey: nothing was sent, so that
// the same key may be used again.
func TestCallerThatLeavesBeforeSendingFreesItsKey(t *testing.T) {
	s := newSite(t, "a")
	gone, cancel := context.WithCancel(context.Background())
	r := completionRequest(false)
	r.Replica.Key.Model, r.IdempotencyKey = "cold", "k1"
	s.nodes[0].loader.load = func(ctx context.Context, _ fleet.ReplicaKey) (fleet.TargetID, error) {
		cancel()
		<-ctx.Done()
		return "", ctx.Err()
	}
	requireKind(t, fault.CallerGone, s.nodes[0].Do(gone, r, &testSink{}))
	again := claimRequest(r)
	again.RequestID = "another"
	outcome, err := s.nodes[0].claims.Begin(context.Background(), again)
	require.NoError(t, err)
	require.Nil(t, outcome)
}
