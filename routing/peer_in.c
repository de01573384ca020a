#include "routing/peer_priv.h"
#include "common/clk.h"
#include "common/log.h"
#include "common/step.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* An encoded reply that may not have reached the sender of the attempt. */
struct kept_reply {
	struct answer_line_item item; /* first member; large answers only */
	struct inbound *in;
	uint64_t attempt;
	int64_t sent_ms; /* before that, when it was made or its link lost */
	int unsent;	 /* its link was lost while it waited for the line */
	struct buf frame;
	struct kept_reply *prev;
	struct kept_reply *next;
};

struct inbound {
	struct peers *p;
	char name[64];
	uint64_t incarnation;
	uint32_t purpose;
	struct tcp_conn *conn; /* newest link; NULL: none */
	int64_t link_lost_ms;  /* when conn was lost; valid if it is NULL */
	struct kept_reply *kept_replies; /* oldest first */
	size_t kept_reply_bytes;
	struct inbound *prev;
	struct inbound *next;
};

/* A body that a sender has offered. */
struct offer {
	struct pull_item item; /* first member */
	struct inbound *in;
	int has_value;
	int64_t value_end_ms; /* when an answer stops to have its full value */
};

static void free_kept_reply(struct inbound *in, struct kept_reply *k)
{
	answer_line_remove(gate_answer_line(in->p->gate), &k->item);
	DL_DELETE(in->kept_replies, k);
	in->kept_reply_bytes -= k->frame.len;
	buf_finish(&k->frame);
	free(k);
}

/*
 * Replies that wait for the line are kept until they have been sent. The limit
 * of bytes is for those that may have arrived.
 */
static int may_expire(const struct kept_reply *k, int64_t now)
{
	if (k->item.waiting)
		return 0;
	if (now - k->sent_ms >= PEER_KEPT_REPLY_MS)
		return 1;
	return !k->unsent && k->in->kept_reply_bytes > PEER_KEPT_REPLY_BYTES;
}

static void expire_kept_replies(struct inbound *in, int64_t now)
{
	while (in->kept_replies && may_expire(in->kept_replies, now))
		free_kept_reply(in, in->kept_replies);
}

static void send_kept_reply(struct kept_reply *k)
{
	k->sent_ms = clk_ms();
	k->unsent = 0;
	if (k->in->conn)
		tcp_send_encoded(k->in->conn, &k->frame);
}

/* Sends the large answers whose turn it is. */
static void send_large_answers(struct peers *p)
{
	struct answer_line *l = gate_answer_line(p->gate);
	struct answer_line_item *item;
	int64_t wait_ms;

	while ((item = answer_line_next(l, clk_ms(), &wait_ms)))
		send_kept_reply((struct kept_reply *)item);
	ev_timer_stop(p->loop, &p->answer_timer);
	if (wait_ms < 0)
		return;
	ev_now_update(p->loop);
	ev_timer_set(&p->answer_timer, (double)wait_ms / 1000., 0.);
	ev_timer_start(p->loop, &p->answer_timer);
}

static void on_answer_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	step_enter("peer_answer_timer");
	send_large_answers(w->data);
}

void inbound_init_answers(struct peers *p)
{
	ev_timer_init(&p->answer_timer, on_answer_timer, 0., 0.);
	p->answer_timer.data = p;
}

/*
 * Encodes the reply as a frame. A reply that exceeds the size of a frame is
 * replaced by one with OUTCOME_UNKNOWN and ERR_TOO_LARGE.
 */
static enum err encode_reply(const Wire__ForwardReply *reply, struct buf *out)
{
	Wire__ForwardReply small = WIRE__FORWARD_REPLY__INIT;
	enum err e = frame_encode(FRAME_FORWARD_REPLY, &reply->base, out);

	if (e != ERR_TOO_LARGE)
		return e;
	small.attempt = reply->attempt;
	small.outcome = OUTCOME_UNKNOWN;
	small.error = ERR_TOO_LARGE;
	small.map_rev = reply->map_rev;
	return frame_encode(FRAME_FORWARD_REPLY, &small.base, out);
}

