/* Replication with lost disks: three replicas, with elections and log copies in any order. One disk is wiped, an entry
 * that changes the members removes its replica, and a second disk is lost after this entry is committed and before
 * redundancy is restored.
 *
 * An entry is represented by its term, plus MARK * (1 + replica) if it removes that replica. A wiped disk may be
 * written to, but its vote and its acknowledgement do not count.
 *
 * Checked: every committed entry stays in the log of each later leader, and on at least one disk that was not lost.
 *
 * Broken variants, each of which must fail: -DWIPED_VOTES (vote and acknowledgement of a wiped disk count),
 * -DTWO_AT_ONCE (the second disk is lost before the entry that removes the first replica is committed; three replicas
 * do not protect against this case).
 */
#define N 3
#define LEN 3
#define MAXTERM 3
#define MARK 8

byte log[9];        /* log[replica * LEN + index] */
byte size[N];
byte term[N];
byte leads[N];      /* the term in which the replica is leader; 0 if it is not */
bool wiped[N];
byte wipes = 0;

byte committed[LEN];  /* all entries that were ever acknowledged */
byte committedLen = 0;
bool dropCommitted = false;
bool lost = false;

byte i; byte j; byte k; byte m;
byte votes; byte voters; byte need;
bool ok; bool member; bool other;

/* member := whether `who` is a voter in the members that replica `by` knows. */
inline isMember(by, who) {
  member = true;
  k = 0;
  do
  :: k < size[by] -> if :: log[by * LEN + k] / MARK == who + 1 -> member = false :: else -> skip fi; k++
  :: else -> break
  od
}

/* ok := whether the log of `by` contains all committed entries. */
inline holdsCommitted(by) {
  ok = (size[by] >= committedLen);
  k = 0;
  do
  :: ok && k < committedLen -> if :: log[by * LEN + k] != committed[k] -> ok = false :: else -> skip fi; k++
  :: else -> break
  od
}

inline countVoters(by) {
  voters = 0;
  m = 0;
  do
  :: m < N -> isMember(by, m); if :: member -> voters++ :: else -> skip fi; m++
  :: else -> break
  od;
  need = voters / 2 + 1
}

inline pick(x) { if :: x = 0 :: x = 1 :: x = 2 fi }

/* other := whether the log of `a` is at least as new as that of `b`. */
inline upToDate(a, b) {
  if
  :: size[b] == 0 -> other = true
  :: size[b] > 0 && size[a] == 0 -> other = false
  :: else ->
     other = (log[a * LEN + size[a] - 1] % MARK > log[b * LEN + size[b] - 1] % MARK) ||
             (log[a * LEN + size[a] - 1] % MARK == log[b * LEN + size[b] - 1] % MARK && size[a] >= size[b])
  fi
}

/* Replica i requests votes; any subset of the other replicas may be reachable. */
inline elect() {
  isMember(i, i);
  if
  :: member && !wiped[i] && term[i] < MAXTERM ->
     term[i]++;
     leads[i] = 0;
     votes = 1;
     countVoters(i);
     m = 0;
     do
     :: m < N ->
        if
        :: m != i && term[m] < term[i] ->
           isMember(i, m);
           upToDate(i, m);
           if
           :: member && other ->
              if
              :: term[m] = term[i]; leads[m] = 0;
#ifdef WIPED_VOTES
                 votes++
#else
                 if :: !wiped[m] -> votes++ :: else -> skip fi
#endif
              :: skip  /* not reachable */
              fi
           :: else -> skip
           fi
        :: else -> skip
        fi;
        m++
     :: else -> break
     od;
     if
     :: votes >= need -> leads[i] = term[i]; holdsCommitted(i); if :: !ok -> lost = true :: else -> skip fi
     :: else -> skip
     fi
  :: else -> skip
  fi
}

inline append(entry) {
  if
  :: leads[i] == term[i] && leads[i] > 0 && size[i] < LEN -> log[i * LEN + size[i]] = entry; size[i]++
  :: else -> skip
  fi
}

/* Replica j receives the leader's whole log. */
inline copy() {
  if
  :: i != j && leads[i] == term[i] && leads[i] > 0 && term[j] <= term[i] ->
     if :: term[j] < term[i] -> leads[j] = 0 :: else -> skip fi;
     term[j] = term[i];
     k = 0;
     do
     :: k < LEN -> log[j * LEN + k] = (k < size[i] -> log[i * LEN + k] : 0); k++
     :: else -> break
     od;
     size[j] = size[i]
  :: else -> skip
  fi
}

/* The leader commits its whole log if a quorum of its voters holds the same log in the leader's term. */
inline commit() {
  if
  :: leads[i] == term[i] && leads[i] > 0 && size[i] > 0 && log[i * LEN + size[i] - 1] % MARK == term[i] ->
     countVoters(i);
     votes = 0;
     m = 0;
     do
     :: m < N ->
        isMember(i, m);
#ifdef WIPED_VOTES
        if
#else
        if
        :: wiped[m] -> skip
#endif
        :: else ->
           if
           :: member && term[m] == term[i] && size[m] == size[i] ->
              other = true;
              k = 0;
              do
              :: k < size[i] -> if :: log[m * LEN + k] != log[i * LEN + k] -> other = false :: else -> skip fi; k++
              :: else -> break
              od;
              if :: other -> votes++ :: else -> skip fi
           :: else -> skip
           fi
        fi;
        m++
     :: else -> break
     od;
     if
     :: votes >= need ->
        holdsCommitted(i);
        if :: !ok -> lost = true :: else -> skip fi;
        committedLen = size[i];
        k = 0;
        do
        :: k < size[i] ->
           committed[k] = log[i * LEN + k];
           if :: committed[k] >= MARK -> dropCommitted = true :: else -> skip fi;
           k++
        :: else -> break
        od
     :: else -> skip
     fi
  :: else -> skip
  fi
}

inline wipe() {
  if
#ifdef TWO_AT_ONCE
  :: !wiped[j] && wipes < 2 ->
#else
  :: !wiped[j] && (wipes == 0 || (wipes == 1 && dropCommitted)) ->
#endif
     wipes++;
     wiped[j] = true;
     size[j] = 0; term[j] = 0; leads[j] = 0;
     log[j * LEN] = 0; log[j * LEN + 1] = 0; log[j * LEN + 2] = 0;
     /* At least one disk that was not lost must hold all acknowledged entries. */
     other = false;
     m = 0;
     do
     :: m < N ->
        holdsCommitted(m);
        if :: ok && !wiped[m] -> other = true :: else -> skip fi;
        m++
     :: else -> break
     od;
     if :: !other -> lost = true :: else -> skip fi
  :: else -> skip
  fi
}

active proctype Run() {
  do
  :: !lost ->
     atomic {
       pick(i);
       pick(j);
       if
       :: true -> elect()
       :: true -> append(term[i])
       :: wiped[j] ->
          isMember(i, j);
          if :: member -> append(term[i] + MARK * (j + 1)) :: else -> skip fi
       :: true -> copy()
       :: true -> commit()
       :: true -> wipe()
       fi;
       i = 0; j = 0; k = 0; m = 0; votes = 0; voters = 0; need = 0; ok = false; member = false; other = false
     }
  :: lost -> break
  od
}

ltl rules { [] !lost }
