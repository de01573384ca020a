#include "common/clk.h"
#include "membership/coord.h"
#include "membership/membership_priv.h"
#include "platform/document.h"
#include "platform/kv.h"
#include "platform/platform.h"
#include "protocol/wire.h"
#include "store/etcd_json.h"
#include "transport/httpd.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * Odd values in the store and in calls from outside: malformed, out of range or
 * of another type. None may end a process or stop it from following the rest.
 */

#define MAX_KEYS 8

/* A store in memory whose calls answer at once. */
struct fake_store {
	struct store store; /* first member */
	struct store_kv kvs[MAX_KEYS];
	size_t count;
	int64_t revision;
	unsigned txns;
};

static void set_key(struct fake_store *s, const char *key, const void *value,
		    size_t len)
{
	size_t i = 0;

	while (i < s->count && strcmp(s->kvs[i].key, key) != 0)
		i++;
	g_assert_cmpuint(i, <, MAX_KEYS);
	if (i == s->count)
		s->count++;
	g_free((void *)(uintptr_t)s->kvs[i].key);
	g_free((void *)(uintptr_t)s->kvs[i].value);
	s->kvs[i].key = g_strdup(key);
	s->kvs[i].value = g_memdup2(len ? value : "", len ? len : 1);
	s->kvs[i].value_len = len;
	s->kvs[i].mod_revision = ++s->revision;
}

static void fake_range(struct store *store, const char *key, int prefix,
		       store_range_fn fn, void *priv)
{
	struct fake_store *s = (struct fake_store *)store;
	struct store_kv found[MAX_KEYS];
	struct store_range r = { .kvs = found, .revision = s->revision };

	for (size_t i = 0; i < s->count; i++) {
		if (prefix ? g_str_has_prefix(s->kvs[i].key, key)
			   : !strcmp(s->kvs[i].key, key))
			found[r.count++] = s->kvs[i];
	}
	fn(ERR_OK, &r, priv);
}

static void fake_txn(struct store *store, const struct store_compare *compares,
		     size_t compare_count, const struct store_put *puts,
		     size_t put_count, store_txn_fn fn, void *priv)
{
	struct fake_store *s = (struct fake_store *)store;

	s->txns++;
	for (size_t i = 0; i < put_count; i++)
		set_key(s, puts[i].key, puts[i].value, puts[i].value_len);
	fn(ERR_OK, s->revision, priv);
}

static struct store_watch *fake_watch(struct store *s, const char *prefix,
				      int64_t from_revision, uint64_t era,
				      const struct store_watch_ops *ops,
				      void *priv)
{
	return (struct store_watch *)s;
}

static void fake_unwatch(struct store *s, struct store_watch *w)
{
}

static uint64_t fake_number_floor(const struct store *s)
{
	return 0;
}

static const struct store_ops fake_ops = {
	.range = fake_range,
	.txn = fake_txn,
	.watch = fake_watch,
	.unwatch = fake_unwatch,
	.number_floor = fake_number_floor,
};

static void fake_store_init(struct fake_store *s)
{
	memset(s, 0, sizeof(*s));
	s->store.ops = &fake_ops;
}

static void fake_store_finish(struct fake_store *s)
{
	for (size_t i = 0; i < s->count; i++) {
		g_free((void *)(uintptr_t)s->kvs[i].key);
		g_free((void *)(uintptr_t)s->kvs[i].value);
	}
}

/* ---- the state that a coordinator loads ---- */

/* Elects a coordinator over the store; returns 1 if it becomes active. */
static int load_coordinator(struct fake_store *s, const struct record *known)
{
	static struct settings settings = { .name = "n1",
					    .store_prefix = "/m/",
					    .address = "127.0.0.1",
					    .peer_port = 8001,
					    .admin_port = 8002 };
	struct ev_loop *loop = ev_loop_new(0);
	struct coord_config config = { .loop = loop,
				       .settings = &settings,
				       .store = &s->store,
				       .incarnation = 1 };
	static const struct dgram_ops no_ops;
	struct dgram dgram;
	struct coord *c;
	struct cnt cnt;
	int active;

	cnt_init(&cnt);
	config.cnt = &cnt;
	config.dgram = &dgram;
	g_assert_cmpint(
		dgram_init(&dgram, loop, "127.0.0.1", 0, &no_ops, NULL, NULL),
		==, ERR_OK);
	g_assert_cmpint(coord_new(&c, &config), ==, ERR_OK);
	coord_start_election(c, known, 0);
	active = coord_is_active(c);
	coord_free(c);
	dgram_finish(&dgram);
	cnt_finish(&cnt);
	ev_loop_destroy(loop);
	return active;
}

