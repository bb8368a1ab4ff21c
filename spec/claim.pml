/* Claims: a request that must not be repeated, asked for through two entries, with a lossy way between entry and agent,
 * an agent that may restart and forget, and entries that may stall between any two steps.
 *
 * Checked: the target never runs the request twice, and "ran: no" is never said of a request that ran or may yet run.
 *
 * Broken variants, each of which must fail: -DNO_TOMBSTONE (the agent answers about an unseen token without making it
 * void), -DNO_INCARNATION (the agent does not look at the incarnation), -DBELIEVE_RESTARTED (a restarted agent is
 * believed about its former life), -DNO_CLAIM (entries dispatch without the log).
 */
#define ENTRIES 2
#define ATTEMPTS 3
#define RESTARTS 1

mtype = { Absent, Open, Void, Finished, Unknown };
mtype = { Unseen, Running, Done, Tombstoned };

/* The replicated log: one claim; each step is one committed command. */
mtype claim = Absent;
byte attempt = 0;
byte opener = 0;
byte tokenIncarnation = 0;

/* The agent's memory, by attempt; lost at a restart. */
mtype fate[ATTEMPTS + 1];
byte incarnation = 1;
byte restarts = 0;

/* What happened, for the checks. */
byte runs = 0;
bool saidNo[ENTRIES + 1];
byte onTheWay = 0;

inline agentBegin(myAttempt, myIncarnation, started) {
  atomic {
#ifdef NO_INCARNATION
    started = (fate[myAttempt] == Unseen);
#else
    started = (fate[myAttempt] == Unseen && myIncarnation == incarnation);
#endif
    if
    :: started -> fate[myAttempt] = Running; runs++
    :: else -> skip
    fi
  }
}

/* The answer of an agent that is asked about a token. */
inline agentResolve(myAttempt, myIncarnation, answer) {
  atomic {
    if
    :: fate[myAttempt] != Unseen -> answer = fate[myAttempt]
#ifndef BELIEVE_RESTARTED
    :: fate[myAttempt] == Unseen && myIncarnation != incarnation -> answer = Unknown
    :: fate[myAttempt] == Unseen && myIncarnation == incarnation ->
#else
    :: fate[myAttempt] == Unseen ->
#endif
#ifndef NO_TOMBSTONE
       fate[myAttempt] = Tombstoned;
#endif
       answer = Tombstoned
    fi
  }
}

proctype Entry(byte me) {
  byte myAttempt;
  byte myIncarnation;
  byte rounds = 0;
  bool granted;
  bool started;
  mtype answer;

  do
  :: rounds < ATTEMPTS ->
     rounds++;
     myIncarnation = incarnation;  /* from its view, which may be old by the time it is used */
     atomic {  /* OpenClaim */
#ifdef NO_CLAIM
       granted = true; attempt = (attempt < ATTEMPTS -> attempt + 1 : attempt); myAttempt = attempt;
#else
       granted = false;
       if
       :: (claim == Absent || claim == Void) && attempt < ATTEMPTS ->
          claim = Open; attempt++; opener = me; tokenIncarnation = myIncarnation; granted = true
       :: else -> skip
       fi;
       myAttempt = attempt;
       myIncarnation = tokenIncarnation
#endif
     }
     if
     :: granted ->
        if
        :: /* the request is cut before it arrives; the entry knows that nothing left */
           atomic { if :: claim == Open && attempt == myAttempt -> claim = Void :: else -> skip fi }
           saidNo[me] = true;
           break
        :: /* it arrives, perhaps late */
           agentBegin(myAttempt, myIncarnation, started);
           if
           :: started ->
              if
              :: atomic { fate[myAttempt] == Running -> fate[myAttempt] = Done }
                 if
                 :: atomic { if :: claim == Open && attempt == myAttempt -> claim = Finished :: else -> skip fi };
                    break
                 :: goto ask   /* the answer is lost on its way back */
                 fi
              :: goto ask      /* the way to the agent is cut while it runs */
              fi
           :: else ->
              /* fenced: this one delivery did not start it */
              atomic { if :: claim == Open && attempt == myAttempt -> claim = Void :: else -> skip fi }
           fi
        fi
     :: !granted && claim == Open -> goto ask
     :: !granted && claim == Finished -> break
     :: !granted && claim == Unknown -> break
     :: else -> skip
     fi
  :: rounds < ATTEMPTS -> break  /* the entry dies here, or its caller goes away */
  :: rounds >= ATTEMPTS -> break
  od;
  goto done;

ask:
  atomic { myAttempt = attempt; myIncarnation = tokenIncarnation }
  agentResolve(myAttempt, myIncarnation, answer);
  if
  :: answer == Done ->
     atomic { if :: claim == Open && attempt == myAttempt -> claim = Finished :: else -> skip fi }
  :: answer == Tombstoned ->
     atomic { if :: claim == Open && attempt == myAttempt -> claim = Void :: else -> skip fi };
     if
     :: rounds < ATTEMPTS ->
        rounds++;
        atomic {
          granted = false;
          if
          :: (claim == Absent || claim == Void) && attempt < ATTEMPTS ->
             claim = Open; attempt++; opener = me; tokenIncarnation = incarnation; granted = true
          :: else -> skip
          fi;
          myAttempt = attempt; myIncarnation = tokenIncarnation
        }
        if
        :: granted -> agentBegin(myAttempt, myIncarnation, started)
        :: else -> skip
        fi
     :: else -> skip
     fi
  :: answer == Unknown ->
     atomic { if :: claim == Open && attempt == myAttempt -> claim = Unknown :: else -> skip fi }
  :: answer == Running -> skip   /* ran: unknown, ask again */
  fi;

done:
  skip
}

/* The agent's process dies and comes back: its memory is gone, what the target runs goes on. */
proctype Restarter() {
  byte i;
  do
  :: restarts < RESTARTS ->
     atomic {
       restarts++;
       incarnation++;
       for (i : 0 .. ATTEMPTS) { fate[i] = Unseen }
     }
  :: break
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. ATTEMPTS) { fate[i] = Unseen }
    run Entry(1);
    run Entry(2);
    run Restarter()
  }
}

#define atMostOnce (runs <= 1)
/* An entry that said no to the one dispatch it made: only another entry's own later attempt may have run. */
#define noIsTrue (!(saidNo[1] && saidNo[2] && runs > 0 && claim == Void))

ltl rules { [] (atMostOnce && noIsTrue) }
