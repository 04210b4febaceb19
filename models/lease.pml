/*
 * Lease of one control shard (design 4.2): two nodes, pauses, clocks with a
 * rate error, lost answers, and one engine.
 * MUTATIONS: NO_CHALLENGE_MARGIN NO_HOLDER_MARGIN COUNT_FROM_ANSWER NO_CONDITION NO_FENCING_CHECK NO_TAKEOVER_UPDATE NO_EPOCH_STEP
 *
 * Assumptions:
 * - The store applies a conditional update in one step, at any time between
 *   its send and its answer. An answer may be lost; the node then rereads.
 * - Clocks are counted in ticks. While a node counts one lease, its clock may
 *   lose at most one tick against real time (slow), and while a node waits
 *   for one record, its clock may gain at most one tick (fast). This is the
 *   clock rate error bound.
 * - A node may be paused between any two steps, also between its lease check
 *   and the send of an order; an order may be late by any time.
 * - The lease lasts DURATION ticks. The holder uses one less, the challenger
 *   waits one more. The number of lease writes is bounded by MAX_WRITES.
 * - Engines that check fencing refuse a token that is lower than the highest
 *   one they saw. Engines that ignore it take any order, so no claim on the
 *   order of holders holds for them, and their orders are left out here;
 *   models/assignment.pml treats their late orders.
 */
#define DURATION 3
#ifdef NO_HOLDER_MARGIN
#define HOLD DURATION
#else
#define HOLD (DURATION - 1)
#endif
#ifdef NO_CHALLENGE_MARGIN
#define WAIT DURATION
#else
#define WAIT (DURATION + 1)
#endif
#define MAX_WRITES 3
#define NOBODY 2
#define IDLE 0
#define SENT 1
#define APPLIED 2
#define REFUSED 3

byte holder = NOBODY;
byte version = 0;
byte epoch = 0;
byte generation = 0;
byte generationEpoch = 0;

bool engineChecks;
byte engineFence = 0;
byte engineEpoch = 0;

byte phase[2];
byte expected[2];
byte wantedEpoch[2];
byte seenVersion[2];
byte seenEpoch[2];
byte seenHolder[2];
byte waited[2];
bool fastUsed[2];
byte sentLeft[2];      /* ticks left of the lease that the write would give */
bool sentSlow[2];
byte heldLeft[2];      /* ticks left of the lease that the node believes in */
bool heldSlow[2];
byte heldEpoch[2];
byte token[2];         /* generation this node wrote in this epoch, or 0 */
byte orderToken[2];    /* order on its way to the engine, or 0 */
byte orderEpoch[2];

#define holds(n) (heldLeft[n] > 0)

inline countDown(left, slow) {
  if
  :: left > 0 -> left--
  :: left > 0 && !slow -> slow = true
  :: left == 0 -> skip
  fi
}

inline tick(n) {
  countDown(sentLeft[n], sentSlow[n]);
  countDown(heldLeft[n], heldSlow[n]);
  if
  :: seenHolder[n] == n -> waited[n] = WAIT
  :: seenHolder[n] != n && waited[n] < WAIT -> waited[n]++
  :: seenHolder[n] != n && waited[n] + 1 < WAIT && !fastUsed[n] ->
     fastUsed[n] = true; waited[n] = waited[n] + 2
  :: waited[n] >= WAIT -> skip
  fi;
  /* Values without a meaning are reset to keep the state space small. */
  if
  :: waited[n] >= WAIT -> fastUsed[n] = false
  :: else -> skip
  fi;
  if
  :: heldLeft[n] == 0 -> heldSlow[n] = false; token[n] = 0
  :: else -> skip
  fi
}

inline look(n) {
  /* A changed record restarts the wait. */
  if
  :: seenVersion[n] != version ->
     seenVersion[n] = version; seenEpoch[n] = epoch; seenHolder[n] = holder;
     waited[n] = 0; fastUsed[n] = false
  :: else -> skip
  fi;
  if
  :: holder != n -> heldLeft[n] = 0; token[n] = 0
  :: else -> skip
  fi
}

