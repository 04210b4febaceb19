/* Acceptance and distribution of configuration changes (docs/design.md, 4.4).
 *
 * MUTATIONS: NO_CONDITION NO_RECOGNITION NO_BASE_CHECK NO_FENCE GO_BACK SNAPSHOT_OF_NEXT
 *
 * Assumptions:
 * - The store applies each write atomically; a write succeeds only if the
 *   version is the expected one. A write whose outcome is unknown may have
 *   been applied or may still be applied once, at any later time.
 * - Reads may be stale: a read returns the current head or the previous one.
 * - Two writers W0 and W1 change the same entry by different plans; W0's plan
 *   is confirmed by two nodes (writers 0 and 2 carry plan 1, writer 1 carries
 *   plan 2). The number of retries is bounded, since all retries take the same
 *   step.
 * - The content of a revision is the plan that was accepted with it. A writer
 *   may store a snapshot of the head (compaction) before any of its writes.
 * - A reader receives heads by stale reads in any order.
 */
#define WRITERS 3
#define MAXREV 3
#define plan_of(w) ((w) == 1 -> 2 : 1)

byte version = 0;          /* version of the head */
byte revision = 0;         /* revision in the head */
byte entryRevision = 0;    /* revision that last changed the entry */
byte oldVersion = 0;       /* previous head, returned by stale reads */
byte oldRevision = 0;
byte oldEntryRevision = 0;
byte planAt[MAXREV + 1];   /* plan accepted by each revision */
byte snapshot[MAXREV + 1]; /* plan in the snapshot of each revision, 0 none */
byte acceptedCount[3];          /* number of times that each plan was accepted */
/* Result that each writer reported: 0 none, 1 accepted, 2 definitely not
   accepted. */
byte reported[WRITERS];

/* One delayed write per writer, whose outcome is unknown to the writer. */
bool hasDelayedWrite[WRITERS];
byte delayedExpected[WRITERS];
bool delayedIsFence[WRITERS];

inline apply(w, expected, isFence, isApplied) {
  if
#ifdef NO_CONDITION
  :: true ->
#else
  :: version == expected ->
#endif
     oldVersion = version; oldRevision = revision;
     oldEntryRevision = entryRevision;
     version++;
     if
     :: isFence -> skip
     :: else ->
        assert(revision < MAXREV);
        /* The entry must still have the revision that the plan is based on. */
        assert(entryRevision == 0);
        revision++;
        planAt[revision] = plan_of(w);
        entryRevision = revision;
        acceptedCount[plan_of(w)]++;
        /* A plan is accepted at most once. */
        assert(acceptedCount[plan_of(w)] <= 1);
        /* The writer must not have reported the plan as definitely not
           accepted. */
        assert(reported[w] != 2)
     fi;
     isApplied = true
#ifndef NO_CONDITION
  :: else -> isApplied = false
#endif
  fi
}

proctype Writer(byte w) {
  byte readVersion, readRevision, readEntry;
  byte tries = 0;
  bool isApplied, hasUnknownOutcome = false;
reread:
  atomic {
    if
    :: readVersion = version; readRevision = revision;
       readEntry = entryRevision
    :: readVersion = oldVersion; readRevision = oldRevision;
       readEntry = oldEntryRevision
    fi
  }
  /* Recognition: the writer finds its own plan among the accepted plans of the
     head that it read. */
  atomic {
#ifndef NO_RECOGNITION
    if
    :: readRevision >= 1 && planAt[1] == plan_of(w) -> reported[w] = 1; goto end
    :: readRevision >= 2 && planAt[2] == plan_of(w) -> reported[w] = 1; goto end
    :: else -> skip
    fi;
#endif
#ifndef NO_BASE_CHECK
    if
    :: readEntry != 0 ->
       /* A conflict is a final result, although a delayed write of this writer
          may still be in flight. */
       reported[w] = 2; assert(acceptedCount[plan_of(w)] == 0); goto end
    :: else -> skip
    fi
#endif
  }
  if
  :: tries < 2 -> tries++
  :: true -> goto giveUp /* The deadline may expire at any time. */
  fi;
  /* Compaction stores the snapshot before the head. The snapshot key may exist
     already. */
  if
  :: atomic {
#ifdef SNAPSHOT_OF_NEXT
       if
       :: readRevision + 1 <= MAXREV && snapshot[readRevision + 1] == 0 ->
          snapshot[readRevision + 1] = plan_of(w)
       :: else -> skip
       fi
#else
       if
       :: readRevision > 0 && snapshot[readRevision] == 0 ->
          snapshot[readRevision] = planAt[readRevision]
       :: else -> skip
       fi
#endif
     }
  :: skip
  fi;
  atomic {
    if
    :: true -> apply(w, readVersion, false, isApplied);
       if
       :: isApplied -> reported[w] = 1; goto end
       :: else -> goto reread
       fi
    :: true -> apply(w, readVersion, false, isApplied);
       hasUnknownOutcome = true; goto reread
    :: !hasDelayedWrite[w] ->
       hasDelayedWrite[w] = true; delayedExpected[w] = readVersion;
       delayedIsFence[w] = false; hasUnknownOutcome = true; goto reread
    fi
  }
giveUp:
  atomic {
#ifdef NO_FENCE
    reported[w] = 2
#else
    /* The fencing write changes only the version of the head, so that delayed
       writes are refused. If it fails, the outcome remains unknown and the
       writer reports no result. */
    if
    :: !hasUnknownOutcome -> reported[w] = 2
    :: else ->
       apply(w, readVersion, true, isApplied);
       if
       :: isApplied -> reported[w] = 2
       :: else -> skip
       fi
    fi;
    /* A plan may be reported as definitely not accepted only if it was not
       accepted. This is checked for plan 2, which has only one writer. */
    assert(reported[w] != 2 || w != 1 || acceptedCount[2] == 0)
#endif
  }
end:
  skip
}

/* Applies the delayed writes at any time. */
proctype Network() {
  byte w; bool isApplied;
end_idle:
  do
  :: atomic { hasDelayedWrite[0] -> hasDelayedWrite[0] = false; w = 0;
       apply(w, delayedExpected[0], delayedIsFence[0], isApplied) }
  :: atomic { hasDelayedWrite[1] -> hasDelayedWrite[1] = false; w = 1;
       apply(w, delayedExpected[1], delayedIsFence[1], isApplied) }
  :: atomic { hasDelayedWrite[2] -> hasDelayedWrite[2] = false; w = 2;
       apply(w, delayedExpected[2], delayedIsFence[2], isApplied) }
  od
}

/* A node that receives heads in any order, some of them stale. */
proctype Reader() {
  byte knownRevision = 0; byte receivedRevision; byte reads = 0;
  do
  :: reads < 2 ->
     reads++;
     atomic {
       if
       :: receivedRevision = revision
       :: receivedRevision = oldRevision
       fi;
       /* The stored snapshot of a revision must contain the plan that was
          accepted with this revision. */
       if
       :: receivedRevision > 0 && snapshot[receivedRevision] != 0 ->
          assert(snapshot[receivedRevision] == planAt[receivedRevision])
       :: else -> skip
       fi;
#ifdef GO_BACK
       assert(receivedRevision >= knownRevision); knownRevision = receivedRevision
#else
       if
       :: receivedRevision > knownRevision -> knownRevision = receivedRevision
       :: else -> skip
       fi;
       assert(knownRevision >= receivedRevision)
#endif
     }
  :: reads >= 1 -> break
  od
}

init {
  atomic {
    run Writer(0); run Writer(1); run Writer(2); run Network(); run Reader()
  }
}
