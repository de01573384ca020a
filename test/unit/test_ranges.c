#include "placement/ranges.h"
#include "platform/document.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 512
#define MAX_NODES 150
/* Keys of a service, as the platform numbers them. */
#define KEYS 65536

struct fixture {
	struct place_node nodes[MAX_NODES];
	size_t node_count;
	struct place_slot slots[DOCUMENT_KEYED_SHARDS];
	size_t slot_count; /* SLOTS unless a test changes it */
	struct ranges state;
	struct place_moves moves;
	int64_t now_ms;
};

static void fixture_init(struct fixture *f, size_t nodes)
{
	memset(f, 0, sizeof(*f));
	f->node_count = nodes;
	f->slot_count = SLOTS;
	f->now_ms = 100000;
	for (size_t i = 0; i < nodes; i++) {
		f->nodes[i].id = (uint32_t)i + 1;
		f->nodes[i].capacity = 100;
		f->nodes[i].eligible = 1;
	}
	for (uint32_t i = 0; i < DOCUMENT_KEYED_SHARDS; i++)
		f->slots[i].slot = i;
	place_moves_init(&f->moves);
}

/* Runs one pass and carries out its moves; returns those for balance. */
static size_t run_pass(struct fixture *f)
{
	size_t balance_moves = 0;

	g_assert_cmpint(ranges_pass(&f->state, f->nodes, f->node_count,
				    f->slots, f->slot_count, f->now_ms,
				    &f->moves),
			==, ERR_OK);
	for (size_t i = 0; i < f->moves.count; i++) {
		const struct place_move *m = &f->moves.items[i];

		balance_moves += m->cause == PLACE_IMBALANCE;
		f->slots[m->slot].owner = m->to;
	}
	f->now_ms += 2000;
	return balance_moves;
}

static double sum_load(const struct fixture *f, uint32_t id)
{
	double load = 0;

	for (size_t i = 0; i < f->slot_count; i++) {
		if (f->slots[i].owner == id)
			load += f->slots[i].load;
	}
	return load;
}

static size_t count_slots(const struct fixture *f, uint32_t id)
{
	size_t count = 0;

	for (size_t i = 0; i < SLOTS; i++)
		count += f->slots[i].owner == id;
	return count;
}

static void fixture_finish(struct fixture *f)
{
	place_moves_finish(&f->moves);
}

/*
 * Guards against neighbouring hot slots on one target. Load: two hundred
 * neighbouring keys (two slots of 128) get a third of the requests.
 */
static void test_hot_neighbours(void)
{
	struct fixture f;
	double worst = 0;

	fixture_init(&f, 6);
	run_pass(&f);
	for (size_t at = 0; at + 1 < SLOTS; at++) {
		for (size_t i = 0; i < SLOTS; i++)
			f.slots[i].load = 1;
		f.slots[at].load += 128;
		f.slots[at + 1].load += 128;
		for (uint32_t n = 1; n <= 6; n++) {
			double part = sum_load(&f, n) / (SLOTS + 256);

			if (part > worst)
				worst = part;
		}
	}
	/* One hot slot and a sixth of the rest, not both hot slots. */
	g_assert_cmpfloat(worst, <, 0.30);
	fixture_finish(&f);
}

/*
 * Guards against a target that gets more than its share when a data centre, a
 * sixth of the targets, is emptied: all its slots move in one pass. Load: 31
 * targets that serve numbered keys, five of them in one data centre, as in
 * docs/design/README.md, with slots of uneven load.
 */
static void test_drained_data_centre(void)
{
	double sum = 0;
	struct fixture f;

	fixture_init(&f, 31);
	f.slot_count = DOCUMENT_KEYED_SHARDS;
	for (size_t i = 0; i < f.slot_count; i++) {
		f.slots[i].load = (double)(1 + i % 7);
		sum += f.slots[i].load;
	}
	run_pass(&f);
	for (size_t i = 0; i < 5; i++)
		f.nodes[6 * i].state = PLACE_DRAINING;
	run_pass(&f);
	for (uint32_t n = 1; n <= 31; n++) {
		if (f.nodes[n - 1].state == PLACE_DRAINING)
			g_assert_cmpfloat(sum_load(&f, n), ==, 0);
		else
			g_assert_cmpfloat(sum_load(&f, n) / (sum / 26), <, 1.1);
	}
	fixture_finish(&f);
}

