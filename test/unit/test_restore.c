#include "common/clk.h"
#include "standins/common_kvsrv.h"
#include "standins/common_storesrv.h"
#include "transport/httpc.h"

#include <glib.h>
#include <string.h>

/* Long enough that only a test that hangs reaches it. */
#define TEST_TIMEOUT_MS 30000

static void put(struct sdb *db, const char *key, const char *value,
		int64_t lease)
{
	sdb_put(db, key, value, strlen(value), lease);
	sdb_commit(db);
}

static void assert_key(const struct sdb *db, const char *key, const char *value,
		       int64_t revision)
{
	const struct sdb_kv *kv = sdb_get(db, key);

	g_assert_nonnull(kv);
	g_assert_cmpmem(kv->value, kv->value_len, value, strlen(value));
	g_assert_cmpint(kv->mod_revision, ==, revision);
}

static void append_event(const struct sdb_event *e, void *priv)
{
	g_string_append_printf(priv, "%s%s@%d ", e->kv.key,
			       e->deleted ? "-" : "", (int)e->kv.mod_revision);
}

static void assert_events(const struct sdb *db, const char *expected)
{
	GString *text = g_string_new("");

	sdb_each_event(db, 1, append_event, text);
	g_assert_cmpstr(text->str, ==, expected);
	g_string_free(text, TRUE);
}

/*
 * Guards against a restore that leaves keys, changes or revisions from after
 * the copy, which the runs with a restored store would then not test.
 */
static void test_keys(void)
{
	struct sdb db;

	sdb_init(&db);
	put(&db, "a", "1", 0);
	put(&db, "b", "1", 0);
	sdb_take_copy(&db);
	put(&db, "a", "2", 0);
	put(&db, "c", "1", 0);
	sdb_delete(&db, "b", NULL);
	sdb_commit(&db);
	sdb_compact(&db, 4);
	sdb_restore(&db, NULL, 0);
	g_assert_cmpint(db.revision, ==, 3);
	g_assert_cmpint(db.compacted_revision, ==, 3);
	assert_key(&db, "a", "1", 2);
	assert_key(&db, "b", "1", 3);
	g_assert_null(sdb_get(&db, "c"));
	assert_events(&db, "");
	/* The revision is given out again; the copy can be used again. */
	put(&db, "d", "1", 0);
	assert_key(&db, "d", "1", 4);
	assert_events(&db, "d@4 ");
	sdb_restore(&db, NULL, 0);
	g_assert_null(sdb_get(&db, "d"));
	assert_key(&db, "a", "1", 2);
	sdb_finish(&db);
}

/* Guards against a restore without a copy that keeps anything. */
static void test_no_copy(void)
{
	struct sdb db;

	sdb_init(&db);
	put(&db, "a", "1", 0);
	sdb_restore(&db, NULL, 0);
	g_assert_null(sdb_get(&db, "a"));
	g_assert_cmpint(db.revision, ==, 1);
	sdb_finish(&db);
}

/*
 * Guards against a lease from after the copy that goes on, and against keys of
 * a lease of the copy that never end, or end at once.
 */
static void test_leases(void)
{
	struct sdb db;

	sdb_init(&db);
	sdb_lease_grant(&db, 1, 10, 0);
	put(&db, "old", "1", 1);
	sdb_take_copy(&db);
	sdb_lease_grant(&db, 2, 10, 0);
	put(&db, "new", "1", 2);
	sdb_expire(&db, 10000);
	g_assert_null(sdb_get(&db, "old"));
	sdb_restore(&db, NULL, 11000);
	g_assert_null(sdb_lease_find(&db, 2));
	g_assert_null(sdb_get(&db, "new"));
	g_assert_false(sdb_expire(&db, 20999));
	assert_key(&db, "old", "1", 2);
	g_assert_true(sdb_expire(&db, 21000));
	g_assert_null(sdb_get(&db, "old"));
	sdb_finish(&db);
}

/*
 * Guards against a restore that loses what an operator writes again, or writes
 * it without a change that a watch sees.
 */
