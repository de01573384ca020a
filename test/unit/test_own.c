#include "common/guard.h"
#include "ownership/own.h"

#include <glib.h>

/* Cases that the random schedules of test_explore rarely reach. */

#define T0 100000

struct fixture {
	struct own_coord c;
	struct own_member m[3];
};

static void exchange(struct fixture *f, int i, int64_t now_ms)
{
	struct own_reply r;
	struct own_ask a;

	own_member_make_ask(&f->m[i], now_ms, &a);
	if (own_coord_handle_ask(&f->c, now_ms, &a, &r) == OWN_ASK_REPLY)
		own_member_handle_reply(&f->m[i], now_ms, &r);
}

static void setup(struct fixture *f, gconstpointer data)
{
	(void)data;
	own_coord_init(&f->c, 1, T0, T0);
	for (int i = 0; i < 3; i++) {
		own_member_init(&f->m[i], (uint64_t)i + 100);
		own_member_observe_term(&f->m[i], 1, T0);
		own_coord_begin_add(&f->c, (uint32_t)i + 1, (uint64_t)i + 100,
				    0);
		own_coord_finish_add(&f->c, (uint32_t)i + 1, T0);
		own_member_complete_join(&f->m[i], (uint32_t)i + 1, T0);
	}
	own_coord_tick(&f->c, T0);
	for (int i = 0; i < 3; i++)
		exchange(f, i, T0);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	own_coord_finish(&f->c);
}

static int may_serve(struct fixture *f, int i, int64_t now_ms)
{
	int64_t end_ms;

	return own_member_may_serve(&f->m[i], now_ms, 0, &end_ms) == ERR_OK;
}

static int is_lost(struct fixture *f, int i, int64_t now_ms)
{
	return own_coord_is_lost(&f->c, own_coord_find(&f->c, (uint32_t)i + 1),
				 now_ms, 0);
}

/*
 * Advances the time without a confirmation until a hold can be committed.
 * Returns that time.
 */
static int64_t enter_hold(struct fixture *f)
{
	int64_t now_ms = T0 + OWN_HOLD_AFTER_MS;

	own_coord_tick(&f->c, now_ms);
	g_assert_cmpint(f->c.phase, ==, OWN_PREPARING);
	for (int round = 0; round < 2; round++) {
		for (int i = 0; i < 3; i++)
			exchange(f, i, now_ms);
	}
	own_coord_tick(&f->c, now_ms);
	g_assert_cmpint(f->c.phase, ==, OWN_HOLDING);
	return now_ms;
}

/*
 * Guards against a member that serves after the end of its grant, and against a
 * coordinator that declares the member lost before that.
 */
static void test_grant_ends(struct fixture *f, gconstpointer data)
{
	(void)data;
	g_assert_true(may_serve(f, 0, T0 + OWN_GRANT_MS - 1));
	g_assert_false(may_serve(f, 0, T0 + OWN_GRANT_MS));
	own_coord_extend_authority(&f->c, T0 + 1000);
	own_coord_tick(&f->c, T0 + 1000);
	own_coord_tick(&f->c, T0 + 1200);
	g_assert_false(is_lost(f, 0, T0 + OWN_GRANT_MS));
	g_assert_true(is_lost(f, 0, T0 + OWN_GRANT_MS + 300));
}

/* Guards against an outage of the store that ends all service. */
static void test_serves_in_hold(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_hold(f);

	(void)data;
	for (int i = 0; i < 3; i++)
		exchange(f, i, now_ms);
	g_assert_true(may_serve(f, 0, now_ms + 3600 * 1000));
	g_assert_false(is_lost(f, 0, now_ms + 3600 * 1000));
}

/*
 * Guards against a hold that ends before the roster in the store says which
 * nodes may still be in it.
 */
