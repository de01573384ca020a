#ifndef LIMITS_PULL_H
#define LIMITS_PULL_H

#include <stddef.h>
#include <stdint.h>

/*
 * Large bodies for this node: those that other nodes have offered, and those
 * that they were asked to send now. A few at a time keep a thin line busy;
 * more would only make what is small wait behind them. Pure: the time is an
 * argument, in milliseconds of one clock.
 *
 * Invariant: under_way_bytes <= window, or one body is under way.
 */

/*
 * Time that the bodies under way take on the line: two of 50 kB on 11 Mbit/s.
 * At 110 ms, bodies gained as much as the small requests beside them lost.
 */
#define PULL_WINDOW_MS 80
/* A body that was asked for and has not come: its sender is gone. */
#define PULL_OVERDUE_MS 3000

/* Embedded in the caller's record. */
struct pull_item {
	uint64_t attempt;
	size_t bytes;
	int64_t deadline_ms;
	int64_t requested_ms; /* 0: it waits */
	struct pull_item *prev;
	struct pull_item *next;
};

struct pull {
	double kbps; /* of the line; 0: not known, nothing waits */
	size_t window;
	size_t waiting_bytes;
	size_t in_flight_bytes;
	struct pull_item *items; /* in the order of the offers */
};

void pull_init(struct pull *p, uint32_t link_kbps);
/* Expected time until a body of so many bytes is here, offered now. */
int64_t pull_wait_ms(const struct pull *p, size_t bytes);
void pull_add(struct pull *p, struct pull_item *item);
/* The next body to ask for, now under way; NULL if the line is taken. */
struct pull_item *pull_next(struct pull *p, int64_t now_ms);
struct pull_item *pull_find(const struct pull *p, uint64_t attempt);
/* An offer or body whose time is over; still to be removed. NULL: none. */
struct pull_item *pull_overdue(const struct pull *p, int64_t now_ms);
/* It has come, or will not. */
void pull_remove(struct pull *p, struct pull_item *item);

#endif