static void on_gate_reply(const Wire__ForwardReply *reply, void *priv)
{
	struct inbound *in = priv;
	struct answer_line *line = gate_answer_line(in->p->gate);
	struct kept_reply *k = calloc(1, sizeof(*k));

	/* Without memory nothing is sent; the sender times out. */
	if (!k)
		return;
	buf_init(&k->frame);
	if (encode_reply(reply, &k->frame) != ERR_OK) {
		buf_finish(&k->frame);
		free(k);
		return;
	}
	k->in = in;
	k->attempt = reply->attempt;
	k->sent_ms = clk_ms();
	DL_APPEND(in->kept_replies, k);
	in->kept_reply_bytes += k->frame.len;
	if (in->conn && answer_line_is_large(line, k->frame.len)) {
		cnt_add(in->p->cnt, "peer_large_answers", "", 1);
		k->item.bytes = k->frame.len;
		answer_line_add(line, &k->item);
		send_large_answers(in->p);
	} else {
		send_kept_reply(k);
	}
	expire_kept_replies(in, clk_ms());
	peer_start_ticks(in->p);
}

static struct kept_reply *find_kept_reply(const struct inbound *in,
					  uint64_t attempt)
{
	struct kept_reply *k;

	DL_FOREACH(in->kept_replies, k) {
		if (k->attempt == attempt)
			return k;
	}
	return NULL;
}

/* Drops a large answer that has not been sent and that nobody waits for. */
static void drop_waiting_reply(struct inbound *in, uint64_t attempt)
{
	struct kept_reply *k = find_kept_reply(in, attempt);

	if (k && (k->item.waiting || k->unsent))
		free_kept_reply(in, k);
}

/* A large answer that has not been sent yet is sent in its turn. */
static void send_queried_reply(struct kept_reply *k)
{
	struct peers *p = k->in->p;

	if (k->item.waiting)
		return;
	if (!k->unsent) {
		send_kept_reply(k);
		return;
	}
	answer_line_add(gate_answer_line(p->gate), &k->item);
	send_large_answers(p);
}

static void on_query(struct inbound *in, const Wire__Query *q)
{
	Wire__QueryReply r = WIRE__QUERY_REPLY__INIT;
	struct kept_reply *k = find_kept_reply(in, q->attempt);

	if (k) {
		send_queried_reply(k);
		return;
	}
	r.attempt = q->attempt;
	r.state = gate_query(in->p->gate, q->attempt);
	tcp_send(in->conn, FRAME_QUERY_REPLY, &r.base);
}

/* Requests as many offered bodies as the bandwidth allows at a time. */
static void request_bodies(struct peers *p)
{
	struct pull_item *item;

	while ((item = pull_next(&p->pull, clk_ms()))) {
		const struct offer *o = (const struct offer *)item;
		Wire__Pull m = WIRE__PULL__INIT;

		m.attempt = item->attempt;
		if (o->in->conn)
			tcp_send(o->in->conn, FRAME_PULL, &m.base);
	}
}

static void free_offer(struct peers *p, struct pull_item *item)
{
	pull_remove(&p->pull, item);
	free(item);
}

/* Ends an offer whose body has arrived or whose sender cancelled it. */
static void remove_offer(struct peers *p, uint64_t attempt)
{
	struct pull_item *item = pull_find(&p->pull, attempt);

	if (!item)
		return;
	free_offer(p, item);
	request_bodies(p);
}

/*
 * Refuses an attempt whose large answer would be late because of those before
 * it on this node's line. Returns 1 if it was refused.
 */
static int answer_would_be_late(struct inbound *in, const Wire__Forward *f)
{
	struct gate *g = in->p->gate;
	const struct answer_line *line = gate_answer_line(g);
	int64_t now_ms = clk_ms();
	int64_t wait_ms = answer_line_wait_ms(line, f->route, now_ms);

	if (!wait_ms || answer_line_is_idle(line, now_ms) ||
	    gate_check_offer(g, f, wait_ms, on_gate_reply, in))
		return 0;
	cnt_add(in->p->cnt, "peer_large_answers_refused", "", 1);
	return 1;
}

