/*
 * Assignment, lease and hand-over of one shard between two targets.
 * See README.md for what is modelled, what is abstracted, and the mutants.
 *
 * Time is a shared tick; every timer is a count of ticks that remain. Any
 * number of other steps may fall between two ticks, and any number of ticks
 * between two steps of a process, so that a pause or a delay of any length is
 * a choice of the search. A right that lasts d ticks may be used while at most
 * d ticks have passed, and who waits for its end waits until more than d have
 * passed: both count down from d + 1.
 *
 * Offsets start at 1, so that version 0 means "no list accepted yet".
 */

#ifndef MAXLOG
#define MAXLOG 4            /* offsets that faults and proposers may fill */
#endif
#ifndef CRASHES
#define CRASHES 1           /* granter crashes */
#endif
#ifndef RESTARTS
#define RESTARTS 1          /* target restarts */
#endif
#ifdef RECOVER
#define SPARE 3             /* offsets kept for the recovery run */
#else
#define SPARE 0
#endif
#define SIZE (MAXLOG + SPARE + 1)
#define LEASE 1             /* ticks from a nonce to the end of its lease */
#define AUTH 1              /* ticks of authority from the start of a read */

#ifdef TWO_DOMAINS
#define ISO 1               /* ticks of isolated serving */
#define MEMBERS(t, o) (t == 0 -> 3 : 4)
#define PEERS(g, o) (g < 2 -> 3 : 4)
#define RETIRING(t, o) 0
#else
#define ISO 0               /* isolated serving is unlimited, see UNLIMITED */
#define UNLIMITED
#define MEMBERS(t, o) glist[o]
#define PEERS(g, o) glist[o]
#define RETIRING(t, o) gret[o]
#endif
#define WAIT_ALL (AUTH + ISO + LEASE + 1)

/* Members whose address answers with a newer incarnation. */
#define DEAD_ONES (!gup[0] | (!gup[1] << 1) | (!gup[2] << 2))
#define BIT(x) (1 << (x))
#define HAS(mask, x) (((mask) >> (x)) & 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* The log, as the fold of each prefix. */
byte last = 1;              /* offset of the last record */
byte own[SIZE];             /* owner */
byte ep[SIZE];              /* epoch */
byte wt[SIZE];              /* epoch waited for, 0 when active */
byte wv[SIZE];              /* offset of the move that started the wait */
byte pv[SIZE];              /* owner at the epoch waited for */
byte ver[2 * SIZE];         /* version of each target's list */
#ifndef TWO_DOMAINS
byte glist[SIZE];           /* members of the list of granters */
byte gret[SIZE];            /* retiring members */
#endif
byte hello;                 /* members that told granter 2 that they know it */
byte joined;                /* offset at which granter 2 became a member, or 0 */
byte proven;                /* epochs whose owner is proven to have stopped */
#ifdef M_AUTHORITY_FROM_END_OF_READ
byte lastAtTick = 1;        /* last, as of the last tick */
#endif

/* Targets. */
bool tup[2] = 1;
byte lease[2];              /* ticks left */
byte high[2];               /* highest version accepted */
byte held[2];               /* version of the list held */
#ifdef M_ACK_BEFORE_STOP
bool acked;
#endif
byte flight[2 * SIZE];      /* grants under way: lease left by their nonce */

/* Granters. */
bool gup[3] = 1;
byte off[3] = 1;            /* offset read */
byte auth[3];               /* on-log authority left */
#ifndef UNLIMITED
byte iso[3];                /* authority and isolated serving left */
#endif
byte got[3];                /* consents received */
byte con[3];                /* consents given and remembered */
byte buried[3];             /* members that were proven dead at the last read */
byte fresh[3];              /* targets whose incarnation was known at the last read */
byte back[3];               /* members to which a "back" message is under way */
byte stop[6];               /* versions below this one are not renewed */
byte bound[3];              /* bound of the leases of the target waited for */
byte since[3];              /* counts down from WAIT_ALL from the read of a move */
byte rebornFor[3];          /* counts down from LEASE + 1 after a crash and restart */

byte restarts;
byte released;              /* highest epoch whose owner is released on the log */
byte served;                /* highest epoch under which a target has acted */
bool done;                  /* the recovery run has ended */

