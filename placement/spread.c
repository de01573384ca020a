#include "placement/spread.h"

#include <math.h>
#include <stdint.h>

/*
 * Traffic to the outermost ring costs the most; it gets only what the others
 * have no room for.
 */
#define OUTER_RING (SPREAD_RINGS - 1)
/*
 * Requests per place, with the new one, from which on targets of the outermost
 * ring are drawn if the nearer ones have four or more places each. In
 * bench/spread.c at 0.9 of the capacity, 1 sent half as much again to other
 * regions, for no shorter queues.
 */
#define SPREAD_FULL 1.25
/*
 * A ring is drawn with a probability that grows from 0 to 1 while the nearer
 * rings fill by this part of their places. If it were a step, all nodes would
 * cross it together.
 */
#define SPREAD_FILL_RANGE 0.5
/* Differences between rings below this part of the places are noise. */
#define SPREAD_FILL_NOISE 0.05
/*
 * Expected time in queue, in latencies, of a request that finds one request too
 * many for each place; as selector.c weighs it.
 */
#define SPREAD_QUEUE_FACTOR 3.0

/* Sums over the targets of one ring, or of several. */
struct ring {
	double weight;
	double fill; /* sum of weight x requests per place, with the new one */
	double arriving;	     /* the part of fill for the new request */
	double places;		     /* sum of weight x latency */
	double weighted_distance_ms; /* sum of weight x distance */
};

/* The n-th of the random numbers that are derived from one. */
static double derive_random(double random, unsigned n)
{
	static const double factors[] = { 1, 997, 99991 };

	return fmod(random * factors[n], 1.);
}

/*
 * The weight is the capacity. It falls with the square of the penalty, so that
 * few targets that fail do not make their whole ring look full.
 */
static double weigh(const struct spread_option *o)
{
	double usable = o->latency_ms / (o->latency_ms + o->penalty_ms);

	return o->places / o->latency_ms * usable * usable;
}

static void add_to_ring(struct ring *r, const struct spread_option *o)
{
	double fill = (o->load + 1) / o->places + o->penalty_ms / o->latency_ms;

	r->weight += o->weight;
	r->fill += o->weight * fill;
	r->arriving += o->weight / fmax(o->places, 1);
	r->places += o->weight * o->latency_ms;
	r->weighted_distance_ms += o->weight * o->distance_ms;
}

static void merge_ring(struct ring *r, const struct ring *other)
{
	r->weight += other->weight;
	r->fill += other->fill;
	r->arriving += other->arriving;
	r->places += other->places;
	r->weighted_distance_ms += other->weighted_distance_ms;
}

/*
 * Returns the fill from which on a request waits at the nearer targets for as
 * long as the way to the next ring takes, plus SPREAD_FILL_NOISE.
 */
static double distance_fill(const struct ring *near, const struct ring *next)
{
	double ms = next->weighted_distance_ms / next->weight -
		    near->weighted_distance_ms / near->weight;
	double latency_ms = near->places / near->weight;

	return fmax(ms, 0) / (SPREAD_QUEUE_FACTOR * latency_ms) +
	       SPREAD_FILL_NOISE;
}

/*
 * Fill from which on targets of the outermost ring are drawn. Targets with few
 * places reach SPREAD_FULL with the new request although they have room for it.
 */
static double full_from(const struct ring *near)
{
	return fmax(SPREAD_FULL, 1 + near->arriving / near->weight);
}

/* Probability with which the next ring is drawn along with the nearer ones. */
static double next_ring_probability(const struct ring *near,
				    const struct ring *next, int outer)
{
	double from = distance_fill(near, next);

	if (outer)
		from = fmax(full_from(near), next->fill / next->weight + from);
	return (near->fill / near->weight - from) / SPREAD_FILL_RANGE;
}

/* Returns the outermost ring that is drawn. */
static unsigned choose_outermost(const struct ring *rings, double random)
{
	struct ring near = { 0 };
	unsigned last = 0;

	for (unsigned i = 0; i < SPREAD_RINGS; i++) {
		if (rings[i].weight <= 0)
			continue;
		if (near.weight > 0 &&
		    random >= next_ring_probability(&near, &rings[i],
						    i == OUTER_RING))
			break;
		merge_ring(&near, &rings[i]);
		last = i;
	}
	return last;
}

/* Draws an option by weight; skipped: index that is not drawn, or SIZE_MAX. */
static size_t draw(const struct spread_option *options, size_t count,
		   unsigned last, size_t skipped, double random)
{
	size_t drawn = SIZE_MAX;
	double left = 0;

	for (size_t i = 0; i < count; i++) {
		if (options[i].ring <= last && i != skipped)
			left += options[i].weight;
	}
	left *= random;
	for (size_t i = 0; i < count; i++) {
		if (options[i].ring > last || i == skipped)
			continue;
		drawn = i;
		left -= options[i].weight;
		if (left < 0)
			break;
	}
	return drawn;
}

size_t spread_choose(struct spread_option *options, size_t count, double random)
{
	struct ring rings[SPREAD_RINGS] = { 0 };
	unsigned last;
	size_t first;
	size_t second;

	for (size_t i = 0; i < count; i++) {
		options[i].weight = weigh(&options[i]);
		add_to_ring(&rings[options[i].ring], &options[i]);
	}
	last = choose_outermost(rings, derive_random(random, 0));
	first = draw(options, count, last, SIZE_MAX, derive_random(random, 1));
	second = draw(options, count, last, first, derive_random(random, 2));
	if (second == SIZE_MAX)
		return first;
	return options[second].cost_ms < options[first].cost_ms ? second
								: first;
}
