#ifndef PLACEMENT_RANGES_H
#define PLACEMENT_RANGES_H

#include "placement/place.h"

/*
 * Placement for a service whose keys are numbers. Its slots are consecutive
 * ranges of keys, and a target is told which keys it owns as rows: one row for
 * each run of neighbouring slots. The answer that tells it has room for a
 * limited number of rows. Slots are therefore assigned and moved in blocks of
 * neighbours, which are longer the fewer targets there are; each target gets a
 * part of the load by its capacity. To balance the load, blocks are moved one
 * by one, the one with the highest load first. There is no clock: times are
 * arguments, in milliseconds of one clock.
 */

/*
 * Rows of one target that the first assignment aims at. The answer to a
 * target's announcement of itself has at most 4 KiB; a row takes about 22
 * bytes, and one with a handover about 40.
 */
#define RANGES_ROWS_PER_TARGET 90
/* A target with this many rows gets no more slots to balance the load. */
#define RANGES_MAX_ROWS 140
/*
 * Most slots moved in one pass to balance the load: RANGES_MIN_MOVES, one of
 * RANGES_SLOTS_PER_MOVE slots or RANGES_MOVES_PER_TARGET for each target,
 * whichever is most. A slot is not served while it moves, and its keys are slow
 * at first at the new target, so the bound is a part of the keys. Without the
 * bound by targets, a hundred targets that return without slots would stay
 * nearly idle for a minute.
 */
#define RANGES_MIN_MOVES 6
#define RANGES_SLOTS_PER_MOVE 85
#define RANGES_MOVES_PER_TARGET 1
/*
 * Load of the busiest target, relative to its fair share, above which slots
 * are moved and at which moving stops. The gap keeps noise in the load reports
 * from moving slots back and forth.
 */
#define RANGES_MOVE_ABOVE 1.25
#define RANGES_MOVE_UNTIL 1.08
/*
 * Part of the mean load that is added to each slot's load, so that slots
 * without requests are spread over the targets, too.
 */
#define RANGES_MIN_LOAD_PART 0.1
/* Shortest time between two passes that move slots to balance the load. */
#define RANGES_BALANCE_MS 1500

struct ranges {
	int64_t balanced_ms; /* time of the last pass that balanced the load */
};

/*
 * Decides on the moves of one pass and writes them to `out`, which is emptied
 * first. slots: all slots of the service, in the order of their keys; their
 * slot, owner, to, load and held are used. place_node.capacity is the requests
 * per second that the target can answer, in any unit. Forced moves (unowned,
 * lost, drain, assign) come first. A slot that is being released to a node
 * that can serve is not moved again. out->peak_to_mean is the load of the
 * busiest target, relative to its fair share and before slots are moved to
 * balance the load; 0 if there are no two targets to move slots between.
 * Returns ERR_OK, or ERR_NOMEM with no moves.
 */
enum err ranges_pass(struct ranges *r, const struct place_node *nodes,
		     size_t node_count, const struct place_slot *slots,
		     size_t slot_count, int64_t now_ms,
		     struct place_moves *out);

/* Counts the rows of the node: returns the number of runs of neighbouring slots
 * that the node owns. */
size_t ranges_rows(const struct place_slot *slots, size_t count, uint32_t node);

#endif