static void set_roster(struct fake_store *s, Wire__RosterEntry **entries,
		       size_t count)
{
	Wire__Roster r = WIRE__ROSTER__INIT;
	uint8_t packed[512];

	r.next_id = 9;
	r.entries = entries;
	r.n_entries = count;
	g_assert_cmpuint(wire__roster__get_packed_size(&r), <, sizeof(packed));
	set_key(s, "/m/roster", packed, wire__roster__pack(&r, packed));
}

/*
 * Guards against a roster that ends each coordinator that reads it (an entry
 * without a node), or that counts a node twice in the majorities of holds. Such
 * a roster is refused as a whole: without one of its nodes, a coordinator would
 * give away what that node still serves.
 */
static void test_roster_entries(void)
{
	Wire__Node node = WIRE__NODE__INIT, nameless = WIRE__NODE__INIT;
	Wire__Node without_id = WIRE__NODE__INIT, other = WIRE__NODE__INIT;
	struct {
		Wire__Node *second;
		int loaded;
	} cases[] = {
		{ &other, 1 },	  { NULL, 0 },	      { &node, 0 },
		{ &nameless, 0 }, { &without_id, 0 },
	};

	node.id = 3;
	node.name = "n3";
	node.address = "127.0.0.1";
	node.peer_port = 8003;
	node.incarnation = 3;
	other = node;
	other.id = 4;
	other.name = "n4";
	nameless = other;
	nameless.name = "";
	without_id = other;
	without_id.id = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Wire__RosterEntry a = WIRE__ROSTER_ENTRY__INIT;
		Wire__RosterEntry b = WIRE__ROSTER_ENTRY__INIT;
		Wire__RosterEntry *entries[] = { &a, &b };
		struct record none = { 0 };
		struct fake_store s;

		g_test_message("case %zu", i);
		fake_store_init(&s);
		a.node = &node;
		b.node = cases[i].second;
		set_roster(&s, entries, 2);
		g_assert_cmpint(load_coordinator(&s, &none), ==,
				cases[i].loaded);
		fake_store_finish(&s);
	}
}

/*
 * Guards against another writer's key beside those of the map that keeps every
 * coordinator from loading it, and against a coordinator that leaves out a part
 * of the map or the roster which it cannot read: slots would get a second
 * owner.
 */
static void test_odd_state_keys(void)
{
	static const struct {
		const char *key;
		int loaded;
	} cases[] = {
		{ "/m/unknown", 1 },
		{ "/m/map/log/", 1 },
		{ "/m/map/log/0000000000000001.bak", 1 },
		{ "/m/map/log/000000000000000X", 1 },
		{ "/m/map/snap/0000~", 1 },
		{ "/m/map/snap/readme", 1 },
		{ "/m/roster.bak", 1 },
		{ "/m/doc/head", 1 },
		{ "/m/map/log/0000000000000001", 0 },
		{ "/m/map/snap/0000", 0 },
		{ "/m/roster", 0 },
	};
	struct record none = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_store s;

		g_test_message("%s", cases[i].key);
		fake_store_init(&s);
		set_key(&s, cases[i].key, "\xff\xff\xff", 3);
		g_assert_cmpint(load_coordinator(&s, &none), ==,
				cases[i].loaded);
		fake_store_finish(&s);
	}
}

/* ---- the record of the coordinator ---- */

/* What start_election got. */
struct elections {
	unsigned count;
	struct record known;
};

static void on_start_election(const struct record *known, uint64_t seen_term,
			      void *priv)
{
	struct elections *e = priv;

	e->count++;
	e->known = *known;
}

