package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/standin/weights"
	"almondturn/pkg/target"
)

var tea = fleet.ReplicaKey{Service: "listing", Model: "tea", Version: "1"}

func quick(t *testing.T, fencing bool) (*Engine, string) {
	t.Helper()
	o := DefaultOptions("t1")
	o.ChecksFencing = fencing
	o.Prefill, o.TokenInterval, o.StateLag = 0, 0, 0
	o.LoadDisk, o.LoadRemote, o.LoadMemory, o.LoadAdapter = 0, 0, 0, 0
	e := New(o, weights.New(weights.Options{LoadsPerSecond: 1000, FullSpeedLoads: 4}), nil)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() { e.Close(); srv.Close() })
	return e, srv.URL
}

func order(t *testing.T, url string, o target.Order) target.OrderResult {
	t.Helper()
	body, err := json.Marshal(o)
	require.NoError(t, err)
	resp, err := http.Post(url+target.PathOrders, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	var res target.OrderResult
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&res))
	return res
}

func TestFencingRefusesOldOrders(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e, url := quick(t, fencing)
		res := order(t, url, target.Order{Kind: target.OrderFence, Epoch: 2, Sequence: 1})
		require.Equal(t, target.OrderDone, res.Status)
		res = order(t, url, target.Order{Kind: target.OrderLoad, Key: tea, MemoryBytes: 1, Epoch: 1, Sequence: 9})
		if fencing {
			assert.Equal(t, target.OrderStale, res.Status)
			res = order(t, url, target.Order{Kind: target.OrderLoad, Key: tea, MemoryBytes: 1, Epoch: 2, Sequence: 2, Incarnation: "other"})
			assert.Equal(t, target.OrderStale, res.Status)
		} else {
			assert.Equal(t, target.OrderDone, res.Status)
		}
		e.Restart()
		assert.Empty(t, e.State().Replicas)
	}
}

func completion(t *testing.T, url, id, resume string, key fleet.ReplicaKey) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"stream":true,"max_tokens":5}`))
	require.NoError(t, err)
	req.Header.Set(target.HeaderRequestID, id)
	req.Header.Set(target.HeaderReplica, key.String())
	req.Header.Set(target.HeaderResume, resume)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func TestStreamCanBeResumedWithoutRunningTwice(t *testing.T) {
	e, url := quick(t, true)
	resp := completion(t, url, "r0", "", tea)
	require.Equal(t, http.StatusConflict, resp.StatusCode)
	require.Equal(t, "no", resp.Header.Get(target.HeaderRun))

	order(t, url, target.Order{Kind: target.OrderLoad, Key: tea, MemoryBytes: 1, Epoch: 1, Sequence: 1})
	e.SetFaults(Faults{CutStreams: 1, CutAfter: 2})
	first, err := io.ReadAll(completion(t, url, "r1", "", tea).Body)
	require.Error(t, err, "the stream is cut")
	require.Equal(t, 2, strings.Count(string(first), "data: "))
	rest, err := io.ReadAll(completion(t, url, "r1", "2", tea).Body)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(rest), "id: 3\n"), string(rest))
	assert.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
	assert.EqualValues(t, 1, e.State().Replicas[0].Served)
}

func TestUnloadIsRefusedWhileRequestsRun(t *testing.T) {
	e, url := quick(t, true)
	e.opts.Prefill = time.Hour
	order(t, url, target.Order{Kind: target.OrderLoad, Key: tea, MemoryBytes: 1, Epoch: 1, Sequence: 1})
	completion(t, url, "r1", "", tea)
	res := order(t, url, target.Order{Kind: target.OrderUnload, Key: tea, Epoch: 1, Sequence: 2})
	assert.Equal(t, target.OrderBusy, res.Status)
}
