#include "limits/admission.h"
#include "limits/retry_budget.h"
#include "limits/adaptive_limit.h"
#include "limits/pull.h"
#include "limits/retry_share.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define FAR 1000000

/* Guards against running more requests than the limit. */
static void test_adm_limit(void)
{
	struct admission a;
	struct admission_item it[4];

	admission_init(&a, 2, 1, 1.0);
	g_assert_true(admission_submit(&a, &it[0], "t", 0, FAR) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &it[1], "t", 0, FAR) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &it[2], "t", 0, FAR) ==
		      ADMISSION_QUEUE);
	g_assert_true(admission_submit(&a, &it[3], "t", 0, FAR) ==
		      ADMISSION_SHED);
	g_assert_null(admission_next(&a, 1));
	admission_done(&a, &it[0], 10);
	g_assert_true(admission_next(&a, 10) == &it[2]);
	g_assert_true(a.running == 2);
	admission_done(&a, &it[1], 10);
	admission_done(&a, &it[2], 20);
	g_assert_true(a.running == 0);
	g_assert_null(a.tenants);
	admission_finish(&a);
}

/* Guards against new arrivals that overtake queued requests. */
static void test_adm_fifo(void)
{
	struct admission a;
	struct admission_item it[3];

	admission_init(&a, 1, 4, 1.0);
	admission_submit(&a, &it[0], "t", 0, FAR);
	admission_submit(&a, &it[1], "t", 0, FAR);
	admission_done(&a, &it[0], 1);
	g_assert_true(admission_submit(&a, &it[2], "t", 1, FAR) ==
		      ADMISSION_QUEUE);
	g_assert_true(admission_next(&a, 1) == &it[1]);
	admission_done(&a, &it[1], 2);
	g_assert_true(admission_next(&a, 2) == &it[2]);
	admission_done(&a, &it[2], 3);
	admission_finish(&a);
}

/* Guards against one tenant that takes every place. */
static void test_adm_tenant_share(void)
{
	struct admission a;
	struct admission_item it[4];

	admission_init(&a, 2, 2, 0.5);
	g_assert_true(admission_submit(&a, &it[0], "big", 0, FAR) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &it[1], "big", 0, FAR) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &it[2], "big", 0, FAR) ==
		      ADMISSION_SHED);
	g_assert_true(admission_submit(&a, &it[2], "small", 0, FAR) ==
		      ADMISSION_QUEUE);
	admission_remove(&a, &it[2]);
	g_assert_true(a.queued == 0);
	admission_done(&a, &it[0], 1);
	g_assert_true(admission_submit(&a, &it[3], "big", 1, FAR) ==
		      ADMISSION_RUN);
	admission_done(&a, &it[1], 1);
	admission_done(&a, &it[3], 1);
	admission_finish(&a);
}

/* Guards against handing over a request after its deadline. */
static void test_adm_deadline(void)
{
	struct admission a;
	struct admission_item it[4];

	admission_init(&a, 1, 8, 1.0);
	g_assert_true(admission_submit(&a, &it[0], "t", 5, 5) ==
		      ADMISSION_SHED);
	admission_submit(&a, &it[0], "t", 0, FAR);
	admission_submit(&a, &it[1], "t", 0, 10);
	admission_submit(&a, &it[2], "t", 0, FAR);
	g_assert_null(admission_expire(&a, 9));
	admission_done(&a, &it[0], 10);
	g_assert_true(admission_next(&a, 10) == &it[2]);
	g_assert_true(admission_expire(&a, 10) == &it[1]);
	g_assert_true(it[1].state == ADMISSION_NONE);
	/* Service takes 10 ms; 5 ms are left: shed at once. */
	g_assert_true(admission_submit(&a, &it[3], "t", 10, 15) ==
		      ADMISSION_SHED);
	g_assert_true(admission_retry_after_ms(&a) == 10);
	admission_done(&a, &it[2], 20);
	admission_finish(&a);
}

