/*
 * Model of the allotments of one team. The fleet group grants parts of the team's
 * limit from its pool. Each of two data centres takes its grants, gives up a part
 * of its allotment, and returns that part once its running tasks fit the rest.
 * Messages may be repeated and delayed without bound, so each step may be executed
 * at any time with what the sender has durably recorded. The limit is lowered once;
 * running tasks may exceed the new limit only until the excess is returned.
 * Bounds: LIMIT units, MAXNUM grants and transfers of each data centre.
 * Mutations: TAKE_TWICE, RETURN_TWICE, NO_POOL, RETURN_EARLY, GRANT_FIRST.
 */
#define LIMIT 3
#define LOWERED 2
#define MAXNUM 2

#ifdef RETURN_EARLY
#define RETURNABLE(d) true
#else
#define RETURNABLE(d) (running[d] <= allotment[d])
#endif

byte limit = LIMIT;
short granted[2];
byte grant[2];            /* number of the last grant */
byte returned[2];         /* number of the last transfer returned */
byte amounts[6];          /* of grants: data centre * 3 + number */

byte taken[2];            /* number of the last grant taken */
byte given[2];            /* number of the last transfer given */
byte gave[6];             /* of transfers: data centre * 3 + number */
byte allotment[2];
byte running[2];

proctype Fleet(byte d) {
	byte n;
	do
	:: atomic { grant[d] < MAXNUM ->
		if
#ifdef NO_POOL
		:: n = 1
		:: n = 2
#else
		:: granted[0] + granted[1] + 1 <= limit -> n = 1
		:: granted[0] + granted[1] + 2 <= limit -> n = 2
#endif
		fi;
		granted[d] = granted[d] + n; grant[d]++; amounts[d * 3 + grant[d]] = n; n = 0 }
	:: atomic { returned[d] < given[d] && RETURNABLE(d) -> returned[d]++; granted[d] = granted[d] - gave[d * 3 + returned[d]] }
#ifdef RETURN_TWICE
	:: atomic { returned[d] > 0 && granted[d] >= gave[d * 3 + returned[d]] -> granted[d] = granted[d] - gave[d * 3 + returned[d]] }
#endif
	od
}

proctype Site(byte d) {
	byte n;
	do
	:: atomic { taken[d] < grant[d] -> taken[d]++; allotment[d] = allotment[d] + amounts[d * 3 + taken[d]] }
#ifdef TAKE_TWICE
	:: atomic { taken[d] > 0 && allotment[d] < LIMIT -> allotment[d] = allotment[d] + amounts[d * 3 + taken[d]] }
#endif
	:: atomic { given[d] < MAXNUM && allotment[d] > 0 ->
		if
		:: n = 1
		:: allotment[d] > 1 -> n = 2
		fi;
		given[d]++; gave[d * 3 + given[d]] = n; allotment[d] = allotment[d] - n; n = 0 }
#ifdef GRANT_FIRST
	/* The fleet group counts allotment as returned before it is given up. */
	:: atomic { granted[d] > 0 && allotment[d] > 0 -> granted[d] = granted[d] - 1 }
#endif
	:: atomic { running[d] < allotment[d] -> running[d]++ }
	:: atomic { running[d] > 0 -> running[d]-- }
	od
}

proctype Operator() { limit = LOWERED }

/* Running tasks never exceed the original limit, nor the lowered limit once the
 * granted amount has decreased to it. */
proctype Check() {
	atomic {
		running[0] + running[1] > LIMIT ||
		(limit == LOWERED && granted[0] + granted[1] <= limit && running[0] + running[1] > limit) -> assert(false)
	}
}

init { atomic { run Fleet(0); run Fleet(1); run Site(0); run Site(1); run Operator(); run Check() } }
