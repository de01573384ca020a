#include "routing/peer_priv.h"
#include "common/clk.h"
#include "common/guard.h"
#include "common/log.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static const struct tcp_ops link_ops;

struct peer_node *peer_node_get(struct peers *p, uint32_t id, int bulk)
{
	struct peer_node_key key;
	struct peer_node *n;

	memset(&key, 0, sizeof(key));
	key.id = id;
	key.bulk = bulk ? 1 : 0;
	HASH_FIND(hh, p->nodes, &key, sizeof(key), n);
	if (n)
		return n;
	n = calloc(1, sizeof(*n));
	if (!n)
		return NULL;
	n->key = key;
	HASH_ADD(hh, p->nodes, key, sizeof(n->key), n);
	return n;
}

static void set_state(struct peer_link *l, enum link_state state)
{
	l->state = state;
	l->state_since_ms = clk_ms();
}

static const Wire__Node *node_info(struct peers *p, uint32_t id)
{
	const struct map *m = p->view->ops->map(p->view);
	const struct map_node *n = map_find_node(m, id);

	return n ? n->info : NULL;
}

/* Returns 1 if the link goes to the node's address in the current map. */
static int is_same_address(const struct peer_link *l, const Wire__Node *info)
{
	return l->port == info->peer_port &&
	       strcmp(l->address, info->address) == 0;
}

static struct peer_link *link_new(struct peers *p, struct peer_node *n,
				  const Wire__Node *info)
{
	struct peer_link *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->p = p;
	l->node = n;
	l->port = info->peer_port;
	snprintf(l->address, sizeof(l->address), "%s", info->address);
	set_state(l, LINK_OPENING);
	l->last_used_ms = l->state_since_ms;
	if (tcp_conn_init_dial(&l->conn, p->loop, l->address, l->port,
			       PEER_OPEN_TIMEOUT_MS, &link_ops, l) != ERR_OK) {
		free(l);
		return NULL;
	}
	peer_send_hello(p, &l->conn,
			n->key.bulk ? PEER_PURPOSE_BULK : PEER_PURPOSE_LINK);
	return l;
}

/* Fails the attempts that were not sent, because no link opened. */
static void fail_waiting(struct peer_node *n, enum err why)
{
	struct out_attempt *a;

	DL_FOREACH(n->attempts, a) {
		if (a->state == OUT_WAITING)
			out_fail(a, OUTCOME_NOT_RUN, why);
	}
}

/* Fails the attempts to be queried: the run of the owner that knew is gone. */
static void fail_query_pending(struct peer_node *n, enum err why)
{
	struct out_attempt *a;

	DL_FOREACH(n->attempts, a) {
		if (a->state == OUT_QUERY_PENDING)
			out_fail(a, OUTCOME_UNKNOWN, why);
	}
}

static int has_recent_cancels(const struct peer_node *n)
{
	int64_t since_ms = clk_ms() - PEER_CANCEL_RESEND_MS;
	size_t i;

	for (i = 0; i < PEER_MAX_CANCELS; i++)
		if (n->cancels[i].cancelled_ms > since_ms)
			return 1;
	return 0;
}

static int needs_link(const struct peer_node *n)
{
	const struct out_attempt *a;

	if (has_recent_cancels(n))
		return 1;
	DL_FOREACH(n->attempts, a) {
		if (a->state == OUT_WAITING || a->state == OUT_QUERY_PENDING)
			return 1;
	}
	return 0;
}

static void dial(struct peers *p, struct peer_node *n)
{
	const Wire__Node *info = node_info(p, n->key.id);

	peer_start_ticks(p);
	if (!info) {
		fail_waiting(n, ERR_STALE);
		return;
	}
	n->current = link_new(p, n, info);
	if (!n->current) {
		fail_waiting(n, ERR_SYSTEM);
		return;
	}
	cnt_add(p->cnt, "peer_links_dialled", "", 1);
}

int peer_node_needs_offer(const Wire__Node *info, const Wire__Forward *f)
{
	if (!info || !info->link_kbps || f->body.len <= PEER_BULK_BYTES)
		return 0;
	return f->body.len * 8 / info->link_kbps >= PEER_OFFER_MS;
}

/*
 * Fills m with the message to send for f, with the times that are left now.
 * ERR_DEADLINE: none is left. ERR_SHED: too many bytes are queued on the link.
 */
