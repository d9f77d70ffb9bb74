/*
 * Model of single-server membership changes (internal/raft/membership.go). There
 * are five replicas; the mask INITIAL selects the first voters. A membership takes
 * effect in a replica when its entry is in the replica's log, committed or not.
 * Every replica grants votes, because it may not yet have received the entry that
 * makes it a voter; a candidate counts only the votes of voters in its own
 * membership. A learner is a replica that stores entries but is not in the
 * membership.
 *
 * Checked: committed entries agree, and are in the log of every later leader.
 *
 * At the start replica 0 leads term 1. Its empty log represents a log whose
 * entries are all of term 1 and committed.
 *
 * The macros TERMS, LOG (entries) and INITIAL (a mask) are bounds.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LOG
#define LOG 2
#endif
#ifndef INITIAL
#define INITIAL 15
#endif
#define N 5

typedef Node {
	byte term;
	byte vote; /* id + 1, 0 for none */
	bool leads;
	byte granted; /* votes received as a candidate of the term, a mask */
	byte size;
	byte log[LOG];     /* terms of the entries */
	byte members[LOG]; /* mask of voters from this entry on */
	byte commit
};
typedef Entry {
	byte term;
	byte members;
	byte in /* term in which it was committed, 0 for none */
};

Node node[N];
Entry committed[LOG];
bool elected[TERMS + 1];

hidden byte pos, count, stored, ok;

#define BITS(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1) + (((m) >> 4) & 1))
/* The membership that is in effect in a replica. */
#define MEMBERS(id) (node[id].size == 0 -> INITIAL : node[id].members[node[id].size - 1])
#define MAJORITY(m, of) (2 * BITS((m) & (of)) > BITS(of))
#define LAST(id) (node[id].size == 0 -> 1 : node[id].log[node[id].size - 1])

inline stand(id) {
	node[id].term++;
	node[id].vote = id + 1;
	node[id].leads = false;
	node[id].granted = 1 << id
}

/* Voter id handles the request of candidate cand, whose log has not changed. */
inline grantVote(id, cand) {
	node[id].term = node[cand].term;
	node[id].leads = false;
	node[id].granted = 0;
	node[id].vote = 0;
	if
	:: LAST(cand) > LAST(id) || (LAST(cand) == LAST(id) && node[cand].size >= node[id].size) ->
		node[id].vote = cand + 1;
		node[cand].granted = node[cand].granted | (1 << id)
	:: else
	fi
}

inline lead(id) {
	assert(!elected[node[id].term]);
	elected[node[id].term] = true;
	node[id].leads = true;
	node[id].granted = 0;
	pos = 0;
	do
	:: pos < LOG ->
		assert(committed[pos].in == 0 || committed[pos].in >= node[id].term ||
			(node[id].size > pos && node[id].log[pos] == committed[pos].term));
		pos++
	:: else -> break
	od;
	pos = 0
}

inline appendEntry(id, voters) {
	node[id].log[node[id].size] = node[id].term;
	node[id].members[node[id].size] = voters;
	node[id].size++
}

/* Follower id stores the first entries of the log of leader from. */
inline storeEntries(id, from, entries) {
	node[id].granted = 0;
	node[id].leads = false;
	if
	:: node[id].term < node[from].term -> node[id].term = node[from].term; node[id].vote = 0
	:: else
	fi;
	ok = node[id].size >= entries;
	pos = 0;
	do
	:: pos < entries -> ok = ok && node[id].log[pos] == node[from].log[pos]; pos++
	:: else -> break
	od;
	if
	:: ok
	:: else ->
		pos = 0;
		do
		:: pos < LOG ->
			node[id].log[pos] = (pos < entries -> node[from].log[pos] : 0);
			node[id].members[pos] = (pos < entries -> node[from].members[pos] : 0);
			pos++
		:: else -> break
		od;
		node[id].size = entries
	fi;
	pos = 0; ok = 0
}

/* The leader commits its first entries, the last of which is of its term, if a
 * majority of its membership follows it and stores them. */