#define VER(t, o) ver[2 * (o) + (t)]
#define FLIGHT(t, v) flight[2 * (v) + (t)]
#define GT(g, t) (2 * (g) + (t))
#define MEMBER(g) HAS(PEERS(g, off[g]), g)
#define GRANTS(g, t) HAS(MEMBERS(t, off[g]), g)
#define LISTED(t, v) (own[v] == t && wt[v] == 0)
#define ACTING(t) (tup[t] && lease[t] > 0 && LISTED(t, held[t]))

#ifdef UNLIMITED
#define OFFLOG_OK(g) CONSENTED(g)
#else
#define OFFLOG_OK(g) (CONSENTED(g) && iso[g] > 0)
#endif
#ifdef PAIR
#define SENDS(g) (g != 2)
#define TAKES_PART(g) (g != 2)
#define MOVES 1
#endif
#ifdef JOIN
#define SENDS(g) (g == 0)
#define TAKES_PART(g) (g != 2 || joined != 0)
#define MOVES (ep[last] == 1)
#endif
#ifdef TWO_DOMAINS
#define SENDS(g) (g == 0)
#define TAKES_PART(g) 1
#define MOVES (ep[last] == 1)
#endif
#define NEEDED(g, t) (LISTED(t, off[g]) || (wt[off[g]] != 0 && pv[off[g]] == t))
#define MAY_RENEW(g) (gup[g] && MEMBER(g) && (auth[g] > 0 || OFFLOG_OK(g)))

#define HAS_STOPPED(m, t, v) (off[m] >= v || stop[GT(m, t)] >= v)

/* Proofs that granter m renews target t below version v no more. */
#ifdef M_WORD_UNBOUNDED
#define WORD(m, t, v) (HAS_STOPPED(m, t, v))
#else
#define WORD(m, t, v) (HAS_STOPPED(m, t, v) && bound[m] == 0)
#endif
#ifdef M_NO_DEAD_RULE
#define DEAD(m, d) (m != m)
#else
#define DEAD(m, d) (!gup[m] && rebornFor[m] == 0)
#endif
#ifdef M_CONSENT_FORGOTTEN
#define ASKED(d, m) 0
#else
#define ASKED(d, m) HAS(con[d], m)
#endif
#ifdef M_NEW_MEMBER_DECIDES
#define KNOWS(m, d) 1
#else
#define KNOWS(m, d) (d != 2 || HAS(hello, m))
#endif
#ifdef M_NO_TIME_RULE
#define ONLOG_ENDED(d, m, t, left) (m != m)
#else
#define ONLOG_ENDED(d, m, t, left) (GRANTS(d, t) && !ASKED(d, m) && KNOWS(m, d) && since[d] <= left)
#endif
#ifdef M_LAPSE_WITHOUT_AUTHORITY
#define LAPSE_LEFT (AUTH + ISO)
#else
#define LAPSE_LEFT ISO
#endif
#ifdef UNLIMITED
#define ISO_ENDED(d, left) (d != d)
#else
#ifdef M_ISOLATED_NOT_COUNTED
#define ISO_ENDED(d, left) (since[d] <= ISO + left)
#else
#define ISO_ENDED(d, left) (since[d] <= left)
#endif
#endif
#define LAPSED(d, m, t, v) \
	(WORD(m, t, v) || DEAD(m, d) || ONLOG_ENDED(d, m, t, LAPSE_LEFT) || ISO_ENDED(d, 0))
/*
 * An acknowledgement counts without the word of a granter that reads the log:
 * it reads the move before it renews a target that restarted.
 */
#define STOPPED(d, m, t, v) \
	(HAS_STOPPED(m, t, v) || !gup[m] || (GRANTS(d, t) && !ASKED(d, m) && KNOWS(m, d)))
#define COUNTED(d, t, m) HAS(MEMBERS(t, off[d]) | RETIRING(t, off[d]), m)

#define ALL_LAPSED(d, t, v) \
	((!COUNTED(d, t, 0) || LAPSED(d, 0, t, v)) && (!COUNTED(d, t, 1) || LAPSED(d, 1, t, v)) && (!COUNTED(d, t, 2) || LAPSED(d, 2, t, v)))
