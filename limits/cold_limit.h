#ifndef LIMITS_COLD_LIMIT_H
#define LIMITS_COLD_LIMIT_H

#include "limits/rate_limit.h"

#include <stdint.h>

/*
 * Limit on the requests a second to a back end that is cold, i.e. that has just
 * started and ends if it gets far more than it can take. Requests are paced by
 * a token bucket when they are admitted, and counted when they are sent: a
 * connection that takes long delays some of them, and libcurl repeats others.
 * In no sliding second are more sent than cold_limit_most allows. The module
 * has no clock: the time is an argument, in milliseconds of one clock.
 */

/*
 * Tokens that the bucket holds. With the requests of a second, they stay below
 * COLD_LIMIT_WINDOW_PART and _EXTRA by a quarter of the rate and 4, so that
 * requests which were delayed for some 200 ms on their way still fit.
 */
#define COLD_LIMIT_BURST_S 0.25
#define COLD_LIMIT_BURST_EXTRA 4.0
/* Most requests sent in a second: this part of the rate, and so many more. */
#define COLD_LIMIT_WINDOW_PART 1.5
#define COLD_LIMIT_WINDOW_EXTRA 8.0
/* Sent requests are counted by cells of this length. */
#define COLD_LIMIT_CELL_MS 50
/* The cells of a whole second, and the one that has begun. */
#define COLD_LIMIT_CELLS (1000 / COLD_LIMIT_CELL_MS + 1)

struct cold_limit {
	struct rate_limit bucket;
	uint32_t sent[COLD_LIMIT_CELLS];
	int64_t cell; /* number of the newest cell, since the clock's start */
};

/* Sets up a limit that only counts. */
void cold_limit_init(struct cold_limit *c);
/*
 * Sets the rate; 0 ends the limit. Where there was none before, the requests
 * sent in the last second count: no other one adds to them until that is over.
 */
void cold_limit_set(struct cold_limit *c, double per_s, int64_t now_ms);
/* Does what rate_limit_wait_ms and rate_limit_take do. */
double cold_limit_wait_ms(const struct cold_limit *c, uint32_t ahead,
			  int64_t now_ms);
void cold_limit_take(struct cold_limit *c, int64_t now_ms);
/* Returns 1 if a request may be sent now. */
int cold_limit_may_send(struct cold_limit *c, int64_t now_ms);
/* Counts a request that is sent, with or without a limit. */
void cold_limit_note_sent(struct cold_limit *c, int64_t now_ms);
/* Returns the most requests that may be sent in any second at this rate. */
double cold_limit_most(double per_s);

#endif