static void test_hold_needs_marks(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_hold(f);
	struct own_peer *silent = own_coord_find(&f->c, 3);

	(void)data;
	for (int i = 0; i < 3; i++)
		exchange(f, i, now_ms);
	now_ms += 10000;
	own_coord_extend_authority(&f->c, now_ms);
	own_coord_tick(&f->c, now_ms);
	g_assert_true(own_coord_needs_marks(&f->c, now_ms));
	g_assert_true(own_coord_hold_mark(&f->c, silent));
	/* Until the marks are written, no member is told to leave the hold. */
	exchange(f, 0, now_ms);
	g_assert_true(f->m[0].held);
	own_coord_finish_marks(&f->c);
	exchange(f, 0, now_ms);
	g_assert_false(f->m[0].held);
	g_assert_false(is_lost(f, 2, now_ms + 100));
	g_assert_true(silent->maybe_held);
}

/*
 * Delivers an ask that the member sent before it entered the hold, but that
 * arrives after the hold has ended. The ask has no record, as if the member had
 * left the hold. Sets *lost to whether the coordinator declares it lost.
 */
static void deliver_late_ask(struct fixture *f, int *lost)
{
	int64_t now_ms = T0 + OWN_HOLD_AFTER_MS;
	struct own_reply commit;
	struct own_ask first, late;

	/* Nodes 0 and 1 record the hold; node 2 hears nothing of it. */
	own_coord_tick(&f->c, now_ms);
	for (int round = 0; round < 2; round++) {
		exchange(f, 0, now_ms);
		exchange(f, 1, now_ms);
	}
	own_coord_tick(&f->c, now_ms);
	own_member_make_ask(&f->m[2], now_ms, &first);
	own_member_make_ask(&f->m[2], now_ms, &late);
	g_assert_cmpint(own_coord_handle_ask(&f->c, now_ms, &first, &commit),
			==, OWN_ASK_REPLY);
	own_member_handle_reply(&f->m[2], now_ms, &commit);
	g_assert_true(f->m[2].held);
	/* The store is back; of node 2, only the late asks arrive. */
	now_ms += 5000;
	own_coord_extend_authority(&f->c, now_ms);
	own_coord_tick(&f->c, now_ms);
	own_coord_finish_marks(&f->c);
	own_coord_handle_ask(&f->c, now_ms, &late, &commit);
	late.seq++;
	own_coord_handle_ask(&f->c, now_ms, &late, &commit);
	now_ms += 3000;
	own_coord_extend_authority(&f->c, now_ms);
	own_coord_tick(&f->c, now_ms);
	*lost = is_lost(f, 2, now_ms + 300);
}

/* Guards against a node in a hold that a late ask makes look lost. */
static void test_late_ask(struct fixture *f, gconstpointer data)
{
	int lost;

	(void)data;
	deliver_late_ask(f, &lost);
	g_assert_true(may_serve(f, 2, T0 + 60000));
	g_assert_false(lost);
}

#ifdef PROOF_SWITCHES
/* Guards against a late_ask case that passes without the guard. */
static void test_late_ask_unguarded(struct fixture *f, gconstpointer data)
{
	int lost;

	(void)data;
	guard_set(GUARD_HOLD_ACK, 0);
	deliver_late_ask(f, &lost);
	guard_set(GUARD_HOLD_ACK, 1);
	g_assert_true(lost);
}
#endif

/*
 * Guards against a reply that arrives after a newer one and clears the hold
 * that the newer one made the member record.
 */
static void test_reordered_replies(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = T0 + 100;
	struct own_reply none, prepare;
	struct own_ask a, b;

	(void)data;
	own_member_make_ask(&f->m[0], now_ms, &a);
	own_coord_handle_ask(&f->c, now_ms, &a, &none);
	own_coord_tick(&f->c, T0 + OWN_HOLD_AFTER_MS);
	own_member_make_ask(&f->m[0], now_ms, &b);
	own_coord_handle_ask(&f->c, now_ms, &b, &prepare);
	g_assert_cmpint(prepare.hold, ==, OWN_HOLD_PREPARE);
	g_assert_true(own_member_handle_reply(&f->m[0], now_ms, &prepare));
	g_assert_false(own_member_handle_reply(&f->m[0], now_ms, &none));
	g_assert_cmpuint(f->m[0].hold_term, ==, 1);
}