static void test_kept_keys(void)
{
	struct sdb db;

	sdb_init(&db);
	put(&db, "op/a", "1", 0);
	put(&db, "op/gone", "1", 0);
	put(&db, "x", "1", 0);
	sdb_take_copy(&db);
	put(&db, "op/a", "2", 0);
	put(&db, "op/b", "1", 0);
	put(&db, "x", "2", 0);
	sdb_delete(&db, "op/gone", NULL);
	sdb_commit(&db);
	sdb_restore(&db, "op/", 0);
	assert_key(&db, "x", "1", 4);
	assert_key(&db, "op/a", "2", 6);
	assert_key(&db, "op/b", "1", 7);
	g_assert_null(sdb_get(&db, "op/gone"));
	assert_events(&db, "op/a@2 op/gone@3 x@4 op/gone-@5 op/a@6 op/b@7 ");
	sdb_finish(&db);
}

/* ---- the servers ---- */

struct call {
	struct httpc_request http;
	int done;
};

static void on_done(struct httpc_request *r, void *priv)
{
	struct call *c = priv;

	(void)r;
	c->done = 1;
}

static const struct httpc_ops call_ops = { .done = on_done };

struct fixture {
	struct ev_loop *loop;
	struct kvsrv kv;
	struct ssrv etcd;
	struct httpc client;
};

static void setup(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->loop = ev_loop_new(0);
	g_assert_cmpint(kvsrv_init(&f->kv, f->loop, "127.0.0.1", 0, NULL), ==,
			ERR_OK);
	g_assert_cmpint(
		ssrv_init(&f->etcd, f->loop, "127.0.0.1", 0, 1, 0, NULL), ==,
		ERR_OK);
	g_assert_cmpint(httpc_init(&f->client, f->loop, 0), ==, ERR_OK);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	httpc_finish(&f->client);
	kvsrv_finish(&f->kv);
	ssrv_finish(&f->etcd);
	ev_loop_destroy(f->loop);
}

static void start_call(struct fixture *f, struct call *c, unsigned port,
		       const char *method, const char *path, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);

	*c = (struct call){ .http = {
				    .ops = &call_ops,
				    .priv = c,
				    .method = method,
				    .url = url,
				    .body = body,
				    .body_len = strlen(body),
				    .timeout_ms = TEST_TIMEOUT_MS,
				    /* libcurl repeats a call that a reused
				     * connection lost. */
				    .new_connection = 1,
			    } };
	g_assert_cmpint(httpc_start(&f->client, &c->http), ==, ERR_OK);
	g_free(url);
}

static void wait_call(struct fixture *f, struct call *c)
{
	while (!c->done)
		ev_run(f->loop, EVRUN_ONCE);
}

/* Returns the status of a call to the kvstore; checks that it states the era.
 */
static int kv_call(struct fixture *f, const char *method, const char *path,
		   int era)
{
	char *line = g_strdup_printf("Store-Era: %d\n", era);
	struct call c;
	int status;

	start_call(f, &c, httpd_port(&f->kv.httpd), method, path, "");
	wait_call(f, &c);
	g_assert_cmpint(c.http.error, ==, ERR_OK);
	g_assert_nonnull(g_strstr_len(buf_text(&c.http.answer_headers),
				      (gssize)c.http.answer_headers.len, line));
	status = c.http.status;
	httpc_request_finish(&c.http);
	g_free(line);
	return status;
}

static void control(struct fixture *f, unsigned port, const char *path)
{
	struct call c;

	start_call(f, &c, port, "POST", path, "");
	wait_call(f, &c);
	g_assert_cmpint(c.http.status, ==, 200);
	httpc_request_finish(&c.http);
}

/*
 * Guards against answers of any status without the era, against an era that
 * does not rise with a restore, and against a watch after a revision that was
 * lost which waits instead of being told.
 */
