package event

import "github.com/rs/zerolog"

// Events of the mesh between nodes, of membership and of the directory: 200 to 299.
var (
	MeshConnected       = register(200, "mesh_connected", zerolog.InfoLevel, "A connection to another node was established.")
	MeshDisconnected    = register(201, "mesh_disconnected", zerolog.WarnLevel, "The last connection to another node has ended; it is dialled again.")
	MeshReplaced        = register(202, "mesh_replaced", zerolog.WarnLevel, "A silent connection was replaced by a fresh one; something between the two nodes has lost track of it.")
	MeshHandshakeFailed = register(203, "mesh_handshake_failed", zerolog.WarnLevel, "A connection to the inner listener failed authentication or speaks another protocol version; check the shared secret.")
	MeshEncodeFailed    = register(204, "mesh_encode_failed", zerolog.ErrorLevel, "A message could not be encoded or exceeds the size limit and was not sent.")
	MeshSeedMismatch    = register(205, "mesh_seed_mismatch", zerolog.WarnLevel, "A configured peer address leads to a node that has another address in its own settings.")

	RosterChanged    = register(220, "roster_changed", zerolog.InfoLevel, "The zone's roster has a new epoch; the owners of targets follow from it.")
	RosterEvicting   = register(221, "roster_evicting", zerolog.WarnLevel, "Members that are silent are being removed from the zone's roster.")
	RosterWriteLost  = register(222, "roster_write_lost", zerolog.WarnLevel, "The answer to a change of the roster was lost; the record is read back.")
	RosterNotMember  = register(223, "roster_not_member", zerolog.WarnLevel, "This node is not in the roster in force: it serves callers and queues requests, but owns no target.")
	PlatformLost     = register(230, "platform_lost", zerolog.WarnLevel, "The key-value service does not answer; the rosters in force stay in force.")
	PlatformBack     = register(231, "platform_back", zerolog.InfoLevel, "The key-value service answers again.")
	PlatformOlder    = register(232, "platform_older", zerolog.ErrorLevel, "The key-value service came back older than known. Nothing is written to it until an operator acknowledges the loss.")
	PlatformAccepted = register(233, "platform_older_acknowledged", zerolog.WarnLevel, "An operator acknowledged that the key-value service lost data; its state is followed again.")
	VMListFailed     = register(240, "vm_list_failed", zerolog.WarnLevel, "The platform's list of VMs could not be read; the last one stays in force.")
	TargetLeaving    = register(250, "target_leaving", zerolog.InfoLevel, "A target takes no new work; the field source tells who said so first.")
	TargetObserved   = register(252, "target_observed", zerolog.WarnLevel, "The target's owner is gone and the roster cannot change: this node reads the target's state, so that what is loaded stays in use. Nothing is loaded or unloaded there until the roster changes.")
	TargetReturned   = register(251, "target_returned", zerolog.InfoLevel, "An operator took the drain of a target back.")
)
