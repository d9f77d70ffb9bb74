/*
 * Model of the bootstrap of a group from its seeds and of the return of a seed that
 * has lost its disk. Three seeds derive the same initial membership, in which each
 * has an id that is used only once. A seed that returns without its state has a new
 * id and no vote, until a leader adds it after copying the state to it. An
 * acknowledged entry must be in the log of every later leader, and a term must not
 * have two leaders.
 * Bounds: three seeds, two terms, one entry, one lost disk, one repair.
 * Mutations: REFOUND, FOUND_ALONE, REPAIR_BEFORE_COPY, ANY_ID.
 */
#define N 3

byte id[N];       /* of the process at the address: 0 initially, 1 after the loss */
byte member[N];   /* id of the address in the membership */
bool has[N];      /* the entry is on its disk */
byte vote1[N], vote2[N]; /* candidate + 1 that it voted for in the term */
byte leader1 = N, leader2 = N;
bool acked = false, lost = false, repaired = false;

#ifdef ANY_ID
#define VOTES(i) true
#else
#define VOTES(i) (id[i] == member[i])
#endif
#ifdef FOUND_ALONE
#define QUORUM 1
#else
#define QUORUM 2
#endif

#define COUNT(v, c) (((v[0] == c + 1 && VOTES(0)) -> 1 : 0) + ((v[1] == c + 1 && VOTES(1)) -> 1 : 0) + ((v[2] == c + 1 && VOTES(2)) -> 1 : 0))
#define HOLD (((has[0] && VOTES(0)) -> 1 : 0) + ((has[1] && VOTES(1)) -> 1 : 0) + ((has[2] && VOTES(2)) -> 1 : 0))

/* A voter grants a vote to a candidate whose log is not older than its own. */
proctype Voter(byte i) {
	byte c;
	do
	:: atomic { select(c : 0 .. 2); VOTES(i) && VOTES(c) ->
			if
			:: vote1[i] == 0 && vote2[i] == 0 && (has[c] || !has[i]) -> vote1[i] = c + 1
			:: vote2[i] == 0 && (has[c] || !has[i]) -> vote2[i] = c + 1
			:: else
			fi;
			c = 0 }
	od
}

/* A candidate that has lost its disk is no longer a candidate. */
proctype Candidate(byte c) {
	do
	:: atomic { VOTES(c) && COUNT(vote1, c) >= QUORUM && leader1 != c ->
			assert(leader1 == N); leader1 = c }
	:: atomic { VOTES(c) && COUNT(vote2, c) >= QUORUM && leader2 != c ->
			assert(leader2 == N); leader2 = c; assert(!acked || has[c]) }
	od
}

/* The leader of the first term writes the entry; a process that has voted in the
 * second term refuses it. */
proctype Writer() {
	byte i;
	do
	:: atomic { leader1 < N && VOTES(leader1) && vote2[leader1] == 0 && !has[leader1] -> has[leader1] = true }
	:: atomic { select(i : 0 .. 2); leader1 < N && has[leader1] && VOTES(leader1) && VOTES(i) && vote2[i] == 0 -> has[i] = true; i = 0 }
	:: atomic { leader1 < N && has[leader1] && HOLD >= QUORUM && !acked -> acked = true }
	od
}

/* One disk is lost at any time after the bootstrap. */
proctype Loss() {
	byte i;
	atomic {
		select(i : 0 .. 2);
		has[i] = false; vote1[i] = 0; vote2[i] = 0; lost = true;
#ifndef REFOUND
		id[i] = 1
#endif
	}
}

/* The leader of the second term copies the state to the returned process and then
 * adds it to the membership. */
proctype Repair() {
	byte i, l;
	do
	:: atomic { !repaired && lost ->
			l = (leader2 < N -> leader2 : leader1);
			if
			:: l < N && VOTES(l) && leader2 == l ->
				if
				:: id[0] != member[0] -> i = 0
				:: id[1] != member[1] -> i = 1
				:: id[2] != member[2] -> i = 2
				:: else -> i = N
				fi;
				if
				:: i < N ->
#ifndef REPAIR_BEFORE_COPY
					has[i] = has[l];
#endif
					/* The copy includes the term, so the process grants no vote in it. */
					vote1[i] = N + 1; vote2[i] = N + 1; member[i] = id[i]; repaired = true
				:: else
				fi
			:: else
			fi;
			i = 0; l = 0 }
	od
}

/* After the repair, an acknowledged entry is on a quorum of the voters. */
proctype Monitor() {
	atomic { acked && repaired && HOLD < QUORUM -> assert(false) }
}

init {
	atomic {
		run Voter(0); run Voter(1); run Voter(2);
		run Candidate(0); run Candidate(1); run Candidate(2);
		run Writer(); run Loss(); run Repair(); run Monitor()
	}
}
