/*
 * Lease of one control shard (design 4.2): two nodes, pauses, clocks with a
 * rate error, lost responses, and one engine.
 * MUTATIONS: NO_CHALLENGE_MARGIN NO_HOLDER_MARGIN COUNT_FROM_ANSWER NO_CONDITION NO_FENCING_CHECK NO_TAKEOVER_UPDATE NO_EPOCH_STEP
 *
 * Assumptions:
 * - The store applies a conditional update in one step, at any time between
 *   its request and its response. A response may be lost; the node then rereads
 *   the record.
 * - Time is measured in ticks. While a node measures one lease, its clock may
 *   lose at most one tick against real time (slow), and while a node waits
 *   for one lease record to expire, its clock may gain at most one tick (fast).
 *   This is the bound of the clock rate error.
 * - A node may be paused between any two steps, also between its lease check
 *   and the sending of an order; an order may be delayed by any time.
 * - The lease lasts DURATION ticks. The holder uses it for one tick less, and
 *   a challenger waits one tick more before it takes over. The number of lease
 *   writes is bounded by MAX_WRITES.
 * - Engines that check fencing refuse a token that is lower than the highest
 *   one they received. Engines that ignore it execute any order, so they may
 *   execute the orders of successive holders out of sequence. Their orders are
 *   not modelled here; models/assignment.pml covers their delayed orders.
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
#define NO_HOLDER 2
#define IDLE 0
#define SENT 1
#define APPLIED 2
#define REFUSED 3

byte holder = NO_HOLDER;
byte version = 0;
byte epoch = 0;
byte generation = 0;
byte generationEpoch = 0;

bool engineChecks;
byte engineHighestToken = 0;
byte engineEpoch = 0;

byte phase[2];
byte expected[2];
byte wantedEpoch[2];
byte seenVersion[2];
byte seenEpoch[2];
byte seenHolder[2];
byte waitedTicks[2];
bool fastUsed[2];
byte sentTicksLeft[2]; /* ticks left of the lease if the write succeeds */
bool sentSlow[2];
byte heldTicksLeft[2]; /* ticks left of the lease by the node's own clock */
bool heldSlow[2];
byte heldEpoch[2];
byte token[2];         /* generation that the node wrote in its epoch, or 0 */
byte orderToken[2];    /* fencing token of the order in flight, or 0 */
byte orderEpoch[2];

#define holdsLease(n) (heldTicksLeft[n] > 0)

inline countDown(left, slow) {
  if
  :: left > 0 -> left--
  :: left > 0 && !slow -> slow = true
  :: left == 0 -> skip
  fi
}

inline tick(n) {
  countDown(sentTicksLeft[n], sentSlow[n]);
  countDown(heldTicksLeft[n], heldSlow[n]);
  if
  :: seenHolder[n] == n -> waitedTicks[n] = WAIT
  :: seenHolder[n] != n && waitedTicks[n] < WAIT -> waitedTicks[n]++
  :: seenHolder[n] != n && waitedTicks[n] + 1 < WAIT && !fastUsed[n] ->
     fastUsed[n] = true; waitedTicks[n] = waitedTicks[n] + 2
  :: waitedTicks[n] >= WAIT -> skip
  fi;
  /* Unused values are reset to limit the number of states. */
  if
  :: waitedTicks[n] >= WAIT -> fastUsed[n] = false
  :: else -> skip
  fi;
  if
  :: heldTicksLeft[n] == 0 -> heldSlow[n] = false; token[n] = 0
  :: else -> skip
  fi
}

inline observeRecord(n) {
  /* A changed lease record restarts the challenger's wait. */
  if
  :: seenVersion[n] != version ->
     seenVersion[n] = version; seenEpoch[n] = epoch; seenHolder[n] = holder;
     waitedTicks[n] = 0; fastUsed[n] = false
  :: else -> skip
  fi;
  if
  :: holder != n -> heldTicksLeft[n] = 0; token[n] = 0
  :: else -> skip
  fi
}

inline completeWrite(n) {
  observeRecord(n);
  if
  :: holder == n && epoch == wantedEpoch[n] ->
     if
     :: heldEpoch[n] != epoch -> token[n] = 0
     :: else -> skip
     fi;
     heldEpoch[n] = epoch;
#ifdef COUNT_FROM_ANSWER
     heldTicksLeft[n] = HOLD; heldSlow[n] = false
#else
     heldTicksLeft[n] = sentTicksLeft[n]; heldSlow[n] = sentSlow[n]
#endif
  :: else -> skip
  fi;
  phase[n] = IDLE; sentTicksLeft[n] = 0; sentSlow[n] = false;
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
     /* A change of the holder always increases the epoch. */
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
  :: holdsLease(n) && seenHolder[n] == n -> wantedEpoch[n] = seenEpoch[n]
#ifdef NO_EPOCH_STEP
  :: else -> wantedEpoch[n] = seenEpoch[n]
#else
  :: else -> wantedEpoch[n] = seenEpoch[n] + 1
#endif
  fi;
  sentTicksLeft[n] = HOLD; sentSlow[n] = false; phase[n] = SENT
}

inline deliverOrder(n) {
  if
#ifdef NO_FENCING_CHECK
  :: true ->
#else
  :: orderToken[n] >= engineHighestToken ->
#endif
     /* The engine executes no order of an earlier holder after one of a later
        holder. */
     assert(orderEpoch[n] >= engineEpoch);
     engineEpoch = orderEpoch[n];
     if
     :: orderToken[n] > engineHighestToken -> engineHighestToken = orderToken[n]
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
  :: atomic { phase[n] == IDLE && version != seenVersion[n] -> observeRecord(n) }
  :: atomic { phase[n] == IDLE && version < MAX_WRITES &&
       (seenHolder[n] == NO_HOLDER || seenHolder[n] == n ||
        waitedTicks[n] >= WAIT) ->
       send(n) }
  :: atomic { phase[n] == SENT -> applyAtStore(n) }
     /* The node learns the outcome from the response or, if that is lost, by
        rereading the record. */
  :: atomic { phase[n] == APPLIED -> completeWrite(n) }
  :: atomic { phase[n] == REFUSED ->
       phase[n] = IDLE; sentTicksLeft[n] = 0; sentSlow[n] = false;
       expected[n] = 0; wantedEpoch[n] = 0; observeRecord(n) }
     /* The first update of the assignment in an epoch raises the generation.
        It is conditional, so an older holder's update is refused. */
  :: atomic { holdsLease(n) && token[n] == 0 && heldEpoch[n] > generationEpoch ->
#ifndef NO_TAKEOVER_UPDATE
       generation++;
#else
       generation = (generation == 0 -> 1 : generation);
#endif
       generationEpoch = heldEpoch[n]; token[n] = generation }
     /* The node checks its lease before it sends an order; the order may then
        be delayed by any time. */
  :: atomic { engineChecks && holdsLease(n) && token[n] != 0 &&
       orderToken[n] == 0 ->
       orderToken[n] = token[n]; orderEpoch[n] = heldEpoch[n] }
  :: atomic { orderToken[n] != 0 -> deliverOrder(n) }
  :: atomic { holdsLease(0) && holdsLease(1) -> assert(false) }
  od
}

proctype clock() {
end:
  do
  :: atomic { (sentTicksLeft[0] > 0 || sentTicksLeft[1] > 0 || holdsLease(0) ||
       holdsLease(1) ||
       waitedTicks[0] < WAIT || waitedTicks[1] < WAIT) -> tick(0); tick(1) }
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
