#ifndef LIMITS_CONC_H
#define LIMITS_CONC_H

#include <stdint.h>

/*
 * Concurrency limit of one target, adapted to what its answers show. Answers
 * are averaged over windows; a window slower than the best one by
 * ADAPTIVE_LIMIT_TOLERANCE means queueing at the target, and the limit falls.
 * If the answers stay as slow while it falls, the target itself has become
 * slow, and the limit returns. Pure.
 */

#define ADAPTIVE_LIMIT_WINDOW 200 /* answers; their mean is within about 7% */

struct adaptive_limit {
	uint32_t min;
	uint32_t max; /* what the target announced */
	double limit;
	double baseline_us;	  /* estimate of the latency without queueing */
	double window_sum_us;	  /* of the window */
	uint32_t window_count;	  /* of the window */
	uint32_t window_peak;	  /* most in flight in the window */
	double limit_before_cuts; /* limit before the falls in a row, 0 none */
	double worst_mean_us;	  /* longest mean since then */
	double worst_limit;	  /* limit of that window */
	int cuts;		  /* since that window */
};

void adaptive_limit_init(struct adaptive_limit *c, uint32_t min, uint32_t max);
/* The target announced another concurrency. */
void adaptive_limit_set_max(struct adaptive_limit *c, uint32_t max);
/*
 * One ended request. in_flight: requests at the target when it was sent,
 * itself included; shed: the target refused it for load.
 */
void adaptive_limit_sample(struct adaptive_limit *c, uint64_t latency_us,
			   uint32_t in_flight, int shed);
/* Requests that may be at the target now, min <= limit <= max. */
uint32_t adaptive_limit_get(const struct adaptive_limit *c);

#endif
