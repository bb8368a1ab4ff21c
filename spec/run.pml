/* The states of a run: one task, two targets with their agents, and leaders that change. A start is first committed and
 * then ordered. An order may be lost, be rejected, or be executed later. A stop may be rejected. A target may crash and
 * restart under another identity or under the same identity, with its clock and its counters reset. An agent may stop
 * answering, or restart without its memory. A lease may expire at any time. A former leader may have granted leases up
 * to the moment at which the next leader began.
 *
 * Checked: two runs of the task never exist at the same time; no run starts after the end `done` of the task was
 * recorded, and no end is recorded after which another run has begun (unless the lease expired in between); the model
 * never deadlocks before the task is done.
 *
 * Broken variants, each of which must fail: -DNO_COMMIT (the order is sent before the start is committed), -DNO_STOP
 * (an unanswered start counts as never begun), -DNO_READ (the ends are not read after the stop was answered), -DNO_WAIT
 * (the run of an agent that does not answer counts as ended before its lease has expired), -DNO_DEADLINE (an order has
 * no deadline), -DNOTE_FIRST (an end is recorded before it is committed), -DFORMER_RENEWS (a former leader continues to
 * renew leases), -DREFUSAL_ENDS (a rejected start counts as never begun, although a copy of its order may still reach
 * the agent), -DREFUSED_STOP (a rejected stop counts as done, although the start may still be in transit),
 * -DSTALE_ORDER (an agent executes an order after the lease that came with it has expired, under a later lease),
 * -DNO_FENCE (calls for a former incarnation reach the next incarnation with the same identity), -DID_ALONE (a new
 * incarnation with the same identity is mistaken for the former one), -DLAPSE_UNFENCED (a run counts as lapsed by the
 * clock of its former incarnation before the next one has seen a higher token).
 */
#define TARGETS 2
#define MAXRUN 4
#define MAXCHANGES 2
#define MAXCRASHES 1

/* The replicated log. */
byte logRun = 0;      /* number of the active run; 0 is none */
byte logTarget = 0;
byte lastRun = 0;
bool done = false;

/* State of the targets. */
byte running[TARGETS];
byte over[TARGETS];    /* highest number of a run that ended or was stopped there */
byte ended[TARGETS];   /* number of the run whose end `done` the target lists */
byte late[TARGETS];    /* a start call that is still in transit */
bool lateAlive[TARGETS]; /* the deadline of this start has not passed */
byte copy[TARGETS];    /* a repeated order that is still in transit to the agent */
bool copyAlive[TARGETS]; /* the lease that came with this order has not expired */
bool grant[TARGETS];   /* the lease of the target is valid */
bool fresh[TARGETS];   /* the lease has not expired since the end that the target lists */
bool overtaken[TARGETS]; /* another run began after the listed end */

/* State of the agents. */
bool doubt[TARGETS];
bool reborn[TARGETS];  /* the target restarted under the same identity */
bool unfenced[TARGETS]; /* since then the target has not seen a token above those of its former incarnation */
bool blind[TARGETS];   /* ID_ALONE: the agent orders the target to discard ends that the agent has not read */
bool stopAnswered[TARGETS];

/* State of the leader. */
bool known[TARGETS];   /* whether the leader assumes that a lease may still be valid */
bool delivered = false;
bool noted = false;    /* an end `done` was recorded */
byte changes = 0;
byte crashes = 0;
byte sent = 0;         /* NO_COMMIT: number of a run that was ordered but is not in the log yet */
byte sentTo = 0;
byte t;                /* 0 between the steps, so that it adds no states */

inline begin(target, number) {
  if
  :: number > over[target] && running[target] != number ->
     assert(running[0] == 0 && running[1] == 0);
     assert(!noted);
     running[target] = number;
     if :: ended[0] != 0 && fresh[0] -> overtaken[0] = true :: else -> skip fi;
     if :: ended[1] != 0 && fresh[1] -> overtaken[1] = true :: else -> skip fi
  :: else -> skip
  fi
}

inline order(target, number) {
  if
  :: begin(target, number)                                   /* answered */
  :: late[target] == 0 ->                                    /* lost, or executed later */
     late[target] = number; lateAlive[target] = true; doubt[target] = true; stopAnswered[target] = false
  :: copy[target] == 0 ->                                    /* rejected, for example for lack of capacity */
     copy[target] = number; copyAlive[target] = true;
#ifdef REFUSAL_ENDS
     logRun = 0
#else
     doubt[target] = true; stopAnswered[target] = false
#endif
  fi
}

