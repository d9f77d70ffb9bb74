/*
 * Task lease: one exclusive task, two workers, two processes that lead in turn.
 * A handler and the search for expired leases pause between their steps; replies
 * are delayed and reordered. A worker's clock may be slow, so that its lease of
 * LEASE ticks lasts LEASE+1 ticks of the granter's clock.
 * Bounds: HORIZON ticks, two changes of leader, two replies under way to each
 * worker, two attempts, the first on worker 0 and the second on worker 1.
 * Mutations: NO_WAIT_OUT, FROM_RECEIPT, NO_EPOCH, NO_DRIFT, NO_ENDING, STALE_START.
 */
#define LEASE 1
#define HORIZON 7
#define NONE 2
#ifdef NO_DRIFT
#define WAIT LEASE
#else
#define WAIT (LEASE + 1)
#endif

byte now = 1;
byte leader = 0;
byte since = 1;
byte epoch = 1;
byte changes = 0;

/* Replicated state: the open attempt, 0 if none, and its worker. */
byte attempt = 0;
byte attempts = 0;
byte assigned = NONE;

/* Each process's lease table, emptied when its leadership is a new one. */
byte expires[4];      /* process * 2 + worker */
bool ending[4];
byte entered[2];

/* Workers. */
byte valid[2];        /* the worker stops its task at this tick */
byte running[2];      /* the attempt that runs, 0 if none */
byte seen[2];         /* bit per attempt that the worker has started */

typedef Reply { bool busy; byte asked; byte start; }
Reply replies[4];     /* worker * 2 + slot */

#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline enter(p, s) {
	if
	:: s > entered[p] ->
		entered[p] = s;
		expires[p * 2] = 0; expires[p * 2 + 1] = 0;
		ending[p * 2] = false; ending[p * 2 + 1] = false
	:: else
	fi
}

/* One handler at a time serves each worker's heartbeats. */
proctype Worker(byte w) {
	byte p, s, asked, slot, start;
	do
	:: atomic { now < HORIZON -> asked = now; p = leader; s = since }
		/* The handler may pause here. */
		if
		:: atomic { s >= entered[p] -> enter(p, s);
			if
			:: ending[p * 2 + w] -> goto dropped
			:: else -> expires[p * 2 + w] = MAX(expires[p * 2 + w], now + WAIT)
			fi }
		:: atomic { s < entered[p] -> goto dropped }
		fi;
		/* The handler may pause here. */
		atomic {
			if
			:: leader == p && since == s ->
				start = (assigned == w -> attempt : 0);
				slot = (replies[w * 2].busy -> w * 2 + 1 : w * 2);
				if
				:: !replies[slot].busy ->
					replies[slot].busy = true; replies[slot].asked = asked; replies[slot].start = start
				:: else
				fi
			:: else
			fi;
			asked = 0; slot = 0; start = 0; p = 0; s = 0
		}
		goto next;
dropped:	atomic { asked = 0; p = 0; s = 0 }
next:		skip
	od
}

/* The network delivers replies late and in any order. */
proctype Network(byte w) {
	byte slot;
	do
	:: atomic {
		if
		:: replies[w * 2].busy -> slot = w * 2
		:: replies[w * 2 + 1].busy -> slot = w * 2 + 1
		fi;
#ifdef FROM_RECEIPT
		replies[slot].asked = now;
#endif
		valid[w] = MAX(valid[w], replies[slot].asked + LEASE + 1);
		if
#ifdef STALE_START
		:: replies[slot].start != 0 && !(seen[w] & (1 << replies[slot].start)) && now < valid[w] ->
#else
		:: replies[slot].start != 0 && !(seen[w] & (1 << replies[slot].start)) && now < replies[slot].asked + LEASE + 1 ->
#endif
			running[w] = replies[slot].start; seen[w] = seen[w] | (1 << replies[slot].start)
		:: else
		fi;
		replies[slot].busy = false; replies[slot].asked = 0; replies[slot].start = 0; slot = 0 }
	od
}

/* Each process looks for expired leases and commits the loss. */
proctype Expire(byte p) {
	byte s, e, w;
	do
	:: atomic { leader == p && attempt != 0 && since >= entered[p] ->
			s = since; e = epoch; w = assigned; enter(p, s);
			if
#ifdef NO_WAIT_OUT
			:: now >= expires[p * 2 + w] ->
#else
			:: now >= MAX(expires[p * 2 + w], s + WAIT) ->
#endif
#ifndef NO_ENDING
				ending[p * 2 + w] = true
#endif
			:: else -> goto idle
			fi }
		/* The process may pause here, and lose and regain leadership. */
		atomic {
			if
#ifdef NO_EPOCH
			:: leader == p && assigned == w ->
#else
			:: leader == p && assigned == w && epoch == e ->
#endif
				attempt = 0; assigned = NONE
			:: else
			fi;
			if
			:: s == entered[p] -> ending[p * 2 + w] = false
			:: else
			fi }
idle:		atomic { s = 0; e = 0; w = 0 }
	od
}

proctype Schedule() {
	do
	:: atomic { attempt == 0 && attempts < 2 -> assigned = attempts; attempts++; attempt = attempts }
	od
}

proctype Elect() {
	do
	:: atomic { changes < 2 && now > since -> leader = 1 - leader; since = now; epoch++; changes++ }
	od
}

proctype Clock() {
	byte w;
	do
	:: atomic { now < HORIZON -> now++;
		for (w : 0 .. 1) {
			if
			:: now >= valid[w] -> running[w] = 0
			:: else
			fi
		}
		w = 0;
		assert(!(running[0] && running[1])) }
	od
}

proctype Check() { atomic { running[0] && running[1] -> assert(false) } }

init {
	atomic {
		run Worker(0); run Worker(1); run Network(0); run Network(1);
		run Expire(0); run Expire(1); run Schedule(); run Elect(); run Clock(); run Check()
	}
}
