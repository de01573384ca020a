#include "placement/selector.h"

#include <glib.h>
#include <string.h>

/*
 * Choice by weight, for many nodes that have seen the same reports. Each
 * chooser is one selector; nothing that one sends is known to another.
 */

#define CHOOSERS 87
#define MAX_TARGETS 29
#define PLACES 12
#define LATENCY_MS 340
#define REPORT_MS 1000
/* Age of the reports when the choosers choose. */
#define NOW_MS (REPORT_MS + 200)
#define BYTES 2048

struct fleet {
	struct selector choosers[CHOOSERS];
	struct selector_candidate list[MAX_TARGETS];
	size_t count;
	GRand *rand;
	unsigned sent[MAX_TARGETS];
};

static void fleet_init(struct fleet *f, size_t count, int spread)
{
	*f = (struct fleet){ .count = count };
	f->rand = g_rand_new_with_seed(11);
	for (size_t i = 0; i < CHOOSERS; i++) {
		selector_init(&f->choosers[i]);
		selector_set_spread(&f->choosers[i], spread);
	}
	for (size_t i = 0; i < count; i++) {
		f->list[i].id = (uint32_t)i + 1;
		f->list[i].distance = SELECTOR_SAME_DATA_CENTRE;
		f->list[i].places = PLACES;
	}
}

static void fleet_finish(struct fleet *f)
{
	for (size_t i = 0; i < CHOOSERS; i++)
		selector_finish(&f->choosers[i]);
	g_rand_free(f->rand);
}

/* The end of a request of every chooser, with the same report to all. */
static void report_places(struct fleet *f, size_t target, uint32_t load,
			  double speed, enum selector_outcome outcome,
			  uint32_t places)
{
	uint32_t running = MIN(load, places);
	const struct selector_load l = {
		.running = running,
		.queued = load - running,
		.places = places,
		.latency_us = (uint32_t)(LATENCY_MS * 1000 / speed),
	};

	for (size_t i = 0; i < CHOOSERS; i++) {
		selector_note_sent(&f->choosers[i], f->list[target].id);
		selector_note_ended(&f->choosers[i], f->list[target].id,
				    outcome, &l, REPORT_MS);
	}
}

static void report_outcome(struct fleet *f, size_t target, uint32_t load,
			   double speed, enum selector_outcome outcome)
{
	report_places(f, target, load, speed, outcome, PLACES);
}

static void report(struct fleet *f, size_t target, uint32_t load, double speed)
{
	report_outcome(f, target, load, speed, SELECTOR_ANSWERED);
}

/* Each chooser sends `rounds` requests and learns nothing in between. */
static void choose_all(struct fleet *f, unsigned rounds)
{
	memset(f->sent, 0, sizeof(f->sent));
	for (size_t i = 0; i < CHOOSERS * rounds; i++) {
		struct selector *s = &f->choosers[i % CHOOSERS];
		size_t k = selector_pick(s, f->list, f->count, 0, BYTES, NOW_MS,
					 g_rand_double(f->rand), NULL);

		g_assert_cmpuint(k, <, f->count);
		f->sent[k]++;
	}
}

static unsigned sent_to(const struct fleet *f, size_t from, size_t to)
{
	unsigned n = 0;

	for (size_t i = from; i < to; i++)
		n += f->sent[i];
	return n;
}

/*
 * Guards against all nodes sending to the target that their common report shows
 * idle. Load: 87 choosers send one request each, one target has 12 free places,
 * 28 have none.
 */
static void test_common_report(void)
{
	struct fleet f;

	fleet_init(&f, MAX_TARGETS, 1);
	for (size_t i = 0; i < f.count; i++)
		report(&f, i, i == 4 ? 0 : PLACES, 1);
	choose_all(&f, 1);
	for (size_t i = 0; i < f.count; i++)
		g_assert_cmpuint(f.sent[i], <=, PLACES);
	fleet_finish(&f);
}

/*
 * Guards against an effect of the module where it is off. Load: as
 * test_common_report; all choose the idle target.
 */
