package zoneowner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a next owner that counts on a peer lease that it granted long ago: it has been cut
// off from the other nodes since, and the last owner goes on until its revoked lease would have
// ended.
func TestHandoverDelayIsKeptByANodeThatWasCutOff(t *testing.T) {
	for wait := 100 * time.Millisecond; wait < time.Second; wait += 100 * time.Millisecond {
		runCluster(t, func(_ context.Context, c *cluster) {
			owner := c.ownerIndex()
			next, third := (owner+1)%testNodes, (owner+2)%testNodes
			c.isolate(next, true)
			time.Sleep(5 * time.Second)
			c.mu.Lock()
			c.storePartitioned[next], c.storePartitioned[owner], c.storePartitioned[third] = false, true, true
			c.mu.Unlock()
			time.Sleep(wait)
			c.store.revokeAllLeases()
			time.Sleep(10 * time.Second)
			assert.Equal(t, next, c.ownerIndex(), "the node that reaches the key-value service takes the zone")
		})
	}
}
