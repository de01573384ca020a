#include "routing/map.h"

#include <glib.h>
#include <string.h>

/* A delta on the stack with room for a few entries of each kind. */
struct delta {
	Wire__MapDelta d;
	Wire__MapService service[4];
	Wire__MapSlot slot[16];
	Wire__MapPin pin[8];
	Wire__Node node[4];
	Wire__MapService *services[4];
	Wire__MapSlot *slots[16];
	Wire__MapPin *pins[8];
	Wire__Node *nodes[4];
	uint32_t removed[4];
};

static void delta_init(struct delta *x, uint64_t base, uint64_t rev)
{
	wire__map_delta__init(&x->d);
	x->d.term = 1;
	x->d.base_rev = base;
	x->d.rev = rev;
	x->d.services = x->services;
	x->d.slots = x->slots;
	x->d.pins = x->pins;
	x->d.nodes = x->nodes;
	x->d.removed_nodes = x->removed;
}

static void add_service(struct delta *x, char *name, uint32_t shards,
			uint32_t first)
{
	size_t i = x->d.n_services++;

	wire__map_service__init(&x->service[i]);
	x->service[i].name = name;
	x->service[i].shards = shards;
	x->service[i].first_slot = first;
	x->services[i] = &x->service[i];
}

static void add_slot(struct delta *x, uint32_t slot, uint32_t owner,
		     uint64_t fence)
{
	size_t i = x->d.n_slots++;

	wire__map_slot__init(&x->slot[i]);
	x->slot[i].slot = slot;
	x->slot[i].owner = owner;
	x->slot[i].fence = fence;
	x->slots[i] = &x->slot[i];
}

static void add_pin(struct delta *x, uint32_t slot, char *service, char *key,
		    int removed)
{
	size_t i = x->d.n_pins++;

	wire__map_pin__init(&x->pin[i]);
	x->pin[i].slot = slot;
	x->pin[i].service = service;
	x->pin[i].key = key;
	x->pin[i].removed = removed;
	x->pins[i] = &x->pin[i];
}

static void add_node(struct delta *x, uint32_t id, char *name)
{
	size_t i = x->d.n_nodes++;

	wire__node__init(&x->node[i]);
	x->node[i].id = id;
	x->node[i].name = name;
	x->node[i].address = "127.0.0.1";
	x->nodes[i] = &x->node[i];
}

/*
 * Makes a map of revision 5: two nodes, service "kiln" with 4 shards and one
 * pinned key, service "mold" with 2 shards.
 */
static void make_map(struct map *m)
{
	struct delta x = { 0 };

	map_init(m);
	delta_init(&x, 0, 5);
	add_service(&x, "kiln", 4, 0);
	add_service(&x, "mold", 2, 8);
	add_node(&x, 1, "n01");
	add_node(&x, 2, "n02");
	for (uint32_t i = 0; i < 4; i++)
		add_slot(&x, i, 1, 5);
	add_slot(&x, 4, 2, 5);
	add_pin(&x, 4, "kiln", "passau-1", 0);
	g_assert_cmpint(map_apply(m, &x.d), ==, ERR_OK);
}

static GBytes *pack(const struct map *m)
{
	Wire__MapDelta *d = map_snapshot(m);
	size_t size = wire__map_delta__get_packed_size(d);
	uint8_t *data = g_malloc(size);

	wire__map_delta__pack(d, data);
	map_delta_free(d);
	return g_bytes_new_take(data, size);
}

/* Guards against a delta that is applied to a revision other than its base. */
static void test_delta(void)
{
	struct delta x = { 0 };
	struct map m;

	make_map(&m);
	delta_init(&x, 5, 6);
	add_slot(&x, 2, 2, 6);
	g_assert_cmpint(map_apply(&m, &x.d), ==, ERR_OK);
	g_assert_cmpuint(m.rev, ==, 6);
	g_assert_cmpuint(m.slots[2].owner, ==, 2);
	g_assert_cmpuint(m.slots[2].fence, ==, 6);
	g_assert_cmpuint(m.slots[1].owner, ==, 1);
	g_assert_cmpuint(m.slots[1].fence, ==, 5);
	/* Its base is not the current revision any more. */
	g_assert_cmpint(map_apply(&m, &x.d), ==, ERR_STALE);
	g_assert_cmpuint(m.rev, ==, 6);
	map_finish(&m);
}

static void expect_error(const struct delta *x, enum err expected)
{
	struct map m;
	GBytes *before, *after;

	make_map(&m);
	before = pack(&m);
	g_assert_cmpint(map_apply(&m, &x->d), ==, expected);
	after = pack(&m);
	g_assert_true(g_bytes_equal(before, after));
	g_bytes_unref(before);
	g_bytes_unref(after);
	map_finish(&m);
}

/*
 * Guards against a delta from a lagging or replaced sender that reverts newer
 * changes.
 */
