/*
 * Models the ownership of an availability zone while the key-value service is
 * restored from an older copy: pkg/zoneowner. zones.pml models it without restores.
 *
 * Two nodes become the owner in turn, as in zones.pml. The service is copied at some
 * time and comes back from the copy at a later one, once. Its era rises by one, and
 * its counter of changes counts the same numbers again. The lease of a copied key is
 * back with its full time, or gone. Leases of the former era count as expired.
 *
 * Each owner writes its fencing token into its records: the era and the service's
 * counter. A record whose token is of a former era is inherited: it was copied, and
 * other nodes may have been the owner after the copy.
 *  - A node that acquires the zone keeps the full delay if the record of the last owner
 *    is inherited, or missing in an era after the first. It respects the peer lease
 *    that it has granted, unless the key names it in the current era.
 *  - An owner that sees a new era registers again, also over an inherited key, unless a
 *    record with a higher token names another node. It keeps the full delay if its
 *    authority had a gap since its last confirmed lease.
 *  - A node grants peer leases by the record of the last owner with the highest token
 *    that it knows. An inherited record that it did not know before is no proof: the
 *    record of a later owner may have been lost.
 *
 * Times are counted down in ticks without an end; MAX_COUNTER limits the number of
 * acquisitions in an era. A node that is partitioned or suspended takes no step.
 *
 * Checked: orders of two nodes are at least HANDOVER_DELAY ticks apart, and the tokens of
 * the orders never fall. With LEASE_TIME 3 that holds only with NO_REVOCATION: see
 * docs/design/specifications.md.
 *
 * Mutants (spec/check runs all except STALE_OWN_KEY and OVERWRITE_NEWER, with which the
 * property still holds for two nodes):
 *   TRUST_INHERITED_RECORD  the delay is computed from an inherited record
 *   TRUST_MISSING_RECORD    no delay if the record is missing in a later era
 *   GRANT_BY_INHERITED      a node grants peer leases by an inherited record
 *   REVISION_ONLY           tokens are ordered by the counter, without the era
 *   RESUME_AFTER_GAP        an owner whose authority had a gap registers again in a new
 *                           era and keeps no delay
 *   ACQUIRE_ACROSS_ERAS     a node acquires the zone although the record that it has
 *                           read is of a former era
 *   STALE_OWN_KEY           a node acquires the zone if an inherited key names it, in
 *                           spite of the peer lease that it has granted
 *   OVERWRITE_NEWER         an owner registers again in a new era although an inherited
 *                           record with a higher token names another node
 */
#ifndef MAX_COUNTER
#define MAX_COUNTER 3
#endif
#ifndef LEASE_TIME
#define LEASE_TIME 2		/* ticks until the lease of the key expires */
#endif
#define PEER_LEASE_TIME LEASE_TIME
#define LEASE_MARGIN 1		/* ticks by which an owner trusts leases for less than their time */
#define HANDOVER_DELAY 2	/* ticks between the orders of two owners */
#define FULL_DELAY (HANDOVER_DELAY + LEASE_TIME)
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
#endif

#define NOBODY 2
#define PEER(self) (1 - (self))

#define TOKEN(era, counter) ((era) * 16 + (counter))
#define ERA(token) ((token) / 16)
#ifdef REVISION_ONLY
#define ORDER(token) ((token) % 16)
#else
#define ORDER(token) (token)
#endif

/* The service. */
byte era = 1;
byte counter;
byte keyOwner = NOBODY, keyToken, keyLease;	/* keyLease: ticks until the lease expires */
byte lastOwner = NOBODY, lastToken;
bit handoverPending;

/* The copy of the service's state. */
bit copied;
byte copyCounter;
byte copyKeyOwner = NOBODY, copyKeyToken;
byte copyLastOwner = NOBODY, copyLastToken;
bit copyHandoverPending;

bit isOwner[2];
byte token[2];
byte trustedLease[2];		/* ticks for which the owner still trusts its lease */
byte trustedPeerLease[2];	/* ticks for which the owner still trusts the peer lease of the other node */
byte delay[2];			/* ticks until the owner may send its first order */
bit gap[2];			/* the owner had no authority at some time since its last confirmed lease */
byte peerLease[2];		/* ticks for which the node must not acquire the zone */
bit grantedLately[2];		/* a peer lease of the node for the other one is valid, or ended in this tick */
byte knownOwner[2];		/* the record of the last owner that the node knows */
byte knownToken[2];
byte readEra[2];		/* era in which the node that acquires the zone has read the record; 0 for none */
byte readOwner[2], readToken[2];
bit readPending[2];

/* The last order that a target has received. */
byte lastOrderSender = NOBODY, lastOrderToken, ticksSinceOrder;

