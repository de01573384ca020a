#include "limits/adaptive_limit.h"

/* Queueing at the target, as a multiple of the base, that is accepted. */
#define ADAPTIVE_LIMIT_TOLERANCE 1.3
#define ADAPTIVE_LIMIT_FALL 0.8
/* Growth by window once the limit is used. */
#define ADAPTIVE_LIMIT_RISE 0.1
/* A base that was too low, or is out of date, is forgotten slowly. */
#define ADAPTIVE_LIMIT_BASE_DRIFT 0.01
/* With fewer falls, the noise of a window is as large as their effect. */
#define ADAPTIVE_LIMIT_FALLS 3
/* Windows differ by less than this without cause. */
#define ADAPTIVE_LIMIT_NOISE 1.15

static void clamp(struct adaptive_limit *c)
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
	/* A limit at the old maximum was never tested above it. */
	int at_max = c->limit >= c->max;

	c->max = max < c->min ? c->min : max;
	if (at_max)
		c->limit = c->max;
	clamp(c);
}

static void end_falls(struct adaptive_limit *c)
{
	c->top = 0;
	c->worst_us = 0;
	c->falls = 0;
}

/*
 * Against queueing, answers get shorter like the limit. Less than half of
 * that after some falls: not queueing, but a target that has become slow.
 */
static int is_futile(const struct adaptive_limit *c, double mean)
{
	double part = (1 + c->limit / c->from) / 2;

	return c->falls >= ADAPTIVE_LIMIT_FALLS && mean > part * c->worst_us;
}

static void fall(struct adaptive_limit *c, double mean)
{
	if (c->top == 0)
		c->top = c->limit;
	if (mean > ADAPTIVE_LIMIT_NOISE * c->worst_us) {
		c->worst_us = mean;
		c->from = c->limit;
		c->falls = 0;
	}
	if (is_futile(c, mean)) {
		c->base_us = mean;
		c->limit = c->top;
		end_falls(c);
		return;
	}
	c->falls++;
	c->limit *= ADAPTIVE_LIMIT_FALL;
}

static void end_window(struct adaptive_limit *c)
{
	double mean = c->sum_us / c->count;

	if (c->base_us == 0 || mean < c->base_us)
		c->base_us = mean;
	else
		c->base_us += ADAPTIVE_LIMIT_BASE_DRIFT * (mean - c->base_us);
	if (mean > ADAPTIVE_LIMIT_TOLERANCE * c->base_us) {
		fall(c, mean);
	} else {
		end_falls(c);
		if (c->peak + 1 >= c->limit)
			c->limit += c->limit > 1 / ADAPTIVE_LIMIT_RISE
					    ? ADAPTIVE_LIMIT_RISE * c->limit
					    : 1;
	}
	clamp(c);
	c->sum_us = 0;
	c->count = 0;
	c->peak = 0;
}

void adaptive_limit_sample(struct adaptive_limit *c, uint64_t latency_us,
			   uint32_t in_flight, int shed)
{
	if (shed) {
		/* A refusal is quick; its latency says nothing. */
		c->limit *= ADAPTIVE_LIMIT_FALL;
		clamp(c);
		return;
	}
	c->sum_us += (double)latency_us;
	c->count++;
	if (in_flight > c->peak)
		c->peak = in_flight;
	if (c->count >= ADAPTIVE_LIMIT_WINDOW)
		end_window(c);
}

uint32_t adaptive_limit_get(const struct adaptive_limit *c)
{
	return (uint32_t)c->limit;
}
