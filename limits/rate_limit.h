#ifndef LIMITS_RATE_LIMIT_H
#define LIMITS_RATE_LIMIT_H

#include <stdint.h>

/*
 * Limit on the requests a second that a back end takes: a token bucket that
 * holds the tokens of RATE_LIMIT_BURST_S. In any t seconds, no more than
 * rate * (t + RATE_LIMIT_BURST_S) requests start, and one more if the rate is
 * below one in RATE_LIMIT_BURST_S. The module has no clock: the time is an
 * argument, in milliseconds of one clock.
 */

/* A limit is stated for a second, so a second's requests may come at once. */
#define RATE_LIMIT_BURST_S 1.0
/*
 * Lowest rate: the back end states its limit in its answers, and without any
 * request it could not raise it again.
 */
#define RATE_LIMIT_MIN_PER_S 0.5

struct rate_limit {
	double per_s; /* 0: no limit */
	double tokens;
	double burst; /* most tokens */
	int64_t updated_ms;
};

/* Sets up a limit that does not limit. */
void rate_limit_init(struct rate_limit *r);
/*
 * Sets the rate; a rate below RATE_LIMIT_MIN_PER_S counts as that. Where there
 * was no limit before, the bucket starts empty: the back end has had its
 * requests.
 */
void rate_limit_set(struct rate_limit *r, double per_s, int64_t now_ms);
/*
 * Does the same with a bucket of `burst` tokens, at least one, instead of those
 * of RATE_LIMIT_BURST_S.
 */
void rate_limit_set_burst(struct rate_limit *r, double per_s, double burst,
			  int64_t now_ms);
/* Ends the limit. */
void rate_limit_clear(struct rate_limit *r);
/*
 * Returns the time in milliseconds until a request may start that has `ahead`
 * others before it; 0: now.
 */
double rate_limit_wait_ms(const struct rate_limit *r, uint32_t ahead,
			  int64_t now_ms);
/* Notes that a request starts. */
void rate_limit_take(struct rate_limit *r, int64_t now_ms);

#endif