#ifdef M_ACK_ALONE
#define ALL_STOPPED(d, t, v) 1
#else
#define ALL_STOPPED(d, t, v) \
	((!COUNTED(d, t, 0) || STOPPED(d, 0, t, v)) && (!COUNTED(d, t, 1) || STOPPED(d, 1, t, v)) && (!COUNTED(d, t, 2) || STOPPED(d, 2, t, v)))
#endif
#ifdef M_ACK_BEFORE_STOP
#define ACKED(t, v) acked
#else
#ifdef M_ACK_OF_ANY_VERSION
#define ACKED(t, v) (tup[t] && high[t] > 0)
#else
#define ACKED(t, v) (tup[t] && high[t] >= v)
#endif
#endif

/* Consent of m needs that g has read as far as m. */
#ifdef M_STALE_CONSENT
#define KNOWN_TO(g, m) 1
#else
#define KNOWN_TO(g, m) (off[g] >= off[m])
#endif
#ifdef M_NO_CONSENT
#define CONSENTED(g) 1
#else
/* A member that was proven dead before the last read is not asked. */
#ifdef M_DEAD_NOT_ASKED
#define EXCUSED(g) DEAD_ONES
#else
#define EXCUSED(g) buried[g]
#endif
#define CONSENTED(g) (((got[g] | BIT(g) | EXCUSED(g)) & PEERS(g, off[g])) == PEERS(g, off[g]))
#endif
/* g has read the log since the target's present incarnation is known. */
#ifdef M_NO_READ_AFTER_RESTART
#define INFORMED(g, t) 1
#else
#define INFORMED(g, t) (CONSENTED(g) || HAS(fresh[g], t))
#endif
#ifdef M_NO_VERSION_FENCE
#define FENCE(t, v) 1
#else
#define FENCE(t, v) (v >= high[t])
#endif
#ifdef M_LOST_WHILE_ALIVE
#define DOMAIN_DEAD 1
#else
#define DOMAIN_DEAD (!gup[0] && !gup[1] && !tup[0])
#endif

inline append() {
	last++;
	own[last] = own[last - 1]; ep[last] = ep[last - 1];
	wt[last] = wt[last - 1]; wv[last] = wv[last - 1]; pv[last] = pv[last - 1];
	VER(0, last) = VER(0, last - 1); VER(1, last) = VER(1, last - 1);
#ifndef TWO_DOMAINS
	glist[last] = glist[last - 1]; gret[last] = gret[last - 1];
#endif
}

/* The move of the shard to the other target, made from epoch from. */
inline appendMove(from) {
	append();
	if
	:: wt[last] == 0 -> wt[last] = ep[last]; wv[last] = last; pv[last] = own[last]
	:: else
	fi;
#ifdef M_ACTIVE_AT_MOVE
	wt[last] = 0;
#endif
	own[last] = 1 - own[last];
	ep[last] = from + 1;
	assert(ep[last] > ep[last - 1]);    /* epochs grow; no accepted move is undone */
	VER(0, last) = last; VER(1, last) = last
}

inline appendReleased() {
	append();
	bound[0] = 0; bound[1] = 0; bound[2] = 0;
	assert(!ACTING(pv[last]));              /* a released owner does not act */
	released = wt[last];
	wt[last] = 0; wv[last] = 0; pv[last] = 0;
	VER(own[last], last) = last
}

/*
 * Granter g stops renewing target t below version v. Its bound is that of the
 * grants under way or delivered, which covers its own.
 */
inline raise(g, t, v) {
	if
	:: !HAS_STOPPED(g, t, v) ->
		if
		:: !HAS(proven, wt[last]) ->
			for (k : 1 .. v - 1) { bound[g] = MAX(bound[g], FLIGHT(t, k)) }
			k = 0;
			bound[g] = MAX(bound[g], lease[t])
		:: else
		fi;
		stop[GT(g, t)] = v
	:: else
	fi
}

/*
 * From now on m has to count a lease that g may have given without the log.
 */
