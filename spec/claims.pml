/*
 * Models pkg/claims: requests with one idempotency key arrive at several nodes,
 * each of which may crash after it has obtained the claim, and after the target has
 * run the request. With RESTORE, the key-value service may be restored from an older copy
 * once.
 * Checked: the request runs at most once, unless a node that held the claim has
 * crashed and the service was restored.
 *
 * A node creates the claim in the key-value service before it sends the request
 * to a target, and records the outcome afterwards. The response to the write that
 * creates the claim may be lost. That write has then taken effect, or it may take
 * effect later or never, which applies to one write at a time. The responses to the
 * other writes are not lost.
 *
 * After a restore, each node sees the new era at some time, and writes the claim again
 * that it remembers. Nodes that have seen it claim no key before all others have done
 * so, for which the code waits settleTime. A node that has not seen it still claims the
 * key, but the response shows the era, and it does not run the request.
 *
 * Mutants, each of which must be caught, the last four with RESTORE:
 *   CLAIM_AFTER_DISPATCH  the request is sent before the claim is created
 *   GRANT_ON_LOST_ANSWER  a lost response counts as success, and the claim is
 *                         not read back
 *   RETAKE_DEAD           another node acquires the claim of a crashed holder
 *   RELEASE_UNKNOWN       the claim is released although the outcome is unknown
 *   FORGET_CLAIMS         claims are not written again after a restore
 *   NO_SETTLE             keys are claimed before all nodes have written theirs again
 *   RUN_UNSEEN            a request is run although the response to the claim shows a
 *                         new era
 *   KEEP_FORMER           a claim is not written again over one of a former era
 */

#ifndef NODES
#define NODES 3
#endif
#define NOBODY 9

bool claimExists = false;     /* the key of the claim exists */
byte holder = NOBODY;         /* the node that created the claim last */
bool outcomeRecorded = false; /* the claim holds the outcome */
byte claimEra = 0;            /* the last era in which the holder was known to hold the key */
byte runCount = 0;            /* number of times that targets have run the request */
byte delayedWriter = NOBODY;  /* the node whose write may take effect later, if at all */
byte delayedEra = 0;          /* the era in which that node began */
bool crashed[NODES];
bool holderCrashed = false;   /* a node crashed that remembered a claim */

byte era = 1;                 /* of the service */
bool unseen[NODES];           /* the node has not seen the current era */
bool remembered[NODES];       /* the node remembers its claim */
bool ended[NODES];            /* the request of the remembered claim has an outcome */
bool pending[NODES];          /* the remembered claim is to be written again */

/* The copy from which the service is restored. */
bool copyExists = false;
byte copyHolder = NOBODY;
bool copyRecorded = false;

/* A target runs the request. */
inline execute() {
  runCount++;
  assert(runCount <= 1 || (holderCrashed && era == 2))
}

/* Creates the claim for a node that began in an era, unless it exists. */
inline createClaim(writer, writerEra, created) {
  if
  :: !claimExists -> claimExists = true; holder = writer; outcomeRecorded = false; claimEra = writerEra; created = true
  :: else -> created = false
  fi
}

/* Writes the claim of a node again, unless another one holds the key. */
inline rewriteClaim(writer) {
  if
  :: !claimExists || (holder != writer
#ifdef KEEP_FORMER
     && false
#endif
     && claimEra < era) ->
     claimExists = true; holder = writer; claimEra = era; outcomeRecorded = ended[writer]
  :: else ->
     if
     :: holder == writer -> outcomeRecorded = outcomeRecorded || ended[writer]
     :: else -> skip /* it is lost */
     fi
  fi
}

/* Deletes the claim of a node, if it has the key. */
inline releaseClaim(writer) {
  remembered[writer] = false;
  pending[writer] = false;
  if
  :: claimExists && holder == writer -> claimExists = false; holder = NOBODY
  :: else -> skip
  fi
}

/* A node sees the era in a response from it. */
inline observeEra(self, responseEra) {
  if
  :: unseen[self] && responseEra == era -> unseen[self] = false;
#ifndef FORGET_CLAIMS
     pending[self] = remembered[self]
#endif
  :: else -> skip
  fi
}

