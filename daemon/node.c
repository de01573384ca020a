#include "daemon/node.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODE_TICK_S 0.05

/* ---- callbacks of the member ---- */

static void on_changed(void *priv)
{
	struct node *n = priv;

	if (n->gate)
		gate_view_changed(n->gate);
	if (n->ingress)
		ingress_view_changed(n->ingress);
}

static void on_slot_gained(uint32_t slot, void *priv)
{
	struct node *n = priv;

	hold_cancel_release(&n->hold, slot);
	gate_slot_gained(n->gate, slot);
}

static void on_release(uint32_t slot, void *priv)
{
	struct node *n = priv;

	if (node_slot_uses_holds(n, slot))
		node_start_hold_release(n, slot);
	else if (guard_on(GUARD_RELEASE))
		gate_release(n->gate, slot);
	else
		membership_report_released(n->membership, slot);
}

static void on_release_cancel(uint32_t slot, void *priv)
{
	struct node *n = priv;

	/* A stopping node releases its slots in any case. */
	if (n->phase != NODE_RUNNING || n->target_leaving)
		return;
	hold_cancel_release(&n->hold, slot);
	gate_release_cancel(n->gate, slot);
}

static void on_collect_load(Wire__LoadReport *report, void *priv)
{
	struct node *n = priv;
	struct gate_stats s = gate_take_stats(n->gate);

	gate_take_load(n->gate, report);
	report->in_flight = s.in_flight;
	report->shed = s.shed;
	report->latency_us = s.latency_us;
	report->evidence = (float)s.target.evidence;
	report->fail_rate = (float)s.target.fail_rate;
	report->refuse_rate = (float)s.target.refuse_rate;
	report->answer_us = (float)s.target.latency_us;
	report->rate_limit = (float)s.rate_limit_per_s;
}

static void on_free_load(Wire__LoadReport *report, void *priv)
{
	(void)priv;
	gate_load_report_free(report);
}

static void on_start_election(const struct record *known, uint64_t seen_term,
			      void *priv)
{
	struct node *n = priv;

	if (n->phase == NODE_RUNNING)
		coord_start_election(n->coord, known, seen_term);
}

static void release_all_slots(struct node *n)
{
	struct view *v = membership_view(n->membership);
	const struct map *m = v->ops->map(v);
	uint32_t self = v->ops->self(v);

	for (uint32_t s = 0; s < m->slot_count; s++) {
		if (self && m->slots[s].owner == self)
			on_release(s, n);
	}
}

/*
 * Releases all slots and stops accepting connections; with a notice period,
 * also requests. tick_finishing then ends the event loop.
 */
static void start_finishing(struct node *n)
{
	if (n->phase != NODE_LEAVING)
		return;
	n->phase = NODE_FINISHING;
	n->finishing_ms = clk_ms();
	release_all_slots(n);
	ingress_quiesce(n->ingress);
	if (n->settings->notice_ms) {
		ingress_refuse_requests(n->ingress);
		gate_quiesce(n->gate);
	}
	log_info("finishing", "open=%u in_flight=%u slots_left=%d",
		 ingress_open_requests(n->ingress), gate_in_flight(n->gate),
		 n->leave_confirmed);
}

static void on_left(void *priv)
{
	struct node *n = priv;

	n->leave_confirmed = 1;
	if (!n->settings->notice_ms)
		start_finishing(n);
}

static enum err on_check_target_hold(uint32_t slot, uint64_t fence,
				     int64_t now_ms, int64_t *end_ms,
				     void *priv)
{
	return node_hold_may_serve(priv, slot, fence, now_ms, end_ms);
}

static const struct membership_ops membership_ops = {
	.changed = on_changed,
	.slot_gained = on_slot_gained,
	.release = on_release,
	.release_cancel = on_release_cancel,
	.collect_load = on_collect_load,
	.free_load = on_free_load,
	.start_election = on_start_election,
	.left = on_left,
	.check_target_hold = on_check_target_hold,
};

/* ---- callbacks of the gate ---- */

static void on_released(uint32_t slot, void *priv)
{
	struct node *n = priv;

	/*
	 * The target may still hold keys of the slot; then
	 * node_report_hold_releases reports it later.
	 */
	if (!node_slot_uses_holds(n, slot))
		membership_report_released(n->membership, slot);
}

static void on_target_lost(int ended, void *priv)
{
	struct node *n = priv;

	/*
	 * A target that announces itself is alive and only slow. If its keys
	 * moved away, its next announcement would bring them back: they would
	 * not be served during both moves, and it would be slow again after
	 * the second.
	 */
	if (!ended && node_target_is_announcing(n, clk_ms())) {
		log_warn("target_slow", "announced_ms=%lld",
			 (long long)(clk_ms() - n->announced_ms));
		return;
	}
	if (ended)
		hold_clear(&n->hold);
	node_remove_target(n, ended ? "connection_refused" : "silent");
}

