#ifndef STANDINS_COMMON_STOREDB_H
#define STANDINS_COMMON_STOREDB_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Database of the store stand-ins: keys with revisions as in etcd, leases, and
 * a history of changes for watches. It does no I/O, and times are passed in.
 * Texts and values that are passed in are copied.
 *
 * A range of keys is [key, end). With end NULL it is the single key; with end
 * "" it has no upper bound.
 */

/* The oldest changes are compacted when the history exceeds this size. */
#define SDB_HISTORY_BYTES (64 * 1024 * 1024)

/* A key with its value. */
struct sdb_kv {
	char *key;
	uint8_t *value;
	size_t value_len;
	int64_t create_revision; /* of the change that created the key */
	int64_t mod_revision;	 /* of the last change */
	int64_t version;	 /* number of writes since its creation */
	int64_t lease;		 /* the key is deleted with it; 0: none */
};

/* A change of one key. */
struct sdb_event {
	struct sdb_kv kv; /* no value if deleted */
	int deleted;
};

/* Keys that hold the lease are deleted when it expires. */
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
	int64_t revision; /* of the last committed change; starts at 1 */
	int64_t compacted_revision;  /* changes up to this revision are gone */
	int has_uncommitted_changes; /* since the last sdb_commit */
	struct sdb_lease *leases;
	uint64_t cluster_id; /* of etcd's answers; starts at 1 */
	struct sdb *copy;    /* for sdb_restore; has no history; NULL: none */
};

/* Makes an empty database. */
void sdb_init(struct sdb *db);
/* Frees all that db holds. */
void sdb_finish(struct sdb *db);

/* Returns the key's value, owned by the database; NULL if absent. */
const struct sdb_kv *sdb_get(const struct sdb *db, const char *key);
/* Returns 1 if name is in the range [key, end). */
int sdb_in_range(const char *name, const char *key, const char *end);
/*
 * Calls fn for each key of the range, in the order of keys. fn must not change
 * the database.
 */
void sdb_each_key(const struct sdb *db, const char *key, const char *end,
		  void (*fn)(const struct sdb_kv *kv, void *priv), void *priv);

/*
 * Sets a key; lease 0: none. All changes between two calls of sdb_commit() get
 * the same revision: the one after db->revision.
 */
void sdb_put(struct sdb *db, const char *key, const void *value, size_t len,
	     int64_t lease);
/* Deletes the keys of a range. Returns their number. */
size_t sdb_delete(struct sdb *db, const char *key, const char *end);
/*
 * Makes the revision of the changes the current one. Returns 1 if there were
 * changes, else 0.
 */
int sdb_commit(struct sdb *db);

/* Removes changes up to and including revision from the history. */
void sdb_compact(struct sdb *db, int64_t revision);
/* Calls fn for each change since revision first, inclusive, oldest first. */
void sdb_each_event(const struct sdb *db, int64_t first,
		    void (*fn)(const struct sdb_event *event, void *priv),
		    void *priv);

/* Returns NULL if there is no such lease. */
struct sdb_lease *sdb_lease_find(struct sdb *db, int64_t id);
/* Adds a lease. Returns NULL if the id is in use. */
struct sdb_lease *sdb_lease_grant(struct sdb *db, int64_t id,
				  int64_t ttl_seconds, int64_t now_ms);
/* Removes the lease and its keys. The caller commits the change. */
void sdb_lease_revoke(struct sdb *db, struct sdb_lease *lease);
/*
 * Revokes the leases whose deadline is now_ms or earlier, and commits. Returns
 * 1 if a key was deleted, else 0.
 */
int sdb_expire(struct sdb *db, int64_t now_ms);

/* Copies the keys, leases and revision, in place of an earlier copy. */
void sdb_take_copy(struct sdb *db);
/*
 * Sets the keys, leases and revision back to those of the last copy, or to an
 * empty database if there is none. Forgets later changes, whose revisions are
 * then given out again. Leases of the copy get their whole time from now_ms.
 *
 * Keys that begin with keep (NULL: none) are afterwards written again with the
 * values that they had before, without leases, each at a new revision, as their
 * writer would do; those that were deleted since the copy are deleted again.
 */
void sdb_restore(struct sdb *db, const char *keep, int64_t now_ms);

#endif
