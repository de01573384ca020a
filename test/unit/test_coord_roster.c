#include "test/unit/coord_fixture.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Which nodes the coordinator counts and marks when the roster changes. */

/*
 * Guards against a roster that is written for a join, while a hold is resolved,
 * without the marks of the silent nodes: the next coordinator would take the
 * new process for one of its roster that recorded no hold. test_explore relies
 * on these marks.
 */
static void test_join_while_resolving(void)
{
	Wire__Roster *r;
	struct fixture f;
	uint8_t *bytes;
	size_t len;

	fixture_setup(&f);
	g_assert_cmpint(f.c.own.phase, ==, OWN_RESOLVING);
	own_coord_begin_add(&f.c.own, 1, 11, 0);
	bytes = co_encode_roster(&f.c, &len);
	r = wire__roster__unpack(NULL, len, bytes);
	g_assert_nonnull(r);
	g_assert_cmpuint(r->n_entries, ==, 3);
	for (size_t i = 0; i < r->n_entries; i++)
		g_assert_cmpuint(r->entries[i]->maybe_held, ==,
				 (r->entries[i]->node->id == 1 ? 0 : 3));
	wire__roster__free_unpacked(r, NULL);
	free(bytes);
	fixture_teardown(&f);
}

/*
 * Guards against a connected node of the copy's roster that the newest map
 * hasn't, and that counts in the majority about the holds of the predecessor.
 */
static void test_adopted_map_lacks_connected(void)
{
	struct map newer;
	struct co_conn conn;
	Wire__MapDelta *d;
	struct fixture f;

	/* Since the copy, node 2 has left and node 4 has joined. */
	fixture_setup(&f);
	map_init(&newer);
	d = map_snapshot(&f.c.map);
	g_assert_cmpint(map_apply(&newer, d), ==, ERR_OK);
	map_delta_free(d);
	fixture_add_member(&f, 4);
	co_member_find(&f.c, 4)->dirty = 1;
	co_member_find(&f.c, 2)->removing = 1;
	co_build_delta(&f.c);
	g_assert_cmpint(map_apply(&newer, f.c.write.delta), ==, ERR_OK);
	fixture_teardown(&f);

	fixture_setup(&f);
	co_recover(&f.c);
	memset(&conn, 0, sizeof(conn));
	co_member_find(&f.c, 2)->conn = &conn;
	d = map_snapshot(&newer);
	co_adopt_map(&f.c, co_member_find(&f.c, 1), d);
	g_assert_cmpuint(f.c.map.rev, ==, newer.rev);
	g_assert_nonnull(own_coord_find(&f.c.own, 2));
	g_assert_cmpint(own_coord_find(&f.c.own, 2)->inherited, ==, 0);
	g_assert_cmpuint(f.c.own.inherited_count, ==, 3);
	co_member_find(&f.c, 2)->conn = NULL;
	map_delta_free(d);
	map_finish(&newer);
	fixture_teardown(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/coord_roster/join_while_resolving",
			test_join_while_resolving);
	g_test_add_func("/coord_roster/adopted_map_lacks_connected",
			test_adopted_map_lacks_connected);
	return g_test_run();
}