static enum err fill_forward(const struct peer_link *l,
			     const struct out_attempt *a,
			     const Wire__Forward *f, Wire__Forward *m)
{
	int64_t left = a->deadline_ms - clk_ms();

	*m = *f;
	if (left <= 0)
		return ERR_DEADLINE;
	m->deadline_ms = (uint32_t)left;
	if (m->deadline_ms > 2 * PEER_DEADLINE_MARGIN_MS)
		m->deadline_ms -= PEER_DEADLINE_MARGIN_MS;
	/* Less the time spent here, and the round trip. */
	m->value_ms = f->value_ms - (int32_t)(clk_ms() - a->created_ms) -
		      PEER_DEADLINE_MARGIN_MS;
	return tcp_queued(&l->conn) > TCP_MAX_QUEUED_BYTES ? ERR_SHED : ERR_OK;
}

/* Sends the attempt without its body; a->copy keeps the body. */
static enum err send_offer(struct peer_link *l, struct out_attempt *a,
			   const Wire__Forward *f)
{
	Wire__Forward m;
	enum err e = fill_forward(l, a, f, &m);

	if (e != ERR_OK)
		return e;
	if (!a->copy)
		a->copy = wire_copy_forward(f);
	if (!a->copy)
		return ERR_NOMEM;
	m.body_bytes = (uint32_t)f->body.len;
	m.body.len = 0;
	m.n_headers = 0;
	e = tcp_send(&l->conn, FRAME_OFFER, &m.base);
	if (e != ERR_OK)
		return e;
	a->state = OUT_OFFERED;
	l->last_used_ms = clk_ms();
	out_set_link(a, l);
	return ERR_OK;
}

static enum err send_forward(struct peer_link *l, struct out_attempt *a,
			     const Wire__Forward *f)
{
	Wire__Forward m;
	enum err e = fill_forward(l, a, f, &m);

	if (e == ERR_OK)
		e = tcp_send(&l->conn, FRAME_FORWARD, &m.base);
	if (e != ERR_OK)
		return e;
	a->state = OUT_SENT;
	a->incarnation = l->incarnation;
	a->sent_on = l;
	a->sent_end = l->conn.bytes_out + tcp_queued(&l->conn);
	l->last_used_ms = clk_ms();
	out_set_link(a, l);
	return ERR_OK;
}

static enum err send_attempt(struct peer_link *l, struct out_attempt *a,
			     const Wire__Forward *f)
{
	if (peer_node_needs_offer(node_info(l->p, l->node->key.id), f))
		return send_offer(l, a, f);
	return send_forward(l, a, f);
}

static void send_ping(struct peer_link *l)
{
	Wire__Ping ping = WIRE__PING__INIT;

	if (l->ping_ms)
		return;
	ping.seq = ++l->ping_seq;
	if (tcp_send(&l->conn, FRAME_PING, &ping.base) != ERR_OK)
		return;
	l->ping_ms = clk_ms();
	l->ping_bytes_in = l->conn.bytes_in;
	peer_start_ticks(l->p);
}

/*
 * Returns 1 if the link can be used now. Probes an idle link first, since it
 * may be dead without a reset; it is ready when an answer has come.
 */
static int check_ready(struct peer_link *l)
{
	if (l->state != LINK_UP)
		return 0;
	if (!l->ping_ms && !l->attempt_count &&
	    clk_ms() - l->conn.last_read_ms >= PEER_IDLE_MS)
		send_ping(l);
	return !l->ping_ms;
}

/*
 * Replaces the node's link. The old one stays open for late replies; its
 * attempts are queried on the next link.
 */
static void retire_link(struct peer_link *l)
{
	struct peer_node *n = l->node;
	struct out_attempt *a;

	n->current = NULL;
	DL_APPEND(n->replaced, l);
	set_state(l, LINK_REPLACED);
	DL_FOREACH(n->attempts, a) {
		if (a->link != l)
			continue;
		if (a->state == OUT_OFFERED) {
			out_fail(a, OUTCOME_NOT_RUN, ERR_CLOSED);
			continue;
		}
		a->state = OUT_QUERY_PENDING;
		out_set_link(a, NULL);
	}
	peer_start_ticks(l->p);
}

void peer_node_submit(struct peer_node *n, struct out_attempt *a,
		      const Wire__Forward *f)
{
	const Wire__Node *info = node_info(a->p, n->key.id);
	enum err e;

	if (info && n->current && !is_same_address(n->current, info))
		retire_link(n->current);
	if (!n->current && clk_ms() >= n->next_dial_ms)
		dial(a->p, n);
	/* The last link did not open: fail without waiting for the next. */
	if (n->failed_dials && (!n->current || n->current->state != LINK_UP)) {
		out_fail(a, OUTCOME_NOT_RUN, ERR_TIMEOUT);
		return;
	}
	if (n->current && check_ready(n->current)) {
		e = send_attempt(n->current, a, f);
		if (e != ERR_OK)
			out_fail(a, OUTCOME_NOT_RUN, e);
		return;
	}
	a->copy = wire_copy_forward(f);
	if (!a->copy) {
		out_fail(a, OUTCOME_NOT_RUN, ERR_NOMEM);
		return;
	}
	peer_start_ticks(a->p);
}

