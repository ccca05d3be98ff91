/*
 * Grants of one run of keys to two targets by successive leaders, for targets
 * that count a hold from the arrival of the call (docs/fleet.md, "Who may grant
 * keys"). See README.md for what is modelled, what is abstracted, and the mutants.
 *
 * Time is a shared tick, as in ownership.pml: a right that lasts d ticks may be
 * used while at most d ticks have passed, who waits for its end waits until more
 * than d have passed, and both count down from d + 1.
 *
 * Leader g is the granter of term g + 1. A process that leads twice is two of
 * them.
 */

#ifndef LEADERS
#define LEADERS 2
#endif
#ifndef GRANTS
#define GRANTS 2            /* grants that a leader sends */
#endif
#ifndef MOVES
#define MOVES 1             /* moves on the log */
#endif
#ifndef RESTARTS
#define RESTARTS 1          /* target restarts */
#endif

#define HOLD 1              /* ticks from the arrival of a grant to its end */
#define CALL 1              /* ticks from the decision to the arrival of a call */
#define DIAL 0              /* ticks from a confirmation to the last new connection */
#define AUTH 1              /* ticks from a confirmation to the last decision */
#define SPAN (CALL + HOLD + 1)

#ifdef NO_LEARNING
#define LEARNS 0            /* releases, and the end of an earlier leader, are left out */
#else
#define LEARNS 1
#endif
#ifdef M_ONE_ENDED
#define LEARNS_ALL 1
#else
#define LEARNS_ALL LEARNS
#endif
#define CALLS (LEADERS * GRANTS)
#define GT(g, t) (2 * (g) + (t))
#define GN(g, n) (GRANTS * (g) + (n))
#define BIT(x) (1 << (x))
#define HAS(mask, x) (((mask) >> (x)) & 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define DEC(x) x = (x > 0 -> x - 1 : 0)

/* The log: the newest record. */
byte terms;                 /* terms begun */
byte owner;
byte former;                /* mask of targets that may still hold the keys */
byte moves;
byte clear;                 /* ticks that leaders before the last may go on, as it stated */

#ifdef RESTORE
/* A copy of the log, taken before any append, to which it returns once, at any later time. */
byte copied;                /* 0 not taken, 1 taken, 2 restored */
byte copyLast, copyOwner, copyFormer, copyClear;
byte last;                  /* leader of the newest record, + 1 */
byte unknown;               /* ticks that targets not named in the log may hold the keys, as it states */
byte mover;                 /* leader that moved the keys last, + 1 */
bool restated;              /* a leader has appended a record since the restore */
bool stored[LEADERS];       /* its record is one after the restore */
byte strangers[LEADERS];    /* ticks until targets that it does not know hold no keys */
byte ended[LEADERS];        /* counts down from SPAN from the leader's end */
#define LAST last
#define CURRENT(g) (copied != 2 || stored[g])
#define LOST (copied == 2 && !restated)
#else
#define LAST terms
#define CURRENT(g) 1
#endif

/* Targets. */
byte held[2];               /* ticks left of the hold */
byte seen[2];               /* highest fence accepted since the start */
byte restarts;
byte open[2] = 1;           /* mask of leaders with an open connection; leader 0 has been at work */

/* Leaders. */
byte stage[LEADERS];        /* 0 before its term, 1 leads, 2 has stopped, 3 goes on as a later one */
byte auth[LEADERS];         /* ticks left to send grants */
byte asked[LEADERS];        /* as auth, of a confirmation that the log has answered */
byte view[LEADERS];         /* owner it knows */
byte waits[LEADERS];        /* mask of former owners that it waits for */
byte sent[LEADERS];         /* grants sent */
byte gone[LEADERS];         /* counts down from SPAN from the leader's end */
bool busy[LEADERS];
bool granted[LEADERS];      /* the owner accepted a grant of this leader */
byte released[LEADERS];     /* mask of targets that carried out its release */
bool over[LEADERS];         /* it knows that the leader before has stopped */
bool cleared[LEADERS];      /* no leader before that one may go on */
byte earlier[LEADERS];      /* ticks that leaders before the previous one may go on */
byte exclusive[LEADERS];    /* ticks until no earlier leader reaches a restarted target */
byte own[LEADERS * 2];      /* ticks left of holds that it may have given a target */
byte late[LEADERS * 2];     /* the part of own that a release does not end */
byte prior[LEADERS * 2];    /* ticks left of holds that earlier leaders may have given */
byte inherited[LEADERS];    /* bound on all of prior */

