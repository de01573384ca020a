#include "limits/byte_budget.h"
#include "limits/admission.h"
#include "limits/retry_budget.h"
#include "limits/adaptive_limit.h"
#include "limits/pull.h"
#include "limits/retry_share.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define FAR_DEADLINE_MS 1000000

/* Guards against running more requests than the limit. */
static void test_admission_limit(void)
{
	struct admission a;
	struct admission_item req[4];

	admission_init(&a, 2, 1, 1.0);
	g_assert_true(admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &req[1], "t", 0, FAR_DEADLINE_MS) ==
		      ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &req[2], "t", 0, FAR_DEADLINE_MS) ==
		      ADMISSION_QUEUE);
	g_assert_true(admission_submit(&a, &req[3], "t", 0, FAR_DEADLINE_MS) ==
		      ADMISSION_SHED);
	g_assert_null(admission_next(&a, 1));
	admission_done(&a, &req[0], 10);
	g_assert_true(admission_next(&a, 10) == &req[2]);
	g_assert_true(a.running == 2);
	admission_done(&a, &req[1], 10);
	admission_done(&a, &req[2], 20);
	g_assert_true(a.running == 0);
	g_assert_null(a.tenants);
	admission_finish(&a);
}

/* Guards against new arrivals that overtake queued requests. */
static void test_admission_fifo(void)
{
	struct admission a;
	struct admission_item req[3];

	admission_init(&a, 1, 4, 1.0);
	admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS);
	admission_submit(&a, &req[1], "t", 0, FAR_DEADLINE_MS);
	admission_done(&a, &req[0], 1);
	g_assert_true(admission_submit(&a, &req[2], "t", 1, FAR_DEADLINE_MS) ==
		      ADMISSION_QUEUE);
	g_assert_true(admission_next(&a, 1) == &req[1]);
	admission_done(&a, &req[1], 2);
	g_assert_true(admission_next(&a, 2) == &req[2]);
	admission_done(&a, &req[2], 3);
	admission_finish(&a);
}

/* Guards against one tenant that takes every place. */
static void test_admission_tenant_share(void)
{
	struct admission a;
	struct admission_item req[4];

	admission_init(&a, 2, 2, 0.5);
	g_assert_true(admission_submit(&a, &req[0], "big", 0,
				       FAR_DEADLINE_MS) == ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &req[1], "big", 0,
				       FAR_DEADLINE_MS) == ADMISSION_RUN);
	g_assert_true(admission_submit(&a, &req[2], "big", 0,
				       FAR_DEADLINE_MS) == ADMISSION_SHED);
	g_assert_true(admission_submit(&a, &req[2], "small", 0,
				       FAR_DEADLINE_MS) == ADMISSION_QUEUE);
	admission_remove(&a, &req[2]);
	g_assert_true(a.queued == 0);
	admission_done(&a, &req[0], 1);
	g_assert_true(admission_submit(&a, &req[3], "big", 1,
				       FAR_DEADLINE_MS) == ADMISSION_RUN);
	admission_done(&a, &req[1], 1);
	admission_done(&a, &req[3], 1);
	admission_finish(&a);
}

/* Guards against handing over a request after its deadline. */
static void test_admission_deadline(void)
{
	struct admission a;
	struct admission_item req[4];

	admission_init(&a, 1, 8, 1.0);
	g_assert_true(admission_submit(&a, &req[0], "t", 5, 5) ==
		      ADMISSION_SHED);
	admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS);
	admission_submit(&a, &req[1], "t", 0, 10);
	admission_submit(&a, &req[2], "t", 0, FAR_DEADLINE_MS);
	g_assert_null(admission_expire(&a, 9));
	admission_done(&a, &req[0], 10);
	g_assert_true(admission_next(&a, 10) == &req[2]);
	g_assert_true(admission_expire(&a, 10) == &req[1]);
	g_assert_true(req[1].state == ADMISSION_NONE);
	/* Service takes 10 ms; 5 ms are left: shed at once. */
	g_assert_true(admission_submit(&a, &req[3], "t", 10, 15) ==
		      ADMISSION_SHED);
	g_assert_true(admission_retry_after_ms(&a, 10) == 10);
	admission_done(&a, &req[2], 20);
	admission_finish(&a);
}

/* Guards against dispatching above a limit that has been lowered. */
static void test_admission_limit_falls(void)
{
	struct admission a;
	struct admission_item req[3];

	admission_init(&a, 2, 4, 1.0);
	admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS);
	admission_submit(&a, &req[1], "t", 0, FAR_DEADLINE_MS);
	admission_submit(&a, &req[2], "t", 0, FAR_DEADLINE_MS);
	admission_set_limits(&a, 1, 4, 1.0);
	admission_done(&a, &req[0], 1);
	g_assert_null(admission_next(&a, 1));
	admission_done(&a, &req[1], 1);
	g_assert_nonnull(admission_next(&a, 1));
	admission_done(&a, &req[2], 2);
	admission_finish(&a);
}

/* Guards against retries beyond the ratio during a full outage. */
static void test_retry_budget_outage(void)
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

