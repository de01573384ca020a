#include "limits/return_order.h"
#include "routing/gate.h"
#include "routing/ingress_priv.h"
#include "routing/peer.h"
#include "test/unit/fake.h"

#define CALL_ROUTE 7
#define OTHER_ROUTE 8

struct fixture {
	struct ev_loop *loop;
	struct fake_view view;
	struct fake_target target;
	struct cnt cnt;
	struct gate *gate;
	uint64_t attempts;
};

struct result {
	unsigned count;
	enum wire_outcome outcome;
	enum err error;
	uint32_t retry_after_ms;
	int refused_by_all;
	int route_is_call;
};

static const struct gate_ops gate_ops = { 0 };

/* Node 1 is of FAKE_SERVICE, nodes 2 and 3 are of "oven". */
static void add_targets(struct fake_view *v)
{
	static char *const services[] = { FAKE_SERVICE, "oven", "oven" };
	static char *const names[] = { "n01", "n02", "n03" };

	for (uint32_t i = 0; i < G_N_ELEMENTS(services); i++) {
		Wire__MapDelta d = WIRE__MAP_DELTA__INIT;
		Wire__Node node = WIRE__NODE__INIT, *nodes = &node;
		Wire__Target target = WIRE__TARGET__INIT;

		target.service = services[i];
		target.address = "127.0.0.1";
		node.id = i + 1;
		node.name = names[i];
		node.address = "127.0.0.1";
		node.region = "r";
		node.data_centre = "d";
		node.target = &target;
		d.base_rev = v->map.rev;
		d.rev = v->map.rev + 1;
		d.n_nodes = 1;
		d.nodes = &nodes;
		g_assert_cmpint(map_apply(&v->map, &d), ==, ERR_OK);
	}
}

static void setup(struct fixture *f, int protect)
{
	Wire__Target a;

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	fake_view_init(&f->view);
	add_targets(&f->view);
	fake_target_init(&f->target, f->loop);
	cnt_init(&f->cnt);
	g_assert_cmpint(gate_new(&f->gate, f->loop, &f->view.view, &f->cnt,
				 &dialect_native, &gate_ops, f),
			==, ERR_OK);
	gate_set_protect_calls(f->gate, protect);
	a = fake_announcement(&f->target, 4);
	gate_set_target(f->gate, &a);
}

static void teardown(struct fixture *f)
{
	gate_free(f->gate);
	fake_target_finish(&f->target);
	fake_view_finish(&f->view);
	cnt_finish(&f->cnt);
	ev_loop_destroy(f->loop);
}

static void on_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct result *r = priv;

	r->count++;
	r->outcome = reply->outcome;
	r->error = reply->error;
	r->retry_after_ms = reply->retry_after_ms;
	r->refused_by_all = reply->refused_by_all;
	r->route_is_call = reply->load && reply->load->route_is_call;
}

static struct result submit(struct fixture *f, uint32_t route, char *caller)
{
	Wire__Forward m = fake_forward(++f->attempts, "GET");
	struct result r = { 0 };

	m.route = route;
	m.caller = caller;
	m.priority = 1;
	gate_submit(f->gate, &m, on_reply, &r);
	fake_wait(f->loop, &r.count, 1);
	return r;
}

/* Submits until the route is known as a call; returns 1 if it is in time. */
static int learn(struct fixture *f)
{
	for (unsigned i = 0; i < 100; i++)
		if (submit(f, CALL_ROUTE, "oven").route_is_call)
			return 1;
	return 0;
}

/*
 * Guards against calls that gates do not learn or do not report, and against
 * ordinary requests taken for calls: by the service of their own node, and
 * after one request from elsewhere.
 */
static void test_learning(void)
{
	struct fixture f;

	setup(&f, 1);
	g_assert_true(learn(&f));
	g_assert_cmpuint(cnt_get(&f.cnt, "gate_call_routes_learnt", ""), ==, 1);
	g_assert_false(submit(&f, CALL_ROUTE, FAKE_SERVICE).route_is_call);
	g_assert_cmpuint(cnt_get(&f.cnt, "gate_call_routes_unlearnt", ""), ==,
			 1);
	for (unsigned i = 0; i < 100; i++)
		g_assert_false(
			submit(&f, OTHER_ROUTE, FAKE_SERVICE).route_is_call);
	teardown(&f);
}

