#include "common/clk.h"
#include "standins/common_relay.h"
#include "standins/common_storesrv.h"
#include "store/store.h"
#include "test/unit/fake.h"

#include <glib.h>
#include <string.h>

/* Long enough that only a test that hangs reaches it. */
#define WAIT_LIMIT_MS 30000
#define CALL_TIMEOUT_MS 1000

/* The etcd driver and the stand-in of the store, on one loop. */
struct fixture {
	struct ev_loop *loop;
	struct ssrv srv;
	struct store *store;
};

struct result {
	int done;
	enum err e;
	int64_t number; /* revision or lease */
	size_t count;
	GBytes *value; /* of the first key */
};

/* What a watch has reported. */
struct watch_record {
	GString *log; /* "key=value@revision " or "key-@revision " */
	int ended;
	enum err why;
};

static struct store *open_store(struct ev_loop *loop, unsigned port)
{
	char *endpoint = g_strdup_printf("http://127.0.0.1:%u", port);
	struct store *s;
	enum err e;

	e = etcd_open(&s, loop, endpoint, CALL_TIMEOUT_MS, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	g_free(endpoint);
	return s;
}

static void setup(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->loop = ev_loop_new(0);
	g_assert_cmpint(ssrv_init(&f->srv, f->loop, "127.0.0.1", 0, 1, 0, NULL),
			==, ERR_OK);
	f->store = open_store(f->loop, ssrv_port(&f->srv));
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	if (f->store)
		f->store->ops->finish(f->store);
	ssrv_finish(&f->srv);
	ev_loop_destroy(f->loop);
}

static void wait_for(struct ev_loop *loop, const int *flag)
{
	int64_t limit = clk_ms() + WAIT_LIMIT_MS;

	while (!*flag && clk_ms() < limit)
		ev_run(loop, EVRUN_ONCE);
	g_assert_true(*flag);
}

static void run_for(struct ev_loop *loop, int ms)
{
	int64_t end = clk_ms() + ms;

	while (clk_ms() < end) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static void on_range(enum err e, const struct store_range *range, void *priv)
{
	struct result *r = priv;

	g_assert_false(r->done);
	r->done = 1;
	r->e = e;
	r->number = range->revision;
	r->count = range->count;
	if (range->count)
		r->value = g_bytes_new(range->kvs[0].value,
				       range->kvs[0].value_len);
}

static void on_number(enum err e, int64_t number, void *priv)
{
	struct result *r = priv;

	g_assert_false(r->done);
	r->done = 1;
	r->e = e;
	r->number = number;
}

static struct result do_range(struct fixture *f, const char *key, int prefix)
{
	struct result r = { 0 };

	f->store->ops->range(f->store, key, prefix, on_range, &r);
	g_assert_false(r.done);
	wait_for(f->loop, &r.done);
	return r;
}

static enum err do_txn(struct fixture *f, const struct store_compare *compares,
		       size_t compare_count, const struct store_put *puts,
		       size_t put_count)
{
	struct result r = { 0 };

	f->store->ops->txn(f->store, compares, compare_count, puts, put_count,
			   on_number, &r);
	g_assert_false(r.done);
	wait_for(f->loop, &r.done);
	return r.e;
}

static enum err do_put(struct fixture *f, const char *key, const char *value,
		       int64_t lease)
{
	struct store_put p = { key, (const uint8_t *)value, strlen(value),
			       lease };

	return do_txn(f, NULL, 0, &p, 1);
}

/* Reads key through the driver; value NULL: the key must be absent. */
static void assert_value(struct fixture *f, const char *key, const char *value)
{
	struct result r = do_range(f, key, 0);

	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpuint(r.count, ==, value ? 1 : 0);
	if (!value)
		return;
	g_assert_cmpmem(g_bytes_get_data(r.value, NULL),
			g_bytes_get_size(r.value), value, strlen(value));
	g_bytes_unref(r.value);
}

static void on_event(const struct store_event *event, void *priv)
{
	struct watch_record *s = priv;

	g_string_append_printf(s->log, "%s", event->key);
	if (event->value)
		g_string_append_printf(s->log, "=%.*s", (int)event->value_len,
				       (const char *)event->value);
	else
		g_string_append_c(s->log, '-');
	g_string_append_printf(s->log, "@%d ", (int)event->mod_revision);
}

static void on_ended(enum err why, void *priv)
{
	struct watch_record *s = priv;

	s->ended = 1;
	s->why = why;
}

static const struct store_watch_ops watch_record_ops = { on_event, on_ended };

static void wait_for_log(struct ev_loop *loop, struct watch_record *s,
			 const char *expected)
{
	int64_t limit = clk_ms() + WAIT_LIMIT_MS;

	while (s->log->len < strlen(expected) && !s->ended && clk_ms() < limit)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpstr(s->log->str, ==, expected);
}

/* Guards against a transaction that writes after a comparison has failed. */
static void test_lost_compare(struct fixture *f, gconstpointer data)
{
	struct store_compare c[] = { { "a", 0 }, { "b", 0 } };
	struct store_put p[] = { { "a", (const uint8_t *)"1", 1, 0 },
				 { "b", (const uint8_t *)"1", 1, 0 } };

	(void)data;
	g_assert_cmpint(do_put(f, "b", "0", 0), ==, ERR_OK);
	g_assert_cmpint(do_txn(f, c, 2, p, 2), ==, ERR_CONFLICT);
	assert_value(f, "a", NULL);
	assert_value(f, "b", "0");
	c[1].mod_revision = f->srv.db.revision;
	g_assert_cmpint(do_txn(f, c, 2, p, 2), ==, ERR_OK);
	assert_value(f, "a", "1");
	assert_value(f, "b", "1");
	p[1].value = NULL;
	g_assert_cmpint(do_txn(f, NULL, 0, &p[1], 1), ==, ERR_OK);
	assert_value(f, "b", NULL);
}

/*
 * Guards against a write that is sent twice. libcurl repeats a request if its
 * reused connection closes without an answer.
 */
static void test_answer_lost(struct fixture *f, gconstpointer data)
{
	struct store_compare c = { "a", 0 };
	struct store_put p = { "a", (const uint8_t *)"1", 1, 0 };
	int silently = GPOINTER_TO_INT(data);

	assert_value(f, "a", NULL);
	f->srv.lose_count = 1;
	f->srv.lose_silently = silently;
	g_assert_cmpint(do_txn(f, &c, 1, &p, 1), ==, ERR_TIMEOUT);
	g_assert_cmpuint(f->srv.counts[SJSON_TXN].calls, ==, 1);
	assert_value(f, "a", "1");
	g_assert_cmpint(do_txn(f, &c, 1, &p, 1), ==, ERR_CONFLICT);
}

/*
 * Guards against reporting a write as not done after a timeout. The store may
 * carry it out later.
 */
static void test_late_effect(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->srv.slow_ms = 2 * CALL_TIMEOUT_MS + 400;
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	g_assert_null(sdb_get(&f->srv.db, "a"));
	f->srv.slow_ms = 0;
	run_for(f->loop, 600);
	assert_value(f, "a", "1");
}

/*
 * Guards against reporting a write as not sent if the store received it but
 * refused or did not answer it.
 */
static void test_outage(struct fixture *f, gconstpointer data)
{
	(void)data;
	ssrv_down(&f->srv, SSRV_REFUSE);
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_TIMEOUT);
	ssrv_down(&f->srv, SSRV_SILENT);
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_TIMEOUT);
	ssrv_up(&f->srv);
	assert_value(f, "a", NULL);
	g_assert_cmpuint(f->store->counts.failures, ==, 4);
}