/* Grants under way. */
byte to[CALLS];             /* 0 none, else target + 1 */
byte leaves[CALLS];         /* ticks left to arrive */
byte lasts[CALLS];          /* ticks left of the hold, once arrived */
bool arrived[CALLS];
bool openOnly[CALLS];
bool alone[CALLS];          /* sent after earlier leaders lost their reach */

#ifdef M_NO_FENCE
#define FENCED(t, f) 0
#else
#define FENCED(t, f) (seen[t] > f)
#endif
#define FENCE(g, n) (GN(g, n) + 1)
#define FREE(g, t) (own[GT(g, t)] == 0 && prior[GT(g, t)] == 0)
#ifdef RESTORE
#define KNOWN(g) (strangers[g] == 0)
#else
#define KNOWN(g) 1
#endif
#ifdef M_FORMERS_NOT_WAITED_FOR
#define MAY_START(g) 1
#else
#define MAY_START(g) (KNOWN(g) && (!HAS(waits[g], 0) || FREE(g, 0)) && (!HAS(waits[g], 1) || FREE(g, 1)))
#endif
/* Former owners after a move; those of moves before it that are no longer waited for are left out. */
#define FORMER_AFTER(g) (((granted[g] -> 0 : former) | BIT(owner)) & ~BIT(1 - owner))
#ifdef M_DIALS_WITHOUT_STORE
#define MAY_DIAL(g) 1
#else
#define MAY_DIAL(g) (auth[g] > AUTH - DIAL)
#endif
#ifdef M_CLEAR_NOT_CHAINED
#define CLEAR 0
#else
#define CLEAR clear
#endif
#ifdef M_CALL_NOT_COUNTED
#define OWN_SPAN (HOLD + 1)
#else
#define OWN_SPAN SPAN
#endif
#ifdef M_AUTHORITY_NOT_WAITED_FOR
#define OTHERS_SPAN SPAN
#else
#define OTHERS_SPAN (AUTH + SPAN)
#endif

/* Leader g learns that the one before has stopped, and when. */
inline learnEnd(g) {
	over[g] = 1;
	inherited[g] = MIN(inherited[g], MAX(earlier[g], gone[g - 1]));
#ifdef M_STOP_ENDS_HOLDS
	inherited[g] = earlier[g];
#endif
	if
	:: cleared[g] -> exclusive[g] = MIN(exclusive[g], (gone[g - 1] > HOLD -> gone[g - 1] - HOLD : 0))
	:: else
	fi;
	prior[GT(g, 0)] = MIN(prior[GT(g, 0)], inherited[g]);
	prior[GT(g, 1)] = MIN(prior[GT(g, 1)], inherited[g]);
	gone[g - 1] = 0
}

#ifdef RESTORE
/* The log as it is before an append may be the copy. */
inline takeCopy() {
	if
	:: copied == 0 -> copied = 1; copyLast = last; copyOwner = owner; copyFormer = former; copyClear = clear
	:: true
	fi
}
#else
inline takeCopy() { skip }
#endif

