#ifndef STANDINS_COMMON_STOREJSON_H
#define STANDINS_COMMON_STOREJSON_H

#include "standins/common_storedb.h"

#include <jansson.h>

/* Runs requests of etcd's v3 JSON API on the database of the store stand-in. */

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
	const char *name; /* in the counts */
	const char *path; /* of the HTTP request */
};

/* Indexed by enum sjson_call. */
extern const struct sjson_call_info sjson_calls[SJSON_CALLS];

struct sjson_result {
	unsigned status;
	json_t *answer;	   /* reference owned by the caller */
	size_t key_count;  /* read, compared and written */
	int write_applied; /* it is a write and it took effect */
};

/*
 * Expires leases, then runs a request other than a watch and fills the result;
 * errors are answers with an HTTP status other than 200. lease is the id of a
 * new lease if the request to grant one states none.
 */
void sjson_run(struct sdb *db, enum sjson_call type, const json_t *request,
	       int64_t lease, int64_t now_ms, struct sjson_result *result);

struct sjson_watch {
	char *key;	       /* first key of the watched range */
	char *end;	       /* its end, as in common_storedb.h */
	int64_t next_revision; /* first change that was not sent yet */
};

/*
 * Reads the range and the start revision of a watch request. Returns 0 if it
 * is malformed. The caller frees key and end with g_free().
 */
int sjson_parse_watch(const struct sdb *db, const json_t *request,
		      struct sjson_watch *w);

/* Messages of a watch, as JSON; the caller owns the returned reference. */

/* Returns the message that confirms a new watch. */
json_t *sjson_watch_created(const struct sdb *db);
/* Returns the message that cancels a watch whose start was compacted. */
json_t *sjson_watch_compacted(const struct sdb *db);
/* Returns a message with the current revision and no changes. */
json_t *sjson_watch_progress(const struct sdb *db);
/*
 * Returns the changes of the range since w->next_revision and sets *count to
 * their number; NULL if there are none. Then sets next_revision to the
 * revision after the database's current one.
 */
json_t *sjson_watch_events(const struct sdb *db, struct sjson_watch *w,
			   size_t *count);

#endif
