#include "config/json_rows.h"
#include "membership/doc_feed.h"
#include "platform/document.h"
#include "test/unit/fake.h"

/*
 * Tests that the feed reads a version from what has changed, and that the
 * result is that of reading the version as a whole.
 */

#define KEY "op/config"

/* A store whose answers a test sets, with one watch. */
struct fake_store {
	struct store store;
	struct store_ops ops;
	const struct store_watch_ops *watch_ops;
	void *watch_priv;
	unsigned ranges;
	struct store_range answer; /* to a read */
	/* Keeps reads back, for tests that answer them later. */
	int hold_reads;
	store_range_fn held_fn;
	void *held_priv;
};

static void fake_range(struct store *s, const char *key, int prefix,
		       store_range_fn fn, void *priv)
{
	struct fake_store *f = (struct fake_store *)s;

	g_assert_cmpstr(key, ==, "op/");
	g_assert_true(prefix);
	f->ranges++;
	if (f->hold_reads) {
		f->held_fn = fn;
		f->held_priv = priv;
		return;
	}
	fn(ERR_OK, &f->answer, priv);
}

static struct store_watch *fake_watch(struct store *s, const char *prefix,
				      int64_t from_revision, uint64_t era,
				      const struct store_watch_ops *ops,
				      void *priv)
{
	struct fake_store *f = (struct fake_store *)s;

	(void)from_revision;
	(void)era;
	g_assert_cmpstr(prefix, ==, "op/");
	f->watch_ops = ops;
	f->watch_priv = priv;
	return (struct store_watch *)f;
}

/* ---- the source, which counts what is translated ---- */

static struct doc_source source;
static unsigned rows_read, whole_reads;

static enum err count_row(const struct doc_rest *rest, const char *text,
			  size_t len, struct doc_sections *sections,
			  char name[DOC_NAME_BYTES], struct buf *problems)
{
	rows_read++;
	return platform_document.read_row(rest, text, len, sections, name,
					  problems);
}

static enum err count_whole(const uint8_t *value, size_t len, struct doc *d,
			    struct doc_sections *out, struct buf *problems)
{
	whole_reads++;
	return platform_document.read(value, len, d, out, problems);
}

/* ---- fixture ---- */

struct fixture {
	struct ev_loop *loop;
	struct fake_store store;
	struct doc_feed *feed;
	unsigned updates;
	struct doc doc; /* the newest that the feed reported */
	struct doc_sections sections;
	uint64_t version;
	unsigned order_reports;
	struct drained orders; /* as reported last */
	unsigned updates_at_first_orders;
};

static void on_ordered(const struct drained *orders, void *priv)
{
	struct fixture *f = priv;

	if (!f->order_reports++)
		f->updates_at_first_orders = f->updates;
	f->orders = *orders;
}

static void on_updated(struct doc *doc, struct doc_sections *sections,
		       void *priv)
{
	struct fixture *f = priv;

	doc_finish(&f->doc);
	doc_sections_finish(&f->sections);
	f->doc = *doc;
	f->sections = *sections;
	f->updates++;
}

static const struct doc_feed_ops feed_ops = { .updated = on_updated,
					      .ordered = on_ordered };

/* The first read finds what first has. */
static void setup_with(struct fixture *f, const struct store_range *first)
{
	memset(f, 0, sizeof(*f));
	f->store.answer = *first;
	source = platform_document;
	source.read_row = count_row;
	source.read = count_whole;
	rows_read = 0;
	whole_reads = 0;
	f->loop = ev_loop_new(0);
	f->store.ops.range = fake_range;
	f->store.ops.watch = fake_watch;
	f->store.store.ops = &f->store.ops;
	f->version = 16;
	g_assert_cmpint(doc_feed_new(&f->feed, f->loop, &f->store.store,
				     &source, &feed_ops, f),
			==, ERR_OK);
	fake_pause(f->loop, 1);
	g_assert_nonnull(f->store.watch_ops);
}

static void setup(struct fixture *f)
{
	const struct store_range empty = { .revision = 1, .era = 1 };

	setup_with(f, &empty);
}

static void teardown(struct fixture *f)
{
	doc_feed_free(f->feed);
	doc_finish(&f->doc);
	doc_sections_finish(&f->sections);
	ev_loop_destroy(f->loop);
}