/* Guards against an unknown result of a call that could not connect. */
static void test_never_sent(struct fixture *f, gconstpointer data)
{
	struct store *original = f->store;
	struct ssrv other;

	(void)data;
	g_assert_cmpint(ssrv_init(&other, f->loop, "127.0.0.1", 0, 1, 0, NULL),
			==, ERR_OK);
	f->store = open_store(f->loop, ssrv_port(&other));
	ssrv_finish(&other);
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_STORE_DOWN);
	g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_STORE_DOWN);
	f->store->ops->finish(f->store);
	f->store = original;
}

/*
 * Guards against a timeout for each of several connections that have stopped
 * to carry data. After the first timeout, calls use new connections.
 */
static void test_silent_connections(struct fixture *f, gconstpointer data)
{
	static const struct relay_setting silent = { RELAY_SILENT, 0 };
	struct relay *relay = g_new0(struct relay, 1);
	struct relay_forward *forward = &relay->forwards[0];
	struct store *original = f->store;
	struct result open[4] = { 0 };
	char *spec;
	enum err e;

	(void)data;
	relay_init(relay, f->loop, 0, NULL);
	spec = g_strdup_printf("0:127.0.0.1:%u", ssrv_port(&f->srv));
	e = relay_add(relay, spec, NULL);
	g_assert_cmpint(e, ==, ERR_OK);
	f->store = open_store(f->loop, forward->port);
	f->srv.slow_ms = 50;
	for (size_t i = 0; i < G_N_ELEMENTS(open); i++)
		f->store->ops->range(f->store, "a", 0, on_range, &open[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(open); i++)
		wait_for(f->loop, &open[i].done);
	f->srv.slow_ms = 0;
	g_assert_cmpuint(forward->counts.open, ==, G_N_ELEMENTS(open));
	relay_set(forward, RELAY_IN, &silent, RELAY_EXISTING);
	relay_set(forward, RELAY_OUT, &silent, RELAY_EXISTING);
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	g_assert_cmpint(do_put(f, "a", "2", 0), ==, ERR_OK);
	assert_value(f, "a", "2");
	f->store->ops->finish(f->store);
	f->store = original;
	relay_finish(relay);
	g_free(relay);
	g_free(spec);
}

static void put_in_database(struct fixture *f, const char *key,
			    const char *value)
{
	sdb_put(&f->srv.db, key, value, strlen(value), 0);
	sdb_commit(&f->srv.db);
	ssrv_flush_watches(&f->srv);
}

/* Guards against lost or repeated events when a watch's connection breaks. */
static void test_watch_reconnect(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };
	GString *expected = g_string_new(NULL);
	GRand *rand = g_rand_new_with_seed(7);
	struct store_watch *w;

	(void)data;
	put_in_database(f, "doc/old", "0");
	w = f->store->ops->watch(f->store, "doc/", f->srv.db.revision, 0,
				 &watch_record_ops, &s);
	for (int i = 0; i < 60; i++) {
		char value[16];

		if (i % 10 == 4)
			ssrv_drop_watches(&f->srv, SSRV_ALL);
		g_snprintf(value, sizeof(value), "%d", i);
		put_in_database(f, "doc/a", value);
		g_string_append_printf(expected, "doc/a=%s@%d ", value,
				       (int)f->srv.db.revision);
		put_in_database(f, "docs", value);
		run_for(f->loop, g_rand_int_range(rand, 0, 30));
	}
	sdb_delete(&f->srv.db, "doc/a", NULL);
	sdb_commit(&f->srv.db);
	ssrv_flush_watches(&f->srv);
	g_string_append_printf(expected, "doc/a-@%d ", (int)f->srv.db.revision);
	wait_for_log(f->loop, &s, expected->str);
	g_assert_cmpuint(f->store->counts.watches, >, 1);
	f->store->ops->unwatch(f->store, w);
	put_in_database(f, "doc/a", "late");
	run_for(f->loop, 50);
	g_assert_cmpstr(s.log->str, ==, expected->str);
	g_assert_false(s.ended);
	g_rand_free(rand);
	g_string_free(expected, TRUE);
	g_string_free(s.log, TRUE);
}

