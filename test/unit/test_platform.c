#include "common/clk.h"
#include "membership/doc_feed.h"
#include "platform/document.h"
#include "platform/kv.h"
#include "platform/platform.h"
#include "protocol/frame.h"
#include "standins/common_kvsrv.h"
#include "test/unit/fake.h"

#include <glib.h>
#include <string.h>

/* Long enough that only a test that hangs reaches it. */
#define TEST_TIMEOUT_MS 30000
#define CALL_TIMEOUT_MS 500

/* The store driver and a simulated store, in one process and event loop. */
struct fixture {
	struct ev_loop *loop;
	struct kvsrv srv;
	struct store *store;
};

struct result {
	int done;
	enum err e;
	int64_t number;
	size_t count;
	char *keys; /* each followed by a blank */
};

static void setup(struct fixture *f)
{
	char endpoint[64];

	f->loop = ev_loop_new(0);
	g_assert_cmpint(kvsrv_init(&f->srv, f->loop, "127.0.0.1", 0, NULL), ==,
			ERR_OK);
	g_snprintf(endpoint, sizeof(endpoint), "http://127.0.0.1:%u",
		   httpd_port(&f->srv.httpd));
	g_assert_cmpint(
		kv_open(&f->store, f->loop, endpoint, CALL_TIMEOUT_MS, NULL),
		==, ERR_OK);
}

static void teardown(struct fixture *f)
{
	f->store->ops->finish(f->store);
	kvsrv_finish(&f->srv);
	ev_loop_destroy(f->loop);
}

static void wait_for(struct ev_loop *loop, const int *flag, int n)
{
	int64_t limit = clk_ms() + TEST_TIMEOUT_MS;

	while (*flag < n && clk_ms() < limit)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(*flag, >=, n);
}

static void on_pause_over(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct ev_loop *loop, double seconds)
{
	ev_timer t;

	ev_timer_init(&t, on_pause_over, seconds, 0.);
	ev_now_update(loop);
	ev_timer_start(loop, &t);
	ev_run(loop, 0);
}

static void on_range(enum err e, const struct store_range *range, void *priv)
{
	struct result *r = priv;
	GString *keys = g_string_new("");

	r->done = 1;
	r->e = e;
	r->count = range->count;
	r->number = range->revision;
	for (size_t i = 0; i < range->count; i++)
		g_string_append_printf(keys, "%s ", range->kvs[i].key);
	r->keys = g_string_free(keys, FALSE);
}

static void on_txn(enum err e, int64_t revision, void *priv)
{
	struct result *r = priv;

	r->done = 1;
	r->e = e;
	r->number = revision;
}

static struct result read_range(struct fixture *f, const char *key, int prefix)
{
	struct result r = { 0 };

	f->store->ops->range(f->store, key, prefix, on_range, &r);
	wait_for(f->loop, &r.done, 1);
	return r;
}

static struct result put_value(struct fixture *f, const char *key,
			       int64_t expected, int64_t lease)
{
	struct store_compare c = { key, expected };
	struct store_put p = { key, (const uint8_t *)"v", 1, lease };
	struct result r = { 0 };

	f->store->ops->txn(f->store, &c, 1, &p, 1, on_txn, &r);
	wait_for(f->loop, &r.done, 1);
	return r;
}

/*
 * Guards against a transaction that writes although a comparison fails or its
 * lease does not exist, and against a read that misses a key. The key is
 * written with the right and with an outdated revision, then read back.
 */
static void test_txn(void)
{
	struct fixture f;
	struct result r;
	int64_t first;

	setup(&f);
	r = put_value(&f, "/m/a", 0, 0);
	g_assert_cmpint(r.e, ==, ERR_OK);
	first = r.number;
	g_assert_cmpint(put_value(&f, "/m/a", 0, 0).e, ==, ERR_CONFLICT);
	g_assert_cmpint(put_value(&f, "/m/a", first, 0).e, ==, ERR_OK);
	r = read_range(&f, "/m/a", 0);
	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpuint(r.count, ==, 1);
	g_free(r.keys);
	r = read_range(&f, "/m/none", 0);
	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpuint(r.count, ==, 0);
	g_free(r.keys);
	/* A lease that does not exist. */
	g_assert_cmpint(put_value(&f, "/m/b", 0, 99).e, ==, ERR_NOT_FOUND);
	teardown(&f);
}

