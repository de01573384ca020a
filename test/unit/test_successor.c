#include "common/guard.h"
#include "ownership/own.h"

#include <glib.h>
#include <string.h>

/*
 * What a coordinator concludes about holds of earlier terms when nodes restart
 * between the hold and its election, or after it.
 */

#define NODES 5
/* The node that is cut off in the hold. */
#define SILENT 4
#define T0 100000
#define HOLD_MS 8000
#define TICK_MS 50

struct roster_entry {
	uint64_t incarnation;
	uint32_t mark;
};

struct fleet {
	struct own_coord c;
	struct own_member m[NODES];
	struct roster_entry roster[NODES]; /* in the store */
	uint64_t last_incarnation;
	int64_t now_ms;
	int lost;      /* the silent node counts as lost */
	int recovered; /* the recovery from a copy may end */
};

static void write_roster(struct fleet *f)
{
	for (uint32_t i = 0; i < NODES; i++) {
		const struct own_peer *p = own_coord_find(&f->c, i + 1);

		if (!p)
			continue;
		f->roster[i].incarnation = p->incarnation;
		f->roster[i].mark = own_coord_hold_mark(&f->c, p);
	}
}

static void exchange(struct fleet *f, int i)
{
	struct own_reply r;
	struct own_ask a;

	own_member_make_ask(&f->m[i], f->now_ms, &a);
	if (own_coord_handle_ask(&f->c, f->now_ms, &a, &r) == OWN_ASK_REPLY)
		own_member_handle_reply(&f->m[i], f->now_ms, &r);
}

/* Lets the node's process join the coordinator in office. */
static void join(struct fleet *f, int i)
{
	struct own_member *m = &f->m[i];

	own_member_observe_term(m, f->c.term, f->now_ms);
	own_coord_begin_add(&f->c, (uint32_t)i + 1, m->incarnation, 0);
	write_roster(f);
	own_coord_finish_add(&f->c, (uint32_t)i + 1, f->now_ms);
	own_member_complete_join(m, (uint32_t)i + 1, f->now_ms);
}

static void restart(struct fleet *f, int i)
{
	own_member_init(&f->m[i], ++f->last_incarnation);
}

/* The nodes from first to last restart and join. */
static void restart_and_join(struct fleet *f, int first, int last)
{
	for (int i = first; i <= last; i++) {
		restart(f, i);
		join(f, i);
	}
}

static int silent_is_lost(const struct fleet *f)
{
	const struct own_peer *p = own_coord_find(&f->c, SILENT + 1);

	return own_coord_is_lost(&f->c, p, f->now_ms, 0);
}

/*
 * Runs for this long: the coordinator reaches the store, the first count nodes
 * reach the coordinator. Ends once the silent node counts as lost, which must
 * not be while it is in a hold.
 */
static void run(struct fleet *f, int count, int64_t for_ms)
{
	for (int64_t end_ms = f->now_ms + for_ms; f->now_ms < end_ms;
	     f->now_ms += TICK_MS) {
		own_coord_extend_authority(&f->c, f->now_ms);
		for (int i = 0; i < count; i++)
			exchange(f, i);
		own_coord_tick(&f->c, f->now_ms);
		if (own_coord_needs_marks(&f->c, f->now_ms)) {
			write_roster(f);
			own_coord_finish_marks(&f->c);
		}
		if (silent_is_lost(f)) {
			g_assert_false(
				own_member_in_hold(&f->m[SILENT], f->now_ms));
			f->lost = 1;
			return;
		}
	}
}

static void run_until_lost(struct fleet *f, int count, int64_t within_ms)
{
	run(f, count, within_ms);
	g_assert_true(f->lost);
}

/* A coordinator of the next term reads the roster from the store. */
static void elect(struct fleet *f)
{
	struct own_times times = own_times_for(0);
	uint64_t term = f->c.term + 1;

	times.hold_max_ms = HOLD_MS;
	own_coord_finish(&f->c);
	own_coord_init_times(&f->c, &times, term, f->now_ms, f->now_ms);
	for (uint32_t i = 0; i < NODES; i++)
		own_coord_add_inherited(&f->c, i + 1, f->roster[i].incarnation,
					0, f->roster[i].mark);
}

/* The nodes from first to last hear of the coordinator in office. */
static void follow(struct fleet *f, int first, int last)
{
	for (int i = first; i <= last; i++)
		own_member_observe_term(&f->m[i], f->c.term, f->now_ms);
}

static void setup(struct fleet *f, gconstpointer data)
{
	struct own_times times = own_times_for(0);

	(void)data;
	memset(f, 0, sizeof(*f));
	f->now_ms = T0;
	times.hold_max_ms = HOLD_MS;
	own_coord_init_times(&f->c, &times, 1, T0, T0);
	restart_and_join(f, 0, NODES - 1);
	run(f, NODES, 500);
}

