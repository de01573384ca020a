#include "placement/hot_keys.h"

#include <glib.h>
#include <string.h>

static void add_requests(struct hot_keys *h, uint64_t hash, const char *key,
			 int times)
{
	while (times-- > 0)
		hot_keys_add(h, hash, "kiln", key, strlen(key));
}

/* Guards against wrong counts while all keys fit. */
static void test_exact(void)
{
	const struct hot_keys_entry *top[4];
	struct hot_keys h;

	g_assert_true(hot_keys_init(&h, 4) == 0);
	add_requests(&h, 1, "a", 5);
	add_requests(&h, 2, "b", 9);
	add_requests(&h, 3, "c", 1);
	g_assert_true(hot_keys_top(&h, top, 2) == 2);
	g_assert_true(g_str_equal(top[0]->key, "b"));
	g_assert_true(top[0]->count == 9);
	g_assert_true(top[0]->error == 0);
	g_assert_true(g_str_equal(top[1]->key, "a"));
	g_assert_true(h.total == 15);
	hot_keys_reset(&h);
	g_assert_true(hot_keys_top(&h, top, 4) == 0);
	hot_keys_finish(&h);
}

/* Guards against reading past key_len: keys need not be terminated. */
static void test_key_len(void)
{
	const struct hot_keys_entry *top[1];
	struct hot_keys h;

	g_assert_true(hot_keys_init(&h, 4) == 0);
	hot_keys_add(&h, 7, "kiln", "abcdef", 3);
	g_assert_true(hot_keys_top(&h, top, 1) == 1);
	g_assert_true(g_str_equal(top[0]->key, "abc"));
	hot_keys_finish(&h);
}

/*
 * Guards against a sketch that loses a frequent key or has wrong bounds: each
 * key with more than total / capacity requests must be in it, and the real
 * count must be within the bounds of its entry.
 */
static void test_bounds(void)
{
	const struct hot_keys_entry *top[64];
	uint64_t real[1000] = { 0 };
	GRand *r = g_rand_new_with_seed(5);
	struct hot_keys h;
	size_t n;
	size_t i;
	int k;

	g_assert_true(hot_keys_init(&h, 64) == 0);
	for (k = 0; k < 50000; k++) {
		double u = g_rand_double(r);
		uint64_t key = (uint64_t)(1000 * u * u * u);
		char name[16];

		g_snprintf(name, sizeof(name), "%d", (int)key);
		real[key]++;
		hot_keys_add(&h, key, "kiln", name, strlen(name));
	}
	n = hot_keys_top(&h, top, 64);
	g_assert_true(n == 64);
	for (i = 0; i < n; i++) {
		uint64_t key = top[i]->hash;

		g_assert_true(top[i]->count >= real[key]);
		g_assert_true(top[i]->count - top[i]->error <= real[key]);
	}
	for (k = 0; k < 1000; k++) {
		size_t seen = 0;

		for (i = 0; i < n; i++)
			seen += top[i]->hash == (uint64_t)k;
		if (real[k] > h.total / h.capacity)
			g_assert_true(seen == 1);
	}
	hot_keys_finish(&h);
	g_rand_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hot_keys/exact", test_exact);
	g_test_add_func("/hot_keys/key-len", test_key_len);
	g_test_add_func("/hot_keys/bounds", test_bounds);
	return g_test_run();
}
