#include "limits/admission.h"
#include "limits/call_pressure.h"
#include "limits/call_routes.h"

#include <glib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

/*
 * A few targets of a service, driven in steps of a millisecond without a
 * network: requests go to the less busy of two random targets, and once to
 * another one if they are shed.
 */
#define MAX_TARGETS 32

enum kind { RUN = 1, CALL, QUOTE, DOWNLOAD, UPLOAD, KINDS };

struct request {
	struct admission_item item; /* first member */
	enum kind kind;
	unsigned target;
	int64_t ends_ms;
	unsigned calls_left;	/* of a run, before its own work */
	struct request *waiter; /* run that waits for this call; NULL: none */
	struct request *prev;
	struct request *next;
};

struct service {
	struct admission targets[MAX_TARGETS];
	unsigned count;
	struct request *running;
};

struct sim {
	struct service called;	/* T3 or S3 */
	struct service calling; /* T2 */
	struct call_pressure pressure[MAX_TARGETS];
	GRand *rand;
	int64_t now_ms;
	int protect;
	unsigned offered[KINDS];
	unsigned begun;	 /* runs */
	unsigned wasted; /* runs whose call failed */
	unsigned answered[KINDS];
};

static const struct {
	double service_ms;
	int64_t value_ms;
	int64_t timeout_ms;
	uint32_t priority;
} kinds[KINDS] = {
	[RUN] = { 340, 2000, 3000, 1 },	   [CALL] = { 65, 250, 800, 1 },
	[QUOTE] = { 100, 500, 1200, 0 },   [DOWNLOAD] = { 210, 1000, 2500, 1 },
	[UPLOAD] = { 260, 1200, 5000, 1 },
};

static void service_init(struct service *s, unsigned count, uint32_t places)
{
	s->count = count;
	for (unsigned i = 0; i < count; i++)
		admission_init(&s->targets[i], places, places * 4, 1.0);
}

static void sim_init(struct sim *s, int protect)
{
	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(1);
	s->now_ms = 1000;
	s->protect = protect;
	for (unsigned i = 0; i < MAX_TARGETS; i++)
		call_pressure_init(&s->pressure[i]);
}

static void call_ended(struct sim *s, struct request *r, int answered);
static void start(struct sim *s, struct service *v, struct request *r);

static void request_ended(struct sim *s, struct request *r, int answered)
{
	s->answered[r->kind] += answered;
	if (r->waiter)
		call_ended(s, r, answered);
	g_free(r);
}

static void service_step(struct sim *s, struct service *v)
{
	struct admission_item *item;
	struct request *r, *next;

	DL_FOREACH_SAFE(v->running, r, next) {
		if (r->ends_ms > s->now_ms)
			continue;
		DL_DELETE(v->running, r);
		admission_done(&v->targets[r->target], &r->item, s->now_ms);
		request_ended(s, r, s->now_ms <= r->item.deadline_ms);
	}
	for (unsigned i = 0; i < v->count; i++) {
		while ((item = admission_expire(&v->targets[i], s->now_ms)))
			request_ended(s, (struct request *)item, 0);
		while ((item = admission_next(&v->targets[i], s->now_ms)))
			start(s, v, (struct request *)item);
	}
}

static unsigned choose_target(struct sim *s, const struct service *v)
{
	unsigned x = (unsigned)g_rand_int_range(s->rand, 0, (gint32)v->count);
	unsigned y = (unsigned)g_rand_int_range(s->rand, 0, (gint32)v->count);
	const struct admission *a = v->targets;

	return a[x].running + a[x].queued <= a[y].running + a[y].queued ? x : y;
}

static void submit(struct sim *s, struct service *v, struct request *r)
{
	struct admission_rank rank = { kinds[r->kind].priority,
				       s->now_ms + kinds[r->kind].value_ms,
				       r->kind };
	int64_t deadline = s->now_ms + kinds[r->kind].timeout_ms;
	enum admission_decision d = ADMISSION_SHED;

	for (int try = 0; try < 2 && d == ADMISSION_SHED && v->count; try++) {
		struct admission *a;

		r->target = choose_target(s, v);
		a = &v->targets[r->target];
		if (s->protect && r->kind == CALL)
			d = admission_submit_call(a, &r->item, "t", s->now_ms,
						  deadline, &rank);
		else
			d = admission_submit_ranked(a, &r->item, "t", s->now_ms,
						    deadline, &rank);
	}
	if (d == ADMISSION_RUN)
		start(s, v, r);
	else if (d == ADMISSION_SHED)
		request_ended(s, r, 0);
}

