package entry

import (
	"maps"

	"almondturn/pkg/kv"
)

// observeRestoredConfiguration calls OnRestore of the Deps if entries of the configuration
// were listed in a later era than those in force, once for each configuration in force. It
// must be called before the listed entries are considered.
func (n *Node) observeRestoredConfiguration(listed []kv.Entry, era kv.Era) {
	if n.onRestore == nil {
		return
	}
	held, ok := n.configurationInForce.get()
	if !ok || len(held) == 0 {
		return
	}
	revision := latestRevision(maps.Values(held))
	if era <= revision.Era() || era == n.restoredEra && revision == n.restoredFrom {
		return
	}
	n.restoredEra, n.restoredFrom = era, revision
	go n.onRestore(n.ctx, held, entriesByKey(listed))
}
