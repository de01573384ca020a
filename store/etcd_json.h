#ifndef STORE_ETCD_JSON_H
#define STORE_ETCD_JSON_H

#include "store/store.h"

#include <jansson.h>

/*
 * Messages of the etcd v3 JSON mapping: keys and values are base64, 64-bit
 * numbers are strings, and fields with their default value are absent.
 *
 * The functions that write a request return its text, which the caller frees
 * with free(), or NULL if out of memory. The functions that read an answer
 * return ERR_OK or ERR_MALFORMED. They set era to that of the answer.
 */

/* Request for one key (prefix 0) or all keys that start with key (prefix 1). */
char *etcd_json_range(const char *key, int prefix);
char *etcd_json_txn(const struct store_compare *compares, size_t compare_count,
		    const struct store_put *puts, size_t put_count);
char *etcd_json_lease_grant(int ttl_seconds);
char *etcd_json_lease_keepalive(int64_t lease);
/* start_revision is the first revision that the watch reports. */
char *etcd_json_watch(const char *prefix, int64_t start_revision);

/*
 * On ERR_OK, result->kvs is sorted by key; the caller frees it with
 * etcd_json_free_kvs.
 */
enum err etcd_json_read_range(const void *data, size_t len,
			      struct store_range *result);
void etcd_json_free_kvs(const struct store_kv *kvs, size_t count);
enum err etcd_json_read_txn(const void *data, size_t len, int *succeeded,
			    int64_t *revision, uint64_t *era);
/* Reads the answer to a grant or keep-alive. A ttl of 0: no such lease. */
enum err etcd_json_read_lease(const void *data, size_t len, int64_t *lease,
			      int64_t *ttl, uint64_t *era);

/* One message of a watch stream. */
struct etcd_watch_message {
	int created;  /* the store has set the watch up */
	int canceled; /* the store has ended the watch */
	int error;    /* the stream failed; the other members are not set */
	int64_t revision;
	uint64_t era;		  /* of the revisions; 0: not told */
	int64_t compact_revision; /* 0: not canceled by a compaction */
	struct store_event *events;
	size_t event_count;
};

/* On ERR_OK, the caller frees the message with etcd_json_free_watch. */
enum err etcd_json_read_watch(const void *data, size_t len,
			      struct etcd_watch_message *m);
void etcd_json_free_watch(struct etcd_watch_message *m);

/* Reads a 64-bit integer, stored as text or number; 0 if it is absent. */
enum err etcd_json_int64(const json_t *object, const char *name, int64_t *out);
/*
 * Decodes base64 text. The result has a zero byte after its end that is not
 * counted in *out_len; the caller frees it with g_free(). Returns NULL if the
 * text is malformed.
 */
uint8_t *etcd_json_decode(const char *text, size_t len, size_t *out_len);
/* Does the same with a field; an absent one gives no bytes. */
uint8_t *etcd_json_bytes(const json_t *object, const char *name, size_t *len);
/* Return a new base64 text and a new decimal text. */
json_t *etcd_json_new_bytes(const void *data, size_t len);
json_t *etcd_json_new_int64(int64_t value);

#endif
