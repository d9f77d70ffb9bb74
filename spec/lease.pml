/*
 * Model of the task lease: one attempt of an exclusive task on one worker, and two
 * processes that lead in turn. Once the attempt is declared lost, another worker
 * may start the task immediately, so this worker must not run it then or later.
 * Handlers and the search for expired leases may pause between their steps; replies
 * may be delayed and reordered. The worker's clock may be slow: its lease of LEASE
 * ticks lasts LEASE+1 ticks of the granter's clock.
 * Bounds: HORIZON ticks, CHANGES changes of leader, two concurrent handlers, two
 * replies in flight. A lost worker does not register again.
 * Mutations: NO_WAIT_OUT, FROM_RECEIPT, NO_EPOCH, NO_DRIFT, NO_ENDING, STALE_START.
 */
#define LEASE 2
#define HORIZON 7
#define CHANGES 2
#ifdef NO_DRIFT
#define WAIT LEASE
#else
#define WAIT (LEASE + 1)
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

byte now = 1;
byte leader = 0;
byte since = 1;
byte changes = 0;         /* changes of leader so far; identifies the leadership */
bool lost = false;        /* replicated: the attempt is declared lost */

/* The lease table of each process, which is reset when a new leadership begins. */
byte expires[2];
bool ending[2];
byte entered[2];

/* The worker. */
byte valid = 0;           /* the worker stops the task at this tick */
bool running = false;
bool seen = false;        /* the worker has started the attempt before */

/* Replies in flight: when the heartbeat was sent, 0 if there is none, and whether
 * the attempt was open. */
byte asked[2];
bool start[2];

inline enter(p, s) {
	if
	:: s > entered[p] -> entered[p] = s; expires[p] = 0; ending[p] = false
	:: else
	fi
}

/* A heartbeat and its handler. */
proctype Heartbeat(byte slot) {
	byte p, s, sent;
	do
	:: atomic { asked[slot] == 0 && now < HORIZON ->
			sent = now; p = leader; s = since;
			if
			:: s >= entered[p] -> enter(p, s);
				if
				:: ending[p] -> goto dropped
				:: else -> expires[p] = now + WAIT
				fi
			:: else -> goto dropped
			fi }
		/* The handler may pause here. */
		atomic {
			if
			:: leader == p && since == s -> asked[slot] = sent; start[slot] = !lost
			:: else
			fi;
			goto dropped }
dropped:	atomic { p = 0; s = 0; sent = 0 }
	od
}

/* The network delivers a reply after any delay. */
proctype Network(byte slot) {
	do
	:: atomic { asked[slot] != 0 ->
#ifdef FROM_RECEIPT
		asked[slot] = now;
#endif
		valid = MAX(valid, asked[slot] + LEASE + 1);
		if
#ifdef STALE_START
		:: start[slot] && !seen && now < valid -> running = true; seen = true
#else
		:: start[slot] && !seen && now < asked[slot] + LEASE + 1 -> running = true; seen = true
#endif
		:: else
		fi;
		asked[slot] = 0; start[slot] = false;
		assert(!(lost && running)) }
	od
}

/* Each process checks for an expired lease and commits the loss of the attempt. */
proctype Expire(byte p) {
	byte s, e;
	do
	:: atomic { leader == p && !lost && since >= entered[p] ->
			s = since; e = changes; enter(p, s);
			if
#ifdef NO_WAIT_OUT
			:: now >= expires[p] ->
#else
			:: now >= MAX(expires[p], s + WAIT) ->
#endif
#ifndef NO_ENDING
				ending[p] = true
#else
				skip
#endif
			:: else -> goto idle
			fi }
		/* The process may pause here, and may lose and regain leadership. */
		atomic {
			if
#ifdef NO_EPOCH
			:: leader == p && !lost ->
#else
			:: leader == p && !lost && changes == e ->
#endif
				lost = true; assert(!running)
			:: else
			fi;
			if
			:: s == entered[p] -> ending[p] = false
			:: else
			fi }
idle:		atomic { s = 0; e = 0 }
	od
}

proctype Elect() {
	do
	:: atomic { changes < CHANGES && now > since -> leader = 1 - leader; since = now; changes++ }
	od
}

proctype Clock() {
	do
	:: atomic { now < HORIZON -> now++;
		if
		:: now >= valid -> running = false
		:: else
		fi }
	od
}

init {
	atomic {
		run Heartbeat(0); run Heartbeat(1); run Network(0); run Network(1);
		run Expire(0); run Expire(1); run Elect(); run Clock()
	}
}
