/*
 * Models how nodes know the software version that began a stream: pkg/streams and
 * pkg/streamversions.
 *
 * Two versions of the targets of one service come and go in any order. One stream at a
 * time begins at one of them and may be taken up at any node until its life has passed.
 * Nodes are killed, also both at once, and start without memory.
 *  - A node remembers the streams that began at it, and which versions had targets in the
 *    last life, as far as it has watched the list.
 *  - The key-value service may have the stream, and has a record of the versions that have
 *    served lately. An owner keeps the record: it reads it first and counts what it finds
 *    there as served until then.
 *  - A node sees changes of the list any time later. One that does not know a stream reads
 *    them, or has the owners of the zones do so, and lets the stream go on only if one version
 *    has served lately and the node has read the record. Otherwise it reads, and refuses.
 *  - A node reads the changes before it writes the record, and writes it only if nobody has
 *    written it since the node has read it.
 *
 * Assumed: a version is in the record before a stream begins at it. In the program that
 * takes one write interval. Streams begin at targets that are listed.
 *
 * Checked: a stream goes on only at the version that began it.
 *
 * Mutants:
 *   TRUST_LIST     a node that starts takes the version that it sees for the only one
 *   TRUST_OWN_LIST a node takes up a stream by the changes of the list that it has seen
 *   WRITE_UNSEEN   an owner writes the record by the changes of the list that it has seen
 *   OVERWRITE      an owner that starts writes what it sees, and forgets the record
 *   FORGET_AT_ONCE a version is no longer recent as soon as it has no targets
 */
#ifndef LIFE
#define LIFE 2			/* ticks from the first event of a stream to its last take-up */
#endif
#ifndef MAX_CHANGES
#define MAX_CHANGES 5		/* changes of the list */
#endif
#ifndef MAX_KILLS
#define MAX_KILLS 4
#endif
#define NODES 2
#define VERSIONS 2
#define NONE VERSIONS

#define AT(node, version) ((node) * VERSIONS + (version))

bit listed[VERSIONS];		/* the version has targets */
bit recorded[VERSIONS];		/* the record in the key-value service */
byte begunAt = NONE, age;	/* the stream */
bit stored;			/* the key-value service has the stream */

bit up[NODES], hasRead[NODES], remembers[NODES];
bit mayWrite[NODES];		/* nobody has written the record since the node has read it */
bit seen[NODES * VERSIONS];	/* the version has targets, by what the node has seen */
bit unseen[NODES * VERSIONS];	/* the node has not seen the last change */
byte recent[NODES * VERSIONS];	/* ticks for which the version counts as recent; LIFE while it is listed */

byte changes, kills;
byte n, v;			/* the chosen node and version */
byte i, j;

inline choose() {
	if :: n = 0 :: n = 1 fi;
	if :: v = 0 :: v = 1 fi
}

inline change() {
	changes++;
	listed[v] = 1 - listed[v];
	i = 0;
	do
	:: i < NODES ->
		unseen[AT(i, v)] = up[i];
		i++
	:: else -> break
	od
}

inline see() {
	i = 0;
	do
	:: i < VERSIONS ->
		if
		:: unseen[AT(n, i)] ->
			unseen[AT(n, i)] = 0;
			seen[AT(n, i)] = listed[i];
			recent[AT(n, i)] = LIFE;
#ifdef FORGET_AT_ONCE
			if :: !listed[i] -> recent[AT(n, i)] = 0 :: else fi
#endif
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline start() {
	up[n] = 1;
	i = 0;
	do
	:: i < VERSIONS ->
		seen[AT(n, i)] = listed[i];
		unseen[AT(n, i)] = 0;
		if :: listed[i] -> recent[AT(n, i)] = LIFE :: else -> recent[AT(n, i)] = 0 fi;
		i++
	:: else -> break
	od;
#ifdef TRUST_LIST
	hasRead[n] = 1
#endif
}

inline kill() {
	kills++;
	up[n] = 0; hasRead[n] = 0; remembers[n] = 0; mayWrite[n] = 0;
	recent[AT(n, 0)] = 0; recent[AT(n, 1)] = 0;
	seen[AT(n, 0)] = 0; seen[AT(n, 1)] = 0;
	unseen[AT(n, 0)] = 0; unseen[AT(n, 1)] = 0
}

inline read() {
	i = 0;
	do
	:: i < VERSIONS ->
		if :: recorded[i] && recent[AT(n, i)] == 0 -> recent[AT(n, i)] = LIFE :: else fi;
		i++
	:: else -> break
	od;
	hasRead[n] = 1; mayWrite[n] = 1;
	if :: stored -> remembers[n] = 1 :: else fi
}

inline update() {
	recorded[0] = (recent[AT(n, 0)] > 0);
	recorded[1] = (recent[AT(n, 1)] > 0);
	mayWrite[0] = 0; mayWrite[1] = 0;
	mayWrite[n] = 1
}

inline tick() {
	if
	:: begunAt != NONE ->
		age++;
		if
		:: age == LIFE -> begunAt = NONE; age = 0; stored = 0; remembers[0] = 0; remembers[1] = 0
		:: else
		fi
	:: else
	fi;
	i = 0;
	do
	:: i < NODES ->
		j = 0;
		do
		:: j < VERSIONS ->
			if :: !seen[AT(i, j)] && recent[AT(i, j)] > 0 -> recent[AT(i, j)]-- :: else fi;
			j++
		:: else -> break
		od;
		i++
	:: else -> break
	od
}

inline begin() {
	begunAt = v; age = 0; stored = 0; remembers[n] = 1
}

inline takeUp() {
	if
	:: remembers[n]			/* it goes on at begunAt */
	:: else ->
#ifndef TRUST_OWN_LIST
		see();
#endif
		if
		:: hasRead[n] && recent[AT(n, 0)] > 0 && recent[AT(n, 1)] == 0 -> assert(begunAt == 0)
		:: hasRead[n] && recent[AT(n, 1)] > 0 && recent[AT(n, 0)] == 0 -> assert(begunAt == 1)
		:: else			/* it reads, or refuses */
		fi
	fi
}

active proctype deployment() {
	do
	:: atomic { choose();
		if
		:: changes < MAX_CHANGES -> change()
		:: kills < MAX_KILLS && up[n] -> kill()
		:: !up[n] -> start()
		:: up[n] -> read()
		:: up[n] -> see()
#ifdef OVERWRITE
		:: up[n] -> update()
#elif defined(WRITE_UNSEEN)
		:: up[n] && mayWrite[n] -> update()
#else
		:: up[n] && mayWrite[n] -> see(); update()
#endif
		:: up[n] && begunAt == NONE && listed[v] && seen[AT(n, v)] && recorded[v] -> begin()
		:: up[n] && begunAt != NONE && remembers[n] -> stored = 1
		:: up[n] && begunAt != NONE -> takeUp()
		:: tick()
		fi }
	od
}
