#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "protocol/wire.h"
#include "transport/addr.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Control connections: joins, and the frames that nodes send afterwards. */

void co_conn_close(struct co_conn *k)
{
	if (k->member && k->member->conn == k)
		k->member->conn = NULL;
	k->member = NULL;
	if (!k->dead)
		tcp_conn_finish(k->tcp);
	/* Freed later, since this may run inside a callback of tcp. */
	k->dead = 1;
}

void co_conns_reap(struct coord *c)
{
	struct co_conn *k, *tmp;

	DL_FOREACH_SAFE(c->conns, k, tmp) {
		if (!k->dead)
			continue;
		DL_DELETE(c->conns, k);
		c->closed_bytes_in += k->tcp->bytes_in;
		c->closed_bytes_out += k->tcp->bytes_out;
		free(k->tcp);
		free(k);
	}
}

void co_conns_close(struct coord *c)
{
	struct co_conn *k;

	DL_FOREACH(c->conns, k) {
		co_conn_close(k);
	}
}

static void send_join_reply(struct co_conn *k, enum err e, uint32_t id)
{
	Wire__JoinReply r = WIRE__JOIN_REPLY__INIT;

	r.error = (uint32_t)e;
	r.node_id = id;
	r.term = k->c->record.term;
	tcp_send(k->tcp, FRAME_JOIN_REPLY, &r.base);
}

void co_defer_joins(struct coord *c)
{
	struct co_conn *k;

	DL_FOREACH(c->conns, k) {
		if (!k->dead && k->member && k->member->join != CO_JOIN_DONE)
			send_join_reply(k, ERR_NO_GRANT, k->member->id);
	}
}

void co_send_releases(struct coord *c, struct co_member *m)
{
	Wire__Release r = WIRE__RELEASE__INIT;
	uint32_t *slots;

	if (co_is_recovering(c))
		return;
	slots = calloc(c->slot_count + 1, sizeof(*slots));
	if (!slots)
		return;
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->slots[s].releasing && c->map.slots[s].owner == m->id)
			slots[r.n_slots++] = s;
	}
	r.slots = slots;
	r.term = c->record.term;
	r.map_rev = c->map.rev;
	r.seq = ++c->release_seq;
	if (r.n_slots)
		co_send(m, FRAME_RELEASE, &r.base);
	free(slots);
}

void co_send_cancel(struct coord *c, struct co_member *m, uint32_t *slots,
		    size_t count)
{
	Wire__ReleaseCancel r = WIRE__RELEASE_CANCEL__INIT;

	if (!count || co_is_recovering(c))
		return;
	r.term = c->record.term;
	r.seq = ++c->release_seq;
	r.slots = slots;
	r.n_slots = count;
	for (size_t i = 0; i < count; i++)
		c->slots[slots[i]].cancel_seq = r.seq;
	co_send(m, FRAME_RELEASE_CANCEL, &r.base);
}

/*
 * A cancel can be lost with the connection on which it was sent; the node would
 * then refuse the slot until it is moved.
 */
static void repeat_cancels(struct coord *c, struct co_member *m)
{
	uint32_t *slots = calloc(c->slot_count + 1, sizeof(*slots));
	size_t count = 0;

	for (uint32_t i = 0; slots && i < c->map.slot_count; i++) {
		const struct co_slot *s = &c->slots[i];

		if (c->map.slots[i].owner == m->id && !s->releasing &&
		    !s->released && !s->changing)
			slots[count++] = i;
	}
	co_send_cancel(c, m, slots, count);
	free(slots);
}

static void send_initial_state(struct coord *c, struct co_member *m)
{
	send_join_reply(m->conn, ERR_OK, m->id);
	co_sync_member(c, m);
	if (co_can_keep_slots(m))
		repeat_cancels(c, m);
	co_send_releases(c, m);
}

void co_join_written(struct coord *c, struct co_member *m)
{
	m->join = CO_JOIN_DONE;
	own_coord_finish_add(&c->own, m->id, clk_ms());
	log_info("node_joined", "name=%s id=%u region=%s data_centre=%s",
		 LOG_Q(m->info->name), m->id, LOG_Q(m->info->region),
		 LOG_Q(m->info->data_centre));
	if (m->conn)
		send_initial_state(c, m);
	c->placement_due = 1;
}

static int same_address(const Wire__Node *a, const Wire__Node *b)
{
	return strcmp(a->address, b->address) == 0 &&
	       a->peer_port == b->peer_port;
}