/*
 * Passes an attempt to the gate. If it was offered before, the time until its
 * value ends is counted from the offer, since sending the body took time.
 */
static void on_forward(struct inbound *in, const Wire__Forward *f)
{
	struct peers *p = in->p;
	struct pull_item *item = pull_find(&p->pull, f->attempt);
	const struct offer *o = (const struct offer *)item;
	Wire__Forward m = *f;

	if (o && o->has_value)
		m.value_ms = (int32_t)(o->value_end_ms - clk_ms());
	if (item)
		remove_offer(p, f->attempt);
	if (answer_would_be_late(in, &m))
		return;
	gate_submit(p->gate, &m, on_gate_reply, in);
}

static void on_offer(struct inbound *in, const Wire__Forward *f)
{
	struct peers *p = in->p;
	int64_t wait_ms = pull_wait_ms(&p->pull, f->body_bytes);
	struct offer *o;

	if (!gate_check_offer(p->gate, f, wait_ms, on_gate_reply, in))
		return;
	o = calloc(1, sizeof(*o));
	/* Without memory the body is not requested; the sender times out. */
	if (!o)
		return;
	cnt_add(p->cnt, "peer_offers", "", 1);
	o->in = in;
	o->has_value = f->has_value;
	o->value_end_ms = clk_ms() + f->value_ms;
	o->item.attempt = f->attempt;
	o->item.bytes = f->body_bytes;
	o->item.deadline_ms = clk_ms() + f->deadline_ms;
	pull_add(&p->pull, &o->item);
	peer_start_ticks(p);
	request_bodies(p);
}

/*
 * Drops the offers of a sender whose link is gone. The sender ends these
 * attempts as not-run.
 */
static void free_offers(struct inbound *in)
{
	struct pull_item *item, *next;

	DL_FOREACH_SAFE(in->p->pull.items, item, next) {
		if (((const struct offer *)item)->in == in)
			free_offer(in->p, item);
	}
	request_bodies(in->p);
}

/*
 * Takes the large answers out of the line that cannot be sent without a link,
 * so that they do not use up its time. The sender asks for them on a new link.
 */
static void leave_line(struct inbound *in)
{
	struct answer_line *line = gate_answer_line(in->p->gate);
	struct kept_reply *k;

	DL_FOREACH(in->kept_replies, k) {
		if (!k->item.waiting)
			continue;
		answer_line_remove(line, &k->item);
		k->unsent = 1;
		k->sent_ms = clk_ms();
	}
}

static void on_link_lost(struct inbound *in)
{
	in->conn = NULL;
	in->link_lost_ms = clk_ms();
	leave_line(in);
	free_offers(in);
	peer_start_ticks(in->p);
}

static void on_frame(struct tcp_conn *c, const struct frame *f, void *priv)
{
	struct inbound *in = priv;

	switch (f->type) {
	case FRAME_OFFER:
		on_offer(in, (const Wire__Forward *)f->msg);
		break;
	case FRAME_FORWARD:
		on_forward(in, (const Wire__Forward *)f->msg);
		break;
	case FRAME_QUERY:
		on_query(in, (const Wire__Query *)f->msg);
		break;
	case FRAME_CANCEL:
		remove_offer(in->p, ((const Wire__Cancel *)f->msg)->attempt);
		drop_waiting_reply(in, ((const Wire__Cancel *)f->msg)->attempt);
		gate_cancel(in->p->gate,
			    ((const Wire__Cancel *)f->msg)->attempt);
		break;
	case FRAME_PING:
		tcp_send(c, FRAME_PONG, f->msg);
		break;
	case FRAME_PONG:
		break;
	default:
		log_warn("peer_unexpected_frame", "peer=%s type=%s",
			 LOG_Q(in->name), frame_name(f->type));
		on_link_lost(in);
		peer_close_conn(in->p, c, c);
	}
}

