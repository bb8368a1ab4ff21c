/* Gang start and fencing: a leader reserves every lease of a gang and then starts all tasks. Another leader may take
 * over at any step, and the former leader may resume after a stall and continue. A worker may be lost.
 *
 * Checked: no task starts before every lease of its gang is reserved; orders of a former term have no effect; a job
 * that must not be repeated starts each task at most once; at the end, either all tasks ran or none is left running.
 *
 * Broken variants, each of which must fail: -DNO_TERM (workers accept orders of any term), -DNO_RESERVE (tasks start
 * without waiting until all leases are reserved), -DNO_NUMBER (a start order that is sent again starts the task again).
 */
#define TASKS 2
#define LEADERS 2

mtype = { Queued, Reserving, Starting, RunningAll, Stopping, Ended };
mtype = { None, Reserved, Started, Stopped };

mtype phase = Queued;       /* committed in the log */
byte logTerm = 1;           /* the newest term in which an entry was committed */

mtype lease[TASKS];         /* state of the leases at the workers */
byte seenTerm = 1;          /* the newest term that the platform has received */
byte starts[TASKS];
bool early = false;         /* a task started before all leases were reserved */
bool stale = false;         /* an order of a former term took effect after a newer one */
byte current = 1;           /* term of the legitimate leader */

#define allReserved ((lease[0] != None) && (lease[1] != None))

/* One order to the platform: a reservation. */
inline reserveOrder(term, t) {
  atomic {
    if
#ifndef NO_TERM
    :: term < seenTerm -> skip
#endif
    :: else ->
       if :: term < seenTerm -> stale = true :: else -> seenTerm = term fi;
       if :: lease[t] == None -> lease[t] = Reserved :: else -> skip fi
    fi
  }
}

inline startOrder(term, t) {
  atomic {
    if
#ifndef NO_TERM
    :: term < seenTerm -> skip
#endif
    :: else ->
       if :: term < seenTerm -> stale = true :: else -> seenTerm = term fi;
       if
       :: lease[t] == Reserved ->
          if :: !allReserved -> early = true :: else -> skip fi;
          lease[t] = Started; starts[t]++
#ifdef NO_NUMBER
       :: lease[t] == Started -> starts[t]++
#endif
#ifdef NO_RESERVE
       :: lease[t] == None ->
          if :: !allReserved -> early = true :: else -> skip fi;
          lease[t] = Started; starts[t]++
#endif
       :: else -> skip
       fi
    fi
  }
}

inline stopOrder(term, t) {
  atomic {
    if
#ifndef NO_TERM
    :: term < seenTerm -> skip
#endif
    :: else ->
       if :: term < seenTerm -> stale = true :: else -> seenTerm = term fi;
       lease[t] = Stopped
    fi
  }
}

/* A commit succeeds only for the legitimate leader, and only from the phase that this leader expects. */
inline commit(term, from, to, ok) {
  atomic {
    ok = (term == current && phase == from);
    if :: ok -> phase = to; logTerm = term :: else -> skip fi
  }
}

proctype Leader(byte term) {
  bool ok;
  byte t;
  mtype seen;
  current >= term;  /* elected */
  do
  :: seen = phase;
     if
     :: seen == Queued -> commit(term, Queued, Reserving, ok)
     :: seen == Reserving ->
#ifdef NO_RESERVE
        for (t : 0 .. TASKS - 1) { startOrder(term, t) };
#else
        for (t : 0 .. TASKS - 1) { reserveOrder(term, t) };
#endif
        if
        :: allReserved -> commit(term, Reserving, Starting, ok)
        :: true -> commit(term, Reserving, Stopping, ok)   /* a lease was late or rejected */
        fi
     :: seen == Starting ->
        for (t : 0 .. TASKS - 1) { startOrder(term, t) };
        if
        :: (lease[0] == Started && lease[1] == Started) -> commit(term, Starting, RunningAll, ok)
        :: true -> commit(term, Starting, Stopping, ok)    /* a member of the gang was lost */
        fi
     :: seen == RunningAll -> commit(term, RunningAll, Stopping, ok)
     :: seen == Stopping ->
        for (t : 0 .. TASKS - 1) { stopOrder(term, t) };
        if
        :: (lease[0] == Stopped && lease[1] == Stopped) -> commit(term, Stopping, Ended, ok)
        :: else -> skip
        fi
     :: seen == Ended -> break
     fi
  :: term == LEADERS -> skip       /* the last leader continues */
  :: term < LEADERS && current > term -> break  /* a former leader stops at any later step */
  od
}

proctype Election() { current = 2 }

init { atomic { lease[0] = None; lease[1] = None; run Leader(1); run Leader(2); run Election() } }

ltl rules { [] (!early && !stale && starts[0] <= 1 && starts[1] <= 1 &&
                (phase != Ended || (lease[0] != Started && lease[1] != Started))) }