/* Reads the record as a node whose election is due; returns the elections. */
static struct elections read_record(struct fake_store *s)
{
	static const struct membership_ops ops = {
		.start_election = on_start_election,
	};
	struct settings settings = { .name = "n1",
				     .store_prefix = "/m/",
				     .address = "127.0.0.1" };
	struct elections e = { 0 };
	struct ev_loop *loop = ev_loop_new(0);
	struct membership m = { .config = { .loop = loop,
					    .settings = &settings,
					    .store = &s->store,
					    .incarnation = 1,
					    .ops = &ops,
					    .priv = &e } };

	own_member_init(&m.own, 1);
	m.last_tick_ms = clk_ms();
	membership_discovery_tick(&m, clk_ms());
	free(m.conn);
	ev_loop_destroy(loop);
	return e;
}

#define RECORD(term, address, peer_port)                            \
	"{\"term\":" term ",\"node\":\"n2\",\"incarnation\":\"2\"," \
	"\"address\":\"" address "\",\"peer_port\":" peer_port      \
	",\"admin_port\":8002}"

static const char *const odd_records[] = {
	"",
	"\xff\xfe",
	"{\"term\":",
	"[]",
	"{}",
	"{\"term\":7}",
	RECORD("\"7\"", "10.0.0.2", "8000"),
	RECORD("1e999", "10.0.0.2", "8000"),
	RECORD("7.5", "10.0.0.2", "8000"),
	RECORD("-7", "10.0.0.2", "8000"),
	RECORD("0", "10.0.0.2", "8000"),
	RECORD("99999999999999999999", "10.0.0.2", "8000"),
	RECORD("7", "10.0.0.2\\u0000", "8000"),
	RECORD("7", "10.0.0.2", "null"),
	RECORD("9223372036854775807", "10.0.0.2", "8000"),
	RECORD("7", "", "8000"),
	RECORD("7", "nowhere", "8000"),
	RECORD("7", "10.0.0", "8000"),
	RECORD("7", "::1", "8000"),
	RECORD("7", "10.0.0.2", "0"),
	RECORD("7", "10.0.0.2", "-1"),
	RECORD("7", "10.0.0.2", "65536"),
	RECORD("7", "10.0.0.2", "70000"),
	RECORD("7", "10.0.0.2", "4294975296"),
};

/* Arrays nested more deeply than the JSON parser goes. */
static char *nest_deeply(void)
{
	GString *s = g_string_new(NULL);

	for (int i = 0; i < 100000; i++)
		g_string_append_c(s, '[');
	return g_string_free(s, FALSE);
}

static void assert_replaced(const char *text)
{
	struct elections e;
	struct fake_store s;
	struct record r;

	g_test_message("%.200s", text);
	fake_store_init(&s);
	s.revision = 40;
	set_key(&s, "/m/coord", text, strlen(text));
	e = read_record(&s);
	g_assert_cmpuint(e.count, ==, 1);
	g_assert_cmpint(e.known.mod_revision, ==, 41);
	/* Each term was a write of its own, so none was above the revision. */
	g_assert_cmpuint(e.known.term, >=, 41);
	g_assert_true(load_coordinator(&s, &e.known));
	g_assert_cmpint(record_parse(&r, s.kvs[0].value, s.kvs[0].value_len),
			==, ERR_OK);
	g_assert_cmpuint(r.term, >, 41);
	fake_store_finish(&s);
}

/*
 * Guards against a fleet that stays without a coordinator for as long as the
 * record is malformed: each node read it again and again, and none replaced it.
 */
static void test_odd_records(void)
{
	char *deep = nest_deeply();
	struct fake_store s;

	for (size_t i = 0; i < G_N_ELEMENTS(odd_records); i++)
		assert_replaced(odd_records[i]);
	assert_replaced(deep);
	g_free(deep);
	/* A good record names the coordinator to follow. */
	fake_store_init(&s);
	set_key(&s, "/m/coord", RECORD("7", "10.0.0.2", "8000"),
		strlen(RECORD("7", "10.0.0.2", "8000")));
	g_assert_cmpuint(read_record(&s).count, ==, 0);
	fake_store_finish(&s);
}

