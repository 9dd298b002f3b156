/*
 * Replica slots and target owners. Stands for pkg/placement/slots.go (Bind,
 * MarkReleasing, Remove) and pkg/owner (machine.go, takeover.go, slotop.go,
 * release.go, orders.go).
 *
 * One target of a zone with two nodes that may own it, and one target of
 * another zone that competes for the slots of key 0. Nodes may stop between
 * any two steps, which models a pause; answers of compare-and-swaps and of
 * orders may be lost; an abandoned load may reach the engine later; the
 * engine may restart; the limit may be lowered; a node may die.
 *
 * Checked: loaded replicas have a slot, slots stay within the limit of the
 * record, a lowered limit stays lowered, memory is not overcommitted.
 *
 * -DFENCING      the engine checks fencing numbers
 * -DKEYS=n       replica keys, each of which takes one unit of memory
 * -DCAPACITY=n   memory units of the engine
 * -DOTHER        the target of the other zone takes part
 * -DDEATH        node 0 may die
 * -DREBORN       node 0 may start anew, from an old view of the roster
 * -DRESTART      the engine may restart once
 * -DLOWER        the limit may be lowered once
 * Mutants, which have to be caught: -DFENCING_OFF -DSKIP_ROSTER
 * -DSKIP_SETTLE -DFORGET_FLOATING -DSKIP_CONFIRM -DSKIP_RESERVATION
 * -DSKIP_BIND_ROSTER -DSTALE_LIMIT -DSKIP_SETTLE_SYNC -DFORGET_AMBIGUOUS
 * -DPRESENCE_CLEARS -DPRESENCE_UNSETTLED -DFLOAT_OLD_START
 * -DSKIP_TAKEOVER_ROSTER
 */
#ifndef KEYS
#define KEYS 1
#endif
#ifndef CAPACITY
#define CAPACITY KEYS
#endif
#ifndef ROSTERS
#define ROSTERS 2
#endif
#ifndef OPERATIONS
#define OPERATIONS 3
#endif

#ifndef LIMIT
#define LIMIT 1
#endif

#define NONE 0
#define BOUND 1
#define RELEASING 2
#define AT(n, k) ((n) * KEYS + (k))

/* Key-value service. */
byte phase[KEYS];
byte mark[KEYS];
byte rev[KEYS];
bit otherSlot;
byte recordLimit = LIMIT;
byte catalogLimit = LIMIT;
byte epoch = 1;
byte holder = 0;

/* Engines. */
bit loaded[KEYS];
bit otherLoaded;
byte fence;
byte inc = 1;

/* Nodes 0 and 1. */
bit own[2];
bit fenced[2];
bit listed[2];
bit ready[2];
bit reborn;
bit answered[2];
bit settled[2];
bit busy[2];
bit dead[2];
byte my[2];
byte givenUp[2];
byte limit[2] = LIMIT;
byte seenInc[2];
byte view[2 * KEYS];
bit usable[2 * KEYS];
bit present[2 * KEYS];
bit floating[2 * KEYS];
bit ambiguous[2 * KEYS];
byte floatInc[2 * KEYS];

/* Loads that were abandoned by their sender and may still arrive. */
bit late[2 * KEYS];
byte lateEpoch[2 * KEYS];
byte lateInc[2 * KEYS];

#define SLOTS0 ((phase[0] != NONE) + otherSlot)

#if KEYS == 1
#define LOADED_UNITS (loaded[0])
#else
#define LOADED_UNITS (loaded[0] + loaded[1])
#endif

#ifdef FENCING
#ifdef FENCING_OFF
#define ENGINE_CHECKS false
#else
#define ENGINE_CHECKS true
#endif
#define OWNER_FENCES true
#else
#define ENGINE_CHECKS false
#define OWNER_FENCES false
#endif

#define REFUSED(e, i) (ENGINE_CHECKS && ((e) < fence || (i) != inc))

/* Memory units that are or may become taken, besides key x. */
#ifdef SKIP_RESERVATION
#define HELD(n, k) (present[AT(n, k)])
#else
#define HELD(n, k) (present[AT(n, k)] || floating[AT(n, k)] || (!settled[n] && !OWNER_FENCES && view[AT(n, k)] != NONE))
#endif
#if KEYS == 1
#define OTHERS_HELD(n, x) 0
#else
#define OTHERS_HELD(n, x) HELD(n, 1 - (x))
#endif