/* Guards against tokens saved without bound while all goes well. */
static void test_retry_budget_cap(void)
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
static void test_adaptive_limit_range(void)
{
	struct adaptive_limit limit;
	int i;

	adaptive_limit_init(&limit, 2, 20);
	g_assert_true(adaptive_limit_get(&limit) == 20);
	for (i = 0; i < 1000; i++)
		adaptive_limit_sample(&limit, 1000, 1, 1);
	g_assert_true(adaptive_limit_get(&limit) == 2);
	for (i = 0; i < 10000; i++)
		adaptive_limit_sample(&limit, 1000, adaptive_limit_get(&limit),
				      0);
	g_assert_true(adaptive_limit_get(&limit) == 20);
	adaptive_limit_set_max(&limit, 10);
	g_assert_true(adaptive_limit_get(&limit) == 10);
	adaptive_limit_set_max(&limit, 40);
	g_assert_true(adaptive_limit_get(&limit) == 40);
}

/* Guards against a limit that stays above the target's real concurrency. */
static void test_adaptive_limit_queueing(void)
{
	struct adaptive_limit limit;
	int i;

	adaptive_limit_init(&limit, 1, 20);
	for (i = 0; i < 200; i++)
		adaptive_limit_sample(&limit, 1000, 1, 0);
	for (i = 0; i < 2000; i++) {
		uint32_t n = adaptive_limit_get(&limit);

		/* The real concurrency is 5; above it, requests queue. */
		adaptive_limit_sample(&limit, n > 5 ? n * 200 : 1000, n, 0);
	}
	g_assert_true(adaptive_limit_get(&limit) >= 5);
	g_assert_true(adaptive_limit_get(&limit) <= 10);
}

/*
 * Guards against a limit that is cut and stays low when the target becomes
 * slow without queueing.
 */
static void test_adaptive_limit_slow(void)
{
	struct adaptive_limit limit;
	int i;

	adaptive_limit_init(&limit, 1, 20);
	for (i = 0; i < 5 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&limit, 1000, adaptive_limit_get(&limit),
				      0);
	for (i = 0; i < 10 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&limit, 4000, adaptive_limit_get(&limit),
				      0);
	g_assert_true(adaptive_limit_get(&limit) == 20);
	for (i = 0; i < 5 * ADAPTIVE_LIMIT_WINDOW; i++)
		adaptive_limit_sample(&limit, 1000, adaptive_limit_get(&limit),
				      0);
	g_assert_true(adaptive_limit_get(&limit) == 20);
	g_assert_true(limit.baseline_us == 1000);
}

/*
 * Guards against requests of higher priority, such as calls made by requests
 * that are running, waiting behind new requests.
 */
static void test_admission_rank_order(void)
{
	const struct admission_rank low = { 2, 1000, 0 };
	const struct admission_rank late = { 1, 10, 0 };
	const struct admission_rank high = { 1, 900, 0 };
	const struct admission_rank urgent = { 1, 300, 0 };
	struct admission a;
	struct admission_item req[5];

	admission_init(&a, 1, 8, 1.0);
	admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS);
	admission_submit_ranked(&a, &req[1], "t", 0, FAR_DEADLINE_MS, &low);
	admission_submit_ranked(&a, &req[2], "t", 0, FAR_DEADLINE_MS, &high);
	admission_submit_ranked(&a, &req[3], "t", 0, FAR_DEADLINE_MS, &urgent);
	/* A late request would have to wait for the only place. */
	g_assert_cmpint(admission_submit_ranked(&a, &req[4], "t", 20,
						FAR_DEADLINE_MS, &late),
			==, ADMISSION_SHED);
	admission_done(&a, &req[0], 21);
	g_assert_true(admission_next(&a, 21) == &req[3]);
	admission_done(&a, &req[3], 22);
	g_assert_true(admission_next(&a, 22) == &req[2]);
	admission_done(&a, &req[2], 23);
	g_assert_true(admission_next(&a, 23) == &req[1]);
	admission_done(&a, &req[1], 24);
	admission_finish(&a);
}

/*
 * Guards against a request past its soft deadline running before one that can
 * still meet its own.
 */
static void test_admission_past_soft_deadline(void)
{
	const struct admission_rank low = { 2, 1000, 0 };
	const struct admission_rank late = { 1, 10, 0 };
	const struct admission_rank high = { 1, 900, 0 };
	struct admission_item running[8], req[3];
	struct admission a;

	admission_init(&a, G_N_ELEMENTS(running), 8, 1.0);
	for (size_t i = 0; i < G_N_ELEMENTS(running); i++)
		admission_submit(&a, &running[i], "t", 0, FAR_DEADLINE_MS);
	admission_submit_ranked(&a, &req[0], "t", 0, FAR_DEADLINE_MS, &low);
	g_assert_cmpint(admission_submit_ranked(&a, &req[1], "t", 20,
						FAR_DEADLINE_MS, &late),
			==, ADMISSION_QUEUE);
	admission_submit_ranked(&a, &req[2], "t", 20, FAR_DEADLINE_MS, &high);
	for (size_t i = 0; i < G_N_ELEMENTS(req); i++)
		admission_done(&a, &running[i], 21);
	g_assert_true(admission_next(&a, 21) == &req[2]);
	g_assert_true(admission_next(&a, 21) == &req[1]);
	g_assert_true(admission_next(&a, 21) == &req[0]);
	admission_finish(&a);
}