/* Guards against shares of slots that do not follow the targets' capacity. */
static void test_capacity(void)
{
	struct fixture f;

	fixture_init(&f, 6);
	f.nodes[0].capacity = 200;
	run_pass(&f);
	g_assert_cmpuint(count_slots(&f, 1), >=, 140);
	g_assert_cmpuint(count_slots(&f, 1), <=, 150);
	for (uint32_t n = 2; n <= 6; n++) {
		g_assert_cmpuint(count_slots(&f, n), >=, 70);
		g_assert_cmpuint(count_slots(&f, n), <=, 76);
	}
	fixture_finish(&f);
}

/*
 * Guards against more rows than one answer has room for, with any number of
 * targets. If two targets own every other slot, each has 256 rows.
 */
static void test_rows(void)
{
	static const size_t counts[] = { SLOTS, DOCUMENT_KEYED_SHARDS };

	for (size_t nodes = 1; nodes <= 8; nodes++) {
		for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
			struct fixture f;

			fixture_init(&f, nodes);
			f.slot_count = counts[i];
			run_pass(&f);
			for (uint32_t n = 1; n <= nodes; n++)
				g_assert_cmpuint(
					ranges_rows(f.slots, f.slot_count, n),
					<=, RANGES_MAX_ROWS);
			fixture_finish(&f);
		}
	}
}

/*
 * Guards against more rows than an answer has room for while one target, which
 * got all slots when 23 others were lost, gives blocks back out of one long
 * row.
 */
static void test_rows_after_moves(void)
{
	GRand *rand = g_rand_new_with_seed(3);
	struct fixture f;

	fixture_init(&f, 24);
	f.slot_count = DOCUMENT_KEYED_SHARDS;
	run_pass(&f);
	for (size_t i = 1; i < 24; i++)
		f.nodes[i].state = PLACE_LOST;
	run_pass(&f);
	for (size_t i = 1; i < 24; i++)
		f.nodes[i].state = PLACE_LIVE;
	for (size_t i = 0; i < f.slot_count; i++)
		f.slots[i].load = g_rand_double_range(rand, 1, 2);
	for (int round = 0; round < 120; round++) {
		run_pass(&f);
		for (uint32_t n = 1; n <= 24; n++)
			g_assert_cmpuint(ranges_rows(f.slots, f.slot_count, n),
					 <=, RANGES_MAX_ROWS);
	}
	g_rand_free(rand);
	fixture_finish(&f);
}

/*
 * Requests for a key: 128 neighbours get 8% of all requests, 2,048 more around
 * them 40%, and the other keys the rest.
 */
static double load_of_key(size_t key)
{
	if (key - 30208 < 128)
		return .08 / 128;
	return key - 29696 < 2048 ? .40 / 2048 : .52 / KEYS;
}

/*
 * Guards against a hot range that one of many targets gets alone: 150 targets
 * can serve 1.6 times the load. With shards of 128 keys, one target had twelve
 * times the mean load and refused most of it while half of the others idled.
 */
static void test_hot_range(void)
{
	struct fixture f;
	double sum = 0;

	fixture_init(&f, 150);
	f.slot_count = DOCUMENT_KEYED_SHARDS;
	run_pass(&f);
	for (size_t key = 0; key < KEYS; key++) {
		size_t slot = key * f.slot_count / KEYS;

		f.slots[slot].load += 3000 * load_of_key(key);
		sum += 3000 * load_of_key(key);
	}
	/* 30 s of passes */
	for (int round = 0; round < 15; round++)
		run_pass(&f);
	for (uint32_t n = 1; n <= 150; n++)
		g_assert_cmpfloat(sum_load(&f, n), <=, 1.6 * sum / 150);
	fixture_finish(&f);
}

/*
 * Guards against slots without an owner after targets are lost, and against
 * uneven shares for the remaining targets.
 */
static void test_losses(void)
{
	struct fixture f;

	fixture_init(&f, 6);
	run_pass(&f);
	f.nodes[2].state = PLACE_LOST;
	f.nodes[4].state = PLACE_DRAINING;
	run_pass(&f);
	g_assert_cmpuint(count_slots(&f, 3) + count_slots(&f, 5), ==, 0);
	for (uint32_t n = 1; n <= 6; n++) {
		if (n == 3 || n == 5)
			continue;
		g_assert_cmpuint(count_slots(&f, n), >=, 120);
		g_assert_cmpuint(count_slots(&f, n), <=, 136);
	}
	fixture_finish(&f);
}

/* Guards against moves back and forth because of noise in the reports. */
static void test_noise(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct fixture f;
	size_t moved = 0;

	fixture_init(&f, 6);
	run_pass(&f);
	for (int round = 0; round < 50; round++) {
		for (size_t i = 0; i < SLOTS; i++)
			f.slots[i].load = g_rand_double_range(rand, 0, 2);
		moved += run_pass(&f);
	}
	g_assert_cmpuint(moved, ==, 0);
	g_rand_free(rand);
	fixture_finish(&f);
}

