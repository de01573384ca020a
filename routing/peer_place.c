#include "routing/peer_priv.h"
#include "common/clk.h"
#include "common/log.h"

#include <stdlib.h>
#include <utlist.h>

/* Requests that this node sends to a target at which a place is kept. */

/*
 * Bodies that take longer on the owner's line are offered first. A round trip
 * between regions is 16 ms, and the offer costs one.
 */
#define PEER_OFFER_MS 10

struct placed {
	struct peers *p;
	uint32_t node_id;
	uint64_t attempt;
	Wire__TargetLoad load; /* of the gate that keeps the place */
	gate_reply_fn fn;      /* NULL: forgotten */
	void *priv;
	struct placed *prev;
	struct placed *next;
};

int peer_is_offered(const Wire__Node *info, const Wire__Forward *f)
{
	if (!info || !info->link_kbps || f->key[0] ||
	    f->body.len <= PEER_BULK_BYTES)
		return 0;
	return f->body.len * 8 / info->link_kbps >= PEER_OFFER_MS;
}

/* A report that does not get through is overdue at the gate. */
static void report(const struct placed *d, const Wire__ForwardReply *reply)
{
	struct peer_node *n = node_get(d->p, d->node_id, 0);
	Wire__PlaceEnd end = WIRE__PLACE_END__INIT;

	end.attempt = d->attempt;
	end.outcome = reply->outcome;
	end.error = reply->error;
	end.retry_after_ms = reply->retry_after_ms;
	if (!n || !n->current || n->current->state != LINK_UP ||
	    tcp_send(&n->current->conn, FRAME_PLACE_END, &end.base) != ERR_OK)
		cnt_add(d->p->cnt, "peer_place_ends_lost", "", 1);
}

static void on_end(const Wire__ForwardReply *reply, void *priv)
{
	struct placed *d = priv;
	Wire__ForwardReply r = *reply;

	report(d, reply);
	r.load = &d->load;
	DL_DELETE(d->p->placed, d);
	if (d->fn)
		d->fn(&r, d->priv);
	free(d);
}

void placed_start(struct out_attempt *a, const Wire__ForwardReply *reply)
{
	struct peers *p = a->p;
	Wire__Forward *f = a->copy;
	struct placed *d = calloc(1, sizeof(*d));
	int64_t left_ms = a->deadline_ms - clk_ms();

	if (!d || left_ms <= 0) {
		free(d);
		out_cancel(a);
		out_settle(a, OUTCOME_NOT_RUN, d ? ERR_DEADLINE : ERR_NOMEM);
		return;
	}
	d->p = p;
	d->node_id = a->node->key.id;
	d->attempt = a->id;
	d->fn = a->fn;
	d->priv = a->priv;
	wire__target_load__init(&d->load);
	if (reply->load) {
		d->load.running = reply->load->running;
		d->load.queued = reply->load->queued;
		d->load.places = reply->load->places;
		d->load.latency_us = reply->load->latency_us;
	}
	DL_APPEND(p->placed, d);
	f->deadline_ms = (uint32_t)left_ms;
	a->copy = NULL;
	out_drop(a);
	log_request(LOG_DEBUG, "place_kept", "id=%s attempt=%016llx target=%s",
		    LOG_Q(f->request_id), (unsigned long long)d->attempt,
		    LOG_Q(reply->place->id));
	cnt_add(p->cnt, "peer_placed", "", 1);
	gate_send_placed(p->gate, f, reply->place, on_end, d);
}

void placed_forget(struct peers *p, gate_reply_fn fn, void *priv)
{
	struct placed *d, *next;

	DL_FOREACH_SAFE(p->placed, d, next) {
		if (d->fn != fn || d->priv != priv)
			continue;
		d->fn = NULL;
		gate_cancel(p->gate, d->attempt);
	}
}

void placed_finish(struct peers *p)
{
	struct placed *d, *next;

	DL_FOREACH_SAFE(p->placed, d, next) {
		gate_forget(p->gate, on_end, d);
		free(d);
	}
	p->placed = NULL;
}
