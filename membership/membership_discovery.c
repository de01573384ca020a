#include "membership/membership_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "transport/addr.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int bandwidth_delay_ms(const struct settings *s)
{
	if (s->link_mbps <= (double)MEMBERSHIP_BANDWIDTH_DELAY_MS /
				    MEMBERSHIP_BANDWIDTH_DELAY_MAX_MS)
		return s->link_mbps > 0 ? MEMBERSHIP_BANDWIDTH_DELAY_MAX_MS : 0;
	return (int)(MEMBERSHIP_BANDWIDTH_DELAY_MS / s->link_mbps);
}

static void schedule_election(struct membership *m, int64_t now_ms, int first)
{
	int base = (first ? 0 : MEMBERSHIP_ELECTION_DELAY_MS) +
		   bandwidth_delay_ms(m->config.settings);
	int spread = first ? MEMBERSHIP_FIRST_ELECTION_JITTER_MS
			   : MEMBERSHIP_ELECTION_JITTER_MS;

	m->elect_at_ms = now_ms + base + g_random_int_range(0, spread);
}

void membership_discovery_init(struct membership *m)
{
	m->silent_since_ms = clk_ms();
	m->last_tick_ms = m->silent_since_ms;
	m->reconnect_at_ms = 0;
	m->read_backoff_ms = MEMBERSHIP_READ_BACKOFF_MIN_MS;
	schedule_election(m, m->silent_since_ms, 0);
}

void membership_note_coordinator_alive(struct membership *m, int64_t now_ms)
{
	m->silent_since_ms = now_ms;
	schedule_election(m, now_ms, 0);
}

void membership_drop_conn(struct membership *m, const char *why)
{
	if (!m->conn)
		return;
	log_info("control_closed", "why=%s coordinator=%s", LOG_Q(why),
		 LOG_Q(m->coordinator.node));
	m->closed_bytes_in += m->conn->bytes_in;
	m->closed_bytes_out += m->conn->bytes_out;
	tcp_conn_finish(m->conn);
	/* Freed at the next tick, since its callback may be running. */
	free(m->old_conn);
	m->old_conn = m->conn;
	m->conn = NULL;
	m->joined = 0;
	m->reconnect_at_ms = clk_ms() + MEMBERSHIP_RECONNECT_DELAY_MS;
}

void membership_send(struct membership *m, enum frame_type type,
		     const ProtobufCMessage *msg)
{
	if (m->conn)
		tcp_send(m->conn, type, msg);
}

void membership_fill_node(const struct membership *m, Wire__Node *n)
{
	const struct settings *s = m->config.settings;

	n->id = m->own.node_id;
	n->name = (char *)(uintptr_t)s->name;
	n->incarnation = m->config.incarnation;
	n->region = (char *)(uintptr_t)s->region;
	n->data_centre = (char *)(uintptr_t)s->data_centre;
	n->rack = (char *)(uintptr_t)s->rack;
	n->address = (char *)(uintptr_t)s->address;
	n->peer_port = settings_peer_port(s);
	n->http_port = (uint32_t)s->http_port;
	n->admin_port = (uint32_t)s->admin_port;
	n->link_kbps = (uint32_t)(s->link_mbps * 1000);
	n->target = m->target;
}

static void send_join(struct membership *m)
{
	Wire__Hello hello = WIRE__HELLO__INIT;
	Wire__Join join = WIRE__JOIN__INIT;
	Wire__Node node = WIRE__NODE__INIT;

	hello.node = (char *)(uintptr_t)m->config.settings->name;
	hello.incarnation = m->config.incarnation;
	hello.purpose = 1;
	hello.term = m->own.term;
	membership_send(m, FRAME_HELLO, &hello.base);
	membership_update_cold_time(m);
	membership_fill_node(m, &node);
	join.node = &node;
	join.term = m->own.term;
	join.doc_rev = m->doc_rev;
	join.map_rev = m->map.rev;
	join.hold_term = m->own.hold_term;
	join.hold_seq = m->own.hold_seq;
	membership_send(m, FRAME_JOIN, &join.base);
	m->target_unsent = 0;
}

static void on_connected(struct tcp_conn *c, void *priv)
{
	(void)c;
	send_join(priv);
	membership_control_reset(priv, clk_ms());
}

static void on_frame(struct tcp_conn *c, const struct frame *f, void *priv)
{
	(void)c;
	membership_on_frame(priv, f);
}

static void on_closed(struct tcp_conn *c, enum err why, void *priv)
{
	struct membership *m = priv;

	if (m->conn != c)
		return;
	membership_drop_conn(m, err_name(why));
	m->connect_failures++;
}

static const struct tcp_ops conn_ops = {
	.connected = on_connected,
	.frame = on_frame,
	.closed = on_closed,
};

