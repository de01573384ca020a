#ifndef PLACEMENT_PLACE_H
#define PLACEMENT_PLACE_H

#include "common/err.h"

#include <stddef.h>
#include <stdint.h>

/*
 * Placement: the assignment of the slots of one service to its nodes. A node
 * is a daemon with its target (a back end). A slot is what is assigned as one
 * unit: a shard, which holds many keys, or a pin, which is a single busy key
 * that is placed on its own. The document is the operators' configuration.
 *
 * One call of place_pass decides on one snapshot; the caller carries the moves
 * out and keeps struct place between the calls. The result depends on the
 * arguments only; the order of nodes and slots has no influence beyond the
 * rounding of sums. There is no clock: times are arguments, in milliseconds of
 * one clock.
 *
 * Forced moves (unowned, lost, drain, assign) come first in the list and are
 * not limited. Voluntary moves (imbalance, pin) are limited to
 * moves_per_minute in any 60 s.
 */

enum place_node_state {
	PLACE_LIVE,
	PLACE_DRAINING,	  /* planned stop or announced leave */
	PLACE_LOST,	  /* its grant (the right to own slots) has expired */
	PLACE_RESTARTING, /* keeps its slots until deadline_ms, then lost */
};

struct place_node {
	uint32_t id;
	double capacity; /* announced concurrency; 0 counts as 1 */
	/*
	 * Slow start (health_target.weight): the node gets new slots as if it
	 * had this part of its capacity, and keeps those that it has. 0 counts
	 * as 1.
	 */
	double weight;
	uint32_t region; /* any number; moves within a region are preferred */
	uint32_t data_centre; /* not used by placement */
	enum place_node_state state;
	int64_t deadline_ms; /* when restarting: end of the grace period */
	int eligible;	     /* the document allows it to serve this service */
};

struct place_slot {
	uint32_t slot;
	uint32_t owner; /* node id; 0: none */
	uint32_t to;	/* node id that the owner is releasing it to; 0: none */
	double load;	/* moving average; any unit, the same for all slots */
	/*
	 * The owner may be in a hold, in which it serves its slots beyond the
	 * end of its grant: the slot is never moved.
	 */
	int held;
	int is_pin;
	/*
	 * Ids of the nodes that the document fixes this slot to, by an assign
	 * range or a pin; none: any eligible node may own it. If none of them
	 * can serve, any eligible node gets the slot until one of them can.
	 */
	const uint32_t *fixed;
	size_t fixed_count;
};

/* The document's settings for one service. */
struct place_policy {
	double weight_churn;	   /* cost of moves, against imbalance */
	double weight_imbalance;   /* cost of imbalance, against moves */
	double max_peak_to_mean;   /* highest node load / mean node load */
	uint32_t moves_per_minute; /* most voluntary moves */
	uint32_t auto_pins;	   /* most pins, without the document's */
};

enum place_cause {
	PLACE_UNOWNED,	 /* the slot has no owner */
	PLACE_NODE_LOST, /* the owner is lost or unknown */
	PLACE_DRAIN,	 /* the owner is draining */
	PLACE_ASSIGN,	 /* the owner is not eligible or not a fixed node */
	PLACE_IMBALANCE, /* the owner has too much load; the slot is a shard */
	PLACE_PIN,	 /* the same for a pin */
};

struct place_move {
	uint32_t slot;
	uint32_t from; /* node id; 0: none */
	uint32_t to;
	enum place_cause cause;
};

/* The result of a pass. */
struct place_moves {
	struct place_move *items;
	size_t count;
	size_t cap;
	/*
	 * Peak-to-mean ratio of the load / capacity of the nodes that can get
	 * slots, after the moves. ranges_pass has another definition.
	 */
	double peak_to_mean;
	size_t unplaced; /* slots that no node can get */
};

/* Voluntary moves are counted in periods of this length. */
#define PLACE_BUDGET_MS 5000
#define PLACE_BUDGET_PERIODS 13 /* the current period and the last 60 s */

/* State of one service between the passes: its recent voluntary moves. */
struct place {
	int64_t started_ms;
	int64_t period;			     /* number of the current period */
	uint32_t made[PLACE_BUDGET_PERIODS]; /* ring, by period number */
};

/*
 * Starts the state without any recent moves. During the first minute, the
 * limit on voluntary moves grows from 0 to moves_per_minute, because a new
 * coordinator knows neither the loads nor its predecessor's moves.
 */
void place_init(struct place *p, int64_t now_ms);

/* Sets up an empty list of moves. */
void place_moves_init(struct place_moves *m);
/* Frees the list and leaves it empty. */
void place_moves_finish(struct place_moves *m);

/* Returns a stable lower-case name for logs, e.g. "imbalance". */
const char *place_cause_name(enum place_cause cause);

/*
 * Decides on the moves of one pass and writes them to `out`, which is emptied
 * first. A slot with `to` set is not moved unless that node can no longer
 * serve; then its move names another destination, which is the owner itself if
 * no other node can get it. Returns ERR_OK, or ERR_NOMEM with no moves.
 */
enum err place_pass(struct place *p, const struct place_policy *policy,
		    const struct place_node *nodes, size_t node_count,
		    const struct place_slot *slots, size_t slot_count,
		    int64_t now_ms, struct place_moves *out);

/*
 * Returns the requests that a target can run at a time: those that it announced
 * (0 counts as 1), or fewer if the requests that it takes in a second do not
 * keep that many busy. rate_limit_per_s: 0 if it takes any number. latency_us:
 * its usual latency; 0: unknown, and the rate limit is then disregarded.
 */
double place_usable_places(uint32_t announced, double rate_limit_per_s,
			   double latency_us);

/* Moving average of a slot's or key's load. */
struct place_average {
	double load;
	uint32_t reports; /* averaged since the load last jumped */
};

/*
 * Adds a newly reported load to the average. `count` is the number of requests
 * in the report that stand for one unit of load: a change beyond the
 * statistical error of such a count restarts the average at the new load; a
 * smaller one is averaged over up to thirty reports.
 */
void place_average_update(struct place_average *a, double report, double count);

/* A key that is pinned or may be. */
struct place_key {
	uint64_t hash;
	double load; /* in the unit of place_slot.load */
	int pinned;
	int fixed; /* pinned by the document: never dropped */
	/*
	 * Since when a pinned key has had little load; 0: it has not. Set by
	 * place_decide_pins, kept by the caller between its calls.
	 */
	int64_t cold_since_ms;
};

/* A decision to pin a key or to drop its pin. */
struct place_pin {
	size_t key; /* index in keys */
	int add;    /* 1: add, 0: drop */
};

/*
 * Decides which pins to drop and to add. The caller passes every key that the
 * nodes have reported as hot and every pinned key, once each (with load 0 if
 * it was not reported). mean_node_load: load of the service divided by the
 * number of its nodes. Writes at most `max` decisions to out, drops first, and
 * returns how many; room for key_count is enough. Returns 0 without memory. A
 * new pin starts on the owner of the key's shard; the next pass may move it.
 */
size_t place_decide_pins(const struct place_policy *policy,
			 double mean_node_load, struct place_key *keys,
			 size_t key_count, int64_t now_ms,
			 struct place_pin *out, size_t max);

#endif