static void send_query(struct peer_link *l, struct out_attempt *a)
{
	Wire__Query q = WIRE__QUERY__INIT;

	/* The owner has restarted, so it does not know the attempt. */
	if (a->incarnation != l->incarnation) {
		out_fail(a, OUTCOME_UNKNOWN, ERR_CLOSED);
		return;
	}
	q.attempt = a->id;
	if (tcp_send(&l->conn, FRAME_QUERY, &q.base) != ERR_OK)
		return;
	cnt_add(l->p->cnt, "peer_queries", "", 1);
	a->state = OUT_QUERY_SENT;
	out_set_link(a, l);
}

static void free_copy(struct out_attempt *a)
{
	wire__forward__free_unpacked(a->copy, NULL);
	a->copy = NULL;
}

static void send_copy(struct peer_link *l, struct out_attempt *a)
{
	enum err e = send_attempt(l, a, a->copy);

	if (e != ERR_OK)
		out_fail(a, OUTCOME_NOT_RUN, e);
	else if (a->state == OUT_SENT)
		free_copy(a);
}

/* The owner asks for the body of an offered request. */
static void on_pull(struct peer_link *l, const Wire__Pull *pull)
{
	struct out_attempt *a = out_find(l->p, pull->attempt);
	enum err e;

	if (!a || a->link != l || a->state != OUT_OFFERED)
		return;
	e = send_forward(l, a, a->copy);
	if (e == ERR_OK)
		free_copy(a);
	else
		out_fail(a, OUTCOME_NOT_RUN, e);
}

static void send_cancel(struct peer_link *l, uint64_t attempt)
{
	Wire__Cancel m = WIRE__CANCEL__INIT;

	m.attempt = attempt;
	tcp_send(&l->conn, FRAME_CANCEL, &m.base);
}

static void send_cancels(struct peer_link *l)
{
	const struct peer_node *n = l->node;
	int64_t since_ms = clk_ms() - PEER_CANCEL_RESEND_MS;
	size_t i;

	for (i = 0; i < PEER_MAX_CANCELS; i++)
		if (n->cancels[i].cancelled_ms > since_ms)
			send_cancel(l, n->cancels[i].attempt);
}

/* Sends the cancels, attempts and queries that have waited for the link. */
static void send_pending(struct peer_link *l)
{
	struct out_attempt *a;

	send_cancels(l);
	DL_FOREACH(l->node->attempts, a) {
		if (a->state == OUT_WAITING)
			send_copy(l, a);
		else if (a->state == OUT_QUERY_PENDING)
			send_query(l, a);
	}
}

static void clear_sent_on(struct peer_link *l)
{
	struct out_attempt *a;

	DL_FOREACH(l->node->attempts, a) {
		if (a->sent_on == l)
			a->sent_on = NULL;
	}
}

/* Fails or queries the attempts of a link that is down. */
static void detach_attempts(struct peer_link *l)
{
	struct out_attempt *a;

	DL_FOREACH(l->node->attempts, a) {
		if (a->link != l)
			continue;
		if (a->state == OUT_OFFERED) {
			out_fail(a, OUTCOME_NOT_RUN, ERR_CLOSED);
			continue;
		}
		/* The owner drops a frame that was not sent completely. */
		if (a->state == OUT_SENT && (l->conn.bytes_out < a->sent_end ||
					     !guard_on(GUARD_QUERY))) {
			out_fail(a, OUTCOME_NOT_RUN, ERR_CLOSED);
			continue;
		}
		a->state = OUT_QUERY_PENDING;
		out_set_link(a, NULL);
	}
}

/*
 * Handles the end of a link; the caller frees it. A refused connection means
 * that the daemon has ended; its successor has another incarnation, so that it
 * cannot answer queries and need not get the cancels.
 */
