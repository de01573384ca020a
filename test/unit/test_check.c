#include "standins/common_answer.h"
#include "standins/common_check.h"

#include <glib.h>
#include <string.h>

/*
 * Each test case states the name of the rule that must report a violation
 * (NULL: none), a small history with times in milliseconds, and what was done
 * to nodes in that time.
 */

struct event {
	char type; /* s send, h heard, b start of a run, e end of a run */
	int64_t ms;
	const char *request;
	const char *key;
	const char *target_or_outcome; /* target of a run, outcome if heard */
	int64_t fence;		       /* of a run; body_ok if heard */
	int64_t slot;
	int idempotent; /* of a send */
	const char *owner;
	int64_t status; /* heard, or answered at the end of a run */
};

/* A drain, a kill or a loss of a node. */
struct node_event {
	char type; /* d drained, k killed, l lost */
	const char *node;
	int64_t ms;
};

struct test_case {
	const char *rule;
	struct event events[16];
	struct node_event node_events[2];
};

#define SEND(ms, r, k)                            \
	{                                         \
		's', ms, r, k, "", 0, 0, 0, "", 0 \
	}
#define SEND_IDEMPOTENT(ms, r, k)                 \
	{                                         \
		's', ms, r, k, "", 0, 0, 1, "", 0 \
	}
#define HEARD(ms, r, outcome, ok)                        \
	{                                                \
		'h', ms, r, "", outcome, ok, 0, 0, "", 0 \
	}
#define HEARD_FROM(ms, r, owner)                              \
	{                                                     \
		'h', ms, r, "", "answered", 1, 0, 0, owner, 0 \
	}
#define START(ms, r, k, t, slot, fence)                 \
	{                                               \
		'b', ms, r, k, t, fence, slot, 0, "", 0 \
	}
#define END(ms, r, k, t, slot, fence)                   \
	{                                               \
		'e', ms, r, k, t, fence, slot, 0, "", 0 \
	}
#define HEARD_STATUS(ms, r, status)                             \
	{                                                       \
		'h', ms, r, "", "answered", 1, 0, 0, "", status \
	}
#define END_STATUS(ms, r, k, t, slot, fence, status)         \
	{                                                    \
		'e', ms, r, k, t, fence, slot, 0, "", status \
	}
#define RUN(ms, end, r, k, t, slot, fence) \
	START(ms, r, k, t, slot, fence), END(end, r, k, t, slot, fence)

static json_int_t to_ns(int64_t ms)
{
	return ms * 1000000;
}

static json_t *history_line(const struct event *e)
{
	json_t *line =
		json_pack("{s:I,s:s,s:s,s:s,s:s}", "t_ns", to_ns(e->ms), "ev",
			  e->type == 's' ? "send" : "heard", "request",
			  e->request, "service", "kiln", "key", e->key);

	if (e->type == 's') {
		json_object_set_new(line, "idempotent",
				    json_boolean(e->idempotent));
		return line;
	}
	json_object_set_new(line, "outcome", json_string(e->target_or_outcome));
	json_object_set_new(line, "owner", json_string(e->owner));
	json_object_set_new(line, "to", json_string("127.0.0.1:1"));
	json_object_set_new(line, "body_ok", json_boolean(e->fence));
	json_object_set_new(line, "status", json_integer(e->status));
	return line;
}

static json_t *log_line(const struct event *e)
{
	return json_pack("{s:I,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "t_ns",
			 to_ns(e->ms), "ev", e->type == 'b' ? "start" : "end",
			 "request", e->request, "service", "kiln", "key",
			 e->key, "attempt", "1", "slot", (json_int_t)e->slot,
			 "fence", (json_int_t)e->fence, "status",
			 (json_int_t)e->status);
}

static void add_event(struct common_check *c, const struct event *e)
{
	int of_caller = e->type == 's' || e->type == 'h';
	json_t *line = of_caller ? history_line(e) : log_line(e);
	enum err result;

	if (of_caller)
		result = common_check_add_history_line(c, line);
	else
		result = common_check_add_log_line(
			c, common_check_get_target(c, e->target_or_outcome),
			line);
	g_assert_cmpint(result, ==, ERR_OK);
	json_decref(line);
}

static void add_node_event(struct common_check *c, const struct node_event *x)
{
	struct check_target *t = common_check_get_target(c, x->node);
	int64_t t_ns = to_ns(x->ms);

	if (x->type == 'd')
		common_check_add_drain(c, t, t_ns);
	else if (x->type == 'k')
		common_check_add_kill(c, t, t_ns);
	else
		common_check_add_loss(c, t, t_ns);
}