/* Slots stay within the limit once the lowered limit is in the record and
 * the surplus is gone. */
bit lowered;
#define CHECK_LIMIT \
	if :: recordLimit == 1 && SLOTS0 <= 1 -> lowered = 1 :: else fi; \
	assert(!lowered || (SLOTS0 <= 1 && recordLimit == 1 && loaded[0] + otherLoaded <= 1))

/* What a release has to know before it removes the slot. */
#ifdef SKIP_CONFIRM
#define GONE(n, k) true
#else
#define GONE(n, k) (!present[AT(n, k)])
#endif
#ifdef SKIP_SETTLE
#define ABSENT(n, k) (GONE(n, k) && !floating[AT(n, k)])
#else
#define ABSENT(n, k) (GONE(n, k) && !floating[AT(n, k)] && settled[n])
#endif

/* A load is known by its effect only while no later owner can exist. */
#ifdef PRESENCE_CLEARS
#define CONFIRMED(n) true
#else
#define CONFIRMED(n) (epoch == my[n])
#endif

#ifdef PRESENCE_UNSETTLED
#define UNSETTLED(n) false
#else
#define UNSETTLED(n) (!settled[n])
#endif

/* An abandoned load went to the engine's current start, or to an earlier one. */
#ifdef FLOAT_OLD_START
#define FLOAT_INC(i) i
#else
#define FLOAT_INC(i) inc
#endif

/* Mutants of the hand-over between owners. */
#ifdef FORGET_AMBIGUOUS
#define HAND_OVER(n, k) ambiguous[AT(n, k)] = 0
#else
#define HAND_OVER(n, k) ambiguous[AT(n, k)] = 1
#endif
#ifdef SKIP_SETTLE_SYNC
#define SETTLED(n) settled[n] = 1
#else
#define SETTLED(n) skip
#endif

/* A takeover ends with a look at the roster. */
#ifdef SKIP_TAKEOVER_ROSTER
#define TAKEOVER_ROSTER(n) true
#else
#define TAKEOVER_ROSTER(n) (epoch == my[n])
#endif

/* The orders of a process that has ended have arrived or are gone. */
#ifdef REBORN
#define LIFETIME(n) (!reborn || n == 0 || !late[0])
#else
#define LIFETIME(n) true
#endif

/* What a load needs. */
#ifdef SKIP_BIND_ROSTER
#define MAY_LOAD(n, k) (view[AT(n, k)] == BOUND)
#else
#define MAY_LOAD(n, k) (view[AT(n, k)] == BOUND && usable[AT(n, k)])
#endif

/* The engine executes a load. */
inline accept(k, e) {
	loaded[k] = 1;
	if :: ENGINE_CHECKS && e > fence -> fence = e :: else fi;
	assert(phase[k] != NONE);
	CHECK_LIMIT;
	assert(LOADED_UNITS <= CAPACITY)
}

/* The engine accepts a fence order: earlier orders are refused from now on. */
inline synchronise(n, k) {
	if
	:: ENGINE_CHECKS && fence > my[n] -> own[n] = 0
	:: else ->
		if :: ENGINE_CHECKS -> fence = my[n] :: else fi;
		k = 0;
		do
		:: k < KEYS ->
			if
			:: ENGINE_CHECKS ->
				if :: late[AT(n, k)] && lateEpoch[AT(n, k)] <= my[n] -> late[AT(n, k)] = 0; lateEpoch[AT(n, k)] = 0; lateInc[AT(n, k)] = 0 :: else fi
			:: else
			fi;
			present[AT(n, k)] = loaded[k];
			if
			:: floating[AT(n, k)] && (floatInc[AT(n, k)] != inc || OWNER_FENCES || (loaded[k] && !ambiguous[AT(n, k)] && settled[n] && CONFIRMED(n))) ->
				floating[AT(n, k)] = 0; ambiguous[AT(n, k)] = 0; floatInc[AT(n, k)] = 0
			:: else
			fi;
			k++
		:: else -> break
		od;
		k = 0;
		seenInc[n] = inc;
		fenced[n] = 1
	fi
}