static struct request *request_new(struct sim *s, enum kind kind)
{
	struct request *r = g_new0(struct request, 1);

	r->kind = kind;
	s->offered[kind]++;
	return r;
}

static void make_call(struct sim *s, struct request *run)
{
	struct request *r = request_new(s, CALL);

	run->calls_left--;
	r->waiter = run;
	submit(s, &s->called, r);
}

/* A run ends when its last call is answered and its own work is done. */
static void call_ended(struct sim *s, struct request *r, int answered)
{
	struct request *run = r->waiter;

	call_pressure_note_call(&s->pressure[run->target], answered, 1,
				s->now_ms);
	if (!answered) {
		s->wasted++;
		run->ends_ms = s->now_ms;
	} else if (run->calls_left) {
		make_call(s, run);
	} else {
		run->ends_ms = s->now_ms + (int64_t)kinds[RUN].service_ms;
	}
}

static void start(struct sim *s, struct service *v, struct request *r)
{
	double factor = g_rand_double_range(s->rand, 0.5, 1.5);

	DL_APPEND(v->running, r);
	r->ends_ms = s->now_ms + (int64_t)(kinds[r->kind].service_ms * factor);
	if (r->kind != RUN)
		return;
	s->begun++;
	if (g_rand_double(s->rand) >= 0.7)
		return;
	r->ends_ms = INT64_MAX;
	r->calls_left = 2;
	make_call(s, r);
}

static void arrive(struct sim *s, enum kind kind)
{
	struct service *v = kind == RUN ? &s->calling : &s->called;
	struct request *r = request_new(s, kind);

	if (kind == RUN && s->protect) {
		r->target = choose_target(s, v);
		if (!call_pressure_admit(&s->pressure[r->target],
					 kinds[kind].priority, s->now_ms)) {
			g_free(r);
			return;
		}
	}
	submit(s, v, r);
}

/* Offers these requests a second of each kind for so long. */
static void sim_run(struct sim *s, const double per_s[KINDS], int64_t ms)
{
	int64_t end_ms = s->now_ms + ms;

	for (; s->now_ms < end_ms; s->now_ms++) {
		for (unsigned k = RUN; k < KINDS; k++) {
			double n = per_s[k] / 1000;
			unsigned whole = (unsigned)n;

			for (unsigned i = 0; i < whole; i++)
				arrive(s, k);
			if (g_rand_double(s->rand) < n - whole)
				arrive(s, k);
		}
		service_step(s, &s->called);
		service_step(s, &s->calling);
	}
}

static void reset_counts(struct sim *s)
{
	memset(s->offered, 0, sizeof(s->offered));
	memset(s->answered, 0, sizeof(s->answered));
	s->begun = 0;
	s->wasted = 0;
}

static void sim_finish(struct sim *s)
{
	static const double none[KINDS] = { 0 };

	sim_run(s, none, 10000);
	for (unsigned i = 0; i < s->called.count; i++)
		admission_finish(&s->called.targets[i]);
	for (unsigned i = 0; i < s->calling.count; i++)
		admission_finish(&s->calling.targets[i]);
	g_rand_free(s->rand);
}

static double part(unsigned x, unsigned of)
{
	return of ? (double)x / of : 0;
}

/*
 * Fleet B: 400 reservations/s at 29 targets of 12 places, 70% with two calls
 * one after the other, which need 36 places of T3; 353 quotes/s and 144
 * downloads/s, times others, need 65 more. Returns the part of the runs that
 * was wasted.
 */
static double run_reservations(int protect, unsigned t3_targets,
			       uint32_t t3_places, double others)
{
	const double load[KINDS] = {
		[RUN] = 400, [QUOTE] = 353 * others, [DOWNLOAD] = 144 * others
	};
	struct sim s;
	double wasted;

	sim_init(&s, protect);
	service_init(&s.calling, 29, 12);
	service_init(&s.called, t3_targets, t3_places);
	sim_run(&s, load, 20000);
	wasted = part(s.wasted, s.begun);
	g_test_message("protect=%d places=%u begun=%u wasted=%.3f "
		       "calls=%.3f quotes=%.3f downloads=%.3f",
		       protect, t3_targets * t3_places, s.begun, wasted,
		       part(s.answered[CALL], s.offered[CALL]),
		       part(s.answered[QUOTE], s.offered[QUOTE]),
		       part(s.answered[DOWNLOAD], s.offered[DOWNLOAD]));
	sim_finish(&s);
	return wasted;
}