/*
 * Guards against a range that misses keys or has foreign ones when the store
 * returns it in several pages.
 */
static void test_pages(void)
{
	struct fixture f;
	struct result r;

	setup(&f);
	f.srv.page_items = 2;
	for (int i = 0; i < 5; i++) {
		char key[16];

		g_snprintf(key, sizeof(key), "/m/%d", i);
		kvsrv_put(&f.srv, key, "v", 1);
	}
	kvsrv_put(&f.srv, "/other", "v", 1);
	r = read_range(&f, "/m/", 1);
	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpstr(r.keys, ==, "/m/0 /m/1 /m/2 /m/3 /m/4 ");
	g_free(r.keys);
	teardown(&f);
}

#define ERA "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
#define WROTE_5 ERA "Content-Length: 14\r\n\r\n{\"revision\":5}"
#define WROTE_6 ERA "Content-Length: 14\r\n\r\n{\"revision\":6}"
#define READ_4                       \
	ERA "Content-Length: 35\r\n" \
	    "\r\n{\"at\":4,\"items\":[],\"hasMore\":false}"
#define READ_5                       \
	ERA "Content-Length: 35\r\n" \
	    "\r\n{\"at\":5,\"items\":[],\"hasMore\":false}"

/* Replaces the simulated store by one that answers with these texts. */
static void fake_setup(struct fixture *f, struct fake_target *t)
{
	char endpoint[64];

	setup(f);
	f->store->ops->finish(f->store);
	fake_target_init(t, f->loop);
	g_snprintf(endpoint, sizeof(endpoint), "http://127.0.0.1:%u", t->port);
	g_assert_cmpint(
		kv_open(&f->store, f->loop, endpoint, CALL_TIMEOUT_MS, NULL),
		==, ERR_OK);
}

static void fake_teardown(struct fixture *f, struct fake_target *t)
{
	fake_target_finish(t);
	teardown(f);
}

static enum err read_error(struct fixture *f)
{
	struct result r = read_range(f, "a", 1);

	g_free(r.keys);
	return r.e;
}

/*
 * Guards against the answer to an earlier call that is taken for a call's own:
 * a write that was lost or refused was reported as done.
 */
static void test_answer_twice(void)
{
	struct fake_target t;
	struct fixture f;

	fake_setup(&f, &t);
	t.answer = WROTE_5;
	g_assert_cmpint(put_value(&f, "a", 0, 0).e, ==, ERR_OK);
	t.answer = WROTE_5 WROTE_6;
	g_assert_cmpint(put_value(&f, "a", 5, 0).e, ==, ERR_TIMEOUT);
	g_assert_cmpuint(t.connections, ==, 1);
	t.answer = WROTE_6;
	g_assert_cmpint(put_value(&f, "a", 5, 0).e, ==, ERR_OK);
	g_assert_cmpuint(t.connections, ==, 2);
	fake_teardown(&f, &t);
	fake_setup(&f, &t);
	t.answer = READ_5;
	g_assert_cmpint(read_error(&f), ==, ERR_OK);
	t.answer = READ_4 READ_5;
	g_assert_cmpint(read_error(&f), ==, ERR_TIMEOUT);
	fake_teardown(&f, &t);
}

/*
 * Guards against a part of one answer and a whole one that are read as one, at
 * each length of the part: such an answer is no result, whatever its status.
 */