/* Guards against growth above a limit that has fallen. */
static void test_adm_limit_falls(void)
{
	struct admission a;
	struct admission_item it[3];

	admission_init(&a, 2, 4, 1.0);
	admission_submit(&a, &it[0], "t", 0, FAR);
	admission_submit(&a, &it[1], "t", 0, FAR);
	admission_submit(&a, &it[2], "t", 0, FAR);
	admission_set_limits(&a, 1, 4, 1.0);
	admission_done(&a, &it[0], 1);
	g_assert_null(admission_next(&a, 1));
	admission_done(&a, &it[1], 1);
	g_assert_nonnull(admission_next(&a, 1));
	admission_done(&a, &it[2], 2);
	admission_finish(&a);
}

/* Guards against retries beyond the ratio during a full outage. */
static void test_budget(void)
{
	struct retry_budget b;
	int taken = 0;
	int i;

	retry_budget_init(&b, 0.1);
	for (i = 0; i < 1000; i++)
		taken += retry_budget_take(&b);
	g_assert_true(taken == (int)RETRY_BUDGET_RESERVE);
	for (i = 0; i < 10; i++)
		retry_budget_answered(&b);
	g_assert_true(retry_budget_take(&b) == 1);
	g_assert_true(retry_budget_take(&b) == 0);
}

/* Guards against savings without bound in good times. */
static void test_budget_cap(void)
{
	struct retry_budget b;
	int taken = 0;
	int i;

	retry_budget_init(&b, 0.1);
	for (i = 0; i < 1000000; i++)
		retry_budget_answered(&b);
	for (i = 0; i < 1000000; i++)
		taken += retry_budget_take(&b);
	g_assert_true(taken == (int)RETRY_BUDGET_CAP);
}

/* Guards against a limit outside of min and max. */
static void test_conc_range(void)
{
	struct adaptive_limit c;
	int i;

	adaptive_limit_init(&c, 2, 20);
	g_assert_true(adaptive_limit_get(&c) == 20);
	for (i = 0; i < 1000; i++)
		adaptive_limit_sample(&c, 1000, 1, 1);
	g_assert_true(adaptive_limit_get(&c) == 2);
	for (i = 0; i < 10000; i++)
		adaptive_limit_sample(&c, 1000, adaptive_limit_get(&c), 0);
	g_assert_true(adaptive_limit_get(&c) == 20);
	adaptive_limit_set_max(&c, 10);
	g_assert_true(adaptive_limit_get(&c) == 10);
	adaptive_limit_set_max(&c, 40);
	g_assert_true(adaptive_limit_get(&c) == 40);
}

/* Guards against a limit that ignores a target with less than announced. */
static void test_conc_queueing(void)
{
	struct adaptive_limit c;
	int i;

	adaptive_limit_init(&c, 1, 20);
	for (i = 0; i < 200; i++)
		adaptive_limit_sample(&c, 1000, 1, 0);
	for (i = 0; i < 2000; i++) {
		uint32_t n = adaptive_limit_get(&c);

		/* Real concurrency is 5; beyond it requests queue. */
		adaptive_limit_sample(&c, n > 5 ? n * 200 : 1000, n, 0);
	}
	g_assert_true(adaptive_limit_get(&c) >= 5);
	g_assert_true(adaptive_limit_get(&c) <= 10);
}

/* Guards against a limit that falls for good when the target becomes slow
 * without queueing. */
static void test_conc_slow(void)
{
	struct adaptive_limit c;
	int i;

	adaptive_limit_init(&c, 1, 20);
	for (i = 0; i < 5 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&c, 1000, adaptive_limit_get(&c), 0);
	for (i = 0; i < 10 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&c, 4000, adaptive_limit_get(&c), 0);
	g_assert_true(adaptive_limit_get(&c) == 20);
	for (i = 0; i < 5 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&c, 1000, adaptive_limit_get(&c), 0);
	g_assert_true(adaptive_limit_get(&c) == 20);
	g_assert_true(c.baseline_us == 1000);
}

