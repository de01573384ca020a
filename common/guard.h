#ifndef COMMON_GUARD_H
#define COMMON_GUARD_H

/*
 * A guard is a safety check that a test can turn off, to show that the tests
 * fail without it. Guards can be turned off only in builds with PROOF_SWITCHES
 * (test builds); in all others guard_on always returns 1. ownership/own.h
 * explains grant, hold, roster, mark and term.
 */

enum guard {
	/* Gate: checks ownership right before it sends to the target. */
	GUARD_GRANT_CHECK,
	/* Member: does not serve by a map older than its grant demands. */
	GUARD_FLOOR,
	/* Member: refuses messages of a lower term. */
	GUARD_TERM,
	/* Coordinator: moves a silent node's slots only after its grant. */
	GUARD_LOST_WAIT,
	/* Coordinator: ends grants no later than its own authority. */
	GUARD_AUTHORITY,
	/* Coordinator: starts a hold only if a majority has recorded it. */
	GUARD_HOLD_MAJORITY,
	/*
	 * Coordinator: marks the nodes that may be in a hold before members
	 * clear their records of it.
	 */
	GUARD_HOLD_MARKS,
	/* Coordinator: renews a hold only while a majority acts on replies. */
	GUARD_HOLD_QUORUM,
	/* Coordinator: adds no node while an earlier hold is resolved. */
	GUARD_ROSTER_GROWTH,
	/*
	 * Coordinator: takes a member's hold as cleared only if the member
	 * acknowledges a reply that was sent to clear it.
	 */
	GUARD_HOLD_ACK,
	/* Member: finishes requests in flight before it releases a slot. */
	GUARD_RELEASE,
	/* Gate: sends a request that is not idempotent at most once. */
	GUARD_SEND_ONCE,
	/* Gate: does not run an attempt that it reported as never seen. */
	GUARD_ATTEMPT,
	/* HTTP client: takes an answer without length or chunks as cut off. */
	GUARD_FRAMING,
	/* Member: refuses a document older than its own. */
	GUARD_REVISION,
	/* Store writes: compare the revisions of the records they rely on. */
	GUARD_COMPARE,
	/* Link: asks the owner about the attempts of a lost connection. */
	GUARD_QUERY,
	/* Coordinator: starts a hold when the store is unreachable. */
	GUARD_HOLD,
	/* Member: a standby stands for election before other members do. */
	GUARD_STANDBY,
	/* Coordinator: keeps the slots of a restarting node for a while. */
	GUARD_GRACE,
	/* Member: changes its UDP source port after several unanswered asks. */
	GUARD_RENEW,
	/* Coordinator: writes a change to the store before it acts on it. */
	GUARD_PERSIST,
	/*
	 * Coordinator: does not count a process that replaced one of the roster
	 * as stating that no hold was recorded.
	 */
	GUARD_HOLD_RESTART,
	/* Member: releases a slot only when its target holds no key of it. */
	GUARD_HOLD_FREE,
	GUARD_COUNT
};

#ifdef PROOF_SWITCHES
/* Returns 1 unless the guard is turned off. */
int guard_on(enum guard g);
void guard_set(enum guard g, int on);
/* Turns off the guards named in MPIN_GUARDS_OFF, separated by commas. */
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
