package entry

import (
	"maps"

	"almondturn/pkg/kv"
)

// observeRestoredConfiguration calls OnRestore of the Deps if the entries of the
// configuration listed in an era are the first of a later one than those in force. It must
// be called before they are considered.
func (n *Node) observeRestoredConfiguration(listed []kv.Entry, era kv.Era) {
	if n.onRestore == nil {
		return
	}
	held, ok := n.configurationInForce.get()
	if !ok || len(held) == 0 {
		return
	}
	if era <= max(latestRevision(maps.Values(held)).Era(), n.restoredEra) {
		return
	}
	n.restoredEra = era
	go n.onRestore(n.ctx, held, entriesByKey(listed))
}