static void run_test_case(gconstpointer data)
{
	const struct test_case *x = data;
	const struct check_violation *v;
	struct common_check c;

	common_check_init(&c);
	for (unsigned i = 0; x->events[i].type; i++)
		add_event(&c, &x->events[i]);
	for (unsigned i = 0; i < 2 && x->node_events[i].type; i++)
		add_node_event(&c, &x->node_events[i]);
	common_check_apply_rules(&c);
	for (v = c.violations; v; v = v->next)
		g_test_message("%s: %s", v->rule, v->text);
	v = c.violations;
	g_assert_cmpstr(v ? v->rule : NULL, ==, x->rule);
	g_assert_cmpuint(c.violation_count, ==, x->rule ? 1 : 0);
	common_check_finish(&c);
}

/*
 * Guards against violations that are reported for correct runs: every test that
 * uses the checker would fail.
 */
static const struct test_case good_plain = {
	NULL,
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD_FROM(6, "r1", "a") },
	{ { 0 } },
};

static const struct test_case good_move = {
	NULL,
	{ SEND(0, "r1", "k"), RUN(1, 50, "r1", "k", "a", 3, 7),
	  HEARD_FROM(51, "r1", "a"), SEND(2, "r2", "k"),
	  RUN(50, 60, "r2", "k", "b", 3, 8), HEARD_FROM(61, "r2", "b") },
	{ { 0 } },
};

static const struct test_case good_idempotent_twice = {
	NULL,
	{ SEND_IDEMPOTENT(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  RUN(10, 15, "r1", "k", "b", 3, 8), HEARD(16, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case good_killed = {
	NULL,
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  HEARD(1500, "r1", "unknown", 0), SEND(600, "r2", "k"),
	  RUN(1400, 1450, "r2", "k", "b", 3, 8), HEARD_FROM(1451, "r2", "b") },
	{ { 'k', "a", 100 }, { 'l', "a", 100 } },
};

static const struct test_case good_drained = {
	NULL,
	{ SEND(0, "r1", "k"), RUN(2900, 2950, "r1", "k", "a", 3, 7),
	  HEARD_FROM(2960, "r1", "a") },
	{ { 'd', "a", 0 } },
};

static const struct test_case good_pin = {
	NULL,
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 9),
	  HEARD_FROM(6, "r1", "a"), SEND(10, "r2", "k"),
	  RUN(11, 15, "r2", "k", "a", 70, 4), HEARD_FROM(16, "r2", "a") },
	{ { 0 } },
};

/* An idempotent request that ran twice may get either answer. */
static const struct test_case good_status = {
	NULL,
	{ SEND_IDEMPOTENT(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  END_STATUS(5, "r1", "k", "a", 3, 7, 500),
	  START(10, "r1", "k", "b", 3, 8),
	  END_STATUS(15, "r1", "k", "b", 3, 8, 200),
	  HEARD_STATUS(16, "r1", 500) },
	{ { 0 } },
};

static const struct test_case bad_twice = {
	"run-twice",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  RUN(10, 15, "r1", "k", "a", 3, 7), HEARD(16, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_not_run = {
	"not-run-ran",
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "not-run", 0) },
	{ { 0 } },
};

static const struct test_case bad_body = {
	"own-answer",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 0) },
	{ { 0 } },
};

static const struct test_case bad_no_outcome = {
	"own-answer",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "missing", 0) },
	{ { 0 } },
};

static const struct test_case bad_status = {
	"own-status",
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  END_STATUS(5, "r1", "k", "a", 3, 7, 500),
	  HEARD_STATUS(6, "r1", 200) },
	{ { 0 } },
};

