#ifndef ROUTING_ATTEMPTS_H
#define ROUTING_ATTEMPTS_H

#include "protocol/frame.h"

#include <stdint.h>
#include <uthash.h>

/*
 * Table of the attempts that a gate has received, or has promised never to
 * run. An attempt is one send of a request to a gate and has a unique id. A
 * peer asks about an attempt (Query) when the link that it was sent on broke.
 *
 * The functions do no I/O and read no clock: times are arguments, in
 * milliseconds of one monotonic clock.
 *
 * Invariant: an attempt that may have run is never reported as
 * ATTEMPT_NEVER_SEEN. If the table is full and has to drop an attempt that ran
 * before ATTEMPTS_KEEP_MS have passed, it answers ATTEMPT_DONE for every
 * unknown attempt until that time is over.
 */

/* Must be longer than the longest deadline, GATE_MAX_DEADLINE_MS. */
#define ATTEMPTS_KEEP_MS (660 * 1000)
/*
 * Ended attempts that are kept. They take about 15 MB and cover 48 s at the
 * design rate of 2,700 requests/s for a node.
 */
#define ATTEMPTS_MAX 131072
/*
 * A refused attempt can still arrive while the sender's kernel retransmits it:
 * with the default tcp_retries2, Linux gives up after 924 s.
 */
#define ATTEMPTS_REFUSED_KEEP_MS (1800 * 1000)
#define ATTEMPTS_REFUSED_MAX 16384

enum attempt_status {
	ATTEMPT_STATUS_RUNNING, /* queued or at the target */
	ATTEMPT_STATUS_RAN,	/* ended; it ran or may have run */
	ATTEMPT_STATUS_NOT_RUN, /* ended without having run */
	ATTEMPT_STATUS_REFUSED, /* queried before it arrived; must not run */
};

struct attempt {
	uint64_t id;
	enum attempt_status status;
	int64_t ended_ms; /* when it ended or was refused */
	struct attempt *prev;
	struct attempt *next;
	UT_hash_handle hh;
};

struct attempt_list {
	struct attempt *head; /* oldest first */
	uint32_t count;
};

struct attempts {
	struct attempt *by_id; /* hash table of all attempts */
	struct attempt_list ended;
	struct attempt_list refused;
	uint32_t ended_max;
	uint32_t refused_max;
	/* Until then an unknown attempt may have run. */
	int64_t uncertain_until_ms;
};

void attempts_init(struct attempts *a);
/* Frees all attempts. */
void attempts_finish(struct attempts *a);

/* Returns NULL if the attempt is unknown. */
struct attempt *attempts_find(const struct attempts *a, uint64_t id);
/*
 * Adds an attempt with an unknown id, in state ATTEMPT_STATUS_RUNNING. Returns
 * NULL if memory runs out.
 */
struct attempt *attempts_add(struct attempts *a, uint64_t id);
/*
 * Records the end of a running attempt; ran is nonzero if it ran or may have
 * run. Removes ended attempts that are too old or too many.
 */
void attempts_end(struct attempts *a, struct attempt *t, int ran,
		  int64_t now_ms);
/*
 * Returns the state that answers a Query. Records an unknown attempt as
 * refused, so that it does not run if it arrives later. If it cannot be
 * recorded because memory or the list of refused attempts is exhausted, the
 * answer is ATTEMPT_DONE.
 */
enum wire_attempt_state attempts_query(struct attempts *a, uint64_t id,
				       int64_t now_ms);

#endif