inline adopt(n) {
  look(n);
  if
  :: holder == n && epoch == wantedEpoch[n] ->
     if
     :: heldEpoch[n] != epoch -> token[n] = 0
     :: else -> skip
     fi;
     heldEpoch[n] = epoch;
#ifdef COUNT_FROM_ANSWER
     heldLeft[n] = HOLD; heldSlow[n] = false
#else
     heldLeft[n] = sentLeft[n]; heldSlow[n] = sentSlow[n]
#endif
  :: else -> skip
  fi;
  phase[n] = IDLE; sentLeft[n] = 0; sentSlow[n] = false;
  expected[n] = 0; wantedEpoch[n] = 0
}

inline applyAtStore(n) {
  if
#ifdef NO_CONDITION
  :: true ->
#else
  :: expected[n] == version ->
#endif
     assert(wantedEpoch[n] >= epoch);
     /* Another holder always has another epoch. */
     assert(holder == n || wantedEpoch[n] > epoch);
     version++; holder = n; epoch = wantedEpoch[n]; phase[n] = APPLIED
#ifndef NO_CONDITION
  :: else -> phase[n] = REFUSED
#endif
  fi
}

inline send(n) {
  expected[n] = seenVersion[n];
  if
  :: holds(n) && seenHolder[n] == n -> wantedEpoch[n] = seenEpoch[n]
#ifdef NO_EPOCH_STEP
  :: else -> wantedEpoch[n] = seenEpoch[n]
#else
  :: else -> wantedEpoch[n] = seenEpoch[n] + 1
#endif
  fi;
  sentLeft[n] = HOLD; sentSlow[n] = false; phase[n] = SENT
}

inline deliverOrder(n) {
  if
#ifdef NO_FENCING_CHECK
  :: true ->
#else
  :: orderToken[n] >= engineFence ->
#endif
     /* No order of an earlier holder is taken after one of a later holder. */
     assert(orderEpoch[n] >= engineEpoch);
     engineEpoch = orderEpoch[n];
     if
     :: orderToken[n] > engineFence -> engineFence = orderToken[n]
     :: else -> skip
     fi
#ifndef NO_FENCING_CHECK
  :: else -> skip
#endif
  fi;
  orderToken[n] = 0; orderEpoch[n] = 0
}

proctype node(byte n) {
end:
  do
  :: atomic { phase[n] == IDLE && version != seenVersion[n] -> look(n) }
  :: atomic { phase[n] == IDLE && version < MAX_WRITES &&
       (seenHolder[n] == NOBODY || seenHolder[n] == n || waited[n] >= WAIT) ->
       send(n) }
  :: atomic { phase[n] == SENT -> applyAtStore(n) }
     /* The answer, or after a lost answer the reread, tells the outcome. */
  :: atomic { phase[n] == APPLIED -> adopt(n) }
  :: atomic { phase[n] == REFUSED ->
       phase[n] = IDLE; sentLeft[n] = 0; sentSlow[n] = false;
       expected[n] = 0; wantedEpoch[n] = 0; look(n) }
     /* The first update of the assignment in an epoch raises the generation.
        It is conditional, so an older holder's update is refused. */
  :: atomic { holds(n) && token[n] == 0 && heldEpoch[n] > generationEpoch ->
#ifndef NO_TAKEOVER_UPDATE
       generation++;
#else
       generation = (generation == 0 -> 1 : generation);
#endif
       generationEpoch = heldEpoch[n]; token[n] = generation }
     /* The lease is checked, then the order may be late by any time. */
  :: atomic { engineChecks && holds(n) && token[n] != 0 &&
       orderToken[n] == 0 ->
       orderToken[n] = token[n]; orderEpoch[n] = heldEpoch[n] }
  :: atomic { orderToken[n] != 0 -> deliverOrder(n) }
  :: atomic { holds(0) && holds(1) -> assert(false) }
  od
}

proctype clock() {
end:
  do
  :: atomic { (sentLeft[0] > 0 || sentLeft[1] > 0 || holds(0) || holds(1) ||
       waited[0] < WAIT || waited[1] < WAIT) -> tick(0); tick(1) }
  od
}

init {
  atomic {
    if
    :: engineChecks = true
    :: engineChecks = false
    fi;
    run node(0); run node(1); run clock()
  }
}
