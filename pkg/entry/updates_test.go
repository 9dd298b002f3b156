package entry

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/kv"
	"almondturn/pkg/zoneowner"
)

// ownerEntry returns the entry of a zone's owner that registered in an era, at a revision.
func ownerEntry(t *testing.T, zone fleet.Zone, node fleet.NodeID, registered kv.Era, revision kv.Revision) kv.Entry {
	t.Helper()
	value, err := json.Marshal(zoneowner.OwnerRecord{Node: node, Addr: "127.0.0.1:1", Incarnation: string(node), Era: registered})
	require.NoError(t, err)
	return kv.Entry{Key: zoneowner.OwnerKey(zone), Value: value, ModRevision: revision}
}

// Guards against a node that turns to an earlier owner of a zone, because the service came
// back with its key.
func TestInheritedKeyDoesNotReplaceALaterOwner(t *testing.T) {
	const zone = "y"
	n, _ := newIdleNode(t)
	ownerOf := func(entries ...kv.Entry) fleet.NodeID {
		n.replaceOwners(entries, 0)
		link, _ := n.links.ownerLink(zone)
		return link.owner.Node
	}
	assert.EqualValues(t, "later", ownerOf(ownerEntry(t, zone, "later", 1, kv.Revision(150).InEra(1))))
	assert.EqualValues(t, "later", ownerOf(ownerEntry(t, zone, "earlier", 1, kv.Revision(100).InEra(2))))
	assert.EqualValues(t, "later", ownerOf(), "the key is missing")
	assert.EqualValues(t, "earlier", ownerOf(ownerEntry(t, zone, "earlier", 2, kv.Revision(101).InEra(2))))
}