static void connect_to_coordinator(struct membership *m, int64_t now_ms)
{
	struct tcp_conn *c = calloc(1, sizeof(*c));

	m->reconnect_at_ms = now_ms + MEMBERSHIP_CONNECT_TIMEOUT_MS +
			     MEMBERSHIP_RECONNECT_DELAY_MS;
	if (!c)
		return;
	if (tcp_conn_init_dial(c, m->config.loop, m->coordinator.address,
			       m->coordinator.peer_port,
			       MEMBERSHIP_CONNECT_TIMEOUT_MS, &conn_ops,
			       m) != ERR_OK) {
		tcp_conn_finish(c);
		free(c);
		m->connect_failures++;
		return;
	}
	m->conn = c;
}

void membership_follow_coordinator(struct membership *m, uint64_t term,
				   const char *address, unsigned peer_port)
{
	int64_t now_ms = clk_ms();

	if (!own_member_observe_term(&m->own, term, now_ms))
		return;
	if (m->coordinator.term == term &&
	    strcmp(m->coordinator.address, address) == 0 &&
	    m->coordinator.peer_port == peer_port)
		return;
	if (addr_parse(&m->coordinator_udp, address, peer_port) != ERR_OK)
		return;
	membership_drop_conn(m, "new_term");
	m->coordinator.term = term;
	snprintf(m->coordinator.address, sizeof(m->coordinator.address), "%s",
		 address);
	m->coordinator.peer_port = peer_port;
	m->connect_failures = 0;
	m->reconnect_at_ms = now_ms;
	membership_note_coordinator_alive(m, now_ms);
	log_info("coordinator_found", "term=%llu address=%s port=%u",
		 (unsigned long long)term, address, peer_port);
}

static int wants_election(const struct membership *m, int64_t now_ms)
{
	if (now_ms < m->elect_at_ms &&
	    !own_member_should_elect(&m->own, now_ms))
		return 0;
	return membership_probe_allows_election(m, now_ms);
}

/* A coordinator without the store is not replaced by its own node. */
static int wants_takeover(const struct membership *m, int64_t now_ms)
{
	return own_member_should_take_over(&m->own, now_ms) &&
	       (m->coordinator.peer_port !=
			settings_peer_port(m->config.settings) ||
		strcmp(m->coordinator.address, m->config.settings->address) !=
			0);
}

/*
 * Returns 1 if a coordinator in a hold still has time to write its record again
 * to a store that was restored from a copy.
 */
static int may_be_written_again(struct membership *m, const struct record *r,
				int64_t now_ms)
{
	if (r->mod_revision && !record_is_restored(r)) {
		m->restored_since_ms = 0;
		return 0;
	}
	if (!m->restored_since_ms)
		m->restored_since_ms = now_ms;
	return now_ms - m->restored_since_ms < MEMBERSHIP_RESTORED_WAIT_MS;
}

static void replace_record(struct membership *m, const struct record *r,
			   int handover, int64_t now_ms)
{
	if (handover)
		log_info("coordinator_without_store", "term=%llu",
			 (unsigned long long)r->term);
	schedule_election(m, now_ms, 0);
	m->config.ops->start_election(r, m->own.term, m->config.priv);
}

/*
 * Fills in a record for an election that replaces a malformed one, whose term
 * and era are not known. Each term was written to the store in a change of its
 * own, so none is above the floor of its era by more than the revision.
 */
static void fill_unknown_record(struct membership *m, const struct store_kv *kv,
				uint64_t era, struct record *r)
{
	struct store *s = m->config.store;

	r->mod_revision = kv->mod_revision;
	r->read_era = era;
	r->state_era = 0;
	r->term = MAX(m->own.term,
		      s->ops->number_floor(s) + (uint64_t)kv->mod_revision);
	/* Once for each value, since it is read until it is replaced. */
	if (m->malformed_record_revision == kv->mod_revision)
		return;
	m->malformed_record_revision = kv->mod_revision;
	log_warn("record_malformed", "key=%s revision=%lld bytes=%zu",
		 LOG_Q(kv->key), (long long)kv->mod_revision, kv->value_len);
}

