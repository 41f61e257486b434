/* Attempts of a request and the answer to its caller (core/attempt,
 * services/forward).
 *
 * A gateway sends a request to up to two targets in turn. An attempt may get no
 * connection, be refused, be answered, or be lost: before the target receives
 * the request, or after it ran and before the answer arrived. An abandoned
 * attempt may still arrive and run later. A stream that breaks after its first
 * event may be resumed at the second target if the route allows it.
 *
 * Properties: the caller gets "not run" (503) only if nothing has run and
 * nothing will (truth); a request that must not be repeated runs at most once
 * (once); two targets never generate the same stream at a time (one).
 *
 * Mutants by -D: REFUSE_AFTER_SEND answers "not run" after a lost attempt;
 * RETRY_ALWAYS retries whatever the route allows; RESUME_UNCUT resumes at
 * another target without closing the first connection.
 */
#define TARGETS 2

mtype = { none, flying, turned, running, answered, dead };

bool repeatable;             /* set by the route, chosen at the start */
mtype state[TARGETS] = none; /* of the attempt at each target */
bool cut[TARGETS];           /* the gateway closed the connection */
byte runs = 0;
byte streams = 0;            /* targets that generate the stream and are not cut */
bool told503 = false;
bool finished = false;

proctype Target(byte t) {
	end: do
	:: atomic { state[t] == flying -> state[t] = turned }
	:: atomic { state[t] == flying -> state[t] = running; runs++; if :: !cut[t] -> streams++ :: else fi }
	:: atomic { state[t] == running -> state[t] = answered; if :: !cut[t] -> streams-- :: else fi }
	:: atomic { state[t] == running -> state[t] = dead; if :: !cut[t] -> streams-- :: else fi }   /* crash */
	od
}

inline cutOff(t) {
	atomic {
		if
		:: !cut[t] && state[t] == running -> streams--
		:: else
		fi;
		cut[t] = true
	}
}

proctype Gateway() {
	byte t = 0; bool may_have = false; bool head = false; bool again;
	select_repeat:
	if :: repeatable = true :: repeatable = false fi;
	do
	:: t < TARGETS ->
		again = false;
		if
		:: skip -> again = true                     /* no connection, nothing was sent */
		:: skip ->
			state[t] = flying;
			if
			:: state[t] == turned -> again = true
			:: state[t] == answered -> break
			:: state[t] == running -> head = true; /* first event passed on */
				if
				:: state[t] == answered -> break
				:: skip ->                     /* the stream broke, or seems to have */
					may_have = true;
#ifndef RESUME_UNCUT
					cutOff(t);
#endif
					again = repeatable
				fi
			:: skip ->                             /* timeout or reset */
				may_have = true;
				cutOff(t);
				again = repeatable
			fi
		fi;
#ifdef RETRY_ALWAYS
		again = true;
#endif
		t++;
		if
		:: again && t < TARGETS -> skip
		:: else ->
			if
#ifdef REFUSE_AFTER_SEND
			:: !head -> told503 = true
#else
			:: !head && !may_have -> told503 = true
#endif
			:: else -> skip                        /* 502, or the connection is closed */
			fi;
			break
		fi
	od;
	finished = true
}

init {
	atomic { run Target(0); run Target(1); run Gateway() }
}

ltl truth { [] (told503 -> (repeatable || runs == 0)) }
ltl once { [] (repeatable || runs <= 1) }
ltl one { [] (streams <= 1) }