static void test_kvstore(struct fixture *f, gconstpointer data)
{
	unsigned port = httpd_port(&f->kv.httpd);
	struct call watch;

	(void)data;
	kvsrv_put(&f->kv, "op/config", "1", 1);
	g_assert_cmpint(kv_call(f, "GET", "/api/kv-key?key=none", 1), ==, 404);
	control(f, port, "/control/copy");
	kvsrv_put(&f->kv, "m/a", "1", 1);
	kvsrv_put(&f->kv, "m/b", "1", 1);
	start_call(f, &watch, port, "GET",
		   "/api/kv-watch?pathPrefix=m/&after=4&waitMs=20000", "");
	while (!f->kv.waiting)
		ev_run(f->loop, EVRUN_ONCE);
	control(f, port, "/control/restore?keep=op/");
	wait_call(f, &watch);
	g_assert_cmpint(watch.http.error, !=, ERR_OK);
	httpc_request_finish(&watch.http);
	assert_key(&f->kv.db, "op/config", "1", 3);
	g_assert_null(sdb_get(&f->kv.db, "m/a"));
	g_assert_cmpint(kv_call(f, "GET", "/api/kv-key?key=m/a", 2), ==, 404);
	g_assert_cmpint(kv_call(f, "GET", "/api/kv-key?key=op/config", 2), ==,
			200);
	g_assert_cmpint(kv_call(f, "GET",
				"/api/kv-watch?pathPrefix=m/&after=4&waitMs=9",
				2),
			==, 410);
	g_assert_cmpint(kv_call(f, "GET",
				"/api/kv-watch?pathPrefix=m/&after=3&waitMs=9",
				2),
			==, 200);
	kvsrv_set_mode(&f->kv, KVSRV_REFUSE);
	g_assert_cmpint(kv_call(f, "GET", "/api/kv-key?key=m/a", 2), ==, 503);
	kvsrv_restore(&f->kv, NULL);
	g_assert_cmpint(kv_call(f, "GET", "/api/kv-key?key=m/a", 3), ==, 503);
}

/* Returns the cluster id in the answer to a range; free with g_free(). */
static char *read_cluster_id(struct fixture *f)
{
	struct call c;
	json_t *root;
	char *id;

	start_call(f, &c, ssrv_port(&f->etcd), "POST", "/v3/kv/range",
		   "{\"key\":\"YQ==\"}");
	wait_call(f, &c);
	root = json_loadb(buf_text(&c.http.answer), c.http.answer.len, 0, NULL);
	id = g_strdup(json_string_value(json_object_get(
		json_object_get(root, "header"), "cluster_id")));
	json_decref(root);
	httpc_request_finish(&c.http);
	return id;
}

/*
 * Guards against an etcd stand-in that keeps its cluster id or its watches over
 * a restore, so that a client could not notice it, and against answers that
 * state a write which the restore has undone.
 */
static void test_etcd(struct fixture *f, gconstpointer data)
{
	static const char txn[] = "{\"success\":[{\"request_put\":{"
				  "\"key\":\"YQ==\",\"value\":\"Mg==\"}}]}";
	unsigned port = ssrv_port(&f->etcd);
	char *first = read_cluster_id(f);
	char *second;
	char *third;
	struct call watch;
	struct call write;

	(void)data;
	g_assert_cmpstr(first, ==, "1");
	put(&f->etcd.db, "a", "1", 0);
	control(f, port, "/control/copy");
	start_call(f, &watch, port, "POST", "/v3/watch",
		   "{\"create_request\":{\"key\":\"YQ==\"}}");
	while (!ssrv_count_watches(&f->etcd))
		ev_run(f->loop, EVRUN_ONCE);
	f->etcd.slow_ms = 1000;
	start_call(f, &write, port, "POST", "/v3/kv/txn", txn);
	while (f->etcd.db.revision < 3)
		ev_run(f->loop, EVRUN_ONCE);
	f->etcd.slow_ms = 0;
	control(f, port, "/control/restore");
	wait_call(f, &watch);
	wait_call(f, &write);
	g_assert_cmpint(write.http.error, !=, ERR_OK);
	httpc_request_finish(&watch.http);
	httpc_request_finish(&write.http);
	assert_key(&f->etcd.db, "a", "1", 2);
	second = read_cluster_id(f);
	control(f, port, "/control/restore");
	third = read_cluster_id(f);
	g_assert_cmpstr(second, !=, first);
	g_assert_cmpstr(third, !=, second);
	g_free(first);
	g_free(second);
	g_free(third);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/restore/keys", test_keys);
	g_test_add_func("/restore/no_copy", test_no_copy);
	g_test_add_func("/restore/leases", test_leases);
	g_test_add_func("/restore/kept_keys", test_kept_keys);
	g_test_add("/restore/kvstore", struct fixture, NULL, setup,
		   test_kvstore, teardown);
	g_test_add("/restore/etcd", struct fixture, NULL, setup, test_etcd,
		   teardown);
	return g_test_run();
}
