/*
 * Models the token leases of one availability zone for one customer: pkg/quota
 * (accounts.go, leases.go, charge.go) and pkg/zoneowner/quotas.go.
 *
 * Owners follow each other. The authority of one ends before that of the next
 * begins, which zones.pml checks; an owner that was suspended or cut off may still
 * be asked after that. An owner grants tokens from a bucket that begins empty. Nodes
 * hold leased tokens, spend them, or return them; a return may arrive late, or at
 * the next owner, which ignores it. All nodes together are one node: their tokens are alike. A node
 * that is killed loses its tokens, which is the same as not spending them.
 * Time advances in ticks.
 *
 * Checked: the tokens spent in WINDOW ticks are at most DEPTH + RATE * (TERM + WINDOW).
 *
 * Mutants (spec/check runs all):
 *   START_FULL       the bucket of a new owner is full
 *   IGNORE_AUTHORITY an owner grants tokens after its authority has ended
 *   NO_EXPIRY        a node spends tokens after the end of their lease
 *   NO_LEVEL_BOUND   the level is not bounded by the leases that have not expired
 *   FORMER_RETURN    an owner accepts tokens that a former owner has granted
 *   LATE_RETURN      an owner accepts tokens that are returned after the end of their lease
 */
#ifndef END
#define END 8			/* ticks after which the model ends */
#endif
#define RATE 1			/* tokens that accrue in a tick */
#ifndef DEPTH
#define DEPTH 1			/* depth of the bucket */
#endif
#define TERM 2			/* ticks until a lease ends */
#define WINDOW 2		/* ticks of a window */
#define ALLOWED (DEPTH + RATE * (TERM + WINDOW))

byte now;

/* The owner that has authority, and the one before, which may not know that its own
 * has ended. */
byte level, formerLevel;
bit authority;			/* whether there is an owner with authority */
/* Tokens that the owner has granted, by tick, less the returned ones. */
byte granted[END + 1];

/* Tokens of the nodes, and those on their way back, by the tick of their grant. */
byte held[END + 1];
byte returning[END + 1];
/* Tokens of the nodes that a former owner has granted. */
byte heldOfFormer[END + 1];
byte spent[END + 1];

/* Whether a lease of tick g has not ended. */
#define VALID(g) (now < g + TERM)

inline boundLevel() {
#ifndef NO_LEVEL_BOUND
	sum = 0;
	for (i : 0 .. END) {
		if
		:: VALID(i) -> sum = sum + granted[i]
		:: else
		fi
	}
	if
	:: level + sum > DEPTH + RATE * TERM && sum < DEPTH + RATE * TERM ->
		level = DEPTH + RATE * TERM - sum
	:: level + sum > DEPTH + RATE * TERM && sum >= DEPTH + RATE * TERM ->
		level = 0
	:: else
	fi
#else
	skip
#endif
}

/* Removes a token from the oldest grants of the owner whose leases have not ended. */
inline ungrant() {
	found = 0;
	for (i : 0 .. END) {
		if
		:: !found && VALID(i) && granted[i] > 0 -> granted[i]--; found = 1
		:: else
		fi
	}
}

inline checkWindow() {
	sum = 0;
	for (i : 0 .. END) {
		if
		:: i <= now && i + WINDOW > now -> sum = sum + spent[i]
		:: else
		fi
	}
	assert(sum <= ALLOWED)
}

active proctype zone() {
	byte i, g, sum;
	bit found;
	do
	/* The owner grants a token. */
	:: atomic { authority && level > 0 ->
		level--; granted[now]++; held[now]++ }
#ifdef IGNORE_AUTHORITY
	:: atomic { formerLevel > 0 -> formerLevel--; held[now]++ }
#endif
	/* A node spends a token, or returns one. */
	:: atomic { select(g : 0 .. END);
		if
#ifdef NO_EXPIRY
		:: held[g] > 0 ->
#else
		:: held[g] > 0 && VALID(g) ->
#endif
			if
			:: held[g]--; spent[now]++; checkWindow()
			:: held[g]--; returning[g]++
			fi
		:: heldOfFormer[g] > 0 && VALID(g) -> heldOfFormer[g]--; spent[now]++; checkWindow()
		:: else
		fi; sum = 0; found = 0; g = 0; i = 0 }
	/* A return arrives. */
	:: atomic { select(g : 0 .. END);
		if
		:: returning[g] > 0 ->
			returning[g]--;
			if
#ifdef LATE_RETURN
			:: authority ->
#else
			:: authority && VALID(g) ->
#endif
				ungrant();
				if
				:: found && level < DEPTH -> level++; boundLevel()
				:: else
				fi
			:: else
			fi
		:: else
		fi; sum = 0; found = 0; g = 0; i = 0 }
	/* The authority ends, and that of the next owner begins. */
	:: atomic { authority -> authority = 0; formerLevel = level; level = 0 }
	:: atomic { !authority ->
		authority = 1;
#ifdef START_FULL
		level = DEPTH;
#endif
		for (i : 0 .. END) {
			granted[i] = 0;
#ifndef FORMER_RETURN
			heldOfFormer[i] = heldOfFormer[i] + held[i]; held[i] = 0;
			returning[i] = 0
#endif
		}
		i = 0 }
	/* A tick. What has ended is forgotten, to have fewer states. */
	:: atomic { now < END ->
		now++;
		if
		:: authority && level < DEPTH -> level = level + RATE
		:: else
		fi;
#ifdef IGNORE_AUTHORITY
		if
		:: formerLevel < DEPTH && !authority -> formerLevel = formerLevel + RATE
		:: else
		fi;
#endif
		for (i : 0 .. END) {
			if
			:: i <= now && !VALID(i) -> granted[i] = 0;
#ifndef NO_EXPIRY
				held[i] = 0;
#endif
				heldOfFormer[i] = 0;
#ifndef LATE_RETURN
				returning[i] = 0
#endif
			:: else
			fi;
			if
			:: i + WINDOW <= now -> spent[i] = 0
			:: else
			fi
		}
		if
		:: authority -> boundLevel()
		:: else
		fi;
		sum = 0; i = 0 }
	:: now == END -> break
	od
}