/* Guards against a watch that is not opened again after an outage. */
static void test_watch_outage(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };
	enum ssrv_mode mode = (enum ssrv_mode)GPOINTER_TO_INT(data);

	f->store->ops->watch(f->store, "", 1, 0, &watch_record_ops, &s);
	put_in_database(f, "a", "1");
	wait_for_log(f->loop, &s, "a=1@2 ");
	ssrv_down(&f->srv, mode);
	put_in_database(f, "b", "2");
	run_for(f->loop, 400);
	g_assert_cmpstr(s.log->str, ==, "a=1@2 ");
	ssrv_up(&f->srv);
	put_in_database(f, "c", "3");
	wait_for_log(f->loop, &s, "a=1@2 b=2@3 c=3@4 ");
	g_assert_false(s.ended);
	g_string_free(s.log, TRUE);
}

/*
 * Guards against missing an event after a progress message, which moves the
 * revision from which a lost stream is opened again.
 */
static void test_watch_progress(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };

	(void)data;
	f->store->ops->watch(f->store, "a", 1, 0, &watch_record_ops, &s);
	put_in_database(f, "other", "1");
	run_for(f->loop, 50);
	ssrv_on_progress(f->loop, &f->srv.progress, 0);
	run_for(f->loop, 50);
	ssrv_drop_watches(&f->srv, SSRV_ALL);
	run_for(f->loop, 50);
	put_in_database(f, "a", "2");
	wait_for_log(f->loop, &s, "a=2@3 ");
	g_string_free(s.log, TRUE);
}

