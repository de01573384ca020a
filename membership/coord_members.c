#include "membership/coord_priv.h"
#include "common/clk.h"
#include "common/log.h"
#include "protocol/wire.h"
#include "transport/addr.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

struct co_member *co_member_find(const struct coord *c, uint32_t id)
{
	struct co_member *m;

	HASH_FIND(hh, c->members, &id, sizeof(id), m);
	return m;
}

struct co_member *co_member_find_name(const struct coord *c, const char *name)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (strcmp(m->info->name, name) == 0)
			return m;
	}
	return NULL;
}

int co_member_set_info(struct co_member *m, const Wire__Node *info)
{
	Wire__Node *copy = wire_copy_node(info);

	if (!copy)
		return 0;
	if (m->info)
		wire__node__free_unpacked(m->info, NULL);
	m->info = copy;
	m->info->id = m->id;
	addr_parse(&m->udp_address, copy->address, copy->peer_port);
	return 1;
}

struct co_member *co_member_add(struct coord *c, const Wire__Node *info)
{
	struct co_member *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->id = info->id;
	health_target_init(&m->health, m->id, clk_ms());
	if (!co_member_set_info(m, info)) {
		free(m);
		return NULL;
	}
	HASH_ADD(hh, c->members, id, sizeof(m->id), m);
	return m;
}

void co_member_remove(struct coord *c, struct co_member *m)
{
	if (m->conn)
		co_conn_close(m->conn);
	HASH_DEL(c->members, m);
	wire__node__free_unpacked(m->info, NULL);
	free(m);
}

void co_send(struct co_member *m, enum frame_type type,
	     const ProtobufCMessage *msg)
{
	if (m->conn && !m->conn->dead)
		tcp_send(m->conn->tcp, type, msg);
}

void co_send_encoded(struct co_member *m, const struct buf *frame)
{
	if (m->conn && !m->conn->dead && frame->len)
		tcp_send_encoded(m->conn->tcp, frame);
}

/* The value of dgram_reply.doc_age_ms. */
static uint32_t document_age_ms(const struct coord *c)
{
	int64_t age_ms;

	if (!c->config.document_age_ms)
		return 0;
	age_ms = c->config.document_age_ms(c->config.document_priv);
	if (age_ms > INT32_MAX)
		return 0;
	return age_ms > 0 ? (uint32_t)age_ms : 1;
}

void coord_on_ask(struct coord *c, const struct dgram_ask *ask,
		  const struct sockaddr_in *from)
{
	struct dgram_reply r;
	struct co_member *m;

	if (c->phase != CO_ACTIVE)
		return;
	memset(&r, 0, sizeof(r));
	switch (own_coord_handle_ask(&c->own, clk_ms(), &ask->own, &r.own)) {
	case OWN_ASK_REPLY:
		break;
	case OWN_ASK_DEPOSED:
		c->seen_term = MAX(c->seen_term, ask->own.term);
		co_step_down(c, "member_has_higher_term");
		return;
	case OWN_ASK_UNKNOWN:
	case OWN_ASK_IGNORE:
		return;
	}
	m = co_member_find(c, ask->own.node_id);
	if (m) {
		m->doc_rev = ask->doc_rev;
		m->map_rev = ask->map_rev;
		r.own.standby_rank = m->standby_rank;
	}
	r.doc_rev = c->doc_rev;
	r.map_rev = c->map.rev;
	r.doc_age_ms = document_age_ms(c);
	dgram_send_reply(c->config.dgram, from, &r);
}

/* Sends each member a reply with seq 0, which makes it ask at once. */
static void request_asks(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		struct dgram_reply r;

		memset(&r, 0, sizeof(r));
		r.own.term = c->record.term;
		r.own.incarnation = m->info->incarnation;
		dgram_send_reply(c->config.dgram, &m->udp_address, &r);
	}
}

static void send_takeovers(struct coord *c, int64_t now_ms)
{
	const struct settings *s = c->config.settings;
	struct co_member *m, *tmp;

	if (now_ms < c->takeover_at_ms ||
	    now_ms > c->elected_ms + CO_TAKEOVER_LENGTH_MS)
		return;
	c->takeover_at_ms = now_ms + CO_TAKEOVER_PERIOD_MS;
	HASH_ITER(hh, c->members, m, tmp) {
		const struct own_peer *p = own_coord_find(&c->own, m->id);

		if (p && p->heard)
			continue;
		dgram_send_takeover(c->config.dgram, &m->udp_address,
				    c->record.term, s->address,
				    settings_peer_port(s));
	}
}

