#include "store/etcd_json.h"
#include "common/log.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum err etcd_json_int64(const json_t *object, const char *name, int64_t *out)
{
	const json_t *v = json_object_get(object, name);
	gint64 n;

	*out = 0;
	if (!v)
		return ERR_OK;
	if (json_is_integer(v)) {
		*out = json_integer_value(v);
		return ERR_OK;
	}
	if (!json_is_string(v) ||
	    !g_ascii_string_to_signed(json_string_value(v), 10, G_MININT64,
				      G_MAXINT64, &n, NULL))
		return ERR_MALFORMED;
	*out = n;
	return ERR_OK;
}

/* Returns the value of a base64 digit, above 63 for other characters. */
static unsigned digit_value(unsigned char c)
{
	if (c >= 'A' && c <= 'Z')
		return c - 'A';
	if (c >= 'a' && c <= 'z')
		return c - 'a' + 26u;
	if (c >= '0' && c <= '9')
		return c - '0' + 52u;
	return c == '+' ? 62 : c == '/' ? 63 : 255;
}

/* Fills the values of all characters; a look-up takes a third of the time. */
static const uint8_t *digit_values(void)
{
	static uint8_t values[256];

	if (!values[0]) {
		for (unsigned c = 0; c < 256; c++)
			values[c] = (uint8_t)digit_value((unsigned char)c);
	}
	return values;
}

/* GLib's decoder skips characters that are not base64. */
uint8_t *etcd_json_decode(const char *text, size_t len, size_t *out_len)
{
	const uint8_t *values = digit_values();
	const unsigned char *p = (const unsigned char *)text;
	size_t padding = 0;
	uint8_t *data, *out;
	unsigned bad = 0;

	*out_len = 0;
	if (len % 4)
		return NULL;
	while (padding < 2 && padding < len && text[len - 1 - padding] == '=')
		padding++;
	data = g_malloc(len / 4 * 3 + 4);
	out = data;
	for (size_t i = 0; i < len; i += 4, p += 4) {
		int last = i + 4 == len;
		unsigned a = values[p[0]], b = values[p[1]];
		unsigned c = last && padding == 2 ? 0 : values[p[2]];
		unsigned d = last && padding ? 0 : values[p[3]];

		bad |= a | b | c | d;
		*out++ = (uint8_t)(a << 2 | b >> 4);
		*out++ = (uint8_t)(b << 4 | c >> 2);
		*out++ = (uint8_t)(c << 6 | d);
	}
	if (bad > 63) {
		g_free(data);
		return NULL;
	}
	*out_len = (size_t)(out - data) - padding;
	data[*out_len] = 0;
	return data;
}

uint8_t *etcd_json_bytes(const json_t *object, const char *name, size_t *len)
{
	const json_t *v = json_object_get(object, name);
	const char *text = v ? json_string_value(v) : "";

	*len = 0;
	return text ? etcd_json_decode(text, v ? json_string_length(v) : 0, len)
		    : NULL;
}

json_t *etcd_json_new_bytes(const void *data, size_t len)
{
	char *text = g_base64_encode(len ? data : (const void *)"", len);
	json_t *v = json_string(text);

	g_free(text);
	return v;
}

json_t *etcd_json_new_int64(int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" PRId64, value);
	return json_string(text);
}