static void test_joined_answers(void)
{
	static const char *const parts[] = {
		WROTE_5,
		"HTTP/1.1 412 No\r\nStore-Era: 1\r\nContent-Length: 30\r\n\r\n"
		"{\"error\":\"precondition\"}      ",
		"HTTP/1.1 503 No\r\nStore-Era: 1\r\nContent-Length: 30\r\n\r\n"
		"{\"error\":\"unavailable\"}       ",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		for (size_t len = 1; len < strlen(parts[i]); len++) {
			struct fake_target t;
			struct fixture f;
			char *answer = g_strdup_printf("%.*s%s", (int)len,
						       parts[i], WROTE_6);

			fake_setup(&f, &t);
			t.answer = answer;
			g_test_message("part %zu, %zu bytes", i, len);
			g_assert_cmpint(put_value(&f, "a", 0, 0).e, ==,
					ERR_TIMEOUT);
			fake_teardown(&f, &t);
			g_free(answer);
		}
	}
}

static enum fake_mode silent_once(struct fake_target *t, const char *request)
{
	(void)request;
	return t->runs == 1 ? FAKE_SILENT : FAKE_ANSWER;
}

/* Guards against a late answer that is read by the call after the timed-out. */
static void test_late_answer(void)
{
	struct fake_target t;
	struct fixture f;
	int fd;

	fake_setup(&f, &t);
	t.choose = silent_once;
	t.answer = WROTE_6;
	g_assert_cmpint(put_value(&f, "a", 0, 0).e, ==, ERR_TIMEOUT);
	fd = t.last_fd;
	send(fd, WROTE_5, strlen(WROTE_5), MSG_NOSIGNAL);
	run_for(f.loop, 0.05);
	/* The driver has closed the connection of the call. */
	g_assert_null(t.open[0]);
	g_assert_cmpint(put_value(&f, "a", 0, 0).number, ==, 6);
	g_assert_cmpuint(t.connections, ==, 2);
	fake_teardown(&f, &t);
}

/*
 * Guards against an outage that is reported as a conflict or as success, and
 * against a write that is reported as not executed although it was. The store
 * refuses the call, does not answer it, and executes it without an answer.
 */
static void test_outage(void)
{
	struct fixture f;
	struct result r;

	setup(&f);
	kvsrv_set_mode(&f.srv, KVSRV_REFUSE);
	g_assert_cmpint(put_value(&f, "/m/a", 0, 0).e, ==, ERR_STORE_DOWN);
	kvsrv_set_mode(&f.srv, KVSRV_SILENT);
	g_assert_cmpint(put_value(&f, "/m/a", 0, 0).e, ==, ERR_TIMEOUT);
	kvsrv_set_mode(&f.srv, KVSRV_UP);
	f.srv.lose_count = 1;
	g_assert_cmpint(put_value(&f, "/m/a", 0, 0).e, ==, ERR_TIMEOUT);
	r = read_range(&f, "/m/a", 0);
	g_assert_cmpuint(r.count, ==, 1);
	g_free(r.keys);
	teardown(&f);
}

/*
 * Guards against sending a transaction with more entries than the store allows.
 */
static void test_too_many_entries(void)
{
	struct store_put puts[KV_MAX_ENTRIES + 1];
	struct result r = { 0 };
	struct fixture f;

	setup(&f);
	memset(puts, 0, sizeof(puts));
	for (size_t i = 0; i < G_N_ELEMENTS(puts); i++)
		puts[i].key = "/m/x";
	f.store->ops->txn(f.store, NULL, 0, puts, G_N_ELEMENTS(puts), on_txn,
			  &r);
	wait_for(f.loop, &r.done, 1);
	g_assert_cmpint(r.e, ==, ERR_TOO_LARGE);
	g_assert_cmpuint(f.srv.calls, ==, 0);
	teardown(&f);
}

/* ---- the operators' document ---- */

#define CONFIG(routes, services) VERSION("0000000c", routes, services)
#define VERSION(version, routes, services)                                \
	"{\"version\":\"" version "\",\"routes\":{\"columns\":[\"name\"," \
	"\"host\",\"pathPrefix\",\"kind\",\"timeout\",\"targetLatency\"," \
	"\"priority\",\"service\",\"maxAttempts\",\"weightedClusters\"]," \
	"\"rows\":[" routes "]},\"services\":{\"columns\":[\"name\","     \
	"\"sharded\",\"warm\"],\"rows\":[" services "]}}"
