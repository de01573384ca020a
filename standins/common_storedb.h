#ifndef STANDINS_COMMON_STOREDB_H
#define STANDINS_COMMON_STOREDB_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Database of the store stand-in: keys with revisions, leases, and a history
 * of changes for watches. No I/O and no clock.
 *
 * A range is [key, end): end NULL is the one key, end "" is no upper bound.
 */

/* Older changes are compacted when the history exceeds this. */
#define SDB_HISTORY_BYTES (64 * 1024 * 1024)

struct sdb_kv {
	char *key;
	uint8_t *value;
	size_t value_len;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease; /* 0: none */
};

struct sdb_event {
	struct sdb_kv kv; /* no value if deleted */
	int deleted;
};

struct sdb_lease {
	int64_t id;
	int64_t ttl_seconds;
	int64_t deadline_ms;
	UT_hash_handle hh;
};

struct sdb {
	GTree *keys;
	GQueue history; /* of struct sdb_event, oldest first */
	size_t history_bytes;
	int64_t revision;
	int64_t compacted_revision;  /* changes up to this revision are gone */
	int has_uncommitted_changes; /* since the last sdb_commit */
	struct sdb_lease *leases;
};

void sdb_init(struct sdb *db);
void sdb_finish(struct sdb *db);

/* NULL if absent. */
const struct sdb_kv *sdb_get(const struct sdb *db, const char *key);
int sdb_in_range(const char *name, const char *key, const char *end);
/* Calls fn in the order of keys. fn may not change the database. */
void sdb_each_key(const struct sdb *db, const char *key, const char *end,
		  void (*fn)(const struct sdb_kv *kv, void *priv), void *priv);

/* Changes up to sdb_commit share one revision, which is then the current. */
void sdb_put(struct sdb *db, const char *key, const void *value, size_t len,
	     int64_t lease);
/* Returns the number of deleted keys. */
size_t sdb_delete(struct sdb *db, const char *key, const char *end);
/* Returns 1 if anything changed. */
int sdb_commit(struct sdb *db);

/* Drops the history up to and including revision. */
void sdb_compact(struct sdb *db, int64_t revision);
/* Calls fn for each change from revision first on, oldest first. */
void sdb_each_event(const struct sdb *db, int64_t first,
		    void (*fn)(const struct sdb_event *event, void *priv),
		    void *priv);

struct sdb_lease *sdb_lease_find(struct sdb *db, int64_t id);
/* NULL if the id is in use. */
struct sdb_lease *sdb_lease_grant(struct sdb *db, int64_t id,
				  int64_t ttl_seconds, int64_t now_ms);
/* Removes the lease and, in one revision, its keys. */
void sdb_lease_revoke(struct sdb *db, struct sdb_lease *lease);
/* Returns 1 if a key was deleted. */
int sdb_expire(struct sdb *db, int64_t now_ms);

#endif