/* Guards against requests shed because the queue is full of lower ranks. */
static void test_admission_displaced(void)
{
	const struct admission_rank low = { 2, 5000, 0 };
	const struct admission_rank high = { 1, 5000, 0 };
	struct admission a;
	struct admission_item req[4];

	admission_init(&a, 1, 2, 1.0);
	admission_submit(&a, &req[0], "t", 0, FAR_DEADLINE_MS);
	admission_submit_ranked(&a, &req[1], "t", 0, FAR_DEADLINE_MS, &low);
	admission_submit_ranked(&a, &req[2], "t", 0, FAR_DEADLINE_MS, &low);
	g_assert_true(admission_submit_ranked(&a, &req[3], "t", 0,
					      FAR_DEADLINE_MS,
					      &high) == ADMISSION_QUEUE);
	g_assert_true(admission_expire(&a, 1) == &req[2]);
	g_assert_null(admission_expire(&a, 1));
	admission_done(&a, &req[0], 2);
	g_assert_true(admission_next(&a, 2) == &req[3]);
	admission_remove(&a, &req[1]);
	admission_done(&a, &req[3], 3);
	admission_finish(&a);
}

#define SIM_PLACES 18
#define SIM_REQUESTS 6000
#define SIM_SOFT_DEADLINE_MS 400

/* Returns how many requests end within SIM_SOFT_DEADLINE_MS of arrival. */
static unsigned count_in_time(int ranked, double per_ms, double work_ms)
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
			good += now - items[i].arrived_ms <=
				SIM_SOFT_DEADLINE_MS;
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
			struct admission_rank rank = {
				1, now + SIM_SOFT_DEADLINE_MS, 0
			};
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
 * Guards against a queue that makes every answer late. Load: 1.3 times what a
 * target can run, for a minute; compared with first come, first served.
 */
static void test_admission_overload(void)
{
	/* Capacity: 18 places x 1 / 200 ms = 0.09 requests per ms. */
	unsigned unranked = count_in_time(0, 0.117, 200);
	unsigned ranked = count_in_time(1, 0.117, 200);

	g_assert_cmpuint(ranked, >, unranked * 2);
	/* The capacity is 77% of the load; nine tenths of that are in time. */
	g_assert_cmpuint(ranked, >, SIM_REQUESTS * 69 / 100);
}

/* Guards against shedding below the capacity: the load is 0.8 of it. */
static void test_admission_below_capacity(void)
{
	g_assert_cmpuint(count_in_time(1, 0.072, 200), >,
			 SIM_REQUESTS * 99 / 100);
}

#define MIXED_LOAD_MS 40000

/*
 * Returns the part of the calls that end in time at a target that longer
 * requests keep full.
 */
static double part_of_calls_in_time(uint32_t call_kind, uint32_t request_kind)
{
	enum { ITEMS = 8000 };
	static struct admission_item items[ITEMS];
	static int64_t done_ms[ITEMS];
	unsigned calls = 0, good = 0, next = 0;
	double due_calls = 0, due_requests = 0;
	struct admission a;

	memset(items, 0, sizeof(items));
	admission_init(&a, SIM_PLACES, 64, 1.0);
	for (int64_t now = 0; now < MIXED_LOAD_MS; now++) {
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
		/* A request takes a second: it waits for calls it has made. */
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
 * Guards against short calls shed because the service time is averaged over
 * short and long requests; this wastes the running request that makes the
 * call. Load: calls of 80 ms at a target that requests of one second keep
 * full, for 40 s.
 */
static void test_admission_service_time_by_kind(void)
{
	double average = part_of_calls_in_time(0, 0);
	double kinds = part_of_calls_in_time(7, 8);

	g_test_message("calls in time: %.3f by one average, %.3f by kind",
		       average, kinds);
	g_assert_cmpfloat(kinds, >, 0.95);
	g_assert_cmpfloat(average, <, kinds / 2);
}

/* Lognormal service times, as those of uploads and bookings. */
static int64_t lognormal_ms(GRand *rand, double mean_ms)
{
	const double sigma = 0.8;
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(rand);
	return 1 + (int64_t)(mean_ms * exp(sigma * sum - sigma * sigma / 2));
}

/*
 * Returns the part of the requests that end in time at a load of 1.15 times
 * the capacity, with lognormal service times.
 */
static double part_in_time_lognormal(uint32_t kind)
{
	enum { ITEMS = 4000, WORK_MS = 380, SOFT_DEADLINE_MS = 1500 };
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
			good += now - items[i].arrived_ms <= SOFT_DEADLINE_MS;
		}
		while (admission_expire(&a, now))
			;
		if (next < ITEMS &&
		    g_rand_double(rand) < 1.15 * SIM_PLACES / WORK_MS) {
			struct admission_rank rank = { 1,
						       now + SOFT_DEADLINE_MS,
						       kind };

			item = &items[next++];
			if (admission_submit_ranked(&a, item, "t", now,
						    now + 10000,
						    &rank) == ADMISSION_RUN)
				done_ms[item - items] =
					now + lognormal_ms(rand, WORK_MS);
		}
		while ((item = admission_next(&a, now)))
			done_ms[item - items] =
				now + lognormal_ms(rand, WORK_MS);
	}
	admission_finish(&a);
	g_rand_free(rand);
	return (double)good / ITEMS;
}

