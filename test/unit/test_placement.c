#include "placement/place.h"

#include <glib.h>
#include <string.h>

#define NODES 6
#define SLOTS 120

struct world {
	struct place_node nodes[NODES];
	struct place_slot slots[SLOTS];
	struct place_policy policy;
	struct place state;
	struct place_moves moves;
};

static void world_init(struct world *w)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	for (i = 0; i < NODES; i++) {
		w->nodes[i].id = i + 1;
		w->nodes[i].capacity = 20;
		w->nodes[i].region = i / 2;
		w->nodes[i].data_centre = i;
		w->nodes[i].eligible = 1;
	}
	for (i = 0; i < SLOTS; i++) {
		w->slots[i].slot = i;
		w->slots[i].owner = i % NODES + 1;
		w->slots[i].load = 1;
	}
	w->policy.weight_churn = 1;
	w->policy.weight_imbalance = 1;
	w->policy.max_peak_to_mean = 1.15;
	w->policy.moves_per_minute = 30;
	w->policy.auto_pins = 4;
	place_init(&w->state, 0);
	place_moves_init(&w->moves);
}

static size_t pass(struct world *w, int64_t now_ms)
{
	g_assert_true(place_pass(&w->state, &w->policy, w->nodes, NODES,
				 w->slots, SLOTS, now_ms, &w->moves) == ERR_OK);
	return w->moves.count;
}

static void apply(struct world *w)
{
	size_t i;

	for (i = 0; i < w->moves.count; i++) {
		const struct place_move *m = &w->moves.items[i];

		g_assert_true(w->slots[m->slot].owner == m->from);
		w->slots[m->slot].owner = m->to;
	}
}

static int count_of(const struct world *w, uint32_t id)
{
	int n = 0;
	int i;

	for (i = 0; i < SLOTS; i++)
		n += w->slots[i].owner == id;
	return n;
}

/* Guards against a first assignment that leaves slots out or piles them up. */
static void test_unowned(void)
{
	struct world w;
	uint32_t i;

	world_init(&w);
	for (i = 0; i < SLOTS; i++) {
		w.slots[i].owner = 0;
		w.slots[i].load = 0;
	}
	w.nodes[0].capacity = 40;
	g_assert_true(pass(&w, 0) == SLOTS);
	g_assert_true(w.moves.items[0].cause == PLACE_UNOWNED);
	apply(&w);
	g_assert_true(count_of(&w, 1) >= 33 && count_of(&w, 1) <= 35);
	for (i = 2; i <= NODES; i++)
		g_assert_true(count_of(&w, i) >= 16 && count_of(&w, i) <= 18);
	g_assert_true(pass(&w, 60000) == 0);
	place_moves_finish(&w.moves);
}

/* Guards against more moves than a loss forces, and against an uneven rest. */
static void test_lost(void)
{
	struct world w;
	size_t i;

	world_init(&w);
	w.nodes[2].state = PLACE_LOST;
	g_assert_true(pass(&w, 60000) == 20);
	for (i = 0; i < w.moves.count; i++) {
		g_assert_true(w.moves.items[i].from == 3);
		g_assert_true(w.moves.items[i].to != 3);
		g_assert_true(w.moves.items[i].cause == PLACE_NODE_LOST);
	}
	g_assert_true(w.moves.peak_to_mean <= 1.01);
	apply(&w);
	/* The node is back and empty; nothing has to move. */
	w.nodes[2].state = PLACE_LIVE;
	w.policy.moves_per_minute = 0;
	g_assert_true(pass(&w, 120000) == 0);
	place_moves_finish(&w.moves);
}

/* Guards against moves during the restart grace, and against none after. */
static void test_restart_grace(void)
{
	struct world w;

	world_init(&w);
	w.nodes[0].state = PLACE_RESTARTING;
	w.nodes[0].deadline_ms = 90000;
	g_assert_true(pass(&w, 60000) == 0);
	g_assert_true(pass(&w, 89999) == 0);
	g_assert_true(pass(&w, 90000) == 20);
	g_assert_true(w.moves.items[0].cause == PLACE_NODE_LOST);
	place_moves_finish(&w.moves);
}

/* Guards against work for a draining node and slots left on it. */
static void test_drain(void)
{
	struct world w;

	world_init(&w);
	w.nodes[5].state = PLACE_DRAINING;
	w.slots[5].to = 1; /* already being released */
	w.slots[11].held = 1;
	g_assert_true(pass(&w, 60000) == 18);
	g_assert_true(w.moves.items[0].cause == PLACE_DRAIN);
	apply(&w);
	g_assert_true(count_of(&w, 6) == 2);
	place_moves_finish(&w.moves);
}

/* Guards against a release towards a node that was lost meanwhile. */
static void test_destination_lost(void)
{
	struct world w;
	uint32_t i;

	world_init(&w);
	w.slots[0].to = 3;
	w.nodes[2].state = PLACE_LOST;
	for (i = 0; i < SLOTS; i++)
		w.slots[i].held = i > 0;
	g_assert_true(pass(&w, 0) == 1);
	g_assert_true(w.moves.items[0].slot == 0);
	g_assert_true(w.moves.items[0].from == 1);
	g_assert_true(w.moves.items[0].to != 3);
	place_moves_finish(&w.moves);
}