/* Guards against calls of running work that wait behind new work. */
static void test_adm_rank(void)
{
	const struct admission_rank low = { 2, 1000, 0 };
	const struct admission_rank late = { 1, 10, 0 };
	const struct admission_rank high = { 1, 900, 0 };
	const struct admission_rank urgent = { 1, 300, 0 };
	struct admission a;
	struct admission_item it[5];

	admission_init(&a, 1, 8, 1.0);
	admission_submit(&a, &it[0], "t", 0, FAR);
	admission_submit_ranked(&a, &it[1], "t", 0, FAR, &low);
	admission_submit_ranked(&a, &it[2], "t", 0, FAR, &high);
	admission_submit_ranked(&a, &it[3], "t", 0, FAR, &urgent);
	/* Late work fills gaps, and one place has none. */
	g_assert_cmpint(
		admission_submit_ranked(&a, &it[4], "t", 20, FAR, &late), ==,
		ADMISSION_SHED);
	admission_done(&a, &it[0], 21);
	g_assert_true(admission_next(&a, 21) == &it[3]);
	admission_done(&a, &it[3], 22);
	g_assert_true(admission_next(&a, 22) == &it[2]);
	admission_done(&a, &it[2], 23);
	g_assert_true(admission_next(&a, 23) == &it[1]);
	admission_done(&a, &it[1], 24);
	admission_finish(&a);
}

/* Guards against late work that runs before what can still be in time. */
static void test_adm_late(void)
{
	const struct admission_rank low = { 2, 1000, 0 };
	const struct admission_rank late = { 1, 10, 0 };
	const struct admission_rank high = { 1, 900, 0 };
	struct admission_item running[8], it[3];
	struct admission a;

	admission_init(&a, G_N_ELEMENTS(running), 8, 1.0);
	for (size_t i = 0; i < G_N_ELEMENTS(running); i++)
		admission_submit(&a, &running[i], "t", 0, FAR);
	admission_submit_ranked(&a, &it[0], "t", 0, FAR, &low);
	g_assert_cmpint(
		admission_submit_ranked(&a, &it[1], "t", 20, FAR, &late), ==,
		ADMISSION_QUEUE);
	admission_submit_ranked(&a, &it[2], "t", 20, FAR, &high);
	for (size_t i = 0; i < G_N_ELEMENTS(it); i++)
		admission_done(&a, &running[i], 21);
	g_assert_true(admission_next(&a, 21) == &it[2]);
	g_assert_true(admission_next(&a, 21) == &it[1]);
	g_assert_true(admission_next(&a, 21) == &it[0]);
	admission_finish(&a);
}

/* Guards against a full queue of low rank that keeps high rank out. */
static void test_adm_displaced(void)
{
	const struct admission_rank low = { 2, 5000, 0 };
	const struct admission_rank high = { 1, 5000, 0 };
	struct admission a;
	struct admission_item it[4];

	admission_init(&a, 1, 2, 1.0);
	admission_submit(&a, &it[0], "t", 0, FAR);
	admission_submit_ranked(&a, &it[1], "t", 0, FAR, &low);
	admission_submit_ranked(&a, &it[2], "t", 0, FAR, &low);
	g_assert_true(admission_submit_ranked(&a, &it[3], "t", 0, FAR, &high) ==
		      ADMISSION_QUEUE);
	g_assert_true(admission_expire(&a, 1) == &it[2]);
	g_assert_null(admission_expire(&a, 1));
	admission_done(&a, &it[0], 2);
	g_assert_true(admission_next(&a, 2) == &it[3]);
	admission_remove(&a, &it[1]);
	admission_done(&a, &it[3], 3);
	admission_finish(&a);
}

#define SIM_PLACES 18
#define SIM_REQUESTS 6000
#define SIM_VALUE_MS 400

/* Requests that end within SIM_VALUE_MS of their arrival. */
static unsigned in_time(int ranked, double per_ms, double work_ms)
{
	static struct admission_item items[SIM_REQUESTS];
	static int64_t done_ms[SIM_REQUESTS];
	GRand *rand = g_rand_new_with_seed(3);
	unsigned good = 0;
	unsigned next = 0;
	double due = 0;
	struct admission a;

	memset(done_ms, 0, sizeof(done_ms));
	admission_init(&a, SIM_PLACES, 64, 1.0);
	for (int64_t now = 0; next < SIM_REQUESTS || a.running; now++) {
		struct admission_item *item;

		for (unsigned i = 0; i < next; i++) {
			if (items[i].state != ADMISSION_RUNNING ||
			    done_ms[i] > now)
				continue;
			admission_done(&a, &items[i], now);
			good += now - items[i].arrived_ms <= SIM_VALUE_MS;
		}
		while (admission_expire(&a, now))
			;
		while ((item = admission_next(&a, now)))
			done_ms[item - items] =
				now +
				(int64_t)(work_ms *
					  g_rand_double_range(rand, 0.7, 1.3));
		due += per_ms;
		while (due >= 1 && next < SIM_REQUESTS) {
			struct admission_rank rank = { 1, now + SIM_VALUE_MS,
						       0 };
			enum admission_decision v;

			due--;
			item = &items[next++];
			v = ranked ? admission_submit_ranked(&a, item, "t", now,
							     now + 2500, &rank)
				   : admission_submit(&a, item, "t", now,
						      now + 2500);
			if (v == ADMISSION_RUN)
				done_ms[item - items] =
					now +
					(int64_t)(work_ms *
						  g_rand_double_range(rand, 0.7,
								      1.3));
		}
	}
	admission_finish(&a);
	g_rand_free(rand);
	return good;
}

