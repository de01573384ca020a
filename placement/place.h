#ifndef PLACEMENT_PLACE_H
#define PLACEMENT_PLACE_H

#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Assignment of the slots of one service to its nodes. Pure: one call of
 * place_pass decides on one snapshot; the caller carries the moves out and
 * keeps struct place between the calls. The result depends on the input
 * only; the order of nodes and slots matters no more than the rounding of
 * sums.
 *
 * Forced moves (unowned, lost, drain, assign) come first in the list and use
 * no budget. Voluntary ones (imbalance, pin) use the budget: no 60 s have
 * more than moves_per_minute of them.
 */

enum place_node_state {
	PLACE_LIVE,
	PLACE_DRAINING,	  /* planned stop or announced leave */
	PLACE_LOST,	  /* its grant has expired */
	PLACE_RESTARTING, /* keeps its slots until deadline_ms, then lost */
};

struct place_node {
	uint32_t id;
	double capacity; /* announced concurrency */
	/*
	 * Slow start, from judge: the node gets new slots as if it had this
	 * part of its capacity, and keeps what it has. 0 counts as 1.
	 */
	double weight;
	uint32_t region; /* any number; slots rather stay in a region */
	uint32_t data_centre;
	enum place_node_state state;
	int64_t deadline_ms; /* when restarting: silent since + grace */
	int eligible;	     /* the document lets it serve this service */
};

struct place_slot {
	uint32_t slot;
	uint32_t owner; /* node id, 0 none */
	uint32_t to;	/* node id it is being released for, 0 none */
	double load;	/* moving average; any unit, the same for all */
	int held;	/* owner may be in hold: never moved */
	int is_pin;
	/*
	 * Nodes the document fixes this slot to (assign range or pin), ids;
	 * none: any eligible node. If none of them can serve, any eligible
	 * node gets the slot until one of them can.
	 */
	const uint32_t *fixed;
	size_t fixed_count;
};

struct place_policy {
	double weight_churn;
	double weight_imbalance;
	double max_peak_to_mean;
	uint32_t moves_per_minute;
	uint32_t auto_pins;
};

enum place_cause {
	PLACE_UNOWNED,
	PLACE_NODE_LOST,
	PLACE_DRAIN,
	PLACE_ASSIGN, /* owner is not in the fixed list, or not eligible */
	PLACE_IMBALANCE,
	PLACE_PIN, /* imbalance, of a pinned key */
};

struct place_move {
	uint32_t slot;
	uint32_t from; /* node id, 0 none */
	uint32_t to;
	enum place_cause cause;
};

struct place_moves {
	struct place_move *items;
	size_t count;
	size_t cap;
	double peak_to_mean; /* of the usable nodes, after the moves */
	size_t unplaced;     /* slots without any usable node */
};

#define PLACE_BUDGET_MS 5000
#define PLACE_BUDGET_PERIODS 13 /* the current one and the last 60 s */

/* State between the passes for one service: voluntary moves made lately. */
struct place {
	int64_t started_ms;
	int64_t period; /* number of the current one */
	uint32_t made[PLACE_BUDGET_PERIODS];
};

/*
 * The budget grows from nothing to moves_per_minute in the first minute: a
 * new coordinator knows neither the loads nor its predecessor's moves.
 */
void place_init(struct place *p, int64_t now_ms);

void place_moves_init(struct place_moves *m);
void place_moves_finish(struct place_moves *m);

/* Stable lower-case name for logs, e.g. "imbalance". */
const char *place_cause_name(enum place_cause cause);

/*
 * Decides on the moves; `out` is emptied first. A slot with `to` set is not
 * moved unless that node can no longer serve; then its move names another
 * destination, which is the owner itself if no other node is left.
 * ERR_NOMEM: no moves.
 */
enum err place_pass(struct place *p, const struct place_policy *policy,
		    const struct place_node *nodes, size_t node_count,
		    const struct place_slot *slots, size_t slot_count,
		    int64_t now_ms, struct place_moves *out);

/*
 * Average of a slot's or key's load. `report` is the new figure, and one unit
 * of load stands for `count` requests in it: a change beyond the error of
 * such counts starts the average anew, a smaller one is averaged over up to
 * thirty reports.
 */
struct place_average {
	double load;
	uint32_t reports; /* since the last change */
};

void place_average_update(struct place_average *a, double report, double count);

/*
 * Pins. The caller passes every key that the nodes' sketches reported and
 * every pinned key, once each (load 0 if not reported). A new pin starts on
 * the owner of the key's shard; the next pass may move it.
 */
struct place_key {
	uint64_t hash;
	double load; /* unit of place_slot.load */
	int pinned;
	int fixed;	       /* pinned by the document: never dropped */
	int64_t cold_since_ms; /* kept by place_decide_pins for pinned keys; 0
				  not */
};

struct place_pin {
	size_t key; /* index in keys */
	int add;    /* 1 add, 0 drop */
};

/*
 * Writes at most `max` decisions, drops first, and returns how many. Room
 * for key_count is enough. mean_node_load: load of the service divided by
 * the number of its nodes.
 */
size_t place_decide_pins(const struct place_policy *policy,
			 double mean_node_load, struct place_key *keys,
			 size_t key_count, int64_t now_ms,
			 struct place_pin *out, size_t max);

#endif