/* Guards against ignoring the document's assign ranges, and against keys
 * without an owner while the named nodes are away. */
static void test_assign(void)
{
	static const uint32_t two[] = { 2, 4 };
	struct world w;
	uint32_t i;

	world_init(&w);
	for (i = 0; i < 12; i++) {
		w.slots[i].fixed = two;
		w.slots[i].fixed_count = 2;
	}
	g_assert_true(pass(&w, 0) == 8);
	for (i = 0; i < 8; i++) {
		g_assert_true(w.moves.items[i].cause == PLACE_ASSIGN);
		g_assert_true(w.moves.items[i].to == 2 ||
			      w.moves.items[i].to == 4);
	}
	apply(&w);
	w.nodes[1].state = PLACE_LOST;
	w.nodes[3].state = PLACE_LOST;
	pass(&w, 0);
	g_assert_true(w.moves.unplaced == 0);
	apply(&w);
	w.nodes[3].state = PLACE_LIVE;
	g_assert_true(pass(&w, 0) == 12);
	g_assert_true(w.moves.items[0].to == 4);
	place_moves_finish(&w.moves);
}

/* Guards against slots on a node that the document excludes. */
static void test_not_eligible(void)
{
	struct world w;
	size_t i;

	world_init(&w);
	w.nodes[0].eligible = 0;
	g_assert_true(pass(&w, 0) == 20);
	for (i = 0; i < w.moves.count; i++)
		g_assert_true(w.moves.items[i].to != 1);
	for (i = 0; i < NODES; i++)
		w.nodes[i].eligible = 0;
	g_assert_true(pass(&w, 0) == 0);
	g_assert_true(w.moves.unplaced == SLOTS);
	place_moves_finish(&w.moves);
}

/* Guards against more voluntary moves in a minute than the document allows. */
static void test_budget(void)
{
	struct world w;
	size_t made[1200] = { 0 };
	size_t i;
	int t;
	int k;

	world_init(&w);
	w.policy.moves_per_minute = 10;
	for (i = 0; i < SLOTS; i++)
		w.slots[i].owner = i % 2 + 1;
	for (t = 0; t < 1200; t++) {
		size_t sum = 0;

		made[t] = pass(&w, t * 1000);
		apply(&w);
		for (k = t; k >= 0 && k > t - 60; k--)
			sum += made[k];
		g_assert_true(sum <= 10);
	}
	g_assert_true(w.moves.peak_to_mean <= 1.15);
	place_moves_finish(&w.moves);
}

/* Guards against moves back and forth under noise below the bound. */
static void test_hysteresis(void)
{
	struct world w;
	GRand *r = g_rand_new_with_seed(3);
	int t;
	int i;

	world_init(&w);
	for (t = 0; t < 300; t++) {
		for (i = 0; i < SLOTS; i++)
			w.slots[i].load = g_rand_double_range(r, 0.95, 1.05);
		g_assert_true(pass(&w, t * 1000) == 0);
	}
	g_rand_free(r);
	place_moves_finish(&w.moves);
}

static size_t moves_with_weights(double churn, double imbalance)
{
	struct world w;
	size_t sum = 0;
	int t;
	int i;

	world_init(&w);
	w.policy.weight_churn = churn;
	w.policy.weight_imbalance = imbalance;
	w.policy.moves_per_minute = 1000;
	for (i = 0; i < SLOTS; i++)
		w.slots[i].load = i % NODES == 0 ? 1.3 : 1;
	for (t = 0; t < 60; t++) {
		sum += pass(&w, t * 1000);
		apply(&w);
	}
	g_assert_true(w.moves.peak_to_mean <= 1.15);
	place_moves_finish(&w.moves);
	return sum;
}

/* Guards against weights without effect, and against either of them breaking
 * the document's bound. */
static void test_weights(void)
{
	size_t guild = moves_with_weights(10, 1);
	size_t falaj = moves_with_weights(1, 10);

	g_assert_true(guild > 0);
	g_assert_true(guild < falaj);
}

/* Guards against a result that depends on the order of the input. */
static void test_order(void)
{
	struct world a;
	struct world b;
	uint32_t i;

	world_init(&a);
	world_init(&b);
	a.nodes[1].state = PLACE_LOST;
	for (i = 0; i < SLOTS; i++)
		a.slots[i].load = 1 + i % 7;
	for (i = 0; i < NODES; i++)
		b.nodes[i] = a.nodes[NODES - 1 - i];
	for (i = 0; i < SLOTS; i++)
		b.slots[i] = a.slots[SLOTS - 1 - i];
	g_assert_true(pass(&a, 60000) == pass(&b, 60000));
	for (i = 0; i < a.moves.count; i++) {
		g_assert_true(a.moves.items[i].slot == b.moves.items[i].slot);
		g_assert_true(a.moves.items[i].to == b.moves.items[i].to);
	}
	place_moves_finish(&a.moves);
	place_moves_finish(&b.moves);
}