/*
 * Guards against a queue that admits requests by their average service time
 * and then answers every other one just after its soft deadline. Load: 1.15
 * times what a target can run, of requests that take 0.2 to 5 times their
 * average.
 */
static void test_admission_spread_margin(void)
{
	double average = part_in_time_lognormal(0);
	double spread = part_in_time_lognormal(4);

	g_test_message("in time: %.3f by the average, %.3f with the spread",
		       average, spread);
	g_assert_cmpfloat(spread, >, average);
}

/*
 * Guards against shedding requests of a short burst that could be in time. The
 * same burst meets an idle target and one that has been full for a second.
 */
static void test_admission_burst_below_overload(void)
{
	struct admission_item items[SIM_PLACES], req;
	struct admission_rank rank = { 1, 10000, 6 };
	struct admission a;

	admission_init(&a, SIM_PLACES, 72, 1.0);
	memset(items, 0, sizeof(items));
	memset(&req, 0, sizeof(req));
	/* Service times of 100 and 300 ms in turn: mean 200, spread 100. */
	for (int64_t i = 0; i < 200; i++) {
		admission_submit_ranked(&a, &req, "t", 0, FAR_DEADLINE_MS,
					&rank);
		admission_done(&a, &req, i % 2 ? 300 : 100);
	}
	for (size_t i = 0; i < SIM_PLACES; i++)
		g_assert_cmpint(admission_submit_ranked(&a, &items[i], "t",
							1000, FAR_DEADLINE_MS,
							&rank),
				==, ADMISSION_RUN);
	rank.soft_deadline_ms = 1000 + 280;
	g_assert_cmpint(admission_submit_ranked(&a, &req, "t", 1000,
						FAR_DEADLINE_MS, &rank),
			==, ADMISSION_QUEUE);
	admission_remove(&a, &req);
	rank.soft_deadline_ms = 2000 + 280;
	g_assert_cmpint(admission_submit_ranked(&a, &req, "t", 2000,
						FAR_DEADLINE_MS, &rank),
			==, ADMISSION_SHED);
	for (size_t i = 0; i < SIM_PLACES; i++)
		admission_done(&a, &items[i], 2100);
	admission_finish(&a);
}

/* Guards against a table of kinds that grows without bound. */
static void test_admission_kinds_bounded(void)
{
	struct admission a;

	admission_init(&a, 1, 1, 1.0);
	for (uint32_t i = 1; i <= 3 * ADMISSION_MAX_KINDS; i++) {
		const struct admission_rank rank = { 1, INT64_MAX, i };
		struct admission_item req;

		memset(&req, 0, sizeof(req));
		g_assert_cmpint(admission_submit_ranked(&a, &req, "t", 0,
							FAR_DEADLINE_MS, &rank),
				==, ADMISSION_RUN);
		admission_done(&a, &req, 1);
	}
	g_assert_cmpuint(HASH_COUNT(a.kinds), ==, ADMISSION_MAX_KINDS);
	admission_finish(&a);
}

/*
 * Guards against shares of the nodes that add up to more than the fleet's
 * limit in some window. Load: all requests of all nodes fail and are retried
 * if the share allows it.
 */
static void check_retry_shares(unsigned nodes, unsigned fleet_per_s)
{
	enum { WINDOW_S = 10 };
	struct retry_share *shares = g_new(struct retry_share, nodes);
	GRand *rand = g_rand_new_with_seed(nodes);
	double ratio = 0.2, slack = 60;
	unsigned taken[60] = { 0 };
	unsigned next = 0;

	for (unsigned n = 0; n < nodes; n++)
		retry_share_init(&shares[n]);
	for (int s = 0; s < 60; s++) {
		for (unsigned i = 0; i < fleet_per_s; i++) {
			struct retry_share *x = &shares[next++ % nodes];

			retry_share_request(x, ratio, slack, nodes);
			taken[s] += (unsigned)retry_share_take(
				x, g_rand_double(rand));
		}
	}
	for (int s = 0; s + WINDOW_S <= 60; s++) {
		unsigned sum = 0;

		for (int i = 0; i < WINDOW_S; i++)
			sum += taken[s + i];
		g_assert_cmpuint(
			sum, <=,
			(unsigned)(ratio * fleet_per_s * WINDOW_S + slack));
	}
	/* Retries are possible at all: for at least a tenth of the requests. */
	next = 0;
	for (int s = 20; s < 60; s++)
		next += taken[s];
	g_assert_cmpuint(next, >, fleet_per_s * 40 / 10);
	g_rand_free(rand);
	g_free(shares);
}

static void test_retry_share_fleet(void)
{
	check_retry_shares(18, 18 * 40);
}

/*
 * Guards against the same with more nodes than the slack has retries: a token
 * for each node would be 295 retries at once, of at most 220 in ten seconds.
 */
static void test_retry_share_many_nodes(void)
{
	check_retry_shares(295, 80);
}

#define LINK_KBPS 11000
#define BODY_BYTES 60000
#define SMALL_BYTES 500
/* Transfer time of one body on the idle link. */
#define BODY_MS ((double)BODY_BYTES * 8 / LINK_KBPS)