inline leaseFromNow(m) {
	if
	:: wt[off[m]] != 0 && !HAS(proven, wt[off[m]]) -> since[m] = MAX(since[m], ISO + LEASE + 1)
	:: else
	fi
}

/* m learns that g reads the log again. */
inline comeBack(g, m) {
#ifndef M_BACK_ENDS_WAIT
	if
	:: HAS(con[m], g) -> leaseFromNow(m)
	:: else
	fi;
#endif
	con[m] = con[m] & ~BIT(g)
}

/* A complete read of the log, of records up to offset to. */
inline read(g, to) {
	if
	:: wt[to] != 0 -> raise(g, pv[to], wv[to])
	:: else
	fi;
	if
	:: wt[to] != 0 && !HAS(proven, wt[to]) && wv[to] > off[g] -> since[g] = WAIT_ALL
	:: wt[to] == 0 -> since[g] = 0
	:: else
	fi;
	off[g] = to;
	fresh[g] = 3; buried[g] = DEAD_ONES;
	stop[GT(g, 0)] = 0; stop[GT(g, 1)] = 0;
	auth[g] = (SENDS(g) && MEMBER(g) -> AUTH + 1 : 0);
#ifndef UNLIMITED
	iso[g] = (SENDS(g) -> AUTH + ISO + 1 : 0);
#endif
	got[g] = 0;
	back[g] = (HAS(con[0], g)) | (HAS(con[1], g) << 1) | (HAS(con[2], g) << 2)
}

/* The proof that the owner at epoch e has stopped; what led to it is dropped. */
inline prove(e) {
	proven = proven | BIT(e);
	bound[0] = 0; bound[1] = 0; bound[2] = 0;
	since[0] = 0; since[1] = 0; since[2] = 0
}

inline send(g, t) {
	FLIGHT(t, VER(t, off[g])) = LEASE + 1
}

inline deliver(t, v) {
	lease[t] = MAX(lease[t], FLIGHT(t, v));
#ifdef M_NO_NONCE
	lease[t] = LEASE + 1;
#endif
	high[t] = MAX(high[t], v);
	held[t] = v;
#ifndef M_NO_VERSION_FENCE
	for (k : 0 .. v - 1) { FLIGHT(t, k) = 0 }
	k = 0;
#endif
#ifndef M_NO_NONCE
	FLIGHT(t, v) = 0;               /* a repeated delivery changes nothing */
#endif
#ifdef M_ACK_BEFORE_STOP
	if
	:: wt[last] != 0 && pv[last] == t && v >= wv[last] -> acked = 1
	:: else
	fi;
#endif
	if
	:: ACTING(t) ->
		assert(!ACTING(1 - t));         /* one owner at a time */
		assert(ep[v] > released);       /* no released owner acts again */
		assert(ep[v] >= served);        /* no former owner acts again */
		served = ep[v];
#ifdef COVER_TAKEOVER
		assert(served < 2);
#endif
#ifdef COVER_OFF_LOG
		assert(v == last || auth[0] > 0 || auth[1] > 0);
#endif
		skip
	:: else
	fi
}

#define DEC(x) x = (x > 0 -> x - 1 : 0)

inline tick(i) {
	DEC(lease[0]); DEC(lease[1]);
	for (i : 0 .. 2 * SIZE - 1) {
#ifndef M_NO_NONCE
		DEC(flight[i]);
#endif
		skip
	}
	for (i : 0 .. 2) {
		DEC(bound[i]); DEC(auth[i]); DEC(since[i]);
#ifndef HOST_GONE
		DEC(rebornFor[i]);
#endif
#ifndef UNLIMITED
		DEC(iso[i]);
#endif
	}
#ifdef M_AUTHORITY_FROM_END_OF_READ
	lastAtTick = last;
#endif
	i = 0
}

inline clearFlight(t, i) {
	for (i : 0 .. SIZE - 1) { FLIGHT(t, i) = 0 }
	i = 0
}

/*
 * The faults end: hosts restart, the log and all peers answer, and a target
 * that is down stays down. One run of the protocol with granter g leading.
 */
