#include "limits/rate_limit.h"

#include <math.h>
#include <string.h>

void rate_limit_init(struct rate_limit *r)
{
	memset(r, 0, sizeof(*r));
}

static double tokens_at(const struct rate_limit *r, int64_t now_ms)
{
	double earned = (double)(now_ms - r->updated_ms) / 1000 * r->per_s;

	return fmin(r->tokens + earned, r->burst);
}

void rate_limit_set_burst(struct rate_limit *r, double per_s, double burst,
			  int64_t now_ms)
{
	r->tokens = r->per_s > 0 ? tokens_at(r, now_ms) : 0;
	r->updated_ms = now_ms;
	r->per_s = fmax(per_s, RATE_LIMIT_MIN_PER_S);
	r->burst = fmax(burst, 1);
}

void rate_limit_set(struct rate_limit *r, double per_s, int64_t now_ms)
{
	rate_limit_set_burst(
		r, per_s,
		fmax(per_s, RATE_LIMIT_MIN_PER_S) * RATE_LIMIT_BURST_S, now_ms);
}

void rate_limit_clear(struct rate_limit *r)
{
	rate_limit_init(r);
}

double rate_limit_wait_ms(const struct rate_limit *r, uint32_t ahead,
			  int64_t now_ms)
{
	double missing;

	if (r->per_s <= 0)
		return 0;
	missing = ahead + 1.0 - tokens_at(r, now_ms);
	return missing > 0 ? missing / r->per_s * 1000 : 0;
}

void rate_limit_take(struct rate_limit *r, int64_t now_ms)
{
	if (r->per_s <= 0)
		return;
	r->tokens = tokens_at(r, now_ms) - 1;
	r->updated_ms = now_ms;
}
