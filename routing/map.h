#ifndef ROUTING_MAP_H
#define ROUTING_MAP_H

#include "common/err.h"
#include "protocol/wire.pb-c.h"

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The map says which node owns which slot. A slot is the unit of ownership:
 * either a shard, which is one of the parts into which the keys of a service
 * are divided, or a pin, which is a single key that is placed on its own. The
 * map changes only by deltas from the coordinator. A delta applies to one
 * revision of the map, its base, and produces a higher one. A delta with base
 * 0 is a snapshot: it replaces the whole map.
 *
 * Each slot has a fence, a number that targets compare to reject requests
 * from an earlier ownership of the slot.
 *
 * Invariant: a slot's fence never decreases; it is the revision of the delta
 * that last changed the slot's owner.
 */

struct map_node {
	uint32_t id;
	Wire__Node *info; /* owned */
	UT_hash_handle hh;
};

struct map_slot {
	uint32_t owner; /* node id; 0: none */
	uint64_t fence;
	/* Token from the last owner's target for the next one; NULL: none. */
	char *handover; /* owned */
};

struct map_service {
	char name[64];
	uint64_t seed;	 /* XXH3 of the name */
	uint32_t shards; /* power of two */
	uint32_t first_slot;
	/*
	 * 0: keys are strings, and the hash of a key selects its shard. Else
	 * keys are decimal numbers below this power of two.
	 */
	uint32_t key_numbers;
};

struct map_pin {
	uint64_t hash; /* map_hash_key of service and key */
	uint32_t slot;
	char *service;
	char *key;
	UT_hash_handle hh;	/* by hash */
	UT_hash_handle by_slot; /* by slot */
};

struct map {
	uint64_t rev;  /* revision; 0: no delta was applied yet */
	uint64_t term; /* election term of the coordinator that wrote it */
	struct map_service *services;
	size_t service_count;
	struct map_slot *slots; /* indexed by slot number */
	size_t slot_count;
	struct map_pin *pins; /* hash table by hash of service and key */
	struct map_pin *pins_by_slot; /* hash table of the same pins */
	struct map_node *nodes;	      /* hash table by node id */
};

/* Not the number of any slot. */
#define MAP_NO_SLOT UINT32_MAX

/* Makes an empty map of revision 0. */
void map_init(struct map *m);
/* Frees all memory; the map is empty afterwards. */
void map_finish(struct map *m);

/*
 * Applies a delta or a snapshot. On any error the map is unchanged:
 *  - ERR_STALE: the delta is of an older term or not based on the map's
 *    revision, or the snapshot is older than the map. The caller should fetch
 *    a snapshot.
 *  - ERR_MALFORMED: the content is invalid, e.g. a slot out of range, an
 *    unknown owner, a lower fence or conflicting slot ranges.
 *  - ERR_NOMEM: memory ran out.
 */
enum err map_apply(struct map *m, const Wire__MapDelta *delta);
/*
 * Returns 1 if the node gets the slot by this entry of a delta or snapshot that
 * has not been applied yet: it becomes the owner, or gets a new fence. A
 * snapshot names all slots, also those that the node has had for long.
 */
int map_is_gain(const struct map *m, const Wire__MapSlot *entry, uint32_t node);
/*
 * Checks a delta as map_apply does, with the same errors, but does not apply
 * it. Two cases differ: a snapshot gives ERR_STALE unless the map is empty, and
 * it is not checked that the new revision is higher than the base. May move
 * the array m->slots.
 */
enum err map_check(struct map *m, const Wire__MapDelta *delta);
/*
 * Returns the whole map as a snapshot, to be freed with map_delta_free, or NULL
 * if memory runs out.
 */
Wire__MapDelta *map_snapshot(const struct map *m);
/* Frees a delta made by map_snapshot or a decoder; NULL is allowed. */
void map_delta_free(Wire__MapDelta *d);

/*
 * Returns XXH3 of the key xor XXH3 of the service's name. The value must be the
 * same on all machines and in all versions.
 */
uint64_t map_hash_key(const char *service, const char *key, size_t key_len);
/* Returns NULL if the map does not have the service. */
const struct map_service *map_find_service(const struct map *m,
					   const char *name);
/*
 * Returns the slot of a key: its pin if there is one, else its shard. Shards of
 * numeric keys are consecutive ranges of equal size, and pins are ignored.
 */
uint32_t map_slot_of(const struct map *m, const struct map_service *s,
		     const char *key, size_t key_len);
/*
 * Sets *first and *last to the first and last key, both included, of a shard
 * of a service with numeric keys.
 */
void map_slot_key_range(const struct map_service *s, uint32_t slot,
			uint32_t *first, uint32_t *last);
/*
 * Returns the pin of the key with this map_hash_key, NULL if the key is not
 * pinned.
 */
const struct map_pin *map_find_pin(const struct map *m, uint64_t hash);
/* Both return NULL if the map does not have the node. */
const struct map_node *map_find_node(const struct map *m, uint32_t id);
const struct map_node *map_find_node_by_name(const struct map *m,
					     const char *name);
/* Returns the name of a slot's service, NULL if the slot is not in use. */
const char *map_service_of_slot(const struct map *m, uint32_t slot);

#endif