inline recover(g, i, n, t, all) {
	n = 0;
	do
	:: n < WAIT_ALL + LEASE + 4 ->
		tick(i);
		for (i : 0 .. 2) {
			if
			:: gup[i] && TAKES_PART(i) -> read(i, last); comeBack(i, 0); comeBack(i, 1); comeBack(i, 2); back[i] = 0
			:: else
			fi
		}
		if
		:: !tup[own[last]] && tup[1 - own[last]] && last < SIZE - 1 -> appendMove(ep[last]); read(g, last)
		:: else
		fi;
		if
		:: wt[last] != 0 && last < SIZE - 1 ->
			t = pv[last]; all = 1;
			for (i : 0 .. 2) {
				if
				:: COUNTED(g, t, i) && !LAPSED(g, i, t, wv[last]) -> all = 0
				:: else
				fi
			}
			if
			:: all -> appendReleased(); read(g, last)
			:: else
			fi
		:: else
		fi;
		t = own[last];
		/* In two domains the owner's own granter sends. */
		i = (GRANTS(g, t) -> g : 2);
		if
		:: tup[t] && gup[i] ->
			read(i, last);
			if
			:: GRANTS(i, t) -> send(i, t); deliver(t, VER(t, last))
			:: else
			fi
		:: else
		fi;
		n++
	:: else -> break
	od;
	t = own[last];
	assert(tup[t] && wt[last] == 0 && lease[t] > 0 && LISTED(t, held[t]));  /* served again */
}

/* Brings all recovery runs to one final state. */
inline finish(i) {
	for (i : 0 .. SIZE - 1) { own[i] = 0; ep[i] = 0; wt[i] = 0; wv[i] = 0; pv[i] = 0 }
	for (i : 0 .. 2 * SIZE - 1) { ver[i] = 0; flight[i] = 0 }
	for (i : 0 .. 1) { tup[i] = 0; lease[i] = 0; high[i] = 0; held[i] = 0; }
	for (i : 0 .. 2) {
		gup[i] = 0; off[i] = 0; auth[i] = 0; got[i] = 0; con[i] = 0;
		back[i] = 0; fresh[i] = 0; buried[i] = 0; since[i] = 0; rebornFor[i] = 0;
#ifndef UNLIMITED
		iso[i] = 0;
#endif
	}
	for (i : 0 .. 5) { stop[i] = 0 }
	bound[0] = 0; bound[1] = 0; bound[2] = 0;
#ifndef TWO_DOMAINS
	for (i : 0 .. SIZE - 1) { glist[i] = 0; gret[i] = 0 }
#endif
	joined = 0; hello = 0; proven = 0; last = MAXLOG; restarts = 0; served = 0; released = 0;
	done = 1; i = 0
}

/*
 * The steps, one macro each, so that each is one guarded choice of the main
 * loop for each granter or target.
 */
#define MOVE_STEP \
	d_step { last < MAXLOG && MOVES -> appendMove(ep[last]) }
#define RELEASED_STEP \
	d_step { last < MAXLOG && wt[last] != 0 && RELEASE_PROVEN -> appendReleased() }
#define GRANTERS_STEP(x) \
	d_step { last < MAXLOG && joined == 0 -> append(); glist[last] = (glist[last] & ~BIT(x)) | BIT(2); gret[last] = RETIRE(x); joined = last }
#define READ_STEP(g) \
	d_step { gup[g] && TAKES_PART(g) && (last > off[g] || (SENDS(g) && (auth[g] <= AUTH || buried[g] != DEAD_ONES)) || got[g] != 0 || fresh[g] != 3) -> read(g, last) }
#define OLD_READ_STEP(g) \
	d_step { gup[g] && lastAtTick >= off[g] -> read(g, lastAtTick) }
#define SEND_STEP(g, t) \
	d_step { MAY_RENEW(g) && GRANTS(g, t) && tup[t] && VER(t, off[g]) >= stop[GT(g, t)] && NEEDED(g, t) && INFORMED(g, t) -> send(g, t) }
#define CONSENT_STEP(g, m) \
	d_step { gup[g] && gup[m] && MEMBER(g) && HAS(PEERS(g, off[g]), m) && KNOWN_TO(g, m) && !(HAS(got[g], m) && HAS(con[m], g)) -> \
		con[m] = con[m] | BIT(g); got[g] = got[g] | BIT(m); back[g] = back[g] & BACK_KEPT(m); ENTER_ISOLATED(g) }
