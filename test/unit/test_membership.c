#include "common/clk.h"
#include "membership/dgram.h"
#include "membership/membership_priv.h"
#include "membership/record.h"
#include "transport/addr.h"

#include <glib.h>
#include <string.h>

/* Guards against fields of the record that change in a write and a read. */
static void test_record_round_trip(void)
{
	struct record r = { .term = 7,
			    .node = "n01",
			    .incarnation = 0xfedcba9876543210,
			    .address = "127.0.0.1",
			    .peer_port = 8081,
			    .admin_port = 8082,
			    .state_era = 0x8000000000000001 };
	struct record back;
	struct buf text;

	buf_init(&text);
	g_assert_cmpint(record_write(&r, &text), ==, ERR_OK);
	g_assert_cmpint(record_parse(&back, text.data, text.len), ==, ERR_OK);
	g_assert_true(record_same_writer(&r, &back));
	g_assert_cmpuint(back.admin_port, ==, 8082);
	g_assert_true(back.state_era == 0x8000000000000001);
	back.incarnation++;
	g_assert_false(record_same_writer(&r, &back));
	buf_finish(&text);
}

/*
 * Guards against a record that came back with a copy of the store and is taken
 * for the newest one, and against records of stores without eras and of earlier
 * daemons that are not.
 */
static void test_record_restored(void)
{
	static const char text[] =
		"{\"term\":3,\"node\":\"n\",\"incarnation\":\"1\",\"address\":"
		"\"127.0.0.1\",\"peer_port\":1,\"admin_port\":2}";
	struct record r = { .mod_revision = 9, .state_era = 4, .read_era = 4 };

	g_assert_false(record_is_restored(&r));
	r.read_era = 5;
	g_assert_true(record_is_restored(&r));
	/* A coordinator has not recovered the state yet. */
	r.state_era = 0;
	g_assert_true(record_is_restored(&r));
	r.mod_revision = 0;
	g_assert_false(record_is_restored(&r));
	r.mod_revision = 9;
	r.read_era = 0;
	g_assert_false(record_is_restored(&r));
	g_assert_cmpint(record_parse(&r, (const uint8_t *)text, strlen(text)),
			==, ERR_OK);
	r.mod_revision = 9;
	r.read_era = 5;
	g_assert_false(record_is_restored(&r));
}

/* Guards against malformed records in the store that are accepted. */
static void test_record_malformed(void)
{
	static const char *const texts[] = {
		"",
		"{}",
		"[1]",
		"{\"term\":0,\"node\":\"n\",\"incarnation\":\"1\",\"address\":"
		"\"127.0.0.1\",\"peer_port\":1,\"admin_port\":2}",
		"{\"term\":\"1\",\"node\":\"n\",\"incarnation\":\"1\","
		"\"address\":\"127.0.0.1\",\"peer_port\":1,\"admin_port\":2}",
	};
	struct record r;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_assert_cmpint(record_parse(&r, (const uint8_t *)texts[i],
					     strlen(texts[i])),
				==, ERR_MALFORMED);
}

/* The datagrams that the callbacks got. */
struct received {
	unsigned asks;
	unsigned replies;
	struct dgram_ask ask;
};

static void on_ask(const struct dgram_ask *ask, const struct sockaddr_in *from,
		   void *priv)
{
	struct received *h = priv;

	(void)from;
	h->asks++;
	h->ask = *ask;
}

static void on_reply(const struct dgram_reply *reply, void *priv)
{
	(void)reply;
	((struct received *)priv)->replies++;
}

static const struct dgram_ops ops = { .ask = on_ask, .reply = on_reply };

