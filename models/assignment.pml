/*
 * Assignment of one VM of a fabric domain to the groups 1 and 2 (design 4.3):
 * two controllers that may both believe that they hold the lease, conditional
 * updates with lost answers, late orders, one engine that may restart.
 * MUTATIONS: NO_CONDITION NO_RELEASING NO_UNLOAD_ACK NO_FENCING_CHECK NO_GENERATION_STEP NO_GROUP_CHECK
 *
 * Assumptions:
 * - Leases are not trusted here: both controllers act at any time. Only the
 *   conditional update and the fencing token protect the assignment.
 * - A write in flight takes effect at any time, also after its sender got an
 *   unknown outcome and reread the object; its answer may be lost.
 * - Each controller has one order in flight, which may be late by any time.
 * - An engine that checks fencing keeps the highest token in memory. The
 *   model's engine does not restart; a controller fences each start of an
 *   engine anew, which is the same as the first contact here.
 * - An engine that ignores fencing may load an old group by a late order. A
 *   request carries group and generation, and the engine refuses others, so
 *   the claim for it is that no request runs for a group that is not stored.
 * - The group's generation is the generation of the assignment at the last
 *   change of its members.
 */
#define MAX_GENERATION 4
#define FREE 0
#define ASSIGNED 1
#define RELEASING 2
#define IDLE 0
#define SENT 1
#define APPLIED 2
#define REFUSED 3
#define UNKNOWN 4

/* The stored object. */
byte version = 0;
byte generation = 1;
/* The run starts when a VM was assigned and its load order is not sent yet. */
byte state = ASSIGNED;
byte group = 1;

/* The engine. */
bool engineChecks;
byte engineFence = 0;
byte engineGroup = 0;

/* Engines that ignore fencing have no claim on generations, so the
   generation that they loaded is left out. Per controller: what it read, its write and its order. */
byte seenVersion[2];
byte seenGeneration[2];
byte seenState[2];
byte seenGroup[2];
bool fresh[2];
byte phase[2];
byte expected[2];
byte newState[2];
byte newGroup[2];
byte newGeneration[2];
bool lost[2];          /* a write with unknown outcome is unresolved */
bool lateWrite[2];     /* that write may still take effect */
byte lateExpected[2];
byte lateState[2];
byte lateGroup[2];
byte lateGeneration[2];
byte fenced[2];        /* token of the unload that the engine accepted */
bool sawEmpty[2];      /* the engine was empty after that */
byte order[2];         /* 0 none, 1 unload, 2 load */
byte orderGroup[2];
byte orderToken[2];

/* A request on its way from a router. */
byte requestGroup = 0;

inline read(n) {
  if
  :: seenVersion[n] != version || !lost[n] -> lost[n] = false
  :: else -> skip
  fi;
  seenVersion[n] = version; seenGeneration[n] = generation;
  seenState[n] = state; seenGroup[n] = group; fresh[n] = true;
  fenced[n] = 0; sawEmpty[n] = false
}

/* A value without a meaning is reset to keep the state space small. */
inline clearWrite(n) {
  expected[n] = 0; newState[n] = 0; newGroup[n] = 0; newGeneration[n] = 0
}

inline propose(n, nextState, nextGroup) {
  expected[n] = seenVersion[n];
  newState[n] = nextState; newGroup[n] = nextGroup;
#ifdef NO_GENERATION_STEP
  newGeneration[n] = (seenGeneration[n] == 0 -> 1 : seenGeneration[n]);
#else
  newGeneration[n] = seenGeneration[n] + 1;
#endif
  phase[n] = SENT; fresh[n] = false;
  fenced[n] = 0; sawEmpty[n] = false
}

inline applyValues(nextState, nextGroup, nextGeneration) {
  assert(nextGeneration > generation);
  /* A VM changes groups only by way of a free VM whose engine is empty. */
  assert(!(state == ASSIGNED && nextState == ASSIGNED &&
           group != nextGroup));
  assert(!(nextState == ASSIGNED && engineChecks && engineGroup != 0 &&
           engineGroup != nextGroup));
  version++; generation = nextGeneration;
  state = nextState; group = nextGroup
}

inline apply(n) { applyValues(newState[n], newGroup[n], newGeneration[n]) }