inline finish(target) { over[target] = running[target]; running[target] = 0 }

active proctype world() {
  grant[0] = true; grant[1] = true; known[0] = true; known[1] = true;
  do
  /* The leader plans a run: the start is committed before the order is sent. */
  :: atomic { !done && logRun == 0 && lastRun < MAXRUN && sent == 0 && ((known[0] && grant[0]) || (known[1] && grant[1])) ->
       if :: known[0] && grant[0] -> t = 0 :: known[1] && grant[1] -> t = 1 fi;
#ifdef NO_COMMIT
       sent = lastRun + 1; sentTo = t;
       order(t, sent);
#else
       lastRun++; logRun = lastRun; logTarget = t; delivered = false;
#endif
       t = 0 }
#ifdef NO_COMMIT
  :: atomic { sent != 0 -> lastRun = sent; logRun = sent; logTarget = sentTo; delivered = true; sent = 0 }
#endif
  /* The leader sends the order, and sends it again after a change of leader; the run number makes this safe. */
  :: atomic { logRun != 0 && !delivered && grant[logTarget] && !doubt[logTarget] && late[logTarget] == 0 ->
       delivered = true;
       if
       :: over[logTarget] >= logRun -> doubt[logTarget] = true; stopAnswered[logTarget] = false   /* rejected as old */
       :: else -> order(logTarget, logRun)
       fi }
  :: atomic { late[0] != 0 || late[1] != 0 ->
       if :: late[0] != 0 -> t = 0 :: late[1] != 0 -> t = 1 fi;
#ifndef NO_DEADLINE
       if :: lateAlive[t] -> begin(t, late[t]) :: else -> skip fi;
#else
       begin(t, late[t]);
#endif
       late[t] = 0; lateAlive[t] = false; t = 0 }
  /* A copy of an order reaches the agent, and the agent does not know the run or does not know it any more. */
  :: atomic { copy[0] != 0 || copy[1] != 0 ->
       if :: copy[0] != 0 -> t = 0 :: copy[1] != 0 -> t = 1 fi;
#ifndef STALE_ORDER
       if :: grant[t] && copyAlive[t] -> begin(t, copy[t]) :: else -> skip fi;
#else
       if :: grant[t] -> begin(t, copy[t]) :: else -> skip fi;
#endif
       copy[t] = 0; copyAlive[t] = false; t = 0 }
  /* The task ends, and the target lists the end. */
  :: atomic { if :: running[0] != 0 -> t = 0 :: running[1] != 0 -> t = 1 fi;
       ended[t] = running[t]; fresh[t] = true; overtaken[t] = false; finish(t);
       if :: blind[t] -> ended[t] = 0; noted = true :: else -> skip fi;
       t = 0 }
  /* A lease expires: the target ends its run, and the orders sent under the lease are past their deadline. */
  :: atomic { if :: grant[0] -> t = 0 :: grant[1] -> t = 1 fi; grant[t] = false; copyAlive[t] = false; fresh[t] = false; overtaken[t] = false;
       /* The clock of a restarted incarnation has not reached the deadlines of the former one. */
       if :: !unfenced[t] -> lateAlive[t] = false :: else -> skip fi;
       if :: running[t] != 0 -> finish(t) :: else -> skip fi;
       known[t] = false; t = 0 }
  :: atomic { if :: !grant[0] -> t = 0 :: !grant[1] -> t = 1 fi; grant[t] = true; known[t] = true; t = 0 }
  /* An agent with an unconfirmed start sends stops until one is answered, and then reads the listed ends. */
  :: atomic { if :: doubt[0] && !stopAnswered[0] && logRun != 0 && logTarget == 0 -> t = 0 :: doubt[1] && !stopAnswered[1] && logRun != 0 && logTarget == 1 -> t = 1 fi;
       if
       :: true ->                                             /* confirmed */
#ifndef NO_STOP
          if :: running[t] == logRun -> finish(t) :: else -> skip fi;
          if :: over[t] < logRun -> over[t] = logRun :: else -> skip fi;
#endif
          stopAnswered[t] = true
       :: true ->                                             /* rejected: nothing was done */
#ifdef REFUSED_STOP
          stopAnswered[t] = true
#else
          skip
#endif
       fi;
       t = 0 }
  :: atomic { if :: doubt[0] && stopAnswered[0] -> t = 0 :: doubt[1] && stopAnswered[1] -> t = 1 fi;
       doubt[t] = false;
       if
#ifndef NO_READ
       :: logRun != 0 && logTarget == t && ended[t] == logRun -> done = true; logRun = 0; ended[t] = 0; noted = true
       :: logRun != 0 && logTarget == t && ended[t] != logRun -> logRun = 0
#else
       :: logRun != 0 && logTarget == t -> logRun = 0
#endif
       :: else -> skip
       fi;
       t = 0 }
  /* An end is reported, then committed, and recorded only after that. */
  :: atomic { if :: ended[0] != 0 -> t = 0 :: ended[1] != 0 -> t = 1 fi;
#ifdef NOTE_FIRST
       noted = true; ended[t] = 0;
       if
       :: logRun != 0 && logTarget == t && lastRun == logRun -> done = true; logRun = 0
       :: changes < MAXCHANGES -> changes++; delivered = false; doubt[0] = false; doubt[1] = false  /* report lost with leader */
       fi
#else
       if
       :: logRun != 0 && logTarget == t && ended[t] == logRun -> done = true; logRun = 0
       :: else -> skip
       fi;
       /* If the run is not active in the log any more, its end may be recorded only if the lease expired since. */
       assert(!overtaken[t]);
       noted = noted || done; ended[t] = 0;
#endif
       t = 0 }
  /* The run of an agent that does not answer counts as ended once no lease can be valid. */
#ifndef NO_WAIT
#ifdef LAPSE_UNFENCED
  :: atomic { logRun != 0 && !known[logTarget] -> logRun = 0; doubt[logTarget] = false }
#else
  /* The new incarnation lists what it has begun; the clock of the former one says nothing about these runs. */
  :: atomic { logRun != 0 && !known[logTarget] && !unfenced[logTarget] &&
              !(reborn[logTarget] && ended[logTarget] == logRun) -> logRun = 0; doubt[logTarget] = false }
#endif
#else
  :: atomic { logRun != 0 -> logRun = 0; doubt[logTarget] = false }
#endif
  /* Another leader takes over. It assumes every lease that the former leader may have granted up to now to be valid. */
  :: atomic { changes < MAXCHANGES -> changes++; delivered = false; sent = 0;
       known[0] = grant[0]; known[1] = grant[1] }
#ifdef FORMER_RENEWS
  :: atomic { changes > 0 -> if :: t = 0 :: t = 1 fi; grant[t] = true; lateAlive[t] = (late[t] != 0); t = 0 }
#endif
  /* An agent restarts without its memory of unconfirmed starts, and the order is sent again. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       doubt[t] = false; stopAnswered[t] = false; copy[t] = 0; delivered = false; t = 0 }
  /* A target crashes. Its next incarnation has another identity, and the agent reports the change. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       running[t] = 0; over[t] = 0; ended[t] = 0; overtaken[t] = false; late[t] = 0; copy[t] = 0; doubt[t] = false;
       if :: logRun != 0 && logTarget == t -> logRun = 0 :: else -> skip fi;
       t = 0 }
  /* A target crashes and restarts under the same identity, and the agent has not found out yet. Calls that the former
   * incarnation received ended with it. Calls that are sent from now on reach the new one, whose clock is behind their
   * deadline, and which has not seen a token above theirs. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       running[t] = 0; over[t] = 0; ended[t] = 0; overtaken[t] = false; copy[t] = 0; copyAlive[t] = false; reborn[t] = true; unfenced[t] = true;
#ifdef NO_FENCE
       lateAlive[t] = (late[t] != 0);
#else
       late[t] = 0; lateAlive[t] = false;
#endif
       t = 0 }
  /* The new incarnation answers a poll under a higher token, so it refuses older calls from now on. The agent drops
   * orders that name the former incarnation, and stops the runs that the new one has begun. */
  :: atomic { if :: unfenced[0] -> t = 0 :: unfenced[1] -> t = 1 fi;
       unfenced[t] = false; copy[t] = 0; copyAlive[t] = false; doubt[t] = false;
       if :: running[t] != 0 -> finish(t) :: else -> skip fi;
#ifndef NO_FENCE
       late[t] = 0; lateAlive[t] = false;
#endif
#ifdef ID_ALONE
       blind[t] = true;
#else
       if :: logRun != 0 && logTarget == t && ended[t] != logRun -> logRun = 0 :: else -> skip fi;
#endif
       t = 0 }
  :: atomic { done && logRun == 0 -> break }
  :: atomic { lastRun == MAXRUN && logRun == 0 && !done -> break }  /* limit of this model */
  od
}
