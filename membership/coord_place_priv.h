#ifndef MEMBERSHIP_COORD_PLACE_PRIV_H
#define MEMBERSHIP_COORD_PLACE_PRIV_H

#include "membership/coord_priv.h"
#include "placement/ranges.h"

/* Shared by coord_place.c, coord_pins.c and coord_report.c only. */

/* A key with a high load, which may get a slot of its own: a pin. */
struct hot_key {
	uint64_t hash;
	char *service;
	char *key;
	uint32_t reporter;	   /* node that reported it last */
	struct place_average load; /* requests per second */
	int64_t seen_ms;
	int64_t cold_since_ms; /* as in struct place_key */
	int in_report;	       /* named by the report being read */
	UT_hash_handle hh;
};

/* What placement keeps of one service between its passes. */
struct service_placement {
	char name[64];
	struct place place;
	struct ranges ranges; /* used if the keys are numbers */
	/* Before the first assignment: the targets announced so far. */
	size_t announced;
	int64_t first_announced_ms;   /* when the first of them did, 0 none */
	int64_t announced_changed_ms; /* when their number last changed */
	/* Where the owners may be, by the document of this revision. */
	struct doc_owner_regions regions;
	uint64_t regions_revision;
	int regions_read;
	UT_hash_handle hh;
};

struct placement_state {
	struct service_placement *services;
	struct hot_key *keys;
};

/* The state of one service that a placement pass decides on. */
struct place_input {
	const struct doc_service *doc;
	const struct map_service *map;
	struct service_placement *state;
	/* Mean of its targets' latencies for cold ones; 0: none or unknown. */
	double mean_latency_us;
	struct place_node *nodes;
	size_t node_count;
	struct place_slot *slots;
	size_t slot_count;
	uint32_t **fixed; /* lists of node ids, by assign range and pin */
	size_t fixed_count;
};

/* ---- coord_report.c: loads and hot keys from the nodes' reports ---- */

/* Returns c->placement_state, created if needed; NULL without memory. */
struct placement_state *placement_state_get(struct coord *c);
void hot_key_free(struct placement_state *p, struct hot_key *k);
/* Keeps a key in the table even if no node reports it at present. */
void report_refresh_key(struct placement_state *p, const char *service,
			const char *key, int64_t now_ms);
/* Removes the keys that were not reported or refreshed for a while. */
void report_expire_keys(struct placement_state *p, int64_t now_ms);

/* ---- coord_pins.c ---- */

/* Returns the document's pin of this key; NULL if it has none. */
const struct doc_pin *pins_find_fixed(const struct doc_service *s,
				      const char *key);
/* Queues pins of one service to be added or removed, as its load demands. */
void pins_update(struct coord *c, const struct place_input *in,
		 const struct place_policy *policy, int64_t now_ms);

/* ---- coord_regions.c ---- */

/* Brings state->regions up to date with the document, and logs a change. */
void place_read_regions(const struct coord *c, const struct doc_service *s,
			struct service_placement *state);

/* ---- coord_place.c ---- */

/* Returns 1 if the owner serves the slot and no change of it is pending. */
int place_is_settled(const struct coord *c, uint32_t slot);
/* Asks the slot's owner to release it for node to. */
void place_request_release(struct coord *c, uint32_t slot, uint32_t to,
			   const char *cause);

#endif
