#ifndef ROUTING_VIEW_H
#define ROUTING_VIEW_H

#include "common/cnt.h"
#include "config/doc.h"
#include "routing/map.h"

#include <stdint.h>

/*
 * Read-only interface through which the code that handles requests sees the
 * node's cluster state: the current map and document, and whether the node may
 * serve or route. Returned pointers are valid until control returns to the
 * event loop.
 */

struct view;

struct view_ops {
	/* Returns the current map, never NULL; it is empty at first. */
	const struct map *(*map)(struct view *v);
	/* Returns NULL until the first document has been received. */
	const struct doc *(*doc)(struct view *v);
	/* Returns the id of this node, 0 until it has joined the cluster. */
	uint32_t (*self)(struct view *v);
	/*
	 * Checks whether this node may serve the slot at now_ns, in
	 * nanoseconds of CLOCK_BOOTTIME. On ERR_OK, *fence is the slot's fence
	 * and *not_after_ns the time after which no request may start, which is
	 * INT64_MAX during an unbounded hold. Errors:
	 *  - ERR_NOT_OWNER: the map names another owner or none.
	 *  - ERR_NO_GRANT: the right to serve has run out.
	 *  - ERR_STALE: the map is older than the grant requires.
	 */
	enum err (*may_serve)(struct view *v, uint32_t slot, int64_t now_ns,
			      uint64_t *fence, int64_t *not_after_ns);
	/*
	 * Checks whether this node may route requests of callers. Returns
	 * ERR_STALE if it has not joined, has no document, or if map and
	 * document have not been confirmed for limits.stale_ms.
	 */
	enum err (*may_route)(struct view *v, int64_t now_ms);
	/*
	 * Returns 1 if operators are emptying this data centre: its targets get
	 * no requests and own no keys until they take the order back.
	 */
	int (*data_centre_is_drained)(struct view *v, const char *data_centre);
};

struct view {
	const struct view_ops *ops; /* first member */
};

#endif