/* Guards against full load on a cold node, and against moving what it has. */
static void test_cold(void)
{
	struct world w;
	size_t cold = 0;
	size_t i;

	world_init(&w);
	w.nodes[0].weight = 0.1;
	g_assert_true(pass(&w, 60000) == 0);
	for (i = 0; i < SLOTS; i++)
		w.slots[i].owner = 0;
	g_assert_true(pass(&w, 60000) == SLOTS);
	for (i = 0; i < SLOTS; i++)
		cold += w.moves.items[i].to == 1;
	g_assert_true(cold >= 1 && cold <= 4);
	place_moves_finish(&w.moves);
}

/* Guards against a pinned key that stays on an overloaded node. */
static void test_pin_moves(void)
{
	struct world w;

	world_init(&w);
	w.slots[0].is_pin = 1;
	w.slots[0].load = 8;
	g_assert_true(pass(&w, 60000) >= 1);
	g_assert_true(w.moves.items[0].cause == PLACE_PIN ||
		      w.moves.items[0].cause == PLACE_IMBALANCE);
	g_assert_true(w.moves.items[0].from == 1);
	g_assert_true(w.moves.peak_to_mean <= 1.15);
	place_moves_finish(&w.moves);
}

/* Guards against too many pins, and against pins that come and go. */
static void test_pins(void)
{
	struct world w;
	struct place_key keys[8];
	struct place_pin out[8];
	size_t n;
	size_t i;

	world_init(&w);
	memset(keys, 0, sizeof(keys));
	for (i = 0; i < 8; i++) {
		keys[i].hash = i;
		keys[i].load = i < 6 ? 10.0 + (double)i : 1;
	}
	n = place_decide_pins(&w.policy, 100, keys, 8, 0, out, 8);
	g_assert_true(n == 4);
	g_assert_true(out[0].key == 5 && out[0].add);
	g_assert_true(out[3].key == 2);
	for (i = 0; i < n; i++)
		keys[out[i].key].pinned = 1;
	/* Between the two levels: neither dropped nor replaced. */
	keys[5].load = 3;
	g_assert_true(
		place_decide_pins(&w.policy, 100, keys, 8, 1000, out, 8) == 0);
	/* Cold, and a hot key waits for the room. */
	keys[5].load = 1;
	n = place_decide_pins(&w.policy, 100, keys, 8, 2000, out, 8);
	g_assert_true(n == 2);
	g_assert_true(out[0].key == 5 && !out[0].add);
	g_assert_true(out[1].key == 1 && out[1].add);
	place_moves_finish(&w.moves);
}

/* Guards against dropping a pin after one cold report or a document's pin. */
static void test_pins_cold(void)
{
	struct world w;
	struct place_key keys[2];
	struct place_pin out[2];

	world_init(&w);
	memset(keys, 0, sizeof(keys));
	keys[0].pinned = 1;
	keys[1].pinned = 1;
	keys[1].fixed = 1;
	g_assert_true(
		place_decide_pins(&w.policy, 100, keys, 2, 1000, out, 2) == 0);
	g_assert_true(
		place_decide_pins(&w.policy, 100, keys, 2, 60999, out, 2) == 0);
	g_assert_true(
		place_decide_pins(&w.policy, 100, keys, 2, 61000, out, 2) == 1);
	g_assert_true(out[0].key == 0 && !out[0].add);
	place_moves_finish(&w.moves);
}

/* Guards against averages that follow noise, or lag behind a jump. */
static void test_smooth(void)
{
	struct place_average a = { 0 };
	int i;

	place_average_update(&a, 100, 10);
	g_assert_true(a.load == 100);
	for (i = 0; i < 20; i++)
		place_average_update(&a, i % 2 ? 95 : 105, 10);
	g_assert_true(a.load > 99 && a.load < 101);
	place_average_update(&a, 110, 10);
	g_assert_true(a.load < 102);
	place_average_update(&a, 200, 10);
	g_assert_true(a.load == 200);
	place_average_update(&a, 210, 10);
	g_assert_true(a.load == 205);
	place_average_update(&a, 0, 10);
	g_assert_true(a.load == 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/unowned", test_unowned);
	g_test_add_func("/place/lost", test_lost);
	g_test_add_func("/place/restart-grace", test_restart_grace);
	g_test_add_func("/place/drain", test_drain);
	g_test_add_func("/place/destination-lost", test_destination_lost);
	g_test_add_func("/place/assign", test_assign);
	g_test_add_func("/place/not-eligible", test_not_eligible);
	g_test_add_func("/place/budget", test_budget);
	g_test_add_func("/place/hysteresis", test_hysteresis);
	g_test_add_func("/place/weights", test_weights);
	g_test_add_func("/place/order", test_order);
	g_test_add_func("/place/cold", test_cold);
	g_test_add_func("/place/pin-moves", test_pin_moves);
	g_test_add_func("/place/pins", test_pins);
	g_test_add_func("/place/pins-cold", test_pins_cold);
	g_test_add_func("/place/smooth", test_smooth);
	return g_test_run();
}
