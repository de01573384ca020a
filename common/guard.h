#ifndef COMMON_GUARD_H
#define COMMON_GUARD_H

/*
 * Switches that take single safety checks out, so that tests can show that
 * they fail without them. Compiled only with PROOF_SWITCHES (test builds);
 * elsewhere guard_on is the constant 1.
 */

enum guard {
	GUARD_GRANT_CHECK,   /* gate: ownership right before hand-over */
	GUARD_FLOOR,	     /* member: lowest map revision of a grant */
	GUARD_TERM,	     /* member: refuses lower terms */
	GUARD_LOST_WAIT,     /* coordinator: waits for a grant's end */
	GUARD_AUTHORITY,     /* coordinator: caps grants at its authority */
	GUARD_HOLD_MAJORITY, /* coordinator: hold needs a majority */
	GUARD_HOLD_MARKS,    /* coordinator: marks before records clear */
	GUARD_HOLD_QUORUM,   /* coordinator: renews holds with a majority */
	GUARD_ROSTER_GROWTH, /* coordinator: no new node while resolving */
	GUARD_HOLD_ACK,	     /* coordinator: waits for the clear's answer */
	GUARD_RELEASE,	     /* member: finishes in flight before a move */
	GUARD_SEND_ONCE,     /* gate: no second send of a non-idempotent */
	GUARD_ATTEMPT,	     /* gate: an attempt queried never runs later */
	GUARD_FRAMING,	     /* gate: an unframed answer is not whole */
	GUARD_REVISION,	     /* member: no older document */
	GUARD_COMPARE,	     /* coordinator: store writes compare the record */
	GUARD_QUERY,	     /* link: asks about attempts of a lost link */
	GUARD_HOLD,	     /* coordinator: holds while the store is away */
	GUARD_STANDBY,	     /* member: standbys elect early */
	GUARD_GRACE,	     /* coordinator: waits for a restarting node */
	GUARD_RENEW,	     /* member: replaces a silent datagram flow */
	GUARD_PERSIST,	     /* coordinator: writes before it acts */
	GUARD_HOLD_FREE,     /* member: waits until the target holds no key */
	GUARD_COUNT
};

#ifdef PROOF_SWITCHES
int guard_on(enum guard g);
void guard_set(enum guard g, int on);
/* Takes out the guards named in MPIN_GUARDS_OFF, separated by commas. */
void guard_from_environment(void);
#else
static inline int guard_on(enum guard g)
{
	(void)g;
	return 1;
}
static inline void guard_from_environment(void)
{
}
#endif

#endif