/*
 * Guards against a coordinator that was itself paused and then declares all
 * nodes lost before it has read their asks.
 */
static void test_coordinator_pause(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = T0 + 60000;

	(void)data;
	own_coord_extend_authority(&f->c, now_ms);
	own_coord_tick(&f->c, now_ms);
	g_assert_false(is_lost(f, 0, now_ms + 1));
	own_coord_extend_authority(&f->c, now_ms + 200);
	own_coord_tick(&f->c, now_ms + 200);
	g_assert_true(is_lost(f, 0, now_ms + OWN_PAUSE_MS + 1));
}

/* Guards against a successor that declares a node in a hold lost. */
static void test_successor_respects_hold(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_hold(f);
	struct fixture s;

	(void)data;
	for (int i = 0; i < 3; i++)
		exchange(f, i, now_ms);
	/* Node 2 is cut off; the others follow the successor. */
	s = *f;
	own_coord_init(&s.c, 2, now_ms, now_ms);
	for (int i = 0; i < 3; i++)
		own_coord_add_inherited(&s.c, (uint32_t)i + 1,
					(uint64_t)i + 100, 0, 0);
	for (int i = 0; i < 2; i++) {
		own_member_observe_term(&s.m[i], 2, now_ms);
		exchange(&s, i, now_ms);
	}
	own_coord_tick(&s.c, now_ms + 100);
	g_assert_cmpint(s.c.phase, ==, OWN_RESOLVING);
	now_ms += 2 * OWN_AUTHORITY_MS;
	own_coord_extend_authority(&s.c, now_ms);
	own_coord_tick(&s.c, now_ms);
	g_assert_true(own_coord_needs_marks(&s.c, now_ms));
	own_coord_finish_marks(&s.c);
	own_coord_tick(&s.c, now_ms);
	g_assert_false(own_coord_is_lost(&s.c, own_coord_find(&s.c, 3),
					 now_ms + 300, 0));
	own_coord_forget(&s.c, 3);
	g_assert_true(own_coord_is_lost(&s.c, own_coord_find(&s.c, 3),
					now_ms + 300, 0));
	own_coord_finish(&s.c);
}

/* Guards against a hold that lets a node serve while its slots are moved. */
static void test_leaving_node_gets_no_hold(struct fixture *f,
					   gconstpointer data)
{
	struct own_peer *p = own_coord_find(&f->c, 3);
	int64_t now_ms;

	(void)data;
	p->leaving = 1;
	now_ms = enter_hold(f);
	exchange(f, 2, now_ms);
	g_assert_false(f->m[2].held);
	g_assert_false(may_serve(f, 2, now_ms + OWN_GRANT_MS));
	g_assert_false(own_coord_may_change(&f->c));
}

#define HOLD_MS 8000

/* Puts all members in a hold of HOLD_MS. Returns the time when it began. */
static int64_t enter_bounded_hold(struct fixture *f)
{
	int64_t now_ms;

	f->c.times.hold_max_ms = HOLD_MS;
	now_ms = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, now_ms);
	return now_ms;
}

/* Guards against a bounded hold that does not end without its coordinator. */
static void test_bounded_hold_ends(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);
	int64_t end_ms;

	(void)data;
	g_assert_true(may_serve(f, 0, now_ms + HOLD_MS - 1));
	g_assert_false(may_serve(f, 0, now_ms + HOLD_MS));
	g_assert_cmpint(own_member_may_serve(&f->m[0], now_ms, 0, &end_ms), ==,
			ERR_OK);
	g_assert_cmpint(end_ms, ==, now_ms + HOLD_MS);
}

/*
 * Guards against a bounded hold that ends in a long outage although the
 * coordinator is alive to renew it.
 */
static void test_bounded_hold_renewed(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);

	(void)data;
	for (int round = 0; round < 100; round++) {
		now_ms += OWN_RENEW_MS;
		for (int i = 0; i < 3; i++)
			exchange(f, i, now_ms);
	}
	g_assert_true(may_serve(f, 2, now_ms + HOLD_MS - 1));
}

