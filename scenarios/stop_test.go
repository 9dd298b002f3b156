package scenarios

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/pkg/fault"
)

// The body of a call with an idempotency key was incomplete when its node stopped: the
// node did not count the call, and closed its connection without a response.
func TestStopRespondsToKeyedCallWhoseBodyIsIncomplete(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	options := deploymentOptions{zones: 1, nodesPerZone: 1, enginesPerZone: 1, plainPerZone: 1}
	d, err := startDeployment(options)
	require.NoError(t, err)
	defer d.Stop()
	require.NoError(t, d.serveExampleTeams(ctx, options))
	node := d.Nodes()[0]
	c, err := net.Dial("tcp", node.CallersAddr())
	require.NoError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, err = fmt.Fprintf(c, "POST /services/bookings/seats HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k1\r\nContent-Length: 100\r\n\r\n{", examples.DevBookingsKey)
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond) // the head is read
	go d.StopNode(node.ID())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Equal(t, string(fault.RunNo), resp.Header.Get(fault.HeaderRun))
	assert.Contains(t, string(body), "shutting_down")
}
