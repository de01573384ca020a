#ifndef STANDINS_COMMON_STOREJSON_H
#define STANDINS_COMMON_STOREJSON_H

#include "standins/common_storedb.h"

#include <jansson.h>

/* Requests of the etcd v3 JSON mapping, run on the stand-in's database. */

enum sjson_call {
	SJSON_RANGE,
	SJSON_TXN,
	SJSON_LEASE_GRANT,
	SJSON_LEASE_KEEPALIVE,
	SJSON_LEASE_REVOKE,
	SJSON_WATCH,
	SJSON_CALLS
};

struct sjson_call_info {
	const char *name;
	const char *path;
};

extern const struct sjson_call_info sjson_calls[SJSON_CALLS];

struct sjson_result {
	unsigned status;
	json_t *answer;	   /* the caller's reference */
	size_t key_count;  /* read, compared and written */
	int write_applied; /* it is a write and it took effect */
};

/* lease: id of a lease that is granted without an id of its own. */
void sjson_run(struct sdb *db, enum sjson_call kind, const json_t *request,
	       int64_t lease, int64_t now_ms, struct sjson_result *result);

struct sjson_watch {
	char *key;
	char *end;
	int64_t next_revision;
};

/* Returns 0 if malformed. key and end are freed with g_free(). */
int sjson_parse_watch(const struct sdb *db, const json_t *request,
		      struct sjson_watch *w);
json_t *sjson_watch_created(const struct sdb *db);
json_t *sjson_watch_compacted(const struct sdb *db);
json_t *sjson_watch_progress(const struct sdb *db);
/*
 * Changes from w->next_revision on; NULL if there are none. Moves
 * next_revision past the database's revision.
 */
json_t *sjson_watch_events(const struct sdb *db, struct sjson_watch *w,
			   size_t *count);

#endif