/* Guards against missing events without notice when the store has compacted. */
static void test_watch_compacted(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };

	(void)data;
	put_in_database(f, "a", "1");
	put_in_database(f, "a", "2");
	sdb_compact(&f->srv.db, f->srv.db.revision);
	f->store->ops->watch(f->store, "a", 1, 0, &watch_record_ops, &s);
	wait_for(f->loop, &s.ended);
	g_assert_cmpint(s.why, ==, ERR_STALE);
	g_assert_cmpstr(s.log->str, ==, "");
	g_string_free(s.log, TRUE);
}

/* Guards against a lease that ends too late or too early. */
static void test_lease_expiry(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };
	struct result grant = { 0 };
	struct result alive = { 0 };
	struct result late = { 0 };

	(void)data;
	f->store->ops->lease_grant(f->store, 10, on_number, &grant);
	wait_for(f->loop, &grant.done);
	g_assert_cmpint(grant.e, ==, ERR_OK);
	g_assert_cmpint(do_put(f, "live", "n01", grant.number), ==, ERR_OK);
	f->store->ops->lease_keepalive(f->store, grant.number, on_number,
				       &alive);
	wait_for(f->loop, &alive.done);
	g_assert_cmpint(alive.e, ==, ERR_OK);
	g_assert_cmpint(alive.number, ==, grant.number);
	g_assert_false(sdb_expire(&f->srv.db, clk_ms() + 9000));
	f->store->ops->watch(f->store, "live", f->srv.db.revision, 0,
			     &watch_record_ops, &s);
	g_assert_true(sdb_expire(&f->srv.db, clk_ms() + 10001));
	wait_for_log(f->loop, &s, "live-@3 ");
	f->store->ops->lease_keepalive(f->store, grant.number, on_number,
				       &late);
	wait_for(f->loop, &late.done);
	g_assert_cmpint(late.e, ==, ERR_NOT_FOUND);
	g_string_free(s.log, TRUE);
}

/* Guards against reporting success for a write with an unknown lease. */
static void test_lease_unknown(struct fixture *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(do_put(f, "live", "n01", 12345), ==, ERR_TIMEOUT);
	assert_value(f, "live", NULL);
}

/*
 * Guards against sending a value that is too large for the store, and against
 * refusing one of just the largest size.
 */
static void test_oversize(struct fixture *f, gconstpointer data)
{
	uint8_t *bytes = g_malloc(STORE_MAX_VALUE_BYTES + 1);
	struct store_put p = { "a", bytes, STORE_MAX_VALUE_BYTES + 1, 0 };
	struct result r;

	(void)data;
	for (size_t i = 0; i <= STORE_MAX_VALUE_BYTES; i++)
		bytes[i] = (uint8_t)(i * 7 + i / 256);
	g_assert_cmpint(do_txn(f, NULL, 0, &p, 1), ==, ERR_TOO_LARGE);
	g_assert_cmpuint(f->srv.counts[SJSON_TXN].calls, ==, 0);
	p.value_len = STORE_MAX_VALUE_BYTES;
	g_assert_cmpint(do_txn(f, NULL, 0, &p, 1), ==, ERR_OK);
	r = do_range(f, "a", 0);
	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpmem(g_bytes_get_data(r.value, NULL),
			g_bytes_get_size(r.value), bytes,
			STORE_MAX_VALUE_BYTES);
	g_bytes_unref(r.value);
	g_free(bytes);
}

static size_t count_keys(struct fixture *f, const char *key, int prefix)
{
	struct result r = do_range(f, key, prefix);

	g_clear_pointer(&r.value, g_bytes_unref);
	return r.count;
}