static void link_down(struct peer_link *l, enum err why)
{
	struct peer_node *n = l->node;
	int was_up = l->state == LINK_UP;

	detach_attempts(l);
	clear_sent_on(l);
	if (l->state == LINK_REPLACED) {
		DL_DELETE(n->replaced, l);
		return;
	}
	n->current = NULL;
	log_info("link_down", "node_id=%u why=%s up=%d", n->key.id,
		 err_name(why), was_up);
	if (was_up) {
		n->next_dial_ms = 0;
		if (needs_link(n))
			dial(l->p, n);
		return;
	}
	n->failed_dials++;
	n->next_dial_ms = clk_ms() + PEER_REDIAL_MS;
	fail_waiting(n, why);
	if (why == ERR_REFUSED) {
		fail_query_pending(n, why);
		memset(n->cancels, 0, sizeof(n->cancels));
	}
	peer_start_ticks(l->p);
}

static void close_link(struct peer_link *l, enum err why)
{
	struct peers *p = l->p;

	link_down(l, why);
	peer_close_conn(p, &l->conn, l);
}

static void replace_silent_link(struct peer_link *l)
{
	struct peer_node *n = l->node;

	log_warn("link_suspect", "node_id=%u work=%u", n->key.id,
		 l->attempt_count);
	cnt_add(l->p->cnt, "peer_links_suspect", "", 1);
	retire_link(l);
	if (needs_link(n))
		dial(l->p, n);
}

static void on_closed(struct tcp_conn *c, enum err why, void *priv)
{
	struct peer_link *l = priv;

	(void)c;
	link_down(l, why);
	free(l);
}

static void on_hello(struct peer_link *l, const Wire__Hello *h)
{
	const Wire__Node *info = node_info(l->p, l->node->key.id);

	if (l->state != LINK_OPENING)
		return;
	if (!info || strcmp(info->name, h->node) != 0) {
		log_warn("link_wrong_node", "node_id=%u hello=%s",
			 l->node->key.id, LOG_Q(h->node));
		close_link(l, ERR_CONFLICT);
		return;
	}
	l->incarnation = h->incarnation;
	set_state(l, LINK_UP);
	l->node->failed_dials = 0;
	send_pending(l);
}

static int expects_reply(const struct out_attempt *a, const struct peer_link *l)
{
	return a && a->state != OUT_WAITING && a->state != OUT_FAILED &&
	       (a->link == l || a->sent_on == l);
}

/*
 * Completes the attempt with the owner's reply. An outcome that this version
 * does not know becomes OUTCOME_UNKNOWN, not an answer.
 */
static void on_forward_reply(struct peer_link *l, const Wire__ForwardReply *r)
{
	struct out_attempt *a = out_find(l->p, r->attempt);
	Wire__ForwardReply fixed;

	if (!expects_reply(a, l)) {
		cnt_add(l->p->cnt, "peer_late_replies", "", 1);
		return;
	}
	if (r->outcome == OUTCOME_ANSWERED && r->status >= 200 &&
	    r->status <= 999) {
		out_complete(a, r);
		return;
	}
	fixed = *r;
	fixed.status = 0;
	fixed.body.len = 0;
	fixed.n_headers = 0;
	if (r->outcome != OUTCOME_NOT_RUN)
		fixed.outcome = OUTCOME_UNKNOWN;
	if (r->error == ERR_OK || r->error >= ERR_COUNT)
		fixed.error = ERR_MALFORMED;
	out_complete(a, &fixed);
}

static void on_query_reply(struct peer_link *l, const Wire__QueryReply *r)
{
	struct out_attempt *a = out_find(l->p, r->attempt);

	if (!a || a->link != l || a->state != OUT_QUERY_SENT)
		return;
	switch (r->state) {
	case ATTEMPT_NEVER_SEEN:
		out_fail(a, OUTCOME_NOT_RUN, ERR_CLOSED);
		break;
	case ATTEMPT_RUNNING:
		a->state = OUT_RUNNING;
		break;
	default:
		out_fail(a, OUTCOME_UNKNOWN, ERR_CLOSED);
	}
}

/* Ends the wait for a Pong: any received byte shows that the link works. */
static void on_bytes_received(struct peer_link *l)
{
	if (!l->ping_ms)
		return;
	l->ping_ms = 0;
	if (l->state == LINK_UP)
		send_pending(l);
}

