#include "common/cnt.h"
#include "common/hist.h"
#include "protocol/frame.h"

#include <glib.h>

/* Guards against quantiles that are off by more than one sixteenth. */
static void test_hist_quantile(void)
{
	struct hist h;

	hist_init(&h);
	for (uint64_t i = 1; i <= 1000; i++)
		hist_add(&h, i);
	g_assert_cmpuint(hist_quantile(&h, 0.5), >=, 500);
	g_assert_cmpuint(hist_quantile(&h, 0.5), <=, 532);
	g_assert_cmpuint(hist_quantile(&h, 1.0), ==, 1000);
	g_assert_cmpuint(hist_quantile(&h, 0.99), >=, 990);
}

/* Guards against unbounded memory use when callers choose the labels. */
static void test_counter_series_are_bounded(void)
{
	struct cnt c;
	struct buf out;

	cnt_init(&c);
	for (int i = 0; i < CNT_MAX_SERIES + 100; i++) {
		char labels[32];

		g_snprintf(labels, sizeof(labels), "tenant=\"%d\"", i);
		cnt_add(&c, "requests", labels, 1);
	}
	g_assert_cmpuint(HASH_COUNT(c.series), <=, CNT_MAX_SERIES + 1);
	g_assert_cmpuint(cnt_get(&c, "requests", "overflow=\"1\""), ==, 100);
	buf_init(&out);
	cnt_write(&c, &out);
	g_assert_nonnull(strstr(buf_text(&out),
				"monsoonpin_requests_total{tenant=\"7\"} 1\n"));
	buf_finish(&out);
	cnt_finish(&c);
}

/* Guards against metrics that Prometheus cannot read or misreads. */
static void test_metrics_format(void)
{
	struct cnt c;
	struct buf out;

	cnt_init(&c);
	cnt_gauge(&c, "coordinator", "", 1);
	cnt_add(&c, "calls", "kind=\"a\"", 2);
	cnt_add(&c, "calls", "kind=\"b\"", 3);
	cnt_set(&c, "cpu_us", "", 2500000);
	cnt_sample(&c, "wait_ms", "", 3);
	cnt_sample(&c, "wait_ms", "", 700);
	buf_init(&out);
	cnt_write(&c, &out);
	g_assert_cmpstr(buf_text(&out), ==,
			"# TYPE monsoonpin_calls_total counter\n"
			"monsoonpin_calls_total{kind=\"a\"} 2\n"
			"monsoonpin_calls_total{kind=\"b\"} 3\n"
			"# TYPE monsoonpin_coordinator gauge\n"
			"monsoonpin_coordinator 1\n"
			"# TYPE monsoonpin_cpu_seconds_total counter\n"
			"monsoonpin_cpu_seconds_total 2.500000\n"
			"# TYPE monsoonpin_wait_seconds histogram\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.001\"} 0\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.002\"} 0\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.005\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.01\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.02\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.05\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.1\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.2\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"0.5\"} 1\n"
			"monsoonpin_wait_seconds_bucket{le=\"1\"} 2\n"
			"monsoonpin_wait_seconds_bucket{le=\"2\"} 2\n"
			"monsoonpin_wait_seconds_bucket{le=\"5\"} 2\n"
			"monsoonpin_wait_seconds_bucket{le=\"10\"} 2\n"
			"monsoonpin_wait_seconds_bucket{le=\"+Inf\"} 2\n"
			"monsoonpin_wait_seconds_sum 0.703000\n"
			"monsoonpin_wait_seconds_count 2\n");
	buf_finish(&out);
	cnt_finish(&c);
}

/* Guards against decoding a frame before TCP has delivered all of it. */
static void test_frame_round_trip(void)
{
	Wire__Query q = WIRE__QUERY__INIT;
	struct frame f;
	struct buf b;
	size_t used;

	buf_init(&b);
	q.attempt = 0x1122334455667788;
	g_assert_cmpint(frame_encode(FRAME_QUERY, &q.base, &b), ==, ERR_OK);
	for (size_t n = 0; n < b.len; n++) {
		g_assert_cmpint(frame_decode(b.data, n, &f, &used), ==, ERR_OK);
		g_assert_cmpuint(used, ==, 0);
	}
	g_assert_cmpint(frame_decode(b.data, b.len, &f, &used), ==, ERR_OK);
	g_assert_cmpuint(used, ==, b.len);
	g_assert_cmpuint(((Wire__Query *)f.msg)->attempt, ==, q.attempt);
	frame_finish(&f);
	buf_finish(&b);
}

