/*
 * Assignment of one VM of a fabric domain to the groups 1 and 2 (design 4.3):
 * two controllers that may act at the same time as lease holders, conditional
 * updates with lost responses, delayed orders, and one engine.
 * MUTATIONS: NO_CONDITION NO_RELEASING NO_UNLOAD_ACK NO_FENCING_CHECK NO_GENERATION_STEP NO_GROUP_CHECK
 *
 * Assumptions:
 * - The model does not rely on leases: both controllers may act at any time.
 *   Only the conditional update and the fencing token protect the assignment.
 * - A write in flight may be applied at any time, also after its sender got an
 *   unknown outcome and reread the object; its response may be lost.
 * - Each controller has one order in flight, which may be delayed by any time.
 * - An engine that checks fencing stores the highest token in memory. The
 *   model's engine does not restart; a controller fences each start of an
 *   engine anew, which is the same as the first contact here.
 * - An engine that ignores fencing may load an old group on a delayed order. A
 *   request carries group and generation, and the engine refuses a request
 *   whose group or generation differs from its own. For such an engine the
 *   model checks that it runs no request for another group than it has loaded.
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
/* Initially the VM is assigned and its load order is not sent yet. */
byte state = ASSIGNED;
byte group = 1;

/* The engine. */
bool engineChecks;
byte engineHighestToken = 0;
byte engineGroup = 0;

/* For engines that ignore fencing no property on generations is checked, so the
   generation that they loaded is not modelled. The arrays have one element for
   each controller: the object as the controller last read it, its write in
   flight and its order in flight. */
byte seenVersion[2];
byte seenGeneration[2];
byte seenState[2];
byte seenGroup[2];
bool hasRead[2];
byte phase[2];
byte expected[2];
byte newState[2];
byte newGroup[2];
byte newGeneration[2];
bool hasUnknownWrite[2]; /* the outcome of an earlier write is still unknown */
bool hasDelayedWrite[2]; /* that write may still be applied */
byte delayedExpected[2];
byte delayedState[2];
byte delayedGroup[2];
byte delayedGeneration[2];
byte fencedByToken[2];   /* token of the accepted unload order, or 0 */
bool sawEngineEmpty[2];  /* the engine reported no group after the unload */
byte orderKind[2];       /* 0 none, 1 unload, 2 load */
byte orderGroup[2];
byte orderToken[2];

/* Group of the router's request in flight, or 0. */
byte requestGroup = 0;

inline read(n) {
  if
  :: seenVersion[n] != version || !hasUnknownWrite[n] ->
     hasUnknownWrite[n] = false
  :: else -> skip
  fi;
  seenVersion[n] = version; seenGeneration[n] = generation;
  seenState[n] = state; seenGroup[n] = group; hasRead[n] = true;
  fencedByToken[n] = 0; sawEngineEmpty[n] = false
}

/* Unused values are reset to limit the number of states. */
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
  phase[n] = SENT; hasRead[n] = false;
  fencedByToken[n] = 0; sawEngineEmpty[n] = false
}

inline applyValues(nextState, nextGroup, nextGeneration) {
  assert(nextGeneration > generation);
  /* A VM must become free, with an empty engine, before it is assigned to
     another group. */
  assert(!(state == ASSIGNED && nextState == ASSIGNED &&
           group != nextGroup));
  assert(!(nextState == ASSIGNED && engineChecks && engineGroup != 0 &&
           engineGroup != nextGroup));
  version++; generation = nextGeneration;
  state = nextState; group = nextGroup
}

inline apply(n) { applyValues(newState[n], newGroup[n], newGeneration[n]) }

inline deliverOrder(n) {
  if
#ifdef NO_FENCING_CHECK
  :: true ->
#else
  :: !engineChecks || orderToken[n] >= engineHighestToken ->
#endif
     if
     :: orderToken[n] > engineHighestToken -> engineHighestToken = orderToken[n]
     :: else -> skip
     fi;
     if
     :: orderKind[n] == 1 -> engineGroup = 0;
        if
        :: hasRead[n] && orderToken[n] == seenGeneration[n] ->
           fencedByToken[n] = orderToken[n]
        :: else -> skip
        fi
     :: orderKind[n] == 2 -> engineGroup = orderGroup[n]
     fi
#ifndef NO_FENCING_CHECK
  :: else -> skip
#endif
  fi;
  orderKind[n] = 0; orderGroup[n] = 0; orderToken[n] = 0;
  /* While a VM is assigned, an engine that checks fencing has loaded either no
     group or the group that the VM is assigned to. */
  assert(!(engineChecks && state == ASSIGNED && engineGroup != 0 &&
           engineGroup != group))
}

proctype controller(byte n) {
end:
  do
  :: atomic { phase[n] == IDLE && (!hasRead[n] || seenVersion[n] != version) ->
       read(n) }
     /* This write keeps the state and the group but changes the version, so
        that an earlier update with an unknown outcome is no longer applied. */
  :: atomic { phase[n] == IDLE && hasRead[n] && hasUnknownWrite[n] &&
       seenGeneration[n] < MAX_GENERATION ->
       propose(n, seenState[n], seenGroup[n]) }
  :: atomic { phase[n] == IDLE && hasRead[n] && !hasUnknownWrite[n] &&
       seenGeneration[n] < MAX_GENERATION ->
       if
       :: seenState[n] == FREE && fencedByToken[n] != 0 && sawEngineEmpty[n] ->
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
       :: seenState[n] == RELEASING && fencedByToken[n] != 0 &&
          sawEngineEmpty[n] ->
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
     /* The call times out, and the write remains in flight. */
  :: atomic { phase[n] == SENT && !hasDelayedWrite[n] && !hasUnknownWrite[n] ->
       hasDelayedWrite[n] = true; delayedExpected[n] = expected[n];
       delayedState[n] = newState[n]; delayedGroup[n] = newGroup[n];
       delayedGeneration[n] = newGeneration[n]; hasUnknownWrite[n] = true;
       phase[n] = IDLE;
       clearWrite(n) }
  :: atomic { hasDelayedWrite[n] ->
       if
       :: delayedExpected[n] == version ->
          applyValues(delayedState[n], delayedGroup[n], delayedGeneration[n])
       :: else -> skip
       fi;
       hasDelayedWrite[n] = false; delayedExpected[n] = 0; delayedState[n] = 0;
       delayedGroup[n] = 0; delayedGeneration[n] = 0 }
  :: atomic { phase[n] == APPLIED -> phase[n] = IDLE; hasUnknownWrite[n] = false;
       clearWrite(n); read(n) }
  :: atomic { phase[n] == REFUSED -> phase[n] = IDLE; hasUnknownWrite[n] = false;
       clearWrite(n) }
  :: atomic { phase[n] == IDLE && hasRead[n] && !hasUnknownWrite[n] &&
       orderKind[n] == 0 &&
       seenGeneration[n] > 0 ->
       orderToken[n] = seenGeneration[n];
       if
       :: seenState[n] == ASSIGNED ->
          orderKind[n] = 2; orderGroup[n] = seenGroup[n]
       :: else -> orderKind[n] = 1
       fi }
  :: atomic { orderKind[n] != 0 -> deliverOrder(n) }
  :: atomic { fencedByToken[n] != 0 && !sawEngineEmpty[n] && engineGroup == 0 ->
       sawEngineEmpty[n] = true }
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
          /* An engine runs a request only for the group that it has loaded. */
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
