#ifndef MEMBERSHIP_COORD_PLACE_PRIV_H
#define MEMBERSHIP_COORD_PLACE_PRIV_H

#include "membership/coord_priv.h"
#include "placement/ranges.h"

/* Shared by coord_place.c, coord_pins.c and coord_report.c only. */

struct hot_key {
	uint64_t hash;
	char *service;
	char *key;
	uint32_t reporter;	   /* node that reported it last */
	struct place_average load; /* requests per second */
	int64_t seen_ms;
	int64_t cold_since_ms;
	int in_report; /* of the report being read */
	UT_hash_handle hh;
};

struct service_placement {
	char name[64];
	struct place place;
	struct ranges ranges; /* of numbered keys */
	/* First assignment: targets that announced themselves so far. */
	size_t announced;
	int64_t first_announced_ms;   /* when the first of them did, 0 none */
	int64_t announced_changed_ms; /* when their number last changed */
	UT_hash_handle hh;
};

struct placement_state {
	struct service_placement *services;
	struct hot_key *keys;
};

/* What one pass knows of one service. */
struct place_input {
	const struct doc_service *doc;
	const struct map_service *map;
	struct service_placement *state;
	struct place_node *nodes;
	size_t node_count;
	struct place_slot *slots;
	size_t slot_count;
	uint32_t **fixed; /* one list for each assign range and pin */
	size_t fixed_count;
};

/* coord_report.c: loads and heavy keys, from the nodes' reports. */

/* NULL without memory. */
struct placement_state *placement_state_get(struct coord *c);
void hot_key_free(struct placement_state *p, struct hot_key *k);
/* Keeps a key in the table that nobody reports at present. */
void report_refresh_key(struct placement_state *p, const char *service,
			const char *key, int64_t now_ms);
void report_expire_keys(struct placement_state *p, int64_t now_ms);

/* coord_pins.c */

const struct doc_pin *pins_find_fixed(const struct doc_service *s,
				      const char *key);
/* Adds or drops pins of one service. */
void pins_update(struct coord *c, const struct place_input *in,
		 const struct place_policy *policy, int64_t now_ms);

/* coord_place.c */

/* The owner serves the slot and is not giving it up. */
int place_is_settled(const struct coord *c, uint32_t slot);
/* Asks the slot's owner to release it for another node. */
void place_request_release(struct coord *c, uint32_t slot, uint32_t to,
			   const char *cause);

#endif
