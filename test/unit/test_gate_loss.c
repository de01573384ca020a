#include "routing/gate.h"
#include "test/unit/fake.h"

#include <curl/curl.h>

/*
 * Tests what the gate concludes about its target's process from calls that
 * fail. The node gives the keys of a target away at once if it has ended.
 */

#define CALLS 8
#define CALL_MS 1200

struct fixture {
	struct ev_loop *loop;
	struct fake_view view;
	struct fake_target target;
	struct cnt cnt;
	struct gate *gate;
	unsigned suspected;
	unsigned ended;
	uint64_t attempt;
};

/* As the node does with a target that announces itself. */
static void on_target_lost(int ended, void *priv)
{
	struct fixture *f = priv;

	if (!ended) {
		f->suspected++;
		return;
	}
	f->ended++;
	gate_set_target(f->gate, NULL);
}

static const struct gate_ops gate_ops = {
	.target_lost = on_target_lost,
};

static void announce(struct fixture *f, uint64_t born_ms)
{
	Wire__Target a = fake_announcement(&f->target, 2 * CALLS);

	a.id = "t-1";
	a.born_ms = (int64_t)born_ms;
	gate_set_target(f->gate, &a);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	fake_view_init(&f->view);
	fake_target_init(&f->target, f->loop);
	cnt_init(&f->cnt);
	g_assert_cmpint(gate_new(&f->gate, f->loop, &f->view.view, &f->cnt,
				 &dialect_native, &gate_ops, f),
			==, ERR_OK);
	gate_set_adaptive(f->gate, 0);
	announce(f, 1);
}

static void teardown(struct fixture *f)
{
	gate_free(f->gate);
	fake_target_finish(&f->target);
	fake_view_finish(&f->view);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

static void submit(struct fixture *f, struct fake_reply *r)
{
	Wire__Forward m = fake_forward(++f->attempt, "POST");

	m.deadline_ms = CALL_MS;
	memset(r, 0, sizeof(*r));
	gate_submit(f->gate, &m, fake_on_reply, r);
}

static void submit_and_wait(struct fixture *f, struct fake_reply *r)
{
	submit(f, r);
	fake_wait(f->loop, &r->count, 1);
}

static void close_connections(struct fake_target *t)
{
	for (unsigned i = 0; i < t->connections; i++)
		if (t->open[i])
			fake_close(t->open[i]);
}

/* Guards against a target that has ended and whose keys wait for their time. */
static void test_refused(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	fake_target_close(&f.target);
	submit_and_wait(&f, &r);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.ended, ==, 1);
	g_assert_cmpuint(f.suspected, ==, 0);
	teardown(&f);
}

/*
 * Guards against a target that resets new connections because it is full and
 * that counts as ended (review/6). An answer "not run" shows that each reset
 * was seen before anything was sent.
 */
static void test_early_reset(void)
{
	struct linger l = { .l_onoff = 1, .l_linger = 0 };
	struct fake_reply r[CALLS];
	struct fixture f;

	setup(&f);
	ev_io_stop(f.loop, &f.target.io);
	for (int i = 0; i < CALLS; i++)
		submit(&f, &r[i]);
	/* libcurl opens all connections in this turn. */
	ev_run(f.loop, EVRUN_ONCE);
	for (int i = 0; i < CALLS; i++) {
		int fd = accept(f.target.fd, NULL, NULL);

		setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
		close(fd);
	}
	for (int i = 0; i < CALLS; i++) {
		fake_wait(f.loop, &r[i].count, 1);
		g_assert_cmpint(r[i].outcome, ==, OUTCOME_NOT_RUN);
	}
	g_assert_cmpuint(f.ended, ==, 0);
	g_assert_cmpuint(f.suspected, ==, 0);
	g_assert_cmpint(
		cnt_get(&f.cnt, "gate_connect_failures", "errno=\"104\""), ==,
		CALLS);
	teardown(&f);
}

/*
 * Guards against a target that was slow, then ends, and is not reported: its
 * keys would wait until it counts as silent and the hold has run out.
 */
static void test_slow_then_ended(void)
{
	struct fake_reply r[CALLS];
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	for (int i = 0; i < CALLS; i++)
		submit(&f, &r[i]);
	for (int i = 0; i < CALLS; i++)
		fake_wait(f.loop, &r[i].count, 1);
	g_assert_cmpuint(f.suspected, ==, 1);
	g_assert_cmpuint(f.ended, ==, 0);
	fake_target_close(&f.target);
	close_connections(&f.target);
	submit_and_wait(&f, &r[0]);
	g_assert_cmpuint(f.ended, ==, 1);
	g_assert_cmpuint(f.suspected, ==, 1);
	teardown(&f);
}

/*
 * Guards against a call to one run of a target that ends after the next run has
 * announced itself, and that costs the new run its keys while it holds them.
 */
static void test_refused_by_earlier_run(void)
{
	struct fake_reply r;
	struct fixture f;

	setup(&f);
	fake_target_close(&f.target);
	submit(&f, &r);
	announce(&f, 2);
	fake_wait(f.loop, &r.count, 1);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.ended, ==, 0);
	/* A call to the new run counts. */
	submit_and_wait(&f, &r);
	g_assert_cmpuint(f.ended, ==, 1);
	teardown(&f);
}

/*
 * Guards against a target that closes its listening socket for a while and goes
 * on with the connections that it has: it holds its keys. Once these are closed
 * too, it has ended.
 */
static void test_refused_beside_connection(void)
{
	struct fake_reply busy, r;
	struct fixture f;

	setup(&f);
	f.target.mode = FAKE_SILENT;
	submit(&f, &busy);
	fake_wait(f.loop, &f.target.runs, 1);
	fake_target_close(&f.target);
	submit_and_wait(&f, &r);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_cmpuint(f.ended, ==, 0);
	g_assert_cmpuint(f.suspected, ==, 1);
	close_connections(&f.target);
	submit_and_wait(&f, &r);
	g_assert_cmpuint(f.ended, ==, 1);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_test_add_func("/gate-loss/refused", test_refused);
	g_test_add_func("/gate-loss/early_reset", test_early_reset);
	g_test_add_func("/gate-loss/slow_then_ended", test_slow_then_ended);
	g_test_add_func("/gate-loss/refused_by_earlier_run",
			test_refused_by_earlier_run);
	g_test_add_func("/gate-loss/refused_beside_connection",
			test_refused_beside_connection);
	return g_test_run();
}