static char *serialize_and_free(json_t *root)
{
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

/*
 * Adds the members key and range_end that select all keys that start with
 * prefix. The end is the prefix with its last byte increased; a single zero
 * byte means no end.
 */
static void add_prefix(json_t *object, const char *prefix)
{
	size_t len = strlen(prefix);
	char *end = g_strdup(prefix);
	size_t n = len;

	while (n && (uint8_t)end[n - 1] == 0xff)
		n--;
	if (n)
		end[n - 1]++;
	json_object_set_new(object, "key",
			    len ? etcd_json_new_bytes(prefix, len)
				: etcd_json_new_bytes("\0", 1));
	json_object_set_new(object, "range_end",
			    n ? etcd_json_new_bytes(end, n)
			      : etcd_json_new_bytes("\0", 1));
	g_free(end);
}

static void add_key(json_t *object, const char *key)
{
	json_object_set_new(object, "key",
			    etcd_json_new_bytes(key, strlen(key)));
}

char *etcd_json_range(const char *key, int prefix)
{
	json_t *root = json_object();

	if (prefix)
		add_prefix(root, key);
	else
		add_key(root, key);
	return serialize_and_free(root);
}

static json_t *new_compare(const struct store_compare *c)
{
	json_t *v = json_object();

	add_key(v, c->key);
	json_object_set_new(v, "target", json_string("MOD"));
	json_object_set_new(v, "result", json_string("EQUAL"));
	json_object_set_new(v, "mod_revision",
			    etcd_json_new_int64(c->mod_revision));
	return v;
}

static json_t *new_operation(const struct store_put *p)
{
	json_t *v = json_object();
	json_t *op = json_object();

	add_key(op, p->key);
	if (!p->value) {
		json_object_set_new(v, "request_delete_range", op);
		return v;
	}
	json_object_set_new(op, "value",
			    etcd_json_new_bytes(p->value, p->value_len));
	if (p->lease)
		json_object_set_new(op, "lease", etcd_json_new_int64(p->lease));
	json_object_set_new(v, "request_put", op);
	return v;
}

char *etcd_json_txn(const struct store_compare *compares, size_t compare_count,
		    const struct store_put *puts, size_t put_count)
{
	json_t *root = json_object();
	json_t *compare = json_array();
	json_t *success = json_array();

	for (size_t i = 0; i < compare_count; i++)
		json_array_append_new(compare, new_compare(&compares[i]));
	for (size_t i = 0; i < put_count; i++)
		json_array_append_new(success, new_operation(&puts[i]));
	json_object_set_new(root, "compare", compare);
	json_object_set_new(root, "success", success);
	return serialize_and_free(root);
}

char *etcd_json_lease_grant(int ttl_seconds)
{
	json_t *root = json_object();

	json_object_set_new(root, "TTL", etcd_json_new_int64(ttl_seconds));
	return serialize_and_free(root);
}

char *etcd_json_lease_keepalive(int64_t lease)
{
	json_t *root = json_object();

	json_object_set_new(root, "ID", etcd_json_new_int64(lease));
	return serialize_and_free(root);
}

char *etcd_json_watch(const char *prefix, int64_t start_revision)
{
	json_t *root = json_object();
	json_t *create = json_object();

	add_prefix(create, prefix);
	json_object_set_new(create, "start_revision",
			    etcd_json_new_int64(start_revision));
	json_object_set_new(create, "progress_notify", json_true());
	json_object_set_new(root, "create_request", create);
	return serialize_and_free(root);
}

/* A cluster that is restored from a copy gets a new id. */
static uint64_t read_era(const json_t *header)
{
	const json_t *id = json_object_get(header, "cluster_id");

	if (json_is_integer(id))
		return (uint64_t)json_integer_value(id);
	return json_is_string(id)
		       ? g_ascii_strtoull(json_string_value(id), NULL, 10)
		       : 0;
}

/* Every valid answer has a header with a revision of at least 1. */
static enum err read_header(const json_t *answer, int64_t *revision,
			    uint64_t *era)
{
	const json_t *header = json_object_get(answer, "header");

	*era = read_era(header);

	if (!json_is_object(header) ||
	    etcd_json_int64(header, "revision", revision) != ERR_OK ||
	    *revision < 1)
		return ERR_MALFORMED;
	return ERR_OK;
}

/*
 * Returns ERR_RANGE for a key with a NUL in it, which is another writer's: it
 * is left out of lists.
 */
static enum err read_kv(const json_t *object, struct store_kv *kv)
{
	enum err e = ERR_MALFORMED;
	size_t key_len;
	char *key;

	memset(kv, 0, sizeof(*kv));
	if (!json_is_object(object))
		return ERR_MALFORMED;
	key = (char *)etcd_json_bytes(object, "key", &key_len);
	kv->key = key;
	kv->value = etcd_json_bytes(object, "value", &kv->value_len);
	if (key && key_len && kv->value &&
	    etcd_json_int64(object, "mod_revision", &kv->mod_revision) ==
		    ERR_OK &&
	    kv->mod_revision >= 1)
		e = strlen(key) == key_len ? ERR_OK : ERR_RANGE;
	if (e != ERR_OK) {
		g_free(key);
		g_free((void *)kv->value);
		memset(kv, 0, sizeof(*kv));
	}
	return e;
}

void etcd_json_free_kvs(const struct store_kv *kvs, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		g_free((void *)kvs[i].key);
		g_free((void *)kvs[i].value);
	}
	g_free((void *)kvs);
}

static int compare_kv_keys(const void *a, const void *b)
{
	const struct store_kv *x = a;
	const struct store_kv *y = b;

	return strcmp(x->key, y->key);
}

static enum err read_kvs(const json_t *list, struct store_range *result)
{
	size_t count = json_array_size(list);
	struct store_kv *kvs = g_new0(struct store_kv, count + 1);
	size_t used = 0;

