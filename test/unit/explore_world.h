#ifndef TEST_UNIT_EXPLORE_WORLD_H
#define TEST_UNIT_EXPLORE_WORLD_H

#include "ownership/own.h"

#include <glib.h>

/*
 * A few nodes, coordinators, a store and one slot, driven by seeded random
 * steps through the ownership module. No input or output, no clock but the
 * world's own.
 */

#define NODES 4
#define COORDS 4
#define MESSAGES 64
/* Length of a hold in every other schedule; other holds have no end. */
#define HOLD_MS 400
#define HOLD_QUORUM_MS 400

enum message_kind {
	MSG_ASK,
	MSG_REPLY,
	MSG_MAP,
	MSG_TAKEOVER, /* a new coordinator announces itself to a node */
	MSG_CONFIRM,  /* the store's answer to a read of the record */
};

struct message {
	enum message_kind kind;
	int node;
	int coord;
	struct own_ask ask;
	struct own_reply reply;
	uint64_t map_rev;
	int owner;
	int64_t asked_ms;
};

struct node {
	struct own_member own;
	int alive;
	int paused;
	int follows; /* index of the coordinator, -1 none */
	uint64_t map_rev;
	int owner;    /* of the slot, as its map says; -1 none */
	int rate_ppm; /* deviation of its clock from true time */
};

struct coordinator {
	struct own_coord own;
	int in_use;
	int paused;
	int rate_ppm;
	uint64_t map_rev; /* its copy of the map */
	int owner;	  /* of the slot, as that map says; -1 none */
};

struct roster_entry {
	int present;
	uint64_t incarnation;
	uint32_t maybe_held;
};

struct world {
	GRand *rand;
	int64_t now_ms; /* true time */
	struct node nodes[NODES];
	struct coordinator coords[COORDS];
	int coord_count;
	struct message messages[MESSAGES];
	int message_count;
	/* What the store holds. */
	int store_up;
	uint64_t term;
	int record_coord; /* coordinator of the record, -1 none */
	struct roster_entry roster[NODES];
	uint64_t map_rev;
	int owner;
	uint64_t last_incarnation;
	unsigned takeovers; /* moves of the slot from a lost owner */
	unsigned expired;   /* those whose owner may have been in a hold */
	unsigned mark_writes;
	int64_t hold_max_ms;
};

/* Starts all nodes and lets them join a first coordinator. */
void world_init(struct world *w, guint32 seed);
void world_finish(struct world *w);
/* Takes one random step: a message, a fault, a decision, or time passes. */
void world_step(struct world *w);
/*
 * Takes one step as a disruption makes it: the store fails, nodes are cut off
 * or restart together, all follow a new coordinator, or nothing fails.
 */
void world_step_group(struct world *w);
/* Returns the number of nodes that may serve the slot. */
int world_count_serving(const struct world *w);
/* Returns 1 if a node is in a hold. */
int world_any_in_hold(const struct world *w);

#endif
