#include "test/unit/explore_world.h"
#include "common/guard.h"

#include <string.h>

static int64_t clock_of(const struct world *w, int rate_ppm)
{
	return w->now_ms + w->now_ms * rate_ppm / 1000000;
}

/* Returns a random number from 0 to n - 1. */
static int pick(struct world *w, int n)
{
	return g_rand_int_range(w->rand, 0, n);
}

/* Adds a message; if the queue is full, a random one is lost. */
static struct message *enqueue(struct world *w, enum message_kind kind,
			       int node, int coord)
{
	struct message *m;

	if (w->message_count == MESSAGES)
		w->messages[pick(w, MESSAGES)] =
			w->messages[--w->message_count];
	m = &w->messages[w->message_count++];
	memset(m, 0, sizeof(*m));
	m->kind = kind;
	m->node = node;
	m->coord = coord;
	return m;
}

/* Returns 1 if coordinator k can write to the store. */
static int may_write_store(const struct world *w, int k)
{
	return w->store_up &&
	       (w->record_coord == k || !guard_on(GUARD_COMPARE));
}

/* ---- steps ---- */

static void step_ask(struct world *w, int i)
{
	struct node *n = &w->nodes[i];

	if (!n->alive || n->paused || n->follows < 0)
		return;
	own_member_make_ask(&n->own, clock_of(w, n->rate_ppm),
			    &enqueue(w, MSG_ASK, i, n->follows)->ask);
}

static void push_map(struct world *w, int k)
{
	for (int i = 0; i < NODES; i++) {
		struct message *m = enqueue(w, MSG_MAP, i, k);

		m->map_rev = w->coords[k].map_rev;
		m->owner = w->coords[k].owner;
	}
}

static void step_elect(struct world *w)
{
	struct own_times times = own_times_for(0);
	struct coordinator *c;
	int64_t now_ms;

	if (!w->store_up || w->coord_count == COORDS)
		return;
	c = &w->coords[w->coord_count];
	c->in_use = 1;
	c->rate_ppm = pick(w, 8000) - 4000;
	now_ms = clock_of(w, c->rate_ppm);
	times.hold_max_ms = w->hold_max_ms;
	times.hold_quorum_ms = HOLD_QUORUM_MS;
	own_coord_init_times(&c->own, &times, ++w->term, now_ms, now_ms);
	w->record_coord = w->coord_count++;
	c->map_rev = w->map_rev;
	c->owner = w->owner;
	for (int i = 0; i < NODES; i++) {
		if (!w->roster[i].present)
			continue;
		own_coord_add_inherited(&c->own, (uint32_t)i + 1,
					w->roster[i].incarnation, c->map_rev,
					w->roster[i].maybe_held);
		enqueue(w, MSG_TAKEOVER, i, w->record_coord);
	}
	push_map(w, w->record_coord);
}

/* Every write of the roster carries the marks of all its nodes. */
static void put_marks(struct world *w, const struct own_coord *o)
{
	for (int i = 0; i < NODES; i++) {
		const struct own_peer *p = own_coord_find(o, (uint32_t)i + 1);

		if (p && w->roster[i].present)
			w->roster[i].maybe_held = own_coord_hold_mark(o, p);
	}
}

static void write_marks(struct world *w, int k)
{
	struct own_coord *o = &w->coords[k].own;

	if (!may_write_store(w, k))
		return;
	put_marks(w, o);
	own_coord_finish_marks(o);
	w->mark_writes++;
}

/* Lets a node join. The roster is written at once or not at all. */
static void step_join(struct world *w, int i, int k)
{
	struct coordinator *c = &w->coords[k];
	struct node *n = &w->nodes[i];
	int64_t now_ms = clock_of(w, n->rate_ppm);

	if (!c->in_use || c->paused || !n->alive || n->paused ||
	    !may_write_store(w, k) || !own_coord_may_change(&c->own) ||
	    (w->roster[i].present
		     ? w->roster[i].incarnation == n->own.incarnation
		     : !own_coord_may_add(&c->own)) ||
	    !own_member_observe_term(&n->own, c->own.term, now_ms))
		return;
	own_coord_begin_add(&c->own, (uint32_t)i + 1, n->own.incarnation,
			    c->map_rev);
	w->roster[i].present = 1;
	w->roster[i].incarnation = n->own.incarnation;
	put_marks(w, &c->own);
	own_coord_finish_add(&c->own, (uint32_t)i + 1,
			     clock_of(w, c->rate_ppm));
	own_member_complete_join(&n->own, (uint32_t)i + 1, now_ms);
	n->follows = k;
}

static void step_restart(struct world *w, int i)
{
	struct node *n = &w->nodes[i];

	own_member_init(&n->own, ++w->last_incarnation);
	n->alive = 1;
	n->paused = 0;
	n->follows = -1;
	n->map_rev = 0;
	n->owner = -1;
}

