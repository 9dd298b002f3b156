package upstream

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendID sends a request with the identifier and reads its response.
func sendID(t *testing.T, p *Pool, addr, id string) {
	resp, err := p.Do(t.Context(), addr, &Request{Method: http.MethodPost, Path: "/x", Host: "h", ID: id, MaxIdle: time.Minute})
	require.NoError(t, err)
	defer resp.Close()
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
}

// manyResponses returns a script of n responses.
func manyResponses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = okResponse
	}
	return out
}

// A connection carried a request with the identifier of one that it had carried before, whose
// response came once more and was taken for the second one's.
func TestConnectionCarriesNoIdentifierTwice(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, manyResponses(9)...)
	for _, step := range []struct {
		id     string
		dialed uint64
		passed uint64
	}{
		{"a", 1, 0},
		{"b", 1, 0},
		{"", 1, 0},
		{"", 1, 0},
		{"a", 2, 1}, // the second connection is the one used last
		{"b", 2, 1},
		{"c", 2, 1},
		{"a", 3, 3},
		{"c", 3, 3},
		{"c", 3, 5}, // the first connection is taken from below the others
		{"d", 3, 5},
	} {
		sendID(t, p, addr, step.id)
		assert.Equal(t, step.dialed, p.Dialed.Load(), "connections after %q", step.id)
		assert.Equal(t, step.passed, p.PassedOver.Load(), "passed over after %q", step.id)
	}
	assert.Len(t, p.idle[addr], 3, "those that were passed over are kept")
}

// A request that was withheld after its connection was chosen is not remembered.
func TestWithheldRequestIsNotCarried(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, _ := startScriptedTarget(t, manyResponses(2)...)
	_, err := p.Do(t.Context(), addr, &Request{
		Method: http.MethodPost, Path: "/x", Host: "h", ID: "a", MaxIdle: time.Minute,
		BeforeSend: func() error { return io.ErrClosedPipe },
	})
	require.ErrorIs(t, err, io.ErrClosedPipe)
	sendID(t, p, addr, "a")
	assert.EqualValues(t, 1, p.Dialed.Load())
}

// What a connection remembers is bounded: after maxCarriedIDs requests it is closed. Calls
// without an identifier don't count.
func TestConnectionIsKeptForABoundedNumberOfIdentifiers(t *testing.T) {
	p := NewPool(NewDialer(time.Second).DialContext)
	addr, requests := startScriptedTarget(t, manyResponses(maxCarriedIDs+2)...)
	sendID(t, p, addr, "")
	for i := range maxCarriedIDs {
		sendID(t, p, addr, fmt.Sprint(i))
	}
	assert.EqualValues(t, 1, p.Dialed.Load())
	assert.Empty(t, p.idle[addr])
	sendID(t, p, addr, "another")
	assert.EqualValues(t, 2, p.Dialed.Load())
	assert.EqualValues(t, maxCarriedIDs+2, requests.Load())
}

// BenchmarkGet takes a connection that has carried as many requests as one may, and returns it.
func BenchmarkGet(b *testing.B) {
	p := NewPool(nil)
	c := &conn{idleTimeout: time.Hour, idleSince: time.Now()}
	for i := range maxCarriedIDs {
		c.carried.add(hashID(fmt.Sprint(i)))
	}
	p.store("a", c)
	b.ReportAllocs()
	for b.Loop() {
		p.store("a", p.popIdle("a", time.Hour, hashID("another")))
	}
}
