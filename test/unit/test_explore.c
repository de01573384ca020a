#include "common/guard.h"
#include "test/unit/explore_world.h"

#include <glib.h>

/*
 * Guards against any order of events that lets two nodes serve one slot. Seeded
 * random schedules run the ownership module through message orders, losses,
 * pauses, restarts, elections and store outages for a few nodes and one slot.
 * After each step, at most one node may serve the slot.
 *
 * Each guard is switched off once, and the schedules must then reach a
 * violation. Two guards matter in orders too rare for that: hold_ack and
 * roster_growth have their cases in test_own.
 */

#define STEPS 200
#define SCHEDULES 60000

struct totals {
	unsigned long steps;
	unsigned long steps_served; /* steps at which a node could serve */
	unsigned long takeovers;
	unsigned long expired;
	unsigned long mark_writes;
	unsigned long steps_in_hold; /* steps at which a node was in a hold */
};

/* Returns the first seed with a violation, or -1. */
static int explore(int first, int count, struct totals *t)
{
	for (int seed = first; seed < first + count; seed++) {
		struct world w;
		int violation = 0;

		world_init(&w, (guint32)seed);
		for (int s = 0; s < STEPS && !violation; s++) {
			int n;

			world_step(&w);
			n = world_count_serving(&w);
			violation = n > 1;
			t->steps++;
			t->steps_served += n == 1;
			t->steps_in_hold += world_any_in_hold(&w);
		}
		t->takeovers += w.takeovers;
		t->expired += w.expired;
		t->mark_writes += w.mark_writes;
		world_finish(&w);
		if (violation)
			return seed;
	}
	return -1;
}

/* Guards against any order of events that lets two nodes serve one slot. */
static void test_sole_owner(void)
{
	struct totals t = { 0 };
	int seed = explore(1, SCHEDULES, &t);

	g_test_message("schedules %d steps %lu served %lu takeovers %lu "
		       "of expired holds %lu marks %lu held %lu",
		       SCHEDULES, t.steps, t.steps_served, t.takeovers,
		       t.expired, t.mark_writes, t.steps_in_hold);
	if (seed >= 0)
		g_test_message("violation at seed %d", seed);
	g_assert_cmpint(seed, ==, -1);
	/* The schedules must reach the situations that they are to test. */
	g_assert_cmpuint(t.steps_served, >, t.steps / 10);
	g_assert_cmpuint(t.takeovers, >, 3000);
	g_assert_cmpuint(t.expired, >, 100);
	g_assert_cmpuint(t.steps_in_hold, >, 1000);
}

#ifdef PROOF_SWITCHES
/* Guards against schedules that do not notice a missing guard. */
static void test_without_guard(gconstpointer data)
{
	enum guard g = (enum guard)GPOINTER_TO_INT(data);
	struct totals t = { 0 };
	int seed;

	guard_set(g, 0);
	seed = explore(1, SCHEDULES * 5, &t);
	guard_set(g, 1);
	g_test_message("violation at seed %d after %lu steps", seed, t.steps);
	g_assert_cmpint(seed, >=, 0);
}
#endif

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explore/sole_owner", test_sole_owner);
#ifdef PROOF_SWITCHES
	static const struct {
		const char *name;
		enum guard guard;
	} guards[] = {
		{ "/explore/without/floor", GUARD_FLOOR },
		{ "/explore/without/term", GUARD_TERM },
		{ "/explore/without/lost_wait", GUARD_LOST_WAIT },
		{ "/explore/without/authority", GUARD_AUTHORITY },
		{ "/explore/without/hold_majority", GUARD_HOLD_MAJORITY },
		{ "/explore/without/hold_marks", GUARD_HOLD_MARKS },
		{ "/explore/without/hold_quorum", GUARD_HOLD_QUORUM },
		{ "/explore/without/compare", GUARD_COMPARE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(guards); i++)
		g_test_add_data_func(guards[i].name,
				     GINT_TO_POINTER((int)guards[i].guard),
				     test_without_guard);
#endif
	return g_test_run();
}
