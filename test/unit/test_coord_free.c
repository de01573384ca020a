#include "membership/coord.h"

#include <glib.h>
#include <string.h>

/* A store that never answers; it counts the transactions. */
static unsigned txns;

static void keep_txn(struct store *s, const struct store_compare *compares,
		     size_t compare_count, const struct store_put *puts,
		     size_t put_count, store_txn_fn fn, void *priv)
{
	txns++;
}

static const struct store_ops silent_ops = { .txn = keep_txn };

/*
 * Guards against memory of a store call that is lost when the daemon ends while
 * the call is in flight. LeakSanitizer reports it at the end of the test.
 */
static void test_call_in_flight(void)
{
	struct store store = { .ops = &silent_ops };
	struct settings settings = { .store_prefix = "t/" };
	struct record none = { 0 };
	struct coord_config config = {
		.loop = ev_loop_new(EVFLAG_AUTO),
		.settings = &settings,
		.store = &store,
	};
	struct coord *c;

	g_assert_cmpint(coord_new(&c, &config), ==, ERR_OK);
	coord_start_election(c, &none, 0);
	g_assert_cmpuint(txns, ==, 1);
	coord_free(c);
	ev_loop_destroy(config.loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coord_free/call_in_flight", test_call_in_flight);
	return g_test_run();
}