inline readSlots(n, k) {
	k = 0;
	do
	:: k < KEYS ->
		view[AT(n, k)] = phase[k];
		usable[AT(n, k)] = (phase[k] == BOUND);
		k++
	:: else -> break
	od;
	k = 0
}

inline float(n, k, i) {
#ifdef FORGET_FLOATING
	skip
#else
	ambiguous[AT(n, k)] = ambiguous[AT(n, k)] || floating[AT(n, k)] || UNSETTLED(n);
	floating[AT(n, k)] = 1;
	floatInc[AT(n, k)] = FLOAT_INC(i)
#endif
}

#define MINE(n, e) (own[n] && my[n] == (e) && !dead[n])

proctype Node(byte n) {
	byte k, e, r, count, i;
	byte operations = 0;
	bit done;
end:
	do
	:: atomic { !dead[n] && !own[n] && holder == n && epoch > my[n] && epoch >= givenUp[n] ->
		own[n] = 1; my[n] = epoch; fenced[n] = 0; listed[n] = 0; ready[n] = 0; settled[n] = (epoch == 1); answered[n] = (epoch == 1);
		present[AT(n, 0)] = 0; view[AT(n, 0)] = 0; usable[AT(n, 0)] = 0;
#if KEYS > 1
		present[AT(n, 1)] = 0; view[AT(n, 1)] = 0; usable[AT(n, 1)] = 0;
#endif
		seenInc[n] = 0 }
#ifdef REBORN
	/* A new process of node 0 starts from an old view of the roster. */
	:: atomic { n == 0 && reborn && !own[n] && my[n] == 0 && givenUp[n] <= 1 ->
		own[n] = 1; my[n] = 1; fenced[n] = 0; listed[n] = 0; ready[n] = 0; settled[n] = 0; answered[n] = 0; seenInc[n] = 0;
		present[AT(n, 0)] = 0; view[AT(n, 0)] = 0; usable[AT(n, 0)] = 0 }
#endif
	:: atomic { own[n] && epoch != my[n] -> own[n] = 0 }
	:: atomic { own[n] && !dead[n] && (!fenced[n] || seenInc[n] != inc) -> synchronise(n, k) }
	:: atomic { own[n] && !dead[n] && fenced[n] && !listed[n] -> readSlots(n, k); listed[n] = 1 }
	:: atomic { own[n] && !dead[n] && listed[n] && !ready[n] && TAKEOVER_ROSTER(n) -> ready[n] = 1 }
	:: atomic { own[n] && !dead[n] && ready[n] -> synchronise(n, k) }
	:: atomic { own[n] && !dead[n] && ready[n] && !answered[n] && !dead[1 - n] && !busy[1 - n] && my[1 - n] < my[n] && LIFETIME(n) ->
		/* The other node gives the target up and names its floating loads. */
		givenUp[1 - n] = my[n]; own[1 - n] = 0; answered[n] = 1;
		k = 0;
		do
		:: k < KEYS ->
			if :: floating[AT(1 - n, k)] -> float(n, k, inc); HAND_OVER(n, k) :: else fi;
			k++
		:: else -> break
		od;
		k = 0; SETTLED(n) }
	:: atomic { own[n] && !dead[n] && ready[n] && !answered[n] && dead[1 - n] && !late[AT(1 - n, 0)] && (KEYS == 1 || !late[AT(1 - n, KEYS - 1)]) ->
		answered[n] = 1; SETTLED(n) }
	:: atomic { own[n] && !dead[n] && answered[n] && !settled[n] ->
		/* What the former owner did last shows in the engine and the slots. */
		synchronise(n, k);
		readSlots(n, k);
		settled[n] = own[n] }
	:: atomic { !dead[n] && limit[n] > catalogLimit -> limit[n] = catalogLimit }

	/* Bind a slot. */
	:: atomic { MINE(n, my[n]) && ready[n] && operations < OPERATIONS ->
		operations++; e = my[n];
		if :: k = 0 :: KEYS > 1 -> k = KEYS - 1 fi }
bindRead:
		atomic { 
			done = (phase[k] == BOUND); r = rev[k];
#ifndef STALE_LIMIT
			count = (limit[n] <= recordLimit -> limit[n] : 0)
#else
			count = limit[n]
#endif
		}
		if
		:: atomic { !done && phase[k] == NONE && (k > 0 || SLOTS0 < count) -> skip }
		:: atomic { !done && phase[k] == RELEASING && count > 0 -> skip }
		:: atomic { done -> goto bindWritten }
		:: atomic { else -> goto bindEnd }
		fi;
		/* The write may take effect long after it was decided. */
		atomic {
			if
			:: rev[k] == r ->
				phase[k] = BOUND; mark[k] = 0; rev[k]++;
				if :: k == 0 -> recordLimit = count; CHECK_LIMIT :: else fi;
				done = 1
			:: else
			fi }
		if
		:: atomic { MINE(n, e) && done -> view[AT(n, k)] = BOUND; usable[AT(n, k)] = 0 }
		:: atomic { MINE(n, e) -> goto bindRead } /* conflict or answer lost */
		:: atomic { !MINE(n, e) -> goto bindEnd }
		fi;
bindWritten:
		if
		:: atomic { MINE(n, e) && OWNER_FENCES -> view[AT(n, k)] = BOUND; usable[AT(n, k)] = 1 }
		:: atomic { MINE(n, e) && !OWNER_FENCES && epoch == e -> view[AT(n, k)] = BOUND; usable[AT(n, k)] = 1 }
		:: atomic { MINE(n, e) && !OWNER_FENCES && epoch != e -> own[n] = 0 }
		:: atomic { MINE(n, e) && !OWNER_FENCES -> skip } /* the read failed */
		:: atomic { !MINE(n, e) -> skip }
		fi;
bindEnd:	atomic { k = 0; e = 0; r = 0; count = 0; done = 0 }

	/* Load a replica. */
	:: atomic { MINE(n, my[n]) && ready[n] && operations < OPERATIONS && seenInc[n] != 0 ->
		if :: k = 0 :: KEYS > 1 -> k = KEYS - 1 fi;
		if
		:: MAY_LOAD(n, k) && !present[AT(n, k)] && !late[AT(n, k)] && OTHERS_HELD(n, k) < CAPACITY ->
			operations++; busy[n] = 1; e = my[n]; i = seenInc[n];
			if :: floating[AT(n, k)] -> ambiguous[AT(n, k)] = 1 :: else fi
		:: else -> k = 0; goto again
		fi }
		if
		:: atomic { dead[n] -> skip }
		:: atomic { !dead[n] && REFUSED(e, i) -> if :: e < fence -> own[n] = 0 :: else fi }
		:: atomic { !dead[n] && !REFUSED(e, i) -> accept(k, e); present[AT(n, k)] = 1 }
		:: atomic { !dead[n] && !REFUSED(e, i) -> accept(k, e); float(n, k, i) }
		:: atomic { !dead[n] -> late[AT(n, k)] = 1; lateEpoch[AT(n, k)] = e; lateInc[AT(n, k)] = i; float(n, k, i) }
		fi;
		atomic { busy[n] = 0; k = 0; e = 0; i = 0 }

	/* Release a slot. */
	:: atomic { MINE(n, my[n]) && ready[n] && operations < OPERATIONS ->
		if :: k = 0 :: KEYS > 1 -> k = KEYS - 1 fi;
		if
		:: view[AT(n, k)] != NONE -> operations++; e = my[n]; view[AT(n, k)] = RELEASING; usable[AT(n, k)] = 0
		:: else -> k = 0; goto again
		fi;
		r = rev[k]; done = (phase[k] != NONE) }
		if
		:: atomic { !done -> if :: MINE(n, e) -> view[AT(n, k)] = NONE :: else fi; goto releaseEnd }
		:: atomic { done -> 
			if
			:: rev[k] == r -> phase[k] = RELEASING; mark[k] = n + 1; rev[k]++
			:: else
			fi }
		fi;
		/* The answer, or the record read again after a lost one. */
		if
		:: atomic { MINE(n, e) && phase[k] == RELEASING && mark[k] == n + 1 -> skip }
		:: atomic { MINE(n, e) && !(phase[k] == RELEASING && mark[k] == n + 1) -> view[AT(n, k)] = phase[k]; goto releaseEnd }
		:: atomic { !MINE(n, e) -> goto releaseEnd }
		fi;
#ifndef SKIP_ROSTER
		if
		:: atomic { MINE(n, e) && epoch == e -> skip }
		:: atomic { MINE(n, e) && epoch != e -> own[n] = 0; goto releaseEnd }
		:: atomic { !MINE(n, e) -> goto releaseEnd }
		fi;
#endif
		if
		:: atomic { MINE(n, e) && !(ENGINE_CHECKS && e < fence) && seenInc[n] == inc -> loaded[k] = 0 }
		:: atomic { MINE(n, e) -> skip } /* nothing loaded, or the order was lost */
		:: atomic { !MINE(n, e) -> goto releaseEnd }
		fi;
		if
		:: atomic { MINE(n, e) ->
			synchronise(n, i); i = 0;
			done = own[n] && ABSENT(n, k) }
		:: atomic { !MINE(n, e) -> goto releaseEnd }
		fi;
		if
		:: atomic { done && MINE(n, e) && phase[k] == RELEASING && mark[k] == n + 1 -> r = rev[k] }
		:: else -> goto releaseEnd
		fi;
		atomic {
			if
			:: rev[k] == r ->
				phase[k] = NONE; mark[k] = 0; rev[k]++;
				assert(!loaded[k]);
				if :: MINE(n, e) -> view[AT(n, k)] = NONE :: else fi
			:: else
			fi };
releaseEnd:	atomic { k = 0; e = 0; r = 0; i = 0; done = 0 }
again:		skip
	od
}

