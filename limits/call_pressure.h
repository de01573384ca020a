#ifndef LIMITS_CALL_PRESSURE_H
#define LIMITS_CALL_PRESSURE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Decides how much new work a server may begin while the calls that its
 * running work makes to other services find no room: a run whose call fails is
 * thrown away. The share of new work falls with the part of the calls that
 * failed lately and recovers slowly, faster once no call has failed for a
 * while. It is spent on requests of the highest rank first.
 *
 * The module has no clock and does no I/O: the time is an argument, in
 * milliseconds of one clock and greater than 0.
 */

/*
 * Lowest share of new work. The calls of this much show when there is room
 * again.
 */
#define CALL_PRESSURE_MIN_SHARE 0.1
/* The share is changed at most once in this time, whatever the load. */
#define CALL_PRESSURE_STEP_MS 100
/* Calls are counted for this long. */
#define CALL_PRESSURE_WINDOW_MS 1000
#define CALL_PRESSURE_STEPS (CALL_PRESSURE_WINDOW_MS / CALL_PRESSURE_STEP_MS)
/* Priorities that are told apart; those behind count as the last. */
#define CALL_PRESSURE_RANKS 8

/* What ended in one step. */
struct call_pressure_count {
	uint32_t calls;
	uint32_t failed;
	uint32_t everywhere; /* of failed: refused by several servers */
};

/* Requests of one priority. */
struct call_pressure_rank {
	double arrived; /* in about the last second, moving sum */
	double credit;	/* requests that may begin */
};

struct call_pressure {
	double share;	      /* of new work that may begin */
	int64_t step;	      /* number of the present step; 0: none yet */
	int64_t lowered_step; /* step after which the share was last lowered */
	struct call_pressure_count counts[CALL_PRESSURE_STEPS];
	struct call_pressure_rank ranks[CALL_PRESSURE_RANKS];
};

/* Sets up a state in which all work may begin. */
void call_pressure_init(struct call_pressure *p);
/*
 * Notes that a call of the server beside has ended. found_room: it was answered
 * without a failure; everywhere: if not, several servers refused it, so that
 * others of this kind have no room for it either.
 */
void call_pressure_note_call(struct call_pressure *p, int found_room,
			     int everywhere, int64_t now_ms);
/* Returns the share of new work that may begin now, between the floor and 1. */
double call_pressure_share(struct call_pressure *p, int64_t now_ms);
/*
 * Returns 1 if a request that is not a call may begin, else 0. priority: 0 is
 * the highest.
 */
int call_pressure_admit(struct call_pressure *p, uint32_t priority,
			int64_t now_ms);
/*
 * Returns 1 if most of the calls that failed lately were refused by several
 * servers: the work would find no room at another server of this kind.
 */
int call_pressure_is_common(struct call_pressure *p, int64_t now_ms);

#endif
