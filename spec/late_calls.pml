/* Calls in transit: one task, a target that restarts under its identity up to twice, its agent, which may restart
 * without its memory or fall silent, and another target that always answers. A start call that the first target leaves
 * without an answer is in transit. Until it has been carried out or has expired, any incarnation carries it out, unless
 * that incarnation knows a higher token, or a stop or an end of the run. The same holds for a poll that lets the target
 * discard ends of other tasks. The numbers of ends begin anew with each incarnation, so in another incarnation than the
 * intended one such a poll discards ends that were not read.
 *
 * Checked: two runs of the task never exist at the same time, and no run starts after an end `done` was discarded.
 *
 * Broken variants, each of which must fail: -DVOID_IN_TRANSIT (a run whose stop was confirmed counts as never begun
 * while its start is in transit), -DLOST_IN_TRANSIT (a run counts as lost with its incarnation while its start is in
 * transit), -DLAPSE_IN_TRANSIT (the leader counts the run of a silent agent as lapsed while its start is in transit),
 * -DAGENT_FORGETS (a restarted agent knows of no start in transit), -DSENT_AGAIN (a restarted agent sends the start of a
 * run again), -DNAMES_ENDS (a poll names ends while a start is in transit, or was answered by an incarnation that has
 * not listed the run), -DSTARTS_BESIDE (a start carries the token of a poll in transit that names ends).
 */
#define MAXRUN 3
#define MAXRESTARTS 2
#define UNKNOWN 3       /* no incarnation */
#define NONE 0
#define FIRST 1
#define OTHER 2

/* The replicated log. */
byte logRun = 0;        /* number of the active run; 0 is none */
byte logPlace = NONE;
byte logLife = 0;       /* incarnation of the first target for which the active run is intended */
byte lastRun = 0;
bool done = false;

/* State of the first target, and of the other one. */
byte life = 0;
byte running = 0;
byte ended = 0;         /* run whose end `done` is listed */
byte over = 0;          /* highest run that ended or was stopped in this incarnation */
byte seen = 0;          /* highest token that this incarnation has seen */
byte runningOther = 0;
bool noted = false;     /* an end `done` was discarded */

/* Calls in transit. */
byte start[2];          /* runs of start calls */
byte startToken[2];
bool poll = false;
byte pollLife = 0;
byte pollToken = 0;

/* State of the agent and of the leader. */
byte agentLife = 0;     /* incarnation that the agent knows */
byte step = 1;          /* token of its calls */
bool ordered = false;   /* the leader has ordered the start */
bool sent = false;      /* the agent knows that it has sent the start */
bool listed = false;    /* the current incarnation has listed the active run */
bool stopped = false;   /* the target has confirmed a stop of the active run */
bool restarted = false; /* the agent has restarted */
bool window = false;    /* as far as the agent knows, a start may be in transit */
bool silent = false;
byte i;

#ifdef SENT_AGAIN
#define MAY_SEND true
#else
#define MAY_SEND (!ordered)
#endif
#ifdef STARTS_BESIDE
#define NO_EARLIER_POLL true
#else
#define NO_EARLIER_POLL (!poll || pollToken < step)
#endif
#ifdef NAMES_ENDS
#define MAY_NAME_ENDS true
#else
#define MAY_NAME_ENDS (!window && (!sent || listed))
#endif
#define IN_TRANSIT (start[0] == logRun || start[1] == logRun)
#ifdef AGENT_FORGETS
#define KNOWN_IN_TRANSIT (IN_TRANSIT && !restarted)
#else
#define KNOWN_IN_TRANSIT IN_TRANSIT
#endif
#ifdef VOID_IN_TRANSIT
#define MAY_BE_VOID true
#else
#define MAY_BE_VOID (!KNOWN_IN_TRANSIT)
#endif
#ifdef LOST_IN_TRANSIT
#define MAY_BE_LOST true
#else
#define MAY_BE_LOST (!KNOWN_IN_TRANSIT)
#endif
#ifdef LAPSE_IN_TRANSIT
#define MAY_LAPSE true
#else
#define MAY_LAPSE (!IN_TRANSIT)
#endif

inline begin(number) {
  if
  :: number > over && running == 0 ->
     assert(runningOther == 0);
     assert(!noted);
     running = number
  :: else -> skip
  fi
}

inline close_run() { logRun = 0; logPlace = NONE; ordered = false; sent = false; listed = false; stopped = false }

