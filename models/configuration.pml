/* Acceptance and distribution of configuration changes (docs/design.md, 4.4).
 *
 * MUTATIONS: NO_CONDITION NO_RECOGNITION NO_BASE_CHECK NO_FENCE GO_BACK SNAPSHOT_OF_NEXT
 *
 * Assumptions:
 * - The store applies each write atomically; a write succeeds only if the
 *   version is the expected one. A write whose outcome is unknown may have
 *   been applied or may still be applied once, at any later time.
 * - Reads may lag: a read returns the present head or the one before it.
 * - Two writers W0 and W1 change the same entry by different plans; W0's plan
 *   is confirmed by two nodes (writers 0 and 2 carry plan 1, writer 1 carries
 *   plan 2). A retry is bounded, since each retry is the same step again.
 * - The content of a revision is the plan that was accepted with it. The head
 *   is replaced by a snapshot before the write (compaction) at any time.
 * - Two readers receive heads by lagging reads in any order.
 */
#define WRITERS 3
#define MAXREV 3
#define plan_of(w) ((w) == 1 -> 2 : 1)

byte version = 0;          /* version of the head */
byte revision = 0;         /* revision in the head */
byte entryRevision = 0;    /* revision that last changed the entry */
byte oldVersion = 0;       /* the head before the present one, for lag */
byte oldRevision = 0;
byte oldEntryRevision = 0;
byte planAt[MAXREV + 1];   /* plan accepted by each revision */
byte snapshot[MAXREV + 1]; /* plan of the snapshot that was stored, 0 none */
byte accepted[3];          /* how often a plan was accepted */
byte told[WRITERS];        /* 0 none, 1 accepted, 2 certainly not accepted */

/* One write under way per writer whose outcome is unknown to it. */
bool late[WRITERS];
byte lateExpected[WRITERS];
bool lateIsFence[WRITERS];

inline apply(w, expected, isFence, ok) {
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
        /* The entry has the revision on which the plan was based. */
        assert(entryRevision == 0);
        revision++;
        planAt[revision] = plan_of(w);
        entryRevision = revision;
        accepted[plan_of(w)]++;
        /* A plan is accepted once. */
        assert(accepted[plan_of(w)] <= 1);
        /* Nobody was told that this plan certainly failed. */
        assert(told[w] != 2)
     fi;
     ok = true
#ifndef NO_CONDITION
  :: else -> ok = false
#endif
  fi
}

proctype Writer(byte w) {
  byte readVersion, readRevision, readEntry;
  byte tries = 0;
  bool ok, unknown = false;
again:
  atomic {
    if
    :: readVersion = version; readRevision = revision;
       readEntry = entryRevision
    :: readVersion = oldVersion; readRevision = oldRevision;
       readEntry = oldEntryRevision
    fi
  }
  /* Recognition: the plan is among the accepted ones of the head read. */
  atomic {
#ifndef NO_RECOGNITION
    if
    :: readRevision >= 1 && planAt[1] == plan_of(w) -> told[w] = 1; goto end
    :: readRevision >= 2 && planAt[2] == plan_of(w) -> told[w] = 1; goto end
    :: else -> skip
    fi;
#endif
#ifndef NO_BASE_CHECK
    if
    :: readEntry != 0 ->
       /* A conflict is final, although a write may still be under way. */
       told[w] = 2; assert(accepted[plan_of(w)] == 0); goto end
    :: else -> skip
    fi
#endif
  }
  if
  :: tries < 2 -> tries++
  :: true -> goto giveUp /* The deadline may pass at any time. */
  fi;
  /* Compaction stores the snapshot first. The key may exist already. */
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
    :: true -> apply(w, readVersion, false, ok);
       if
       :: ok -> told[w] = 1; goto end
       :: else -> goto again
       fi
    :: true -> apply(w, readVersion, false, ok); unknown = true; goto again
    :: !late[w] -> late[w] = true; lateExpected[w] = readVersion;
       lateIsFence[w] = false; unknown = true; goto again
    fi
  }
giveUp:
  atomic {
#ifdef NO_FENCE
    told[w] = 2
#else
    /* The fence changes only the version; without an answer the outcome
       stays unknown and nothing is told. */
    if
    :: !unknown -> told[w] = 2
    :: else ->
       apply(w, readVersion, true, ok);
       if
       :: ok -> told[w] = 2
       :: else -> skip
       fi
    fi;
    /* A certain refusal is given only if the plan was not accepted; plan 2
       has one writer, so nobody else can have had it accepted. */
    assert(told[w] != 2 || w != 1 || accepted[2] == 0)
#endif
  }
end:
  skip
}

/* Carries out the writes that are under way, at any time. */
proctype Network() {
  byte w; bool ok;
end_idle:
  do
  :: atomic { late[0] -> late[0] = false; w = 0; apply(w, lateExpected[0], lateIsFence[0], ok) }
  :: atomic { late[1] -> late[1] = false; w = 1; apply(w, lateExpected[1], lateIsFence[1], ok) }
  :: atomic { late[2] -> late[2] = false; w = 2; apply(w, lateExpected[2], lateIsFence[2], ok) }
  od
}

/* A node that receives heads in any order, some of them old. */
proctype Reader() {
  byte have = 0; byte got; byte reads = 0;
  do
  :: reads < 2 ->
     reads++;
     atomic {
       if
       :: got = revision
       :: got = oldRevision
       fi;
       /* The content at a revision is the accepted one: a snapshot that is
          used must hold the plan that was accepted with its revision. */
       if
       :: got > 0 && snapshot[got] != 0 -> assert(snapshot[got] == planAt[got])
       :: else -> skip
       fi;
#ifdef GO_BACK
       assert(got >= have); have = got
#else
       if
       :: got > have -> have = got
       :: else -> skip
       fi;
       assert(have >= got)
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
