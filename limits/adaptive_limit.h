#ifndef LIMITS_ADAPTIVE_LIMIT_H
#define LIMITS_ADAPTIVE_LIMIT_H

#include <stdint.h>

/*
 * Adaptive concurrency limit of one target. The latencies of its answers are
 * averaged over windows of ADAPTIVE_LIMIT_WINDOW answers and compared with a
 * baseline, the estimated latency without queueing. A window that is clearly
 * slower than the baseline means that requests queue at the target, and the
 * limit is cut. If the latency does not fall with the limit, the target itself
 * has become slower: the baseline is raised and the limit restored. No clock
 * is needed.
 */

/* Answers in a window; their mean is within about 7% of the true one. */
#define ADAPTIVE_LIMIT_WINDOW 200

struct adaptive_limit {
	uint32_t min;
	uint32_t max; /* concurrency that the target announced */
	double limit;
	double baseline_us;	  /* latency without queueing; 0: unknown */
	double window_sum_us;	  /* sum of the latencies in the window */
	uint32_t window_count;	  /* answers in the window */
	uint32_t window_peak;	  /* most in flight in the window */
	double limit_before_cuts; /* limit before a series of cuts; 0: none */
	double worst_mean_us;	  /* longest window mean in that series */
	double worst_limit;	  /* limit during that window */
	int cuts;		  /* cuts since that window */
};

/* Starts with the limit at max. A min of 0 counts as 1, max is at least min. */
void adaptive_limit_init(struct adaptive_limit *a, uint32_t min, uint32_t max);
/*
 * Sets max to the concurrency that the target has announced. A limit that was
 * at the old max moves to the new one.
 */
void adaptive_limit_set_max(struct adaptive_limit *a, uint32_t max);
/*
 * Notes one ended request. in_flight: requests at the target when this one was
 * sent, itself included; shed: the target refused it because of its load,
 * which cuts the limit at once.
 */
void adaptive_limit_sample(struct adaptive_limit *a, uint64_t latency_us,
			   uint32_t in_flight, int shed);
/* Returns how many requests may be in flight now; min <= limit <= max. */
uint32_t adaptive_limit_get(const struct adaptive_limit *a);

#endif