static void on_target_leaving(int leaving, void *priv)
{
	node_note_leaving_answer(priv, leaving);
}

static const struct gate_ops gate_ops = {
	.released = on_released,
	.target_lost = on_target_lost,
	.target_leaving = on_target_leaving,
};

/* ---- callbacks for datagrams ---- */

static void on_ask(const struct dgram_ask *ask, const struct sockaddr_in *from,
		   void *priv)
{
	struct node *n = priv;

	if (n->coord)
		coord_on_ask(n->coord, ask, from);
}

static void on_reply(const struct dgram_reply *reply, void *priv)
{
	struct node *n = priv;

	if (n->membership)
		membership_on_lease_reply(n->membership, reply);
}

static void on_takeover(uint64_t term, const char *address, unsigned peer_port,
			void *priv)
{
	struct node *n = priv;

	if (n->membership)
		membership_on_takeover(n->membership, term, address, peer_port);
}

static void on_probe(uint64_t term, const struct sockaddr_in *from, void *priv)
{
	struct node *n = priv;

	if (n->membership)
		membership_on_probe(n->membership, term, from);
}

static void on_probe_reply(uint64_t term, uint32_t heard_ms, void *priv)
{
	struct node *n = priv;

	if (n->membership)
		membership_on_probe_reply(n->membership, term, heard_ms);
}

static const struct dgram_ops dgram_ops = {
	.probe = on_probe,
	.probe_reply = on_probe_reply,
	.ask = on_ask,
	.reply = on_reply,
	.takeover = on_takeover,
};

/* ---- start and stop ---- */

/*
 * With a notice period, callers are served until its end, and slots may move
 * away until half of the grace period is over. Slots that have not moved by
 * then wait for the next run of this daemon or for the end of this node's
 * grant.
 */
static void tick_leaving(struct node *n, int64_t now_ms)
{
	int64_t age_ms = now_ms - n->stop_ms;
	int64_t latest_ms = n->settings->grace_ms / 2;

	if (!n->settings->notice_ms) {
		if (membership_is_detached(n->membership) &&
		    age_ms > NODE_DETACHED_TIMEOUT_MS)
			start_finishing(n);
		return;
	}
	if (latest_ms < n->settings->notice_ms)
		latest_ms = n->settings->notice_ms;
	if (age_ms >= latest_ms ||
	    (n->leave_confirmed && age_ms >= n->settings->notice_ms))
		start_finishing(n);
}

/* Returns when a stop with a notice period ends at the latest. */
static int64_t latest_end_ms(const struct node *n)
{
	int64_t grace_ms = n->settings->grace_ms;
	int64_t margin_ms =
		NODE_GRACE_MARGIN_MS + step_meter_longest_ms(&n->steps);

	if (margin_ms > grace_ms / NODE_GRACE_MARGIN_PARTS)
		margin_ms = grace_ms / NODE_GRACE_MARGIN_PARTS;
	if (margin_ms < NODE_GRACE_MARGIN_MS)
		margin_ms = NODE_GRACE_MARGIN_MS;
	return n->stop_ms + grace_ms - margin_ms;
}

static void tick_finishing(struct node *n, int64_t now_ms)
{
	unsigned open = ingress_open_requests(n->ingress);
	unsigned in_flight = gate_in_flight(n->gate);
	int late = n->settings->notice_ms && now_ms >= latest_end_ms(n);
	int callers = !n->settings->notice_ms &&
		      ingress_open_connections(n->ingress) &&
		      now_ms - n->finishing_ms < NODE_IDLE_CALLERS_MS;

	if (late && (open || in_flight))
		log_warn(
			"stop_cut_off",
			"open=%u in_flight=%u age_ms=%lld longest_step_ms=%lld",
			open, in_flight, (long long)(now_ms - n->stop_ms),
			(long long)step_meter_longest_ms(&n->steps));
	if (late || (!open && !in_flight && !callers &&
		     (!peers_unacknowledged_bytes(n->peers) ||
		      now_ms - n->finishing_ms > NODE_UNSENT_TIMEOUT_MS)))
		ev_break(n->loop, EVBREAK_ALL);
}

/* Logs the bytes sent since the start of the process, by their cause. */
static void log_traffic(struct node *n, int64_t now_ms)
{
	struct dgram_counts u = dgram_total_counts(&n->dgram);
	char text[400] = "";
	size_t len = 0;

	if (now_ms - n->traffic_logged_ms < NODE_TRAFFIC_LOG_MS)
		return;
	n->traffic_logged_ms = now_ms;
	for (unsigned type = 1; type < FRAME_TYPE_COUNT; type++) {
		uint64_t bytes = tcp_sent_bytes((enum frame_type)type);

		if (bytes && len < sizeof(text))
			len += (size_t)snprintf(text + len, sizeof(text) - len,
						" %s=%llu", frame_name(type),
						(unsigned long long)bytes);
	}
	log_info("traffic", "datagrams=%llu store_out=%llu store_in=%llu%s",
		 (unsigned long long)u.bytes_out,
		 (unsigned long long)n->store->counts.bytes_out,
		 (unsigned long long)n->store->counts.bytes_in, text);
}