static GString *make_config(uint64_t version, const char *services,
			    const char *rows)
{
	GString *s = g_string_new(NULL);

	g_string_printf(
		s,
		"{\"version\":\"%08x\",\"routes\":{\"columns\":"
		"[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeout\","
		"\"targetLatency\",\"priority\",\"service\","
		"\"maxAttempts\",\"weightedClusters\"],\"rows\":[%s]},"
		"\"services\":{\"columns\":[\"name\",\"sharded\"],"
		"\"rows\":[%s]}}",
		(unsigned)version, rows, services);
	return s;
}

static void write_value(struct fixture *f, const GString *text)
{
	struct store_event event = { .key = KEY,
				     .value = (const uint8_t *)text->str,
				     .value_len = text->len,
				     .mod_revision = (int64_t)f->version };

	f->store.watch_ops->event(&event, f->store.watch_priv);
}

static void add_route(GString *rows, unsigned name, unsigned place,
		      const char *timeout, const char *service)
{
	g_string_append_printf(rows,
			       "%s[\"r%u\",\"h%u.example\",\"/p%u/\","
			       "\"idempotent\",\"%s\",\"400ms\",1,\"%s\",2,"
			       "null]",
			       rows->len ? "," : "", name, place % 7, place,
			       timeout, service);
}

/* ---- tests ---- */

/*
 * Guards against a change whose cost follows the document: one changed route of
 * 1,000 is one row, and a version that adds none is none.
 */
static void test_reads_changes_only(void)
{
	struct fixture f;

	setup(&f);
	for (int change = 0; change < 4; change++) {
		GString *rows = g_string_new(NULL);
		GString *text;

		for (unsigned i = 0; i < 1000; i++)
			add_route(rows, i, i,
				  change == 1 && i == 500 ? "1s" : "2s",
				  "desk");
		if (change == 3)
			g_string_truncate(rows,
					  (gsize)(strrchr(rows->str, '[') -
						  rows->str - 1));
		rows_read = 0;
		text = make_config(++f.version, "[\"desk\",null]", rows->str);
		write_value(&f, text);
		fake_wait(f.loop, &f.updates, (unsigned)change + 1);
		/* From the third on: back to the first one, then one less. */
		g_assert_cmpuint(rows_read, ==,
				 change == 0   ? 1000
				 : change == 3 ? 0
					       : 1);
		g_assert_cmpuint(f.doc.route_count, ==,
				 change == 3 ? 999 : 1000);
		g_string_free(text, TRUE);
		g_string_free(rows, TRUE);
	}
	g_assert_cmpuint(whole_reads, ==, 0);
	teardown(&f);
}

/*
 * Guards against a loop that stands still while a long document is read, when
 * requests and signals wait: other events are handled between the steps.
 */
static void test_reads_in_steps(void)
{
	GString *rows = g_string_new(NULL);
	unsigned turns = 0;
	GString *text;
	struct fixture f;

	setup(&f);
	for (unsigned i = 0; i < 6400; i++)
		add_route(rows, i, i, "2s", "desk");
	text = make_config(++f.version, "[\"desk\",null]", rows->str);
	write_value(&f, text);
	while (!f.updates) {
		unsigned before = rows_read;

		ev_run(f.loop, EVRUN_ONCE);
		g_assert_cmpuint(rows_read - before, <=, 64);
		turns++;
	}
	/* Each of 64 rows, to translate and to read. */
	g_assert_cmpuint(turns, >=, 200);
	g_assert_cmpuint(f.doc.route_count, ==, 6400);
	g_string_free(text, TRUE);
	g_string_free(rows, TRUE);
	teardown(&f);
}

/*
 * Writes a random version: few names and places, so that routes move, collide
 * and come back. Some versions are malformed.
 */
static GString *random_version(GRand *rand, uint64_t version)
{
	GString *rows = g_string_new(NULL);
	int count = g_rand_int_range(rand, 0, 12);
	int names = g_rand_int_range(rand, 0, 4) ? 100 : 12;
	GString *text;

	for (int i = 0; i < count; i++)
		add_route(rows, (unsigned)g_rand_int_range(rand, 0, names),
			  (unsigned)g_rand_int_range(rand, 0, 60),
			  g_rand_int_range(rand, 0, 40) ? "2s" : "soon",
			  g_rand_int_range(rand, 0, 20) ? "desk" : "cal");
	if (!g_rand_int_range(rand, 0, 30))
		g_string_append(rows, ",,");
	text = make_config(version,
			   g_rand_int_range(rand, 0, 3)
				   ? "[\"desk\",null]"
				   : "[\"desk\",null],[\"cal\",true]",
			   rows->str);
	if (!g_rand_int_range(rand, 0, 30))
		g_string_truncate(text, text->len / 2);
	g_string_free(rows, TRUE);
	return text;
}