#define BACK_STEP(g, m) \
	d_step { HAS(back[g], m) -> comeBack(g, m); back[g] = back[g] & ~BIT(m) }
#define HELLO_STEP(g) \
	d_step { gup[g] && gup[2] && joined != 0 && off[g] >= joined && off[2] >= joined && !HAS(hello, g) -> hello = hello | BIT(g); HELLO_WAIT }
#define STOP_STEP(g) \
	d_step { wt[last] != 0 && gup[g] && TAKES_PART(g) && !HAS_STOPPED(g, pv[last], wv[last]) -> raise(g, pv[last], wv[last]) }
#define LAPSE_STEP(g) \
	d_step { gup[g] && wt[off[g]] != 0 && !HAS(proven, wt[off[g]]) && ALL_LAPSED(g, pv[off[g]], wv[off[g]]) -> prove(wt[off[g]]) }
#define ACK_STEP(g) \
	d_step { gup[g] && wt[off[g]] != 0 && !HAS(proven, wt[off[g]]) && ACKED(pv[off[g]], wv[off[g]]) && ALL_STOPPED(g, pv[off[g]], wv[off[g]]) -> prove(wt[off[g]]) }
#define LOST_STEP \
	d_step { wt[last] != 0 && pv[last] == 0 && !HAS(proven, wt[last]) && DOMAIN_DEAD -> prove(wt[last]) }
#define DELIVER_STEP(t, v) \
	d_step { v <= last && tup[t] && FLIGHT(t, v) > 0 && FENCE(t, v) -> deliver(t, v) }
#define TARGET_RESTARTS(t) \
	d_step { restarts < RESTARTS && tup[t] -> restarts++; lease[t] = 0; high[t] = 0; held[t] = 0; fresh[0] = fresh[0] & ~BIT(t); fresh[1] = fresh[1] & ~BIT(t); fresh[2] = fresh[2] & ~BIT(t); clearFlight(t, i) }
#define TARGET_LOST(t) \
	d_step { tup[0] && tup[1] -> tup[t] = 0; lease[t] = 0; high[t] = 0; held[t] = 0; clearFlight(t, i) }
#define GRANTER_CRASHES(g) \
	d_step { !gup[0] + !gup[1] + !gup[2] < CRASHES && gup[g] && TAKES_PART(g) -> gup[g] = 0; rebornFor[g] = LEASE + 1; auth[g] = 0; got[g] = 0; con[g] = 0; fresh[g] = 0; buried[g] = 0; \
		since[g] = 0; CLEAR_ISOLATED(g) }
#define RECOVERY(g) \
	d_step { gup[g] && CAN_RECOVER(g) -> recover(g, i, n, t, all); finish(i); n = 0; t = 0; all = 0 }

#ifdef M_RELEASE_WITHOUT_EPOCH
#define RELEASE_PROVEN (proven != 0)
#else
#define RELEASE_PROVEN HAS(proven, wt[last])
#endif
#ifdef M_HELLO_ENDS_WAIT
#define HELLO_WAIT skip
#else
#define HELLO_WAIT leaseFromNow(2)
#endif
#ifdef M_NO_RETIRING
#define RETIRE(x) 0
#else
#define RETIRE(x) BIT(x)
#endif
#ifdef M_LATE_BACK
#define BACK_KEPT(m) 255
#else
#define BACK_KEPT(m) (~BIT(m))
#endif
#ifdef UNLIMITED
#define ENTER_ISOLATED(g) skip
#define CLEAR_ISOLATED(g) skip
#else
#ifdef M_ISOLATED_FROM_ENTRY
#define ENTER_ISOLATED(g) iso[g] = ISO + 1
#else
#define ENTER_ISOLATED(g) skip
#endif
#define CLEAR_ISOLATED(g) iso[g] = 0
#endif
#ifdef TWO_DOMAINS
/* Each domain has a granter left. */
#define CAN_RECOVER(g) (gup[2] && (g == 0 || (g == 1 && !gup[0])))
#else
#ifdef HOST_GONE
/* The crashed host never returns, and g has not been asked for consent by it. */
#define CAN_RECOVER(g) (HAS(glist[last], g) && (gup[0] || !ASKED(g, 0)) && (gup[1] || !ASKED(g, 1)))
#else
#define CAN_RECOVER(g) HAS(glist[last], g)
#endif
#endif

