/* The head row of the configuration (core/head).
 *
 * Two operators change the head concurrently, each with an operation ID that is
 * written in the same transaction. Answers may be lost after the write, and a
 * write may be delayed. Followers read the head from the store or from peers,
 * and may restart with empty memory.
 *
 * Properties: each operation takes effect at most once (once); an operation
 * answered with "conflict" never takes effect, and one answered with "accepted"
 * did (truth); the version of a running follower never decreases (assert).
 *
 * Mutants by -D: NO_OPERATION_ROW resubmits without reading the operation's
 * row; BLIND_WRITE writes the head unconditionally; LAST_HEARD lets a follower
 * take any version that it hears. FOLLOW adds the followers to the model.
 */
#ifdef LAST_HEARD
#define FOLLOW
#endif
#define OPERATORS 2
#define FOLLOWERS 2

byte head = 0;              /* active version */
byte applied[OPERATORS];    /* times each operation took effect */
bool settled[OPERATORS];       /* the operation's row exists */
byte told[OPERATORS];       /* answer: 0 none, 1 accepted, 2 conflict */
bool late[OPERATORS];
byte late_if[OPERATORS];
byte force[FOLLOWERS];

inline commit(o, cond, ok) {
	if
#ifdef BLIND_WRITE
	:: true
#elif defined(NO_OPERATION_ROW)
	:: head == cond
#else
	:: head == cond && !settled[o]
#endif
		-> head = head + 1; settled[o] = true; applied[o] = applied[o] + 1; ok = true
	:: else -> ok = false
	fi
}

proctype Delay(byte o) {
	bool ok;
	end: do
	:: atomic { late[o] -> late[o] = false; commit(o, late_if[o], ok) }
	od
}

proctype Operator(byte o) {
	byte base; byte now; bool seen; bool ok; bool written = false; byte tries = 0;
read:
	now = head;                                /* read the head first */
#ifndef NO_OPERATION_ROW
	seen = settled[o];                            /* then the operation's row */
	if
	:: seen -> told[o] = 1; goto finish
	:: else -> skip
	fi;
#endif
	if
	:: written && now != base -> told[o] = 2; goto finish
	:: else -> base = now
	fi;
	if
	:: tries == 2 -> goto finish               /* answer: outcome unknown */
	:: else -> tries = tries + 1
	fi;
	if
	:: true -> atomic { commit(o, base, ok) };
		if
		:: ok -> told[o] = 1; goto finish
		:: else -> written = true; goto read
		fi
	:: true -> atomic { commit(o, base, ok) }; written = true; goto read            /* the answer is lost */
	:: atomic { !late[o] -> late[o] = true; late_if[o] = base }; written = true; goto read
	fi;
finish:
	skip
}

proctype Follower(byte f) {
	byte heard; byte steps = 0; byte other;
	do
	:: steps < 2 ->
		steps = steps + 1;
		if
		:: heard = head                        /* reads the head row */
		:: other = 1 - f; heard = force[other] /* hears from a peer */
		:: atomic { force[f] = 0 }; goto again  /* restarts with empty memory */
		fi;
		if
#ifdef LAST_HEARD
		:: true -> atomic { assert(heard >= force[f]); force[f] = heard }
#else
		:: heard > force[f] -> force[f] = heard
#endif
		:: else -> skip
		fi;
again:		assert(force[f] <= head)
	:: else -> break
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. OPERATORS - 1) { run Operator(i); run Delay(i) }
#ifdef FOLLOW
		for (i : 0 .. FOLLOWERS - 1) { run Follower(i) }
#endif
	}
}

ltl once { [] (applied[0] <= 1 && applied[1] <= 1) }
ltl truth { [] ((told[0] == 2 -> applied[0] == 0) && (told[1] == 2 -> applied[1] == 0) &&
	(told[0] == 1 -> applied[0] == 1) && (told[1] == 1 -> applied[1] == 1)) }
