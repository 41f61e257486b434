/* Distribution of configuration versions from store and peers (services/follow).
 *
 * An operator writes versions into the store. Gateways read them; an answer may
 * be in flight while newer versions are written. Gateways also exchange
 * versions with each other, and may restart with empty memory.
 *
 * Property: between restarts a gateway's version never decreases (assert).
 *
 * Mutants by -D: LAST_HEARD adopts any version from a peer; LATE_ANSWER adopts
 * any answer of the store without comparing versions.
 */
#define GATEWAYS 2
#define NEWEST 3

byte store = 1;
byte force[GATEWAYS];   /* active version, 0 for none */
byte coming[GATEWAYS];  /* answer of the store in flight, 0 for none */
byte offered[GATEWAYS]; /* version sent by a peer, 0 for none */

inline adopt(g, v) {
	assert(v >= force[g]);
	force[g] = v
}

proctype Operator() {
	do
	:: store < NEWEST -> store++
	:: store == NEWEST -> break
	od
}

proctype Gateway(byte g) {
	byte lives = 0;
	end: do
	:: atomic { coming[g] == 0 -> coming[g] = store }
	:: atomic { coming[g] != 0 ->
		if
#ifdef LATE_ANSWER
		:: true -> adopt(g, coming[g])
#else
		:: coming[g] > force[g] -> adopt(g, coming[g])
		:: else -> skip
#endif
		fi;
		coming[g] = 0 }
	:: atomic { offered[g] != 0 ->
		if
#ifdef LAST_HEARD
		:: true -> adopt(g, offered[g])
#else
		:: offered[g] > force[g] -> adopt(g, offered[g])
		:: else -> skip
#endif
		fi;
		offered[g] = 0 }
	:: atomic { force[g] != 0 && offered[1 - g] == 0 -> offered[1 - g] = force[g] }
	:: atomic { lives < 2 -> lives++; force[g] = 0; coming[g] = 0 }
	od
}

init {
	atomic { run Operator(); run Gateway(0); run Gateway(1) }
}