/*
 * Guards against a version that is read differently from what has changed than
 * as a whole, also after versions that are invalid or name a route twice.
 */
static void test_random_versions(void)
{
	GRand *rand = g_rand_new_with_seed(4);
	unsigned valid = 0;
	struct fixture f;

	setup(&f);
	for (int step = 0; step < 3000; step++) {
		GString *text = random_version(rand, ++f.version);
		struct doc_sections sections;
		unsigned before = f.updates;
		struct buf problems;
		struct doc doc;
		enum err e;

		buf_init(&problems);
		e = platform_document.read((const uint8_t *)text->str,
					   text->len, &doc, &sections,
					   &problems);
		buf_finish(&problems);

		write_value(&f, text);
		for (int i = 0; i < 10; i++)
			ev_run(f.loop, EVRUN_NOWAIT);
		g_assert_cmpuint(f.updates - before, ==, e == ERR_OK);
		g_string_free(text, TRUE);
		if (e != ERR_OK)
			continue;
		valid++;
		g_assert_cmpuint(f.doc.revision, ==, doc.revision);
		g_assert_cmpuint(f.sections.count, ==, sections.count);
		for (size_t i = 0; i < sections.count; i++) {
			g_assert_cmpstr(f.sections.items[i].name, ==,
					sections.items[i].name);
			g_assert_cmpstr(f.sections.items[i].text, ==,
					sections.items[i].text);
		}
		g_assert_cmpuint(f.doc.route_count, ==, doc.route_count);
		for (size_t i = 0; i < doc.route_count; i++)
			g_assert_cmpstr(f.doc.routes[i]->name, ==,
					doc.routes[i]->name);
		doc_finish(&doc);
		doc_sections_finish(&sections);
	}
	g_assert_cmpuint(valid, >, 500);
	g_assert_cmpuint(whole_reads, >, 50);
	g_rand_free(rand);
	teardown(&f);
}

/* Guards against a newer version that is lost while another one is read. */
static void test_version_while_reading(void)
{
	GString *rows = g_string_new(NULL);
	GString *first, *second, *third;
	struct fixture f;

	setup(&f);
	for (unsigned i = 0; i < 300; i++)
		add_route(rows, i, i, "2s", "desk");
	first = make_config(++f.version, "[\"desk\",null]", rows->str);
	add_route(rows, 300, 300, "2s", "desk");
	second = make_config(++f.version, "[\"desk\",null]", rows->str);
	add_route(rows, 301, 301, "2s", "desk");
	third = make_config(++f.version, "[\"desk\",null]", rows->str);
	write_value(&f, first);
	ev_run(f.loop, EVRUN_ONCE);
	write_value(&f, second);
	write_value(&f, third);
	fake_wait(f.loop, &f.updates, 2);
	g_assert_cmpuint(f.doc.route_count, ==, 302);
	/* Freed while one is being read and another one waits. */
	write_value(&f, first);
	write_value(&f, second);
	g_string_free(first, TRUE);
	g_string_free(second, TRUE);
	g_string_free(third, TRUE);
	g_string_free(rows, TRUE);
	teardown(&f);
}

/* ---- orders ---- */

#define ORDER_A "op/evacuate/a"
#define ORDER_B "op/evacuate/b"

static const struct store_kv order_kvs[] = {
	{ ORDER_A, (const uint8_t *)"{}", 2, 4 },
	{ ORDER_B, (const uint8_t *)"", 0, 5 },
	{ "op/evacuate/", (const uint8_t *)"{}", 2, 2 },
	{ "op/evacuate/a b", (const uint8_t *)"{}", 2, 2 },
	{ "op/evacuated", (const uint8_t *)"{}", 2, 2 },
	{ "op/other", (const uint8_t *)"{}", 2, 2 },
};

static struct store_range make_range(size_t count, int64_t revision,
				     uint64_t era)
{
	return (struct store_range){ order_kvs, count, revision, era };
}