/*
 * Guards against work that is begun although its calls find no room: T3 has 78
 * places for a demand of 101 (1.3 times).
 */
static void test_reservations(void)
{
	double without = run_reservations(0, 6, 13, 1);
	double with = run_reservations(1, 6, 13, 1);

	g_assert_cmpfloat(with, <, 0.05);
	g_assert_cmpfloat(without, >, 0.05);
}

/*
 * Guards against the same where the calls alone need 1.3 times the places of
 * T3, so that the order of admission at T3 does not help.
 */
static void test_reservations_calls_alone(void)
{
	double without = run_reservations(0, 4, 7, 0);
	double with = run_reservations(1, 4, 7, 0);

	g_assert_cmpfloat(with, <, 0.05);
	g_assert_cmpfloat(without, >, 0.15);
}

/*
 * Guards against calls that starve uploads, or uploads that starve calls, at
 * the peak of a wave on fleet A: 227 uploads/s need 59 of the 108 places of S3
 * and 1,078 calls/s need 69.
 */
static void test_uploads_and_calls(void)
{
	const double load[KINDS] = { [CALL] = 1078, [UPLOAD] = 227 };
	double calls, uploads;
	struct sim s;

	sim_init(&s, 1);
	service_init(&s.called, 6, 18);
	sim_run(&s, load, 10000);
	calls = part(s.answered[CALL], s.offered[CALL]);
	uploads = part(s.answered[UPLOAD], s.offered[UPLOAD]);
	g_test_message("calls=%.3f uploads=%.3f", calls, uploads);
	g_assert_true(calls > 0.6 || uploads <= 0.9);
	g_assert_true(uploads > 0.6 || calls <= 0.9);
	g_assert_cmpfloat(calls, >, 0.6);
	g_assert_cmpfloat(uploads, >, 0.6);
	sim_finish(&s);
}

/* Guards against a fault that multiplies calls and takes all other work. */
static void test_calls_do_not_starve(void)
{
	const double load[KINDS] = { [CALL] = 5000, [UPLOAD] = 150 };
	struct sim s;

	sim_init(&s, 1);
	service_init(&s.called, 6, 18);
	sim_run(&s, load, 10000);
	g_test_message("uploads=%.3f",
		       part(s.answered[UPLOAD], s.offered[UPLOAD]));
	/* A third of 108 places runs 138 uploads/s of 150. */
	g_assert_cmpfloat(part(s.answered[UPLOAD], s.offered[UPLOAD]), >, 0.8);
	sim_finish(&s);
}

/*
 * Guards against work begun while the called service is gone, and against a
 * limit that outlasts the failure by more than a few seconds.
 */
static void test_called_service_gone(void)
{
	const double load[KINDS] = { [RUN] = 400 };
	struct sim s;

	sim_init(&s, 1);
	service_init(&s.calling, 29, 12);
	service_init(&s.called, 11, 12);
	sim_run(&s, load, 5000);
	g_assert_cmpfloat(part(s.begun, s.offered[RUN]), >, 0.99);
	s.called.count = 0;
	sim_run(&s, load, 2000);
	reset_counts(&s);
	sim_run(&s, load, 5000);
	g_test_message("begun while gone: %.3f", part(s.begun, s.offered[RUN]));
	g_assert_cmpfloat(part(s.begun, s.offered[RUN]), <, 0.25);
	s.called.count = 11;
	sim_run(&s, load, 6000);
	reset_counts(&s);
	sim_run(&s, load, 2000);
	g_test_message("begun after: %.3f", part(s.begun, s.offered[RUN]));
	g_assert_cmpfloat(part(s.begun, s.offered[RUN]), >, 0.95);
	sim_finish(&s);
}

/* Guards against requests of high rank refused while lower ones begin. */
static void test_pressure_ranks(void)
{
	unsigned begun[3] = { 0 };
	struct call_pressure p;
	int64_t now = 1000;

	call_pressure_init(&p);
	for (; now < 6000; now += 5) {
		/* 5% of the calls fail all the time. */
		call_pressure_note_call(&p, now % 100 != 0, 0, now);
		begun[0] += call_pressure_admit(&p, 0, now);
		begun[1] += call_pressure_admit(&p, 1, now);
		begun[2] += call_pressure_admit(&p, 2, now);
	}
	g_assert_cmpfloat(call_pressure_share(&p, now), <, 0.7);
	g_assert_cmpuint(begun[0], >, begun[1]);
	g_assert_cmpuint(begun[1], >, begun[2]);
	g_assert_false(call_pressure_is_common(&p, now));
}

