/* Configuration: two operators change the configuration concurrently, starting from the same version, and resend
 * commands whose answers were lost. A node follows the configuration through deltas from a leader, and the leader may
 * change.
 *
 * Checked: of two changes of the same version only one succeeds; a resent command is not applied a second time; the
 * revision that a node uses never decreases.
 *
 * Broken variants, each of which must fail: -DNO_COMMAND_ID (a resent command is applied again), -DNO_COMPARE (the
 * version is not compared), -DNO_ORDER (a node applies an older batch).
 */
#define OPERATORS 2
#define CHANGES 6

byte revision = 0;          /* revision of the only object */
byte owner = 0;             /* operator whose value is stored */
byte appliedOf[OPERATORS + 1];   /* number of times that each operator's command was applied */
bool known[OPERATORS + 1];  /* command ids that were received */
bool raced = false;
byte winners = 0;

byte inForce = 0;           /* revision that the node uses */
bool wentBack = false;

chan toNode = [3] of { byte };

inline apply(me, base) {
  atomic {
    if
#ifndef NO_COMMAND_ID
    :: known[me] -> skip   /* the first answer is repeated */
#endif
    :: else ->
       if
#ifndef NO_COMPARE
       :: base != revision -> skip  /* conflict: the answer names the other operator and the stored value */
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
  /* A resend repeats the command unchanged. With OVERWRITES, the file names no version, so it never conflicts. */
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

/* Leaders send the revision that they have applied; a batch of a former leader may still be in transit. */
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
     :: toNode ?? batch    /* delayed and out of order */
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