/*
 * Load: 1.3 times what a target can run, for a minute. Guards against a queue
 * that makes every answer late; compared with first come, first served.
 */
static void test_adm_overload(void)
{
	/* 18 places x 1 / 200 ms = 0.09 a ms. */
	unsigned plain = in_time(0, 0.117, 200);
	unsigned ranked = in_time(1, 0.117, 200);

	g_assert_cmpuint(ranked, >, plain * 2);
	/* Capacity is 77% of the requests; nine in ten of that are in time. */
	g_assert_cmpuint(ranked, >, SIM_REQUESTS * 69 / 100);
}

/* Guards against refusals while there is room: 0.8 of the capacity. */
static void test_adm_below_capacity(void)
{
	g_assert_cmpuint(in_time(1, 0.072, 200), >, SIM_REQUESTS * 99 / 100);
}

#define MIX_MS 40000

/* Part of the calls that end in time beside requests that keep a target full.
 */
static double calls_in_time(uint32_t call_kind, uint32_t request_kind)
{
	enum { ITEMS = 8000 };
	static struct admission_item items[ITEMS];
	static int64_t done_ms[ITEMS];
	unsigned calls = 0, good = 0, next = 0;
	double due_calls = 0, due_requests = 0;
	struct admission a;

	memset(items, 0, sizeof(items));
	admission_init(&a, SIM_PLACES, 64, 1.0);
	for (int64_t now = 0; now < MIX_MS; now++) {
		struct admission_item *item;

		for (unsigned i = 0; i < next; i++) {
			if (items[i].state != ADMISSION_RUNNING ||
			    done_ms[i] > now)
				continue;
			admission_done(&a, &items[i], now);
			good += items[i].rank.priority == 0 &&
				now - items[i].arrived_ms <= 300;
		}
		while (admission_expire(&a, now))
			;
		/* Requests wait for calls of their own: they take a second. */
		due_requests += 1.2 * SIM_PLACES / 1000;
		due_calls += 0.04;
		while (due_requests >= 1 || due_calls >= 1) {
			int is_call = due_calls >= 1;
			struct admission_rank rank = {
				is_call ? 0 : 1, now + (is_call ? 300 : 1200),
				is_call ? call_kind : request_kind
			};

			item = &items[next++];
			g_assert_cmpuint(next, <, ITEMS);
			if (is_call)
				due_calls--;
			else
				due_requests--;
			calls += (unsigned)is_call;
			if (admission_submit_ranked(
				    &a, item, "t", now,
				    now + (is_call ? 1000 : 4000),
				    &rank) == ADMISSION_RUN)
				done_ms[item - items] =
					now + (is_call ? 80 : 1000);
		}
		while ((item = admission_next(&a, now)))
			done_ms[item - items] =
				now + (item->rank.priority ? 1000 : 80);
	}
	admission_finish(&a);
	return (double)good / calls;
}

/*
 * Load: calls of running work, 80 ms each, at a target that requests of one
 * second keep full, for 40 s. Guards against calls refused because of the
 * average time of both, which wastes the run that makes the call.
 */
static void test_adm_kinds(void)
{
	double average = calls_in_time(0, 0);
	double kinds = calls_in_time(7, 8);

	g_test_message("calls in time: %.3f by the average, %.3f by kind",
		       average, kinds);
	g_assert_cmpfloat(kinds, >, 0.95);
	g_assert_cmpfloat(average, <, kinds / 2);
}

