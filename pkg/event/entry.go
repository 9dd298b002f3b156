package event

import "github.com/rs/zerolog"

// Events of the entry nodes, numbers 700 to 799. The order of the lines has no effect:
// Catalogue sorts the events by number. Words in the names:
//   - store: the key-value service
//   - place: a slot
//   - gone: removed or disconnected
//   - borrowed: copied from a peer
//   - restored: brought back from an older copy
//   - surveyed: queried by a node itself, because no owner of the zone could be reached
//   - to take a zone: to acquire it
var (
	EntryStarted       = register(700, "entry_started", zerolog.InfoLevel, "The entry node is listening; the fields clients and inner hold its addresses.")
	EntryStopping      = register(701, "entry_stopping", zerolog.InfoLevel, "The entry node was asked to stop; it accepts clients until the load balancer has noticed, then no new ones.")
	EntryStopped       = register(702, "entry_stopped", zerolog.InfoLevel, "The entry node has stopped; the field cut is the number of requests that were still in progress.")
	EntryReady         = register(703, "entry_ready", zerolog.InfoLevel, "The configuration and the list of targets are loaded; the node accepts clients.")
	EntryReloaded      = register(704, "entry_reloaded", zerolog.InfoLevel, "The settings file was reloaded.")
	MetricsUnavailable = register(706, "metrics_unavailable", zerolog.WarnLevel, "The node could not listen on the address for metrics; metrics are still served at the readiness and inner addresses.")
	SettingsUnreadable = register(705, "settings_unreadable", zerolog.ErrorLevel, "The settings file could not be reloaded; the previous settings stay in force.")

	ConfigurationInForce = register(710, "configuration_in_force", zerolog.InfoLevel, "A version of the configuration came into force on this node.")
	ConfigurationInvalid = register(711, "configuration_invalid", zerolog.ErrorLevel, "A new configuration is invalid; the previous one stays in force.")
	ConfigurationKept    = register(708, "configuration_kept", zerolog.WarnLevel, "The key-value service came back with an older version of the configuration (stored_version); the newer one, which had been confirmed, stays in force until the operators write it again or write a newer one.")
	TargetEntryInvalid   = register(712, "target_entry_invalid", zerolog.WarnLevel, "An entry in the list of targets is invalid and is ignored. A key is logged once in ten minutes, and at most twenty keys per minute; the field suppressed is the number of lines that were left out before this one.")
	TargetsKept          = register(709, "targets_kept", zerolog.WarnLevel, "The key-value service came back with an older list of targets. The node keeps what it knows of targets whose entries are older, of absent ones for some seconds, and of removed ones that are listed again, until they register again.")
	TargetStarted        = register(713, "target_started", zerolog.InfoLevel, "A new target, or a new incarnation of a known target, is listed.")
	TargetDraining       = register(714, "target_draining", zerolog.InfoLevel, "A target is being removed; it receives no new requests.")
	TargetGone           = register(715, "target_gone", zerolog.InfoLevel, "A target is no longer listed.")
	StoreLost            = register(716, "store_lost", zerolog.WarnLevel, "The key-value service does not respond to a watch; the node continues with the last state that it received.")
	StoreRegained        = register(717, "store_regained", zerolog.InfoLevel, "The key-value service responds to a watch again.")

	ChangesSource   = register(751, "changes_source", zerolog.InfoLevel, "The node reads the changes below a prefix from the owner of its availability zone (from_owner) or, for the reason in error, from the key-value service itself. age_ms is the age of its copy: the time since the service is known to have had no other changes.")
	StoreRestored   = register(707, "store_restored", zerolog.WarnLevel, "The key-value service came back from an older copy: what was written since the copy is gone until it is written again. The fields hold the era before and now, and the version of the configuration in force with the era and revision that it was read at.")
	StoreBorrowed   = register(719, "store_borrowed", zerolog.WarnLevel, "The node has started while the key-value service does not respond, and uses the state copied from a peer.")
	TargetsSurveyed = register(718, "targets_surveyed", zerolog.WarnLevel, "No owner of an availability zone could be reached for several seconds; the node has queried the targets of its own zone directly for the models that they have loaded.")

	ZoneTaken        = register(720, "zone_taken", zerolog.InfoLevel, "This node is the owner of its availability zone; the field orders_after_ms is the time until it may order targets to load models.")
	ZoneLost         = register(721, "zone_lost", zerolog.WarnLevel, "This node no longer owns its availability zone; the field reason holds the cause.")
	ZoneOwnerChanged = register(722, "zone_owner_changed", zerolog.InfoLevel, "The owner of an availability zone has changed to another node.")
	ZoneTakeFailed   = register(723, "zone_take_failed", zerolog.WarnLevel, "This node tried to become the owner of its availability zone and failed.")
	LeaseRenewFailed = register(724, "lease_renew_failed", zerolog.WarnLevel, "The lease of the availability zone could not be renewed; the owner continues to send orders until the lease expires, and after that while all nodes of the zone grant it a peer lease.")
	OwnerConnected   = register(725, "owner_connected", zerolog.InfoLevel, "A connection to the owner of an availability zone was established.")
	OwnerLost        = register(726, "owner_lost", zerolog.WarnLevel, "The connection to the owner of an availability zone was closed or lost.")
	OrderSent        = register(727, "order_sent", zerolog.InfoLevel, "A target was ordered to load or unload a model or adapter; the field result holds its response.")
	ReportFailed     = register(728, "report_failed", zerolog.WarnLevel, "A target did not report its state.")
	PlaceGranted     = register(729, "place_granted", zerolog.InfoLevel, "The owner of an availability zone granted a request a slot at a target.")
	PlaceRefused     = register(730, "place_refused", zerolog.InfoLevel, "The owner of an availability zone refused a request a slot; the field reason holds the cause.")

	RequestServed      = register(740, "request_served", zerolog.InfoLevel, "The response to a request was sent to the client; the field status is the HTTP status of the target.")
	RequestRefused     = register(741, "request_refused", zerolog.WarnLevel, "A request was refused and was not run.")
	RequestBroken      = register(742, "request_broken", zerolog.WarnLevel, "A request failed after it was sent to a target, or the response was truncated; the field not_retried says why it was not sent again, cut_by who ended the answer, in_force the version of the configuration then, in_force_ms its age, and digest, if its outcome is unknown, what it has in common with its repetitions (method, host, path, model, prompt and body).")
	RequestGone        = register(743, "request_gone", zerolog.InfoLevel, "The client disconnected before the end of the request or of the response; if the field cut_by is node, the node has ended the connection.")
	RequestRetried     = register(744, "request_retried", zerolog.InfoLevel, "A request is retried at another target; the field cause holds the reason, and digest, if the outcome is unknown, is that of request_broken.")
	BudgetExhausted    = register(745, "retry_budget_exhausted", zerolog.WarnLevel, "A request is not retried, because the retry budget of its service is exhausted.")
	RequestHedged      = register(756, "request_hedged", zerolog.InfoLevel, "A request that may be repeated was sent to a second target, because the first one had not answered after after_ms; second_won says whose response was forwarded. The setting hedge.ratio allows it.")
	StreamSilent       = register(747, "stream_silent", zerolog.InfoLevel, "A stream that may be resumed has had no event for silent_ms; its target is probed, and a slot at another one may be sought while it goes on. attempts_left is the number of attempts that the route still allows.")
	StreamGivenUp      = register(748, "stream_given_up", zerolog.InfoLevel, "The attempt of a silent stream was ended, and the stream is continued at the target next: that one has sent the next event (next_sent), or probes have shown that nothing more arrives in the attempt, or that the target hangs. evidence is what the probe showed: unknown, working, connection_lost, run_missing, gone, unreachable or hung (probes in succession were not answered).")
	StreamNotContinued = register(749, "stream_not_continued", zerolog.InfoLevel, "A silent stream goes on at its target, for the reason named: the probe (evidence, as for stream_given_up) does not show that it has failed, no slot or no retry was secured, or the target next refused the stream, failed, or had sent next_sent when its time was over.")
	StreamResumed      = register(752, "stream_resumed", zerolog.InfoLevel, "A stream goes on at a target, after the event with the identifier after. by is client if a client takes up the stream whose first event the request resumes brought, node if the node continues its own response. version is the software version of the target. A stream goes on only at the version that began it, which the node that takes it up has from source: its memory, an owner of a zone, the key-value service (store), or because it is the only one that has served lately, as the owners of all zones say or a check of the list of targets.")
	VersionAppeared    = register(753, "version_appeared", zerolog.InfoLevel, "A software version of a service that had no targets lately has some now. versions are those with targets now or as long ago as a stream may be taken up. While there are several, the streams that begin are written to the key-value service.")
	VersionsStored     = register(754, "versions_stored", zerolog.InfoLevel, "The owner of an availability zone has written to the key-value service which software versions have served lately.")
	StreamsNotStored   = register(755, "streams_not_stored", zerolog.WarnLevel, "The software versions of streams that began could not be written to the key-value service. They are written again until it succeeds; streams whose node ends before that can't be taken up while several versions serve.")
	QuotaExceeded      = register(757, "quota_exceeded", zerolog.WarnLevel, "A request was rejected and not run, because its customer has used up its quota, or no owner of a zone could be asked (fields asked and reached are numbers of owners). tokens is what it would have counted.")
	RequestPanicked    = register(750, "request_panicked", zerolog.ErrorLevel, "The node failed while it served a request, whose client got no answer: a fault of the node. The field cause holds the reason.")
	ClientLimited      = register(758, "client_limited", zerolog.WarnLevel, "A client was refused, or its connection was closed, at a limit of the node, which the field limit names: body_memory (bodies of requests hold too much memory), body_stalled (a body has stood still or taken too long), head_bytes, head_time, head_memory, connections, address_connections, slow_reader (a response was ended whose client does not read). At most twenty lines are written a minute; suppressed is the number of lines that were left out before this one.")
	LogDropped         = register(746, "log_dropped", zerolog.WarnLevel, "Log lines were dropped, those of successful requests first, because the log output was not read fast enough; the field lines is their number.")
)