/* Late orders, restarts, roster changes, lowered limits, death. */
proctype World() {
	byte k, changes = 0;
end:
	do
	:: atomic { late[0] -> k = 0; goto deliver }
	:: atomic { late[1] -> k = 1; goto deliver }
#if KEYS > 1
	:: atomic { late[2] -> k = 2; goto deliver }
	:: atomic { late[3] -> k = 3; goto deliver }
#endif
	:: atomic { changes < ROSTERS -> changes++; epoch++; holder = 1 - holder }
#ifdef RESTART
	:: atomic { inc == 1 -> inc = 2; fence = 0;
		loaded[0] = 0;
#if KEYS > 1
		loaded[1] = 0; late[2] = 0; late[3] = 0;
#endif
		/* Connections to the former process have broken. */
		late[0] = 0; late[1] = 0 }
#endif
#ifdef LOWER
	:: atomic { catalogLimit == 2 -> catalogLimit = 1 }
#endif
#ifdef REBORN
	:: atomic { !reborn && epoch == 2 && Node[1]@end -> reborn = 1;
		own[0] = 0; my[0] = 0; givenUp[0] = 0; listed[0] = 0; ready[0] = 0; settled[0] = 0; answered[0] = 0;
		floating[0] = 0; ambiguous[0] = 0; floatInc[0] = 0 }
#endif
#ifdef DEATH
	:: atomic { !dead[0] && !dead[1] -> dead[0] = 1; own[0] = 0; busy[0] = 0 }
#endif
	od;
deliver:
	atomic {
		late[k] = 0;
		if
		:: REFUSED(lateEpoch[k], lateInc[k]) -> skip
		:: else -> accept((k % KEYS), lateEpoch[k])
		fi;
		lateEpoch[k] = 0; lateInc[k] = 0; k = 0;
		goto end }
}

#ifdef OTHER
/* The owner of the target in the other zone. */
proctype Other() {
	byte r, known = LIMIT, turns = 0;
end:
	do
	:: atomic { known > catalogLimit -> known = catalogLimit }
	:: atomic { !otherSlot && turns < 2 && known <= recordLimit && SLOTS0 < known -> turns++; r = rev[0] }
		atomic { if :: rev[0] == r -> otherSlot = 1; rev[0]++; recordLimit = known; CHECK_LIMIT :: else fi; r = 0 }
	:: atomic { otherSlot && !otherLoaded && SLOTS0 <= known -> otherLoaded = 1; CHECK_LIMIT }
	:: atomic { otherLoaded -> otherLoaded = 0 }
	:: atomic { otherSlot && !otherLoaded -> otherSlot = 0; rev[0]++ }
	od
}
#endif

init {
	atomic {
		run Node(0); run Node(1); run World();
#ifdef OTHER
		run Other()
#endif
	}
}
