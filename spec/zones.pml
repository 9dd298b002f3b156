/*
 * Models the ownership of an availability zone: pkg/zoneowner (election.go,
 * lease.go, peerlease.go, authority.go).
 *
 * Nodes of one zone become the owner in turn. The owner sends orders to targets
 * that do not check fencing tokens. The zone's key has a lease, and may be
 * removed without notice to the owner. An owner sends orders while its lease is
 * valid by its own clock, or while all other nodes have granted it a peer lease,
 * under which they do not acquire the zone. A node that crashes loses its record
 * of the peer leases that it has granted. A node that is partitioned takes no
 * step. Time advances in ticks; a renewal or peer lease request that is not chosen
 * was lost.
 *
 * With UNMET, the other nodes are those that the record of the last owner names: node
 * 2, and the other candidate from when the owner has met it. A candidate that it does
 * not name acquires the zone only WITHOUT_LEASE ticks after the zone became free, and
 * the owner sends orders without a lease for as long.
 *
 * Checked: orders of two nodes are at least HANDOVER_DELAY ticks apart.
 *
 * Mutants (spec/check runs all except NO_PROMISE_WAIT and NEWCOMER_SHORT):
 *   NO_PAUSE            a new owner sends orders without a handover delay
 *   NO_PROMISE_WAIT     a node acquires the zone although it has granted a peer
 *                       lease that has not expired
 *   IGNORE_MEMBERS      an owner sends orders without a lease or peer leases
 *   TRUST_LEASE_TO_END  an owner trusts its lease until LEASE_MARGIN after its
 *                       end, instead of LEASE_MARGIN before it
 *   NEWCOMER_SHORT      the handover delay is not extended for a node whose last peer
 *                       lease to the last owner ended before, or that granted it none
 *   RETAKE_BLINDLY      an owner whose key was removed registers again, even if
 *                       another node was the owner in between
 *   FORGET_PAUSE        an owner that restarts during its handover delay does
 *                       not keep the delay
 *   PROMISE_UNREAD      a node grants a peer lease before it has read that the
 *                       record of the last owner names the requesting owner
 *   UNRECORDED_AT_ONCE  a candidate that the record does not name does not wait
 *                       (with UNMET)
 *   NO_BOUND            an owner sends orders under peer leases for as long as they last
 *                       (with UNMET)
 */
/* The model is written for exactly 3 nodes. */
#ifndef NODES
#define NODES 3
#endif
#ifndef END
/* ticks after which the model ends */
#define END 5
#endif

#define NOBODY 255

#define LEASE_TIME 2		/* ticks until the lease of the key expires */
#define PEER_LEASE_TIME 2	/* ticks until a peer lease expires */
#define HANDOVER_DELAY 2	/* ticks between the orders of two owners */
#ifndef WITHOUT_LEASE
/* with UNMET */
#define WITHOUT_LEASE 2		/* ticks that an owner sends orders without its lease, and that an unrecorded node waits */
#endif
#define LEASE_MARGIN 1		/* ticks by which an owner trusts leases for less than their time */

byte now; /* time in ticks */

/* The zone's key in the key-value service. */
byte keyOwner = NOBODY;
byte keyLeaseUntil;

/* The record of the last owner in the key-value service. */
byte lastOwner = NOBODY;
/* Also in the record: set when a new owner has to keep a handover delay, cleared when
 * it records that the delay is over. */
bit handoverPending;
#ifdef UNMET
/* Also in the record: whether it names the other candidate. */
bit candidateRecorded;
byte freeSince;			/* when the zone became free; 0 while it has an owner */
bit metCandidate[NODES];	/* whether the owner's own record names the other candidate */
#define MUST_GRANT(owner) metCandidate[owner]
#define ZONE_FREED freeSince = now
#define ZONE_KEPT freeSince = 0
#define ZONE_TAKEN(self) ZONE_KEPT; candidateRecorded = 0; metCandidate[self] = 0
#define TERM_ENDED(self) metCandidate[self] = 0
#else
#define MUST_GRANT(owner) true
#define ZONE_FREED skip
#define ZONE_KEPT skip
#define ZONE_TAKEN(self) skip
#define TERM_ENDED(self) skip
#endif