/* Gives the slot to a random peer if its owner is lost or it has none. */
static void move_if_lost(struct world *w, int k)
{
	struct coordinator *c = &w->coords[k];
	int64_t now_ms = clock_of(w, c->rate_ppm);
	struct own_peer *old = NULL;
	int may_hold = 0;
	int to = pick(w, NODES);

	if (!may_write_store(w, k))
		return;
	if (c->owner >= 0)
		old = own_coord_find(&c->own, (uint32_t)c->owner + 1);
	if (c->owner == to || !own_coord_find(&c->own, (uint32_t)to + 1))
		return;
	if (old && !own_coord_is_lost(&c->own, old, now_ms, 0))
		return;
	if (old) {
		may_hold = old->maybe_held || old->commit_sent;
		own_peer_set_lost(old);
	}
	if (!old && c->owner >= 0 && w->roster[c->owner].present)
		return;
	if (old) {
		w->roster[c->owner].present = 0;
		own_coord_remove(&c->own, (uint32_t)c->owner + 1);
		w->takeovers++;
		w->expired += may_hold;
	}
	c->owner = to;
	c->map_rev = w->map_rev + 1;
	w->map_rev = c->map_rev;
	w->owner = to;
	push_map(w, k);
}

static void step_tick(struct world *w, int k)
{
	struct coordinator *c = &w->coords[k];
	int64_t now_ms = clock_of(w, c->rate_ppm);

	if (!c->in_use || c->paused)
		return;
	own_coord_tick(&c->own, now_ms);
	if (own_coord_needs_marks(&c->own, now_ms))
		write_marks(w, k);
	move_if_lost(w, k);
}

/* Reads the record now; the answer arrives later or never. */
static void step_confirm(struct world *w, int k)
{
	struct coordinator *c = &w->coords[k];

	if (!c->in_use || c->paused || !w->store_up || w->record_coord != k)
		return;
	enqueue(w, MSG_CONFIRM, 0, k)->asked_ms = clock_of(w, c->rate_ppm);
}

static void deliver_ask(struct world *w, const struct message *m)
{
	struct coordinator *c = &w->coords[m->coord];
	struct own_reply r;

	if (c->paused || own_coord_handle_ask(&c->own, clock_of(w, c->rate_ppm),
					      &m->ask, &r) != OWN_ASK_REPLY)
		return;
	enqueue(w, MSG_REPLY, m->node, m->coord)->reply = r;
}

static void deliver(struct world *w, const struct message *m)
{
	struct node *n = &w->nodes[m->node];
	int64_t now_ms = clock_of(w, n->rate_ppm);

	if (n->paused && m->kind != MSG_ASK && m->kind != MSG_CONFIRM)
		return;
	switch (m->kind) {
	case MSG_ASK:
		deliver_ask(w, m);
		break;
	case MSG_REPLY:
		if (n->alive)
			own_member_handle_reply(&n->own, now_ms, &m->reply);
		break;
	case MSG_MAP:
		if (n->alive && m->map_rev > n->map_rev) {
			n->map_rev = m->map_rev;
			n->owner = m->owner;
		}
		break;
	case MSG_TAKEOVER:
		if (n->alive &&
		    own_member_observe_term(
			    &n->own, w->coords[m->coord].own.term, now_ms))
			n->follows = m->coord;
		break;
	case MSG_CONFIRM:
		if (!w->coords[m->coord].paused)
			own_coord_extend_authority(&w->coords[m->coord].own,
						   m->asked_ms);
		break;
	}
}

static void step_message(struct world *w)
{
	struct message m;
	int i;

	if (!w->message_count)
		return;
	i = pick(w, w->message_count);
	m = w->messages[i];
	/* Sometimes the message is delivered and kept, as a duplicate. */
	if (pick(w, 16))
		w->messages[i] = w->messages[--w->message_count];
	if (pick(w, 8))
		deliver(w, &m);
}

/* Makes a round trip without loss, which random steps reach rarely. */
static void step_exchange(struct world *w, int i)
{
	struct node *n = &w->nodes[i];
	struct own_reply r;
	struct own_ask a;
	struct coordinator *c;

	if (!n->alive || n->paused || n->follows < 0 ||
	    w->coords[n->follows].paused)
		return;
	c = &w->coords[n->follows];
	own_member_make_ask(&n->own, clock_of(w, n->rate_ppm), &a);
	if (own_coord_handle_ask(&c->own, clock_of(w, c->rate_ppm), &a, &r) !=
	    OWN_ASK_REPLY)
		return;
	/* Sometimes the answer is late, after further steps. */
	if (pick(w, 6) == 0)
		enqueue(w, MSG_REPLY, i, n->follows)->reply = r;
	else
		own_member_handle_reply(&n->own, clock_of(w, n->rate_ppm), &r);
}