active proctype world() {
  do
  :: atomic { !done && logRun == 0 && lastRun < MAXRUN ->
       lastRun++; logRun = lastRun; ordered = false; sent = false; listed = false; stopped = false;
       if
       :: !silent && agentLife != UNKNOWN -> logPlace = FIRST; logLife = agentLife
       :: logPlace = OTHER
       fi }
  /* The start on the other target is answered. */
  :: atomic { logPlace == OTHER && !ordered ->
       ordered = true; assert(running == 0); assert(!noted); runningOther = logRun }
  :: atomic { runningOther != 0 -> runningOther = 0; done = true; noted = true; close_run() }
  /* The agent carries out the order: the start is answered, or is in transit. */
  :: atomic { logPlace == FIRST && !sent && !stopped && !silent && logLife == agentLife && step >= seen &&
              MAY_SEND && NO_EARLIER_POLL ->
       ordered = true; sent = true;
       if
       :: seen = step; begin(logRun)
       :: start[0] == 0 -> start[0] = logRun; startToken[0] = step; window = true
       :: start[0] != 0 && start[1] == 0 -> start[1] = logRun; startToken[1] = step; window = true
       fi }
  /* A start in transit is carried out late, or is not any more. */
  :: atomic { start[0] != 0 || start[1] != 0 ->
       if :: start[0] != 0 -> i = 0 :: start[1] != 0 -> i = 1 fi;
       if
       :: startToken[i] >= seen -> seen = startToken[i]; begin(start[i])
       :: skip
       fi;
       start[i] = 0; startToken[i] = 0; i = 0 }
  /* The current incarnation answers a poll that was sent after all starts in transit had expired. */
  :: atomic { window && !silent && agentLife == life && start[0] == 0 && start[1] == 0 && step >= seen ->
       seen = step; window = false }
  /* A poll names ends of other tasks and is not answered. */
  :: atomic { !poll && !silent && agentLife != UNKNOWN && life < MAXRESTARTS && MAY_NAME_ENDS ->
       poll = true; pollLife = agentLife; pollToken = step }
  :: atomic { poll ->
       if
       :: pollToken >= seen ->
          seen = pollToken;
          if :: pollLife != life && ended != 0 -> ended = 0; noted = true :: else -> skip fi
       :: skip
       fi;
       poll = false; pollLife = 0; pollToken = 0 }
  /* The present incarnation answers a poll under a newer token. */
  :: atomic { !silent && agentLife == life && step < 6 && poll && pollToken == step -> step++; seen = step }
  :: atomic { running != 0 -> over = running; ended = running; running = 0 }
  :: atomic { logPlace == FIRST && sent && !listed && running == logRun && !silent && agentLife == life && step >= seen ->
       seen = step; listed = true }
  /* The agent stops a run that may have begun, or that another incarnation than the intended one has begun. */
  :: atomic { logPlace == FIRST && ordered && !stopped && !silent && agentLife == life && step >= seen ->
       seen = step; stopped = true;
       if :: running == logRun -> running = 0 :: else -> skip fi;
       if :: over < logRun -> over = logRun :: else -> skip fi }
  :: atomic { logPlace == FIRST && stopped && ended != logRun && running != logRun && !silent && agentLife == life &&
              MAY_BE_VOID -> close_run() }
  /* The listed end of the active run is read and committed, and then discarded. */
  :: atomic { logRun != 0 && logPlace == FIRST && ended == logRun && !silent && agentLife == life ->
       ended = 0; done = true; noted = true; close_run() }
  /* The target restarts under its identity. */
  :: atomic { life < MAXRESTARTS -> life++; running = 0; ended = 0; over = 0; seen = 0 }
  /* The next incarnation answers a poll under a newer token and becomes the current one. */
  :: atomic { agentLife != life && !silent && step < 6 ->
       step++; seen = step; agentLife = life; stopped = false; listed = (running == logRun) }
  /* A run of a former incarnation that the current one does not list is lost. */
  :: atomic { logPlace == FIRST && logLife != agentLife && agentLife == life && !silent && running != logRun &&
              ended != logRun &&
              MAY_BE_LOST -> close_run() }
  /* The agent restarts, and knows no incarnation until one has answered a poll under a newer token. */
  :: atomic { !restarted && !silent && step < 6 -> restarted = true; sent = false; listed = false; stopped = false;
       agentLife = UNKNOWN; window = true }
  /* The agent falls silent, and its leases and holds expire. */
  :: atomic { !silent -> silent = true }
  :: atomic { silent && running != 0 -> over = running; running = 0 }
  :: atomic { silent && logPlace == FIRST && running == 0 &&
              MAY_LAPSE -> close_run() }
  :: atomic { done && logRun == 0 && start[0] == 0 && start[1] == 0 -> break }
  :: atomic { lastRun == MAXRUN && logRun == 0 && !done && start[0] == 0 && start[1] == 0 -> break }
  od
}