#define ROUTE                                                                 \
	"[\"r1\",\"a.example\",\"/p/\",\"idempotent\",null,null,2,\"cal\",2," \
	"null]"
#define SERVICES "[\"cal\",true,\"2s\"],[\"desk\",null,null]"

struct received {
	int count;
	struct doc doc;
	struct doc_sections sections;
};

static void on_updated(struct doc *doc, struct doc_sections *sections,
		       void *priv)
{
	struct received *f = priv;

	if (f->count) {
		doc_finish(&f->doc);
		doc_sections_finish(&f->sections);
	}
	f->doc = *doc;
	f->sections = *sections;
	f->count++;
}

static const struct doc_feed_ops feed_ops = { .updated = on_updated };

static void put_config(struct fixture *f, const char *text)
{
	kvsrv_put(&f->srv, platform_document.key, text, strlen(text));
}

/*
 * Guards against a route that leaves its regions, a cold target without its
 * limit, and large answers that are not repeated, since their columns are lost.
 */
static void test_places_and_cold(void)
{
	static const char config[] =
		"{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\","
		"\"host\",\"pathPrefix\",\"kind\",\"service\","
		"\"allowedRegions\"],\"rows\":["
		"[\"r1\",\"a.example\",\"/p/\",\"download\",\"desk\","
		"[\"east\",\"west\"]],"
		"[\"r2\",\"a.example\",\"/q/\",\"upload\",\"desk\",[]],"
		"[\"r3\",\"a.example\",\"/r/\",\"upload\",\"desk\",null]]},"
		"\"services\":{\"columns\":[\"name\",\"coldPerS\"],\"rows\":["
		"[\"desk\",10.0],[\"free\",null],[\"zero\",0]]}}";
	struct doc_sections sections;
	const struct doc_route *r;
	struct buf problems;
	struct doc d;

	buf_init(&problems);
	g_assert_cmpint(platform_document.read((const uint8_t *)config,
					       strlen(config), &d, &sections,
					       &problems),
			==, ERR_OK);
	r = doc_find_route(&d, "a.example", "/p/x");
	g_assert_cmpint(r->kind, ==, DOC_KIND_IDEMPOTENT);
	g_assert_cmpstr(r->regions[0], ==, "east");
	g_assert_cmpstr(r->regions[1], ==, "west");
	g_assert_null(r->regions[2]);
	g_assert_null(doc_find_route(&d, "a.example", "/q/x")->regions);
	g_assert_null(doc_find_route(&d, "a.example", "/r/x")->regions);
	g_assert_cmpfloat(doc_find_service(&d, "desk")->cold_per_s, ==, 10);
	g_assert_cmpfloat(doc_find_service(&d, "free")->cold_per_s, ==, 0);
	g_assert_cmpfloat(doc_find_service(&d, "zero")->cold_per_s, ==, 0);
	doc_finish(&d);
	doc_sections_finish(&sections);
	buf_finish(&problems);
}

/*
 * Guards against wrong translation of the configuration, against an invalid
 * version that replaces the valid one in force, against an older version that
 * replaces a newer one, and against a version that is missed after the store
 * has compacted its history.
 */