/* Lognormal, as measured of uploads and bookings. */
static int64_t unlike_ms(GRand *rand, double mean_ms)
{
	const double sigma = 0.8;
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(rand);
	return 1 + (int64_t)(mean_ms * exp(sigma * sum - sigma * sigma / 2));
}

/* Part of requests of unlike length that end in time at 1.15 of a target. */
static double unlike_in_time(uint32_t kind)
{
	enum { ITEMS = 4000, WORK_MS = 380, FULL_VALUE_MS = 1500 };
	static struct admission_item items[ITEMS];
	static int64_t done_ms[ITEMS];
	GRand *rand = g_rand_new_with_seed(9);
	unsigned good = 0, next = 0;
	struct admission a;

	memset(items, 0, sizeof(items));
	admission_init(&a, SIM_PLACES, 72, 1.0);
	for (int64_t now = 0; next < ITEMS || a.running; now++) {
		struct admission_item *item;

		for (unsigned i = 0; i < next; i++) {
			if (items[i].state != ADMISSION_RUNNING ||
			    done_ms[i] > now)
				continue;
			admission_done(&a, &items[i], now);
			good += now - items[i].arrived_ms <= FULL_VALUE_MS;
		}
		while (admission_expire(&a, now))
			;
		if (next < ITEMS &&
		    g_rand_double(rand) < 1.15 * SIM_PLACES / WORK_MS) {
			struct admission_rank rank = { 1, now + FULL_VALUE_MS,
						       kind };

			item = &items[next++];
			if (admission_submit_ranked(&a, item, "t", now,
						    now + 10000,
						    &rank) == ADMISSION_RUN)
				done_ms[item - items] =
					now + unlike_ms(rand, WORK_MS);
		}
		while ((item = admission_next(&a, now)))
			done_ms[item - items] = now + unlike_ms(rand, WORK_MS);
	}
	admission_finish(&a);
	g_rand_free(rand);
	return (double)good / ITEMS;
}

/*
 * Load: 1.15 times what a target can run, of requests that take 0.2 to 5 times
 * their average. Guards against a queue that promises full value by the
 * average, and answers every other request just too late.
 */
static void test_adm_spread(void)
{
	double average = unlike_in_time(0);
	double spread = unlike_in_time(4);

	g_test_message("in time: %.3f by the average, %.3f by the spread",
		       average, spread);
	g_assert_cmpfloat(spread, >, average);
}

/*
 * Load: a burst at an idle target, and the same at one that has been full for a
 * second. Guards against a calm day on which bursts are refused that could
 * have been in time.
 */
static void test_adm_burst(void)
{
	struct admission_item items[SIM_PLACES], it;
	struct admission_rank rank = { 1, 10000, 6 };
	struct admission a;

	admission_init(&a, SIM_PLACES, 72, 1.0);
	memset(items, 0, sizeof(items));
	memset(&it, 0, sizeof(it));
	/* Times of 100 and 300 ms by turns: 200 on average, 100 apart. */
	for (int64_t i = 0; i < 200; i++) {
		admission_submit_ranked(&a, &it, "t", 0, FAR, &rank);
		admission_done(&a, &it, i % 2 ? 300 : 100);
	}
	for (size_t i = 0; i < SIM_PLACES; i++)
		g_assert_cmpint(admission_submit_ranked(&a, &items[i], "t",
							1000, FAR, &rank),
				==, ADMISSION_RUN);
	rank.soft_deadline_ms = 1000 + 280;
	g_assert_cmpint(admission_submit_ranked(&a, &it, "t", 1000, FAR, &rank),
			==, ADMISSION_QUEUE);
	admission_remove(&a, &it);
	rank.soft_deadline_ms = 2000 + 280;
	g_assert_cmpint(admission_submit_ranked(&a, &it, "t", 2000, FAR, &rank),
			==, ADMISSION_SHED);
	for (size_t i = 0; i < SIM_PLACES; i++)
		admission_done(&a, &items[i], 2100);
	admission_finish(&a);
}

