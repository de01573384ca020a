#ifndef LIMITS_PULL_H
#define LIMITS_PULL_H

#include <stddef.h>
#include <stdint.h>

/*
 * Flow control by the receiver for large request bodies. Another node first
 * offers a body; this node asks for it (pulls it) when the link has room.
 * A few bodies in flight keep a slow link busy; more would only delay the
 * small messages behind them. The module has no clock: the time is an
 * argument, in milliseconds of one clock and greater than 0.
 *
 * Invariant: in_flight_bytes <= window, or one body is in flight. With an
 * unknown bandwidth there is no window.
 */

/*
 * Time that the bodies in flight take on the link: two of 50 kB at 11 Mbit/s.
 * At 110 ms, small requests lost as much as the bodies gained.
 */
#define PULL_WINDOW_MS 80
/* When a requested body has not arrived after this time, its sender is gone. */
#define PULL_OVERDUE_MS 3000

/* One offered body, embedded in the caller's record of it. */
struct pull_item {
	uint64_t attempt; /* id of the attempt that the body belongs to */
	size_t bytes;
	int64_t deadline_ms;
	int64_t requested_ms; /* 0: not requested yet */
	struct pull_item *prev;
	struct pull_item *next;
};

struct pull {
	double kbps; /* of the link, kbit/s; 0: unknown, no body waits */
	size_t window;
	size_t waiting_bytes;
	size_t in_flight_bytes;
	struct pull_item *items; /* in the order of the offers */
};

/* link_kbps: bandwidth of this node's link in kbit/s; 0: unknown. */
void pull_init(struct pull *p, uint32_t link_kbps);
/*
 * Returns the expected time in milliseconds until a body of this size would
 * have arrived if it were offered now; 0 with an unknown bandwidth.
 */
int64_t pull_wait_ms(const struct pull *p, size_t bytes);
/*
 * Adds an offer; the caller has set attempt, bytes and deadline_ms. The item
 * must stay valid until pull_remove.
 */
void pull_add(struct pull *p, struct pull_item *item);
/*
 * Returns the next body to request, which then counts as in flight; NULL if
 * none waits or the window has no room.
 */
struct pull_item *pull_next(struct pull *p, int64_t now_ms);
/* Returns the item of this attempt, or NULL. */
struct pull_item *pull_find(const struct pull *p, uint64_t attempt);
/*
 * Returns an item whose deadline has passed or whose body is overdue, or NULL.
 * The caller still has to remove it.
 */
struct pull_item *pull_overdue(const struct pull *p, int64_t now_ms);
/* Removes an item whose body has arrived or will not arrive. */
void pull_remove(struct pull *p, struct pull_item *item);

#endif
