/*
 * Model of the configuration lease: one change, one holder of a lease, and two
 * processes that lead the fleet group in turn. The change is accepted once the
 * holder has applied it, or can no longer serve because its lease and the grace
 * period of its configuration have expired. Handlers may pause and replies may be
 * delayed. The holder's clock may be slow: LEASE and GRACE ticks together last one
 * tick longer on the granter's clock.
 * Bounds: HORIZON ticks, CHANGES changes of leader, two concurrent handlers.
 * Mutations: NO_WAIT_OUT, FROM_RECEIPT, NO_GRACE, NO_DRIFT, INDEX_BY_REPLY.
 */
#define LEASE 2
#define GRACE 1
#define HORIZON 6
#define CHANGES 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#ifdef NO_GRACE
#define WAIT (LEASE + 1)
#else
#ifdef NO_DRIFT
#define WAIT (LEASE + GRACE)
#else
#define WAIT (LEASE + GRACE + 1)
#endif
#endif

byte now = 1;
byte leader = 0;
byte since = 1;
byte changes = 0;
bool committed = false;
bool accepted = false;

/* The table of each process: when it last granted a lease, 0 if never, and whether
 * the holder has reported that it applied the change. */
byte granted[2];
bool known[2];

/* The holder. */
byte valid = 0;       /* the holder serves before this tick */
bool applied = false;

byte asked[2];        /* replies in flight: when requested, 0 if none */
bool carried[2];

proctype Renew(byte slot) {
	byte p, s, sent;
	bool had;
	do
	:: atomic { asked[slot] == 0 && now < HORIZON -> sent = now; p = leader; s = since; had = applied }
		/* The handler may pause here. */
		atomic {
#ifdef INDEX_BY_REPLY
			had = committed;
#endif
			granted[p] = MAX(granted[p], now); known[p] = known[p] || had }
		/* The handler may pause here, before it reads the changes. */
		atomic {
			if
			:: leader == p && since == s -> asked[slot] = sent; carried[slot] = committed
			:: else
			fi;
			p = 0; s = 0; sent = 0; had = false }
	od
}

proctype Network(byte slot) {
	do
	:: atomic { asked[slot] != 0 ->
#ifdef FROM_RECEIPT
		asked[slot] = now;
#endif
		if
		:: applied && !carried[slot]         /* an older index is refused */
		:: else ->
			applied = applied || carried[slot];
			valid = MAX(valid, asked[slot] + LEASE + GRACE + 1)
		fi;
		asked[slot] = 0; carried[slot] = false;
		assert(!(accepted && !applied && now < valid)) }
	od
}

proctype Operator() {
	atomic { committed = true };
	atomic {
		((granted[leader] == 0 || known[leader] || now >= granted[leader] + WAIT)
#ifndef NO_WAIT_OUT
			&& now >= since + WAIT
#endif
		) -> accepted = true; assert(!(!applied && now < valid)) }
}

proctype Elect() {
	do
	:: atomic { changes < CHANGES && now > since -> leader = 1 - leader; since = now; changes++ }
	od
}

proctype Clock() {
	do
	:: atomic { now < HORIZON -> now++ }
	od
}

init {
	atomic { run Renew(0); run Renew(1); run Network(0); run Network(1); run Operator(); run Elect(); run Clock() }
}