	for (size_t i = 0; i < count; i++) {
		enum err e = read_kv(json_array_get(list, i), &kvs[used]);

		if (e == ERR_MALFORMED) {
			etcd_json_free_kvs(kvs, used);
			return ERR_MALFORMED;
		}
		used += e == ERR_OK;
	}
	if (used < count)
		log_request(LOG_WARN, "keys_unreadable", "left_out=%zu of=%zu",
			    count - used, count);
	qsort(kvs, used, sizeof(*kvs), compare_kv_keys);
	result->kvs = kvs;
	result->count = used;
	return ERR_OK;
}

enum err etcd_json_read_range(const void *data, size_t len,
			      struct store_range *result)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	const json_t *list = json_object_get(root, "kvs");
	enum err e = ERR_MALFORMED;

	memset(result, 0, sizeof(*result));
	if (list && !json_is_array(list))
		goto out;
	if (read_header(root, &result->revision, &result->era) != ERR_OK)
		goto out;
	e = read_kvs(list, result);
out:
	json_decref(root);
	return e;
}

enum err etcd_json_read_txn(const void *data, size_t len, int *succeeded,
			    int64_t *revision, uint64_t *era)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	const json_t *v = json_object_get(root, "succeeded");
	enum err e = read_header(root, revision, era);

	if (v && !json_is_boolean(v))
		e = ERR_MALFORMED;
	*succeeded = json_is_true(v);
	json_decref(root);
	return e;
}

enum err etcd_json_read_lease(const void *data, size_t len, int64_t *lease,
			      int64_t *ttl, uint64_t *era)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	const json_t *answer = json_object_get(root, "result");
	int64_t revision;
	enum err e;

	if (!answer)
		answer = root;
	e = read_header(answer, &revision, era);
	if (e == ERR_OK)
		e = etcd_json_int64(answer, "ID", lease);
	if (e == ERR_OK)
		e = etcd_json_int64(answer, "TTL", ttl);
	json_decref(root);
	return e;
}

static enum err read_event(const json_t *object, struct store_event *event)
{
	const char *type = json_string_value(json_object_get(object, "type"));
	struct store_kv kv;
	enum err e = read_kv(json_object_get(object, "kv"), &kv);

	if (e != ERR_OK)
		return e;
	event->key = kv.key;
	event->value = kv.value;
	event->value_len = kv.value_len;
	event->mod_revision = kv.mod_revision;
	if (type && strcmp(type, "DELETE") == 0) {
		g_free((void *)event->value);
		event->value = NULL;
		event->value_len = 0;
	}
	return ERR_OK;
}

static enum err read_events(const json_t *list, struct etcd_watch_message *m)
{
	size_t count = json_array_size(list);

	m->events = g_new0(struct store_event, count + 1);
	for (size_t i = 0; i < count; i++) {
		enum err e = read_event(json_array_get(list, i),
					&m->events[m->event_count]);

		if (e == ERR_MALFORMED)
			return e;
		m->event_count += e == ERR_OK;
	}
	if (m->event_count < count)
		log_request(LOG_WARN, "events_unreadable",
			    "left_out=%zu of=%zu", count - m->event_count,
			    count);
	return ERR_OK;
}

static enum err read_watch_result(const json_t *result,
				  struct etcd_watch_message *m)
{
	const json_t *list = json_object_get(result, "events");

	if (list && !json_is_array(list))
		return ERR_MALFORMED;
	m->created = json_is_true(json_object_get(result, "created"));
	m->canceled = json_is_true(json_object_get(result, "canceled"));
	if (read_header(result, &m->revision, &m->era) != ERR_OK ||
	    etcd_json_int64(result, "compact_revision", &m->compact_revision) !=
		    ERR_OK)
		return ERR_MALFORMED;
	return read_events(list, m);
}

enum err etcd_json_read_watch(const void *data, size_t len,
			      struct etcd_watch_message *m)
{
	json_t *root = json_loadb(data, len, 0, NULL);
	enum err e = ERR_OK;

	memset(m, 0, sizeof(*m));
	if (json_object_get(root, "error"))
		m->error = 1;
	else
		e = read_watch_result(json_object_get(root, "result"), m);
	json_decref(root);
	if (e != ERR_OK)
		etcd_json_free_watch(m);
	return e;
}

void etcd_json_free_watch(struct etcd_watch_message *m)
{
	for (size_t i = 0; i < m->event_count; i++) {
		g_free((void *)m->events[i].key);
		g_free((void *)m->events[i].value);
	}
	g_free(m->events);
	memset(m, 0, sizeof(*m));
}