/*
 * Returns the mean time that a small request waits for the link, over a minute
 * in which bodies for 0.8 of the bandwidth are offered by nodes that are 8 ms
 * away.
 */
static double mean_small_wait_ms(int pulled)
{
	enum { BODIES = 2000, ROUND_TRIP_MS = 16 };
	static struct pull_item items[BODIES];
	static double done_ms[BODIES]; /* 0: not sent yet */
	GRand *rand = g_rand_new_with_seed(5);
	double link_free_ms = 0, wait_ms = 0;
	unsigned count = 0, small = 0;
	struct pull p;

	memset(items, 0, sizeof(items));
	memset(done_ms, 0, sizeof(done_ms));
	pull_init(&p, pulled ? LINK_KBPS : 0);
	for (int64_t now = 1; now < 60000; now++) {
		if (g_rand_double(rand) < 0.8 / BODY_MS && count < BODIES) {
			items[count].bytes = BODY_BYTES;
			items[count].deadline_ms = FAR_DEADLINE_MS;
			pull_add(&p, &items[count++]);
		}
		while (pull_next(&p, now))
			;
		for (unsigned i = 0; i < count; i++) {
			int64_t asked_ms = items[i].requested_ms;

			if (asked_ms && !done_ms[i] &&
			    now >= asked_ms + (pulled ? ROUND_TRIP_MS : 0)) {
				if (link_free_ms < (double)now)
					link_free_ms = (double)now;
				link_free_ms += BODY_MS;
				done_ms[i] = link_free_ms;
			}
			if (done_ms[i] > 0 && done_ms[i] <= (double)now &&
			    items[i].bytes) {
				pull_remove(&p, &items[i]);
				items[i].bytes = 0;
			}
		}
		small++;
		if (link_free_ms > (double)now)
			wait_ms += link_free_ms - (double)now;
	}
	g_rand_free(rand);
	return wait_ms / small;
}

/*
 * Guards against small requests that wait behind all large bodies. Load: bodies
 * of 60 kB for 0.8 of a link of 11 Mbit/s and small requests, for a minute.
 */
static void test_pull_small_requests(void)
{
	double pushed = mean_small_wait_ms(0);
	double pulled = mean_small_wait_ms(1);

	g_test_message("small requests wait %.0f ms behind pushed bodies, "
		       "%.0f ms behind pulled ones",
		       pushed, pulled);
	/* At most two bodies are in flight. */
	g_assert_cmpfloat(pulled, <, 2 * BODY_MS);
	g_assert_cmpfloat(pulled, <, pushed);
}

/* Guards against a body larger than the window blocking the link. */
static void test_pull_window(void)
{
	struct pull_item big = { .bytes = 1000000,
				 .deadline_ms = FAR_DEADLINE_MS };
	struct pull_item small = { .bytes = 20000,
				   .deadline_ms = FAR_DEADLINE_MS };
	struct pull p;

	pull_init(&p, LINK_KBPS);
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

/* Guards against requesting a body after its deadline. */
static void test_pull_deadline(void)
{
	struct pull_item late = { .bytes = 20000, .deadline_ms = 10 };
	struct pull p;

	pull_init(&p, LINK_KBPS);
	pull_add(&p, &late);
	g_assert_null(pull_next(&p, 10));
	g_assert_true(pull_overdue(&p, 10) == &late);
	pull_remove(&p, &late);
}

/* Guards against transferring a body whose request is then shed. */
static void test_admission_would_shed_after(void)
{
	const struct admission_rank rank = { 1, 1500, 3 };
	struct admission_item req;
	struct admission a;

	memset(&req, 0, sizeof(req));
	admission_init(&a, 2, 2, 1.0);
	admission_submit_ranked(&a, &req, "t", 0, FAR_DEADLINE_MS, &rank);
	admission_done(&a, &req, 400);
	g_assert_false(admission_would_shed_after(&a, &rank, 400, 10000, 500));
	g_assert_true(admission_would_shed_after(&a, &rank, 400, 10000, 800));
	g_assert_true(admission_would_shed_after(&a, &rank, 400, 1200, 500));
	/* Past the soft deadline: only while the link is nearly free. */
	g_assert_false(admission_would_shed_after(&a, &rank, 1600, 10000, 50));
	g_assert_true(admission_would_shed_after(&a, &rank, 1600, 10000, 500));
	admission_finish(&a);
}

/* Guards against a limit that is exceeded, never lifted, or never reached. */
static void test_rate_limit(void)
{
	struct rate_limit r;

	rate_limit_init(&r);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 1000, 0), ==, 0);
	rate_limit_set(&r, 20, 1000);
	/* It starts empty. */
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 0, 1000), ==, 50);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 3, 1000), ==, 200);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 0, 1050), ==, 0);
	rate_limit_take(&r, 1050);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 0, 1050), ==, 50);
	/* No more than the tokens of a second are kept. */
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 19, 60000), ==, 0);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 20, 60000), ==, 50);
	/* A new rate keeps what was saved, as far as it has room. */
	rate_limit_set(&r, 10, 60000);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 10, 60000), ==, 100);
	/* A target that takes nothing is asked now and then. */
	rate_limit_set(&r, 0, 60000);
	rate_limit_take(&r, 60000);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 0, 60000), <=, 2000);
	rate_limit_clear(&r);
	g_assert_cmpfloat(rate_limit_wait_ms(&r, 1000, 60000), ==, 0);
}

