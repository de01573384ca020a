#include "placement/ranges.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 512
#define MAX_NODES 8

struct world {
	struct place_node nodes[MAX_NODES];
	size_t node_count;
	struct place_slot slots[SLOTS];
	struct ranges state;
	struct place_moves moves;
	int64_t now_ms;
};

static void world_init(struct world *w, size_t nodes)
{
	memset(w, 0, sizeof(*w));
	w->node_count = nodes;
	w->now_ms = 100000;
	for (size_t i = 0; i < nodes; i++) {
		w->nodes[i].id = (uint32_t)i + 1;
		w->nodes[i].capacity = 100;
		w->nodes[i].eligible = 1;
	}
	for (uint32_t i = 0; i < SLOTS; i++)
		w->slots[i].slot = i;
	place_moves_init(&w->moves);
}

/* One pass, carried out at once. Returns the moves of live slots. */
static size_t pass(struct world *w)
{
	size_t live = 0;

	g_assert_cmpint(ranges_pass(&w->state, w->nodes, w->node_count,
				    w->slots, SLOTS, w->now_ms, &w->moves),
			==, ERR_OK);
	for (size_t i = 0; i < w->moves.count; i++) {
		const struct place_move *m = &w->moves.items[i];

		live += m->cause == PLACE_IMBALANCE;
		w->slots[m->slot].owner = m->to;
	}
	w->now_ms += 2000;
	return live;
}

static double load_of(const struct world *w, uint32_t id)
{
	double load = 0;

	for (size_t i = 0; i < SLOTS; i++) {
		if (w->slots[i].owner == id)
			load += w->slots[i].load;
	}
	return load;
}

static size_t count_of(const struct world *w, uint32_t id)
{
	size_t count = 0;

	for (size_t i = 0; i < SLOTS; i++)
		count += w->slots[i].owner == id;
	return count;
}

static void world_finish(struct world *w)
{
	place_moves_finish(&w->moves);
}

/*
 * Load: two hundred neighbouring keys (two slots of 128) get a third of the
 * traffic. Guards against neighbours that all have one target.
 */
static void test_hot_neighbours(void)
{
	struct world w;
	double worst = 0;

	world_init(&w, 6);
	pass(&w);
	for (size_t at = 0; at + 1 < SLOTS; at++) {
		for (size_t i = 0; i < SLOTS; i++)
			w.slots[i].load = 1;
		w.slots[at].load += 128;
		w.slots[at + 1].load += 128;
		for (uint32_t n = 1; n <= 6; n++) {
			double part = load_of(&w, n) / (SLOTS + 256);

			if (part > worst)
				worst = part;
		}
	}
	/* One hot slot and a sixth of the rest, not both hot slots. */
	g_assert_cmpfloat(worst, <, 0.30);
	world_finish(&w);
}

/* Guards against shares that do not follow the targets' measured speed. */
static void test_speed(void)
{
	struct world w;

	world_init(&w, 6);
	w.nodes[0].capacity = 200;
	pass(&w);
	g_assert_cmpuint(count_of(&w, 1), >=, 140);
	g_assert_cmpuint(count_of(&w, 1), <=, 150);
	for (uint32_t n = 2; n <= 6; n++) {
		g_assert_cmpuint(count_of(&w, n), >=, 70);
		g_assert_cmpuint(count_of(&w, n), <=, 76);
	}
	world_finish(&w);
}

/*
 * Guards against more rows than one answer has room for, with any number of
 * targets: two targets with alternating slots had 256 rows each.
 */
static void test_rows(void)
{
	for (size_t nodes = 1; nodes <= MAX_NODES; nodes++) {
		struct world w;

		world_init(&w, nodes);
		pass(&w);
		for (uint32_t n = 1; n <= nodes; n++)
			g_assert_cmpuint(ranges_rows(w.slots, SLOTS, n), <=,
					 RANGES_MAX_ROWS);
		world_finish(&w);
	}
}