static void on_frame(struct tcp_conn *c, const struct frame *f, void *priv)
{
	struct peer_link *l = priv;

	on_bytes_received(l);
	switch (f->type) {
	case FRAME_HELLO:
		on_hello(l, (const Wire__Hello *)f->msg);
		break;
	case FRAME_FORWARD_REPLY:
		on_forward_reply(l, (const Wire__ForwardReply *)f->msg);
		break;
	case FRAME_PULL:
		on_pull(l, (const Wire__Pull *)f->msg);
		break;
	case FRAME_QUERY_REPLY:
		on_query_reply(l, (const Wire__QueryReply *)f->msg);
		break;
	case FRAME_PING:
		tcp_send(c, FRAME_PONG, f->msg);
		break;
	case FRAME_PONG:
		break;
	default:
		log_warn("link_unexpected_frame", "node_id=%u type=%s",
			 l->node->key.id, frame_name(f->type));
		close_link(l, ERR_MALFORMED);
	}
}

static const struct tcp_ops link_ops = {
	.frame = on_frame,
	.closed = on_closed,
};

/*
 * Returns 1 if bytes are unacknowledged and their number has changed since the
 * last call. If the bandwidth is low, a Ping waits behind them, and its answer
 * comes late although the link works.
 */
static int has_send_progress(struct peer_link *l)
{
	size_t before = l->unacknowledged_bytes;

	l->unacknowledged_bytes = tcp_unacknowledged(&l->conn);
	return l->unacknowledged_bytes && l->unacknowledged_bytes != before;
}

static void tick_current(struct peer_link *l, int64_t now)
{
	int64_t quiet_since = l->conn.last_read_ms;

	if (l->state == LINK_OPENING) {
		if (now - l->state_since_ms >= PEER_OPEN_TIMEOUT_MS)
			close_link(l, ERR_TIMEOUT);
		return;
	}
	/* A part of a large frame also shows that the link works. */
	if (l->ping_ms && l->conn.bytes_in > l->ping_bytes_in)
		on_bytes_received(l);
	if (l->ping_ms && has_send_progress(l))
		l->ping_ms = now;
	if (l->ping_ms) {
		if (now - l->ping_ms >= PEER_PING_TIMEOUT_MS)
			replace_silent_link(l);
		return;
	}
	if (l->busy_since_ms > quiet_since)
		quiet_since = l->busy_since_ms;
	if (l->attempt_count && now - quiet_since >= PEER_PING_TIMEOUT_MS)
		send_ping(l);
}

static int awaits_reply(const struct peer_link *l)
{
	const struct out_attempt *a;

	DL_FOREACH(l->node->attempts, a) {
		if (a->sent_on == l)
			return 1;
	}
	return 0;
}

static void tick_replaced(struct peer_node *n, int64_t now)
{
	struct peer_link *l, *next;

	DL_FOREACH_SAFE(n->replaced, l, next) {
		if (now - l->state_since_ms >= PEER_REPLACED_MS ||
		    !awaits_reply(l))
			close_link(l, ERR_TIMEOUT);
	}
}

void peer_node_tick(struct peers *p, struct peer_node *n, int64_t now)
{
	if (n->current)
		tick_current(n->current, now);
	tick_replaced(n, now);
	if (!n->current && now >= n->next_dial_ms && needs_link(n))
		dial(p, n);
}

int peer_node_needs_ticks(const struct peer_node *n)
{
	const struct peer_link *l = n->current;

	return n->replaced || needs_link(n) ||
	       (l &&
		(l->state == LINK_OPENING || l->attempt_count || l->ping_ms));
}

void peer_node_free_if_unused(struct peers *p, struct peer_node *n, int64_t now)
{
	struct peer_link *l = n->current;

	if (n->attempts || n->replaced)
		return;
	if (l && (l->attempt_count ||
		  now - l->last_used_ms < PEER_UNUSED_TIMEOUT_MS))
		return;
	peer_node_free(p, n);
}

void peer_node_free(struct peers *p, struct peer_node *n)
{
	struct peer_link *l, *next;

	if (n->current)
		peer_close_conn(p, &n->current->conn, n->current);
	DL_FOREACH_SAFE(n->replaced, l, next) {
		peer_close_conn(p, &l->conn, l);
	}
	HASH_DEL(p->nodes, n);
	free(n);
}

void out_cancel(const struct out_attempt *a)
{
	struct peer_node *n = a->node;
	struct peer_cancel *cancel = &n->cancels[n->next_cancel];

	if (a->state == OUT_WAITING || a->state == OUT_FAILED)
		return;
	cancel->attempt = a->id;
	cancel->cancelled_ms = clk_ms();
	n->next_cancel = (n->next_cancel + 1) % PEER_MAX_CANCELS;
	if (a->link && a->link->state == LINK_UP)
		send_cancel(a->link, a->id);
	else if (!n->current && cancel->cancelled_ms >= n->next_dial_ms)
		dial(a->p, n);
}