static void test_off(void)
{
	struct fleet f;

	fleet_init(&f, MAX_TARGETS, 0);
	for (size_t i = 0; i < f.count; i++)
		report(&f, i, i == 4 ? 0 : PLACES + 4, 1);
	choose_all(&f, 1);
	g_assert_cmpuint(f.sent[4], ==, CHOOSERS);
	fleet_finish(&f);
}

/*
 * Guards against slow targets that get as much as fast ones, and against ones
 * that get nothing. Load: 87 choosers, 20 requests each at a load of 0.5, six
 * targets of which three work at a third of the speed.
 */
static void test_uneven_speeds(void)
{
	struct fleet f;
	unsigned fast;

	fleet_init(&f, 6, 1);
	for (size_t i = 0; i < f.count; i++)
		report(&f, i, PLACES / 2, i < 3 ? 1.5 : 0.5);
	choose_all(&f, 20);
	fast = sent_to(&f, 0, 3);
	g_assert_cmpuint(fast, >, CHOOSERS * 20 * 3 / 4);
	g_assert_cmpuint(fast, <, CHOOSERS * 20);
	fleet_finish(&f);
}

/*
 * Guards against room that is not used. Load: 87 choosers, 20 requests each, of
 * which every one may go to four targets; five of six targets are full and have
 * a queue.
 */
static void test_only_one_with_room(void)
{
	struct fleet f;
	unsigned found = 0;

	fleet_init(&f, 6, 1);
	for (size_t i = 0; i < f.count; i++)
		report(&f, i, i == 2 ? 2 : 3 * PLACES, 1);
	choose_all(&f, 20);
	for (size_t i = 0; i < CHOOSERS; i++) {
		struct selector_candidate left[6];
		size_t count = f.count;
		size_t k = 0;

		memcpy(left, f.list, sizeof(left));
		for (int tries = 0; tries < 4 && count; tries++) {
			k = selector_pick(&f.choosers[i], left, count, 0, BYTES,
					  NOW_MS, g_rand_double(f.rand), NULL);
			if (left[k].id == 3)
				break;
			left[k] = left[--count];
		}
		found += left[k].id == 3;
	}
	/* Its part by capacity alone would be a sixth. */
	g_assert_cmpuint(f.sent[2], >, CHOOSERS * 20 / 4);
	g_assert_cmpuint(found, >, CHOOSERS * 4 / 5);
	fleet_finish(&f);
}

/*
 * Guards against a request without a target, and against uneven queues, when
 * all targets are full. Load: 87 choosers, 20 requests each, six full targets.
 */
static void test_all_full(void)
{
	struct fleet f;

	fleet_init(&f, 6, 1);
	for (size_t i = 0; i < f.count; i++)
		report(&f, i, 4 * PLACES, 1);
	choose_all(&f, 20);
	for (size_t i = 0; i < f.count; i++)
		g_assert_cmpuint(f.sent[i], <, 2 * CHOOSERS * 20 / 6);
	fleet_finish(&f);
}

/*
 * Guards against requests to a target that fails, and against its failures
 * making its data centre look full. Load: 87 choosers, 20 requests each at a
 * load of 0.25; one of three near targets fails, three are in another region.
 */
static void test_failing(void)
{
	struct fleet f;

	fleet_init(&f, 6, 1);
	for (size_t i = 0; i < f.count; i++) {
		if (i >= 3)
			f.list[i].distance = SELECTOR_OTHER_REGION;
		report_outcome(&f, i, PLACES / 4, 1,
			       i == 1 ? SELECTOR_UNREACHABLE
				      : SELECTOR_ANSWERED);
	}
	choose_all(&f, 20);
	g_assert_cmpuint(f.sent[1], <, CHOOSERS * 20 / 50);
	g_assert_cmpuint(sent_to(&f, 3, 6), ==, 0);
	fleet_finish(&f);
}

/*
 * Guards against paid traffic for requests that fit nearby, and against
 * targets nearby that are overrun while other regions idle. Load: 87 choosers,
 * 20 requests each, three targets in the region, three in another one. At a
 * load of 0.8 all stay; with a queue as long as the places most leave.
 */