static const struct test_case bad_answer_early = {
	"answered-ran",
	{ SEND(0, "r1", "k"), RUN(1, 9, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_answer_without_end = {
	"answered-ran",
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_owner = {
	"stated-owner",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD_FROM(6, "r1", "b"), SEND(10, "r2", "k2"),
	  RUN(11, 12, "r2", "k2", "b", 4, 7), HEARD_FROM(13, "r2", "b") },
	{ { 0 } },
};

static const struct test_case bad_unknown = {
	"known-request",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1), RUN(7, 8, "r9", "k", "a", 3, 7) },
	{ { 0 } },
};

static const struct test_case bad_sent_twice = {
	"known-request",
	{ SEND(0, "r1", "k"), SEND(1, "r1", "k"),
	  RUN(2, 5, "r1", "k", "a", 3, 7), HEARD(6, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_key = {
	"right-key",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "other", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_overlap = {
	"overlap",
	{ SEND(0, "r1", "k"), RUN(1, 50, "r1", "k", "a", 3, 7),
	  HEARD(51, "r1", "answered", 1), SEND(2, "r2", "k"),
	  RUN(49, 60, "r2", "k", "b", 3, 8), HEARD(61, "r2", "answered", 1) },
	{ { 0 } },
};

/* Without a kill, a run without a logged end may still go on. */
static const struct test_case bad_overlap_open = {
	"overlap",
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  HEARD(40, "r1", "unknown", 0), SEND(2, "r2", "k"),
	  RUN(49, 60, "r2", "k", "b", 3, 8), HEARD(61, "r2", "answered", 1) },
	{ { 0 } },
};

/* The long run overlaps, though a later run on its target has ended. */
static const struct test_case bad_overlap_long = {
	"overlap",
	{ SEND(0, "r1", "k"), RUN(1, 90, "r1", "k", "a", 3, 7),
	  HEARD(91, "r1", "answered", 1), SEND(2, "r2", "k"),
	  RUN(3, 4, "r2", "k", "a", 3, 7), HEARD(5, "r2", "answered", 1),
	  SEND(10, "r3", "k"), RUN(49, 60, "r3", "k", "b", 3, 8),
	  HEARD(61, "r3", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_killed_later = {
	"overlap",
	{ SEND(0, "r1", "k"), START(1, "r1", "k", "a", 3, 7),
	  HEARD(40, "r1", "unknown", 0), SEND(2, "r2", "k"),
	  RUN(49, 60, "r2", "k", "b", 3, 8), HEARD(61, "r2", "answered", 1) },
	{ { 'k', "a", 55 } },
};

static const struct test_case bad_fence_falls = {
	"slot-fence",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "b", 3, 8),
	  HEARD(6, "r1", "answered", 1), SEND(7, "r2", "k2"),
	  RUN(8, 9, "r2", "k2", "a", 3, 7), HEARD(10, "r2", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_fence_shared = {
	"slot-fence",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "b", 3, 8),
	  HEARD(6, "r1", "answered", 1), SEND(7, "r2", "k2"),
	  RUN(8, 9, "r2", "k2", "a", 3, 8), HEARD(10, "r2", "answered", 1) },
	{ { 0 } },
};

/* A pinned key changed its slot; then its old owner ran it again. */
static const struct test_case bad_fence_pin = {
	"key-fence",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "b", 70, 8),
	  HEARD(6, "r1", "answered", 1), SEND(7, "r2", "k"),
	  RUN(8, 9, "r2", "k", "a", 3, 7), HEARD(10, "r2", "answered", 1) },
	{ { 0 } },
};

static const struct test_case bad_drained = {
	"drained",
	{ SEND(0, "r1", "k"), RUN(3101, 3150, "r1", "k", "a", 3, 7),
	  HEARD(3160, "r1", "answered", 1) },
	{ { 'd', "a", 100 } },
};

static const struct test_case bad_recovery_waits = {
	"recovery",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1), SEND(1900, "r2", "k"),
	  RUN(2200, 2210, "r2", "k", "b", 3, 8),
	  HEARD(2211, "r2", "answered", 1) },
	{ { 'l', "a", 100 } },
};

/* Requests that are refused at once, one after another, are one long gap. */
static const struct test_case bad_recovery_refused = {
	"recovery",
	{ SEND(0, "r1", "k"), RUN(1, 5, "r1", "k", "a", 3, 7),
	  HEARD(6, "r1", "answered", 1), SEND(200, "r2", "k"),
	  HEARD(201, "r2", "not-run", 0), SEND(1200, "r3", "k"),
	  HEARD(1201, "r3", "not-run", 0), SEND(2200, "r4", "k"),
	  HEARD(2201, "r4", "not-run", 0) },
	{ { 'l', "a", 100 } },
};

struct named_test_case {
	const char *path;
	const struct test_case *test_case;
};

static const struct named_test_case test_cases[] = {
	{ "/check/good/plain", &good_plain },
	{ "/check/good/move", &good_move },
	{ "/check/good/idempotent-twice", &good_idempotent_twice },
	{ "/check/good/killed", &good_killed },
	{ "/check/good/drained", &good_drained },
	{ "/check/good/pin", &good_pin },
	{ "/check/good/status", &good_status },
	{ "/check/bad/twice", &bad_twice },
	{ "/check/bad/not-run", &bad_not_run },
	{ "/check/bad/body", &bad_body },
	{ "/check/bad/no-outcome", &bad_no_outcome },
	{ "/check/bad/status", &bad_status },
	{ "/check/bad/answer-early", &bad_answer_early },
	{ "/check/bad/answer-without-end", &bad_answer_without_end },
	{ "/check/bad/owner", &bad_owner },
	{ "/check/bad/unknown", &bad_unknown },
	{ "/check/bad/sent-twice", &bad_sent_twice },
	{ "/check/bad/key", &bad_key },
	{ "/check/bad/overlap", &bad_overlap },
	{ "/check/bad/overlap-open", &bad_overlap_open },
	{ "/check/bad/overlap-long", &bad_overlap_long },
	{ "/check/bad/killed-later", &bad_killed_later },
	{ "/check/bad/fence-falls", &bad_fence_falls },
	{ "/check/bad/fence-shared", &bad_fence_shared },
	{ "/check/bad/fence-pin", &bad_fence_pin },
	{ "/check/bad/drained", &bad_drained },
	{ "/check/bad/recovery-waits", &bad_recovery_waits },
	{ "/check/bad/recovery-refused", &bad_recovery_refused },
};

/* Guards against a recovery measured from the first request after the loss. */
static void test_recovery_time(void)
{
	struct common_check c;

	common_check_init(&c);
	for (unsigned i = 0; good_killed.events[i].type; i++)
		add_event(&c, &good_killed.events[i]);
	add_node_event(&c, &good_killed.node_events[0]);
	add_node_event(&c, &good_killed.node_events[1]);
	common_check_apply_rules(&c);
	g_assert_cmpint(c.longest_recovery_ns, ==, 1300 * INT64_C(1000000));
	g_assert_cmpint(c.gap_sum_ns, ==, 800 * INT64_C(1000000));
	g_assert_cmpuint(c.owner_changes, ==, 1);
	common_check_finish(&c);
}

/* Guards against excused requests of a daemon other than the paused one. */
static void test_excuse(void)
{
	for (int own = 0; own < 2; own++) {
		const struct test_case *x = &bad_recovery_refused;
		struct common_check c;

		common_check_init(&c);
		for (unsigned i = 0; x->events[i].type; i++)
			add_event(&c, &x->events[i]);
		add_node_event(&c, &x->node_events[0]);
		common_check_excuse_daemon(&c,
					   own ? "127.0.0.1:1" : "127.0.0.1:2");
		common_check_apply_rules(&c);
		g_assert_cmpuint(c.slow_count, ==, own ? 0 : 1);
		common_check_finish(&c);
	}
}

/* Guards against a log line that ends an unknown run being ignored. */
static void test_end_without_start(void)
{
	static const struct event end = END(5, "r1", "k", "a", 3, 7);
	json_t *line = log_line(&end);
	struct common_check c;

	common_check_init(&c);
	g_assert_cmpint(common_check_add_log_line(
				&c, common_check_get_target(&c, "a"), line),
			==, ERR_MALFORMED);
	common_check_finish(&c);
	json_decref(line);
}

/* Guards against accepting a cut answer or the answer to another request. */
static void test_answer(void)
{
	struct buf b;

	buf_init(&b);
	g_assert_cmpint(common_answer_build(&b, "r1", "k", 100), ==, ERR_OK);
	g_assert_true(common_answer_check(b.data, b.len, "r1", "k"));
	g_assert_false(common_answer_check(b.data, b.len, "r2", "k"));
	g_assert_false(common_answer_check(b.data, b.len, "r1", "k2"));
	for (size_t n = 0; n < b.len; n++)
		g_assert_false(common_answer_check(b.data, n, "r1", "k"));
	b.data[b.len - 1] ^= 1;
	g_assert_false(common_answer_check(b.data, b.len, "r1", "k"));
	buf_finish(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (unsigned i = 0; i < G_N_ELEMENTS(test_cases); i++)
		g_test_add_data_func(test_cases[i].path,
				     test_cases[i].test_case, run_test_case);
	g_test_add_func("/check/recovery-time", test_recovery_time);
	g_test_add_func("/check/excuse", test_excuse);
	g_test_add_func("/check/end-without-start", test_end_without_start);
	g_test_add_func("/answer/whole-and-own", test_answer);
	return g_test_run();
}
