#include "common/guard.h"
#include "test/unit/explore_world.h"

#include <glib.h>

/*
 * Guards against any order of events that lets two nodes serve one slot. Seeded
 * random schedules run the ownership module through message orders, losses,
 * pauses, restarts, elections and store outages for a few nodes and one slot.
 * After each step, at most one node may serve the slot. In group schedules each
 * fault hits several nodes and coordinators at once, as an outage does.
 *
 * Each guard is switched off once, and the schedules must then reach a
 * violation. Two guards matter in orders too rare for that: hold_ack and
 * roster_growth have their cases in test_own.
 */

#define STEPS 200
#define SCHEDULES 60000
#define GROUP_STEPS 100
#define GROUP_SCHEDULES 60000

/* A kind of schedule. */
struct plan {
	void (*step)(struct world *w);
	int steps;
	int schedules;
};

static const struct plan single_steps = { world_step, STEPS, SCHEDULES };
static const struct plan group_steps = { world_step_group, GROUP_STEPS,
					 GROUP_SCHEDULES };

struct totals {
	unsigned long steps;
	unsigned long steps_served; /* steps at which a node could serve */
	unsigned long takeovers;
	unsigned long expired;
	unsigned long mark_writes;
	unsigned long steps_in_hold; /* steps at which a node was in a hold */
};

/* Returns the first seed with a violation, or -1. */
static int explore(const struct plan *plan, int count, struct totals *t)
{
	for (int seed = 1; seed <= count; seed++) {
		struct world w;
		int violation = 0;

		world_init(&w, (guint32)seed);
		for (int s = 0; s < plan->steps && !violation; s++) {
			int n;

			plan->step(&w);
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
static void test_sole_owner(gconstpointer data)
{
	const struct plan *plan = data;
	struct totals t = { 0 };
	int seed = explore(plan, plan->schedules, &t);

	g_test_message("schedules %d steps %lu served %lu takeovers %lu "
		       "of expired holds %lu marks %lu held %lu",
		       plan->schedules, t.steps, t.steps_served, t.takeovers,
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
struct without_guard {
	const char *name;
	enum guard guard;
	const struct plan *plan;
};

/* Guards against schedules that do not notice a missing guard. */
static void test_without_guard(gconstpointer data)
{
	const struct without_guard *g = data;
	struct totals t = { 0 };
	int seed;

	guard_set(g->guard, 0);
	seed = explore(g->plan, g->plan->schedules * 5, &t);
	guard_set(g->guard, 1);
	g_test_message("violation at seed %d after %lu steps", seed, t.steps);
	g_assert_cmpint(seed, >=, 0);
}
#endif

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/explore/sole_owner", &single_steps,
			     test_sole_owner);
	g_test_add_data_func("/explore/groups", &group_steps, test_sole_owner);
#ifdef PROOF_SWITCHES
	static const struct without_guard guards[] = {
		{ "/explore/without/floor", GUARD_FLOOR, &single_steps },
		{ "/explore/without/term", GUARD_TERM, &single_steps },
		{ "/explore/without/lost_wait", GUARD_LOST_WAIT,
		  &single_steps },
		{ "/explore/without/authority", GUARD_AUTHORITY,
		  &single_steps },
		{ "/explore/without/hold_majority", GUARD_HOLD_MAJORITY,
		  &single_steps },
		{ "/explore/without/hold_marks", GUARD_HOLD_MARKS,
		  &single_steps },
		{ "/explore/without/hold_quorum", GUARD_HOLD_QUORUM,
		  &single_steps },
		{ "/explore/without/compare", GUARD_COMPARE, &single_steps },
		{ "/explore/without/hold_restart", GUARD_HOLD_RESTART,
		  &group_steps },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(guards); i++)
		g_test_add_data_func(guards[i].name, &guards[i],
				     test_without_guard);
#endif
	return g_test_run();
}