static void test_feed(void)
{
	const struct doc_route *r;
	struct doc_feed *feed;
	struct received got = { 0 };
	uint64_t revision;
	struct fixture f;

	setup(&f);
	g_assert_cmpint(doc_feed_new(&feed, f.loop, f.store, &platform_document,
				     &feed_ops, &got),
			==, ERR_OK);
	put_config(&f, CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\","
			      "\"1200ms\",\"0.4s\",2,\"cal\",2,null],"
			      "[\"r2\",\"a.example\",\"/p/q/\",\"upload\","
			      "null,null,1,null,3,[{\"service\":\"cal\","
			      "\"weight\":90},{\"service\":\"desk\","
			      "\"weight\":10}]]",
			      SERVICES));
	wait_for(f.loop, &got.count, 1);
	r = doc_find_route(&got.doc, "A.example:8080", "/p/x");
	g_assert_nonnull(r);
	g_assert_cmpstr(r->name, ==, "r1");
	g_assert_cmpuint(r->timeout_ms, ==, 1200);
	g_assert_cmpuint(r->target_ms, ==, 400);
	g_assert_cmpint(r->kind, ==, DOC_KIND_IDEMPOTENT);
	r = doc_find_route(&got.doc, "a.example", "/p/q/x");
	g_assert_cmpstr(r->name, ==, "r2");
	g_assert_cmpint(r->kind, ==, DOC_KIND_ONCE);
	g_assert_cmpuint(r->destination_count, ==, 2);
	g_assert_cmpuint(r->destinations[0].weight, ==, 90);
	g_assert_null(doc_find_route(&got.doc, "b.example", "/p/x"));
	g_assert_true(doc_find_service(&got.doc, "cal")->keyed);
	g_assert_cmpint(doc_find_service(&got.doc, "cal")->key_source, ==,
			DOC_KEY_NUMBER);
	g_assert_false(doc_find_service(&got.doc, "desk")->keyed);
	revision = got.doc.revision;
	/*
	 * Two invalid versions, a compaction that the watch cannot continue
	 * after, and a valid version.
	 */
	put_config(&f, "{\"version\":\"0000000d\",\"rou");
	put_config(&f, CONFIG("[\"r1\",\"a.example\",\"/p/\",\"sometimes\","
			      "null,null,2,\"cal\",2,null]",
			      SERVICES));
	kvsrv_compact(&f.srv);
	put_config(&f, VERSION("0000000f",
			       "[\"r3\",\"a.example\",\"/z/\",\"idempotent\","
			       "null,null,2,\"cal\",2,null]",
			       SERVICES));
	wait_for(f.loop, &got.count, 2);
	g_assert_cmpuint(got.doc.revision, >, revision);
	g_assert_null(doc_find_route(&got.doc, "a.example", "/p/x"));
	g_assert_nonnull(doc_find_route(&got.doc, "a.example", "/z/x"));
	/* An older version at a higher revision of the store, and a newer. */
	put_config(&f, VERSION("0000000e",
			       "[\"r4\",\"a.example\",\"/old/\",\"idempotent\","
			       "null,null,2,\"cal\",2,null]",
			       SERVICES));
	put_config(&f, VERSION("00000010",
			       "[\"r5\",\"a.example\",\"/new/\",\"idempotent\","
			       "null,null,2,\"cal\",2,null]",
			       SERVICES));
	wait_for(f.loop, &got.count, 3);
	g_assert_null(doc_find_route(&got.doc, "a.example", "/old/x"));
	g_assert_nonnull(doc_find_route(&got.doc, "a.example", "/new/x"));
	g_assert_cmpuint(got.doc.revision - revision, ==, 4);
	doc_feed_free(feed);
	doc_finish(&got.doc);
	doc_sections_finish(&got.sections);
	teardown(&f);
}

#define ROUTE_AT(prefix) \
	"[\"r1\",\"h\",\"" prefix "\",\"upload\",null,null,2,\"cal\",2,null]"

/*
 * Guards against a newer configuration that is taken for an older one, and an
 * older one for a newer one: a store that comes back from an old copy counts
 * its revisions from that copy on (day restored-late-routes, seed 1: DENIED and
 * CONFIG).
 */