/* ---- the platform's store ---- */

/* The start of the fields of one item whose value is "v". */
#define VALUE "\"value\":\"dg==\""
#define GOOD(key, revision) \
	"{\"key\":\"" key "\"," VALUE ",\"revision\":" revision "}"

/* A server that gives one answer, and leaves later calls without one. */
struct server {
	struct ev_loop *loop;
	struct httpd httpd;
	struct store *store;
	const char *body;
	unsigned answers; /* calls to answer, 1 unless a test changes it */
	unsigned calls;
	char second_after[32]; /* where the second call continues */
};

static void on_request(struct httpd_request *r, void *priv)
{
	struct server *s = priv;
	const char *after = httpd_get_argument(r, "after");

	if (++s->calls <= s->answers)
		httpd_answer_text(r, 200, "application/json", s->body);
	else if (s->calls == 2)
		g_strlcpy(s->second_after, after ? after : "",
			  sizeof(s->second_after));
}

static const struct httpd_ops server_ops = { .request = on_request };

static void server_init(struct server *s, const char *body)
{
	char endpoint[64];

	memset(s, 0, sizeof(*s));
	s->loop = ev_loop_new(0);
	s->body = body;
	s->answers = 1;
	g_assert_cmpint(httpd_init(&s->httpd, s->loop, "127.0.0.1", 0, 100000,
				   60, &server_ops, s, NULL),
			==, ERR_OK);
	g_snprintf(endpoint, sizeof(endpoint), "http://127.0.0.1:%u",
		   httpd_port(&s->httpd));
	g_assert_cmpint(kv_open(&s->store, s->loop, endpoint, 500, NULL), ==,
			ERR_OK);
}

static void server_finish(struct server *s)
{
	s->store->ops->finish(s->store);
	httpd_finish(&s->httpd);
	ev_loop_destroy(s->loop);
}