/*
 * Guards against a target that stays above its fair share, and against more
 * moves than are needed. Load: the slots of one target get four times the
 * requests of the others.
 */
static void test_balance(void)
{
	struct fixture f;
	size_t moved = 0;

	fixture_init(&f, 6);
	run_pass(&f);
	for (size_t i = 0; i < SLOTS; i++)
		f.slots[i].load = f.slots[i].owner == 1 ? 4 : 1;
	for (int round = 0; round < 20; round++)
		moved += run_pass(&f);
	for (uint32_t n = 1; n <= 6; n++)
		g_assert_cmpfloat(sum_load(&f, n), <,
				  RANGES_MOVE_ABOVE * (5 * 85.5 + 4 * 85.5) /
					  6);
	g_assert_cmpuint(moved, <=, 80);
	moved = run_pass(&f);
	g_assert_cmpuint(moved, ==, 0);
	fixture_finish(&f);
}

/*
 * Guards against targets that stay idle for long after a restart: 80 of 150
 * lose their slots and return, and 30 s later all serve again by their part.
 */
static void test_return_of_many(void)
{
	struct fixture f;
	double sum = 0;

	fixture_init(&f, 150);
	f.slot_count = DOCUMENT_KEYED_SHARDS;
	run_pass(&f);
	for (size_t i = 0; i < 80; i++)
		f.nodes[i].state = PLACE_LOST;
	run_pass(&f);
	for (size_t i = 0; i < 80; i++)
		f.nodes[i].state = PLACE_LIVE;
	for (size_t i = 0; i < f.slot_count; i++)
		sum += f.slots[i].load = 1;
	for (int round = 0; round < 15; round++)
		run_pass(&f);
	for (uint32_t n = 1; n <= 150; n++)
		g_assert_cmpfloat(sum_load(&f, n), >=, 0.6 * sum / 150);
	fixture_finish(&f);
}

/*
 * Guards against one slot that cannot move, as it alone is more than a target's
 * part, and keeps all others from moving.
 */
static void test_fixed_slot(void)
{
	struct fixture f;
	double sum = 0;

	fixture_init(&f, 12);
	run_pass(&f);
	for (size_t i = 0; i < SLOTS; i++) {
		f.slots[i].load = f.slots[i].owner == 2 ? 6 : 1;
		sum += f.slots[i].load;
	}
	f.slots[0].load += 400;
	sum += 400;
	g_assert_cmpfloat(sum_load(&f, 2), >, 2 * sum / 12);
	for (int round = 0; round < 20; round++)
		run_pass(&f);
	for (uint32_t n = 1; n <= 12; n++) {
		if (n != f.slots[0].owner)
			g_assert_cmpfloat(sum_load(&f, n), <,
					  RANGES_MOVE_ABOVE * sum / 12);
	}
	fixture_finish(&f);
}

/* Guards against a new destination for a slot that is being released. */
static void test_destination_stays(void)
{
	struct fixture f;

	fixture_init(&f, 3);
	run_pass(&f);
	f.nodes[0].state = PLACE_DRAINING;
	for (size_t i = 0; i < SLOTS; i++) {
		if (f.slots[i].owner == 1)
			f.slots[i].to = 2;
	}
	g_assert_cmpint(ranges_pass(&f.state, f.nodes, f.node_count, f.slots,
				    SLOTS, f.now_ms, &f.moves),
			==, ERR_OK);
	for (size_t i = 0; i < f.moves.count; i++)
		g_assert_cmpuint(f.slots[f.moves.items[i].slot].to, ==, 0);
	/* Node 2 is lost, too: node 3 gets the slots. */
	f.nodes[1].state = PLACE_LOST;
	ranges_pass(&f.state, f.nodes, f.node_count, f.slots, SLOTS, f.now_ms,
		    &f.moves);
	g_assert_cmpuint(f.moves.count, ==, SLOTS - count_slots(&f, 3));
	fixture_finish(&f);
}

/*
 * Guards against a crash, and against slots missing in the count of unplaced
 * ones, when no target can serve.
 */
static void test_no_eligible_target(void)
{
	struct fixture f;

	fixture_init(&f, 2);
	f.nodes[0].eligible = 0;
	f.nodes[1].eligible = 0;
	run_pass(&f);
	g_assert_cmpuint(f.moves.count, ==, 0);
	g_assert_cmpuint(f.moves.unplaced, ==, SLOTS);
	fixture_finish(&f);
}

/*
 * Guards against keys that stay with targets that do not take their requests.
 * Of six targets with 600 requests/s, four name a limit of 40/s, the others can
 * answer 130/s each: after the moves, no target has more than its part.
 */