/* Fails the target's calls until the gate limits new work. */
static void fail_calls(struct fixture *f)
{
	for (unsigned i = 0; i < 10; i++) {
		gate_note_call_ended(f->gate, 0, 1);
		fake_pause(f->loop, 110);
	}
	gate_note_call_ended(f->gate, 0, 1);
}

static struct result first_refused(struct fixture *f, uint32_t route)
{
	struct result r = { 0 };

	for (unsigned i = 0; i < 20 && r.error == ERR_OK; i++)
		r = submit(f, route, FAKE_SERVICE);
	return r;
}

/*
 * Guards against work that begins although the target's calls fail, and against
 * calls of other targets that are refused instead.
 */
static void test_new_work(void)
{
	struct fixture f;
	struct result r;

	setup(&f, 1);
	g_assert_true(learn(&f));
	g_assert_cmpint(first_refused(&f, OTHER_ROUTE).error, ==, ERR_OK);
	fail_calls(&f);
	r = first_refused(&f, OTHER_ROUTE);
	g_assert_cmpint(r.error, ==, ERR_SHED);
	g_assert_cmpint(r.outcome, ==, OUTCOME_NOT_RUN);
	g_assert_true(r.refused_by_all);
	g_assert_cmpuint(r.retry_after_ms, >, 0);
	for (unsigned i = 0; i < 20; i++)
		g_assert_cmpint(submit(&f, CALL_ROUTE, "oven").error, ==,
				ERR_OK);
	teardown(&f);
}

/*
 * Guards against a call that is refused before its body is transferred since it
 * is past its full value: the run that waits for it is still served.
 */
static void test_call_with_body(void)
{
	struct fixture f;
	struct result r = { 0 };
	Wire__Forward m;

	setup(&f, 1);
	g_assert_true(learn(&f));
	m = fake_forward(++f.attempts, "GET");
	m.has_value = 1;
	m.value_ms = -1;
	m.route = OTHER_ROUTE;
	g_assert_false(gate_check_offer(f.gate, &m, 2000, on_reply, &r));
	g_assert_cmpint(r.error, ==, ERR_SHED);
	m.route = CALL_ROUTE;
	g_assert_true(gate_check_offer(f.gate, &m, 2000, on_reply, &r));
	teardown(&f);
}

/*
 * Guards against a time before the caller's time limit where the request could
 * not be served in time: a gate elsewhere gets less than the time that is left.
 */
static void test_none_in_time(void)
{
	struct fixture f;
	struct result r = { 0 };

	setup(&f, 1);
	fail_calls(&f);
	for (unsigned i = 0; i < 20 && r.error == ERR_OK; i++) {
		Wire__Forward m = fake_forward(++f.attempts, "GET");

		/* A third of it is less than 200 ms. */
		m.deadline_ms = 300;
		m.route = OTHER_ROUTE;
		memset(&r, 0, sizeof(r));
		gate_submit(f.gate, &m, on_reply, &r);
		fake_wait(f.loop, &r.count, 1);
	}
	g_assert_cmpint(r.error, ==, ERR_SHED);
	g_assert_cmpuint(r.retry_after_ms, >, 300 + PEER_DEADLINE_MARGIN_MS);
	teardown(&f);
}

/*
 * Guards against callers that are all told the same time by a gate that has
 * just started: no request has ended, so that no service time is known.
 */
static void test_unknown_service_time(void)
{
	struct result results[50] = { 0 };
	unsigned per_slice[100] = { 0 };
	unsigned refused = 0;
	struct fixture f;

	setup(&f, 1);
	f.target.mode = FAKE_SILENT;
	fail_calls(&f);
	for (unsigned i = 0; i < G_N_ELEMENTS(results); i++) {
		Wire__Forward m = fake_forward(++f.attempts, "GET");
		uint32_t slice;

		m.route = OTHER_ROUTE;
		gate_submit(f.gate, &m, on_reply, &results[i]);
		if (results[i].error != ERR_SHED)
			continue;
		refused++;
		slice = results[i].retry_after_ms / RETURN_ORDER_SLICE_MS;
		g_assert_cmpuint(slice, <, G_N_ELEMENTS(per_slice));
		/* Four places, and slices of the gate begin at other times. */
		g_assert_cmpuint(++per_slice[slice], <=, 8);
	}
	g_assert_cmpuint(refused, >, 30);
	teardown(&f);
}

/*
 * Guards against a new route of calls that the ingress does not take up because
 * routes that are no longer in use fill its table.
 */
