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

static void clamp_limit(struct adaptive_limit *a)
{
	if (a->limit > a->max)
		a->limit = a->max;
	if (a->limit < a->min)
		a->limit = a->min;
}

void adaptive_limit_init(struct adaptive_limit *a, uint32_t min, uint32_t max)
{
	*a = (struct adaptive_limit){ .min = min ? min : 1 };
	a->max = max < a->min ? a->min : max;
	a->limit = a->max;
}

void adaptive_limit_set_max(struct adaptive_limit *a, uint32_t max)
{
	/* A limit at the old maximum may grow with it: nothing held it down. */
	int at_max = a->limit >= a->max;

	a->max = max < a->min ? a->min : max;
	if (at_max)
		a->limit = a->max;
	clamp_limit(a);
}

static void reset_cuts(struct adaptive_limit *a)
{
	a->limit_before_cuts = 0;
	a->worst_mean_us = 0;
	a->cuts = 0;
}

/*
 * If requests queue at the target, its latency falls in proportion to the
 * limit. If it has fallen by less than half of that after some cuts, the
 * target itself has become slow.
 */
static int are_cuts_ineffective(const struct adaptive_limit *a, double mean)
{
	double part = (1 + a->limit / a->worst_limit) / 2;

	return a->cuts >= ADAPTIVE_LIMIT_MIN_CUTS &&
	       mean > part * a->worst_mean_us;
}

static void cut_limit(struct adaptive_limit *a, double mean)
{
	if (a->limit_before_cuts == 0)
		a->limit_before_cuts = a->limit;
	if (mean > ADAPTIVE_LIMIT_NOISE * a->worst_mean_us) {
		a->worst_mean_us = mean;
		a->worst_limit = a->limit;
		a->cuts = 0;
	}
	if (are_cuts_ineffective(a, mean)) {
		a->baseline_us = mean;
		a->limit = a->limit_before_cuts;
		reset_cuts(a);
		return;
	}
	a->cuts++;
	a->limit *= ADAPTIVE_LIMIT_CUT_FACTOR;
}

static void end_window(struct adaptive_limit *a)
{
	double mean = a->window_sum_us / a->window_count;

	if (a->baseline_us == 0 || mean < a->baseline_us)
		a->baseline_us = mean;
	else
		a->baseline_us +=
			ADAPTIVE_LIMIT_BASELINE_DRIFT * (mean - a->baseline_us);
	if (mean > ADAPTIVE_LIMIT_TOLERANCE * a->baseline_us) {
		cut_limit(a, mean);
	} else {
		reset_cuts(a);
		if (a->window_peak + 1 >= a->limit)
			a->limit += a->limit > 1 / ADAPTIVE_LIMIT_GROWTH
					    ? ADAPTIVE_LIMIT_GROWTH * a->limit
					    : 1;
	}
	clamp_limit(a);
	a->window_sum_us = 0;
	a->window_count = 0;
	a->window_peak = 0;
}

void adaptive_limit_sample(struct adaptive_limit *a, uint64_t latency_us,
			   uint32_t in_flight, int shed)
{
	if (shed) {
		/* Refusals are fast, so their latency is not counted. */
		a->limit *= ADAPTIVE_LIMIT_CUT_FACTOR;
		clamp_limit(a);
		return;
	}
	a->window_sum_us += (double)latency_us;
	a->window_count++;
	if (in_flight > a->window_peak)
		a->window_peak = in_flight;
	if (a->window_count >= ADAPTIVE_LIMIT_WINDOW)
		end_window(a);
}

uint32_t adaptive_limit_get(const struct adaptive_limit *a)
{
	return (uint32_t)a->limit;
}
