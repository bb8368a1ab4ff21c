/* Claims: a request that must not be repeated is sent through two entries. Messages between entry and agent may be
 * lost, the agent may restart and lose its memory, and entries may stall between any two steps.
 *
 * Checked: the target never runs the request twice, and "ran: no" is never reported for a request that ran or may still
 * run.
 *
 * Broken variants, each of which must fail: -DNO_TOMBSTONE (the agent answers a query of an unseen token without
 * tombstoning it), -DNO_INCARNATION (the agent does not compare the incarnation), -DBELIEVE_RESTARTED (the answer of a
 * restarted agent about a token of its former incarnation is accepted), -DNO_CLAIM (entries dispatch without a claim in
 * the log).
 */
#define ENTRIES 2
#define ATTEMPTS 3
#define RESTARTS 1

mtype = { Absent, Open, Void, Finished, Unknown };
mtype = { Unseen, Running, Done, Tombstoned };

/* The replicated log: one claim. Each step is one committed command. */
mtype claim = Absent;
byte attempt = 0;
byte opener = 0;
byte tokenIncarnation = 0;

/* The agent's memory of tokens, by attempt; lost at a restart. */
mtype fate[ATTEMPTS + 1];
byte incarnation = 1;
byte restarts = 0;

/* History for the checks. */
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

/* The agent's answer to a query of a token. */
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
     myIncarnation = incarnation;  /* from the entry's list of targets, which may be outdated when it is used */
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
        :: /* the connection fails before the request is sent; the entry knows that nothing was sent */
           atomic { if :: claim == Open && attempt == myAttempt -> claim = Void :: else -> skip fi }
           saidNo[me] = true;
           break
        :: /* the request arrives, perhaps late */
           agentBegin(myAttempt, myIncarnation, started);
           if
           :: started ->
              if
              :: atomic { fate[myAttempt] == Running -> fate[myAttempt] = Done }
                 if
                 :: atomic { if :: claim == Open && attempt == myAttempt -> claim = Finished :: else -> skip fi };
                    break
                 :: goto ask   /* the answer is lost */
                 fi
              :: goto ask      /* the connection to the agent fails while the request runs */
              fi
           :: else ->
              /* fenced: this delivery did not start the request */
              atomic { if :: claim == Open && attempt == myAttempt -> claim = Void :: else -> skip fi }
           fi
        fi
     :: !granted && claim == Open -> goto ask
     :: !granted && claim == Finished -> break
     :: !granted && claim == Unknown -> break
     :: else -> skip
     fi
  :: rounds < ATTEMPTS -> break  /* the entry crashes here, or its caller disconnects */
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
  :: answer == Running -> skip   /* "ran: unknown": the query is repeated later */
  fi;

done:
  skip
}

/* The agent's process crashes and restarts: its memory is lost, and the target continues to run its requests. */
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
/* After an entry reported "ran: no" for its only dispatch, the request can have run only through a later attempt of
 * another entry. */
#define noIsTrue (!(saidNo[1] && saidNo[2] && runs > 0 && claim == Void))

ltl rules { [] (atMostOnce && noIsTrue) }
