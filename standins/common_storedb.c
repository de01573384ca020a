#include "standins/common_storedb.h"

#include <stdlib.h>
#include <string.h>

static void kv_clear(struct sdb_kv *kv)
{
	g_free(kv->key);
	g_free(kv->value);
}

static void kv_free(gpointer data)
{
	kv_clear(data);
	g_free(data);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer priv)
{
	(void)priv;
	return strcmp(a, b);
}

void sdb_init(struct sdb *db)
{
	memset(db, 0, sizeof(*db));
	db->keys = g_tree_new_full(compare_keys, NULL, NULL, kv_free);
	g_queue_init(&db->history);
	db->revision = 1;
	db->cluster_id = 1;
}

static void event_free(gpointer data)
{
	struct sdb_event *event = data;

	kv_clear(&event->kv);
	g_free(event);
}

static void free_leases(struct sdb *db)
{
	struct sdb_lease *lease;
	struct sdb_lease *tmp;

	HASH_ITER(hh, db->leases, lease, tmp) {
		HASH_DEL(db->leases, lease);
		g_free(lease);
	}
}

static void free_copy(struct sdb *db)
{
	if (!db->copy)
		return;
	sdb_finish(db->copy);
	g_free(db->copy);
	db->copy = NULL;
}

void sdb_finish(struct sdb *db)
{
	g_tree_destroy(db->keys);
	g_queue_clear_full(&db->history, event_free);
	free_leases(db);
	free_copy(db);
}

const struct sdb_kv *sdb_get(const struct sdb *db, const char *key)
{
	return g_tree_lookup(db->keys, key);
}

int sdb_in_range(const char *name, const char *key, const char *end)
{
	if (!end)
		return strcmp(name, key) == 0;
	return strcmp(name, key) >= 0 && (!*end || strcmp(name, end) < 0);
}

void sdb_each_key(const struct sdb *db, const char *key, const char *end,
		  void (*fn)(const struct sdb_kv *kv, void *priv), void *priv)
{
	GTreeNode *node = g_tree_lower_bound(db->keys, key);

	for (; node; node = g_tree_node_next(node)) {
		const struct sdb_kv *kv = g_tree_node_value(node);

		if (!sdb_in_range(kv->key, key, end))
			return;
		fn(kv, priv);
	}
}

static size_t event_bytes(const struct sdb_event *event)
{
	return sizeof(*event) + strlen(event->kv.key) + event->kv.value_len;
}

static void drop_oldest(struct sdb *db)
{
	struct sdb_event *event = g_queue_pop_head(&db->history);

	db->history_bytes -= event_bytes(event);
	event_free(event);
}

void sdb_compact(struct sdb *db, int64_t revision)
{
	const struct sdb_event *event;

	while ((event = g_queue_peek_head(&db->history)) &&
	       event->kv.mod_revision <= revision)
		drop_oldest(db);
	if (revision > db->compacted_revision)
		db->compacted_revision = revision;
}

static void add_history_event(struct sdb *db, const struct sdb_kv *kv,
			      int deleted)
{
	struct sdb_event *event = g_new0(struct sdb_event, 1);

	if (!deleted) {
		event->kv = *kv;
		event->kv.value = g_memdup2(kv->value, kv->value_len);
	}
	event->kv.key = g_strdup(kv->key);
	event->kv.mod_revision = db->revision + 1;
	event->deleted = deleted;
	g_queue_push_tail(&db->history, event);
	db->history_bytes += event_bytes(event);
	db->has_uncommitted_changes = 1;
}

void sdb_put(struct sdb *db, const char *key, const void *value, size_t len,
	     int64_t lease)
{
	const struct sdb_kv *old = sdb_get(db, key);
	struct sdb_kv *kv = g_new0(struct sdb_kv, 1);

	kv->key = g_strdup(key);
	kv->value = g_memdup2(value, len);
	kv->value_len = len;
	kv->mod_revision = db->revision + 1;
	kv->create_revision = old ? old->create_revision : kv->mod_revision;
	kv->version = old ? old->version + 1 : 1;
	kv->lease = lease;
	add_history_event(db, kv, 0);
	g_tree_replace(db->keys, kv->key, kv);
}

static void collect_key(const struct sdb_kv *kv, void *priv)
{
	g_ptr_array_add(priv, g_strdup(kv->key));
}

static size_t delete_keys(struct sdb *db, GPtrArray *names)
{
	size_t count = names->len;

	for (size_t i = 0; i < count; i++) {
		const char *name = g_ptr_array_index(names, i);

		add_history_event(db, sdb_get(db, name), 1);
		g_tree_remove(db->keys, name);
	}
	g_ptr_array_unref(names);
	return count;
}

size_t sdb_delete(struct sdb *db, const char *key, const char *end)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	sdb_each_key(db, key, end, collect_key, names);
	return delete_keys(db, names);
}

int sdb_commit(struct sdb *db)
{
	if (!db->has_uncommitted_changes)
		return 0;
	db->has_uncommitted_changes = 0;
	db->revision++;
	while (db->history_bytes > SDB_HISTORY_BYTES) {
		const struct sdb_event *event = g_queue_peek_head(&db->history);

		sdb_compact(db, event->kv.mod_revision);
	}
	return 1;
}

void sdb_each_event(const struct sdb *db, int64_t first,
		    void (*fn)(const struct sdb_event *event, void *priv),
		    void *priv)
{
	const GList *l = db->history.tail;
	const GList *start = NULL;

	for (; l; l = l->prev) {
		const struct sdb_event *event = l->data;

		if (event->kv.mod_revision < first)
			break;
		start = l;
	}
	for (l = start; l; l = l->next)
		fn(l->data, priv);
}