inline deliver(n) {
  if
#ifdef NO_FENCING_CHECK
  :: true ->
#else
  :: !engineChecks || orderToken[n] >= engineFence ->
#endif
     if
     :: orderToken[n] > engineFence -> engineFence = orderToken[n]
     :: else -> skip
     fi;
     if
     :: order[n] == 1 -> engineGroup = 0;
        if
        :: fresh[n] && orderToken[n] == seenGeneration[n] ->
           fenced[n] = orderToken[n]
        :: else -> skip
        fi
     :: order[n] == 2 -> engineGroup = orderGroup[n]
     fi
#ifndef NO_FENCING_CHECK
  :: else -> skip
#endif
  fi;
  order[n] = 0; orderGroup[n] = 0; orderToken[n] = 0;
  /* An engine that checks fencing never holds a group other than the one the
     VM is assigned to, from the moment the VM is assigned. */
  assert(!(engineChecks && state == ASSIGNED && engineGroup != 0 &&
           engineGroup != group))
}

proctype controller(byte n) {
end:
  do
  :: atomic { phase[n] == IDLE && (!fresh[n] || seenVersion[n] != version) ->
       read(n) }
     /* An unresolved write is fenced by an update that changes the version. */
  :: atomic { phase[n] == IDLE && fresh[n] && lost[n] &&
       seenGeneration[n] < MAX_GENERATION ->
       propose(n, seenState[n], seenGroup[n]) }
  :: atomic { phase[n] == IDLE && fresh[n] && !lost[n] &&
       seenGeneration[n] < MAX_GENERATION ->
       if
       :: seenState[n] == FREE && fenced[n] != 0 && sawEmpty[n] ->
          if
          :: propose(n, ASSIGNED, 1)
          :: propose(n, ASSIGNED, 2)
          fi
#ifdef NO_RELEASING
       :: seenState[n] == ASSIGNED -> propose(n, ASSIGNED, 3 - seenGroup[n])
#else
       :: seenState[n] == ASSIGNED -> propose(n, RELEASING, seenGroup[n])
#endif
#ifdef NO_UNLOAD_ACK
       :: seenState[n] == RELEASING && engineGroup == 0 -> propose(n, FREE, 0)
       :: seenState[n] == FREE && engineGroup == 0 -> propose(n, ASSIGNED, 2)
#endif
       :: seenState[n] == RELEASING && fenced[n] != 0 && sawEmpty[n] ->
          propose(n, FREE, 0)
       :: else -> skip
       fi }
  :: atomic { phase[n] == SENT ->
       if
#ifdef NO_CONDITION
       :: true -> apply(n); phase[n] = APPLIED
#else
       :: expected[n] == version -> apply(n); phase[n] = APPLIED
       :: expected[n] != version -> phase[n] = REFUSED
#endif
       fi }
     /* The driver gives up waiting; the write stays on its way. */
  :: atomic { phase[n] == SENT && !lateWrite[n] && !lost[n] ->
       lateWrite[n] = true; lateExpected[n] = expected[n];
       lateState[n] = newState[n]; lateGroup[n] = newGroup[n];
       lateGeneration[n] = newGeneration[n]; lost[n] = true; phase[n] = IDLE;
       clearWrite(n) }
  :: atomic { lateWrite[n] ->
       if
       :: lateExpected[n] == version ->
          applyValues(lateState[n], lateGroup[n], lateGeneration[n])
       :: else -> skip
       fi;
       lateWrite[n] = false; lateExpected[n] = 0; lateState[n] = 0;
       lateGroup[n] = 0; lateGeneration[n] = 0 }
  :: atomic { phase[n] == APPLIED -> phase[n] = IDLE; lost[n] = false;
       clearWrite(n); read(n) }
  :: atomic { phase[n] == REFUSED -> phase[n] = IDLE; lost[n] = false;
       clearWrite(n) }
  :: atomic { phase[n] == IDLE && fresh[n] && !lost[n] && order[n] == 0 &&
       seenGeneration[n] > 0 ->
       orderToken[n] = seenGeneration[n];
       if
       :: seenState[n] == ASSIGNED -> order[n] = 2; orderGroup[n] = seenGroup[n]
       :: else -> order[n] = 1
       fi }
  :: atomic { order[n] != 0 -> deliver(n) }
  :: atomic { fenced[n] != 0 && !sawEmpty[n] && engineGroup == 0 ->
       sawEmpty[n] = true }
  od
}

proctype router() {
end:
  do
  :: atomic { state == ASSIGNED && requestGroup == 0 -> requestGroup = group }
  :: atomic { requestGroup != 0 ->
       if
#ifdef NO_GROUP_CHECK
       :: engineGroup != 0 ->
#else
       :: engineGroup == requestGroup ->
#endif
          /* The engine that runs the request holds the requested group. */
          assert(engineGroup == requestGroup)
       :: else -> skip
       fi;
       requestGroup = 0 }
  od
}

init {
  atomic {
    if
    :: engineChecks = true
    :: engineChecks = false
    fi;
    run controller(0); run controller(1); run router()
  }
}
