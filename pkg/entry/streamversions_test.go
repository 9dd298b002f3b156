package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/pkg/inventory"
	"almondturn/pkg/route"
	"almondturn/wire"
)

// versionTarget returns a target of a software version that has the model m.
func versionTarget(id, version string) *inventory.Target {
	return &inventory.Target{ID: id, Service: "s", Zone: "z", SoftwareVersion: version, Models: []inventory.LoadedModel{{Name: "m"}}}
}

// Owners granted slots at targets of other versions, and each cost the node a call.
func TestOwnersLearnWhereAStreamMayGoOn(t *testing.T) {
	n, _ := newIdleNode(t)
	n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{versionTarget("t1", "v1"), versionTarget("t2", "v2"), versionTarget("t3", "")}))
	assert.Empty(t, n.unavailableTargets(&job{service: "s"}), "a new stream")
	assert.Equal(t, []wire.UnavailableTarget{{Target: "t1"}, {Target: "t3"}}, n.unavailableTargets(&job{service: "s", version: softwareVersion{known: true, name: "v2"}}))
	assert.Equal(t, []wire.UnavailableTarget{{Target: "t1"}, {Target: "t2"}}, n.unavailableTargets(&job{service: "s", version: softwareVersion{known: true}}))
}

// A node without an owner sent a stream to any version.
func TestChoiceWithoutAnOwnerKeepsToTheVersion(t *testing.T) {
	n, _ := newIdleNode(t)
	n.targetSet.Store(inventory.NewTargetSet([]*inventory.Target{versionTarget("t1", "v1"), versionTarget("t2", "v2")}))
	j := newIdleJob()
	j.Model = "m"
	j.version = softwareVersion{known: true, name: "v2"}
	for range 4 {
		a, ok := n.chooseByLastReport(j)
		require.True(t, ok)
		assert.Equal(t, "t2", a.target.ID)
	}
}

// A stream that was taken up went to another service of its route than the one that began it.
func TestStreamThatIsTakenUpStaysAtItsService(t *testing.T) {
	r := &route.Route{Kind: route.Stream, Resumable: true, Backends: []route.Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	begun := map[string]int{}
	for i := range 20 {
		first := &job{Request: &Request{RequestInfo: RequestInfo{ID: fmt.Sprint("r", i)}, Route: r}, table: new(route.Table)}
		require.Nil(t, first.prepare())
		next := &job{Request: &Request{RequestInfo: RequestInfo{ID: fmt.Sprint("s", i), LastEventID: "3", Resumes: first.ID}, Route: r}, table: new(route.Table)}
		require.Nil(t, next.prepare())
		assert.Equal(t, first.service, next.service)
		begun[first.service]++
	}
	assert.Len(t, begun, 2)
}
