#ifndef LIMITS_RETURN_ORDER_H
#define LIMITS_RETURN_ORDER_H

#include <stdint.h>

/*
 * Tells refused callers when to come back, so that those refused at one moment
 * return at the rate at which requests can be served. The next seconds are
 * divided into slices; each refused request gets the first slice in which the
 * work of those told to return then leaves room for its own. A request with
 * more work than a slice has room for begins in the first one with room left,
 * and takes that of the slices after it. Work is counted in units that the
 * caller chooses, e.g. milliseconds of a place to run.
 *
 * The module has no clock: the time is an argument, in milliseconds of one
 * clock.
 */

#define RETURN_ORDER_SLICE_MS 50
/* Callers are told at most this number of slices ahead: 10 s. */
#define RETURN_ORDER_SLICES 200
/* Earlier, what made the refusal necessary has hardly changed. */
#define RETURN_ORDER_MIN_MS 200
/* Part of the time that a caller has left for which it is told to wait. */
#define RETURN_ORDER_WAIT_PART (1. / 3)
/*
 * Part of each slice that only priority 0 may take, and the part that the
 * priorities from 2 on leave to 0 and 1.
 */
#define RETURN_ORDER_RESERVED 0.15
#define RETURN_ORDER_RESERVED_LOW 0.3

/*
 * Least part of a slice that must be free for a request that takes more than
 * one: rounding errors are no room.
 */
#define RETURN_ORDER_MIN_BEGIN 0.01

struct return_order {
	int64_t slice;			  /* number of the present slice */
	double work[RETURN_ORDER_SLICES]; /* of those told, by slice number */
};

/* A refused request. */
struct return_request {
	double work;	      /* that it takes */
	double service_ms;    /* time that it takes once it runs; 0: unknown */
	uint32_t earliest_ms; /* from now; there is certainly no room before */
	uint32_t priority;    /* 0 is the highest */
	int64_t left_ms;      /* until its time limit */
};

void return_order_init(struct return_order *r);
/*
 * Returns the time in milliseconds after which the caller should come back, and
 * counts its work there; 0 if it would then probably not be served: there is no
 * room within RETURN_ORDER_WAIT_PART of the time left, or not enough time after
 * that. work_per_ms: the work that is done in a millisecond.
 */
uint32_t return_order_assign(struct return_order *r,
			     const struct return_request *q, double work_per_ms,
			     int64_t now_ms);

#endif
