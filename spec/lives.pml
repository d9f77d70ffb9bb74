/*
 * Model of the protocol between the leader and the lives of a worker. A life is one
 * incarnation of a worker ID. Orders name the ID only, so a later life may carry out
 * orders for an earlier one, also after newer orders. One task may start RUNS times, on
 * this worker or on another one that is always reached. No two runs of it may overlap; it
 * must not start after a run that ended done if that end is acknowledged to its worker
 * then or later; and the worker has room for one run, also when a start is placed on it.
 *
 * Orders of events that it plays:
 * - a life crashes and the next one starts at any time, also twice before the leader
 *   learns of it; reports arrive at any time, also those of a life that is over;
 * - a start is sent again while it has no answer; starts and renewals are lost, or carried
 *   out up to DELAY ticks after they were sent, in any order, by any life that is up, with
 *   or without an answer; a worker that is cut off is one whose orders are lost or late;
 * - a deadline on the clock of another life gives the longest lease (HOLD);
 * - each life numbers its ends from 1, and renewals carry acknowledgements;
 * - a new leader at any time, which knows the replicated state only.
 * Not played: an answer that arrives after a later event; two executions of one order
 * (a repeated start is a second order); a deadline that gives another life less than HOLD;
 * drift of clocks (order.pml); commands of a former leader that are committed late
 * (note.pml); a start that is answered with a rejection; stops, failed runs other than
 * expired ones, gangs, truncated listings, other tasks on the worker.
 *
 * Assumptions, each of which a macro drops:
 * - NO_ASSUME_HEARD: an attempt is not given up for the silence of its life while a later
 *   life is up of which the leader has had neither a report nor an answer;
 * - NO_ASSUME_CLOSED: a later life carries out no start of an attempt that was closed on
 *   an earlier one (end listed, not listed, lease expired) while that start was in flight;
 * - NO_ASSUME_UNREAD: a later life carries out no acknowledgement that was sent to an
 *   earlier one that was answering.
 *
 * With STRICT no assumption is needed, because the leader waits for orders in flight:
 * - WAIT_FOR_STARTS: an attempt is closed, and its end recorded, only when no start of it
 *   can be in flight;
 * - WAIT_FOR_LEASES: an attempt that is not proven is given up DELAY and HOLD after the
 *   last order that grants a lease;
 * - WAIT_FOR_ACKS: an acknowledgement is sent once, only while no attempt is unproven, and
 *   no start is sent while it may be in flight.
 *
 * Mutations: ONE_NUMBER_A_TERM, RELEASE_ON_REGISTRATION, RELEASE_ON_ANSWER,
 * OWN_GRANTS_ONLY, NO_WAIT_FOR_DELAYED, ACK_FIRST, ACK_WHILE_SILENT, GRANT_WHILE_SILENT,
 * FORGET_UNPROVEN, START_BEFORE_ANSWER, and PROVEN_IF_LISTED: an attempt counts as proven
 * although a start of it has had no answer.
 * Bounds: LIVES, TERMS, RUNS, two starts and two renewals in flight. Times count down, so
 * the number of ticks has no bound.
 */
#define VALIDITY 1  /* of a start */
#ifndef DELAY
#define LEASE 1     /* that the leader grants */
#define HOLD 2      /* longest lease that a worker allows */
#define DELAY 1     /* longest delay of an order */
#endif
#define WAIT_OUT (DELAY + HOLD)
#define IN_FLIGHT (DELAY + 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define FADE(x) x = (x > 0 -> x - 1 : 0)
/* What remains of a time that was granted with an order. */
#define REMAINS(left, granted) ((granted) + (left) > DELAY -> (granted) + (left) - DELAY : 0)

#ifdef STRICT
#ifndef NO_WAIT_FOR_STARTS
#define WAIT_FOR_STARTS
#endif
#ifndef NO_WAIT_FOR_LEASES
#define WAIT_FOR_LEASES
#endif
#ifndef NO_WAIT_FOR_ACKS
#define WAIT_FOR_ACKS
#endif
#define NO_ASSUME_HEARD
#define NO_ASSUME_CLOSED
#define NO_ASSUME_UNREAD
#endif