static void send_order(struct fixture *f, const char *key, const char *value,
		       int64_t revision)
{
	struct store_event event = { .key = key,
				     .value = (const uint8_t *)value,
				     .value_len = value ? strlen(value) : 0,
				     .mod_revision = revision };

	f->store.watch_ops->event(&event, f->store.watch_priv);
}

/* Ends the watch; the next read finds range. */
static void lose_watch(struct fixture *f, struct store_range range)
{
	f->store.answer = range;
	f->store.watch_ops->ended(ERR_STALE, f->store.watch_priv);
	f->store.watch_ops = NULL;
	fake_pause(f->loop, 150);
	g_assert_nonnull(f->store.watch_ops);
}

static void expect_orders(const struct fixture *f, int a, int b)
{
	g_assert_cmpint(drained_has(&f->orders, "a"), ==, a);
	g_assert_cmpint(drained_has(&f->orders, "b"), ==, b);
	g_assert_cmpuint(f->orders.count, ==, (size_t)(a + b));
}

/*
 * Guards against orders that are known only after the document, when requests
 * are routed already, against a further call of the store for them, and against
 * other keys and malformed names that count as orders.
 */
static void test_orders_at_start(void)
{
	GString *text = make_config(1, "[\"desk\",null]", "");
	const struct store_kv config = { KEY, (const uint8_t *)text->str,
					 text->len, 3 };
	struct store_kv kvs[G_N_ELEMENTS(order_kvs) + 1] = { config };
	struct store_range first = { kvs, G_N_ELEMENTS(kvs), 6, 1 };
	struct fixture f;

	memcpy(kvs + 1, order_kvs, sizeof(order_kvs));
	setup_with(&f, &first);
	fake_wait(f.loop, &f.updates, 1);
	g_assert_cmpuint(f.updates_at_first_orders, ==, 0);
	g_assert_cmpuint(f.order_reports, ==, 1);
	g_assert_cmpuint(f.store.ranges, ==, 1);
	expect_orders(&f, 1, 1);
	g_string_free(text, TRUE);
	teardown(&f);
}

/*
 * Guards against an order that is taken back with another one, that stays after
 * its key was deleted, or that is reported again without a change.
 */
static void test_order_events(void)
{
	struct fixture f;

	setup(&f);
	g_assert_cmpuint(f.order_reports, ==, 1);
	expect_orders(&f, 0, 0);
	send_order(&f, ORDER_A, "{}", 2);
	expect_orders(&f, 1, 0);
	send_order(&f, ORDER_B, "{}", 3);
	send_order(&f, ORDER_B, "{\"by\":1}", 4);
	g_assert_cmpuint(f.order_reports, ==, 3);
	send_order(&f, ORDER_A, NULL, 5);
	expect_orders(&f, 0, 1);
	send_order(&f, "op/evacuate/b!", "{}", 6);
	send_order(&f, ORDER_A, NULL, 7);
	g_assert_cmpuint(f.order_reports, ==, 4);
	send_order(&f, ORDER_B, NULL, 8);
	expect_orders(&f, 0, 0);
	teardown(&f);
}

/* Guards against an order that was deleted while there was no watch. */
static void test_order_deleted_unseen(void)
{
	struct fixture f;

	setup(&f);
	send_order(&f, ORDER_A, "{}", 4);
	send_order(&f, ORDER_B, "{}", 5);
	lose_watch(&f, make_range(1, 9, 1));
	expect_orders(&f, 1, 0);
	teardown(&f);
}

/*
 * Guards against orders that stay after a restore of the store, whose copy does
 * not have them and has a lower revision, and against their return.
 */
static void test_orders_after_restore(void)
{
	struct fixture f;

	setup(&f);
	send_order(&f, ORDER_A, "{}", 40);
	lose_watch(&f, make_range(0, 3, 2));
	expect_orders(&f, 0, 0);
	send_order(&f, ORDER_B, "{}", 4);
	expect_orders(&f, 0, 1);
	teardown(&f);
}

/*
 * Guards against a read that was sent before an order and answered after the
 * event, and against events of a new watch that a later read has overtaken.
 */