bit isOwner[NODES];
byte leaseTrustedUntil[NODES];	/* when the owner stops trusting its lease */
byte ordersFrom[NODES];		/* when the owner may send its first order */
byte peerLeaseUntil[NODES];	/* until when the node must not acquire the zone */
byte observedLastOwner[NODES];	/* the record of the last owner, as last read by the node */
byte peerLeaseOwner[NODES];	/* the owner to which the node granted its last peer lease */
byte peerLeaseTrustedUntil[NODES * NODES];	/* [i*NODES+j]: when owner i stops trusting the peer lease of j */

/* The last order that a target has received. */
byte lastOrderTime;
byte lastOrderSender = NOBODY;

#ifdef TRUST_LEASE_TO_END
#define TRUSTED_LEASE_TIME (LEASE_TIME + LEASE_MARGIN)
#else
#define TRUSTED_LEASE_TIME (LEASE_TIME - LEASE_MARGIN)
#endif

#ifdef NO_PAUSE
#define DELAY_BEFORE_ORDERS 0
#else
#define DELAY_BEFORE_ORDERS HANDOVER_DELAY
#endif

#ifdef NO_PROMISE_WAIT
#define MAY_ACQUIRE(self) true
#else
#define MAY_ACQUIRE(self) (now >= peerLeaseUntil[self])
#endif

#ifdef PROMISE_UNREAD
#define MAY_GRANT_PEER_LEASE(peer, owner) true
#else
#define MAY_GRANT_PEER_LEASE(peer, owner) (observedLastOwner[peer] == (owner))
#endif

#ifdef FORGET_PAUSE
#define HANDOVER_PENDING false
#else
#define HANDOVER_PENDING handoverPending
#endif

#ifdef IGNORE_MEMBERS
#define HAS_PEER_LEASE(owner, peer) true
#else
#define HAS_PEER_LEASE(owner, peer) (now < peerLeaseTrustedUntil[(owner)*NODES+(peer)])
#endif

#if !defined(UNMET) || defined(UNRECORDED_AT_ONCE)
#define ADMITTED(self) true
#else
#define ADMITTED(self) (lastOwner == NOBODY || lastOwner == (self) || candidateRecorded || now >= freeSince + WITHOUT_LEASE)
#endif

#if !defined(UNMET) || defined(NO_BOUND)
#define WITHIN_BOUND(owner) true
#else
#define WITHIN_BOUND(owner) (now + TRUSTED_LEASE_TIME < leaseTrustedUntil[owner] + WITHOUT_LEASE)
#endif

/* peer1 is the other candidate. */
#define MAY_SEND_ORDER(owner, peer1, peer2) (isOwner[owner] && now >= ordersFrom[owner] && \
	(now < leaseTrustedUntil[owner] || (WITHIN_BOUND(owner) && HAS_PEER_LEASE(owner, peer2) && \
	(!MUST_GRANT(owner) || HAS_PEER_LEASE(owner, peer1)))))

inline endTerm(self) {
	isOwner[self] = 0;
	leaseTrustedUntil[self] = 0; TERM_ENDED(self);
	peerLeaseTrustedUntil[self*NODES] = 0; peerLeaseTrustedUntil[self*NODES+1] = 0; peerLeaseTrustedUntil[self*NODES+2] = 0
}

inline acquire(self) {
	keyOwner = self; keyLeaseUntil = now + LEASE_TIME; ZONE_TAKEN(self);
	isOwner[self] = 1;
	leaseTrustedUntil[self] = now + TRUSTED_LEASE_TIME;
	if
	:: lastOwner == NOBODY || (lastOwner == self && !HANDOVER_PENDING) -> ordersFrom[self] = now
	:: else ->
		handoverPending = 1;
		ordersFrom[self] = now + DELAY_BEFORE_ORDERS;
#ifndef NEWCOMER_SHORT
		if
		:: peerLeaseOwner[self] != lastOwner || now > peerLeaseUntil[self] -> ordersFrom[self] = ordersFrom[self] + LEASE_TIME
		:: else
		fi
#endif
	fi;
	lastOwner = self; observedLastOwner[self] = self
}