/* Leader g begins its term by an append on condition that it is the next. */
inline begin(g) {
	takeCopy();
	terms = g + 1;
	stage[g] = 1;
	auth[g] = AUTH + 1;
	view[g] = owner; waits[g] = former;
#ifdef RESTORE
	strangers[g] = unknown;
#ifndef M_COPY_TRUSTED
	if
	:: LOST -> strangers[g] = OTHERS_SPAN; over[g] = 1
	:: else
	fi;
#endif
	unknown = strangers[g];
	last = g + 1; stored[g] = (copied == 2); restated = (copied == 2);
#endif
	if
	:: g > 0 ->
		earlier[g] = CLEAR;
		cleared[g] = (CLEAR == 0);
		inherited[g] = OTHERS_SPAN;
		exclusive[g] = DIAL + CALL + 1;
		prior[GT(g, owner)] = inherited[g];
		prior[GT(g, 1 - owner)] = (HAS(former, 1 - owner) -> inherited[g] : 0);
		if
		:: LEARNS && stage[g - 1] == 2 && !over[g] -> learnEnd(g)
		:: true
		fi;
		clear = inherited[g]
	:: else
	fi
}

#ifdef RESTORE
/* Whether all leaders before g have stopped; one that went on as a later one counts as that. */
inline allEnded(g, n) {
	n = 1;
	for (k : 0 .. LEADERS - 1) {
		if
		:: k < g && stage[k] < 2 -> n = 0
		:: else
		fi
	}
#ifdef M_ONE_ENDED
	n = (stage[0] == 2);
#endif
	k = 0
}

/* Leader g learns that all leaders before it have stopped, and when. */
inline learnAllEnded(g, n) {
	n = 0;
#ifndef M_ENDS_END_HOLDS
	for (k : 0 .. LEADERS - 1) {
		if
		:: k < g -> n = MAX(n, ended[k])
		:: else
		fi
	}
	k = 0;
#endif
	strangers[g] = MIN(strangers[g], n)
}

inline restore() {
	copied = 2;
	last = copyLast; owner = copyOwner; former = copyFormer; clear = copyClear;
	copyLast = 0; copyOwner = 0; copyFormer = 0; copyClear = 0;
	unknown = 0
}

/* Leader g goes on as leader h, by an append of all that it knows. A leader after it whose
 * record is lost may go on as well, but has not moved the keys. */
inline goOn(g, h) {
	terms = h + 1;
	last = h + 1; stored[h] = 1; restated = 1;
	stage[h] = 1; auth[h] = AUTH + 1;
	view[h] = view[g]; waits[h] = waits[g]; granted[h] = granted[g];
	owner = view[g]; former = waits[g];
	for (k : 0 .. 1) {
		own[GT(h, k)] = own[GT(g, k)];
		late[GT(h, k)] = late[GT(g, k)];
		prior[GT(h, k)] = prior[GT(g, k)];
#ifndef M_BOUNDS_KEPT
		if
		:: k == view[g] || HAS(waits[g], k) -> prior[GT(h, k)] = OTHERS_SPAN
		:: else
		fi;
#endif
		if
		:: HAS(open[k], g) -> open[k] = open[k] | BIT(h)
		:: else
		fi
	}
	k = 0;
	inherited[h] = OTHERS_SPAN; exclusive[h] = DIAL + CALL + 1; over[h] = 1;
	strangers[h] = strangers[g];
	clear = OTHERS_SPAN; unknown = strangers[g];
	stop(g);
	stage[g] = 3; gone[g] = 0; ended[g] = 0
}
#endif

/* Leader g moves the run, by an append on condition that its term is the last. */
inline move(g) {
	takeCopy();
	former = FORMER_AFTER(g);
	owner = 1 - owner;
	moves++;
	clear = inherited[g];
	view[g] = owner; waits[g] = former;
#ifdef RESTORE
	mover = g + 1;
	unknown = strangers[g];
#endif
#ifdef M_FORMER_NOT_STORED
	former = 0;
#endif
	granted[g] = 0; busy[g] = 0;
	released[g] = 0
}

