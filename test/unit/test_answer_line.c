#include "limits/answer_line.h"

#include <glib.h>

/*
 * Tests of the order of large answers on a slow line, without a network. The
 * load: quotes of 5 KB and downloads of 90 KB on a line of 10 Mbit/s, which is
 * full at 14 downloads a second.
 */

#define KBPS 10000
#define QUOTE 1
#define DOWNLOAD 2
#define QUOTE_BYTES 5000
#define DOWNLOAD_BYTES 90000

static void learn(struct answer_line *l)
{
	answer_line_init(l, KBPS);
	answer_line_note(l, QUOTE, QUOTE_BYTES);
	answer_line_note(l, DOWNLOAD, DOWNLOAD_BYTES);
}

/* Guards against small answers that are held back or refused. */
static void test_small_answers_pass(void)
{
	struct answer_line l;

	learn(&l);
	g_assert_false(answer_line_is_large(&l, QUOTE_BYTES));
	g_assert_true(answer_line_is_large(&l, DOWNLOAD_BYTES));
	for (int i = 0; i < 50; i++)
		answer_line_begin(&l, DOWNLOAD);
	g_assert_cmpint(answer_line_wait_ms(&l, QUOTE, 1), ==, 0);
	g_assert_cmpint(answer_line_wait_ms(&l, DOWNLOAD, 1), >, 3000);
	answer_line_finish(&l);
}

/*
 * Guards against twenty downloads that end together and keep the line busy for
 * 1.4 s, with each small answer behind all of them.
 */
static void test_burst_of_downloads(void)
{
	struct answer_line_item items[20] = { 0 };
	struct answer_line l;
	int64_t now_ms = 1000, wait_ms;
	size_t sent = 0, in_transit_at_once = 0;

	learn(&l);
	for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
		items[i].bytes = DOWNLOAD_BYTES;
		answer_line_add(&l, &items[i]);
	}
	while (l.items) {
		struct answer_line_item *item =
			answer_line_next(&l, now_ms, &wait_ms);

		if (item) {
			g_assert_true(item == &items[sent]);
			sent++;
			in_transit_at_once++;
			continue;
		}
		g_assert_cmpuint(in_transit_at_once, <=, 1);
		g_assert_cmpint(wait_ms, >, 0);
		now_ms += wait_ms;
		in_transit_at_once = 0;
	}
	g_assert_cmpuint(sent, ==, G_N_ELEMENTS(items));
	/* 20 x 72 ms, less what the last one takes, at 85% of the line. */
	g_assert_cmpint(now_ms - 1000, >=, 19 * 72);
	g_assert_cmpint(now_ms - 1000, <=, 20 * 90);
	answer_line_finish(&l);
}

/* Guards against a backlog that is not given back: all would be refused. */
static void test_backlog_ends(void)
{
	struct answer_line_item item = { .bytes = DOWNLOAD_BYTES };
	struct answer_line l;
	int64_t idle_ms, wait_ms;

	learn(&l);
	idle_ms = answer_line_wait_ms(&l, DOWNLOAD, 1);
	g_assert_cmpint(idle_ms, >, 0);
	g_assert_true(answer_line_begin(&l, DOWNLOAD));
	g_assert_cmpint(answer_line_wait_ms(&l, DOWNLOAD, 1), >, idle_ms);
	answer_line_end(&l, DOWNLOAD);
	answer_line_add(&l, &item);
	answer_line_remove(&l, &item);
	answer_line_remove(&l, &item);
	g_assert_cmpint(answer_line_wait_ms(&l, DOWNLOAD, 1), ==, idle_ms);
	g_assert_null(answer_line_next(&l, 1, &wait_ms));
	g_assert_cmpint(wait_ms, ==, -1);
	answer_line_finish(&l);
}

/* Guards against a line that is idle for no caller, or while it is busy. */
static void test_idle(void)
{
	struct answer_line_item item = { .bytes = DOWNLOAD_BYTES };
	struct answer_line l;
	int64_t wait_ms;

	learn(&l);
	g_assert_true(answer_line_is_idle(&l, 1));
	answer_line_begin(&l, DOWNLOAD);
	g_assert_false(answer_line_is_idle(&l, 1));
	answer_line_end(&l, DOWNLOAD);
	answer_line_add(&l, &item);
	g_assert_false(answer_line_is_idle(&l, 1));
	g_assert_true(answer_line_next(&l, 1, &wait_ms) == &item);
	g_assert_false(answer_line_is_idle(&l, 1));
	g_assert_true(answer_line_is_idle(&l, l.busy_until_ms));
	answer_line_finish(&l);
}

/* Guards against any effect where the rate of the line is not known. */
static void test_unknown_rate(void)
{
	struct answer_line l;

	answer_line_init(&l, 0);
	answer_line_note(&l, DOWNLOAD, DOWNLOAD_BYTES);
	g_assert_false(answer_line_is_large(&l, 16 * 1024 * 1024));
	g_assert_false(answer_line_begin(&l, DOWNLOAD));
	g_assert_cmpint(answer_line_wait_ms(&l, DOWNLOAD, 1), ==, 0);
	g_assert_null(l.kinds);
	answer_line_finish(&l);
}

/* Guards against a table that grows with each new route. */
static void test_kinds_are_bounded(void)
{
	struct answer_line l;

	answer_line_init(&l, KBPS);
	for (uint32_t i = 1; i <= 10 * ANSWER_LINE_MAX_KINDS; i++)
		answer_line_note(&l, i, DOWNLOAD_BYTES);
	g_assert_cmpuint(HASH_COUNT(l.kinds), ==, ANSWER_LINE_MAX_KINDS);
	answer_line_end(&l, 1);
	answer_line_finish(&l);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer_line/small_answers_pass",
			test_small_answers_pass);
	g_test_add_func("/answer_line/burst_of_downloads",
			test_burst_of_downloads);
	g_test_add_func("/answer_line/backlog_ends", test_backlog_ends);
	g_test_add_func("/answer_line/idle", test_idle);
	g_test_add_func("/answer_line/unknown_rate", test_unknown_rate);
	g_test_add_func("/answer_line/kinds_are_bounded",
			test_kinds_are_bounded);
	return g_test_run();
}