static void test_restored_store(void)
{
	struct received got = { 0 };
	struct doc_feed *feed;
	uint64_t revision;
	struct fixture f;

	setup(&f);
	g_assert_cmpint(doc_feed_new(&feed, f.loop, f.store, &platform_document,
				     &feed_ops, &got),
			==, ERR_OK);
	for (int i = 0; i < 10; i++)
		put_config(&f, VERSION("0000000c", ROUTE_AT("/c/"), SERVICES));
	wait_for(f.loop, &got.count, 1);
	put_config(&f, VERSION("0000000d", ROUTE_AT("/d/"), SERVICES));
	wait_for(f.loop, &got.count, 2);
	revision = got.doc.revision;
	/* The watch pauses after events; the compaction ends one that waits. */
	run_for(f.loop, 1.2);
	/* The copy has the version before. */
	kvsrv_compact(&f.srv);
	f.srv.db.revision = 1;
	f.srv.db.compacted_revision = 1;
	put_config(&f, VERSION("0000000c", ROUTE_AT("/c/"), SERVICES));
	run_for(f.loop, 1.5);
	g_assert_cmpint(got.count, ==, 2);
	put_config(&f, VERSION("0000000e", ROUTE_AT("/e/"), SERVICES));
	wait_for(f.loop, &got.count, 3);
	g_assert_cmpuint(got.doc.revision, >, revision);
	g_assert_nonnull(doc_find_route(&got.doc, "h", "/e/"));
	doc_feed_free(feed);
	doc_finish(&got.doc);
	doc_sections_finish(&got.sections);
	teardown(&f);
}

/*
 * Guards against a configuration that the store accepts and the nodes refuse
 * for its number of routes: they would keep an older one, and answer 404 for
 * the routes that were added (day grown-config, seed 1: DENIED and CONFIG with
 * 4,324 routes).
 */
static void test_many_routes(void)
{
	static const char head[] =
		"{\"version\":\"0000000c\",\"routes\":{\"columns\":["
		"\"name\",\"host\",\"pathPrefix\",\"kind\",\"service\"],"
		"\"rows\":[";
	static const char tail[] = "]},\"services\":{\"columns\":[\"name\"],"
				   "\"rows\":[[\"s\"]]}}";
	GString *text = g_string_new(head);
	struct doc_sections sections;
	struct buf problems;
	const struct doc_route *r;
	struct doc doc;
	char path[32];
	size_t count;

	for (count = 0; text->len + 128 < STORE_MAX_VALUE_BYTES; count++)
		g_string_append_printf(
			text, "%s[\"%zu\",\"h\",\"/%zu/\",\"upload\",\"s\"]",
			count ? "," : "", count, count);
	g_string_append(text, tail);
	g_assert_cmpuint(text->len, <=, STORE_MAX_VALUE_BYTES);
	g_assert_cmpuint(count, >, 20000);
	buf_init(&problems);
	g_assert_cmpint(platform_document.read((const uint8_t *)text->str,
					       text->len, &doc, &sections,
					       &problems),
			==, ERR_OK);
	g_snprintf(path, sizeof(path), "/%zu/x", count - 1);
	r = doc_find_route(&doc, "h", path);
	g_assert_nonnull(r);
	g_assert_cmpuint(strlen(r->prefix), ==, strlen(path) - 1);
	g_assert_cmpuint(doc.route_count, ==, count);
	doc_finish(&doc);
	doc_sections_finish(&sections);
	buf_finish(&problems);
	g_string_free(text, TRUE);
}

/*
 * Guards against accepting a configuration with missing or invalid parts, and
 * against rejecting it without saying why.
 */
static void test_malformed_documents(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{}",
		"{\"routes\":{},\"services\":{}}",
		CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\",\"soon\","
		       "null,2,\"cal\",2,null]",
		       SERVICES),
		CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\",null,"
		       "null,2,\"unknown\",2,null]",
		       SERVICES),
		CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\",null,"
		       "null,2,null,2,[{\"weight\":1}]]",
		       SERVICES),
		CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\",null,"
		       "null,2,\"cal\",0,null]",
		       SERVICES),
		CONFIG("[\"r1\",\"a.example\",\"/p/\",\"idempotent\",null,"
		       "null,2,\"cal\",2,null],"
		       "[\"r2\",\"a.example\",\"/p/\",\"idempotent\",null,"
		       "null,2,\"cal\",2,null]",
		       SERVICES),
		CONFIG("[7]", SERVICES),
		VERSION("", ROUTE, SERVICES),
		VERSION("latest", ROUTE, SERVICES),
		VERSION("-1", ROUTE, SERVICES),
		VERSION("100000000", ROUTE, SERVICES),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct doc_sections sections;
		struct buf problems;
		struct doc doc;

		buf_init(&problems);
		g_assert_cmpint(
			platform_document.read((const uint8_t *)texts[i],
					       strlen(texts[i]), &doc,
					       &sections, &problems),
			!=, ERR_OK);
		g_assert_cmpuint(problems.len, >, 0);
		buf_finish(&problems);
	}
}