/* The fence rises with each leader and each life, so it also names the session. */
#define SESSION (term + lives)
#ifdef ONE_NUMBER_A_TERM
#define FENCE term
#else
#define FENCE SESSION
#endif
#ifdef PROVEN_IF_LISTED
#define ALL_STARTS_ANSWERED true
#else
#define ALL_STARTS_ANSWERED (unanswered == 0)
#endif
#ifdef WAIT_FOR_STARTS
#define MAY_CLOSE (unanswered == 0)
#else
#define MAY_CLOSE true
#endif
#ifdef WAIT_FOR_LEASES
#define GRANTED(lease) (proven -> lease : WAIT_OUT)
#define FIRST_BOUND (open > 0 && !elsewhere && !proven -> MAX(bound, HOLD) : HOLD)
#else
#define FIRST_BOUND HOLD
#define GRANTED(lease) lease
#endif
#ifdef WAIT_FOR_ACKS
#define ACK_IN_FLIGHT IN_FLIGHT
#define MAY_START (acking == 0)
#define MAY_ACKNOWLEDGE (acking == 0 && (open == 0 || elsewhere || proven) && recorded > forgotten)
#else
#define ACK_IN_FLIGHT 0
#define MAY_START true
#define MAY_ACKNOWLEDGE true
#endif
#ifdef START_BEFORE_ANSWER
#define HAS_ANSWERED true
#else
#define HAS_ANSWERED answered
#endif
#ifdef NO_ASSUME_HEARD
#define ASSUME_HEARD true
#else
#define ASSUME_HEARD (!up || life <= heard)
#endif
#ifdef NO_ASSUME_CLOSED
#define ASSUME_CLOSED(s) true
#else
#define ASSUME_CLOSED(s) (closer[startRun[s]] == 0 || life <= closer[startRun[s]])
#endif
#ifdef NO_ASSUME_UNREAD
#define ASSUME_UNREAD(h) true
#else
#define ASSUME_UNREAD(h) (holdLife[h] == life || holdAck[h] == 0 || holdSilent[h])
#endif

/* The worker. */
byte life = 1;
bool up = true;
byte fence = 0, lease = 0;
byte running = 0, newest = 0;  /* newest run that has ended */
byte ends = 0, acked = 0;
byte endOf[RUNS + 1];          /* number of the end of a run, 0 if it has not ended here */
bool good[RUNS + 1];           /* it ended done */
bool valid[RUNS + 1];          /* it ended done, and the lease has not expired since */
bool followed[RUNS + 1];       /* the task has started after that end */
byte other = 0;                /* run on the other worker */
bool taken = false;            /* a run that ended done was acknowledged */

/* The replicated state. */
byte registered = 1;
byte heard = 1;                /* newest life of which the leader knows */
byte lives = 0;                /* lives before the registered one that were registered */
byte number = 0;               /* of starts of the task */
byte open = 0;                 /* committed run */
byte recorded = 0;             /* newest end of the registered life */
bool elsewhere = false;        /* the committed run is on the other worker */
bool done = false;

/* The leader of the term. */
byte term = 1;
bool answered = true;          /* the registered life has answered the first call */
bool failing = false;          /* an order has had no answer */
bool proven = false;           /* the registered life has certainly started the run */
bool confirmed = false;        /* a start was answered, or the run was listed */
bool inherited = false;        /* an earlier leader has committed the run */
byte unanswered = 0;           /* starts of the run without an answer */
byte exposed = 0;              /* time until none of them can be in flight */
byte validity = 0;             /* of the start */
byte bound = 0;                /* time until every lease of the worker has expired */
byte forgotten = 0, acking = 0;