static void queue_join(struct coord *c, struct co_member *m)
{
	m->join = CO_JOIN_QUEUED;
	m->dirty = 1;
	c->queue.roster_due = 1;
	own_coord_begin_add(&c->own, m->id, m->info->incarnation, c->map.rev);
	co_queue_cause(c, "join", m->info->name);
}

/* Releases that an earlier incarnation had begun are void for a new one. */
static void reset_slots_of(struct coord *c, uint32_t id)
{
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->map.slots[s].owner != id)
			continue;
		c->slots[s].releasing = 0;
		c->slots[s].released = 0;
		c->slots[s].new_owner = 0;
	}
}

int64_t co_restart_grace_ms(const struct coord *c, const struct co_member *m)
{
	const struct doc_service *s = NULL;

	if (c->has_doc && m->info->target && guard_on(GUARD_GRACE))
		s = doc_find_service(&c->doc, m->info->target->service);
	return s ? s->restart_grace_ms : 0;
}

static int same_target_run(const Wire__Target *a, const Wire__Target *b)
{
	return a && b && a->born_ms == b->born_ms && strcmp(a->id, b->id) == 0;
}

/*
 * If the target holds its keys by itself, another target, or another run of the
 * same one, needs a higher fence to take them over. The new fences are written
 * together with the description of the target.
 */
static void renew_fences(struct coord *c, struct co_member *m,
			 const Wire__Target *before)
{
	const Wire__Target *t = m->info->target;

	if (!t || !t->holds || same_target_run(before, t))
		return;
	for (uint32_t s = 0; s < c->map.slot_count && s < c->slot_count; s++) {
		if (c->map.slots[s].owner == m->id && !c->slots[s].changing)
			co_queue_slot(c, s, m->id, "target");
	}
}

/* The node states for how long its target stays cold from now on. */
static void note_cold(struct co_member *m, const Wire__Node *n)
{
	if (n->target)
		m->cold_until_ms = clk_ms() + n->target->cold_ms;
}

/* Replaces the member's description, and renews its slots' fences if needed. */
static enum err update_info(struct coord *c, struct co_member *m,
			    const Wire__Node *n, int keep_target)
{
	Wire__Target *before = m->info->target;
	Wire__Node info = *n;
	enum err e = ERR_OK;

	note_cold(m, n);
	before = before ? wire_copy_target(before) : NULL;
	/* A new process of the node does not know its target yet. */
	if (keep_target && !info.target)
		info.target = before;
	if (co_member_set_info(m, &info))
		renew_fences(c, m, before);
	else
		e = ERR_NOMEM;
	if (before)
		wire__target__free_unpacked(before, NULL);
	return e;
}

static enum err rejoin_member(struct coord *c, struct co_conn *k,
			      struct co_member *m, const Wire__Join *j)
{
	const Wire__Node *n = j->node;
	int restarted = m->info->incarnation != n->incarnation;
	int64_t grace = co_restart_grace_ms(c, m);
	int64_t wait = grace;

	/* A target that holds keys needs time to announce itself again. */
	if (c->config.settings->hold_max_ms &&
	    wait < 2 * c->config.settings->announce_ms)
		wait = 2 * c->config.settings->announce_ms;
	if (m->removing)
		return ERR_CONFLICT;
	/*
	 * The same address and port can be bound only after the previous
	 * process has ended. With another address, it may still be serving.
	 */
	if (restarted && !same_address(m->info, n) && !m->lost)
		return co_is_recovering(c) ? ERR_NO_GRANT : ERR_CONFLICT;
	if (restarted && m->join == CO_JOIN_WRITING)
		return ERR_CONFLICT;
	if (m->conn)
		co_conn_close(m->conn);
	k->member = m;
	m->conn = k;
	if (restarted)
		reset_slots_of(c, m->id);
	if (update_info(c, m, n, restarted) != ERR_OK)
		return ERR_NOMEM;
	m->dirty = 1;
	m->doc_sent_rev = 0;
	m->doc_rev = j->doc_rev;
	m->map_rev = j->map_rev;
	if (restarted) {
		m->leaving = 0;
		m->departed = 0;
		m->leave_answered = 0;
		m->lost = 0;
		/* Its slots wait until its target announces itself. */
		m->restart_until_ms = n->target ? 0 : clk_ms() + wait;
		queue_join(c, m);
		return ERR_OK;
	}
	if (m->join == CO_JOIN_DONE)
		send_initial_state(c, m);
	return ERR_OK;
}