/* Guards against a table of kinds that grows with every route ever seen. */
static void test_adm_kinds_bounded(void)
{
	struct admission a;

	admission_init(&a, 1, 1, 1.0);
	for (uint32_t i = 1; i <= 3 * ADMISSION_MAX_KINDS; i++) {
		const struct admission_rank rank = { 1, INT64_MAX, i };
		struct admission_item it;

		memset(&it, 0, sizeof(it));
		g_assert_cmpint(
			admission_submit_ranked(&a, &it, "t", 0, FAR, &rank),
			==, ADMISSION_RUN);
		admission_done(&a, &it, 1);
	}
	g_assert_cmpuint(HASH_COUNT(a.kinds), ==, ADMISSION_MAX_KINDS);
	admission_finish(&a);
}

/*
 * Load: all requests of all nodes fail and ask to be repeated. Guards against
 * shares that add up to more than the fleet's budget in some window.
 */
static void test_share_fleet(void)
{
	enum { NODES = 18, WINDOW_S = 10, PER_S = 40 };
	struct retry_share shares[NODES];
	double ratio = 0.2, slack = 60;
	unsigned taken[60] = { 0 };

	for (int n = 0; n < NODES; n++)
		retry_share_init(&shares[n]);
	for (int s = 0; s < 60; s++) {
		for (int n = 0; n < NODES; n++) {
			for (int i = 0; i < PER_S; i++) {
				retry_share_request(&shares[n], ratio, slack,
						    NODES);
				taken[s] +=
					(unsigned)retry_share_take(&shares[n]);
			}
		}
	}
	for (int s = 0; s + WINDOW_S <= 60; s++) {
		unsigned sum = 0;

		for (int i = 0; i < WINDOW_S; i++)
			sum += taken[s + i];
		g_assert_cmpuint(
			sum, <=,
			(unsigned)(ratio * NODES * PER_S * WINDOW_S + slack));
	}
	/* And it is of use: a tenth of the requests at least. */
	g_assert_cmpuint(taken[30], >, NODES * PER_S / 10);
}

#define LINE_KBPS 11000
#define BODY_BYTES 60000
#define SMALL_BYTES 500
/* Of a body: on the line, without what is ahead of it. */
#define BODY_MS ((double)BODY_BYTES * 8 / LINE_KBPS)

/*
 * How long a small request waits on the line, on average over a minute in
 * which bodies for 0.8 of the line are offered by askers 8 ms away.
 */
static double small_wait_ms(int pulled)
{
	enum { BODIES = 2000, ROUND_TRIP_MS = 16 };
	static struct pull_item items[BODIES];
	static double done_ms[BODIES]; /* 0: not on the line yet */
	GRand *rand = g_rand_new_with_seed(5);
	double line_end_ms = 0, wait_ms = 0;
	unsigned count = 0, small = 0;
	struct pull p;

	memset(items, 0, sizeof(items));
	memset(done_ms, 0, sizeof(done_ms));
	pull_init(&p, pulled ? LINE_KBPS : 0);
	for (int64_t now = 1; now < 60000; now++) {
		if (g_rand_double(rand) < 0.8 / BODY_MS && count < BODIES) {
			items[count].bytes = BODY_BYTES;
			items[count].deadline_ms = FAR;
			pull_add(&p, &items[count++]);
		}
		while (pull_next(&p, now))
			;
		for (unsigned i = 0; i < count; i++) {
			int64_t asked_ms = items[i].requested_ms;

			if (asked_ms && !done_ms[i] &&
			    now >= asked_ms + (pulled ? ROUND_TRIP_MS : 0)) {
				if (line_end_ms < (double)now)
					line_end_ms = (double)now;
				line_end_ms += BODY_MS;
				done_ms[i] = line_end_ms;
			}
			if (done_ms[i] > 0 && done_ms[i] <= (double)now &&
			    items[i].bytes) {
				pull_remove(&p, &items[i]);
				items[i].bytes = 0;
			}
		}
		small++;
		if (line_end_ms > (double)now)
			wait_ms += line_end_ms - (double)now;
	}
	g_rand_free(rand);
	return wait_ms / small;
}

/*
 * Load: bodies of 60 kB for 0.8 of a line of 11 Mbit/s, for a minute, beside
 * small requests. Guards against small ones that wait behind all bodies.
 */