void coord_orders_changed(struct coord *c)
{
	c->placement_due = 1;
}

int coord_data_centre_is_drained(const struct coord *c, const char *data_centre)
{
	const struct coord_config *config = &c->config;

	if (c->has_doc && doc_has_data_centre_stop(&c->doc, data_centre))
		return 1;
	return config->data_centre_is_drained &&
	       config->data_centre_is_drained(data_centre,
					      config->document_priv);
}

int co_is_draining(const struct coord *c, const struct co_member *m)
{
	if (m->leaving == 1 ||
	    (c->has_doc && doc_has_stop(&c->doc, m->info->name)))
		return 1;
	return coord_data_centre_is_drained(c, m->info->data_centre);
}

static int64_t unchecked_deadline_wait_ms(const struct co_member *m)
{
	if (!m->info->target || m->info->target->checks & CHECK_DEADLINE)
		return 0;
	return OWN_UNCHECKED_WAIT_MS;
}

static int is_lost(const struct coord *c, const struct co_member *m,
		   const struct own_peer *p, int64_t now_ms)
{
	int64_t wait_ms =
		unchecked_deadline_wait_ms(m) + co_restart_grace_ms(c, m);

	if (now_ms < m->restart_until_ms)
		return 0;
	return own_coord_is_lost(&c->own, p, now_ms, wait_ms);
}

static void detect_lost_members(struct coord *c, int64_t now_ms)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		struct own_peer *p = own_coord_find(&c->own, m->id);
		int may_hold;

		if (!p || m->lost || m->join != CO_JOIN_DONE)
			continue;
		if (!is_lost(c, m, p, now_ms))
			continue;
		m->lost = 1;
		m->last_heard_ms = p->heard_ms ? p->heard_ms : c->elected_ms;
		may_hold = p->maybe_held || p->commit_sent;
		own_peer_set_lost(p);
		c->placement_due = 1;
		cnt_add(c->config.cnt, "nodes_lost", "", 1);
		log_warn("node_lost",
			 "name=%s id=%u silent_ms=%lld maybe_held=%d",
			 LOG_Q(m->info->name), m->id,
			 (long long)(now_ms - m->last_heard_ms), may_hold);
	}
}

static int is_live(const struct coord *c, const struct co_member *m)
{
	const struct own_peer *p = own_coord_find(&c->own, m->id);

	return m->conn && m->join == CO_JOIN_DONE && !m->lost && !m->leaving &&
	       p && p->heard;
}

static int is_in_other_data_centre(const struct coord *c,
				   const struct co_member *m)
{
	return strcmp(m->info->data_centre, c->config.settings->data_centre) !=
	       0;
}

/* An unknown bandwidth counts as unlimited. */
static uint32_t bandwidth_kbps(const struct co_member *m)
{
	return m->info->link_kbps ? m->info->link_kbps : UINT32_MAX;
}

/* Returns 1 if x is a better standby than y. */
static int is_better_standby(const struct coord *c, const struct co_member *x,
			     const struct co_member *y)
{
	if (bandwidth_kbps(x) != bandwidth_kbps(y))
		return bandwidth_kbps(x) > bandwidth_kbps(y);
	return is_in_other_data_centre(c, x) > is_in_other_data_centre(c, y);
}

static struct co_member *best_standby(struct coord *c)
{
	struct co_member *m, *tmp, *best = NULL;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->standby_rank || !is_live(c, m) ||
		    strcmp(m->info->name, c->config.settings->name) == 0)
			continue;
		if (!best || is_better_standby(c, m, best))
			best = m;
	}
	return best;
}

/*
 * Prefers live nodes with the highest bandwidth, since a coordinator talks to
 * all nodes at once; among these, nodes outside this data centre, so that the
 * loss of one data centre does not take the coordinator and its standbys; then
 * the lowest id, since the table is in the order of ids.
 */