static void test_stale_changes_nothing(void)
{
	struct delta x = { 0 };

	delta_init(&x, 4, 6);
	add_slot(&x, 0, 2, 6);
	expect_error(&x, ERR_STALE);
	delta_init(&x, 6, 7);
	expect_error(&x, ERR_STALE);
	delta_init(&x, 0, 4);
	expect_error(&x, ERR_STALE);
	delta_init(&x, 5, 6);
	x.d.term = 0;
	expect_error(&x, ERR_STALE);
}

/*
 * Guards against a malformed delta that is applied in part: the invalid entry
 * follows a valid one.
 */
static void test_malformed_changes_nothing(void)
{
	static const struct {
		uint32_t slot;
		uint32_t owner;
		uint64_t fence;
	} bad[] = {
		{ UINT32_MAX, 1, 6 }, /* slot out of range */
		{ 1, 77, 6 },	      /* node not in the map */
		{ 1, 2, 7 },	      /* fence of a later revision */
		{ 1, 1, 4 },	      /* lower fence */
		{ 1, 2, 5 },	      /* new owner with the old fence */
		{ 0, 2, 6 },	      /* slot twice in one delta */
	};
	struct delta x;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		memset(&x, 0, sizeof(x));
		delta_init(&x, 5, 6);
		add_slot(&x, 0, 2, 6);
		add_slot(&x, bad[i].slot, bad[i].owner, bad[i].fence);
		expect_error(&x, ERR_MALFORMED);
	}
	memset(&x, 0, sizeof(x));
	delta_init(&x, 5, 5);
	expect_error(&x, ERR_MALFORMED);
}

/*
 * Guards against services whose shard counts or slot ranges break the look-up
 * of keys.
 */
static void test_malformed_services(void)
{
	struct delta x;

	for (uint32_t shards = 0; shards <= 3; shards += 3) {
		memset(&x, 0, sizeof(x));
		delta_init(&x, 5, 6);
		add_service(&x, "kiln", shards, 0);
		expect_error(&x, ERR_MALFORMED);
	}
	memset(&x, 0, sizeof(x));
	delta_init(&x, 5, 6);
	add_service(&x, "kiln", 4, 0);
	add_service(&x, "mold", 4, 3);
	expect_error(&x, ERR_MALFORMED);
	memset(&x, 0, sizeof(x));
	delta_init(&x, 5, 6);
	add_service(&x, "kiln", 8, 0); /* covers the pin's slot */
	expect_error(&x, ERR_MALFORMED);
	memset(&x, 0, sizeof(x));
	delta_init(&x, 5, 6);
	add_service(&x, "kiln", 4, UINT32_MAX - 1);
	expect_error(&x, ERR_MALFORMED);
}

/* Guards against two pins in one slot, or a pin in a shard's slot. */
static void test_malformed_pins(void)
{
	static const uint32_t slots[] = { 0, 4, UINT32_MAX };
	struct delta x;

	for (size_t i = 0; i < G_N_ELEMENTS(slots); i++) {
		memset(&x, 0, sizeof(x));
		delta_init(&x, 5, 6);
		add_pin(&x, slots[i], "kiln", "other", 0);
		expect_error(&x, ERR_MALFORMED);
	}
	memset(&x, 0, sizeof(x));
	delta_init(&x, 5, 6);
	add_pin(&x, 20, "kiln", "a", 0);
	add_pin(&x, 20, "kiln", "b", 0);
	expect_error(&x, ERR_MALFORMED);
}

/* Guards against a snapshot that loses part of the map. */
static void test_snapshot(void)
{
	Wire__MapDelta *d;
	GBytes *a, *b;
	struct map m, copy;

	make_map(&m);
	map_init(&copy);
	d = map_snapshot(&m);
	g_assert_cmpuint(d->base_rev, ==, 0);
	g_assert_cmpint(map_apply(&copy, d), ==, ERR_OK);
	map_delta_free(d);
	a = pack(&m);
	b = pack(&copy);
	g_assert_true(g_bytes_equal(a, b));
	g_assert_cmpstr(map_find_node_by_name(&copy, "n02")->info->address, ==,
			"127.0.0.1");
	g_bytes_unref(a);
	g_bytes_unref(b);
	map_finish(&m);
	map_finish(&copy);
}

/*
 * Guards against slots of a snapshot that are taken for new ones: their node
 * would serve again what it has released, while the coordinator gives it to
 * another node.
 */