active proctype system() {
	byte t, i, k, n;
	bool all;
	d_step {
		ep[1] = 1; VER(0, 1) = 1; VER(1, 1) = 1;
#ifndef TWO_DOMAINS
		glist[1] = 3;
#endif
		fresh[0] = 3; fresh[1] = 3;
		auth[0] = AUTH + 1; auth[1] = (SENDS(1) -> AUTH + 1 : 0);
#ifdef TWO_DOMAINS
		iso[0] = AUTH + ISO + 1
#else
		off[2] = 0
#endif
	}
	do
	/* time */
	:: d_step { !done -> tick(i) }

	/* proposers and operators; an append may be a late or repeated one */
	:: MOVE_STEP
	:: RELEASED_STEP
#ifdef M_MOVE_WITHOUT_EPOCH
	:: d_step { last < MAXLOG && ep[last] > 1 -> appendMove(1) }
#endif
#ifdef JOIN
	:: GRANTERS_STEP(0)
	:: GRANTERS_STEP(1)
	:: HELLO_STEP(0)
	:: HELLO_STEP(1)
#endif

	/* granters */
	:: READ_STEP(0)
	:: READ_STEP(2)
	:: SEND_STEP(0, 0)
#ifndef TWO_DOMAINS
	:: READ_STEP(1)
#endif
#ifdef PAIR
	:: SEND_STEP(1, 0)
#endif
#ifdef BOTH
	:: SEND_STEP(0, 1)
	:: SEND_STEP(1, 1)
#endif
#ifdef M_AUTHORITY_FROM_END_OF_READ
	:: OLD_READ_STEP(0)
	:: OLD_READ_STEP(1)
#endif

	/* consent, serving without the log, and the way back */
#ifndef ON_LOG_ONLY
	:: CONSENT_STEP(0, 1)
	:: BACK_STEP(0, 1)
#ifdef PAIR
	:: CONSENT_STEP(1, 0)
	:: BACK_STEP(1, 0)
#endif
#ifdef JOIN
	:: CONSENT_STEP(0, 2)
	:: BACK_STEP(0, 2)
#endif
#endif

	/* stop_renew for the target waited for, and the proofs of a release */
	:: STOP_STEP(0)
	:: STOP_STEP(1)
#ifdef PAIR
	:: LAPSE_STEP(0)
	:: ACK_STEP(0)
#else
	:: LAPSE_STEP(2)
	:: ACK_STEP(2)
#endif
#ifndef TWO_DOMAINS
	:: LAPSE_STEP(1)
	:: ACK_STEP(1)
#else
	:: LOST_STEP
#endif

	/* grants arrive late, repeatedly or never */
	:: DELIVER_STEP(0, 1)
	:: DELIVER_STEP(0, 2)
	:: DELIVER_STEP(0, 3)
	:: DELIVER_STEP(0, 4)
	:: DELIVER_STEP(0, 5)
	:: DELIVER_STEP(0, 6)
#ifdef BOTH
	:: DELIVER_STEP(1, 1)
	:: DELIVER_STEP(1, 2)
	:: DELIVER_STEP(1, 3)
	:: DELIVER_STEP(1, 4)
	:: DELIVER_STEP(1, 5)
	:: DELIVER_STEP(1, 6)
#endif

	/* faults */
	:: TARGET_RESTARTS(0)
#ifdef RECOVER
	:: TARGET_LOST(0)
#endif
#ifdef BOTH
	:: TARGET_RESTARTS(1)
#endif
	:: GRANTER_CRASHES(0)
	:: GRANTER_CRASHES(1)
#ifdef JOIN
	:: GRANTER_CRASHES(2)
#endif

	/* the faults end */
#ifdef RECOVER
	:: RECOVERY(0)
	:: RECOVERY(1)
	:: RECOVERY(2)
#endif
	:: done -> break
	od
}