#define HAS_AUTHORITY(self) (trustedLease[self] > 0 || trustedPeerLease[self] > 0)
#define INHERITED(owner, token, now) ((owner) == NOBODY && (now) > 1 || (owner) != NOBODY && ERA(token) < (now))

/* Without ACQUIRE_ACROSS_ERAS, a node acquires the zone in the era in which it has read the record. */
#ifdef ACQUIRE_ACROSS_ERAS
#define READ_IS_CURRENT(self) (readEra[self] != 0)
#else
#define READ_IS_CURRENT(self) (readEra[self] == era)
#endif

#ifdef STALE_OWN_KEY
#define MAY_REPLACE_OWN_KEY(self) true
#else
#define MAY_REPLACE_OWN_KEY(self) (ERA(keyToken) == era || peerLease[self] == 0)
#endif

#ifdef GRANT_BY_INHERITED
#define IS_PROOF(token) true
#else
#define IS_PROOF(token) (ERA(token) == era)
#endif

inline forgetRead(self) {
	readEra[self] = 0; readOwner[self] = 0; readToken[self] = 0; readPending[self] = 0
}

inline endTerm(self) {
	isOwner[self] = 0; token[self] = 0; trustedLease[self] = 0; trustedPeerLease[self] = 0; delay[self] = 0; gap[self] = 0
}

inline writeKey(self) {
	counter++;
	token[self] = TOKEN(era, counter);
	keyOwner = self; keyToken = token[self]; keyLease = LEASE_TIME;
	trustedLease[self] = LEASE_TIME - LEASE_MARGIN
}

inline writeLastOwner(self) {
	lastOwner = self; lastToken = token[self]; handoverPending = (delay[self] > 0);
	knownOwner[self] = self; knownToken[self] = token[self]
}

inline acquire(self) {
	writeKey(self);
	isOwner[self] = 1;
	if
#ifndef TRUST_INHERITED_RECORD
	:: readOwner[self] != NOBODY && INHERITED(readOwner[self], readToken[self], readEra[self]) -> delay[self] = FULL_DELAY
#endif
#ifndef TRUST_MISSING_RECORD
	:: readOwner[self] == NOBODY && INHERITED(readOwner[self], readToken[self], readEra[self]) -> delay[self] = FULL_DELAY
#endif
	:: else ->
		if
		:: readOwner[self] == NOBODY || readOwner[self] == self && !readPending[self] -> delay[self] = 0
		:: else ->
			if
			:: readOwner[self] == PEER(self) && grantedLately[self] -> delay[self] = HANDOVER_DELAY
			:: else -> delay[self] = FULL_DELAY
			fi
		fi
	fi;
	writeLastOwner(self); forgetRead(self)
}