static void on_record(enum err e, const struct store_range *result, void *priv)
{
	struct membership *m = priv;
	struct record r;
	int64_t now_ms = clk_ms();
	int handover = wants_takeover(m, now_ms);
	int replace = handover || wants_election(m, now_ms);

	m->record_read_pending = 0;
	if (e != ERR_OK) {
		m->read_backoff_ms =
			m->read_backoff_ms * 2 < MEMBERSHIP_READ_BACKOFF_MAX_MS
				? m->read_backoff_ms * 2
				: MEMBERSHIP_READ_BACKOFF_MAX_MS;
		m->record_read_at_ms = now_ms + m->read_backoff_ms;
		/* All other members read in a hold, not the standbys alone. */
		if (handover && !m->own.standby_rank)
			m->record_read_at_ms =
				now_ms + MEMBERSHIP_TAKEOVER_RETRY_MS;
		return;
	}
	m->read_backoff_ms = MEMBERSHIP_READ_BACKOFF_MIN_MS;
	memset(&r, 0, sizeof(r));
	if (result->count) {
		const struct store_kv *kv = &result->kvs[0];

		if (record_parse(&r, kv->value, kv->value_len) != ERR_OK) {
			fill_unknown_record(m, kv, result->era, &r);
			if (replace)
				replace_record(m, &r, handover, now_ms);
			return;
		}
		r.mod_revision = kv->mod_revision;
	}
	r.read_era = result->era;
	/*
	 * An earlier process of this node wrote the record. It has ended, so
	 * there is no coordinator, and this node is the first to know. A record
	 * that came back with a copy of the store shows nothing: another node
	 * may have been elected since.
	 */
	if (result->count && !record_is_restored(&r) &&
	    r.incarnation != m->config.incarnation &&
	    strcmp(r.node, m->config.settings->name) == 0 &&
	    r.peer_port == settings_peer_port(m->config.settings) &&
	    strcmp(r.address, m->config.settings->address) == 0) {
		m->config.ops->start_election(&r, m->own.term, m->config.priv);
		return;
	}
	if (r.term > m->coordinator.term) {
		membership_follow_coordinator(m, r.term, r.address,
					      r.peer_port);
		snprintf(m->coordinator.node, sizeof(m->coordinator.node), "%s",
			 r.node);
		return;
	}
	if (!result->count && !m->coordinator.term &&
	    m->elect_at_ms > now_ms + MEMBERSHIP_FIRST_ELECTION_JITTER_MS +
				     bandwidth_delay_ms(m->config.settings)) {
		schedule_election(m, now_ms, 1);
		return;
	}
	if (may_be_written_again(m, &r, now_ms) && handover)
		return;
	/* The record still names the coordinator that is to be replaced. */
	if (replace)
		replace_record(m, &r, handover, now_ms);
}

static void read_record(struct membership *m, int64_t now_ms)
{
	char key[SETTINGS_NAME_BYTES + 8];

	if (m->record_read_pending || now_ms < m->record_read_at_ms)
		return;
	m->record_read_pending = 1;
	m->record_read_at_ms = now_ms + MEMBERSHIP_READ_BACKOFF_MIN_MS;
	snprintf(key, sizeof(key), "%scoord", m->config.settings->store_prefix);
	m->config.store->ops->range(m->config.store, key, 0, on_record, m);
}

static void send_ask(struct membership *m, int64_t now_ms)
{
	struct dgram_ask a;

	memset(&a, 0, sizeof(a));
	if (!m->own.unanswered)
		m->unanswered_from_ms = now_ms;
	else if (m->own.unanswered % MEMBERSHIP_ASKS_BEFORE_NEW_PORT == 0 &&
		 guard_on(GUARD_RENEW))
		dgram_change_source_port(m->config.dgram);
	own_member_make_ask(&m->own, now_ms, &a.own);
	a.doc_rev = m->doc_rev;
	a.map_rev = m->map.rev;
	dgram_send_ask(m->config.dgram, &m->coordinator_udp, &a);
}

void membership_discovery_tick(struct membership *m, int64_t now_ms)
{
	free(m->old_conn);
	m->old_conn = NULL;
	if (m->left)
		return;
	/*
	 * After a pause of this process, missed replies do not show that the
	 * coordinator has failed.
	 */
	if (now_ms - m->last_tick_ms > MEMBERSHIP_PAUSE_MS) {
		m->own.unanswered = 0;
		membership_note_coordinator_alive(m, now_ms);
		membership_control_resume(m, now_ms);
	}
	m->last_tick_ms = now_ms;
	if (m->coordinator.term && m->own.node_id &&
	    own_member_ask_due(&m->own, now_ms))
		send_ask(m, now_ms);
	if (m->conn && m->joined &&
	    m->own.unanswered >= MEMBERSHIP_ASKS_BEFORE_RECONNECT) {
		membership_drop_conn(m, "asks_unanswered");
		m->connect_failures++;
	}
	membership_control_tick(m, now_ms);
	membership_probe_tick(m, now_ms);
	if (!m->conn && m->coordinator.term && now_ms >= m->reconnect_at_ms)
		connect_to_coordinator(m, now_ms);
	if (!m->coordinator.term || m->connect_failures >= 2 ||
	    wants_election(m, now_ms) || wants_takeover(m, now_ms)) {
		m->connect_failures = 0;
		read_record(m, now_ms);
	}
}