/* Guards against trusting a length, type or message received from outside. */
static void test_frame_refuses_malformed(void)
{
	static const uint8_t huge[] = { 0x7f, 0xff, 0xff, 0xff, 1 };
	static const uint8_t empty[] = { 0, 0, 0, 0, 1 };
	static const uint8_t type[] = { 0, 0, 0, 1, 200 };
	static const uint8_t body[] = { 0, 0, 0, 3, FRAME_QUERY, 0xff, 0xff };
	struct frame f;
	size_t used;

	g_assert_cmpint(frame_decode(huge, sizeof(huge), &f, &used), ==,
			ERR_TOO_LARGE);
	g_assert_cmpint(frame_decode(empty, sizeof(empty), &f, &used), ==,
			ERR_MALFORMED);
	g_assert_cmpint(frame_decode(type, sizeof(type), &f, &used), ==,
			ERR_MALFORMED);
	g_assert_cmpint(frame_decode(body, sizeof(body), &f, &used), ==,
			ERR_MALFORMED);
}

#define LARGE_SLOTS 4096

/* A map change as after the first assignment of a large fleet. */
static void encode_large_delta(struct buf *plain, struct buf *deflated)
{
	static Wire__MapSlot slots[LARGE_SLOTS];
	static Wire__MapSlot *list[LARGE_SLOTS];
	Wire__MapDelta d = WIRE__MAP_DELTA__INIT;

	for (uint32_t i = 0; i < LARGE_SLOTS; i++) {
		wire__map_slot__init(&slots[i]);
		slots[i].slot = i;
		slots[i].owner = 1 + i % 150;
		slots[i].fence = 25;
		list[i] = &slots[i];
	}
	d.n_slots = LARGE_SLOTS;
	d.slots = list;
	buf_init(plain);
	buf_init(deflated);
	g_assert_cmpint(frame_encode(FRAME_MAP_PUSH, &d.base, plain), ==,
			ERR_OK);
	g_assert_cmpint(
		frame_encode_deflated(FRAME_MAP_PUSH, &d.base, deflated), ==,
		ERR_OK);
}

/*
 * Guards against pushes that fill the coordinator's network link: 295 members
 * on a link of 20 Mbit/s have room for 17 kB each within two seconds.
 */
static void test_frame_deflated(void)
{
	struct buf plain, deflated;
	const Wire__MapDelta *d;
	struct frame f;
	size_t used;

	encode_large_delta(&plain, &deflated);
	g_assert_cmpuint(deflated.len, <, 17000);
	g_assert_cmpint(
		frame_decode(deflated.data, deflated.len - 1, &f, &used), ==,
		ERR_OK);
	g_assert_cmpuint(used, ==, 0);
	g_assert_cmpint(frame_decode(deflated.data, deflated.len, &f, &used),
			==, ERR_OK);
	g_assert_cmpuint(used, ==, deflated.len);
	g_assert_cmpint(f.type, ==, FRAME_MAP_PUSH);
	d = (const Wire__MapDelta *)f.msg;
	g_assert_cmpuint(d->n_slots, ==, LARGE_SLOTS);
	g_assert_cmpuint(d->slots[4095]->owner, ==, 1 + 4095 % 150);
	frame_finish(&f);
	buf_finish(&plain);
	buf_finish(&deflated);
}

/* Guards against trusting the size or the type of a compressed message. */
static void test_frame_deflated_malformed(void)
{
	static const uint8_t type[] = { 0, 0, 0, 5, FRAME_QUERY | 0x80,
					0, 0, 0, 1 };
	static const uint8_t no_size[] = { 0, 0, 0, 3, FRAME_MAP_PUSH | 0x80,
					   0, 0 };
	static const size_t changed[] = { 5, 6, 8, 40 };
	struct buf plain, deflated;
	struct frame f;
	size_t used;

	g_assert_cmpint(frame_decode(type, sizeof(type), &f, &used), ==,
			ERR_MALFORMED);
	g_assert_cmpint(frame_decode(no_size, sizeof(no_size), &f, &used), ==,
			ERR_MALFORMED);
	encode_large_delta(&plain, &deflated);
	for (size_t i = 0; i < G_N_ELEMENTS(changed); i++) {
		deflated.data[changed[i]] ^= 0x7f;
		g_assert_cmpint(
			frame_decode(deflated.data, deflated.len, &f, &used),
			==, ERR_MALFORMED);
		deflated.data[changed[i]] ^= 0x7f;
	}
	buf_finish(&plain);
	buf_finish(&deflated);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hist/quantile", test_hist_quantile);
	g_test_add_func("/cnt/bounded", test_counter_series_are_bounded);
	g_test_add_func("/common/metrics_format", test_metrics_format);
	g_test_add_func("/frame/round_trip", test_frame_round_trip);
	g_test_add_func("/frame/malformed", test_frame_refuses_malformed);
	g_test_add_func("/frame/deflated", test_frame_deflated);
	g_test_add_func("/frame/deflated_malformed",
			test_frame_deflated_malformed);
	return g_test_run();
}