/* Orders in flight. */
byte startRun[2], startLife[2], startFence[2], startSession[2], startLeft[2];
byte holdLife[2], holdFence[2], holdSession[2], holdAck[2], holdLeft[2];
bool holdGrants[2], holdSilent[2];

byte closer[RUNS + 1];         /* life on which a run was closed with starts in flight */
byte i = RUNS + 1;
bool registering = false;

inline close(by) {
	if
	:: open == startRun[0] || open == startRun[1] -> closer[open] = by
	:: else
	fi;
	open = 0; elsewhere = false; proven = false; inherited = false; confirmed = false;
	unanswered = 0; exposed = 0; validity = 0
}

inline sendStart(s) {
	startRun[s] = open; startLife[s] = registered; startFence[s] = FENCE; startSession[s] = SESSION;
	startLeft[s] = DELAY;
	unanswered++; exposed = IN_FLIGHT;
	bound = MAX(bound, GRANTED(validity))
}

inline clearStart(s) {
	if
	:: startRun[0] != startRun[1] -> closer[startRun[s]] = 0
	:: else
	fi;
	startRun[s] = 0; startLife[s] = 0; startFence[s] = 0; startSession[s] = 0; startLeft[s] = 0
}

inline sendHold(h) {
	holdLife[h] = registered; holdFence[h] = FENCE; holdSession[h] = SESSION; holdLeft[h] = DELAY;
	if
	:: answered && !failing ->
		if
		:: MAY_ACKNOWLEDGE && recorded > 0 -> holdAck[h] = recorded; acking = ACK_IN_FLIGHT
		:: else
		fi;
		if
		:: open > 0 && !elsewhere -> holdGrants[h] = true; bound = MAX(bound, GRANTED(LEASE))
		:: else
		fi
#ifdef GRANT_WHILE_SILENT
	:: answered && failing && open > 0 && !elsewhere -> holdGrants[h] = true; bound = MAX(bound, GRANTED(LEASE))
#endif
#ifdef ACK_FIRST
	:: !answered && !failing -> holdAck[h] = recorded; holdSilent[h] = true
#endif
#ifdef ACK_WHILE_SILENT
	:: answered && failing -> holdAck[h] = recorded; holdSilent[h] = true
#endif
	:: else
	fi
}

inline clearHold(h) {
	holdLife[h] = 0; holdFence[h] = 0; holdSession[h] = 0; holdAck[h] = 0; holdGrants[h] = false;
	holdSilent[h] = false; holdLeft[h] = 0
}

inline lose(h) {
	if :: holdSession[h] == SESSION -> failing = true :: else fi;
	clearHold(h)
}

/* A renewal that can only raise the fence, and whose answer no one waits for, is lost. */
inline dropStale(h) {
	if
	:: holdLife[h] > 0 && holdSession[h] != SESSION && holdAck[h] == 0 && !holdGrants[h] -> clearHold(h)
	:: else
	fi
}

/* The task starts on one of the workers. */
inline begin() {
	assert(!taken);
	assert(running == 0);
	assert(other == 0);
	for (i : 1 .. RUNS) { if :: valid[i] -> followed[i] = true :: else fi }
}

inline finish(isDone) {
	ends++; endOf[running] = ends; good[running] = isDone; valid[running] = isDone;
	newest = MAX(newest, running); running = 0
}

inline acknowledge(n) {
	if
	:: n > acked ->
		for (i : 1 .. RUNS) {
			if
			:: endOf[i] > acked && endOf[i] <= n && valid[i] -> assert(!followed[i]); taken = true; valid[i] = false
			:: else
			fi };
		acked = n
	:: else
	fi
}

/* A later life is known, so what the earlier one has certainly started has ended. */
inline endProven() {
	if
	:: open > 0 && !elsewhere && proven -> close(0)
#ifdef RELEASE_ON_REGISTRATION
	:: open > 0 && !elsewhere && !proven && registering -> close(0)
#endif
#ifdef RELEASE_ON_ANSWER
	:: open > 0 && !elsewhere && !proven && !registering -> close(0)
#endif
	:: else
	fi
}