static void test_order_overtaken(void)
{
	struct store_range before = make_range(0, 3, 1);
	struct fixture f;

	setup(&f);
	f.store.hold_reads = 1;
	g_assert_true(doc_feed_poll(f.feed));
	fake_pause(f.loop, 1);
	send_order(&f, ORDER_A, "{}", 4);
	f.store.held_fn(ERR_OK, &before, f.store.held_priv);
	expect_orders(&f, 1, 0);
	f.store.hold_reads = 0;
	f.store.answer = make_range(0, 9, 1);
	g_assert_true(doc_feed_poll(f.feed));
	fake_pause(f.loop, 1);
	expect_orders(&f, 0, 0);
	send_order(&f, ORDER_B, "{}", 8);
	expect_orders(&f, 0, 0);
	teardown(&f);
}

/*
 * Guards against a set that overflows by what others write to the store, and
 * against an order that stays without effect after others have made room.
 */
static void test_too_many_orders(void)
{
	struct fixture f;

	setup(&f);
	for (int i = 0; i < 2 * DRAINED_MAX; i++) {
		char key[64];

		g_snprintf(key, sizeof(key), "op/evacuate/z%d", i);
		send_order(&f, key, "{}", i + 2);
	}
	g_assert_cmpuint(f.orders.count, ==, DRAINED_MAX);
	g_assert_true(drained_has(&f.orders, "z0"));
	f.store.answer = make_range(1, 3 * DRAINED_MAX, 1);
	send_order(&f, "op/evacuate/z0", NULL, 3 * DRAINED_MAX);
	fake_pause(f.loop, 1);
	expect_orders(&f, 1, 0);
	teardown(&f);
}

static void cut(const char *text, size_t count, const char *rest)
{
	struct json_rows r;

	g_assert_cmpint(json_rows_cut(text, strlen(text), "o", "l", &r), ==,
			ERR_OK);
	g_assert_cmpuint(r.count, ==, count);
	g_assert_cmpstr((const char *)buf_text(&r.rest), ==,
			rest ? rest : text);
	json_rows_finish(&r);
}

/*
 * Guards against rows that are cut from a text in which reading finds others,
 * or that swallow what is malformed.
 */
static void test_cut(void)
{
	cut("{\"o\":{\"l\":[1,[2,\"]\"],\"\\\"]\"]},\"p\":[3]}", 3,
	    "{\"o\":{\"l\":[]},\"p\":[3]}");
	cut(" { \"o\" : { \"x\":{}, \"l\" : [ 1 , 2 ] } } ", 2,
	    " { \"o\" : { \"x\":{}, \"l\" : [] } } ");
	cut("{\"o\":{\"l\":[]}}", 0, NULL);
	/* Not cut: malformed, not there, or there twice. */
	cut("", 0, NULL);
	cut("[1]", 0, NULL);
	cut("{\"o\":{\"l\":[1,2", 0, NULL);
	cut("{\"o\":{\"l\":[1,,2]}}", 0, NULL);
	cut("{\"o\":{\"l\":[1,2]]}}", 0, NULL);
	cut("{\"o\":{\"l\":[1,\"2]}}", 0, NULL);
	cut("{\"o\":{\"l\":7}}", 0, NULL);
	cut("{\"o\":{\"l\":[1],\"l\":[2]}}", 0, NULL);
	cut("{\"o\":{\"l\":[1]},\"o\":{\"l\":[2]}}", 0, NULL);
	cut("{\"o\":{\"l\":[1]},\"\\u006f\":{\"l\":[2]}}", 0, NULL);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doc_feed/reads_changes_only",
			test_reads_changes_only);
	g_test_add_func("/doc_feed/reads_in_steps", test_reads_in_steps);
	g_test_add_func("/doc_feed/random_versions", test_random_versions);
	g_test_add_func("/doc_feed/version_while_reading",
			test_version_while_reading);
	g_test_add_func("/doc_feed/cut", test_cut);
	g_test_add_func("/doc_feed/orders_at_start", test_orders_at_start);
	g_test_add_func("/doc_feed/order_events", test_order_events);
	g_test_add_func("/doc_feed/order_deleted_unseen",
			test_order_deleted_unseen);
	g_test_add_func("/doc_feed/orders_after_restore",
			test_orders_after_restore);
	g_test_add_func("/doc_feed/order_overtaken", test_order_overtaken);
	g_test_add_func("/doc_feed/too_many_orders", test_too_many_orders);
	return g_test_run();
}