inline commitEntries(id, entries) {
	stored = 1 << id;
	pos = 0;
	do
	:: pos < N ->
		if
		:: pos != id && node[pos].term == node[id].term && !node[pos].leads &&
			node[pos].size >= entries && node[pos].log[entries - 1] == node[id].term ->
			stored = stored | (1 << pos)
		:: else
		fi;
		pos++
	:: else -> break
	od;
	if
	:: MAJORITY(stored, MEMBERS(id)) ->
		node[id].commit = entries;
		pos = 0;
		do
		:: pos < entries ->
			assert(committed[pos].in == 0 || (committed[pos].term == node[id].log[pos] &&
				committed[pos].members == node[id].members[pos]));
			if
			:: committed[pos].in == 0 ->
				committed[pos].in = node[id].term;
				committed[pos].term = node[id].log[pos];
				committed[pos].members = node[id].members[pos]
			:: else
			fi;
			pos++
		:: else -> break
		od
	:: else
	fi;
	pos = 0; stored = 0
}

#ifdef CHANGE_WHILE_PENDING
#define SETTLED(id) true
#else
#define SETTLED(id) (node[id].size == 0 || node[id].commit == node[id].size || \
	(node[id].size > node[id].commit && MEMBERS(id) == (node[id].commit == 0 -> INITIAL : node[id].members[node[id].commit - 1])))
#endif

#ifdef CHANGE_WITHOUT_OWN_COMMIT
#define OWN(id) true
#else
#define OWN(id) ((node[id].commit == 0 -> 1 : node[id].log[node[id].commit - 1]) == node[id].term)
#endif

#define CAN_CHANGE(id) (node[id].leads && node[id].size < LOG && SETTLED(id) && OWN(id))

#define STEP(guard, body) :: d_step { (guard) -> body }
#define VOTE(c) STEP((c) != v && node[c].term > node[v].term && !node[c].leads && node[c].granted != 0, grantVote(v, c))
#define STORE(from, k) \
	STEP((from) != v && node[from].leads && node[from].term >= node[v].term && node[from].size >= (k) && \
		(node[v].size < (k) || node[v].log[(k) - 1] != node[from].log[(k) - 1] || node[v].term < node[from].term), \
		storeEntries(v, from, k))
#define COMMIT(k) STEP(node[v].leads && node[v].size >= (k) && node[v].commit < (k) && \
	node[v].log[(k) - 1] == node[v].term, commitEntries(v, k))
#ifdef CHANGE_TWO_AT_ONCE
#define CHANGE(x) STEP(CAN_CHANGE(v) && (x) != v && (x) != (v + 1) % N, \
	appendEntry(v, (MEMBERS(v) ^ (1 << (x)) ^ (1 << ((x) + 1) % N)) | (1 << v)))
#else
#define CHANGE(x) STEP(CAN_CHANGE(v) && (x) != v, appendEntry(v, MEMBERS(v) ^ (1 << (x))))
#endif
#if LOG > 2
#define FROM(x) VOTE(x) STORE(x, 1) STORE(x, 2) STORE(x, 3) CHANGE(x)
#else
#define FROM(x) VOTE(x) STORE(x, 1) STORE(x, 2) CHANGE(x)
#endif

active [N] proctype replica() {
	byte v = _pid;
	d_step {
		node[v].term = 1;
		node[v].vote = 1;
		node[v].leads = (v == 0);
		elected[1] = true
	}
	do
	STEP(!node[v].leads && node[v].term < TERMS && (MEMBERS(v) >> v) & 1, stand(v))
	STEP(!node[v].leads && MAJORITY(node[v].granted, MEMBERS(v)), lead(v))
	STEP(node[v].leads && node[v].size < LOG && LAST(v) != node[v].term, appendEntry(v, MEMBERS(v)))
	FROM(0)
	FROM(1)
	FROM(2)
	FROM(3)
	FROM(4)
	COMMIT(1)
	COMMIT(2)
#if LOG > 2
	COMMIT(3)
#endif
	od
}