/* Guards against slots without an owner after losses, and uneven heirs. */
static void test_losses(void)
{
	struct world w;

	world_init(&w, 6);
	pass(&w);
	w.nodes[2].state = PLACE_LOST;
	w.nodes[4].state = PLACE_DRAINING;
	pass(&w);
	g_assert_cmpuint(count_of(&w, 3) + count_of(&w, 5), ==, 0);
	for (uint32_t n = 1; n <= 6; n++) {
		if (n == 3 || n == 5)
			continue;
		g_assert_cmpuint(count_of(&w, n), >=, 120);
		g_assert_cmpuint(count_of(&w, n), <=, 136);
	}
	world_finish(&w);
}

/* Guards against slots that move back and forth on noise in the reports. */
static void test_noise(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct world w;
	size_t moved = 0;

	world_init(&w, 6);
	pass(&w);
	for (int round = 0; round < 50; round++) {
		for (size_t i = 0; i < SLOTS; i++)
			w.slots[i].load = g_rand_double_range(rand, 0, 2);
		moved += pass(&w);
	}
	g_assert_cmpuint(moved, ==, 0);
	g_rand_free(rand);
	world_finish(&w);
}

/*
 * Load: the busy keys settle on one target. Guards against a target that stays
 * above its share, and against more moves than are needed.
 */
static void test_balance(void)
{
	struct world w;
	size_t moved = 0;

	world_init(&w, 6);
	pass(&w);
	for (size_t i = 0; i < SLOTS; i++)
		w.slots[i].load = w.slots[i].owner == 1 ? 4 : 1;
	for (int round = 0; round < 20; round++)
		moved += pass(&w);
	for (uint32_t n = 1; n <= 6; n++)
		g_assert_cmpfloat(load_of(&w, n), <,
				  RANGES_MOVE_ABOVE * (5 * 85.5 + 4 * 85.5) /
					  6);
	g_assert_cmpuint(moved, <=, 80);
	moved = pass(&w);
	g_assert_cmpuint(moved, ==, 0);
	world_finish(&w);
}

/* Guards against a release under way that is given another destination. */
static void test_destination_stays(void)
{
	struct world w;

	world_init(&w, 3);
	pass(&w);
	w.nodes[0].state = PLACE_DRAINING;
	for (size_t i = 0; i < SLOTS; i++) {
		if (w.slots[i].owner == 1)
			w.slots[i].to = 2;
	}
	g_assert_cmpint(ranges_pass(&w.state, w.nodes, w.node_count, w.slots,
				    SLOTS, w.now_ms, &w.moves),
			==, ERR_OK);
	for (size_t i = 0; i < w.moves.count; i++)
		g_assert_cmpuint(w.slots[w.moves.items[i].slot].to, ==, 0);
	/* Node 2 is lost as well: now node 3 gets them. */
	w.nodes[1].state = PLACE_LOST;
	ranges_pass(&w.state, w.nodes, w.node_count, w.slots, SLOTS, w.now_ms,
		    &w.moves);
	g_assert_cmpuint(w.moves.count, ==, SLOTS - count_of(&w, 3));
	world_finish(&w);
}

/* Guards against a crash and a silent loss where nobody can serve. */
static void test_nobody(void)
{
	struct world w;

	world_init(&w, 2);
	w.nodes[0].eligible = 0;
	w.nodes[1].eligible = 0;
	pass(&w);
	g_assert_cmpuint(w.moves.count, ==, 0);
	g_assert_cmpuint(w.moves.unplaced, ==, SLOTS);
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ranges/hot_neighbours", test_hot_neighbours);
	g_test_add_func("/ranges/speed", test_speed);
	g_test_add_func("/ranges/rows", test_rows);
	g_test_add_func("/ranges/losses", test_losses);
	g_test_add_func("/ranges/noise", test_noise);
	g_test_add_func("/ranges/balance", test_balance);
	g_test_add_func("/ranges/destination_stays", test_destination_stays);
	g_test_add_func("/ranges/nobody", test_nobody);
	return g_test_run();
}