static void test_region(void)
{
	struct fleet f;

	fleet_init(&f, 6, 1);
	for (size_t i = 0; i < f.count; i++) {
		f.list[i].distance =
			i < 3 ? SELECTOR_SAME_REGION : SELECTOR_OTHER_REGION;
		report(&f, i, i < 3 ? PLACES * 8 / 10 : 0, 1);
	}
	choose_all(&f, 20);
	g_assert_cmpuint(sent_to(&f, 3, 6), ==, 0);
	for (size_t i = 0; i < 3; i++)
		report(&f, i, 3 * PLACES, 1);
	choose_all(&f, 20);
	g_assert_cmpuint(sent_to(&f, 3, 6), >, CHOOSERS * 20 / 2);
	fleet_finish(&f);
}

/*
 * Guards against paid traffic while targets nearby idle, where a target takes
 * one request at a time and is thus full with a single one. Load: 87 choosers,
 * 20 requests each; two of four near targets are busy, four in another region
 * idle. With three more requests at each near target, most leave.
 */
static void test_one_place(void)
{
	struct fleet f;

	fleet_init(&f, 8, 1);
	for (size_t i = 0; i < f.count; i++) {
		f.list[i].places = 1;
		f.list[i].distance = i < 4 ? SELECTOR_SAME_DATA_CENTRE
					   : SELECTOR_OTHER_REGION;
		report_places(&f, i, i < 2, 1, SELECTOR_ANSWERED, 1);
	}
	choose_all(&f, 20);
	g_assert_cmpuint(sent_to(&f, 4, 8), ==, 0);
	for (size_t i = 0; i < 4; i++)
		report_places(&f, i, 4, 1, SELECTOR_ANSWERED, 1);
	choose_all(&f, 20);
	g_assert_cmpuint(sent_to(&f, 4, 8), >, CHOOSERS * 20 / 2);
	fleet_finish(&f);
}

/* Guards against reads past the end of an empty list, and of one target. */
static void test_few(void)
{
	struct fleet f;

	fleet_init(&f, 1, 1);
	g_assert_cmpuint(selector_pick(&f.choosers[0], f.list, 0, 0, BYTES,
				       NOW_MS, 0.5, NULL),
			 ==, SIZE_MAX);
	choose_all(&f, 1);
	g_assert_cmpuint(f.sent[0], ==, CHOOSERS);
	fleet_finish(&f);
}

/*
 * Guards against a target in trouble that refuses at once, so that it looks
 * idle, and gets several times its part. Load: 28 targets half full; one
 * refused the last four requests of each chooser. Without spread, it counts as
 * before.
 */
static void test_turns_away(void)
{
	struct fleet f;

	for (int spread = 0; spread < 2; spread++) {
		fleet_init(&f, MAX_TARGETS, spread);
		for (size_t i = 0; i < f.count; i++)
			report(&f, i, i == 4 ? 0 : PLACES / 2, 1);
		for (int i = 0; i < 4; i++)
			report_outcome(&f, 4, 0, 1, SELECTOR_TURNED_AWAY);
		choose_all(&f, 4);
		if (spread)
			g_assert_cmpuint(f.sent[4], <,
					 CHOOSERS * 4 / MAX_TARGETS / 2);
		else
			g_assert_cmpuint(f.sent[4], >, CHOOSERS);
		fleet_finish(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spread/common-report", test_common_report);
	g_test_add_func("/spread/off", test_off);
	g_test_add_func("/spread/uneven-speeds", test_uneven_speeds);
	g_test_add_func("/spread/only-one-with-room", test_only_one_with_room);
	g_test_add_func("/spread/all-full", test_all_full);
	g_test_add_func("/spread/failing", test_failing);
	g_test_add_func("/spread/region", test_region);
	g_test_add_func("/spread/one-place", test_one_place);
	g_test_add_func("/spread/few", test_few);
	g_test_add_func("/spread/turns-away", test_turns_away);
	return g_test_run();
}