static void test_many_call_routes(void)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	Wire__TargetLoad load = WIRE__TARGET_LOAD__INIT;
	struct settings settings = { .protect_calls = 1 };
	struct ingress in = { .settings = &settings };
	struct in_request q = { .in = &in };
	struct fixture f;

	setup(&f, 1);
	in.gate = f.gate;
	reply.load = &load;
	load.route_is_call = 1;
	for (uint32_t i = 1; i <= IN_MAX_CALL_ROUTES + 1; i++) {
		q.forward.route = i;
		in_calls_note_reply(&q, &reply);
	}
	in_calls_note_end(&q, 1);
	g_assert_cmpuint(cnt_get(&f.cnt, "gate_own_calls", ""), ==, 1);
	load.route_is_call = 0;
	in_calls_note_reply(&q, &reply);
	in_calls_note_end(&q, 1);
	g_assert_cmpuint(cnt_get(&f.cnt, "gate_own_calls", ""), ==, 1);
	teardown(&f);
}

/* Ends calls that failed at two targets each with these errors. */
static struct result refused_after(enum err first, enum err second)
{
	const enum err errors[] = { first, second };
	Wire__TargetLoad load = WIRE__TARGET_LOAD__INIT;
	struct settings settings = { .protect_calls = 1 };
	struct ingress in = { .settings = &settings };
	struct fixture f;
	struct result r;

	setup(&f, 1);
	in.gate = f.gate;
	load.route_is_call = 1;
	for (unsigned i = 0; i < 10; i++) {
		struct in_request q = { .in = &in, .failed_target_count = 2 };

		q.forward.route = CALL_ROUTE;
		for (unsigned k = 0; k < G_N_ELEMENTS(errors); k++) {
			Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;

			reply.outcome = OUTCOME_NOT_RUN;
			reply.error = errors[k];
			/* Only a gate names the load. */
			if (errors[k] == ERR_SHED || i == 0)
				reply.load = &load;
			in_calls_note_reply(&q, &reply);
		}
		in_calls_note_end(&q, 0);
		fake_pause(f.loop, 110);
	}
	r = first_refused(&f, OTHER_ROUTE);
	g_assert_cmpint(r.error, ==, ERR_SHED);
	teardown(&f);
	return r;
}

/*
 * Guards against a node with broken links that keeps requests from the targets
 * elsewhere, whose calls would be answered.
 */
static void test_broken_links(void)
{
	g_assert_true(refused_after(ERR_SHED, ERR_SHED).refused_by_all);
	g_assert_false(refused_after(ERR_CLOSED, ERR_REFUSED).refused_by_all);
	g_assert_false(refused_after(ERR_CLOSED, ERR_SHED).refused_by_all);
}

/*
 * Guards against a busy route that loses its rate, and the times its callers
 * were told, to one that is used for the first time.
 */
static void test_many_return_routes(void)
{
	struct settings settings = { .protect_calls = 1 };
	struct ingress in = { .settings = &settings };
	struct in_request q = { .in = &in };
	unsigned answers = 0;

	for (uint32_t i = 1; i <= IN_MAX_RETURN_ROUTES + 1; i++) {
		q.forward.route = i;
		in_return_note_answer(&q);
		q.forward.route = 1;
		in_return_note_answer(&q);
	}
	for (size_t i = 0; i < in.returns.count; i++)
		if (in.returns.routes[i].route == 1)
			answers = in.returns.routes[i].answers;
	g_assert_cmpuint(answers, ==, IN_MAX_RETURN_ROUTES + 2);
}

/* Guards against any effect where the setting is off. */
static void test_off(void)
{
	struct fixture f;

	setup(&f, 0);
	g_assert_false(learn(&f));
	fail_calls(&f);
	g_assert_cmpint(first_refused(&f, OTHER_ROUTE).error, ==, ERR_OK);
	teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gate-protect/learning", test_learning);
	g_test_add_func("/gate-protect/new-work", test_new_work);
	g_test_add_func("/gate-protect/call-with-body", test_call_with_body);
	g_test_add_func("/gate-protect/none-in-time", test_none_in_time);
	g_test_add_func("/gate-protect/unknown-service-time",
			test_unknown_service_time);
	g_test_add_func("/gate-protect/many-call-routes",
			test_many_call_routes);
	g_test_add_func("/gate-protect/broken-links", test_broken_links);
	g_test_add_func("/gate-protect/many-return-routes",
			test_many_return_routes);
	g_test_add_func("/gate-protect/off", test_off);
	return g_test_run();
}