static unsigned bound_port(const struct dgram *d)
{
	struct sockaddr_in sa = { 0 };
	socklen_t len = sizeof(sa);

	getsockname(d->udp.fd, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

static void run_until(struct ev_loop *loop, const unsigned *count,
		      unsigned want)
{
	for (int i = 0; i < 1000 && *count < want; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

/*
 * Guards against malformed datagrams and values out of range that are accepted,
 * and against asks that are not sent after dgram_change_source_port.
 */
static void test_datagrams(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct dgram_ask ask = { .own = { .node_id = 3, .seq = 9 },
				 .map_rev = 5 };
	struct dgram_reply bad = { .own = { .grant_ms =
						    OWN_GRANT_MAX_MS + 1 } };
	struct received received = { 0 };
	struct sockaddr_in to;
	struct dgram d;

	g_assert_cmpint(
		dgram_init(&d, loop, "127.0.0.1", 0, &ops, &received, NULL), ==,
		ERR_OK);
	addr_parse(&to, "127.0.0.1", bound_port(&d));
	udp_send(&d.udp, &to, (const uint8_t *)"\xff\xff\xff", 3);
	udp_send(&d.udp, &to, (const uint8_t *)"", 0);
	dgram_send_reply(&d, &to, &bad);
	dgram_change_source_port(&d);
	dgram_send_ask(&d, &to, &ask);
	run_until(loop, &received.asks, 1);
	g_assert_cmpuint(received.asks, ==, 1);
	g_assert_cmpuint(received.ask.own.seq, ==, 9);
	g_assert_cmpuint(received.ask.map_rev, ==, 5);
	g_assert_cmpuint(received.replies, ==, 0);
	g_assert_cmpuint(d.malformed, ==, 3);
	g_assert_cmpuint(dgram_total_counts(&d).messages_in, ==, 4);
	dgram_finish(&d);
	ev_loop_destroy(loop);
}

static void deliver_reply(struct membership *m, uint64_t doc_rev,
			  uint32_t doc_age_ms)
{
	struct dgram_reply r = { .doc_rev = doc_rev, .doc_age_ms = doc_age_ms };
	struct own_ask ask;

	own_member_make_ask(&m->own, clk_ms(), &ask);
	r.own.seq = ask.seq;
	membership_on_lease_reply(m, &r);
}

/*
 * Guards against a document that counts as confirmed by a coordinator that has
 * another one, that has not heard from the store for long, or that does not
 * say when it last did.
 */
static void test_document_age(void)
{
	struct settings settings = { 0 };
	struct membership m = { .config.settings = &settings, .doc_rev = 7 };

	own_member_init(&m.own, 0);
	own_member_complete_join(&m.own, 3, clk_ms());
	deliver_reply(&m, 7, 0);
	deliver_reply(&m, 8, 1);
	deliver_reply(&m, 6, 1);
	g_assert_cmpint(membership_document_age_ms(&m), ==, INT64_MAX);
	deliver_reply(&m, 7, 60000);
	g_assert_cmpint(membership_document_age_ms(&m), >=, 60000);
	deliver_reply(&m, 7, 30000);
	g_assert_cmpint(membership_document_age_ms(&m), >=, 30000);
	g_assert_cmpint(membership_document_age_ms(&m), <, 60000);
	deliver_reply(&m, 8, 1);
	deliver_reply(&m, 7, 90000);
	g_assert_cmpint(membership_document_age_ms(&m), >=, 30000);
	g_assert_cmpint(membership_document_age_ms(&m), <, 60000);
}

static void count_change(void *priv)
{
	(*(unsigned *)priv)++;
}

static void set_document(struct membership *m, uint64_t revision)
{
	static const char text[] =
		"{\"version\":1,\"services\":{\"desk\":{\"keyed\":false}}}";
	struct doc_sections sections = { 0 };
	struct doc d;

	g_assert_cmpint(doc_parse(&d, text, strlen(text), NULL), ==, ERR_OK);
	d.revision = revision;
	membership_set_document(m, &d, &sections);
}

/*
 * Guards against a node that starts and takes the wait for the first orders for
 * an order that ends, which limits a warm target as if it were cold; and
 * against a coordinator that gives keys to a data centre before it knows
 * whether an order empties it.
 */
static void test_orders_awaited(void)
{
	static const struct membership_ops ops = { .changed = count_change };
	struct drained orders;
	unsigned changes = 0;
	struct membership m = { .config = { .ops = &ops, .priv = &changes },
				.orders_awaited = 1 };

	set_document(&m, 1);
	g_assert_cmpuint(changes, ==, 0);
	g_assert_true(membership_has_order(&m, "z1"));
	drained_init(&orders);
	g_assert_cmpint(drained_add(&orders, "z2"), ==, ERR_OK);
	membership_set_orders(&m, &orders);
	g_assert_cmpuint(changes, ==, 1);
	g_assert_false(membership_has_order(&m, "z1"));
	g_assert_true(membership_has_order(&m, "z2"));
	set_document(&m, 2);
	g_assert_cmpuint(changes, ==, 2);
	doc_finish(&m.doc);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/record/round_trip", test_record_round_trip);
	g_test_add_func("/record/restored", test_record_restored);
	g_test_add_func("/record/malformed", test_record_malformed);
	g_test_add_func("/dgram/datagrams", test_datagrams);
	g_test_add_func("/membership/document_age", test_document_age);
	g_test_add_func("/membership/orders_awaited", test_orders_awaited);
	return g_test_run();
}
