#include "standins/common_storejson.h"
#include "store/etcd_json.h"

#include <string.h>

#define CODE_INVALID_ARGUMENT 3
#define CODE_NOT_FOUND 5
#define CODE_FAILED_PRECONDITION 9
#define CODE_UNIMPLEMENTED 12

const struct sjson_call_info sjson_calls[SJSON_CALLS] = {
	[SJSON_RANGE] = { "range", "/v3/kv/range" },
	[SJSON_TXN] = { "txn", "/v3/kv/txn" },
	[SJSON_LEASE_GRANT] = { "lease_grant", "/v3/lease/grant" },
	[SJSON_LEASE_KEEPALIVE] = { "lease_keepalive", "/v3/lease/keepalive" },
	[SJSON_LEASE_REVOKE] = { "lease_revoke", "/v3/lease/revoke" },
	[SJSON_WATCH] = { "watch", "/v3/watch" },
};

static void set_error(struct sjson_result *r, unsigned status, int code,
		      const char *message)
{
	json_decref(r->answer);
	r->status = status;
	r->write_applied = 0;
	r->answer = json_pack("{s:s, s:i, s:s}", "error", message, "code", code,
			      "message", message);
}

static void set_malformed_error(struct sjson_result *r)
{
	set_error(r, 400, CODE_INVALID_ARGUMENT, "malformed request");
}

static json_t *new_header(const struct sdb *db)
{
	json_t *h = json_object();
	char cluster_id[24];

	g_snprintf(cluster_id, sizeof(cluster_id), "%" G_GUINT64_FORMAT,
		   db->cluster_id);
	json_object_set_new(h, "cluster_id", json_string(cluster_id));
	json_object_set_new(h, "member_id", json_string("1"));
	json_object_set_new(h, "revision", etcd_json_new_int64(db->revision));
	json_object_set_new(h, "raft_term", json_string("2"));
	return h;
}

static json_t *new_answer(const struct sdb *db)
{
	json_t *a = json_object();

	json_object_set_new(a, "header", new_header(db));
	return a;
}

/* etcd's JSON omits fields that have their default value. */
static void set_int64(json_t *object, const char *name, int64_t value)
{
	if (value)
		json_object_set_new(object, name, etcd_json_new_int64(value));
}

static json_t *new_kv(const struct sdb_kv *kv)
{
	json_t *v = json_object();

	json_object_set_new(v, "key",
			    etcd_json_new_bytes(kv->key, strlen(kv->key)));
	set_int64(v, "create_revision", kv->create_revision);
	set_int64(v, "mod_revision", kv->mod_revision);
	set_int64(v, "version", kv->version);
	set_int64(v, "lease", kv->lease);
	if (kv->value_len)
		json_object_set_new(
			v, "value",
			etcd_json_new_bytes(kv->value, kv->value_len));
	return v;
}

static char *read_text(const json_t *object, const char *name)
{
	size_t len;

	return (char *)etcd_json_bytes(object, name, &len);
}

/* Sets *end to NULL if range_end is absent. Returns 0 if malformed. */
static int read_key_range(const json_t *object, char **key, char **end)
{
	*key = NULL;
	*end = NULL;
	if (!json_is_string(json_object_get(object, "key")))
		return 0;
	*key = read_text(object, "key");
	if (!*key)
		return 0;
	if (!json_object_get(object, "range_end"))
		return 1;
	*end = read_text(object, "range_end");
	if (*end)
		return 1;
	g_free(*key);
	*key = NULL;
	return 0;
}

struct range_visit {
	json_t *kvs;
	size_t count;
};

static void visit_kv(const struct sdb_kv *kv, void *priv)
{
	struct range_visit *v = priv;

	json_array_append_new(v->kvs, new_kv(kv));
	v->count++;
}

static int run_range(struct sdb *db, const json_t *request, json_t *answer,
		     size_t *keys)
{
	struct range_visit v = { json_array(), 0 };
	char *key;
	char *end;

	if (!read_key_range(request, &key, &end)) {
		json_decref(v.kvs);
		return 0;
	}
	sdb_each_key(db, key, end, visit_kv, &v);
	if (v.count)
		json_object_set(answer, "kvs", v.kvs);
	set_int64(answer, "count", (int64_t)v.count);
	*keys += v.count;
	json_decref(v.kvs);
	g_free(key);
	g_free(end);
	return 1;
}

/* Returns 1 if the compare is true, 0 if not, -1 if malformed or unsupported.
 */
