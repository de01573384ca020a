#include "membership/membership_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "common/step.h"
#include "routing/ingress.h"
#include "protocol/wire.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERSHIP_TICK_S 0.02

static const struct map *view_map(struct view *v)
{
	return &((struct membership *)v)->map;
}

static const struct doc *view_doc(struct view *v)
{
	struct membership *m = (struct membership *)v;

	return m->has_doc ? &m->doc : NULL;
}

static uint32_t view_self(struct view *v)
{
	return ((struct membership *)v)->own.node_id;
}

static enum err view_may_serve(struct view *v, uint32_t slot, int64_t now_ns,
			       uint64_t *fence, int64_t *not_after_ns)
{
	struct membership *m = (struct membership *)v;
	int64_t end_ms;
	enum err e;

	if (!m->own.node_id || slot >= m->map.slot_count ||
	    m->map.slots[slot].owner != m->own.node_id)
		return ERR_NOT_OWNER;
	e = own_member_may_serve(&m->own, now_ns / 1000000, m->map.rev,
				 &end_ms);
	if (e != ERR_OK && guard_on(GUARD_GRANT_CHECK))
		return e;
	if (e != ERR_OK)
		end_ms = INT64_MAX;
	if (m->config.ops->check_target_hold) {
		e = m->config.ops->check_target_hold(
			slot, m->map.slots[slot].fence, now_ns / 1000000,
			&end_ms, m->config.priv);
		if (e != ERR_OK)
			return e;
	}
	*fence = m->map.slots[slot].fence;
	*not_after_ns = end_ms == INT64_MAX ? INT64_MAX : end_ms * 1000000;
	return ERR_OK;
}

static enum err view_may_route(struct view *v, int64_t now_ms)
{
	struct membership *m = (struct membership *)v;

	if (!m->has_doc || !m->own.node_id || m->orders_awaited)
		return ERR_STALE;
	if (own_member_in_hold(&m->own, now_ms) ||
	    !m->config.settings->stale_ms ||
	    now_ms - m->own.confirmed_ms < m->config.settings->stale_ms)
		return ERR_OK;
	return ERR_STALE;
}

static int view_data_centre_is_drained(struct view *v, const char *data_centre)
{
	const struct membership *m = (struct membership *)v;

	return membership_has_order(m, data_centre) ||
	       (m->has_doc && doc_has_data_centre_stop(&m->doc, data_centre));
}

static const struct view_ops view_ops = {
	.map = view_map,
	.doc = view_doc,
	.self = view_self,
	.may_serve = view_may_serve,
	.may_route = view_may_route,
	.data_centre_is_drained = view_data_centre_is_drained,
};

/*
 * Where targets hold keys, these move when a target announces itself: loads are
 * reported as often.
 */
static uint32_t load_period_ms(const struct membership *m)
{
	const struct settings *s = m->config.settings;

	return s->hold_max_ms ? (uint32_t)s->announce_ms
			      : MEMBERSHIP_LOAD_PERIOD_MS;
}

static void send_load(struct membership *m, int64_t now_ms)
{
	Wire__LoadReport r = WIRE__LOAD_REPORT__INIT;

	if (!m->joined || now_ms < m->load_report_at_ms)
		return;
	r.interval_ms = load_period_ms(m);
	m->load_report_at_ms = now_ms + r.interval_ms;
	m->config.ops->collect_load(&r, m->config.priv);
	membership_send(m, FRAME_LOAD_REPORT, &r.base);
	m->config.ops->free_load(&r, m->config.priv);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct membership *m = w->data;
	int64_t now_ms = clk_ms();

	(void)loop;
	(void)events;
	step_enter("member_tick");
	membership_discovery_tick(m, now_ms);
	send_load(m, now_ms);
}

enum err membership_new(struct membership **out,
			const struct membership_config *config)
{
	struct membership *m = calloc(1, sizeof(*m));

	if (!m)
		return ERR_NOMEM;
	m->view.ops = &view_ops;
	m->config = *config;
	own_member_init(&m->own, config->incarnation);
	map_init(&m->map);
	drained_init(&m->orders);
	m->orders_awaited = config->has_orders;
	membership_discovery_init(m);
	doc_job_init(&m->push_job, config->loop, membership_on_push_read, m);
	ev_timer_init(&m->timer, on_tick, 0., MEMBERSHIP_TICK_S);
	m->timer.data = m;
	ev_timer_start(config->loop, &m->timer);
	*out = m;
	return ERR_OK;
}

