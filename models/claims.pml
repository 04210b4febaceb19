/* Claim, dispatch and outcome of one key by two nodes; design.md, 4.9.
 *
 * Assumptions:
 * - Versions of the object only increase; a conditional update is atomic.
 * - An update whose answer was lost may be applied at any later time, or never.
 * - A crashed node restarts with a new incarnation and knows nothing of its
 *   earlier attempts; a record of an earlier incarnation is not its own.
 * - Each node serves a bounded number of attempts; the client may send the
 *   request to both nodes at the same time.
 * - A refusal is answered "not run"; dispatch and execution are one step, the
 *   worst case for at most once.
 *
 * Properties: the service executes at most once; an attempt that was answered
 * "not run" never executes; a recorded outcome stays.
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
bool wasDone = false;
bool refused[5];          /* attempts that were answered "not run" */

/* One late update per node: its expected version, state and owner. */
bool late[2];
byte lateExpected[2];
byte lateState[2];
byte lateOwner[2];

#define APPLY(s, o) version++; state = s; owner = o; \
  if :: s == DONE -> wasDone = true :: else fi; \
  assert(!wasDone || state == DONE)

#ifdef UNCONDITIONAL_UPDATE
#define MATCHES(v) true
#else
#define MATCHES(v) (version == v)
#endif

#define EXECUTE(a) executions++; assert(executions <= 1); assert(!refused[a])

/* An update; answer is 0 applied, 1 conflict, 2 unavailable, 3 unknown. */
inline update(expected, newState, newOwner) {
  atomic {
    if
    :: MATCHES(expected) -> APPLY(newState, newOwner); answer = 0
    :: !MATCHES(expected) -> answer = 1
    :: answer = 2
    :: MATCHES(expected) -> APPLY(newState, newOwner); answer = 3
    :: !late[id] -> late[id] = true; lateExpected[id] = expected;
       lateState[id] = newState; lateOwner[id] = newOwner; answer = 3
    fi
  }
}

proctype Store() {
  byte n;
end:
  do
  :: atomic { late[0] -> n = 0; goto apply }
  :: atomic { late[1] -> n = 1; goto apply }
  od;
apply:
  atomic {
    if
    :: MATCHES(lateExpected[n]) -> APPLY(lateState[n], lateOwner[n])
    :: true /* never applied, or a conflict */
    fi;
    late[n] = false; lateExpected[n] = 0; lateState[n] = 0; lateOwner[n] = 0; n = 0;
    goto end
  }
}

proctype Node(byte id) {
  byte served = 0, attempt, seen, seenState, seenOwner, answer, tries, abandoned;
start:
  do
  :: served == ATTEMPTS -> break
  :: served < ATTEMPTS ->
     atomic { attempt = id * ATTEMPTS + served + 1; served++; tries = 0 }
reread:
     if
     :: goto crash
     :: tries == 2 -> goto refuse
     :: tries < 2 -> tries++
     fi;
     atomic { seen = version; seenState = state; seenOwner = owner }
     if
     :: seenState == CLAIMED && seenOwner == attempt -> goto granted
#ifdef RELEASE_BY_OTHER
     :: seenState == CLAIMED && seenOwner != attempt -> skip
#else
     :: seenState == CLAIMED && seenOwner != attempt &&
        !(abandoned != 0 && seenOwner == abandoned) -> goto next
     :: seenState == CLAIMED && abandoned != 0 && seenOwner == abandoned -> skip
#endif
     :: seenState == DONE -> goto next
     :: seenState == NONE || seenState == RELEASED -> skip
     fi;
     update(seen, CLAIMED, attempt);
     if
     :: answer == 0 -> goto granted
     :: answer == 1 || answer == 2 -> answer = 0; goto reread
#ifdef DISPATCH_ON_UNKNOWN
     :: answer == 3 -> goto granted
#else
     :: answer == 3 -> goto reread
#endif
     fi;
refuse:
     /* The record may be stored now or later; the attempt stays refused and
        its record may be replaced by a later attempt of this process. */
     atomic { refused[attempt] = true; abandoned = attempt }
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
     :: goto release           /* no byte left the node */
     :: atomic { EXECUTE(attempt) }
     fi;
#ifdef RELEASE_AFTER_DISPATCH
     if :: goto release :: skip fi;
#endif
     atomic { tries = 1; answer = 0; seen = 0; seenState = 0; seenOwner = 0 }
record:
     if
     :: goto crash
     :: tries == 2 -> goto next  /* stays Claimed: answered in progress */
     :: tries < 2 -> tries++
     fi;
     atomic { seen = version; seenState = state; seenOwner = owner }
     if
     :: seenState != CLAIMED || seenOwner != attempt -> goto next
     :: else -> skip
     fi;
     update(seen, DONE, attempt);
     if
     :: answer == 0 -> goto next
     :: answer != 0 -> atomic { answer = 0; seen = 0; seenState = 0; seenOwner = 0; goto record }
     fi;
release:
     atomic { refused[attempt] = true; seen = version }
     if
     :: state == CLAIMED && owner == attempt -> update(seen, RELEASED, attempt)
     :: else -> skip
     fi;
     goto next;
crash:
     atomic { abandoned = 0 }
next:
     /* Values that are not used again are reset to save states. */
     atomic { attempt = 0; seen = 0; seenState = 0; seenOwner = 0; answer = 0; tries = 0 }
  od
}

init {
  atomic { run Store(); run Node(0); run Node(1) }
}