/*
 * Guards against a deposed coordinator, cut off with a minority of the nodes,
 * that renews a hold after its successor took it to have ended.
 */
static void test_minority_not_renewed(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f) + OWN_HOLD_QUORUM_MS;
	int64_t end_ms = f->m[2].hold_end_ms;

	(void)data;
	/* Its first ask acknowledges a reply from before the cut. */
	exchange(f, 2, now_ms);
	exchange(f, 2, now_ms + 1);
	g_assert_cmpint(f->m[2].hold_end_ms, ==, end_ms);
}

/* Ticks until now_ms; returns 1 if the node is lost then. */
static int is_lost_at(struct own_coord *c, uint32_t id, int64_t now_ms)
{
	/* The first tick follows a pause, so no node is lost for a while. */
	for (int64_t ms = now_ms - OWN_PAUSE_MS - 100; ms <= now_ms; ms += 50) {
		own_coord_extend_authority(c, ms);
		own_coord_tick(c, ms);
	}
	return own_coord_is_lost(c, own_coord_find(c, id), now_ms, 0);
}

/*
 * Guards against slots that stay assigned to a node which stopped during an
 * outage of the store, until an operator forgets it.
 */
static void test_node_lost_after_outage(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);

	(void)data;
	own_coord_extend_authority(&f->c, now_ms + 1000);
	own_coord_tick(&f->c, now_ms + 1000);
	g_assert_cmpint(f->c.phase, ==, OWN_RELEASING);
	own_coord_finish_marks(&f->c);
	g_assert_false(is_lost_at(&f->c, 3, now_ms + HOLD_MS));
	g_assert_true(is_lost_at(&f->c, 3,
				 now_ms + OWN_HOLD_QUORUM_MS + 2 * HOLD_MS));
}

/*
 * Starts a successor of the hold's coordinator with a roster of this many
 * nodes. The first `promised` of them follow it; the others have this mark.
 */
static void start_successor(struct own_coord *c, struct fixture *f,
			    uint64_t term, uint32_t nodes, uint32_t promised,
			    uint32_t mark, int64_t now_ms)
{
	struct own_times times = own_times_for(0);

	times.hold_max_ms = HOLD_MS;
	own_coord_init_times(c, &times, term, now_ms, now_ms);
	for (uint32_t id = 1; id <= nodes; id++) {
		struct own_ask a = { .node_id = id,
				     .incarnation = id + 99,
				     .term = term,
				     .seq = 1 };
		struct own_reply r;

		own_coord_add_inherited(c, id, id + 99, 0,
					id > promised ? mark : 0);
		if (id > promised)
			continue;
		a.hold_term = id <= 3 ? f->m[id - 1].hold_term : 0;
		own_coord_handle_ask(c, now_ms, &a, &r);
	}
	own_coord_tick(c, now_ms);
}

/*
 * Guards against a successor that waits for ever for a node that stopped in a
 * hold, or that moves its slots while the hold may still be renewed.
 */
static void test_successor_waits_for_hold_end(struct fixture *f,
					      gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);
	struct own_coord s;

	(void)data;
	start_successor(&s, f, 2, 3, 2, 0, now_ms);
	own_coord_tick(&s, now_ms + 2 * OWN_AUTHORITY_MS);
	g_assert_true(own_coord_needs_marks(&s, now_ms + 2 * OWN_AUTHORITY_MS));
	g_assert_cmpuint(own_coord_hold_mark(&s, own_coord_find(&s, 3)), ==, 3);
	own_coord_finish_marks(&s);
	g_assert_false(
		is_lost_at(&s, 3, now_ms + OWN_HOLD_QUORUM_MS + HOLD_MS));
	g_assert_true(
		is_lost_at(&s, 3, now_ms + OWN_HOLD_QUORUM_MS + HOLD_MS + 600));
	own_coord_finish(&s);
}

/*
 * Guards against a successor that waits for silent nodes although all nodes
 * have sent an ask.
 */