void membership_free(struct membership *m)
{
	if (!m)
		return;
	ev_timer_stop(m->config.loop, &m->timer);
	doc_job_cancel(&m->push_job);
	membership_drop_conn(m, "stopping");
	free(m->old_conn);
	map_finish(&m->map);
	if (m->has_doc)
		doc_finish(&m->doc);
	doc_sections_finish(&m->sections);
	if (m->target)
		wire__target__free_unpacked(m->target, NULL);
	free(m);
}

struct view *membership_view(struct membership *m)
{
	return &m->view;
}

/*
 * Fetches map and document if the coordinator has had newer ones for a while. A
 * push can be lost with its connection, or if the send queue is full.
 */
static void fetch_if_behind(struct membership *m, const struct dgram_reply *r,
			    int64_t now_ms)
{
	if (!m->joined ||
	    (r->doc_rev <= m->doc_rev && r->map_rev <= m->map.rev)) {
		m->behind_since_ms = 0;
		return;
	}
	if (!m->behind_since_ms)
		m->behind_since_ms = now_ms;
	if (now_ms - m->behind_since_ms < MEMBERSHIP_FETCH_AFTER_MS)
		return;
	log_warn("out_of_date",
		 "term=%llu doc_revision=%llu coordinator_doc_revision=%llu "
		 "map_revision=%llu coordinator_map_revision=%llu "
		 "control_silent_ms=%lld",
		 (unsigned long long)m->own.term,
		 (unsigned long long)m->doc_rev, (unsigned long long)r->doc_rev,
		 (unsigned long long)m->map.rev, (unsigned long long)r->map_rev,
		 (long long)membership_control_silent_ms(m));
	m->behind_since_ms = now_ms;
	m->fetches++;
	membership_send_fetch(m, "out_of_date");
}

/*
 * Counted from when the ask was sent, which is before the coordinator wrote the
 * age into its reply.
 */
static void note_document_confirmed(struct membership *m,
				    const struct dgram_reply *r)
{
	int64_t at_ms = m->own.confirmed_ms - r->doc_age_ms;

	if (r->doc_age_ms && r->doc_rev == m->doc_rev &&
	    at_ms > m->doc_confirmed_ms)
		m->doc_confirmed_ms = at_ms;
}

void membership_on_lease_reply(struct membership *m,
			       const struct dgram_reply *r)
{
	int64_t now_ms = clk_ms();

	if (!own_member_handle_reply(&m->own, now_ms, &r->own))
		return;
	membership_note_coordinator_alive(m, now_ms);
	note_document_confirmed(m, r);
	fetch_if_behind(m, r, now_ms);
}

void membership_on_takeover(struct membership *m, uint64_t term,
			    const char *address, unsigned peer_port)
{
	if (term > m->coordinator.term)
		membership_follow_coordinator(m, term, address, peer_port);
}

void membership_update_cold_time(struct membership *m)
{
	int64_t now_ms = clk_ms();
	int64_t age_ms = now_ms - m->target_set_ms;

	m->target_set_ms = now_ms;
	if (!m->target || !m->target->cold_ms)
		return;
	m->target->cold_ms = age_ms < m->target->cold_ms
				     ? m->target->cold_ms - (uint32_t)age_ms
				     : 0;
}

void membership_send_target(struct membership *m)
{
	Wire__TargetState s = WIRE__TARGET_STATE__INIT;

	membership_update_cold_time(m);
	/* The coordinator accepts no other frame before its JoinReply. */
	m->target_unsent = !m->joined;
	s.target = m->target;
	s.gone = m->target == NULL;
	if (m->joined)
		membership_send(m, FRAME_TARGET_STATE, &s.base);
}

void membership_set_target(struct membership *m, const Wire__Target *target)
{

	if (m->target)
		wire__target__free_unpacked(m->target, NULL);
	m->target = target ? wire_copy_target(target) : NULL;
	m->target_set_ms = clk_ms();
	membership_send_target(m);
	/* Without a target nothing can run: release all slots unasked. */
	for (uint32_t i = 0; !target && i < m->map.slot_count; i++) {
		if (m->own.node_id && m->map.slots[i].owner == m->own.node_id)
			m->config.ops->release(i, m->config.priv);
	}
}