static void test_gain(void)
{
	struct delta x = { 0 };
	Wire__MapDelta *d;
	struct map m;

	make_map(&m);
	d = map_snapshot(&m);
	for (size_t i = 0; i < d->n_slots; i++)
		g_assert_false(map_is_gain(&m, d->slots[i], 1));
	map_delta_free(d);
	delta_init(&x, 5, 6);
	add_slot(&x, 0, 1, 5); /* as before */
	add_slot(&x, 1, 1, 6); /* a new fence */
	add_slot(&x, 2, 2, 6); /* to another node */
	add_slot(&x, 4, 1, 6); /* from another node */
	add_slot(&x, 8, 1, 6); /* had no owner */
	add_slot(&x, 99, 1, 6);
	g_assert_false(map_is_gain(&m, &x.slot[0], 1));
	g_assert_true(map_is_gain(&m, &x.slot[1], 1));
	g_assert_false(map_is_gain(&m, &x.slot[2], 1));
	g_assert_true(map_is_gain(&m, &x.slot[2], 2));
	g_assert_true(map_is_gain(&m, &x.slot[3], 1));
	g_assert_true(map_is_gain(&m, &x.slot[4], 1));
	g_assert_true(map_is_gain(&m, &x.slot[5], 1));
	g_assert_false(map_is_gain(&m, &x.slot[4], 0));
	map_finish(&m);
}

/* Guards against a pinned key that is still routed by its shard. */
static void test_pin_before_shard(void)
{
	const struct map_service *s;
	struct delta x = { 0 };
	struct map m;

	make_map(&m);
	s = map_find_service(&m, "kiln");
	g_assert_nonnull(s);
	g_assert_cmpuint(map_slot_of(&m, s, "passau-1", 8), ==, 4);
	g_assert_cmpuint(map_slot_of(&m, s, "passau-2", 8), <, 4);
	/* The pin is of one service only. */
	g_assert_cmpuint(
		map_slot_of(&m, map_find_service(&m, "mold"), "passau-1", 8),
		>=, 8);
	g_assert_cmpstr(map_service_of_slot(&m, 4), ==, "kiln");
	g_assert_cmpstr(map_service_of_slot(&m, 9), ==, "mold");
	g_assert_null(map_service_of_slot(&m, 5));
	/* One delta can pass a slot from one pin to another. */
	delta_init(&x, 5, 6);
	add_pin(&x, 4, "kiln", "passau-1", 1);
	add_pin(&x, 4, "kiln", "passau-2", 0);
	g_assert_cmpint(map_apply(&m, &x.d), ==, ERR_OK);
	s = map_find_service(&m, "kiln");
	g_assert_cmpuint(map_slot_of(&m, s, "passau-1", 8), <, 4);
	g_assert_cmpuint(map_slot_of(&m, s, "passau-2", 8), ==, 4);
	map_finish(&m);
}

/* Guards against a snapshot that resets a slot's fence by omitting the slot. */
static void test_fence_survives_snapshot(void)
{
	struct delta x = { 0 };
	struct map m;

	make_map(&m);
	delta_init(&x, 0, 6);
	add_service(&x, "kiln", 4, 0);
	add_node(&x, 2, "n02");
	add_slot(&x, 0, 2, 6);
	g_assert_cmpint(map_apply(&m, &x.d), ==, ERR_OK);
	g_assert_cmpuint(m.slots[1].owner, ==, 0);
	g_assert_cmpuint(m.slots[1].fence, ==, 5);
	g_assert_null(map_find_node(&m, 1));
	memset(&x, 0, sizeof(x));
	delta_init(&x, 6, 7);
	add_slot(&x, 1, 2, 5);
	g_assert_cmpint(map_apply(&m, &x.d), ==, ERR_MALFORMED);
	map_finish(&m);
}

/*
 * Guards against a difference between map_slot_of and map_hash_key, and
 * against equal hashes of one key in two services.
 */
static void test_hash(void)
{
	const struct map_service *s;
	struct map m;

	make_map(&m);
	s = map_find_service(&m, "kiln");
	for (int i = 0; i < 1000; i++) {
		char key[300];
		size_t len = (size_t)g_snprintf(key, sizeof(key), "%*d",
						1 + i % 290, i);
		uint64_t hash = map_hash_key("kiln", key, len);

		g_assert_cmpuint(map_slot_of(&m, s, key, len), ==, hash % 4);
		g_assert_cmpuint(hash, !=, map_hash_key("mold", key, len));
	}
	/* A constant, since daemons of all versions must agree on the shard. */
	g_assert_cmphex(map_hash_key("kiln", "passau-1", 8), ==,
			0x0949a086e2840b37);
	map_finish(&m);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/map/delta", test_delta);
	g_test_add_func("/map/stale", test_stale_changes_nothing);
	g_test_add_func("/map/malformed", test_malformed_changes_nothing);
	g_test_add_func("/map/malformed_services", test_malformed_services);
	g_test_add_func("/map/malformed_pins", test_malformed_pins);
	g_test_add_func("/map/snapshot", test_snapshot);
	g_test_add_func("/map/gain", test_gain);
	g_test_add_func("/map/pin_before_shard", test_pin_before_shard);
	g_test_add_func("/map/fence", test_fence_survives_snapshot);
	g_test_add_func("/map/hash", test_hash);
	return g_test_run();
}
