#include "limits/return_order.h"

#include <string.h>

void return_order_init(struct return_order *r)
{
	memset(r, 0, sizeof(*r));
}

/* Forgets the slices that have passed. */
static void advance(struct return_order *r, int64_t now_ms)
{
	int64_t slice = now_ms / RETURN_ORDER_SLICE_MS;

	if (slice - r->slice >= RETURN_ORDER_SLICES) {
		memset(r->work, 0, sizeof(r->work));
		r->slice = slice;
	}
	for (; r->slice < slice; r->slice++)
		r->work[r->slice % RETURN_ORDER_SLICES] = 0;
}

/* Part of a slice that requests of this priority may take. */
static double part_for(uint32_t priority)
{
	if (priority == 0)
		return 1;
	return 1 - (priority == 1 ? RETURN_ORDER_RESERVED
				  : RETURN_ORDER_RESERVED_LOW);
}

/* Does a slice with this much work have room for a request, or its begin? */
static int has_room(double work, double request, double usable)
{
	/* Without any room, one request in each slice finds out when it is. */
	if (usable <= 0)
		return work <= 0;
	if (request > usable)
		return work + RETURN_ORDER_MIN_BEGIN * usable < usable;
	return work + request <= usable;
}

/*
 * Adds a request to slice s. What does not fit takes the room of the slices
 * after it.
 */
static void add_work(struct return_order *r, int64_t s, double request,
		     double usable)
{
	int64_t end = r->slice + RETURN_ORDER_SLICES;

	if (request <= usable || usable <= 0) {
		r->work[s % RETURN_ORDER_SLICES] += request;
		return;
	}
	for (; s < end && request > 0; s++) {
		double *work = &r->work[s % RETURN_ORDER_SLICES];
		double part = usable - *work;

		if (part <= 0)
			continue;
		if (part > request)
			part = request;
		*work += part;
		request -= part;
	}
}

uint32_t return_order_assign(struct return_order *r,
			     const struct return_request *q, double work_per_ms,
			     int64_t now_ms)
{
	double room = work_per_ms * RETURN_ORDER_SLICE_MS;
	double usable = room * part_for(q->priority);
	double latest = (double)q->left_ms * RETURN_ORDER_WAIT_PART;
	uint32_t earliest = q->earliest_ms < RETURN_ORDER_MIN_MS
				    ? RETURN_ORDER_MIN_MS
				    : q->earliest_ms;
	int64_t first = (now_ms + earliest + RETURN_ORDER_SLICE_MS - 1) /
			RETURN_ORDER_SLICE_MS;

	advance(r, now_ms);
	if (latest + q->service_ms > (double)q->left_ms)
		latest = (double)q->left_ms - q->service_ms;
	for (int64_t s = first; s < r->slice + RETURN_ORDER_SLICES; s++) {
		double work = r->work[s % RETURN_ORDER_SLICES];
		/* Callers of one slice are spread over it. */
		double at =
			(double)(s * RETURN_ORDER_SLICE_MS - now_ms) +
			(room > 0 ? RETURN_ORDER_SLICE_MS * work / room : 0);

		if (at > latest)
			return 0;
		if (!has_room(work, q->work, usable))
			continue;
		add_work(r, s, q->work, usable);
		return (uint32_t)at;
	}
	return 0;
}