static void test_marks_when_all_heard(struct fixture *f, gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);
	struct own_coord s;

	(void)data;
	start_successor(&s, f, 2, 3, 2, 0, now_ms);
	g_assert_false(own_coord_needs_marks(&s, now_ms));
	own_coord_finish(&s);
	start_successor(&s, f, 2, 3, 3, 0, now_ms);
	g_assert_true(own_coord_needs_marks(&s, now_ms));
	own_coord_finish(&s);
}

/*
 * Guards against a majority that nodes joined after the hold provide. Two nodes
 * of three in a hold are a majority of the roster that the hold was counted
 * over, however many nodes have joined the successor since.
 */
static void test_joined_nodes_are_no_majority(struct fixture *f,
					      gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);
	struct own_coord s;

	(void)data;
	start_successor(&s, f, 3, 9, 7, 3, now_ms);
	g_assert_cmpint(s.promised_ms, ==, 0);
	g_assert_false(is_lost_at(&s, 9, now_ms + 100 * HOLD_MS));
	own_coord_finish(&s);
	start_successor(&s, f, 3, 9, 8, 3, now_ms);
	g_assert_cmpint(s.promised_ms, !=, 0);
	own_coord_finish(&s);
}

/*
 * Guards against new nodes in the roster while holds of earlier terms are being
 * resolved: the next successor would count them as nodes without a record.
 */
static void test_no_new_nodes_while_resolving(struct fixture *f,
					      gconstpointer data)
{
	int64_t now_ms = enter_bounded_hold(f);
	struct own_coord s;

	(void)data;
	start_successor(&s, f, 2, 3, 2, 0, now_ms);
	g_assert_cmpint(s.phase, ==, OWN_RESOLVING);
	g_assert_false(own_coord_may_add(&s));
	g_assert_true(own_coord_may_change(&s));
	own_coord_finish_marks(&s);
	g_assert_true(own_coord_may_add(&s));
	own_coord_finish(&s);
}

/*
 * Guards against a coordinator that alone is cut off from the store and keeps
 * the fleet in a hold, in which no slot moves, although the store answers the
 * standby.
 */
static void test_standby_takes_over(struct fixture *f, gconstpointer data)
{
	int64_t now_ms;

	(void)data;
	f->m[1].standby_rank = 1;
	f->m[2].standby_rank = 2;
	now_ms = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, now_ms);
	f->m[1].standby_rank = 1;
	f->m[2].standby_rank = 2;
	g_assert_false(own_member_should_take_over(
		&f->m[1], now_ms + OWN_TAKEOVER_AFTER_MS - 1));
	g_assert_true(own_member_should_take_over(
		&f->m[1], now_ms + OWN_TAKEOVER_AFTER_MS));
	g_assert_false(own_member_should_take_over(
		&f->m[2], now_ms + OWN_TAKEOVER_AFTER_MS));
	/*
	 * Nor while the standbys, too, are cut off: the others follow, one
	 * after the other.
	 */
	f->m[0].node_id = 33;
	g_assert_false(own_member_should_take_over(
		&f->m[0],
		now_ms + OWN_TAKEOVER_OTHERS_MS + OWN_TAKEOVER_STEP_MS - 1));
	g_assert_true(own_member_should_take_over(
		&f->m[0],
		now_ms + OWN_TAKEOVER_OTHERS_MS + OWN_TAKEOVER_STEP_MS));
	/* Guards against repeated elections while a successor resolves. */
	own_member_observe_term(&f->m[1], 2, now_ms + OWN_TAKEOVER_AFTER_MS);
	g_assert_false(own_member_should_take_over(
		&f->m[1], now_ms + 9 * OWN_TAKEOVER_AFTER_MS));
}

/* Lets a successor take over at now_ms from the fixture's coordinator. */
static void take_over(struct fixture *f, int64_t now_ms, int64_t hold_max_ms)
{
	struct own_times times = own_times_for(0);

	times.hold_max_ms = hold_max_ms;
	own_coord_finish(&f->c);
	own_coord_init_times(&f->c, &times, f->c.term + 1, now_ms, now_ms);
	for (uint32_t id = 1; id <= 3; id++)
		own_coord_add_inherited(&f->c, id, id + 99, 5, 0);
	own_coord_begin_recovery(&f->c);
	own_coord_confirm_roster(&f->c);
}

