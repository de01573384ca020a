#include "limits/adaptive_limit.h"

/* Window means up to this multiple of the baseline are not queueing. */
#define ADAPTIVE_LIMIT_TOLERANCE 1.3
#define ADAPTIVE_LIMIT_CUT_FACTOR 0.8
/*
 * Growth of the limit, at least by 1, after a window without queueing whose
 * requests came close to the limit.
 */
#define ADAPTIVE_LIMIT_GROWTH 0.1
/*
 * Weight of a slower window in the baseline, so that a baseline that is too
 * low or out of date rises slowly.
 */
#define ADAPTIVE_LIMIT_BASELINE_DRIFT 0.01
/* With fewer cuts, the noise between windows is as large as their effect. */
#define ADAPTIVE_LIMIT_MIN_CUTS 3
/* Window means differ by up to this factor by chance. */
#define ADAPTIVE_LIMIT_NOISE 1.15

static void clamp_limit(struct adaptive_limit *c)
{
	if (c->limit > c->max)
		c->limit = c->max;
	if (c->limit < c->min)
		c->limit = c->min;
}

void adaptive_limit_init(struct adaptive_limit *c, uint32_t min, uint32_t max)
{
	*c = (struct adaptive_limit){ .min = min ? min : 1 };
	c->max = max < c->min ? c->min : max;
	c->limit = c->max;
}

void adaptive_limit_set_max(struct adaptive_limit *c, uint32_t max)
{
	/* A limit at the old maximum may grow with it: nothing held it down. */
	int at_max = c->limit >= c->max;

	c->max = max < c->min ? c->min : max;
	if (at_max)
		c->limit = c->max;
	clamp_limit(c);
}

static void reset_cuts(struct adaptive_limit *c)
{
	c->limit_before_cuts = 0;
	c->worst_mean_us = 0;
	c->cuts = 0;
}

/*
 * If requests queue at the target, its latency falls in proportion to the
 * limit. If it has fallen by less than half of that after some cuts, the
 * target itself has become slow.
 */
static int are_cuts_ineffective(const struct adaptive_limit *c, double mean)
{
	double part = (1 + c->limit / c->worst_limit) / 2;

	return c->cuts >= ADAPTIVE_LIMIT_MIN_CUTS &&
	       mean > part * c->worst_mean_us;
}

static void cut_limit(struct adaptive_limit *c, double mean)
{
	if (c->limit_before_cuts == 0)
		c->limit_before_cuts = c->limit;
	if (mean > ADAPTIVE_LIMIT_NOISE * c->worst_mean_us) {
		c->worst_mean_us = mean;
		c->worst_limit = c->limit;
		c->cuts = 0;
	}
	if (are_cuts_ineffective(c, mean)) {
		c->baseline_us = mean;
		c->limit = c->limit_before_cuts;
		reset_cuts(c);
		return;
	}
	c->cuts++;
	c->limit *= ADAPTIVE_LIMIT_CUT_FACTOR;
}

static void end_window(struct adaptive_limit *c)
{
	double mean = c->window_sum_us / c->window_count;

	if (c->baseline_us == 0 || mean < c->baseline_us)
		c->baseline_us = mean;
	else
		c->baseline_us +=
			ADAPTIVE_LIMIT_BASELINE_DRIFT * (mean - c->baseline_us);
	if (mean > ADAPTIVE_LIMIT_TOLERANCE * c->baseline_us) {
		cut_limit(c, mean);
	} else {
		reset_cuts(c);
		if (c->window_peak + 1 >= c->limit)
			c->limit += c->limit > 1 / ADAPTIVE_LIMIT_GROWTH
					    ? ADAPTIVE_LIMIT_GROWTH * c->limit
					    : 1;
	}
	clamp_limit(c);
	c->window_sum_us = 0;
	c->window_count = 0;
	c->window_peak = 0;
}

void adaptive_limit_sample(struct adaptive_limit *c, uint64_t latency_us,
			   uint32_t in_flight, int shed)
{
	if (shed) {
		/* Refusals are fast, so their latency is not counted. */
		c->limit *= ADAPTIVE_LIMIT_CUT_FACTOR;
		clamp_limit(c);
		return;
	}
	c->window_sum_us += (double)latency_us;
	c->window_count++;
	if (in_flight > c->window_peak)
		c->window_peak = in_flight;
	if (c->window_count >= ADAPTIVE_LIMIT_WINDOW)
		end_window(c);
}

uint32_t adaptive_limit_get(const struct adaptive_limit *c)
{
	return (uint32_t)c->limit;
}
