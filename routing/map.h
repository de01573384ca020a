#ifndef ROUTING_MAP_H
#define ROUTING_MAP_H

#include "common/err.h"
#include "protocol/wire.pb-c.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The map: which node owns which slot. A slot is a shard of a service or a
 * pinned key. Changed only by deltas with consecutive revisions.
 *
 * Invariant: a slot's fence never falls; it is the revision of the delta that
 * last changed the slot's owner.
 */

struct map_node {
	uint32_t id;
	Wire__Node *info; /* owned */
	UT_hash_handle hh;
};

struct map_slot {
	uint32_t owner; /* node id, 0 none */
	uint64_t fence;
	char *handover; /* owned; NULL: none */
};

struct map_service {
	char name[64];
	uint64_t seed;	 /* XXH3 of the name */
	uint32_t shards; /* power of two */
	uint32_t first_slot;
	uint32_t key_numbers; /* keys are numbers below this; 0: hashed */
};

struct map_pin {
	uint64_t hash; /* of service and key */
	uint32_t slot;
	char *service;
	char *key;
	UT_hash_handle hh;	/* by hash */
	UT_hash_handle by_slot; /* by slot */
};

struct map {
	uint64_t rev;
	uint64_t term;
	struct map_service *services;
	size_t service_count;
	struct map_slot *slots;
	size_t slot_count;
	struct map_pin *pins;
	struct map_pin *pins_by_slot;
	struct map_node *nodes;
};

#define MAP_NO_SLOT UINT32_MAX

void map_init(struct map *m);
void map_finish(struct map *m);

/*
 * Applies a delta. ERR_STALE: its base is not this map's revision (or it is
 * older than what is here); nothing is changed, ask for the whole map.
 * ERR_MALFORMED: a slot or node id out of range; nothing is changed.
 */
enum err map_apply(struct map *m, const Wire__MapDelta *delta);
/* ERR_OK if map_apply would apply the delta; changes nothing. */
enum err map_check(struct map *m, const Wire__MapDelta *delta);
/* The whole map as one delta with base 0; free with map_delta_free. */
Wire__MapDelta *map_snapshot(const struct map *m);
/* Deep copy of a delta made by map_snapshot or a decoder. */
void map_delta_free(Wire__MapDelta *d);

/* XXH3 of the key xor that of the service's name; equal on all machines. */
uint64_t map_hash_key(const char *service, const char *key, size_t key_len);
const struct map_service *map_find_service(const struct map *m,
					   const char *name);
/*
 * Slot of a key: its pin if there is one, else its shard. Shards of numbered
 * keys are consecutive ranges of equal size.
 */
uint32_t map_slot_of(const struct map *m, const struct map_service *s,
		     const char *key, size_t key_len);
/* First and last key of a shard of numbered keys. */
void map_slot_key_range(const struct map_service *s, uint32_t slot,
			uint32_t *first, uint32_t *last);
/* Pin of a key by map_hash_key; NULL if the key has none. */
const struct map_pin *map_find_pin(const struct map *m, uint64_t hash);
const struct map_node *map_find_node(const struct map *m, uint32_t id);
const struct map_node *map_find_node_name(const struct map *m,
					  const char *name);
/* Service of a slot, NULL for a slot out of use. */
const char *map_service_of_slot(const struct map *m, uint32_t slot);

#endif
