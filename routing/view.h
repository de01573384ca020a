#ifndef ROUTING_VIEW_H
#define ROUTING_VIEW_H

#include "common/cnt.h"
#include "config/doc.h"
#include "routing/map.h"

#include <stdint.h>

/*
 * What the request path may see of the member's state: the current map and
 * document, and the answers of the ownership module. The pointers stay valid
 * until control returns to the event loop.
 */

struct view;

struct view_ops {
	const struct map *(*map)(struct view *v);
	/* NULL until the first document has come. */
	const struct doc *(*doc)(struct view *v);
	/* Id of this node, 0 until it has joined. */
	uint32_t (*self)(struct view *v);
	/*
	 * May this node serve the slot now? ERR_OK fills fence and
	 * not_after_ns (CLOCK_BOOTTIME; INT64_MAX during a hold). Else
	 * ERR_NO_GRANT, ERR_NOT_OWNER or ERR_STALE (map below the floor).
	 */
	enum err (*may_serve)(struct view *v, uint32_t slot, int64_t now_ns,
			      uint64_t *fence, int64_t *not_after_ns);
	/*
	 * May this node route requests of callers? ERR_STALE: map and
	 * document have not been confirmed for limits.stale_ms.
	 */
	enum err (*may_route)(struct view *v, int64_t now_ms);
};

struct view {
	const struct view_ops *ops; /* first member */
};

#endif