/* What the simulation of a target with a rate limit counts. */
struct rate_run {
	unsigned started;
	unsigned most_in_window; /* started in some four seconds */
	unsigned in_time;
	unsigned ended_waiting; /* that were queued and never ran */
	unsigned shed;
	unsigned bad_retry_after; /* shed without a time to come back */
};

#define RATE_WINDOW_MS 4000

static unsigned count_since(const struct admission_item *items, unsigned count,
			    int64_t since_ms)
{
	unsigned n = 0;

	for (unsigned i = 0; i < count; i++)
		n += items[i].started_ms && items[i].started_ms > since_ms;
	return n;
}

/*
 * Twice the requests that a target takes a second, for 20 s: 80/s of 60 ms at
 * a target with 16 places that names a limit of 40/s.
 */
static struct rate_run run_rate_limit(double limit_per_s)
{
	enum { ITEMS = 1600, EVERY_MS = 25, PAIR = 2, WORK_MS = 60 };
	static struct admission_item items[ITEMS];
	struct rate_run run = { 0 };
	unsigned next = 0;
	struct admission a;

	memset(items, 0, sizeof(items));
	admission_init(&a, 16, 64, 1.0);
	for (int64_t now = 1; next < ITEMS || a.running || a.queued; now++) {
		struct admission_item *item;
		unsigned recent;

		for (unsigned i = 0; i < next; i++) {
			if (items[i].state != ADMISSION_RUNNING ||
			    items[i].started_ms + WORK_MS > now)
				continue;
			admission_done(&a, &items[i], now);
			run.in_time += now - items[i].arrived_ms <= 250;
		}
		/* The first answer names the limit. */
		if (now == WORK_MS && limit_per_s > 0)
			admission_set_rate(&a, limit_per_s, now);
		while (admission_expire(&a, now))
			run.ended_waiting++;
		for (int k = 0; next < ITEMS && now % EVERY_MS == 0 && k < PAIR;
		     k++) {
			struct admission_rank rank = { 1, now + 250, 5 };

			item = &items[next++];
			if (admission_submit_ranked(&a, item, "t", now,
						    now + 1000,
						    &rank) != ADMISSION_SHED)
				continue;
			run.shed++;
			run.bad_retry_after +=
				admission_retry_after_ms(&a, now) <
				1000 / (limit_per_s > 0 ? limit_per_s : 1000);
		}
		while (admission_next(&a, now))
			;
		recent = count_since(items, next, now - RATE_WINDOW_MS);
		if (recent > run.most_in_window)
			run.most_in_window = recent;
	}
	run.started = count_since(items, next, 0);
	admission_finish(&a);
	return run;
}

/*
 * Guards against more requests than a target in need says that it takes, and
 * against requests that wait although they cannot run in time. Load: twice the
 * named rate, at a target whose places are mostly free.
 */
static void test_admission_rate(void)
{
	struct rate_run without = run_rate_limit(0);
	struct rate_run run = run_rate_limit(40);

	g_test_message("started %u, in time %u, shed %u, ended waiting %u, "
		       "at most %u in 4 s; without a limit %u in 4 s",
		       run.started, run.in_time, run.shed, run.ended_waiting,
		       run.most_in_window, without.most_in_window);
	/* One and a half times the rate, and 5, is what it must stay below. */
	g_assert_cmpuint(without.most_in_window, >, 1.5 * 40 * 4 + 5);
	g_assert_cmpuint(run.most_in_window, <=, 1.5 * 40 * 4 + 5);
	/* What the target takes is used, and nothing waits in vain. */
	g_assert_cmpuint(run.in_time, >=, 0.95 * 40 * 19);
	g_assert_cmpuint(run.ended_waiting, ==, 0);
	g_assert_cmpuint(run.shed, >, 0);
	g_assert_cmpuint(run.bad_retry_after, ==, 0);
}

/* Guards against places that are reported although the rate keeps them free. */
static void test_admission_usable_places(void)
{
	struct admission_item req = { 0 };
	struct admission a;

	admission_init(&a, 16, 4, 1.0);
	admission_set_rate(&a, 40, 0);
	g_assert_cmpuint(admission_usable_places(&a), ==, 16);
	g_assert_true(admission_submit(&a, &req, "t", 100, 5000) ==
		      ADMISSION_RUN);
	admission_done(&a, &req, 200);
	g_assert_cmpuint(admission_usable_places(&a), ==, 4);
	admission_set_rate(&a, 0, 200);
	g_assert_cmpuint(admission_usable_places(&a), ==, 1);
	admission_clear_rate(&a);
	g_assert_cmpuint(admission_usable_places(&a), ==, 16);
	admission_finish(&a);
}

/* Times of the requests that a target gets, with repeats. */
struct cold_run {
	struct cold_limit limit;
	GArray *sent_ms;
	GRand *rand;
};

/* Sends if that is allowed; a fifth of the requests is sent twice. */
static void cold_send(struct cold_run *run, int64_t now_ms)
{
	int twice = g_rand_double(run->rand) < 0.2;

	for (int i = 0; i <= twice; i++) {
		if (!cold_limit_may_send(&run->limit, now_ms))
			return;
		if (i)
			cold_limit_take(&run->limit, now_ms);
		cold_limit_note_sent(&run->limit, now_ms);
		g_array_append_val(run->sent_ms, now_ms);
	}
}