struct sdb_lease *sdb_lease_find(struct sdb *db, int64_t id)
{
	struct sdb_lease *lease;

	HASH_FIND(hh, db->leases, &id, sizeof(id), lease);
	return lease;
}

struct sdb_lease *sdb_lease_grant(struct sdb *db, int64_t id,
				  int64_t ttl_seconds, int64_t now_ms)
{
	struct sdb_lease *lease;

	if (sdb_lease_find(db, id))
		return NULL;
	lease = g_new0(struct sdb_lease, 1);
	lease->id = id;
	lease->ttl_seconds = ttl_seconds;
	lease->deadline_ms = now_ms + ttl_seconds * 1000;
	HASH_ADD(hh, db->leases, id, sizeof(lease->id), lease);
	return lease;
}

struct leased_keys {
	int64_t id;
	GPtrArray *names;
};

static void collect_leased_key(const struct sdb_kv *kv, void *priv)
{
	struct leased_keys *k = priv;

	if (kv->lease == k->id)
		g_ptr_array_add(k->names, g_strdup(kv->key));
}

void sdb_lease_revoke(struct sdb *db, struct sdb_lease *lease)
{
	struct leased_keys k = { lease->id,
				 g_ptr_array_new_with_free_func(g_free) };

	sdb_each_key(db, "", "", collect_leased_key, &k);
	delete_keys(db, k.names);
	HASH_DEL(db->leases, lease);
	g_free(lease);
}

int sdb_expire(struct sdb *db, int64_t now_ms)
{
	struct sdb_lease *lease;
	struct sdb_lease *tmp;
	int changed = 0;

	HASH_ITER(hh, db->leases, lease, tmp) {
		if (now_ms < lease->deadline_ms)
			continue;
		sdb_lease_revoke(db, lease);
		changed |= sdb_commit(db);
	}
	return changed;
}

static void clone_key(const struct sdb_kv *kv, void *priv)
{
	GTree *keys = priv;
	struct sdb_kv *clone = g_memdup2(kv, sizeof(*kv));

	clone->key = g_strdup(kv->key);
	clone->value = g_memdup2(kv->value, kv->value_len);
	g_tree_insert(keys, clone->key, clone);
}

/* to has no keys and leases. Leases end ttl_seconds after now_ms. */
static void clone_state(struct sdb *to, const struct sdb *from, int64_t now_ms)
{
	struct sdb_lease *lease;
	struct sdb_lease *tmp;

	sdb_each_key(from, "", "", clone_key, to->keys);
	HASH_ITER(hh, from->leases, lease, tmp) {
		sdb_lease_grant(to, lease->id, lease->ttl_seconds, now_ms);
	}
	to->revision = from->revision;
}

void sdb_take_copy(struct sdb *db)
{
	free_copy(db);
	db->copy = g_new0(struct sdb, 1);
	sdb_init(db->copy);
	clone_state(db->copy, db, 0);
}

/* Removes changes after revision from the history. */
static void forget_changes_after(struct sdb *db, int64_t revision)
{
	struct sdb_event *event;

	while ((event = g_queue_peek_tail(&db->history)) &&
	       event->kv.mod_revision > revision) {
		g_queue_pop_tail(&db->history);
		db->history_bytes -= event_bytes(event);
		event_free(event);
	}
	db->compacted_revision = MIN(db->compacted_revision, revision);
}

struct kept_keys {
	const char *prefix;
	GTree *kvs;
};

static void collect_kept_key(const struct sdb_kv *kv, void *priv)
{
	struct kept_keys *k = priv;

	if (g_str_has_prefix(kv->key, k->prefix))
		clone_key(kv, k->kvs);
}

struct deleted_keys {
	const struct kept_keys *kept;
	GPtrArray *names;
};

static void collect_deleted_key(const struct sdb_kv *kv, void *priv)
{
	struct deleted_keys *d = priv;

	if (g_str_has_prefix(kv->key, d->kept->prefix) &&
	    !g_tree_lookup(d->kept->kvs, kv->key))
		g_ptr_array_add(d->names, g_strdup(kv->key));
}

static void write_kept_keys(struct sdb *db, const struct kept_keys *kept)
{
	struct deleted_keys d = { kept,
				  g_ptr_array_new_with_free_func(g_free) };
	GTreeNode *node = g_tree_node_first(kept->kvs);

	sdb_each_key(db, "", "", collect_deleted_key, &d);
	delete_keys(db, d.names);
	sdb_commit(db);
	for (; node; node = g_tree_node_next(node)) {
		const struct sdb_kv *kv = g_tree_node_value(node);

		sdb_put(db, kv->key, kv->value, kv->value_len, 0);
		sdb_commit(db);
	}
}

void sdb_restore(struct sdb *db, const char *keep, int64_t now_ms)
{
	struct kept_keys kept = { keep, g_tree_new_full(compare_keys, NULL,
							NULL, kv_free) };
	struct sdb empty;

	if (keep)
		sdb_each_key(db, "", "", collect_kept_key, &kept);
	sdb_init(&empty);
	g_tree_remove_all(db->keys);
	free_leases(db);
	clone_state(db, db->copy ? db->copy : &empty, now_ms);
	forget_changes_after(db, db->revision);
	if (keep)
		write_kept_keys(db, &kept);
	sdb_finish(&empty);
	g_tree_destroy(kept.kvs);
}
