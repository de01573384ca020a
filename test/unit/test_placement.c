#include "placement/place.h"

#include <glib.h>
#include <string.h>

#define NODES 6
#define SLOTS 120

struct fixture {
	struct place_node nodes[NODES];
	struct place_slot slots[SLOTS];
	struct place_policy policy;
	struct place state;
	struct place_moves moves;
};

static void fixture_init(struct fixture *f)
{
	uint32_t i;

	memset(f, 0, sizeof(*f));
	for (i = 0; i < NODES; i++) {
		f->nodes[i].id = i + 1;
		f->nodes[i].capacity = 20;
		f->nodes[i].region = i / 2;
		f->nodes[i].data_centre = i;
		f->nodes[i].eligible = 1;
	}
	for (i = 0; i < SLOTS; i++) {
		f->slots[i].slot = i;
		f->slots[i].owner = i % NODES + 1;
		f->slots[i].load = 1;
	}
	f->policy.weight_churn = 1;
	f->policy.weight_imbalance = 1;
	f->policy.max_peak_to_mean = 1.15;
	f->policy.moves_per_minute = 30;
	f->policy.auto_pins = 4;
	place_init(&f->state, 0);
	place_moves_init(&f->moves);
}

static size_t run_pass(struct fixture *f, int64_t now_ms)
{
	g_assert_true(place_pass(&f->state, &f->policy, f->nodes, NODES,
				 f->slots, SLOTS, now_ms, &f->moves) == ERR_OK);
	return f->moves.count;
}

static void apply_moves(struct fixture *f)
{
	size_t i;

	for (i = 0; i < f->moves.count; i++) {
		const struct place_move *m = &f->moves.items[i];

		g_assert_true(f->slots[m->slot].owner == m->from);
		f->slots[m->slot].owner = m->to;
	}
}

static int count_slots(const struct fixture *f, uint32_t id)
{
	int n = 0;
	int i;

	for (i = 0; i < SLOTS; i++)
		n += f->slots[i].owner == id;
	return n;
}

/* Guards against a first assignment that is incomplete or unbalanced. */
static void test_unowned(void)
{
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	for (i = 0; i < SLOTS; i++) {
		f.slots[i].owner = 0;
		f.slots[i].load = 0;
	}
	f.nodes[0].capacity = 40;
	g_assert_true(run_pass(&f, 0) == SLOTS);
	g_assert_true(f.moves.items[0].cause == PLACE_UNOWNED);
	apply_moves(&f);
	g_assert_true(count_slots(&f, 1) >= 33 && count_slots(&f, 1) <= 35);
	for (i = 2; i <= NODES; i++)
		g_assert_true(count_slots(&f, i) >= 16 &&
			      count_slots(&f, i) <= 18);
	g_assert_true(run_pass(&f, 60000) == 0);
	place_moves_finish(&f.moves);
}

/*
 * Guards against more moves than a loss forces, and against an unbalanced load
 * on the remaining nodes.
 */
static void test_lost(void)
{
	struct fixture f;
	size_t i;

	fixture_init(&f);
	f.nodes[2].state = PLACE_LOST;
	g_assert_true(run_pass(&f, 60000) == 20);
	for (i = 0; i < f.moves.count; i++) {
		g_assert_true(f.moves.items[i].from == 3);
		g_assert_true(f.moves.items[i].to != 3);
		g_assert_true(f.moves.items[i].cause == PLACE_NODE_LOST);
	}
	g_assert_true(f.moves.peak_to_mean <= 1.01);
	apply_moves(&f);
	/* The node returns without slots; no move is forced. */
	f.nodes[2].state = PLACE_LIVE;
	f.policy.moves_per_minute = 0;
	g_assert_true(run_pass(&f, 120000) == 0);
	place_moves_finish(&f.moves);
}

/* Guards against moves during the restart grace, and against none after. */
static void test_restart_grace(void)
{
	struct fixture f;

	fixture_init(&f);
	f.nodes[0].state = PLACE_RESTARTING;
	f.nodes[0].deadline_ms = 90000;
	g_assert_true(run_pass(&f, 60000) == 0);
	g_assert_true(run_pass(&f, 89999) == 0);
	g_assert_true(run_pass(&f, 90000) == 20);
	g_assert_true(f.moves.items[0].cause == PLACE_NODE_LOST);
	place_moves_finish(&f.moves);
}

/* Guards against slots assigned to a draining node or left on it. */
static void test_drain(void)
{
	struct fixture f;

	fixture_init(&f);
	f.nodes[5].state = PLACE_DRAINING;
	f.slots[5].to = 1; /* being released already */
	f.slots[11].held = 1;
	g_assert_true(run_pass(&f, 60000) == 18);
	g_assert_true(f.moves.items[0].cause == PLACE_DRAIN);
	apply_moves(&f);
	g_assert_true(count_slots(&f, 6) == 2);
	place_moves_finish(&f.moves);
}