static void teardown(struct fleet *f, gconstpointer data)
{
	(void)data;
	own_coord_finish(&f->c);
}

/* The store is silent until all nodes are in a hold. */
static void enter_hold(struct fleet *f)
{
	for (int64_t end_ms = f->now_ms + 1500; f->now_ms < end_ms;
	     f->now_ms += TICK_MS) {
		for (int i = 0; i < NODES; i++)
			exchange(f, i);
		own_coord_tick(&f->c, f->now_ms);
	}
	for (int i = 0; i < NODES; i++)
		g_assert_true(own_member_in_hold(&f->m[i], f->now_ms));
}

/*
 * The longest time after which the silent node is lost: the hold may be renewed
 * for OWN_HOLD_QUORUM_MS after a majority follows the successor.
 */
#define LOST_WITHIN_MS (OWN_HOLD_QUORUM_MS + HOLD_MS + 600)

/* The nodes from 0 to this one restart, the others but the silent one stay. */
static const int most = 2, all_others = 3;

/*
 * Guards against a node in a hold whose slots go to others because new
 * processes of most nodes, or of all others, which know of no hold, count as a
 * majority without a record (review/11).
 */
static void test_restarted(struct fleet *f, gconstpointer data)
{
	const int *last = data;

	enter_hold(f);
	elect(f);
	follow(f, *last + 1, SILENT - 1);
	restart_and_join(f, 0, *last);
	run_until_lost(f, 4, LOST_WITHIN_MS);
}

/* The same with two groups that restart one after the other. */
static void test_restarted_in_two_groups(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	elect(f);
	restart_and_join(f, 0, 1);
	run(f, 2, 500);
	restart_and_join(f, 2, 2);
	follow(f, 3, 3);
	run_until_lost(f, 4, LOST_WITHIN_MS);
}

/*
 * Guards against the same when the nodes restart in two groups, each less than
 * half, and the coordinator that took over between them is killed before it has
 * resolved the hold.
 */
static void test_restarted_in_two_terms(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	elect(f);
	restart_and_join(f, 0, 1);
	run(f, 2, 2 * TICK_MS);
	g_assert_cmpint(f->c.phase, ==, OWN_RESOLVING);
	elect(f);
	follow(f, 0, 1);
	restart_and_join(f, 2, 3);
	run_until_lost(f, 4, LOST_WITHIN_MS);
}

/*
 * Guards against the same when the successor is killed after all of its nodes
 * have joined: its own roster, which has the new processes, is the one that the
 * next majority is counted over.
 */
static void test_second_successor(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	elect(f);
	restart_and_join(f, 0, 3);
	run(f, 4, 2 * TICK_MS);
	write_roster(f);
	elect(f);
	follow(f, 0, 3);
	run_until_lost(f, 4, LOST_WITHIN_MS);
}

/*
 * Guards against a silent node that is waited for although most nodes of the
 * roster stated that they had recorded no hold, and restarted only then.
 */
static void test_restarted_after_statement(struct fleet *f, gconstpointer data)
{
	(void)data;
	elect(f);
	follow(f, 0, 2);
	for (int i = 0; i < 3; i++)
		exchange(f, i);
	restart_and_join(f, 0, 2);
	run_until_lost(f, 3, OWN_AUTHORITY_MS + 500);
}

/*
 * Guards against a node that comes back after the marks are written, with its
 * hold, and counts as lost at the end of that hold all the same.
 */
static void test_silent_returns(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	elect(f);
	restart_and_join(f, 0, 2);
	run(f, 3, OWN_AUTHORITY_MS + 500);
	g_assert_false(f->lost);
	g_assert_cmpint(f->c.phase, ==, OWN_NORMAL);
	follow(f, 3, SILENT);
	run(f, NODES, 2 * LOST_WITHIN_MS);
	g_assert_false(f->lost);
	g_assert_cmpuint(f->roster[SILENT].mark, !=, 0);
	write_roster(f);
	g_assert_cmpuint(f->roster[SILENT].mark, ==, 0);
}

/*
 * Guards against new processes that are marked as in a hold, so that their
 * slots stay with them and, if they end again, are waited for until the hold of
 * their predecessors would have ended.
 */
static void test_new_process_unmarked(struct fleet *f, gconstpointer data)
{
	const struct own_peer *p;

	(void)data;
	enter_hold(f);
	elect(f);
	follow(f, 3, 3);
	restart_and_join(f, 0, 2);
	for (int64_t end_ms = f->now_ms + 2 * OWN_AUTHORITY_MS;
	     f->c.phase == OWN_RESOLVING && f->now_ms < end_ms;)
		run(f, 4, TICK_MS);
	g_assert_cmpint(f->c.phase, ==, OWN_NORMAL);
	g_assert_cmpuint(f->roster[SILENT].mark, !=, 0);
	g_assert_cmpuint(f->roster[3].mark, !=, 0);
	for (uint32_t i = 0; i < 3; i++) {
		p = own_coord_find(&f->c, i + 1);
		g_assert_cmpuint(p->maybe_held, ==, 0);
		g_assert_cmpuint(f->roster[i].mark, ==, 0);
	}
}

