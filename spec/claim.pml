/* Claims of calls that must not be repeated (core/claim).
 *
 * Several routers get the same call under the same idempotency key. The table
 * has one row, changed by conditional writes. A write may be delayed, and its
 * answer may be lost. A router may pause at any step, die, and restart with
 * empty memory. Claims use no clock and no lease.
 *
 * Properties: the call is sent at most once (SENT); a router that refused the
 * call as "not run" did not send it (NOTRUN); a recorded outcome is never lost
 * or overwritten (RECORD).
 *
 * Mutants by -D: SEND_BEFORE_INSERT sends before the claim is confirmed;
 * TRUST_LEASE lets another router take over a claim; NO_READBACK treats a write
 * with unknown result as successful.
 */
#define ROUTERS 2
#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define DONE 3

byte state = ABSENT;      /* of the row */
byte holder = 0;          /* attempt that wrote the row, numbered from 1 */
byte version = 0;         /* of the row */
byte sent = 0;            /* runs at targets */
byte attempts = 0;        /* attempts so far */
bool recorded = false;
byte done_by = 0;

/* A process may die at any step. */
inline maydie() {
	if
	:: true -> skip
	:: true -> goto die
	fi
}

/* A delayed write of each router, which may take effect at any later time. */
bool late[ROUTERS];
byte late_attempt[ROUTERS];
byte late_if[ROUTERS];

inline apply(me, cond, st) {
	/* atomic conditional write */
	if
	:: version == cond -> state = st; holder = me; version = version + 1; ok = true
	:: else -> ok = false
	fi
}

/* A delayed write of a claim takes effect, or fails on its condition. */
proctype Delay(byte r) {
	end: do
	:: atomic { late[r] ->
		late[r] = false;
		if
		:: version == late_if[r] -> state = CLAIMED; holder = late_attempt[r]; version = version + 1
		:: else -> skip
		fi }
	od
}

proctype Router(byte r) {
	byte me; byte cond; byte lives = 0;
	bool ok; bool mysent; bool refused;
	byte st; byte who; byte ver;

start:
	atomic {
		attempts = attempts + 1; me = attempts;
		cond = 0; ok = false; mysent = false; refused = false;
	}
insert:
#ifdef SEND_BEFORE_INSERT
	atomic { sent = sent + 1; mysent = true }
#endif
	if
	:: true -> atomic { apply(me, cond, CLAIMED) };             /* the answer arrives */
		if
		:: ok -> goto send
		:: else -> goto read
		fi
	:: true -> atomic { apply(me, cond, CLAIMED) }; goto lost    /* written, the answer is lost */
	:: atomic { !late[r] -> late[r] = true; late_attempt[r] = me; late_if[r] = cond }; goto lost
	:: true -> goto giveup                                       /* deadline exceeded */
	:: true -> goto die
	fi;
lost:
#ifdef NO_READBACK
	goto send;
#endif
read:
	atomic { st = state; who = holder; ver = version };
	if
	:: st == CLAIMED && who == me -> goto send
	:: st == ABSENT -> cond = ver; goto insert
	:: st == RELEASED -> cond = ver; goto insert
	:: st == CLAIMED && who != me ->
#ifdef TRUST_LEASE
		cond = ver; goto insert
#else
		goto finish                                      /* in progress, or outcome unknown */
#endif
	:: st == DONE -> goto finish                         /* the recorded answer */
	:: true -> goto giveup
	:: true -> goto die
	fi;
send:
#ifndef SEND_BEFORE_INSERT
	if
	:: atomic { sent = sent + 1; mysent = true }
	:: true -> goto release                                      /* refused by the target as not run */
	:: true -> goto die                                          /* died between claim and send */
	fi;
#endif
record:
	maydie();
	atomic { st = state; who = holder; ver = version };
	if
	:: st == CLAIMED && who == me ->
		atomic {
			if
			:: version == ver -> state = DONE; version = version + 1; recorded = true; done_by = me
			:: else -> skip
			fi
		}; goto finish
	:: else -> goto finish
	fi;
giveup:
	/* never send from here: refuse as not run, release the claim */
	refused = true;
	assert(!mysent);
release:
	maydie();
	atomic { st = state; who = holder; ver = version };
	if
	:: (st == CLAIMED && who == me) || st == ABSENT || st == RELEASED ->
		atomic { apply(me, ver, RELEASED) };
		if
		:: ok -> goto finish
		:: else -> goto release
		fi
	:: else -> goto finish                               /* the row belongs to another attempt */
	fi;
die:
	/* the router restarts with empty memory; the caller retries */
	if
	:: lives < 1 -> lives = lives + 1; goto start
	:: lives >= 1 -> skip
	fi;
finish:
	assert(!(refused && mysent));
	assert(sent <= 1);                                   /* SENT */
	assert(!recorded || (state == DONE && holder == done_by)) /* RECORD */
}

init {
	byte i;
	atomic {
		for (i : 0 .. ROUTERS - 1) {
			run Router(i);
			run Delay(i);
		}
	}
}

ltl at_most_once { [] (sent <= 1) }
