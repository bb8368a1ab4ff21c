/* A run and its copy: one task of a speculative step, three targets, and leaders that change. A start is first committed
 * and then ordered; an order may be executed later or be lost, and is sent again until the start is confirmed. A lease may
 * expire at any time, and the target then ends its run. A target may restart. The calls between leader, agent and target
 * are modelled in run.pml; here agent and target are one.
 *
 * Checked: at most two runs of the task exist at the same time; no run begins after an end `done` of the task was
 * committed or after the last allowed failure was; one end `done` counts, no failure counts after it, and the failures of
 * both runs do not exceed the allowed attempts; the model never deadlocks before the task is done or has failed.
 *
 * Broken variants, each of which must fail: -DLOSER_COUNTED (the end of the run that lost counts), -DCOPY_OF_LAPSED (a run
 * counts as lapsed before its lease has expired, and a run and a copy are started beside it), -DANY_COPY (a copy is
 * started although two runs are active), -DEARLY_DONE (an end `done` is committed while an order for the other run is in
 * transit), -DLAST_ATTEMPT (a copy is started on the last attempt).
 */
#define TARGETS 3
#define SLOTS 3
#define MAXRUN 3
#define MAXCHANGES 1
#define MAXRESTARTS 1
#define ATTEMPTS 2

/* The replicated log: active runs. The third slot is used by broken variants only. */
byte act[SLOTS];        /* number of the run; 0 is none */
byte on[SLOTS];         /* its target */
byte lastRun = 0;
byte failures = 0;
bool done = false;

/* State of the targets. */
byte running[TARGETS];
byte over[TARGETS];     /* highest number of a run that ended or was stopped there */
byte listed[TARGETS];   /* number of the run whose end the target lists */
bool success[TARGETS];  /* the listed end is `done`, otherwise it is a failure */
byte late[TARGETS];     /* an order in transit */
bool grant[TARGETS];    /* the lease is valid */

/* State of the leader. */
bool known[TARGETS];    /* the leader assumes that a lease may still be valid */
bool ordered[SLOTS];    /* this leader or a former one may have sent the order */
bool confirmed[SLOTS];
bool stopping[SLOTS];
byte changes = 0;
byte restarts = 0;
byte s;                 /* s, t and o are 0 between the steps, so that they add no states */
byte t;
byte o;

#define ended (done || failures >= ATTEMPTS)
#define actives ((act[0] != 0) + (act[1] != 0) + (act[2] != 0))
#define existing ((running[0] != 0) + (running[1] != 0) + (running[2] != 0))
#define used(target) ((act[0] != 0 && on[0] == target) || (act[1] != 0 && on[1] == target) || (act[2] != 0 && on[2] == target))

#define logged(number) (act[0] == number || act[1] == number || act[2] == number)

inline begin(target, number) {
  if
  :: number > over[target] && running[target] != number ->
     assert(!ended);
     running[target] = number;
     assert(existing <= 2)
  :: else -> skip
  fi
}

inline remove(slot) { act[slot] = 0; on[slot] = 0; ordered[slot] = false; confirmed[slot] = false; stopping[slot] = false }

inline chooseSlot() { if :: act[0] != 0 -> s = 0 :: act[1] != 0 -> s = 1 :: act[2] != 0 -> s = 2 fi }

/* Sets t to a target whose lease the leader has granted and that has no run. */
inline chooseTarget() {
  if
  :: known[0] && grant[0] && !used(0) -> t = 0
  :: known[1] && grant[1] && !used(1) -> t = 1
  :: known[2] && grant[2] && !used(2) -> t = 2
  fi
}

#define targetFree ((known[0] && grant[0] && !used(0)) || (known[1] && grant[1] && !used(1)) || (known[2] && grant[2] && !used(2)))

inline commitStart() {
  lastRun++;
  if :: act[0] == 0 -> s = 0 :: act[0] != 0 && act[1] == 0 -> s = 1 :: else -> s = 2 fi;
  act[s] = lastRun; on[s] = t; s = 0; t = 0
}