/* ---- calls of targets ---- */

#define ANNOUNCEMENT(fields)                                               \
	"{\"service\":\"cal\",\"address\":\"10.1.0.8:8301\",\"slots\":18," \
	"\"state\":\"ready\",\"sequence\":4" fields "}"

/* Guards against decoding a field of an announcement wrongly. */
static void test_announcement(void)
{
	static struct announcement a;
	static const char text[] = ANNOUNCEMENT(
		",\"coldRemaining\":\"1.5s\",\"born\":1700000000000,"
		"\"holds\":[[0,4095,7]],"
		"\"released\":[[4096,8191,\"5c0e7a21d94b36f8\"]]");

	g_assert_cmpint(
		platform_read_announcement("i-1", text, strlen(text), &a, NULL),
		==, ERR_OK);
	g_assert_cmpstr(a.id, ==, "i-1");
	g_assert_cmpstr(a.address, ==, "10.1.0.8");
	g_assert_cmpuint(a.port, ==, 8301);
	g_assert_cmpuint(a.concurrency, ==, 18);
	g_assert_cmpuint(a.cold_ms, ==, 1500);
	g_assert_cmpint(a.born_ms, ==, 1700000000000);
	g_assert_cmpuint(a.held_count, ==, 1);
	g_assert_cmpuint(a.held[0].fence, ==, 7);
	g_assert_cmpuint(a.released_count, ==, 1);
	g_assert_cmpstr(a.released[0].handover, ==, "5c0e7a21d94b36f8");
	g_assert_false(a.leaving);
}

/*
 * Guards against accepting an announcement with missing or invalid fields: any
 * process may call the port, and the daemon would send requests to the address.
 */
static void test_malformed_announcements(void)
{
	static const char *const texts[] = {
		"",
		"7",
		"{\"service\":\"cal\"}",
		"{\"service\":7,\"address\":\"10.1.0.8:8301\",\"slots\":18,"
		"\"state\":\"ready\",\"sequence\":4}",
		"{\"service\":\"cal\",\"address\":\"nowhere\",\"slots\":18,"
		"\"state\":\"ready\",\"sequence\":4}",
		"{\"service\":\"cal\",\"address\":\"10.1.0.8:8301\","
		"\"slots\":\"18\",\"state\":\"ready\",\"sequence\":4}",
		"{\"service\":\"cal\",\"address\":\"10.1.0.8:8301\","
		"\"slots\":18,\"state\":\"sleepy\",\"sequence\":4}",
		ANNOUNCEMENT(",\"holds\":[[5,4,1]]"),
		ANNOUNCEMENT(",\"holds\":[[0,65536,1]]"),
		ANNOUNCEMENT(",\"holds\":[[0,1,\"x\"]]"),
		ANNOUNCEMENT(",\"released\":[[0,1,\"a\\\"b\"]]"),
		ANNOUNCEMENT(",\"released\":7"),
		ANNOUNCEMENT(",\"born\":\"yesterday\""),
		ANNOUNCEMENT(",\"coldRemaining\":\"later\""),
	};
	static struct announcement a;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct err_info info = { ERR_OK, "" };

		g_assert_cmpint(platform_read_announcement("i-1", texts[i],
							   strlen(texts[i]), &a,
							   &info),
				!=, ERR_OK);
		g_assert_cmpuint(strlen(info.detail), >, 0);
	}
}

/*
 * Guards against mistaking a request for a call of a target: a wrong method,
 * an empty id and an id that is too long are none.
 */