/* Guards against a prefix range that ends too early or too late. */
static void test_prefix(struct fixture *f, gconstpointer data)
{
	static const char *const keys[] = { "a",   "a/", "a/1", "a/\xff",
					    "a/z", "a0", "b",	"\xff\xff" };

	(void)data;
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		put_in_database(f, keys[i], "");
	g_assert_cmpuint(count_keys(f, "a/", 1), ==, 4);
	g_assert_cmpuint(count_keys(f, "a/\xff", 1), ==, 1);
	g_assert_cmpuint(count_keys(f, "\xff", 1), ==, 1);
	g_assert_cmpuint(count_keys(f, "", 1), ==, G_N_ELEMENTS(keys));
	g_assert_cmpuint(count_keys(f, "a/", 0), ==, 1);
}

static void on_range_finish(enum err e, const struct store_range *r, void *priv)
{
	struct fixture *f = priv;

	g_assert_cmpint(e, ==, ERR_OK);
	f->store->ops->finish(f->store);
	f->store = NULL;
	g_assert_cmpuint(r->count, ==, 1);
}

static void on_range_never(enum err e, const struct store_range *r, void *priv)
{
	(void)e;
	(void)r;
	(void)priv;
	g_assert_not_reached();
}

/* Guards against use after free when a callback finishes the store. */
static void test_finish_in_callback(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };

	(void)data;
	put_in_database(f, "a", "1");
	f->srv.slow_ms = 20;
	f->store->ops->watch(f->store, "a", 0, 0, &watch_record_ops, &s);
	f->store->ops->range(f->store, "a", 0, on_range_finish, f);
	run_for(f->loop, 10);
	f->store->ops->range(f->store, "a", 0, on_range_never, f);
	run_for(f->loop, 200);
	g_assert_null(f->store);
	g_assert_false(s.ended);
	g_string_free(s.log, TRUE);
}

struct unwatch_state {
	struct fixture *f;
	struct store_watch *w;
	int count;
};

static void on_event_unwatch(const struct store_event *event, void *priv)
{
	struct unwatch_state *o = priv;

	(void)event;
	o->count++;
	o->f->store->ops->unwatch(o->f->store, o->w);
}

/* Guards against events after unwatch, also events of the same message. */
static void test_unwatch_in_event(struct fixture *f, gconstpointer data)
{
	static const struct store_watch_ops ops = { on_event_unwatch,
						    on_ended };
	struct unwatch_state o = { f, NULL, 0 };

	(void)data;
	put_in_database(f, "a", "1");
	put_in_database(f, "a", "2");
	o.w = f->store->ops->watch(f->store, "a", 1, 0, &ops, &o);
	run_for(f->loop, 100);
	g_assert_cmpint(o.count, ==, 1);
}

/* A server that gives the answer in body to each call. */
struct canned {
	struct httpd httpd;
	const char *body;
	int requests;
	int streamed;
};

static void on_canned_request(struct httpd_request *r, void *priv)
{
	struct canned *c = priv;

	c->requests++;
	if (!c->streamed) {
		httpd_answer_text(r, 200, "application/json", c->body);
		return;
	}
	httpd_stream_begin(r, 200, "application/json");
	httpd_stream_send(r, c->body, strlen(c->body));
}

static const struct httpd_ops canned_ops = { .request = on_canned_request };

static void canned_setup(struct fixture *f, struct canned *c)
{
	unsigned port;

	memset(c, 0, sizeof(*c));
	g_assert_cmpint(httpd_init(&c->httpd, f->loop, "127.0.0.1", 0, 100000,
				   60, &canned_ops, c, NULL),
			==, ERR_OK);
	port = httpd_port(&c->httpd);
	f->store->ops->finish(f->store);
	f->store = open_store(f->loop, port);
}

#define HEADER "\"header\":{\"revision\":\"5\"}"

static const char *const malformed[] = {
	"",
	"{",
	"[]",
	"null",
	"\xff\xfe",
	"{}",
	"{\"header\":7}",
	"{\"header\":{\"revision\":\"-1\"}}",
	"{\"header\":{\"revision\":\"99999999999999999999\"}}",
	"{\"header\":{\"revision\":\"5x\"}}",
	"{\"header\":{\"revision\":[5]}}",
};