/* Keeps the authority, and lets the first count members ask, up to end_ms. */
static void run_members(struct fixture *f, int count, int64_t now_ms,
			int64_t end_ms)
{
	for (; now_ms <= end_ms; now_ms += 100) {
		own_coord_extend_authority(&f->c, now_ms);
		for (int i = 0; i < count; i++) {
			own_member_observe_term(&f->m[i], f->c.term, now_ms);
			exchange(f, i, now_ms);
		}
		own_coord_tick(&f->c, now_ms);
	}
}

/*
 * Guards against grants by a map that came back with a copy of the store, while
 * grants by the predecessor's map may be in force: two nodes would serve a slot
 * that was moved after the copy.
 */
static void test_recovery_waits(struct fixture *f, gconstpointer data)
{
	int64_t t = T0 + 200;
	int64_t waited_ms = OWN_AUTHORITY_MS + 100;
	int64_t end_ms;

	(void)data;
	take_over(f, t, 0);
	run_members(f, 3, t, t + OWN_AUTHORITY_MS);
	g_assert_cmpint(f->c.phase, ==, OWN_NORMAL);
	g_assert_false(own_coord_is_recovered(&f->c, t + OWN_AUTHORITY_MS));
	run_members(f, 3, t + waited_ms, t + waited_ms);
	for (int i = 0; i < 3; i++) {
		g_assert_false(may_serve(f, i, t + waited_ms));
		g_assert_false(is_lost(f, i, t + waited_ms + 60000));
	}
	g_assert_true(own_coord_is_recovered(&f->c, t + waited_ms));
	own_coord_end_recovery(&f->c, 1000, t + waited_ms);
	g_assert_false(is_lost(f, 0, t + waited_ms + 1));
	run_members(f, 3, t + waited_ms + 100, t + waited_ms + 100);
	/* By the new map only. */
	g_assert_false(may_serve(f, 0, t + waited_ms + 100));
	g_assert_cmpint(own_member_may_serve(&f->m[0], t + waited_ms + 100,
					     1000, &end_ms),
			==, ERR_OK);
}

/*
 * Guards against a recovery that ends while a silent node may be in a hold of
 * the predecessor, and against one that goes on although all nodes were heard
 * or started again.
 */
static void test_recovery_silent_node(struct fixture *f, gconstpointer data)
{
	int64_t waited_ms = OWN_AUTHORITY_MS + 100;
	int64_t bound_ms = OWN_HOLD_QUORUM_MS + 8000;
	int64_t t = T0 + 200;

	(void)data;
	take_over(f, t, 8000);
	own_coord_begin_add(&f->c, 2, 555, 5);
	run_members(f, 1, t, t + bound_ms);
	g_assert_cmpint(f->c.phase, ==, OWN_RESOLVING);
	g_assert_false(own_coord_is_recovered(&f->c, t + bound_ms));
	run_members(f, 1, t + bound_ms + 100, t + bound_ms + 400);
	g_assert_true(own_coord_is_recovered(&f->c, t + bound_ms + 400));

	t += 2 * bound_ms;
	take_over(f, t, 8000);
	own_coord_begin_add(&f->c, 2, 556, 5);
	own_coord_begin_add(&f->c, 3, 557, 5);
	run_members(f, 1, t, t + waited_ms);
	g_assert_true(own_coord_is_recovered(&f->c, t + waited_ms));
}

/*
 * Guards against a recovery that ends while a member is in a hold of the
 * predecessor: it has to leave it first, and what its target holds has to end.
 */