static enum err join_new_member(struct coord *c, struct co_conn *k,
				const Wire__Join *j)
{
	struct co_member *m;
	Wire__Node node = *j->node;

	/* During a recovery, nothing is written before all holds have ended. */
	if (co_is_recovering(c)) {
		if (!co_may_add_recovering(c))
			return ERR_NO_GRANT;
	} else if (!own_coord_may_add(&c->own)) {
		return ERR_STALE;
	}
	if (c->next_id < 1)
		c->next_id = 1;
	node.id = c->next_id;
	m = co_member_add(c, &node);
	if (!m)
		return ERR_NOMEM;
	c->next_id++;
	note_cold(m, &node);
	m->doc_rev = j->doc_rev;
	m->map_rev = j->map_rev;
	k->member = m;
	m->conn = k;
	queue_join(c, m);
	return ERR_OK;
}

static int node_is_valid(const Wire__Node *n)
{
	struct sockaddr_in sa;

	return n && n->name && n->name[0] && strlen(n->name) < DOC_NAME_BYTES &&
	       n->incarnation && n->peer_port &&
	       addr_parse(&sa, n->address, n->peer_port) == ERR_OK;
}

static void on_join(struct co_conn *k, const Wire__Join *j)
{
	struct coord *c = k->c;
	struct co_member *m;
	enum err e;

	if (!node_is_valid(j->node)) {
		e = ERR_MALFORMED;
	} else if (c->phase != CO_ACTIVE) {
		e = ERR_STALE;
	} else if (j->term > c->record.term) {
		e = ERR_STALE;
		c->seen_term = MAX(c->seen_term, j->term);
		co_step_down(c, "member_has_higher_term");
	} else {
		m = co_member_find_name(c, j->node->name);
		e = m ? rejoin_member(c, k, m, j) : join_new_member(c, k, j);
		if (e == ERR_OK && j->hold_term && co_is_recovering(c))
			own_coord_note_hold_left(&c->own, k->member->id,
						 clk_ms());
	}
	if (e == ERR_OK || k->dead)
		return;
	log_warn("join_rejected", "name=%s error=%s",
		 j->node && j->node->name ? LOG_Q(j->node->name) : "-",
		 err_name(e));
	send_join_reply(k, e, 0);
}

/*
 * Returns 1 if the coordinator has asked for the release, or if the node gives
 * its slots up because it stops or has no target. Any other report was sent
 * before the node learned that the release was cancelled: the node goes on
 * serving the slot, so it must not be given to another one. That holds also if
 * the release was asked for again since. Nodes of earlier versions report no
 * seen_seq.
 */
static int is_release_in_force(const struct coord *c, const struct co_member *m,
			       const Wire__Released *r, uint32_t slot)
{
	const struct co_slot *s = &c->slots[slot];

	if (m->leaving || !m->info->target)
		return 1;
	return s->releasing && (!r->seen_seq || r->seen_seq >= s->cancel_seq);
}

void co_on_released(struct coord *c, const struct co_member *m,
		    const Wire__Released *r)
{
	int64_t now_ms = clk_ms();
	size_t cancelled = 0;

	/* The slots of a restarting node wait for it. */
	if (r->term != c->record.term || m->leaving == 2 || co_is_recovering(c))
		return;
	for (size_t i = 0; i < r->n_slots; i++) {
		uint32_t s = r->slots[i];

		if (s >= c->map.slot_count || c->map.slots[s].owner != m->id)
			continue;
		if (!is_release_in_force(c, m, r, s)) {
			cancelled++;
			continue;
		}
		c->slots[s].releasing = 0;
		c->slots[s].released = 1;
		snprintf(c->slots[s].handover, sizeof(c->slots[s].handover),
			 "%s", i < r->n_handovers ? r->handovers[i] : "");
		if (!c->slots[s].unserved_since_ms)
			c->slots[s].unserved_since_ms = now_ms;
	}
	if (cancelled)
		log_info("release_cancelled", "name=%s slots=%zu of=%zu",
			 LOG_Q(m->info->name), cancelled, r->n_slots);
	c->placement_due = 1;
}

/*
 * A node gives up its slots while it has no target. Now that it has one, it
 * keeps those that have not been moved.
 */
static void cancel_releases(struct coord *c, struct co_member *m)
{
	uint32_t *slots = calloc(c->slot_count + 1, sizeof(*slots));
	size_t count = 0;

	if (!slots)
		return;
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->map.slots[s].owner != m->id || c->slots[s].changing)
			continue;
		c->slots[s].released = 0;
		c->slots[s].releasing = 0;
		c->slots[s].new_owner = 0;
		c->slots[s].unserved_since_ms = 0;
		slots[count++] = s;
	}
	co_send_cancel(c, m, slots, count);
	free(slots);
}