static int evaluate_compare(const struct sdb *db, const json_t *c)
{
	static const struct sdb_kv absent = { 0 };
	const char *target = json_string_value(json_object_get(c, "target"));
	const char *result = json_string_value(json_object_get(c, "result"));
	char *key = read_text(c, "key");
	const struct sdb_kv *kv = key ? sdb_get(db, key) : NULL;
	int64_t actual;
	int64_t expected;
	int ok;

	g_free(key);
	if (!kv)
		kv = &absent;
	if (!key || !target || (result && strcmp(result, "EQUAL") != 0))
		return -1;
	if (strcmp(target, "MOD") == 0) {
		actual = kv->mod_revision;
		ok = etcd_json_int64(c, "mod_revision", &expected) == ERR_OK;
	} else if (strcmp(target, "CREATE") == 0) {
		actual = kv->create_revision;
		ok = etcd_json_int64(c, "create_revision", &expected) == ERR_OK;
	} else {
		return -1;
	}
	return ok ? actual == expected : -1;
}

static void check_put(struct sdb *db, const json_t *put, GHashTable *seen,
		      struct sjson_result *r)
{
	size_t len;
	char *key = read_text(put, "key");
	uint8_t *value = etcd_json_bytes(put, "value", &len);
	int64_t lease = 0;

	if (!key || !*key || !value ||
	    etcd_json_int64(put, "lease", &lease) != ERR_OK)
		set_malformed_error(r);
	else if (len > STORE_MAX_VALUE_BYTES)
		set_error(r, 400, CODE_INVALID_ARGUMENT,
			  "etcdserver: request is too large");
	else if (lease && !sdb_lease_find(db, lease))
		set_error(r, 404, CODE_NOT_FOUND,
			  "etcdserver: requested lease not found");
	else if (!g_hash_table_add(seen, g_strdup(key)))
		set_error(r, 400, CODE_INVALID_ARGUMENT,
			  "etcdserver: duplicate key given in txn request");
	g_free(key);
	g_free(value);
}

/*
 * A transaction applies all of its operations or none: checks them all first.
 * Returns 0, with the error in r, if one is not valid.
 */
static int check_operations(struct sdb *db, const json_t *list,
			    struct sjson_result *r)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const json_t *op;
	size_t i;

	json_array_foreach(list, i, op) {
		const json_t *put = json_object_get(op, "request_put");
		const json_t *del = json_object_get(op, "request_delete_range");

		if (put)
			check_put(db, put, seen, r);
		else if (!del)
			set_error(r, 501, CODE_UNIMPLEMENTED,
				  "stand-in: operation not supported");
		else if (!json_is_string(json_object_get(del, "key")))
			set_malformed_error(r);
		if (r->status != 200)
			break;
	}
	g_hash_table_destroy(seen);
	return r->status == 200;
}

static void run_put(struct sdb *db, const json_t *put)
{
	size_t len;
	char *key = read_text(put, "key");
	uint8_t *value = etcd_json_bytes(put, "value", &len);
	int64_t lease;

	if (key && value && etcd_json_int64(put, "lease", &lease) == ERR_OK)
		sdb_put(db, key, value, len, lease);
	g_free(key);
	g_free(value);
}

static void run_delete(struct sdb *db, const json_t *del)
{
	char *key;
	char *end;

	if (!read_key_range(del, &key, &end))
		return;
	sdb_delete(db, key, end);
	g_free(key);
	g_free(end);
}

static void run_operations(struct sdb *db, const json_t *list)
{
	const json_t *op;
	size_t i;

	json_array_foreach(list, i, op) {
		const json_t *put = json_object_get(op, "request_put");

		if (put)
			run_put(db, put);
		else
			run_delete(db,
				   json_object_get(op, "request_delete_range"));
	}
}

static void run_txn(struct sdb *db, const json_t *request,
		    struct sjson_result *r)
{
	const json_t *compares = json_object_get(request, "compare");
	const json_t *list;
	const json_t *c;
	int compares_hold = 1;
	size_t i;

	json_array_foreach(compares, i, c) {
		int ok = evaluate_compare(db, c);

		if (ok < 0) {
			set_malformed_error(r);
			return;
		}
		compares_hold &= ok;
	}
	list = json_object_get(request, compares_hold ? "success" : "failure");
	if (!check_operations(db, list, r))
		return;
	run_operations(db, list);
	sdb_commit(db);
	r->write_applied = compares_hold;
	r->key_count += json_array_size(compares) + json_array_size(list);
	r->answer = new_answer(db);
	if (compares_hold)
		json_object_set_new(r->answer, "succeeded", json_true());
}

static void run_lease_grant(struct sdb *db, const json_t *request, int64_t id,
			    int64_t now_ms, struct sjson_result *r)
{
	int64_t requested_id;
	int64_t ttl;

	if (etcd_json_int64(request, "TTL", &ttl) != ERR_OK || ttl < 1 ||
	    etcd_json_int64(request, "ID", &requested_id) != ERR_OK) {
		set_malformed_error(r);
		return;
	}
	if (requested_id)
		id = requested_id;
	if (!sdb_lease_grant(db, id, ttl, now_ms)) {
		set_error(r, 400, CODE_FAILED_PRECONDITION,
			  "etcdserver: lease already exists");
		return;
	}
	r->write_applied = 1;
	r->answer = new_answer(db);
	set_int64(r->answer, "ID", id);
	set_int64(r->answer, "TTL", ttl);
}

