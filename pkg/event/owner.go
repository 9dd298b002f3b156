package event

import "github.com/rs/zerolog"

// Events of target owners: 400 to 499.
var (
	TargetTakenOver     = register(400, "target_taken_over", zerolog.InfoLevel, "This node may now give orders to the target.")
	TargetSettled       = register(401, "target_settled", zerolog.InfoLevel, "All orders of the target's former owners are accounted for; slots can be released again.")
	TargetLost          = register(402, "target_lost", zerolog.InfoLevel, "The target has another owner; this node sends it no more orders.")
	ReplicaLoaded       = register(410, "replica_loaded", zerolog.InfoLevel, "A replica was loaded.")
	ReplicaLoadFailed   = register(411, "replica_load_failed", zerolog.WarnLevel, "The engine could not load a replica; the field detail tells why.")
	OrderOutcomeUnknown = register(412, "order_outcome_unknown", zerolog.WarnLevel, "The answer to a load was lost. Its memory and slot stay reserved until the outcome is certain; on an engine that ignores fencing numbers this can need a restart of the engine.")
	SlotReleased        = register(420, "slot_released", zerolog.InfoLevel, "A replica slot is free for another target.")
	ReplicaWithoutSlot  = register(421, "replica_without_slot", zerolog.ErrorLevel, "A replica was found loaded without a slot and is being unloaded. It appears after the key-value service lost data, or when something else gives orders to the engine.")
	EngineRestarted     = register(430, "engine_restarted", zerolog.WarnLevel, "The engine has a new incarnation; its replicas are gone.")
	BudgetUnreachable   = register(440, "budget_unreachable", zerolog.WarnLevel, "The holder of a load budget does not answer; loads go on at this node's own pace.")
)