proctype node(byte self; byte peer1; byte peer2) {
	do
	:: now >= END -> break
	/* acquires the zone if nobody owns it and no peer lease that this node has
	 * granted forbids it, or if an earlier incarnation of this node owns it */
	:: atomic { now < END && !isOwner[self] && (keyOwner == NOBODY && MAY_ACQUIRE(self) && ADMITTED(self) || keyOwner == self) -> acquire(self) }
	/* renews the lease */
	:: atomic { now < END && isOwner[self] && keyOwner == self && keyLeaseUntil != now + LEASE_TIME ->
		keyLeaseUntil = now + LEASE_TIME; leaseTrustedUntil[self] = now + TRUSTED_LEASE_TIME }
#ifdef UNMET
	/* meets the other candidate, and records it */
	:: atomic { now < END && isOwner[self] && keyOwner == self && lastOwner == self && !metCandidate[self] ->
		candidateRecorded = 1; metCandidate[self] = 1 }
#endif
	/* registers again after its key was removed, unless another node was the
	 * owner in between */
	:: atomic { now < END && isOwner[self] && keyOwner == NOBODY ->
#ifndef RETAKE_BLINDLY
		if
		:: lastOwner != self -> endTerm(self)
		:: else ->
#endif
			keyOwner = self; keyLeaseUntil = now + LEASE_TIME; leaseTrustedUntil[self] = now + TRUSTED_LEASE_TIME; ZONE_KEPT
#ifndef RETAKE_BLINDLY
		fi
#endif
	}
	/* observes that another node owns the zone */
	:: atomic { now < END && isOwner[self] && keyOwner != self && keyOwner != NOBODY -> endTerm(self) }
	/* records that its handover delay is over */
	:: atomic { now < END && isOwner[self] && lastOwner == self && handoverPending && now >= ordersFrom[self] -> handoverPending = 0 }
	/* reads the record of the last owner */
	:: atomic { now < END && !isOwner[self] && observedLastOwner[self] != lastOwner -> observedLastOwner[self] = lastOwner }
	/* is granted a peer lease */
	:: atomic { now < END && isOwner[self] && !isOwner[peer1] && MAY_GRANT_PEER_LEASE(peer1, self) && peerLeaseUntil[peer1] != now + PEER_LEASE_TIME ->
		peerLeaseUntil[peer1] = now + PEER_LEASE_TIME; peerLeaseOwner[peer1] = self; peerLeaseTrustedUntil[self*NODES+peer1] = now + PEER_LEASE_TIME - LEASE_MARGIN }
	:: atomic { now < END && isOwner[self] && !isOwner[peer2] && MAY_GRANT_PEER_LEASE(peer2, self) && peerLeaseUntil[peer2] != now + PEER_LEASE_TIME ->
		peerLeaseUntil[peer2] = now + PEER_LEASE_TIME; peerLeaseOwner[peer2] = self; peerLeaseTrustedUntil[self*NODES+peer2] = now + PEER_LEASE_TIME - LEASE_MARGIN }
	/* sends an order */
	:: atomic { now < END && MAY_SEND_ORDER(self, peer1, peer2) && !(lastOrderSender == self && lastOrderTime == now) ->
		assert(lastOrderSender == NOBODY || lastOrderSender == self || now - lastOrderTime >= HANDOVER_DELAY);
		lastOrderSender = self; lastOrderTime = now }
	od
}

/* Advances the time, expires the lease, removes the key once, lets the third node
 * read the record of the last owner, and crashes node 0 or node 1 once. */
proctype environment() {
	byte revocations = 0, crashes = 0;
	do
	:: now >= END -> break
	:: atomic { now < END -> now++;
		if
		:: keyOwner != NOBODY && now >= keyLeaseUntil -> keyOwner = NOBODY; ZONE_FREED
		:: else
		fi }
	:: atomic { now < END && keyOwner != NOBODY && revocations < 1 -> revocations++; keyOwner = NOBODY; ZONE_FREED }
	:: atomic { now < END && observedLastOwner[2] != lastOwner -> observedLastOwner[2] = lastOwner }
	:: atomic { now < END && crashes < 1 -> crashes++;
		if
		:: endTerm(0); peerLeaseUntil[0] = 0; peerLeaseOwner[0] = NOBODY; observedLastOwner[0] = NOBODY
		:: endTerm(1); peerLeaseUntil[1] = 0; peerLeaseOwner[1] = NOBODY; observedLastOwner[1] = NOBODY
		fi }
	od
}

init {
	atomic {
		/* The third node grants peer leases and never becomes the owner. */
		observedLastOwner[0] = NOBODY; observedLastOwner[1] = NOBODY; observedLastOwner[2] = NOBODY;
		peerLeaseOwner[0] = NOBODY; peerLeaseOwner[1] = NOBODY; peerLeaseOwner[2] = NOBODY;
		run node(0, 1, 2); run node(1, 0, 2); run environment()
	}
}