/* Guards against a release to a node that has been lost since. */
static void test_destination_lost(void)
{
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	f.slots[0].to = 3;
	f.nodes[2].state = PLACE_LOST;
	for (i = 0; i < SLOTS; i++)
		f.slots[i].held = i > 0;
	g_assert_true(run_pass(&f, 0) == 1);
	g_assert_true(f.moves.items[0].slot == 0);
	g_assert_true(f.moves.items[0].from == 1);
	g_assert_true(f.moves.items[0].to != 3);
	place_moves_finish(&f.moves);
}

/*
 * Guards against ignoring the document's assign ranges, and against slots
 * without an owner while the nodes that it names are lost.
 */
static void test_assign(void)
{
	static const uint32_t two[] = { 2, 4 };
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	for (i = 0; i < 12; i++) {
		f.slots[i].fixed = two;
		f.slots[i].fixed_count = 2;
	}
	g_assert_true(run_pass(&f, 0) == 8);
	for (i = 0; i < 8; i++) {
		g_assert_true(f.moves.items[i].cause == PLACE_ASSIGN);
		g_assert_true(f.moves.items[i].to == 2 ||
			      f.moves.items[i].to == 4);
	}
	apply_moves(&f);
	f.nodes[1].state = PLACE_LOST;
	f.nodes[3].state = PLACE_LOST;
	run_pass(&f, 0);
	g_assert_true(f.moves.unplaced == 0);
	apply_moves(&f);
	f.nodes[3].state = PLACE_LIVE;
	g_assert_true(run_pass(&f, 0) == 12);
	g_assert_true(f.moves.items[0].to == 4);
	place_moves_finish(&f.moves);
}

/* Guards against slots on a node that the document excludes. */
static void test_not_eligible(void)
{
	struct fixture f;
	size_t i;

	fixture_init(&f);
	f.nodes[0].eligible = 0;
	g_assert_true(run_pass(&f, 0) == 20);
	for (i = 0; i < f.moves.count; i++)
		g_assert_true(f.moves.items[i].to != 1);
	for (i = 0; i < NODES; i++)
		f.nodes[i].eligible = 0;
	g_assert_true(run_pass(&f, 0) == 0);
	g_assert_true(f.moves.unplaced == SLOTS);
	place_moves_finish(&f.moves);
}

/* Guards against more voluntary moves in a minute than the document allows. */
static void test_moves_per_minute(void)
{
	struct fixture f;
	size_t made[1200] = { 0 };
	size_t i;
	int t;
	int k;

	fixture_init(&f);
	f.policy.moves_per_minute = 10;
	for (i = 0; i < SLOTS; i++)
		f.slots[i].owner = i % 2 + 1;
	for (t = 0; t < 1200; t++) {
		size_t sum = 0;

		made[t] = run_pass(&f, t * 1000);
		apply_moves(&f);
		for (k = t; k >= 0 && k > t - 60; k--)
			sum += made[k];
		g_assert_true(sum <= 10);
	}
	g_assert_true(f.moves.peak_to_mean <= 1.15);
	place_moves_finish(&f.moves);
}

/* Guards against moves back and forth because of noise below the bound. */
static void test_hysteresis(void)
{
	struct fixture f;
	GRand *r = g_rand_new_with_seed(3);
	int t;
	int i;

	fixture_init(&f);
	for (t = 0; t < 300; t++) {
		for (i = 0; i < SLOTS; i++)
			f.slots[i].load = g_rand_double_range(r, 0.95, 1.05);
		g_assert_true(run_pass(&f, t * 1000) == 0);
	}
	g_rand_free(r);
	place_moves_finish(&f.moves);
}

static size_t moves_with_weights(double churn, double imbalance)
{
	struct fixture f;
	size_t sum = 0;
	int t;
	int i;

	fixture_init(&f);
	f.policy.weight_churn = churn;
	f.policy.weight_imbalance = imbalance;
	f.policy.moves_per_minute = 1000;
	for (i = 0; i < SLOTS; i++)
		f.slots[i].load = i % NODES == 0 ? 1.3 : 1;
	for (t = 0; t < 60; t++) {
		sum += run_pass(&f, t * 1000);
		apply_moves(&f);
	}
	g_assert_true(f.moves.peak_to_mean <= 1.15);
	place_moves_finish(&f.moves);
	return sum;
}

/*
 * Guards against weights without effect, and against weights that break the
 * document's bound on the peak-to-mean ratio.
 */
static void test_weights(void)
{
	size_t moves_with_churn_weight = moves_with_weights(10, 1);
	size_t moves_with_imbalance_weight = moves_with_weights(1, 10);

	g_assert_true(moves_with_churn_weight > 0);
	g_assert_true(moves_with_churn_weight < moves_with_imbalance_weight);
}