/*
 * Admits whatever the bucket allows, at times with gaps of up to half a second,
 * and sends it up to half a second later.
 */
static void cold_run_greedily(struct cold_run *run, int64_t from_ms,
			      int64_t until_ms)
{
	GArray *due = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (int64_t now = from_ms; now < until_ms; now++) {
		for (guint i = 0; i < due->len;) {
			if (g_array_index(due, int64_t, i) > now) {
				i++;
				continue;
			}
			g_array_remove_index_fast(due, i);
			cold_send(run, now);
		}
		if (g_rand_double(run->rand) < 0.01)
			now += g_rand_int_range(run->rand, 0, 500);
		while (cold_limit_wait_ms(&run->limit, 0, now) <= 0) {
			int64_t at =
				now + (g_rand_boolean(run->rand) ? 0 : 400);

			cold_limit_take(&run->limit, now);
			g_array_append_val(due, at);
		}
	}
	g_array_unref(due);
}

static unsigned most_in_a_second(const GArray *times, int64_t from_ms)
{
	unsigned most = 0;

	for (guint first = 0, last = 0; last < times->len; last++) {
		int64_t now = g_array_index(times, int64_t, last);

		while (g_array_index(times, int64_t, first) <= now - 1000)
			first++;
		if (now >= from_ms && last - first + 1 > most)
			most = last - first + 1;
	}
	return most;
}

/*
 * Guards against a cold target that gets more than 1.5 times its rate and 8 in
 * some second, by tokens that were saved, by connections that delay requests
 * and release them together, by requests that are sent twice, and by those of
 * the second before it was known to be cold.
 */
static void test_cold_limit(void)
{
	static const double rates[] = { 0.5, 1, 2.5, 10, 47, 333, 2000, 10000 };

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct cold_run run = { .rand = g_rand_new_with_seed(11) };
		int64_t start_ms = 5000;
		unsigned before;

		run.sent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
		cold_limit_init(&run.limit);
		/* A warm target has got twice its cold rate. */
		before = (unsigned)(2 * rates[i]);
		for (unsigned k = 0; k < before; k++) {
			int64_t at = start_ms - 1000 + k * 1000 / before;

			cold_limit_note_sent(&run.limit, at);
			g_array_append_val(run.sent_ms, at);
		}
		cold_limit_set(&run.limit, rates[i], start_ms);
		cold_run_greedily(&run, start_ms, start_ms + 30000);
		g_assert_cmpuint(most_in_a_second(run.sent_ms, start_ms + 1),
				 <=, (unsigned)MAX(1.5 * rates[i] + 8, before));
		g_assert_cmpuint(most_in_a_second(run.sent_ms, start_ms + 1000),
				 <=, (unsigned)(1.5 * rates[i] + 8));
		/* The rate is used. */
		g_assert_cmpuint(run.sent_ms->len - before, >=,
				 (unsigned)(0.8 * rates[i] * 29));
		g_rand_free(run.rand);
		g_array_unref(run.sent_ms);
	}
}

/* Requests begun in the worst second, and what became of those refused. */
struct cold_load {
	unsigned most_cold;
	unsigned begun_cold;
	unsigned shed_cold;
	unsigned shed_warm;
	unsigned bad_retry_after;
};

/*
 * 35 requests/s of 60 ms for 20 s at a target with 16 places that takes 10/s
 * while it is cold: in the first 5 s, and again from 12 s to 17 s.
 */
static struct cold_load run_cold_load(void)
{
	enum { ITEMS = 700, WORK_MS = 60 };
	static struct admission_item items[ITEMS];
	struct cold_load load = { 0 };
	GArray *begun = g_array_new(FALSE, FALSE, sizeof(int64_t));
	unsigned next = 0;
	struct admission a;

	memset(items, 0, sizeof(items));
	admission_init(&a, 16, 64, 1.0);
	admission_set_cold_rate(&a, 10, 0);
	for (int64_t now = 1; next < ITEMS; now++) {
		int cold = now < 5000 || (now >= 12000 && now < 17000);

		if (now == 5000 || now == 12000 || now == 17000)
			admission_set_cold_rate(&a, cold ? 10 : 0, now);
		for (unsigned i = 0; i < next; i++) {
			if (items[i].state == ADMISSION_RUNNING &&
			    items[i].started_ms + WORK_MS <= now)
				admission_done(&a, &items[i], now);
		}
		while (admission_expire(&a, now))
			;
		while (next < ITEMS && next * 1000 / 35 < now) {
			struct admission_rank rank = { 1, now + 800, 5 };

			if (admission_submit_ranked(&a, &items[next++], "t",
						    now, now + 3000,
						    &rank) != ADMISSION_SHED)
				continue;
			load.shed_cold += cold;
			load.shed_warm += !cold;
			load.bad_retry_after +=
				cold && admission_retry_after_ms(&a, now) < 100;
		}
		while (admission_next(&a, now))
			;
		for (unsigned i = 0; cold && i < next; i++) {
			if (items[i].started_ms != now)
				continue;
			cold_limit_note_sent(&a.cold, now);
			g_array_append_val(begun, now);
		}
	}
	load.begun_cold = begun->len;
	load.most_cold = most_in_a_second(begun, 0);
	g_array_unref(begun);
	admission_finish(&a);
	return load;
}