/* Does all that happens in a healthy system without faults. */
static void step_without_faults(struct world *w)
{
	for (int k = 0; k < w->coord_count; k++) {
		struct coordinator *c = &w->coords[k];

		if (!c->paused && w->store_up && w->record_coord == k)
			own_coord_extend_authority(&c->own,
						   clock_of(w, c->rate_ppm));
		step_tick(w, k);
	}
	for (int i = 0; i < NODES; i++)
		step_exchange(w, i);
	for (int i = 0; i < w->message_count;) {
		struct message m = w->messages[i];

		if (m.kind != MSG_MAP) {
			i++;
			continue;
		}
		w->messages[i] = w->messages[--w->message_count];
		deliver(w, &m);
	}
	w->now_ms += 20 + pick(w, 200);
}

void world_step(struct world *w)
{
	int i = pick(w, NODES);
	int k = w->coord_count ? pick(w, w->coord_count) : 0;

	switch (pick(w, 26)) {
	case 0:
	case 1:
		w->now_ms += 20 + pick(w, 300);
		break;
	case 2:
		if (pick(w, 3) == 0)
			w->now_ms += 400 + pick(w, 1200);
		break;
	case 3:
	case 24:
	case 25:
		step_without_faults(w);
		break;
	case 4:
		if (pick(w, 8) == 0)
			step_elect(w);
		break;
	case 5:
	case 6:
		step_join(w, i, k);
		break;
	case 7:
		if (pick(w, 16) == 0)
			step_restart(w, i);
		break;
	case 8:
		if (pick(w, w->store_up ? 4 : 2) == 0)
			w->store_up = !w->store_up;
		break;
	case 9:
		if (pick(w, w->coords[k].paused ? 2 : 8) == 0)
			w->coords[k].paused = !w->coords[k].paused;
		if (pick(w, w->nodes[i].paused ? 3 : 8) == 0)
			w->nodes[i].paused = !w->nodes[i].paused;
		break;
	case 10:
	case 11:
	case 12:
		step_tick(w, k);
		break;
	case 13:
	case 14:
		step_confirm(w, k);
		break;
	case 15:
	case 16:
		step_ask(w, i);
		break;
	case 17:
	case 18:
	case 19:
		step_exchange(w, i);
		break;
	default:
		step_message(w);
		break;
	}
}

int world_count_serving(const struct world *w)
{
	int count = 0;

	for (int i = 0; i < NODES; i++) {
		const struct node *n = &w->nodes[i];
		int64_t end_ms;

		if (n->alive && n->owner == i &&
		    own_member_may_serve(&n->own, clock_of(w, n->rate_ppm),
					 n->map_rev, &end_ms) == ERR_OK)
			count++;
	}
	return count;
}

/* Lets each node that runs follow the coordinator of the record, or join it. */
static void step_follow(struct world *w)
{
	int k = w->record_coord;

	for (int i = 0; i < NODES; i++) {
		struct node *n = &w->nodes[i];

		if (!n->alive || n->paused || w->coords[k].paused)
			continue;
		if (n->own.node_id &&
		    own_member_observe_term(&n->own, w->coords[k].own.term,
					    clock_of(w, n->rate_ppm)))
			n->follows = k;
		step_join(w, i, k);
	}
}

void world_step_group(struct world *w)
{
	switch (pick(w, 20)) {
	case 0:
		w->store_up = !w->store_up;
		break;
	case 1:
		for (int i = 0; i < NODES; i++)
			w->nodes[i].paused = pick(w, 4) == 0;
		break;
	case 2:
		/* A kill ends the coordinators on these machines as well. */
		for (int i = 0; i < NODES; i++) {
			if (!w->nodes[i].paused && pick(w, 2))
				step_restart(w, i);
		}
		for (int k = 0; k < w->coord_count; k++)
			w->coords[k].paused |= pick(w, 2);
		break;
	case 3:
		step_elect(w);
		step_follow(w);
		break;
	default:
		step_follow(w);
		step_without_faults(w);
		break;
	}
}

void world_init(struct world *w, guint32 seed)
{
	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->now_ms = 1000000;
	w->store_up = 1;
	w->record_coord = -1;
	w->owner = -1;
	w->hold_max_ms = seed % 2 ? HOLD_MS : 0;
	for (int i = 0; i < NODES; i++) {
		w->nodes[i].rate_ppm = pick(w, 8000) - 4000;
		step_restart(w, i);
	}
	step_elect(w);
	for (int i = 0; i < NODES; i++)
		step_join(w, i, 0);
	for (int i = 0; i < 3; i++)
		step_without_faults(w);
}

void world_finish(struct world *w)
{
	for (int k = 0; k < w->coord_count; k++)
		own_coord_finish(&w->coords[k].own);
	g_rand_free(w->rand);
}

int world_any_in_hold(const struct world *w)
{
	for (int i = 0; i < NODES; i++) {
		if (own_member_in_hold(&w->nodes[i].own,
				       clock_of(w, w->nodes[i].rate_ppm)))
			return 1;
	}
	return 0;
}