static long long age_to_log(int64_t age_ms)
{
	return age_ms == INT64_MAX ? -1 : (long long)age_ms;
}

static void poll_document(struct node *n)
{
	int64_t source_ms = doc_feed_age_ms(n->feed);
	int64_t coordinator_ms = membership_document_age_ms(n->membership);

	if (coord_is_active(n->coord)) {
		if (source_ms >= NODE_DOCUMENT_POLL_MS)
			doc_feed_poll(n->feed);
		return;
	}
	if (source_ms < NODE_DOCUMENT_STALE_MS ||
	    coordinator_ms < NODE_DOCUMENT_STALE_MS || !doc_feed_poll(n->feed))
		return;
	log_info("document_unconfirmed",
		 "source_age_ms=%lld coordinator_age_ms=%lld",
		 age_to_log(source_ms), age_to_log(coordinator_ms));
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct node *n = w->data;
	int64_t now_ms = clk_ms();

	(void)loop;
	(void)events;
	step_enter("node_tick");
	node_target_tick(n, now_ms);
	node_departures_advance(n);
	log_traffic(n, now_ms);
	if (n->feed)
		poll_document(n);
	if (n->phase == NODE_LEAVING)
		tick_leaving(n, now_ms);
	if (n->phase == NODE_FINISHING)
		tick_finishing(n, now_ms);
}

static enum err start_store(struct node *n, struct err_info *info)
{
	return n->interface->open_store(&n->store, n->loop,
					n->settings->store_endpoint,
					n->settings->store_timeout_ms, info);
}

static void on_document(struct doc *doc, struct doc_sections *sections,
			void *priv)
{
	membership_set_document(((struct node *)priv)->membership, doc,
				sections);
}

static void on_orders(const struct drained *orders, void *priv)
{
	struct node *n = priv;

	n->orders_changed_ms = clk_ms();
	membership_set_orders(n->membership, orders);
	coord_orders_changed(n->coord);
}

static const struct doc_feed_ops feed_ops = {
	.updated = on_document,
	.ordered = on_orders,
};

static int data_centre_has_order(const char *data_centre, void *priv)
{
	return membership_has_order(((struct node *)priv)->membership,
				    data_centre);
}

/*
 * A node relies on the coordinator while its own watch is silent, but no reply
 * tells it of orders. For some time after they have changed, the coordinator
 * therefore confirms nothing, so that such a node reads by itself.
 */
static int64_t get_document_age_ms(void *priv)
{
	struct node *n = priv;

	if (n->orders_changed_ms &&
	    clk_ms() - n->orders_changed_ms < NODE_ORDERS_UNCONFIRMED_MS)
		return INT64_MAX;
	return n->feed ? doc_feed_age_ms(n->feed) : INT64_MAX;
}

static const struct doc_sections *get_member_document(const struct doc **doc,
						      uint64_t *rev, void *priv)
{
	return membership_document(((struct node *)priv)->membership, doc, rev);
}

static enum err start_document_feed(struct node *n, struct err_info *info)
{
	if (!n->interface->document)
		return ERR_OK;
	if (doc_feed_new(&n->feed, n->loop, n->store, n->interface->document,
			 &feed_ops, n) != ERR_OK)
		return err_set(info, ERR_NOMEM, "document");
	return ERR_OK;
}

static int has_orders(const struct node *n)
{
	return n->interface->document && n->interface->document->orders;
}

static enum err start_coordination(struct node *n, struct err_info *info)
{
	struct membership_config mc = {
		.loop = n->loop,
		.settings = n->settings,
		.store = n->store,
		.dgram = &n->dgram,
		.cnt = &n->cnt,
		.incarnation = n->incarnation,
		.has_orders = has_orders(n),
		.ops = &membership_ops,
		.priv = n,
	};
	struct coord_config cc = {
		.loop = n->loop,
		.settings = n->settings,
		.store = n->store,
		.dgram = &n->dgram,
		.cnt = &n->cnt,
		.incarnation = n->incarnation,
		.document = n->interface->document ? get_member_document : NULL,
		.document_age_ms =
			n->interface->document ? get_document_age_ms : NULL,
		.offer_document = n->interface->document ? on_document : NULL,
		.data_centre_is_drained =
			has_orders(n) ? data_centre_has_order : NULL,
		.document_priv = n,
	};

