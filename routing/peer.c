#include "routing/peer_priv.h"
#include "common/clk.h"
#include "common/step.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static void on_free_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;
	struct deferred_free *d, *next;

	(void)loop;
	(void)events;
	LL_FOREACH_SAFE(p->deferred_frees, d, next) {
		free(d->memory);
		free(d);
	}
	p->deferred_frees = NULL;
}

void peer_close_conn(struct peers *p, struct tcp_conn *conn, void *memory)
{
	struct deferred_free *d = malloc(sizeof(*d));

	tcp_conn_finish(conn);
	/* Without memory for the entry, memory leaks, which is safe. */
	if (!d)
		return;
	d->conn = conn;
	d->memory = memory;
	LL_PREPEND(p->deferred_frees, d);
	if (ev_is_active(&p->free_timer))
		return;
	ev_timer_set(&p->free_timer, 0., 0.);
	ev_timer_start(p->loop, &p->free_timer);
}

static void on_tick_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;
	struct peer_node *n, *next;
	int64_t now = clk_ms();
	int busy = 0;

	(void)events;
	step_enter("peer_tick");
	HASH_ITER(hh, p->nodes, n, next) {
		peer_node_tick(p, n, now);
		busy |= peer_node_needs_ticks(n);
	}
	inbound_tick(p, now);
	if (!busy && !inbound_needs_ticks(p))
		ev_timer_stop(loop, w);
}

void peer_start_ticks(struct peers *p)
{
	if (ev_is_active(&p->tick))
		return;
	ev_timer_set(&p->tick, PEER_TICK_SECONDS, PEER_TICK_SECONDS);
	ev_timer_start(p->loop, &p->tick);
}

static void on_sweep_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;
	struct peer_node *n, *next;

	(void)loop;
	(void)events;
	step_enter("peer_sweep");
	HASH_ITER(hh, p->nodes, n, next) {
		peer_node_free_if_unused(p, n, clk_ms());
	}
}

enum err peers_new(struct peers **out, struct ev_loop *loop, struct view *view,
		   struct gate *gate, struct cnt *cnt, const char *self_name,
		   uint64_t incarnation)
{
	struct peers *p = calloc(1, sizeof(*p));

	if (!p)
		return ERR_NOMEM;
	p->loop = loop;
	p->view = view;
	p->gate = gate;
	p->cnt = cnt;
	p->incarnation = incarnation;
	snprintf(p->self_name, sizeof(p->self_name), "%s", self_name);
	ev_timer_init(&p->free_timer, on_free_timer, 0., 0.);
	ev_timer_init(&p->tick, on_tick_timer, 0., 0.);
	ev_timer_init(&p->sweep, on_sweep_timer, PEER_SWEEP_SECONDS,
		      PEER_SWEEP_SECONDS);
	p->free_timer.data = p;
	p->tick.data = p;
	p->sweep.data = p;
	inbound_init_answers(p);
	ev_timer_start(loop, &p->sweep);
	*out = p;
	return ERR_OK;
}

void peers_set_bandwidth(struct peers *p, uint32_t link_kbps)
{
	pull_init(&p->pull, link_kbps);
	gate_set_bandwidth(p->gate, link_kbps);
}

/* Removes the attempt from its link, its node and the table. */
static void out_remove(struct out_attempt *a)
{
	out_set_link(a, NULL);
	ev_timer_stop(a->p->loop, &a->timer);
	DL_DELETE(a->node->attempts, a);
	HASH_DEL(a->p->attempts, a);
}

static void out_free(struct out_attempt *a)
{
	if (a->copy)
		wire__forward__free_unpacked(a->copy, NULL);
	free(a);
}

void peers_free(struct peers *p)
{
	struct out_attempt *a, *next_attempt;
	struct peer_node *n, *next_node;

	if (!p)
		return;
	HASH_ITER(hh, p->attempts, a, next_attempt) {
		out_remove(a);
		out_free(a);
	}
	HASH_ITER(hh, p->nodes, n, next_node) {
		peer_node_free(p, n);
	}
	inbound_free_all(p);
	ev_timer_stop(p->loop, &p->tick);
	ev_timer_stop(p->loop, &p->sweep);
	ev_timer_stop(p->loop, &p->answer_timer);
	ev_timer_stop(p->loop, &p->free_timer);
	on_free_timer(p->loop, &p->free_timer, 0);
	free(p);
}

