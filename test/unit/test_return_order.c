#include "limits/return_order.h"

#include <glib.h>

#define CALLERS 2700
#define RATE_PER_S 500

/*
 * Guards against callers that return together: 2,700 are refused in one second
 * by gates that serve 500 requests/s, as after a burst. Counts those told to
 * return in each 100 ms. Returns how many are told none.
 */
static unsigned refuse_burst(int64_t left_ms, unsigned per_100ms[200])
{
	struct return_request q = { .work = 1,
				    .service_ms = 100,
				    .left_ms = left_ms };
	struct return_order r;
	unsigned none = 0;

	return_order_init(&r);
	for (unsigned i = 0; i < CALLERS; i++) {
		int64_t now = 1000 + i * 1000 / CALLERS;
		uint32_t ms =
			return_order_assign(&r, &q, RATE_PER_S / 1000., now);

		if (!ms) {
			none++;
			continue;
		}
		g_assert_cmpuint(ms, >=, RETURN_ORDER_MIN_MS);
		g_assert_cmpint(ms, <=, left_ms / 3);
		per_100ms[(now + ms) / 100]++;
	}
	return none;
}

static void test_burst(void)
{
	unsigned per_100ms[200] = { 0 };
	unsigned returned = 0;

	g_assert_cmpuint(refuse_burst(20000, per_100ms), ==, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS(per_100ms); i++) {
		g_assert_cmpuint(per_100ms[i], <=, RATE_PER_S / 10 + 1);
		returned += per_100ms[i];
	}
	g_assert_cmpuint(returned, ==, CALLERS);
	/* 2,700 at 500/s take 5.4 s; there is no gap before the last. */
	for (unsigned i = 13; i < 64; i++)
		g_assert_cmpuint(per_100ms[i], >=, RATE_PER_S / 10 - 1);
}

/* Guards against promises that cannot be kept before the time limit. */
static void test_short_limit(void)
{
	unsigned per_100ms[200] = { 0 };
	unsigned none = refuse_burst(3000, per_100ms);

	/* The room of the time from 0.2 s to 2 s, which is 900 requests. */
	g_assert_cmpuint(none, >=, CALLERS - 900 - RATE_PER_S / 10);
	g_assert_cmpuint(none, <, CALLERS - 800);
}

/* Guards against a promise that leaves less than the service takes. */
static void test_service_time(void)
{
	struct return_request q = { .work = 1,
				    .service_ms = 700,
				    .left_ms = 800 };
	struct return_order r;

	return_order_init(&r);
	g_assert_cmpuint(return_order_assign(&r, &q, 1, 1000), ==, 0);
	q.service_ms = 500;
	g_assert_cmpuint(return_order_assign(&r, &q, 1, 1000), >, 0);
	q.left_ms = -5;
	g_assert_cmpuint(return_order_assign(&r, &q, 1, 1000), ==, 0);
}

/*
 * Guards against high ranks that return after low ones: 1,000 requests of
 * priority 2 come first and leave room for the others in each slice.
 */
static void test_ranks(void)
{
	struct return_request q = { .work = 1, .left_ms = 30000 };
	uint32_t last[3] = { 0 };
	struct return_order r;

	return_order_init(&r);
	for (unsigned i = 0; i < 1000; i++) {
		q.priority = 2;
		last[2] = return_order_assign(&r, &q, 0.5, 1000);
	}
	for (unsigned i = 0; i < 50; i++) {
		q.priority = 1;
		last[1] = return_order_assign(&r, &q, 0.5, 1000);
		q.priority = 0;
		last[0] = return_order_assign(&r, &q, 0.5, 1000);
	}
	g_assert_cmpuint(last[0], <, 1500);
	g_assert_cmpuint(last[1], <, 1500);
	g_assert_cmpuint(last[2], >, 2000);
}

/* Guards against work of slices that have passed, and against no room at all.
 */
static void test_slices_pass(void)
{
	struct return_request q = { .work = 25, .left_ms = 100000 };
	struct return_order r;

	return_order_init(&r);
	g_assert_cmpuint(return_order_assign(&r, &q, 0.5, 1000), ==, 200);
	g_assert_cmpuint(return_order_assign(&r, &q, 0.5, 1000), ==, 250);
	for (int64_t now = 1000; now < 30000; now += 50)
		g_assert_cmpuint(return_order_assign(&r, &q, 0.5, now), <=,
				 300);
	g_assert_cmpuint(return_order_assign(&r, &q, 0.5, 100000), ==, 200);
	q.work = 1000000;
	g_assert_cmpuint(return_order_assign(&r, &q, 0, 100000), ==, 250);
}

/* Returns when the last of `count` refused requests is told to return. */
static uint32_t last_told(double work, double work_per_ms, unsigned count)
{
	struct return_request q = { .work = work, .left_ms = 30000 };
	struct return_order r;
	uint32_t ms = 0;

	return_order_init(&r);
	for (unsigned i = 0; i < count; i++)
		ms = return_order_assign(&r, &q, work_per_ms, 1000);
	return ms;
}

/*
 * Guards against requests that take more than a slice and return as if each
 * fitted into one: 20 at 5/s, 31 at 12/s, and 10 of 340 ms at one place.
 */
static void test_more_than_a_slice(void)
{
	uint32_t ms = last_told(1, 5. / 1000, 20);

	g_assert_cmpuint(ms, >=, 200 + 19 * 200 - 50);
	g_assert_cmpuint(ms, <=, 200 + 19 * 200 + 50);
	ms = last_told(1, 12. / 1000, 31);
	g_assert_cmpuint(ms, >=, 200 + 2500 - 50);
	g_assert_cmpuint(ms, <=, 200 + 2500 + 50);
	ms = last_told(340, 1, 10);
	g_assert_cmpuint(ms, >=, 200 + 9 * 340 - 50);
	g_assert_cmpuint(ms, <=, 200 + 9 * 340 + 50);
}

/* Guards against such requests that take the room of higher ranks. */
static void test_rank_with_more_than_a_slice(void)
{
	struct return_request q = { .work = 1, .left_ms = 30000 };
	struct return_order r;

	return_order_init(&r);
	q.priority = 2;
	for (unsigned i = 0; i < 10; i++)
		return_order_assign(&r, &q, 5. / 1000, 1000);
	q.priority = 0;
	g_assert_cmpuint(return_order_assign(&r, &q, 5. / 1000, 1000), <=, 250);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/return-order/burst", test_burst);
	g_test_add_func("/return-order/short-limit", test_short_limit);
	g_test_add_func("/return-order/service-time", test_service_time);
	g_test_add_func("/return-order/ranks", test_ranks);
	g_test_add_func("/return-order/slices-pass", test_slices_pass);
	g_test_add_func("/return-order/more-than-a-slice",
			test_more_than_a_slice);
	g_test_add_func("/return-order/rank-with-more-than-a-slice",
			test_rank_with_more_than_a_slice);
	return g_test_run();
}