static void test_pull_line(void)
{
	double pushed = small_wait_ms(0);
	double pulled = small_wait_ms(1);

	g_test_message("small requests wait %.0f ms behind pushed bodies, "
		       "%.0f ms behind pulled ones",
		       pushed, pulled);
	/* Two bodies at most are on the line. */
	g_assert_cmpfloat(pulled, <, 2 * BODY_MS);
	g_assert_cmpfloat(pulled, <, pushed);
}

/* Guards against a line that one body larger than its window blocks. */
static void test_pull_window(void)
{
	struct pull_item big = { .bytes = 1000000, .deadline_ms = FAR };
	struct pull_item small = { .bytes = 20000, .deadline_ms = FAR };
	struct pull p;

	pull_init(&p, LINE_KBPS);
	pull_add(&p, &big);
	pull_add(&p, &small);
	g_assert_true(pull_next(&p, 1) == &big);
	g_assert_null(pull_next(&p, 1));
	g_assert_cmpint(pull_wait_ms(&p, BODY_BYTES), ==, 785);
	pull_remove(&p, &big);
	g_assert_true(pull_next(&p, 2) == &small);
	g_assert_true(pull_overdue(&p, 2 + PULL_OVERDUE_MS) == &small);
	pull_remove(&p, &small);
	g_assert_cmpuint(p.waiting_bytes + p.in_flight_bytes, ==, 0);
}

/* Guards against an offer whose time is over and that is asked for. */
static void test_pull_deadline(void)
{
	struct pull_item late = { .bytes = 20000, .deadline_ms = 10 };
	struct pull p;

	pull_init(&p, LINE_KBPS);
	pull_add(&p, &late);
	g_assert_null(pull_next(&p, 10));
	g_assert_true(pull_overdue(&p, 10) == &late);
	pull_remove(&p, &late);
}

/* Guards against a body that comes for a request refused on its arrival. */
static void test_adm_after(void)
{
	const struct admission_rank rank = { 1, 1500, 3 };
	struct admission_item it;
	struct admission a;

	memset(&it, 0, sizeof(it));
	admission_init(&a, 2, 2, 1.0);
	admission_submit_ranked(&a, &it, "t", 0, FAR, &rank);
	admission_done(&a, &it, 400);
	g_assert_false(admission_would_shed_after(&a, &rank, 400, 10000, 500));
	g_assert_true(admission_would_shed_after(&a, &rank, 400, 10000, 800));
	g_assert_true(admission_would_shed_after(&a, &rank, 400, 1200, 500));
	/* Late already: only while the line is free. */
	g_assert_false(admission_would_shed_after(&a, &rank, 1600, 10000, 50));
	g_assert_true(admission_would_shed_after(&a, &rank, 1600, 10000, 500));
	admission_finish(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/adm/limit", test_adm_limit);
	g_test_add_func("/adm/fifo", test_adm_fifo);
	g_test_add_func("/adm/tenant-share", test_adm_tenant_share);
	g_test_add_func("/adm/deadline", test_adm_deadline);
	g_test_add_func("/adm/limit-falls", test_adm_limit_falls);
	g_test_add_func("/adm/rank", test_adm_rank);
	g_test_add_func("/adm/late", test_adm_late);
	g_test_add_func("/adm/displaced", test_adm_displaced);
	g_test_add_func("/adm/overload", test_adm_overload);
	g_test_add_func("/adm/below_capacity", test_adm_below_capacity);
	g_test_add_func("/adm/kinds", test_adm_kinds);
	g_test_add_func("/adm/spread", test_adm_spread);
	g_test_add_func("/adm/burst", test_adm_burst);
	g_test_add_func("/adm/kinds_bounded", test_adm_kinds_bounded);
	g_test_add_func("/adm/after", test_adm_after);
	g_test_add_func("/pull/line", test_pull_line);
	g_test_add_func("/pull/window", test_pull_window);
	g_test_add_func("/pull/deadline", test_pull_deadline);
	g_test_add_func("/share/fleet", test_share_fleet);
	g_test_add_func("/budget/outage", test_budget);
	g_test_add_func("/budget/cap", test_budget_cap);
	g_test_add_func("/conc/range", test_conc_range);
	g_test_add_func("/conc/queueing", test_conc_queueing);
	g_test_add_func("/conc/slow", test_conc_slow);
	return g_test_run();
}