static void run_lease_keepalive(struct sdb *db, const json_t *request,
				int64_t now_ms, struct sjson_result *r)
{
	struct sdb_lease *lease;
	json_t *result;
	int64_t id;

	if (etcd_json_int64(request, "ID", &id) != ERR_OK) {
		set_malformed_error(r);
		return;
	}
	lease = sdb_lease_find(db, id);
	result = new_answer(db);
	set_int64(result, "ID", id);
	if (lease) {
		lease->deadline_ms = now_ms + lease->ttl_seconds * 1000;
		set_int64(result, "TTL", lease->ttl_seconds);
	}
	r->answer = json_pack("{s:o}", "result", result);
}

static void run_lease_revoke(struct sdb *db, const json_t *request,
			     struct sjson_result *r)
{
	struct sdb_lease *lease = NULL;
	int64_t id;

	if (etcd_json_int64(request, "ID", &id) == ERR_OK)
		lease = sdb_lease_find(db, id);
	if (!lease) {
		set_error(r, 404, CODE_NOT_FOUND,
			  "etcdserver: requested lease not found");
		return;
	}
	sdb_lease_revoke(db, lease);
	sdb_commit(db);
	r->write_applied = 1;
	r->answer = new_answer(db);
}

void sjson_run(struct sdb *db, enum sjson_call type, const json_t *request,
	       int64_t lease, int64_t now_ms, struct sjson_result *result)
{
	memset(result, 0, sizeof(*result));
	result->status = 200;
	sdb_expire(db, now_ms);
	switch (type) {
	case SJSON_RANGE:
		result->answer = new_answer(db);
		if (!run_range(db, request, result->answer, &result->key_count))
			set_malformed_error(result);
		break;
	case SJSON_TXN:
		run_txn(db, request, result);
		break;
	case SJSON_LEASE_GRANT:
		run_lease_grant(db, request, lease, now_ms, result);
		break;
	case SJSON_LEASE_KEEPALIVE:
		run_lease_keepalive(db, request, now_ms, result);
		break;
	case SJSON_LEASE_REVOKE:
		run_lease_revoke(db, request, result);
		break;
	default:
		set_malformed_error(result);
		break;
	}
}

int sjson_parse_watch(const struct sdb *db, const json_t *request,
		      struct sjson_watch *w)
{
	const json_t *create = json_object_get(request, "create_request");
	int64_t start;

	if (etcd_json_int64(create, "start_revision", &start) != ERR_OK ||
	    !read_key_range(create, &w->key, &w->end))
		return 0;
	w->next_revision = start > 0 ? start : db->revision + 1;
	return 1;
}

static json_t *new_watch_message(json_t *result)
{
	return json_pack("{s:o}", "result", result);
}

json_t *sjson_watch_created(const struct sdb *db)
{
	json_t *result = new_answer(db);

	json_object_set_new(result, "created", json_true());
	return new_watch_message(result);
}

json_t *sjson_watch_compacted(const struct sdb *db)
{
	json_t *result = new_answer(db);

	json_object_set_new(result, "canceled", json_true());
	set_int64(result, "compact_revision", db->compacted_revision + 1);
	return new_watch_message(result);
}

json_t *sjson_watch_progress(const struct sdb *db)
{
	return new_watch_message(new_answer(db));
}

struct event_visit {
	const struct sjson_watch *w;
	json_t *events;
};

static void visit_event(const struct sdb_event *event, void *priv)
{
	struct event_visit *v = priv;
	json_t *e;

	if (!sdb_in_range(event->kv.key, v->w->key, v->w->end))
		return;
	e = json_object();
	if (event->deleted)
		json_object_set_new(e, "type", json_string("DELETE"));
	json_object_set_new(e, "kv", new_kv(&event->kv));
	json_array_append_new(v->events, e);
}

json_t *sjson_watch_events(const struct sdb *db, struct sjson_watch *w,
			   size_t *count)
{
	struct event_visit v = { w, json_array() };
	json_t *result;

	sdb_each_event(db, w->next_revision, visit_event, &v);
	if (w->next_revision <= db->revision)
		w->next_revision = db->revision + 1;
	*count = json_array_size(v.events);
	if (!*count) {
		json_decref(v.events);
		return NULL;
	}
	result = new_answer(db);
	json_object_set_new(result, "events", v.events);
	return new_watch_message(result);
}