/* Guards against half of the work refused after one of few calls failed. */
static void test_single_failure(void)
{
	struct call_pressure p;
	unsigned refused = 0;
	int64_t now = 1000;

	call_pressure_init(&p);
	for (; now < 21000; now += 250) {
		/* One call a second, of which each fifth fails. */
		if (now % 1000 == 0)
			call_pressure_note_call(&p, now % 5000 != 0, 0, now);
		g_assert_cmpfloat(call_pressure_share(&p, now), >=, 0.7);
		refused += !call_pressure_admit(&p, 1, now);
	}
	g_test_message("refused=%u of 80", refused);
	g_assert_cmpuint(refused, <, 16);
}

/* Guards against a limit for a target that makes no calls, or few fail. */
static void test_no_pressure(void)
{
	struct call_pressure p;
	int64_t now = 1000;

	call_pressure_init(&p);
	for (; now < 3000; now++)
		g_assert_true(call_pressure_admit(&p, 1, now));
	for (; now < 6000; now++) {
		call_pressure_note_call(&p, now % 100 != 0, 0, now);
		g_assert_true(call_pressure_admit(&p, 1, now));
	}
}

/*
 * Guards against a step whose work grows with the time since the last failure:
 * after years without one it is as short as any.
 */
static void test_long_calm(void)
{
	const int64_t now = 10LL * 365 * 24 * 3600 * 1000;
	struct call_pressure p;
	clock_t begin;

	call_pressure_init(&p);
	call_pressure_note_call(&p, 1, 0, 1000);
	p.step = now / CALL_PRESSURE_STEP_MS - 100;
	begin = clock();
	g_assert_cmpfloat(call_pressure_share(&p, now), ==, 1);
	g_assert_cmpfloat((double)(clock() - begin) / CLOCKS_PER_SEC, <, 0.5);
}

/*
 * Guards against calls that take all that a limit on the rate allows: far
 * fewer places are busy than there are, so that calls never have their share
 * of them.
 */
static void test_calls_share_rate(void)
{
	const struct admission_rank rank = { 1, INT64_MAX, 0 };
	struct admission_item calls[40], others[40];
	unsigned begun = 0;
	struct admission a;

	admission_init(&a, 100, 400, 1.0);
	admission_set_rate(&a, 20, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS(calls); i++) {
		admission_submit_call(&a, &calls[i], "t", 0, 10000, &rank);
		admission_submit_ranked(&a, &others[i], "t", 0, 10000, &rank);
	}
	for (int64_t now = 0; now < 1600; now += 5) {
		struct admission_item *item = admission_next(&a, now);

		if (!item)
			continue;
		begun += !item->is_call;
		admission_done(&a, item, now + 20);
	}
	/* A third of 32. */
	g_assert_cmpuint(begun, >=, 9);
	g_assert_cmpuint(begun, <=, 12);
	admission_finish(&a);
}

/*
 * Guards against a call refused before its body is transferred although it
 * would be admitted after that.
 */
static void test_call_with_body(void)
{
	const struct admission_rank rank = { 1, 100, 0 };
	struct admission_item items[4];
	struct admission a;

	admission_init(&a, 1, 3, 1.0);
	for (unsigned i = 0; i < G_N_ELEMENTS(items); i++)
		admission_submit_ranked(&a, &items[i], "t", 0, 5000, &rank);
	g_assert_true(admission_would_shed_after(&a, &rank, 1, 800, 10));
	g_assert_false(admission_would_shed_call_after(&a, &rank, 1, 800, 10));
	/* Past its full value it is served, past its time limit it is not. */
	g_assert_false(admission_would_shed_call_after(&a, &rank, 1, 800, 200));
	g_assert_true(admission_would_shed_call_after(&a, &rank, 1, 800, 900));
	admission_finish(&a);
}

/* Guards against requests that run although their time limit has passed. */
static void test_late_call(void)
{
	const struct admission_rank rank = { 1, 100, 1 };
	struct admission_item run, call;
	struct admission a;

	admission_init(&a, 1, 4, 1.0);
	admission_submit_ranked(&a, &run, "t", 0, 5000, &rank);
	g_assert_cmpint(admission_submit_call(&a, &call, "t", 1, 800, &rank),
			==, ADMISSION_QUEUE);
	/* Past its full value it still waits, past its time limit it ends. */
	g_assert_null(admission_expire(&a, 700));
	admission_done(&a, &run, 800);
	g_assert_null(admission_next(&a, 800));
	g_assert_true(admission_expire(&a, 800) == &call);
	admission_finish(&a);
}