/* The leader reads the listing of the registered life. */
inline read() {
	failing = false;
	if
	:: open == 0 || elsewhere -> recorded = ends
	:: open > 0 && !elsewhere && running == open ->
		recorded = ends; confirmed = true; inherited = false;
		proven = (proven || ALL_STARTS_ANSWERED)
	:: open > 0 && !elsewhere && running != open && endOf[open] > acked ->
		if
		:: MAY_CLOSE -> recorded = ends; done = (done || good[open]); close(registered)
		:: else
		fi
	:: open > 0 && !elsewhere && running != open && endOf[open] <= acked ->
		recorded = ends;
		if
		:: MAY_CLOSE && (!answered || confirmed || inherited || validity == 0) -> close(registered)
		:: else
		fi
	fi;
	if
	:: !answered ->
		answered = true;
#ifdef OWN_GRANTS_ONLY
		bound = 0
#else
		bound = FIRST_BOUND
#endif
	:: else
	fi
}

/* A life has answered that has not registered yet. */
inline readLater() {
	endProven();
	failing = true;
	if
	:: heard < life -> heard = life; bound = WAIT_OUT
	:: else
	fi
}

proctype Leader() {
	do
	/* Placement on the worker, or on the other one. */
	:: atomic { open == 0 && !done && number < RUNS && !failing && heard == registered && HAS_ANSWERED && MAY_START && (startRun[0] == 0 || startRun[1] == 0) ->
			assert(running == 0);
			number++; open = number; validity = VALIDITY;
			if
			:: startRun[0] == 0 -> sendStart(0)
			:: else -> sendStart(1)
			fi }
	:: atomic { open == 0 && !done && number < RUNS ->
			number++; open = number; elsewhere = true;
			begin(); other = number }
	:: atomic { open > 0 && !elsewhere && !inherited && !confirmed && validity > 0 && heard == registered && MAY_START && unanswered == 1 && (startRun[0] == 0 || startRun[1] == 0) ->
			if
			:: startRun[0] == 0 -> sendStart(0)
			:: else -> sendStart(1)
			fi }
	:: atomic { holdLife[0] == 0 -> sendHold(0) }
	:: atomic { holdLife[0] > 0 && holdLife[1] == 0 -> sendHold(1) }
	:: atomic { !failing && (holdSession[0] == SESSION || holdSession[1] == SESSION) -> failing = true }
	/* The lease of a life that does not answer has expired. */
	:: atomic { open > 0 && !elsewhere && (failing || !answered) && bound == 0 && MAY_CLOSE && ASSUME_HEARD ->
			if
			:: answered && heard == registered -> close(registered)
			:: else -> close(0)
			fi }
	/* A report of a life that is or was up. */
	:: atomic { registered < life ->
			registering = true; endProven(); registering = false;
			if
			:: registered = life
			:: registered + 1 < life -> registered++
			fi;
			heard = MAX(heard, registered);
			lives++;
			dropStale(0); dropStale(1);
#ifndef ACK_FIRST
			recorded = 0;
#endif
			answered = false; failing = false; proven = false; confirmed = false; validity = 0;
			forgotten = 0;
#ifndef NO_WAIT_FOR_DELAYED
			bound = WAIT_OUT
#endif
		}
	/* A new leader. */
	:: atomic { term < TERMS ->
			term++;
			dropStale(0); dropStale(1);
			failing = false; confirmed = false; validity = 0;
			answered = (lives == 0 && heard == registered);
			inherited = (open > 0 && !elsewhere);
#ifdef FORGET_UNPROVEN
			proven = inherited;
#else
			proven = false;
#endif
			unanswered = (inherited -> 1 : 0); exposed = (inherited -> IN_FLIGHT : 0);
			acking = ACK_IN_FLIGHT; forgotten = 0;
			bound = (answered -> GRANTED(LEASE) : WAIT_OUT) }
	/* The other worker. */
	:: atomic { other > 0 -> other = 0; done = true; taken = true; close(0) }
	:: atomic { other > 0 -> other = 0; close(0) }
	od
}