static const char *const malformed_ranges[] = {
	"{" HEADER ",\"kvs\":{}}",
	"{" HEADER ",\"kvs\":[7]}",
	"{" HEADER ",\"kvs\":[{\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"YQ==\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"Y\",\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"Y===\",\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"YQ==YQ==\",\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"AAAA\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"YQ==\",\"value\":\"*AAA\","
	"\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"YQ==\",\"value\":7,"
	"\"mod_revision\":\"2\"}]}",
	"{" HEADER ",\"kvs\":[{\"key\":\"YQ==\",\"value\":\"AAAA\","
	"\"mod_revision\":\"2\"},{\"key\":\"YQ==\"}]}",
};

/* Guards against accepting a truncated or malformed answer as a result. */
static void test_malformed(struct fixture *f, gconstpointer data)
{
	struct canned c;

	(void)data;
	canned_setup(f, &c);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		struct result lease = { 0 };

		c.body = malformed[i];
		g_test_message("%s", c.body);
		g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_TIMEOUT);
		g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
		f->store->ops->lease_grant(f->store, 1, on_number, &lease);
		wait_for(f->loop, &lease.done);
		g_assert_cmpint(lease.e, ==, ERR_TIMEOUT);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(malformed_ranges); i++) {
		c.body = malformed_ranges[i];
		g_test_message("%s", c.body);
		g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_TIMEOUT);
	}
	c.body = "{" HEADER ",\"succeeded\":\"yes\"}";
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	c.body = "{" HEADER "}";
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_CONFLICT);
	httpd_finish(&c.httpd);
}

/*
 * Guards against reporting a write as failed if its answer was cut off. The
 * store may have carried it out.
 */
static void test_cut_answer(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->srv.garble_count = 1;
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_TIMEOUT);
	assert_value(f, "a", "1");
}

#define ANSWER_HEAD "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

/* The answer to a transaction or a read, which carries no id of its call. */
static char *etcd_answer(int revision)
{
	char *body =
		g_strdup_printf("{\"header\":{\"revision\":\"%d\","
				"\"cluster_id\":\"9\"},\"succeeded\":true}",
				revision);
	char *answer =
		g_strdup_printf(ANSWER_HEAD "Content-Length: %zu\r\n\r\n%s",
				strlen(body), body);

	g_free(body);
	return answer;
}

static void fake_setup(struct fixture *f, struct fake_target *t)
{
	fake_target_init(t, f->loop);
	f->store->ops->finish(f->store);
	f->store = open_store(f->loop, t->port);
}

/* Answers with what priv names, an array of texts by the number of the call. */
static enum fake_mode answer_by_number(struct fake_target *t,
				       const char *request)
{
	char **answers = t->priv;

	(void)request;
	t->answer = answers[t->runs - 1];
	return t->answer[0] ? FAKE_ANSWER : FAKE_SILENT;
}

/*
 * Guards against the answer to an earlier call that is taken for a call's own:
 * a write that was lost or refused was reported as done.
 */
static void test_answer_twice(struct fixture *f, gconstpointer data)
{
	char *five = etcd_answer(5);
	char *six = etcd_answer(6);
	char *old = etcd_answer(4);
	char *twice = g_strconcat(five, six, NULL);
	char *late = g_strconcat(old, six, NULL);
	char *answers[] = { five, twice, six, late, six };
	struct fake_target t;

	(void)data;
	fake_setup(f, &t);
	t.priv = answers;
	t.choose = answer_by_number;
	g_assert_cmpint(do_put(f, "a", "1", 0), ==, ERR_OK);
	g_assert_cmpint(do_put(f, "a", "2", 0), ==, ERR_TIMEOUT);
	g_assert_cmpuint(t.connections, ==, 1);
	/* What comes on that connection later is behind by one call. */
	g_assert_cmpint(do_put(f, "a", "3", 0), ==, ERR_OK);
	g_assert_cmpuint(t.connections, ==, 2);
	g_assert_cmpuint(f->store->counts.failures, ==, 1);
	f->store->ops->finish(f->store);
	f->store = open_store(f->loop, t.port);
	t.runs = 0;
	g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_OK);
	t.runs = 3;
	g_assert_cmpint(do_range(f, "a", 0).e, ==, ERR_TIMEOUT);
	fake_target_finish(&t);
	g_free(five);
	g_free(six);
	g_free(old);
	g_free(twice);
	g_free(late);
}

