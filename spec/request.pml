/*
 * Model of the request record: three calls with the same id through different
 * entries. The command that records a call may commit without the entry receiving
 * the result, commit late, or be lost. An entry may stop at any step. The deadline
 * may pass at any time, and the record may be deleted at any time after the id has
 * expired.
 * Bounds: CALLS calls, one outstanding command of each call.
 * Mutations: GRANT_UNKNOWN, NOT_RUN_BY_ANY, SEND_FIRST, FORGET_EARLY.
 */
#define CALLS 3
#define NOBODY CALLS

mtype = { none, pending, unknown, not_run, ok };

mtype outcome = none;     /* none if there is no record */
byte owner = NOBODY;
bool expired = false;     /* the id is older than the retention */
byte runs = 0;
bool told_not_run[CALLS]; /* the call was answered "not run" */
bool ran[CALLS];          /* the call's entry sent the request */

inline record(c, granted) {
	granted = false;
	if
	:: outcome == none && !expired -> outcome = pending; owner = c; granted = true
	:: outcome == not_run && owner != c -> outcome = pending; owner = c; granted = true
#ifdef GRANT_UNKNOWN
	:: outcome == unknown && owner != c -> outcome = pending; owner = c; granted = true
#endif
	:: outcome == pending && owner == c -> granted = true
	:: else
	fi
}

inline finish(c, o) {
	if
	:: outcome == none && o == not_run && !expired ->
		outcome = not_run; owner = c
#ifdef NOT_RUN_BY_ANY
	:: outcome != none && outcome != ok && o == not_run -> outcome = not_run
#endif
	:: (outcome == pending || outcome == unknown) && owner == c -> outcome = o
	:: else
	fi
}

proctype Call(byte c) {
	bool granted = false;
	bool late = false;
#ifdef SEND_FIRST
	atomic { runs++; ran[c] = true }
#endif
	if
	:: atomic { record(c, granted) }             /* the entry receives the result */
	:: atomic { record(c, granted); granted = false; goto failed } /* commits, but the entry receives no result */
	:: late = true; goto failed                  /* commits later */
	:: goto failed                               /* lost */
	fi;
	if
	:: granted ->
		if
		:: goto end                          /* the entry crashes */
		:: told_not_run[c] = true; goto withdraw
#ifndef SEND_FIRST
		:: atomic { runs++; ran[c] = true }
#endif
		fi;
		if
		:: goto end                          /* no answer */
		:: atomic { finish(c, unknown) }
		:: skip
		fi;
		atomic { finish(c, ok) };            /* may be after the deadline */
		goto end
	:: else -> goto end                          /* answered from the record, or unknown */
	fi;
failed:	told_not_run[c] = false;
/* An entry that has not sent the request records it as not run, so that the record
 * does not stay pending. No assertion checks this, since the command may be lost. */
withdraw:
	if
	:: atomic { finish(c, not_run) }
	:: skip
	fi;
	if
	:: late -> atomic { record(c, granted) }     /* no entry receives the grant */
	:: else
	fi;
end:	skip
}

proctype Time() {
	do
	:: atomic { outcome == pending -> outcome = unknown }
#ifdef FORGET_EARLY
	:: atomic { outcome != none && outcome != pending -> outcome = none; owner = NOBODY }
#else
	:: atomic { expired && outcome != none && outcome != pending -> outcome = none; owner = NOBODY }
#endif
	:: expired = true
	:: break
	od
}

/* The request is executed at most once. */
proctype Check() {
	atomic { runs > 1 -> assert(false) }
}
/* A call that was answered "not run" was not sent. */
proctype Truth() {
	byte c;
	atomic {
		(told_not_run[0] && ran[0]) || (told_not_run[1] && ran[1]) || (told_not_run[2] && ran[2]) -> assert(false)
	}
}

init { atomic { run Call(0); run Call(1); run Call(2); run Time(); run Check(); run Truth() } }
