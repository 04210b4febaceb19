/* Claim, dispatch and outcome of one idempotency key on two nodes (design.md,
 * 4.9).
 *
 * Assumptions:
 * - Versions of the object only increase; a conditional update is atomic.
 * - An update whose response was lost may be applied at any later time, or
 *   never.
 * - A crashed node restarts with a new incarnation and has lost the state of
 *   its earlier attempts; it must not replace a record of an earlier
 *   incarnation.
 * - Each node serves a bounded number of attempts; the client may send the
 *   request to both nodes at the same time.
 * - A refused attempt is reported to the client as "not run". Dispatch and
 *   execution are one step, which is the worst case for at-most-once execution.
 *
 * Properties: the service executes the key at most once; an attempt that was
 * reported as "not run" never executes; a recorded outcome never changes.
 *
 * MUTATIONS: DISPATCH_ON_UNKNOWN UNCONDITIONAL_UPDATE RELEASE_AFTER_DISPATCH RELEASE_BY_OTHER RUN_AFTER_REFUSAL
 */
#define ATTEMPTS 2
#define NONE 0
#define CLAIMED 1
#define DONE 2
#define RELEASED 3

byte version = 0;
byte state = NONE;
byte owner = 0;           /* identity of the attempt that wrote the record */
byte executions = 0;
bool wasRecordedDone = false;
bool reportedNotRun[5];          /* attempts that were reported as "not run" */

/* One delayed update per node: its expected version, state and owner. */
bool hasDelayedUpdate[2];
byte delayedExpected[2];
byte delayedState[2];
byte delayedOwner[2];

#define APPLY(s, o) version++; state = s; owner = o; \
  if :: s == DONE -> wasRecordedDone = true :: else fi; \
  assert(!wasRecordedDone || state == DONE)

#ifdef UNCONDITIONAL_UPDATE
#define MATCHES(v) true
#else
#define MATCHES(v) (version == v)
#endif

#define EXECUTE(a) executions++; assert(executions <= 1); \
  assert(!reportedNotRun[a])

/* Conditional update of the record. Sets updateResult to 0 (applied),
   1 (conflict), 2 (unavailable) or 3 (outcome unknown). */
inline update(expected, newState, newOwner) {
  atomic {
    if
    :: MATCHES(expected) -> APPLY(newState, newOwner); updateResult = 0
    :: !MATCHES(expected) -> updateResult = 1
    :: updateResult = 2
    :: MATCHES(expected) -> APPLY(newState, newOwner); updateResult = 3
    :: !hasDelayedUpdate[id] ->
       hasDelayedUpdate[id] = true; delayedExpected[id] = expected;
       delayedState[id] = newState; delayedOwner[id] = newOwner; updateResult = 3
    fi
  }
}

proctype Store() {
  byte n;
end:
  do
  :: atomic { hasDelayedUpdate[0] -> n = 0; goto apply }
  :: atomic { hasDelayedUpdate[1] -> n = 1; goto apply }
  od;
apply:
  atomic {
    if
    :: MATCHES(delayedExpected[n]) -> APPLY(delayedState[n], delayedOwner[n])
    :: true /* lost, or refused because of a conflict */
    fi;
    hasDelayedUpdate[n] = false; delayedExpected[n] = 0; delayedState[n] = 0;
    delayedOwner[n] = 0; n = 0;
    goto end
  }
}

proctype Node(byte id) {
  byte attemptsServed = 0, attempt, seenVersion, seenState, seenOwner,
    updateResult, tries, abandonedAttempt;
start:
  do
  :: attemptsServed == ATTEMPTS -> break
  :: attemptsServed < ATTEMPTS ->
     atomic {
       attempt = id * ATTEMPTS + attemptsServed + 1; attemptsServed++; tries = 0
     }
reread:
     if
     :: goto crash
     :: tries == 2 -> goto refuse
     :: tries < 2 -> tries++
     fi;
     atomic { seenVersion = version; seenState = state; seenOwner = owner }
     if
     :: seenState == CLAIMED && seenOwner == attempt -> goto granted
#ifdef RELEASE_BY_OTHER
     :: seenState == CLAIMED && seenOwner != attempt -> skip
#else
     :: seenState == CLAIMED && seenOwner != attempt &&
        !(abandonedAttempt != 0 && seenOwner == abandonedAttempt) -> goto next
     :: seenState == CLAIMED && abandonedAttempt != 0 &&
        seenOwner == abandonedAttempt -> skip
#endif
     :: seenState == DONE -> goto next
     :: seenState == NONE || seenState == RELEASED -> skip
     fi;
     update(seenVersion, CLAIMED, attempt);
     if
     :: updateResult == 0 -> goto granted
     :: updateResult == 1 || updateResult == 2 -> updateResult = 0; goto reread
#ifdef DISPATCH_ON_UNKNOWN
     :: updateResult == 3 -> goto granted
#else
     :: updateResult == 3 -> goto reread
#endif
     fi;
refuse:
     /* The claim record of this attempt may be stored now or later. The attempt
        remains refused, so a later attempt of this process may replace its
        record. */
     atomic { reportedNotRun[attempt] = true; abandonedAttempt = attempt }
#ifdef RUN_AFTER_REFUSAL
     if
     :: state == CLAIMED && owner == attempt -> goto granted
     :: else -> goto next
     fi;
#endif
     goto next;
granted:
     if
     :: goto crash
     :: goto release           /* the node sent no byte of the request */
     :: atomic { EXECUTE(attempt) }
     fi;
#ifdef RELEASE_AFTER_DISPATCH
     if :: goto release :: skip fi;
#endif
     atomic {
       tries = 1; updateResult = 0; seenVersion = 0; seenState = 0; seenOwner = 0
     }
record:
     if
     :: goto crash
     :: tries == 2 -> goto next  /* the record remains CLAIMED: in progress */
     :: tries < 2 -> tries++
     fi;
     atomic { seenVersion = version; seenState = state; seenOwner = owner }
     if
     :: seenState != CLAIMED || seenOwner != attempt -> goto next
     :: else -> skip
     fi;
     update(seenVersion, DONE, attempt);
     if
     :: updateResult == 0 -> goto next
     :: updateResult != 0 -> atomic {
          updateResult = 0; seenVersion = 0; seenState = 0; seenOwner = 0;
          goto record }
     fi;
release:
     atomic { reportedNotRun[attempt] = true; seenVersion = version }
     if
     :: state == CLAIMED && owner == attempt -> update(seenVersion, RELEASED, attempt)
     :: else -> skip
     fi;
     goto next;
crash:
     atomic { abandonedAttempt = 0 }
next:
     /* Unused values are reset to limit the number of states. */
     atomic {
       attempt = 0; seenVersion = 0; seenState = 0; seenOwner = 0;
       updateResult = 0; tries = 0
     }
  od
}

init {
  atomic { run Store(); run Node(0); run Node(1) }
}