static const char *const malformed_messages[] = {
	"{\n",
	"\n",
	"{}\n",
	"{\"result\":{}}\n",
	"{\"result\":{" HEADER ",\"events\":7}}\n",
	"{\"result\":{" HEADER ",\"events\":[7]}}\n",
	"{\"result\":{" HEADER ",\"events\":[{\"kv\":{\"key\":\"*\"}}]}}\n",
};

/* Guards against a watch that continues after a malformed message. */
static void test_watch_malformed(struct fixture *f, gconstpointer data)
{
	struct canned c;

	(void)data;
	canned_setup(f, &c);
	c.streamed = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(malformed_messages); i++) {
		struct watch_record s = { g_string_new(NULL), 0, ERR_OK };

		c.body = malformed_messages[i];
		g_test_message("%s", c.body);
		f->store->ops->watch(f->store, "a", 1, 0, &watch_record_ops,
				     &s);
		wait_for(f->loop, &s.ended);
		g_assert_cmpint(s.why, ==, ERR_MALFORMED);
		g_assert_cmpstr(s.log->str, ==, "");
		g_string_free(s.log, TRUE);
	}
	httpd_finish(&c.httpd);
}

/* Guards against waiting forever on a stream that receives nothing more. */
static void test_watch_silent(struct fixture *f, gconstpointer data)
{
	struct watch_record s = { g_string_new(NULL), 0, ERR_OK };
	struct canned c;

	(void)data;
	canned_setup(f, &c);
	c.streamed = 1;
	c.body = "{\"result\":{" HEADER ",\"created\":true}}\n";
	f->store->ops->watch(f->store, "a", 1, 0, &watch_record_ops, &s);
	run_for(f->loop, 200);
	g_assert_cmpint(c.requests, ==, 1);
	c.body = "{\"result\":{" HEADER ",\"events\":[{\"kv\":{"
		 "\"key\":\"YQ==\",\"mod_revision\":\"5\"}}]}}\n";
	wait_for_log(f->loop, &s, "a=@5 ");
	g_assert_cmpint(c.requests, ==, 2);
	httpd_finish(&c.httpd);
	g_string_free(s.log, TRUE);
}

static void add_test(const char *path, gconstpointer data,
		     void (*fn)(struct fixture *f, gconstpointer data))
{
	g_test_add(path, struct fixture, data, setup, fn, teardown);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_test("/etcd/lost_compare", NULL, test_lost_compare);
	add_test("/etcd/answer_lost/drop", GINT_TO_POINTER(0),
		 test_answer_lost);
	add_test("/etcd/answer_lost/silent", GINT_TO_POINTER(1),
		 test_answer_lost);
	add_test("/etcd/late_effect", NULL, test_late_effect);
	add_test("/etcd/outage", NULL, test_outage);
	add_test("/etcd/never_sent", NULL, test_never_sent);
	add_test("/etcd/silent_connections", NULL, test_silent_connections);
	add_test("/etcd/oversize", NULL, test_oversize);
	add_test("/etcd/prefix", NULL, test_prefix);
	add_test("/etcd/malformed", NULL, test_malformed);
	add_test("/etcd/cut_answer", NULL, test_cut_answer);
	add_test("/etcd/answer_twice", NULL, test_answer_twice);
	add_test("/etcd/finish_in_callback", NULL, test_finish_in_callback);
	add_test("/etcd/lease/expiry", NULL, test_lease_expiry);
	add_test("/etcd/lease/unknown", NULL, test_lease_unknown);
	add_test("/etcd/watch/reconnect", NULL, test_watch_reconnect);
	add_test("/etcd/watch/refused", GINT_TO_POINTER(SSRV_REFUSE),
		 test_watch_outage);
	add_test("/etcd/watch/unanswered", GINT_TO_POINTER(SSRV_SILENT),
		 test_watch_outage);
	add_test("/etcd/watch/progress", NULL, test_watch_progress);
	add_test("/etcd/watch/compacted", NULL, test_watch_compacted);
	add_test("/etcd/watch/malformed", NULL, test_watch_malformed);
	add_test("/etcd/watch/silent", NULL, test_watch_silent);
	add_test("/etcd/watch/unwatch_in_event", NULL, test_unwatch_in_event);
	return g_test_run();
}