/*
 * Guards against a majority without a record that comes about because nodes
 * with a record leave the roster while the hold is resolved.
 */
static void test_left_while_resolving(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	/* Two nodes of five missed it, since their replies were lost. */
	f->m[0].hold_term = 0;
	f->m[1].hold_term = 0;
	elect(f);
	follow(f, 0, 3);
	for (int i = 0; i < 4; i++)
		exchange(f, i);
	for (uint32_t id = 3; id <= 4; id++)
		own_coord_remove(&f->c, id);
	run_until_lost(f, 2, LOST_WITHIN_MS);
}

/* A coordinator of the next term reads a copy of the store that came back. */
static void elect_from_copy(struct fleet *f)
{
	elect(f);
	own_coord_begin_recovery(&f->c);
	own_coord_confirm_roster(&f->c);
}

/*
 * Runs with the first count nodes until the recovery may end, which must not be
 * while the silent node is in a hold.
 */
static void recover(struct fleet *f, int count)
{
	for (int64_t end_ms = f->now_ms + LOST_WITHIN_MS; f->now_ms < end_ms;
	     f->now_ms += TICK_MS) {
		own_coord_extend_authority(&f->c, f->now_ms);
		for (int i = 0; i < count; i++)
			exchange(f, i);
		own_coord_tick(&f->c, f->now_ms);
		if (own_coord_is_recovered(&f->c, f->now_ms)) {
			g_assert_false(
				own_member_in_hold(&f->m[SILENT], f->now_ms));
			f->recovered = 1;
			break;
		}
	}
	g_assert_true(f->recovered);
}

/*
 * Guards against members that forget a hold which they were told to leave, and
 * state to the next coordinator that they had recorded none, while another node
 * may still be in it.
 */
static void test_told_to_wait(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	elect_from_copy(f);
	for (int i = 0; i < 3; i++) {
		own_member_wait(&f->m[i]);
		g_assert_false(own_member_in_hold(&f->m[i], f->now_ms));
	}
	elect_from_copy(f);
	follow(f, 0, 3);
	recover(f, 4);
}

/*
 * Guards against a majority that nodes provide which the copy's roster has, and
 * the predecessor's had not any more when the hold was given.
 */
static void test_not_in_newest_roster(struct fleet *f, gconstpointer data)
{
	(void)data;
	enter_hold(f);
	/* The hold was given over the last two nodes alone. */
	for (int i = 0; i < 3; i++) {
		f->m[i].held = 0;
		f->m[i].hold_term = 0;
	}
	elect_from_copy(f);
	follow(f, 0, 3);
	for (uint32_t i = 0; i < 3; i++) {
		exchange(f, (int)i);
		g_assert_false(own_coord_drop_inherited(&f->c, i + 1));
	}
	recover(f, 4);
}

/*
 * Guards against members that are not told to ask when the marks are written,
 * and so stay in the hold and are marked until they renew by themselves.
 */
static void test_phase_change_after_marks(struct fleet *f, gconstpointer data)
{
	int changed;

	(void)data;
	enter_hold(f);
	elect(f);
	follow(f, 0, 3);
	for (int i = 0; i < 4; i++)
		exchange(f, i);
	f->now_ms += 2 * OWN_AUTHORITY_MS;
	own_coord_extend_authority(&f->c, f->now_ms);
	changed = own_coord_tick(&f->c, f->now_ms);
	g_assert_false(changed);
	g_assert_true(own_coord_needs_marks(&f->c, f->now_ms));
	own_coord_finish_marks(&f->c);
	changed = own_coord_tick(&f->c, f->now_ms);
	g_assert_true(changed);
	changed = own_coord_tick(&f->c, f->now_ms);
	g_assert_false(changed);
}

#define ADD_DATA(name, data, fn) \
	g_test_add("/successor/" name, struct fleet, data, setup, fn, teardown)
#define ADD(name, fn) ADD_DATA(name, NULL, fn)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_DATA("majority_restarted", &most, test_restarted);
	ADD_DATA("all_others_restarted", &all_others, test_restarted);
	ADD("restarted_in_two_groups", test_restarted_in_two_groups);
	ADD("restarted_in_two_terms", test_restarted_in_two_terms);
	ADD("second_successor", test_second_successor);
	ADD("restarted_after_statement", test_restarted_after_statement);
	ADD("silent_returns", test_silent_returns);
	ADD("new_process_unmarked", test_new_process_unmarked);
	ADD("left_while_resolving", test_left_while_resolving);
	ADD("phase_change_after_marks", test_phase_change_after_marks);
	ADD("told_to_wait", test_told_to_wait);
	ADD("not_in_newest_roster", test_not_in_newest_roster);
	return g_test_run();
}
