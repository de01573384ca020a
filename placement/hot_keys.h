#ifndef PLACEMENT_HOT_H
#define PLACEMENT_HOT_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Heaviest keys of a stream, in bounded memory (space-saving sketch: a new
 * key takes the place of the lightest and inherits its count as error).
 * Pure.
 */

struct hot_keys_entry {
	uint64_t hash; /* of service and key */
	char *service;
	char *key;
	uint64_t count; /* upper bound */
	uint64_t error; /* count - error is a lower bound */
	size_t pos;	/* in the heap */
	UT_hash_handle hh;
};

struct hot_keys {
	size_t capacity;
	struct hot_keys_entry **heap; /* min-heap by count */
	size_t size;
	struct hot_keys_entry *index;
	uint64_t total;
};

int hot_keys_init(struct hot_keys *h,
		  size_t capacity); /* 0, or -1 without memory */
void hot_keys_finish(struct hot_keys *h);
void hot_keys_add(struct hot_keys *h, uint64_t hash, const char *service,
		  const char *key, size_t key_len);
/*
 * Heaviest first, at most max; returns how many. The entries stay valid until
 * the next change of h.
 */
size_t hot_keys_top(const struct hot_keys *h, const struct hot_keys_entry **out,
		    size_t max);
/* Empties the sketch. */
void hot_keys_reset(struct hot_keys *h);

#endif
