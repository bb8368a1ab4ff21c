/* The life of a run: one task, two targets with their agents, leaders that change. A start is committed, then ordered;
 * an order may be lost, be refused, or be carried out later; a stop may be refused; a target may crash and begin again
 * under another identity or under the one that it had, its clock and its counts anew; an agent may fall
 * silent or restart blank; a grant may run out at any time; a former leader may still have granted up to the moment at
 * which the next one began.
 *
 * Checked: never two runs of the task at once; no start after its end `done` was noted, and no note of an end after which
 * another run has begun (unless the hold ran out in between); no state in which nothing can happen any more before the
 * task is done.
 *
 * Broken variants, each of which must fail: -DNO_COMMIT (the order leaves before the start is committed), -DNO_STOP (a
 * start without answer counts as never begun), -DNO_READ (after the stop was answered the ends are not read), -DNO_WAIT
 * (a silent agent's run counts as over before its grant has run out), -DNO_DEADLINE (an order has no deadline),
 * -DNOTE_FIRST (an end is noted before it is committed), -DFORMER_RENEWS (a former leader goes on renewing grants),
 * -DREFUSAL_ENDS (a refused start counts as never begun, although a copy of its order may still reach the agent),
 * -DREFUSED_STOP (a refused stop counts as done, although the start may still be on its way), -DSTALE_ORDER (an agent
 * carries out an order after the grant that came with it, under a later grant), -DNO_FENCE (calls for a former life reach
 * the next one under its identity), -DID_ALONE (a new life under the same identity is taken for the former one).
 */
#define TARGETS 2
#define MAXRUN 4
#define MAXCHANGES 2
#define MAXCRASHES 1

/* The log. */
byte logRun = 0;      /* active run, 0 is none */
byte logTarget = 0;
byte lastRun = 0;
bool done = false;

/* Targets. */
byte running[TARGETS];
byte over[TARGETS];    /* highest run that ended or was stopped there */
byte ended[TARGETS];   /* run whose end `done` is listed */
byte late[TARGETS];    /* a start that is still on its way */
bool lateAlive[TARGETS]; /* its deadline is still to come */
byte copy[TARGETS];    /* an order, given again, that is still on its way to the agent */
bool copyAlive[TARGETS]; /* the grant that came with it has not run out */
bool grant[TARGETS];   /* the target is held */
bool fresh[TARGETS];   /* its hold has not run out since the end that it lists */
bool overtaken[TARGETS]; /* another run began after that end */

/* Agents. */
bool doubt[TARGETS];
bool blind[TARGETS];   /* ID_ALONE: it tells the target to forget ends that it has not read */
bool stopAnswered[TARGETS];

/* The leader. */
bool known[TARGETS];   /* believes that a grant may be alive */
bool delivered = false;
bool noted = false;    /* an end `done` was taken note of */
byte changes = 0;
byte crashes = 0;
byte sent = 0;         /* NO_COMMIT: a run that was ordered but is not in the log yet */
byte sentTo = 0;
byte t;

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
  :: late[target] == 0 ->                                    /* lost, or carried out later */
     late[target] = number; lateAlive[target] = true; doubt[target] = true; stopAnswered[target] = false
  :: copy[target] == 0 ->                                    /* refused, as for want of room */
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
  /* The leader plans: the start is committed before anything else. */
  :: atomic { !done && logRun == 0 && lastRun < MAXRUN && sent == 0 && ((known[0] && grant[0]) || (known[1] && grant[1])) ->
       if :: known[0] && grant[0] -> t = 0 :: known[1] && grant[1] -> t = 1 fi;
#ifdef NO_COMMIT
       sent = lastRun + 1; sentTo = t;
       order(t, sent)
#else
       lastRun++; logRun = lastRun; logTarget = t; delivered = false
#endif
     }
#ifdef NO_COMMIT
  :: atomic { sent != 0 -> lastRun = sent; logRun = sent; logTarget = sentTo; delivered = true; sent = 0 }
