/*
 * Models pkg/claims: requests with one idempotency key arrive at several nodes,
 * each of which may crash after it has obtained the claim, and after the target has
 * run the request. Checked: the request runs at most once.
 *
 * A node creates the claim in the key-value service before it sends the request
 * to a target, and records the outcome afterwards. The response to the write that
 * creates the claim may be lost. That write has then taken effect, or it may take
 * effect later or never, which applies to one write at a time. The responses to the
 * other writes are not lost.
 *
 * Mutants, each of which must be caught:
 *   CLAIM_AFTER_DISPATCH  the request is sent before the claim is created
 *   GRANT_ON_LOST_ANSWER  a lost response counts as success, and the claim is
 *                         not read back
 *   RETAKE_DEAD           another node acquires the claim of a crashed holder
 *   RELEASE_UNKNOWN       the claim is released although the outcome is unknown
 */

#ifndef NODES
#define NODES 3
#endif
#define NOBODY 9

bool claimExists = false;     /* the key of the claim exists */
byte holder = NOBODY;         /* the node that created the claim last */
bool outcomeRecorded = false; /* the claim holds the outcome */
byte revision = 0;            /* number of writes to the claim */
byte runCount = 0;            /* number of times that targets have run the request */
byte delayedWriter = NOBODY;  /* the node whose write may take effect later, if at all */
bool crashed[NODES];

/* A target runs the request. */
inline execute() {
  runCount++;
  assert(runCount <= 1)
}

/* Creates the claim for a node, unless it exists. */
inline createClaim(writer, created, newRevision) {
  if
  :: !claimExists -> claimExists = true; holder = writer; outcomeRecorded = false; revision++; newRevision = revision; created = true
  :: else -> created = false
  fi
}

/* A node that receives the request. */
proctype node(byte self) {
  bool holdsClaim = false;
  byte claimRevision = 0;
#ifdef CLAIM_AFTER_DISPATCH
  execute();
#endif
  if
  :: true -> atomic { createClaim(self, holdsClaim, claimRevision) }
  :: true -> atomic { createClaim(self, holdsClaim, claimRevision); holdsClaim = false };
     goto responseLost
  :: atomic { delayedWriter == NOBODY -> delayedWriter = self };
     goto responseLost
  fi;
  goto responseReceived;
responseLost:
#ifdef GRANT_ON_LOST_ANSWER
  holdsClaim = true;
#else
  atomic {
    if
    :: claimExists && holder == self && !outcomeRecorded -> holdsClaim = true; claimRevision = revision
    :: else -> skip
    fi
  }
#endif
responseReceived:
  if
  :: holdsClaim -> skip
  :: !holdsClaim ->
#ifdef RETAKE_DEAD
     atomic {
       if
       :: claimExists && !outcomeRecorded && holder != NOBODY && crashed[holder] -> holder = self; revision++; claimRevision = revision; holdsClaim = true
       :: else -> skip
       fi
     };
     if
     :: holdsClaim -> skip
     :: !holdsClaim -> goto done
     fi
#else
     goto done
#endif
  fi;
  if
  :: true -> goto crash
  :: true -> skip
  fi;
  if
  :: true -> /* The target responds that it did not run the request. */
     atomic {
       if
       :: claimExists && revision == claimRevision -> claimExists = false; holder = NOBODY; revision++
       :: else -> skip
       fi
     }
  :: true -> /* The target runs it, and its response arrives or is lost. */
#ifndef CLAIM_AFTER_DISPATCH
     atomic { execute() };
#endif
     if
     :: true -> goto crash
     :: true -> atomic { outcomeRecorded = true; revision++ }
     :: true -> /* The response was lost: the outcome stays unknown. */
#ifdef RELEASE_UNKNOWN
        atomic { claimExists = false; holder = NOBODY; revision++ }
#else
        skip
#endif
     fi
  fi;
  goto done;
crash:
  crashed[self] = true;
done:
  skip
}

/* Applies a write whose writer no longer waits for the response. */
active proctype network() {
  bool writeSucceeded = false;
  byte writeRevision = 0;
end:
  atomic { delayedWriter != NOBODY -> createClaim(delayedWriter, writeSucceeded, writeRevision); delayedWriter = NOBODY };
  goto end
}

/* A caller repeats the request through several nodes, one after the other and
 * concurrently. */
init {
  byte i = 0;
  atomic {
    do
    :: i < NODES -> run node(i); i++
    :: else -> break
    od
  }
}
