#ifndef PLACEMENT_HOT_KEYS_H
#define PLACEMENT_HOT_KEYS_H

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Finds the most frequent keys (heavy hitters) of a stream of requests in
 * bounded memory, with the space-saving sketch: when the sketch is full, a new
 * key replaces the one with the lowest count and starts from that count, which
 * is noted as the new key's error. A key with more than total / capacity
 * requests is always in the sketch.
 */

struct hot_keys_entry {
	uint64_t hash; /* of service and key; identifies the entry */
	char *service;
	char *key;
	uint64_t count; /* upper bound of the key's requests */
	uint64_t error; /* count - error is the lower bound */
	size_t pos;	/* index in the heap */
	UT_hash_handle hh;
};

struct hot_keys {
	size_t capacity;
	struct hot_keys_entry **heap; /* min-heap by count */
	size_t size;
	struct hot_keys_entry *index; /* hash table by hash */
	uint64_t total;		      /* requests counted */
};

/*
 * Sets up a sketch of at most `capacity` keys (at least one). Returns 0, or -1
 * without memory.
 */
int hot_keys_init(struct hot_keys *h, size_t capacity);
/* Frees the sketch. */
void hot_keys_finish(struct hot_keys *h);
/*
 * Counts one request for a key; hash is that of service and key. The key need
 * not be terminated, and both strings are copied. Without memory, a new key is
 * not added.
 */
void hot_keys_add(struct hot_keys *h, uint64_t hash, const char *service,
		  const char *key, size_t key_len);
/*
 * Writes the entries with the highest counts to out, highest first and at most
 * `max`, and returns how many; 0 without memory. They stay valid until h
 * changes.
 */
size_t hot_keys_top(const struct hot_keys *h, const struct hot_keys_entry **out,
		    size_t max);
/* Removes all keys and counts. */
void hot_keys_reset(struct hot_keys *h);

#endif