/*
 * Guards against a cold target that gets the 35 requests/s meant for it, also
 * when it turns cold in the middle, against a limit that stays once it is warm,
 * and against requests that are refused without a time to come back.
 */
static void test_admission_cold(void)
{
	struct cold_load load = run_cold_load();

	g_test_message("most in a second %u, begun %u, shed %u, shed warm %u",
		       load.most_cold, load.begun_cold, load.shed_cold,
		       load.shed_warm);
	g_assert_cmpuint(load.most_cold, <=, 1.5 * 10 + 8);
	g_assert_cmpuint(load.begun_cold, >=, 0.8 * 10 * 10);
	g_assert_cmpuint(load.shed_cold, >, 0);
	g_assert_cmpuint(load.shed_warm, ==, 0);
	g_assert_cmpuint(load.bad_retry_after, ==, 0);
}

/*
 * Guards against answers of 540 KB for 200 callers that do not read them, which
 * a budget of 16 MiB has to keep from being begun, and against small answers
 * that are refused with them.
 */
static void test_byte_budget(void)
{
	enum { LARGE = 1, SMALL = 2, BYTES = 540 * 1024 };
	const size_t limit = 16 * 1024 * 1024;
	struct byte_budget b;
	size_t held = 0, taken;
	unsigned begun = 0;

	byte_budget_init(&b, limit);
	/* Before its first answer, a kind may take more than is known. */
	while (byte_budget_take(&b, LARGE, 0, &taken))
		begun++;
	g_assert_cmpuint(begun, ==, 16);
	byte_budget_give_back(&b, 16 * BYTE_BUDGET_UNKNOWN_BYTES);
	byte_budget_note(&b, LARGE, BYTES);
	byte_budget_note(&b, SMALL, 900);
	byte_budget_note(&b, LARGE, 40000);
	begun = 0;
	for (int caller = 0; caller < 200; caller++) {
		if (!byte_budget_take(&b, LARGE, held, &taken))
			continue;
		byte_budget_give_back(&b, taken);
		held += BYTES;
		begun++;
	}
	g_assert_cmpuint(held, <=, limit + BYTES);
	g_assert_cmpuint(begun, >=, 29);
	g_assert_true(byte_budget_take(&b, SMALL, held, &taken));
	g_assert_cmpuint(taken, ==, 0);
	g_assert_true(byte_budget_take(&b, LARGE, 0, &taken));
	g_assert_cmpuint(b.reserved, ==, taken);
	byte_budget_finish(&b);
	byte_budget_init(&b, 0);
	g_assert_true(byte_budget_take(&b, LARGE, SIZE_MAX / 2, &taken));
	byte_budget_finish(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/limit", test_admission_limit);
	g_test_add_func("/admission/fifo", test_admission_fifo);
	g_test_add_func("/admission/tenant-share", test_admission_tenant_share);
	g_test_add_func("/admission/deadline", test_admission_deadline);
	g_test_add_func("/admission/limit-falls", test_admission_limit_falls);
	g_test_add_func("/admission/rank", test_admission_rank_order);
	g_test_add_func("/admission/past-soft-deadline",
			test_admission_past_soft_deadline);
	g_test_add_func("/admission/displaced", test_admission_displaced);
	g_test_add_func("/admission/overload", test_admission_overload);
	g_test_add_func("/admission/below-capacity",
			test_admission_below_capacity);
	g_test_add_func("/admission/service-time-by-kind",
			test_admission_service_time_by_kind);
	g_test_add_func("/admission/spread-margin",
			test_admission_spread_margin);
	g_test_add_func("/admission/burst",
			test_admission_burst_below_overload);
	g_test_add_func("/admission/kinds-bounded",
			test_admission_kinds_bounded);
	g_test_add_func("/admission/would-shed-after",
			test_admission_would_shed_after);
	g_test_add_func("/rate_limit/bucket", test_rate_limit);
	g_test_add_func("/admission/rate", test_admission_rate);
	g_test_add_func("/byte_budget/slow-callers", test_byte_budget);
	g_test_add_func("/cold_limit/bound", test_cold_limit);
	g_test_add_func("/admission/cold", test_admission_cold);
	g_test_add_func("/admission/usable-places",
			test_admission_usable_places);
	g_test_add_func("/pull/small-requests", test_pull_small_requests);
	g_test_add_func("/pull/window", test_pull_window);
	g_test_add_func("/pull/deadline", test_pull_deadline);
	g_test_add_func("/retry_share/fleet", test_retry_share_fleet);
	g_test_add_func("/retry_share/many_nodes", test_retry_share_many_nodes);
	g_test_add_func("/retry_budget/outage", test_retry_budget_outage);
	g_test_add_func("/retry_budget/cap", test_retry_budget_cap);
	g_test_add_func("/adaptive_limit/range", test_adaptive_limit_range);
	g_test_add_func("/adaptive_limit/queueing",
			test_adaptive_limit_queueing);
	g_test_add_func("/adaptive_limit/slow", test_adaptive_limit_slow);
	return g_test_run();
}