inline confirmed(g) {
#ifdef M_AUTHORITY_FROM_ANSWER
	asked[g] = AUTH + 1;
#endif
	auth[g] = MAX(auth[g], asked[g]);
	asked[g] = 0
}

/* Leader g stops. Its grants under way go on; what it knew is dropped. */
inline stop(g) {
	stage[g] = 2;
	/* Only the next leader asks for it. */
	if
	:: g < LEADERS - 1 -> gone[g] = (stage[g + 1] == 2 -> 0 : SPAN)
	:: else
	fi;
	if
	:: g > 0 -> gone[g - 1] = 0
	:: else
	fi;
	auth[g] = 0; asked[g] = 0; view[g] = 0; waits[g] = 0; busy[g] = 0; granted[g] = 0; released[g] = 0;
#ifdef RESTORE
	strangers[g] = 0;
	ended[g] = (LEARNS_ALL && g < LEADERS - 1 -> SPAN : 0);
#endif
	over[g] = 0; cleared[g] = 0; earlier[g] = 0; exclusive[g] = 0; inherited[g] = 0;
	for (k : 0 .. 1) { own[GT(g, k)] = 0; late[GT(g, k)] = 0; prior[GT(g, k)] = 0 }
	k = 0
}

inline sendGrant(g) {
	to[GN(g, sent[g])] = view[g] + 1;
	leaves[GN(g, sent[g])] = CALL + 1;
	openOnly[GN(g, sent[g])] = !MAY_DIAL(g);
	alone[GN(g, sent[g])] = (exclusive[g] == 0);
	own[GT(g, view[g])] = MAX(own[GT(g, view[g])], OWN_SPAN);
	late[GT(g, view[g])] = MAX(late[GT(g, view[g])], OWN_SPAN);
	sent[g]++;
	busy[g] = 1
}

/* Grant n of leader g reaches target t over a connection that is open, or new. */
inline arrive(g, n, t) {
	open[t] = open[t] | BIT(g);
	leaves[GN(g, n)] = 0;
	arrived[GN(g, n)] = 1;
	lasts[GN(g, n)] = HOLD + 1
}

inline drop(i) {
	to[i] = 0; leaves[i] = 0; lasts[i] = 0; arrived[i] = 0; openOnly[i] = 0; alone[i] = 0
}

/* Target t carries out grant n of leader g, whose answer may get lost. */
inline apply(g, n, t) {
	if
	:: FENCED(t, FENCE(g, n))
	:: else ->
		seen[t] = FENCE(g, n);
		held[t] = MAX(held[t], lasts[GN(g, n)]);
#ifdef COVER_HANDOVER
		assert(t == 0 || g == 0);
#endif
		assert(held[0] == 0 || held[1] == 0);   /* one holder at a time */
		if
		:: stage[g] == 1 && busy[g] && sent[g] == n + 1 && view[g] == t -> accept(g, n, t)
		:: true
		fi
	fi;
	drop(GN(g, n))
}

/* The answer to grant n arrives at leader g. */
inline accept(g, n, t) {
	busy[g] = 0; granted[g] = 1; waits[g] = 0;
	own[GT(g, t)] = HOLD + 1;
	late[GT(g, t)] = 0;
	if
#ifdef M_ANSWER_CLEARS_EARLIER
	:: true ->
#else
	:: alone[GN(g, n)] ->
#endif
		prior[GT(g, t)] = 0
	:: else
	fi
}

/* The answer to the release of target t arrives at leader g. */
inline releaseAnswered(g, t) {
#ifdef M_RELEASE_ENDS_ALL
	own[GT(g, t)] = 0; prior[GT(g, t)] = 0;
#else
	own[GT(g, t)] = late[GT(g, t)];
#endif
	released[g] = released[g] & ~BIT(t)
}

/* Target t starts anew under the same identifier. */
inline restart(t) {
	restarts++;
	held[t] = 0; seen[t] = 0; open[t] = 0;
	for (k : 0 .. CALLS - 1) {
		if
		:: arrived[k] && to[k] == t + 1 -> drop(k)
		:: else
		fi
	}
	k = 0
}

