package entry

import (
	"almondturn/pkg/event"
	"almondturn/pkg/kv"
	"almondturn/wire"
)

// storeRestored records that the key-value service came back from an older copy, and
// announces it to the connected nodes, whose watches may wait in vain. It is called
// once per era, by the call whose response showed the era.
func (n *Node) storeRestored(previous, current kv.Era) {
	inForce := kv.Revision(0)
	version := int64(0)
	if t := n.table.Load(); t != nil {
		inForce, version = t.Revision, t.Version
	}
	n.metrics.countStoreRestore()
	event.StoreRestored.Log(n.log).Uint64("previous_era", uint64(previous)).Uint64("era", uint64(current)).Int64("version", version).
		Uint64("in_force_era", uint64(inForce.Era())).Uint64("in_force_revision", inForce.Counter()).Send()
	n.links.announceEra(current)
}

// announceEra sends an era to all connected nodes.
func (l *links) announceEra(era kv.Era) {
	m := &wire.StoreEra{Era: uint64(era)}
	for _, c := range l.peerConns() {
		c.Send(m) // a node that misses it sees the era in the response to its next call
	}
}

// introduceEra sends the era that this node has seen, if any, on a new connection.
func (l *links) introduceEra(c *wire.Conn) {
	if era := l.node.store.Era(); era != 0 {
		c.Send(&wire.StoreEra{Era: uint64(era)})
	}
}