inline carryOutStart(s) {
	if
	:: startFence[s] >= fence && (startLife[s] != life || REMAINS(startLeft[s], VALIDITY) > 0) ->
		fence = startFence[s];
		lease = (startLife[s] == life -> MAX(lease, REMAINS(startLeft[s], VALIDITY)) : HOLD);
		if
		:: startRun[s] > newest && startRun[s] != running -> begin(); running = startRun[s]
		:: else
		fi;
		/* The answer does not name the life, and may be lost. */
		if
		:: startSession[s] == SESSION && startRun[s] == open && running == open ->
			confirmed = true;
			unanswered = (unanswered > 0 -> unanswered - 1 : 0);
			if :: unanswered == 0 -> exposed = 0 :: else fi
		:: true
		fi
	:: else
	fi;
	clearStart(s)
}

inline carryOutHold(h) {
	if
	:: holdFence[h] >= fence ->
		fence = holdFence[h];
		if
		:: holdGrants[h] -> lease = (holdLife[h] == life -> MAX(lease, REMAINS(holdLeft[h], LEASE)) : HOLD)
		:: else
		fi;
		acknowledge(holdAck[h]);
		if
		:: holdSession[h] == SESSION && registered == life ->
#ifdef WAIT_FOR_ACKS
			if
			:: holdAck[h] > 0 -> forgotten = holdAck[h]; acking = 0
			:: else
			fi;
#endif
			read()
		:: holdSession[h] == SESSION && registered < life -> readLater()
		:: holdSession[h] == SESSION -> failing = true
		:: holdSession[h] != SESSION
		fi
	:: else
	fi;
	clearHold(h)
}

proctype Network() {
	do
	:: atomic { up && startRun[0] > 0 && ASSUME_CLOSED(0) -> carryOutStart(0) }
	:: atomic { up && startRun[1] > 0 && ASSUME_CLOSED(1) -> carryOutStart(1) }
	:: atomic { up && holdLife[0] > 0 && ASSUME_UNREAD(0) -> carryOutHold(0) }
	:: atomic { up && holdLife[1] > 0 && ASSUME_UNREAD(1) -> carryOutHold(1) }
	:: atomic { holdLife[0] > 0 -> lose(0) }
	:: atomic { holdLife[1] > 0 -> lose(1) }
	od
}

proctype Worker() {
	do
	:: atomic { running > 0 -> finish(true) }
	:: atomic { up && life < LIVES ->
			up = false; fence = 0; lease = 0; running = 0; newest = 0; ends = 0; acked = 0;
			for (i : 1 .. RUNS) { endOf[i] = 0; good[i] = false; valid[i] = false; followed[i] = false } }
	:: atomic { !up -> up = true; life++ }
	od
}

inline tickStart(s) {
	if
	:: startRun[s] > 0 && startLeft[s] == 0 -> clearStart(s)
	:: startRun[s] > 0 && startLeft[s] > 0 -> startLeft[s]--
	:: else
	fi
}

inline tickHold(h) {
	if
	:: holdLife[h] > 0 && holdLeft[h] == 0 -> lose(h)
	:: holdLife[h] > 0 && holdLeft[h] > 0 -> holdLeft[h]--
	:: else
	fi
}

proctype Time() {
	do
	:: atomic { true ->
			FADE(lease); FADE(bound); FADE(validity); FADE(exposed); FADE(acking);
			if :: exposed == 0 -> unanswered = 0 :: else fi;
			tickStart(0); tickStart(1); tickHold(0); tickHold(1);
			if
			:: lease == 0 && running > 0 -> finish(false)
			:: else
			fi;
			if
			:: lease == 0 -> for (i : 1 .. RUNS) { valid[i] = false; followed[i] = false }
			:: else
			fi }
	od
}

init {
	atomic { run Leader(); run Network(); run Worker(); run Time() }
}
