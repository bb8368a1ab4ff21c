/* Configuration: two operators race from equal versions and resend commands whose answers were lost; a node follows by
 * deltas from a leader that may change.
 *
 * Checked: of two changes from one version one wins; a resent command changes nothing again; what a node has in force
 * never goes back.
 *
 * Broken variants, each of which must fail: -DNO_COMMAND_ID (a resend is applied anew), -DNO_COMPARE (the version is not
 * looked at), -DNO_ORDER (a node takes an older batch).
 */
#define OPERATORS 2
#define CHANGES 6

byte revision = 0;          /* of the one object */
byte owner = 0;             /* operator whose value holds */
byte appliedOf[OPERATORS + 1];   /* how often each operator's command took effect */
bool known[OPERATORS + 1];  /* command ids seen */
bool raced = false;
byte winners = 0;

byte inForce = 0;           /* at the node */
bool wentBack = false;

chan toNode = [3] of { byte };

inline apply(me, base) {
  atomic {
    if
#ifndef NO_COMMAND_ID
    :: known[me] -> skip   /* its first answer again */
#endif
    :: else ->
       if
#ifndef NO_COMPARE
       :: base != revision -> skip  /* conflict: told by whom and with what */
#endif
       :: else ->
          revision++;
          owner = me;
          appliedOf[me]++;
          if :: base == 0 -> winners++ :: else -> skip fi
       fi;
       known[me] = true
    fi
  }
}

proctype Operator(byte me) {
  byte resends = 0;
  /* A resend repeats the command as it was. With OVERWRITES the file names no version and always fits. */
  byte base = 0;
  apply(me, base);
  do
  :: resends < 1 -> resends++;
     if
     :: OVERWRITES -> base = revision
     :: !OVERWRITES -> skip
     fi;
     apply(me, base)
  :: break
  od
}

/* Leaders send what they have applied; a former leader's batch may still be on its way. */
proctype Leader() {
  byte sent = 0;
  do
  :: sent < CHANGES -> sent++; toNode ! revision
  :: break
  od
}

proctype Node() {
  byte batch;
  byte taken = 0;
  do
  :: taken < CHANGES ->
     taken++;
     if
     :: toNode ? batch
     :: toNode ?? batch    /* late and out of order */
     :: timeout -> break
     fi;
#ifndef NO_ORDER
     if
     :: batch > inForce -> inForce = batch
     :: else -> skip
     fi
#else
     if
     :: batch < inForce -> wentBack = true
     :: else -> skip
     fi;
     inForce = batch
#endif
  :: break
  od
}

proctype Former() {
  byte old;
  old = revision;
  toNode ! old
}

init { atomic { run Operator(1); run Operator(2); run Leader(); run Former(); run Node() } }

ltl rules { [] (appliedOf[1] <= 1 && appliedOf[2] <= 1 && !wentBack && (winners <= 1)) }
