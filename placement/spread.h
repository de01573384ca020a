#ifndef PLACEMENT_SPREAD_H
#define PLACEMENT_SPREAD_H

#include <stddef.h>

/*
 * Choice among targets whose reported loads are old: two targets are drawn at
 * random by their capacity, and the one with the lower expected cost is taken.
 * Many nodes that have seen the same reports thus share the targets instead of
 * all choosing the one that looks best. Targets that are farther away are drawn
 * only as far as the nearer ones are filled.
 */

/* Distances by which targets are drawn together, from 0 (nearest). */
#define SPREAD_RINGS 3

/* One target that may be chosen. */
struct spread_option {
	unsigned ring;
	double cost_ms;	    /* expected, distance included */
	double distance_ms; /* part of cost_ms for the distance */
	double latency_ms;  /* of an answer without a queue; above 0 */
	/* Part of cost_ms for failures, refusals, a slow path, a cold start. */
	double penalty_ms;
	double places; /* requests that may run at a time; above 0 */
	double load;   /* expected requests, running and queued */
	double weight; /* set by spread_choose */
};

/*
 * Returns the index of the chosen option; SIZE_MAX if count is 0. random is in
 * [0, 1) and determines the choice.
 */
size_t spread_choose(struct spread_option *options, size_t count,
		     double random);

#endif