static void send_released(struct membership *m, Wire__Released *r)
{
	r->term = m->own.term;
	r->map_rev = m->map.rev;
	if (m->release_term == m->own.term)
		r->seen_seq = m->release_seq;
	if (m->joined)
		membership_send(m, FRAME_RELEASED, &r->base);
}

void membership_report_released(struct membership *m, uint32_t slot)
{
	Wire__Released r = WIRE__RELEASED__INIT;

	r.n_slots = 1;
	r.slots = &slot;
	send_released(m, &r);
}

void membership_report_released_many(struct membership *m, uint32_t *slots,
				     const char *const *handovers, size_t count)
{
	Wire__Released r = WIRE__RELEASED__INIT;

	r.n_slots = count;
	r.slots = slots;
	r.n_handovers = count;
	r.handovers = (char **)(uintptr_t)handovers;
	send_released(m, &r);
}

uint32_t membership_node_id(const struct membership *m)
{
	return m->own.node_id;
}

enum err membership_may_serve(const struct membership *m, int64_t now_ms,
			      int64_t *end_ms)
{
	if (!m->own.node_id)
		return ERR_NO_GRANT;
	return own_member_may_serve(&m->own, now_ms, m->map.rev, end_ms);
}

void membership_leave(struct membership *m, int restart)
{
	Wire__Leave l = WIRE__LEAVE__INIT;

	m->leaving = restart ? 2 : 1;
	l.reason = (uint32_t)m->leaving;
	if (m->joined)
		membership_send(m, FRAME_LEAVE, &l.base);
}

int membership_is_detached(const struct membership *m)
{
	int64_t now_ms = clk_ms();

	return !m->joined && !own_member_in_hold(&m->own, now_ms) &&
	       now_ms >= m->own.grant_end_ms;
}

void membership_write_status(struct membership *m, struct buf *out)
{
	int64_t now_ms = clk_ms();
	const char *grant = "none";

	if (own_member_in_hold(&m->own, now_ms))
		grant = "held";
	else if (now_ms < m->own.grant_end_ms)
		grant = "live";
	buf_addf(out,
		 "\"node\":\"%s\",\"id\":%u,\"term\":%llu,\"grant\":\"%s\","
		 "\"map_revision\":%llu,\"doc_revision\":%llu,",
		 m->config.settings->name, m->own.node_id,
		 (unsigned long long)m->own.term, grant,
		 (unsigned long long)m->map.rev,
		 (unsigned long long)m->doc_rev);
}

void membership_count_bytes(const struct membership *m, uint64_t *in,
			    uint64_t *out)
{
	*in = m->closed_bytes_in + (m->conn ? m->conn->bytes_in : 0);
	*out = m->closed_bytes_out + (m->conn ? m->conn->bytes_out : 0);
}

int64_t membership_control_silent_ms(const struct membership *m)
{
	return m->conn ? clk_ms() - m->conn->last_read_ms : 0;
}

int64_t membership_document_age_ms(const struct membership *m)
{
	return m->doc_confirmed_ms ? clk_ms() - m->doc_confirmed_ms : INT64_MAX;
}

void membership_notify_changed(struct membership *m)
{
	if (!m->orders_awaited)
		m->config.ops->changed(m->config.priv);
}

void membership_set_orders(struct membership *m, const struct drained *orders)
{
	m->orders = *orders;
	m->orders_awaited = 0;
	membership_notify_changed(m);
}

int membership_has_order(const struct membership *m, const char *data_centre)
{
	return m->orders_awaited || drained_has(&m->orders, data_centre);
}

size_t membership_count_drained(const struct membership *m)
{
	size_t count = m->orders.count;

	for (size_t i = 0; m->has_doc && i < m->doc.stop_count; i++) {
		const char *name = m->doc.stops[i].data_centre;

		count += name[0] && !drained_has(&m->orders, name);
	}
	return count;
}

uint64_t membership_count_fetches(const struct membership *m)
{
	return m->fetches;
}