enum err peer_send_hello(struct peers *p, struct tcp_conn *conn,
			 uint32_t purpose)
{
	Wire__Hello h = WIRE__HELLO__INIT;

	h.node = p->self_name;
	h.incarnation = p->incarnation;
	h.purpose = purpose;
	return tcp_send(conn, FRAME_HELLO, &h.base);
}

struct out_attempt *out_find(const struct peers *p, uint64_t id)
{
	struct out_attempt *a;

	HASH_FIND(hh, p->attempts, &id, sizeof(id), a);
	return a;
}

void out_set_link(struct out_attempt *a, struct peer_link *link)
{
	if (a->link == link)
		return;
	if (a->link)
		a->link->attempt_count--;
	a->link = link;
	if (!link)
		return;
	if (!link->attempt_count++)
		link->busy_since_ms = clk_ms();
	peer_start_ticks(a->p);
}

void out_fail(struct out_attempt *a, enum wire_outcome outcome, enum err error)
{
	out_set_link(a, NULL);
	a->state = OUT_FAILED;
	a->outcome = outcome;
	a->error = error;
	ev_timer_stop(a->p->loop, &a->timer);
	ev_timer_set(&a->timer, 0., 0.);
	ev_timer_start(a->p->loop, &a->timer);
}

void out_complete(struct out_attempt *a, const Wire__ForwardReply *reply)
{
	out_remove(a);
	a->fn(reply, a->priv);
	out_free(a);
}

static void complete_with_error(struct out_attempt *a,
				enum wire_outcome outcome, enum err error)
{
	Wire__ForwardReply reply = WIRE__FORWARD_REPLY__INIT;
	struct view *v = a->p->view;

	reply.attempt = a->id;
	reply.outcome = outcome;
	reply.error = error;
	reply.map_rev = v->ops->map(v)->rev;
	out_complete(a, &reply);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct out_attempt *a = w->data;

	(void)loop;
	(void)events;
	switch (a->state) {
	case OUT_FAILED:
		complete_with_error(a, a->outcome, a->error);
		break;
	case OUT_OFFERED:
		out_cancel(a);
		complete_with_error(a, OUTCOME_NOT_RUN, ERR_DEADLINE);
		break;
	case OUT_WAITING:
		complete_with_error(a, OUTCOME_NOT_RUN, ERR_DEADLINE);
		break;
	default:
		cnt_add(a->p->cnt, "peer_deadlines", "", 1);
		out_cancel(a);
		complete_with_error(a, OUTCOME_UNKNOWN, ERR_TIMEOUT);
	}
}

static struct out_attempt *out_new(struct peers *p, struct peer_node *n,
				   const Wire__Forward *f, gate_reply_fn fn,
				   void *priv)
{
	struct out_attempt *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->id = f->attempt;
	a->p = p;
	a->node = n;
	a->fn = fn;
	a->priv = priv;
	a->state = OUT_WAITING;
	a->created_ms = clk_ms();
	a->deadline_ms = a->created_ms + f->deadline_ms;
	ev_timer_init(&a->timer, on_timer, f->deadline_ms / 1000., 0.);
	a->timer.data = a;
	ev_now_update(p->loop);
	ev_timer_start(p->loop, &a->timer);
	HASH_ADD(hh, p->attempts, id, sizeof(a->id), a);
	DL_APPEND(n->attempts, a);
	return a;
}

void peers_forward(struct peers *p, uint32_t node, const Wire__Forward *f,
		   gate_reply_fn fn, void *priv)
{
	struct peer_node *n =
		peer_node_get(p, node, f->body.len > PEER_BULK_BYTES);
	struct out_attempt *a = n ? out_new(p, n, f, fn, priv) : NULL;

	/* Without memory for the attempt, fn could never run. */
	if (!a)
		abort();
	cnt_add(p->cnt, "peer_forwards", "", 1);
	peer_node_submit(n, a, f);
}

void peers_cancel(struct peers *p, gate_reply_fn fn, void *priv)
{
	struct out_attempt *a, *next;

	HASH_ITER(hh, p->attempts, a, next) {
		if (a->fn != fn || a->priv != priv)
			continue;
		out_cancel(a);
		out_remove(a);
		out_free(a);
	}
}