/* A node that receives the request. */
proctype node(byte self) {
  bool holdsClaim = false;
  byte beginEra = 0;
  byte responseEra = 0;
#ifdef CLAIM_AFTER_DISPATCH
  execute();
#endif
  atomic {
    if
    :: unseen[self] -> beginEra = era - 1
    :: !unseen[self] && era == 1 -> beginEra = era
    :: !unseen[self] && era == 2 -> beginEra = era;
#ifndef NO_SETTLE
       byte i = 0;
       do
       :: i < NODES -> !(!crashed[i] && (unseen[i] || pending[i])); i++
       :: else -> break
       od
#endif
    fi
  };
  if
  :: true -> atomic { createClaim(self, beginEra, holdsClaim); responseEra = era }
  :: true -> atomic { createClaim(self, beginEra, holdsClaim); holdsClaim = false };
     goto responseLost
  :: atomic { delayedWriter == NOBODY -> delayedWriter = self; delayedEra = beginEra };
     goto responseLost
  fi;
  goto responseReceived;
responseLost:
#ifdef GRANT_ON_LOST_ANSWER
  holdsClaim = true;
#else
  atomic {
    if
    :: claimExists && holder == self && !outcomeRecorded -> holdsClaim = true
    :: else -> skip
    fi;
    responseEra = era
  }
#endif
responseReceived:
  if
  :: holdsClaim ->
     /* The claim is remembered before the era is compared. */
     atomic { remembered[self] = true };
#ifndef RUN_UNSEEN
     atomic {
       observeEra(self, responseEra);
       if
       :: beginEra != era && !unseen[self] -> releaseClaim(self); goto done
       :: else -> skip
       fi
     }
#endif
  :: !holdsClaim ->
#ifdef RETAKE_DEAD
     atomic {
       if
       :: claimExists && !outcomeRecorded && holder != NOBODY && crashed[holder] -> holder = self; holdsClaim = true
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
     atomic { releaseClaim(self) }
  :: true -> /* The target runs it, and its response arrives or is lost. */
#ifndef CLAIM_AFTER_DISPATCH
     atomic { execute() };
#endif
     if
     :: true -> goto crash
     :: true -> atomic { ended[self] = true; rewriteClaim(self) }
     :: true -> /* The response was lost: the outcome stays unknown. */
#ifdef RELEASE_UNKNOWN
        atomic { releaseClaim(self) }
#else
        skip
#endif
     fi
  fi;
  goto done;
crash:
  atomic { crashed[self] = true; holderCrashed = true };
done:
  skip
}

/* The part of a node that sees the new era and writes the claim again. */
proctype observer(byte self) {
end:
  atomic { era == 2 -> observeEra(self, era) };
  do
  :: atomic { pending[self] && !crashed[self] -> pending[self] = false; rewriteClaim(self) }
  :: atomic { !pending[self] -> break }
  :: atomic { crashed[self] -> break }
  od
}

#ifdef RESTORE
/* Copies the state of the service, and restores it from the copy. */
active proctype service() {
  atomic { copyExists = claimExists; copyHolder = holder; copyRecorded = outcomeRecorded };
  atomic {
    era = 2;
    claimExists = copyExists; holder = copyHolder; outcomeRecorded = copyRecorded; claimEra = 1;
    byte i = 0;
    do
    :: i < NODES -> unseen[i] = true; i++
    :: else -> break
    od
  }
}

#endif

/* Applies a write whose writer no longer waits for the response. */
active proctype network() {
  bool writeSucceeded = false;
end:
  atomic { delayedWriter != NOBODY -> createClaim(delayedWriter, delayedEra, writeSucceeded); delayedWriter = NOBODY };
  goto end
}

/* A caller repeats the request through several nodes, one after the other and
 * concurrently. */
init {
  byte i = 0;
  atomic {
    do
    :: i < NODES -> run node(i);
#ifdef RESTORE
       run observer(i);
#endif
       i++
    :: else -> break
    od
  }
}