/* Guards against a result that depends on the order of the input. */
static void test_order_of_input(void)
{
	struct fixture a;
	struct fixture b;
	uint32_t i;

	fixture_init(&a);
	fixture_init(&b);
	a.nodes[1].state = PLACE_LOST;
	for (i = 0; i < SLOTS; i++)
		a.slots[i].load = 1 + i % 7;
	for (i = 0; i < NODES; i++)
		b.nodes[i] = a.nodes[NODES - 1 - i];
	for (i = 0; i < SLOTS; i++)
		b.slots[i] = a.slots[SLOTS - 1 - i];
	g_assert_true(run_pass(&a, 60000) == run_pass(&b, 60000));
	for (i = 0; i < a.moves.count; i++) {
		g_assert_true(a.moves.items[i].slot == b.moves.items[i].slot);
		g_assert_true(a.moves.items[i].to == b.moves.items[i].to);
	}
	place_moves_finish(&a.moves);
	place_moves_finish(&b.moves);
}

/*
 * Guards against full load on a node in slow start, and against moving the
 * slots that it has.
 */
static void test_slow_start(void)
{
	struct fixture f;
	size_t cold = 0;
	size_t i;

	fixture_init(&f);
	f.nodes[0].weight = 0.1;
	g_assert_true(run_pass(&f, 60000) == 0);
	for (i = 0; i < SLOTS; i++)
		f.slots[i].owner = 0;
	g_assert_true(run_pass(&f, 60000) == SLOTS);
	for (i = 0; i < SLOTS; i++)
		cold += f.moves.items[i].to == 1;
	g_assert_true(cold >= 1 && cold <= 4);
	place_moves_finish(&f.moves);
}

/* Guards against a pinned key that stays on an overloaded node. */
static void test_pin_moves(void)
{
	struct fixture f;

	fixture_init(&f);
	f.slots[0].is_pin = 1;
	f.slots[0].load = 8;
	g_assert_true(run_pass(&f, 60000) >= 1);
	g_assert_true(f.moves.items[0].cause == PLACE_PIN ||
		      f.moves.items[0].cause == PLACE_IMBALANCE);
	g_assert_true(f.moves.items[0].from == 1);
	g_assert_true(f.moves.peak_to_mean <= 1.15);
	place_moves_finish(&f.moves);
}

/* Guards against too many pins, and against pins added and dropped in turn. */
static void test_pins(void)
{
	struct fixture f;
	struct place_key keys[8];
	struct place_pin out[8];
	size_t n;
	size_t i;

	fixture_init(&f);
	memset(keys, 0, sizeof(keys));
	for (i = 0; i < 8; i++) {
		keys[i].hash = i;
		keys[i].load = i < 6 ? 10.0 + (double)i : 1;
	}
	n = place_decide_pins(&f.policy, 100, keys, 8, 0, out, 8);
	g_assert_true(n == 4);
	g_assert_true(out[0].key == 5 && out[0].add);
	g_assert_true(out[3].key == 2);
	for (i = 0; i < n; i++)
		keys[out[i].key].pinned = 1;
	/* Below the level to pin, above that to drop: no change. */
	keys[5].load = 3;
	g_assert_true(
		place_decide_pins(&f.policy, 100, keys, 8, 1000, out, 8) == 0);
	/* Cold, and a hot key needs the room. */
	keys[5].load = 1;
	n = place_decide_pins(&f.policy, 100, keys, 8, 2000, out, 8);
	g_assert_true(n == 2);
	g_assert_true(out[0].key == 5 && !out[0].add);
	g_assert_true(out[1].key == 1 && out[1].add);
	place_moves_finish(&f.moves);
}

/*
 * Guards against dropping a pin after a single report of little load, and
 * against dropping a pin of the document.
 */
static void test_pins_cold(void)
{
	struct fixture f;
	struct place_key keys[2];
	struct place_pin out[2];

	fixture_init(&f);
	memset(keys, 0, sizeof(keys));
	keys[0].pinned = 1;
	keys[1].pinned = 1;
	keys[1].fixed = 1;
	g_assert_true(
		place_decide_pins(&f.policy, 100, keys, 2, 1000, out, 2) == 0);
	g_assert_true(
		place_decide_pins(&f.policy, 100, keys, 2, 60999, out, 2) == 0);
	g_assert_true(
		place_decide_pins(&f.policy, 100, keys, 2, 61000, out, 2) == 1);
	g_assert_true(out[0].key == 0 && !out[0].add);
	place_moves_finish(&f.moves);
}

/* Guards against averages that follow noise or lag behind a jump. */
static void test_average(void)
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
	g_test_add_func("/place/moves-per-minute", test_moves_per_minute);
	g_test_add_func("/place/hysteresis", test_hysteresis);
	g_test_add_func("/place/weights", test_weights);
	g_test_add_func("/place/order-of-input", test_order_of_input);
	g_test_add_func("/place/slow-start", test_slow_start);
	g_test_add_func("/place/pin-moves", test_pin_moves);
	g_test_add_func("/place/pins", test_pins);
	g_test_add_func("/place/pins-cold", test_pins_cold);
	g_test_add_func("/place/average", test_average);
	return g_test_run();
}
