package event

import "github.com/rs/zerolog"

// Events of the catalog and of the operators' listener: 300 to 399.
var (
	CatalogReady         = register(300, "catalog_ready", zerolog.InfoLevel, "The node has loaded the operators' settings and may serve.")
	CatalogInForce       = register(301, "catalog_in_force", zerolog.InfoLevel, "A new revision of a team's subtree is in force on this node.")
	CatalogPlatformOlder = register(302, "catalog_platform_older", zerolog.ErrorLevel, "The key-value service holds an older subtree than the one in force. It is not followed. Find out whether the service was restored from a backup, then run `almondturnctl restore TEAM`.")
	CatalogForked        = register(303, "catalog_forked", zerolog.ErrorLevel, "A subtree arrived that does not descend from the one in force, because the key-value service lost changes. It is not followed. Compare both with `almondturnctl diff`, then run `almondturnctl restore TEAM`.")
	CatalogUnreadable    = register(304, "catalog_unreadable", zerolog.ErrorLevel, "A subtree could not be decoded or lacks a part; the former revision stays in force.")
	CatalogWatchEnded    = register(305, "catalog_watch_ended", zerolog.WarnLevel, "The watch of the key-value service ended; it is opened again after a list.")
	CatalogWatchMissed   = register(306, "catalog_watch_missed", zerolog.WarnLevel, "A list found a change that the watch had not told; the watch is opened again.")
	CatalogPeerForked    = register(307, "catalog_peer_forked", zerolog.ErrorLevel, "Another node has a subtree in force that does not descend from this node's, after the key-value service lost changes. Compare both with `almondturnctl get`, run `almondturnctl restore TEAM` at a node that has the right one, then restart the nodes that have the other.")
	CatalogAccepted      = register(310, "catalog_accepted", zerolog.InfoLevel, "A change of a team's subtree was accepted through this node.")
	CatalogRefused       = register(311, "catalog_refused", zerolog.WarnLevel, "A change of a team's subtree was refused; the fields tell why.")
	AdminDenied          = register(320, "admin_denied", zerolog.WarnLevel, "A request to the operators' listener had no valid token, or one of another team.")
	AdminDrain           = register(321, "admin_drain", zerolog.InfoLevel, "An operator drained a target or took a drain back.")
	AdminAcknowledged    = register(322, "admin_acknowledged", zerolog.WarnLevel, "An operator acknowledged that the key-value service came back older; its present state is followed again.")
)