static void on_closed(struct tcp_conn *c, enum err why, void *priv)
{
	struct inbound *in = priv;

	log_info("peer_closed", "peer=%s why=%s", LOG_Q(in->name),
		 err_name(why));
	on_link_lost(in);
	free(c);
}

static const struct tcp_ops in_ops = {
	.frame = on_frame,
	.closed = on_closed,
};

static struct inbound *inbound_get(struct peers *p, const Wire__Hello *hello)
{
	struct inbound *in;

	DL_FOREACH(p->inbound, in) {
		if (in->incarnation == hello->incarnation &&
		    in->purpose == hello->purpose &&
		    strcmp(in->name, hello->node) == 0)
			return in;
	}
	in = calloc(1, sizeof(*in));
	if (!in)
		return NULL;
	in->p = p;
	in->incarnation = hello->incarnation;
	in->purpose = hello->purpose;
	memcpy(in->name, hello->node, strlen(hello->node) + 1);
	DL_APPEND(p->inbound, in);
	return in;
}

/*
 * Closes the previous link of the same sender: an attempt sent there must not
 * arrive after the sender's Query about it on the new link.
 */
void peers_accept(struct peers *p, struct tcp_conn *c, const Wire__Hello *hello)
{
	struct inbound *in = NULL;

	if (strlen(hello->node) < sizeof(in->name))
		in = inbound_get(p, hello);
	if (!in) {
		peer_close_conn(p, c, c);
		return;
	}
	if (in->conn) {
		free_offers(in);
		peer_close_conn(p, in->conn, in->conn);
	}
	c->ops = &in_ops;
	c->priv = in;
	in->conn = c;
	in->link_lost_ms = 0;
	peer_send_hello(p, c, in->purpose);
}

static void inbound_free(struct inbound *in)
{
	struct peers *p = in->p;

	gate_detach_requester(p->gate, on_gate_reply, in);
	free_offers(in);
	while (in->kept_replies)
		free_kept_reply(in, in->kept_replies);
	if (in->conn)
		peer_close_conn(p, in->conn, in->conn);
	DL_DELETE(p->inbound, in);
	free(in);
}

void inbound_tick(struct peers *p, int64_t now)
{
	struct pull_item *item;
	struct inbound *in, *next;

	while ((item = pull_overdue(&p->pull, now))) {
		cnt_add(p->cnt, "peer_offers_overdue", "", 1);
		free_offer(p, item);
	}
	request_bodies(p);

	DL_FOREACH_SAFE(p->inbound, in, next) {
		expire_kept_replies(in, now);
		if (!in->conn &&
		    now - in->link_lost_ms >= PEER_INBOUND_LINGER_MS)
			inbound_free(in);
	}
}

int inbound_needs_ticks(const struct peers *p)
{
	const struct inbound *in;

	if (p->pull.items)
		return 1;
	DL_FOREACH(p->inbound, in) {
		if (in->kept_replies || !in->conn)
			return 1;
	}
	return 0;
}

/* Bytes of the large answers that wait for the line. */
static size_t waiting_bytes(const struct inbound *in)
{
	const struct kept_reply *k;
	size_t bytes = 0;

	DL_FOREACH(in->kept_replies, k) {
		if (k->item.waiting)
			bytes += k->item.bytes;
	}
	return bytes;
}

size_t peers_unacknowledged_bytes(const struct peers *p)
{
	const struct inbound *in;
	size_t bytes = 0;

	DL_FOREACH(p->inbound, in) {
		if (in->conn)
			bytes += tcp_unacknowledged(in->conn) +
				 waiting_bytes(in);
	}
	return bytes;
}

void inbound_free_all(struct peers *p)
{
	struct inbound *in, *next;

	DL_FOREACH_SAFE(p->inbound, in, next) {
		inbound_free(in);
	}
}