void co_choose_standbys(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		m->standby_rank = 0;
	}
	for (uint32_t rank = 1; rank <= CO_STANDBYS; rank++) {
		m = best_standby(c);
		if (m)
			m->standby_rank = rank;
	}
}

/* The node closes the connection itself, once it has read the reply. */
void co_confirm_leave(struct co_member *m)
{
	Wire__LeaveReply r = WIRE__LEAVE_REPLY__INIT;

	if (!m->conn)
		return;
	r.done = 1;
	co_send(m, FRAME_LEAVE_REPLY, &r.base);
	m->conn->member = NULL;
	m->conn = NULL;
}

static int owns_any_slot(const struct coord *c, uint32_t id)
{
	for (uint32_t s = 0; s < c->map.slot_count; s++) {
		if (c->map.slots[s].owner == id)
			return 1;
	}
	return 0;
}

/* A restarting node may exit; it keeps its slots and its roster entry. */
static void confirm_restart_leave(struct co_member *m)
{
	Wire__LeaveReply r = WIRE__LEAVE_REPLY__INIT;

	if (!m->conn || m->leave_answered)
		return;
	r.done = 1;
	co_send(m, FRAME_LEAVE_REPLY, &r.base);
	m->leave_answered = 1;
}

/*
 * A stopping node is removed from the roster before it is told to exit;
 * otherwise a successor of this coordinator would take it for a node that can
 * own slots.
 */
static void update_leaving_members(struct coord *c)
{
	struct co_member *m, *tmp;

	HASH_ITER(hh, c->members, m, tmp) {
		if (m->leaving == 2)
			confirm_restart_leave(m);
		if (m->leaving == 1 && !owns_any_slot(c, m->id))
			m->departed = 1;
	}
}

static void log_phase(const struct coord *c, int64_t now_ms)
{
	struct own_roster_counts n;

	own_coord_count_roster(&c->own, &n);
	log_info("ownership_phase",
		 "phase=%d term=%llu age_ms=%lld inherited=%u unrecorded=%u "
		 "replaced=%u silent=%u maybe_held=%u",
		 (int)c->own.phase, (unsigned long long)c->own.term,
		 (long long)(now_ms - c->own.takeover_ms), n.nodes,
		 n.unrecorded, n.replaced, n.silent, n.maybe_held);
}

void co_member_tick(struct coord *c, int64_t now_ms)
{
	co_conns_reap(c);
	if (own_coord_tick(&c->own, now_ms)) {
		log_phase(c, now_ms);
		request_asks(c);
	}
	if (own_coord_needs_marks(&c->own, now_ms) && !c->queue.marks_due &&
	    !c->write.has_marks) {
		c->queue.marks_due = 1;
		c->queue.roster_due = 1;
	}
	send_takeovers(c, now_ms);
	detect_lost_members(c, now_ms);
	co_choose_standbys(c);
	update_leaving_members(c);
}

void co_push_map(struct coord *c, const Wire__MapDelta *delta)
{
	struct co_member *m, *tmp;
	struct buf frame;

	/* A node that gets no frame fetches the map at the next change. */
	buf_init(&frame);
	frame_encode_deflated(FRAME_MAP_PUSH, &delta->base, &frame);
	HASH_ITER(hh, c->members, m, tmp) {
		if (m->join == CO_JOIN_DONE)
			co_send_encoded(m, &frame);
	}
	buf_finish(&frame);
}

void co_push_doc(struct coord *c, uint64_t base_rev, const Wire__DocPush *delta)
{
	struct co_member *m, *tmp;
	struct buf frame;

	buf_init(&frame);
	frame_encode_deflated(FRAME_DOC_PUSH, &delta->base, &frame);
	HASH_ITER(hh, c->members, m, tmp) {
		if (m->join != CO_JOIN_DONE || !m->conn)
			continue;
		if (m->doc_sent_rev != base_rev &&
		    (!c->config.document || m->doc_rev != base_rev)) {
			/* A node that reads it by itself asks if it cannot. */
			if (!c->config.document)
				co_doc_send_full(c, m);
			continue;
		}
		co_send_encoded(m, &frame);
		m->doc_sent_rev = delta->rev;
	}
	buf_finish(&frame);
}