static void test_target_calls(void)
{
	char id[16];

	g_assert_cmpint(
		platform_match_target_call(
			"POST", "/api/instances/i-7/heartbeat", id, sizeof(id)),
		==, TARGET_CALL_ANNOUNCE);
	g_assert_cmpstr(id, ==, "i-7");
	g_assert_cmpint(platform_match_target_call(
				"POST", "/api/instances/i-7/deregister", id,
				sizeof(id)),
			==, TARGET_CALL_LEAVE);
	g_assert_cmpint(
		platform_match_target_call(
			"GET", "/api/instances/i-7/heartbeat", id, sizeof(id)),
		==, TARGET_CALL_NONE);
	g_assert_cmpint(platform_match_target_call("POST",
						   "/api/instances//heartbeat",
						   id, sizeof(id)),
			==, TARGET_CALL_NONE);
	g_assert_cmpint(platform_match_target_call(
				"POST",
				"/api/instances/0123456789abcdef/heartbeat", id,
				sizeof(id)),
			==, TARGET_CALL_NONE);
}

/*
 * Guards against a leave call that is taken without its time because its body
 * was cut and followed by the next call: it ended a later run of the target.
 */
static void test_cut_leave(void)
{
	static const char whole[] = "{\"born\": 1700000000000}";
	static const char next[] = "POST /api/instances/i-7/heartbeat HTTP/1.1"
				   "\r\nHost: a\r\n\r\n{}";

	for (size_t len = 0; len < strlen(whole); len++) {
		char *body = g_strdup_printf("%.*s%s", (int)len, whole, next);

		g_assert_cmpint(platform_read_leave(body, strlen(whole)), ==,
				-1);
		g_assert_cmpint(platform_read_leave(body, strlen(body)), ==,
				-1);
		g_free(body);
	}
	g_assert_cmpint(platform_read_leave(whole, strlen(whole)), ==,
			1700000000000);
	g_assert_cmpint(platform_read_leave("", 0), ==, 0);
	g_assert_cmpint(platform_read_leave("{}", 2), ==, 0);
	g_assert_cmpint(platform_read_leave("null", 4), ==, 0);
	g_assert_cmpint(platform_read_leave("bye", 3), ==, 0);
}

/*
 * Guards against an answer that renews holds although none are given, and
 * against encoding rows wrongly.
 */
static void test_answer(void)
{
	static struct announce_answer a;
	struct buf b;

	buf_init(&b);
	platform_write_answer(&a, &b);
	g_assert_cmpstr(buf_text(&b), ==, "{}");
	buf_reset(&b);
	a.has_holds = 1;
	a.hold_ms = 4000;
	a.rows[0] = (struct hold_row){ 0, 4095, 7, "" };
	a.rows[1] = (struct hold_row){ 9000, 9999, 12, "7a21" };
	a.row_count = 2;
	platform_write_answer(&a, &b);
	g_assert_cmpstr(buf_text(&b), ==,
			"{\"holds\":[[0,4095,7,\"\"],[9000,9999,12,\"7a21\"]],"
			"\"hold_time\":\"4000ms\"}");
	buf_finish(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/kv/txn", test_txn);
	g_test_add_func("/kv/pages", test_pages);
	g_test_add_func("/kv/outage", test_outage);
	g_test_add_func("/kv/answer_twice", test_answer_twice);
	g_test_add_func("/kv/joined_answers", test_joined_answers);
	g_test_add_func("/kv/late_answer", test_late_answer);
	g_test_add_func("/kv/too_many_entries", test_too_many_entries);
	g_test_add_func("/platform/places_and_cold", test_places_and_cold);
	g_test_add_func("/platform/feed", test_feed);
	g_test_add_func("/platform/restored_store", test_restored_store);
	g_test_add_func("/platform/many_routes", test_many_routes);
	g_test_add_func("/platform/malformed_documents",
			test_malformed_documents);
	g_test_add_func("/platform/announcement", test_announcement);
	g_test_add_func("/platform/malformed_announcements",
			test_malformed_announcements);
	g_test_add_func("/platform/target_calls", test_target_calls);
	g_test_add_func("/platform/cut_leave", test_cut_leave);
	g_test_add_func("/platform/answer", test_answer);
	return g_test_run();
}