	if (dgram_init(&n->dgram, n->loop, n->settings->address,
		       (unsigned)n->settings->peer_port, &dgram_ops, n,
		       info) != ERR_OK)
		return info->code;
	if (coord_new(&n->coord, &cc) != ERR_OK ||
	    membership_new(&n->membership, &mc) != ERR_OK)
		return err_set(info, ERR_NOMEM, "membership");
	return ERR_OK;
}

static enum err start_routing(struct node *n, struct err_info *info)
{
	struct view *v = membership_view(n->membership);

	if (gate_new(&n->gate, n->loop, v, &n->cnt, n->interface->dialect,
		     &gate_ops, n) != ERR_OK ||
	    peers_new(&n->peers, n->loop, v, n->gate, &n->cnt,
		      n->settings->name, n->incarnation) != ERR_OK)
		return err_set(info, ERR_NOMEM, "routing");
	gate_set_adaptive(n->gate, n->settings->adapt_concurrency);
	gate_set_protect_calls(n->gate, n->settings->protect_calls);
	gate_set_drain_ms(n->gate, n->settings->drain_ms);
	gate_set_data_centre(n->gate, n->settings->data_centre,
			     n->settings->empty_ms);
	peers_set_bandwidth(n->peers,
			    (uint32_t)(n->settings->link_mbps * 1000));
	return ingress_new(&n->ingress, n->loop, n->settings,
			   n->interface->dialect, v, n->gate, n->peers, &n->cnt,
			   n->incarnation, info);
}

enum err node_init(struct node *n, struct ev_loop *loop,
		   const struct settings *settings, struct err_info *info)
{
	enum err e;

	memset(n, 0, sizeof(*n));
	n->loop = loop;
	n->settings = settings;
	n->listener.fd = -1;
	n->dgram.udp.fd = -1;
	n->dgram.ask_socket.fd = -1;
	n->incarnation =
		(uint64_t)clk_wall_ms() << 20 | (uint64_t)(random() & 0xfffff);
	n->interface = settings->interface == SETTINGS_INTERFACE_PLATFORM
			       ? &platform_interface
			       : &interface_own;
	n->announced_ms = clk_ms();
	hold_init(&n->hold, n->announced_ms,
		  own_times_for(settings_grant_ms(settings)).grant_ms);
	node_holds_init(n);
	node_departures_init(n);
	cnt_init(&n->cnt);
	ev_timer_init(&n->timer, on_tick, NODE_TICK_S, NODE_TICK_S);
	n->timer.data = n;
	e = step_meter_init(&n->steps, loop, &n->cnt);
	if (e == ERR_OK)
		e = start_store(n, info);
	if (e == ERR_OK) {
		node_departures_advance(n);
		e = start_coordination(n, info);
	}
	if (e == ERR_OK)
		e = start_routing(n, info);
	if (e == ERR_OK)
		e = node_start_listen(n, info);
	if (e == ERR_OK)
		e = node_admin_init(n, info);
	if (e == ERR_OK)
		e = node_control_init(n, info);
	if (e == ERR_OK)
		e = start_document_feed(n, info);
	if (e == ERR_OK)
		ev_timer_start(loop, &n->timer);
	return e;
}

void node_finish(struct node *n)
{
	ev_timer_stop(n->loop, &n->timer);
	ev_timer_stop(n->loop, &n->release_timer);
	if (n->admin_up)
		httpd_finish(&n->admin);
	if (n->ready_up)
		httpd_finish(&n->ready);
	if (n->control_up)
		httpd_finish(&n->control);
	node_finish_listen(n);
	if (n->ingress)
		ingress_free(n->ingress);
	if (n->peers)
		peers_free(n->peers);
	if (n->gate)
		gate_free(n->gate);
	coord_free(n->coord);
	/* Ends all store calls, whose callbacks use the modules freed below. */
	if (n->store)
		n->store->ops->finish(n->store);
	doc_feed_free(n->feed);
	hold_finish(&n->hold);
	membership_free(n->membership);
	dgram_finish(&n->dgram);
	if (n->target)
		wire__target__free_unpacked(n->target, NULL);
	step_meter_finish(&n->steps);
	cnt_finish(&n->cnt);
}

void node_stop(struct node *n, int restart)
{
	if (n->phase != NODE_RUNNING)
		return;
	n->phase = NODE_LEAVING;
	/* The signal may have come during a long step before this one. */
	n->stop_ms = step_meter_previous_ms(&n->steps);
	n->restarting = restart;
	log_info("stopping", "restart=%d open=%u in_flight=%u noticed_ms=%lld",
		 restart, ingress_open_requests(n->ingress),
		 gate_in_flight(n->gate), (long long)(clk_ms() - n->stop_ms));
	membership_leave(n->membership, restart);
}