/* Requests of one service until the route counts as a call; 0: never. */
static unsigned requests_until_learnt(const char *service, double share)
{
	struct call_routes r;
	unsigned n = 0;

	call_routes_init(&r);
	while (n++ < 1000)
		if (call_routes_note(&r, 7, service, share) ==
		    CALL_ROUTES_LEARNT)
			break;
	call_routes_finish(&r);
	return n > 1000 ? 0 : n;
}

/*
 * Guards against calls that are learnt late or by chance. Fleet B: 47, 29 and
 * 11 of 87 nodes; 0.53^15, 0.33^9 and 0.13^5 are below 1e-4.
 */
static void test_learning(void)
{
	g_assert_cmpuint(requests_until_learnt("T1", 47. / 87), ==, 15);
	g_assert_cmpuint(requests_until_learnt("T2", 29. / 87), ==, 9);
	g_assert_cmpuint(requests_until_learnt("T3", 11. / 87), ==, 5);
	g_assert_cmpuint(requests_until_learnt("T1", 0.95), ==, 0);
	g_assert_cmpuint(requests_until_learnt("T1", 0), ==, 0);
	g_assert_cmpuint(requests_until_learnt("", 0.5), ==, 0);
}

/*
 * Guards against ordinary routes taken for calls: 200,000 requests that begin
 * beside all nodes, on each of 20 routes 10,000. A chance of 1e-4 for each row
 * leaves a few findings, each of which must end at the next other request.
 */
static void test_mix_is_no_call(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct call_routes r;
	unsigned as_call = 0;

	call_routes_init(&r);
	for (unsigned i = 0; i < 200000; i++) {
		double x = g_rand_double(rand) * 87;
		uint32_t route = 1 + i % 20;

		if (x < 47)
			call_routes_note(&r, route, "T1", 47. / 87);
		else if (x < 76)
			call_routes_note(&r, route, "T2", 29. / 87);
		else
			call_routes_note(&r, route, "T3", 11. / 87);
		as_call += (unsigned)call_routes_is_call(&r, route);
	}
	g_test_message("as calls: %u of 200000", as_call);
	g_assert_cmpuint(as_call, <, 100);
	call_routes_finish(&r);
	g_rand_free(rand);
}

/* Guards against a wrong finding that stays, and against alternating ones. */
static void test_unlearning(void)
{
	struct call_routes r;
	unsigned changes = 0;

	call_routes_init(&r);
	for (unsigned i = 0; i < 9; i++)
		call_routes_note(&r, 7, "T2", 1. / 3);
	g_assert_true(call_routes_is_call(&r, 7));
	g_assert_cmpint(call_routes_note(&r, 7, "T1", 1. / 3), ==,
			CALL_ROUTES_UNLEARNT);
	g_assert_false(call_routes_is_call(&r, 7));
	for (unsigned i = 0; i < 1000; i++)
		changes += call_routes_note(&r, 7, i % 10 ? "T2" : "T1",
					    1. / 3) != CALL_ROUTES_SAME;
	g_assert_cmpuint(changes, ==, 0);
	for (uint32_t i = 0; i < 1000; i++)
		call_routes_note(&r, 100 + i, "T1", 0.5);
	g_assert_cmpuint(HASH_COUNT(r.routes), ==, CALL_ROUTES_MAX);
	call_routes_finish(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/calls/reservations", test_reservations);
	g_test_add_func("/calls/reservations-calls-alone",
			test_reservations_calls_alone);
	g_test_add_func("/calls/uploads", test_uploads_and_calls);
	g_test_add_func("/calls/no-starvation", test_calls_do_not_starve);
	g_test_add_func("/calls/gone", test_called_service_gone);
	g_test_add_func("/calls/pressure-ranks", test_pressure_ranks);
	g_test_add_func("/calls/single-failure", test_single_failure);
	g_test_add_func("/calls/no-pressure", test_no_pressure);
	g_test_add_func("/calls/late", test_late_call);
	g_test_add_func("/calls/learning", test_learning);
	g_test_add_func("/calls/mix", test_mix_is_no_call);
	g_test_add_func("/calls/unlearning", test_unlearning);
	g_test_add_func("/calls/long-calm", test_long_calm);
	g_test_add_func("/calls/share-rate", test_calls_share_rate);
	g_test_add_func("/calls/with-body", test_call_with_body);
	return g_test_run();
}