static void test_recovery_member_in_hold(struct fixture *f, gconstpointer data)
{
	int64_t t;

	(void)data;
	t = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	g_assert_true(own_member_in_hold(&f->m[0], t));
	take_over(f, t, 0);
	run_members(f, 2, t, t + 5000);
	/* The third one is silent, and its hold has no end. */
	g_assert_true(own_member_in_hold(&f->m[2], t + 5000));
	g_assert_false(own_coord_is_recovered(&f->c, t + 5000));
	run_members(f, 3, t + 5100, t + 5400);
	g_assert_false(own_member_in_hold(&f->m[2], t + 5400));
	g_assert_false(own_coord_is_recovered(&f->c, t + 5400));
	run_members(f, 3, t + 5500, t + 5500 + OWN_GRANT_MS);
	g_assert_true(own_coord_is_recovered(&f->c, t + 5500 + OWN_GRANT_MS));
}

/* Lets a successor take over that reads the first count nodes of the roster. */
static void take_over_old_roster(struct fixture *f, int64_t now_ms,
				 uint32_t count, int64_t hold_max_ms)
{
	struct own_times times = own_times_for(0);

	times.hold_max_ms = hold_max_ms;
	own_coord_finish(&f->c);
	own_coord_init_times(&f->c, &times, f->c.term + 1, now_ms, now_ms);
	for (uint32_t id = 1; id <= count; id++)
		own_coord_add_inherited(&f->c, id, id + 99, 5, 0);
	own_coord_begin_recovery(&f->c);
}

/*
 * Guards against a recovery that ends while a node that joined after the copy,
 * and is not in its roster, serves in a hold of the predecessor.
 */
static void test_recovery_hold_of_unknown_node(struct fixture *f,
					       gconstpointer data)
{
	int64_t t = T0 + 200;
	int64_t end_ms;

	(void)data;
	f->c.times.hold_max_ms = 8000;
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	t = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	g_assert_true(own_member_in_hold(&f->m[2], t));
	/* The copy is of the time before the third node joined. */
	take_over_old_roster(f, t, 2, 8000);
	for (end_ms = t; end_ms < t + 7000; end_ms += 100) {
		run_members(f, 2, end_ms, end_ms);
		if (own_coord_is_recovered(&f->c, end_ms))
			g_assert_false(own_member_in_hold(&f->m[2], end_ms));
	}
}

/*
 * Guards against a majority of a roster that came back with a copy, and lacks
 * most nodes, that is taken for one of the roster that a hold was given over.
 */
static void test_recovery_majority_of_old_roster(struct fixture *f,
						 gconstpointer data)
{
	int64_t t = T0 + 200;

	(void)data;
	f->c.times.hold_max_ms = 8000;
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	t = enter_hold(f);
	for (int i = 1; i < 3; i++)
		exchange(f, i, t);
	/* The first one, alone in the roster, did not record the hold. */
	own_member_init(&f->m[0], 100);
	own_member_complete_join(&f->m[0], 1, t);
	take_over_old_roster(f, t, 1, 8000);
	run_members(f, 1, t, t + OWN_AUTHORITY_MS + 100);
	g_assert_true(own_member_in_hold(&f->m[2], t + OWN_AUTHORITY_MS + 100));
	g_assert_false(
		own_coord_is_recovered(&f->c, t + OWN_AUTHORITY_MS + 100));
}

/*
 * Guards against a node that a member's map adds to the roster of the copy, and
 * that may be in a hold, after the holds of that roster were resolved.
 */
static void test_recovery_adds_node_in_hold(struct fixture *f,
					    gconstpointer data)
{
	int64_t t;

	(void)data;
	f->c.times.hold_max_ms = 8000;
	t = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	take_over_old_roster(f, t, 2, 8000);
	run_members(f, 2, t, t + 300);
	own_coord_correct_inherited(&f->c, 3, 102);
	for (t += 400; t < T0 + 8000; t += 100) {
		run_members(f, 2, t, t);
		if (own_coord_is_recovered(&f->c, t))
			g_assert_false(own_member_in_hold(&f->m[2], t));
	}
}

/*
 * Guards against members that were heard throughout a recovery and are declared
 * lost at its end, before they can get a grant.
 */