#endif
  /* It gives the order, again after a change of leader; the number makes that safe. */
  :: atomic { logRun != 0 && !delivered && grant[logTarget] && !doubt[logTarget] && late[logTarget] == 0 ->
       delivered = true;
       if
       :: over[logTarget] >= logRun -> doubt[logTarget] = true; stopAnswered[logTarget] = false   /* refused as old */
       :: else -> order(logTarget, logRun)
       fi }
  :: atomic { late[0] != 0 || late[1] != 0 ->
       if :: late[0] != 0 -> t = 0 :: late[1] != 0 -> t = 1 fi;
#ifndef NO_DEADLINE
       if :: lateAlive[t] -> begin(t, late[t]) :: else -> skip fi;
#else
       begin(t, late[t]);
#endif
       late[t] = 0 }
  /* A copy of an order reaches the agent, which does not know the run, or knows no longer. */
  :: atomic { copy[0] != 0 || copy[1] != 0 ->
       if :: copy[0] != 0 -> t = 0 :: copy[1] != 0 -> t = 1 fi;
#ifndef STALE_ORDER
       if :: grant[t] && copyAlive[t] -> begin(t, copy[t]) :: else -> skip fi;
#else
       if :: grant[t] -> begin(t, copy[t]) :: else -> skip fi;
#endif
       copy[t] = 0 }
  /* The task ends, and the target lists that. */
  :: atomic { if :: running[0] != 0 -> t = 0 :: running[1] != 0 -> t = 1 fi;
       ended[t] = running[t]; fresh[t] = true; overtaken[t] = false; finish(t);
       if :: blind[t] -> ended[t] = 0; noted = true :: else -> skip fi }
  /* A grant runs out: the target ends what runs, orders given under it are past their deadline. */
  :: atomic { if :: grant[0] -> t = 0 :: grant[1] -> t = 1 fi; grant[t] = false; lateAlive[t] = false; copyAlive[t] = false; fresh[t] = false; overtaken[t] = false;
       if :: running[t] != 0 -> finish(t) :: else -> skip fi;
       known[t] = false }
  :: atomic { if :: !grant[0] -> t = 0 :: !grant[1] -> t = 1 fi; grant[t] = true; known[t] = true }
  /* An agent in doubt stops the run until that is answered, then reads what the target lists. */
  :: atomic { if :: doubt[0] && !stopAnswered[0] && logRun != 0 && logTarget == 0 -> t = 0 :: doubt[1] && !stopAnswered[1] && logRun != 0 && logTarget == 1 -> t = 1 fi;
       if
       :: true ->                                             /* confirmed */
#ifndef NO_STOP
          if :: running[t] == logRun -> finish(t) :: else -> skip fi;
          if :: over[t] < logRun -> over[t] = logRun :: else -> skip fi;
#endif
          stopAnswered[t] = true
       :: true ->                                             /* refused: nothing was done */
#ifdef REFUSED_STOP
          stopAnswered[t] = true
#else
          skip
#endif
       fi }
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
       fi }
  /* An end is reported, committed, and only then noted. */
  :: atomic { if :: ended[0] != 0 -> t = 0 :: ended[1] != 0 -> t = 1 fi;
#ifdef NOTE_FIRST
       noted = true; ended[t] = 0;
       if
       :: logRun != 0 && logTarget == t && lastRun == logRun -> done = true; logRun = 0
       :: changes < MAXCHANGES -> changes++; delivered = false; doubt[0] = false; doubt[1] = false  /* lost with the leader */
       fi
#else
       if
       :: logRun != 0 && logTarget == t && ended[t] == logRun -> done = true; logRun = 0
       :: else -> skip
       fi;
       /* Of a run that the log gave up, the end may be noted only if the hold ran out in between: it did. */
       assert(!overtaken[t]);
       noted = noted || done; ended[t] = 0
#endif
     }
  /* A silent agent's run counts as over once no grant can be alive. */
#ifndef NO_WAIT
  :: atomic { logRun != 0 && !known[logTarget] -> logRun = 0; doubt[logTarget] = false }
#else
  :: atomic { logRun != 0 -> logRun = 0; doubt[logTarget] = false }
#endif
  /* Another leader takes over. It counts on every grant that the former one may have given until now. */
  :: atomic { changes < MAXCHANGES -> changes++; delivered = false; sent = 0;
       known[0] = grant[0]; known[1] = grant[1] }
#ifdef FORMER_RENEWS
  :: atomic { changes > 0 -> if :: t = 0 :: t = 1 fi; grant[t] = true; lateAlive[t] = (late[t] != 0) }
#endif
  /* An agent restarts blank: its doubts are gone, and the order is given again. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       doubt[t] = false; stopAnswered[t] = false; copy[t] = 0; delivered = false }
  /* A target crashes; its next life has another identity, and the agent tells of it. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       running[t] = 0; over[t] = 0; ended[t] = 0; overtaken[t] = false; late[t] = 0; copy[t] = 0; doubt[t] = false;
       if :: logRun != 0 && logTarget == t -> logRun = 0 :: else -> skip fi }
  /* A target crashes and begins again under its identity. What is on its way to the former life finds a clock that has
   * not come to its deadline, but a higher token; the agent drops orders that name the former life. */
  :: atomic { crashes < MAXCRASHES -> crashes++; if :: t = 0 :: t = 1 fi;
       running[t] = 0; over[t] = 0; ended[t] = 0; overtaken[t] = false; copy[t] = 0; doubt[t] = false;
#ifdef NO_FENCE
       lateAlive[t] = (late[t] != 0);
#else
       late[t] = 0;
#endif
#ifdef ID_ALONE
       blind[t] = true
#else
       if :: logRun != 0 && logTarget == t -> logRun = 0 :: else -> skip fi
#endif
     }
  :: atomic { done && logRun == 0 -> break }
  :: atomic { lastRun == MAXRUN && logRun == 0 && !done -> break }  /* the bound of this model */
  od
}