static void on_target_state(struct co_conn *k, const Wire__TargetState *t)
{
	struct coord *c = k->c;
	struct co_member *m = k->member;
	int had = m->info->target != NULL;
	Wire__Node info = *m->info;

	info.target = t->gone ? NULL : t->target;
	if (update_info(c, m, &info, 0) != ERR_OK)
		return;
	m->dirty = 1;
	c->placement_due = 1;
	log_info("target_changed", "name=%s target=%s", LOG_Q(m->info->name),
		 m->info->target ? LOG_Q(m->info->target->service) : "none");
	co_queue_cause(c, m->info->target ? "target" : "target lost",
		       m->info->name);
	if (m->info->target && !m->leaving)
		m->restart_until_ms = 0;
	if (!had && m->info->target)
		health_target_init(&m->health, m->id, clk_ms());
	if (!had && m->info->target && !m->leaving)
		cancel_releases(c, m);
}

static void on_leave(struct co_conn *k, const Wire__Leave *l)
{
	struct co_member *m = k->member;
	int64_t grace = co_restart_grace_ms(k->c, m);

	/* Without a grace period, a restart moves the slots like a stop. */
	m->leaving = l->reason == 2 && grace ? 2 : 1;
	if (m->leaving == 2)
		m->restart_until_ms = clk_ms() + grace;
	k->c->placement_due = 1;
	log_info("node_leaving", "name=%s restart=%d grace_ms=%lld",
		 LOG_Q(m->info->name), m->leaving == 2, (long long)grace);
}

static void on_fetch(struct co_conn *k)
{
	k->member->doc_sent_rev = 0;
	co_doc_send_full(k->c, k->member);
	if (!co_is_recovering(k->c))
		co_send_full_map(k->c, k->member);
	/* A node also fetches if it got a Release before the map it needs. */
	co_send_releases(k->c, k->member);
}

static void on_frame(struct tcp_conn *tcp, const struct frame *f, void *priv)
{
	struct co_conn *k = priv;

	(void)tcp;
	if (k->dead)
		return;
	if (f->type == FRAME_JOIN) {
		on_join(k, (const Wire__Join *)f->msg);
		return;
	}
	/* Also before the Join is written: that may take a while. */
	if (f->type == FRAME_PING) {
		tcp_send(k->tcp, FRAME_PONG, f->msg);
		return;
	}
	if (!k->member || k->member->join != CO_JOIN_DONE)
		return;
	switch (f->type) {
	case FRAME_RELEASED:
		co_on_released(k->c, k->member, (const Wire__Released *)f->msg);
		break;
	case FRAME_TARGET_STATE:
		on_target_state(k, (const Wire__TargetState *)f->msg);
		break;
	case FRAME_LEAVE:
		on_leave(k, (const Wire__Leave *)f->msg);
		break;
	case FRAME_FETCH:
		on_fetch(k);
		break;
	case FRAME_MAP_PUSH:
		co_adopt_map(k->c, k->member, (const Wire__MapDelta *)f->msg);
		break;
	case FRAME_DOC_PUSH:
		co_on_doc_push(k->c, (const Wire__DocPush *)f->msg);
		break;
	case FRAME_LOAD_REPORT:
		co_on_load_report(k->c, k->member,
				  (const Wire__LoadReport *)f->msg);
		break;
	default:
		log_warn("frame_unexpected", "type=%s", frame_name(f->type));
		break;
	}
}

static void on_closed(struct tcp_conn *tcp, enum err why, void *priv)
{
	(void)tcp;
	(void)why;
	co_conn_close(priv);
}

static const struct tcp_ops conn_ops = {
	.frame = on_frame,
	.closed = on_closed,
};

void coord_accept(struct coord *c, struct tcp_conn *conn,
		  const Wire__Hello *hello)
{
	struct co_conn *k = calloc(1, sizeof(*k));

	if (!k) {
		tcp_conn_finish(conn);
		free(conn);
		return;
	}
	c->seen_term = MAX(c->seen_term, hello->term);
	if (hello->term > c->record.term && c->phase == CO_ACTIVE)
		co_step_down(c, "member_has_higher_term");
	k->c = c;
	k->tcp = conn;
	conn->ops = &conn_ops;
	conn->priv = k;
	DL_APPEND(c->conns, k);
}

void coord_count_bytes(const struct coord *c, uint64_t *in, uint64_t *out)
{
	struct co_conn *k;

	*in = c->closed_bytes_in;
	*out = c->closed_bytes_out;
	DL_FOREACH(c->conns, k) {
		*in += k->tcp->bytes_in;
		*out += k->tcp->bytes_out;
	}
}