static void run_until(struct ev_loop *loop, const unsigned *count,
		      unsigned want)
{
	for (int i = 0; i < 5000 && *count < want; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
	g_assert_cmpuint(*count, >=, want);
}

static void on_event(const struct store_event *event, void *priv)
{
	g_string_append_printf(priv, "%s%s ", event->key,
			       event->value ? "" : "-");
}

static void on_ended(enum err why, void *priv)
{
	g_string_append_printf(priv, "ended:%s", err_name(why));
}

static const struct store_watch_ops watch_ops = { .event = on_event,
						  .ended = on_ended };

/* Items and events that cannot be read, in a list with good ones. */
static const char *const odd_items[] = {
	"null",
	"7",
	"[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]",
	"{}",
	"{\"key\":7," VALUE ",\"revision\":5}",
	"{\"key\":\"\"," VALUE ",\"revision\":5}",
	"{\"key\":\"op/a\\u0000b\"," VALUE ",\"revision\":5}",
};

static const char *const odd_events[] = {
	"{\"key\":\"op/x\"," VALUE "}",
	"{\"key\":\"op/x\"," VALUE ",\"revision\":\"5\"}",
	"{\"key\":\"op/x\"," VALUE ",\"revision\":5.5}",
	"{\"key\":\"op/x\"," VALUE ",\"revision\":1e30}",
	"{\"key\":\"op/x\",\"value\":7,\"revision\":5}",
	"{\"key\":\"op/x\",\"value\":\"*\",\"revision\":5}",
	"{\"key\":\"op/x\",\"value\":{\"a\":[]},\"revision\":5}",
	"{\"key\":\"op/x\",\"removed\":true}",
};

static void add_items(GString *list, const char *const *items, size_t count)
{
	for (size_t i = 0; i < count; i++)
		g_string_append_printf(list, "%s,", items[i]);
}

/*
 * Guards against a watch that stops to follow at an event that cannot be read:
 * it asked for the same events again and again, and delivered none of them.
 */
static void test_odd_events(void)
{
	GString *seen = g_string_new(NULL);
	GString *body = g_string_new("{\"events\":[" GOOD("op/1", "4") ",");
	struct server s;

	add_items(body, odd_items, G_N_ELEMENTS(odd_items));
	add_items(body, odd_events, G_N_ELEMENTS(odd_events));
	g_string_append(body, GOOD("op/2", "6") "],\"at\":9}");
	server_init(&s, body->str);
	s.store->ops->watch(s.store, "op/", 3, 0, &watch_ops, seen);
	run_until(s.loop, &s.calls, 2);
	g_assert_cmpstr(seen->str, ==, "op/1 op/2 ");
	g_assert_cmpstr(s.second_after, ==, "9");
	server_finish(&s);
	g_string_free(seen, TRUE);
	g_string_free(body, TRUE);
}

static void on_ended_count(enum err why, void *priv)
{
	g_assert_cmpint(why, ==, ERR_MALFORMED);
	++*(unsigned *)priv;
}

static const struct store_watch_ops ended_ops = { .ended = on_ended_count };

/*
 * Guards against a watch that asks for the same answer forever if that is no
 * JSON, e.g. because of one number: only a new watch, after a read, gets past
 * the event. It must not end at once, since each one costs a read of the range.
 */
static void test_odd_watch_answers(void)
{
	static const char *const bodies[] = {
		"{\"events\":[" GOOD("op/x", "1e999") "],\"at\":9}",
		"{\"events\":[" GOOD("op/x",
				     "99999999999999999999") "],"
							     "\"at\":9}",
		"{\"events\":[" GOOD("op/\xff\xfe", "5") "],\"at\":9}",
		"{\"events\":[" GOOD("op/x", "5") "],\"at\":\"9\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		unsigned ended = 0;
		struct server s;

		g_test_message("%s", bodies[i]);
		server_init(&s, bodies[i]);
		s.answers = UINT_MAX;
		s.store->ops->watch(s.store, "op/", 3, 0, &ended_ops, &ended);
		run_until(s.loop, &ended, 1);
		g_assert_cmpuint(s.calls, >, 2);
		server_finish(&s);
	}
}

struct range_result {
	unsigned done;
	enum err e;
	GString *keys;
};

static void on_range(enum err e, const struct store_range *r, void *priv)
{
	struct range_result *result = priv;

	result->done++;
	result->e = e;
	for (size_t i = 0; i < r->count; i++)
		g_string_append_printf(result->keys, "%s ", r->kvs[i].key);
}

/* Reads a range whose every page is body; returns the keys in result. */
static void read_range(const char *body, struct range_result *result)
{
	struct server s;

	g_test_message("%s", body);
	result->done = 0;
	result->keys = g_string_new(NULL);
	server_init(&s, body);
	s.answers = UINT_MAX;
	s.store->ops->range(s.store, "op/", 1, on_range, result);
	run_until(s.loop, &result->done, 1);
	g_assert_cmpuint(s.calls, <=, 3);
	server_finish(&s);
}

/*
 * Guards against a range that is never read because of an item without a
 * readable key, which can be none of the caller's.
 */
static void test_odd_items(void)
{
	GString *body = g_string_new("{\"items\":[" GOOD("op/1", "4") ",");
	struct range_result r;

	add_items(body, odd_items, G_N_ELEMENTS(odd_items));
	g_string_append(body,
			GOOD("op/2", "6") "],\"hasMore\":false,\"at\":9}");
	read_range(body->str, &r);
	g_assert_cmpint(r.e, ==, ERR_OK);
	g_assert_cmpstr(r.keys->str, ==, "op/1 op/2 ");
	g_string_free(r.keys, TRUE);
	g_string_free(body, TRUE);
}

/*
 * Guards against a range that lacks an item of the caller's and yet counts as
 * read, since its value or revision is malformed or it is on a later page: a
 * coordinator would take the roster or the map for absent. Also guards against
 * a page without a readable key that is read again and again.
 */
static void test_incomplete_ranges(void)
{
	static const char *const odd[] = {
		"{\"key\":\"op/x\"," VALUE "}",
		"{\"key\":\"op/x\"," VALUE ",\"revision\":5.5}",
		"{\"key\":\"op/x\",\"value\":7,\"revision\":5}",
		"{\"key\":\"op/x\",\"value\":\"*\",\"revision\":5}",
	};
	struct range_result r;

	read_range("{\"items\":[],\"hasMore\":true,\"at\":9}", &r);
	g_assert_cmpint(r.e, !=, ERR_OK);
	g_string_free(r.keys, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		char *body =
			g_strdup_printf("{\"items\":[%s],\"at\":9}", odd[i]);

		read_range(body, &r);
		g_assert_cmpint(r.e, !=, ERR_OK);
		g_string_free(r.keys, TRUE);
		g_free(body);
	}
	read_range("{\"items\":[{\"key\":\"op/a\\u0000b\"," VALUE
		   ",\"revision\":5}],\"hasMore\":true,\"at\":9}",
		   &r);
	g_assert_cmpint(r.e, !=, ERR_OK);
	g_string_free(r.keys, TRUE);
}

/* ---- the project's own store ---- */

#define HEADER "\"header\":{\"revision\":\"5\"}"
/* Keys "a", "b" and, with bytes that no key of the project has, "a\0b". */
#define ETCD_KV(key) \
	"{\"key\":\"" key "\",\"value\":\"dg==\",\"mod_revision\":\"2\"}"
#define KEY_A ETCD_KV("YQ==")
#define KEY_B ETCD_KV("Yg==")
#define KEY_NUL ETCD_KV("YQBi")

/*
 * Guards against a range that is never read, and a watch that ends, because of
 * another writer's key with a NUL in it.
 */
static void test_odd_etcd_keys(void)
{
	static const char range[] =
		"{" HEADER ",\"kvs\":[" KEY_A "," KEY_NUL "," KEY_B "]}";
	static const char message[] =
		"{\"result\":{" HEADER ",\"events\":[{\"kv\":" KEY_A
		"},{\"kv\":" KEY_NUL "},{\"kv\":" KEY_B "}]}}";
	struct etcd_watch_message m;
	struct store_range r;

	g_assert_cmpint(etcd_json_read_range(range, strlen(range), &r), ==,
			ERR_OK);
	g_assert_cmpuint(r.count, ==, 2);
	g_assert_cmpstr(r.kvs[0].key, ==, "a");
	g_assert_cmpstr(r.kvs[1].key, ==, "b");
	etcd_json_free_kvs(r.kvs, r.count);
	g_assert_cmpint(etcd_json_read_watch(message, strlen(message), &m), ==,
			ERR_OK);
	g_assert_cmpuint(m.event_count, ==, 2);
	g_assert_cmpstr(m.events[1].key, ==, "b");
	etcd_json_free_watch(&m);
}

/* ---- announcements on the platform ---- */

#define ANNOUNCE(address, slots, sequence, more)                            \
	"{\"service\":\"cal\",\"address\":\"" address "\",\"slots\":" slots \
	",\"state\":\"ready\",\"sequence\":" sequence more "}"
#define ADDRESS "10.1.0.8:8301"

static const char *const odd_announcements[] = {
	"{",
	"null",
	"[]",
	"\xff\xfe",
	ANNOUNCE(ADDRESS, "1e999", "4", ""),
	ANNOUNCE(ADDRESS, "99999999999999999999", "4", ""),
	ANNOUNCE(ADDRESS, "1e3", "4", ""),
	ANNOUNCE(ADDRESS, "18.5", "4", ""),
	ANNOUNCE(ADDRESS, "0", "4", ""),
	ANNOUNCE(ADDRESS, "-1", "4", ""),
	ANNOUNCE(ADDRESS, "100001", "4", ""),
	ANNOUNCE(ADDRESS, "4294967314", "4", ""),
	ANNOUNCE(ADDRESS, "null", "4", ""),
	ANNOUNCE(ADDRESS, "18", "-1", ""),
	ANNOUNCE(ADDRESS, "18", "4.0", ""),
	ANNOUNCE(ADDRESS, "18", "9223372036854775807", ""),
	ANNOUNCE(ADDRESS, "18", "4", ",\"born\":-1"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"born\":9223372036854775807"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"born\":1.5"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"coldRemaining\":7"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"coldRemaining\":\"-1s\""),
	ANNOUNCE(ADDRESS, "18", "4", ",\"coldRemaining\":\"nan\""),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[[0,1,-1]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[[0,1,9223372036854775807]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[[0,1,1.5]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[[-1,1,1]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[[0,4294967296,1]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":[7]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"holds\":{}"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"released\":[[0,1,1]]"),
	ANNOUNCE(ADDRESS, "18", "4", ",\"released\":[[0,1,\"a\\u0000\"]]"),
	ANNOUNCE("", "18", "4", ""),
	ANNOUNCE("10.1.0.8", "18", "4", ""),
	ANNOUNCE("10.1.0:8301", "18", "4", ""),
	ANNOUNCE("::1:8301", "18", "4", ""),
	ANNOUNCE("[::1]:8301", "18", "4", ""),
	ANNOUNCE("host:8301", "18", "4", ""),
	ANNOUNCE("10.1.0.8:", "18", "4", ""),
	ANNOUNCE("10.1.0.8:0", "18", "4", ""),
	ANNOUNCE("10.1.0.8:-1", "18", "4", ""),
	ANNOUNCE("10.1.0.8:65536", "18", "4", ""),
	ANNOUNCE("10.1.0.8:70000", "18", "4", ""),
	ANNOUNCE("10.1.0.8:99999999999999999999", "18", "4", ""),
	ANNOUNCE("10.1.0.8:80x", "18", "4", ""),
	ANNOUNCE("10.1.0.8: 80", "18", "4", ""),
	ANNOUNCE("10.1.0.8:+80", "18", "4", ""),
	ANNOUNCE("10.1.0.8:-18446744073709551536", "18", "4", ""),
	ANNOUNCE("10.1.0.8:80 ", "18", "4", ""),
	ANNOUNCE("10.1.0.8:80\\u0000", "18", "4", ""),
};

static enum err read_announcement(const char *text)
{
	static struct announcement a;
	struct err_info info = { ERR_OK, "" };
	enum err e = platform_read_announcement("i-1", text, strlen(text), &a,
						&info);

	g_assert_cmpint(strlen(info.detail) > 0, ==, e != ERR_OK);
	return e;
}

/*
 * Guards against numbers of an announcement that are cut or taken for others: a
 * fence of -1 was 2^64-1, and the answers that repeat it are no JSON for most
 * readers; after the largest sequence, no announcement counts as newer.
 */
static void test_odd_announcements(void)
{
	GString *list = g_string_new(",\"holds\":[[0,1,1]");
	char *deep = nest_deeply();
	char *text;

	g_assert_cmpint(read_announcement(ANNOUNCE(ADDRESS, "18", "4", "")), ==,
			ERR_OK);
	/* The last one of two equal names counts; other fields are ignored. */
	g_assert_cmpint(read_announcement(ANNOUNCE(ADDRESS, "18", "4",
						   ",\"slots\":9,\"x\":[]")),
			==, ERR_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_announcements); i++) {
		g_test_message("%s", odd_announcements[i]);
		g_assert_cmpint(read_announcement(odd_announcements[i]), !=,
				ERR_OK);
	}
	g_assert_cmpint(read_announcement(deep), !=, ERR_OK);
	for (int i = 0; i < ANNOUNCE_MAX_ROWS; i++)
		g_string_append(list, ",[2,3,1]");
	text = g_strdup_printf(
		"%.*s%s]}", (int)strlen(ANNOUNCE(ADDRESS, "18", "4", "")) - 1,
		ANNOUNCE(ADDRESS, "18", "4", ""), list->str);
	g_assert_cmpint(read_announcement(text), !=, ERR_OK);
	g_free(text);
	g_free(deep);
	g_string_free(list, TRUE);
}

/* ---- the operator's configuration ---- */

#define CONFIG(route, services)                                                   \
	"{\"version\":\"0000000c\",\"routes\":{\"columns\":[\"name\","            \
	"\"pathPrefix\",\"kind\",\"timeout\",\"priority\",\"service\","           \
	"\"maxAttempts\",\"weightedClusters\"],\"rows\":[[\"ok\",\"/ok/\","       \
	"\"idempotent\",null,1,\"cal\",2,null]" route                             \
	"]},\"services\":{\"columns\":[\"name\",\"sharded\"],\"rows\":[" services \
	"]}}"
#define ROUTE(name, prefix, timeout, priority, attempts, split)             \
	CONFIG(",[" name "," prefix ",\"idempotent\"," timeout "," priority \
	       ",\"cal\"," attempts "," split "]",                          \
	       "[\"cal\",true]")

static const char *const odd_configs[] = {
	"{",
	"null",
	"\xff\xfe",
	"{\"routes\":[],\"services\":[]}",
	"{\"routes\":{\"columns\":7,\"rows\":[]},\"services\":{}}",
	CONFIG("", "null"),
	CONFIG("", "[]"),
	CONFIG("", "[7]"),
	CONFIG("", "[\"\"]"),
	CONFIG("", "[\"a b\"]"),
	CONFIG("", "[\"a\\u0000\"]"),
	CONFIG(",null", "[\"cal\"]"),
	CONFIG(",[[[[[]]]]]", "[\"cal\"]"),
	ROUTE("7", "\"/p/\"", "null", "1", "2", "null"),
	ROUTE("\"r\"", "\"p\"", "null", "1", "2", "null"),
	ROUTE("\"r\"", "[\"/p/\"]", "null", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "7", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"-1s\"", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"1e999s\"", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"9e300ms\"", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"18446744073709552000ms\"", "1", "2",
	      "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"601s\"", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "\"1s\\u0000\"", "1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "-1", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1.5", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "4294967296", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1e999", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "99999999999999999999", "2", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "4294967298", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "true", "null"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "2", "[7]"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "2", "[{}]"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "2",
	      "[{\"service\":\"cal\",\"weight\":-1}]"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "2",
	      "[{\"service\":\"cal\",\"weight\":4294967297}]"),
	ROUTE("\"r\"", "\"/p/\"", "null", "1", "2",
	      "[{\"service\":\"cal\",\"weight\":0.5}]"),
};

static enum err read_config(const char *text)
{
	struct doc_sections sections;
	struct buf problems;
	struct doc doc;
	enum err e;

	buf_init(&problems);
	e = platform_document.read((const uint8_t *)text, strlen(text), &doc,
				   &sections, &problems);
	g_assert_cmpint(problems.len > 0, ==, e != ERR_OK);
	if (e == ERR_OK) {
		doc_finish(&doc);
		doc_sections_finish(&sections);
	}
	buf_finish(&problems);
	return e;
}

/*
 * Guards against a configuration of which a part is cut or left out: it is
 * refused as a whole, with a reason, and the one in force stays. Without one
 * route, its requests would go where a shorter prefix points.
 */
static void test_odd_configs(void)
{
	char *deep = nest_deeply();

	g_assert_cmpint(read_config(CONFIG("", "[\"cal\",true]")), ==, ERR_OK);
	g_assert_cmpint(read_config(ROUTE("\"r\"", "\"/p/\"", "\"600s\"", "1",
					  "2", "null")),
			==, ERR_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(odd_configs); i++) {
		g_test_message("%s", odd_configs[i]);
		g_assert_cmpint(read_config(odd_configs[i]), !=, ERR_OK);
	}
	g_assert_cmpint(read_config(deep), !=, ERR_OK);
	g_free(deep);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/odd_entries/roster_entries", test_roster_entries);
	g_test_add_func("/odd_entries/odd_records", test_odd_records);
	g_test_add_func("/odd_entries/odd_events", test_odd_events);
	g_test_add_func("/odd_entries/odd_watch_answers",
			test_odd_watch_answers);
	g_test_add_func("/odd_entries/odd_items", test_odd_items);
	g_test_add_func("/odd_entries/incomplete_ranges",
			test_incomplete_ranges);
	g_test_add_func("/odd_entries/odd_announcements",
			test_odd_announcements);
	g_test_add_func("/odd_entries/odd_configs", test_odd_configs);
	g_test_add_func("/odd_entries/odd_etcd_keys", test_odd_etcd_keys);
	g_test_add_func("/odd_entries/odd_state_keys", test_odd_state_keys);
	return g_test_run();
}