inline tick() {
	for (k : 0 .. 1) { DEC(held[k]) }
	for (k : 0 .. LEADERS - 1) {
		DEC(auth[k]); DEC(asked[k]); DEC(gone[k]);
		DEC(earlier[k]); DEC(exclusive[k]); DEC(inherited[k])
	}
#ifdef RESTORE
	for (k : 0 .. LEADERS - 1) { DEC(strangers[k]); DEC(ended[k]) }
#endif
	for (k : 0 .. 2 * LEADERS - 1) {
		DEC(own[k]); DEC(late[k]); DEC(prior[k])
	}
	for (k : 0 .. CALLS - 1) {
		DEC(leaves[k]); DEC(lasts[k]);
		/* A grant that can arrive no more, or whose hold has ended, has no effect. */
		if
		:: to[k] != 0 && leaves[k] == 0 && lasts[k] == 0 -> drop(k)
		:: else
		fi
	}
	k = 0
}

active proctype world() {
	byte g, t, n, k;
	do
	:: atomic {
		select(g : 0 .. LEADERS - 1);
		if
		:: stage[g] == 0 && terms == g -> begin(g)

		:: stage[g] == 1 ->
			if
#ifdef SLOW_LOG
			:: terms == g + 1 && asked[g] < AUTH + 1 -> asked[g] = AUTH + 1 /* the log confirms the term */
			:: asked[g] > 0 -> confirmed(g)                 /* and its answer arrives */
#else
			:: LAST == g + 1 && CURRENT(g) && auth[g] < AUTH + 1 -> auth[g] = AUTH + 1
#endif
			:: LAST > g + 1 -> stop(g)                      /* it sees a later term */
			:: LAST == g + 1 && CURRENT(g) && moves < MOVES -> move(g)
#ifdef RESTORE
			:: LEARNS_ALL && strangers[g] > 0 ->
				allEnded(g, n);
				if
				:: n -> learnAllEnded(g, n)
				:: else
				fi
			:: LOST && LAST <= g + 1 && auth[g] > 0 && terms < LEADERS && mover <= g + 1 -> t = terms; goOn(g, t)
#endif
			:: auth[g] > 0 && !busy[g] && sent[g] < GRANTS && MAY_START(g) -> sendGrant(g)
			:: busy[g] -> busy[g] = 0                       /* the call ends without an answer */
			:: LEARNS && g > 0 && !over[g] && stage[g - 1] == 2 -> learnEnd(g)
			:: true -> stop(g)                              /* it resigns or is killed */
			fi

		:: LEARNS && stage[g] == 1 && waits[g] != 0 ->                    /* a former owner is told to release */
			t = 1 - view[g];
			if
			:: HAS(waits[g], t) && !HAS(released[g], t) -> held[t] = 0; released[g] = released[g] | BIT(t)
			:: HAS(released[g], t) -> releaseAnswered(g, t)
			:: else
			fi

		:: sent[g] > 0 ->
			select(n : 0 .. GRANTS - 1);
			if
			:: to[GN(g, n)] != 0 ->
				t = to[GN(g, n)] - 1;
				if
				:: !arrived[GN(g, n)] && leaves[GN(g, n)] > 0 && (!openOnly[GN(g, n)] || HAS(open[t], g)) -> arrive(g, n, t)
				:: arrived[GN(g, n)] -> apply(g, n, t)
				:: else
				fi
			:: else
			fi

		:: else
		fi;
		g = 0; t = 0; n = 0
	   }
#ifdef RESTORE
	:: atomic { copied == 1 -> restore() }
#endif
	:: atomic { restarts < RESTARTS -> restart(0) }
	:: atomic { restarts < RESTARTS -> restart(1) }
	:: atomic { tick() }
	od
}
