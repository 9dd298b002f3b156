/*
 * Claims on idempotency keys. Stands for pkg/claim (table.go, writer.go,
 * client.go) and pkg/dispatch/claimed.go.
 *
 * Two requests of one caller with the same key, not idempotent, enter at two
 * nodes; two writers settle the claim by compare-and-swap on the range and
 * answer from a copy that may be old. Answers of the service, of the writers
 * and of the target may be lost; a node may die at any time.
 *
 * Checked: the target runs at most one of the requests, and a request that
 * was told to be not run was not run.
 *
 * Mutants: -DCLAIM_AFTER_DISPATCH -DBLIND_WRITE -DRETAKE_DEAD
 * -DGRANT_ON_LOST_ANSWER -DRELEASE_UNKNOWN
 */
#define FREE 0
#define HELD 1
#define DONE 2

#define NOTHING 0
#define GRANTED 1
#define REFUSED 2
#define LOST 3

/* The range in the key-value service: who holds the key, and how it stands. */
byte holder;
byte state;
byte rev;

byte runs;
bit sent[3];
bit dead[3];
bit toldNotRun[3];

/* Copies of the two writers. */
byte copyHolder[2];
byte copyState[2];
byte copyRev[2];

#ifdef BLIND_WRITE
#define UNCHANGED(w) true
#else
#define UNCHANGED(w) (rev == r)
#endif
#ifdef RETAKE_DEAD
#define MAY_RETAKE(h) (dead[h])
#else
#define MAY_RETAKE(h) false
#endif

inline refresh(w) {
	copyHolder[w] = holder; copyState[w] = state; copyRev[w] = rev
}

/* Asks writer w for the claim of request q; a writer works one at a time. */
inline ask(w, q, answer, took) {
	if
	:: atomic { refresh(w) }
	:: atomic { skip } /* the copy is younger than the limit */
	fi;
	if
	:: atomic { copyState[w] == HELD && copyHolder[w] == q -> answer = GRANTED }
	:: atomic { copyState[w] == DONE -> answer = REFUSED }
	:: atomic { copyState[w] == HELD && copyHolder[w] != q && !MAY_RETAKE(copyHolder[w]) -> answer = REFUSED }
	:: atomic { copyState[w] == FREE || (copyState[w] == HELD && copyHolder[w] != q && MAY_RETAKE(copyHolder[w])) ->
		took = 0; r = copyRev[w] }
		/* The write may take effect long after it was sent. */
		atomic {
			if
			:: UNCHANGED(w) -> holder = q; state = HELD; rev++; took = 1; refresh(w)
			:: else -> refresh(w)
			fi }
		if
		:: atomic { took -> answer = GRANTED }
		:: atomic { answer = LOST }
		fi
	fi;
	if
	:: atomic { true }
	:: atomic { answer = LOST } /* the writer's answer does not arrive */
	fi
}

inline execute(q) {
	assert(!toldNotRun[q]);
	runs++;
	assert(runs <= 1)
}

proctype Request(byte q) {
	byte answer = NOTHING, tries = 0, w = 0, r = 0;
	bit took;
#ifdef CLAIM_AFTER_DISPATCH
	atomic { sent[q] = 1; execute(q) }
#endif
	do
	:: atomic { dead[q] -> goto gone }
	:: atomic { !dead[q] && answer != GRANTED && answer != REFUSED && tries < 2 ->
		tries++; answer = NOTHING;
		if :: w = 0 :: w = 1 fi }
		ask(w, q, answer, took)
	:: atomic { answer == GRANTED || answer == REFUSED || (answer == LOST && tries == 2) -> break }
	od;
#ifdef GRANT_ON_LOST_ANSWER
	if :: answer == LOST -> answer = GRANTED :: else fi;
#endif
	if
	:: atomic { !dead[q] && answer == GRANTED -> sent[q] = 1 }
	:: atomic { !dead[q] && answer == REFUSED -> goto gone }
	:: atomic { !dead[q] && answer == LOST -> toldNotRun[q] = 1; goto giveBack }
	:: atomic { dead[q] -> goto gone }
	fi;
	/* The target runs it, refuses it, or is not reached. */
	if
	:: atomic { !dead[q] -> execute(q) }
	:: atomic { !dead[q] -> toldNotRun[q] = 1; goto giveBack }
	:: atomic { dead[q] -> execute(q) } /* it was on its way */
	:: atomic { dead[q] -> goto gone }
	fi;
#ifdef RELEASE_UNKNOWN
	if :: goto giveBack :: skip fi; /* the target's answer was lost */
#endif
	atomic {
		if
		:: !dead[q] && holder == q && state == HELD -> state = DONE; rev++
		:: else
		fi };
	goto gone;
giveBack:
	atomic {
		if
		:: !dead[q] && holder == q && state == HELD -> state = FREE; holder = 0; rev++
		:: else
		fi };
gone:	skip
}

active proctype Fault() {
end:
	if
	:: atomic { dead[1] = 1 }
	:: atomic { dead[2] = 1 }
	fi
}

init { atomic { run Request(1); run Request(2) } }
