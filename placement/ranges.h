#ifndef PLACEMENT_RANGES_H
#define PLACEMENT_RANGES_H

#include "placement/place.h"

/*
 * Assignment of a service whose keys are numbers: its slots are consecutive
 * ranges, and a target is told what it holds as rows of ranges, of which one
 * answer has room for a limited number. Slots are therefore given out in runs
 * of neighbours, each target a part by its measured capacity, and slots are
 * moved for balance one by one, the heaviest first. Pure.
 */

/*
 * Rows of one target. An answer to an announcement has at most 4 KiB; a row
 * takes about 22 bytes, and one with a handover about 40.
 */
#define RANGES_ROWS_PER_TARGET 90
/* A target with so many gets no slot for balance. */
#define RANGES_MAX_ROWS 140
/* Slots moved for balance in one pass; a moved slot is unserved meanwhile. */
#define RANGES_MAX_MOVES 6
/*
 * Load of the busiest target over its share at which slots are moved, and at
 * which moving stops. The gap keeps noise in the load reports from moving
 * slots back and forth.
 */
#define RANGES_MOVE_ABOVE 1.25
#define RANGES_MOVE_UNTIL 1.08
/* Part of the mean load that a slot counts with when nobody asks for it. */
#define RANGES_MIN_LOAD_PART 0.1
/* Shortest time between two passes that move for balance. */
#define RANGES_BALANCE_MS 1500

struct ranges {
	int64_t balanced_ms; /* of the last pass that moved for balance */
};

/*
 * slots are those of the service, in the order of their keys; place_slot.to,
 * held, load and owner are used. place_node.capacity is requests per second
 * in any unit. Forced moves (unowned, lost, drain) come first.
 */
enum err ranges_pass(struct ranges *r, const struct place_node *nodes,
		     size_t node_count, const struct place_slot *slots,
		     size_t slot_count, int64_t now_ms,
		     struct place_moves *out);

/* Rows that the node's slots make when neighbours are joined. */
size_t ranges_rows(const struct place_slot *slots, size_t count, uint32_t node);

#endif
