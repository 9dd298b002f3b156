/*
 * Spread of a subtree's settings. Stands for pkg/catalog (install.go,
 * watch.go, exchange.go, readiness.go, apply.go).
 *
 * Three nodes; node 0 and node 1 watch the key-value service, all compare
 * with peers. Operators write by compare-and-swap; the service may be down,
 * and may come back older once, after which writes form another branch;
 * nodes 1 and 2 restart with nothing, once each.
 *
 * Checked: what is in force on a running node never goes back and never
 * changes branch; a node that starts while a ready peer can be reached does
 * not serve less than that peer; without a loss all end at the newest.
 *
 * -DWRITES=n writes of each of two operators
 * Mutants: -DFOLLOW_OLDER -DSKIP_PEERS -DSKIP_DIGEST -DBLIND_WRITE
 */
#ifndef WRITES
#define WRITES 1
#endif
#define NODES 3

/* The head in the service: revision and branch. The branches part at base. */
byte kv = 1;
byte kvBranch = 0;
bit kvUp = 1;
byte base = 0;
bit lost;
byte accepted = 1;
bit faultsOver;

byte force[NODES];
byte branch[NODES];
bit ready[NODES];
bit listed[NODES];

/* A head descends from the one in force. */
#define FOLLOWS(r, b, n) ((r) > force[n] && (branch[n] == (b) || force[n] <= base || force[n] == 0))

inline install(n, r, b) {
	if
#ifdef FOLLOW_OLDER
	:: r != force[n] || b != branch[n] ->
#else
	:: FOLLOWS(r, b, n) ->
#endif
		assert(r > force[n]);
		assert(force[n] == 0 || branch[n] == b || force[n] <= base);
		force[n] = r; branch[n] = b
	:: else
	fi
}

#define READY_PEER(n, p) (ready[p] && (p) != (n))

#ifdef SKIP_PEERS
#define ALONE(n) true
#else
#define ALONE(n) (!READY_PEER(n, 0) && !READY_PEER(n, 1) && !READY_PEER(n, 2))
#endif
#define AT_LEAST(n, p) (!READY_PEER(n, p) || force[n] >= force[p])
#define CHECK_START(n) assert(lost == 0 || (AT_LEAST(n, 0) && AT_LEAST(n, 1) && AT_LEAST(n, 2)))

proctype Node(byte n) {
	byte p;
end:
	do
	/* Watch or list of the service. */
	:: atomic { kvUp && n < 2 && (force[n] != kv || branch[n] != kvBranch || !listed[n]) ->
		install(n, kv, kvBranch); listed[n] = 1 }
#ifndef SKIP_DIGEST
	/* Comparison with a peer. */
	:: atomic { p = 0;
		do :: p < NODES - 1 -> p++ :: break od;
		if
		:: p != n && force[p] > 0 && (FOLLOWS(force[p], branch[p], n) || (!ready[n] && ready[p])) ->
			install(n, force[p], branch[p]);
			if :: ready[p] && force[n] >= force[p] -> ready[n] = 1 :: else fi
		:: else
		fi;
		p = 0 }
#endif
	/* Ready from the service alone: only when no ready peer is heard of. */
	:: atomic { !ready[n] && listed[n] && ALONE(n) -> ready[n] = 1; CHECK_START(n) }
	od
}

proctype Operator() {
	byte r, b;
	byte writes = 0;
end:
	do
	:: atomic { kvUp && writes < WRITES && kvBranch == branch[0] && force[0] <= kv -> writes++; r = kv; b = kvBranch }
		atomic {
			if
#ifdef BLIND_WRITE
			:: kvUp -> kv = r + 1; kvBranch = b; assert(kv > accepted || lost); accepted = kv
#else
			:: kvUp && kv == r && kvBranch == b -> kv++; accepted = kv
#endif
			:: else
			fi;
			r = 0; b = 0 }
	od
}

proctype World() {
	bit restarted[NODES];
	do
	:: atomic { kvUp -> kvUp = 0 }
	:: atomic { !kvUp -> kvUp = 1 }
	:: atomic { !lost && kv > 1 -> lost = 1; kv--; base = kv; kvBranch = 1 }
	:: atomic { !restarted[1] -> restarted[1] = 1; force[1] = 0; branch[1] = 0; ready[1] = 0; listed[1] = 0 }
	:: atomic { !restarted[2] -> restarted[2] = 1; force[2] = 0; branch[2] = 0; ready[2] = 0; listed[2] = 0 }
	:: atomic { kvUp -> faultsOver = 1; break }
	od;
	/* Once nothing else can happen all nodes have the newest revision. */
end:
	atomic { timeout -> assert(lost || (force[0] == kv && force[1] == kv && force[2] == kv)) }
}

init { atomic { run Node(0); run Node(1); run Node(2); run Operator(); run Operator(); run World() } }