proctype node(byte self) {
	do
	/* reads the record of the last owner, to acquire the zone */
	:: atomic { !isOwner[self] && counter < MAX_COUNTER && readEra[self] != era &&
		(keyOwner == NOBODY && peerLease[self] == 0 || keyOwner == self && MAY_REPLACE_OWN_KEY(self)) ->
		readEra[self] = era; readOwner[self] = lastOwner; readToken[self] = lastToken; readPending[self] = handoverPending }
	/* acquires the zone if nobody owns it, and no peer lease that this node has granted
	 * forbids it, or if an earlier incarnation of this node owns it */
	:: atomic { !isOwner[self] && counter < MAX_COUNTER && READ_IS_CURRENT(self) ->
		if
		:: (keyOwner == NOBODY && peerLease[self] == 0 || keyOwner == self && MAY_REPLACE_OWN_KEY(self)) &&
			(lastOwner == readOwner[self] && lastToken == readToken[self] && handoverPending == readPending[self]) -> acquire(self)
		:: else -> forgetRead(self)
		fi }
	/* renews the lease */
	:: atomic { isOwner[self] && keyOwner == self && keyToken == token[self] && ERA(token[self]) == era && keyLease != LEASE_TIME ->
		keyLease = LEASE_TIME; trustedLease[self] = LEASE_TIME - LEASE_MARGIN; gap[self] = 0 }
	/* registers again after its key was removed, unless another node was the owner in
	 * between */
	:: atomic { isOwner[self] && ERA(token[self]) == era && keyOwner == NOBODY && counter < MAX_COUNTER ->
		if
		:: lastOwner != self -> endTerm(self)
		:: else -> writeKey(self); gap[self] = 0
		fi }
	/* registers again in a new era */
	:: atomic { isOwner[self] && ERA(token[self]) < era && counter < MAX_COUNTER ->
		if
#ifdef OVERWRITE_NEWER
		:: keyOwner == PEER(self) && ERA(keyToken) == era || lastOwner == PEER(self) && ERA(lastToken) == era -> endTerm(self)
#else
		:: keyOwner == PEER(self) && ORDER(keyToken) > ORDER(token[self]) || lastOwner == PEER(self) && ORDER(lastToken) > ORDER(token[self]) -> endTerm(self)
#endif
		:: else ->
			writeKey(self);
#ifndef RESUME_AFTER_GAP
			if
			:: gap[self] -> delay[self] = FULL_DELAY
			:: else
			fi;
#endif
			gap[self] = 0;
			writeLastOwner(self)
		fi }
	/* observes that another node owns the zone */
	:: atomic { isOwner[self] && keyOwner == PEER(self) && ORDER(keyToken) > ORDER(token[self]) -> endTerm(self) }
	/* records that its handover delay is over */
	:: atomic { isOwner[self] && lastOwner == self && lastToken == token[self] && handoverPending && delay[self] == 0 && ERA(token[self]) == era -> handoverPending = 0 }
	/* reads the record of the last owner, as proof for peer leases */
	:: atomic { !isOwner[self] && lastOwner != NOBODY && ORDER(lastToken) > ORDER(knownToken[self]) && IS_PROOF(lastToken) ->
		knownOwner[self] = lastOwner; knownToken[self] = lastToken }
	/* is granted a peer lease */
	:: atomic { isOwner[self] && !isOwner[PEER(self)] && knownOwner[PEER(self)] == self &&
		!(peerLease[PEER(self)] == PEER_LEASE_TIME && trustedPeerLease[self] == PEER_LEASE_TIME - LEASE_MARGIN) ->
		peerLease[PEER(self)] = PEER_LEASE_TIME; grantedLately[PEER(self)] = 1;
		trustedPeerLease[self] = PEER_LEASE_TIME - LEASE_MARGIN }
	/* sends an order */
	:: atomic { isOwner[self] && delay[self] == 0 && HAS_AUTHORITY(self) && !(lastOrderSender == self && ticksSinceOrder == 0 && lastOrderToken == token[self]) ->
		assert(lastOrderSender == NOBODY || lastOrderSender == self || ticksSinceOrder >= HANDOVER_DELAY);
		assert(ORDER(token[self]) >= ORDER(lastOrderToken));
		lastOrderSender = self; lastOrderToken = token[self]; ticksSinceOrder = 0 }
	od
}

inline countDown(ticks) {
	if
	:: ticks > 0 -> ticks--
	:: else
	fi
}

inline tick(self) {
	countDown(trustedLease[self]); countDown(trustedPeerLease[self]); countDown(delay[self]);
	if
	:: peerLease[self] == 0 -> grantedLately[self] = 0
	:: else -> peerLease[self]--
	fi;
	if
	:: isOwner[self] && !HAS_AUTHORITY(self) -> gap[self] = 1
	:: else
	fi
}

inline crash(self) {
	endTerm(self); forgetRead(self);
	peerLease[self] = 0; grantedLately[self] = 0; knownOwner[self] = NOBODY; knownToken[self] = 0
}

inline removeKey() {
	keyOwner = NOBODY; keyToken = 0; keyLease = 0
}

/* Advances the time, expires the lease, removes the key once, copies and restores the
 * service, and crashes nodes. */
proctype environment() {
	byte crashes = 0;
	bit revoked = 0;
	do
	:: atomic { true ->
		tick(0); tick(1);
		if
		:: ticksSinceOrder < HANDOVER_DELAY -> ticksSinceOrder++
		:: else
		fi;
		if
		:: keyLease > 1 -> keyLease--
		:: keyLease == 1 -> removeKey()
		:: else
		fi }
	#ifndef NO_REVOCATION
	:: atomic { keyOwner != NOBODY && !revoked -> revoked = 1; removeKey() }
#endif
	:: atomic { crashes < MAX_CRASHES -> crashes++;
		if
		:: crash(0)
		:: crash(1)
		fi }
	:: atomic { era == 1 && !copied -> copied = 1;
		copyCounter = counter; copyKeyOwner = keyOwner; copyKeyToken = keyToken;
		copyLastOwner = lastOwner; copyLastToken = lastToken; copyHandoverPending = handoverPending }
	:: atomic { era == 1 && copied -> era = 2;
		counter = copyCounter; lastOwner = copyLastOwner; lastToken = copyLastToken; handoverPending = copyHandoverPending;
		if
		:: copyKeyOwner != NOBODY -> keyOwner = copyKeyOwner; keyToken = copyKeyToken; keyLease = LEASE_TIME
		:: removeKey()
		fi;
		copyCounter = 0; copyKeyOwner = NOBODY; copyKeyToken = 0; copyLastOwner = NOBODY; copyLastToken = 0; copyHandoverPending = 0 }
	od
}

init {
	atomic {
		knownOwner[0] = NOBODY; knownOwner[1] = NOBODY;
		run node(0); run node(1); run environment()
	}
}