static void test_rate_limited_targets(void)
{
	const double latency_us = 100000;
	struct fixture f;

	fixture_init(&f, 6);
	for (size_t i = 0; i < f.slot_count; i++)
		f.slots[i].load = 600. / (double)f.slot_count;
	for (size_t i = 0; i < 6; i++)
		f.nodes[i].capacity = place_usable_places(13, 0, latency_us);
	run_pass(&f);
	for (size_t i = 0; i < 4; i++)
		f.nodes[i].capacity = place_usable_places(13, 40, latency_us);
	g_assert_cmpfloat(f.nodes[0].capacity, ==, 4);
	g_assert_cmpfloat(f.nodes[4].capacity, ==, 13);
	for (int pass = 0; pass < 40; pass++)
		run_pass(&f);
	for (uint32_t id = 1; id <= 6; id++)
		g_assert_cmpfloat(sum_load(&f, id), <=,
				  (id <= 4 ? 40 : 130) / 420. * 600 * 1.25);
	g_assert_cmpfloat(place_usable_places(0, 0, 0), ==, 1);
	g_assert_cmpfloat(place_usable_places(13, 40, 0), ==, 13);
	fixture_finish(&f);
}

/*
 * Guards against keys whose requests a cold target does not take, and against
 * targets that get many keys at once when they are warm. Load: 600 requests/s
 * at twelve targets; the six of a data centre return and take 10/s each.
 */
static void test_cold_data_centre(void)
{
	const double latency_us = 100000;
	size_t moved;
	struct fixture f;

	fixture_init(&f, 12);
	for (size_t i = 0; i < f.slot_count; i++)
		f.slots[i].load = 600. / (double)f.slot_count;
	for (size_t i = 0; i < 12; i++)
		f.nodes[i].capacity = place_usable_places(13, 0, latency_us);
	run_pass(&f);
	for (size_t i = 0; i < 6; i++)
		f.nodes[i].state = PLACE_LOST;
	run_pass(&f);
	for (size_t i = 0; i < 6; i++) {
		f.nodes[i].state = PLACE_LIVE;
		f.nodes[i].capacity = place_usable_places(13, 10, latency_us);
	}
	for (int pass = 0; pass < 10; pass++) {
		run_pass(&f);
		for (uint32_t id = 1; id <= 6; id++)
			g_assert_cmpfloat(sum_load(&f, id), <=, 10);
	}
	for (size_t i = 0; i < 6; i++)
		f.nodes[i].capacity = place_usable_places(13, 0, latency_us);
	for (int pass = 0; pass < 40; pass++) {
		moved = run_pass(&f);
		g_assert_cmpuint(moved, <=, 12);
	}
	for (uint32_t id = 1; id <= 6; id++)
		g_assert_cmpfloat(sum_load(&f, id), >=, 0.6 * 600 / 12);
	fixture_finish(&f);
}

/*
 * Guards against keys without an owner after a power loss: all twelve targets
 * return cold, and take 120 of 600 requests/s together.
 */
static void test_all_targets_cold(void)
{
	struct fixture f;

	fixture_init(&f, 12);
	for (size_t i = 0; i < 12; i++)
		f.nodes[i].capacity = place_usable_places(13, 10, 20000);
	run_pass(&f);
	g_assert_cmpuint(f.moves.unplaced, ==, 0);
	for (uint32_t id = 1; id <= 12; id++)
		g_assert_cmpuint(count_slots(&f, id), >=, SLOTS / 12 / 2);
	fixture_finish(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ranges/hot-neighbours", test_hot_neighbours);
	g_test_add_func("/ranges/capacity", test_capacity);
	g_test_add_func("/ranges/drained-data-centre",
			test_drained_data_centre);
	g_test_add_func("/ranges/rows", test_rows);
	g_test_add_func("/ranges/rows-after-moves", test_rows_after_moves);
	g_test_add_func("/ranges/hot-range", test_hot_range);
	g_test_add_func("/ranges/losses", test_losses);
	g_test_add_func("/ranges/noise", test_noise);
	g_test_add_func("/ranges/balance", test_balance);
	g_test_add_func("/ranges/return-of-many", test_return_of_many);
	g_test_add_func("/ranges/fixed-slot", test_fixed_slot);
	g_test_add_func("/ranges/destination-stays", test_destination_stays);
	g_test_add_func("/ranges/no-eligible-target", test_no_eligible_target);
	g_test_add_func("/ranges/rate-limited-targets",
			test_rate_limited_targets);
	g_test_add_func("/ranges/cold-data-centre", test_cold_data_centre);
	g_test_add_func("/ranges/all-targets-cold", test_all_targets_cold);
	return g_test_run();
}