static void test_recovery_end_loses_nobody(struct fixture *f,
					   gconstpointer data)
{
	int64_t t = T0 + 200;
	int64_t end_ms = t + OWN_AUTHORITY_MS + 300;

	(void)data;
	take_over(f, t, 0);
	run_members(f, 3, t, end_ms);
	g_assert_true(own_coord_is_recovered(&f->c, end_ms));
	own_coord_end_recovery(&f->c, 1000, end_ms);
	own_coord_extend_authority(&f->c, end_ms);
	/* The next tick, before any ask. */
	own_coord_tick(&f->c, end_ms + 25);
	for (int i = 0; i < 3; i++)
		g_assert_false(is_lost(f, i, end_ms + 25));
}

/*
 * Guards against a roster without marks that is written during a hold, which
 * the restore of the store makes the coordinator do: new processes of most
 * nodes, which that roster has and which recorded nothing, would show a
 * successor that no hold is in force.
 */
static void test_roster_written_in_hold(struct fixture *f, gconstpointer data)
{
	struct own_times times = own_times_for(0);
	uint32_t mark;
	int64_t t;

	(void)data;
	t = enter_hold(f);
	for (int i = 0; i < 3; i++)
		exchange(f, i, t);
	/* The daemons of the first two are started again and join. */
	own_coord_begin_add(&f->c, 1, 555, 5);
	own_coord_begin_add(&f->c, 2, 556, 5);
	mark = own_coord_hold_mark(&f->c, own_coord_find(&f->c, 3));
	own_coord_finish(&f->c);
	own_coord_init_times(&f->c, &times, 2, t, t);
	own_coord_add_inherited(&f->c, 1, 555, 5, 0);
	own_coord_add_inherited(&f->c, 2, 556, 5, 0);
	own_coord_add_inherited(&f->c, 3, 102, 5, mark);
	for (int i = 0; i < 2; i++) {
		own_member_init(&f->m[i], (uint64_t)i + 555);
		own_member_complete_join(&f->m[i], (uint32_t)i + 1, t);
	}
	run_members(f, 2, t, t + 5000);
	g_assert_true(own_member_in_hold(&f->m[2], t + 5000));
	g_assert_false(is_lost(f, 2, t + 5000));
}

#define ADD(name, fn) \
	g_test_add("/own/" name, struct fixture, NULL, setup, fn, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("grant_ends", test_grant_ends);
	ADD("serves_in_hold", test_serves_in_hold);
	ADD("hold_needs_marks", test_hold_needs_marks);
	ADD("late_ask", test_late_ask);
#ifdef PROOF_SWITCHES
	ADD("late_ask_unguarded", test_late_ask_unguarded);
#endif
	ADD("reordered_replies", test_reordered_replies);
	ADD("coordinator_pause", test_coordinator_pause);
	ADD("successor_respects_hold", test_successor_respects_hold);
	ADD("leaving_node_gets_no_hold", test_leaving_node_gets_no_hold);
	ADD("standby_takes_over", test_standby_takes_over);
	ADD("bounded_hold_ends", test_bounded_hold_ends);
	ADD("bounded_hold_renewed", test_bounded_hold_renewed);
	ADD("minority_not_renewed", test_minority_not_renewed);
	ADD("node_lost_after_outage", test_node_lost_after_outage);
	ADD("successor_waits_for_hold_end", test_successor_waits_for_hold_end);
	ADD("marks_when_all_heard", test_marks_when_all_heard);
	ADD("joined_nodes_are_no_majority", test_joined_nodes_are_no_majority);
	ADD("no_new_nodes_while_resolving", test_no_new_nodes_while_resolving);
	ADD("recovery_waits", test_recovery_waits);
	ADD("recovery_silent_node", test_recovery_silent_node);
	ADD("recovery_member_in_hold", test_recovery_member_in_hold);
	ADD("recovery_hold_of_unknown_node",
	    test_recovery_hold_of_unknown_node);
	ADD("recovery_majority_of_old_roster",
	    test_recovery_majority_of_old_roster);
	ADD("recovery_adds_node_in_hold", test_recovery_adds_node_in_hold);
	ADD("recovery_end_loses_nobody", test_recovery_end_loses_nobody);
	ADD("roster_written_in_hold", test_roster_written_in_hold);
	return g_test_run();
}