active proctype world() {
  grant[0] = true; grant[1] = true; grant[2] = true; known[0] = true; known[1] = true; known[2] = true;
  do
  :: atomic { !ended && actives == 0 && lastRun < MAXRUN && targetFree -> chooseTarget(); commitStart() }
  /* A copy of the only active run, on another target. */
#ifdef ANY_COPY
  :: atomic { !ended && actives >= 1 && actives < SLOTS && failures + 2 <= ATTEMPTS && lastRun < MAXRUN && targetFree ->
#else
#ifdef LAST_ATTEMPT
  :: atomic { !ended && actives == 1 && lastRun < MAXRUN && targetFree ->
#else
  :: atomic { !ended && actives == 1 && failures + 2 <= ATTEMPTS && lastRun < MAXRUN && targetFree ->
#endif
#endif
       chooseTarget(); commitStart() }
  /* The order is sent, and sent again while the start is not confirmed. */
  :: atomic { actives > 0 && !ended -> chooseSlot();
       t = on[s];
       if
       :: !confirmed[s] && !stopping[s] && grant[t] && late[t] == 0 && over[t] < act[s] ->
          ordered[s] = true;
          if
          :: begin(t, act[s]); confirmed[s] = true
          :: late[t] = act[s]
          fi
       :: else -> skip
       fi;
       s = 0; t = 0 }
  :: atomic { late[0] != 0 || late[1] != 0 || late[2] != 0 ->
       if :: late[0] != 0 -> t = 0 :: late[1] != 0 -> t = 1 :: late[2] != 0 -> t = 2 fi;
       if :: grant[t] -> begin(t, late[t]) :: true -> skip fi;
       late[t] = 0; t = 0 }
  /* A report confirms a run that is running or has ended. */
  :: atomic { actives > 0 -> chooseSlot();
       if :: running[on[s]] == act[s] || listed[on[s]] == act[s] -> confirmed[s] = true :: else -> skip fi;
       s = 0 }
  /* The task ends or fails, and the target lists the end. */
  :: atomic { existing > 0 ->
       if :: running[0] != 0 -> t = 0 :: running[1] != 0 -> t = 1 :: running[2] != 0 -> t = 2 fi;
       listed[t] = running[t]; over[t] = running[t]; running[t] = 0;
       if :: success[t] = true :: success[t] = false fi;
       t = 0 }
  /* A listed end is reported and committed. An end `done` waits while an order for the other run may be in transit; that
   * run is stopped. */
  :: atomic { actives > 0 && listed[on[0]] + listed[on[1]] + listed[on[2]] > 0 -> chooseSlot();
       t = on[s];
       o = 0;
       do
       :: o < SLOTS ->
          if
          :: o != s && act[o] != 0 && !confirmed[o] && success[t] && listed[t] == act[s] && !ended -> stopping[o] = true; break
          :: else -> o++
          fi
       :: else -> break
       od;
       if
       :: listed[t] != act[s] -> skip
#ifndef EARLY_DONE
       :: listed[t] == act[s] && o < SLOTS && ordered[o] -> skip
       :: listed[t] == act[s] && !(o < SLOTS && ordered[o]) ->
#else
       :: listed[t] == act[s] ->
#endif
          if
#ifndef LOSER_COUNTED
          :: ended -> skip
          :: !ended && success[t] -> done = true
          :: !ended && !success[t] -> failures++
#else
          :: success[t] -> assert(!done); done = true
          :: !success[t] -> assert(!done); failures++
#endif
          fi;
          assert(failures <= ATTEMPTS);
          listed[t] = 0; success[t] = false; remove(s)
       fi;
       s = 0; t = 0; o = 0 }
  /* A run that is to be stopped is stopped at its target; its end is committed. A listed end is committed instead. */
  :: atomic { actives > 0 -> chooseSlot();
       t = on[s];
       if
       :: (stopping[s] || ended) && listed[t] != act[s] && grant[t] ->
          if :: running[t] == act[s] -> running[t] = 0 :: else -> skip fi;
          if :: over[t] < act[s] -> over[t] = act[s] :: else -> skip fi;
          remove(s)
       :: else -> skip
       fi;
       s = 0; t = 0 }
  /* A lease expires: the target ends its run, and orders sent under the lease are past their deadline. */
  :: atomic { grant[0] || grant[1] || grant[2] ->
       if :: grant[0] -> t = 0 :: grant[1] -> t = 1 :: grant[2] -> t = 2 fi;
       grant[t] = false; known[t] = false; running[t] = 0; late[t] = 0; t = 0 }
  :: atomic { !grant[0] || !grant[1] || !grant[2] ->
       if :: !grant[0] -> t = 0 :: !grant[1] -> t = 1 :: !grant[2] -> t = 2 fi;
       grant[t] = true; known[t] = true; t = 0 }
  /* The run of a silent agent counts as lapsed once no lease can be valid. */
  :: atomic { actives > 0 -> chooseSlot();
       t = on[s];
       if
#ifdef COPY_OF_LAPSED
       :: true -> remove(s)
#else
       :: !known[t] -> remove(s)
#endif
       :: else -> skip
       fi;
       s = 0; t = 0 }
  /* The listed end of a run that is no longer active in the log is discarded. */
  :: atomic { (listed[0] != 0 && !logged(listed[0])) || (listed[1] != 0 && !logged(listed[1])) || (listed[2] != 0 && !logged(listed[2])) ->
       if
       :: listed[0] != 0 && !logged(listed[0]) -> t = 0
       :: listed[1] != 0 && !logged(listed[1]) -> t = 1
       :: listed[2] != 0 && !logged(listed[2]) -> t = 2
       fi;
       listed[t] = 0; success[t] = false; t = 0 }
  /* Another leader takes over; it does not know which starts were carried out. */
  :: atomic { changes < MAXCHANGES -> changes++;
       s = 0;
       do
       :: s < SLOTS -> confirmed[s] = false; stopping[s] = false; ordered[s] = (act[s] != 0); s++
       :: else -> break
       od;
       known[0] = grant[0]; known[1] = grant[1]; known[2] = grant[2]; s = 0 }
  /* A target restarts; its runs end with it, and orders for the former incarnation have no effect. */
  :: atomic { restarts < MAXRESTARTS -> restarts++;
       if :: t = 0 :: t = 1 :: t = 2 fi;
       running[t] = 0; over[t] = 0; listed[t] = 0; success[t] = false; late[t] = 0;
       s = 0;
       do
       :: s < SLOTS -> if :: act[s] != 0 && on[s] == t -> remove(s) :: else -> skip fi; s++
       :: else -> break
       od;
       s = 0; t = 0 }
  :: atomic { ended && actives == 0 -> break }
  :: atomic { lastRun == MAXRUN && actives == 0 && !ended -> break }  /* limit of this model */
  od
}
